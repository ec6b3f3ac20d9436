#ifndef ADAPTERS_HTTP_CLIENT_H
#define ADAPTERS_HTTP_CLIENT_H

#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "entry/settings.h"

/*
 * Calls to one HTTP server by evhttp: a bounded pool of kept-alive
 * connections with one request at a time on each, a bounded queue, a time
 * limit for each call as a whole. No request is ever sent a second time.
 */

struct event_base;
struct evkeyvalq;
struct hcl;

/** struct hcl_params - a server and the bounds. */
struct hcl_params {
	struct event_base *base; /* borrowed */
	struct endpoint endpoint;
	uint32_t timeout_ms; /* of a call, waiting included */
	uint32_t connections_max;
	uint32_t waiting_max;	   /* calls that wait for a connection */
	size_t response_bytes_max; /* bytes of an answer's body */
};

/** struct hcl_header - one header line. */
struct hcl_header {
	const char *name;
	const char *value;
};

/** struct hcl_request - one call; everything is copied. */
struct hcl_request {
	enum evhttp_cmd_type method;
	const char *path; /* with the query */
	const struct hcl_header *headers;
	size_t nheaders;
	const void *body;    /* may be NULL */
	size_t body_len;     /* bytes */
	uint32_t timeout_ms; /* 0: that of the client */
	uint64_t conn_id;    /* to be sent on no other one; 0: on any */
	/* Frees @arg if the client is destroyed before the end; may be NULL. */
	void (*free_arg)(void *arg);
};

/** struct hcl_reply - end of a call; borrowed by the callback. */
struct hcl_reply {
	int status;	/* HTTP status; 0: no whole answer was read */
	bool sent;	/* a byte of the request may have left this host */
	bool timed_out; /* the time limit passed */
	const char *body;
	size_t body_len;		 /* bytes */
	const struct evkeyvalq *headers; /* NULL if status is 0 */
	const char *reason; /* why there is no answer; NULL if there is */
	uint64_t conn_id;   /* that brought the answer; 0: none */
};

typedef void (*hcl_done_fn)(void *arg, const struct hcl_reply *reply);

/** hcl_create() - a client, or NULL when out of memory. */
struct hcl *hcl_create(const struct hcl_params *params);

/** hcl_destroy() - drop all calls; their callbacks do not run. */
void hcl_destroy(struct hcl *hcl);

/** hcl_call() - start a call; @done runs once, later. */
void hcl_call(struct hcl *hcl, const struct hcl_request *request,
    hcl_done_fn done, void *arg);

/** hcl_peer() - "ADDRESS:PORT" of the server, for errors. */
const char *hcl_peer(const struct hcl *hcl);

/**
 * hcl_err() - fill an error for a reply without a whole answer, or with a
 * status that is no success. Return: always -1.
 */
int hcl_err(const struct hcl *hcl, const struct hcl_reply *reply,
    enum err_step step, struct err *err);

#endif /* ADAPTERS_HTTP_CLIENT_H */
