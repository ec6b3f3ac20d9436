/*
 * Entry point of the API: routing of requests by path, and the calls that wait
 * for their replies. Each call gets one reply, unless it is abandoned.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/api_internal.h"
#include "entry/config_sync.h"
#include "entry/idempotency.h"
#include "entry/problem.h"

#define API_WORK_PATH "/v1/work/"
#define API_CLAIM_WINDOW_TICKETS (1U << 23)
#define API_EXPIRY_INTERVAL_MS 1000
#define API_POINTER_ALIGN_BITS 4

static struct counter api_requests = {
	.name = "berylrail_messages_total",
	.labels = "hop=\"client\",kind=\"request\"",
	.help = "Messages sent, by hop and kind.",
};
static struct counter api_replies = {
	.name = "berylrail_messages_total",
	.labels = "hop=\"client\",kind=\"reply\"",
	.help = "Messages sent, by hop and kind.",
};
static struct counter api_forwarded_requests = {
	.name = "berylrail_messages_total",
	.labels = "hop=\"peer\",kind=\"forwarded_request\"",
	.help = "Messages sent, by hop and kind.",
};
static struct counter api_late_answers = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"client\",kind=\"late_answer\"",
	.help = "Messages that did not contribute to an answer.",
};

uint64_t
api_now(const struct api *api)
{
	return clock_now_us(api->params.clock);
}

static void
api_expire_claims(evutil_socket_t fd, short what, void *arg)
{
	struct api *api = arg;

	(void)fd;
	(void)what;
	clm_expire(api->claims, api_now(api));
}

static int
api_create_components(struct api *api)
{
	const struct api_params *params = &api->params;
	struct timeval interval = { .tv_usec =
					API_EXPIRY_INTERVAL_MS % 1000 * 1000,
		.tv_sec = API_EXPIRY_INTERVAL_MS / 1000 };
	struct clm_params clm_params = {
		.window = API_CLAIM_WINDOW_TICKETS,
		.retention_us = params->ticket_retention_ms * 1000ULL,
		.bytes_max = params->ticket_bytes_max,
		.release = api_exec_release,
		.arg = api,
	};

	api->claims = clm_create(&clm_params);
	if (api->claims == NULL)
		return -1;
	api->idem = idem_create(api);
	if (api->idem == NULL)
		return -1;
	api->expiry_timer =
	    event_new(params->base, -1, EV_PERSIST, api_expire_claims, api);
	if (api->expiry_timer == NULL ||
	    event_add(api->expiry_timer, &interval) == -1)
		return -1;
	return 0;
}

struct api *
api_create(const struct api_params *params)
{
	struct api *api;
	size_t i;

	api = calloc(1, sizeof(*api));
	if (api == NULL)
		return NULL;
	api->params = *params;
	TAILQ_INIT(&api->running);
	TAILQ_INIT(&api->deferred_calls);
	TAILQ_INIT(&api->issuers);
	for (i = 0; i < API_CALL_BUCKETS; i++)
		LIST_INIT(&api->call_buckets[i]);
	tkt_issuer_init(&api->issuer, params->crypto, params->az, params->host,
	    params->incarnation);
	if (api_create_components(api) == -1) {
		api_destroy(api);
		return NULL;
	}
	return api;
}

/* Frees a deferred call; the caller has removed it from deferred_calls. */
static void
api_call_release(struct api_call *call)
{
	if (call->reply != NULL)
		LIST_REMOVE(call, bucket_entry);
	if (call->exec != NULL)
		TAILQ_REMOVE(&call->exec->waiters, call, waiter_entry);
	if (call->timer != NULL)
		event_free(call->timer);
	free(call);
}

static void
api_call_free(struct api_call *call)
{
	struct api *api = call->api;

	if (!call->deferred)
		return;
	TAILQ_REMOVE(&api->deferred_calls, call, calls_entry);
	api->ndeferred--;
	api_call_release(call);
}

