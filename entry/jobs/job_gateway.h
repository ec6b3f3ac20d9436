#ifndef ENTRY_JOBS_JOB_GATEWAY_H
#define ENTRY_JOBS_JOB_GATEWAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/job.h"
#include "ports/clock.h"

/*
 * Jobs of this host's own callers: each is brought to the holder of the
 * servers, again to its successor if need be, and answered once.
 */

struct event_base;
struct job_gateway;
struct cells;

/** enum gw_result - the answer to a caller. */
enum gw_result {
	GW_COMPLETED,
	GW_ACCEPTED, /* stored: it will run, and its state can be asked */
	GW_FAILED,   /* a task failed as often as it may */
	GW_NOT_RUN,  /* refused: nothing of it has run or will */
	GW_UNKNOWN,  /* given up; some tasks may have run */
	GW_INVALID,  /* malformed; nothing has run */
};

/** struct gw_reply - borrowed by the callback. */
struct gw_reply {
	enum gw_result result;
	uint32_t retry_after_ms; /* for NOT_RUN; 0: no advice */
	const char *reason;
};

typedef void (*gw_done_fn)(void *arg, const struct gw_reply *reply);

/** struct gw_request - a caller's job; strings are copied. */
struct gw_request {
	const char *id;
	const struct job_queue *queue;
	const char *body; /* the job's JSON form */
	size_t body_len;
	uint32_t timeout_ms; /* the caller waits so long; 0: not said */
};

/** gw_create() - NULL when out of memory. */
struct job_gateway *gw_create(struct event_base *base, struct clock *clock,
    struct cells *cells);

void gw_destroy(struct job_gateway *gateway);

/** gw_submit() - serve a job; @done runs once, at once or later. */
void gw_submit(struct job_gateway *gateway, const struct gw_request *job,
    gw_done_fn done, void *arg);

/** gw_abandon() - the caller of @arg has left; @done must not run. */
void gw_abandon(struct job_gateway *gateway, void *arg);

/**
 * gw_holder_changed() - @holder holds this host's zone now: jobs that
 * another host of the zone has are brought to it.
 */
void gw_holder_changed(struct job_gateway *gateway, const char *holder);

/** gw_refuse_new() - new jobs are refused from now on: this host stops. */
void gw_refuse_new(struct job_gateway *gateway);

/** gw_abort_pending() - answer all jobs that are still under way. */
void gw_abort_pending(struct job_gateway *gateway);

/** gw_pending() - jobs that are not answered yet. */
size_t gw_pending(const struct job_gateway *gateway);

#endif /* ENTRY_JOBS_JOB_GATEWAY_H */
