/*
 * Whether a task may have another run. The run of a best-effort job's task has
 * ended when its server, or the one that replies in its place, reports it: the
 * end of a lease is only inferred, from a clock that may be slow and from
 * orders that may be executed late. Without a report the outcome of the job is
 * unknown, and its caller decides whether to submit it again. Nobody submits a
 * stored job again, so its tasks are started again when the lease has ended.
 *
 * What one process reports does not hold for a later one under its id, which
 * knows neither the fencing token nor what was stopped. It may execute a start
 * order that had no reply. All orders for a run have the same run id, so
 * one may be sent again to that server; but the task has no run with another id
 * after it.
 *
 * Nor does a holder know which start orders of another host had no reply, or of
 * which servers. So only the first holder of a best-effort job starts its
 * tasks; a later one adopts the runs that servers list.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "entry/jobs/scheduler_internal.h"

/* Whether a start order of the task's last run may be executed yet. If only one
 * was sent, it was executed once the server has listed the run. */
static bool
sched_start_outstanding(const struct sched_task *task)
{
	return task->starts_unanswered > 0 &&
	    (task->start_attempts > 1 || !task->start_confirmed);
}

bool
sched_task_awaits_server(const struct sched_task *task)
{
	return !task->job->stored && !task->job->ended;
}

void
sched_run_unknown(struct sched_task *task, const char *reason)
{
	struct sched_job *job = task->job;

	if (job->run_unknown)
		return;
	log_event(LOG_LEVEL_INFO, "run-unknown",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64 " reason=\"%s\"",
	    job->spec.id, task->step, task->index, task->run_id, reason);
	job->run_unknown = true;
}

void
sched_task_requeue(struct sched_task *task)
{
	if (task->job->adopts_only)
		sched_run_unknown(task, "another host has started it");
	else if (!task->job->stored && sched_start_outstanding(task))
		sched_run_unknown(task, "a start order had no reply");
	sched_task_enqueue(task);
}

bool
sched_job_end_unknown(struct sched_job *job)
{
	static const struct sched_reply unknown = {
		.result = SCHED_OUTCOME_UNKNOWN,
		.reason = "a run of one of its tasks may go on unknown",
	};

	if (job->ended || !job->run_unknown)
		return false;
	sched_job_finish(job, &unknown);
	return true;
}
