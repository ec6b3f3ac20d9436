/*
 * Submissions and single requests of this host, from their start to the kept
 * answer; and the calls that wait for them.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/api_internal.h"
#include "entry/engine.h"
#include "entry/idempotency.h"
#include "entry/problem.h"

#define API_STATUS_ERROR_MIN 400
#define API_STATUS_ERROR_MAX 599
#define API_STATUS_BAD_GATEWAY 502

static struct counter api_polls = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"client\",kind=\"poll\"",
	.help = "messages that added nothing to an answer",
};

struct api_work *
api_work_create(struct api *api, const char *id, struct submission *subm)
{
	struct api_work *work;

	work = calloc(1, sizeof(*work));
	if (work == NULL) {
		subm_free(subm);
		return NULL;
	}
	work->api = api;
	(void)snprintf(work->id, sizeof(work->id), "%s", id);
	(void)snprintf(subm->id, sizeof(subm->id), "%s", id);
	work->single = subm->single;
	work->ntasks = subm->ntasks;
	work->subm = subm;
	work->received_us = api_now(api);
	TAILQ_INIT(&work->calls);
	TAILQ_INSERT_TAIL(&api->running, work, running);
	api->nrunning++;
	return work;
}

static void
api_work_free(struct api_work *work)
{
	subm_free(work->subm);
	free(work->body);
	free(work);
}

static void
api_work_unlink(struct api_work *work)
{
	TAILQ_REMOVE(&work->api->running, work, running);
	work->api->nrunning--;
}

void
api_work_drop(struct api_work *work)
{
	api_work_unlink(work);
	api_work_free(work);
}

void
api_work_release(void *arg, struct claim *claim)
{
	struct api_work *work = (struct api_work *)claim;

	(void)arg;
	idem_forget(work);
	api_work_free(work);
}

void
api_work_reply(const struct api_work *work, struct api_call *call)
{
	struct api_reply reply = {
		.status = work->status,
		.content_type = work->content_type,
		.outcome = outcome_name(work->outcome),
		.body = work->body,
		.body_len = work->body_len,
	};

	api_call_reply(call, &reply);
}

/* The answer is rendered: hand it to who waits, and keep it. */
static void
api_work_settle(struct api_work *work)
{
	struct api *api = work->api;
	struct api_call *call;

	work->ended = true;
	subm_free(work->subm);
	work->subm = NULL;
	api_work_unlink(work);
	api_answered(work->outcome, api_now(api) - work->received_us);
	while ((call = TAILQ_FIRST(&work->calls)) != NULL)
		api_work_reply(work, call);
	if (work->claimed)
		clm_end(api->claims, &work->claim, api_now(api),
		    sizeof(*work) + work->body_len);
	else
		api_work_free(work);
	if (api->phase == API_CLOSED)
		api_drain_check(api);
}

static void
api_work_problem(struct api_work *work, const struct refusal_row *row,
    const struct err *err)
{
	refusal_count(err);
	work->status = row->status;
	work->outcome = row->outcome;
	work->content_type = PROBLEM_TYPE;
	work->body = problem_render(row, err, &work->body_len);
}

void
api_work_refuse(struct api_work *work, enum refusal refusal,
    const struct err *err)
{
	api_work_problem(work, refusal_get(refusal), err);
	api_work_settle(work);
}

/* What became of a single request that has no whole result. */
static void
api_work_single_failed(struct api_work *work, const struct answer *answer)
{
	struct refusal_row row = {
		.status = answer->outcome == OUTCOME_NOT_RUN
		    ? refusal_get(refusal_from_engine(&answer->err))->status
		    : API_STATUS_BAD_GATEWAY,
		.has_outcome = true,
		.outcome = answer->outcome,
		.title = "the request has no whole result",
	};

	api_work_problem(work, &row, &answer->err);
}

