#ifndef TESTS_SIM_SIM_H
#define TESTS_SIM_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "adapters/clock_real.h"
#include "entry/jobs/job_gateway.h"
#include "entry/jobs/job_service.h"
#include "ports/peer.h"
#include "tests/support/fake_worker.h"
#include "tests/support/memory_rows.h"

/*
 * Simulated days of entry hosts. Each host has the modules of the jobs
 * (entry/jobs/job_service.h) and an event base of its own; the hosts share the
 * worker model, a store and a network of connections. Time and all random
 * choices follow from the seed of the day.
 */

#define SIM_ZONES_MAX 4
#define SIM_HOSTS_MAX 16
#define SIM_SERVERS_MAX 32 /* bits of the masks of fake_worker.h */
#define SIM_STEP_MS 2
/* All troubles but X and t, whose days fail on known gaps, and later ones; A
 * and B more often. */
#define SIM_MIX "ABABcoislrdkfnpmwbexyuvq"
#define SIM_US_PER_MS UINT64_C(1000)
#define SIM_STORED_PREFIX 'f' /* of the ids of stored jobs */

struct event_base;
struct sim_day;
struct sim_host;

/** struct sim_options - what is played. */
struct sim_options {
	uint64_t seed; /* of the first day */
	uint32_t days;
	const char *mix; /* letters of sim_events.c */
	bool trace;
	uint32_t zones;
	uint32_t hosts;		  /* of each zone */
	uint32_t servers;	  /* of each zone */
	uint32_t resend;	  /* per mille of callers that send again */
	uint32_t resend_answered; /* the same after an answer */
	bool resends_by_cause;	  /* their counts are printed */
	bool resend_moves;	  /* each time to another zone than before */
	uint32_t stored;	  /* per mille of jobs that are stored */
	uint32_t task_ms;	  /* longest task */
	uint32_t deadline_ms;	  /* of callers */
	uint32_t seconds;	  /* of a day */
};

/** enum sim_cause - why a caller sends its job again. */
enum sim_cause {
	SIM_AFTER_ANSWER,  /* that the outcome is unknown */
	SIM_AFTER_LOSS,	   /* of its connection, or its time-out */
	SIM_AFTER_REFUSAL, /* that told it to */
	SIM_NCAUSES,
};

/** struct sim_totals - counts of all days. */
struct sim_totals {
	uint32_t days, failed, discarded, jobs, resent, starts, takeovers;
	uint32_t resent_after[SIM_NCAUSES];
	uint32_t answers[GW_INVALID + 1];
	uint32_t events[128]; /* by letter */
};

/* Connections between hosts: sim_conn.c */

enum sim_msg_kind {
	SIM_HELLO,
	SIM_REQUEST,
	SIM_REPLY,
	SIM_HEARTBEAT,
	SIM_END, /* of the connection */
};

struct sim_msg {
	enum sim_msg_kind kind;
	uint64_t due_us;
	uint64_t correlation; /* of requests and replies */
	int method;
	int status;
	char *path, *query; /* owned, as the body */
	char *body;
	size_t body_len;
	TAILQ_ENTRY(sim_msg) entry;
};

TAILQ_HEAD(sim_msgs, sim_msg);

/** struct sim_end - one end of a connection. */
struct sim_end {
	struct sim_conn *conn;
	struct sim_host *host;
	uint64_t incarnation; /* of its process */
	bool dialed;
	bool hello; /* of the peer received */
	bool redundant;
	bool closed;
	uint64_t opened_us, last_received_us, last_sent_us, alive_us;
	uint64_t heartbeat_due_us;
	size_t nforwards, nserved;
	struct sim_msgs wire;  /* on their way to this end */
	struct sim_msgs inbox; /* arrived, not read */
	TAILQ_ENTRY(sim_end) entry;
};

struct sim_conn {
	struct sim_day *day;
	uint64_t id;
	struct sim_end ends[2];
	uint32_t delay_us; /* one way */
	bool silent;	   /* nothing passes any more, and neither end knows */
	TAILQ_ENTRY(sim_conn) entry;
};

/** enum sim_close - what the other end of a connection gets to know. */
enum sim_close {
	SIM_CLOSE_DRAWN, /* its end, after all data or instead of it, or none */
	SIM_CLOSE_TOLD,	 /* the peer knows */
	SIM_CLOSE_SILENT,
};

void sim_conn_dial(struct sim_host *host, struct sim_host *to);
struct sim_end *sim_end_peer(struct sim_end *end);
void sim_end_send(struct sim_end *end, struct sim_msg *msg);
void sim_end_close(struct sim_end *end, enum sim_close how);
struct sim_msg *sim_msg_create(enum sim_msg_kind kind, uint64_t correlation);
void sim_msg_free(struct sim_msg *msg);

