#ifndef ENTRY_JOBS_SCHEDULER_INTERNAL_H
#define ENTRY_JOBS_SCHEDULER_INTERNAL_H

#include <event2/event.h>
#include <sys/queue.h>

#include "core/lease.h"
#include "core/place.h"
#include "entry/jobs/scheduler.h"

/*
 * Shared by the files of the holder: scheduler.c (life cycle), scheduler_job.c
 * (jobs), scheduler_server.c (leases and lists of servers), scheduler_run.c
 * (orders), scheduler_end.c (ends of runs), scheduler_ack.c (acknowledging
 * them), scheduler_dispatch.c (which task starts where), scheduler_gang.c
 * (gangs), scheduler_advice.c (outside policies).
 */

#define SCHED_JOB_BUCKETS 1024

/* A long poll; the lease is renewed at its start, so at most a third of the
 * lease passes before the next renewal. */
#define SCHED_HOLD_WAIT_MAX_MS 300
#define SCHED_HOLD_MARGIN_MS 30 /* after an end is expected */
#define SCHED_HOLD_WAIT_MIN_MS 60
#define SCHED_SHORT_POLL_MS 25	/* of holds while a stopped run is looked for \
				 */
#define SCHED_ACK_DELAY_MS 60	/* ends of an idle server are acknowledged */
#define SCHED_RETRY_DELAY_MS 50 /* after a call without an answer */
#define SCHED_REOPEN_DELAY_MS 150    /* between tries to hold a lost server */
#define SCHED_UNANSWERED_HOLDS_MAX 1 /* unanswered holds before it is suspect \
				      */
/* An unknown run may be claimed by its job. Callers send a job again 1.3 s
 * after they lost its host, perhaps to another zone: it must be over then. */
#define SCHED_ORPHAN_GRACE_MS 150
#define SCHED_NO_ROOM_PAUSE_MS \
	15 /* no start after a refusal for want of room */
#define SCHED_REFUSAL_PAUSE_MS 250 /* no start after a refusal */
#define SCHED_TICK_MS 20	   /* deadlines, stragglers, orphans */
#define SCHED_EJECT_FAILED_JOBS 3  /* failed runs of different jobs in a row */
#define SCHED_EJECT_MIN_MS 2000	   /* first ejection; doubles */
#define SCHED_EJECT_MAX_MS 8000
#define SCHED_STRAGGLER_FACTOR 4 /* times the expected run time */
#define SCHED_STRAGGLER_MIN_MS 300
#define SCHED_RECOVERY_MAX_MS 250 /* wait for all servers after a take-over */
#define SCHED_START_ATTEMPTS_MAX \
	12 /* of one run; half of the orders may be lost */
#define SCHED_RUN_IDS_PER_TOKEN 64 /* runs of one task under one token */

enum sched_task_state {
	SCHED_TASK_BLOCKED, /* an earlier step is not done */
	SCHED_TASK_WAITING,
	SCHED_TASK_STARTING, /* ordered, no answer yet */
	SCHED_TASK_RUNNING,
	SCHED_TASK_STOPPING, /* to be gone from its server before it goes on */
	SCHED_TASK_DONE,     /* in a gang its run may still be listed */
};

struct sched_advice;
struct sched_job;
struct sched_order;
struct sched_server;

/** struct sched_task - one task. */
struct sched_task {
	struct sched_job *job;
	uint32_t step;
	uint32_t index;
	enum sched_task_state state;
	uint32_t runs; /* ordered under this token */
	uint32_t fails;
	uint64_t last_failed_run;    /* the last that was counted in fails */
	struct sched_server *server; /* where a run is or may be */
	uint64_t run_id;
	uint32_t start_attempts; /* times that the start of this run was sent */
	uint64_t start_sent_us;	 /* the start was sent last */
	uint64_t resolved_us;	 /* its last order was answered or given up */
	bool order_pending;
	char *last_checkpoint; /* newest checkpoint; owned, NULL: none */
	uint64_t checkpoint_run;
	bool stop_confirmed; /* the run can't start any more, and ends soon */
	TAILQ_ENTRY(sched_task) on_server;
	TAILQ_ENTRY(sched_task) waiting;
};

TAILQ_HEAD(sched_tasks, sched_task);
LIST_HEAD(sched_orders, sched_order);