static void
api_work_render_single(struct api_work *work, struct answer *answer)
{
	struct task_result *result;
	bool whole;

	work->outcome = answer->outcome;
	result = answer->ntasks == 1 ? &answer->results[0] : NULL;
	whole = result != NULL &&
	    (answer->outcome == OUTCOME_COMPLETE ||
		(answer->outcome == OUTCOME_TASK_FAILED &&
		    result->http_status >= API_STATUS_ERROR_MIN &&
		    result->http_status <= API_STATUS_ERROR_MAX));
	if (!whole) {
		api_work_single_failed(work, answer);
		return;
	}
	work->status = result->http_status;
	work->content_type = API_BYTES;
	work->body = result->body;
	work->body_len = result->body_len;
	result->body = NULL;
}

static void
api_work_render(struct api_work *work, struct answer *answer)
{
	struct refusal_row row = { .status = 500,
		.has_outcome = true,
		.outcome = OUTCOME_UNKNOWN,
		.title = "out of memory" };
	struct err err;

	work->status = 200;
	work->outcome = answer->outcome;
	work->content_type = API_JSON;
	work->body = api_render_answer(work->api->params.crypto, work->id,
	    answer, &work->body_len);
	if (work->body != NULL)
		return;
	(void)err_set(&err, ERR_STEP_RECEIVE, ERR_NO_MEMORY, NULL,
	    "out of memory for the answer");
	api_work_problem(work, &row, &err);
}

void
api_work_end(struct api_work *work, struct answer *answer)
{
	/* Only what the results themselves bear out is called complete. */
	if (answer->outcome == OUTCOME_COMPLETE &&
	    (answer->ntasks != work->ntasks || answer->results == NULL))
		answer->outcome = OUTCOME_UNKNOWN;
	else if (answer->outcome == OUTCOME_COMPLETE)
		answer->outcome = subm_outcome(answer->results, answer->ntasks);
	if (work->single)
		api_work_render_single(work, answer);
	else
		api_work_render(work, answer);
	subm_answer_free(answer);
	api_work_settle(work);
}

static void
api_work_done(void *arg, struct answer *answer)
{
	api_work_end(arg, answer);
}

bool
api_work_start(struct api_work *work)
{
	struct submission *subm = work->subm;
	struct err err;

	work->subm = NULL;
	work->submitted = true;
	if (engine_submit(work->api->params.engine, subm, api_work_done, work,
		&err) == 0)
		return true;
	subm_free(subm);
	api_work_refuse(work, refusal_from_engine(&err), &err);
	return false;
}

void
api_work_cancel(struct api_work *work)
{
	work->cancelled = true;
	/* The submission may end, and @work with it, within this call. */
	if (work->submitted)
		(void)engine_cancel(work->api->params.engine, work->id);
}

static void
api_call_progress(struct api_call *call)
{
	const struct api_work *work = call->work;
	size_t ended = 0, ntasks = work->ntasks;

	if (!call->gives_ticket)
		ctr_inc(&api_polls);
	if (!engine_progress(call->api->params.engine, work->id, &ended,
		&ntasks)) {
		ended = 0;
		ntasks = work->ntasks;
	}
	api_call_json(call, 202, api_render_progress(work->id, ended, ntasks));
}

static void
api_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	api_call_progress(arg);
}

void
api_work_attach(struct api_work *work, struct api_call *call)
{
	call->work = work;
	call->request = NULL;
	TAILQ_INSERT_TAIL(&work->calls, call, of_work);
}

void
api_call_wait(struct api_call *call, uint32_t wait_ms)
{
	struct timeval tv = { .tv_sec = wait_ms / 1000,
		.tv_usec = (suseconds_t)(wait_ms % 1000) * 1000 };

	if (wait_ms == API_WAIT_END)
		return;
	if (wait_ms > 0)
		call->timer = event_new(call->api->params.base, -1, 0,
		    api_call_timeout, call);
	if (call->timer == NULL || event_add(call->timer, &tv) == -1)
		api_call_progress(call);
}

void
api_work_wait(struct api_work *work, struct api_call *call, uint32_t wait_ms)
{
	if (work->ended) {
		api_work_reply(work, call);
		return;
	}
	call = api_call_keep(call);
	if (call == NULL)
		return;
	api_work_attach(work, call);
	api_call_wait(call, wait_ms);
}
