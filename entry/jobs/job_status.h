#ifndef ENTRY_JOBS_JOB_STATUS_H
#define ENTRY_JOBS_JOB_STATUS_H

#include "entry/jobs/job_record.h"
#include "ports/rows.h"

/*
 * State and cancellation of stored jobs, on any entry host. The state comes
 * from the local cell's holder or from the store; a job is cancelled through
 * the holder that runs it.
 */

struct job_status;
struct cells;

/** enum jstat_state - state of a job. */
enum jstat_state {
	JSTAT_QUEUED,  /* accepted; no task was started */
	JSTAT_RUNNING, /* not ended; a task was or may have been started */
	JSTAT_COMPLETED,
	JSTAT_FAILED,
	JSTAT_CANCELLED,
	JSTAT_NO_JOB,
	JSTAT_UNKNOWN, /* the store or the holder does not reply */
};

typedef void (*jstat_done_fn)(void *arg, enum jstat_state state);

/** jstat_create() - @rows and @cells are borrowed; @az: of the local cell. */
struct job_status *jstat_create(struct rows *rows, struct cells *cells,
    const char *az);

void jstat_destroy(struct job_status *jstat);

/** jstat_get() - query the state of a job; @done runs once. */
void jstat_get(struct job_status *jstat, const char *id, jstat_done_fn done,
    void *arg);

/** jstat_cancel() - cancel a job; the result is JSTAT_CANCELLED even if the job
 * had already ended. */
void jstat_cancel(struct job_status *jstat, const char *id, jstat_done_fn done,
    void *arg);

/** jstat_abandon() - discard the callbacks with @arg. */
void jstat_abandon(struct job_status *jstat, const void *arg);

#endif /* ENTRY_JOBS_JOB_STATUS_H */
