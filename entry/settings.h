#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "berylrail/limits.h"

/*
 * Settings of berylraild, from flags and environment variables
 * (--listen / BERYLRAIL_LISTEN; a flag wins). Every one is checked at start.
 */

#define SETTINGS_EX_CONFIG 78 /* exit code for bad settings, EX_CONFIG */
#define SETTINGS_PEERS_MAX 64

/** struct endpoint - an address and a port; port 0 lets the kernel choose. */
struct endpoint {
	char address[46];
	uint16_t port;
};

/** struct settings - checked settings of one entry host. */
struct settings {
	char host[NAME_SIZE];		/* --host: own name */
	char az[NAME_SIZE];		/* --az: own availability zone */
	struct endpoint listen;		/* --listen: HTTP */
	struct endpoint peer_listen;	/* --peer-listen: framed TCP */
	struct endpoint peer_advertise; /* --peer-advertise: as peers see it */
	bool memory_platform;		/* --platform=memory: */
	struct endpoint platform;	/* --platform=http://ADDR:PORT */
	struct endpoint peers[SETTINGS_PEERS_MAX]; /* --peer, repeated: seeds */
	size_t npeers;
	char policy[NAME_SIZE];	      /* --policy: default or naive */
	uint32_t config_poll_ms;      /* --config-poll-ms */
	uint32_t hostlist_poll_ms;    /* --hostlist-poll-ms */
	uint32_t heartbeat_ms;	      /* --heartbeat-ms */
	uint32_t platform_timeout_ms; /* --platform-timeout-ms */
	uint32_t queue_tasks_max;     /* --queue-tasks-max */
	uint64_t queue_bytes_max;     /* --queue-bytes-max */
	uint32_t body_bytes_max;      /* --body-bytes-max */
	uint32_t header_timeout_ms;   /* --header-timeout-ms: slow clients */
	uint32_t clients_max;	      /* --clients-max: connections */
	uint32_t ticket_retention_ms; /* --ticket-retention-ms */
	uint64_t ticket_bytes_max;    /* --ticket-bytes-max: kept answers */
	uint32_t claim_flush_ms;      /* --claim-flush-ms */
	uint32_t drain_delay_ms;      /* --drain-delay-ms: balancer's lag */
	uint32_t drain_limit_ms;      /* --drain-limit-ms: 0 for no limit */
	uint64_t seed;		      /* --seed: 0 for a random one */
	char log_level[16];	      /* --log-level */
	char port_file[256];	      /* --port-file: ports are written here */
	struct endpoint store;	      /* --store: followed for work */
	struct endpoint advice;	      /* --advice; port 0: there is none */
	struct endpoint work_listen;  /* --work-listen: jobs of steps */
	struct endpoint ready_listen; /* --ready-listen: for the balancer */
	uint32_t weight;	      /* --weight: thousandths of a core */
	uint32_t lease_ms;	      /* --lease-ms: of servers' work */
	uint32_t far_permille;	      /* --far-factor, in thousandths */
	bool check_only;	      /* --check */
};

/** enum settings_result - what the program does next. */
enum settings_result {
	SETTINGS_RUN,
	SETTINGS_EXIT_OK,  /* --help, --version or a good --check */
	SETTINGS_EXIT_BAD, /* exit with SETTINGS_EX_CONFIG */
};

/**
 * settings_load() - read and check all settings.
 * @out: where --help and --version go.
 * @errors: one line for each bad setting, with its name; all at once.
 */
enum settings_result settings_load(struct settings *settings, int argc,
    char **argv, FILE *out, FILE *errors);

#endif /* ENTRY_SETTINGS_H */
