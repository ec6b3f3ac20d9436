/*
 * Serves GET /healthz, /readyz and /metrics, and counts answers.
 */

#include <event2/buffer.h>
#include <stdio.h>
#include <string.h>

#include "core/counters.h"
#include "core/histogram.h"
#include "entry/api_internal.h"
#include "entry/config_sync.h"

#define API_TYPE_METRICS "text/plain; version=0.0.4"

#define API_ANSWERS(label)                                                 \
	{                                                                  \
		.name = "berylrail_answers_total",                         \
		.labels = "outcome=\"" label "\"",                         \
		.help = "Answers to submissions and requests, by outcome." \
	}

static struct counter api_answers_total[] = {
	[OUTCOME_COMPLETE] = API_ANSWERS("complete"),
	[OUTCOME_NOT_RUN] = API_ANSWERS("not-run"),
	[OUTCOME_TASK_FAILED] = API_ANSWERS("task-failed"),
	[OUTCOME_UNKNOWN] = API_ANSWERS("outcome-unknown"),
};

static const uint64_t api_response_bounds_us[] = { 1000, 2000, 5000, 10000,
	20000, 50000, 100000, 200000, 500000, 1000000, 2000000, 5000000,
	10000000, 30000000 };

static struct histogram api_response_seconds = {
	.name = "berylrail_response_seconds",
	.help = "Time from the receipt of a submission to its answer.",
	.bounds = api_response_bounds_us,
	.nbounds =
	    sizeof(api_response_bounds_us) / sizeof(api_response_bounds_us[0]),
	.unit = 1e-6,
};

static struct counter api_submissions_running = {
	.name = "berylrail_submissions_running",
	.help = "Submissions and requests that have not ended.",
	.gauge = 1,
};

static struct counter api_answers_retained_bytes = {
	.name = "berylrail_answers_kept_bytes",
	.help = "Bytes of retained answers.",
	.gauge = 1,
};

void
api_count_answer(enum outcome outcome, uint64_t elapsed_us)
{
	ctr_inc(&api_answers_total[outcome]);
	hist_add(&api_response_seconds, elapsed_us);
}

static void
api_reply_text(struct api_call *call, int status, const char *text)
{
	struct api_reply reply = {
		.status = status,
		.content_type = "text/plain",
		.body = text,
		.body_len = strlen(text),
	};

	api_call_reply(call, &reply);
}

void
api_health_get(struct api_call *call)
{
	api_reply_text(call, 200, "ok\n");
}

void
api_ready_get(struct api_call *call)
{
	const struct api *api = call->api;

	if (api->phase != API_SERVING)
		api_reply_text(call, 503, "leaving\n");
	else if (!config_sync_ready(api->params.config_sync))
		api_reply_text(call, 503, "no configuration yet\n");
	else if (config_sync_host_leaving(api->params.config_sync))
		api_reply_text(call, 503, "leaving by label\n");
	else
		api_reply_text(call, 200, "ready\n");
}

static void
api_metrics_emit(void *arg, const char *text, size_t len)
{
	(void)evbuffer_add(arg, text, len);
}

void
api_metrics_get(struct api_call *call)
{
	struct api_reply reply = { .status = 200,
		.content_type = API_TYPE_METRICS };
	struct evbuffer *buffer;

	buffer = evbuffer_new();
	if (buffer == NULL) {
		api_call_refuse(call, REF_NO_MEMORY, NULL);
		return;
	}
	ctr_set(&api_submissions_running, call->api->nrunning);
	ctr_set(&api_answers_retained_bytes,
	    clm_retained_bytes(call->api->claims));
	ctr_render(api_metrics_emit, buffer);
	hist_register(&api_response_seconds);
	hist_render_all(api_metrics_emit, buffer);
	reply.body_len = evbuffer_get_length(buffer);
	reply.body = evbuffer_pullup(buffer, -1);
	api_call_reply(call, &reply);
	evbuffer_free(buffer);
}
