#ifndef CORE_HEALTH_H
#define CORE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Health of backend servers, judged by successes: a server that fails all it
 * starts looks fast and idle. A job whose tasks fail everywhere is no evidence
 * against a server.
 */

/** enum hlth_state - what a server may get. */
enum hlth_state {
	HLTH_UP,
	HLTH_EJECTED, /* nothing until retry_at_us */
	HLTH_PROBING, /* one task at a time */
};

/** enum hlth_event - how a task on a server ended, or that it is late. */
enum hlth_event {
	HLTH_SUCCESS,
	HLTH_FAILURE,	  /* ran and failed */
	HLTH_LOST,	  /* timed out, or the connection broke */
	HLTH_UNREACHABLE, /* nothing could be sent */
	HLTH_OVERDUE,	  /* still runs, long after it should have ended */
};

/** enum hlth_change - what an event did to a server's state. */
enum hlth_change {
	HLTH_NO_CHANGE,
	HLTH_WAS_EJECTED,
	HLTH_WAS_READMITTED,
};

/** struct hlth - health of one server; zeroed at first. */
struct hlth {
	enum hlth_state state;
	double log_odds; /* log odds that it is bad, 0 or more */
	uint64_t retry_at_us;
	uint32_t backoff_ms; /* last one, 0 after a readmission */
};

/** struct hlth_job - how often a job's tasks fail on good servers. */
struct hlth_job {
	double failure_rate;
};

void hlth_job_init(struct hlth_job *job);

/**
 * hlth_record() - an event on a server.
 * @may_eject: false if too many servers are ejected already; an unreachable
 *             server is ejected nevertheless.
 * @random: spreads the time of the next try.
 */
enum hlth_change hlth_record(struct hlth *hlth, struct hlth_job *job,
    enum hlth_event event, bool may_eject, uint64_t now_us, uint64_t random);

/** hlth_probe_due() - turn an ejected server into a probing one in time. */
bool hlth_probe_due(struct hlth *hlth, uint64_t now_us);

/** hlth_eject_max() - servers of @total that may be ejected for failures. */
uint32_t hlth_eject_max(uint32_t total);

#endif /* CORE_HEALTH_H */
