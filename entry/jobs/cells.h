#ifndef ENTRY_JOBS_CELLS_H
#define ENTRY_JOBS_CELLS_H

#include <stdbool.h>
#include <stdint.h>

#include "entry/api.h"
#include "entry/jobs/job_store.h"
#include "entry/jobs/registry.h"
#include "entry/jobs/scheduler.h"
#include "ports/hostlist.h"
#include "ports/peer.h"

/*
 * Cells: the backend servers of one availability zone each. The holder of a
 * cell (its lease holder) is the entry host that holds the leases on its
 * servers and runs its jobs. This module tracks the holder of each cell, fails
 * over to another host when the local cell loses its holder, and forwards jobs
 * to the holders. Two hosts may act as the holder for a short time; the servers
 * then accept only the higher fencing token.
 */

/* While all hosts of a zone confirm its holder, no confirmation is older. A
 * holder's lease exceeds those of servers by this time, so that it does not
 * shorten them then. */
#define CELLS_CONFIRMED_AGE_MS 400

struct event_base;
struct cells;

/** struct cells_waiting - a best-effort job of this host's callers, of which
 * the holders of other cells are to know. */
struct cells_waiting {
	uint64_t nonce; /* of the submission */
	/* A run of it may last so long; 0: nothing is left of it. */
	uint32_t remaining_ms;
	char id[JOB_ID_LEN + 1];
	char holder[NAME_SIZE]; /* that has it; "": one of the local cell */
};

/** struct cells_params - dependencies; all borrowed. */
struct cells_params {
	struct event_base *base;
	struct clock *clock;
	struct scheduler *sched;
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
	/* Reserves a fencing token; the result is passed to
	 * cells_token_reserved(). */
	void (*reserve_token)(void *arg);
	/* Reads from the store whether this host still owns the cell; the
	 * result is passed to cells_owner_read(). */
	void (*read_owner)(void *arg, uint64_t sent_us);
	/* This host has become the holder of its cell. */
	void (*became_holder)(void *arg);
	/* @holder is the new holder of this host's cell. */
	void (*holder_changed)(void *arg, const char *holder);
	/* Returns the version of this host's configuration; 0: none. */
	uint64_t (*config_version)(void *arg);
	/* Return the versions of the servers' rows up to which this host has
	 * dropped all removed servers, and of the last that it has dropped. */
	uint64_t (*servers_settled)(void *arg);
	uint64_t (*servers_dropped)(void *arg);
	/* A connected host reports the version of its configuration. */
	void (*config_reported)(void *arg, const char *host,
	    uint64_t incarnation, uint64_t version);
	/* Lists the jobs of this host's callers of which other cells are to
	 * know, the oldest @max of them. NULL: none. Return: their number. */
	size_t (
	    *list_waiting)(void *arg, struct cells_waiting *jobs, size_t max);
	void *arg;
	struct reg_host self; /* this host */
};

/** struct cells_job - a job to submit to a holder; strings are borrowed. */
struct cells_job {
	const char *id;
	const struct job_queue *queue;
	const char *body; /* the job's JSON form */
	size_t body_len;
	uint32_t age_ms;      /* since the caller submitted it */
	uint32_t timeout_ms;  /* the caller waits this long from now */
	uint64_t sent_ago_ms; /* see struct sched_request; set for a holder */
	bool resubmitted;     /* another holder may have started the job */
	/* The holder may refuse it at once; another cell may run it sooner. */
	bool may_refuse;
	uint64_t nonce; /* identifies this submission for cells_cancel() */
	/* For a holder of another cell, see struct cells_overflow. What this
	 * host knows of it may be old, as only holders ping it. */
	uint64_t holder_replied_at;
};

/** struct cells_overflow - the holder of another cell that can run a job that
 * was refused sooner. */
struct cells_overflow {
	char holder[NAME_SIZE]; /* "": none */
	/* The time of its last reply on its own clock; 0: unknown. */
	uint64_t replied_at;
};

/** enum cells_outcome - how a submission to a holder ended. */
enum cells_outcome {
	CELLS_REPLIED,	    /* the holder has replied */
	CELLS_NOT_ACCEPTED, /* it was not sent, or refused on arrival */
	CELLS_LOST,	    /* no reply; a holder may have started it */
};

/**
 * typedef cells_done_fn - end of a submission.
 * @reply: NULL unless @outcome is CELLS_REPLIED.
 * @overflow: NULL unless @outcome is CELLS_REPLIED.
 */
typedef void (*cells_done_fn)(void *arg, enum cells_outcome outcome,
    const struct sched_reply *reply, const struct cells_overflow *overflow);

/** cells_create() - Return: NULL when out of memory. */
struct cells *cells_create(const struct cells_params *params);

void cells_destroy(struct cells *cells);

/** cells_host_update() - add or update an entry host. */
void cells_host_update(struct cells *cells, const struct reg_host *host);

/** cells_host_remove() - remove a host that is no longer registered. */
void cells_host_remove(struct cells *cells, const char *name);

/** cells_hosts_loaded() - all hosts have been read from the store. */
void cells_hosts_loaded(struct cells *cells);

