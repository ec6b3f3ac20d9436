/*
 * Which jobs of this host's callers are reported to the holders of other
 * availability zones (see cells_waiting.c): a caller that has lost its
 * connection may send a best-effort job again there.
 */

#include <string.h>

#include "core/counters.h"
#include "entry/jobs/job_gateway_internal.h"

/* A holder of another zone that a job of this age is reported to knows of it
 * when its caller, who has lost the connection at once, sends it again. */
#define GW_WAITING_AGE_MS 500
/* A report is valid for this time, and not after the latest end of a run whose
 * caller was lost. */
#define GW_WAITING_VALID_MS 1000
#define GW_UNATTENDED_MS 1250

static struct counter gw_waiting_ended_lost = {
	.name = "berylrail_work_waiting_ended_lost_total",
	.help = "Refused jobs that were not withdrawn from other zones, as "
		"there were too many.",
};

/* A holder that was lost can't report the run to others. */
bool
gw_job_may_run(struct gw_job *job)
{
	return job->result == GW_UNKNOWN && job->holder_lost &&
	    gw_job_is_best_effort(job) &&
	    clock_now_us(job->gateway->clock) <
	    job->lost_us + GW_UNATTENDED_MS * GW_US_PER_MS;
}

static void
gw_fill_waiting(const struct gw_job *job, struct cells_waiting *waiting)
{
	*waiting = (struct cells_waiting){ .nonce = job->nonce };
	strlcpy(waiting->id, job->id, sizeof(waiting->id));
	strlcpy(waiting->holder, job->holder, sizeof(waiting->holder));
}

void
gw_waiting_ended(const struct gw_job *job)
{
	struct job_gateway *gateway = job->gateway;

	if (gateway->nended == GW_ENDED_MAX) {
		ctr_inc(&gw_waiting_ended_lost);
		return;
	}
	gw_fill_waiting(job, &gateway->ended[gateway->nended++]);
	cells_waiting_ended(gateway->cells);
}

/* Until when a run of the job may last, as far as this host knows. While it
 * waits, its caller may have left unnoticed, as one that is lost. */
static uint64_t
gw_waiting_until_us(const struct gw_job *job, uint64_t now_us)
{
	uint64_t valid_us = now_us + GW_WAITING_VALID_MS * GW_US_PER_MS;
	uint64_t attended_us = job->answered
	    ? job->lost_us
	    : cells_unread_since_us(job->gateway->cells);
	uint64_t until_us = attended_us + GW_UNATTENDED_MS * GW_US_PER_MS;

	return until_us < valid_us ? until_us : valid_us;
}

static size_t
gw_list_ended(struct job_gateway *gateway, struct cells_waiting *jobs,
    size_t max)
{
	size_t n = gateway->nended < max ? gateway->nended : max;

	memcpy(jobs, gateway->ended, n * sizeof(*jobs));
	gateway->nended = 0;
	return n;
}

size_t
gw_list_waiting(struct job_gateway *gateway, struct cells_waiting *jobs,
    size_t max)
{
	uint64_t now_us = clock_now_us(gateway->clock), until_us;
	size_t n = gw_list_ended(gateway, jobs, max);
	struct gw_job *job, *next;

	TAILQ_FOREACH_SAFE (job, &gateway->jobs, entry, next) {
		if (n == max)
			break;
		/* One that was read after a pause has arrived before others
		 * in the list, by less than an interval of the ticks; a stored
		 * one counts from when it was read. */
		if (now_us - job->arrived_us <
		    GW_WAITING_AGE_MS * GW_US_PER_MS) {
			if (gw_job_is_best_effort(job))
				break;
			continue;
		}
		if (!gw_job_is_best_effort(job))
			continue;
		if (job->answered && TAILQ_EMPTY(&job->attempts) &&
		    !gw_job_may_run(job)) {
			gw_job_free(job);
			continue;
		}
		until_us = gw_waiting_until_us(job, now_us);
		if (until_us < now_us + GW_US_PER_MS)
			continue;
		gw_fill_waiting(job, &jobs[n]);
		jobs[n++].remaining_ms =
		    (uint32_t)((until_us - now_us) / GW_US_PER_MS);
		job->reported = true;
	}
	return n;
}
