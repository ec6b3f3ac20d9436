/*
 * Jobs of this host's own callers. A job that a holder may have started is
 * submitted to the next holder as a resubmission. A job that no holder receives
 * is refused after a short wait; the answer is "not run" only if it is certain
 * that no task has run.
 */

#include <event2/event.h>
#include <inttypes.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/histogram.h"
#include "core/mem.h"
#include "entry/jobs/job_gateway_internal.h"
#include "entry/jobs/job_json.h"

#define GW_RETRY_MS 20 /* delay before a job is resubmitted */
/* A failover that takes longer is not expected to complete soon. */
#define GW_HOLDER_WAIT_MS 600
#define GW_DEFAULT_TIMEOUT_MS 30000 /* of callers that set no deadline */
#define GW_RETRY_AFTER_MS 1000	    /* while there is no holder */
/* No iteration of the event loop takes this long: what is read after it waited
 * while the process was paused. */
#define GW_PAUSE_MIN_MS 300
/* Its caller sends a best-effort job again 1.3 s after it has lost the
 * connection. By then the holders of other zones know of a job that has waited
 * in a pause which is not longer. */
#define GW_PAUSE_MAX_MS 500

static const uint64_t gw_latency_bounds_ms[] = { 50, 100, 150, 200, 300, 400,
	600, 800, 1000, 1500, 2000, 4000 };
static struct histogram gw_answer_latency = {
	.name = "berylrail_work_answer_seconds",
	.help = "Time from a job's arrival to its answer.",
	.bounds = gw_latency_bounds_ms,
	.nbounds =
	    sizeof(gw_latency_bounds_ms) / sizeof(gw_latency_bounds_ms[0]),
	.unit = 1e-3,
};
static struct counter gw_resent = {
	.name = "berylrail_work_jobs_resent_total",
	.help = "Jobs resubmitted after their holder was lost or replaced.",
};

static struct counter gw_overflowed = {
	.name = "berylrail_work_jobs_overflowed_total",
	.help = "Jobs submitted to the holder of another availability zone.",
};

static struct counter gw_answers[] = {
#define GW_ANSWERS(result, label)                                  \
	[result] = {                                               \
		.name = "berylrail_work_answers_total",            \
		.labels = "outcome=\"" label "\"",                 \
		.help = "Answers to callers of jobs, by outcome.", \
	}
	GW_ANSWERS(GW_COMPLETED, "completed"),
	GW_ANSWERS(GW_ACCEPTED, "accepted"),
	GW_ANSWERS(GW_FAILED, "failed"),
	GW_ANSWERS(GW_NOT_RUN, "not-run"),
	GW_ANSWERS(GW_UNKNOWN, "outcome-unknown"),
	GW_ANSWERS(GW_INVALID, "invalid"),
};

void
gw_job_free(struct gw_job *job)
{
	TAILQ_REMOVE(&job->gateway->jobs, job, entry);
	if (job->timer != NULL)
		event_free(job->timer);
	free(job->body);
	free(job);
}

static void
gw_set_timer(struct gw_job *job, uint64_t due_us)
{
	uint64_t now_us = clock_now_us(job->gateway->clock);
	uint64_t delay_us = due_us > now_us ? due_us - now_us : 0;
	struct timeval tv = { .tv_sec = (time_t)(delay_us / 1000000),
		.tv_usec = (suseconds_t)(delay_us % 1000000) };

	(void)event_add(job->timer, &tv);
}

static const char *const gw_result_names[] = {
	[GW_COMPLETED] = "completed",
	[GW_ACCEPTED] = "accepted",
	[GW_FAILED] = "failed",
	[GW_NOT_RUN] = "not-run",
	[GW_UNKNOWN] = "outcome-unknown",
	[GW_INVALID] = "invalid",
};

/* Another submission of a stored job joins the first one. One of a best-effort
 * job is a new job, whose tasks may run beside those of the first one. */
