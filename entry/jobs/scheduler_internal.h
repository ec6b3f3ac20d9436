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
 * them), scheduler_pump.c (which task starts where), scheduler_gang.c (gangs),
 * scheduler_advice.c (outside policies).
 */

#define HLD_JOB_BUCKETS 1024

/* A long poll; the lease is renewed at its start, so at most a third of the
 * lease passes before the next renewal. */
#define HLD_HOLD_WAIT_MS 300
#define HLD_HOLD_SPARE_MS 30 /* after an end is expected */
#define HLD_HOLD_WAIT_MIN_MS 60
#define HLD_STOP_WAIT_MS 25 /* of holds while a stopped run is looked for */
#define HLD_ACK_DELAY_MS 60 /* ends of an idle server are acknowledged */
#define HLD_RETRY_MS 50	    /* after a call without an answer */
#define HLD_REOPEN_MS 150   /* between tries to hold a lost server */
#define HLD_MISSES_MAX 1    /* unanswered holds before it is suspect */
/* An unknown run may be claimed by its job. Callers send a job again 1.3 s
 * after they lost its host, perhaps to another zone: it must be over then. */
#define HLD_ORPHAN_MS 150
#define HLD_FULL_MS 15	  /* no start after a refusal for want of room */
#define HLD_BUSY_MS 250	  /* no start after a refusal */
#define HLD_TICK_MS 20	  /* deadlines, stragglers, orphans */
#define HLD_FAIL_STREAK 3 /* failed runs of different jobs in a row */
#define HLD_EJECT_MS 2000 /* first ejection; doubles */
#define HLD_EJECT_MAX_MS 8000
#define HLD_STRAGGLER_FACTOR 4 /* times the expected run time */
#define HLD_STRAGGLER_MIN_MS 300
#define HLD_RECOVER_MS 250 /* wait for all servers after a take-over */
#define HLD_START_TRIES 12 /* of one run; half of the orders may be lost */
#define HLD_RUN_IDS 64	   /* runs of one task under one token */

enum hld_task_state {
	HLD_BLOCKED, /* an earlier step is not done */
	HLD_WAITING,
	HLD_STARTING, /* ordered, no answer yet */
	HLD_RUNNING,
	HLD_STOPPING, /* to be gone from its server before it goes on */
	HLD_DONE,     /* in a gang its run may still be listed */
};

struct hld_advice;
struct hld_job;
struct hld_order;
struct hld_server;

/** struct hld_task - one task. */
struct hld_task {
	struct hld_job *job;
	uint32_t step;
	uint32_t index;
	enum hld_task_state state;
	uint32_t runs; /* ordered under this token */
	uint32_t fails;
	uint64_t failed_run;	   /* the last that was counted in fails */
	struct hld_server *server; /* where a run is or may be */
	uint64_t run_id;
	uint32_t tries;	     /* times that the start of this run was sent */
	uint64_t ordered_us; /* the start was sent last */
	uint64_t settled_us; /* its last order was answered or given up */
	bool order_pending;
	char *saved; /* newest checkpoint; owned, NULL: none */
	uint64_t saved_run;
	bool stop_confirmed; /* the run can't start any more, and ends soon */
	TAILQ_ENTRY(hld_task) on_server;
	TAILQ_ENTRY(hld_task) waiting;
};

TAILQ_HEAD(hld_tasks, hld_task);
LIST_HEAD(hld_orders, hld_order);

/** struct hld_job - one job. */
struct hld_job {
	struct holder *holder;
	struct job_spec spec;
	uint32_t time; /* of the spec's times */
	struct job_queue queue;
	struct hld_task *tasks;	   /* spec.ntasks of them, by step */
	struct hld_advice *advice; /* by step; NULL: the queue needs none */
	uint32_t ndone;
	uint32_t nplaced;	 /* tasks with a run somewhere */
	uint64_t arrived_us;	 /* when its submitter first sent it */
	uint64_t objective_us;	 /* on time until then */
	uint64_t late_us;	 /* worth something until then */
	uint64_t gone_us;	 /* the submitter has left by then */
	uint64_t start_after_us; /* another holder's runs may last until then */
	bool stored;
	bool begun;   /* a run of it was seen or has been stored */
	bool started; /* a start was ordered, here or elsewhere */
	bool ended;   /* answered; only its runs are left */
	holder_done_fn done;
	void *arg;
	LIST_ENTRY(hld_job) hash;
	TAILQ_ENTRY(hld_job) entry;
};

