/*
 * Submission, cancellation and end of jobs. A job whose submitter has received
 * the reply is retained until no server has a run of it.
 */

#include <inttypes.h>
#include <stdio.h>
#include <strings.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
/* A job has no value once this multiple of its objective has passed. */
#define SCHED_VALUE_OBJECTIVES 3
/* Margin that is added to the length of a lease whose expiry is awaited. */
#define SCHED_LEASE_MARGIN_MS 100
/* A holder that is not confirmed starts only jobs that were sent to it in this
 * time: their runs end within a lease, before a caller that has lost its
 * connection sends the job to another host, after 1.3 s. */
#define SCHED_UNCONFIRMED_AGE_MS 250

static struct counter sched_jobs_submitted = {
	.name = "berylrail_work_jobs_total",
	.labels = "event=\"taken\"",
	.help = "Jobs that consist of steps, by event.",
};
static struct counter sched_jobs_ended_by_result[] = {
#define SCHED_RESULT_COUNTER(result, label)                      \
	[result] = {                                             \
		.name = "berylrail_work_jobs_total",             \
		.labels = "event=\"" label "\"",                 \
		.help = "Jobs that consist of steps, by event.", \
	}
	SCHED_RESULT_COUNTER(SCHED_COMPLETED, "completed"),
	SCHED_RESULT_COUNTER(SCHED_FAILED, "failed"),
	SCHED_RESULT_COUNTER(SCHED_NOT_RUN, "not_run"),
	SCHED_RESULT_COUNTER(SCHED_OUTCOME_UNKNOWN, "gave_up"),
	SCHED_RESULT_COUNTER(SCHED_NOT_HOLDER, "moved"),
	SCHED_RESULT_COUNTER(SCHED_UNSUPPORTED, "bad"),
	SCHED_RESULT_COUNTER(SCHED_ACCEPTED, "accepted"),
};

static const char *const sched_result_names[] = {
	[SCHED_COMPLETED] = "completed",
	[SCHED_FAILED] = "failed",
	[SCHED_NOT_RUN] = "not-run",
	[SCHED_OUTCOME_UNKNOWN] = "gave-up",
	[SCHED_NOT_HOLDER] = "moved",
	[SCHED_UNSUPPORTED] = "bad",
	[SCHED_ACCEPTED] = "accepted",
};

static size_t
sched_job_bucket(const char *id)
{
	size_t hash = 5381;

	while (*id != '\0')
		hash = hash * 33 + (unsigned char)*id++;
	return hash % SCHED_JOB_BUCKETS;
}

struct sched_job *
sched_job_find(const struct scheduler *sched, const char *id,
    uint32_t occurrence)
{
	struct sched_job *job;

	LIST_FOREACH (job, &sched->buckets[sched_job_bucket(id)], hash) {
		if (job->occurrence == occurrence &&
		    strcmp(job->spec.id, id) == 0)
			return job;
	}
	return NULL;
}

void
sched_task_name(const struct sched_task *task, char name[WORKER_TASK_NAME_SIZE])
{
	(void)snprintf(name, WORKER_TASK_NAME_SIZE,
	    "%s.%" PRIu32 ".%" PRIu32 ".%" PRIu32, task->job->spec.id,
	    task->job->occurrence, task->step, task->index);
}

static struct sched_task *
sched_task_at(struct sched_job *job, uint32_t step, uint32_t index)
{
	uint32_t i, first = 0;

	if (step >= job->spec.nsteps || index >= job->spec.steps[step].count)
		return NULL;
	for (i = 0; i < step; i++)
		first += job->spec.steps[i].count;
	return &job->tasks[first + index];
}

