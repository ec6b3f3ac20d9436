/*
 * Submission of jobs to a holder. The submitting side passes a job to this
 * host's own scheduler or forwards it to a peer; the holder's side serves the
 * requests that peers forward.
 */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/api_internal.h"
#include "entry/jobs/cells_internal.h"
#include "entry/jobs/job_json.h"

#define CELLS_US_PER_MS UINT64_C(1000)
#define CELLS_QUERY_SIZE 640
#define CELLS_NUMBER_MAX 1000000000 /* larger query values are capped */
/* Delay after which a caller may retry a job that the store refused. */
#define CELLS_STORE_RETRY_AFTER_MS 1000

/* Sent at an unknown time, as by hosts of earlier versions. */
#define CELLS_SENT_UNKNOWN UINT32_MAX

/* HTTP statuses of replies between hosts, by result. */
static const int cells_result_statuses[] = {
	[SCHED_COMPLETED] = 200,
	[SCHED_FAILED] = 422,
	[SCHED_NOT_RUN] = 503,
	[SCHED_OUTCOME_UNKNOWN] = 504,
	[SCHED_NOT_HOLDER] = 421,
	[SCHED_UNSUPPORTED] = 400,
	[SCHED_ACCEPTED] = 202,
};

void
cells_submission_free(struct cells_submission *sub)
{
	TAILQ_REMOVE(&sub->cells->submissions, sub, entry);
	free(sub);
}

void
cells_submissions_free(struct cells *cells)
{
	struct cells_submission *sub, *next;

	TAILQ_FOREACH_SAFE (sub, &cells->submissions, entry, next)
		cells_submission_free(sub);
}

void
cells_send_reply(api_reply_fn reply, void *arg, int status, const char *body)
{
	const struct api_reply message = {
		.status = status,
		.content_type = "application/json",
		.body = body,
		.body_len = strlen(body),
	};

	reply(arg, &message);
}

/* The holder of another cell that can run a job with this result. */
static struct cells_overflow
cells_overflow_after(const struct cells *cells,
    const struct sched_reply *result)
{
	const char *name = result->result == SCHED_NOT_RUN
	    ? cells_overflow_holder(cells)
	    : NULL;
	struct cells_overflow overflow = { .holder = "" };

	if (name != NULL) {
		strlcpy(overflow.holder, name, sizeof(overflow.holder));
		overflow.replied_at = cells_host_find(cells, name)->replied_at;
	}
	return overflow;
}

static void
cells_send_result(const struct cells *cells, api_reply_fn reply, void *arg,
    const struct sched_reply *result)
{
	json_t *body = json_pack("{s:s,s:i}", "reason", result->reason,
	    "retry_after_ms", (int)result->retry_after_ms);
	struct cells_overflow overflow = cells_overflow_after(cells, result);
	char *text;

	if (overflow.holder[0] != '\0')
		(void)json_object_update_new(body,
		    json_pack("{s:s,s:I}", "overflow", overflow.holder,
			"overflow_replied_at",
			(json_int_t)overflow.replied_at));
	text = json_dumps(body, JSON_COMPACT);
	if (text == NULL)
		abort();
	cells_send_reply(reply, arg, cells_result_statuses[result->result],
	    text);
	free(text);
	json_decref(body);
}

static void
cells_submission_done(void *arg, const struct sched_reply *result)
{
	struct cells_submission *sub = arg;
	const struct cells *cells = sub->cells;
	cells_done_fn done = sub->done;
	api_reply_fn reply = sub->reply;
	void *reply_arg = sub->arg;
	struct cells_overflow overflow;

	cells_submission_free(sub);
	if (done != NULL) {
		overflow = cells_overflow_after(cells, result);
		done(reply_arg, CELLS_REPLIED, result, &overflow);
	} else {
		cells_send_result(cells, reply, reply_arg, result);
	}
}

struct cells_submission *
cells_submission_create(struct cells *cells, const char *id, uint64_t nonce,
    void *arg)
{
	struct cells_submission *sub = mem_zalloc(1, sizeof(*sub));

	sub->cells = cells;
	strlcpy(sub->id, id, sizeof(sub->id));
	sub->nonce = nonce;
	sub->arg = arg;
	TAILQ_INSERT_TAIL(&cells->submissions, sub, entry);
	return sub;
}