void
api_destroy(struct api *api)
{
	struct api_execution *exec;
	struct api_call *call, *next;

	if (api == NULL)
		return;
	for (call = TAILQ_FIRST(&api->deferred_calls); call != NULL;
	     call = next) {
		next = TAILQ_NEXT(call, calls_entry);
		api_call_release(call);
	}
	api_issuers_destroy(api);
	while ((exec = TAILQ_FIRST(&api->running)) != NULL)
		api_exec_discard(exec);
	clm_destroy(api->claims);
	idem_destroy(api->idem);
	api_drain_destroy(api);
	if (api->expiry_timer != NULL)
		event_free(api->expiry_timer);
	free(api);
}

void
api_set_peers(struct api *api, struct peers *peers)
{
	api->peers = peers;
}

void
api_set_nhosts(struct api *api, size_t nhosts)
{
	idem_set_nhosts(api->idem, nhosts);
}

static struct api_call_bucket *
api_call_bucket_for(struct api *api, const void *arg)
{
	uintptr_t key = (uintptr_t)arg >> API_POINTER_ALIGN_BITS;

	return &api->call_buckets[(key ^ key >> 12) & (API_CALL_BUCKETS - 1)];
}

struct api_call *
api_call_defer(struct api_call *call)
{
	struct api_call *copy;

	if (call->deferred)
		return call;
	copy = malloc(sizeof(*copy));
	if (copy == NULL) {
		api_call_refuse(call, REF_NO_MEMORY, NULL);
		return NULL;
	}
	*copy = *call;
	copy->deferred = true;
	copy->api->ndeferred++;
	TAILQ_INSERT_TAIL(&copy->api->deferred_calls, copy, calls_entry);
	LIST_INSERT_HEAD(api_call_bucket_for(call->api, call->arg), copy,
	    bucket_entry);
	return copy;
}

void
api_abandon(struct api *api, void *arg)
{
	struct api_call *call;

	LIST_FOREACH (call, api_call_bucket_for(api, arg), bucket_entry) {
		if (call->arg == arg)
			break;
	}
	if (call == NULL) {
		if (api->work_handler != NULL)
			api->work_handler->abandon(api->work_handler->arg, arg);
		return;
	}
	ctr_inc(&api_late_answers);
	if (call->exec != NULL) {
		api_call_free(call);
		return;
	}
	/*
	 * A forwarded request, a read of a final record or a change of the
	 * configuration is pending; its callback frees the call.
	 */
	LIST_REMOVE(call, bucket_entry);
	call->reply = NULL;
}

void
api_call_reply(struct api_call *call, const struct api_reply *reply)
{
	struct api *api = call->api;
	struct api_reply message = *reply;
	char ticket[TICKET_SIZE];
	api_reply_fn fn = call->reply;
	void *arg = call->arg;

	message.next_ticket = NULL;
	if (fn != NULL && call->add_next_ticket && !call->forwarded &&
	    api->phase == API_SERVING) {
		tkt_issue(&api->issuer, clm_issue(api->claims), ticket);
		message.next_ticket = ticket;
	}
	if (fn != NULL && !call->forwarded)
		ctr_inc(&api_replies);
	api_call_free(call);
	if (fn != NULL)
		fn(arg, &message);
	if (api->phase == API_DRAINING)
		api_drain_check(api);
}

/*
 * Returns whether the request may name a ticket or key of an earlier request.
 * The body may be malformed, so it is searched as text; "\u" may be part of an
 * escaped "ticket".
 */
static bool
api_may_name_id(const struct api_request *request)
{
	return request->idempotency_key != NULL || request->ticket != NULL ||
	    strstr(request->query, "ticket") != NULL ||
	    (request->body_len > 0 &&
		(memmem(request->body, request->body_len, "ticket", 6) !=
			NULL ||
		    memmem(request->body, request->body_len, "\\u", 2) !=
			NULL));
}

/*
 * The reply to a submission states an outcome even if the row of its refusal
 * has none, as for a malformed one: "not-run" only if the request can't refer
 * to an earlier one.
 */
static struct refusal_row
api_refusal_row(const struct api_call *call, enum refusal refusal)
{
	const struct api_request *request = call->request;
	struct refusal_row row = *refusal_get(refusal);

	if (row.has_outcome || request == NULL || request->method != API_POST ||
	    (strcmp(request->path, "/v1/jobs") != 0 &&
		strncmp(request->path, "/v1/services/", 13) != 0))
		return row;
	row.has_outcome = true;
	row.outcome =
	    api_may_name_id(request) ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
	return row;
}