/** sim_conn_silence() - nothing passes by the connection from now on. */
void sim_conn_silence(struct sim_conn *conn);

/** sim_conn_advance() - messages arrive at their hosts. */
void sim_conn_advance(struct sim_day *day);

/** sim_conn_read() - a host reads up to @max messages; false: it read all. */
bool sim_conn_read(struct sim_host *host, uint32_t max);

/** sim_conn_sweep() - free what was closed; not during callbacks. */
void sim_conn_sweep(struct sim_day *day);

/* The port of the peers: sim_peers.c */

void sim_peers_start(struct sim_host *host);
/* The process ends; @silent: its machine has lost power. */
void sim_peers_stop(struct sim_host *host, bool silent);
void sim_peers_msg(struct sim_end *end, struct sim_msg *msg);
void sim_peers_params(struct sim_host *host, struct jsvc_params *params);

struct sim_host *sim_peer(struct sim_host *host, const char *name);
struct sim_end *sim_end_find(struct sim_host *host, size_t to,
    uint64_t incarnation);
struct sim_end *sim_end_find_host(struct sim_host *host, size_t to);
struct sim_end *sim_end_dialing(struct sim_host *host, size_t to);
void sim_peers_dial(struct sim_host *host, size_t to);

/* Requests to other hosts: sim_forward.c */

void sim_forward(struct peers *peers, const char *az, const char *issuer,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg);
void sim_request_received(struct sim_end *end, struct sim_msg *msg);
void sim_reply_received(struct sim_end *end, const struct sim_msg *msg);
void sim_forwards_start(struct sim_host *host);
void sim_forwards_stop(struct sim_host *host);
void sim_forwards_connected(struct sim_end *end);
void sim_forwards_closed(struct sim_end *end);
void sim_forwards_tick(struct sim_host *host, uint64_t now_us);

/* The store: sim_store.c */

struct sim_store_row {
	enum rows_table table;
	char key[NAME_SIZE];
	char value[160];
	uint64_t version;
	bool removed;
};

#define SIM_ROWS_MAX 256

struct sim_store {
	struct memory_rows jobs; /* its version counts for all tables */
	struct sim_store_row rows[SIM_ROWS_MAX];
	size_t nrows;
};

uint64_t sim_store_put(struct sim_store *store, enum rows_table table,
    const char *key, const char *value);
struct sim_rows *sim_rows_create(struct sim_host *host);
struct rows *sim_rows_port(struct sim_rows *rows);
void sim_rows_start(struct sim_rows *rows);
void sim_rows_destroy(struct sim_rows *rows);
/* The store executes calls; then a host reads its replies. */
void sim_rows_execute(struct sim_rows *rows);
/* No reply comes by the present connections. */
void sim_rows_silence(struct sim_rows *rows);
void sim_rows_read(struct sim_rows *rows);

/* Servers' rows: sim_servers.c */

#define SIM_SERVER_IDS 4 /* rows of one server: the last processes */

struct sim_server {
	uint64_t report_ms; /* next report */
	uint64_t silent_ms; /* does not reach the store until then */
	uint64_t heal_ms;   /* of its speed */
	uint64_t leaves_ms; /* drains until then; 0: does not */
	struct sim_server_row {
		char id[NAME_SIZE];
		uint64_t reported_ms; /* 0: no row */
	} rows[SIM_SERVER_IDS];
};

void sim_servers_start(struct sim_day *day);
void sim_servers_step(struct sim_day *day);
/* The server ends, and another process is at its address after a while. */
void sim_server_restart(struct sim_day *day, size_t index,
    enum wm_restart_kind kind);
int sim_decode_server(const char *key, const char *value, size_t len,
    struct reg_server *server);
int sim_decode_host(const char *key, const char *value, size_t len,
    struct reg_host *host);
int sim_decode_config(const char *value, size_t len, struct reg_config *config);
char *sim_encode_host(const struct reg_host *host);

/* Hosts and the day: sim_day.c */

TAILQ_HEAD(sim_ends, sim_end);
TAILQ_HEAD(sim_forwards, sim_forward);
TAILQ_HEAD(sim_serveds, sim_served);

