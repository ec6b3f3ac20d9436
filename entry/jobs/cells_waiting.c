/*
 * Best-effort jobs of this host's callers. A caller whose connection has broken
 * on its side only sends its job again, perhaps to another zone, whose holder
 * would start it beside the first one. This host knows the job's id and age,
 * and reports it to the holders of all zones but the one that has the job,
 * while it goes on. The holder that has the job reports it, too, when it is
 * pinged (cells_ping.c); but it may be paused, or have just taken over.
 *
 * A report is valid for a second, and is repeated well before that. So nothing
 * has to be done about lost messages, new holders or the end of this host.
 */

#include <inttypes.h>
#include <jansson.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/api_internal.h"
#include "entry/jobs/cells_internal.h"

#define CELLS_US_PER_MS UINT64_C(1000)
#define CELLS_WAITING_INTERVAL_MS 200
/* Jobs of a message; younger ones are left out. */
#define CELLS_WAITING_MAX 500

static struct counter cells_waiting_reported = {
	.name = "berylrail_work_waiting_reported_total",
	.help = "Entries of jobs of this host's callers that were sent to the "
		"holders of other availability zones.",
};

void
cells_know_holder(struct cells *cells, struct cells_zone *zone,
    const char *name, uint64_t token)
{
	if (token <= zone->known_token)
		return;
	strlcpy(zone->known_holder, name, sizeof(zone->known_holder));
	zone->known_token = token;
	cells->holders_version++;
}

void
cells_add_holders(const struct cells *cells, const struct api_request *request,
    json_t *body)
{
	const struct cells_zone *zone;
	json_t *holders;

	if (cells_query_u64(request, "holders") == cells->holders_version)
		return;
	holders = json_array();
	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (!zone->local && zone->known_token != 0)
			(void)json_array_append_new(holders,
			    json_pack("[s,I]", zone->known_holder,
				(json_int_t)zone->known_token));
	}
	(void)json_object_set_new(body, "holders", holders);
	(void)json_object_set_new(body, "holders_version",
	    json_integer((json_int_t)cells->holders_version));
}

void
cells_learn_holders(struct cells *cells, struct cells_host *host,
    const json_t *body)
{
	const json_t *holders = json_object_get(body, "holders"), *item;
	const struct cells_host *holder;
	const char *name;
	size_t i;

	if (!json_is_array(holders))
		return;
	host->holders_version = (uint64_t)json_integer_value(
	    json_object_get(body, "holders_version"));
	json_array_foreach (holders, i, item) {
		name = json_string_value(json_array_get(item, 0));
		holder = name == NULL ? NULL : cells_host_find(cells, name);
		if (holder != NULL && !holder->zone->local)
			cells_know_holder(cells, holder->zone, name,
			    (uint64_t)json_integer_value(
				json_array_get(item, 1)));
	}
}

/* The holder of a zone that reports are sent to, or NULL. Only holders ping
 * those of other zones; other hosts know them by their announcements, or from
 * the holder of their own zone. */
static struct cells_host *
cells_waiting_target(struct cells *cells, const struct cells_zone *zone)
{
	struct cells_host *holder = cells_zone_holder(zone), *known;

	if (holder != NULL && holder->token >= zone->known_token)
		return holder;
	known = cells_host_find(cells, zone->known_holder);
	if (known == NULL || known->zone != zone)
		return holder;
	if (known->connected)
		return known;
	cells->params.request_connection(cells->params.peers, known->info.name);
	return holder;
}

static bool
cells_waiting_is_new_target(const struct cells_zone *zone,
    const struct cells_host *target)
{
	return target != NULL &&
	    (target->token != zone->reported_token ||
		target->incarnation != zone->reported_incarnation);
}

/* Whether a holder has become known since the last message. */
static bool
cells_waiting_has_new_target(struct cells *cells)
{
	struct cells_zone *zone;

	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (cells_waiting_is_new_target(zone,
			cells_waiting_target(cells, zone)))
			return true;
	}
	return false;
}

