/*
 * Planned shutdown of the API. First /readyz fails, then new work is refused,
 * and once all accepted work has been answered, the final record is stored.
 * The record is rendered only when no new work is accepted, so that it is
 * final.
 */

#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "entry/api_internal.h"
#include "entry/idempotency.h"

#define API_RECORD_ATTEMPTS_MAX 5
#define API_RECORD_RETRY_DELAY_MS 300
#define API_RECORD_NAME_BYTES 192

static struct counter api_drain_cancelled = {
	.name = "berylrail_drain_cut_total",
	.help = "Submissions cancelled at the time limit of a shutdown.",
};

static void
api_drain_set_timer(struct event *timer, uint32_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_add(timer, &tv);
}

static void
api_drain_finish(struct api *api)
{
	api->phase = API_DRAINED;
	if (api->drain_limit_timer != NULL)
		(void)event_del(api->drain_limit_timer);
	api->drain_done(api->drain_done_arg);
}

static void
api_drain_record_stored(void *arg, enum table_status status, const void *data,
    size_t len, const struct err *err)
{
	struct api *api = arg;

	(void)data;
	(void)len;
	if (status == TABLE_OK) {
		log_event(LOG_LEVEL_INFO, "final-record-stored", "tickets=%llu",
		    (unsigned long long)clm_next_seq(api->claims) - 1);
		api_drain_finish(api);
	} else if (++api->record_attempts < API_RECORD_ATTEMPTS_MAX) {
		api_drain_set_timer(api->drain_timer,
		    API_RECORD_RETRY_DELAY_MS);
	} else {
		if (err != NULL)
			log_error(LOG_LEVEL_WARN, "final-record-not-stored",
			    err);
		api_drain_finish(api);
	}
}

static void
api_drain_store_record(struct api *api)
{
	struct blobs *blobs = api->params.blobs;
	char name[API_RECORD_NAME_BYTES];

	if (api->record == NULL)
		api->record = api_record_render(api, &api->record_len);
	if (blobs == NULL || api->record == NULL) {
		api_drain_finish(api);
		return;
	}
	api_record_name(name, sizeof(name), api->params.az, api->params.host,
	    api->params.incarnation);
	blobs->ops->put(blobs, name, api->record, api->record_len,
	    api_drain_record_stored, api);
}

void
api_drain_check(struct api *api)
{
	if (api->phase != API_DRAINING)
		return;
	/* After the time limit, cancelled work is not waited for. */
	if (!api->limit_expired &&
	    (api->nrunning > 0 || api->ndeferred > 0 ||
		idem_has_unsettled(api->idem)))
		return;
	api->phase = API_STORING_RECORD;
	/*
	 * The record is stored from the event loop: callers of this function
	 * may still use executions and calls.
	 */
	api_drain_set_timer(api->drain_timer, 0);
}

static void
api_drain_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct api *api = arg;

	(void)fd;
	(void)what;
	if (api->phase == API_STORING_RECORD) {
		api_drain_store_record(api);
		return;
	}
	api->phase = API_DRAINING;
	log_event(LOG_LEVEL_INFO, "drain-refusing-new-work", "running=%zu",
	    api->nrunning);
	api_drain_check(api);
}

/* Cancels the running executions and refuses the calls that wait for them. */
static void
api_drain_limit_expired(evutil_socket_t fd, short what, void *arg)
{
	struct api *api = arg;
	struct api_execution *exec, *next;
	struct api_call *call;

	(void)fd;
	(void)what;
	if (api->phase > API_DRAINING)
		return;
	log_event(LOG_LEVEL_WARN, "drain-limit-exceeded",
	    "running=%zu waiting=%zu", api->nrunning, api->ndeferred);
	ctr_add(&api_drain_cancelled, api->nrunning);
	(void)event_del(api->drain_timer);
	for (exec = TAILQ_FIRST(&api->running); exec != NULL; exec = next) {
		next = TAILQ_NEXT(exec, running_entry);
		while ((call = TAILQ_FIRST(&exec->waiters)) != NULL)
			api_call_refuse(call, REF_DRAIN_TIMEOUT,
			    api->params.host);
		api_exec_cancel(exec);
	}
	api->phase = API_DRAINING;
	api->limit_expired = true;
	api_drain_check(api);
}

void
api_drain(struct api *api, uint32_t delay_ms, uint32_t limit_ms,
    void (*done)(void *arg), void *arg)
{
	if (api->phase != API_SERVING)
		return;
	api->phase = API_DRAIN_DELAY;
	api->drain_done = done;
	api->drain_done_arg = arg;
	api->drain_timer =
	    event_new(api->params.base, -1, 0, api_drain_timeout, api);
	if (api->drain_timer == NULL) {
		api_drain_finish(api);
		return;
	}
	api_drain_set_timer(api->drain_timer, delay_ms);
	if (limit_ms == 0)
		return;
	api->drain_limit_timer =
	    event_new(api->params.base, -1, 0, api_drain_limit_expired, api);
	if (api->drain_limit_timer != NULL)
		api_drain_set_timer(api->drain_limit_timer, limit_ms);
}

void
api_drain_destroy(struct api *api)
{
	if (api->drain_timer != NULL)
		event_free(api->drain_timer);
	if (api->drain_limit_timer != NULL)
		event_free(api->drain_limit_timer);
	free(api->record);
}
