#ifndef ADAPTERS_BACKEND_HTTP_INTERNAL_H
#define ADAPTERS_BACKEND_HTTP_INTERNAL_H

#include <sys/queue.h>
#include <sys/time.h>

#include <event2/event.h>
#include <event2/event_struct.h>
#include <event2/http.h>

#include "ports/backend.h"

/* Calls (backend_http.c) and the connections that they use
 * (backend_http_pool.c). */

#define BKH_POOL_BUCKETS 4096 /* of the hash table of pools */

struct bkh_conn;
struct bkh_pool;

/* A call belongs to its connection, or stands in the backend's deferred list
 * with its reply when it ended before start() returned. */
struct backend_call {
	struct bkh_conn *conn; /* NULL once deferred */
	backend_done_fn done;
	void *arg;
	const char *task_id; /* borrowed from the request */
	const struct backend_server *server;
	struct event timer;
	struct timeval call_timeout; /* of the timeout, once connected */
	size_t bytes_sent;	     /* bytes that left the output buffer */
	enum evhttp_request_error error;
	bool has_error; /* error is set */
	bool in_start;	/* within start() */
	struct err err; /* of a deferred call */
	STAILQ_ENTRY(backend_call) deferred;
};

/* A connection is idle (in its pool's list), busy (has a call) or dead (in
 * the backend's list of dead ones, to be freed outside evhttp's callbacks). */
struct bkh_conn {
	struct bkh_pool *pool;
	struct evhttp_connection *evcon;
	struct backend_call *call;
	struct timeval idle_since;
	bool
	    echoes_task_id; /* has echoed Berylrail-Task: from now on it must */
	TAILQ_ENTRY(bkh_conn) entry;
};

TAILQ_HEAD(bkh_conns, bkh_conn);

struct bkh_pool {
	struct backend_http *owner;
	char address[46];
	uint16_t port;
	char host_header[64];
	size_t nconns;	       /* idle and busy */
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
	STAILQ_HEAD(, backend_call) deferred_calls; /* replies to give later */
	size_t ndeferred_calls;
	struct bkh_conns discarded;
	struct bkh_pools pools[BKH_POOL_BUCKETS];
};

/* bkh_pool_get() - the pool of a server's address, or NULL. */
struct bkh_pool *bkh_pool_get(struct backend_http *http,
    const struct backend_server *server);

/* bkh_sweep() - timer: close what was idle for long, free empty pools. */
void bkh_sweep(evutil_socket_t fd, short what, void *arg);

/* bkh_pool_free() - free a pool with its connections and their calls. */
void bkh_pool_free(struct bkh_pool *pool);

/* bkh_conn_create() - a connection that is in no list yet, or NULL. */
struct bkh_conn *bkh_conn_create(struct bkh_pool *pool);

/* bkh_conn_reuse() - an idle one, taken out of the list, or NULL. */
struct bkh_conn *bkh_conn_reuse(struct bkh_pool *pool);

/* bkh_conn_free() - free one that is in no list and no longer counted; not
 * from a callback of its own evhttp connection. */
void bkh_conn_free(struct bkh_conn *conn);

/* bkh_conn_bury() - free one that is in no list, later. */
void bkh_conn_discard(struct bkh_conn *conn);

/* bkh_call_free() - free a call that has left its connection. */
void bkh_call_free(struct backend_call *call);

#endif /* ADAPTERS_BACKEND_HTTP_INTERNAL_H */
