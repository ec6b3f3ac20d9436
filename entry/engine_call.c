/*
 * Calls that run tasks on backend servers.
 *
 * A task is started at most once: at any time it is either on the stack of
 * waiting tasks of its submission, or has exactly one call, or has ended. It
 * returns to the stack only if its call ends with BACKEND_REFUSED or
 * BACKEND_NOT_SENT. The only exceptions are single requests whose job is
 * configured as repeatable.
 */

#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/engine_internal.h"

/* Attempts of a task if its requests can't be sent. */
#define ENG_UNSENT_ATTEMPTS_MAX 6
/* Attempts of a repeatable single request, without its hedge. */
#define ENG_REPEATABLE_ATTEMPTS_MAX 2
/* Pause of a server after a refusal. The pause is doubled with each consecutive
 * refusal, at most ENG_REFUSAL_DOUBLINGS_MAX times. */
#define ENG_REFUSAL_PAUSE_US 20000ULL
#define ENG_REFUSAL_DOUBLINGS_MAX 5
/* Weight of one task in the running mean of the servers' speeds. */
#define ENG_MEAN_SPEED_WEIGHT 0.01

#define ENG_WASTED_COUNTER(k)                                             \
	{                                                                 \
		.name = "berylrail_wasted_messages_total",                \
		.labels = "hop=\"backend\",kind=\"" k "\"",               \
		.help = "Messages that did not contribute to an answer.", \
	}

static struct counter eng_started = {
	.name = "berylrail_tasks_started_total",
	.help = "Tasks sent to backend servers, counting each attempt.",
};
static struct counter eng_wasted_refused = ENG_WASTED_COUNTER("refused");
static struct counter eng_wasted_retry = ENG_WASTED_COUNTER("retry");
static struct counter eng_wasted_hedge = ENG_WASTED_COUNTER("hedge");
static struct counter eng_wasted_cancelled = ENG_WASTED_COUNTER("cancelled");
static struct counter eng_wasted_late = ENG_WASTED_COUNTER("late");
static struct counter eng_wasted_not_sent = ENG_WASTED_COUNTER("not_sent");

static bool
eng_is_repeatable(const struct eng_subm *subm)
{
	return subm->subm_spec->single && subm->subm_spec->ntasks == 1 &&
	    subm->job->cfg.repeatable;
}

/* Adds @n running tasks, which may be negative; blocks or unblocks the team's
 * jobs when the quota is reached or no longer reached. */
static void
eng_team_add(struct eng_team *team, int n)
{
	struct eng_job *job;
	bool was_full, full;

	if (team == NULL)
		return;
	was_full = team->running_max != 0 && team->running >= team->running_max;
	team->running += (uint32_t)n;
	full = team->running_max != 0 && team->running >= team->running_max;
	if (was_full == full)
		return;
	TAILQ_FOREACH (job, &team->jobs, team_entry)
		ord_set_blocked(&job->pool->order, &job->flow, full);
}

/* Removes a call from its submission and from the quota of its team, unless
 * that was done before. */
static void
eng_call_detach(struct eng_call *call)
{
	struct engine *engine = call->engine;

	if (call->detached)
		return;
	TAILQ_REMOVE(&call->subm->calls, call, subm_entry);
	if (call->subm->hedgeable)
		TAILQ_REMOVE(&engine->hedgeable, call, hedge_entry);
	engine->nrunning--;
	eng_team_add(call->team, -1);
}

/* Removes a call from all lists, and releases its slot and its quota. */
static void
eng_call_unlink(struct eng_call *call)
{
	struct engine *engine = call->engine;
	struct eng_server *server = call->server;

	eng_call_detach(call);
	TAILQ_REMOVE(&server->calls, call, server_entry);
	server->pick.running--;
	eng_server_refresh(engine, server);
}

static void
eng_call_free(struct eng_call *call)
{
	if (call->detached) {
		call->subm->ndetached--;
		eng_subm_release(call->subm);
	}
	free(call);
}

