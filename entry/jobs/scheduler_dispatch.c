/*
 * Dispatch: the order in which waiting tasks are started, and which jobs are
 * refused. It is designed for bursts above capacity with a sixth of the
 * servers lost, and for tasks that each take a third to a half of a server.
 * Jobs that can still be on time precede those that can't, in the order of the
 * latest start that is on time. A job of which nothing was started and that
 * can't end before its result loses its value is refused at once.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
#define SCHED_RETRY_AFTER_MS 200
/* Share of the servers' CPU that tasks can use; the rest is lost to
 * fragmentation. */
#define SCHED_USABLE_CPU_PERCENT 85
#define SCHED_SHARES_VALID_MS 5
/* With a longer backlog, late jobs are refused. */
#define SCHED_LATE_BACKLOG_MAX_MS 60
/* With longer delays of ticks the processor of this host is saturated. */
#define SCHED_TICK_DELAY_MS 5
/* Usual response time of an order; what exceeds it is a delay of this host. */
#define SCHED_ORDER_TIME_MS 20
/* A run is delayed by the order that starts it and by the list of its end. */
#define SCHED_ORDER_DELAYS 2
/* A new holder is confirmed by then, unless a host of its zone does not reply
 * and the store is away. */
#define SCHED_FIRST_CONFIRMATION_MS 400
/* A suspect waits this long for a server without other tasks. */
#define SCHED_ISOLATION_WAIT_MS 300
/* Rows of servers that have expired are back by then. */
#define SCHED_ROWS_RESTORED_MS 2600
/* Without an answered order for this time, the delay is unknown. */
#define SCHED_ORDER_TIME_VALID_MS 300

uint32_t
sched_task_expected_ms(const struct sched_task *task)
{
	return task->job->spec.steps[task->step].estimated_ms;
}

/* The latest start of the task with which its job ends on time; 0: none. */
static uint64_t
sched_latest_start_us(const struct sched_task *task)
{
	uint64_t work_us =
	    (sched_task_expected_ms(task) + SCHED_REPLY_MS) * SCHED_US_PER_MS;

	if (task->job->objective_us < work_us)
		return 0;
	return task->job->objective_us - work_us;
}

/* Expected work of the task, in thousandths of a core * ms. */
static uint64_t
sched_task_work(const struct sched_task *task)
{
	return (uint64_t)task->job->spec.steps[task->step].cpu *
	    sched_task_expected_ms(task);
}

