#ifndef ENTRY_API_H
#define ENTRY_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"
#include "berylrail/outcome.h"

/*
 * The API of an entry host, independent of its transport: HTTP clients and
 * forwarding peers come through the same door.
 */

/** enum api_method - HTTP methods that the API knows. */
enum api_method {
	API_GET,
	API_POST,
	API_DELETE,
	API_PATCH,
	API_OTHER,
};

/** struct api_request - one request; borrowed until the reply. */
struct api_request {
	enum api_method method;
	const char *path;	     /* without the query, "/v1/jobs" */
	const char *query;	     /* after the '?', "" if none */
	const char *idempotency_key; /* header Idempotency-Key, NULL if none */
	const char *job;	     /* header Berylrail-Job, NULL if none */
	const char *ticket;	     /* header Berylrail-Ticket, NULL if none */
	const char *operator_name;   /* header Berylrail-Operator, or NULL */
	const char *client;	     /* address of the caller, for errors */
	const char *host;	     /* header Host, "" if none */
	uint32_t deadline_ms;	     /* header Deadline-Ms, 0 if none */
	const void *body;
	size_t body_len; /* bytes */
	bool forwarded;	 /* came from a peer: never forward again */
};

/** struct api_reply - one reply; borrowed by the callback. */
struct api_reply {
	int status;		  /* HTTP status */
	const char *content_type; /* "application/json" ... */
	const char *outcome;	  /* header Berylrail-Outcome, or NULL */
	const char *next_ticket;  /* header Berylrail-Ticket, or NULL */
	uint32_t retry_after_s;	  /* header Retry-After, 0: none */
	const void *body;
	size_t body_len; /* bytes */
};

typedef void (*api_reply_fn)(void *arg, const struct api_reply *reply);

/**
 * struct api_handler - who serves requests: the API itself, or a part of the
 * host that speaks to other callers. As api_handle() and api_abandon().
 */
struct api_handler {
	void (*handle)(void *arg, const struct api_request *request,
	    api_reply_fn reply, void *reply_arg);
	void (*abandon)(void *arg, void *reply_arg);
	void *arg;
};

struct api;
struct blobs;
struct clock;
struct config_sync;
struct crypto;
struct engine;
struct event_base;
struct peers;
struct table;

/** struct api_params - what the API is made of; all borrowed. */
struct api_params {
	struct event_base *base;
	struct clock *clock;
	struct crypto *crypto;
	struct engine *engine;
	struct config_sync *config_sync;
	struct table *table;	      /* for idempotency keys */
	struct blobs *blobs;	      /* for final records */
	const char *host;	      /* own name */
	const char *az;		      /* own availability zone */
	uint64_t incarnation;	      /* random at each process start */
	uint32_t ticket_retention_ms; /* of ended submissions */
	uint64_t ticket_bytes_max;    /* of kept answers */
	uint32_t claim_flush_ms;      /* group commit of claims */
};

/** api_create() - an API, or NULL when out of memory. */
struct api *api_create(const struct api_params *params);

/** api_destroy() - free it; pending replies do not run. */
void api_destroy(struct api *api);

/** api_set_peers() - the peers, which themselves need the API. */
void api_set_peers(struct api *api, struct peers *peers);

/**
 * api_set_work_handler() - who serves the paths below /v1/work/, which only
 * peers may ask for; borrowed.
 */
void api_set_work_handler(struct api *api, const struct api_handler *handler);

/** api_set_nhosts() - live entry hosts; stretches the claims' interval. */
void api_set_nhosts(struct api *api, size_t nhosts);

/**
 * api_drain() - stop taking new work; running work goes on.
 * @delay_ms: /readyz fails at once, but new work is still taken so long.
 * @limit_ms: 0, or cut what still runs after that long, and say so.
 * @done: runs once, when nothing is left and the final record is stored (or
 *        could not be, after bounded tries).
 */
void api_drain(struct api *api, uint32_t delay_ms, uint32_t limit_ms,
    void (*done)(void *arg), void *arg);

/**
 * api_handle() - serve one request.
 * @api: the entry host's API.
 * @request: borrowed until @reply has run or api_abandon() was called.
 * @reply: runs exactly once, at once or later.
 * @arg: passed to @reply; also names the request for api_abandon().
 */
void api_handle(struct api *api, const struct api_request *request,
    api_reply_fn reply, void *arg);

/**
 * api_abandon() - the caller's connection is gone; @reply must not run.
 *
 * The work itself goes on: the caller may ask for the answer by its id.
 */
void api_abandon(struct api *api, void *arg);

#endif /* ENTRY_API_H */
