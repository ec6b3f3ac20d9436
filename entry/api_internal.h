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
 * What the API's modules share. All run on the thread of the event base.
 *
 * A call is one request that was not answered at once; it is found by the
 * caller's arg, so that it can be abandoned. A work is one submission or
 * single request of this host: calls wait for it, and it outlives them. Once
 * ended it holds the rendered answer; one with a ticket of its own is then
 * kept by core/claims, any other is freed.
 */

#define API_CALL_BUCKETS 4096
#define API_WAIT_MS_MAX 60000
#define API_WAIT_END UINT32_MAX /* milliseconds: as long as it takes */
#define API_TICKETS_MAX 256	/* of one POST /v1/tickets */
#define API_JSON "application/json"
#define API_BYTES "application/octet-stream"

struct api_call;
struct api_issuer;
struct idem;
struct idem_key;
struct record;

TAILQ_HEAD(api_call_list, api_call);
LIST_HEAD(api_call_bucket, api_call);
TAILQ_HEAD(api_work_list, api_work);
TAILQ_HEAD(api_issuer_list, api_issuer);

/** enum api_phase - of the shutdown. */
enum api_phase {
	API_OPEN,
	API_LEAVING, /* not ready, but still takes new work */
	API_CLOSED,  /* takes no new work */
	API_STORING, /* nothing is left but the final record */
	API_DRAINED,
};

/** struct api_work - one submission or single request. */
struct api_work {
	struct claim claim; /* first: linked while claimed */
	struct api *api;
	char id[TICKET_SIZE];
	bool claimed;	/* has a ticket of this process */
	bool single;	/* a single request */
	bool submitted; /* the engine has it */
	bool cancelled;
	size_t ntasks;
	uint64_t received_us;
	struct submission *subm; /* until the engine has it */
	struct idem_key *key;	 /* claimed with it, or NULL */
	struct api_call_list calls;
	TAILQ_ENTRY(api_work) running;
	bool ended;
	/* The answer, once ended. */
	int status;
	enum outcome outcome;
	const char *content_type;
	char *body; /* owned, free(3) */
	size_t body_len;
};

/** struct api_call - a request and the way to answer it. */
struct api_call {
	struct api *api;
	const struct api_request *request; /* NULL once api_handle() ends */
	api_reply_fn reply;		   /* NULL once abandoned */
	void *arg;
	bool kept;	   /* on the heap, linked by arg */
	bool gives_ticket; /* the reply may carry the next ticket */
	bool forwarded;	   /* came from a peer */
	struct event *timer;
	struct api_work *work; /* waits for it, or NULL */
	uint32_t wait_ms;      /* for a work that is not started yet */
	struct ticket ticket;  /* of another issuer, for forwarding */
	enum refusal absent;   /* the answer if its issuer left no record */
	LIST_ENTRY(api_call) by_arg;
	TAILQ_ENTRY(api_call) all;
	TAILQ_ENTRY(api_call) of_work; /* or of an issuer's record */
};

/** struct api - see entry/api.h. */
struct api {
	struct api_params params;
	struct peers *peers;
	const struct api_handler *work_handler; /* or NULL */
	struct tkt_issuer issuer;
	struct claims *claims;
	struct idem *idem;
	struct api_work_list running;
	size_t nrunning;
	struct api_call_list all; /* kept calls */
	size_t ncalls;
	struct event *expiry;
	struct api_issuer_list issuers; /* newest first */
	struct api_call_bucket calls[API_CALL_BUCKETS];

	enum api_phase phase;
	struct event *drain_timer;
	struct event *drain_limit;
	bool cut; /* the shutdown's limit has passed */
	unsigned int record_tries;
	char *record;
	size_t record_len;
	void (*drained)(void *arg);
	void *drained_arg;
};

/* api.c: calls */

/** api_call_keep() - a copy on the heap for a reply that comes later. */
struct api_call *api_call_keep(struct api_call *call);

/** api_call_reply() - answer a call, and free it if it was kept. */
void api_call_reply(struct api_call *call, const struct api_reply *reply);

/** api_call_refuse() - answer with a row of the table of refusals. */
void api_call_refuse(struct api_call *call, enum refusal refusal,
    const char *peer);

/** api_call_problem() - answer with @err under the row @refusal. */
void api_call_problem(struct api_call *call, enum refusal refusal,
    const struct err *err);

/** api_call_json() - answer with a document, whose reference is taken. */
void api_call_json(struct api_call *call, int status, json_t *doc);

/** api_now() - monotonic time, microseconds. */
uint64_t api_now(const struct api *api);

/* api_execution.c: submissions and their answers */

/** api_work_create() - a running work for @subm, which it takes; or NULL. */
struct api_work *api_work_create(struct api *api, const char *id,
    struct submission *subm);

