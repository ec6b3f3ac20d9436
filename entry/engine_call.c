/*
 * Starting tasks on backend servers, and the ends of these calls.
 *
 * At most once: a task of a submission is on the stack of waiting tasks, or
 * has exactly one call, or has ended. It returns to the stack only when its
 * call ended REFUSED or NOT_SENT. Only single requests whose job says that
 * they may be repeated are exempt.
 */

#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/engine_internal.h"

#define ENG_TRIES_MAX 6		    /* starts of one task that were refused */
#define ENG_REPEATS_MAX 2	    /* starts of a repeatable single request */
#define ENG_REFUSED_PAUSE_US 20000  /* no new work after "busy" */
#define ENG_OVERFLOW_WAIT_US 500000 /* expected wait that allows overflow */
#define ENG_SHARE_SLACK_US 250000   /* of all servers, between jobs */
#define ENG_HEDGE_FACTOR 2.5	    /* of the expected run time */
#define ENG_HEDGE_MIN_US 20000
#define ENG_SPEED_WEIGHT 0.01 /* of one task in the mean of speeds */

#define ENG_MESSAGES(k)                                     \
	{                                                   \
		.name = "berylrail_messages_total",         \
		.labels = "hop=\"backend\",kind=\"" k "\"", \
		.help = "Messages sent, by hop and kind.",  \
	}
#define ENG_WASTED(k)                                                \
	{                                                            \
		.name = "berylrail_wasted_messages_total",           \
		.labels = "hop=\"backend\",kind=\"" k "\"",          \
		.help = "Messages that added nothing to an answer.", \
	}

static struct counter eng_started = {
	.name = "berylrail_tasks_started_total",
	.help = "Tasks sent to backend servers, each try counted.",
};
static struct counter eng_message_task = ENG_MESSAGES("task");
static struct counter eng_message_retry = ENG_MESSAGES("retry");
static struct counter eng_message_hedge = ENG_MESSAGES("hedge");
static struct counter eng_wasted_refused = ENG_WASTED("refused");
static struct counter eng_wasted_retry = ENG_WASTED("retry");
static struct counter eng_wasted_hedge = ENG_WASTED("hedge");
static struct counter eng_wasted_cancelled = ENG_WASTED("cancelled");
static struct counter eng_wasted_late = ENG_WASTED("late");
static struct counter eng_wasted_not_sent = ENG_WASTED("not_sent");

static double
eng_declared_us(const struct eng_job *job, const struct task_spec *task)
{
	uint32_t run_ms = task->run_ms;

	if (run_ms == 0)
		run_ms = job->cfg.run_ms;
	if (run_ms == 0)
		run_ms = ENG_RUN_DEFAULT_MS;
	return run_ms * 1000.0;
}

double
eng_task_work_us(const struct eng_job *job, const struct task_spec *task)
{
	return eng_declared_us(job, task) * job->factor.value;
}

static bool
eng_is_repeatable(const struct eng_subm *subm)
{
	return subm->subm->single && subm->job->cfg.repeatable;
}

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
		ord_block(&job->pool->order, &job->flow, full);
}

/* Takes a call out of all lists and gives back what it held. */
static void
eng_call_unlink(struct eng_call *call)
{
	struct engine *engine = call->engine;
	struct eng_server *server = call->server;

	TAILQ_REMOVE(&server->calls, call, server_entry);
	TAILQ_REMOVE(&call->subm->calls, call, subm_entry);
	if (call->subm->hedgeable)
		TAILQ_REMOVE(&engine->hedgeable, call, hedge_entry);
	engine->nrunning--;
	eng_team_add(call->team, -1);
	server->pick.running--;
	eng_server_refresh(engine, server);
}

void
eng_call_drop(struct eng_call *call)
{
	struct engine *engine = call->engine;
	struct eng_server *server = call->server;

	engine->backend->ops->cancel(engine->backend, call->call);
	eng_call_unlink(call);
	free(call);
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

/* Connections are shared as slots are, but every slot needs one. */
static uint32_t
eng_connections_max(const struct engine *engine,
    const struct eng_server *server)
{
	uint32_t share = server->cfg.connections;

	if (engine->nshare > 1)
		share /= (uint32_t)engine->nshare;
	return share > server->pick.limit ? share : server->pick.limit;
}

static int
eng_call_send(struct eng_call *call)
{
	struct engine *engine = call->engine;
	const struct eng_job *job = call->subm->job;
	const struct task_spec *task = &call->subm->subm->tasks[call->index];
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
	    call->subm->subm->id, call->index);
	call->call = engine->backend->ops->start(engine->backend, &request,
	    eng_call_done, call);
	return call->call != NULL ? 0 : -1;
}