void
api_call_reply_problem(struct api_call *call, enum refusal refusal,
    const struct err *err)
{
	const struct refusal_row row = api_refusal_row(call, refusal);
	struct api_reply reply = {
		.status = row.status,
		.content_type = PROBLEM_TYPE,
		.outcome = row.has_outcome ? outcome_name(row.outcome) : NULL,
	};
	char *body;

	refusal_count(err);
	body = problem_render(&row, err, &reply.body_len);
	reply.body = body;
	api_call_reply(call, &reply);
	free(body);
}

void
api_call_refuse(struct api_call *call, enum refusal refusal, const char *peer)
{
	struct err err;

	if (peer == NULL && call->request != NULL)
		peer = call->request->client;
	refusal_set_err(&err, refusal, peer);
	api_call_reply_problem(call, refusal, &err);
}

void
api_call_reply_json(struct api_call *call, int status, json_t *doc)
{
	struct api_reply reply = { .status = status,
		.content_type = API_TYPE_JSON };
	char *body;

	body = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	if (body == NULL) {
		api_call_refuse(call, REF_NO_MEMORY, NULL);
		return;
	}
	reply.body = body;
	reply.body_len = strlen(body);
	api_call_reply(call, &reply);
	free(body);
}

/* The rest of @path after @prefix, or NULL if it has another prefix. */
static const char *
api_path_suffix(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) == 0 ? path + len : NULL;
}

static void
api_config_reply(void *arg, const struct api_reply *reply)
{
	api_call_reply(arg, reply);
}

static void
api_route_config(struct api_call *call)
{
	const struct api_request *request = call->request;
	struct api *api = call->api;

	call = api_call_defer(call);
	if (call == NULL)
		return;
	config_sync_handle(api->params.config_sync, request, api_config_reply,
	    call);
}

/** struct api_route - handler of one exact path. */
struct api_route {
	const char *path;
	enum api_method method;
	void (*serve)(struct api_call *call);
};

static const struct api_route api_routes[] = {
	{ "/v1/jobs", API_POST, api_jobs_post },
	{ "/v1/tickets", API_POST, api_tickets_post },
	{ "/healthz", API_GET, api_health_get },
	{ "/readyz", API_GET, api_ready_get },
	{ "/metrics", API_GET, api_metrics_get },
};

static void
api_route_job(struct api_call *call, const char *id)
{
	if (call->request->method == API_GET)
		api_jobs_get(call, id);
	else if (call->request->method == API_DELETE)
		api_jobs_delete(call, id);
	else
		api_call_refuse(call, REF_METHOD, NULL);
}

static void
api_route(struct api_call *call)
{
	const struct api_request *request = call->request;
	const char *rest;
	size_t i;

	if ((rest = api_path_suffix(request->path, "/v1/services/")) != NULL) {
		api_services_post(call, rest);
		return;
	}
	if ((rest = api_path_suffix(request->path, "/v1/jobs/")) != NULL) {
		api_route_job(call, rest);
		return;
	}
	for (i = 0; i < sizeof(api_routes) / sizeof(api_routes[0]); i++) {
		if (strcmp(request->path, api_routes[i].path) != 0)
			continue;
		if (request->method == api_routes[i].method)
			api_routes[i].serve(call);
		else
			api_call_refuse(call, REF_METHOD, NULL);
		return;
	}
	rest = api_path_suffix(request->path, "/v1/config");
	if (rest != NULL && (*rest == '\0' || *rest == '/'))
		api_route_config(call);
	else
		api_call_refuse(call, REF_PATH, NULL);
}

void
api_set_work_handler(struct api *api, const struct api_handler *handler)
{
	api->work_handler = handler;
}

void
api_handle(struct api *api, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct api_call call = {
		.api = api,
		.request = request,
		.reply = reply,
		.arg = arg,
		.forwarded = request->forwarded,
	};

	ctr_inc(request->forwarded ? &api_forwarded_requests : &api_requests);
	if (api->work_handler != NULL && request->forwarded &&
	    strncmp(request->path, API_WORK_PATH, sizeof(API_WORK_PATH) - 1) ==
		0) {
		api->work_handler->handle(api->work_handler->arg, request,
		    reply, arg);
		return;
	}
	api_route(&call);
}
