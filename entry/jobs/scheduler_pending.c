/*
 * Jobs of which a start order may still be executed (see core/pending.h). A
 * caller that has lost its connection sends its job again 1.3 s later, to any
 * host. An order of the first submission that had no reply may be executed up
 * to 12 s after it was sent, by any process that the server has under its id
 * then, whatever was stopped before. So the second submission is not started
 * while that may happen; its outcome is unknown, as that of the first one is.
 *
 * The hosts of a cell that hold it or are likely to, and the holders of other
 * cells, exchange what they know. They also report the jobs that go on to each
 * other, as a connection may break for the caller alone, and of runs that no
 * job claims. The host of a job's caller reports it to the other cells'
 * holders, too: that of its own may be paused, or have just taken over. At the
 * host that has the job a second submission joins it, or adopts the run. See
 * docs/design/second-submissions.md.
 */

#include <inttypes.h>
#include <jansson.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
/* An unclaimed run has usually been stopped by then. What is left of a job when
 * its caller is lost has ended after 1.25 s, stopped or not, and must not delay
 * the job for longer. */
#define SCHED_PENDING_RUN_MS 700
/* A caller sends a job again 1.3 s after it has lost its connection; another
 * holder that is notified of a job at this age has it on record by then. */
#define SCHED_PENDING_AGE_MS 700
/* What is left then of the 1.25 s in which the runs of a job end after its
 * submitter was lost. Without a recent sign of it the job is not reported. */
#define SCHED_PENDING_ATTENDED_MS 850
/* Entries of a message; the others follow in the next one. */
#define SCHED_PENDING_MESSAGE_MAX 500
/* The longest remaining time of an entry in a message. */
#define SCHED_PENDING_MAX_MS 15000
/* The longest validity of a report by the host of a job's caller. */
#define SCHED_PENDING_REPORTED_MAX_MS 1000
/* Flags of an entry in a message. */
#define SCHED_PENDING_LISTED 1 /* PEND_RUN_LISTED */
#define SCHED_PENDING_REMOTE 2 /* PEND_REMOTE */

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