bool
gw_job_is_best_effort(struct gw_job *job)
{
	struct job_spec spec = { 0 };
	struct err err;

	if (job->kind != GW_KIND_UNKNOWN)
		return job->kind == GW_KIND_BEST_EFFORT;
	job->kind = GW_KIND_STORED;
	if (job_parse(&spec, job->id, job->body, job->body_len, &err) == -1)
		return false;
	if (spec.best_effort)
		job->kind = GW_KIND_BEST_EFFORT;
	job_spec_release(&spec);
	return job->kind == GW_KIND_BEST_EFFORT;
}

/* Frees an answered job, if all its attempts have ended. One of which a run may
 * last is kept for gw_list_waiting(). */
static void
gw_job_release(struct gw_job *job)
{
	if (TAILQ_EMPTY(&job->attempts) && !gw_job_may_run(job))
		gw_job_free(job);
}

/* Answers the caller. The job is freed later, when its attempts have ended. */
static void
gw_answer(struct gw_job *job, enum gw_result result, uint32_t retry_after_ms,
    const char *reason)
{
	const struct gw_reply reply = { .result = result,
		.may_run = result == GW_UNKNOWN && gw_job_is_best_effort(job),
		.retry_after_ms = retry_after_ms,
		.reason = reason };
	uint64_t age_us = clock_now_us(job->gateway->clock) - job->arrived_us;
	gw_done_fn done = job->done;

	if (job->answered)
		return;
	job->answered = true;
	job->result = result;
	job->lost_us = cells_unread_since_us(job->gateway->cells);
	job->gateway->npending--;
	if (result == GW_NOT_RUN && job->reported)
		gw_waiting_ended(job);
	(void)event_del(job->timer);
	hist_add(&gw_answer_latency, age_us / GW_US_PER_MS);
	ctr_inc(&gw_answers[result]);
	log_event(LOG_LEVEL_INFO, "answer",
	    "id=%s queue=%s outcome=%s reason=\"%s\" age_ms=%" PRIu64
	    " config=%" PRIu64 " may_run=%d",
	    job->id, job->queue.name, gw_result_names[result], reason,
	    age_us / GW_US_PER_MS, job->queue.config_version,
	    reply.may_run ? 1 : 0);
	if (done != NULL)
		done(job->arg, &reply);
}

/* Cancels all attempts of an answered job, also those at former holders, which
 * may not know that they were replaced; frees it once they have ended. */
static void
gw_job_end(struct gw_job *job)
{
	struct gw_attempt *attempt, *next;

	/* A local attempt ends in the call, and with the last one the job. */
	if (TAILQ_EMPTY(&job->attempts)) {
		gw_job_release(job);
		return;
	}
	for (attempt = TAILQ_FIRST(&job->attempts); attempt != NULL;
	     attempt = next) {
		next = TAILQ_NEXT(attempt, entry);
		cells_cancel(job->gateway->cells, attempt->holder, job->id,
		    job->nonce);
	}
}

static void gw_send(struct gw_job *job);

/* No holder has the job: schedules a retry, or answers the caller when the wait
 * for a holder or the caller's deadline is over. */
static void
gw_retry_or_answer(struct gw_job *job, const char *cause)
{
	uint64_t now_us = clock_now_us(job->gateway->clock);

	if (job->unassigned_us == 0)
		job->unassigned_us = now_us;
	if (now_us - job->unassigned_us < GW_HOLDER_WAIT_MS * GW_US_PER_MS &&
	    now_us + GW_RETRY_MS * GW_US_PER_MS < job->deadline_us) {
		gw_set_timer(job, now_us + GW_RETRY_MS * GW_US_PER_MS);
		return;
	}
	if (job->may_have_started)
		gw_answer(job, GW_UNKNOWN, 0, cause);
	else
		gw_answer(job, GW_NOT_RUN, GW_RETRY_AFTER_MS, cause);
	gw_job_end(job);
}

