#ifndef SOAK_H
#define SOAK_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <sys/types.h>

#include "adapters/http_client.h"

/*
 * A randomised soak: real entry hosts of two zones, a stand-in for the
 * platform, and a proxy on every way between them. Faults come from outside.
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
	uint16_t work_port, peer_port, ready_port, http_port; /* own */
	uint16_t peer_link, store_link;
	struct hcl *hcl; /* of the callers */
};

/** struct soak_job - a caller's job. */
struct soak_job {
	struct soak *soak;
	char id[17];
	bool stored;
	uint32_t ntasks; /* each time */
	bool gang;
	uint32_t max_runs; /* that its step runs */
	uint64_t start_ms; /* wall clock, of the first of several times */
	uint32_t work_ms;
	int attempts;
	int refusals;	 /* attempts answered "not run" */
	bool ended;	 /* answered for good, or given up */
	int last_status; /* last HTTP status */
	bool accepted;
	bool end_known; /* of a stored one: its end is known */
	char state[16];
	struct event *timer;
	TAILQ_ENTRY(soak_job) entry;
};

/** struct soak - one run. */
struct soak {
	struct event_base *base;
	struct event *submit_timer, *fault_timer;
	char dir[64];
	char bin[256];
	uint64_t random;
	pid_t fleet, proxy;
	uint16_t store_port, proxy_port;
	uint16_t server_ports[SOAK_SERVERS];
	uint16_t server_links[SOAK_SERVERS];
	struct soak_host hosts[SOAK_HOSTS];
	TAILQ_HEAD(soak_job_list, soak_job) jobs;
	uint32_t njobs;
	bool inject_faults; /* still to come */
	uint32_t nfaults;
	uint32_t violations;
};

/* soak_cluster.c */
void soak_start(struct soak *soak);
void soak_stop(struct soak *soak);
void soak_host_start(struct soak *soak, struct soak_host *host);
void soak_host_kill(struct soak_host *host);
void soak_post(uint16_t port, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
uint32_t soak_random(struct soak *soak, uint32_t below);
void soak_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* soak_faults.c */
void soak_inject_fault(struct soak *soak);
void soak_restore(struct soak *soak);

#endif /* SOAK_H */
