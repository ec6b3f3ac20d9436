#ifndef STANDIN_BACKEND_SERVER_H
#define STANDIN_BACKEND_SERVER_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/* A backend server: a listener with task slots and a fault mode. */

/** enum srv_mode - behaviour of a server. */
enum srv_mode {
	SRV_OK,
	SRV_FAIL_ALL, /* every task fails immediately after its start */
	SRV_HANG_ALL, /* every task starts and never ends */
	SRV_LEAVING,  /* refuses new tasks; running ones complete */
	SRV_DOWN,     /* does not listen; all connections are closed */
	SRV_NMODES,
};

struct conn;

/** struct server - a backend server. */
struct server {
	char name[64];
	struct event_base *base;
	struct evconnlistener *listener; /* NULL while down */
	uint16_t port;
	enum srv_mode mode;
	unsigned slots;
	unsigned connections;
	unsigned speed; /* percent; a task's run time is divided by it */
	unsigned default_ms;
	bool record_starts;
	unsigned running;
	unsigned nconns;
	uint64_t starts, finishes, refused_busy, refused_leaving, refused_conns;
	LIST_HEAD(, conn) conns;
	TAILQ_ENTRY(server) entry;
};

/**
 * srv_listen() - open the listener, at its earlier port if it had one.
 * Return: 0 or -1.
 */
int srv_listen(struct server *server);

/**
 * srv_set_mode() - set the mode by its name.
 * Return: 0, or -1 if it is unknown or the server cannot listen.
 */
int srv_set_mode(struct server *server, const char *mode);

/** srv_stats() - mode and counters as JSON. */
json_t *srv_stats(const struct server *server);

#endif /* STANDIN_BACKEND_SERVER_H */
