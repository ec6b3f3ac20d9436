/*
 * Whether a task may have another run. The run of a best-effort job's task ends
 * by the word of its server, or of the one that replies in its place: the end
 * of a lease is only inferred, from a clock that may be slow and from orders
 * that may be executed late. Without that word the outcome of the job is
 * unknown, and its caller decides whether to submit it again. Nobody submits a
 * stored job again, so its tasks go on when the lease has ended.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "entry/jobs/scheduler_internal.h"

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
