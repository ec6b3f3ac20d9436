#ifndef ENTRY_JOBS_CELLS_H
#define ENTRY_JOBS_CELLS_H

#include <stdbool.h>
#include <stdint.h>

#include "entry/api.h"
#include "entry/jobs/holder.h"
#include "entry/jobs/keeper.h"
#include "entry/jobs/registry.h"
#include "ports/hostlist.h"
#include "ports/peer.h"

/*
 * The entry hosts of all availability zones: which of them holds each zone's
 * backend servers, taking over where the holder is gone, and the way of a
 * job to its holder.
 */

struct event_base;
struct cells;

/** struct cells_params - all borrowed. */
struct cells_params {
	struct event_base *base;
	struct clock *clock;
	struct holder *scheduler;
	struct peers *peers;
	/* Whether a peer is connected, and its incarnation. */
	bool (*is_connected)(struct peers *peers, const char *host,
	    uint64_t *incarnation);
	/* Asks for a connection to a peer. */
	void (*request_connection)(struct peers *peers, const char *host);
	/* Reserves a fencing token; answered by cells_token_reserved(). */
	void (*reserve_token)(void *arg);
	/* This host holds from now on. */
	void (*became_holder)(void *arg);
	/* @holder holds this zone's servers now. */
	void (*holder_changed)(void *arg, const char *holder);
	void *arg;
	struct reg_host self;
};

/** struct cells_job - a job on its way to a holder; strings are borrowed. */
struct cells_job {
	const char *id;
	const struct job_queue *queue;
	const char *body; /* the job's JSON form */
	size_t body_len;
	uint32_t age_ms;
	uint32_t timeout_ms;
	bool resubmitted;
	bool may_refuse; /* another zone may serve it sooner */
	uint64_t nonce;	 /* names this submission, for cells_cancel() */
};

/** enum cells_outcome - what is known of a submission without an answer. */
enum cells_outcome {
	CELLS_ANSWERED, /* the holder's reply is there */
	CELLS_NOT_SENT, /* no holder took it */
	CELLS_LOST,	/* a holder may have started it */
};

typedef void (*cells_done_fn)(void *arg, enum cells_outcome outcome,
    const struct holder_reply *reply);

/** cells_create() - NULL when out of memory. */
struct cells *cells_create(const struct cells_params *params);

void cells_destroy(struct cells *cells);

/** cells_host_update() - an entry host is there, or has changed. */
void cells_host_update(struct cells *cells, const struct reg_host *host);

/** cells_host_remove() - it has left the directory. */
void cells_host_remove(struct cells *cells, const char *name);

/** cells_hosts_loaded() - the list of hosts has been read from the store. */
void cells_hosts_loaded(struct cells *cells);

/** cells_set_job_store() - of the stored jobs; borrowed. */
void cells_set_job_store(struct cells *cells, struct keeper *job_store);

/** cells_cancel_stored() - cancel a stored job at the holder of @az. */
void cells_cancel_stored(struct cells *cells, const char *az, const char *id,
    keeper_done_fn done, void *arg);

/**
 * cells_job_state() - a job's state, if the holder of this host's zone has it;
 * else NO_JOB or UNKNOWN.
 */
void cells_job_state(struct cells *cells, const char *id, keeper_state_fn done,
    void *arg);

/** cells_pending() - stored jobs of a queue, in all zones, not begun. */
uint32_t cells_pending(const struct cells *cells, const char *queue);

/** cells_token_reserved() - @token is this host's; 0: the reservation failed.
 */
void cells_token_reserved(struct cells *cells, uint64_t token);

/** cells_fenced() - this host's token was refused as too low. */
void cells_fenced(struct cells *cells);

/** cells_leave() - this host shuts down: others take over. */
void cells_leave(struct cells *cells);

/** cells_has_holder() - somebody holds the servers of this host's zone. */
bool cells_has_holder(const struct cells *cells);

/** cells_holder() - the host that holds this zone's servers, or NULL. */
const char *cells_holder(const struct cells *cells);

/**
 * cells_overflow_holder() - the holder of another zone with room to spare, or
 * NULL.
 */
const char *cells_overflow_holder(const struct cells *cells);

/**
 * cells_submit() - bring a job to a holder.
 * @holder: its host.
 * @done: runs once, later or at once.
 */
void cells_submit(struct cells *cells, const char *holder,
    const struct cells_job *job, cells_done_fn done, void *arg);

/**
 * cells_cancel() - the submitter of @nonce has left; @done still runs.
 */
void cells_cancel(struct cells *cells, const char *holder, const char *id,
    uint64_t nonce);

/** cells_reachable_peer() - a reachable other entry host, or NULL. */
const char *cells_reachable_peer(const struct cells *cells,
    uint64_t *incarnation);

/** cells_handle(), cells_abandon() - requests of peers, by way of the API. */
void cells_handle(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg);
bool cells_abandon(struct cells *cells, void *arg);

/** cells_list_hosts() - all known hosts; at most @max. Return: how many. */
size_t cells_list_hosts(const struct cells *cells,
    struct hostlist_entry *entries, size_t max);

#endif /* ENTRY_JOBS_CELLS_H */
