#ifndef ENTRY_JOBS_JOB_STORE_H
#define ENTRY_JOBS_JOB_STORE_H

#include "entry/jobs/holder.h"
#include "entry/jobs/job_record.h"
#include "ports/clock.h"
#include "ports/rows.h"

/*
 * Stored jobs of the cell that this host holds: accepted by a row in the
 * store, run by the holder, their progress and end stored before the servers
 * may forget the ends of their runs. A new holder reads them all back.
 */

struct event_base;
struct job_store;

/** enum jstore_result - what became of a call. */
enum jstore_result {
	JSTORE_OK,
	JSTORE_REFUSED, /* certainly nothing is stored, nor will be */
	JSTORE_UNKNOWN, /* not known (yet): ask again */
	JSTORE_NO_JOB,
};

/** typedef jstore_state_fn - @begun: a task of it has been started. */
typedef void (*jstore_state_fn)(void *arg, enum jstore_result result,
    enum jrec_state state, bool begun);
typedef void (*jstore_done_fn)(void *arg, enum jstore_result result);

/** typedef jstore_fenced_fn - the store names a later holder of the cell. */
typedef void (*jstore_fenced_fn)(void *arg);

/** jstore_create() - all borrowed; NULL when out of memory. */
struct job_store *jstore_create(struct event_base *base, struct clock *clock,
    struct rows *rows, struct holder *holder, const char *az,
    jstore_fenced_fn fenced, void *arg);

void jstore_destroy(struct job_store *store);

/** jstore_activate() - this host holds now, under @token: read its jobs. */
void jstore_activate(struct job_store *store, uint64_t token);

/** jstore_deactivate() - it does not any more: forget them. */
void jstore_deactivate(struct job_store *store);

/**
 * jstore_accept() - store and run a job.
 * @request: its spec is taken; @body is its JSON form, copied.
 * @done: runs once; OK also if the job was accepted before.
 */
void jstore_accept(struct job_store *store, struct holder_request *request,
    const char *body, size_t len, jstore_done_fn done, void *arg);

/** jstore_cancel() - end a job; @done runs once it is stored. */
void jstore_cancel(struct job_store *store, const char *id, jstore_done_fn done,
    void *arg);

/**
 * jstore_get_state() - the state of a job that this holder runs.
 * @done: OK with the state once that state is stored, which is soon; NO_JOB
 *        if this holder does not have it. One that runs is watched for 50 ms,
 *        as callers often ask when it has just ended.
 */
void jstore_get_state(struct job_store *store, const char *id,
    jstore_state_fn done, void *arg);

/** jstore_drop_callbacks() - no callback with @arg will run. */
void jstore_drop_callbacks(struct job_store *store, const void *arg);

/**
 * jstore_record_run_end() - for the holder: a run of a task ended, well or not.
 * Return: the number of the row's value that says so; 0 if it is not stored.
 */
uint64_t jstore_record_run_end(void *store, const char *id, uint32_t task,
    uint64_t run_id, bool done);

/** jstore_unstored_seq() - for the holder: the job's newest value that is not
 * stored yet, or 0. */
uint64_t jstore_unstored_seq(void *store, const char *id);

#endif /* ENTRY_JOBS_JOB_STORE_H */
