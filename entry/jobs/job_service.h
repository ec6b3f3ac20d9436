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
 * Jobs of steps on servers that run tasks under a lease: wires the directory,
 * the holder, the zone and the front of one entry host.
 */

struct event_base;
struct job_service;

/** struct jsvc_params - all borrowed. */
struct jsvc_params {
	struct event_base *base;
	struct clock *clock;
	struct worker *worker;
	struct advisor *advisor; /* NULL: advised queues are refused */
	struct peers *peers;
	bool (*is_connected)(struct peers *peers, const char *host,
	    uint64_t *incarnation);
	/* Asks for a connection to a peer. */
	void (*request_connection)(struct peers *peers, const char *host);
	/* Tells the peers which hosts there are. */
	void (*update_hosts)(struct peers *peers,
	    const struct hostlist_entry *entries, size_t nentries);
	struct reg_decoder row_decoder;
	/* The value of this host's own row; freed by the caller. */
	char *(*encode_host_row)(const struct reg_host *host);
	struct reg_host self;
	uint32_t lease_ms;
	uint32_t far_permille;
};

/** jsvc_create() - NULL when out of memory. */
struct job_service *jsvc_create(const struct jsvc_params *params);

void jsvc_destroy(struct job_service *svc);

/** jsvc_rows_listener() - for the store's feed. */
void jsvc_rows_listener(struct job_service *svc,
    struct rows_listener *listener);

/** jsvc_set_rows() - the store, for writes; -1 when out of memory. */
int jsvc_set_rows(struct job_service *svc, struct rows *rows);

/** jsvc_peer_handler() - serves what peers ask for. */
const struct api_door *jsvc_peer_handler(struct job_service *svc);

/** jsvc_gateway(), jsvc_registry() - for the callers' door; borrowed. */
struct job_gateway *jsvc_gateway(struct job_service *svc);
const struct registry *jsvc_registry(const struct job_service *svc);
struct job_status *jsvc_status(struct job_service *svc);

/** jsvc_pending() - stored jobs of a queue of which nothing has started. */
uint32_t jsvc_pending(void *svc, const char *queue);

/** jsvc_ready() - callers may be sent here. */
bool jsvc_ready(void *svc);

/** jsvc_leave() - this host shuts down: not ready, others take over. */
void jsvc_leave(struct job_service *svc);

#endif /* ENTRY_JOBS_JOB_SERVICE_H */
