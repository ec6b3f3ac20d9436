#ifndef ENTRY_JOBS_JOB_STATUS_H
#define ENTRY_JOBS_JOB_STATUS_H

#include "entry/jobs/job_record.h"
#include "ports/rows.h"

/*
 * Stored jobs as any entry host sees them: their state from the store, their
 * cancellation by the holder that runs them.
 */

struct status;
struct zone;

/** enum status_answer - what is known of a job. */
enum status_answer {
	STATUS_QUEUED,	/* accepted; nothing of it was started */
	STATUS_RUNNING, /* not ended, and begun as far as is known */
	STATUS_COMPLETED,
	STATUS_FAILED,
	STATUS_CANCELLED,
	STATUS_NO_JOB,
	STATUS_UNKNOWN, /* the store or the holder does not answer now */
};

typedef void (*status_done_fn)(void *arg, enum status_answer answer);

/** status_create() - both borrowed. */
struct status *status_create(struct rows *rows, struct zone *zone);

void status_destroy(struct status *status);

/** status_get() - the state of a job; @done runs once, later. */
void status_get(struct status *status, const char *id, status_done_fn done,
    void *arg);

/** status_cancel() - end a job; CANCELLED also if it had ended before. */
void status_cancel(struct status *status, const char *id, status_done_fn done,
    void *arg);

/** status_abandon() - no callback with @arg will run. */
void status_abandon(struct status *status, const void *arg);

#endif /* ENTRY_JOBS_JOB_STATUS_H */
