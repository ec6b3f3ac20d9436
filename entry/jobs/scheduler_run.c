/*
 * Start and stop orders to backend servers. A task is started on another
 * server only when its run is known to have ended: the server has listed its
 * end, or has confirmed a stop and does not list the run, or its lease has
 * expired. A start order without a reply may still be executed later; a
 * confirmed stop prevents that.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/histogram.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)

static struct counter sched_starts = {
	.name = "berylrail_work_starts_total",
	.help = "Starts ordered at backend servers.",
};
static struct counter sched_starts_refused = {
	.name = "berylrail_work_starts_refused_total",
	.help = "Starts that a backend server refused.",
};
static struct counter sched_starts_not_repeated = {
	.name = "berylrail_work_starts_not_repeated_total",
	.help = "Starts without a reply that were not sent again, as their "
		"server must not start the task any more.",
};
static struct counter sched_stops_refused = {
	.name = "berylrail_work_stops_refused_total",
	.help = "Stops that a backend server refused; they are sent again.",
};
static struct counter sched_stops_unanswered = {
	.name = "berylrail_work_stops_unanswered_total",
	.help = "Stops that a backend server did not answer; they are sent "
		"again.",
};
static struct counter sched_orders_unanswered = {
	.name = "berylrail_work_orders_unanswered_total",
	.help = "Orders to backend servers that were not answered.",
};

static const uint64_t sched_bounds_ms[] = { 1, 2, 5, 10, 20, 50, 100, 200, 500,
	1000, 2000, 5000 };
static struct histogram sched_start_delay = {
	.name = "berylrail_work_start_seconds",
	.help = "Time from a job's arrival to the start of each of its tasks.",
	.bounds = sched_bounds_ms,
	.nbounds = sizeof(sched_bounds_ms) / sizeof(sched_bounds_ms[0]),
	.unit = 1e-3,
};
static struct histogram sched_order_time = {
	.name = "berylrail_work_order_seconds",
	.help =
	    "Time from an order to a backend server to its answer or time-out.",
	.bounds = sched_bounds_ms,
	.nbounds = sizeof(sched_bounds_ms) / sizeof(sched_bounds_ms[0]),
	.unit = 1e-3,
};

/* Reserves the resources of @server for a run of the task. */
static void
sched_task_assign(struct sched_task *task, struct sched_server *server,
    uint64_t run_id)
{
	const struct job_step *step = &task->job->spec.steps[task->step];

	task->server = server;
	task->run_id = run_id;
	task->start_confirmed = false;
	task->stop_confirmed = false;
	task->stopping_since_us = 0;
	task->stops_unanswered = 0;
	task->job->nassigned++;
	task->job->may_have_started = true;
	task->job->has_started = true;
	server->used_cpu += step->cpu;
	server->used_mem += step->mem_mb;
	server->used_gpu += step->gpus;
	server->nisolated += task->isolated;
	TAILQ_INSERT_TAIL(&server->tasks, task, on_server);
	sched_lease_update_end(server);
}

void
sched_task_unassign(struct sched_task *task)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	struct sched_server *server = task->server;

	if (task->order != NULL)
		task->order->task = NULL;
	task->order = NULL;
	task->server = NULL;
	task->job->nassigned--;
	server->used_cpu -= step->cpu;
	server->used_mem -= step->mem_mb;
	server->used_gpu -= step->gpus;
	server->nisolated -= task->isolated;
	task->isolated = false;
	TAILQ_REMOVE(&server->tasks, task, on_server);
	if (TAILQ_EMPTY(&server->tasks))
		server->lease_end_us = UINT64_MAX;
	sched_dispatch_wake(server->sched);
}

void
sched_run_adopt(struct sched_task *task, struct sched_server *server,
    uint64_t run_id, uint64_t now_us)
{
	if (task->state == SCHED_TASK_WAITING)
		sched_task_dequeue(task);
	sched_task_assign(task, server, run_id);
	task->state = SCHED_TASK_RUNNING;
	task->start_confirmed = true;
	task->start_sent_us = 0;
	task->last_update_us = now_us;
}