static const struct cells_zone *
cells_waiting_zone(const struct cells *cells, const struct cells_waiting *job)
{
	const struct cells_host *holder =
	    job->holder[0] == '\0' ? NULL : cells_host_find(cells, job->holder);

	return holder == NULL ? cells->local_zone : holder->zone;
}

/* Return: the jobs that another zone has than @zone, or NULL if there are none.
 */
static json_t *
cells_waiting_render(const struct cells *cells, const struct cells_zone *zone,
    const struct cells_waiting *jobs, size_t n)
{
	json_t *list = NULL;
	size_t i;

	for (i = 0; i < n; i++) {
		if (jobs[i].remaining_ms != 0 &&
		    cells_waiting_zone(cells, &jobs[i]) == zone)
			continue;
		if (list == NULL)
			list = json_array();
		(void)json_array_append_new(list,
		    json_pack("[s,I,I]", jobs[i].id,
			(json_int_t)jobs[i].remaining_ms,
			(json_int_t)jobs[i].nonce));
	}
	return list == NULL ? NULL : json_pack("{s:o}", "jobs", list);
}

/* A message that is lost is followed by the next one. */
static void
cells_waiting_done(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	(void)arg;
	(void)reply;
	(void)err;
}

static void
cells_waiting_send(struct cells *cells, const struct cells_host *target,
    const json_t *message)
{
	char query[NAME_SIZE + 8];
	struct api_request request = { .method = API_POST,
		.path = CELLS_PATH "waiting",
		.query = query };
	char *text = json_dumps(message, JSON_COMPACT);

	if (text == NULL)
		abort();
	(void)snprintf(query, sizeof(query), "host=%s",
	    cells->params.self.name);
	request.body = text;
	request.body_len = strlen(text);
	cells->params.peers->ops->forward(cells->params.peers, target->info.az,
	    target->info.name, target->incarnation, &request,
	    cells_waiting_done, NULL);
	free(text);
}

static void
cells_report_to_zone(struct cells *cells, struct cells_zone *zone,
    const struct cells_waiting *jobs, size_t n)
{
	struct cells_host *target = cells_waiting_target(cells, zone);
	bool self = zone->local && sched_token(cells->params.sched) != 0;
	json_t *message;

	if (!self && target == NULL)
		return;
	if (target != NULL) {
		zone->reported_token = target->token;
		zone->reported_incarnation = target->incarnation;
	}
	message = cells_waiting_render(cells, zone, jobs, n);
	if (message == NULL)
		return;
	ctr_add(&cells_waiting_reported,
	    json_array_size(json_object_get(message, "jobs")));
	if (self)
		sched_pending_reported(cells->params.sched,
		    cells->params.self.name, message);
	else
		cells_waiting_send(cells, target, message);
	json_decref(message);
}

void
cells_report_waiting(struct cells *cells, uint64_t now_us)
{
	struct cells_zone *zone;
	size_t n;

	if (cells->params.list_waiting == NULL ||
	    (cells->nwaiting > 0 &&
		now_us - cells->waiting_reported_us <
		    CELLS_WAITING_INTERVAL_MS * CELLS_US_PER_MS &&
		!cells_waiting_has_new_target(cells)))
		return;
	if (cells->waiting == NULL)
		cells->waiting =
		    mem_zalloc(CELLS_WAITING_MAX, sizeof(*cells->waiting));
	n = cells->params.list_waiting(cells->params.arg, cells->waiting,
	    CELLS_WAITING_MAX);
	cells->nwaiting = n;
	if (n == 0)
		return;
	cells->waiting_reported_us = now_us;
	TAILQ_FOREACH (zone, &cells->zones, entry)
		cells_report_to_zone(cells, zone, cells->waiting, n);
}

void
cells_waiting_ended(struct cells *cells)
{
	cells->waiting_reported_us = 0;
}

void
cells_handle_waiting(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	json_t *message = json_loadb(request->body, request->body_len, 0, NULL);
	char host[NAME_SIZE] = "";

	(void)api_query_text(request->query, "host", host, sizeof(host));
	sched_pending_reported(cells->params.sched, host, message);
	json_decref(message);
	cells_send_reply(reply, arg, 200, "{}");
}
