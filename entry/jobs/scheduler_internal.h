#ifndef ENTRY_JOBS_SCHEDULER_INTERNAL_H
#define ENTRY_JOBS_SCHEDULER_INTERNAL_H

#include <event2/event.h>
#include <sys/queue.h>

#include "core/bulkhead.h"
#include "core/holder_lease.h"
#include "core/lease.h"
#include "core/name_index.h"
#include "core/pending.h"
#include "core/place.h"
#include "core/rtt.h"
#include "core/suspect.h"
#include "core/unread.h"
#include "entry/jobs/scheduler.h"

/*
 * Types and functions shared by the files of the scheduler:
 *   scheduler.c           life cycle
 *   scheduler_job.c       submission and end of jobs
 *   scheduler_server.c    leases, and the lists of runs that servers return
 *   scheduler_lease.c     time until which leases may be extended
 *   scheduler_run.c       start and stop orders
 *   scheduler_late.c      start orders without a reply
 *   scheduler_pending.c   jobs that may have one, also of other hosts
 *   scheduler_restart.c   whether a task may have another run
 *   scheduler_end.c       processing of ended runs
 *   scheduler_ack.c       acknowledgement of ended runs
 *   scheduler_dispatch.c  order of waiting tasks, and refusals
 *   scheduler_place.c     choice of a server for a task
 *   scheduler_gang.c      gang scheduling
 *   scheduler_advice.c    placement permits from an external policy
 *   scheduler_suspect.c   tasks that may crash servers
 *   scheduler_risk.c      runs whose loss is not on record yet
 *   scheduler_bulkhead.c  queues with many of them
 *
 * A hold is the long-poll request to a server that renews its lease,
 * acknowledges ended runs and returns the lists of running and ended runs.
 */

#define SCHED_JOB_BUCKETS 1024

/* The lease is renewed when a hold is sent. With this wait at most a third of
 * the lease passes until the next renewal. */
#define SCHED_HOLD_WAIT_MAX_MS 300
/* A hold waits until this long after the expected end of a run. */
#define SCHED_HOLD_MARGIN_MS 30
#define SCHED_HOLD_WAIT_MIN_MS 60
/* Interval of holds while a stopped run has not ended, ends are not
 * acknowledged or stored jobs are not loaded. */
#define SCHED_SHORT_POLL_MS 25
/* The same while a former holder's leases may last, as a job that it has passed
 * on needs new lists of all servers. */
#define SCHED_HOLD_WAIT_FORMER_MS 100
/* Holds are short for this time after a job has needed new lists. */
#define SCHED_LISTS_WANTED_MS 100
/* Delay before the ends of an idle server are acknowledged. */
#define SCHED_ACK_DELAY_MS 60
/* Delay before an unanswered hold or stop is retried. */
#define SCHED_RETRY_DELAY_MS 50
/* Delay before the link to a lost server is opened again. */
#define SCHED_REOPEN_DELAY_MS 150
/* With more consecutive unanswered holds a server counts as unreachable. */
#define SCHED_UNANSWERED_HOLDS_MAX 1
/* Time for an unknown run to be adopted by its job before it is stopped; see
 * also scheduler_lease.c. */
#define SCHED_ORPHAN_GRACE_MS 150
/* No starts on a server for this time after it refused one because it lacks
 * free resources, and after it refused one for another reason. */
#define SCHED_NO_CAPACITY_PAUSE_MS 15
#define SCHED_REFUSAL_PAUSE_MS 250
/* The load is computed again after this time. */
#define SCHED_LOAD_VALID_MS 50
/* A server does not restart and get a run from a former holder in less than
 * this time. */
#define SCHED_RESTART_MIN_MS 50
/* Interval of the checks for deadlines, stragglers and orphans. */
#define SCHED_TICK_MS 20
/* No starts under a shorter lease. */
#define SCHED_START_LEASE_MIN_MS 250
/* A server is ejected after failed runs of this many different jobs without a
 * success in between. The ejection time doubles from the minimum. */
#define SCHED_EJECT_FAILED_JOBS 3
#define SCHED_EJECT_MIN_MS 2000
#define SCHED_EJECT_MAX_MS 8000
/* A run is stopped, and its task started on another server, when it takes this
 * multiple of its expected time, and at least the minimum. */