/** cells_set_job_store() - set the store of this cell's jobs; borrowed. */
void cells_set_job_store(struct cells *cells, struct job_store *job_store);

/**
 * cells_cancel_stored() - cancel a stored job through the holder of @az.
 * @done: runs once; with JSTORE_UNKNOWN if no holder is connected or the
 *        holder did not confirm the cancellation.
 */
void cells_cancel_stored(struct cells *cells, const char *az, const char *id,
    jstore_done_fn done, void *arg);

/**
 * cells_job_state() - request a job's state from the holder of the local cell.
 * @done: runs once; with JSTORE_NO_JOB or JSTORE_UNKNOWN if that holder does
 *        not have the job or could not be reached.
 */
void cells_job_state(struct cells *cells, const char *id, jstore_state_fn done,
    void *arg);

/** cells_pending() - Return: number of stored jobs of a queue that have not
 * started, in all cells, as last reported by their holders. */
uint32_t cells_pending(const struct cells *cells, const char *queue);

/**
 * cells_token_reserved() - result of a reservation.
 * @token: reserved for this host; 0 if the reservation failed.
 * Return: whether the token is a new one.
 */
bool cells_token_reserved(struct cells *cells, uint64_t token);

/**
 * cells_own_row_received() - the store has a row of this host that this process
 * wrote, which reserves its version as a token. The reply to the write may be
 * late or lost.
 * Return: as cells_token_reserved().
 */
bool cells_own_row_received(struct cells *cells, uint64_t token);

/**
 * cells_owner_read() - result of a read of the cell's owner.
 * @sent_us: as passed to read_owner().
 * @confirmed: the store names this host's token; false also if the read failed.
 */
void cells_owner_read(struct cells *cells, uint64_t sent_us, bool confirmed);

/** cells_fenced() - step down, as this host's token was rejected as too low. */
void cells_fenced(struct cells *cells);

/** cells_leave() - announce that this host shuts down, so that another host
 * takes over its cell. */
void cells_leave(struct cells *cells);

/** cells_has_holder() - whether the local cell has a connected holder. */
bool cells_has_holder(const struct cells *cells);

/** cells_holder() - Return: the name of the local cell's holder, or NULL. */
const char *cells_holder(const struct cells *cells);

/**
 * cells_overflow_holder() - select a holder for jobs that the local cell
 * refuses. Only the holder of the local cell knows the load of other cells.
 * Return: the holder of the remote cell with the most free capacity among
 * those without a backlog, or NULL.
 */
const char *cells_overflow_holder(const struct cells *cells);

/**
 * cells_submit() - submit a job to the holder with the host name @holder.
 * @done: runs once, possibly before this function returns.
 */
void cells_submit(struct cells *cells, const char *holder,
    const struct cells_job *job, cells_done_fn done, void *arg);

/**
 * cells_cancel() - cancel the submission @nonce of job @id; its callback still
 * runs.
 */
void cells_cancel(struct cells *cells, const char *holder, const char *id,
    uint64_t nonce);

/** cells_waiting_ended() - list_waiting() has a job of which nothing is left:
 * report that at the next tick. */
void cells_waiting_ended(struct cells *cells);

/**
 * cells_unread_since_us() - since when a message that is read now may have
 * waited in this process's sockets (core/unread.h).
 * Return: time of the monotonic clock (us).
 */
uint64_t cells_unread_since_us(const struct cells *cells);

/**
 * cells_pause_us() - the longest pause of this process in which a message that
 * is read now may have waited.
 */
uint64_t cells_pause_us(const struct cells *cells);

/**
 * cells_reachable_peer() - Return: a reachable host that has all rows, or NULL;
 * each call returns the next one. It may be of another zone: the store may
 * answer no host of this one.
 */
const char *cells_reachable_peer(struct cells *cells, uint64_t *incarnation);

/**
 * cells_holder_peer() - Return: the holder of the local cell if it is another
 * host that can be reached, or NULL.
 */
const char *cells_holder_peer(const struct cells *cells, uint64_t *incarnation);

/**
 * cells_is_candidate() - whether this host holds its cell, or is one of the
 * first hosts to take it over.
 */
bool cells_is_candidate(const struct cells *cells);

/**
 * cells_submitter_alive_us() - when the host of a submission's caller was last
 * known to wait for it.
 * @submission: as passed to sched_submit().
 * Return: time of the monotonic clock (us).
 */
uint64_t cells_submitter_alive_us(struct cells *cells, void *submission);

/** cells_handle() - serve a request of a peer. */
void cells_handle(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg);

/**
 * cells_abandon() - the peer that sent the request of @arg disconnected.
 * Return: whether such a request was pending; its reply will not run.
 */
bool cells_abandon(struct cells *cells, void *arg);

/**
 * cells_list_hosts() - list the other known hosts.
 * @entries: set to an array that the caller frees.
 * Return: number of entries.
 */
size_t cells_list_hosts(const struct cells *cells,
    struct hostlist_entry **entries);

#endif /* ENTRY_JOBS_CELLS_H */
