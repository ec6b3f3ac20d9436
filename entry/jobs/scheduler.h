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
 * The scheduler of a cell (the backend servers of one availability zone). On
 * the host that holds the cell's leases it starts, monitors and stops the runs
 * of all jobs. It is active only while its fencing token is the highest that
 * these servers have received.
 */

struct event_base;
struct json_t;
struct scheduler;

/** enum sched_result - the outcome of a job, as reported to its submitter. */
enum sched_result {
	SCHED_COMPLETED,       /* all tasks are done */
	SCHED_FAILED,	       /* a task failed in all permitted attempts */
	SCHED_NOT_RUN,	       /* refused: no task was or will be started */
	SCHED_OUTCOME_UNKNOWN, /* abandoned; some tasks may have run */
	SCHED_NOT_HOLDER,      /* this host is not the holder of the cell */
	SCHED_UNSUPPORTED,     /* this host can't run the job: see the reason */
	SCHED_ACCEPTED,	       /* the job is stored and will be run */
};

/** struct sched_reply - the reply to a submission; borrowed. */
struct sched_reply {
	enum sched_result result;
	uint32_t retry_after_ms; /* for SCHED_NOT_RUN */
	const char *reason;	 /* human-readable, never NULL */
};

typedef void (*sched_done_fn)(void *arg, const struct sched_reply *reply);

/** struct sched_params - configuration; all pointers are borrowed. */
struct sched_params {
	struct event_base *base;
	struct clock *clock;
	struct worker *worker;
	struct advisor *advisor; /* NULL: jobs of advised queues are refused */
	uint32_t lease_ms;	 /* longest lease that servers grant */
	/* Length of the lease on the role of holder (core/holder_lease.h), the
	 * same on all hosts of the cell; at least lease_ms. 0: no other host
	 * takes over while this one is the holder. */
	uint32_t holder_lease_ms;
	/* Factor on the run time of a task that is away from its data. */
	uint32_t far_permille;
	/*
	 * Called when a run of a stored job's task has ended. @task counts
	 * through all occurrences of the job. Returns the sequence number that
	 * is passed to sched_progress_stored() once this end is stored, or 0
	 * if the end need not be stored.
	 */
	uint64_t (*record_run_end)(void *arg, const char *id, uint32_t task,
	    uint64_t run_id, bool done);
	/*
	 * Returns the sequence number of the newest value of the job's row if
	 * that value is not stored, else 0. Also called for jobs that the
	 * scheduler has already released.
	 */
	uint64_t (*unstored_seq)(void *arg, const char *id);
	/*
	 * Called when a server lists a run of an unknown job: submits the job
	 * if it is an occurrence of a stored one. It was due by the clock of
	 * the former holder that started it. NULL: there are no stored jobs.
	 */
	void (
	    *submit_occurrence)(void *arg, const char *id, uint32_t occurrence);
	/* Called when a server reports a higher fencing token. */
	void (*fenced)(void *arg);
	/* Called when this holder is first confirmed: the servers' rows are to
	 * be read again, and sched_servers_refreshed() to be called. NULL: they
	 * do not change. */
	void (*read_servers)(void *arg);
	/* Returns when the submitter of a best-effort job was last known to
	 * wait for it (us of the monotonic clock); @submission: the @arg of
	 * sched_submit(). NULL: submitters are not lost. */
	uint64_t (*submitter_alive_us)(void *arg, void *submission);
	void *arg;
};

/** struct sched_request - a job to run. */
struct sched_request {
	struct job_spec spec; /* the scheduler takes ownership of its memory */
	struct job_queue queue;
	uint32_t occurrence; /* number of the scheduled start, from 0 */
	uint32_t age_ms;     /* since the submitter first sent the job */
	uint32_t timeout_ms; /* from now until the submitter stops waiting */
	/* Since a time at which the submitter's host had not passed the job to
	 * any other holder. */
	uint64_t sent_ago_ms;
	bool resubmitted; /* another host may have started the job */
	/* The host of the submitter, "": this one, and its submission. */
	char host[NAME_SIZE];
	uint64_t nonce;
	/* As resubmitted, but not likely: the job gets no precedence. */
	bool wait_for_leases;
	bool may_refuse; /* refuse at once if the backlog is too long */
	bool stored;	 /* ends are stored; the submitter does not wait */
	/* The next three are indexed by task and set for stored jobs. */
	const uint8_t *done;	 /* nonzero: the task is done */
	const uint8_t *failures; /* number of failed runs */
	const uint64_t
	    *last_failed_run_ids; /* run id of the last failed run, or 0 */
};

