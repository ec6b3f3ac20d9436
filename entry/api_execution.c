/*
 * Executions: submissions and single requests of this host, from their start
 * to the retained answer, and the calls that wait for them. The answer is
 * rendered once, so that all calls get the same one.
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
	.help = "Messages that did not contribute to an answer.",
};

struct api_execution *
api_exec_create(struct api *api, const char *id, struct submission *subm)
{
	struct api_execution *exec;

	exec = calloc(1, sizeof(*exec));
	if (exec == NULL) {
		subm_free(subm);
		return NULL;
	}
	exec->api = api;
	(void)snprintf(exec->id, sizeof(exec->id), "%s", id);
	(void)snprintf(subm->id, sizeof(subm->id), "%s", id);
	exec->single = subm->single;
	exec->ntasks = subm->ntasks;
	exec->subm = subm;
	exec->received_us = api_now(api);
	TAILQ_INIT(&exec->waiters);
	TAILQ_INSERT_TAIL(&api->running, exec, running_entry);
	api->nrunning++;
	return exec;
}

static void
api_exec_free(struct api_execution *exec)
{
	subm_free(exec->subm);
	free(exec->body);
	free(exec);
}

static void
api_exec_unlink(struct api_execution *exec)
{
	TAILQ_REMOVE(&exec->api->running, exec, running_entry);
	exec->api->nrunning--;
}

void
api_exec_discard(struct api_execution *exec)
{
	api_exec_unlink(exec);
	api_exec_free(exec);
}

void
api_exec_release(void *arg, struct claim *claim)
{
	struct api_execution *exec = (struct api_execution *)claim;

	(void)arg;
	idem_release_key(exec);
	api_exec_free(exec);
}

void
api_exec_reply(const struct api_execution *exec, struct api_call *call)
{
	struct api_reply reply = {
		.status = exec->status,
		.content_type = exec->content_type,
		.outcome = outcome_name(exec->outcome),
		.body = exec->body,
		.body_len = exec->body_len,
	};

	api_call_reply(call, &reply);
}

/* Replies to all waiting calls with the rendered answer, and retains it. */
static void
api_exec_finish(struct api_execution *exec)
{
	struct api *api = exec->api;
	struct api_call *call;

	exec->ended = true;
	subm_free(exec->subm);
	exec->subm = NULL;
	api_exec_unlink(exec);
	api_count_answer(exec->outcome, api_now(api) - exec->received_us);
	while ((call = TAILQ_FIRST(&exec->waiters)) != NULL)
		api_exec_reply(exec, call);
	if (exec->claimed)
		clm_end(api->claims, &exec->claim, api_now(api),
		    sizeof(*exec) + exec->body_len);
	else
		api_exec_free(exec);
	if (api->phase == API_DRAINING)
		api_drain_check(api);
}

static void
api_exec_set_problem(struct api_execution *exec, const struct refusal_row *row,
    const struct err *err)
{
	refusal_count(err);
	exec->status = row->status;
	exec->outcome = row->outcome;
	exec->content_type = PROBLEM_TYPE;
	exec->body = problem_render(row, err, &exec->body_len);
}

void
api_exec_refuse(struct api_execution *exec, enum refusal refusal,
    const struct err *err)
{
	api_exec_set_problem(exec, refusal_get(refusal), err);
	api_exec_finish(exec);
}

/* Sets a problem document as the answer: there is no complete result. */
static void
api_exec_set_single_failure(struct api_execution *exec,
    const struct answer *answer)
{
	struct refusal_row row = {
		.status = answer->outcome == OUTCOME_NOT_RUN
		    ? refusal_get(refusal_from_engine(&answer->err))->status
		    : API_STATUS_BAD_GATEWAY,
		.has_outcome = true,
		.outcome = answer->outcome,
		.title = "the request has no complete result",
	};

	api_exec_set_problem(exec, &row, &answer->err);
}