/* Replies with the result of storing a job. */
static void
cells_store_done(void *arg, enum jstore_result result)
{
	static const struct sched_reply replies[] = {
		[JSTORE_OK] = { .result = SCHED_ACCEPTED, .reason = "stored" },
		[JSTORE_REFUSED] = { .result = SCHED_NOT_RUN,
		    .retry_after_ms = CELLS_STORE_RETRY_AFTER_MS,
		    .reason = "the store refused the job" },
		[JSTORE_UNKNOWN] = { .result = SCHED_OUTCOME_UNKNOWN,
		    .reason =
			"the store did not confirm that the job is stored" },
		[JSTORE_NO_JOB] = { .result = SCHED_OUTCOME_UNKNOWN,
		    .reason = "no such job" },
	};

	cells_submission_done(arg, &replies[result]);
}

/* Parses a job and passes it to this host's scheduler; all but best-effort jobs
 * are stored first. */
static void
cells_submit_local(struct cells_submission *sub, const struct cells_job *job)
{
	struct sched_request request = {
		.queue = *job->queue,
		.age_ms = job->age_ms,
		.timeout_ms = job->timeout_ms,
		.sent_ago_ms = job->sent_ago_ms,
		.resubmitted = job->resubmitted,
		.nonce = sub->nonce,
		.may_refuse = job->may_refuse &&
		    cells_overflow_holder(sub->cells) != NULL,
	};
	struct sched_reply invalid = { .result = SCHED_UNSUPPORTED };
	struct err err;

	strlcpy(request.host, sub->host, sizeof(request.host));
	if (job_parse(&request.spec, job->id, job->body, job->body_len, &err) ==
	    -1) {
		invalid.reason = err.message;
		cells_submission_done(sub, &invalid);
		return;
	}
	if (!request.spec.best_effort && request.spec.unsupported == NULL) {
		jstore_accept(sub->cells->job_store, &request, job->body,
		    job->body_len, cells_store_done, sub);
		return;
	}
	sched_submit(sub->cells->params.sched, &request, cells_submission_done,
	    sub);
}

/* Submitting side */

/* A forwarded job. */
struct cells_forward_call {
	struct cells *cells;
	char holder[NAME_SIZE];
	cells_done_fn done;
	void *arg;
};

/* A host that refuses a job returns its time, so that the next submission to it
 * does not count as sent long ago. */
static void
cells_refused(struct cells_forward_call *call, const json_t *body)
{
	struct cells_host *host = cells_host_find(call->cells, call->holder);
	uint64_t replied_at =
	    (uint64_t)json_integer_value(json_object_get(body, "replied_at"));

	if (host != NULL && replied_at > host->replied_at)
		host->replied_at = replied_at;
	call->done(call->arg, CELLS_NOT_ACCEPTED, NULL, NULL);
}

static void
cells_forward_done(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	struct cells_forward_call *call = arg;
	struct sched_reply result = { .result = SCHED_OUTCOME_UNKNOWN,
		.reason = "the holder's reply has an unknown HTTP status" };
	struct cells_overflow overflow = { .holder = "" };
	const char *holder;
	json_t *body;
	size_t i;

	if (reply == NULL) {
		call->done(call->arg,
		    peers_not_executed(err) ? CELLS_NOT_ACCEPTED : CELLS_LOST,
		    NULL, NULL);
		free(call);
		return;
	}
	for (i = 0; i <
	     sizeof(cells_result_statuses) / sizeof(cells_result_statuses[0]);
	     i++) {
		if (cells_result_statuses[i] == reply->status)
			result.result = (enum sched_result)i;
	}
	body = json_loadb(reply->body, reply->body_len, 0, NULL);
	if (json_is_string(json_object_get(body, "reason")))
		result.reason =
		    json_string_value(json_object_get(body, "reason"));
	result.retry_after_ms = (uint32_t)json_integer_value(
	    json_object_get(body, "retry_after_ms"));
	holder = json_string_value(json_object_get(body, "overflow"));
	if (holder != NULL)
		strlcpy(overflow.holder, holder, sizeof(overflow.holder));
	overflow.replied_at = (uint64_t)json_integer_value(
	    json_object_get(body, "overflow_replied_at"));
	if (json_is_false(json_object_get(body, "accepted")))
		cells_refused(call, body);
	else
		call->done(call->arg, CELLS_REPLIED, &result, &overflow);
	json_decref(body);
	free(call);
}

