/*
 * Stored jobs between hosts: cancelling, states and the pending count.
 */

#include <jansson.h>
#include <stdio.h>

#include "core/mem.h"
#include "entry/jobs/zone_internal.h"

/* Cancelling of stored jobs */

struct zone_kept_call {
	jstore_done_fn done; /* of this host's own */
	api_reply_fn reply;  /* of a peer's */
	void *arg;
};

static const int zone_cancel_statuses[] = {
	[JSTORE_OK] = 200,
	[JSTORE_NO_JOB] = 404,
	[JSTORE_REFUSED] = 503,
	[JSTORE_UNKNOWN] = 504,
};

/* Jobs cancelled for peers; a peer that is gone is not answered. */
static void
zone_cancel_served(void *arg, enum jstore_result result)
{
	struct zone_submission *sub = arg;
	api_reply_fn reply = sub->reply;
	void *to = sub->arg;

	zone_submission_free(sub);
	zone_reply(reply, to, zone_cancel_statuses[result], "{}");
}

void
zone_serve_cancel_stored(struct zone *zone, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	const char *id = request->path + sizeof(ZONE_CANCEL_PATH) - 1;
	struct zone_submission *sub = zone_submission_create(zone, id, 0, arg);

	sub->reply = reply;
	jstore_cancel(zone->keeper, id, zone_cancel_served, sub);
}

static void
zone_cancel_answered(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	struct zone_kept_call *call = arg;
	enum jstore_result result = JSTORE_UNKNOWN;

	(void)err;
	if (reply != NULL && reply->status == zone_cancel_statuses[JSTORE_OK])
		result = JSTORE_OK;
	call->done(call->arg, result);
	free(call);
}

void
zone_cancel_stored(struct zone *zone, const char *az, const char *id,
    jstore_done_fn done, void *arg)
{
	char path[sizeof(ZONE_CANCEL_PATH) + JOB_ID_LEN + 1];
	const struct api_request request = { .method = API_POST,
		.path = path,
		.query = "" };
	const struct zone_host *host, *found = NULL;
	struct zone_kept_call *call;

	if (strcmp(az, zone->params.self.az) == 0 &&
	    holder_token(zone->params.holder) != 0) {
		jstore_cancel(zone->keeper, id, done, arg);
		return;
	}
	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (host->connected && host->token != 0 &&
		    strcmp(host->info.az, az) == 0 &&
		    (found == NULL || host->token > found->token))
			found = host;
	}
	if (found == NULL) {
		done(arg, JSTORE_UNKNOWN);
		return;
	}
	call = mem_zalloc(1, sizeof(*call));
	call->done = done;
	call->arg = arg;
	(void)snprintf(path, sizeof(path), ZONE_CANCEL_PATH "%s", id);
	zone->params.peers->ops->forward(zone->params.peers, found->info.az,
	    found->info.name, found->incarnation, &request,
	    zone_cancel_answered, call);
}

/* States of stored jobs */

struct zone_state_call {
	jstore_state_fn done;
	void *arg;
};

static void
zone_state_served(void *arg, enum jstore_result result, enum jrec_state state,
    bool begun)
{
	struct zone_submission *sub = arg;
	api_reply_fn reply = sub->reply;
	void *to = sub->arg;
	char body[48];

	zone_submission_free(sub);
	(void)snprintf(body, sizeof(body), "{\"state\":%d,\"begun\":%s}",
	    (int)state, begun ? "true" : "false");
	zone_reply(reply, to, zone_cancel_statuses[result], body);
}

void
zone_serve_job_state(struct zone *zone, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	const char *id = request->path + sizeof(ZONE_JOBS_PATH) - 1;
	struct zone_submission *sub = zone_submission_create(zone, id, 0, arg);

	sub->reply = reply;
	jstore_get_state(zone->keeper, id, zone_state_served, sub);
}

static void
zone_state_answered(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	struct zone_state_call *call = arg;
	enum jstore_result result = JSTORE_UNKNOWN;
	json_int_t state = JREC_ACCEPTED;
	bool begun = false;
	json_t *body;

	(void)err;
	if (reply != NULL && reply->status == zone_cancel_statuses[JSTORE_OK]) {
		body = json_loadb(reply->body, reply->body_len, 0, NULL);
		state = json_integer_value(json_object_get(body, "state"));
		begun = json_is_true(json_object_get(body, "begun"));
		json_decref(body);
		if (state >= JREC_ACCEPTED && state <= JREC_CANCELLED)
			result = JSTORE_OK;
	}
	call->done(call->arg, result, (enum jrec_state)state, begun);
	free(call);
}

void
zone_state(struct zone *zone, const char *id, jstore_state_fn done, void *arg)
{
	char path[sizeof(ZONE_JOBS_PATH) + JOB_ID_LEN + 1];
	const struct api_request request = { .method = API_GET,
		.path = path,
		.query = "" };
	const struct zone_host *host;
	struct zone_state_call *call;

	if (holder_token(zone->params.holder) != 0) {
		jstore_get_state(zone->keeper, id, done, arg);
		return;
	}
	host = zone_served(zone) ? zone_host_find(zone, zone->holder) : NULL;
	if (host == NULL || host->silent) {
		done(arg, JSTORE_UNKNOWN, JREC_ACCEPTED, false);
		return;
	}
	call = mem_zalloc(1, sizeof(*call));
	call->done = done;
	call->arg = arg;
	(void)snprintf(path, sizeof(path), ZONE_JOBS_PATH "%s", id);
	zone->params.peers->ops->forward(zone->params.peers, host->info.az,
	    host->info.name, host->incarnation, &request, zone_state_answered,
	    call);
}

uint32_t
zone_pending(const struct zone *zone, const char *queue)
{
	uint32_t n = holder_pending(zone->params.holder, queue);
	const struct zone_host *host;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (host->connected && host->token != 0 &&
		    host->pending != NULL)
			n += (uint32_t)json_integer_value(
			    json_object_get(host->pending, queue));
	}
	return n;
}
