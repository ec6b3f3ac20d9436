#ifndef ENTRY_JOBS_SCHEDULER_H
#define ENTRY_JOBS_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/job.h"
#include "entry/jobs/directory.h"
#include "ports/advisor.h"
#include "ports/clock.h"
#include "ports/worker.h"

/*
 * The holder of a cell: starts, watches and stops the runs of all jobs on the
 * backend servers of one availability zone, while its fencing token is the
 * highest that these servers have seen.
 */

struct event_base;
struct scheduler;

/** enum sched_result - how a job ended for its submitter. */
enum sched_result {
	SCHED_COMPLETED,       /* all tasks are done */
	SCHED_FAILED,	       /* a task failed as often as it may */
	SCHED_NOT_RUN,	       /* refused: nothing was started or will be */
	SCHED_OUTCOME_UNKNOWN, /* out of time; some tasks may have run */
	SCHED_NOT_HOLDER,      /* this host does not hold the cell (any more) */
	SCHED_UNSUPPORTED,     /* the job can't be run here: see the reason */
	SCHED_ACCEPTED,	       /* it is stored, and runs on */
};

/** struct sched_reply - the answer to a submission; borrowed. */
struct sched_reply {
	enum sched_result result;
	uint32_t retry_after_ms; /* for NOT_RUN */
	const char *reason;	 /* for people, never NULL */
};

typedef void (*sched_done_fn)(void *arg, const struct sched_reply *reply);

/** struct sched_params - all borrowed. */
struct sched_params {
	struct event_base *base;
	struct clock *clock;
	struct worker *worker;
	struct advisor *advisor; /* NULL: advised queues are refused */
	uint32_t lease_ms;	 /* longest lease that servers grant */
	uint32_t far_permille;	 /* slowdown of a task away from its data */
	/*
	 * A run of a stored job's task has ended; tasks are counted through
	 * all times of the job. Returns the number by which
	 * sched_progress_stored() will name that; 0 if it need not be waited
	 * for.
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

/** struct sched_request - a job to run. */
struct sched_request {
	struct job_spec spec; /* the holder takes what it owns */
	struct job_queue queue;
	uint32_t occurrence;  /* which of the spec's times, from 0 */
	uint32_t age_ms;      /* since the submitter first sent it */
	uint32_t timeout_ms;  /* the submitter waits so long from now */
	bool resubmitted;     /* another holder may have started it */
	bool may_refuse;      /* refuse at once what would wait too long */
	bool stored;	      /* nobody waits; its progress is stored */
	const uint8_t *done;  /* by task, of a stored job: it is done */
	const uint8_t *fails; /* by task: runs that have failed */
	const uint64_t *failed_runs; /* by task: the last of them, or 0 */
};

/** struct sched_load - how busy the cell is. */
struct sched_load {
	uint64_t cpu_total; /* thousandths of a core */
	uint64_t cpu_free;
	uint64_t backlog_ms; /* to get through what waits */
};

/** sched_create() - a holder that holds nothing yet; NULL: no memory. */
struct scheduler *sched_create(const struct sched_params *params);

void sched_destroy(struct scheduler *sched);

/** sched_activate() - hold all servers with @token, which must be a new one. */
void sched_activate(struct scheduler *sched, uint64_t token);

/**
 * sched_set_servers_complete() - are all servers known that may be running
 * work? While not, jobs of another holder wait until its leases have ended.
 */
void sched_set_servers_complete(struct scheduler *sched, bool servers_complete);

/** sched_set_jobs_loaded() - all stored jobs of this cell have been submitted.
 */
void sched_set_jobs_loaded(struct scheduler *sched);

/** sched_progress_stored() - a job's progress up to number @seq is stored. */
void sched_progress_stored(struct scheduler *sched, const char *id,
    uint64_t seq);

/** sched_job_has_started() - has anything of this job been started? */
bool sched_job_has_started(const struct scheduler *sched, const char *id);

/** sched_pending_jobs() - jobs of a queue of which nothing has started. */
uint32_t sched_pending_jobs(const struct scheduler *sched, const char *queue);

/** sched_each_pending_job() - names the queue of each such job, all queues. */
void sched_each_pending_job(const struct scheduler *sched,
    void (*each)(void *arg, const char *queue), void *arg);

/** sched_servers_refreshed() - the servers' rows have been read anew. */
void sched_servers_refreshed(struct scheduler *sched);

/** sched_deactivate() - stop giving orders; all jobs are answered MOVED. */
void sched_deactivate(struct scheduler *sched);

/** sched_token() - the token in use, or 0. */
uint64_t sched_token(const struct scheduler *sched);

/** sched_server_update() - a backend server is there, or has changed. */
void sched_server_update(struct scheduler *sched,
    const struct dir_server *server);

/** sched_server_remove() - a backend server has left the directory. */
void sched_server_remove(struct scheduler *sched, const char *id);

/**
 * sched_submit() - run a job.
 * @done: runs once, at once or later, unless the job is cancelled. A second
 *        submission of a job that is under way replaces the first one's
 *        callback, which is answered GAVE_UP.
 */
void sched_submit(struct scheduler *sched, struct sched_request *request,
    sched_done_fn done, void *arg);

/** sched_cancel() - stop a job whose submitter is @arg; @done won't run. */
void sched_cancel(struct scheduler *sched, const char *id, const void *arg);

/** sched_load() - how busy the cell is. */
void sched_load(const struct scheduler *sched, struct sched_load *load);

/** sched_idle() - no job is under way and nothing is running. */
bool sched_idle(const struct scheduler *sched);

#endif /* ENTRY_JOBS_SCHEDULER_H */
