/*
 * Jobs of which a start order may still be executed (see core/pending.h). A
 * caller that has lost its connection sends its job again 1.3 s later, to any
 * host. An order of the first submission that had no reply may be executed up
 * to 12 s after it was sent, by any process that the server has under its id
 * then, whatever was stopped before. So the second submission is not started
 * while that may happen; its outcome is unknown, as that of the first one is.
 *
 * The hosts of a cell that hold it or are likely to, and the holders of other
 * cells, exchange what they know. A run that no job claims shows that its job
 * may be sent to another holder, too. Here that job adopts the run.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
/* By then the lease under which an unclaimed run was found has ended. */
#define SCHED_PENDING_RUN_MS 3000

static struct counter sched_pending_refused = {
	.name = "berylrail_work_jobs_total",
	.labels = "event=\"start_pending\"",
	.help = "Jobs that consist of steps, by event.",
};
static struct counter sched_pending_jobs_known = {
	.name = "berylrail_work_pending_starts",
	.help = "Jobs of which a start order without a reply may be executed "
		"yet, as far as this host knows.",
	.gauge = 1,
};
static struct counter sched_pending_jobs_dropped = {
	.name = "berylrail_work_pending_starts_dropped",
	.help = "Such jobs that this host has forgotten as there were too "
		"many.",
	.gauge = 1,
};

static const char *const sched_pending_origins[] = {
	[PEND_OWN] = "no",
	[PEND_ZONE] = "zone",
	[PEND_REMOTE] = "remote",
};

void
sched_pending_start(struct scheduler *sched, const char *task,
    uint64_t expires_us)
{
	const struct sched_task *known = sched_task_find(sched, task);

	/* A stored job that is submitted again joins the first one. */
	if (known == NULL || !known->job->stored)
		pend_add(&sched->pending, task, PEND_START, PEND_OWN,
		    expires_us, sched_now(sched));
}

void
sched_pending_run(struct scheduler *sched, const char *task, uint64_t now_us)
{
	char id[JOB_ID_LEN + 1];

	strlcpy(id, task, sizeof(id));
	if (job_id_valid(id))
		pend_add(&sched->pending, id, PEND_RUN_LISTED, PEND_OWN,
		    now_us + SCHED_PENDING_RUN_MS * SCHED_US_PER_MS, now_us);
}

bool
sched_pending_refuses(const struct scheduler *sched,
    const struct sched_request *request)
{
	const struct pend_job *job;

	if (request->stored || request->resubmitted)
		return false;
	job = pend_find(&sched->pending, request->spec.id, sched_now(sched));
	if (job == NULL ||
	    (job->kind == PEND_RUN_LISTED && job->origin == PEND_OWN))
		return false;
	ctr_inc(&sched_pending_refused);
	log_event(LOG_LEVEL_INFO, "job-start-pending", "id=%s learned=%s",
	    job->id, sched_pending_origins[job->origin]);
	return true;
}

void
sched_pending_expire(struct scheduler *sched, uint64_t now_us)
{
	pend_expire(&sched->pending, now_us);
	ctr_set(&sched_pending_jobs_known, sched->pending.n);
	ctr_set(&sched_pending_jobs_dropped, sched->pending.dropped);
}
