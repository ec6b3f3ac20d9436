#ifndef ENTRY_JOBS_JOB_SERVICE_H
#define ENTRY_JOBS_JOB_SERVICE_H

#include "entry/api.h"
#include "entry/jobs/job_gateway.h"
#include "entry/jobs/job_status.h"
#include "entry/jobs/registry.h"
#include "ports/clock.h"
#include "ports/hostlist.h"
#include "ports/peer.h"
#include "ports/rows.h"
#include "ports/worker.h"

/*
 * The job service of one entry host: runs jobs of steps on backend servers that
 * execute tasks under a lease. It connects the registry, the cells, the
 * scheduler, the job store and the gateway.
 */

struct event_base;
struct job_service;

/** struct jsvc_params - dependencies; all borrowed. */
struct jsvc_params {
	struct event_base *base;
	struct clock *clock;
	struct worker *worker;
	struct advisor *advisor; /* NULL: advised queues are refused */
	struct peers *peers;
	/* Returns whether a peer is connected; sets @incarnation if so. */
	bool (*is_connected)(struct peers *peers, const char *host,
	    uint64_t *incarnation);
	/* Returns a number that changes when a peer connects or disconnects. */
	uint64_t (*connections_version)(struct peers *peers);
	/* See peers_tcp_alive_us(). */
	uint64_t (*alive_us)(struct peers *peers, const char *host,
	    uint64_t connection);
	/* Requests a connection to a peer. */
	void (*request_connection)(struct peers *peers, const char *host);
	/* Sets the list of the other entry hosts. */
	void (*update_hosts)(struct peers *peers,
	    const struct hostlist_entry *entries, size_t nentries);
	struct reg_decoder row_decoder;
	/* Encodes the value of this host's own row; freed by the caller. */
	char *(*encode_host_row)(const struct reg_host *host);
	struct reg_host self; /* this host */
	uint32_t lease_ms;    /* longest lease that servers grant */
	/* Factor on the run time of a task that is away from its data. */
	uint32_t far_permille;
};

/** jsvc_create() - Return: NULL when out of memory. */
struct job_service *jsvc_create(const struct jsvc_params *params);

void jsvc_destroy(struct job_service *svc);

/** jsvc_rows_listener() - set @listener, which receives rows of the store. */
void jsvc_rows_listener(struct job_service *svc,
    struct rows_listener *listener);

/**
 * jsvc_set_rows() - set the store for reads and writes; borrowed.
 * Return: 0, or -1 when out of memory.
 */
int jsvc_set_rows(struct job_service *svc, struct rows *rows);

/** jsvc_peer_handler() - Return: the handler of peers' requests; borrowed. */
const struct api_handler *jsvc_peer_handler(struct job_service *svc);

/* The modules that serve the HTTP API for callers; borrowed. */
struct job_gateway *jsvc_gateway(struct job_service *svc);
const struct registry *jsvc_registry(const struct job_service *svc);
struct job_status *jsvc_status(struct job_service *svc);

/** jsvc_pending() - Return: number of stored jobs of a queue that have not
 * started, in all cells. */
uint32_t jsvc_pending(void *svc, const char *queue);

/** jsvc_ready() - whether the load balancer may send requests to this host. */
bool jsvc_ready(void *svc);

/** jsvc_leave() - start to shut down: not ready, and other hosts take over. */
void jsvc_leave(struct job_service *svc);

#endif /* ENTRY_JOBS_JOB_SERVICE_H */
