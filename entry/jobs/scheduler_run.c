/*
 * Orders to backend servers. A task goes on elsewhere
 * only when its run is known to be over: the server has listed its end, or
 * has confirmed a stop and lists it no more, or its lease has ended. A start
 * without an answer may still be carried out; a stop forestalls that.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/histogram.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define HLD_US_PER_MS UINT64_C(1000)

static struct counter hld_starts = {
	.name = "berylrail_work_starts_total",
	.help = "Starts ordered at backend servers.",
};
static struct counter hld_refused = {
	.name = "berylrail_work_starts_refused_total",
	.help = "Starts that a backend server refused.",
};
static struct counter hld_unanswered = {
	.name = "berylrail_work_orders_unanswered_total",
	.help = "Orders to backend servers without an answer.",
};

static const uint64_t hld_bounds[] = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000,
	2000, 5000 };
static struct histogram hld_wait = {
	.name = "berylrail_work_start_seconds",
	.help = "Time from a job's arrival to the start of each of its tasks.",
	.bounds = hld_bounds,
	.nbounds = sizeof(hld_bounds) / sizeof(hld_bounds[0]),
	.unit = 1e-3,
};
static struct histogram hld_order_time = {
	.name = "berylrail_work_order_seconds",
	.help = "Time of an order to a backend server.",
	.bounds = hld_bounds,
	.nbounds = sizeof(hld_bounds) / sizeof(hld_bounds[0]),
	.unit = 1e-3,
};

/* A pending order; its task may be gone before it, its server is not. */
struct hld_order {
	struct hld_task *task;
	struct hld_server *server;
	uint64_t run_id;
	uint64_t sent_us;
	LIST_ENTRY(hld_order) entry;
};

static void
hld_occupy(struct hld_task *task, struct hld_server *server, uint64_t run_id)
{
	const struct job_step *step = &task->job->spec.steps[task->step];

	task->server = server;
	task->run_id = run_id;
	task->stop_confirmed = false;
	task->job->nplaced++;
	task->job->started = true;
	task->job->begun = true;
	server->used_cpu += step->cpu;
	server->used_mem += step->mem_mb;
	server->used_gpu += step->gpus;
	TAILQ_INSERT_TAIL(&server->tasks, task, on_server);
}

void
hld_vacate(struct hld_task *task)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	struct hld_server *server = task->server;

	task->server = NULL;
	task->job->nplaced--;
	server->used_cpu -= step->cpu;
	server->used_mem -= step->mem_mb;
	server->used_gpu -= step->gpus;
	TAILQ_REMOVE(&server->tasks, task, on_server);
	hld_pump_wake(server->holder);
}

void
hld_run_adopt(struct hld_task *task, struct hld_server *server, uint64_t run_id,
    uint64_t now_us)
{
	if (task->state == HLD_WAITING)
		hld_dequeue(task);
	hld_occupy(task, server, run_id);
	task->state = HLD_RUNNING;
	task->ordered_us = 0;
	task->settled_us = now_us;
}

static struct hld_order *
hld_order_create(struct hld_task *task)
{
	struct hld_order *order = mem_zalloc(1, sizeof(*order));

	order->task = task;
	order->server = task->server;
	order->run_id = task->run_id;
	order->sent_us = hld_now(task->job->holder);
	order->server->calls++;
	LIST_INSERT_HEAD(&order->server->orders, order, entry);
	task->order_pending = true;
	return order;
}

/* Ends an order; the task if it still is about that run, else NULL. */
static struct hld_task *
hld_order_end(struct hld_order *order, const struct worker_reply *reply)
{
	struct hld_server *server = order->server;
	struct hld_task *task, *found = NULL;

	server->calls--;
	hist_add(&hld_order_time,
	    (hld_now(server->holder) - order->sent_us) / HLD_US_PER_MS);
	if (reply->has_clock)
		lease_update_clock(&server->lease, reply->clock_ms,
		    order->sent_us);
	if (reply->verdict == WORKER_NO_ANSWER)
		ctr_inc(&hld_unanswered);
	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (task == order->task && task->run_id == order->run_id)
			found = task;
	}
	if (found != NULL) {
		found->order_pending = false;
		found->settled_us = hld_now(server->holder);
	}
	LIST_REMOVE(order, entry);
	free(order);
	return found;
}

/*
 * The server's link is closed: no order will be answered any more. The task of
 * an order may be gone already, with its job.
 */
void
hld_orders_drop(struct hld_server *server)
{
	struct hld_order *order, *next;
	struct hld_task *task;

	TAILQ_FOREACH (task, &server->tasks, on_server)
		task->order_pending = false;
	for (order = LIST_FIRST(&server->orders); order != NULL; order = next) {
		next = LIST_NEXT(order, entry);
		LIST_REMOVE(order, entry);
		free(order);
	}
	server->calls = 0;
}

/* The server has done nothing: the task is free for another one at once. */
static void
hld_start_refused(struct hld_task *task, enum worker_verdict verdict)
{
	struct hld_server *server = task->server;
	uint64_t pause_ms =
	    verdict == WORKER_NO_ROOM ? HLD_FULL_MS : HLD_BUSY_MS;

	ctr_inc(&hld_refused);
	if (verdict == WORKER_NO_TICKET)
		hld_advice_drop(task, server);
	else if (verdict != WORKER_OLD && verdict != WORKER_LATE)
		server->no_start_until_us =
		    hld_now(server->holder) + pause_ms * HLD_US_PER_MS;
	if (verdict == WORKER_NO_ROOM && !server->hold_pending)
		server->hold_due_us = 1;
	hld_run_absent(task,
	    verdict == WORKER_NO_ROOM ? "refused: no room" : "refused");
}

