/*
 * Jobs of a holder. One that has been answered stays until none of its runs
 * is left on a server.
 */

#include <inttypes.h>
#include <stdio.h>
#include <strings.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define HLD_US_PER_MS UINT64_C(1000)
#define HLD_LATE_FACTOR 3 /* objectives after which a job is worth nothing */
#define HLD_SKEW_MS 100	  /* added to a lease that is waited out */

static struct counter hld_jobs_taken = {
	.name = "berylrail_work_jobs_total",
	.labels = "event=\"taken\"",
	.help = "Jobs of steps, by event.",
};
static struct counter hld_jobs_by_result[] = {
#define HLD_RESULT(result, label)                    \
	[result] = {                                 \
		.name = "berylrail_work_jobs_total", \
		.labels = "event=\"" label "\"",     \
		.help = "Jobs of steps, by event.",  \
	}
	HLD_RESULT(HOLDER_COMPLETED, "completed"),
	HLD_RESULT(HOLDER_FAILED, "failed"),
	HLD_RESULT(HOLDER_NOT_RUN, "not_run"),
	HLD_RESULT(HOLDER_GAVE_UP, "gave_up"),
	HLD_RESULT(HOLDER_MOVED, "moved"),
	HLD_RESULT(HOLDER_BAD, "bad"),
	HLD_RESULT(HOLDER_ACCEPTED, "accepted"),
};

static const char *const hld_result_names[] = {
	[HOLDER_COMPLETED] = "completed",
	[HOLDER_FAILED] = "failed",
	[HOLDER_NOT_RUN] = "not-run",
	[HOLDER_GAVE_UP] = "gave-up",
	[HOLDER_MOVED] = "moved",
	[HOLDER_BAD] = "bad",
	[HOLDER_ACCEPTED] = "accepted",
};

static size_t
hld_bucket(const char *id)
{
	size_t hash = 5381;

	while (*id != '\0')
		hash = hash * 33 + (unsigned char)*id++;
	return hash % HLD_JOB_BUCKETS;
}

struct hld_job *
hld_job_find(const struct holder *holder, const char *id, uint32_t time)
{
	struct hld_job *job;

	LIST_FOREACH (job, &holder->buckets[hld_bucket(id)], hash) {
		if (job->time == time && strcmp(job->spec.id, id) == 0)
			return job;
	}
	return NULL;
}

void
hld_task_name(const struct hld_task *task, char name[WORKER_TASK_NAME_SIZE])
{
	(void)snprintf(name, WORKER_TASK_NAME_SIZE,
	    "%s.%" PRIu32 ".%" PRIu32 ".%" PRIu32, task->job->spec.id,
	    task->job->time, task->step, task->index);
}

static struct hld_task *
hld_task_at(struct hld_job *job, uint32_t step, uint32_t index)
{
	uint32_t i, first = 0;

	if (step >= job->spec.nsteps || index >= job->spec.steps[step].count)
		return NULL;
	for (i = 0; i < step; i++)
		first += job->spec.steps[i].count;
	return &job->tasks[first + index];
}

struct hld_task *
hld_task_find(struct holder *holder, const char *name)
{
	char id[JOB_ID_LEN + 1];
	uint32_t time, step, index;
	struct hld_job *job;

	if (strlen(name) <= JOB_ID_LEN ||
	    sscanf(name + JOB_ID_LEN, ".%" SCNu32 ".%" SCNu32 ".%" SCNu32,
		&time, &step, &index) != 3)
		return NULL;
	memcpy(id, name, JOB_ID_LEN);
	id[JOB_ID_LEN] = '\0';
	job = hld_job_find(holder, id, time);
	return job == NULL ? NULL : hld_task_at(job, step, index);
}

static void
hld_job_free(struct hld_job *job)
{
	uint32_t i;

	TAILQ_REMOVE(&job->holder->jobs, job, entry);
	LIST_REMOVE(job, hash);
	for (i = 0; i < job->spec.ntasks; i++)
		free(job->tasks[i].saved);
	hld_advice_free(job);
	job_spec_release(&job->spec);
	free(job->tasks);
	free(job);
}

void
hld_job_release_ended(struct hld_job *job)
{
	if (job->ended && job->nplaced == 0)
		hld_job_free(job);
}

