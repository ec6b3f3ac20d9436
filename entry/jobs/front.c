/*
 * Jobs of this host's own callers. A job that a holder may have started is
 * brought to the next holder as a resubmission; one that no holder takes is
 * refused soon, as "not run" only while that is certain.
 */

#include <event2/event.h>
#include <inttypes.h>
#include <sys/queue.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/histogram.h"
#include "core/mem.h"
#include "entry/jobs/front.h"
#include "entry/jobs/zone.h"

#define FRT_US_PER_MS UINT64_C(1000)
#define FRT_RETRY_MS 20		/* before the next holder is tried */
#define FRT_HOLDERLESS_MS 600	/* a take-over is done by then, or not soon */
#define FRT_PATIENCE_MS 30000	/* of a caller that does not say */
#define FRT_RETRY_AFTER_MS 1000 /* while nobody holds the servers */

static const uint64_t frt_bounds[] = { 50, 100, 150, 200, 300, 400, 600, 800,
	1000, 1500, 2000, 4000 };
static struct histogram frt_latency = {
	.name = "berylrail_work_answer_seconds",
	.help = "Time from a job's arrival to its answer.",
	.bounds = frt_bounds,
	.nbounds = sizeof(frt_bounds) / sizeof(frt_bounds[0]),
	.unit = 1e-3,
};
static struct counter frt_resent = {
	.name = "berylrail_work_jobs_resent_total",
	.help = "Jobs brought to another holder than the first.",
};

static struct counter frt_overflowed = {
	.name = "berylrail_work_jobs_overflowed_total",
	.help = "Jobs brought to another zone's holder.",
};

/* Answers to callers, by outcome. */
static struct counter frt_answers[] = {
#define FRT_ANSWERS(result, label)                                 \
	[result] = {                                               \
		.name = "berylrail_work_answers_total",            \
		.labels = "outcome=\"" label "\"",                 \
		.help = "Answers to callers of jobs, by outcome.", \
	}
	FRT_ANSWERS(FRONT_COMPLETED, "completed"),
	FRT_ANSWERS(FRONT_ACCEPTED, "accepted"),
	FRT_ANSWERS(FRONT_FAILED, "failed"),
	FRT_ANSWERS(FRONT_NOT_RUN, "not-run"),
	FRT_ANSWERS(FRONT_UNKNOWN, "outcome-unknown"),
	FRT_ANSWERS(FRONT_INVALID, "invalid"),
};

struct frt_try;

struct frt_job {
	struct front *front;
	char id[JOB_ID_LEN + 1];
	struct job_queue queue;
	char *body;
	size_t body_len;
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t unheld_us; /* since then no holder took it; 0: one did */
	uint64_t nonce;
	char holder[NAME_SIZE];	 /* that it was brought to last */
	bool overflowed;	 /* to another zone */
	uint32_t tries;		 /* that are not over */
	struct frt_try *current; /* that counts; NULL: no holder has it */
	bool started;		 /* a holder may have started some of it */
	bool answered;
	struct event *timer;
	front_done_fn done;
	void *arg;
	TAILQ_ENTRY(frt_job) entry;
};

/* One bringing of a job to a holder; one that was given up still ends. */
struct frt_try {
	struct frt_job *job;
};

struct front {
	struct event_base *base;
	struct clock *clock;
	struct zone *zone;
	uint64_t next_nonce;
	bool refusing;
	size_t npending;
	TAILQ_HEAD(, frt_job) jobs;
};

/* Frees a job that is over, once its last try has ended. */
static void
frt_job_free(struct frt_job *job)
{
	if (job->tries > 0)
		return;
	TAILQ_REMOVE(&job->front->jobs, job, entry);
	if (job->timer != NULL)
		event_free(job->timer);
	free(job->body);
	free(job);
}

static void
frt_timer(struct frt_job *job, uint64_t due_us)
{
	uint64_t now_us = clock_now_us(job->front->clock);
	uint64_t in_us = due_us > now_us ? due_us - now_us : 0;
	struct timeval tv = { .tv_sec = (time_t)(in_us / 1000000),
		.tv_usec = (suseconds_t)(in_us % 1000000) };

	(void)event_add(job->timer, &tv);
}

static const char *const frt_result_names[] = {
	[FRONT_COMPLETED] = "completed",
	[FRONT_ACCEPTED] = "accepted",
	[FRONT_FAILED] = "failed",
	[FRONT_NOT_RUN] = "not-run",
	[FRONT_UNKNOWN] = "outcome-unknown",
	[FRONT_INVALID] = "invalid",
};

