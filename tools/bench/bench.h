#ifndef TOOLS_BENCH_BENCH_H
#define TOOLS_BENCH_BENCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "berylrail/limits.h"

/*
 * berylrail-bench: real daemons, stand-in backend servers and platform, open-
 * loop clients. docs/MEASURES.md defines what is counted.
 */

#define BENCH_HOSTS_MAX 32
#define BENCH_SERVERS_MAX 512
#define BENCH_KINDS_MAX 64	   /* series of wasted messages */
#define BENCH_CURVE_SECONDS_MAX 64 /* of one run, with its end */
#define BENCH_TIMEOUT_MS 20000	   /* for a process to get ready */

/** struct bench_shape - the cluster; hosts and servers go round the zones. */
struct bench_cluster_params {
	int nzones;
	int nhosts;
	int nservers;
	int slots;	       /* task slots of a server */
	const char *speeds;    /* percent, separated by commas, used in turn */
	bool instant_servers;  /* servers answer at once and record nothing */
	const char *host_args; /* further flags of berylraild, or NULL */
	int nconfig_only;      /* further servers in the configuration only */
};

/** struct bench_host - one berylraild. */
struct bench_host {
	char name[16];
	char az[16];
	pid_t pid;
	unsigned generation;
	uint16_t http_port;
	uint16_t peer_port;	 /* direct */
	uint16_t peer_link_port; /* by the proxy */
	uint16_t platform_link_port;
	bool ready; /* as the balancer sees it */
};

/** struct bench_cluster - the processes of one run. */
struct bench_cluster {
	struct bench_cluster_params params;
	const char *policy;
	uint64_t seed;
	char dir[256];
	pid_t platform, backend, proxy;
	uint16_t platform_port, backend_port, proxy_port;
	struct bench_host hosts[BENCH_HOSTS_MAX];
	uint16_t server_ports[BENCH_SERVERS_MAX];
	int speeds[BENCH_SERVERS_MAX]; /* percent */
	json_t *counters; /* of processes that have ended; may be NULL */
};