static void
gw_finish(struct gw_job *job, const struct sched_reply *reply)
{
	switch (reply->result) {
	case SCHED_COMPLETED:
		gw_answer(job, GW_COMPLETED, 0, reply->reason);
		break;
	case SCHED_ACCEPTED:
		gw_answer(job, GW_ACCEPTED, 0, reply->reason);
		break;
	case SCHED_FAILED:
		gw_answer(job, GW_FAILED, 0, reply->reason);
		break;
	case SCHED_NOT_RUN:
		gw_answer(job, job->may_have_started ? GW_UNKNOWN : GW_NOT_RUN,
		    reply->retry_after_ms, reply->reason);
		break;
	case SCHED_UNSUPPORTED:
		gw_answer(job, GW_INVALID, 0, reply->reason);
		break;
	case SCHED_OUTCOME_UNKNOWN:
	case SCHED_NOT_HOLDER:
		gw_answer(job, GW_UNKNOWN, 0, reply->reason);
		break;
	}
	gw_job_end(job);
}

/* Submits a job that the local cell refused to a remote cell, at most once. */
static bool
gw_try_overflow(struct gw_job *job, const struct sched_reply *reply,
    const struct cells_overflow *overflow)
{
	if (reply->result != SCHED_NOT_RUN || job->may_have_started ||
	    job->overflowed || overflow->holder[0] == '\0')
		return false;
	job->overflowed = true;
	job->overflow = *overflow;
	ctr_inc(&gw_overflowed);
	log_event(LOG_LEVEL_INFO, "job-overflow",
	    "id=%s from=%s to=%s reason=\"%s\"", job->id, job->holder,
	    overflow->holder, reply->reason);
	gw_send(job);
	return true;
}

/* Ends the job's current attempt. If it lasted longer than a wait for a holder,
 * the next wait is a new one; a holder that fails all jobs at once is not tried
 * until the deadline. */
static void
gw_end_attempt(struct gw_job *job)
{
	uint64_t now_us = clock_now_us(job->gateway->clock);

	if (now_us - job->current->sent_us > GW_HOLDER_WAIT_MS * GW_US_PER_MS)
		job->unassigned_us = 0;
	job->current = NULL;
}

/* Processes the end of an attempt that gave no result: the holder was lost, was
 * not reached, or is no longer the holder. */
static void
gw_holder_lost(struct gw_job *job, enum cells_outcome outcome)
{
	if (outcome != CELLS_NOT_ACCEPTED)
		job->may_have_started = true;
	else
		job->overflow.holder[0] = '\0';
	log_event(LOG_LEVEL_INFO, "job-unassigned",
	    "id=%s holder=%s cause=%s may_have_started=%d", job->id,
	    job->holder,
	    outcome == CELLS_LOST		? "holder-lost"
		: outcome == CELLS_NOT_ACCEPTED ? "no-holder"
						: "moved",
	    job->may_have_started ? 1 : 0);
	ctr_inc(&gw_resent);
	if (job->overflow.holder[0] != '\0' && job->may_have_started) {
		/* Only the remote cell has the state of the job's runs, which
		 * end when their leases expire. The job can't be resubmitted
		 * to another cell. */
		gw_answer(job, GW_UNKNOWN, 0, "the remote holder was lost");
		gw_job_end(job);
		return;
	}
	gw_retry_or_answer(job, "the availability zone has no lease holder");
}

static void
gw_attempt_done(void *arg, enum cells_outcome outcome,
    const struct sched_reply *reply, const struct cells_overflow *overflow)
{
	struct gw_attempt *attempt = arg;
	struct gw_job *job = attempt->job;
	bool not_holder =
	    outcome == CELLS_REPLIED && reply->result == SCHED_NOT_HOLDER;
	bool succeeded = outcome == CELLS_REPLIED &&
	    (reply->result == SCHED_COMPLETED ||
		reply->result == SCHED_ACCEPTED);
	bool is_current = job->current == attempt;

	job->holder_lost |= outcome == CELLS_LOST;
	if (is_current)
		gw_end_attempt(job);
	TAILQ_REMOVE(&job->attempts, attempt, entry);
	free(attempt);
	if (job->answered)
		gw_job_release(job);
	else if (!is_current && !succeeded)
		return;
	else if (outcome != CELLS_REPLIED || not_holder)
		gw_holder_lost(job, outcome);
	else if (!gw_try_overflow(job, reply, overflow))
		gw_finish(job, reply);
}