static void hld_started(void *arg, const struct worker_reply *reply);

/* Sends the start of the task's run, also once more: it is the same run. */
static void
hld_send_start(struct hld_task *task)
{
	struct hld_server *server = task->server;
	struct holder *holder = server->holder;
	char name[WORKER_TASK_NAME_SIZE];
	struct worker_start order = {
		.task = name,
		.run_id = task->run_id,
		.spec = task->job->spec.spec_text,
		.checkpoint = task->saved,
		.ticket = task->job->advice == NULL
		    ? NULL
		    : hld_advice_ticket(task, server),
		.deadline_ms = lease_extend(&server->lease, hld_now(holder),
		    holder->params.lease_ms),
		.token = holder->token,
	};

	hld_task_name(task, name);
	task->tries++;
	task->ordered_us = hld_now(holder);
	holder->params.worker->ops->start(server->link, &order, hld_started,
	    hld_order_create(task));
}

/*
 * Without an answer the start may be carried out at any time. While the server
 * answers holds, only the order may be lost, and it is sent again: a run that
 * is there already is not started twice.
 */
static void
hld_start_unanswered(struct hld_task *task)
{
	if (task->state == HLD_STARTING && !task->job->ended &&
	    task->server->misses == 0 && task->tries < HLD_START_TRIES)
		hld_send_start(task);
	else
		hld_run_stop(task);
}

static void
hld_started(void *arg, const struct worker_reply *reply)
{
	struct hld_order *order = arg;
	struct hld_server *server = order->server;
	struct hld_task *task = hld_order_end(order, reply);

	if (hld_server_out(server, reply->verdict) || task == NULL)
		return;
	if (reply->verdict == WORKER_OK) {
		if (task->state == HLD_STARTING)
			task->state = HLD_RUNNING;
		if (task->job->ended)
			hld_run_stop(task);
	} else if (reply->verdict == WORKER_NO_ANSWER) {
		hld_start_unanswered(task);
	} else if (reply->verdict == WORKER_OLD && task->tries > 1) {
		/* An earlier try was carried out and is over: the next lists
		 * tell how it ended. */
		if (task->state == HLD_STARTING)
			task->state = HLD_RUNNING;
		if (!server->hold_pending)
			hld_server_hold(server, hld_now(server->holder));
	} else if (task->tries > 1) {
		/* An earlier try may still be carried out. */
		hld_run_stop(task);
	} else {
		hld_start_refused(task, reply->verdict);
	}
}

void
hld_run_start(struct hld_task *task, struct hld_server *server)
{
	struct holder *holder = server->holder;
	uint64_t now_us = hld_now(holder);
	uint64_t run_id = holder->token * HLD_RUN_IDS + ++task->runs;

	hld_dequeue(task);
	hld_occupy(task, server, run_id);
	task->state = HLD_STARTING;
	task->tries = 0;
	ctr_inc(&hld_starts);
	hist_add(&hld_wait, (now_us - task->job->arrived_us) / HLD_US_PER_MS);
	log_event(LOG_LEVEL_INFO, "task-start",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
	    " server=%s speed=%" PRIu32 " free_cpu=%" PRId64
	    " waited_ms=%" PRIu64,
	    task->job->spec.id, task->step, task->index, run_id,
	    server->info.id, server->speed, server->info.cpu - server->used_cpu,
	    (now_us - task->job->arrived_us) / HLD_US_PER_MS);
	hld_send_start(task);
	if (!server->hold_pending)
		hld_server_hold(server, now_us);
}

static void
hld_stopped(void *arg, const struct worker_reply *reply)
{
	struct hld_order *order = arg;
	struct hld_server *server = order->server;
	struct hld_task *task = hld_order_end(order, reply);

	if (hld_server_out(server, reply->verdict) || task == NULL)
		return;
	/* Without an answer the next tick sends the stop again. */
	if (reply->verdict == WORKER_NO_ANSWER)
		return;
	task->stop_confirmed = true;
	if (!server->hold_pending)
		hld_server_hold(server, hld_now(server->holder));
}

void
hld_run_stop(struct hld_task *task)
{
	struct hld_server *server = task->server;
	struct holder *holder = server->holder;
	char name[WORKER_TASK_NAME_SIZE];

	if (task->state != HLD_STOPPING)
		log_event(LOG_LEVEL_INFO, "task-stop",
		    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
		    " server=%s",
		    task->job->spec.id, task->step, task->index, task->run_id,
		    server->info.id);
	task->state = HLD_STOPPING;
	if (task->order_pending)
		return;
	hld_task_name(task, name);
	holder->params.worker->ops->stop(server->link, name, task->run_id,
	    holder->token, hld_stopped, hld_order_create(task));
}

static void
hld_orphan_stopped(void *arg, const struct worker_reply *reply)
{
	struct hld_server *server = arg;

	server->calls--;
	if (reply->verdict == WORKER_FENCED)
		server->holder->params.fenced(server->holder->params.arg);
}

void
hld_run_stop_orphan(struct hld_server *server, struct hld_orphan *orphan)
{
	struct holder *holder = server->holder;

	log_event(LOG_LEVEL_WARN, "orphan-stop",
	    "task=%s run=%" PRIu64 " server=%s", orphan->task, orphan->run_id,
	    server->info.id);
	server->calls++;
	holder->params.worker->ops->stop(server->link, orphan->task,
	    orphan->run_id, holder->token, hld_orphan_stopped, server);
}