void
sched_task_enqueue(struct sched_task *task)
{
	struct scheduler *sched = task->job->sched;
	uint64_t latest_us = sched_latest_start_us(task);
	struct sched_task *other;

	task->state = SCHED_TASK_WAITING;
	sched->queued_work += sched_task_work(task);
	TAILQ_FOREACH_REVERSE (other, &sched->waiting, sched_tasks, waiting) {
		if (sched_latest_start_us(other) <= latest_us)
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_AFTER(&sched->waiting, other, task, waiting);
	else
		TAILQ_INSERT_HEAD(&sched->waiting, task, waiting);
	sched_dispatch_wake(sched);
}

void
sched_task_dequeue(struct sched_task *task)
{
	TAILQ_REMOVE(&task->job->sched->waiting, task, waiting);
	task->job->sched->queued_work -= sched_task_work(task);
	task->state = SCHED_TASK_BLOCKED;
}

void
sched_dispatch_wake(struct scheduler *sched)
{
	event_active(sched->dispatch_event, EV_TIMEOUT, 0);
}

/* Order in which waiting tasks are started; tasks of one rank are ordered by
 * the latest start that is on time. */
enum sched_rank {
	/* First: completing a job frees resources, starting one does not. */
	SCHED_RANK_STARTED,
	SCHED_RANK_ON_TIME,
	SCHED_RANK_LATE,
	SCHED_RANK_NO_VALUE, /* run only with spare resources */
	SCHED_RANKS,
};

static enum sched_rank
sched_rank(const struct sched_task *task, uint64_t now_us)
{
	if (task->job->spec.long_running)
		return SCHED_RANK_STARTED;
	if (now_us > task->job->value_until_us)
		return SCHED_RANK_NO_VALUE;
	if (task->job->may_have_started)
		return SCHED_RANK_STARTED;
	return sched_latest_start_us(task) >= now_us ? SCHED_RANK_ON_TIME
						     : SCHED_RANK_LATE;
}

/* The share of the servers that tasks of the job may use. */
static enum sched_share_name
sched_share_of(const struct sched_job *job)
{
	return sched_job_confined(job) ? SCHED_SHARE_CONFINED
				       : SCHED_SHARE_OTHERS;
}

/* State of one pass over the waiting tasks. */
struct sched_pass {
	uint64_t now_us;
	bool all_held;		  /* all runs of a former holder are known */
	bool ends_awaited;	  /* see sched_ends_awaited() */
	uint64_t lists_wanted_us; /* a task waits for lists since then; or 0 */
	/* The smallest demand that no server of the share could meet. */
	uint32_t no_capacity_cpu[SCHED_SHARES];
};

/* Whether the task may be started, as far as the crashes of its former servers
 * are concerned. A gang, which needs several servers, is not isolated. */
static bool
sched_suspect_may_start(struct sched_task *task, uint64_t now_us)
{
	enum susp_verdict verdict = sched_suspect_judge(task, now_us);

	if (verdict == SUSP_GUILTY)
		task->job->crashes_servers = true;
	task->isolate = verdict == SUSP_ISOLATE && !sched_gang_member(task);
	if (task->isolate && task->isolate_until_us == 0)
		task->isolate_until_us =
		    now_us + SCHED_ISOLATION_WAIT_MS * SCHED_US_PER_MS;
	return verdict == SUSP_NONE || verdict == SUSP_ISOLATE;
}

/* The run of a stored job may have ended on a server whose row has expired in
 * an outage of the store. The row is back soon, or the server is gone. */
static bool
sched_waits_for_rows(const struct sched_job *job, uint64_t now_us)
{
	const struct scheduler *sched = job->sched;

	return job->stored && job->start_after_us != 0 &&
	    !sched->servers_complete &&
	    now_us - sched->activated_us <
	    SCHED_ROWS_RESTORED_MS * SCHED_US_PER_MS;
}

/* Whether a server has more ends than it lists at a time, and has not listed
 * the last ones. They follow as the first ones are stored. */
static bool
sched_ends_awaited(const struct scheduler *sched)
{
	const struct sched_server *server;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (server->held && !server->ends_listed &&
		    (server->unanswered_holds <= SCHED_UNANSWERED_HOLDS_MAX ||
			!sched_lease_ended(server)))
			return true;
	}
	return false;
}

/* Whether the end of a former holder's run of the task may yet be listed. */
static bool
sched_waits_for_ends(const struct sched_task *task,
    const struct sched_pass *pass)
{
	const struct sched_job *job = task->job;

	return pass->ends_awaited && job->stored && job->start_after_us != 0 &&
	    !job->spec.long_running;
}

/* Whether the server's process has listed its runs just now, and was asked to
 * at @since_us or later. That its connection is open does not show that the
 * process is still there: no packets may arrive from it. */
static bool
sched_server_listed(const struct sched_server *server, uint64_t since_us,
    uint64_t now_us)
{
	uint64_t restart_us = SCHED_RESTART_MIN_MS * SCHED_US_PER_MS;

	return server->list_sent_us + restart_us >= since_us &&
	    server->listed_us + restart_us >= now_us;
}

static bool
sched_all_listed(const struct scheduler *sched, uint64_t since_us,
    uint64_t now_us)
{
	const struct sched_server *server;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!server->removed &&
		    !sched_server_listed(server, since_us, now_us))
			return false;
	}
	return true;
}

bool
sched_job_runs_known(const struct sched_job *job)
{
	return sched_all_runs_known(job->sched) &&
	    sched_all_listed(job->sched, job->passed_on_us,
		sched_now(job->sched));
}

/* Requests the lists of servers that have not listed their runs since. They
 * are all asked together, once those that do not reply have done so. Holds of
 * busy servers are short once all servers reply. */