static struct sched_order *
sched_order_create(struct sched_server *server)
{
	struct sched_order *order = mem_zalloc(1, sizeof(*order));

	order->server = server;
	order->sent_us = sched_now(server->sched);
	order->process_started_ms = server->incarnation_start_ms;
	server->pending_calls++;
	LIST_INSERT_HEAD(&server->orders, order, entry);
	return order;
}

static struct sched_order *
sched_task_order(struct sched_task *task)
{
	task->order = sched_order_create(task->server);
	task->order->task = task;
	return task->order;
}

/* The server may execute a start order that has no reply later. */
static void
sched_order_unanswered(const struct sched_order *order)
{
	if (order->start_run_id != 0 && order->task != NULL &&
	    order->task->starts_unanswered++ == 0)
		order->task->unanswered_us = sched_now(order->server->sched);
	if (order->start_run_id == 0)
		return;
	log_event(LOG_LEVEL_INFO, "start-unanswered",
	    "task=%s run=%" PRIu64 " server=%s started_ms=%" PRIu64
	    " sent_ms_ago=%" PRIu64 " attempts=%" PRIu32,
	    order->start_task, order->start_run_id, order->server->info.id,
	    order->process_started_ms,
	    (sched_now(order->server->sched) - order->sent_us) /
		SCHED_US_PER_MS,
	    order->task == NULL ? 0 : order->task->start_attempts);
	sched_late_add(order->server, order->start_task, order->start_run_id,
	    order->sent_us, order->process_started_ms);
}

/* Whether the reply is of the process that lists the runs. Replies on different
 * connections may overtake each other, so its former process may have sent it.
 */
static bool
sched_reply_is_current(const struct sched_order *order,
    const struct worker_reply *reply)
{
	uint64_t listing_ms = order->server->incarnation_start_ms;

	return order->process_started_ms == listing_ms ||
	    reply->incarnation_start_ms == listing_ms;
}

/* Ends an order and frees it. Return: its task, or NULL if the run was
 * released. */
static struct sched_task *
sched_order_finish(struct sched_order *order, const struct worker_reply *reply)
{
	struct sched_server *server = order->server;
	struct sched_task *task = order->task;
	uint64_t now_us = sched_now(server->sched);

	server->pending_calls--;
	hist_add(&sched_order_time,
	    (now_us - order->sent_us) / SCHED_US_PER_MS);
	if (reply->has_clock && sched_reply_is_current(order, reply))
		lease_update_clock(&server->lease, reply->clock_ms,
		    order->sent_us, now_us);
	if (reply->verdict == WORKER_NO_REPLY) {
		ctr_inc(&sched_orders_unanswered);
		if (reply->refused && task != NULL && order->start_run_id != 0)
			task->starts_refused++;
		if (reply->refused)
			sched_server_refused(server);
		else
			sched_order_unanswered(order);
	} else {
		rtt_add(&server->sched->order_time, now_us - order->sent_us);
		server->sched->order_answered_us = now_us;
	}
	if (task != NULL) {
		task->order = NULL;
		task->last_update_us = now_us;
	}
	LIST_REMOVE(order, entry);
	free(order);
	return task;
}

/* Frees the pending orders of a server whose link was closed, since their
 * callbacks do not run. */
void
sched_orders_discard(struct sched_server *server)
{
	struct sched_order *order, *next;

	for (order = LIST_FIRST(&server->orders); order != NULL; order = next) {
		next = LIST_NEXT(order, entry);
		sched_order_unanswered(order);
		if (order->task != NULL)
			order->task->order = NULL;
		if (order->orphan != NULL)
			order->orphan->order = NULL;
		LIST_REMOVE(order, entry);
		free(order);
	}
	server->pending_calls = 0;
}

static const char *const sched_refusal_names[] = {
	[WORKER_OK] = "started",
	[WORKER_FENCED] = "refused: fencing token too low",
	[WORKER_STALE_RUN_ID] = "refused: stale run id",
	[WORKER_DEADLINE_PASSED] = "refused: the deadline has passed",
	[WORKER_NO_CAPACITY] =
	    "refused: not enough free resources on the server",
	[WORKER_NO_TICKET] = "refused: no valid ticket",
	[WORKER_UNAVAILABLE] = "refused: the server is unhealthy",
	[WORKER_OTHER_INCARNATION] = "refused: another incarnation",
	[WORKER_REFUSED] = "refused",
	[WORKER_NO_REPLY] = "no reply",
	[WORKER_NOT_SENT] = "not sent",
};

