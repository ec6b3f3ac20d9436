/*
 * Ejection of bad servers by a sequential probability ratio test. The two
 * hypotheses are "bad server" and "good server, on which the tasks of this job
 * fail at the failure rate of the job". See docs/design/dispatch.md.
 */

#include <math.h>

#include "core/health.h"

#define HLTH_BAD_FAILURE_RATE 0.95 /* of tasks on a bad server */
#define HLTH_RATE_MIN 0.02	   /* limits of a job's failure rate */
#define HLTH_RATE_MAX 0.95
#define HLTH_RATE_WEIGHT 0.05	   /* of a task in the job's moving average */
#define HLTH_UNREACHABLE_RATE 0.01 /* of attempts on good servers */
#define HLTH_EJECT_LOG_ODDS 9.0	   /* a server is ejected from this value on */
/* Above this, the tasks of a server do not count for the rates of jobs. */
#define HLTH_SUSPECT_LOG_ODDS 1.0
/* First back-off after failures; it doubles with each failed probe. */
#define HLTH_BACKOFF_MS 4000
#define HLTH_BACKOFF_MAX_MS 60000
/* The same for a server that was unreachable. */
#define HLTH_UNREACHABLE_BACKOFF_MS 250
#define HLTH_UNREACHABLE_BACKOFF_MAX_MS 4000
#define HLTH_EJECT_DIVISOR 3 /* at most one in three servers */

void
hlth_job_init(struct hlth_job *job)
{
	job->failure_rate = HLTH_RATE_MIN;
}

uint32_t
hlth_eject_max(uint32_t total)
{
	return (total + 1) / HLTH_EJECT_DIVISOR;
}

/* Updates the job's failure rate, unless the server may be bad. */
static void
hlth_update_job_rate(struct hlth_job *job, const struct hlth *hlth, bool failed)
{
	double rate = job->failure_rate;

	if (hlth->state != HLTH_UP || hlth->log_odds > HLTH_SUSPECT_LOG_ODDS)
		return;
	rate += HLTH_RATE_WEIGHT * ((failed ? 1.0 : 0.0) - rate);
	job->failure_rate = fmin(fmax(rate, HLTH_RATE_MIN), HLTH_RATE_MAX);
}

static void
hlth_eject(struct hlth *hlth, enum hlth_event event, uint64_t now_us,
    uint64_t random)
{
	bool unreachable = event == HLTH_UNREACHABLE;
	uint32_t first_ms =
	    unreachable ? HLTH_UNREACHABLE_BACKOFF_MS : HLTH_BACKOFF_MS;
	uint32_t max_ms =
	    unreachable ? HLTH_UNREACHABLE_BACKOFF_MAX_MS : HLTH_BACKOFF_MAX_MS;
	uint64_t delay_us;

	hlth->backoff_ms =
	    hlth->backoff_ms == 0 ? first_ms : hlth->backoff_ms * 2;
	if (hlth->backoff_ms > max_ms)
		hlth->backoff_ms = max_ms;
	delay_us = hlth->backoff_ms * 1000ULL;
	hlth->retry_at_us = now_us + delay_us + random % (delay_us / 4 + 1);
	hlth->state = HLTH_EJECTED;
	hlth->log_odds = HLTH_EJECT_LOG_ODDS;
}

static enum hlth_change
hlth_success(struct hlth *hlth, struct hlth_job *job)
{
	hlth_update_job_rate(job, hlth, false);
	if (hlth->state != HLTH_UP) {
		hlth->state = HLTH_UP;
		hlth->log_odds = HLTH_EJECT_LOG_ODDS / 2;
		hlth->backoff_ms = 0;
		return HLTH_WAS_READMITTED;
	}
	hlth->log_odds +=
	    log((1.0 - HLTH_BAD_FAILURE_RATE) / (1.0 - job->failure_rate));
	hlth->log_odds = fmax(hlth->log_odds, 0.0);
	return HLTH_NO_CHANGE;
}

enum hlth_change
hlth_record(struct hlth *hlth, struct hlth_job *job, enum hlth_event event,
    bool may_eject, uint64_t now_us, uint64_t random)
{
	double rate = job->failure_rate;

	if (event == HLTH_SUCCESS)
		return hlth_success(hlth, job);
	if (hlth->state == HLTH_EJECTED)
		return HLTH_NO_CHANGE;
	if (event == HLTH_UNREACHABLE)
		rate = HLTH_UNREACHABLE_RATE;
	else if (event != HLTH_OVERDUE)
		hlth_update_job_rate(job, hlth, true);
	hlth->log_odds +=
	    log(HLTH_BAD_FAILURE_RATE / fmin(rate, HLTH_BAD_FAILURE_RATE));
	if (hlth->state == HLTH_PROBING) {
		hlth_eject(hlth, event, now_us, random);
		return HLTH_WAS_EJECTED;
	}
	if (hlth->log_odds < HLTH_EJECT_LOG_ODDS)
		return HLTH_NO_CHANGE;
	hlth->log_odds = HLTH_EJECT_LOG_ODDS;
	if (!may_eject && event != HLTH_UNREACHABLE)
		return HLTH_NO_CHANGE;
	hlth_eject(hlth, event, now_us, random);
	return HLTH_WAS_EJECTED;
}

bool
hlth_probe_due(struct hlth *hlth, uint64_t now_us)
{
	if (hlth->state != HLTH_EJECTED || now_us < hlth->retry_at_us)
		return false;
	hlth->state = HLTH_PROBING;
	return true;
}