/* Starts a task of @subm, which is on no stack any more. */
static int
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
	    eng_declared_us(subm->job, &subm->subm->tasks[index]);
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

/* Puts a task on the stack of waiting ones, again. */
static void
eng_push(struct eng_subm *subm, size_t index)
{
	struct engine *engine = subm->engine;
	const struct task_spec *task = &subm->subm->tasks[index];

	subm->answer->results[index].state = TASK_QUEUED;
	subm->pending[subm->npending++] = (uint16_t)index;
	subm->waiting_bytes += task->body_len;
	engine->waiting_bytes += task->body_len;
	subm->job->nwaiting++;
	engine->nwaiting++;
	ord_more(&subm->job->pool->order, &subm->item,
	    eng_task_work_us(subm->job, task));
}

/* Takes the task at @place off the stack of @subm. */
static size_t
eng_pop(struct eng_subm *subm, size_t place)
{
	struct engine *engine = subm->engine;
	struct order *order = &subm->job->pool->order;
	size_t index = subm->pending[place];
	const struct task_spec *task = &subm->subm->tasks[index];

	subm->npending--;
	memmove(&subm->pending[place], &subm->pending[place + 1],
	    (subm->npending - place) * sizeof(subm->pending[0]));
	ord_started(order, &subm->item, eng_task_work_us(subm->job, task),
	    clock_now_us(engine->clock));
	if (subm->npending == 0)
		ord_remove(order, &subm->item);
	subm->waiting_bytes -= task->body_len;
	engine->waiting_bytes -= task->body_len;
	subm->job->nwaiting--;
	engine->nwaiting--;
	return index;
}

static void
eng_start_waiting(struct eng_subm *subm, size_t place,
    struct eng_server *server)
{
	size_t index = eng_pop(subm, place);
	struct err err;

	if (eng_call_start(subm, index, server) == -1) {
		err_set(&err, ERR_STEP_QUEUE, ERR_NO_MEMORY, NULL,
		    "out of memory");
		eng_task_end(subm, index, TASK_NOT_RUN, &err);
		eng_stop_waiting(subm, &err);
		return;
	}
	subm->answer->results[index].state = TASK_STARTED;
	if (subm->tries[index]++ == 0) {
		ctr_inc(&eng_message_task);
		rtry_started(&subm->engine->retries);
		rtry_started(&subm->engine->hedges);
	} else {
		ctr_inc(&eng_message_retry);
	}
}

static struct pick_task
eng_pick_task(struct engine *engine, const struct eng_subm *subm, size_t place)
{
	const struct task_spec *spec = &subm->subm->tasks[subm->pending[place]];

	return (struct pick_task){
		.work_us = eng_task_work_us(subm->job, spec),
		.now_us = clock_now_us(engine->clock),
		.random = eng_random(engine),
	};
}

/* A server of the own zone for the task whose turn it is. */
static bool
eng_start_first(struct engine *engine, struct eng_pool *pool,
    struct eng_subm *subm)
{
	size_t place = subm->npending - 1U;
	struct pick_task task = eng_pick_task(engine, subm, place);
	struct pick_server *server;

	task.ahead_us = task.work_us;
	server = pick_choose(&pool->pick, 0, &task);
	if (server == NULL)
		return false;
	eng_start_waiting(subm, place, (struct eng_server *)server);
	return true;
}

/* The first one waits for a faster server: what is free now may still serve
 * the shortest task of the submission that is furthest from its turn. */
static bool
eng_start_last(struct engine *engine, struct eng_pool *pool)
{
	struct eng_subm *subm = (struct eng_subm *)ord_last(&pool->order);
	struct pick_task task = eng_pick_task(engine, subm, 0);
	struct pick_server *server;

	task.ahead_us = pool->order.work_us;
	server = pick_choose(&pool->pick, 0, &task);
	if (server == NULL)
		return false;
	eng_start_waiting(subm, 0, (struct eng_server *)server);
	return true;
}

/* Another zone's server, if none here is able or the wait here is long. */
static bool
eng_start_elsewhere(struct engine *engine, struct eng_pool *pool,
    struct eng_subm *subm)
{
	size_t place = subm->npending - 1U;
	struct pick_task task = eng_pick_task(engine, subm, place);
	double capacity = pick_capacity(&pool->pick, 0);
	struct pick_server *server;

