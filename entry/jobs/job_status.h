#ifndef ENTRY_JOBS_JOB_STATUS_H
#define ENTRY_JOBS_JOB_STATUS_H

#include "entry/jobs/record.h"
#include "ports/rows.h"

/*
 * Stored jobs as any entry host sees them: their state from the store, their
 * cancellation by the holder that runs them.
 */

struct job_status;
struct cells;

/** enum jstat_state - what is known of a job. */
enum jstat_state {
	JSTAT_QUEUED,  /* accepted; nothing of it was started */
	JSTAT_RUNNING, /* not ended, and begun as far as is known */
	JSTAT_COMPLETED,
	JSTAT_FAILED,
	JSTAT_CANCELLED,
	JSTAT_NO_JOB,
	JSTAT_UNKNOWN, /* the store or the holder does not answer now */
};

typedef void (*jstat_done_fn)(void *arg, enum jstat_state answer);

/** jstat_create() - both borrowed. */
struct job_status *jstat_create(struct rows *rows, struct cells *cells);

void jstat_destroy(struct job_status *jstat);

/** jstat_get() - the state of a job; @done runs once, later. */
void jstat_get(struct job_status *jstat, const char *id, jstat_done_fn done,
    void *arg);

/** jstat_cancel() - end a job; CANCELLED also if it had ended before. */
void jstat_cancel(struct job_status *jstat, const char *id, jstat_done_fn done,
    void *arg);

/** jstat_abandon() - no callback with @arg will run. */
void jstat_abandon(struct job_status *jstat, const void *arg);

#endif /* ENTRY_JOBS_JOB_STATUS_H */
