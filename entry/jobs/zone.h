#ifndef ENTRY_JOBS_ZONE_H
#define ENTRY_JOBS_ZONE_H

#include <stdbool.h>
#include <stdint.h>

#include "entry/api.h"
#include "entry/jobs/directory.h"
#include "entry/jobs/holder.h"
#include "entry/jobs/job_store.h"
#include "ports/hostlist.h"
#include "ports/peer.h"

/*
 * The entry hosts of all availability zones: which of them holds each zone's
 * backend servers, taking over where the holder is gone, and the way of a
 * job to its holder.
 */

struct event_base;
struct zone;

/** struct zone_params - all borrowed. */
struct zone_params {
	struct event_base *base;
	struct clock *clock;
	struct holder *holder;
	struct peers *peers;
	/* Whether a peer is connected, and its incarnation. */
	bool (*connected)(struct peers *peers, const char *host,
	    uint64_t *incarnation);
	/* Asks for a connection to a peer. */
	void (*want)(struct peers *peers, const char *host);
	/* Reserves a fencing token; answered by zone_reserved(). */
	void (*reserve)(void *arg);
	/* This host holds from now on. */
	void (*holding)(void *arg);
	/* @holder holds this zone's servers now. */
	void (*changed)(void *arg, const char *holder);
	void *arg;
	struct dir_host self;
};

/** struct zone_job - a job on its way to a holder; strings are borrowed. */
struct zone_job {
	const char *id;
	const struct job_queue *queue;
	const char *body; /* the job's JSON form */
	size_t body_len;
	uint32_t age_ms;
	uint32_t patience_ms;
	bool resubmitted;
	bool may_refuse; /* another zone may serve it sooner */
	uint64_t nonce;	 /* names this submission, for zone_cancel() */
};

/** enum zone_outcome - what is known of a submission without an answer. */
enum zone_outcome {
	ZONE_ANSWERED, /* the holder's reply is there */
	ZONE_NOT_SENT, /* no holder took it */
	ZONE_LOST,     /* a holder may have started it */
};

typedef void (*zone_done_fn)(void *arg, enum zone_outcome outcome,
    const struct holder_reply *reply);

/** zone_create() - NULL when out of memory. */
struct zone *zone_create(const struct zone_params *params);

void zone_destroy(struct zone *zone);

/** zone_host() - an entry host is there, or has changed. */
void zone_host(struct zone *zone, const struct dir_host *host);

/** zone_host_gone() - it has left the directory. */
void zone_host_gone(struct zone *zone, const char *name);

/** zone_listed() - the list of hosts has been read from the store. */
void zone_listed(struct zone *zone);

/** zone_set_keeper() - of the stored jobs; borrowed. */
void zone_set_keeper(struct zone *zone, struct job_store *keeper);

/** zone_cancel_stored() - cancel a stored job at the holder of @az. */
void zone_cancel_stored(struct zone *zone, const char *az, const char *id,
    jstore_done_fn done, void *arg);

/**
 * zone_state() - a job's state, if the holder of this host's zone has it;
 * else NO_JOB or UNKNOWN.
 */
void zone_state(struct zone *zone, const char *id, jstore_state_fn done,
    void *arg);

/** zone_pending() - stored jobs of a queue, in all zones, not begun. */
uint32_t zone_pending(const struct zone *zone, const char *queue);

/** zone_reserved() - @token is this host's; 0: the reservation failed. */
void zone_reserved(struct zone *zone, uint64_t token);

/** zone_fenced() - this host's token was refused as too low. */
void zone_fenced(struct zone *zone);

/** zone_leave() - this host shuts down: others take over. */
void zone_leave(struct zone *zone);

/** zone_served() - somebody holds the servers of this host's zone. */
bool zone_served(const struct zone *zone);

/** zone_holder() - the host that holds this zone's servers, or NULL. */
const char *zone_holder(const struct zone *zone);

/**
 * zone_overflow() - the holder of another zone with room to spare, or NULL.
 */
const char *zone_overflow(const struct zone *zone);

/**
 * zone_submit() - bring a job to a holder.
 * @holder: its host.
 * @done: runs once, later or at once.
 */
void zone_submit(struct zone *zone, const char *holder,
    const struct zone_job *job, zone_done_fn done, void *arg);

/**
 * zone_cancel() - the submitter of @nonce has left; @done still runs.
 */
void zone_cancel(struct zone *zone, const char *holder, const char *id,
    uint64_t nonce);

/** zone_peer() - a reachable other entry host, or NULL. */
const char *zone_peer(const struct zone *zone, uint64_t *incarnation);

/** zone_handle(), zone_abandon() - requests of peers, by way of the API. */
void zone_handle(struct zone *zone, const struct api_request *request,
    api_reply_fn reply, void *arg);
bool zone_abandon(struct zone *zone, void *arg);

/** zone_fill_hosts() - all known hosts; at most @max. Return: how many. */
size_t zone_fill_hosts(const struct zone *zone, struct hostlist_entry *entries,
    size_t max);

#endif /* ENTRY_JOBS_ZONE_H */
