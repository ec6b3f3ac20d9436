/*
 * The planned stop: not ready, then no new work, then the final record once
 * everything that was taken has been answered.
 */

#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "entry/api_internal.h"
#include "entry/idempotency.h"

#define API_RECORD_TRIES_MAX 5
#define API_RECORD_RETRY_MS 300
#define API_RECORD_NAME_BYTES 192

static struct counter api_cut_total = {
	.name = "berylrail_drain_cut_total",
	.help = "submissions cut by the limit of the shutdown",
};

static void
api_drain_arm(struct event *timer, uint32_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_add(timer, &tv);
}

static void
api_drain_finish(struct api *api)
{
	api->phase = API_DRAINED;
	if (api->drain_limit != NULL)
		(void)event_del(api->drain_limit);
	api->drained(api->drained_arg);
}

static void
api_drain_stored(void *arg, enum table_status status, const void *data,
    size_t len, const struct err *err)
{
	struct api *api = arg;

	(void)data;
	(void)len;
	if (status == TABLE_OK) {
		log_event(LOG_LEVEL_INFO, "final-record-stored", "tickets=%llu",
		    (unsigned long long)clm_next_seq(api->claims) - 1);
		api_drain_finish(api);
	} else if (++api->record_tries < API_RECORD_TRIES_MAX) {
		api_drain_arm(api->drain_timer, API_RECORD_RETRY_MS);
	} else {
		if (err != NULL)
			log_error(LOG_LEVEL_WARN, "final-record-lost", err);
		api_drain_finish(api);
	}
}

static void
api_drain_store(struct api *api)
{
	struct blobs *blobs = api->params.blobs;
	char name[API_RECORD_NAME_BYTES];

	if (api->record == NULL)
		api->record = api_record_write(api, &api->record_len);
	if (blobs == NULL || api->record == NULL) {
		api_drain_finish(api);
		return;
	}
	api_record_name(name, sizeof(name), api->params.az, api->params.host,
	    api->params.incarnation);
	blobs->ops->put(blobs, name, api->record, api->record_len,
	    api_drain_stored, api);
}

void
api_drain_check(struct api *api)
{
	if (api->phase != API_CLOSED)
		return;
	/* What the limit has cut is not waited for. */
	if (!api->cut &&
	    (api->nrunning > 0 || api->ncalls > 0 || idem_busy(api->idem)))
		return;
	api->phase = API_STORING;
	/* From the event loop, so that the caller's stack is gone. */
	api_drain_arm(api->drain_timer, 0);
}

static void
api_drain_tick(evutil_socket_t fd, short what, void *arg)
{
	struct api *api = arg;

	(void)fd;
	(void)what;
	if (api->phase == API_STORING) {
		api_drain_store(api);
		return;
	}
	api->phase = API_CLOSED;
	log_event(LOG_LEVEL_INFO, "closed-to-new-work", "running=%zu",
	    api->nrunning);
	api_drain_check(api);
}

/* Says so to everyone who waits; the engine's work is cancelled. */
static void
api_drain_cut(evutil_socket_t fd, short what, void *arg)
{
	struct api *api = arg;
	struct api_work *work, *next;
	struct api_call *call;

	(void)fd;
	(void)what;
	if (api->phase > API_CLOSED)
		return;
	log_event(LOG_LEVEL_WARN, "shutdown-cut", "running=%zu waiting=%zu",
	    api->nrunning, api->ncalls);
	ctr_add(&api_cut_total, api->nrunning);
	(void)event_del(api->drain_timer);
	for (work = TAILQ_FIRST(&api->running); work != NULL; work = next) {
		next = TAILQ_NEXT(work, running);
		while ((call = TAILQ_FIRST(&work->calls)) != NULL)
			api_call_refuse(call, REF_DRAIN_TIMEOUT,
			    api->params.host);
		api_work_cancel(work);
	}
	api->phase = API_CLOSED;
	api->cut = true;
	api_drain_check(api);
}

void
api_drain(struct api *api, uint32_t delay_ms, uint32_t limit_ms,
    void (*done)(void *arg), void *arg)
{
	if (api->phase != API_OPEN)
		return;
	api->phase = API_LEAVING;
	api->drained = done;
	api->drained_arg = arg;
	api->drain_timer =
	    event_new(api->params.base, -1, 0, api_drain_tick, api);
	if (api->drain_timer == NULL) {
		api_drain_finish(api);
		return;
	}
	api_drain_arm(api->drain_timer, delay_ms);
	if (limit_ms == 0)
		return;
	api->drain_limit =
	    event_new(api->params.base, -1, 0, api_drain_cut, api);
	if (api->drain_limit != NULL)
		api_drain_arm(api->drain_limit, limit_ms);
}

void
api_drain_destroy(struct api *api)
{
	if (api->drain_timer != NULL)
		event_free(api->drain_timer);
	if (api->drain_limit != NULL)
		event_free(api->drain_limit);
	free(api->record);
}
