#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "berylrail/limits.h"

/*
 * Settings of berylraild, from flags and environment variables such as --listen
 * and BERYLRAIL_LISTEN. A flag overrides its variable. All settings are checked
 * at the start, and don't change while the process runs.
 */

#define SETTINGS_EX_CONFIG 78 /* exit code EX_CONFIG of sysexits.h */
#define SETTINGS_PEERS_MAX 64

/** struct endpoint - IP address and port; the kernel chooses for port 0. */
struct endpoint {
	char address[46];
	uint16_t port;
};

/** struct settings - validated settings of one entry host. */
struct settings {
	char host[NAME_SIZE];		/* --host: name of this host */
	char az[NAME_SIZE];		/* --az: its availability zone */
	struct endpoint listen;		/* --listen: HTTP API */
	struct endpoint peer_listen;	/* --peer-listen: other entry hosts */
	struct endpoint peer_advertise; /* --peer-advertise: used by peers */
	bool memory_platform;		/* --platform=memory: */
	struct endpoint platform;	/* --platform=http://ADDR:PORT */
	struct endpoint peers[SETTINGS_PEERS_MAX]; /* --peer: initial hosts */
	size_t npeers;
	char policy[NAME_SIZE];	      /* --policy: see disp_policy_parse() */
	uint32_t config_poll_ms;      /* --config-poll-ms */
	uint32_t hostlist_poll_ms;    /* --hostlist-poll-ms */
	uint32_t heartbeat_ms;	      /* --heartbeat-ms */
	uint32_t platform_timeout_ms; /* --platform-timeout-ms */
	uint32_t queue_tasks_max;     /* --queue-tasks-max */
	uint64_t queue_bytes_max;     /* --queue-bytes-max */
	uint32_t body_bytes_max;      /* --body-bytes-max */
	uint32_t header_timeout_ms;   /* --header-timeout-ms: per request */
	uint32_t clients_max;	      /* --clients-max: connections */
	uint32_t ticket_retention_ms; /* --ticket-retention-ms */
	uint64_t ticket_bytes_max;    /* --ticket-bytes-max: all answers */
	uint32_t claim_flush_ms;      /* --claim-flush-ms */
	uint32_t drain_delay_ms;      /* --drain-delay-ms */
	uint32_t drain_limit_ms;      /* --drain-limit-ms; 0: no limit */
	uint64_t seed;		      /* --seed; 0: chosen at random */
	char log_level[16];	      /* --log-level */
	char port_file[256];	      /* --port-file: ports in use */
	struct endpoint store;	      /* --store; port 0: not given */
	struct endpoint advice;	      /* --advice; port 0: not given */
	struct endpoint work_listen;  /* --work-listen: jobs of steps */
	struct endpoint ready_listen; /* --ready-listen: load balancer */
	uint32_t weight;	      /* --weight, in thousandths of a core */
	uint32_t lease_ms;	      /* --lease-ms: longest lease */
	uint32_t far_permille;	      /* --far-factor, in thousandths */
	bool check_only;	      /* --check */
};

/** enum settings_result - result of settings_load(). */
enum settings_result {
	SETTINGS_RUN,	   /* valid: start */
	SETTINGS_EXIT_OK,  /* --help, --version or a valid --check */
	SETTINGS_EXIT_BAD, /* exit with SETTINGS_EX_CONFIG */
};

/**
 * settings_load() - read and validate all settings.
 * @settings: set; valid only if the result is SETTINGS_RUN.
 * @out: receives the output of --help and --version.
 * @errors: receives one line with the name of each invalid setting.
 */
enum settings_result settings_load(struct settings *settings, int argc,
    char **argv, FILE *out, FILE *errors);

#endif /* ENTRY_SETTINGS_H */
