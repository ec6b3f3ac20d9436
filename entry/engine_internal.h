#ifndef ENTRY_ENGINE_INTERNAL_H
#define ENTRY_ENGINE_INTERNAL_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <event2/event.h>
#include <event2/event_struct.h>

#include "core/dispatch.h"
#include "core/health.h"
#include "core/learn.h"
#include "core/retry.h"
#include "entry/engine.h"

/*
 * State shared by the parts of the engine: engine.c (submissions),
 * engine_dispatch.c (choice of the task to start and its server), engine_call.c
 * (calls to servers), engine_answer.c (answers), engine_config.c (application
 * of a configuration), engine_server.c (state of backend servers) and
 * engine_loan.c (loans of slots between entry hosts).
 */

#define ENG_TICK_INTERVAL_MS 20
#define ENG_RUN_DEFAULT_MS 200	     /* run time if none is declared */
#define ENG_TIMEOUT_DEFAULT_MS 30000 /* of one task */
#define ENG_LOANS_MAX 16	     /* of one server, in each direction */
/* Servers of other zones are used if the expected wait is at least this. */
#define ENG_OVERFLOW_MIN_WAIT_US 2000000

/* Sources of the information that a server is leaving; bits of a mask. */
enum eng_leaving_source {
	ENG_LEAVING_LABEL = 1, /* label in the configuration */
	ENG_LEAVING_SELF = 2,  /* reply of the server */
	ENG_LEAVING_LIST = 4,  /* host list of the platform */
	ENG_LEAVING_PEER = 8,  /* another entry host */
};

/* A loan of slots, lent or borrowed. The entry is unused if both numbers of
 * slots are 0. */
struct eng_loan {
	uint32_t slots;
	uint32_t returnable; /* borrowed slots to be returned to the lender */
	uint64_t peer;	     /* the lender or the borrower */
	/* Lent slots are reclaimed at this time. On borrowed slots, no task is
	 * started after it. */
	uint64_t expires_us;
};

/* A backend server; retained while it is configured or tasks run on it. */
struct eng_server {
	struct pick_server pick; /* first member */
	struct backend_server address;
	struct labels labels;
	struct cfg_server cfg;
	bool configured;
	bool in_new_config; /* is in the configuration being applied */
	int tier;	    /* 0: local availability zone, 1: others */
	/* Sources according to which the server is leaving. It receives no
	 * tasks unless the mask is 0. */
	unsigned leaving_sources;
	/* Sources whose latest report is "leaving". A repeated report of the
	 * same value is ignored. */
	unsigned leaving_reported;
	struct hlth health;
	struct lrn_estimate speed;
	uint64_t paused_until_us; /* after a refusal; 0: not paused */
	unsigned nrefusals;  /* consecutive, up to ENG_REFUSAL_DOUBLINGS_MAX */
	uint32_t base_limit; /* of running tasks, if not paused or probing */
	uint32_t others_running; /* tasks of other hosts, as last reported */
	struct eng_loan lent[ENG_LOANS_MAX];
	struct eng_loan borrowed[ENG_LOANS_MAX];
	size_t nloans;		      /* entries in use, lent and borrowed */
	bool counted_as_ejected;      /* included in the engine's nejected */
	uint64_t last_success_us;     /* when the last result was received */
	TAILQ_HEAD(, eng_call) calls; /* in order of start */
	RB_ENTRY(eng_server) entry;
};

RB_HEAD(eng_servers, eng_server);

/* The servers that one pair of selectors matches, and the submissions that
 * wait for them. */
struct eng_pool {
	struct pick_pool pick; /* first member */
	struct order order;
	struct selector *service_sel; /* NULL if the service is unknown */
	struct selector *job_sel;     /* NULL if the job has none */
	size_t njobs;		      /* jobs that use the pool */
	TAILQ_ENTRY(eng_pool) entry;
};

struct eng_team {
	char name[NAME_SIZE];
	uint32_t running_max; /* 0: no limit */
	uint32_t running;     /* tasks of all its jobs */
	TAILQ_HEAD(, eng_job) jobs;
	RB_ENTRY(eng_team) entry;
};

