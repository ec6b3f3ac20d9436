#ifndef TOOLS_BENCH_BENCH_H
#define TOOLS_BENCH_BENCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "berylrail/limits.h"

/*
 * berylrail-bench: open-loop clients send a workload to berylraild processes
 * that use stand-ins for the backend servers and for the platform.
 * docs/MEASURES.md defines the measures.
 */

#define BENCH_HOSTS_MAX 32
#define BENCH_SERVERS_MAX 512
#define BENCH_KINDS_MAX 64	   /* series of wasted messages; unused */
#define BENCH_CURVE_SECONDS_MAX 64 /* length of a curve, by arrival time */
#define BENCH_TIMEOUT_MS 20000	   /* of a process start or a request */

/**
 * struct bench_cluster_params - size and settings of a cluster.
 *
 * Hosts and servers are assigned to the availability zones in turn.
 */
struct bench_cluster_params {
	int nzones;
	int nhosts;
	int nservers;
	int slots;	       /* task slots of a server */
	const char *speeds;    /* percent of the nominal speed, separated by
				  commas; assigned to the servers in turn */
	bool no_record;	       /* servers do not record task starts */
	const char *host_args; /* additional flags of berylraild, or NULL */
	int nconfig_only;      /* configured servers that do not run */
};

/** struct bench_host - an entry host and its berylraild process. */
struct bench_host {
	char name[16];
	char az[16];
	pid_t pid;
	unsigned generation; /* number of process starts */
	uint16_t http_port;
	uint16_t peer_port;	     /* of the host itself */
	uint16_t peer_link_port;     /* of the proxy */
	uint16_t platform_link_port; /* of the proxy */
	bool ready;		     /* result of the last readiness probe */
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
	json_t *counters;	       /* sums of metrics by series, or NULL */
};