/* A parsed name of a task. */
struct sched_task_id {
	char job[JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

static bool
sched_task_parse(struct sched_task_id *id, const char *name)
{
	if (strlen(name) <= JOB_ID_LEN ||
	    sscanf(name + JOB_ID_LEN, ".%" SCNu32 ".%" SCNu32 ".%" SCNu32,
		&id->occurrence, &id->step, &id->index) != 3)
		return false;
	memcpy(id->job, name, JOB_ID_LEN);
	id->job[JOB_ID_LEN] = '\0';
	return true;
}

struct sched_task *
sched_task_find(struct scheduler *sched, const char *name)
{
	struct sched_task_id id;
	struct sched_job *job;

	if (!sched_task_parse(&id, name))
		return NULL;
	job = sched_job_find(sched, id.job, id.occurrence);
	return job == NULL ? NULL : sched_task_at(job, id.step, id.index);
}

struct sched_task *
sched_task_find_listed(struct scheduler *sched, const char *name)
{
	const struct sched_params *params = &sched->params;
	struct sched_task_id id;

	if (params->submit_occurrence != NULL && sched_task_parse(&id, name) &&
	    sched_job_find(sched, id.job, id.occurrence) == NULL)
		params->submit_occurrence(params->arg, id.job, id.occurrence);
	return sched_task_find(sched, name);
}

static void
sched_job_free(struct sched_job *job)
{
	uint32_t i;

	if (job->sched->next_checked == job)
		job->sched->next_checked = TAILQ_NEXT(job, entry);
	TAILQ_REMOVE(&job->sched->jobs, job, entry);
	LIST_REMOVE(job, hash);
	for (i = 0; i < job->spec.ntasks; i++)
		free(job->tasks[i].last_checkpoint);
	sched_advice_free(job);
	job_spec_release(&job->spec);
	free(job->tasks);
	free(job);
}

void
sched_job_release_ended(struct sched_job *job)
{
	if (job->ended && job->nassigned == 0)
		sched_job_free(job);
}

/* Removes all tasks from the queue and stops all runs; those whose start is
 * pending are stopped after its reply. */
static void
sched_job_stop(struct sched_job *job)
{
	struct sched_task *task;
	uint32_t i;

	for (i = 0; i < job->spec.ntasks; i++) {
		task = &job->tasks[i];
		if (task->state == SCHED_TASK_WAITING)
			sched_task_dequeue(task);
		else if (task->state == SCHED_TASK_RUNNING ||
		    (task->state == SCHED_TASK_STARTING && task->order == NULL))
			sched_run_stop(task);
	}
}

void
sched_job_finish(struct sched_job *job, const struct sched_reply *reply)
{
	uint64_t age_us = sched_now(job->sched) - job->submitted_us;
	sched_done_fn done = job->done;

	if (job->ended)
		return;
	sched_job_unattended(job);
	job->ended = true;
	ctr_inc(&sched_jobs_ended_by_result[reply->result]);
	log_event(LOG_LEVEL_INFO, "job-ended",
	    "id=%s queue=%s outcome=%s reason=\"%s\" age_ms=%" PRIu64
	    " objective_ms=%" PRIu64 " tasks=%" PRIu32 " done=%" PRIu32
	    " runs=%" PRIu32,
	    job->spec.id, job->queue.name, sched_result_names[reply->result],
	    reply->reason, age_us / SCHED_US_PER_MS,
	    (job->objective_us - job->submitted_us) / SCHED_US_PER_MS,
	    job->spec.ntasks, job->ndone, job->nassigned);
	job->done = NULL;
	if (done != NULL)
		done(job->arg, reply);
	sched_job_stop(job);
	sched_job_release_ended(job);
}

static void
sched_job_create_tasks(struct sched_job *job)
{
	struct sched_task *task;
	uint32_t step, index, n = 0;

	job->tasks = mem_zalloc(job->spec.ntasks, sizeof(*job->tasks));
	for (step = 0; step < job->spec.nsteps; step++) {
		for (index = 0; index < job->spec.steps[step].count; index++) {
			task = &job->tasks[n++];
			task->job = job;
			task->step = step;
			task->index = index;
			task->state = SCHED_TASK_BLOCKED;
		}
	}
}

/* Sets the state of the tasks from the record of a stored job, which a former
 * holder may have written. */
static void
sched_job_load_progress(struct sched_job *job,
    const struct sched_request *request)
{
	uint32_t i;

	if (!job->stored)
		return;
	for (i = 0; i < job->spec.ntasks; i++) {
		job->tasks[i].failures = request->failures[i];
		job->tasks[i].last_failed_run_id =
		    request->last_failed_run_ids[i];
		if (request->done[i] != 0 || request->failures[i] != 0)
			job->has_started = true;
		if (request->done[i] == 0)
			continue;
		job->tasks[i].state = SCHED_TASK_DONE;
		job->ndone++;
	}
}

uint64_t
sched_leases_end_us(const struct scheduler *sched, uint64_t since_us)
{
	return since_us +
	    (sched->params.lease_ms + SCHED_LEASE_MARGIN_MS) * SCHED_US_PER_MS;
}

uint64_t
sched_former_leases_end_us(const struct scheduler *sched)
{
	return sched->params.holder_lease_ms == 0
	    ? sched_leases_end_us(sched, sched->activated_us)
	    : sched->holder_lease.former_end_us;
}

bool
sched_job_awaits_leases(const struct sched_job *job, uint64_t now_us)
{
	uint64_t end_us = sched_former_leases_end_us(job->sched);

	if (job->start_after_us == 0)
		return false;
	if (job->start_after_us > end_us)
		end_us = job->start_after_us;
	if (end_us <= sched_confirmed_us(job->sched))
		return false;
	if (end_us <= now_us)
		job->sched->awaits_confirmation = true;
	return true;
}

bool
sched_job_may_start_unconfirmed(const struct sched_job *job)
{
	const struct sched_params *params = &job->sched->params;
	uint64_t now_us = clock_now_us(params->clock);

	return !job->stored && job->start_after_us == 0 &&
	    job_critical_path_ms(&job->spec) <= params->lease_ms &&
	    now_us - job->sent_us <= SCHED_UNCONFIRMED_AGE_MS * SCHED_US_PER_MS;
}

/* Makes tasks of a job that another host may have started wait until its runs
 * are known or have ended. */
static void
sched_job_await_leases(struct sched_job *job, uint64_t now_us)
{
	job->passed_on_us = now_us;
	/* A holder that is not confirmed may have just started a job that is
	 * not stored. */
	job->start_after_us = job->stored
	    ? sched_leases_end_us(job->sched, job->sched->loaded_us)
	    : now_us + hlease_span_us(job->sched->params.holder_lease_ms);
}

static void
sched_job_set_times(struct sched_job *job, const struct sched_request *request)
{
	uint64_t now_us = sched_now(job->sched);
	uint64_t age_us = request->age_ms * SCHED_US_PER_MS;
	uint64_t objective_us =
	    job_objective_ms(&job->spec, &job->queue) * SCHED_US_PER_MS;

	/* The monotonic clock may have started after the job was submitted:
	 * the time of submission is then 0. */
	if (age_us > now_us)
		age_us = now_us;
	job->sent_us = request->sent_ago_ms * SCHED_US_PER_MS < now_us
	    ? now_us - request->sent_ago_ms * SCHED_US_PER_MS
	    : 0;
	job->submitted_us = now_us - age_us;
	job->objective_us = job->submitted_us + objective_us;
	job->value_until_us =
	    job->submitted_us + SCHED_VALUE_OBJECTIVES * objective_us;
	job->submitter_deadline_us =
	    now_us + request->timeout_ms * SCHED_US_PER_MS;
	if (job->value_until_us > job->submitter_deadline_us)
		job->value_until_us = job->submitter_deadline_us;
	job->may_have_started = request->resubmitted;
	job->adopts_only = request->resubmitted && !request->stored;
	strlcpy(job->host, request->host, sizeof(job->host));
	job->nonce = request->nonce;
	if (request->resubmitted || request->wait_for_leases)
		sched_job_await_leases(job, now_us);
}

static struct sched_job *
sched_job_create(struct scheduler *sched, struct sched_request *request)
{
	struct sched_job *job = mem_zalloc(1, sizeof(*job));

	job->sched = sched;
	job->spec = request->spec;
	memset(&request->spec, 0, sizeof(request->spec));
	job->occurrence = request->occurrence;
	job->queue = request->queue;
	job->stored = request->stored;
	sched_job_create_tasks(job);
	if (job->queue.advised)
		sched_advice_create(job);
	sched_job_load_progress(job, request);
	sched_job_set_times(job, request);
	sched_suspects_check_job(job);
	LIST_INSERT_HEAD(&sched->buckets[sched_job_bucket(job->spec.id)], job,
	    hash);
	TAILQ_INSERT_TAIL(&sched->jobs, job, entry);
	return job;
}

static bool
sched_job_is_first_submission(const struct sched_job *job,
    const struct sched_request *request)
{
	return job->nonce == request->nonce &&
	    strcmp(job->host, request->host) == 0;
}

/* Replaces the callback of a job that has not ended by that of a later
 * submission, whose submitter may know that another host has had the job. If it
 * is not the one that this host has had first, that host may have started it.
 */
static void
sched_job_attach(struct sched_job *job, const struct sched_request *request,
    sched_done_fn done, void *arg)
{
	const struct sched_reply replaced = { .result = SCHED_OUTCOME_UNKNOWN,
		.reason = "replaced by another submission of the same job" };

	if (request->resubmitted) {
		job->may_have_started = true;
		if (!job->stored &&
		    !sched_job_is_first_submission(job, request))
			job->adopts_only = true;
		sched_job_await_leases(job, sched_now(job->sched));
	}
	if (job->done != NULL)
		job->done(job->arg, &replaced);
	job->joined_nonce = request->nonce;
	job->done = done;
	job->arg = arg;
}

/* The reason why this host can't run the job at all, or NULL. */
static const char *
sched_unsupported_reason(const struct scheduler *sched,
    const struct sched_request *request)
{
	if (request->queue.advised && sched->params.advisor == NULL)
		return "the queue needs placement permits and no advisor is "
		       "configured";
	return request->spec.unsupported;
}

/* Ends a submission that can't be accepted. Return: true if it was ended. */
static bool
sched_reject(struct scheduler *sched, struct sched_request *request,
    sched_done_fn done, void *arg)
{
	const struct sched_job *job =
	    sched_job_find(sched, request->spec.id, request->occurrence);
	const char *unsupported = sched_unsupported_reason(sched, request);
	struct sched_reply reply = { .result = SCHED_NOT_HOLDER,
		.reason = "this host is not the holder of the cell" };

	if (sched->token != 0 && unsupported == NULL &&
	    (job == NULL ? !sched_pending_refuses(sched, request)
			 : !job->ended))
		return false;
	if (sched->token != 0 && unsupported != NULL) {
		reply.result = SCHED_UNSUPPORTED;
		reply.reason = unsupported;
	} else if (job != NULL && job->ended) {
		/* Runs of the ended job are being stopped; the submitter may
		 * retry. */
		reply.result = SCHED_OUTCOME_UNKNOWN;
		reply.reason = "runs of an earlier submission of this job are "
			       "being stopped";
	} else if (sched->token != 0) {
		reply.result = SCHED_OUTCOME_UNKNOWN;
		reply.reason =
		    "an earlier submission of this job may still be started";
	}
	done(arg, &reply);
	return true;
}

void
sched_submit(struct scheduler *sched, struct sched_request *request,
    sched_done_fn done, void *arg)
{
	const struct sched_reply backlog_too_long = { .result = SCHED_NOT_RUN,
		.reason =
		    "the backlog is too long to complete the job in time" };
	struct sched_job *job;

	if (sched_reject(sched, request, done, arg)) {
		job_spec_release(&request->spec);
		return;
	}
	ctr_inc(&sched_jobs_submitted);
	job = sched_job_find(sched, request->spec.id, request->occurrence);
	if (job != NULL) {
		job_spec_release(&request->spec);
		sched_job_attach(job, request, done, arg);
		return;
	}
	job = sched_job_create(sched, request);
	job->done = done;
	job->arg = arg;
	sched_orphans_adopt(job);
	if (request->may_refuse && sched_job_backlogged(job)) {
		sched_job_finish(job, &backlog_too_long);
		return;
	}
	sched_job_advance(job);
}

void
sched_cancel(struct scheduler *sched, const char *id, const void *arg)
{
	const struct sched_reply cancelled = { .result = SCHED_OUTCOME_UNKNOWN,
		.reason = "cancelled by the submitter" };
	struct sched_job *job;

	LIST_FOREACH (job, &sched->buckets[sched_job_bucket(id)], hash) {
		if (job->arg == arg && !job->ended &&
		    strcmp(job->spec.id, id) == 0)
			break;
	}
	if (job == NULL)
		return;
	sched_job_unattended(job);
	job->done = NULL;
	sched_job_finish(job, &cancelled);
}

bool
sched_job_has_started(const struct scheduler *sched, const char *id)
{
	const struct sched_job *job;

	LIST_FOREACH (job, &sched->buckets[sched_job_bucket(id)], hash) {
		if (job->has_started && strcmp(job->spec.id, id) == 0)
			return true;
	}
	return false;
}

uint32_t
sched_pending_jobs(const struct scheduler *sched, const char *queue)
{
	const struct sched_job *job;
	uint32_t n = 0;

	TAILQ_FOREACH (job, &sched->jobs, entry) {
		if (job->stored && !job->ended && !job->has_started &&
		    strcmp(job->queue.name, queue) == 0)
			n++;
	}
	return n;
}

void
sched_each_pending_job(const struct scheduler *sched,
    void (*each)(void *arg, const char *queue), void *arg)
{
	const struct sched_job *job;

	TAILQ_FOREACH (job, &sched->jobs, entry) {
		if (job->stored && !job->ended && !job->has_started)
			each(arg, job->queue.name);
	}
}