#define SCHED_STRAGGLER_FACTOR 4
#define SCHED_STRAGGLER_MIN_MS 300
/* After a take-over no task is started until the servers' rows have been read,
 * or for at most this time. */
#define SCHED_RECOVERY_MAX_MS 250
/* Limit of start orders for one run; sufficient if half of them are lost. */
#define SCHED_START_ATTEMPTS_MAX 12
/* Time from the end of a task until the submitter receives the reply. */
#define SCHED_REPLY_MS 10
/* Number of run ids that each task has under one token. */
#define SCHED_RUN_IDS_PER_TOKEN 64

enum sched_task_state {
	SCHED_TASK_BLOCKED,  /* not queued: a prerequisite is not done */
	SCHED_TASK_WAITING,  /* queued for a server */
	SCHED_TASK_STARTING, /* start ordered, not confirmed */
	SCHED_TASK_RUNNING,
	SCHED_TASK_STOPPING, /* a new run waits for the end of this one */
	SCHED_TASK_DONE,     /* a gang member's run may still be listed */
};

/* A pending order. Its server is not freed before it ends, but the run may be
 * released, and the task then be freed or have a new run. */
struct sched_order {
	struct sched_task *task;     /* NULL: the run was released */
	struct sched_orphan *orphan; /* that is stopped, or NULL */
	struct sched_server *server;
	uint64_t sent_us;
	/* Of a start order, else "" and 0; and the server's process that was
	 * known then. */
	char start_task[WORKER_TASK_NAME_SIZE];
	uint64_t start_run_id;
	uint64_t process_started_ms;
	LIST_ENTRY(sched_order) entry;
};

struct sched_advice;
struct sched_job;
struct sched_order;
struct sched_server;

/** struct sched_task - one task of a job. */
struct sched_task {
	struct sched_job *job;
	uint32_t step;
	uint32_t index;
	enum sched_task_state state;
	uint32_t runs;		     /* number of runs under the token */
	uint32_t failures;	     /* number of failed runs */
	uint64_t last_failed_run_id; /* newest one counted */
	struct sched_server *server; /* that has or may have its run; or NULL */
	uint64_t run_id;
	uint32_t start_attempts;    /* start orders sent for this run */
	uint32_t starts_refused;    /* of them; their connection was refused */
	uint32_t starts_unanswered; /* of them; may have been executed */
	uint64_t unanswered_us;	    /* when the first of these was known */
	/* The run before, and why it has ended; 0 and NULL: none. */
	uint64_t former_run_id;
	const char *former_end;
	uint64_t start_sent_us;	 /* last start order; 0: run was adopted */
	uint64_t last_update_us; /* last order ended, or run was last listed */
	uint64_t stopping_since_us; /* first stop order; 0: none */
	uint32_t stops_unanswered;
	struct sched_order *order; /* pending, for this run; NULL: none */
	char *last_checkpoint;	   /* owned; NULL: none */
	uint64_t checkpoint_run;   /* run id that wrote last_checkpoint */
	bool start_confirmed;	   /* by a reply to the order, or by a list */
	bool stop_confirmed;   /* the run can't start later, and ends soon */
	bool has_server_alone; /* the server was vacant before its start */
	bool isolate;  /* a suspect: its next run needs a server of its own */
	bool isolated; /* no other task is started beside its run */
	uint64_t
	    isolate_until_us; /* then the server may have others; 0: unset */
	TAILQ_ENTRY(sched_task) on_server;
	TAILQ_ENTRY(sched_task) waiting;
};

TAILQ_HEAD(sched_tasks, sched_task);
LIST_HEAD(sched_orders, sched_order);