static void
sched_request_newer_lists(struct scheduler *sched, uint64_t since_us,
    uint64_t now_us)
{
	struct sched_server *server;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!server->removed && server->unanswered_holds > 0 &&
		    !sched_server_listed(server, since_us, now_us))
			return;
	}
	sched->lists_wanted_us = now_us;
	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!server->removed && server->hold_pending &&
		    !sched_server_listed(server, since_us, now_us))
			return;
	}
	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!server->removed &&
		    !sched_server_listed(server, since_us, now_us))
			sched_server_hold(server, now_us);
	}
}

/* Whether the task, which could be started, waits for newer lists. The process
 * may have been paused since the pass began. */
static bool
sched_needs_lists(const struct sched_task *task, struct sched_pass *pass)
{
	const struct sched_job *job = task->job;

	if (!sched_job_awaits_leases(job, pass->now_us) ||
	    sched_all_listed(job->sched, job->passed_on_us,
		sched_now(job->sched)))
		return false;
	if (job->passed_on_us > pass->lists_wanted_us)
		pass->lists_wanted_us = job->passed_on_us;
	return true;
}

/* Whether the lists of servers may yet show runs of the task that another host
 * has started. */
static bool
sched_runs_may_be_listed(const struct sched_task *task, struct sched_pass *pass)
{
	return sched_job_awaits_leases(task->job, pass->now_us) &&
	    (!pass->all_held || sched_needs_lists(task, pass));
}

static void
sched_try_start(struct sched_task *task, struct sched_pass *pass)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	bool unconstrained =
	    step->required_label[0] == '\0' && step->per_server_max == 0;
	uint32_t *no_capacity_cpu =
	    &pass->no_capacity_cpu[sched_share_of(task->job)];
	struct sched_server *server;
	uint32_t lease_ms;

	/* Runs of a stored job may have ended before the job was loaded. The
	 * servers list these ends again once all stored jobs are loaded. */
	if ((task->job->stored &&
		(!task->job->sched->jobs_loaded ||
		    sched_awaits_owner(task->job->sched))) ||
	    sched_waits_for_rows(task->job, pass->now_us) ||
	    sched_waits_for_ends(task, pass))
		return;
	if (!task->job->sched->holder_confirmed &&
	    !sched_job_may_start_unconfirmed(task->job))
		return;
	if (task->job->run_unknown)
		return;
	if (task->job->adopts_only) {
		if (!sched_runs_may_be_listed(task, pass))
			sched_run_unknown(task,
			    "another host may have started it");
		return;
	}
	if (step->cpu >= *no_capacity_cpu ||
	    (!pass->all_held &&
		sched_job_awaits_leases(task->job, pass->now_us)) ||
	    !sched_suspect_may_start(task, pass->now_us))
		return;
	if (sched_pending_elsewhere(task->job)) {
		sched_run_unknown(task,
		    "an earlier submission may have started it");
		return;
	}
	lease_ms = sched_job_lease_ms(task->job, pass->now_us);
	if (lease_ms < SCHED_START_LEASE_MIN_MS)
		return;
	if (sched_gang_member(task)) {
		if (!sched_needs_lists(task, pass))
			sched_gang_try_start(task, pass->now_us);
		return;
	}
	server =
	    sched_choose_server(task->job->sched, task, NULL, pass->now_us);
	if (server != NULL && sched_needs_lists(task, pass))
		return;
	if (server != NULL)
		sched_run_start(task, server);
	else if (task->job->advice != NULL)
		sched_advice_request(task, pass->now_us);
	else if (unconstrained && !task->isolate &&
	    lease_ms >= task->job->sched->params.lease_ms)
		*no_capacity_cpu = step->cpu;
}

bool
sched_all_servers_held(const struct scheduler *sched)
{
	const struct sched_server *server;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!(server->held && server->ends_listed) && !server->removed)
			return false;
	}
	return true;
}

bool
sched_all_runs_known(const struct scheduler *sched)
{
	return (sched->former_runs_known ||
		   sched_confirmed_us(sched) >=
		       sched_former_leases_end_us(sched)) &&
	    !sched->server_unknown && sched->servers_complete &&
	    sched->rows_refreshed && !sched->awaits_rows &&
	    sched_all_servers_held(sched);
}