/* The server did not execute the start: the task may start elsewhere at once.
 */
static void
sched_start_refused(struct sched_task *task, enum worker_verdict verdict)
{
	struct sched_server *server = task->server;
	uint64_t pause_ms = verdict == WORKER_NO_CAPACITY
	    ? SCHED_NO_CAPACITY_PAUSE_MS
	    : SCHED_REFUSAL_PAUSE_MS;

	ctr_inc(&sched_starts_refused);
	if (verdict == WORKER_NO_TICKET)
		sched_advice_discard_ticket(task, server);
	else if (verdict != WORKER_STALE_RUN_ID &&
	    verdict != WORKER_DEADLINE_PASSED)
		server->no_start_until_us =
		    sched_now(server->sched) + pause_ms * SCHED_US_PER_MS;
	if (verdict == WORKER_NO_CAPACITY && !server->hold_pending)
		server->hold_due_us = 1;
	sched_run_discard(task, sched_refusal_names[verdict]);
}

static void sched_start_done(void *arg, const struct worker_reply *reply);

/*
 * The deadline for a start. A holder that is not confirmed grants a lease if
 * that affects nothing else on the server, and does not extend it: neither for
 * tasks that are started beside the first one, nor by a retry.
 */
static uint64_t
sched_start_deadline(struct sched_task *task, uint64_t now_us)
{
	struct sched_server *server = task->server;
	struct scheduler *sched = server->sched;
	uint64_t deadline_ms = sched_lease_extend(server, now_us);

	if (sched_holder_remaining_ms(sched) > 0)
		return deadline_ms;
	task->job->started_unconfirmed = true;
	if (task->has_server_alone && task->start_attempts == 0 &&
	    sched_job_may_start_unconfirmed(task->job))
		return lease_extend(&server->lease, now_us,
		    sched->params.lease_ms);
	return deadline_ms;
}

/* Sends the start order of the task's run. A retry has the same run id, so the
 * run is not started twice. */
static void
sched_send_start(struct sched_task *task)
{
	struct sched_server *server = task->server;
	struct scheduler *sched = server->sched;
	char name[WORKER_TASK_NAME_SIZE];
	struct worker_start order = {
		.task = name,
		.run_id = task->run_id,
		.spec = task->job->spec.spec_text,
		.checkpoint = task->last_checkpoint,
		.ticket = task->job->advice == NULL
		    ? NULL
		    : sched_advice_ticket(task, server),
		.deadline_ms = sched_start_deadline(task, sched_now(sched)),
		.token = sched->token,
		.retry = task->start_attempts > 0,
	};
	struct sched_order *pending;

	sched_task_name(task, name);
	if (order.retry)
		log_event(LOG_LEVEL_INFO, "start-sent-again",
		    "task=%s run=%" PRIu64 " server=%s started_ms=%" PRIu64
		    " unanswered=%" PRIu32,
		    name, task->run_id, server->info.id,
		    server->incarnation_start_ms, task->starts_unanswered);
	task->start_attempts++;
	task->start_sent_us = sched_now(sched);
	pending = sched_task_order(task);
	strlcpy(pending->start_task, name, sizeof(pending->start_task));
	pending->start_run_id = task->run_id;
	sched->params.worker->ops->start(server->link, &order, sched_start_done,
	    pending);
}

bool
sched_start_is_bound(const struct sched_task *task)
{
	return !task->job->stored && !task->job->ended &&
	    !sched_gang_member(task) && task->state == SCHED_TASK_STARTING &&
	    task->start_attempts < SCHED_START_ATTEMPTS_MAX;
}

/* Whether a run that starts now ends too late for its submitter. */
static bool
sched_start_is_useless(const struct sched_task *task)
{
	const struct sched_job *job = task->job;
	uint64_t work_us = sched_task_expected_ms(task) * SCHED_US_PER_MS;

	return !job->stored &&
	    sched_now(job->sched) + work_us / 2 >= job->submitter_deadline_us;
}