	if (!engine->policy.overflow || pool->pick.tiers[1].nfree == 0)
		return false;
	task.ahead_us = pool->order.work_us;
	if (capacity > 0 && task.ahead_us / capacity < ENG_OVERFLOW_WAIT_US)
		return false;
	server = pick_choose(&pool->pick, 1, &task);
	if (server == NULL)
		return false;
	eng_start_waiting(subm, place, (struct eng_server *)server);
	return true;
}

void
eng_pump(struct engine *engine, struct eng_pool *pool)
{
	uint64_t now_us = clock_now_us(engine->clock);
	struct eng_subm *subm;

	if (engine->applying)
		return;
	pool->order.slack_us =
	    pick_capacity(&pool->pick, 0) * ENG_SHARE_SLACK_US;
	while (pool->pick.tiers[0].nfree + pool->pick.tiers[1].nfree != 0) {
		subm = (struct eng_subm *)ord_next(&pool->order, now_us);
		if (subm == NULL)
			return;
		if (!eng_start_first(engine, pool, subm) &&
		    !eng_start_last(engine, pool) &&
		    !eng_start_elsewhere(engine, pool, subm))
			return;
	}
}

/* Pools take turns at the server, so that none is always first. */
void
eng_pump_server(struct engine *engine, struct eng_server *server)
{
	struct pick_member *member, *next, *last;
	struct eng_pool *pool;

	last = TAILQ_LAST(&server->pick.members, pick_members);
	for (member = TAILQ_FIRST(&server->pick.members); member != NULL;
	     member = next) {
		next = member == last ? NULL : TAILQ_NEXT(member, server_entry);
		pool = (struct eng_pool *)member->pool;
		if (pool->order.nitems == 0)
			continue;
		eng_pump(engine, pool);
		TAILQ_REMOVE(&server->pick.members, member, server_entry);
		TAILQ_INSERT_TAIL(&server->pick.members, member, server_entry);
	}
}

void
eng_pump_all(struct engine *engine)
{
	struct eng_pool *pool;

	TAILQ_FOREACH (pool, &engine->pools, entry) {
		if (pool->order.nitems != 0)
			eng_pump(engine, pool);
	}
}

/* 0, or -1 when there is no memory for the whole result. */
static int
eng_copy_result(struct eng_call *call, const struct backend_reply *reply,
    uint64_t run_us)
{
	struct eng_subm *subm = call->subm;
	struct task_result *result = &subm->answer->results[call->index];

	result->http_status = reply->http_status;
	result->run_us = run_us;
	memcpy(result->server, call->server->address.name, NAME_SIZE);
	subm->work_us[call->index] = (double)run_us * call->server->speed.value;
	if (reply->body_len == 0 || subm->cancelled)
		return 0;
	result->body = malloc(reply->body_len);
	if (result->body == NULL)
		return -1;
	memcpy(result->body, reply->body, reply->body_len);
	result->body_len = reply->body_len;
	return 0;
}

/* One of a hedged pair has won: there is at most one rival. */
static void
eng_drop_rival(struct eng_subm *subm)
{
	struct eng_call *rival;

	if (!subm->hedgeable)
		return;
	rival = TAILQ_FIRST(&subm->calls);
	if (rival == NULL)
		return;
	ctr_inc(&eng_wasted_hedge);
	eng_call_drop(rival);
}

/* May this task be tried again, after a call that ended with @status? */
static bool
eng_may_retry(const struct eng_call *call, enum backend_status status)
{
	struct eng_subm *subm = call->subm;
	struct engine *engine = call->engine;
	uint8_t tries = subm->tries[call->index];

	if (subm->failed)
		return false;
	if (status == BACKEND_REFUSED || status == BACKEND_NOT_SENT)
		return tries < ENG_TRIES_MAX &&
		    rtry_take(&engine->retries, clock_now_us(engine->clock));
	return eng_is_repeatable(subm) && tries < ENG_REPEATS_MAX &&
	    rtry_take(&engine->retries, clock_now_us(engine->clock));
}

