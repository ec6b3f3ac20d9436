/*
 * Dispatch: starts waiting tasks while servers have free slots, as decided by
 * core/order.c and core/pick.c, and hedges slow calls. See
 * docs/design/dispatch.md.
 */

#include <string.h>

#include "core/counters.h"
#include "entry/engine_internal.h"

/* Time by which jobs may deviate from fair queueing, multiplied by the capacity
 * of the servers; see slack_us in core/order.h. */
#define ENG_SHARE_SLACK_US 250000
/* A call may be hedged after this multiple of its expected run time, and of its
 * uncertainty factor, but not before the minimum. */
#define ENG_HEDGE_FACTOR 2.5
#define ENG_HEDGE_MIN_US 20000

#define ENG_MESSAGES_COUNTER(k)                             \
	{                                                   \
		.name = "berylrail_messages_total",         \
		.labels = "hop=\"backend\",kind=\"" k "\"", \
		.help = "Messages sent, by hop and kind.",  \
	}

static struct counter eng_message_task = ENG_MESSAGES_COUNTER("task");
static struct counter eng_message_retry = ENG_MESSAGES_COUNTER("retry");
static struct counter eng_message_hedge = ENG_MESSAGES_COUNTER("hedge");

/* Declared run time of a task, of its job, or the default. */
double
eng_declared_run_us(const struct eng_job *job, const struct task_spec *task)
{
	uint32_t run_ms = task->run_ms;

	if (run_ms == 0)
		run_ms = job->cfg.run_ms;
	if (run_ms == 0)
		run_ms = ENG_RUN_DEFAULT_MS;
	return run_ms * 1000.0;
}

/* Expected run time of a task on a server of speed 1. */
double
eng_task_work_us(const struct eng_job *job, const struct task_spec *task)
{
	return eng_declared_run_us(job, task) * job->factor.value;
}

/* Removes the task at @position from the stack of @subm. Return: its index. */
static size_t
eng_dequeue_task(struct eng_subm *subm, size_t position)
{
	struct engine *engine = subm->engine;
	struct order *order = &subm->job->pool->order;
	size_t index = subm->pending[position];
	const struct task_spec *task = &subm->subm_spec->tasks[index];

	subm->npending--;
	memmove(&subm->pending[position], &subm->pending[position + 1],
	    (subm->npending - position) * sizeof(subm->pending[0]));
	ord_task_started(order, &subm->item, eng_task_work_us(subm->job, task),
	    clock_now_us(engine->clock));
	if (subm->npending == 0)
		ord_remove(order, &subm->item);
	subm->waiting_bytes -= task->body_len;
	engine->waiting_bytes -= task->body_len;
	subm->job->nwaiting--;
	engine->nwaiting--;
	return index;
}

/* Starts the task at @position of the stack of @subm. If memory is exhausted,
 * all waiting tasks of @subm end instead. */
static void
eng_start_pending_task(struct eng_subm *subm, size_t position,
    struct eng_server *server)
{
	size_t index = eng_dequeue_task(subm, position);
	struct err err;

	if (eng_call_start(subm, index, server) == -1) {
		err_set(&err, ERR_STEP_QUEUE, ERR_NO_MEMORY, NULL,
		    "out of memory");
		eng_task_end(subm, index, TASK_NOT_RUN, &err);
		eng_end_pending_tasks(subm, &err);
		return;
	}
	subm->answer->results[index].state = TASK_STARTED;
	if (subm->attempts[index]++ == 0) {
		ctr_inc(&eng_message_task);
		rtry_record_start(&subm->engine->retries);
		rtry_record_start(&subm->engine->hedges);
	} else {
		ctr_inc(&eng_message_retry);
	}
}

static struct pick_task
eng_pick_task(struct engine *engine, const struct eng_subm *subm,
    size_t position)
{
	const struct task_spec *spec =
	    &subm->subm_spec->tasks[subm->pending[position]];

	return (struct pick_task){
		.work_us = eng_task_work_us(subm->job, spec),
		.now_us = clock_now_us(engine->clock),
		.random = eng_random(engine),
	};
}

/* Starts the task that is next in order, on a server of the local zone. Return:
 * false if no server was chosen. */
static bool
eng_start_next(struct engine *engine, struct eng_pool *pool,
    struct eng_subm *subm)
{
	size_t position = subm->npending - 1U;
	struct pick_task task = eng_pick_task(engine, subm, position);
	struct pick_server *server;

	task.work_ahead_us = task.work_us;
	server = pick_choose(&pool->pick, 0, &task);
	if (server == NULL)
		return false;
	eng_start_pending_task(subm, position, (struct eng_server *)server);
	return true;
}

/* Starts the shortest task of the submission that is last in order, while the
 * next one waits for a faster server. A free server that is too slow for the
 * next task may be fast enough for this one. */