/* Whether what placing the task required still holds. Its resources are
 * reserved, and the order grants no longer lease. */
static bool
sched_start_may_repeat(const struct sched_task *task)
{
	const char *reason = sched_start_forbidden(task->server, task);

	if (reason == NULL && sched_start_is_useless(task))
		reason = "too late for the submitter";
	if (reason == NULL)
		return true;
	ctr_inc(&sched_starts_not_repeated);
	log_event(LOG_LEVEL_INFO, "start-not-sent-again",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
	    " server=%s reason=\"%s\" attempts=%" PRIu32,
	    task->job->spec.id, task->step, task->index, task->run_id,
	    task->server->info.id, reason, task->start_attempts);
	return false;
}

void
sched_start_again(struct sched_task *task)
{
	char name[WORKER_TASK_NAME_SIZE];

	if (!sched_start_is_bound(task) || !sched_start_may_repeat(task)) {
		sched_run_stop(task);
	} else if (!sched_server_unconfirmed(task->server)) {
		sched_task_name(task, name);
		sched_late_told(task->server, name, task->run_id);
		sched_send_start(task);
	}
}

/*
 * A start order without a reply may be executed at any time. If the server has
 * listed the run, it was executed. If the server replies to holds, only the
 * order may have been lost, and it is sent again. Otherwise the run is stopped,
 * or, if the task can have no other one, the server's next list tells whether
 * the order was executed; see sched_start_again().
 */
static void
sched_start_unanswered(struct sched_task *task)
{
	if (task->state == SCHED_TASK_RUNNING && !task->job->ended)
		return;
	if (task->state == SCHED_TASK_STARTING && !task->job->ended &&
	    task->server->unanswered_holds == 0 &&
	    !sched_server_unconfirmed(task->server) &&
	    task->start_attempts < SCHED_START_ATTEMPTS_MAX &&
	    sched_start_may_repeat(task))
		sched_send_start(task);
	else if (!sched_start_is_bound(task))
		sched_run_stop(task);
}

static void
sched_start_done(void *arg, const struct worker_reply *reply)
{
	struct sched_order *order = arg;
	struct sched_server *server = order->server;
	struct sched_task *task = sched_order_finish(order, reply);

	/* The server that was meant has ended before it had the task. */
	if (reply->verdict == WORKER_OTHER_INCARNATION && task != NULL &&
	    task->start_attempts == 1 && !task->start_confirmed) {
		sched_start_refused(task, reply->verdict);
		task = NULL;
	}
	if (sched_check_verdict(server, reply->verdict) || task == NULL)
		return;
	if (reply->verdict == WORKER_OK) {
		task->start_confirmed = true;
		if (task->state == SCHED_TASK_STARTING)
			task->state = SCHED_TASK_RUNNING;
		if (task->job->ended)
			sched_run_stop(task);
	} else if (reply->verdict == WORKER_NO_REPLY) {
		sched_start_unanswered(task);
	} else if (reply->verdict == WORKER_STALE_RUN_ID &&
	    task->start_attempts > 1) {
		/* An earlier attempt was executed and its run has ended: the
		 * next lists contain its end. */
		task->start_confirmed = true;
		if (task->state == SCHED_TASK_STARTING)
			task->state = SCHED_TASK_RUNNING;
		if (!server->hold_pending)
			sched_server_hold(server, sched_now(server->sched));
	} else if (task->start_attempts > 1) {
		/* An earlier attempt may still be executed. */
		sched_run_stop(task);
	} else {
		sched_start_refused(task, reply->verdict);
	}
}

/* Reports a start that relies on the lists of all servers, as another host may
 * have started the task. */
static void
sched_log_lists(const struct sched_task *task, uint64_t now_us)
{
	const struct scheduler *sched = task->job->sched;
	const struct sched_server *server, *oldest = NULL;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!server->removed &&
		    (oldest == NULL || server->listed_us < oldest->listed_us))
			oldest = server;
	}
	log_event(LOG_LEVEL_INFO, "former-runs-listed",
	    "id=%s task=%" PRIu32 ".%" PRIu32
	    " server=%s listed_ms_ago=%" PRIu64 " since_take_over_ms=%" PRIu64,
	    task->job->spec.id, task->step, task->index,
	    oldest == NULL ? "-" : oldest->info.id,
	    oldest == NULL ? 0 : (now_us - oldest->listed_us) / SCHED_US_PER_MS,
	    (now_us - sched->activated_us) / SCHED_US_PER_MS);
}