/** struct sched_job - one job. */
struct sched_job {
	struct scheduler *sched;
	struct job_spec spec;
	uint32_t occurrence; /* of the spec's times */
	struct job_queue queue;
	struct sched_task *tasks;    /* spec.ntasks of them, by step */
	struct sched_advice *advice; /* by step; NULL: the queue needs none */
	uint32_t ndone;
	uint32_t nassigned;		/* tasks with a run somewhere */
	uint64_t submitted_us;		/* when its submitter first sent it */
	uint64_t objective_us;		/* on time until then */
	uint64_t value_until_us;	/* worth something until then */
	uint64_t submitter_deadline_us; /* the submitter has left by then */
	uint64_t start_after_us; /* another holder's runs may last until then */
	bool stored;
	bool begun;   /* a run of it was seen or has been stored */
	bool started; /* a start was ordered, here or elsewhere */
	bool ended;   /* answered; only its runs are left */
	sched_done_fn done;
	void *arg;
	LIST_ENTRY(sched_job) hash;
	TAILQ_ENTRY(sched_job) entry;
};

TAILQ_HEAD(sched_jobs, sched_job);

/** struct sched_orphan - a run of a job that is not known (yet). */
struct sched_orphan {
	char task[WORKER_TASK_NAME_SIZE];
	uint64_t run_id;
	uint64_t seen_us; /* first */
	bool done;	  /* it has ended so */
	bool listed;	  /* by the last answer */
	TAILQ_ENTRY(sched_orphan) entry;
};

TAILQ_HEAD(sched_orphans, sched_orphan);

/** struct sched_unstored_end - an end that the store does not have yet. */
struct sched_unstored_end {
	uint64_t number; /* at its server */
	uint64_t seq;	 /* of the job's progress */
	char id[JOB_ID_LEN + 1];
	TAILQ_ENTRY(sched_unstored_end) entry;
};

TAILQ_HEAD(sched_unstored_ends, sched_unstored_end);

/** struct sched_server - one incarnation of a backend server. */
struct sched_server {
	struct scheduler *sched;
	struct dir_server info;
	struct worker_link *link;
	struct lease lease;
	struct sched_tasks tasks; /* that may be there */
	struct sched_orphans orphans;
	struct sched_orders orders; /* pending */
	int64_t used_cpu;
	int64_t used_mem;
	int64_t used_gpu;
	uint32_t speed;	  /* thousandths of the nominal one, learned */
	uint64_t born_ms; /* of the incarnation whose lists were read last */
	uint64_t acknowledged;	      /* ends up to it may be forgotten */
	uint64_t lists_connection_id; /* that brought the last lists; 0: none */
	uint64_t processed_end;	    /* ends up to it have been taken note of */
	uint64_t acknowledged_sent; /* acknowledged by the last hold */
	struct sched_unstored_ends unstored_ends; /* ends, by number */
	bool held;    /* its lists were read under this token */
	bool removed; /* left the directory; freed when nothing is there */
	bool hold_pending;
	uint64_t hold_sent_us;
	uint64_t hold_due_us;	   /* next one, if none is pending; 0: none */
	uint32_t unanswered_holds; /* holds without an answer in a row */
	uint64_t reopen_at_us;	   /* after a loss, held again from then on */
	uint64_t no_start_until_us;
	uint64_t ejected_until_us;
	uint32_t eject_ms; /* last ejection */
	uint32_t fail_streak;
	char last_failed[JOB_ID_LEN + 1];
	uint32_t pending_calls; /* pending, beside the hold */
	TAILQ_ENTRY(sched_server) entry;
};

TAILQ_HEAD(sched_servers, sched_server);

struct scheduler {
	struct sched_params params;
	uint64_t token;
	uint64_t activated_us;
	bool jobs_loaded;      /* all stored jobs are known */
	bool servers_complete; /* no server is missing in the list */
	bool rows_refreshed;   /* the servers' rows were read since then */
	struct sched_servers servers;
	struct sched_jobs jobs;
	LIST_HEAD(, sched_job) buckets[SCHED_JOB_BUCKETS];
	struct sched_tasks waiting; /* by urgency */
	uint64_t queued_work;	    /* of them, thousandth-core times ms */
	LIST_HEAD(, sched_advice_call) advice_calls;
	uint32_t nadvice_calls; /* under way */
	struct event *tick_event;
	struct event *dispatch_event;
	struct place_server *candidates; /* of sched_dispatch() */
	size_t ncandidates;
};

/* scheduler.c */
uint64_t sched_now(const struct scheduler *sched);

/* scheduler_job.c */
/* When leases are over that nobody has renewed since then. */
uint64_t sched_leases_end_us(const struct scheduler *sched, uint64_t since_us);
struct sched_job *sched_job_find(const struct scheduler *sched, const char *id,
    uint32_t occurrence);
