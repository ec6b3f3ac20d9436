#ifndef TESTS_SUPPORT_RAW_SERVER_H
#define TESTS_SUPPORT_RAW_SERVER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* A loopback server that answers each request with given bytes. */

/** struct raw_server - what it answers, and what it saw. */
struct raw_server {
	const char *response;	   /* raw bytes of an answer; NULL: none */
	bool close_after_response; /* close the connection after it */
	int nrequests;
	int nconnections;
	char last_request[4096]; /* the last request, as text */
	uint16_t port;
	struct evconnlistener *listener;
	struct event_base *base;
};

void raw_server_start(struct raw_server *server, struct event_base *base);
void raw_server_stop(struct raw_server *server);

#endif /* TESTS_SUPPORT_RAW_SERVER_H */
