#ifndef ENTRY_API_INTERNAL_H
#define ENTRY_API_INTERNAL_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/claims.h"
#include "core/submission.h"
#include "core/ticket.h"
#include "entry/api.h"
#include "entry/refusals.h"
#include "ports/blobs.h"
#include "ports/clock.h"
#include "ports/crypto.h"
#include "ports/peer.h"

/*
 * Declarations shared by the API's modules. All of them run on the thread of
 * the event base.
 *
 * A call is one request that waits for its reply. If there is no reply at once,
 * the call is copied to the heap (deferred) and can be found by the caller's
 * arg, so that it can be abandoned. An execution is one submission or single
 * request that this host runs; calls wait for it, and it outlives them. Once it
 * has ended, it contains the rendered answer. An execution with a ticket is
 * then retained by core/claims; any other one is freed.
 */

#define API_CALL_BUCKETS 4096
#define API_WAIT_MS_MAX 60000
#define API_WAIT_UNTIL_END UINT32_MAX /* wait_ms: no time limit */
#define API_TICKETS_MAX 256	      /* per POST /v1/tickets */
#define API_TYPE_JSON "application/json"
#define API_TYPE_BYTES "application/octet-stream"

struct api_call;
struct api_issuer;
struct idem;
struct idem_key;
struct final_record;

TAILQ_HEAD(api_call_list, api_call);
LIST_HEAD(api_call_bucket, api_call);
TAILQ_HEAD(api_execution_list, api_execution);
TAILQ_HEAD(api_issuer_list, api_issuer);

/** enum api_phase - phase of the shutdown, in this order. */
enum api_phase {
	API_SERVING,
	API_DRAIN_DELAY,    /* not ready, but still accepts new work */
	API_DRAINING,	    /* refuses new work; accepted work continues */
	API_STORING_RECORD, /* idle; stores the final record */
	API_DRAINED,
};

/** struct api_execution - one submission or single request of this host. */
struct api_execution {
	struct claim claim; /* first member: core/claims links it if claimed */
	struct api *api;
	char id[TICKET_SIZE];
	bool claimed;	/* has a ticket of this process */
	bool single;	/* single request */
	bool submitted; /* passed to the engine */
	bool cancelled;
	size_t ntasks;
	uint64_t received_us;
	struct submission *subm; /* NULL once passed to the engine */
	struct idem_key *key;	 /* its idempotency key, or NULL */
	struct api_call_list waiters;
	TAILQ_ENTRY(api_execution) running_entry;
	bool ended;
	/* The answer, once the execution has ended. */
	int status;
	enum outcome outcome;
	const char *content_type;
	char *body; /* owned, free(3) */
	size_t body_len;
};

/** struct api_call - a request that waits for its reply. */
struct api_call {
	struct api *api;
	const struct api_request *request; /* NULL once api_handle() returns */
	api_reply_fn reply;		   /* NULL once abandoned */
	void *arg;
	bool deferred;	      /* on the heap; can be found by arg */
	bool add_next_ticket; /* the reply may carry the next ticket */
	bool forwarded;	      /* received from a peer */
	struct event *timer;
	struct api_execution *exec; /* the call waits for it; or NULL */
	uint32_t wait_ms;     /* applied once the key's claim is settled */
	struct ticket ticket; /* issued by another process */
	enum refusal refusal_without_record; /* if the issuer has no record */
	LIST_ENTRY(api_call) bucket_entry;
	TAILQ_ENTRY(api_call) calls_entry;
	TAILQ_ENTRY(api_call) waiter_entry; /* of an execution or an issuer */
};

/** struct api - see entry/api.h. */
struct api {
	struct api_params params;
	struct peers *peers;
	const struct api_handler *work_handler; /* or NULL */
	struct tkt_issuer issuer;
	struct claims *claims;
	struct idem *idem;
	struct api_execution_list running;
	size_t nrunning;
	struct api_call_list deferred_calls;
	size_t ndeferred;
	struct event *expiry_timer;
	struct api_issuer_list issuers; /* newest first */
	struct api_call_bucket call_buckets[API_CALL_BUCKETS];

	enum api_phase phase;
	struct event *drain_timer;
	struct event *drain_limit_timer;
	bool limit_expired; /* the time limit of the shutdown */
	unsigned int record_attempts;
	char *record;
	size_t record_len;
	void (*drain_done)(void *arg);
	void *drain_done_arg;
};

/* api.c: calls */

/**
 * api_call_defer() - copy a call to the heap, for a later reply.
 *
 * Return: the copy, @call itself if it is deferred already, or NULL if out of
 * memory, in which case the call has been refused.
 */
struct api_call *api_call_defer(struct api_call *call);

/** api_call_reply() - send the reply to a call; free it if it is deferred. */
void api_call_reply(struct api_call *call, const struct api_reply *reply);

/** api_call_refuse() - reply with a row of the table of refusals. */
void api_call_refuse(struct api_call *call, enum refusal refusal,
    const char *peer);

/** api_call_reply_problem() - reply with the row @refusal and the error @err.
 */
void api_call_reply_problem(struct api_call *call, enum refusal refusal,
    const struct err *err);

/** api_call_reply_json() - reply with a document, whose reference is consumed.
 */
void api_call_reply_json(struct api_call *call, int status, json_t *doc);

/** api_now() - monotonic time, microseconds. */
uint64_t api_now(const struct api *api);

/* api_execution.c: executions and their answers */

/**
 * api_exec_create() - allocate an execution of @subm, counted as running.
 * @subm: owned by the execution; freed on failure.
 *
 * Return: the execution, or NULL if out of memory.
 */
struct api_execution *api_exec_create(struct api *api, const char *id,
    struct submission *subm);

