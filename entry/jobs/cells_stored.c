/*
 * Requests about stored jobs, which are served by the holder of their cell:
 * cancellation, state, and the number of jobs that have not started.
 */

#include <jansson.h>
#include <stdio.h>

#include "core/mem.h"
#include "entry/api_internal.h"
#include "entry/jobs/cells_internal.h"

/* Cancellation */

struct cells_cancel_call {
	jstore_done_fn done;
	void *arg;
};

/* HTTP statuses of replies between hosts, by result. */
static const int cells_store_statuses[] = {
	[JSTORE_OK] = 200,
	[JSTORE_NO_JOB] = 404,
	[JSTORE_REFUSED] = 503,
	[JSTORE_UNKNOWN] = 504,
};

/* Replies to a peer; not called after cells_abandon(). */
static void
cells_cancel_stored_done(void *arg, enum jstore_result result)
{
	struct cells_submission *sub = arg;
	api_reply_fn reply = sub->reply;
	void *reply_arg = sub->arg;

	cells_submission_free(sub);
	cells_send_reply(reply, reply_arg, cells_store_statuses[result], "{}");
}

static void
cells_cancel_forward_done(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	struct cells_cancel_call *call = arg;
	enum jstore_result result = JSTORE_UNKNOWN;

	(void)err;
	if (reply != NULL && reply->status == cells_store_statuses[JSTORE_OK])
		result = JSTORE_OK;
	else if (reply != NULL &&
	    reply->status == cells_store_statuses[JSTORE_NO_JOB])
		result = JSTORE_NO_JOB;
	call->done(call->arg, result);
	free(call);
}

/*
 * The host through which a job of the cell of @az is cancelled: its holder, or,
 * for another cell, the holder of the own cell, which knows the others.
 */
static const struct cells_host *
cells_cancel_route(const struct cells *cells, const char *az)
{
	const struct cells_zone *zone;

	if (sched_token(cells->params.sched) == 0)
		return cells_zone_holder(cells->local_zone);
	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (strcmp(zone->az, az) == 0)
			return cells_zone_holder(zone);
	}
	return NULL;
}

void
cells_cancel_stored(struct cells *cells, const char *az, const char *id,
    jstore_done_fn done, void *arg)
{
	char path[sizeof(CELLS_CANCEL_PATH) + JOB_ID_LEN + 1];
	char query[NAME_SIZE + 8];
	const struct api_request request = { .method = API_POST,
		.path = path,
		.query = query };
	const struct cells_host *host;
	struct cells_cancel_call *call;

	if (strcmp(az, cells->params.self.az) == 0 &&
	    sched_token(cells->params.sched) != 0) {
		jstore_cancel(cells->job_store, id, done, arg);
		return;
	}
	host = cells_cancel_route(cells, az);
	if (host == NULL) {
		done(arg, JSTORE_UNKNOWN);
		return;
	}
	call = mem_zalloc(1, sizeof(*call));
	call->done = done;
	call->arg = arg;
	(void)snprintf(path, sizeof(path), CELLS_CANCEL_PATH "%s", id);
	(void)snprintf(query, sizeof(query), "az=%s", az);
	cells->params.peers->ops->forward(cells->params.peers, host->info.az,
	    host->info.name, host->incarnation, &request,
	    cells_cancel_forward_done, call);
}

/* A request for another cell is passed on to its holder, by the holder of this
 * cell only, so that it is passed on once. */
void
cells_handle_cancel_stored(struct cells *cells,
    const struct api_request *request, api_reply_fn reply, void *arg)
{
	const char *id = request->path + sizeof(CELLS_CANCEL_PATH) - 1;
	struct cells_submission *sub =
	    cells_submission_create(cells, id, 0, arg);
	char az[NAME_SIZE] = "";

	sub->reply = reply;
	if (!api_query_text(request->query, "az", az, sizeof(az)) ||
	    strcmp(az, cells->params.self.az) == 0 ||
	    sched_token(cells->params.sched) == 0)
		jstore_cancel(cells->job_store, id, cells_cancel_stored_done,
		    sub);
	else
		cells_cancel_stored(cells, az, id, cells_cancel_stored_done,
		    sub);
}

/* State of jobs */

struct cells_state_call {
	jstore_state_fn done;
	void *arg;
};

static void
cells_job_state_done(void *arg, enum jstore_result result,
    enum jrec_state state, bool has_started)
{
	struct cells_submission *sub = arg;
	api_reply_fn reply = sub->reply;
	void *reply_arg = sub->arg;
	char body[48];

	cells_submission_free(sub);
	(void)snprintf(body, sizeof(body), "{\"state\":%d,\"begun\":%s}",
	    (int)state, has_started ? "true" : "false");
	cells_send_reply(reply, reply_arg, cells_store_statuses[result], body);
}