/* cluster.c: functions that return int return 0 or -1. */
/* Starts all processes, configures them and waits until they are ready. */
int bcl_start(struct bench_cluster *cluster);
/* Kills all processes and removes the files unless BENCH_KEEP is set. */
void bcl_stop(struct bench_cluster *cluster);
/* Starts a new process of a host and points the proxy's link at it. */
int bcl_host_start(struct bench_cluster *cluster, int host);
/* Sends a control request to a stand-in; -1, logged, unless it returns 200. */
int bcl_control(uint16_t port, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Sets members of a backend server's mode: JSON members without braces. */
int bcl_server_control(struct bench_cluster *cluster, int server,
    const char *members);
/* Returns the record of task starts as a new reference, or NULL. */
json_t *bcl_backend_summary(struct bench_cluster *cluster);

/* process.c */
/*
 * Starts a program with the blank-separated arguments @args. Its output goes to
 * @name.log in @dir.
 */
pid_t bpr_spawn(const char *dir, const char *program, const char *name,
    const char *args);
/* Kills and reaps the process, then sets *@pid to 0. */
void bpr_kill(pid_t *pid);
/* CPU time and resident memory of a process; -1 if it does not exist. */
double bpr_cpu_s(pid_t pid);
double bpr_rss_bytes(pid_t pid);
/* Monotonic time. */
uint64_t bpr_now_us(void);

/** struct bench_mix - composition of the workload. */
struct bench_mix {
	double single_share;	   /* share of jobs that are single requests */
	double large_share;	   /* share of jobs of 50 to 170 tasks */
	int declared_error_factor; /* of declared run times; 0: no error */
	double impossible_share;   /* share of jobs that no server can run */
};

/** struct bench_job - one job of the workload. */
struct bench_job {
	uint64_t arrival_us; /* since the start of the load */
	uint64_t ideal_us;   /* response time with idle, optimal servers */
	bool single;	     /* a single request instead of a job */
	bool impossible;     /* no server is eligible */
	bool large;
	int ntasks;
	uint32_t work_ms;     /* sum of task_ms */
	uint16_t *task_ms;    /* run time of each task at speed 100 %; owned */
	uint32_t declared_ms; /* declared run time of each task */
	int index;	      /* in the workload */
};

/** struct bench_phase - a period of constant offered load. */
struct bench_phase {
	double end_s;	     /* since the start of the load */
	double offered_load; /* share of all servers' capacity */
};

/** struct bench_workload - all jobs of a run, by arrival time. */
struct bench_workload {
	struct bench_job *jobs;
	int njobs;
};

/* workload.c */
/* Pseudorandom numbers: 64 bits, and uniform in [0, 1). */
uint64_t bwl_random(uint64_t *state);
double bwl_uniform(uint64_t *state);
/* Generates a workload, which the caller frees with bwl_release(). */
void bwl_generate(struct bench_workload *workload,
    const struct bench_cluster *cluster, const struct bench_mix *mix,
    const struct bench_phase *phases, uint64_t seed);
void bwl_release(struct bench_workload *workload);
/* Work that all servers do per second, in milliseconds at speed 100 %. */
double bwl_capacity_ms(const struct bench_cluster *cluster);

/** enum bench_outcome - outcome of a job as seen by its client. */
enum bench_outcome {
	BENCH_COMPLETE,
	BENCH_NOT_RUN,	 /* no task has run: refused, or no ticket */
	BENCH_FAILED,	 /* a task failed */
	BENCH_UNKNOWN,	 /* outcome-unknown, or an incomplete answer */
	BENCH_LOST,	 /* no final answer */
	BENCH_CANCELLED, /* by the client */
	BENCH_PENDING,
	BENCH_NOUTCOMES,
};

/** struct bench_result - outcome and times of one job. */
struct bench_result {
	enum bench_outcome outcome;
	uint64_t arrival_us; /* times are since the start of the load */
	uint64_t end_us;
	double ratio; /* response time divided by the ideal one */
};

struct bench_client;

/** struct bench_client_counts - requests and answers of the clients. */
struct bench_client_counts {
	uint64_t requests;
	uint64_t wasted;	     /* did not contribute to an answer */
	uint64_t incomplete_answers; /* outcome complete, but results missing */
};

/* client.c */
struct event_base;
/* Creates clients for a workload; @seed selects hosts and cancellations. */
struct bench_client *bct_create(struct event_base *base,
    struct bench_cluster *cluster, const struct bench_workload *workload,
    uint64_t seed);
/* Opens connections and fetches a ticket on each; resets the counts. */
void bct_warm_up(struct bench_client *client, int per_host);
/* Starts the load: submits each job at its arrival time. */
void bct_start(struct bench_client *client);
/* Cancels each pending job with probability @share; not single requests. */
void bct_cancel_share(struct bench_client *client, double share);
/* Returns true if every job has an outcome. */
bool bct_is_done(const struct bench_client *client);
/* Sets the outcome of pending jobs to lost, or cancelled. */
void bct_abort_pending(struct bench_client *client);
/* One result per job of the workload; owned by the client. */
struct bench_result *bct_results(struct bench_client *client);
const struct bench_client_counts *bct_counts(const struct bench_client *client);
/* Counts of errors by step and code; a borrowed reference. */
json_t *bct_errors(const struct bench_client *client);
uint64_t bct_start_us(const struct bench_client *client);
void bct_destroy(struct bench_client *client);

/** struct bench_action - a scheduled action on the cluster or the clients. */
struct bench_action {
	double at_s; /* since the start of the load */
	void (*apply)(struct bench_cluster *cluster,
	    struct bench_client *client, int arg);
	int arg;
};

#define BENCH_PHASES_MAX 6
#define BENCH_ACTIONS_MAX 16

/** struct bench_case - one test case of the bench. */
struct bench_case {
	const char *name;
	const char *description;
	struct bench_mix mix;
	struct bench_phase phases[BENCH_PHASES_MAX];	/* up to end_s 0 */
	struct bench_action actions[BENCH_ACTIONS_MAX]; /* up to apply NULL */
	double settle_s; /* start of settled_ends: arrivals from here on */
};

/* cases.c */
extern const struct bench_case bench_cases[];
extern const size_t bench_ncases;
/* Returns the case of that name, or NULL. */
const struct bench_case *bca_find(const char *name);

/* scrape.c */
/*
 * Reads a host's metrics and adds them, multiplied by @sign, to @sums, a JSON
 * object of numbers by series.
 */
void bsc_add_metrics(json_t *sums, uint16_t http_port, int sign);
/* Returns the sum of all series whose name starts with @prefix. */
double bsc_sum_series(const json_t *sums, const char *prefix);

/** struct bench_options - command-line options. */
struct bench_options {
	int nseeds;
	int parallel;	      /* clusters that run concurrently */
	double scale;	      /* factor on the duration of every case */
	const char *cases;    /* comma-separated names, or NULL for all */
	const char *policies; /* separated by semicolons */
	const char *out;      /* output directory */
};

/* run.c */
/* Runs a case; returns its record as a new reference, or NULL on failure. */
json_t *brn_run(const struct bench_case *bcase, const char *policy,
    uint64_t seed, double scale);

/* report.c */
/* Prints the table of all cases and writes it to table.md. */
void brp_write_table(json_t *runs, const struct bench_options *options);

/* svg.c */
/* Draws the curves of the case @title; returns 0, or -1 if there are none. */
int bsv_write(const char *path, const char *title, json_t *runs);

/* throughput.c, capacity.c: return the exit status. */
int bth_run(const struct bench_options *options);
int bcp_run(const struct bench_options *options);

#endif /* TOOLS_BENCH_BENCH_H */
