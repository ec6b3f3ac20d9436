#ifndef ENTRY_JOBS_JOB_GATEWAY_H
#define ENTRY_JOBS_JOB_GATEWAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/job.h"
#include "ports/clock.h"

/*
 * The job gateway: serves the jobs of this host's own callers. Each job is
 * submitted to a lease holder, resubmitted to the next holder if that one is
 * lost, and answered exactly once.
 */

struct event_base;
struct job_gateway;
struct cells;
struct cells_waiting;

/** enum gw_result - the answer to a caller. */
enum gw_result {
	GW_COMPLETED,
	GW_ACCEPTED, /* stored; it will run, and its state can be queried */
	GW_FAILED,   /* a task failed in all permitted attempts */
	GW_NOT_RUN,  /* refused; no task has run or will run */
	GW_UNKNOWN,  /* no result in time; some tasks may have run */
	GW_INVALID,  /* malformed; no task has run */
};

/** struct gw_reply - borrowed by the callback. */
struct gw_reply {
	enum gw_result result;
	/* For GW_UNKNOWN: a task may run, or be started later, so that the job
	 * must not be submitted again. */
	bool may_run;
	uint32_t retry_after_ms; /* for GW_NOT_RUN; 0: none */
	const char *reason;	 /* human-readable */
};

typedef void (*gw_done_fn)(void *arg, const struct gw_reply *reply);

/** struct gw_request - a caller's job; strings are copied. */
struct gw_request {
	const char *id;
	const struct job_queue *queue;
	const char *body; /* the job's JSON form */
	size_t body_len;
	uint32_t timeout_ms;	/* the caller waits this long; 0: the default */
	uint64_t config_age_ms; /* see reg_age_ms(); for the log */
};

/** gw_create() - the arguments are borrowed. */
struct job_gateway *gw_create(struct event_base *base, struct clock *clock,
    struct cells *cells);

void gw_destroy(struct job_gateway *gateway);

/** gw_submit() - serve a job; @done runs once, possibly before the return. */
void gw_submit(struct job_gateway *gateway, const struct gw_request *request,
    gw_done_fn done, void *arg);

/** gw_abandon() - the caller of @arg has disconnected; @done will not run. */
void gw_abandon(struct job_gateway *gateway, void *arg);

/**
 * gw_holder_changed() - @holder is the new holder of the local cell. Jobs that
 * were submitted to the former holder are resubmitted to it.
 */
void gw_holder_changed(struct job_gateway *gateway, const char *holder);

/**
 * gw_list_waiting() - list the best-effort jobs of which the holders of other
 * cells are to know: those that have waited for half a second and go on, or
 * may go on after their answer, and those that were listed so and of which
 * nothing is left. Takes O(jobs that old).
 * Return: number of entries, the oldest @max.
 */
size_t gw_list_waiting(struct job_gateway *gateway, struct cells_waiting *jobs,
    size_t max);

/** gw_refuse_new() - refuse new jobs, as this host shuts down. */
void gw_refuse_new(struct job_gateway *gateway);

/** gw_abort_pending() - cancel all unanswered jobs and answer GW_UNKNOWN, or
 * GW_NOT_RUN if no holder has one. */
void gw_abort_pending(struct job_gateway *gateway);

/** gw_pending() - Return: number of unanswered jobs. */
size_t gw_pending(const struct job_gateway *gateway);

#endif /* ENTRY_JOBS_JOB_GATEWAY_H */
