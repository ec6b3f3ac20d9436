/*
 * Submission of stored jobs to the scheduler. A job has one or more
 * occurrences, each due at a time of the wall clock. The scheduler runs each
 * occurrence as a separate job.
 */

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/job_json.h"
#include "entry/jobs/job_store_internal.h"

/* Practically unlimited, as no caller waits for a stored job. */
#define JSTORE_JOB_TIMEOUT_MS 1000000000

/* Scheduler callback: the occurrence has ended, or was discarded unfinished. */
static void
jstore_occurrence_ended(void *arg, const struct sched_reply *reply)
{
	struct jstore_occurrence *occurrence = arg;
	struct jstore_job *job = occurrence->job;

	occurrence->submitted = false;
	if (reply->result == SCHED_COMPLETED) {
		occurrence->ended = true;
		if (++job->nended == job->noccurrences)
			(void)jstore_end_job(job, JREC_COMPLETED);
	} else if (reply->result == SCHED_FAILED ||
	    reply->result == SCHED_UNSUPPORTED) {
		jstore_stop_job(job);
		(void)jstore_end_job(job, JREC_FAILED);
	}
}

static uint64_t
jstore_due_ms(const struct jstore_job *job, uint32_t index)
{
	return job->start_at_ms + (uint64_t)index * job->interval_ms;
}

static void
jstore_run_occurrence(struct jstore_job *job, uint32_t index, bool resubmitted)
{
	uint64_t wall_ms = clock_wall_ms(job->store->clock);
	uint64_t due_ms = jstore_due_ms(job, index);
	struct sched_request request = { .queue = job->record.queue,
		.occurrence = index,
		.resubmitted = resubmitted,
		/* A former holder that is cut off, or whose wall clock is
		 * ahead, may have started it. */
		.wait_for_leases = job->read_back,
		.stored = true,
		.timeout_ms = JSTORE_JOB_TIMEOUT_MS };
	uint32_t first = index * job->occurrence_ntasks;
	struct err err;

	if (job->start_at_ms != 0 && due_ms < wall_ms)
		request.age_ms = (uint32_t)(wall_ms - due_ms);
	/* The body was parsed before: this fails only when out of memory. */
	if (job_parse(&request.spec, job->id, job->record.body,
		job->record.body_len, &err) == -1)
		abort();
	request.done = job->record.done + first;
	request.failures = job->record.nfailures + first;
	request.last_failed_run_ids = job->record.last_failed_runs + first;
	job->occurrences[index].submitted = true;
	sched_submit(job->store->sched, &request, jstore_occurrence_ended,
	    &job->occurrences[index]);
}

/* Whether all tasks of an occurrence succeeded under a former lease holder. */
static bool
jstore_all_tasks_done(const struct jstore_job *job, uint32_t index)
{
	uint32_t i, first = index * job->occurrence_ntasks;

	for (i = 0; i < job->occurrence_ntasks; i++) {
		if (job->record.done[first + i] == 0)
			return false;
	}
	return true;
}

static void
jstore_unschedule(struct jstore_job *job)
{
	if (!job->scheduled)
		return;
	job->scheduled = false;
	TAILQ_REMOVE(&job->store->due, job, due_entry);
}

static void
jstore_submit_next(struct jstore_job *job, bool resubmitted)
{
	uint32_t index = job->nsubmitted++;

	if (job->noccurrences > 1 && jstore_all_tasks_done(job, index)) {
		job->occurrences[index].ended = true;
		if (++job->nended == job->noccurrences)
			(void)jstore_end_job(job, JREC_COMPLETED);
	} else {
		jstore_run_occurrence(job, index, resubmitted);
	}
	if (job->record.state != JREC_ACCEPTED ||
	    job->nsubmitted == job->noccurrences)
		jstore_unschedule(job);
}

/* Submits the occurrences that are due. */
static void
jstore_submit_occurrences(struct jstore_job *job, bool resubmitted)
{
	uint64_t wall_ms = clock_wall_ms(job->store->clock);

	while (job->scheduled && jstore_due_ms(job, job->nsubmitted) <= wall_ms)
		jstore_submit_next(job, resubmitted);
}

void
jstore_submit_occurrence(void *arg, const char *id, uint32_t occurrence)
{
	struct jstore_job *job = jstore_find_job(arg, id);

	if (job == NULL || occurrence >= job->noccurrences)
		return;
	while (job->scheduled && job->nsubmitted <= occurrence)
		jstore_submit_next(job, true);
}

void
jstore_start_job(struct jstore_job *job)
{
	struct job_spec spec;
	struct err err;

	if (job_parse(&spec, job->id, job->record.body, job->record.body_len,
		&err) == -1) {
		log_event(LOG_LEVEL_ERROR, "stored-job-malformed",
		    "id=%s reason=\"%s\"", job->id, err.message);
		(void)jstore_end_job(job, JREC_FAILED);
		return;
	}
	if (spec.max_runs * spec.ntasks != job->record.ntasks) {
		log_event(LOG_LEVEL_ERROR, "stored-job-malformed",
		    "id=%s reason=\"job has %u tasks, its record has %u\"",
		    job->id, spec.max_runs * spec.ntasks, job->record.ntasks);
		job_spec_release(&spec);
		(void)jstore_end_job(job, JREC_FAILED);
		return;
	}
	job->noccurrences = spec.max_runs;
	job->occurrence_ntasks = spec.ntasks;
	job->start_at_ms = spec.start_at_ms;
	job->interval_ms = spec.interval_ms;
	job_spec_release(&spec);
	job->occurrences =
	    mem_zalloc(job->noccurrences, sizeof(*job->occurrences));
	for (uint32_t i = 0; i < job->noccurrences; i++)
		job->occurrences[i].job = job;
	job->scheduled = true;
	TAILQ_INSERT_TAIL(&job->store->due, job, due_entry);
	jstore_submit_occurrences(job, job->read_back);
}

void
jstore_stop_job(struct jstore_job *job)
{
	uint32_t i;

	jstore_unschedule(job);
	for (i = 0; i < job->noccurrences; i++) {
		if (!job->occurrences[i].submitted)
			continue;
		job->occurrences[i].submitted = false;
		sched_cancel(job->store->sched, job->id, &job->occurrences[i]);
	}
}

void
jstore_submit_due(evutil_socket_t fd, short what, void *arg)
{
	struct job_store *store = arg;
	struct jstore_job *job, *next;

	(void)fd;
	(void)what;
	TAILQ_FOREACH_SAFE (job, &store->due, due_entry, next) {
		jstore_submit_occurrences(job, false);
	}
}
