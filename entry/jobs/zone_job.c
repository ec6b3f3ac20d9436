/*
 * Jobs on their way to a holder: the submitter's side, which brings a job to
 * this host's own holder or forwards it, and the side of the holder, which
 * serves what peers forward.
 */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/api_internal.h"
#include "entry/jobs/job_json.h"
#include "entry/jobs/zone_internal.h"

#define ZONE_QUERY_SIZE 512
#define ZONE_NUMBER_MAX 1000000000
#define ZONE_PERMILLE 1000
#define ZONE_STORE_RETRY_MS 1000 /* Retry-After while the store is away */

/* HTTP statuses between hosts, by result. */
static const int zone_statuses[] = {
	[HOLDER_COMPLETED] = 200,
	[HOLDER_FAILED] = 422,
	[HOLDER_NOT_RUN] = 503,
	[HOLDER_GAVE_UP] = 504,
	[HOLDER_MOVED] = 421,
	[HOLDER_BAD] = 400,
	[HOLDER_ACCEPTED] = 202,
};

void
zone_submission_free(struct zone_submission *sub)
{
	TAILQ_REMOVE(&sub->zone->served, sub, entry);
	free(sub);
}

void
zone_served_drop(struct zone *zone)
{
	struct zone_submission *sub, *next;

	TAILQ_FOREACH_SAFE (sub, &zone->served, entry, next)
		zone_submission_free(sub);
}

void
zone_reply(api_reply_fn reply, void *arg, int status, const char *body)
{
	const struct api_reply message = {
		.status = status,
		.content_type = "application/json",
		.body = body,
		.body_len = strlen(body),
	};

	reply(arg, &message);
}

static void
zone_reply_result(api_reply_fn reply, void *arg,
    const struct holder_reply *result)
{
	json_t *body = json_pack("{s:s,s:i}", "reason", result->reason,
	    "retry_after_ms", (int)result->retry_after_ms);
	char *text = json_dumps(body, JSON_COMPACT);

	if (text == NULL)
		abort();
	zone_reply(reply, arg, zone_statuses[result->result], text);
	free(text);
	json_decref(body);
}

static void
zone_held_done(void *arg, const struct holder_reply *result)
{
	struct zone_submission *sub = arg;
	zone_done_fn done = sub->done;
	api_reply_fn reply = sub->reply;
	void *to = sub->arg;

	zone_submission_free(sub);
	if (done != NULL)
		done(to, ZONE_ANSWERED, result);
	else
		zone_reply_result(reply, to, result);
}

struct zone_submission *
zone_submission_create(struct zone *zone, const char *id, uint64_t nonce,
    void *arg)
{
	struct zone_submission *sub = mem_zalloc(1, sizeof(*sub));

	sub->zone = zone;
	strlcpy(sub->id, id, sizeof(sub->id));
	sub->nonce = nonce;
	sub->arg = arg;
	TAILQ_INSERT_TAIL(&zone->served, sub, entry);
	return sub;
}

/* A stored job was accepted, or not. */
static void
zone_kept(void *arg, enum jstore_result result)
{
	static const struct holder_reply replies[] = {
		[JSTORE_OK] = { .result = HOLDER_ACCEPTED, .reason = "stored" },
		[JSTORE_REFUSED] = { .result = HOLDER_NOT_RUN,
		    .retry_after_ms = ZONE_STORE_RETRY_MS,
		    .reason = "the store does not take it" },
		[JSTORE_UNKNOWN] = { .result = HOLDER_GAVE_UP,
		    .reason = "it is not known whether it is stored" },
		[JSTORE_NO_JOB] = { .result = HOLDER_GAVE_UP,
		    .reason = "no such job" },
	};

	zone_held_done(arg, &replies[result]);
}

/* Reads a job and hands it to this host's holder. */
static void
zone_hold(struct zone_submission *sub, const struct zone_job *job)
{
	struct holder_request request = {
		.queue = *job->queue,
		.age_ms = job->age_ms,
		.patience_ms = job->patience_ms,
		.resubmitted = job->resubmitted,
		.may_refuse = job->may_refuse,
	};
	struct holder_reply bad = { .result = HOLDER_BAD };
	struct err err;

	if (job_parse(&request.spec, job->id, job->body, job->body_len, &err) ==
	    -1) {
		bad.reason = err.message;
		zone_held_done(sub, &bad);
		return;
	}
	if (!request.spec.best_effort && request.spec.unsupported == NULL) {
		jstore_accept(sub->zone->keeper, &request, job->body,
		    job->body_len, zone_kept, sub);
		return;
	}
	holder_submit(sub->zone->params.holder, &request, zone_held_done, sub);
}

/* The submitter's side */

struct zone_sent {
	zone_done_fn done;
	void *arg;
};