static void
cells_forward(struct cells *cells, const struct cells_host *host,
    const struct cells_job *job, cells_done_fn done, void *arg)
{
	char path[sizeof(CELLS_JOBS_PATH) + JOB_ID_LEN + 1];
	char query[CELLS_QUERY_SIZE];
	const struct job_queue *queue = job->queue;
	struct api_request request = {
		.method = API_POST,
		.path = path,
		.query = query,
		.body = job->body,
		.body_len = job->body_len,
	};
	struct cells_forward_call *call = mem_zalloc(1, sizeof(*call));

	call->cells = cells;
	strlcpy(call->holder, host->info.name, sizeof(call->holder));
	call->done = done;
	call->arg = arg;
	(void)snprintf(path, sizeof(path), CELLS_JOBS_PATH "%s", job->id);
	(void)snprintf(query, sizeof(query),
	    "age_ms=%" PRIu32 "&patience_ms=%" PRIu32
	    "&again=%d&may_refuse=%d&nonce=%" PRIu64
	    "&queue=%s&service=%s&priority=%" PRIu32 "&attempts=%" PRIu32
	    "&slack=%" PRIu32 "&target_ms=%" PRIu32
	    "&advised=%d&config=%" PRIu64 "&replied_at=%" PRIu64
	    "&token=%" PRIu64 "&host=%s&incarnation=%" PRIu64,
	    job->age_ms, job->timeout_ms, job->resubmitted ? 1 : 0,
	    job->may_refuse ? 1 : 0, job->nonce, queue->name, queue->service,
	    queue->priority, queue->max_attempts, queue->slack_permille,
	    queue->target_ms, queue->advised ? 1 : 0, queue->config_version,
	    host->zone->local ? host->replied_at : job->holder_replied_at,
	    host->zone->local ? host->token : 0, cells->params.self.name,
	    cells->params.self.incarnation);
	cells->params.peers->ops->forward(cells->params.peers, host->info.az,
	    host->info.name, host->incarnation, &request, cells_forward_done,
	    call);
}

/* Whether a request to the host is sent at once. It would wait for a connection
 * otherwise, and a job be sent after its cancellation, which does not wait. */
static bool
cells_host_is_connected(const struct cells *cells,
    const struct cells_host *host)
{
	uint64_t incarnation;

	return host->connected &&
	    cells->params.is_connected(cells->params.peers, host->info.name,
		&incarnation) &&
	    incarnation == host->incarnation;
}

void
cells_submit(struct cells *cells, const char *holder,
    const struct cells_job *job, cells_done_fn done, void *arg)
{
	struct cells_submission *sub;
	const struct cells_host *host;

	if (strcmp(holder, cells->params.self.name) == 0) {
		sub = cells_submission_create(cells, job->id, job->nonce, arg);
		sub->done = done;
		cells_submit_local(sub, job);
		return;
	}
	host = cells_host_find(cells, holder);
	if (host == NULL || !cells_host_is_connected(cells, host)) {
		done(arg, CELLS_NOT_ACCEPTED, NULL, NULL);
		return;
	}
	cells_forward(cells, host, job, done, arg);
}

static void
cells_cancel_done(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	(void)arg;
	(void)reply;
	(void)err;
}

static struct cells_submission *
cells_submission_find(const struct cells *cells, const char *id, uint64_t nonce)
{
	struct cells_submission *sub;

	TAILQ_FOREACH (sub, &cells->submissions, entry) {
		if (sub->nonce == nonce && strcmp(sub->id, id) == 0)
			return sub;
	}
	return NULL;
}

static void
cells_submission_cancel(struct cells_submission *sub)
{
	const struct sched_reply cancelled = { .result = SCHED_OUTCOME_UNKNOWN,
		.reason = "cancelled" };

	sched_cancel(sub->cells->params.sched, sub->id, sub);
	jstore_drop_callbacks(sub->cells->job_store, sub);
	cells_submission_done(sub, &cancelled);
}

void
cells_cancel(struct cells *cells, const char *holder, const char *id,
    uint64_t nonce)
{
	bool local = strcmp(holder, cells->params.self.name) == 0;
	struct cells_submission *sub =
	    local ? cells_submission_find(cells, id, nonce) : NULL;
	/* A closed connection is found closed when it is read. */
	uint64_t lost_ms =
	    (cells_now_us(cells) - cells_unread_since_us(cells)) /
	    CELLS_US_PER_MS;
	char path[sizeof(CELLS_JOBS_PATH) + JOB_ID_LEN + 1], query[64];
	struct api_request request = { .method = API_DELETE,
		.path = path,
		.query = query };
	const struct cells_host *host = cells_host_find(cells, holder);
	uint64_t incarnation;

	if (sub != NULL) {
		cells_submission_cancel(sub);
		return;
	}
	if (local)
		return;
	(void)snprintf(path, sizeof(path), CELLS_JOBS_PATH "%s", id);
	(void)snprintf(query, sizeof(query),
	    "nonce=%" PRIu64 "&lost_ms=%" PRIu64, nonce, lost_ms);
	/* A host whose row was removed may still run the job. */
	if (cells->params.is_connected(cells->params.peers, holder,
		&incarnation))
		cells->params.peers->ops->forward(cells->params.peers,
		    host != NULL ? host->info.az : "", holder, incarnation,
		    &request, cells_cancel_done, NULL);
}

