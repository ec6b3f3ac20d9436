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
 * Parts of the engine: engine.c (submissions), engine_dispatch.c (what is
 * started where), engine_call.c (calls and their ends), engine_answer.c
 * (answers), engine_config.c (what is configured), engine_server.c (state of
 * backend servers), engine_loan.c (slots lent between entry hosts).
 */

#define ENG_TICK_INTERVAL_MS 20
#define ENG_RUN_DEFAULT_MS 200	     /* of a task that declares none */
#define ENG_TIMEOUT_DEFAULT_MS 30000 /* of a task */
#define ENG_LOANS_MAX 16	     /* at once, of one server */
#define ENG_OVERFLOW_MIN_WAIT_US \
	2000000 /* expected wait that allows overflow */

/* Who has said that a server is leaving. */
enum eng_leaving_source {
	ENG_LEAVING_LABEL = 1,
	ENG_LEAVING_SELF = 2,
	ENG_LEAVING_LIST = 4,
	ENG_LEAVING_PEER = 8,
};

/* Slots lent or borrowed; an entry without slots and returnable ones is unused.
 */
struct eng_loan {
	uint32_t slots;
	uint32_t returnable; /* borrowed ones, to be given back */
	uint64_t lender;
	uint64_t expires_us; /* of borrowed ones: may start tasks until then */
};

/* A backend server; stays while configured or while tasks run on it. */
struct eng_server {
	struct pick_server pick; /* first member */
	struct backend_server address;
	struct labels labels;
	struct cfg_server cfg;
	bool configured;
	bool in_new_config; /* by the configuration being applied */
	int tier;
	unsigned leaving_sources;  /* sources that hold */
	unsigned leaving_reported; /* sources as last heard, for their edges */
	struct hlth health;
	struct lrn_estimate speed;
	uint64_t paused_until_us; /* after a refusal */
	unsigned nrefusals;	  /* in a row */
	uint32_t base_limit;	  /* before a pause or probing */
	uint32_t others_running;
	struct eng_loan lent[ENG_LOANS_MAX];
	struct eng_loan borrowed[ENG_LOANS_MAX];
	size_t nloans;		      /* entries in use, of both kinds */
	bool counted_as_ejected;      /* in the engine's nejected */
	uint64_t last_success_us;     /* last whole answer */
	TAILQ_HEAD(, eng_call) calls; /* in order of start */
	RB_ENTRY(eng_server) entry;
};

RB_HEAD(eng_servers, eng_server);

/* The servers that one pair of selectors matches, and what waits for them. */
struct eng_pool {
	struct pick_pool pick; /* first member */
	struct order order;
	struct selector *service_sel; /* NULL: of an unknown service */
	struct selector *job_sel;     /* NULL: none */
	size_t njobs;
	TAILQ_ENTRY(eng_pool) entry;
};

struct eng_team {
	char name[NAME_SIZE];
	uint32_t running_max; /* 0: no limit */
	uint32_t running;
	TAILQ_HEAD(, eng_job) jobs;
	RB_ENTRY(eng_team) entry;
};

RB_HEAD(eng_teams, eng_team);

/* A job's configuration; stays while configured or in use. */
struct eng_job {
	struct ord_flow flow; /* first member */
	char name[NAME_SIZE];
	char path[256];
	struct cfg_job cfg; /* its selector is not used */
	bool configured;
	bool in_new_config;
	struct eng_pool *pool;
	struct eng_team *team; /* NULL: none */
	struct lrn_estimate factor;
	struct hlth_job health;
	size_t nsubms;
	size_t nwaiting; /* tasks */
	TAILQ_HEAD(, eng_subm) subms;
	TAILQ_ENTRY(eng_job) team_entry;
	RB_ENTRY(eng_job) entry;
};

RB_HEAD(eng_jobs, eng_job);

/* A submission, from its admission until its answer has been given. */
struct eng_subm {
	struct ord_item item; /* first member */
	struct engine *engine;
	struct submission *subm_spec;
	struct answer *answer;
	struct eng_job *job;
	engine_done_fn done;
	void *arg;
	struct event deadline;
	uint64_t submitted_us;
	size_t nended;
	bool hedgeable;	   /* its call may have a second one beside it */
	bool failed;	   /* nothing more is started */
	bool cancelled;	   /* by the caller, while tasks were waiting */
	bool may_have_run; /* a repeatable request: an earlier call may have */
	bool answer_given; /* answered and in no list */
	size_t ndetached;  /* calls that still use it */
	uint16_t npending;
	uint16_t pending[JOB_TASKS_MAX]; /* a stack of waiting tasks */
	uint8_t attempts[JOB_TASKS_MAX];
	uint64_t waiting_bytes;
	double measured_work_us[JOB_TASKS_MAX]; /* measured, at speed 1 */
	TAILQ_HEAD(, eng_call) calls;
	TAILQ_ENTRY(eng_subm) job_entry;
	TAILQ_ENTRY(eng_subm) ended_entry;
	RB_ENTRY(eng_subm) entry;
};

RB_HEAD(eng_subms, eng_subm);

/* One start of a task on a server. */
struct eng_call {
	struct engine *engine;
	struct eng_subm *subm;
	struct eng_server *server;
	struct backend_call *handle;
	struct eng_team *team; /* whose quota it uses, or NULL */
	size_t index;	       /* of the task */
	uint64_t started_us;
	double declared_us;
	double expected_us;
	bool overdue_recorded; /* has counted against the server's health */
	bool detached;	       /* its submission no longer waits for it */
	bool hedged;	       /* has a hedge, or is one */
	char task_id[TICKET_SIZE + 8];
	TAILQ_ENTRY(eng_call) server_entry;
	TAILQ_ENTRY(eng_call) subm_entry;
	TAILQ_ENTRY(eng_call) hedge_entry; /* of calls that may be hedged */
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
	TAILQ_HEAD(, eng_subm) ended;
	TAILQ_HEAD(eng_calls, eng_call) hedgeable; /* in order of start */

	size_t nwaiting; /* tasks */
	size_t nrunning; /* calls */
	uint64_t waiting_bytes;
	uint32_t nlocal_servers; /* configured servers of the own zone */
	uint32_t nejected;	 /* servers ejected or probing */
	size_t nreturnable;	 /* slots to be given back */
	bool dispatch_suspended; /* a configuration: do not start tasks */
	double mean_log_speed;	 /* mean of servers' speeds, logarithm */
	struct retry_budget retries;
	struct retry_budget hedges;
	struct event *answer_event; /* gives answers of ended submissions */
	struct event *tick;
	bool tick_pending;

	char (*az_host_names)[NAME_SIZE];
	const char **az_host_ptrs;
	size_t naz_hosts;
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