/** api_exec_attach() - reply to a deferred call when the execution ends. */
void api_exec_attach(struct api_execution *exec, struct api_call *call);

/**
 * api_exec_start() - pass the submission to the engine.
 *
 * Return: false if the engine refused it, which ended the execution.
 */
bool api_exec_start(struct api_execution *exec);

/** api_call_wait() - reply to an attached call after @wait_ms at the latest. */
void api_call_wait(struct api_call *call, uint32_t wait_ms);

/** api_exec_wait() - reply when the execution ends or after @wait_ms. */
void api_exec_wait(struct api_execution *exec, struct api_call *call,
    uint32_t wait_ms);

/** api_exec_end() - end the execution with @answer, which is freed. */
void api_exec_end(struct api_execution *exec, struct answer *answer);

/** api_exec_refuse() - end the execution with a row of the table and @err. */
void api_exec_refuse(struct api_execution *exec, enum refusal refusal,
    const struct err *err);

/** api_exec_cancel() - cancel a running execution. */
void api_exec_cancel(struct api_execution *exec);

/** api_exec_reply() - reply with the answer of an ended execution. */
void api_exec_reply(const struct api_execution *exec, struct api_call *call);

/** api_exec_discard() - free a running execution that no call waits for. */
void api_exec_discard(struct api_execution *exec);

/** api_exec_release() - free an ended execution; a clm_release_fn. */
void api_exec_release(void *arg, struct claim *claim);

/* api_submit.c: from a parsed submission to an execution */

/** api_submit() - start, join or forward a submission; @subm is consumed. */
void api_submit(struct api_call *call, struct submission *subm,
    const char *ticket, uint32_t wait_ms);

/**
 * api_ticket_issue() - issue a ticket.
 * @text: set to the ticket.
 *
 * Return: its sequence number.
 */
uint64_t api_ticket_issue(struct api *api, char text[TICKET_SIZE]);

/* api_parse.c */

/** struct api_parsed_body - a parsed body of POST /v1/jobs. */
struct api_parsed_body {
	struct submission *subm;
	char ticket[TICKET_SIZE]; /* "" if none */
};

/**
 * api_parse_submission() - parse the body of POST /v1/jobs.
 *
 * Return: 0, or -1 with @refusal and @err.
 */
int api_parse_submission(const void *body, size_t len,
    struct api_parsed_body *parsed, enum refusal *refusal, struct err *err);

/**
 * api_parse_json() - parse a JSON object of limited depth.
 *
 * Return: the object, or NULL with @refusal and @err.
 */
json_t *api_parse_json(const void *body, size_t len, enum refusal *refusal,
    struct err *err);

/**
 * api_query_number() - get a decimal parameter of a query.
 * @value: unchanged if the query has no such parameter.
 *
 * Return: 0, or -1 if it is not a number or above @max.
 */
int api_query_number(const char *query, const char *name, uint32_t max,
    uint32_t *value);

/**
 * api_query_text() - get a parameter of a query, undecoded, truncated to @size.
 *
 * Return: false if the query has no such parameter.
 */
bool api_query_text(const char *query, const char *name, char *text,
    size_t size);

/* api_render.c */

/** api_render_answer() - an answer as JSON text for free(3), or NULL. */
char *api_render_answer(struct crypto *crypto, const char *id,
    const struct answer *answer, size_t *len);

/** api_render_body() - set "body", or "body_base64" if it is not UTF-8. */
int api_render_body(json_t *doc, const char *body, size_t len);

/** api_render_progress() - the progress of a running submission. */
json_t *api_render_progress(const char *id, size_t ended, size_t ntasks);

/* api_jobs.c, api_services.c, api_tickets.c, api_health.c: by path */

void api_jobs_post(struct api_call *call);
void api_jobs_get(struct api_call *call, const char *id);
void api_jobs_delete(struct api_call *call, const char *id);
void api_services_post(struct api_call *call, const char *rest);
void api_tickets_post(struct api_call *call);
void api_health_get(struct api_call *call);
void api_ready_get(struct api_call *call);
void api_metrics_get(struct api_call *call);

/** api_count_answer() - count an answer and its response time. */
void api_count_answer(enum outcome outcome, uint64_t elapsed_us);

/**
 * api_jobs_reply_answer() - reply with the answer of the ticket @id.
 * @request: forwarded if another process issued the ticket.
 */
void api_jobs_reply_answer(struct api_call *call, const char *id,
    uint32_t wait_ms, const struct api_request *request);

/* api_forward.c */

/** api_forward() - forward @request to the process that issued @ticket. */
void api_forward(struct api_call *call, const struct ticket *ticket,
    const char *id, const struct api_request *request);

/* api_drain.c */

/** api_drain_check() - continue the shutdown if the API is idle. */
void api_drain_check(struct api *api);
void api_drain_destroy(struct api *api);

/* api_final_record.c: final records of stopped processes */

/** api_record_name() - name of the object with a process's final record. */
void api_record_name(char *name, size_t size, const char *az, const char *host,
    uint64_t incarnation);

/** api_record_render() - this process's record as text for free(3), or NULL. */
char *api_record_render(const struct api *api, size_t *len);

/** api_record_reply() - reply from the final record of the ticket's issuer. */
void api_record_reply(const struct final_record *record, struct api_call *call);

/* api_issuers.c: issuers that do not reply */

/**
 * api_issuers_reply() - reply to a deferred call from the final record of its
 * ticket's issuer, or with call->refusal_without_record if there is none.
 */
void api_issuers_reply(struct api_call *call);
void api_issuers_destroy(struct api *api);

#endif /* ENTRY_API_INTERNAL_H */