/* Cancels a call. The state of its task in the submission is not changed. */
void
eng_call_cancel(struct eng_call *call)
{
	struct engine *engine = call->engine;
	struct eng_server *server = call->server;

	engine->backend->ops->cancel(engine->backend, call->handle);
	eng_call_unlink(call);
	eng_call_free(call);
	eng_server_release(engine, server);
}

static void eng_call_done(void *arg, const struct backend_reply *reply);

static uint64_t
eng_timeout_us(const struct eng_job *job)
{
	uint32_t timeout_ms = job->cfg.timeout_ms;

	return (timeout_ms != 0 ? timeout_ms : ENG_TIMEOUT_DEFAULT_MS) *
	    1000ULL;
}

/* Connections are divided evenly among the hosts of the zone, but there must be
 * one for each slot. */
static uint32_t
eng_connections_max(const struct engine *engine,
    const struct eng_server *server)
{
	uint32_t share = server->cfg.connections;

	if (engine->naz_hosts > 1)
		share /= (uint32_t)engine->naz_hosts;
	return share > server->pick.limit ? share : server->pick.limit;
}

static int
eng_call_send(struct eng_call *call)
{
	struct engine *engine = call->engine;
	const struct eng_job *job = call->subm->job;
	const struct task_spec *task =
	    &call->subm->subm_spec->tasks[call->index];
	struct backend_request request = {
		.server = &call->server->address,
		.path = job->path,
		.task_id = call->task_id,
		.body = task->body,
		.body_len = task->body_len,
		.timeout_us = eng_timeout_us(job),
		.connections_max = eng_connections_max(engine, call->server),
	};

	snprintf(call->task_id, sizeof(call->task_id), "%s/%zu",
	    call->subm->subm_spec->id, call->index);
	call->handle = engine->backend->ops->start(engine->backend, &request,
	    eng_call_done, call);
	return call->handle != NULL ? 0 : -1;
}

/* Starts a task that is not on the stack of waiting tasks. Return: 0, or -1
 * when out of memory; the task has not been sent. */
int
eng_call_start(struct eng_subm *subm, size_t index, struct eng_server *server)
{
	struct engine *engine = subm->engine;
	struct eng_call *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return -1;
	call->engine = engine;
	call->subm = subm;
	call->server = server;
	call->team = subm->job->team;
	call->index = index;
	call->started_us = clock_now_us(engine->clock);
	call->declared_us =
	    eng_declared_run_us(subm->job, &subm->subm_spec->tasks[index]);
	call->expected_us = lrn_expected_us(&server->speed, &subm->job->factor,
	    call->declared_us);
	if (eng_call_send(call) == -1) {
		free(call);
		return -1;
	}
	TAILQ_INSERT_TAIL(&server->calls, call, server_entry);
	TAILQ_INSERT_TAIL(&subm->calls, call, subm_entry);
	if (subm->hedgeable)
		TAILQ_INSERT_TAIL(&engine->hedgeable, call, hedge_entry);
	engine->nrunning++;
	eng_team_add(call->team, 1);
	server->pick.running++;
	eng_server_refresh(engine, server);
	ctr_inc(&eng_started);
	return 0;
}

/* Returns a task to the stack of waiting tasks. */
static void
eng_requeue_task(struct eng_subm *subm, size_t index)
{
	struct engine *engine = subm->engine;
	const struct task_spec *task = &subm->subm_spec->tasks[index];

	subm->answer->results[index].state = TASK_QUEUED;
	subm->pending[subm->npending++] = (uint16_t)index;
	subm->waiting_bytes += task->body_len;
	engine->waiting_bytes += task->body_len;
	subm->job->nwaiting++;
	engine->nwaiting++;
	ord_add_work(&subm->job->pool->order, &subm->item,
	    eng_task_work_us(subm->job, task));
}

/* Stores the result of a task in the answer; the body is omitted if the
 * submission was cancelled. Return: 0, or -1 when out of memory. */