/* Takes all tasks out of the queue and stops all runs. */
static void
hld_job_stop(struct hld_job *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.ntasks; i++) {
		if (job->tasks[i].state == HLD_WAITING)
			hld_dequeue(&job->tasks[i]);
		else if (job->tasks[i].state == HLD_RUNNING)
			hld_run_stop(&job->tasks[i]);
	}
}

void
hld_job_finish(struct hld_job *job, const struct holder_reply *reply)
{
	uint64_t age_us = hld_now(job->holder) - job->arrived_us;
	holder_done_fn done = job->done;

	if (job->ended)
		return;
	job->ended = true;
	ctr_inc(&hld_jobs_by_result[reply->result]);
	log_event(LOG_LEVEL_INFO, "job-ended",
	    "id=%s queue=%s outcome=%s reason=\"%s\" age_ms=%" PRIu64
	    " objective_ms=%" PRIu64 " tasks=%" PRIu32 " done=%" PRIu32,
	    job->spec.id, job->queue.name, hld_result_names[reply->result],
	    reply->reason, age_us / HLD_US_PER_MS,
	    (job->objective_us - job->arrived_us) / HLD_US_PER_MS,
	    job->spec.ntasks, job->ndone);
	job->done = NULL;
	if (done != NULL)
		done(job->arg, reply);
	hld_job_stop(job);
	hld_job_release_ended(job);
}

static void
hld_job_create_tasks(struct hld_job *job)
{
	struct hld_task *task;
	uint32_t step, index, n = 0;

	job->tasks = mem_zalloc(job->spec.ntasks, sizeof(*job->tasks));
	for (step = 0; step < job->spec.nsteps; step++) {
		for (index = 0; index < job->spec.steps[step].count; index++) {
			task = &job->tasks[n++];
			task->job = job;
			task->step = step;
			task->index = index;
			task->state = HLD_BLOCKED;
		}
	}
}

/* What a former holder has stored of the job's progress. */
static void
hld_job_recall(struct hld_job *job, const struct holder_request *request)
{
	uint32_t i;

	if (!job->stored)
		return;
	for (i = 0; i < job->spec.ntasks; i++) {
		job->tasks[i].fails = request->fails[i];
		job->tasks[i].failed_run = request->failed_runs[i];
		if (request->done[i] != 0 || request->fails[i] != 0)
			job->begun = true;
		if (request->done[i] == 0)
			continue;
		job->tasks[i].state = HLD_DONE;
		job->ndone++;
	}
}

uint64_t
hld_leases_end(const struct holder *holder, uint64_t since_us)
{
	return since_us +
	    (holder->params.lease_ms + HLD_SKEW_MS) * HLD_US_PER_MS;
}

static void
hld_job_set_times(struct hld_job *job, const struct holder_request *request)
{
	uint64_t now_us = hld_now(job->holder);
	uint64_t age_us = request->age_ms * HLD_US_PER_MS;
	uint64_t objective_us =
	    job_objective_ms(&job->spec, &job->queue) * HLD_US_PER_MS;

	/* The clock may have begun after the job was due. */
	if (age_us > now_us)
		age_us = now_us;
	job->arrived_us = now_us - age_us;
	job->objective_us = job->arrived_us + objective_us;
	job->late_us = job->arrived_us + HLD_LATE_FACTOR * objective_us;
	job->gone_us = now_us + request->patience_ms * HLD_US_PER_MS;
	if (job->late_us > job->gone_us)
		job->late_us = job->gone_us;
	job->started = request->resubmitted;
	if (request->resubmitted)
		job->start_after_us =
		    hld_leases_end(job->holder, job->holder->begun_us);
}

static struct hld_job *
hld_job_create(struct holder *holder, struct holder_request *request)
{
	struct hld_job *job = mem_zalloc(1, sizeof(*job));

	job->holder = holder;
	job->spec = request->spec;
	memset(&request->spec, 0, sizeof(request->spec));
	job->time = request->time;
	job->queue = request->queue;
	job->stored = request->stored;
	hld_job_create_tasks(job);
	if (job->queue.advised)
		hld_advice_create(job);
	hld_job_recall(job, request);
	hld_job_set_times(job, request);
	LIST_INSERT_HEAD(&holder->buckets[hld_bucket(job->spec.id)], job, hash);
	TAILQ_INSERT_TAIL(&holder->jobs, job, entry);
	return job;
}