static struct counter sched_pending_reported_jobs = {
	.name = "berylrail_work_waiting_received_total",
	.help = "Entries of jobs that go on, as reported by the hosts of "
		"their callers.",
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

void
sched_pending_job(const struct sched_job *job, uint64_t now_us)
{
	if (!job->stored && !job->ended && job->nassigned > 0 &&
	    now_us - job->submitted_us >=
		SCHED_PENDING_AGE_MS * SCHED_US_PER_MS &&
	    sched_job_lease_end_us(job) >=
		now_us + SCHED_PENDING_ATTENDED_MS * SCHED_US_PER_MS)
		sched_pending_run(job->sched, job->spec.id, now_us);
}

/* The entry because of which the submission @nonce of the job @id must not be
 * started, or NULL. One that only its own host has reported does not count: it
 * was passed on to this cell, and the message may have come later. */
static const struct pend_job *
sched_pending_find(const struct scheduler *sched, const char *id,
    uint64_t nonce)
{
	const struct pend_job *job =
	    pend_find(&sched->pending, id, sched_now(sched));

	if (job == NULL ||
	    (job->kind == PEND_RUN_LISTED && job->origin == PEND_OWN) ||
	    (job->nonce != 0 && job->nonce == nonce))
		return NULL;
	return job;
}

static void
sched_pending_log(const struct pend_job *job)
{
	ctr_inc(&sched_pending_refused);
	log_event(LOG_LEVEL_INFO, "job-start-pending", "id=%s learned=%s",
	    job->id,
	    job->nonce != 0 ? "caller" : sched_pending_origins[job->origin]);
}

bool
sched_pending_refuses(const struct scheduler *sched,
    const struct sched_request *request)
{
	const struct pend_job *job;

	if (request->stored || request->resubmitted)
		return false;
	job = sched_pending_find(sched, request->spec.id, request->nonce);
	if (job != NULL)
		sched_pending_log(job);
	return job != NULL;
}

bool
sched_pending_elsewhere(const struct sched_job *job)
{
	const struct pend_job *pending;

	if (job->stored || job->has_started || job->adopts_only)
		return false;
	pending = sched_pending_find(job->sched, job->spec.id, job->nonce);
	if (pending == NULL ||
	    (pending->nonce != 0 && pending->nonce == job->joined_nonce))
		return false;
	sched_pending_log(pending);
	return true;
}

void
sched_pending_expire(struct scheduler *sched, uint64_t now_us)
{
	pend_expire(&sched->pending, now_us);
	ctr_set(&sched_pending_jobs_known, sched->pending.n);
	ctr_set(&sched_pending_jobs_dropped, sched->pending.dropped);
}

/* Exchange: each entry is an array of the id, the remaining time (ms) and, if
 * not 0, flags and the nonce. */
static json_t *
sched_pending_render_job(const struct pend_job *job, uint64_t now_us)
{
	json_t *item = json_pack("[s,I]", job->id,
	    (json_int_t)((job->expires_us - now_us) / SCHED_US_PER_MS));
	int flags = (job->kind == PEND_RUN_LISTED ? SCHED_PENDING_LISTED : 0) |
	    (job->origin == PEND_REMOTE ? SCHED_PENDING_REMOTE : 0);

	if (flags != 0)
		(void)json_array_append_new(item, json_integer(flags));
	if (job->nonce != 0)
		(void)json_array_append_new(item,
		    json_integer((json_int_t)job->nonce));
	return item;
}

struct json_t *
sched_pending_render(struct scheduler *sched, uint64_t seq, bool all)
{
	uint64_t now_us = sched_now(sched);
	const struct pend_job *job;
	json_t *jobs = NULL;

	pend_expire(&sched->pending, now_us);
	for (job = pend_first_after(&sched->pending, seq);
	     job != NULL && json_array_size(jobs) < SCHED_PENDING_MESSAGE_MAX;
	     job = TAILQ_NEXT(job, entry)) {
		seq = job->seq;
		if (job->expires_us <= now_us ||
		    (job->origin == PEND_REMOTE && !all))
			continue;
		if (jobs == NULL)
			jobs = json_array();
		(void)json_array_append_new(jobs,
		    sched_pending_render_job(job, now_us));
	}
	return jobs == NULL
	    ? NULL
	    : json_pack("{s:I,s:o}", "seq", (json_int_t)seq, "jobs", jobs);
}

/* Return: whether the entry is well-formed. */
static bool
sched_pending_merge_job(struct scheduler *sched, bool local, const json_t *item,
    uint64_t sent_us, uint64_t now_us)
{
	const char *id = json_string_value(json_array_get(item, 0));
	const json_t *remaining = json_array_get(item, 1);
	json_int_t remaining_ms = json_integer_value(remaining);
	json_int_t flags = json_integer_value(json_array_get(item, 2));
	uint64_t nonce = (uint64_t)json_integer_value(json_array_get(item, 3));

	if (id == NULL || !job_id_valid(id) || !json_is_integer(remaining) ||
	    remaining_ms < 0)
		return false;
	if (remaining_ms > SCHED_PENDING_MAX_MS)
		remaining_ms = SCHED_PENDING_MAX_MS;
	/* The hosts of callers report to a holder themselves, and withdraw it.
	 */
	if (nonce != 0 && sched->token != 0)
		return true;
	/* Not longer than at the sender, or two hosts would extend it for each
	 * other. */
	if (sent_us + (uint64_t)remaining_ms * SCHED_US_PER_MS <= now_us)
		return true;
	pend_add_submission(&sched->pending, id,
	    (flags & SCHED_PENDING_LISTED) != 0 ? PEND_RUN_LISTED : PEND_START,
	    local && (flags & SCHED_PENDING_REMOTE) == 0 ? PEND_ZONE
							 : PEND_REMOTE,
	    nonce, sent_us + (uint64_t)remaining_ms * SCHED_US_PER_MS, now_us);
	return true;
}

uint64_t
sched_pending_merge(struct scheduler *sched, const char *host, bool local,
    uint64_t sent_us, const struct json_t *message)
{
	const json_t *seq = json_object_get(message, "seq");
	const json_t *jobs = json_object_get(message, "jobs"), *item;
	uint64_t now_us = sched_now(sched);
	size_t i, nbad = 0;

	if (message == NULL)
		return 0;
	json_array_foreach (jobs, i, item)
		nbad += !sched_pending_merge_job(sched, local, item, sent_us,
		    now_us);
	if (nbad > 0 || !json_is_integer(seq) || !json_is_array(jobs))
		log_event(LOG_LEVEL_WARN, "pending-starts-malformed",
		    "host=%s jobs=%zu malformed=%zu", host,
		    json_array_size(jobs), nbad);
	return json_integer_value(seq) < 0 ? 0
					   : (uint64_t)json_integer_value(seq);
}

/* The times count from when the message is read: it may have waited, and then
 * the holder must not start what comes by another connection. Return: whether
 * the entry is well-formed. */
static bool
sched_pending_reported_job(struct scheduler *sched, const json_t *item,
    uint64_t now_us)
{
	const char *id = json_string_value(json_array_get(item, 0));
	const json_t *remaining = json_array_get(item, 1);
	const json_t *nonce = json_array_get(item, 2);
	json_int_t remaining_ms = json_integer_value(remaining);

	if (id == NULL || !job_id_valid(id) || !json_is_integer(remaining) ||
	    remaining_ms < 0 || !json_is_integer(nonce))
		return false;
	if (remaining_ms > SCHED_PENDING_REPORTED_MAX_MS)
		remaining_ms = SCHED_PENDING_REPORTED_MAX_MS;
	ctr_inc(&sched_pending_reported_jobs);
	if (remaining_ms == 0)
		(void)pend_remove_submission(&sched->pending, id,
		    (uint64_t)json_integer_value(nonce));
	else
		pend_add_submission(&sched->pending, id, PEND_RUN_LISTED,
		    PEND_REMOTE, (uint64_t)json_integer_value(nonce),
		    now_us + (uint64_t)remaining_ms * SCHED_US_PER_MS, now_us);
	return true;
}

void
sched_pending_reported(struct scheduler *sched, const char *host,
    const struct json_t *message)
{
	const json_t *jobs = json_object_get(message, "jobs"), *item;
	uint64_t now_us = sched_now(sched);
	size_t i, nbad = 0;

	pend_expire(&sched->pending, now_us);
	json_array_foreach (jobs, i, item)
		nbad += !sched_pending_reported_job(sched, item, now_us);
	if (nbad > 0 || !json_is_array(jobs))
		log_event(LOG_LEVEL_WARN, "waiting-jobs-malformed",
		    "host=%s jobs=%zu malformed=%zu", host,
		    json_array_size(jobs), nbad);
}