/** struct sched_load - the load of the cell. */
struct sched_load {
	uint64_t cpu_total;  /* thousandths of a core */
	uint64_t cpu_free;   /* thousandths of a core */
	uint64_t backlog_ms; /* estimated time to run all waiting tasks */
	/* There may be runs on servers that a successor does not know. */
	bool runs_unknown;
};

/**
 * sched_create() - create an inactive scheduler.
 *
 * Return: the scheduler, or NULL if its events can't be created.
 */
struct scheduler *sched_create(const struct sched_params *params);

void sched_destroy(struct scheduler *sched);

/**
 * sched_activate() - take over all servers of the cell.
 * @token: fencing token, higher than any that was used before.
 */
void sched_activate(struct scheduler *sched, uint64_t token);

/**
 * sched_set_servers_complete() - whether every server that may be running
 * tasks is known. If not, resubmitted jobs are not started until all leases
 * that another host may have granted have expired.
 */
void sched_set_servers_complete(struct scheduler *sched, bool servers_complete);

/**
 * sched_set_former_runs_known() - what the present holder of the cell reports
 * (see struct sched_load), for the time after a take-over by this host. Until
 * then its runs are not known. Ignored while this host is the holder.
 */
void sched_set_former_runs_known(struct scheduler *sched, bool known);

/**
 * sched_set_server_unknown() - a former holder may have runs on a server that
 * this host has dropped. For the time until the next take-over.
 */
void sched_set_server_unknown(struct scheduler *sched);

bool sched_former_runs_known(const struct scheduler *sched);

/** sched_set_jobs_loaded() - all stored jobs of this cell were submitted. */
void sched_set_jobs_loaded(struct scheduler *sched);

/** sched_jobs_loaded() - whether this host is the holder and has all stored
 * jobs of this cell. */
bool sched_jobs_loaded(const struct scheduler *sched);

/** sched_progress_stored() - the values of a job's row up to sequence number
 * @seq are stored. */
void sched_progress_stored(struct scheduler *sched, const char *id,
    uint64_t seq);

/** sched_job_has_started() - whether any task of the job was started. */
bool sched_job_has_started(const struct scheduler *sched, const char *id);

/**
 * sched_pending_jobs() - number of stored jobs of a queue of which no task has
 * been started.
 */
uint32_t sched_pending_jobs(const struct scheduler *sched, const char *queue);

/**
 * sched_each_pending_job() - call @each with the queue name of every stored
 * job of which no task has been started.
 */
void sched_each_pending_job(const struct scheduler *sched,
    void (*each)(void *arg, const char *queue), void *arg);

/** sched_servers_refreshed() - the servers' rows were read again. */
void sched_servers_refreshed(struct scheduler *sched);

/**
 * sched_deactivate() - send no further orders, close all links to servers and
 * end all jobs with SCHED_NOT_HOLDER.
 */
void sched_deactivate(struct scheduler *sched);

/**
 * sched_confirm_holder() - renew the lease on the role of holder (see
 * core/holder_lease.h). Does nothing while inactive.
 * @confirmed_us: no other host had taken over then, see clock_now_us().
 */
void sched_confirm_holder(struct scheduler *sched, uint64_t confirmed_us);

/**
 * sched_confirm_owner() - as sched_confirm_holder(), by the store: no other
 * host had claimed the cell's rows then.
 */
void sched_confirm_owner(struct scheduler *sched, uint64_t confirmed_us);

/**
 * sched_awaits_owner() - whether the store has to confirm this holder: it was
 * not confirmed for a while, and another host may have run its stored jobs.
 * They are not started until then.
 */
bool sched_awaits_owner(const struct scheduler *sched);

/**
 * sched_awaits_confirmation() - whether runs that seem to have ended with a
 * lease are not started again until this holder is confirmed.
 */
bool sched_awaits_confirmation(const struct scheduler *sched);

/** sched_holder_confirmed() - whether the lease on the role of holder is valid.
 */