static void
zone_answered(void *arg, const struct api_reply *reply, const struct err *err)
{
	struct zone_sent *sent = arg;
	struct holder_reply result = { .result = HOLDER_GAVE_UP,
		.reason = "unknown answer of the holder" };
	json_t *body;
	size_t i;

	if (reply == NULL) {
		sent->done(sent->arg,
		    err->code == ERR_LOST ? ZONE_LOST : ZONE_NOT_SENT, NULL);
		free(sent);
		return;
	}
	for (i = 0; i < sizeof(zone_statuses) / sizeof(zone_statuses[0]); i++) {
		if (zone_statuses[i] == reply->status)
			result.result = (enum holder_result)i;
	}
	body = json_loadb(reply->body, reply->body_len, 0, NULL);
	if (json_is_string(json_object_get(body, "reason")))
		result.reason =
		    json_string_value(json_object_get(body, "reason"));
	result.retry_after_ms = (uint32_t)json_integer_value(
	    json_object_get(body, "retry_after_ms"));
	sent->done(sent->arg, ZONE_ANSWERED, &result);
	json_decref(body);
	free(sent);
}

static void
zone_forward(struct zone *zone, const struct zone_host *host,
    const struct zone_job *job, zone_done_fn done, void *arg)
{
	char path[sizeof(ZONE_JOBS_PATH) + JOB_ID_LEN + 1];
	char query[ZONE_QUERY_SIZE];
	const struct job_queue *queue = job->queue;
	struct api_request request = {
		.method = API_POST,
		.path = path,
		.query = query,
		.body = job->body,
		.body_len = job->body_len,
	};
	struct zone_sent *sent = mem_zalloc(1, sizeof(*sent));

	sent->done = done;
	sent->arg = arg;
	(void)snprintf(path, sizeof(path), ZONE_JOBS_PATH "%s", job->id);
	(void)snprintf(query, sizeof(query),
	    "age_ms=%" PRIu32 "&patience_ms=%" PRIu32
	    "&again=%d&may_refuse=%d&nonce=%" PRIu64
	    "&queue=%s&service=%s&priority=%" PRIu32 "&attempts=%" PRIu32
	    "&slack=%" PRIu32 "&target_ms=%" PRIu32 "&advised=%d",
	    job->age_ms, job->patience_ms, job->resubmitted ? 1 : 0,
	    job->may_refuse ? 1 : 0, job->nonce, queue->name, queue->service,
	    queue->priority, queue->max_attempts, queue->slack_permille,
	    queue->target_ms, queue->advised ? 1 : 0);
	zone->params.peers->ops->forward(zone->params.peers, host->info.az,
	    host->info.name, host->incarnation, &request, zone_answered, sent);
}

void
zone_submit(struct zone *zone, const char *holder, const struct zone_job *job,
    zone_done_fn done, void *arg)
{
	struct zone_submission *sub;
	const struct zone_host *host;

	if (strcmp(holder, zone->params.self.name) == 0) {
		sub = zone_submission_create(zone, job->id, job->nonce, arg);
		sub->done = done;
		zone_hold(sub, job);
		return;
	}
	host = zone_host_find(zone, holder);
	if (host == NULL || !host->connected) {
		done(arg, ZONE_NOT_SENT, NULL);
		return;
	}
	zone_forward(zone, host, job, done, arg);
}

static void
zone_cancelled(void *arg, const struct api_reply *reply, const struct err *err)
{
	(void)arg;
	(void)reply;
	(void)err;
}

static struct zone_submission *
zone_submission_find(const struct zone *zone, const char *id, uint64_t nonce)
{
	struct zone_submission *sub;

	TAILQ_FOREACH (sub, &zone->served, entry) {
		if (sub->nonce == nonce && strcmp(sub->id, id) == 0)
			return sub;
	}
	return NULL;
}

static void
zone_submission_cancel(struct zone_submission *sub)
{
	const struct holder_reply gave_up = { .result = HOLDER_GAVE_UP,
		.reason = "cancelled" };

	holder_cancel(sub->zone->params.holder, sub->id, sub);
	jstore_drop_callbacks(sub->zone->keeper, sub);
	zone_held_done(sub, &gave_up);
}

void
zone_cancel(struct zone *zone, const char *holder, const char *id,
    uint64_t nonce)
{
	struct zone_submission *sub = zone_submission_find(zone, id, nonce);
	char path[sizeof(ZONE_JOBS_PATH) + JOB_ID_LEN + 1], query[64];
	struct api_request request = { .method = API_DELETE,
		.path = path,
		.query = query };
	const struct zone_host *host;

	if (sub != NULL) {
		zone_submission_cancel(sub);
		return;
	}
	(void)snprintf(path, sizeof(path), ZONE_JOBS_PATH "%s", id);
	(void)snprintf(query, sizeof(query), "nonce=%" PRIu64, nonce);
	host = zone_host_find(zone, holder);
	if (host != NULL && host->connected)
		zone->params.peers->ops->forward(zone->params.peers,
		    host->info.az, host->info.name, host->incarnation, &request,
		    zone_cancelled, NULL);
}

/* The holder's side */

static uint64_t
zone_query_u64(const struct api_request *request, const char *name)
{
	char text[24];

	if (!api_query_text(request->query, name, text, sizeof(text)))
		return 0;
	return strtoull(text, NULL, 10);
}