TAILQ_HEAD(hld_jobs, hld_job);

/** struct hld_orphan - a run of a job that is not known (yet). */
struct hld_orphan {
	char task[WORKER_TASK_NAME_SIZE];
	uint64_t run_id;
	uint64_t seen_us; /* first */
	bool done;	  /* it has ended so */
	bool listed;	  /* by the last answer */
	TAILQ_ENTRY(hld_orphan) entry;
};

TAILQ_HEAD(hld_orphans, hld_orphan);

/** struct hld_unstored - an end that the store does not have yet. */
struct hld_unstored {
	uint64_t number; /* at its server */
	uint64_t seq;	 /* of the job's progress */
	char id[JOB_ID_LEN + 1];
	TAILQ_ENTRY(hld_unstored) entry;
};

TAILQ_HEAD(hld_unstored_list, hld_unstored);

/** struct hld_server - one incarnation of a backend server. */
struct hld_server {
	struct holder *holder;
	struct reg_server info;
	struct worker_link *link;
	struct lease lease;
	struct hld_tasks tasks; /* that may be there */
	struct hld_orphans orphans;
	struct hld_orders orders; /* pending */
	int64_t used_cpu;
	int64_t used_mem;
	int64_t used_gpu;
	uint32_t speed;	  /* thousandths of the nominal one, learned */
	uint64_t born_ms; /* of the incarnation whose lists were read last */
	uint64_t acknowledged; /* ends up to it may be forgotten */
	uint64_t lists_way;    /* that brought the last lists; 0: none */
	uint64_t seen;	       /* ends up to it have been taken note of */
	uint64_t told;	       /* acknowledged by the last hold */
	struct hld_unstored_list unstored; /* ends, by number */
	bool held; /* its lists were read under this token */
	bool gone; /* left the directory; freed when nothing is there */
	bool hold_pending;
	uint64_t hold_sent_us;
	uint64_t hold_due_us; /* next one, if none is pending; 0: none */
	uint32_t misses;      /* holds without an answer in a row */
	uint64_t reopen_us;   /* after a loss, held again from then on */
	uint64_t no_start_until_us;
	uint64_t ejected_until_us;
	uint32_t eject_ms; /* last ejection */
	uint32_t fail_streak;
	char last_failed[JOB_ID_LEN + 1];
	uint32_t calls; /* pending, beside the hold */
	TAILQ_ENTRY(hld_server) entry;
};

TAILQ_HEAD(hld_servers, hld_server);

struct holder {
	struct holder_params params;
	uint64_t token;
	uint64_t begun_us;
	bool loaded;   /* all stored jobs are known */
	bool complete; /* no server is missing in the list */
	bool fresh;    /* the servers' rows were read since then */
	struct hld_servers servers;
	struct hld_jobs jobs;
	LIST_HEAD(, hld_job) buckets[HLD_JOB_BUCKETS];
	struct hld_tasks waiting; /* by urgency */
	uint64_t queued_work;	  /* of them, thousandth-core times ms */
	LIST_HEAD(, hld_advice_call) advice_calls;
	uint32_t nadvice_calls; /* under way */
	struct event *tick;
	struct event *pump;
	struct place_server *scratch; /* of hld_pump() */
	size_t nscratch;
};

/* scheduler.c */
uint64_t hld_now(const struct holder *holder);

/* scheduler_job.c */
/* When leases are over that nobody has renewed since then. */
uint64_t hld_leases_end(const struct holder *holder, uint64_t since_us);
struct hld_job *hld_job_find(const struct holder *holder, const char *id,
    uint32_t time);
void hld_job_finish(struct hld_job *job, const struct holder_reply *reply);
void hld_job_release_ended(struct hld_job *job);
struct hld_task *hld_task_find(struct holder *holder, const char *name);
void hld_task_name(const struct hld_task *task,
    char name[WORKER_TASK_NAME_SIZE]);