void
cells_handle_job_state(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	const char *id = request->path + sizeof(CELLS_JOBS_PATH) - 1;
	struct cells_submission *sub =
	    cells_submission_create(cells, id, 0, arg);

	sub->reply = reply;
	jstore_get_state(cells->job_store, id, cells_job_state_done, sub);
}

static void
cells_job_state_forward_done(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	struct cells_state_call *call = arg;
	enum jstore_result result = JSTORE_UNKNOWN;
	json_int_t state = JREC_ACCEPTED;
	bool has_started = false;
	json_t *body;

	(void)err;
	if (reply != NULL && reply->status == cells_store_statuses[JSTORE_OK]) {
		body = json_loadb(reply->body, reply->body_len, 0, NULL);
		state = json_integer_value(json_object_get(body, "state"));
		has_started = json_is_true(json_object_get(body, "begun"));
		json_decref(body);
		if (state >= JREC_ACCEPTED && state <= JREC_CANCELLED)
			result = JSTORE_OK;
	} else if (reply != NULL &&
	    reply->status == cells_store_statuses[JSTORE_NO_JOB]) {
		result = JSTORE_NO_JOB;
	}
	call->done(call->arg, result, (enum jrec_state)state, has_started);
	free(call);
}

void
cells_job_state(struct cells *cells, const char *id, jstore_state_fn done,
    void *arg)
{
	char path[sizeof(CELLS_JOBS_PATH) + JOB_ID_LEN + 1];
	const struct api_request request = { .method = API_GET,
		.path = path,
		.query = "" };
	const struct cells_host *host;
	struct cells_state_call *call;

	if (sched_token(cells->params.sched) != 0) {
		jstore_get_state(cells->job_store, id, done, arg);
		return;
	}
	host = cells_has_holder(cells) ? cells_host_find(cells, cells->holder)
				       : NULL;
	if (host == NULL || host->unreachable) {
		done(arg, JSTORE_UNKNOWN, JREC_ACCEPTED, false);
		return;
	}
	call = mem_zalloc(1, sizeof(*call));
	call->done = done;
	call->arg = arg;
	(void)snprintf(path, sizeof(path), CELLS_JOBS_PATH "%s", id);
	cells->params.peers->ops->forward(cells->params.peers, host->info.az,
	    host->info.name, host->incarnation, &request,
	    cells_job_state_forward_done, call);
}

/* Number of stored jobs that have not started */

void
cells_set_pending(struct cells_zone *zone, json_t *pending)
{
	if (pending == NULL)
		return;
	json_decref(zone->pending);
	zone->pending = pending;
}

json_t *
cells_remote_pending_json(const struct cells *cells)
{
	const struct cells_zone *zone;
	json_t *parts = json_object();

	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (!zone->local && zone->pending != NULL)
			(void)json_object_set(parts, zone->az, zone->pending);
	}
	return parts;
}

void
cells_set_remote_pending(struct cells *cells, json_t *parts)
{
	struct cells_zone *zone;

	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (!zone->local)
			cells_set_pending(zone,
			    json_incref(json_object_get(parts, zone->az)));
	}
}

static void
cells_count_pending(void *arg, const char *queue)
{
	json_int_t n = json_integer_value(json_object_get(arg, queue));

	(void)json_object_set_new(arg, queue, json_integer(n + 1));
}

static void
cells_add_pending(json_t *sum, json_t *pending)
{
	const char *queue;
	json_t *value;

	json_object_foreach (pending, queue, value) {
		json_int_t n = json_integer_value(json_object_get(sum, queue)) +
		    json_integer_value(value);

		(void)json_object_set_new(sum, queue, json_integer(n));
	}
}

json_t *
cells_pending_json(const struct cells *cells, bool all_cells)
{
	const struct cells_zone *zone;
	json_t *sum = json_object();

	sched_each_pending_job(cells->params.sched, cells_count_pending, sum);
	if (!all_cells)
		return sum;
	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (!zone->local)
			cells_add_pending(sum, zone->pending);
	}
	return sum;
}

static uint32_t
cells_zone_pending(const struct cells_zone *zone, const char *queue)
{
	return (uint32_t)json_integer_value(
	    json_object_get(zone->pending, queue));
}

uint32_t
cells_pending(const struct cells *cells, const char *queue)
{
	uint32_t n = sched_pending_jobs(cells->params.sched, queue);
	const struct cells_zone *zone;

	/* The holder of the own cell reports the sum over all cells; the
	 * report of a former one counts until this host has read its jobs. */
	if (!sched_jobs_loaded(cells->params.sched) &&
	    (sched_token(cells->params.sched) == 0 ||
		cells->local_zone->pending != NULL))
		return cells_zone_pending(cells->local_zone, queue);
	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (!zone->local)
			n += cells_zone_pending(zone, queue);
	}
	return n;
}
