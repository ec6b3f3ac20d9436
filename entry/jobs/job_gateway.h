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
struct front;
struct zone;

/** enum front_result - the answer to a caller. */
enum front_result {
	FRONT_COMPLETED,
	FRONT_ACCEPTED, /* stored: it will run, and its state can be asked */
	FRONT_FAILED,	/* a task failed as often as it may */
	FRONT_NOT_RUN,	/* refused: nothing of it has run or will */
	FRONT_UNKNOWN,	/* given up; some tasks may have run */
	FRONT_INVALID,	/* malformed; nothing has run */
};

/** struct front_reply - borrowed by the callback. */
struct front_reply {
	enum front_result result;
	uint32_t retry_after_ms; /* for NOT_RUN; 0: no advice */
	const char *reason;
};

typedef void (*front_done_fn)(void *arg, const struct front_reply *reply);

/** struct front_job - a caller's job; strings are copied. */
struct front_job {
	const char *id;
	const struct job_queue *queue;
	const char *body; /* the job's JSON form */
	size_t body_len;
	uint32_t patience_ms; /* the caller waits so long; 0: not said */
};

/** front_create() - NULL when out of memory. */
struct front *front_create(struct event_base *base, struct clock *clock,
    struct zone *zone);

void front_destroy(struct front *front);

/** front_submit() - serve a job; @done runs once, at once or later. */
void front_submit(struct front *front, const struct front_job *job,
    front_done_fn done, void *arg);

/** front_abandon() - the caller of @arg has left; @done must not run. */
void front_abandon(struct front *front, void *arg);

/**
 * front_holder_changed() - @holder holds this host's zone now: jobs that
 * another host of the zone has are brought to it.
 */
void front_holder_changed(struct front *front, const char *holder);

/** front_refuse() - new jobs are refused from now on: this host stops. */
void front_refuse(struct front *front);

/** front_give_up() - answer all jobs that are still under way. */
void front_give_up(struct front *front);

/** front_pending() - jobs that are not answered yet. */
size_t front_pending(const struct front *front);

#endif /* ENTRY_JOBS_JOB_GATEWAY_H */