/** struct sched_job - one occurrence of a job. */
struct sched_job {
	struct scheduler *sched;
	struct job_spec spec;
	uint32_t occurrence;
	struct job_queue queue;
	struct sched_task *tasks;    /* spec.ntasks of them, ordered by step */
	struct sched_advice *advice; /* by step; NULL: the queue needs none */
	uint32_t ndone;
	uint32_t nassigned;	 /* tasks that have a server */
	uint64_t submitted_us;	 /* when the submitter first sent the job */
	uint64_t objective_us;	 /* the job is on time if it ends before */
	uint64_t value_until_us; /* a later end has no value */
	uint64_t submitter_deadline_us; /* the submitter stops waiting then */
	/* The submitter of an ended job was last known to wait for it. */
	uint64_t attended_us;
	/* The host of its submitter had not passed it to another holder then.
	 */
	uint64_t sent_us;
	/* Runs that another host started may last until this time, or until
	 * the leases of former holders have ended. Until then, no task is
	 * started unless all servers are known and held. 0: no host did. */
	uint64_t start_after_us;
	/* When another host had passed the job on to this one; 0: none did. */
	uint64_t passed_on_us;
	bool stored;
	/* A run of the job was found or started, or is stored as ended. */
	bool has_started;
	/* A start was ordered by this host, or perhaps by another one. */
	bool may_have_started;
	/* Another host may have started its tasks: those that it has started
	 * are adopted, the others are not started. */
	bool adopts_only;
	/* Of the first submission to this host; see struct sched_request. */
	char host[NAME_SIZE];
	uint64_t nonce;
	uint64_t joined_nonce; /* of the last one that has joined it */
	/* A run of one of its tasks may go on unknown, so that the task can't
	 * have another one; see scheduler_restart.c. */
	bool run_unknown;
	/* A run may last longer than the lease on the role of holder. */
	bool started_unconfirmed;
	bool has_suspects;    /* servers were lost under its tasks */
	bool crashes_servers; /* one of its tasks does; the job is to fail */
	bool ended;	      /* the submitter has its reply; runs may remain */
	sched_done_fn done;
	void *arg;
	LIST_ENTRY(sched_job) hash;
	TAILQ_ENTRY(sched_job) entry;
};

TAILQ_HEAD(sched_jobs, sched_job);

/** struct sched_orphan - a run that belongs to no known job or task. */
struct sched_orphan {
	char task[WORKER_TASK_NAME_SIZE];
	uint64_t run_id;
	/* Time of the first list with the run, or of the last stop order. */
	uint64_t grace_start_us;
	struct sched_order *order; /* pending stop; NULL: none */
	bool stop_confirmed;
	bool listed;   /* in the last reply to a hold */
	bool expected; /* it may start yet; see scheduler_late.c */
	TAILQ_ENTRY(sched_orphan) entry;
};

TAILQ_HEAD(sched_orphans, sched_orphan);

/** struct sched_late_start - a start order without a reply. */
struct sched_late_start {
	char task[WORKER_TASK_NAME_SIZE];
	uint64_t run_id;
	uint64_t expires_us;
	/* The process that has confirmed the stop, or, before that, the one
	 * that the order was sent to. */
	uint64_t process_started_ms;
	TAILQ_ENTRY(sched_late_start) entry;
};

TAILQ_HEAD(sched_late_starts, sched_late_start);

/** struct sched_unstored_end - an ended run that is not stored. */
struct sched_unstored_end {
	uint64_t number; /* the server's number of this end */
	uint64_t seq;	 /* of the job's row value that must be stored first */
	char id[JOB_ID_LEN + 1];
	TAILQ_ENTRY(sched_unstored_end) entry;
};

TAILQ_HEAD(sched_unstored_ends, sched_unstored_end);