static void
gw_send(struct gw_job *job)
{
	uint64_t now_us = clock_now_us(job->gateway->clock);
	const struct cells_job submission = {
		.id = job->id,
		.queue = &job->queue,
		.body = job->body,
		.body_len = job->body_len,
		.age_ms = (uint32_t)((now_us - job->arrived_us) / GW_US_PER_MS),
		.timeout_ms =
		    (uint32_t)((job->deadline_us - now_us) / GW_US_PER_MS),
		.resubmitted = job->may_have_started,
		.may_refuse = !job->overflowed,
		.nonce = job->nonce,
		.holder_replied_at = job->overflow.holder[0] != '\0'
		    ? job->overflow.replied_at
		    : 0,
	};
	const char *holder = cells_holder(job->gateway->cells);

	struct gw_attempt *attempt;

	/* The process may have been paused. */
	if (now_us >= job->deadline_us) {
		gw_retry_or_answer(job, "the caller's deadline has passed");
		return;
	}
	if (job->overflow.holder[0] != '\0')
		holder = job->overflow.holder;
	if (holder == NULL) {
		gw_retry_or_answer(job,
		    "the availability zone has no lease holder");
		return;
	}
	strlcpy(job->holder, holder, sizeof(job->holder));
	job->current = attempt = mem_zalloc(1, sizeof(*attempt));
	attempt->job = job;
	strlcpy(attempt->holder, holder, sizeof(attempt->holder));
	attempt->sent_us = now_us;
	TAILQ_INSERT_TAIL(&job->attempts, attempt, entry);
	gw_set_timer(job, job->deadline_us);
	cells_submit(job->gateway->cells, job->holder, &submission,
	    gw_attempt_done, attempt);
}

static void
gw_timer_expired(evutil_socket_t fd, short what, void *arg)
{
	struct gw_job *job = arg;

	(void)fd;
	(void)what;
	if (job->current == NULL) {
		gw_send(job);
		return;
	}
	gw_answer(job, GW_UNKNOWN, 0, "the caller's deadline has passed");
	gw_job_end(job);
}

/* The earliest time at which a job that is read now may have arrived. A stored
 * job counts from now: the store knows its id. */
static uint64_t
gw_arrived_us(struct gw_job *job, uint64_t now_us)
{
	uint64_t since_us = cells_unread_since_us(job->gateway->cells);

	if (now_us - since_us <= GW_PAUSE_MIN_MS * GW_US_PER_MS ||
	    !gw_job_is_best_effort(job))
		return now_us;
	return since_us;
}

/* The reason why a new job is not accepted, or NULL. */
static const char *
gw_refusal(struct gw_job *job)
{
	if (job->gateway->refuse_new)
		return "this entry host is shutting down";
	if (cells_pause_us(job->gateway->cells) >
		GW_PAUSE_MAX_MS * GW_US_PER_MS &&
	    gw_job_is_best_effort(job))
		return "it may have waited while this entry host was paused";
	return NULL;
}

