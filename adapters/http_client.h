#ifndef ADAPTERS_HTTP_CLIENT_H
#define ADAPTERS_HTTP_CLIENT_H

#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "entry/settings.h"

/*
 * Client of one HTTP server, based on evhttp: a bounded pool of keep-alive
 * connections with one request at a time on each, a bounded queue of calls
 * that wait for a connection, and a timeout for each call. A request is never
 * sent a second time.
 *
 * After a time-out the response may still come: the server or the path is slow,
 * not gone. A new connection for each such call would add to the load, so the
 * connection can be kept for a while (late_ms).
 */

struct event_base;
struct evkeyvalq;
struct hcl;

/** struct hcl_params - the server and the limits of a client. */
struct hcl_params {
	struct event_base *base; /* borrowed */
	struct endpoint endpoint;
	uint32_t timeout_ms; /* of a call, with the time in the queue */
	uint32_t connections_max;
	uint32_t waiting_max;	   /* calls that wait for a connection */
	size_t response_bytes_max; /* body of a response */
	/*
	 * A connection whose call has timed out is kept for this time, in which
	 * the late response makes it usable again. 0: it is closed at once.
	 */
	uint32_t late_ms;
	/* Called with the time of each response since its call, also of late
	 * ones; may be NULL. */
	void (*response_time)(void *arg, uint64_t elapsed_us);
	void *arg;
};

/** struct hcl_header - one header of a request. */
struct hcl_header {
	const char *name;
	const char *value;
};

/** struct hcl_request - request of a call; everything is copied. */
struct hcl_request {
	enum evhttp_cmd_type method;
	const char *path; /* with the query string */
	const struct hcl_header *headers;
	size_t nheaders;
	const void *body;    /* may be NULL */
	size_t body_len;     /* bytes */
	uint32_t timeout_ms; /* 0: hcl_params.timeout_ms */
	uint64_t conn_id;    /* the only connection to use; 0: any */
	/* Prefer a new connection: an earlier call had no response, so the
	 * idle ones may be unusable. */
	bool new_connection;
	/* Frees @arg if the client is destroyed during the call; may be NULL */
	void (*free_arg)(void *arg);
};

/** struct hcl_reply - result of a call; borrowed by the callback. */
struct hcl_reply {
	int status;	/* HTTP status; 0: no complete response was received */
	bool sent;	/* part of the request may have been sent */
	bool timed_out; /* the call timed out */
	bool refused;	/* the server's address refused the connection */
	const char *body;
	size_t body_len;		 /* bytes */
	const struct evkeyvalq *headers; /* NULL if status is 0 */
	const char *reason; /* why no response was received; NULL if one was */
	uint64_t conn_id;   /* connection of the response; 0 if there is none */
};

/** typedef hcl_done_fn - completion of a call. */
typedef void (*hcl_done_fn)(void *arg, const struct hcl_reply *reply);

/** hcl_create() - create a client; NULL if memory is exhausted. */
struct hcl *hcl_create(const struct hcl_params *params);

/**
 * hcl_destroy() - close all connections and free a client. The callbacks of
 * pending calls are not called. NULL is allowed.
 */
void hcl_destroy(struct hcl *hcl);

/**
 * hcl_call() - start a call.
 * @done: is called exactly once, after this function has returned, unless the
 *        client is destroyed first.
 */
void hcl_call(struct hcl *hcl, const struct hcl_request *request,
    hcl_done_fn done, void *arg);

/** hcl_peer() - "ADDRESS:PORT" of the server, for error messages. */
const char *hcl_peer(const struct hcl *hcl);

/**
 * hcl_err() - set an error for a call without a complete response, or with a
 * status other than success. Return: always -1.
 */
int hcl_err(const struct hcl *hcl, const struct hcl_reply *reply,
    enum err_step step, struct err *err);

#endif /* ADAPTERS_HTTP_CLIENT_H */
