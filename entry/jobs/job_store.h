#ifndef ENTRY_JOBS_JOB_STORE_H
#define ENTRY_JOBS_JOB_STORE_H

#include "entry/jobs/job_record.h"
#include "entry/jobs/scheduler.h"
#include "ports/clock.h"
#include "ports/rows.h"

/*
 * The job store: the stored jobs of the cell whose leases this host holds. A
 * job is accepted by writing its row to the store, and is then run by the
 * scheduler. Progress and the end of a job are stored before the end of a run
 * is acknowledged to its backend server. A new lease holder reads all jobs of
 * the cell back from the store.
 */

struct event_base;
struct job_store;

/** enum jstore_result - the result of a call. */
enum jstore_result {
	JSTORE_OK,
	JSTORE_REFUSED, /* nothing has been stored or will be */
	JSTORE_UNKNOWN, /* cannot be determined now; the caller may retry */
	JSTORE_NO_JOB,	/* the job does not exist in this cell */
};

/**
 * typedef jstore_state_fn - receives the state of a job.
 * @state: valid if @result is JSTORE_OK.
 * @has_started: a task of the job has been started.
 */
typedef void (*jstore_state_fn)(void *arg, enum jstore_result result,
    enum jrec_state state, bool has_started);
typedef void (*jstore_done_fn)(void *arg, enum jstore_result result);

/** typedef jstore_fenced_fn - a later lease holder owns rows of the cell. */
typedef void (*jstore_fenced_fn)(void *arg);

/**
 * jstore_create() - create an inactive job store.
 * @az: availability zone of the cell.
 * @fenced: called with @arg when a later lease holder has taken over the rows.
 *
 * Pointers are borrowed. Return: NULL when out of memory.
 */
struct job_store *jstore_create(struct event_base *base, struct clock *clock,
    struct rows *rows, struct scheduler *sched, const char *az,
    jstore_fenced_fn fenced, void *arg);

void jstore_destroy(struct job_store *store);

/**
 * jstore_activate() - start reading back the jobs of the cell. Called when
 * this host has become the lease holder.
 * @token: its fencing token.
 */
void jstore_activate(struct job_store *store, uint64_t token);

/** typedef jstore_owner_fn - @confirmed: the store names this host's token as
 * that of the cell's owner; false also if it could not be read. */
typedef void (*jstore_owner_fn)(void *arg, uint64_t sent_us, bool confirmed);

/**
 * jstore_read_owner() - read from the store whether this host still owns the
 * cell, which it does until a successor has claimed the cell's rows. Calls the
 * fenced callback if it has been replaced.
 * @sent_us: passed to @done.
 */
void jstore_read_owner(struct job_store *store, uint64_t sent_us,
    jstore_owner_fn done, void *arg);

/**
 * jstore_deactivate() - discard all jobs in memory. Called when this host has
 * ceased to be the lease holder. Pending callbacks receive JSTORE_UNKNOWN.
 */
void jstore_deactivate(struct job_store *store);

/**
 * jstore_accept() - store a new job, then submit it to the scheduler.
 * @request: ownership of its spec is taken.
 * @body: JSON form of the spec, @len bytes; copied.
 * @done: called once; with JSTORE_OK also if the job was accepted before.
 */
void jstore_accept(struct job_store *store, struct sched_request *request,
    const char *body, size_t len, jstore_done_fn done, void *arg);

/**
 * jstore_cancel() - stop a job and store it as cancelled.
 * @done: called once: when the cancellation is stored, or at once if the job
 *        has ended already.
 */
void jstore_cancel(struct job_store *store, const char *id, jstore_done_fn done,
    void *arg);

/**
 * jstore_get_state() - the state of a job of this cell.
 * @done: called once: with JSTORE_OK when the reported state is stored, with
 *        JSTORE_NO_JOB if the cell has no such job. If the job is running, the
 *        call waits up to 50 ms for it to end, because callers often query a
 *        job when it is about to end.
 */
void jstore_get_state(struct job_store *store, const char *id,
    jstore_state_fn done, void *arg);

/** jstore_drop_callbacks() - discard all pending callbacks with @arg. */
void jstore_drop_callbacks(struct job_store *store, const void *arg);

/**
 * jstore_record_run_end() - store that a run of a task has ended; a callback
 * of the scheduler.
 * @task: index of the task over all occurrences of the job.
 * @done: the run succeeded.
 *
 * Return: the sequence number of the row value that includes this end; 0 if
 * nothing needs to be stored.
 */
uint64_t jstore_record_run_end(void *store, const char *id, uint32_t task,
    uint64_t run_id, bool done);

/**
 * jstore_unstored_seq() - the sequence number of the newest value of a job's
 * row if that value is not stored, else 0; a callback of the scheduler.
 */
uint64_t jstore_unstored_seq(void *store, const char *id);

/**
 * jstore_submit_occurrence() - submit an occurrence of a stored job, and those
 * before it, although it may not be due; a callback of the scheduler.
 */
void jstore_submit_occurrence(void *store, const char *id, uint32_t occurrence);

#endif /* ENTRY_JOBS_JOB_STORE_H */