RB_HEAD(eng_teams, eng_team);

/* A job; retained while it is configured or has submissions. */
struct eng_job {
	struct ord_flow flow; /* first member */
	char name[NAME_SIZE];
	char path[256];
	struct cfg_job cfg; /* its selector is NULL, see pool */
	bool configured;
	bool in_new_config; /* is in the configuration being applied */
	struct eng_pool *pool;
	struct eng_team *team;	    /* NULL if it has none */
	struct lrn_estimate factor; /* of run times, see core/learn.h */
	struct hlth_job health;
	size_t nsubms;
	size_t nwaiting; /* waiting tasks of all submissions */
	TAILQ_HEAD(, eng_subm) subms;
	TAILQ_ENTRY(eng_job) team_entry;
	RB_ENTRY(eng_job) entry;
};

RB_HEAD(eng_jobs, eng_job);

/* A submission, from its admission until its answer is delivered and no
 * detached call refers to it. */
struct eng_subm {
	struct ord_item item; /* first member */
	struct engine *engine;
	struct submission *subm_spec; /* owned */
	struct answer *answer;
	struct eng_job *job;
	engine_done_fn done;
	void *arg;
	struct event deadline;
	uint64_t submitted_us;
	size_t nended;
	bool hedgeable;	       /* a second call of its task may be started */
	bool failed;	       /* no more tasks are started */
	bool cancelled;	       /* by the caller, while tasks were waiting */
	bool may_have_run;     /* an earlier call may have run the task */
	bool answer_delivered; /* the submission is in no list */
	size_t ndetached;      /* detached calls that refer to it */
	uint16_t npending;
	uint16_t pending[JOB_TASKS_MAX]; /* stack of indexes of waiting tasks */
	uint8_t attempts[JOB_TASKS_MAX];
	uint64_t waiting_bytes; /* total size of the bodies of waiting tasks */
	double measured_work_us[JOB_TASKS_MAX]; /* run time at speed 1 */
	TAILQ_HEAD(, eng_call) calls;
	TAILQ_ENTRY(eng_subm) job_entry;
	TAILQ_ENTRY(eng_subm) ended_entry;
	RB_ENTRY(eng_subm) entry;
};

RB_HEAD(eng_subms, eng_subm);

/* A call that runs one task on a server. */
struct eng_call {
	struct engine *engine;
	struct eng_subm *subm;
	struct eng_server *server;
	struct backend_call *handle;
	struct eng_team *team; /* whose quota it uses, or NULL */
	size_t index;	       /* of the task */
	uint64_t started_us;
	double declared_us;    /* declared run time */
	double expected_us;    /* expected run time on this server */
	bool overdue_recorded; /* in the health of the server */
	bool detached;	       /* its submission does not wait for it */
	bool hedged;	       /* has a hedge, or is one */
	char task_id[TICKET_SIZE + 8];
	TAILQ_ENTRY(eng_call) server_entry;
	TAILQ_ENTRY(eng_call) subm_entry;
	TAILQ_ENTRY(eng_call) hedge_entry; /* in engine.hedgeable */
};

struct engine {
	struct event_base *base;
	struct clock *clock;
	struct backend *backend;
	char az[NAME_SIZE];
	char host[NAME_SIZE];
	struct disp_policy policy;
	uint64_t random_state;
	uint32_t queue_tasks_max;
	uint64_t queue_bytes_max;
	uint64_t config_version;
	uint64_t nsubmitted;
	engine_leaving_fn leaving_fn; /* may be NULL */
	void *leaving_arg;

	struct eng_servers servers;
	struct eng_teams teams;
	struct eng_jobs jobs;
	struct eng_subms subms;
	TAILQ_HEAD(, eng_pool) pools;
	TAILQ_HEAD(, eng_subm) ended;		   /* answer not delivered */
	TAILQ_HEAD(eng_calls, eng_call) hedgeable; /* in order of start */