/* Whether starts are delayed after a take-over, until the store's rows show
 * which servers are draining. Only servers that have listed their runs accept
 * starts, and jobs that another host may have started wait for all of them. */
static bool
sched_recovery_pending(const struct scheduler *sched, uint64_t now_us)
{
	return !sched->rows_refreshed &&
	    now_us - sched->activated_us <=
	    SCHED_RECOVERY_MAX_MS * SCHED_US_PER_MS;
}

void
sched_dispatch(evutil_socket_t fd, short what, void *arg)
{
	struct scheduler *sched = arg;
	struct sched_pass pass = {
		.no_capacity_cpu = { UINT32_MAX, UINT32_MAX },
	};
	struct sched_task *task, *next;
	enum sched_rank rank;

	(void)fd;
	(void)what;
	if (sched->token == 0) {
		sched_free_removed(sched);
		return;
	}
	pass.now_us = sched_now(sched);
	if (TAILQ_EMPTY(&sched->waiting) ||
	    sched_recovery_pending(sched, pass.now_us))
		return;
	pass.all_held = sched_all_runs_known(sched);
	pass.ends_awaited = sched_ends_awaited(sched);
	sched_check_holder_lease(sched);
	for (rank = 0; rank < SCHED_RANKS; rank++) {
		TAILQ_FOREACH_SAFE (task, &sched->waiting, waiting, next) {
			if (sched_rank(task, pass.now_us) == rank)
				sched_try_start(task, &pass);
		}
	}
	if (pass.lists_wanted_us != 0)
		sched_request_newer_lists(sched, pass.lists_wanted_us,
		    pass.now_us);
}

/* Queues the tasks of all steps whose prerequisites are done. Finishes the job
 * if all its tasks are done. */
void
sched_job_advance(struct sched_job *job)
{
	uint64_t done = 0;
	uint32_t i, n = 0, step, index;
	bool step_done;

	for (step = 0; step < job->spec.nsteps; step++) {
		step_done = true;
		for (index = 0; index < job->spec.steps[step].count; index++) {
			if (job->tasks[n + index].state != SCHED_TASK_DONE)
				step_done = false;
		}
		if (step_done)
			done |= UINT64_C(1) << step;
		n += job->spec.steps[step].count;
	}
	for (i = 0; i < job->spec.ntasks; i++) {
		step = job->tasks[i].step;
		if (job->tasks[i].state == SCHED_TASK_BLOCKED &&
		    (job->spec.steps[step].prerequisites & ~done) == 0)
			sched_task_enqueue(&job->tasks[i]);
	}
	if (job->ndone == job->spec.ntasks) {
		const struct sched_reply completed = { .result =
							   SCHED_COMPLETED,
			.reason = "all tasks done" };

		sched_job_finish(job, &completed);
	}
}

/* Whether the server counts towards the service rate. Soon after a take-over,
 * servers that have not listed their runs will accept starts shortly. */
static bool
sched_server_serves(const struct sched_server *server, uint64_t now_us)
{
	const struct scheduler *sched = server->sched;

	if (!server->held && !server->removed && !server->info.draining)
		return now_us - sched->activated_us <=
		    SCHED_RECOVERY_MAX_MS * SCHED_US_PER_MS;
	return sched_server_is_usable(server, now_us);
}

static void
sched_add_queued_work(struct scheduler *sched)
{
	const struct sched_task *task;

	TAILQ_FOREACH (task, &sched->waiting, waiting)
		sched->shares[sched_share_of(task->job)].queued_work +=
		    sched_task_work(task);
}

/* Shares are used for each new job, and computed again after
 * SCHED_SHARES_VALID_MS. */
static void
sched_update_shares(struct scheduler *sched, uint64_t now_us)
{
	bool active = bulk_active(&sched->bulkhead);
	const struct sched_server *server;
	enum sched_share_name share;

	if (sched->shares_updated_us != 0 &&
	    now_us - sched->shares_updated_us <
		SCHED_SHARES_VALID_MS * SCHED_US_PER_MS)
		return;
	sched->shares_updated_us = now_us;
	memset(sched->shares, 0, sizeof(sched->shares));
	if (active)
		sched_add_queued_work(sched);
	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!sched_server_serves(server, now_us))
			continue;
		share = active && !server->reserved ? SCHED_SHARE_CONFINED
						    : SCHED_SHARE_OTHERS;
		sched->shares[share].service_rate +=
		    (uint64_t)server->info.cpu * server->speed_permille /
		    PLACE_SPEED_NOMINAL * SCHED_USABLE_CPU_PERCENT / 100;
	}
}

