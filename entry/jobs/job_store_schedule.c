/*
 * Running stored jobs. The steps of a job may run several max_runs, each when
 * it is due by the wall clock; the holder has each occurrence as a job of its
 * own.
 */

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/job_json.h"
#include "entry/jobs/job_store_internal.h"

#define KPR_PATIENCE_MS 1000000000 /* nobody waits for a stored job */

/* The holder's answer: this occurrence has ended, or the holder has let it go.
 */
static void
kpr_time_ended(void *arg, const struct sched_reply *reply)
{
	struct kpr_time *time = arg;
	struct kpr_job *job = time->job;

	time->running = false;
	if (reply->result == SCHED_COMPLETED) {
		time->ended = true;
		if (++job->nended == job->ntimes)
			(void)kpr_end(job, RECORD_COMPLETED);
	} else if (reply->result == SCHED_FAILED ||
	    reply->result == SCHED_UNSUPPORTED) {
		kpr_stop(job);
		(void)kpr_end(job, RECORD_FAILED);
	}
}

static uint64_t
kpr_due_ms(const struct kpr_job *job, uint32_t time)
{
	return job->start_at_ms + (uint64_t)time * job->interval_ms;
}

static void
kpr_submit(struct kpr_job *job, uint32_t time, bool resubmitted)
{
	struct sched_request request = { .queue = job->record.queue,
		.occurrence = time,
		.resubmitted = resubmitted,
		.stored = true,
		.timeout_ms = KPR_PATIENCE_MS };
	uint32_t first = time * job->time_ntasks;
	struct err err;

	if (job->start_at_ms != 0)
		request.age_ms = (uint32_t)(clock_wall_ms(job->keeper->clock) -
		    kpr_due_ms(job, time));
	/* It was read before; only a lack of memory could make this fail. */
	if (job_parse(&request.spec, job->id, job->record.body,
		job->record.body_len, &err) == -1)
		abort();
	request.done = job->record.done + first;
	request.fails = job->record.fails + first;
	request.failed_runs = job->record.failed_runs + first;
	job->times[time].running = true;
	sched_submit(job->keeper->holder, &request, kpr_time_ended,
	    &job->times[time]);
}

/* Did all tasks of this occurrence end well before this host took over? */
static bool
kpr_time_done(const struct kpr_job *job, uint32_t time)
{
	uint32_t i, first = time * job->time_ntasks;

	for (i = 0; i < job->time_ntasks; i++) {
		if (job->record.done[first + i] == 0)
			return false;
	}
	return true;
}

/* Submits the max_runs that are due. Return: true if none is left. */
static bool
kpr_submit_times(struct kpr_job *job, bool resubmitted)
{
	uint64_t wall_ms = clock_wall_ms(job->keeper->clock);
	uint32_t time;

	while (job->record.state == RECORD_ACCEPTED &&
	    job->nsubmitted < job->ntimes &&
	    kpr_due_ms(job, job->nsubmitted) <= wall_ms) {
		time = job->nsubmitted++;
		if (job->ntimes > 1 && kpr_time_done(job, time)) {
			job->times[time].ended = true;
			if (++job->nended == job->ntimes)
				(void)kpr_end(job, RECORD_COMPLETED);
			continue;
		}
		kpr_submit(job, time, resubmitted);
	}
	return job->record.state != RECORD_ACCEPTED ||
	    job->nsubmitted == job->ntimes;
}

static void
kpr_unschedule(struct kpr_job *job)
{
	if (!job->scheduled)
		return;
	job->scheduled = false;
	TAILQ_REMOVE(&job->keeper->due, job, due);
}

void
kpr_start(struct kpr_job *job, bool resubmitted)
{
	struct job_spec spec;
	struct err err;

	if (job_parse(&spec, job->id, job->record.body, job->record.body_len,
		&err) == -1) {
		log_event(LOG_LEVEL_ERROR, "stored-job-unreadable",
		    "id=%s reason=\"%s\"", job->id, err.message);
		(void)kpr_end(job, RECORD_FAILED);
		return;
	}
	if (spec.max_runs * spec.ntasks != job->record.ntasks) {
		log_event(LOG_LEVEL_ERROR, "stored-job-unreadable",
		    "id=%s reason=\"%u tasks, %u in its record\"", job->id,
		    spec.max_runs * spec.ntasks, job->record.ntasks);
		job_spec_release(&spec);
		(void)kpr_end(job, RECORD_FAILED);
		return;
	}
	job->ntimes = spec.max_runs;
	job->time_ntasks = spec.ntasks;
	job->start_at_ms = spec.start_at_ms;
	job->interval_ms = spec.interval_ms;
	job_spec_release(&spec);
	job->times = mem_zalloc(job->ntimes, sizeof(*job->times));
	for (uint32_t i = 0; i < job->ntimes; i++)
		job->times[i].job = job;
	job->scheduled = true;
	TAILQ_INSERT_TAIL(&job->keeper->due, job, due);
	if (kpr_submit_times(job, resubmitted))
		kpr_unschedule(job);
}

void
kpr_stop(struct kpr_job *job)
{
	uint32_t i;

	kpr_unschedule(job);
	for (i = 0; i < job->ntimes; i++) {
		if (!job->times[i].running)
			continue;
		job->times[i].running = false;
		sched_cancel(job->keeper->holder, job->id, &job->times[i]);
	}
}

void
kpr_submit_due(evutil_socket_t fd, short what, void *arg)
{
	struct keeper *keeper = arg;
	struct kpr_job *job, *next;

	(void)fd;
	(void)what;
	TAILQ_FOREACH_SAFE (job, &keeper->due, due, next) {
		if (kpr_submit_times(job, false))
			kpr_unschedule(job);
	}
}