struct sim_host {
	struct peers peers; /* first member: struct sim_host is cast from it */
	struct sim_day *day;
	size_t index;
	char name[NAME_SIZE];
	struct reg_host info;
	struct event_base *base;
	struct worker *worker;
	struct job_service *svc; /* NULL: no process */
	struct sim_rows *rows;
	uint64_t token; /* last announced one */
	/* Times, 0: none. */
	uint64_t stands_until_ms, start_ms, store_heal_ms, worker_heal_ms;
	uint64_t leaves_ms, unlist_ms; /* it ends; its row is removed */
	/* Connections break on the callers' side until then. */
	uint64_t callers_heal_ms;
	bool spare; /* it is added later */
	bool stood; /* it has stood still since it ran last */
	bool dies;  /* it loses power and does not go on */
	/* It stands still as its machine is suspended; since when, and for how
	 * long before. */
	bool suspended;
	uint64_t suspended_at_ms, suspended_ms;
	bool power_lost; /* nothing at its address answers */
	bool store_lost;
	bool ending; /* its process ends now: nothing that it does counts */
	/* Peers */
	bool listed[SIM_HOSTS_MAX];
	uint64_t next_dial_us[SIM_HOSTS_MAX];
	uint32_t backoff_ms[SIM_HOSTS_MAX];
	struct event *tick, *failed_event;
	uint64_t previous_tick_us, last_tick_us;
	uint64_t conns_version;
	struct sim_ends ends;
	struct sim_forwards forwards, failed;
	struct sim_serveds served;
};

struct sim_day {
	const struct sim_options *options;
	struct sim_totals *totals;
	uint64_t seed, random, nonces;
	uint64_t now_ms;     /* since the begin of the day */
	const char *running; /* name of the host that runs, or "-" */
	size_t nhosts, nservers;
	struct sim_host hosts[SIM_HOSTS_MAX];
	struct sim_server servers[SIM_SERVERS_MAX];
	struct wm_cluster cluster;
	struct sim_store store;
	TAILQ_HEAD(, sim_conn) conns;
	uint64_t next_correlation, nconns;
	/* Nothing passes from the first host to the second one. */
	bool cut[SIM_HOSTS_MAX][SIM_HOSTS_MAX];
	uint64_t heal_ms[SIM_HOSTS_MAX][SIM_HOSTS_MAX];
	uint64_t resume_us[SIM_HOSTS_MAX][SIM_HOSTS_MAX];
	uint32_t delay_us; /* of connections that are opened, one way */
	uint32_t delay_spread_us;
	uint32_t store_ms; /* duration of a call of the store */
	uint64_t slow_until_ms, store_slow_until_ms;
	struct sim_callers *callers;
	uint32_t job_permille, event_permille;
	char theme;
	/* The first run that was taken for ended and had not; "": none. */
	char discarded[WORKER_TASK_NAME_SIZE];
	uint64_t discarded_ms;
};

/** sim_day_play() - Return: whether the day has passed. */
bool sim_day_play(const struct sim_options *options, uint64_t seed,
    struct sim_totals *totals);

/** sim_day_run_discarded() - a holder has taken a run for ended. */
void sim_day_run_discarded(const char *task, uint64_t run_id);

/** sim_day_current() - the day that is played. */
const struct sim_day *sim_day_current(void);

uint32_t sim_random(struct sim_day *day, uint32_t n);
bool sim_chance(struct sim_day *day, uint32_t permille);
/** sim_now_us() - time that no suspension stops. */
uint64_t sim_now_us(void);
/** sim_host_now_us() - time by the clock of a host's processes. */
uint64_t sim_host_now_us(const struct sim_host *host);
bool sim_host_runs(const struct sim_host *host);
void sim_host_start(struct sim_host *host);
void sim_host_leave(struct sim_host *host, uint64_t end_ms);
void sim_host_kill(struct sim_host *host, bool silent);
struct job_gateway *sim_host_gateway(struct sim_host *host);
void sim_trace(const struct sim_day *day, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Troubles: sim_events.c */

bool sim_events_valid(const char *mix);
void sim_events_step(struct sim_day *day);

/* Callers: sim_callers.c */

struct sim_callers *sim_callers_create(struct sim_day *day);
void sim_callers_destroy(struct sim_callers *callers);
void sim_callers_step(struct sim_callers *callers, bool quiet);
/* A host reads what its callers have sent. */
void sim_callers_read(struct sim_callers *callers, struct sim_host *host);
/* Their connections to a host are broken. */
void sim_callers_lose(struct sim_callers *callers, struct sim_host *host);
/* They close them. */
void sim_callers_leave(struct sim_callers *callers, struct sim_host *host);
/* A task that has run although its job was refused as not run, or NULL. */
const char *sim_callers_refused_run(const struct sim_callers *callers);

#endif /* TESTS_SIM_SIM_H */