uint64_t
sched_backlog_us(struct scheduler *sched, enum sched_share_name name,
    uint64_t now_us)
{
	const struct sched_share *share = &sched->shares[name];
	uint64_t work = sched->queued_work;

	if (work == 0)
		return 0;
	sched_update_shares(sched, now_us);
	if (bulk_active(&sched->bulkhead))
		work = share->queued_work;
	if (work == 0)
		return 0;
	return share->service_rate == 0
	    ? UINT64_MAX
	    : work * SCHED_US_PER_MS / share->service_rate;
}

/* If the link is saturated, orders are slow, too, but to pass jobs on would add
 * to its load. */
uint64_t
sched_processing_delay_us(const struct scheduler *sched, uint64_t now_us)
{
	uint64_t usual_us = SCHED_ORDER_TIME_MS * SCHED_US_PER_MS;

	if (sched->tick_delay_us < SCHED_TICK_DELAY_MS * SCHED_US_PER_MS ||
	    sched->order_answered_us == 0 ||
	    now_us - sched->order_answered_us >
		SCHED_ORDER_TIME_VALID_MS * SCHED_US_PER_MS ||
	    sched->order_time.smoothed_us <= usual_us)
		return 0;
	return (sched->order_time.smoothed_us - usual_us) * SCHED_ORDER_DELAYS;
}

/* Whether a job that was not started would be late because of the backlog, or
 * because this host is too slow to place it. */
bool
sched_job_backlogged(const struct sched_job *job)
{
	uint64_t work_us = job_critical_path_ms(&job->spec) * SCHED_US_PER_MS;
	uint64_t now_us = sched_now(job->sched);

	return !job->may_have_started &&
	    now_us + sched_backlog_us(job->sched, sched_share_of(job), now_us) +
		sched_processing_delay_us(job->sched, now_us) + work_us >
	    job->objective_us;
}

/*
 * Whether a job that was not started is to be refused: it can't end while its
 * result has value, this host may have been replaced as the holder, or it would
 * be late and the backlog is long.
 */
static bool
sched_job_should_refuse(const struct sched_job *job, uint64_t now_us)
{
	uint64_t work_us = job_critical_path_ms(&job->spec) * SCHED_US_PER_MS;
	enum sched_share_name share = sched_share_of(job);
	uint64_t backlog_us;

	if (now_us + work_us / 2 >= job->value_until_us)
		return true;
	if (!job->sched->holder_confirmed &&
	    now_us - job->sched->activated_us >
		SCHED_FIRST_CONFIRMATION_MS * SCHED_US_PER_MS &&
	    !sched_job_may_start_unconfirmed(job))
		return true;
	backlog_us = sched_backlog_us(job->sched, share, now_us);
	if (share == SCHED_SHARE_CONFINED && now_us < job->objective_us &&
	    backlog_us > job->objective_us - now_us)
		return true;
	return now_us + work_us > job->objective_us &&
	    backlog_us > SCHED_LATE_BACKLOG_MAX_MS * SCHED_US_PER_MS;
}

/* Ends a job whose submitter has timed out or that is to be refused. Return:
 * true if the job was ended. */
bool
sched_job_expire(struct sched_job *job, uint64_t now_us)
{
	struct sched_reply reply = { .result = SCHED_OUTCOME_UNKNOWN,
		.reason = "the submitter's deadline has expired" };

	if (job->ended || job->stored)
		return false;
	if (now_us >= job->submitter_deadline_us) {
		sched_job_finish(job, &reply);
		return true;
	}
	if (job->may_have_started || !sched_job_should_refuse(job, now_us))
		return false;
	reply.result = SCHED_NOT_RUN;
	reply.reason = "no server can complete the job in time";
	reply.retry_after_ms = SCHED_RETRY_AFTER_MS;
	sched_job_finish(job, &reply);
	return true;
}