/** struct sched_server - one incarnation of a backend server. */
struct sched_server {
	struct scheduler *sched;
	struct reg_server info;
	struct worker_link *link; /* NULL: closed; inactive or lost */
	struct lease lease;
	/* The lease must not last longer, as of its last extension or the last
	 * start of a run; UINT64_MAX: no limit. */
	uint64_t lease_end_us;
	struct sched_tasks tasks; /* that have or may have a run on it */
	struct sched_orphans orphans;
	struct sched_orders orders;	      /* pending */
	struct sched_late_starts late_starts; /* oldest first */
	uint32_t nlate_starts;
	int64_t used_cpu;	 /* thousandths of a core */
	int64_t used_mem;	 /* MB */
	int64_t used_gpu;	 /* number of GPUs */
	uint32_t speed_permille; /* measured, of the nominal speed */
	/* Start of the incarnation that sent the last lists; 0: none. */
	uint64_t incarnation_start_ms;
	uint64_t acknowledged; /* the server may discard ends up to this one */
	uint64_t lists_connection_id; /* of the last lists; 0: none */
	uint64_t processed_end;	      /* number of the last processed end */
	uint64_t acknowledged_sent;   /* value that the last hold sent */
	struct sched_unstored_ends unstored_ends; /* ordered by number */
	uint64_t listed_us;    /* last lists that were processed */
	uint64_t list_sent_us; /* the hold that returned them */
	bool held;	       /* its lists were processed under this token */
	bool was_held;	       /* under this token, perhaps not now */
	bool ends_listed;      /* all ends, by the lists since it was held */
	bool removed;	       /* from the registry; freed when unused */
	/* Its row was read, or it was found to have restarted, under this
	 * token; 0: neither. */
	uint64_t known_us;
	bool lease_limited; /* its lease may not be extended now */
	bool refusing;	    /* it refuses connections since it was held */
	bool reserved;	    /* for queues that are not confined */
	uint32_t nisolated; /* runs that no other task is started beside */
	/* The incarnation that was last seen to be back, and when; and the one
	 * before it. */
	uint64_t seen_start_ms;
	uint64_t seen_us;
	uint64_t former_seen_start_ms;
	uint64_t former_seen_us;
	bool hold_pending;
	uint64_t hold_sent_us;
	uint64_t hold_due_us;	   /* next hold; 0: not scheduled */
	uint32_t unanswered_holds; /* consecutive */
	uint64_t reopen_at_us;	   /* if lost: no new link before this time */
	uint64_t no_start_until_us;
	uint64_t ejected_until_us;
	uint32_t eject_ms;    /* length of the last ejection; 0: none */
	uint32_t failed_jobs; /* with a failed run since the last success */
	char last_failed_job_id[JOB_ID_LEN + 1];
	uint32_t pending_calls; /* orders without a reply; not the hold */
	struct nidx_entry by_id;
	TAILQ_ENTRY(sched_server) entry;
};

TAILQ_HEAD(sched_servers, sched_server);

/* The servers that tasks of confined queues may use, and those of the others;
 * see core/bulkhead.h. All are in the second one if no queue is confined. */
enum sched_share_name {
	SCHED_SHARE_CONFINED,
	SCHED_SHARE_OTHERS,
	SCHED_SHARES,
};

/** struct sched_share - load of a share of the servers. */
struct sched_share {
	/* Speed at which its servers run tasks, in thousandths of a core of
	 * nominal speed. */
	uint64_t service_rate;
	/* Work of its waiting tasks, in thousandths of a core * ms, while a
	 * queue is confined. */
	uint64_t queued_work;
};

struct scheduler {
	struct sched_params params;
	uint64_t token; /* 0: inactive */
	uint64_t activated_us;
	struct holder_lease holder_lease;
	bool holder_confirmed; /* holder_lease has not expired; at last tick */
	uint64_t awaits_owner_us; /* see sched_awaits_owner(); since then */
	bool awaits_confirmation; /* see sched_awaits_confirmation() */
	/* A server was removed before it was held, so that a former holder may
	 * have runs there. */
	bool server_unknown;
	bool jobs_loaded;      /* all stored jobs were submitted */
	uint64_t loaded_us;    /* when they were; until then activated_us */
	bool servers_complete; /* no server is missing in the list */
	bool rows_refreshed;   /* servers' rows were read since activation */
	bool awaits_rows;      /* and not yet since the first confirmation */
	/* The former holder had no runs on servers that may not be known. */
	bool former_runs_known;
	struct sched_servers servers;
	/* Includes removed servers; one that is not removed is found first. */
	struct name_index servers_by_id;
	struct unread unread;	      /* by the ticks since the activation */
	uint64_t submitters_check_us; /* next check */
	uint64_t tick_delay_us;	      /* smoothed; by which ticks run late */
	uint64_t lists_wanted_us;     /* a job needed new lists; 0: never */
	struct rtt order_time;	      /* of orders to all servers */
	uint64_t order_answered_us;   /* the last one; 0: none */
	struct sched_load load;	      /* as of load_updated_us */
	uint64_t load_updated_us;
	struct sched_share shares[SCHED_SHARES]; /* as of shares_updated_us */
	uint64_t shares_updated_us;		 /* 0: not computed */
	struct sched_jobs jobs;
	struct sched_job *next_checked; /* by the tick in progress, or NULL */
	LIST_HEAD(, sched_job) buckets[SCHED_JOB_BUCKETS];
	struct sched_tasks waiting; /* by the latest start that is on time */
	/* Work of the waiting tasks, in thousandths of a core * ms. */
	uint64_t queued_work;
	LIST_HEAD(, sched_advice_call) advice_calls; /* pending */
	uint32_t nadvice_calls;
	struct suspects suspects;
	/* Runs at risk, as last reported by the holder with this token; owned.
	 * NULL: none, or they are recorded. */
	struct json_t *risk_runs;
	uint64_t risk_token;
	uint64_t risk_reported_us;
	/* Kept through changes of the holder. */
	struct pending pending;
	struct bulkhead bulkhead;
	/* Demand of the queues that are not confined, in thousandths of a core;
	 * its recent maximum. */
	int64_t others_cpu;
	struct event *tick_event;
	struct event *dispatch_event;
	struct place_server *candidates; /* buffer of sched_dispatch() */
	size_t ncandidates;		 /* allocated entries */
};