/** api_work_attach() - have a kept call answered when the work ends. */
void api_work_attach(struct api_work *work, struct api_call *call);

/**
 * api_work_start() - give it to the engine.
 * Return: false if that was refused: then the work has ended already.
 */
bool api_work_start(struct api_work *work);

/** api_call_wait() - answer an attached call after @wait_ms at the latest. */
void api_call_wait(struct api_call *call, uint32_t wait_ms);

/** api_work_wait() - answer a call when the work ends, or after @wait_ms. */
void api_work_wait(struct api_work *work, struct api_call *call,
    uint32_t wait_ms);

/** api_work_end() - it has ended; takes @answer. */
void api_work_end(struct api_work *work, struct answer *answer);

/** api_work_refuse() - it has ended by a row of the table, with @err. */
void api_work_refuse(struct api_work *work, enum refusal refusal,
    const struct err *err);

/** api_work_cancel() - cancel a running work. */
void api_work_cancel(struct api_work *work);

/** api_work_reply() - answer a call from an ended work. */
void api_work_reply(const struct api_work *work, struct api_call *call);

/** api_work_drop() - end without an answer; its calls must be gone. */
void api_work_drop(struct api_work *work);

/** api_work_release() - free an ended work; a clm_release_fn. */
void api_work_release(void *arg, struct claim *claim);

/* api_submit.c: from a parsed submission to a work */

/** api_submit() - start it, join it, or forward it; takes @subm. */
void api_submit(struct api_call *call, struct submission *subm,
    const char *ticket, uint32_t wait_ms);

/** api_ticket_issue() - a fresh ticket's text and its number. */
uint64_t api_ticket_issue(struct api *api, char text[TICKET_SIZE]);

/* api_parse.c */

/** struct api_form - a parsed submission. */
struct api_form {
	struct submission *subm;
	char ticket[TICKET_SIZE]; /* "" if none */
};

/**
 * api_parse_submission() - read the body of POST /v1/jobs.
 *
 * Return: 0, or -1 with @refusal and @err.
 */
int api_parse_submission(const void *body, size_t len, struct api_form *form,
    enum refusal *refusal, struct err *err);

/** api_parse_json() - a JSON object within the bounds, or NULL. */
json_t *api_parse_json(const void *body, size_t len, enum refusal *refusal,
    struct err *err);

/**
 * api_query_number() - a decimal parameter of a query.
 * @value: unchanged if the parameter does not stand there.
 *
 * Return: 0, or -1 if it is no number or above @max.
 */
int api_query_number(const char *query, const char *name, uint32_t max,
    uint32_t *value);

/** api_query_text() - a parameter's text as it stands; false if absent. */
bool api_query_text(const char *query, const char *name, char *text,
    size_t size);

/* api_render.c */

/** api_render_answer() - an answer as text for free(3), or NULL. */
char *api_render_answer(struct crypto *crypto, const char *id,
    const struct answer *answer, size_t *len);

/** api_render_body() - set "body", or "body_base64" if it is not UTF-8. */
int api_render_body(json_t *doc, const char *body, size_t len);

/** api_render_progress() - a submission that still runs. */
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

/** api_answered() - count an answer and its response time. */
void api_answered(enum outcome outcome, uint64_t elapsed_us);

/**
 * api_jobs_answer() - the answer of the ticket @id, from here or its issuer.
 * @request: to be forwarded if another process issued it.
 */
void api_jobs_answer(struct api_call *call, const char *id, uint32_t wait_ms,
    const struct api_request *request);

/* api_forward.c */

/** api_forward() - have the issuer of @ticket answer @request. */
void api_forward(struct api_call *call, const struct ticket *ticket,
    const char *id, const struct api_request *request);

/* api_drain.c */

/** api_drain_check() - go on with the shutdown if nothing is left. */
void api_drain_check(struct api *api);
void api_drain_destroy(struct api *api);

/* api_final_record.c: final records of stopped processes */

/** api_record_name() - of the object that holds a process's final record. */
void api_record_name(char *name, size_t size, const char *az, const char *host,
    uint64_t incarnation);

/** api_record_write() - this process's record, text for free(3), or NULL. */
char *api_record_write(const struct api *api, size_t *len);

/** api_record_reply() - answer a call from the record of its issuer. */
void api_record_reply(const struct record *record, struct api_call *call);

/* api_issuers.c: issuers that are gone */

/**
 * api_issuers_ask() - answer a kept call from the final record of its
 * ticket's issuer, or by call->absent if there is none.
 */
void api_issuers_ask(struct api_call *call);
void api_issuers_destroy(struct api *api);

#endif /* ENTRY_API_INTERNAL_H */