static bool
eng_start_last(struct engine *engine, struct eng_pool *pool)
{
	struct eng_subm *subm = (struct eng_subm *)ord_last(&pool->order);
	struct pick_task task = eng_pick_task(engine, subm, 0);
	struct pick_server *server;

	task.work_ahead_us = pool->order.work_us;
	server = pick_choose(&pool->pick, 0, &task);
	if (server == NULL)
		return false;
	eng_start_pending_task(subm, 0, (struct eng_server *)server);
	return true;
}

/* Starts the next task on a server of another zone, if no server of the local
 * zone is usable or the expected wait for one is long. */
static bool
eng_start_remote(struct engine *engine, struct eng_pool *pool,
    struct eng_subm *subm)
{
	size_t position = subm->npending - 1U;
	struct pick_task task = eng_pick_task(engine, subm, position);
	double capacity = pick_capacity(&pool->pick, 0);
	struct pick_server *server;

	if (!engine->policy.overflow || pool->pick.tiers[1].nfree == 0)
		return false;
	task.work_ahead_us = pool->order.work_us;
	if (capacity > 0 &&
	    task.work_ahead_us / capacity < ENG_OVERFLOW_MIN_WAIT_US)
		return false;
	server = pick_choose(&pool->pick, 1, &task);
	if (server == NULL)
		return false;
	eng_start_pending_task(subm, position, (struct eng_server *)server);
	return true;
}

/* Starts waiting tasks of a pool until no server is chosen for any of them. */
void
eng_dispatch_pool(struct engine *engine, struct eng_pool *pool)
{
	uint64_t now_us = clock_now_us(engine->clock);
	struct eng_subm *subm;

	if (engine->dispatch_suspended)
		return;
	pool->order.slack_us =
	    pick_capacity(&pool->pick, 0) * ENG_SHARE_SLACK_US;
	while (pool->pick.tiers[0].nfree + pool->pick.tiers[1].nfree != 0) {
		subm = (struct eng_subm *)ord_next(&pool->order, now_us);
		if (subm == NULL)
			return;
		if (!eng_start_next(engine, pool, subm) &&
		    !eng_start_last(engine, pool) &&
		    !eng_start_remote(engine, pool, subm))
			return;
	}
}

/* Dispatches the pools of a server whose state has changed. Each pool with
 * waiting tasks then moves to the end of the server's list, so that no pool is
 * always served first. */
void
eng_dispatch_server(struct engine *engine, struct eng_server *server)
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
		eng_dispatch_pool(engine, pool);
		TAILQ_REMOVE(&server->pick.members, member, server_entry);
		TAILQ_INSERT_TAIL(&server->pick.members, member, server_entry);
	}
}

void
eng_dispatch_all(struct engine *engine)
{
	struct eng_pool *pool;

	TAILQ_FOREACH (pool, &engine->pools, entry) {
		if (pool->order.nitems != 0)
			eng_dispatch_pool(engine, pool);
	}
}

/* Starts a second call of a slow repeatable request, on another server. */
static void
eng_start_hedge(struct eng_call *call, uint64_t now_us)
{
	struct engine *engine = call->engine;
	struct eng_subm *subm = call->subm;
	struct eng_pool *pool = subm->job->pool;
	struct pick_task task = {
		.work_us = call->expected_us * call->server->speed.value,
		.work_ahead_us = call->expected_us * call->server->speed.value,
		.now_us = now_us,
		.random = eng_random(engine),
	};
	struct eng_server *server;

	/* Hedges use only slots for which no task waits. */
	if (pool->order.nitems != 0)
		return;
	call->server->pick.usable = false; /* exclude it from the choice */
	pick_server_update(&call->server->pick);
	server = (struct eng_server *)pick_choose(&pool->pick, 0, &task);
	eng_server_refresh(engine, call->server);
	if (server == NULL || server->health.state != HLTH_UP)
		return;
	if (!rtry_take_token(&engine->hedges, now_us))
		return;
	if (eng_call_start(subm, call->index, server) == -1)
		return;
	call->hedged = true;
	TAILQ_LAST(&subm->calls, eng_calls)->hedged = true;
	ctr_inc(&eng_message_hedge);
}

/* Hedges the calls that exceed their expected run time by far. */
void
eng_hedge_slow_calls(struct engine *engine, uint64_t now_us)
{
	struct eng_call *call, *next;
	double hedge_after_us;

	if (!engine->policy.hedge)
		return;
	for (call = TAILQ_FIRST(&engine->hedgeable); call != NULL;
	     call = next) {
		next = TAILQ_NEXT(call, hedge_entry);
		hedge_after_us = call->expected_us * ENG_HEDGE_FACTOR *
		    eng_uncertainty_factor(call);
		if (hedge_after_us < ENG_HEDGE_MIN_US)
			hedge_after_us = ENG_HEDGE_MIN_US;
		if (!call->hedged &&
		    (double)(now_us - call->started_us) > hedge_after_us)
			eng_start_hedge(call, now_us);
	}
}