static void
api_exec_render_single(struct api_execution *exec, struct answer *answer)
{
	struct task_result *result;
	bool has_result;

	exec->outcome = answer->outcome;
	result = answer->ntasks == 1 ? &answer->results[0] : NULL;
	has_result = result != NULL &&
	    (answer->outcome == OUTCOME_COMPLETE ||
		(answer->outcome == OUTCOME_TASK_FAILED &&
		    result->http_status >= API_STATUS_ERROR_MIN &&
		    result->http_status <= API_STATUS_ERROR_MAX));
	if (!has_result) {
		api_exec_set_single_failure(exec, answer);
		return;
	}
	exec->status = result->http_status;
	exec->content_type = API_TYPE_BYTES;
	exec->body = result->body;
	exec->body_len = result->body_len;
	result->body = NULL;
}

static void
api_exec_render(struct api_execution *exec, struct answer *answer)
{
	struct refusal_row row = { .status = 500,
		.has_outcome = true,
		.outcome = OUTCOME_UNKNOWN,
		.title = "out of memory" };
	struct err err;

	exec->status = 200;
	exec->outcome = answer->outcome;
	exec->content_type = API_TYPE_JSON;
	exec->body = api_render_answer(exec->api->params.crypto, exec->id,
	    answer, &exec->body_len);
	if (exec->body != NULL)
		return;
	(void)err_set(&err, ERR_STEP_RECEIVE, ERR_NO_MEMORY, NULL,
	    "out of memory while rendering the answer");
	api_exec_set_problem(exec, &row, &err);
}

void
api_exec_end(struct api_execution *exec, struct answer *answer)
{
	/* The outcome "complete" must follow from the results themselves. */
	if (answer->outcome == OUTCOME_COMPLETE &&
	    (answer->ntasks != exec->ntasks || answer->results == NULL))
		answer->outcome = OUTCOME_UNKNOWN;
	else if (answer->outcome == OUTCOME_COMPLETE)
		answer->outcome = subm_outcome(answer->results, answer->ntasks);
	if (exec->single)
		api_exec_render_single(exec, answer);
	else
		api_exec_render(exec, answer);
	subm_answer_free(answer);
	api_exec_finish(exec);
}

static void
api_exec_engine_done(void *arg, struct answer *answer)
{
	api_exec_end(arg, answer);
}

bool
api_exec_start(struct api_execution *exec)
{
	struct submission *subm = exec->subm;
	struct err err;

	exec->subm = NULL;
	exec->submitted = true;
	if (engine_submit(exec->api->params.engine, subm, api_exec_engine_done,
		exec, &err) == 0)
		return true;
	subm_free(subm);
	api_exec_refuse(exec, refusal_from_engine(&err), &err);
	return false;
}

void
api_exec_cancel(struct api_execution *exec)
{
	exec->cancelled = true;
	/* The engine may end the submission and free @exec in this call. */
	if (exec->submitted)
		(void)engine_cancel(exec->api->params.engine, exec->id);
}

static void
api_call_reply_progress(struct api_call *call)
{
	const struct api_execution *exec = call->exec;
	size_t ended = 0, ntasks = exec->ntasks;

	if (!call->add_next_ticket)
		ctr_inc(&api_polls);
	if (!engine_progress(call->api->params.engine, exec->id, &ended,
		&ntasks)) {
		ended = 0;
		ntasks = exec->ntasks;
	}
	api_call_reply_json(call, 202,
	    api_render_progress(exec->id, ended, ntasks));
}

static void
api_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	api_call_reply_progress(arg);
}

void
api_exec_attach(struct api_execution *exec, struct api_call *call)
{
	call->exec = exec;
	call->request = NULL;
	TAILQ_INSERT_TAIL(&exec->waiters, call, waiter_entry);
}

void
api_call_wait(struct api_call *call, uint32_t wait_ms)
{
	struct timeval tv = { .tv_sec = wait_ms / 1000,
		.tv_usec = (suseconds_t)(wait_ms % 1000) * 1000 };

	if (wait_ms == API_WAIT_UNTIL_END)
		return;
	if (wait_ms > 0)
		call->timer = event_new(call->api->params.base, -1, 0,
		    api_call_timeout, call);
	if (call->timer == NULL || event_add(call->timer, &tv) == -1)
		api_call_reply_progress(call);
}

void
api_exec_wait(struct api_execution *exec, struct api_call *call,
    uint32_t wait_ms)
{
	if (exec->ended) {
		api_exec_reply(exec, call);
		return;
	}
	call = api_call_defer(call);
	if (call == NULL)
		return;
	api_exec_attach(exec, call);
	api_call_wait(call, wait_ms);
}