/* scheduler_server.c */
void hld_server_free(struct hld_server *server);
void hld_server_hold(struct hld_server *server, uint64_t now_us);
void hld_server_tick(struct hld_server *server, uint64_t now_us);
void hld_server_reset(struct hld_server *server);
void hld_server_lost(struct hld_server *server, const char *why);
/* Steps down if this holder is fenced, lets the server go if it is another
 * one now. Return: true if it did. */
bool hld_server_out(struct hld_server *server, enum worker_verdict verdict);
void hld_orphans_claim(struct hld_job *job);

/* scheduler_run.c */
void hld_run_start(struct hld_task *task, struct hld_server *server);
void hld_run_stop(struct hld_task *task);
void hld_orders_drop(struct hld_server *server);
void hld_run_stop_orphan(struct hld_server *server, struct hld_orphan *orphan);
void hld_run_adopt(struct hld_task *task, struct hld_server *server,
    uint64_t run_id, uint64_t now_us);
/* The task's run takes no room any more. */
void hld_vacate(struct hld_task *task);

/* scheduler_ack.c */
void hld_unstored_drop(struct hld_server *server);
/* The end may be forgotten once progress number @seq of its job is stored. */
void hld_unstored_enter(struct hld_server *server,
    const struct worker_ended *ended, uint64_t seq);
/* The number that an end waits for which does not count any more, or 0. */
uint64_t hld_counted_before(const struct holder *holder,
    const struct worker_ended *ended);
/* Works out what the next hold acknowledges. */
void hld_acknowledge(struct hld_server *server);

/* scheduler_end.c */
void hld_run_saved(struct hld_task *task, uint64_t run_id, const char *saved);
/* Returns of numbers: under which the end will be stored, or 0. */
uint64_t hld_run_ended(struct hld_task *task, enum worker_end how);
uint64_t hld_tell_progress(const struct hld_task *task, uint64_t run_id,
    bool done);
uint64_t hld_run_found_done(struct hld_task *task, uint64_t run_id);
uint64_t hld_run_found_failed(struct hld_task *task, uint64_t run_id);
void hld_run_absent(struct hld_task *task, const char *why);

/* scheduler_advice.c */
void hld_advice_create(struct hld_job *job);
void hld_advice_free(struct hld_job *job);
/* The ticket for a start of @task at @server, or NULL. */
const char *hld_advice_ticket(const struct hld_task *task,
    const struct hld_server *server);
/* The server did not take the ticket. */
void hld_advice_drop(struct hld_task *task, const struct hld_server *server);
/* The holder goes: calls under way end without it. */
void hld_advice_drop_calls(struct holder *holder);
/* Asks about more servers for the task's step, if there are any. */
void hld_advice_ask(struct hld_task *task, uint64_t now_us);

/* scheduler_gang.c */
bool hld_gang_member(const struct hld_task *task);
/* Failed runs of a task, or of its gang: each has one member that failed. */
uint32_t hld_gang_fails(struct hld_task *task);
/* Starts all tasks of the gang if there is room for all of them. */
void hld_gang_try(struct hld_task *task, uint64_t now_us);
/* One of its runs has ended well: so have all. */
void hld_gang_done(struct hld_task *task);
/* Stops what is left of gangs that have lost a run. */
void hld_gang_check(struct hld_job *job);

/* scheduler_pump.c */
void hld_pump_wake(struct holder *holder);
void hld_pump(evutil_socket_t fd, short what, void *arg);
void hld_queue(struct hld_task *task);
void hld_dequeue(struct hld_task *task);
uint32_t hld_task_expected_ms(const struct hld_task *task);
void hld_job_admit(struct hld_job *job);
uint64_t hld_backlog_us(const struct holder *holder, uint64_t now_us);
bool hld_job_crowded(const struct hld_job *job);
/* Could @server run the task, apart from its room and the policy? */
bool hld_server_suits(const struct hld_server *server,
    const struct hld_task *task);
bool hld_all_held(const struct holder *holder);
struct hld_server *hld_choose(struct holder *holder,
    const struct hld_task *task, const char *rack, uint64_t now_us);
bool hld_job_expired(struct hld_job *job, uint64_t now_us);

#endif /* ENTRY_JOBS_SCHEDULER_INTERNAL_H */