	size_t nwaiting;	 /* waiting tasks */
	size_t nrunning;	 /* pending calls that are not detached */
	uint64_t waiting_bytes;	 /* total size of their bodies */
	uint32_t nlocal_servers; /* configured servers of the local zone */
	uint32_t nejected;	 /* servers ejected or probing */
	size_t nreturnable;	 /* slots to be returned to lenders */
	bool dispatch_suspended; /* while a configuration is applied */
	double mean_log_speed;	 /* mean logarithm of the servers' speeds */
	struct retry_budget retries;
	struct retry_budget hedges;
	struct event *answer_event; /* delivers answers */
	struct event *tick;
	bool tick_pending;

	/* Names of the live entry hosts of the local zone, with this host. */
	char (*az_host_names)[NAME_SIZE];
	const char **az_host_ptrs; /* to the names */
	size_t naz_hosts;	   /* 0 until engine_set_az_hosts() */
};

RB_PROTOTYPE(eng_servers, eng_server, entry, eng_server_cmp)
RB_PROTOTYPE(eng_teams, eng_team, entry, eng_team_cmp)
RB_PROTOTYPE(eng_jobs, eng_job, entry, eng_job_cmp)
RB_PROTOTYPE(eng_subms, eng_subm, entry, eng_subm_cmp)

/* engine.c */
uint64_t eng_random(struct engine *engine);
void eng_schedule_tick(struct engine *engine);
void eng_job_release(struct engine *engine, struct eng_job *job);

/* engine_dispatch.c */
void eng_dispatch_pool(struct engine *engine, struct eng_pool *pool);
void eng_dispatch_server(struct engine *engine, struct eng_server *server);
void eng_dispatch_all(struct engine *engine);
void eng_hedge_slow_calls(struct engine *engine, uint64_t now_us);
double eng_declared_run_us(const struct eng_job *job,
    const struct task_spec *task);
double eng_task_work_us(const struct eng_job *job,
    const struct task_spec *task);

/* engine_call.c */
int eng_call_start(struct eng_subm *subm, size_t index,
    struct eng_server *server);
void eng_call_cancel(struct eng_call *call);

/* engine_answer.c */
void eng_task_end(struct eng_subm *subm, size_t index, enum task_state state,
    const struct err *err);
void eng_end_pending_tasks(struct eng_subm *subm, const struct err *err);
void eng_subm_free(struct eng_subm *subm);
void eng_subm_release(struct eng_subm *subm);
void eng_count_answer(const struct eng_subm *subm);

/* engine_server.c */
struct eng_server *eng_server_find(struct engine *engine, const char *name);
void eng_server_refresh(struct engine *engine, struct eng_server *server);
void eng_server_set_leaving(struct engine *engine, struct eng_server *server,
    enum eng_leaving_source source, bool leaving);
void eng_server_clear_leaving(struct engine *engine, struct eng_server *server);
void eng_server_record_event(struct engine *engine, struct eng_server *server,
    struct eng_job *job, enum hlth_event event);
void eng_server_release(struct engine *engine, struct eng_server *server);
void eng_server_count_ejected(struct engine *engine, struct eng_server *server);
void eng_server_update_limit(struct engine *engine, struct eng_server *server,
    uint64_t now_us);
double eng_uncertainty_factor(const struct eng_call *call);
void eng_servers_update_limits(struct engine *engine);
void eng_servers_tick(struct engine *engine, uint64_t now_us);

/* engine_config.c */
void eng_config_clear(struct engine *engine);
bool eng_pool_matches(const struct eng_pool *pool,
    const struct eng_server *server);

/* engine_loan.c */
uint32_t eng_loans_lent(const struct eng_server *server, uint64_t now_us);
uint32_t eng_loans_borrowed(const struct eng_server *server);
void eng_loans_expire_borrowed(struct engine *engine, struct eng_server *server,
    uint64_t now_us);
bool eng_loans_expire(struct engine *engine, struct eng_server *server,
    uint64_t now_us);

#endif /* ENTRY_ENGINE_INTERNAL_H */
