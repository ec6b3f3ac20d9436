/*
 * The time until which a server's lease may be extended. A best-effort job is
 * submitted again if its caller loses the connection to its host, possibly to
 * the holder of another availability zone or to a successor, which do not know
 * of its runs. These have ended by then, because the lease of a server is
 * extended only for a limited time
 *
 *	- after the submitter of a job was last known to wait for it, unless the
 *	  server has confirmed the stop of the job's runs;
 *	- and not at all while there is an unknown run, likewise: its caller may
 *	  have been lost as long before as a former holder allowed it to last.
 *
 * All runs on the server end then, as its lease is that of all of them. This
 * happens only if stops have no reply until then.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
/* A caller submits its job again 1.3 s after it has lost its connection. */
#define SCHED_UNATTENDED_MS 1250
/* Then a job is given up, so that its runs are stopped before leases end. */
#define SCHED_SUBMITTER_SILENT_MS 1000
#define SCHED_SILENT_RETRY_AFTER_MS 200

/* When the submitter was last known to wait for the job. After a pause of this
 * process, that is a time before the pause for a while: the event loop may run
 * some ticks before it finds a connection closed. */
static uint64_t
sched_submitter_alive_us(const struct sched_job *job)
{
	const struct scheduler *sched = job->sched;
	uint64_t now_us = sched_now(sched);
	uint64_t alive_us = unread_since_us(&sched->unread, now_us);

	if (alive_us == 0)
		alive_us = now_us;
	if (sched->params.submitter_alive_us != NULL) {
		uint64_t seen_us = sched->params.submitter_alive_us(
		    sched->params.arg, job->arg);

		if (seen_us < alive_us)
			alive_us = seen_us;
	}
	return alive_us;
}

void
sched_job_unattended(struct sched_job *job)
{
	if (!job->stored && job->done != NULL)
		job->attended_us = sched_submitter_alive_us(job);
}

bool
sched_job_give_up(struct sched_job *job, uint64_t now_us)
{
	struct sched_reply reply = { .result = SCHED_NOT_RUN,
		.retry_after_ms = SCHED_SILENT_RETRY_AFTER_MS,
		.reason = "the submitter's host is silent" };

	if (job->stored || job->ended ||
	    now_us <= sched_submitter_alive_us(job) +
		    SCHED_SUBMITTER_SILENT_MS * SCHED_US_PER_MS)
		return false;
	if (job->may_have_started)
		reply.result = SCHED_OUTCOME_UNKNOWN;
	sched_job_finish(job, &reply);
	return true;
}

uint64_t
sched_job_lease_end_us(const struct sched_job *job)
{
	if (job->stored)
		return UINT64_MAX;
	return (job->ended ? job->attended_us : sched_submitter_alive_us(job)) +
	    SCHED_UNATTENDED_MS * SCHED_US_PER_MS;
}

/* The time at which the runs on the server have to end, by its own clock. */
static uint64_t
sched_server_lease_end_us(const struct sched_server *server)
{
	const struct sched_orphan *orphan;
	const struct sched_task *task;
	uint64_t end_us = UINT64_MAX, run_end_us;

	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (task->stop_confirmed)
			continue;
		run_end_us = sched_job_lease_end_us(task->job);
		if (run_end_us < end_us)
			end_us = run_end_us;
	}
	TAILQ_FOREACH (orphan, &server->orphans, entry) {
		if (!orphan->stop_confirmed && !orphan->expected)
			return 0;
	}
	return end_us;
}

void
sched_lease_update_end(struct sched_server *server)
{
	server->lease_end_us = sched_server_lease_end_us(server);
}

/* The longest lease that ends in time although the server's clock is slow. */
static uint32_t
sched_lease_until_ms(uint64_t end_us, uint64_t now_us)
{
	uint64_t ms;

	if (end_us <= now_us)
		return 0;
	ms = (end_us - now_us) / SCHED_US_PER_MS *
	    (100 - LEASE_CLOCK_SKEW_PERCENT) / 100;
	return ms > UINT32_MAX ? UINT32_MAX : (uint32_t)ms;
}

/* Reports that a lease is not extended, or is again. */
static void
sched_lease_log_limit(struct sched_server *server, uint32_t limit_ms,
    uint64_t now_us)
{
	bool limited = limit_ms < SCHED_START_LEASE_MIN_MS;

	if (limited == server->lease_limited)
		return;
	server->lease_limited = limited;
	log_event(LOG_LEVEL_WARN,
	    limited ? "lease-not-extended" : "lease-extended",
	    "server=%s lease_ms=%" PRIu32, server->info.id,
	    lease_remaining_ms(&server->lease, now_us));
}

uint64_t
sched_lease_extend(struct sched_server *server, uint64_t now_us)
{
	uint32_t duration_ms = sched_holder_remaining_ms(server->sched);
	uint32_t limit_ms;

	sched_lease_update_end(server);
	limit_ms = sched_lease_until_ms(server->lease_end_us, now_us);
	sched_lease_log_limit(server, limit_ms, now_us);
	if (duration_ms > server->sched->params.lease_ms)
		duration_ms = server->sched->params.lease_ms;
	if (duration_ms > limit_ms)
		duration_ms = limit_ms;
	return lease_extend(&server->lease, now_us, duration_ms);
}

uint32_t
sched_job_lease_ms(const struct sched_job *job, uint64_t now_us)
{
	return sched_lease_until_ms(sched_job_lease_end_us(job), now_us);
}

bool
sched_lease_admits_starts(const struct sched_server *server, uint64_t now_us)
{
	return sched_lease_until_ms(server->lease_end_us, now_us) >=
	    SCHED_START_LEASE_MIN_MS;
}

uint32_t
sched_hold_wait_limit_ms(const struct sched_server *server, uint64_t now_us)
{
	uint32_t remaining_ms = sched_holder_remaining_ms(server->sched);
	uint32_t limit_ms;

	if (remaining_ms == 0)
		return SCHED_HOLD_WAIT_MAX_MS;
	limit_ms = sched_lease_until_ms(server->lease_end_us, now_us);
	if (remaining_ms > limit_ms)
		remaining_ms = limit_ms;
	if (remaining_ms < 2 * SCHED_SHORT_POLL_MS)
		return SCHED_SHORT_POLL_MS;
	return remaining_ms / 2;
}