/* Reports what the start of a task that another host may have started relies
 * on: the lists of all servers, or the end of leases of a former holder, as not
 * all of its runs are known. */
static void
sched_log_former_runs(const struct sched_task *task, uint64_t now_us)
{
	const struct scheduler *sched = task->job->sched;
	const struct sched_server *server, *unheld = NULL;
	uint32_t n = 0;

	if (task->job->start_after_us == 0)
		return;
	if (sched_job_runs_known(task->job)) {
		sched_log_lists(task, now_us);
		return;
	}
	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (server->held || server->removed)
			continue;
		unheld = server;
		n++;
	}
	log_event(LOG_LEVEL_INFO, "former-runs-ended",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " unheld_servers=%" PRIu32
	    " server=%s former_runs=%s"
	    " servers=%s rows=%s since_take_over_ms=%" PRIu64
	    " confirmation_age_ms=%" PRIu64,
	    task->job->spec.id, task->step, task->index, n,
	    unheld == NULL ? "-" : unheld->info.id,
	    sched->former_runs_known ? "known" : "unknown",
	    sched->servers_complete ? "complete" : "incomplete",
	    sched->rows_refreshed && !sched->awaits_rows ? "read" : "awaited",
	    (now_us - sched->activated_us) / SCHED_US_PER_MS,
	    sched_holder_age_ms(sched));
}

/* Reports the start of a task that has had a run under this token. */
static void
sched_log_start_again(const struct sched_task *task)
{
	if (task->former_end == NULL)
		return;
	log_event(LOG_LEVEL_INFO, "task-started-again",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
	    " former_run=%" PRIu64 " former_end=\"%s\""
	    " starts_unanswered=%" PRIu32,
	    task->job->spec.id, task->step, task->index, task->run_id,
	    task->former_run_id, task->former_end, task->starts_unanswered);
}

void
sched_run_start(struct sched_task *task, struct sched_server *server)
{
	struct scheduler *sched = server->sched;
	uint64_t now_us = sched_now(sched);
	uint64_t run_id = sched->token * SCHED_RUN_IDS_PER_TOKEN + ++task->runs;

	sched_task_dequeue(task);
	task->isolated = task->isolate;
	task->isolate_until_us = 0;
	task->has_server_alone = sched_server_vacant(server);
	sched_task_assign(task, server, run_id);
	task->state = SCHED_TASK_STARTING;
	task->start_attempts = 0;
	task->starts_refused = 0;
	ctr_inc(&sched_starts);
	hist_add(&sched_start_delay,
	    (now_us - task->job->submitted_us) / SCHED_US_PER_MS);
	log_event(LOG_LEVEL_INFO, "task-start",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
	    " server=%s speed=%" PRIu32 " free_cpu=%" PRId64
	    " waited_ms=%" PRIu64 " config=%" PRIu64,
	    task->job->spec.id, task->step, task->index, run_id,
	    server->info.id, server->speed_permille,
	    server->info.cpu - server->used_cpu,
	    (now_us - task->job->submitted_us) / SCHED_US_PER_MS,
	    task->job->queue.config_version);
	sched_log_former_runs(task, now_us);
	sched_log_start_again(task);
	task->starts_unanswered = 0;
	sched_send_start(task);
	if (!server->hold_pending)
		sched_server_hold(server, now_us);
}

/* Whether the server has executed a stop with this result: the run has ended or
 * is about to, and a start order for it will be rejected. */
static bool
sched_stop_is_confirmed(enum worker_verdict verdict)
{
	return verdict == WORKER_OK || verdict == WORKER_STALE_RUN_ID;
}

static void
sched_stop_refused(const struct sched_task *task, enum worker_verdict verdict)
{
	ctr_inc(&sched_stops_refused);
	log_event(LOG_LEVEL_WARN, "stop-refused",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
	    " server=%s reason=\"%s\"",
	    task->job->spec.id, task->step, task->index, task->run_id,
	    task->server->info.id, sched_refusal_names[verdict]);
}

