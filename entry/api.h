#ifndef ENTRY_API_H
#define ENTRY_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"
#include "berylrail/outcome.h"

/*
 * The API of an entry host, independent of the transport. Requests of HTTP
 * clients and requests forwarded by peers are handled by the same code.
 */

/** enum api_method - HTTP methods that the API supports. */
enum api_method {
	API_GET,
	API_POST,
	API_DELETE,
	API_PATCH,
	API_OTHER,
};

/** struct api_request - one request. */
struct api_request {
	enum api_method method;
	const char *path;	     /* without the query, "/v1/jobs" */
	const char *query;	     /* after the '?', "" if none */
	const char *idempotency_key; /* header Idempotency-Key, NULL if none */
	const char *job;	     /* header Berylrail-Job, NULL if none */
	const char *ticket;	     /* header Berylrail-Ticket, NULL if none */
	const char *operator_name;   /* header Berylrail-Operator, or NULL */
	const char *client;   /* address of the caller, for error messages */
	const char *host;     /* header Host, "" if none */
	uint32_t deadline_ms; /* header Deadline-Ms, 0 if none */
	const void *body;
	size_t body_len; /* bytes */
	bool forwarded;	 /* received from a peer; never forwarded again */
	/* By which it was received from the peer, see peers_tcp_alive_us(); 0:
	 * none. */
	uint64_t connection;
};

/** struct api_reply - one reply; valid until the callback returns. */
struct api_reply {
	int status;		  /* HTTP status */
	const char *content_type; /* such as "application/json" */
	const char *outcome;	  /* header Berylrail-Outcome, or NULL */
	const char *next_ticket;  /* header Berylrail-Ticket, or NULL */
	uint32_t retry_after_s;	  /* header Retry-After, 0: none */
	const void *body;
	size_t body_len; /* bytes */
};

typedef void (*api_reply_fn)(void *arg, const struct api_reply *reply);

/**
 * struct api_handler - handler of requests that the API does not serve itself.
 * The functions have the contracts of api_handle() and api_abandon().
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

/** struct api_params - dependencies and limits of the API; all borrowed. */
struct api_params {
	struct event_base *base;
	struct clock *clock;
	struct crypto *crypto;
	struct engine *engine;
	struct config_sync *config_sync;
	struct table *table;	      /* for idempotency keys */
	struct blobs *blobs;	      /* for final records */
	const char *host;	      /* name of this host */
	const char *az;		      /* its availability zone */
	uint64_t incarnation;	      /* random at each process start */
	uint32_t ticket_retention_ms; /* retention of answers */
	uint64_t ticket_bytes_max;    /* total of retained answers */
	uint32_t claim_flush_ms;      /* interval of group commits */
};

/** api_create() - allocate an API; NULL if out of memory. */
struct api *api_create(const struct api_params *params);

/** api_destroy() - free the API; pending reply callbacks do not run. */
void api_destroy(struct api *api);

/** api_set_peers() - set the peers, which are created after the API. */
void api_set_peers(struct api *api, struct peers *peers);

/**
 * api_set_work_handler() - set the handler of the paths below /v1/work/, which
 * only peers may request; borrowed.
 */
void api_set_work_handler(struct api *api, const struct api_handler *handler);

/**
 * api_set_nhosts() - set the number of live entry hosts. The interval at which
 * this host writes claims of keys increases with it.
 */
void api_set_nhosts(struct api *api, size_t nhosts);

/**
 * api_drain() - shut down: refuse new work, and finish the accepted work.
 * @delay_ms: how long new work is still accepted; /readyz fails at once.
 * @limit_ms: 0, or the time after which running work is cancelled and its
 *            callers are refused.
 * @done: runs once, after the last answer, when the final record has been
 *        stored or a limited number of attempts to store it has failed.
 */
void api_drain(struct api *api, uint32_t delay_ms, uint32_t limit_ms,
    void (*done)(void *arg), void *arg);

/**
 * api_handle() - handle one request.
 * @request: borrowed until @reply has run or api_abandon() was called.
 * @reply: runs exactly once, before or after api_handle() returns.
 * @arg: passed to @reply; identifies the request to api_abandon().
 */
void api_handle(struct api *api, const struct api_request *request,
    api_reply_fn reply, void *arg);

/**
 * api_abandon() - discard the reply to a request whose connection was closed.
 * @arg: as passed to api_handle(); the reply callback will not run.
 *
 * The submission itself continues; its answer can be requested by its id.
 */
void api_abandon(struct api *api, void *arg);

#endif /* ENTRY_API_H */