static uint32_t
zone_query_u32(const struct api_request *request, const char *name)
{
	uint64_t value = zone_query_u64(request, name);

	return value > ZONE_NUMBER_MAX ? ZONE_NUMBER_MAX : (uint32_t)value;
}

static void
zone_serve_job(struct zone *zone, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct job_queue queue = { 0 };
	struct zone_job job = {
		.id = request->path + sizeof(ZONE_JOBS_PATH) - 1,
		.queue = &queue,
		.body = request->body == NULL ? "" : request->body,
		.body_len = request->body_len,
		.age_ms = zone_query_u32(request, "age_ms"),
		.patience_ms = zone_query_u32(request, "patience_ms"),
		.resubmitted = zone_query_u32(request, "again") != 0,
		.may_refuse = zone_query_u32(request, "may_refuse") != 0,
		.nonce = zone_query_u64(request, "nonce"),
	};
	struct zone_submission *sub;

	(void)api_query_text(request->query, "queue", queue.name, NAME_SIZE);
	(void)api_query_text(request->query, "service", queue.service,
	    NAME_SIZE);
	queue.priority = zone_query_u32(request, "priority");
	queue.max_attempts = zone_query_u32(request, "attempts");
	queue.slack_permille = zone_query_u32(request, "slack");
	queue.target_ms = zone_query_u32(request, "target_ms");
	queue.advised = zone_query_u32(request, "advised") != 0;
	sub = zone_submission_create(zone, job.id, job.nonce, arg);
	sub->reply = reply;
	zone_hold(sub, &job);
}

static void
zone_serve_cancel(struct zone *zone, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct zone_submission *sub = zone_submission_find(zone,
	    request->path + sizeof(ZONE_JOBS_PATH) - 1,
	    zone_query_u64(request, "nonce"));

	if (sub != NULL)
		zone_submission_cancel(sub);
	zone_reply(reply, arg, 200, "{}");
}

static void
zone_add_pending(void *arg, const char *queue)
{
	json_int_t n = json_integer_value(json_object_get(arg, queue));

	(void)json_object_set_new(arg, queue, json_integer(n + 1));
}

/* Per queue, so that any host can add up a queue's jobs. */
static json_t *
zone_render_pending(const struct zone *zone)
{
	json_t *pending = json_object();

	holder_each_pending(zone->params.holder, zone_add_pending, pending);
	return pending;
}

static void
zone_serve_state(struct zone *zone, api_reply_fn reply, void *arg)
{
	struct holder_load load;
	json_t *body;
	char *text;

	holder_load(zone->params.holder, &load);
	body = json_pack("{s:I,s:b,s:I,s:I,s:o}", "token",
	    (json_int_t)holder_token(zone->params.holder), "leaving",
	    (int)zone->leaving, "backlog_ms", (json_int_t)load.backlog_ms,
	    "free_permille",
	    (json_int_t)(load.cpu_total == 0
		    ? 0
		    : load.cpu_free * ZONE_PERMILLE / load.cpu_total),
	    "pending", zone_render_pending(zone));
	text = json_dumps(body, JSON_COMPACT);
	if (text == NULL)
		abort();
	zone_reply(reply, arg, 200, text);
	free(text);
	json_decref(body);
}

static void
zone_serve_held(struct zone *zone, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct zone_host *host;
	char name[NAME_SIZE];

	if (api_query_text(request->query, "host", name, sizeof(name))) {
		host = zone_host_find(zone, name);
		if (host != NULL) {
			host->leaving = zone_query_u64(request, "leaving") != 0;
			zone_token_heard(zone, host,
			    zone_query_u64(request, "token"));
			zone_choose(zone);
			zone_tell(zone);
		}
	}
	zone_reply(reply, arg, 200, "{}");
}

void
zone_handle(struct zone *zone, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	if (strncmp(request->path, ZONE_JOBS_PATH,
		sizeof(ZONE_JOBS_PATH) - 1) == 0) {
		if (request->method == API_POST)
			zone_serve_job(zone, request, reply, arg);
		else if (request->method == API_GET)
			zone_serve_job_state(zone, request, reply, arg);
		else
			zone_serve_cancel(zone, request, reply, arg);
	} else if (strncmp(request->path, ZONE_CANCEL_PATH,
		       sizeof(ZONE_CANCEL_PATH) - 1) == 0) {
		zone_serve_cancel_stored(zone, request, reply, arg);
	} else if (strcmp(request->path, ZONE_PATH "state") == 0) {
		zone_serve_state(zone, reply, arg);
	} else if (strcmp(request->path, ZONE_PATH "held") == 0) {
		zone_serve_held(zone, request, reply, arg);
	} else {
		zone_reply(reply, arg, 404, "{}");
	}
}

bool
zone_abandon(struct zone *zone, void *arg)
{
	struct zone_submission *sub;

	TAILQ_FOREACH (sub, &zone->served, entry) {
		if (sub->reply == NULL || sub->arg != arg)
			continue;
		holder_cancel(zone->params.holder, sub->id, sub);
		jstore_drop_callbacks(zone->keeper, sub);
		zone_submission_free(sub);
		return true;
	}
	return false;
}