/* Holder's side */

uint64_t
cells_query_u64(const struct api_request *request, const char *name)
{
	char text[24];

	if (!api_query_text(request->query, name, text, sizeof(text)))
		return 0;
	return strtoull(text, NULL, 10);
}

static uint32_t
cells_query_u32(const struct api_request *request, const char *name)
{
	uint64_t value = cells_query_u64(request, name);

	return value > CELLS_NUMBER_MAX ? CELLS_NUMBER_MAX : (uint32_t)value;
}

/* How long ago at most a peer sent a request with the time in this host's last
 * message that its sender knew of. */
static uint64_t
cells_sent_ago_ms(const struct cells *cells, const struct api_request *request)
{
	uint64_t replied_at = cells_query_u64(request, "replied_at");
	uint64_t now_us = cells_now_us(cells);

	if (replied_at == 0)
		return CELLS_SENT_UNKNOWN;
	return replied_at > now_us ? now_us / CELLS_US_PER_MS
				   : (now_us - replied_at) / CELLS_US_PER_MS;
}

/* The reason why a job of a peer is not accepted, or NULL. A host of an earlier
 * version sends no token, and may send a time at which it was the holder
 * itself. */
static const char *
cells_refusal(const struct cells *cells, const struct api_request *request,
    const struct cells_job *job)
{
	uint64_t own_token = sched_token(cells->params.sched);
	uint64_t token = cells_query_u64(request, "token");
	char text[2];

	if (own_token == 0)
		return "this host is not the holder of the cell";
	/* Its sender may have submitted it to the holder in between. */
	if (token != 0 && token != own_token)
		return "this host became the holder after the job was sent";
	if (job->sent_ago_ms != CELLS_SENT_UNKNOWN &&
	    job->sent_ago_ms > CELLS_FORWARD_VALID_MS &&
	    api_query_text(request->query, "token", text, sizeof(text)))
		return "the job was sent too long ago";
	if (cells_withdrawn_find(cells, job->id, job->nonce))
		return "the job was cancelled before it arrived";
	return NULL;
}

/* Replies that a job was not accepted. Hosts of earlier versions take it for
 * one that may have been started. */
static void
cells_refuse(const struct cells *cells, api_reply_fn reply, void *arg,
    const char *reason)
{
	json_t *body = json_pack("{s:s,s:b,s:I}", "reason", reason, "accepted",
	    0, "replied_at", (json_int_t)cells_now_us(cells));
	char *text = json_dumps(body, JSON_COMPACT);

	if (text == NULL)
		abort();
	cells_send_reply(reply, arg, cells_result_statuses[SCHED_NOT_HOLDER],
	    text);
	free(text);
	json_decref(body);
}

/* Until a further message comes by its connection, the host is known to wait
 * only as of when it sent the job. */
static void
cells_submission_arrived(struct cells_submission *sub, uint64_t sent_ago_ms)
{
	const struct cells_params *params = &sub->cells->params;
	uint64_t now_us = cells_now_us(sub->cells);
	uint64_t sent_ago_us = sent_ago_ms * CELLS_US_PER_MS;

	if (sub->host[0] == '\0' || sent_ago_ms == CELLS_SENT_UNKNOWN)
		return;
	sub->heard_us =
	    params->alive_us(params->peers, sub->host, sub->connection);
	sub->alive_us = sent_ago_us < now_us ? now_us - sent_ago_us : 1;
	if (sub->heard_us < sub->alive_us)
		sub->alive_us = sub->heard_us;
}

