#ifndef TESTS_SUPPORT_RAW_SERVER_H
#define TESTS_SUPPORT_RAW_SERVER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* A loopback server that sends given bytes as the response to each request. */

/** struct raw_server - its settings, and what it has received. */
struct raw_server {
	const char *response;	   /* raw bytes; NULL: no response */
	bool close_after_response; /* or instead of a response */
	int nrequests;
	int nconnections;
	char last_request[4096]; /* NUL-terminated, truncated if longer */
	uint16_t port;
	struct evconnlistener *listener;
	struct event_base *base;
};

/** raw_server_start() - listen on a port chosen by the kernel. */
void raw_server_start(struct raw_server *server, struct event_base *base);

/** raw_server_stop() - close the listener; connections stay open. */
void raw_server_stop(struct raw_server *server);

#endif /* TESTS_SUPPORT_RAW_SERVER_H */