/* Answers the caller; the job stays while a holder has it. */
static void
frt_answer(struct frt_job *job, enum front_result result,
    uint32_t retry_after_ms, const char *reason)
{
	const struct front_reply reply = { .result = result,
		.retry_after_ms = retry_after_ms,
		.reason = reason };
	uint64_t age_us = clock_now_us(job->front->clock) - job->arrived_us;
	front_done_fn done = job->done;

	if (job->answered)
		return;
	job->answered = true;
	job->front->npending--;
	(void)event_del(job->timer);
	hist_add(&frt_latency, age_us / FRT_US_PER_MS);
	ctr_inc(&frt_answers[result]);
	log_event(LOG_LEVEL_INFO, "answer",
	    "id=%s queue=%s outcome=%s reason=\"%s\" age_ms=%" PRIu64, job->id,
	    job->queue.name, frt_result_names[result], reason,
	    age_us / FRT_US_PER_MS);
	if (done != NULL)
		done(job->arg, &reply);
}

static void frt_send(struct frt_job *job);

/* No holder has the job now: try again soon, or give it up. */
static void
frt_unheld(struct frt_job *job, const char *why)
{
	uint64_t now_us = clock_now_us(job->front->clock);

	if (job->unheld_us == 0)
		job->unheld_us = now_us;
	if (now_us - job->unheld_us < FRT_HOLDERLESS_MS * FRT_US_PER_MS &&
	    now_us + FRT_RETRY_MS * FRT_US_PER_MS < job->deadline_us) {
		frt_timer(job, now_us + FRT_RETRY_MS * FRT_US_PER_MS);
		return;
	}
	if (job->started)
		frt_answer(job, FRONT_UNKNOWN, 0, why);
	else
		frt_answer(job, FRONT_NOT_RUN, FRT_RETRY_AFTER_MS, why);
	frt_job_free(job);
}

static void
frt_finish(struct frt_job *job, const struct sched_reply *reply)
{
	switch (reply->result) {
	case SCHED_COMPLETED:
		frt_answer(job, FRONT_COMPLETED, 0, reply->reason);
		break;
	case SCHED_ACCEPTED:
		frt_answer(job, FRONT_ACCEPTED, 0, reply->reason);
		break;
	case SCHED_FAILED:
		frt_answer(job, FRONT_FAILED, 0, reply->reason);
		break;
	case SCHED_NOT_RUN:
		frt_answer(job, job->started ? FRONT_UNKNOWN : FRONT_NOT_RUN,
		    reply->retry_after_ms, reply->reason);
		break;
	case SCHED_UNSUPPORTED:
		frt_answer(job, FRONT_INVALID, 0, reply->reason);
		break;
	case SCHED_OUTCOME_UNKNOWN:
	case SCHED_NOT_HOLDER:
		frt_answer(job, FRONT_UNKNOWN, 0, reply->reason);
		break;
	}
	frt_job_free(job);
}

/* Takes a job that its zone refused to another zone, once. */
static bool
frt_overflow(struct frt_job *job, const struct sched_reply *reply)
{
	const char *far = zone_overflow(job->front->zone);

	if (reply->result != SCHED_NOT_RUN || job->started || job->overflowed ||
	    far == NULL)
		return false;
	job->overflowed = true;
	ctr_inc(&frt_overflowed);
	log_event(LOG_LEVEL_INFO, "job-overflow",
	    "id=%s from=%s to=%s reason=\"%s\"", job->id, job->holder, far,
	    reply->reason);
	frt_send(job);
	return true;
}

/* The holder that had the job has it no more, and gave no answer. */
static void
frt_lost(struct frt_job *job, enum zone_outcome outcome)
{
	if (outcome != ZONE_NOT_SENT)
		job->started = true;
	log_event(LOG_LEVEL_INFO, "job-unheld", "id=%s holder=%s cause=%s",
	    job->id, job->holder,
	    outcome == ZONE_LOST	   ? "holder-lost"
		: outcome == ZONE_NOT_SENT ? "no-holder"
					   : "moved");
	ctr_inc(&frt_resent);
	if (job->overflowed && job->started) {
		/* Only that zone knows of its runs; they end with its leases.
		 */
		frt_answer(job, FRONT_UNKNOWN, 0, "the other zone was lost");
		frt_job_free(job);
		return;
	}
	frt_unheld(job, "nobody holds the servers");
}

static void
frt_done(void *arg, enum zone_outcome outcome, const struct sched_reply *reply)
{
	struct frt_try *try = arg;
	struct frt_job *job = try->job;
	bool moved =
	    outcome == ZONE_ANSWERED && reply->result == SCHED_NOT_HOLDER;
	bool whole = outcome == ZONE_ANSWERED &&
	    (reply->result == SCHED_COMPLETED ||
		reply->result == SCHED_ACCEPTED);
	bool counts = job->current == try;

	free(try);
	job->tries--;
	if (counts)
		job->current = NULL;
	if (job->answered)
		frt_job_free(job);
	else if (!counts && !whole)
		return;
	else if (outcome != ZONE_ANSWERED || moved)
		frt_lost(job, outcome);
	else if (!frt_overflow(job, reply))
		frt_finish(job, reply);
}