/* Reports the first stop of a run that has no reply. */
static void
sched_stop_unanswered(struct sched_task *task)
{
	struct sched_server *server = task->server;
	uint64_t now_us = sched_now(server->sched);

	ctr_inc(&sched_stops_unanswered);
	if (task->stops_unanswered++ > 0)
		return;
	log_event(LOG_LEVEL_WARN, "stop-unanswered",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
	    " server=%s stopping_ms=%" PRIu64 " lease_ms=%" PRIu32
	    " job_ended=%d",
	    task->job->spec.id, task->step, task->index, task->run_id,
	    server->info.id,
	    (now_us - task->stopping_since_us) / SCHED_US_PER_MS,
	    lease_remaining_ms(&server->lease, now_us),
	    task->job->ended ? 1 : 0);
}

static void
sched_stop_done(void *arg, const struct worker_reply *reply)
{
	struct sched_order *order = arg;
	struct sched_server *server = order->server;
	bool current = sched_reply_is_current(order, reply);
	struct sched_task *task = sched_order_finish(order, reply);
	char name[WORKER_TASK_NAME_SIZE];

	if (sched_check_verdict(server, reply->verdict) || task == NULL)
		return;
	/* sched_check_stragglers() retries a stop that is not confirmed. */
	if (!sched_stop_is_confirmed(reply->verdict)) {
		if (reply->verdict == WORKER_NO_REPLY)
			sched_stop_unanswered(task);
		else
			sched_stop_refused(task, reply->verdict);
		return;
	}
	if (!current)
		return;
	task->stop_confirmed = true;
	sched_task_name(task, name);
	sched_late_told(server, name, task->run_id);
	if (!server->hold_pending)
		sched_server_hold(server, sched_now(server->sched));
}

void
sched_run_stop(struct sched_task *task)
{
	struct sched_server *server = task->server;
	struct scheduler *sched = server->sched;
	char name[WORKER_TASK_NAME_SIZE];

	if (task->state != SCHED_TASK_STOPPING)
		log_event(LOG_LEVEL_INFO, "task-stop",
		    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
		    " server=%s",
		    task->job->spec.id, task->step, task->index, task->run_id,
		    server->info.id);
	if (task->stopping_since_us == 0)
		task->stopping_since_us = sched_now(sched);
	task->state = SCHED_TASK_STOPPING;
	if (task->order != NULL)
		return;
	sched_task_name(task, name);
	sched->params.worker->ops->stop(server->link, name, task->run_id,
	    sched->token, sched_stop_done, sched_task_order(task));
}

static void
sched_orphan_stopped(struct sched_server *server, struct sched_orphan *orphan)
{
	sched_late_told(server, orphan->task, orphan->run_id);
	if (orphan->expected)
		sched_orphan_free(server, orphan);
}

static void
sched_orphan_stop_done(void *arg, const struct worker_reply *reply)
{
	struct sched_order *order = arg;
	struct sched_server *server = order->server;
	struct sched_orphan *orphan = order->orphan;
	bool current = sched_reply_is_current(order, reply);

	(void)sched_order_finish(order, reply);
	if (orphan != NULL) {
		orphan->order = NULL;
		orphan->stop_confirmed =
		    current && sched_stop_is_confirmed(reply->verdict);
		if (orphan->stop_confirmed)
			sched_orphan_stopped(server, orphan);
	}
	if (reply->verdict == WORKER_FENCED)
		server->sched->params.fenced(server->sched->params.arg);
}

void
sched_run_stop_orphan(struct sched_server *server, struct sched_orphan *orphan)
{
	struct scheduler *sched = server->sched;

	log_event(LOG_LEVEL_WARN, "orphan-stop",
	    "task=%s run=%" PRIu64 " server=%s", orphan->task, orphan->run_id,
	    server->info.id);
	orphan->order = sched_order_create(server);
	orphan->order->orphan = orphan;
	sched->params.worker->ops->stop(server->link, orphan->task,
	    orphan->run_id, sched->token, sched_orphan_stop_done,
	    orphan->order);
}