bool sched_holder_confirmed(const struct scheduler *sched);

/** sched_holder_age_ms() - time since the last confirmation of this holder, or
 * since it took over. */
uint64_t sched_holder_age_ms(const struct scheduler *sched);

/** sched_token() - the fencing token in use, or 0 if inactive. */
uint64_t sched_token(const struct scheduler *sched);

/** sched_server_update() - add a backend server or update its data. */
void sched_server_update(struct scheduler *sched,
    const struct reg_server *server);

/** sched_server_remove() - a backend server was removed from the registry. */
void sched_server_remove(struct scheduler *sched, const char *id);

/**
 * sched_submit() - run a job.
 * @done: called once, possibly before sched_submit() returns, unless the job
 *        is cancelled. A second submission of a job that has not ended
 *        replaces the first one's callback, which is called with
 *        SCHED_OUTCOME_UNKNOWN.
 */
void sched_submit(struct scheduler *sched, struct sched_request *request,
    sched_done_fn done, void *arg);

/**
 * sched_cancel() - stop the job that was submitted with @arg; its callback is
 * not called.
 */
void sched_cancel(struct scheduler *sched, const char *id, const void *arg);

/** sched_load() - get the load of the cell, computed a short time ago. */
void sched_load(struct scheduler *sched, struct sched_load *load);

/**
 * sched_suspects_render() - encode the tasks under which servers were lost.
 * @crashes_only: encode losses only of servers that have crashed or that refuse
 *                connections, for the holders of other cells, where the
 *                callers of these tasks may submit their jobs again. Only the
 *                holder of the cell sees that a server was just unreachable.
 * Return: a JSON array, owned by the caller.
 */
struct json_t *sched_suspects_render(const struct scheduler *sched,
    bool crashes_only);

/** sched_suspects_merge() - add what another host has on record. */
void sched_suspects_merge(struct scheduler *sched, const struct json_t *items);

/**
 * sched_risk_render() - encode the holder's runs whose loss would go with it:
 * those on servers that do not reply, and those of tasks under which servers
 * were lost. A host that is not the holder encodes what it was told last.
 * Return: a JSON object, owned by the caller; NULL if there are none.
 */
struct json_t *sched_risk_render(struct scheduler *sched);

/**
 * sched_risk_reported() - keep what another host has encoded, if it is newer.
 * This host records it should it take over, or if it has.
 * @holder_token: of that host; 0: it is not the holder.
 * @sent_us: when it was asked.
 * @message: NULL: none.
 */
void sched_risk_reported(struct scheduler *sched, uint64_t holder_token,
    uint64_t sent_us, const struct json_t *message);

/**
 * sched_pending_render() - encode the jobs of which a start order without a
 * reply may still be executed: those that became known after @seq.
 * @all: also encode what hosts of other cells have sent, for the hosts of this
 *       cell; the others get it from them.
 * Return: a JSON object, owned by the caller, with at most 500 jobs and the
 * sequence number (seq) to pass for the following ones; NULL if there are none.
 */
struct json_t *sched_pending_render(struct scheduler *sched, uint64_t seq,
    bool all);

/**
 * sched_pending_merge() - add what another host has encoded.
 * @host: its name, for the log.
 * @local: it belongs to this cell.
 * @sent_us: when it was asked: the remaining times count from then.
 * @message: NULL: none.
 * Return: the sequence number to pass to that host from now on, or 0 if the
 * message does not tell.
 */
uint64_t sched_pending_merge(struct scheduler *sched, const char *host,
    bool local, uint64_t sent_us, const struct json_t *message);

/**
 * sched_pending_reported() - add the best-effort jobs of its callers that
 * another host reports, which go on in another cell.
 * @host: its name, for the log.
 * @message: a JSON object with an array (jobs) of arrays of the id, the
 *           remaining time (ms; 0: nothing is left of the submission) and the
 *           nonce of the submission, which is not refused for that; may be
 *           NULL.
 */
void sched_pending_reported(struct scheduler *sched, const char *host,
    const struct json_t *message);

/** sched_idle() - whether the scheduler has no job, not even an ended one. */
bool sched_idle(const struct scheduler *sched);

#endif /* ENTRY_JOBS_SCHEDULER_H */