static void
cells_handle_submit(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct job_queue queue = { 0 };
	struct cells_job job = {
		.id = request->path + sizeof(CELLS_JOBS_PATH) - 1,
		.queue = &queue,
		.body = request->body == NULL ? "" : request->body,
		.body_len = request->body_len,
		.age_ms = cells_query_u32(request, "age_ms"),
		.timeout_ms = cells_query_u32(request, "patience_ms"),
		.sent_ago_ms = cells_sent_ago_ms(cells, request),
		.resubmitted = cells_query_u32(request, "again") != 0,
		.may_refuse = cells_query_u32(request, "may_refuse") != 0,
		.nonce = cells_query_u64(request, "nonce"),
	};
	const char *refusal = cells_refusal(cells, request, &job);
	struct cells_submission *sub;

	(void)api_query_text(request->query, "queue", queue.name, NAME_SIZE);
	(void)api_query_text(request->query, "service", queue.service,
	    NAME_SIZE);
	queue.priority = cells_query_u32(request, "priority");
	queue.max_attempts = cells_query_u32(request, "attempts");
	queue.slack_permille = cells_query_u32(request, "slack");
	queue.target_ms = cells_query_u32(request, "target_ms");
	queue.advised = cells_query_u32(request, "advised") != 0;
	queue.config_version = cells_query_u64(request, "config");
	log_event(LOG_LEVEL_INFO, "forward-received",
	    "id=%s nonce=%" PRIu64 " token=%" PRIu64 " sent_to_token=%" PRIu64
	    " resubmitted=%d age_ms=%" PRIu32 " sent_ago_ms=%" PRIu64
	    " refusal=\"%s\"",
	    job.id, job.nonce, sched_token(cells->params.sched),
	    cells_query_u64(request, "token"), job.resubmitted ? 1 : 0,
	    job.age_ms, job.sent_ago_ms, refusal == NULL ? "" : refusal);
	if (refusal != NULL) {
		cells_refuse(cells, reply, arg, refusal);
		return;
	}
	sub = cells_submission_create(cells, job.id, job.nonce, arg);
	sub->reply = reply;
	(void)api_query_text(request->query, "host", sub->host, NAME_SIZE);
	sub->connection = request->connection;
	cells_submission_arrived(sub, job.sent_ago_ms);
	cells_submit_local(sub, &job);
}

static void
cells_handle_cancel(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	const char *id = request->path + sizeof(CELLS_JOBS_PATH) - 1;
	uint64_t nonce = cells_query_u64(request, "nonce");
	struct cells_submission *sub = cells_submission_find(cells, id, nonce);

	cells_withdrawn_add(cells, id, nonce);
	if (sub != NULL) {
		sub->lost_us = cells_now_us(cells) -
		    cells_query_u32(request, "lost_ms") * CELLS_US_PER_MS;
		cells_submission_cancel(sub);
	}
	cells_send_reply(reply, arg, 200, "{}");
}

uint64_t
cells_submitter_alive_us(struct cells *cells, void *submission)
{
	struct cells_submission *sub = submission;
	const struct cells_params *params = &cells->params;
	uint64_t alive_us;

	if (sub->host[0] == '\0')
		return cells_unread_since_us(cells);
	alive_us = params->alive_us(params->peers, sub->host, sub->connection);
	/* The connection may have been closed since. */
	if (alive_us > sub->heard_us && alive_us > sub->alive_us)
		sub->alive_us = alive_us;
	return sub->lost_us != 0 && sub->lost_us < sub->alive_us
	    ? sub->lost_us
	    : sub->alive_us;
}

void
cells_handle(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	if (strncmp(request->path, CELLS_JOBS_PATH,
		sizeof(CELLS_JOBS_PATH) - 1) == 0) {
		if (request->method == API_POST)
			cells_handle_submit(cells, request, reply, arg);
		else if (request->method == API_GET)
			cells_handle_job_state(cells, request, reply, arg);
		else
			cells_handle_cancel(cells, request, reply, arg);
	} else if (strncmp(request->path, CELLS_CANCEL_PATH,
		       sizeof(CELLS_CANCEL_PATH) - 1) == 0) {
		cells_handle_cancel_stored(cells, request, reply, arg);
	} else if (strcmp(request->path, CELLS_PATH "state") == 0) {
		cells_handle_state(cells, request, reply, arg);
	} else if (strcmp(request->path, CELLS_PATH "held") == 0) {
		cells_handle_announcement(cells, request, reply, arg);
	} else if (strcmp(request->path, CELLS_PATH "waiting") == 0) {
		cells_handle_waiting(cells, request, reply, arg);
	} else {
		cells_send_reply(reply, arg, 404, "{}");
	}
}

bool
cells_abandon(struct cells *cells, void *arg)
{
	struct cells_submission *sub;

	TAILQ_FOREACH (sub, &cells->submissions, entry) {
		if (sub->reply == NULL || sub->arg != arg)
			continue;
		sched_cancel(cells->params.sched, sub->id, sub);
		jstore_drop_callbacks(cells->job_store, sub);
		cells_submission_free(sub);
		return true;
	}
	return false;
}