void
gw_submit(struct job_gateway *gateway, const struct gw_request *request,
    gw_done_fn done, void *arg)
{
	uint32_t timeout_ms = request->timeout_ms == 0 ? GW_DEFAULT_TIMEOUT_MS
						       : request->timeout_ms;
	struct gw_job *job = mem_zalloc(1, sizeof(*job));
	uint64_t now_us = clock_now_us(gateway->clock);
	const char *refusal;

	job->gateway = gateway;
	strlcpy(job->id, request->id, sizeof(job->id));
	job->queue = *request->queue;
	job->body = mem_strndup(request->body, request->body_len);
	job->body_len = request->body_len;
	job->arrived_us = gw_arrived_us(job, now_us);
	job->deadline_us = job->arrived_us + timeout_ms * GW_US_PER_MS;
	job->nonce = gateway->next_nonce++;
	job->done = done;
	job->arg = arg;
	TAILQ_INIT(&job->attempts);
	job->timer = evtimer_new(gateway->base, gw_timer_expired, job);
	if (job->timer == NULL)
		abort();
	TAILQ_INSERT_TAIL(&gateway->jobs, job, entry);
	gateway->npending++;
	log_event(LOG_LEVEL_INFO, "accept",
	    "id=%s queue=%s priority=%" PRIu32 " bytes=%zu patience_ms=%" PRIu32
	    " config=%" PRIu64 " config_age_ms=%" PRIu64 " unread_ms=%" PRIu64,
	    job->id, job->queue.name, job->queue.priority, job->body_len,
	    timeout_ms, job->queue.config_version, request->config_age_ms,
	    (now_us - job->arrived_us) / GW_US_PER_MS);
	refusal = gw_refusal(job);
	if (refusal != NULL) {
		gw_answer(job, GW_NOT_RUN, GW_RETRY_AFTER_MS, refusal);
		gw_job_end(job);
		return;
	}
	gw_send(job);
}

void
gw_holder_changed(struct job_gateway *gateway, const char *holder)
{
	struct gw_job *job, *next;

	TAILQ_FOREACH_SAFE (job, &gateway->jobs, entry, next) {
		if (job->answered || job->current == NULL ||
		    job->overflow.holder[0] != '\0' ||
		    strcmp(job->holder, holder) == 0)
			continue;
		gw_end_attempt(job);
		job->may_have_started = true;
		log_event(LOG_LEVEL_INFO, "job-unassigned",
		    "id=%s holder=%s cause=taken-over next=%s", job->id,
		    job->holder, holder);
		ctr_inc(&gw_resent);
		gw_send(job);
	}
}

void
gw_refuse_new(struct job_gateway *gateway)
{
	gateway->refuse_new = true;
}

void
gw_abort_pending(struct job_gateway *gateway)
{
	struct gw_job *job, *next;

	TAILQ_FOREACH_SAFE (job, &gateway->jobs, entry, next) {
		if (job->answered)
			continue;
		if (job->current == NULL && !job->may_have_started)
			gw_answer(job, GW_NOT_RUN, GW_RETRY_AFTER_MS,
			    "this entry host is shutting down");
		else
			gw_answer(job, GW_UNKNOWN, 0,
			    "this entry host is shutting down");
		gw_job_end(job);
	}
}

void
gw_abandon(struct job_gateway *gateway, void *arg)
{
	struct gw_job *job;

	TAILQ_FOREACH (job, &gateway->jobs, entry) {
		if (!job->answered && job->arg == arg)
			break;
	}
	if (job == NULL)
		return;
	job->done = NULL;
	gw_answer(job, GW_UNKNOWN, 0, "the caller has disconnected");
	gw_job_end(job);
}

size_t
gw_pending(const struct job_gateway *gateway)
{
	return gateway->npending;
}

struct job_gateway *
gw_create(struct event_base *base, struct clock *clock, struct cells *cells)
{
	struct job_gateway *gateway = mem_zalloc(1, sizeof(*gateway));

	gateway->base = base;
	gateway->clock = clock;
	gateway->cells = cells;
	/* Not that of another host, or of a former process of this one: a
	 * cancellation must not name their submissions. */
	evutil_secure_rng_get_bytes(&gateway->next_nonce,
	    sizeof(gateway->next_nonce));
	TAILQ_INIT(&gateway->jobs);
	return gateway;
}

void
gw_destroy(struct job_gateway *gateway)
{
	struct gw_attempt *attempt;
	struct gw_job *job;

	while ((job = TAILQ_FIRST(&gateway->jobs)) != NULL) {
		while ((attempt = TAILQ_FIRST(&job->attempts)) != NULL) {
			TAILQ_REMOVE(&job->attempts, attempt, entry);
			free(attempt);
		}
		gw_job_free(job);
	}
	free(gateway);
}