void sched_job_finish(struct sched_job *job, const struct sched_reply *reply);
void sched_job_release_ended(struct sched_job *job);
struct sched_task *sched_task_find(struct scheduler *sched, const char *name);
void sched_task_name(const struct sched_task *task,
    char name[WORKER_TASK_NAME_SIZE]);

/* scheduler_server.c */
void sched_server_free(struct sched_server *server);
void sched_server_hold(struct sched_server *server, uint64_t now_us);
void sched_server_tick(struct sched_server *server, uint64_t now_us);
void sched_server_reset(struct sched_server *server);
void sched_server_lost(struct sched_server *server, const char *why);
/* Steps down if this holder is fenced, lets the server go if it is another
 * one now. Return: true if it did. */
bool sched_check_verdict(struct sched_server *server,
    enum worker_verdict verdict);
void sched_orphans_adopt(struct sched_job *job);

/* scheduler_run.c */
void sched_run_start(struct sched_task *task, struct sched_server *server);
void sched_run_stop(struct sched_task *task);
void sched_orders_discard(struct sched_server *server);
void sched_run_stop_orphan(struct sched_server *server,
    struct sched_orphan *orphan);
void sched_run_adopt(struct sched_task *task, struct sched_server *server,
    uint64_t run_id, uint64_t now_us);
/* The task's run takes no room any more. */
void sched_task_unassign(struct sched_task *task);

/* scheduler_ack.c */
void sched_unstored_clear(struct sched_server *server);
/* The end may be forgotten once progress number @seq of its job is stored. */
void sched_unstored_add(struct sched_server *server,
    const struct worker_ended *ended, uint64_t seq);
/* The number that an end waits for which does not count any more, or 0. */
uint64_t sched_unstored_seq(const struct scheduler *sched,
    const struct worker_ended *ended);
/* Works out what the next hold acknowledges. */
void sched_update_acknowledged(struct sched_server *server);

/* scheduler_end.c */
void sched_task_set_checkpoint(struct sched_task *task, uint64_t run_id,
    const char *saved);
/* Returns of numbers: under which the end will be stored, or 0. */
uint64_t sched_run_ended(struct sched_task *task, enum worker_end how);
uint64_t sched_report_progress(const struct sched_task *task, uint64_t run_id,
    bool done);
uint64_t sched_former_run_done(struct sched_task *task, uint64_t run_id);
uint64_t sched_former_run_failed(struct sched_task *task, uint64_t run_id);
void sched_run_discard(struct sched_task *task, const char *why);

/* scheduler_advice.c */
void sched_advice_create(struct sched_job *job);
void sched_advice_free(struct sched_job *job);
/* The ticket for a start of @task at @server, or NULL. */
const char *sched_advice_ticket(const struct sched_task *task,
    const struct sched_server *server);
/* The server did not take the ticket. */
void sched_advice_discard_ticket(struct sched_task *task,
    const struct sched_server *server);
/* The holder goes: calls under way end without it. */
void sched_advice_detach_calls(struct scheduler *sched);
/* Asks about more servers for the task's step, if there are any. */
void sched_advice_request(struct sched_task *task, uint64_t now_us);

/* scheduler_gang.c */
bool sched_gang_member(const struct sched_task *task);
/* Failed runs of a task, or of its gang: each has one member that failed. */
uint32_t sched_gang_failures(struct sched_task *task);
/* Starts all tasks of the gang if there is room for all of them. */
void sched_gang_try_start(struct sched_task *task, uint64_t now_us);
/* One of its runs has ended well: so have all. */
void sched_gang_done(struct sched_task *task);
/* Stops what is left of gangs that have lost a run. */
void sched_gang_check(struct sched_job *job);

/* scheduler_dispatch.c */
void sched_dispatch_wake(struct scheduler *sched);
void sched_dispatch(evutil_socket_t fd, short what, void *arg);
void sched_task_enqueue(struct sched_task *task);
void sched_task_dequeue(struct sched_task *task);
uint32_t sched_task_expected_ms(const struct sched_task *task);
void sched_job_advance(struct sched_job *job);
uint64_t sched_backlog_us(const struct scheduler *sched, uint64_t now_us);
bool sched_job_backlogged(const struct sched_job *job);
/* Could @server run the task, apart from its room and the policy? */
bool sched_server_matches(const struct sched_server *server,
    const struct sched_task *task);
bool sched_all_servers_held(const struct scheduler *sched);
struct sched_server *sched_choose_server(struct scheduler *sched,
    const struct sched_task *task, const char *rack, uint64_t now_us);
bool sched_job_expire(struct sched_job *job, uint64_t now_us);

#endif /* ENTRY_JOBS_SCHEDULER_INTERNAL_H */
