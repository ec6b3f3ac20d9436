#ifndef SOAK_H
#define SOAK_H

#include <event2/event.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <sys/types.h>

#include "adapters/http_client.h"

/*
 * State of a soak test: entry hosts of two availability zones as real
 * processes, a stand-in for the platform and its backend servers, and a proxy
 * on each connection between them. All faults are injected from outside the
 * hosts.
 */

#define SOAK_ZONES 2
#define SOAK_HOSTS_PER_ZONE 3
#define SOAK_HOSTS (SOAK_ZONES * SOAK_HOSTS_PER_ZONE)
#define SOAK_SERVERS 8
#define SOAK_TASKS_MAX 6

/** struct soak_host - an entry host under test. */
struct soak_host {
	char name[16];
	char az[16];
	pid_t pid; /* 0: not running */
	bool paused;
	bool stopping; /* it was told to stop, and may have ended */
	uint16_t work_port, peer_port, ready_port, http_port;
	uint16_t peer_link, store_link; /* ports of the proxy's links */
	uint16_t work_link;		/* of callers, with --resubmit */
	struct hcl *hcl;		/* the callers' client for this host */
};

/** struct soak_job - a job of a caller. */
struct soak_job {
	struct soak *soak;
	char id[17];
	bool stored;
	uint32_t ntasks; /* of each run of its step */
	bool gang;
	bool crashes; /* its first task crashes each server that starts it */
	uint32_t max_runs;    /* number of scheduled runs of its step */
	uint64_t start_ms;    /* wall clock time of the first scheduled run */
	uint32_t work_ms;     /* run time of a task */
	uint32_t patience_ms; /* its caller's Deadline-Ms */
	int attempts;
	uint64_t resend_ms; /* it is not sent again before this time */
	int refusals; /* attempts that were refused: the job was not run */
	bool ended;   /* no more attempts: final answer, or too many attempts */
	int last_status; /* HTTP status of the last response */
	bool accepted;
	bool end_known; /* the end of this stored job is known */
	char state[16];
	struct event *timer;
	TAILQ_ENTRY(soak_job) entry;
};

/** struct soak - a run of the soak test. */
struct soak {
	struct event_base *base;
	struct event *submit_timer, *fault_timer;
	char dir[64];
	char bin[256];
	/* Hosts listen on a loopback address that no other run uses. */
	char address[INET_ADDRSTRLEN];
	int address_claim; /* socket whose bound port claims the address */
	uint64_t random;
	pid_t fleet, proxy;
	uint16_t store_port, proxy_port;
	uint16_t server_ports[SOAK_SERVERS];
	uint16_t server_links[SOAK_SERVERS];
	struct soak_host hosts[SOAK_HOSTS];
	TAILQ_HEAD(soak_job_list, soak_job) jobs;
	uint32_t njobs;
	/* Faults also end most hosts at once and expire servers' rows, and some
	 * tasks last longer than a lease. */
	bool restarts;
	/* Faults also delay orders, and cut off hosts without a sign; callers
	 * lose connections, and some tasks last for seconds. */
	bool resubmit;
	bool load_active; /* jobs are submitted and faults injected */
	uint32_t nfaults;
	uint32_t violations;
	json_t *kinds;			      /* number of violations by kind */
	uint64_t config_version;	      /* written last */
	uint64_t config_written_ms;	      /* its time */
	uint64_t config_in_force[SOAK_HOSTS]; /* by process, as observed */
	struct event *config_timer;
};

/* soak.c */
/** soak_violation() - count and print a violation. */
void soak_violation(struct soak *soak, const char *kind, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* soak_cluster.c */
void soak_start(struct soak *soak);
void soak_stop(struct soak *soak);
void soak_host_start(struct soak *soak, struct soak_host *host);
void soak_host_kill(struct soak *soak, struct soak_host *host);
bool soak_check_running(struct soak *soak);
void soak_check_connected(struct soak *soak);
void soak_print_sanitizer_reports(const struct soak *soak);
void soak_post(uint16_t port, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
uint32_t soak_random(struct soak *soak, uint32_t below);
void soak_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* soak_config.c */
void soak_config_write(struct soak *soak);
void soak_config_change_next(evutil_socket_t fd, short what, void *arg);
void soak_config_check(struct soak *soak, bool settled);

/* soak_faults.c */
void soak_inject_fault(struct soak *soak);
void soak_restore(struct soak *soak);

#endif /* SOAK_H */
