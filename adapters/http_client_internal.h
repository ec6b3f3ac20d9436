#ifndef ADAPTERS_HTTP_CLIENT_INTERNAL_H
#define ADAPTERS_HTTP_CLIENT_INTERNAL_H

#include <event2/bufferevent.h>
#include <sys/queue.h>

#include "adapters/http_client.h"

/*
 * Shared by http_client.c (calls) and http_client_conn.c (the pool of
 * connections).
 */

#define HCL_PEER_SIZE 64 /* bytes, with the NUL */

struct hcl_conn;

/* A call is in the queue of waiting calls, in the list of failed calls, or
 * assigned to a connection. */
struct hcl_call {
	struct hcl *hcl;
	struct hcl_conn *conn;		/* NULL if none is assigned */
	struct evhttp_request *request; /* owned until it is sent */
	enum evhttp_cmd_type method;
	char *path;
	uint64_t conn_id; /* the only connection to use; 0: any */
	bool new_connection;
	uint64_t started_us;
	bool abandoned; /* timed out; @done was called, @timer waits again */
	bool sent;
	bool refused;	     /* the server's address refused the connection */
	const char *failure; /* why it could not be sent; or NULL */
	struct event *timer;
	hcl_done_fn done;
	void (*free_arg)(void *arg);
	void *arg;
	TAILQ_ENTRY(hcl_call) entry;
};

TAILQ_HEAD(hcl_calls, hcl_call);

struct hcl_conn {
	struct hcl *hcl;
	uint64_t id; /* 1 or more, in the order of creation */
	struct evhttp_connection *evcon;
	struct hcl_call *call; /* NULL if idle or discarded */
	/* The callback of evhttp for the end of a connect. */
	bufferevent_event_cb connect_done;
	void *connect_done_arg;
	TAILQ_ENTRY(hcl_conn) entry;
};

TAILQ_HEAD(hcl_conns, hcl_conn);

struct hcl {
	struct hcl_params params;
	char peer[HCL_PEER_SIZE];
	struct hcl_calls waiting;
	struct hcl_calls failed; /* reported by the next deferred event */
	size_t nwaiting;
	struct hcl_conns idle;
	struct hcl_conns busy;
	struct hcl_conns discarded; /* freed by the next deferred event */
	size_t nconns;		    /* in @idle and @busy */
	uint64_t last_conn_id;	    /* 0 if none was opened */
	struct event *deferred;
};

/* http_client.c */

/* Runs the deferred event: sends waiting calls, and frees connections. */
void hcl_schedule_deferred(struct hcl *hcl);
void hcl_call_free(struct hcl_call *call);

/* http_client_conn.c */

void hcl_conn_free(struct hcl_conn *conn);
/* Separates a connection from its call; makes it idle, or discards it. */
void hcl_conn_release(struct hcl_conn *conn, bool keep_alive);
/* Records whether a connect that is in progress is refused. */
void hcl_conn_watch_connect(struct hcl_conn *conn);
/* Removes the connection @id from the idle list and returns it; NULL if it is
 * not idle or not reusable. */
struct hcl_conn *hcl_conn_acquire_by_id(struct hcl *hcl, uint64_t id);
/* Returns a reusable idle connection or a new one, in no list; NULL if the
 * limit is reached or memory is exhausted. */
struct hcl_conn *hcl_conn_acquire(struct hcl *hcl, bool new_connection);

#endif /* ADAPTERS_HTTP_CLIENT_INTERNAL_H */
