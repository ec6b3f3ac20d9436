#ifndef CORE_HEALTH_H
#define CORE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Health of backend servers, estimated from the results of their tasks: load
 * and latency don't show a bad server, because one on which every task fails
 * immediately appears fast and idle. The failure rate of each job is taken into
 * account, so that a job whose tasks fail on all servers is no evidence that a
 * server is bad.
 */

/** enum hlth_state - which tasks a server may receive. */
enum hlth_state {
	HLTH_UP,
	HLTH_EJECTED, /* none before retry_at_us */
	HLTH_PROBING, /* one task at a time */
};

/** enum hlth_event - a task on a server has ended, or is overdue. */
enum hlth_event {
	HLTH_SUCCESS,
	HLTH_FAILURE,	  /* the task ran and failed */
	HLTH_LOST,	  /* timed out, or the connection was closed */
	HLTH_UNREACHABLE, /* the request could not be sent */
	HLTH_OVERDUE,	  /* still running long after its expected end */
};

/** enum hlth_change - change of a server's state by an event. */
enum hlth_change {
	HLTH_NO_CHANGE,
	HLTH_WAS_EJECTED,
	HLTH_WAS_READMITTED,
};

/** struct hlth - health of one server; initially all zero. */
struct hlth {
	enum hlth_state state;
	double log_odds; /* that the server is bad, never below 0 */
	uint64_t retry_at_us;
	uint32_t backoff_ms; /* last back-off; 0 after readmission */
};

/** struct hlth_job - failure rate of a job's tasks on good servers, 0 to 1. */
struct hlth_job {
	double failure_rate;
};

void hlth_job_init(struct hlth_job *job);

/**
 * hlth_record() - update server and job with an event on the server.
 * @may_eject: false if the limit of ejected servers is reached. It does not
 *             apply to unreachable servers.
 * @random: random number, for the jitter of the time of the next probe.
 */
enum hlth_change hlth_record(struct hlth *hlth, struct hlth_job *job,
    enum hlth_event event, bool may_eject, uint64_t now_us, uint64_t random);

/**
 * hlth_probe_due() - start probing an ejected server when its back-off ends.
 * Return: true if the state has changed from EJECTED to PROBING.
 */
bool hlth_probe_due(struct hlth *hlth, uint64_t now_us);

/** hlth_eject_max() - how many of @total servers may be ejected for failures.
 */
uint32_t hlth_eject_max(uint32_t total);

#endif /* CORE_HEALTH_H */
