#ifndef ENTRY_JOBS_JOB_STORE_H
#define ENTRY_JOBS_JOB_STORE_H

#include "entry/jobs/job_record.h"
#include "entry/jobs/scheduler.h"
#include "ports/clock.h"
#include "ports/rows.h"

/*
 * Stored jobs of the cell that this host holds: accepted by a row in the
 * store, run by the scheduler, their progress and end stored before the servers
 * may forget the ends of their runs. A new scheduler reads them all back.
 */

struct event_base;
struct keeper;

/** enum keeper_result - what became of a call. */
enum keeper_result {
	KEEPER_OK,
	KEEPER_REFUSED, /* certainly nothing is stored, nor will be */
	KEEPER_UNKNOWN, /* not known (yet): ask again */
	KEEPER_NO_JOB,
};

/** typedef keeper_state_fn - @begun: a task of it has been started. */
typedef void (*keeper_state_fn)(void *arg, enum keeper_result result,
    enum record_state state, bool begun);
typedef void (*keeper_done_fn)(void *arg, enum keeper_result result);

/** typedef keeper_fenced_fn - the store names a later scheduler of the cell. */
typedef void (*keeper_fenced_fn)(void *arg);

/** keeper_create() - all borrowed; NULL when out of memory. */
struct keeper *keeper_create(struct event_base *base, struct clock *clock,
    struct rows *rows, struct scheduler *holder, const char *az,
    keeper_fenced_fn fenced, void *arg);

void keeper_destroy(struct keeper *keeper);

/** keeper_begin() - this host holds now, under @token: read its jobs. */
void keeper_begin(struct keeper *keeper, uint64_t token);

/** keeper_end() - it does not any more: forget them. */
void keeper_end(struct keeper *keeper);

/**
 * keeper_accept() - store and run a job.
 * @request: its spec is taken; @body is its JSON form, copied.
 * @done: runs once; OK also if the job was accepted before.
 */
void keeper_accept(struct keeper *keeper, struct sched_request *request,
    const char *body, size_t len, keeper_done_fn done, void *arg);

/** keeper_cancel() - end a job; @done runs once it is stored. */
void keeper_cancel(struct keeper *keeper, const char *id, keeper_done_fn done,
    void *arg);

/**
 * keeper_state() - the state of a job that this scheduler runs.
 * @done: OK with the state once that state is stored, which is soon; NO_JOB
 *        if this scheduler does not have it. One that runs is watched for 50
 * ms, as callers often ask when it has just ended.
 */
void keeper_state(struct keeper *keeper, const char *id, keeper_state_fn done,
    void *arg);

/** keeper_drop() - no callback with @arg will run. */
void keeper_drop(struct keeper *keeper, const void *arg);

/**
 * keeper_progress() - for the scheduler: a run of a task ended, well or not.
 * Return: the number of the row's value that says so; 0 if it is not stored.
 */
uint64_t keeper_progress(void *keeper, const char *id, uint32_t task,
    uint64_t run_id, bool done);

/** keeper_unstored() - for the scheduler: the job's newest value that is not
 * stored yet, or 0. */
uint64_t keeper_unstored(void *keeper, const char *id);

#endif /* ENTRY_JOBS_JOB_STORE_H */