/* scheduler.c */
uint64_t sched_now(const struct scheduler *sched);
/* How long the lease on the role of holder lasts from now on; 0: it has
 * expired, UINT32_MAX: it does not expire. */
uint32_t sched_holder_remaining_ms(const struct scheduler *sched);
/* The last time at which no other host had replaced this holder, as far as it
 * knows. A successor may have extended leases that seem to have ended later. */
uint64_t sched_confirmed_us(const struct scheduler *sched);
/* Updates holder_confirmed, and reports a change of it. */
void sched_check_holder_lease(struct scheduler *sched);
/* Frees the removed servers of an inactive scheduler. */
void sched_free_removed(struct scheduler *sched);

/* scheduler_job.c */
/* Latest expiry of leases that were not renewed after @since_us. */
uint64_t sched_leases_end_us(const struct scheduler *sched, uint64_t since_us);
/* Latest expiry of leases that a former holder has granted; UINT64_MAX until
 * this host is confirmed as the holder. */
uint64_t sched_former_leases_end_us(const struct scheduler *sched);
/* Whether tasks of the job may be running that another host has started. */
bool sched_job_awaits_leases(const struct sched_job *job, uint64_t now_us);
/* Whether a run of the job that is started now, with a lease that is not
 * extended, has ended before the job can be submitted to a successor. */
bool sched_job_may_start_unconfirmed(const struct sched_job *job);
struct sched_job *sched_job_find(const struct scheduler *sched, const char *id,
    uint32_t occurrence);
/* Replies to the submitter and stops the runs of the job. */
void sched_job_finish(struct sched_job *job, const struct sched_reply *reply);
/* Frees an ended job that has no runs. */
void sched_job_release_ended(struct sched_job *job);
struct sched_task *sched_task_find(struct scheduler *sched, const char *name);
/* Finds the task of a listed run. Its job is submitted if it is an occurrence
 * that only a former holder took for due. */
struct sched_task *sched_task_find_listed(struct scheduler *sched,
    const char *name);
void sched_task_name(const struct sched_task *task,
    char name[WORKER_TASK_NAME_SIZE]);

/* scheduler_server.c */
void sched_server_free(struct sched_server *server);
/* Whether a lease for a new run affects nothing else: the server has no other
 * run, and no end that is not acknowledged, which must not outlive the lease
 * under which its run has ended. */
bool sched_server_vacant(const struct sched_server *server);
/* Sends a hold, unless one is pending. */
void sched_server_hold(struct sched_server *server, uint64_t now_us);
/* Whether no run on the server that was started under its lease goes on. */
bool sched_lease_ended(const struct sched_server *server);
/* Periodic checks: link, lease, next hold, stragglers and orphans. */
void sched_server_tick(struct sched_server *server, uint64_t now_us);
void sched_server_reset(struct sched_server *server);
/* Closes the link; runs remain assigned. */
void sched_server_disconnect(struct sched_server *server);
/* Stops a run that the server may start later. */
void sched_orphan_expect(struct sched_server *server, const char *task,
    uint64_t run_id);
void sched_orphan_free(struct sched_server *server,
    struct sched_orphan *orphan);
/** enum sched_loss - what is known of a server that is lost. */
enum sched_loss {
	SCHED_LOSS_UNREACHABLE, /* its lease has ended */
	SCHED_LOSS_RESTARTED,	/* its process has ended; its id is in use */
	SCHED_LOSS_REPLACED,	/* another server has its address */
};

/* Closes the link to the server and releases its runs. */
void sched_server_lost(struct sched_server *server, const char *reason,
    enum sched_loss loss);