/* The job is under way: the new submitter takes the old one's place. */
static void
hld_job_attach(struct hld_job *job, holder_done_fn done, void *arg)
{
	const struct holder_reply replaced = { .result = HOLDER_GAVE_UP,
		.reason = "submitted again" };

	if (job->done != NULL)
		job->done(job->arg, &replaced);
	job->done = done;
	job->arg = arg;
}

/* Why this host can't run the job at all, or NULL. */
static const char *
hld_unsupported(const struct holder *holder,
    const struct holder_request *request)
{
	if (request->queue.advised && holder->params.advisor == NULL)
		return "no service for recommendations is configured";
	return request->spec.unsupported;
}

static bool
hld_reject(struct holder *holder, struct holder_request *request,
    holder_done_fn done, void *arg)
{
	const struct hld_job *job =
	    hld_job_find(holder, request->spec.id, request->time);
	const char *unsupported = hld_unsupported(holder, request);
	struct holder_reply reply = { .result = HOLDER_MOVED,
		.reason = "this host does not hold the cell" };

	if (holder->token != 0 && unsupported == NULL &&
	    (job == NULL || !job->ended))
		return false;
	if (holder->token != 0 && unsupported != NULL) {
		reply.result = HOLDER_BAD;
		reply.reason = unsupported;
	} else if (job != NULL && job->ended) {
		/* Its last runs are still being stopped: come again. */
		reply.result = HOLDER_GAVE_UP;
		reply.reason = "runs of this job are being stopped";
	}
	done(arg, &reply);
	return true;
}

void
holder_submit(struct holder *holder, struct holder_request *request,
    holder_done_fn done, void *arg)
{
	const struct holder_reply crowded = { .result = HOLDER_NOT_RUN,
		.reason = "queue too long" };
	struct hld_job *job;

	if (hld_reject(holder, request, done, arg)) {
		job_spec_release(&request->spec);
		return;
	}
	ctr_inc(&hld_jobs_taken);
	job = hld_job_find(holder, request->spec.id, request->time);
	if (job != NULL) {
		job_spec_release(&request->spec);
		hld_job_attach(job, done, arg);
		return;
	}
	job = hld_job_create(holder, request);
	job->done = done;
	job->arg = arg;
	hld_orphans_claim(job);
	if (request->may_refuse && hld_job_crowded(job)) {
		hld_job_finish(job, &crowded);
		return;
	}
	hld_job_admit(job);
}

void
holder_cancel(struct holder *holder, const char *id, const void *arg)
{
	const struct holder_reply gave_up = { .result = HOLDER_GAVE_UP,
		.reason = "the submitter has left" };
	struct hld_job *job;

	LIST_FOREACH (job, &holder->buckets[hld_bucket(id)], hash) {
		if (job->arg == arg && !job->ended &&
		    strcmp(job->spec.id, id) == 0)
			break;
	}
	if (job == NULL)
		return;
	job->done = NULL;
	hld_job_finish(job, &gave_up);
}

bool
holder_has_begun(const struct holder *holder, const char *id)
{
	const struct hld_job *job;

	LIST_FOREACH (job, &holder->buckets[hld_bucket(id)], hash) {
		if (job->begun && strcmp(job->spec.id, id) == 0)
			return true;
	}
	return false;
}

uint32_t
holder_pending(const struct holder *holder, const char *queue)
{
	const struct hld_job *job;
	uint32_t n = 0;

	TAILQ_FOREACH (job, &holder->jobs, entry) {
		if (job->stored && !job->ended && !job->begun &&
		    strcmp(job->queue.name, queue) == 0)
			n++;
	}
	return n;
}

void
holder_each_pending(const struct holder *holder,
    void (*each)(void *arg, const char *queue), void *arg)
{
	const struct hld_job *job;

	TAILQ_FOREACH (job, &holder->jobs, entry) {
		if (job->stored && !job->ended && !job->begun)
			each(arg, job->queue.name);
	}
}