static int
eng_copy_result(struct eng_call *call, const struct backend_reply *reply,
    uint64_t run_us)
{
	struct eng_subm *subm = call->subm;
	struct task_result *result = &subm->answer->results[call->index];

	result->http_status = reply->http_status;
	result->run_us = run_us;
	memcpy(result->server, call->server->address.name, NAME_SIZE);
	subm->measured_work_us[call->index] =
	    (double)run_us * call->server->speed.value;
	if (reply->body_len == 0 || subm->cancelled)
		return 0;
	result->body = malloc(reply->body_len);
	if (result->body == NULL)
		return -1;
	memcpy(result->body, reply->body, reply->body_len);
	result->body_len = reply->body_len;
	return 0;
}

/*
 * Detaches the other call of a hedged pair, if there is one, after the first
 * has succeeded. It is not cancelled, because the server may still run the
 * task: its slot stays in use until the call ends. Its reply is discarded.
 */
static void
eng_detach_other_call(struct eng_subm *subm)
{
	struct eng_call *other_call;

	if (!subm->hedgeable)
		return;
	other_call = TAILQ_FIRST(&subm->calls);
	if (other_call == NULL)
		return;
	ctr_inc(&eng_wasted_hedge);
	eng_call_detach(other_call);
	other_call->detached = true;
	subm->ndetached++;
}

/* Returns whether the task may be started again after its call has ended with
 * @status. Takes a token of the retry budget if the retry needs one. */
static bool
eng_may_retry(const struct eng_call *call, enum backend_status status)
{
	struct eng_subm *subm = call->subm;
	struct engine *engine = call->engine;
	uint8_t attempts = subm->attempts[call->index];

	if (subm->failed)
		return false;
	/* The pause of the server limits the rate of these retries, and the
	 * deadline of the submission ends them. */
	if (status == BACKEND_REFUSED)
		return true;
	if (status == BACKEND_NOT_SENT)
		return attempts < ENG_UNSENT_ATTEMPTS_MAX &&
		    rtry_take_token(&engine->retries,
			clock_now_us(engine->clock));
	return eng_is_repeatable(subm) &&
	    attempts < ENG_REPEATABLE_ATTEMPTS_MAX &&
	    rtry_take_token(&engine->retries, clock_now_us(engine->clock));
}

/* Processes the end of a call without a result: the task waits again or ends.
 * If it ends, so do the other waiting tasks of the submission. */
static void
eng_call_failed(struct eng_call *call, const struct backend_reply *reply,
    uint64_t run_us)
{
	static const enum task_state states[] = {
		[BACKEND_TASK_FAILED] = TASK_FAILED,
		[BACKEND_REFUSED] = TASK_NOT_RUN,
		[BACKEND_NOT_SENT] = TASK_NOT_RUN,
		[BACKEND_UNKNOWN] = TASK_LOST,
	};
	struct eng_subm *subm = call->subm;
	enum task_state state = states[reply->status];

	if (!TAILQ_EMPTY(&subm->calls) && subm->hedgeable) {
		subm->may_have_run |= state != TASK_NOT_RUN;
		return; /* the other call of the pair may still succeed */
	}
	if (eng_may_retry(call, reply->status)) {
		if (reply->status == BACKEND_REFUSED &&
		    subm->attempts[call->index] > 1)
			subm->attempts[call->index]--;
		subm->may_have_run |= state != TASK_NOT_RUN;
		eng_requeue_task(subm, call->index);
		return;
	}
	if (subm->may_have_run && state == TASK_NOT_RUN)
		state = TASK_LOST;
	if (state == TASK_FAILED)
		(void)eng_copy_result(call, reply, run_us);
	eng_task_end(subm, call->index, state, &reply->err);
	eng_end_pending_tasks(subm, &reply->err);
}