static void
frt_send(struct frt_job *job)
{
	uint64_t now_us = clock_now_us(job->front->clock);
	const char *far = zone_overflow(job->front->zone);
	const struct zone_job zjob = {
		.id = job->id,
		.queue = &job->queue,
		.body = job->body,
		.body_len = job->body_len,
		.age_ms =
		    (uint32_t)((now_us - job->arrived_us) / FRT_US_PER_MS),
		.patience_ms =
		    (uint32_t)((job->deadline_us - now_us) / FRT_US_PER_MS),
		.resubmitted = job->started,
		.may_refuse = !job->overflowed && far != NULL,
		.nonce = job->nonce,
	};
	const char *holder = zone_holder(job->front->zone);

	struct frt_try *try;

	if (job->overflowed && far != NULL)
		holder = far;
	if (holder == NULL) {
		frt_unheld(job, "nobody holds the servers");
		return;
	}
	strlcpy(job->holder, holder, sizeof(job->holder));
	job->current = try = mem_zalloc(1, sizeof(*try));
	try->job = job;
	job->tries++;
	frt_timer(job, job->deadline_us);
	zone_submit(job->front->zone, job->holder, &zjob, frt_done, try);
}

static void
frt_due(evutil_socket_t fd, short what, void *arg)
{
	struct frt_job *job = arg;

	(void)fd;
	(void)what;
	if (job->current == NULL) {
		frt_send(job);
		return;
	}
	frt_answer(job, FRONT_UNKNOWN, 0, "the caller's deadline has passed");
	zone_cancel(job->front->zone, job->holder, job->id, job->nonce);
}

void
front_submit(struct front *front, const struct front_job *request,
    front_done_fn done, void *arg)
{
	uint32_t patience_ms =
	    request->patience_ms == 0 ? FRT_PATIENCE_MS : request->patience_ms;
	struct frt_job *job = mem_zalloc(1, sizeof(*job));

	job->front = front;
	strlcpy(job->id, request->id, sizeof(job->id));
	job->queue = *request->queue;
	job->body = mem_strndup(request->body, request->body_len);
	job->body_len = request->body_len;
	job->arrived_us = clock_now_us(front->clock);
	job->deadline_us = job->arrived_us + patience_ms * FRT_US_PER_MS;
	job->nonce = front->next_nonce++;
	job->done = done;
	job->arg = arg;
	job->timer = evtimer_new(front->base, frt_due, job);
	if (job->timer == NULL)
		abort();
	TAILQ_INSERT_TAIL(&front->jobs, job, entry);
	front->npending++;
	log_event(LOG_LEVEL_INFO, "accept",
	    "id=%s queue=%s priority=%" PRIu32
	    " bytes=%zu patience_ms=%" PRIu32,
	    job->id, job->queue.name, job->queue.priority, job->body_len,
	    patience_ms);
	if (front->refusing) {
		frt_answer(job, FRONT_NOT_RUN, FRT_RETRY_AFTER_MS,
		    "this host is stopping");
		frt_job_free(job);
		return;
	}
	frt_send(job);
}

void
front_holder_changed(struct front *front, const char *holder)
{
	struct frt_job *job, *next;

	TAILQ_FOREACH_SAFE (job, &front->jobs, entry, next) {
		if (job->answered || job->current == NULL || job->overflowed ||
		    strcmp(job->holder, holder) == 0)
			continue;
		job->current = NULL;
		job->started = true;
		log_event(LOG_LEVEL_INFO, "job-unheld",
		    "id=%s holder=%s cause=taken-over next=%s", job->id,
		    job->holder, holder);
		ctr_inc(&frt_resent);
		frt_send(job);
	}
}

void
front_refuse(struct front *front)
{
	front->refusing = true;
}

void
front_give_up(struct front *front)
{
	struct frt_job *job, *next;

	TAILQ_FOREACH_SAFE (job, &front->jobs, entry, next) {
		if (job->answered)
			continue;
		frt_answer(job, FRONT_UNKNOWN, 0, "this host is stopping");
		if (job->current != NULL)
			zone_cancel(front->zone, job->holder, job->id,
			    job->nonce);
		else
			frt_job_free(job);
	}
}

void
front_abandon(struct front *front, void *arg)
{
	struct frt_job *job;

	TAILQ_FOREACH (job, &front->jobs, entry) {
		if (!job->answered && job->arg == arg)
			break;
	}
	if (job == NULL)
		return;
	job->done = NULL;
	frt_answer(job, FRONT_UNKNOWN, 0, "the caller has left");
	if (job->current != NULL)
		zone_cancel(front->zone, job->holder, job->id, job->nonce);
	else
		frt_job_free(job);
}

size_t
front_pending(const struct front *front)
{
	return front->npending;
}

struct front *
front_create(struct event_base *base, struct clock *clock, struct zone *zone)
{
	struct front *front = mem_zalloc(1, sizeof(*front));

	front->base = base;
	front->clock = clock;
	front->zone = zone;
	front->next_nonce = 1;
	TAILQ_INIT(&front->jobs);
	return front;
}

void
front_destroy(struct front *front)
{
	struct frt_job *job, *next;

	TAILQ_FOREACH_SAFE (job, &front->jobs, entry, next) {
		job->tries = 0;
		frt_job_free(job);
	}
	free(front);
}