/* cluster.c */
int bcl_start(struct bench_cluster *cluster);
void bcl_stop(struct bench_cluster *cluster);
int bcl_host_start(struct bench_cluster *cluster, int host);
/* POST to a stand-in's control; -1 and a line on stderr if refused. */
int bcl_control(uint16_t port, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
int bcl_server_control(struct bench_cluster *cluster, int server,
    const char *members);
json_t *bcl_backend_summary(struct bench_cluster *cluster);

/* process.c */
pid_t bpr_spawn(const char *dir, const char *program, const char *name,
    const char *args);
void bpr_kill(pid_t *pid);
/* CPU time of a process in seconds, its memory in bytes; -1 if it is gone. */
double bpr_cpu_s(pid_t pid);
double bpr_rss_bytes(pid_t pid);
uint64_t bpr_now_us(void);

/** struct bench_mix - what clients ask for. */
struct bench_mix {
	double single_share;	   /* share of single requests */
	double large_share;	   /* share of jobs of 50 to 170 tasks */
	int declared_error_factor; /* declared run times are off by that factor
				    */
	double impossible_share;   /* share of jobs that no server can run */
};

/** struct bench_job - one job of the workload. */
struct bench_job {
	uint64_t arrival_us; /* from the start of the load */
	uint64_t ideal_us;
	bool single;
	bool impossible;
	bool large;
	int ntasks;
	uint32_t work_ms;  /* of all tasks at speed 100 % */
	uint16_t *task_ms; /* run time of each task at speed 100 %; owned */
	uint32_t declared_ms;
	int index;
};

/** struct bench_phase - a stretch of the load. */
struct bench_phase {
	double end_s;
	double offered_load; /* of all servers' capacity */
};

/** struct bench_load - all jobs of a run. */
struct bench_workload {
	struct bench_job *jobs;
	int njobs;
};

/* workload.c */
uint64_t bwl_random(uint64_t *state);
double bwl_uniform(uint64_t *state);
void bwl_generate(struct bench_workload *workload,
    const struct bench_cluster *cluster, const struct bench_mix *mix,
    const struct bench_phase *phases, uint64_t seed);
void bwl_release(struct bench_workload *workload);
/* Work that all servers do in a second, in milliseconds at speed 100 %. */
double bwl_capacity_ms(const struct bench_cluster *cluster);

/** enum bench_end - how a job ended for its client. */
enum bench_outcome {
	BENCH_COMPLETE,
	BENCH_NOT_RUN,	 /* refused: certainly not run */
	BENCH_FAILED,	 /* a task failed */
	BENCH_UNKNOWN,	 /* outcome-unknown */
	BENCH_LOST,	 /* no answer in time */
	BENCH_CANCELLED, /* by the client */
	BENCH_PENDING,
	BENCH_NOUTCOMES,
};

/** struct bench_result - one job's end. */
struct bench_result {
	enum bench_outcome outcome;
	uint64_t arrival_us;
	uint64_t end_us;
	double ratio; /* response time to the ideal */
};

struct bench_client;

/** struct bench_client_counts - messages on the client's link. */
struct bench_client_counts {
	uint64_t requests;
	uint64_t wasted;	     /* that added nothing to an answer */
	uint64_t incomplete_answers; /* answers that claimed to be whole and
					were not */
};

/* client.c */
struct event_base;
struct bench_client *bct_create(struct event_base *base,
    struct bench_cluster *cluster, const struct bench_workload *workload,
    uint64_t seed);
/* Opens connections and fetches their first tickets. */
void bct_warm_up(struct bench_client *client, int per_host);
void bct_start(struct bench_client *client);
void bct_cancel_share(struct bench_client *client, double share);
bool bct_is_done(const struct bench_client *client);
void bct_abort_pending(struct bench_client *client);
struct bench_result *bct_results(struct bench_client *client);
const struct bench_client_counts *bct_counts(const struct bench_client *client);
json_t *bct_errors(const struct bench_client *client);
uint64_t bct_start_us(const struct bench_client *client);
void bct_destroy(struct bench_client *client);

/** struct bench_event - something that is done to the cluster. */
struct bench_action {
	double at_s;
	void (*apply)(struct bench_cluster *cluster,
	    struct bench_client *client, int arg);
	int arg;
};

#define BENCH_PHASES_MAX 6
#define BENCH_ACTIONS_MAX 16

/** struct bench_case - one row of the table. */
struct bench_case {
	const char *name;
	const char *description;
	struct bench_mix mix;
	struct bench_phase phases[BENCH_PHASES_MAX];	/* ended by until_s 0 */
	struct bench_action actions[BENCH_ACTIONS_MAX]; /* ended by act NULL */
	double settle_s; /* failures are also counted from then on */
};

/* cases.c */
extern const struct bench_case bench_cases[];
extern const size_t bench_ncases;
const struct bench_case *bca_find(const char *name);

/* scrape.c */
/* Adds a host's counters to @sums, an object of numbers by series. */
void bsc_add_metrics(json_t *sums, uint16_t http_port, int sign);
double bsc_sum_series(const json_t *sums, const char *prefix);

/** struct bench_options - of the program. */
struct bench_options {
	int nseeds;
	int parallel;	   /* clusters at once */
	double scale;	   /* of every case's length */
	const char *cases; /* names separated by commas, NULL for all */
	const char *policies;
	const char *out; /* directory */
};

/* run.c */
/* One run of a case; the record to be freed with json_decref(), or NULL. */
json_t *brn_run(const struct bench_case *bcase, const char *policy,
    uint64_t seed, double scale);

/* report.c */
void brp_write_table(json_t *runs, const struct bench_options *options);

/* svg.c */
int bsv_write(const char *path, const char *title, json_t *runs);

/* throughput.c, capacity.c */
int bth_run(const struct bench_options *options);
int bcp_run(const struct bench_options *options);

#endif /* TOOLS_BENCH_BENCH_H */