static void
eng_call_succeeded(struct eng_call *call, const struct backend_reply *reply,
    uint64_t run_us)
{
	struct eng_subm *subm = call->subm;
	struct err err;

	eng_detach_other_call(subm);
	if (eng_copy_result(call, reply, run_us) == 0) {
		eng_task_end(subm, call->index, TASK_DONE, NULL);
		return;
	}
	err_set(&err, ERR_STEP_RECEIVE, ERR_NO_MEMORY,
	    call->server->address.name, "out of memory for the result");
	eng_task_end(subm, call->index, TASK_LOST, &err);
	eng_end_pending_tasks(subm, &err);
}

static void
eng_count_wasted(const struct eng_call *call, const struct backend_reply *reply)
{
	if (reply->status == BACKEND_REFUSED)
		ctr_inc(&eng_wasted_refused);
	else if (reply->status == BACKEND_NOT_SENT)
		ctr_inc(&eng_wasted_not_sent);
	else if (call->subm->cancelled)
		ctr_inc(&eng_wasted_cancelled);
	else if (call->subm->failed)
		ctr_inc(&eng_wasted_late);
	else if (reply->status != BACKEND_OK && eng_is_repeatable(call->subm))
		ctr_inc(&eng_wasted_retry);
}

/* Pauses a server that has refused a task. The pause grows with the number of
 * consecutive refusals. */
static void
eng_pause_server(struct eng_server *server, uint64_t now_us)
{
	server->paused_until_us =
	    now_us + (ENG_REFUSAL_PAUSE_US << server->nrefusals);
	if (server->nrefusals < ENG_REFUSAL_DOUBLINGS_MAX)
		server->nrefusals++;
}

/* Updates the state of a server from a reply: speed, health, pause, leaving. */
static void
eng_record_reply(struct eng_call *call, const struct backend_reply *reply,
    uint64_t now_us)
{
	static const enum hlth_event events[] = {
		[BACKEND_OK] = HLTH_SUCCESS,
		[BACKEND_TASK_FAILED] = HLTH_FAILURE,
		[BACKEND_NOT_SENT] = HLTH_UNREACHABLE,
		[BACKEND_UNKNOWN] = HLTH_LOST,
	};
	struct engine *engine = call->engine;
	struct eng_server *server = call->server;
	struct eng_job *job = call->subm->job;

	if (reply->status == BACKEND_OK && engine->policy.learn) {
		lrn_observe(&server->speed, &job->factor, call->declared_us,
		    (double)(now_us - call->started_us));
		server->pick.speed = server->speed.value;
		engine->mean_log_speed += ENG_MEAN_SPEED_WEIGHT *
		    (server->speed.log_value - engine->mean_log_speed);
	}
	if (reply->status == BACKEND_OK)
		server->last_success_us = now_us;
	if (reply->status != BACKEND_REFUSED)
		server->nrefusals = 0;
	if (reply->status == BACKEND_REFUSED)
		eng_pause_server(server, now_us);
	else if (reply->err.code != ERR_OVERLOAD)
		eng_server_record_event(engine, server, job,
		    events[reply->status]);
	if (reply->leaving)
		eng_server_set_leaving(engine, server, ENG_LEAVING_SELF, true);
}

static void
eng_call_end(struct eng_call *call, const struct backend_reply *reply,
    uint64_t run_us)
{
	eng_count_wasted(call, reply);
	if (reply->status == BACKEND_OK)
		eng_call_succeeded(call, reply, run_us);
	else
		eng_call_failed(call, reply, run_us);
}

static void
eng_call_done(void *arg, const struct backend_reply *reply)
{
	struct eng_call *call = arg;
	struct engine *engine = call->engine;
	struct eng_server *server = call->server;
	uint64_t now_us = clock_now_us(engine->clock);

	eng_record_reply(call, reply, now_us);
	eng_call_unlink(call);
	if (!call->detached)
		eng_call_end(call, reply, now_us - call->started_us);
	eng_call_free(call);
	eng_dispatch_server(engine, server);
	eng_server_release(engine, server);
}