/* The call ended without a result. */
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
		subm->maybe_ran |= state != TASK_NOT_RUN;
		return; /* its rival may still succeed */
	}
	if (eng_may_retry(call, reply->status)) {
		subm->maybe_ran |= state != TASK_NOT_RUN;
		eng_push(subm, call->index);
		return;
	}
	if (subm->maybe_ran && state == TASK_NOT_RUN)
		state = TASK_LOST;
	if (state == TASK_FAILED)
		(void)eng_copy_result(call, reply, run_us);
	eng_task_end(subm, call->index, state, &reply->err);
	eng_stop_waiting(subm, &reply->err);
}

static void
eng_call_succeeded(struct eng_call *call, const struct backend_reply *reply,
    uint64_t run_us)
{
	struct eng_subm *subm = call->subm;
	struct err err;

	eng_drop_rival(subm);
	if (eng_copy_result(call, reply, run_us) == 0) {
		eng_task_end(subm, call->index, TASK_DONE, NULL);
		return;
	}
	err_set(&err, ERR_STEP_RECEIVE, ERR_NO_MEMORY,
	    call->server->address.name, "no memory for the result");
	eng_task_end(subm, call->index, TASK_LOST, &err);
	eng_stop_waiting(subm, &err);
}

static void
eng_count_waste(const struct eng_call *call, const struct backend_reply *reply)
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

/* What a reply tells about the server that gave it. */
static void
eng_judge_server(struct eng_call *call, const struct backend_reply *reply,
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
		engine->log_speed += ENG_SPEED_WEIGHT *
		    (server->speed.log_value - engine->log_speed);
	}
	if (reply->status == BACKEND_OK)
		server->answered_us = now_us;
	if (reply->status == BACKEND_REFUSED)
		server->paused_until_us = now_us + ENG_REFUSED_PAUSE_US;
	else if (reply->err.code != ERR_OVERLOAD)
		eng_server_note(engine, server, job, events[reply->status]);
	if (reply->leaving)
		eng_server_set_leaving(engine, server, ENG_LEAVING_SELF, true);
}

static void
eng_call_done(void *arg, const struct backend_reply *reply)
{
	struct eng_call *call = arg;
	struct engine *engine = call->engine;
	struct eng_server *server = call->server;
	uint64_t now_us = clock_now_us(engine->clock);

	eng_judge_server(call, reply, now_us);
	eng_call_unlink(call);
	eng_count_waste(call, reply);
	if (reply->status == BACKEND_OK)
		eng_call_succeeded(call, reply, now_us - call->started_us);
	else
		eng_call_failed(call, reply, now_us - call->started_us);
	free(call);
	eng_pump_server(engine, server);
	eng_server_release(engine, server);
}

/* A second start of a repeatable request that is late, on another server. */
static void
eng_hedge(struct eng_call *call, uint64_t now_us)
{
	struct engine *engine = call->engine;
	struct eng_subm *subm = call->subm;
	struct eng_pool *pool = subm->job->pool;
	struct pick_task task = {
		.work_us = call->expected_us * call->server->speed.value,
		.ahead_us = call->expected_us * call->server->speed.value,
		.now_us = now_us,
		.random = eng_random(engine),
	};
	struct eng_server *server;

	/* Hedges only take slots that nothing waits for. */
	if (pool->order.nitems != 0)
		return;
	call->server->pick.usable = false; /* choose among the others */
	pick_server_changed(&call->server->pick);
	server = (struct eng_server *)pick_choose(&pool->pick, 0, &task);
	eng_server_refresh(engine, call->server);
	if (server == NULL || server->health.state != HLTH_UP)
		return;
	if (!rtry_take(&engine->hedges, now_us))
		return;
	if (eng_call_start(subm, call->index, server) == -1)
		return;
	call->hedged = true;
	TAILQ_LAST(&subm->calls, eng_calls)->hedged = true;
	ctr_inc(&eng_message_hedge);
}

void
eng_hedge_late(struct engine *engine, uint64_t now_us)
{
	struct eng_call *call, *next;
	double late_us;

	if (!engine->policy.hedge)
		return;
	for (call = TAILQ_FIRST(&engine->hedgeable); call != NULL;
	     call = next) {
		next = TAILQ_NEXT(call, hedge_entry);
		late_us =
		    call->expected_us * ENG_HEDGE_FACTOR * eng_doubt(call);
		if (late_us < ENG_HEDGE_MIN_US)
			late_us = ENG_HEDGE_MIN_US;
		if (!call->hedged &&
		    (double)(now_us - call->started_us) > late_us)
			eng_hedge(call, now_us);
	}
}
