#ifndef ENTRY_JOBS_SCHEDULER_H
#define ENTRY_JOBS_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/job.h"
#include "entry/jobs/registry.h"
#include "ports/advisor.h"
#include "ports/clock.h"
#include "ports/worker.h"

/*
 * The holder of a cell: starts, watches and stops the runs of all jobs on the
 * backend servers of one availability zone, while its fencing token is the
 * highest that these servers have seen.
 */

struct event_base;
struct holder;

/** enum holder_result - how a job ended for its submitter. */
enum holder_result {
	HOLDER_COMPLETED, /* all tasks are done */
	HOLDER_FAILED,	  /* a task failed as often as it may */
	HOLDER_NOT_RUN,	  /* refused: nothing was started or will be */
	HOLDER_GAVE_UP,	  /* out of time; some tasks may have run */
	HOLDER_MOVED,	  /* this host does not hold the cell (any more) */
	HOLDER_BAD,	  /* the job can't be run here: see the reason */
	HOLDER_ACCEPTED,  /* it is stored, and runs on */
};

/** struct holder_reply - the answer to a submission; borrowed. */
struct holder_reply {
	enum holder_result result;
	uint32_t retry_after_ms; /* for NOT_RUN */
	const char *reason;	 /* for people, never NULL */
};

typedef void (*holder_done_fn)(void *arg, const struct holder_reply *reply);

/** struct holder_params - all borrowed. */
struct holder_params {
	struct event_base *base;
	struct clock *clock;
	struct worker *worker;
	struct advisor *advisor; /* NULL: advised queues are refused */
	uint32_t lease_ms;	 /* longest lease that servers grant */
	uint32_t far_permille;	 /* slowdown of a task away from its data */
	/*
	 * A run of a stored job's task has ended; tasks are counted through
	 * all times of the job. Returns the number by which holder_stored()
	 * will name that; 0 if it need not be waited for.
	 */
	uint64_t (*progress)(void *arg, const char *id, uint32_t task,
	    uint64_t run_id, bool done);
	/* The number of the job's newest progress or end that is not stored
	 * yet, 0 if all is stored; also of jobs that the holder is done with.
	 */
	uint64_t (*unstored)(void *arg, const char *id);
	/* The servers have seen a higher token. */
	void (*fenced)(void *arg);
	void *arg;
};

/** struct holder_request - a job to run. */
struct holder_request {
	struct job_spec spec; /* the holder takes what it owns */
	struct job_queue queue;
	uint32_t time;	      /* which of the spec's times, from 0 */
	uint32_t age_ms;      /* since the submitter first sent it */
	uint32_t patience_ms; /* the submitter waits so long from now */
	bool resubmitted;     /* another holder may have started it */
	bool may_refuse;      /* refuse at once what would wait too long */
	bool stored;	      /* nobody waits; its progress is stored */
	const uint8_t *done;  /* by task, of a stored job: it is done */
	const uint8_t *fails; /* by task: runs that have failed */
	const uint64_t *failed_runs; /* by task: the last of them, or 0 */
};

/** struct holder_load - how busy the cell is. */
struct holder_load {
	uint64_t cpu_total; /* thousandths of a core */
	uint64_t cpu_free;
	uint64_t backlog_ms; /* to get through what waits */
};

/** holder_create() - a holder that holds nothing yet; NULL: no memory. */
struct holder *holder_create(const struct holder_params *params);

void holder_destroy(struct holder *holder);

/** holder_begin() - hold all servers with @token, which must be a new one. */
void holder_begin(struct holder *holder, uint64_t token);

/**
 * holder_set_complete() - are all servers known that may be running work?
 * While not, jobs of another holder wait until its leases have ended.
 */
void holder_set_complete(struct holder *holder, bool complete);

/** holder_set_loaded() - all stored jobs of this cell have been submitted. */
void holder_set_loaded(struct holder *holder);

/** holder_stored() - a job's progress up to number @seq is stored. */
void holder_stored(struct holder *holder, const char *id, uint64_t seq);

/** holder_has_begun() - has anything of this job been started? */
bool holder_has_begun(const struct holder *holder, const char *id);

/** holder_pending() - jobs of a queue of which nothing has started. */
uint32_t holder_pending(const struct holder *holder, const char *queue);

/** holder_each_pending() - names the queue of each such job, all queues. */
void holder_each_pending(const struct holder *holder,
    void (*each)(void *arg, const char *queue), void *arg);

/** holder_fresh() - the servers' rows have been read anew. */
void holder_fresh(struct holder *holder);

/** holder_end() - stop giving orders; all jobs are answered MOVED. */
void holder_end(struct holder *holder);

/** holder_token() - the token in use, or 0. */
uint64_t holder_token(const struct holder *holder);

/** holder_server() - a backend server is there, or has changed. */
void holder_server(struct holder *holder, const struct reg_server *server);

/** holder_server_gone() - a backend server has left the directory. */
void holder_server_gone(struct holder *holder, const char *id);

/**
 * holder_submit() - run a job.
 * @done: runs once, at once or later, unless the job is cancelled. A second
 *        submission of a job that is under way replaces the first one's
 *        callback, which is answered GAVE_UP.
 */
void holder_submit(struct holder *holder, struct holder_request *request,
    holder_done_fn done, void *arg);

/** holder_cancel() - stop a job whose submitter is @arg; @done won't run. */
void holder_cancel(struct holder *holder, const char *id, const void *arg);

/** holder_load() - how busy the cell is. */
void holder_load(const struct holder *holder, struct holder_load *load);

/** holder_idle() - no job is under way and nothing is running. */
bool holder_idle(const struct holder *holder);

#endif /* ENTRY_JOBS_SCHEDULER_H */