/* The server refuses connections: perhaps its process has ended. */
void sched_server_refused(struct sched_server *server);
/*
 * Calls the fenced callback if the server has a higher token, and closes the
 * link if another incarnation replies. Return: true in both cases; the caller
 * then ignores the reply.
 */
bool sched_check_verdict(struct sched_server *server,
    enum worker_verdict verdict);
void sched_orphans_adopt(struct sched_job *job);

/* scheduler_run.c */
/* Starts a new run of a waiting task. */
void sched_run_start(struct sched_task *task, struct sched_server *server);
/* Orders the stop of the task's run, if no order is pending. */
void sched_run_stop(struct sched_task *task);
/* Whether the start of the task's run is to be ordered again once its server
 * lists its runs: the task can't have a run on another server. */
bool sched_start_is_bound(const struct sched_task *task);
/* Orders a start again that has no reply, of a run that is not listed, or the
 * stop of the run if the server must not start the task any more. */
void sched_start_again(struct sched_task *task);
void sched_orders_discard(struct sched_server *server);
void sched_run_stop_orphan(struct sched_server *server,
    struct sched_orphan *orphan);
/* Assigns a run that the server has listed to its task. */
void sched_run_adopt(struct sched_task *task, struct sched_server *server,
    uint64_t run_id, uint64_t now_us);
/* Releases the resources that the task's run uses on its server. */
void sched_task_unassign(struct sched_task *task);

/* scheduler_ack.c */
void sched_unstored_clear(struct sched_server *server);
/* Delays the acknowledgement of an end until @seq of its job is stored. */
void sched_unstored_add(struct sched_server *server,
    const struct worker_ended *ended, uint64_t seq);
/* The sequence number that must be stored before an end that needs no further
 * processing is acknowledged, or 0. */
uint64_t sched_unstored_seq(const struct scheduler *sched,
    const struct worker_ended *ended);
/* Updates what the next hold acknowledges. */
void sched_update_acknowledged(struct sched_server *server);

/* scheduler_lease.c */
/* Records when the submitter of a job that ends was last known to wait. */
void sched_job_unattended(struct sched_job *job);
/* Ends a job whose submitter is no longer known to wait for it. Return: true if
 * the job was ended. */
bool sched_job_give_up(struct sched_job *job, uint64_t now_us);
/* Updates the time until which the server's lease may be extended. */
void sched_lease_update_end(struct sched_server *server);
/* Extends the server's lease, within the lease on the role of holder, and as
 * long as submitters are known to wait for the jobs that run there. Return: the
 * deadline to send. */
uint64_t sched_lease_extend(struct sched_server *server, uint64_t now_us);
/* The time by which runs of the job have ended if its submitter is lost now: no
 * lease under which one is started may last longer. UINT64_MAX: no limit. */
uint64_t sched_job_lease_end_us(const struct sched_job *job);
/* The longest lease under which a run of the job may be started. */
uint32_t sched_job_lease_ms(const struct sched_job *job, uint64_t now_us);
/* Whether the lease is long enough for further runs. */
bool sched_lease_admits_starts(const struct sched_server *server,
    uint64_t now_us);
/* The longest wait of a hold with which the lease is renewed in time. */
uint32_t sched_hold_wait_limit_ms(const struct sched_server *server,
    uint64_t now_us);

/* scheduler_end.c */
void sched_task_set_checkpoint(struct sched_task *task, uint64_t run_id,
    const char *checkpoint);
/* The uint64_t results below are the sequence number under which the end will
 * be stored, or 0 if it need not be. */
uint64_t sched_run_ended(struct sched_task *task,
    enum worker_end_state end_state);
uint64_t sched_record_run_end(const struct sched_task *task, uint64_t run_id,
    bool done);
uint64_t sched_former_run_done(struct sched_task *task, uint64_t run_id);
uint64_t sched_former_run_failed(struct sched_task *task, uint64_t run_id);
void sched_run_discard(struct sched_task *task, const char *cause);

/* scheduler_advice.c */
void sched_advice_create(struct sched_job *job);
void sched_advice_free(struct sched_job *job);
/* The valid ticket for a start of @task on @server, or NULL. */
const char *sched_advice_ticket(const struct sched_task *task,
    const struct sched_server *server);
