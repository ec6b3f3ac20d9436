#ifndef ADAPTERS_BACKEND_HTTP_INTERNAL_H
#define ADAPTERS_BACKEND_HTTP_INTERNAL_H

#include <sys/queue.h>
#include <sys/time.h>

#include <event2/event.h>
#include <event2/event_struct.h>
#include <event2/http.h>

#include "ports/backend.h"

/* Declarations shared by backend_http.c (calls) and backend_http_pool.c
 * (connection pools). */

#define BKH_POOL_BUCKETS 4096 /* hash table of pools */

struct bkh_conn;
struct bkh_pool;

/* A call has a connection. If it ended before start() returned, it is instead
 * in the list of deferred calls, with the error to report. */
struct backend_call {
	struct bkh_conn *conn; /* NULL once deferred */
	backend_done_fn done;
	void *arg;
	const char *task_id; /* borrowed from the request */
	const struct backend_server *server;
	struct event timer;
	/* Starts with the first byte sent; unset if it starts with the call. */
	struct timeval call_timeout;
	size_t bytes_sent; /* bytes removed from the output buffer */
	enum evhttp_request_error error;
	bool has_error; /* @error is set */
	bool in_start;	/* start() has not returned */
	struct err err; /* of a deferred call */
	STAILQ_ENTRY(backend_call) deferred;
};

/* A connection is idle, busy (it has a call), or discarded (in the list of
 * connections to be freed outside the callbacks of evhttp). */
struct bkh_conn {
	struct bkh_pool *pool;
	struct evhttp_connection *evcon;
	struct backend_call *call;
	struct timeval idle_since;
	bool echoes_task_id; /* a response had Berylrail-Task; now required */
	TAILQ_ENTRY(bkh_conn) entry;
};

TAILQ_HEAD(bkh_conns, bkh_conn);

/* Connections to one address. */
struct bkh_pool {
	struct backend_http *owner;
	char address[46];
	uint16_t port;
	char host_header[64];
	size_t nconns;	       /* in @idle and @busy */
	struct bkh_conns idle; /* most recently used first */
	struct bkh_conns busy;
	LIST_ENTRY(bkh_pool) entry;
};

LIST_HEAD(bkh_pools, bkh_pool);

struct backend_http {
	struct backend backend;
	struct event_base *base;
	struct event *sweep;
	struct event *deferred;
	/* To be reported by @deferred. */
	STAILQ_HEAD(, backend_call) deferred_calls;
	size_t ndeferred_calls;
	struct bkh_conns discarded;
	struct bkh_pools pools[BKH_POOL_BUCKETS];
};

/* bkh_pool_get() - find or create the pool of a server's address; NULL if
 * memory is exhausted. */
struct bkh_pool *bkh_pool_get(struct backend_http *http,
    const struct backend_server *server);

/* bkh_sweep() - timer callback: close idle connections, free empty pools. */
void bkh_sweep(evutil_socket_t fd, short what, void *arg);

/* bkh_pool_free() - free a pool with its connections and their calls. */
void bkh_pool_free(struct bkh_pool *pool);

/* bkh_conn_create() - create a connection, which is in no list; NULL if memory
 * is exhausted. */
struct bkh_conn *bkh_conn_create(struct bkh_pool *pool);

/* bkh_conn_reuse() - remove a reusable connection from the idle list and return
 * it; NULL if there is none. */
struct bkh_conn *bkh_conn_reuse(struct bkh_pool *pool);

/* bkh_conn_free() - free a connection that is in no list and no longer counted
 * in nconns; not to be called within a callback of its evhttp connection. */
void bkh_conn_free(struct bkh_conn *conn);

/* bkh_conn_discard() - schedule a connection, which is in no list, to be freed
 * by the deferred event. */
void bkh_conn_discard(struct bkh_conn *conn);

/* bkh_call_free() - free a call that has no connection. */
void bkh_call_free(struct backend_call *call);

#endif /* ADAPTERS_BACKEND_HTTP_INTERNAL_H */
