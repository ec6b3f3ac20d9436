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
struct work;

/** struct work_params - all borrowed. */
struct work_params {
	struct event_base *base;
	struct clock *clock;
	struct worker *worker;
	struct advisor *advisor; /* NULL: advised queues are refused */
	struct peers *peers;
	bool (*connected)(struct peers *peers, const char *host,
	    uint64_t *incarnation);
	/* Asks for a connection to a peer. */
	void (*want)(struct peers *peers, const char *host);
	/* Tells the peers which hosts there are. */
	void (*hosts)(struct peers *peers, const struct hostlist_entry *entries,
	    size_t nentries);
	struct dir_decode decode;
	/* The value of this host's own row; freed by the caller. */
	char *(*host_row)(const struct dir_host *host);
	struct dir_host self;
	uint32_t lease_ms;
	uint32_t far_permille;
};

/** work_create() - NULL when out of memory. */
struct work *work_create(const struct work_params *params);

void work_destroy(struct work *work);

/** work_listener() - for the store's feed. */
void work_listener(struct work *work, struct rows_listener *listener);

/** work_set_rows() - the store, for writes; -1 when out of memory. */
int work_set_rows(struct work *work, struct rows *rows);

/** work_peer_door() - serves what peers ask for. */
const struct api_door *work_peer_door(struct work *work);

/** work_front(), work_directory() - for the callers' door; borrowed. */
struct front *work_front(struct work *work);
const struct directory *work_directory(const struct work *work);
struct status *work_status(struct work *work);

/** work_pending() - stored jobs of a queue of which nothing has started. */
uint32_t work_pending(void *work, const char *queue);

/** work_ready() - callers may be sent here. */
bool work_ready(void *work);

/** work_leave() - this host shuts down: not ready, others take over. */
void work_leave(struct work *work);

#endif /* ENTRY_JOBS_JOB_SERVICE_H */