/* Removes a ticket that the server has rejected. */
void sched_advice_discard_ticket(struct sched_task *task,
    const struct sched_server *server);
/* Detaches pending calls from a scheduler that is being destroyed. */
void sched_advice_detach_calls(struct scheduler *sched);
/* Requests permits for further servers for the task's step, if there are
 * servers that match it and have neither a ticket nor a refusal. */
void sched_advice_request(struct sched_task *task, uint64_t now_us);

/* scheduler_late.c */
/* A start order had no reply. */
void sched_late_add(struct sched_server *server, const char *task,
    uint64_t run_id, uint64_t sent_us, uint64_t process_started_ms);
void sched_late_expire(struct sched_server *server, uint64_t now_us);
void sched_late_clear(struct sched_server *server);
void sched_late_move(struct sched_server *to, struct sched_server *from);
/* The server's process has confirmed the stop of a run, or is sent its start
 * again. */
void sched_late_told(struct sched_server *server, const char *task,
    uint64_t run_id);
/* Whether this holder has sent a start order of the run that had no reply. */
bool sched_late_ordered(const struct sched_server *server, const char *task,
    uint64_t run_id);
/* The server's process has sent its lists: it is sent the stops that it has not
 * been sent. */
void sched_late_stop_all(struct sched_server *server,
    const struct worker_reply *reply);

/* scheduler_pending.c */
/* A start order of a task may be executed until @expires_us. */
void sched_pending_start(struct scheduler *sched, const char *task,
    uint64_t expires_us);
/* A server lists a run that no job claims. */
void sched_pending_run(struct scheduler *sched, const char *task,
    uint64_t now_us);
/* A job goes on: its caller may have lost the connection, unknown to its host,
 * and send it to another holder. */
void sched_pending_job(const struct sched_job *job, uint64_t now_us);
/* Whether a job that is not known here must not be started, as a start order of
 * an earlier submission of it may be executed yet. */
bool sched_pending_refuses(const struct scheduler *sched,
    const struct sched_request *request);
/* Whether that has become known of a job that waits. */
bool sched_pending_elsewhere(const struct sched_job *job);
void sched_pending_expire(struct scheduler *sched, uint64_t now_us);

/* scheduler_restart.c */
/* Whether the task's run has ended only when its server reports it, not with
 * the end of a lease. */
bool sched_task_awaits_server(const struct sched_task *task);
/* The task can't have another run: its job is to end. */
void sched_run_unknown(struct sched_task *task, const char *reason);
/* Queues a task whose run has ended. Its job is ended instead if another run of
 * the task may go on, or begin. */
void sched_task_requeue(struct sched_task *task);
/* Ends a job of which a run may go on unknown. Return: whether it was ended. */
bool sched_job_end_unknown(struct sched_job *job);

/* scheduler_suspect.c */
/* Whether and how a waiting task may be started. */
enum susp_verdict sched_suspect_judge(const struct sched_task *task,
    uint64_t now_us);
/* The task's run has ended without a crash. */
void sched_suspect_acquit(const struct sched_task *task);
/* Records the loss of a server under its tasks. @crashed: whether it is known
 * that its process has ended. */
void sched_suspects_server_lost(struct sched_server *server, bool crashed);
/* Records under its tasks that a server refuses connections. */
void sched_suspects_server_refused(struct sched_server *server);
/* Another server replies at the address of a lost one. */
void sched_suspects_server_ended(struct sched_server *server);
/* A lost server replies. */
void sched_suspects_server_seen(struct sched_server *server,
    uint64_t incarnation_start_ms);
/* Whether the holder is not confirmed any more: a successor may have ended its
 * runs. One that has just taken over knows those it listed. */
bool sched_may_be_replaced(const struct scheduler *sched);
/* Whether the loss of its server would be recorded under the task. */
bool sched_suspect_may_be_lost(const struct sched_task *task, uint64_t now_us);
/* Adds what another host had on record at @told_us. */
void sched_suspects_merge_told(struct scheduler *sched,
    const struct json_t *items, uint64_t told_us);
/* Finds suspects among the tasks of a new job. */
void sched_suspects_check_job(struct sched_job *job);
/* Fails a job of which a task crashes servers. Return: whether it was ended. */
bool sched_suspects_end_job(struct sched_job *job);

/* scheduler_risk.c */
/* Records the runs at risk of the former holder as losses. */
void sched_risk_take_over(struct scheduler *sched);
/* Encodes the runs of this holder on servers that do not reply, unless another
 * one may have ended them. Return: a JSON array, owned by the caller. */
struct json_t *sched_risk_silent(const struct scheduler *sched);

/* scheduler_gang.c */
bool sched_gang_member(const struct sched_task *task);
/* Number of failed runs of a task, or of its gang: exactly one member is
 * counted as failed in each failed run of a gang. */
uint32_t sched_gang_failures(struct sched_task *task);
/* Starts all tasks of the gang, if the servers have the resources for all. */
void sched_gang_try_start(struct sched_task *task, uint64_t now_us);
/* Marks all tasks of the gang done: when one run completes, all have. */
void sched_gang_done(struct sched_task *task);
/* Stops the remaining runs of gangs that have lost a run. */
void sched_gang_check(struct sched_job *job);

/* scheduler_dispatch.c */
/* Schedules a pass of sched_dispatch(). */
void sched_dispatch_wake(struct scheduler *sched);
/* Event callback: starts the waiting tasks that can be placed. */
void sched_dispatch(evutil_socket_t fd, short what, void *arg);
void sched_task_enqueue(struct sched_task *task);
void sched_task_dequeue(struct sched_task *task);
uint32_t sched_task_expected_ms(const struct sched_task *task);
void sched_job_advance(struct sched_job *job);
/* Estimated time in which the servers of a share run its waiting tasks,
 * UINT64_MAX if none of them accepts starts. */
uint64_t sched_backlog_us(struct scheduler *sched, enum sched_share_name name,
    uint64_t now_us);
bool sched_job_backlogged(const struct sched_job *job);
/* Time by which runs start and end late because the processor of this host is
 * saturated. */
uint64_t sched_processing_delay_us(const struct scheduler *sched,
    uint64_t now_us);
/* Whether all servers have listed their runs, and all ends. */
bool sched_all_servers_held(const struct scheduler *sched);
/* Whether all servers that may run tasks of a former holder are known and have
 * listed their runs. */
bool sched_all_runs_known(const struct scheduler *sched);
/* Whether all servers have also listed their runs just now, and since another
 * host has passed the job on: one that has restarted accepts the orders of a
 * former holder until it is asked again. */
bool sched_job_runs_known(const struct sched_job *job);
bool sched_job_expire(struct sched_job *job, uint64_t now_us);

/* scheduler_bulkhead.c */
/* Records the crash of a server that has tasks. */
void sched_bulkhead_server_crashed(struct sched_server *server);
/* Determines which queues are confined. */
void sched_bulkhead_update(struct scheduler *sched, uint64_t now_us);
/* Reserves servers for the queues that are not confined. */
void sched_bulkhead_reserve(struct scheduler *sched);
/* Whether the job's queue is confined. */
bool sched_job_confined(const struct sched_job *job);
/* Whether the server is for tasks of confined queues, if @confined, or for the
 * others, as far as crashes are concerned. */
bool sched_bulkhead_admits(const struct sched_server *server, bool confined);

/* scheduler_place.c */
/* Whether another host may have taken over before this one read the server's
 * row, or found it restarted. It may have read the rows before this one was
 * written, and have started the jobs that this host has, since it knows of no
 * run on this server. */
bool sched_server_unconfirmed(const struct sched_server *server);
/* Whether the server accepts starts, or will at the next confirmation of this
 * holder. */
bool sched_server_is_usable(const struct sched_server *server, uint64_t now_us);
bool sched_server_accepts_starts(const struct sched_server *server,
    uint64_t now_us);
/* Whether @server could run the task, regardless of its free resources, of
 * other tasks on it, and of permits. */
bool sched_server_matches(const struct sched_server *server,
    const struct sched_task *task);
/* Why no start of the task may be sent to the server, be it the first one or
 * one that is sent again; NULL: one may be. */
const char *sched_start_forbidden(const struct sched_server *server,
    const struct sched_task *task);
/* The server for the next run of the task, or NULL if none has room. @rack: the
 * label that it must have; NULL: any. */
struct sched_server *sched_choose_server(struct scheduler *sched,
    const struct sched_task *task, const char *rack, uint64_t now_us);

#endif /* ENTRY_JOBS_SCHEDULER_INTERNAL_H */
