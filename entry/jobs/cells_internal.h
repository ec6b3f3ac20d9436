#ifndef ENTRY_JOBS_CELLS_INTERNAL_H
#define ENTRY_JOBS_CELLS_INTERNAL_H

#include <event2/event.h>
#include <sys/queue.h>

#include <jansson.h>

#include "core/cell.h"
#include "core/name_index.h"
#include "core/unread.h"
#include "entry/jobs/cells.h"

/*
 * Shared by cells.c (hosts and choice of the holder), cells_ping.c (state
 * requests to other hosts), cells_state.c (the replies), cells_job.c
 * (submission of jobs to holders, and requests of peers), cells_withdrawn.c
 * (submissions that were cancelled), cells_waiting.c (jobs of callers that go
 * on) and cells_stored.c (requests about stored jobs).
 */

#define CELLS_PATH "/v1/work/"
#define CELLS_JOBS_PATH CELLS_PATH "jobs/"
#define CELLS_CANCEL_PATH CELLS_PATH "cancel/"

/* Number of hosts of a zone, in the order of preference as holder, that are
 * prepared to become the holder. */
#define CELLS_CANDIDATES 3

/* A job that arrives later is refused: its sender may have lost the connection
 * and answered its caller, who submits it again after 1.3 s. */
#define CELLS_FORWARD_VALID_MS 1000

/** struct cells_host - another entry host. */
struct cells_host {
	struct reg_host info;
	struct cells_zone *zone;
	uint64_t token;	  /* as last reported; 0: not a holder */
	bool state_known; /* it has reported its state since it connected */
	bool leaving;
	bool connected;	       /* at the last tick */
	uint64_t incarnation;  /* valid while connected */
	uint64_t connected_us; /* time of connection */
	bool unreachable;      /* a ping timed out */
	bool ping_pending;
	uint64_t ping_sent_us;
	uint64_t ping_sent_tick;
	uint64_t last_reply_us; /* to a ping; 0: none */
	/* Time of its last reply or announcement on its own clock; 0: none
	 * since it connected. Pings and jobs that are sent to it return it. */
	uint64_t replied_at;
	/* The last of its entries of sched_pending_render() that this host has
	 * had since it connected; 0: none. */
	uint64_t pending_seq;
	/* As the holder of this cell, it has reported the holders of the others
	 * as of this version since it connected; 0: none. */
	uint64_t holders_version;
	/* The host had not replaced this one as the holder at this time. */
	uint64_t confirmed_us;
	uint32_t backlog_ms;	/* queued work, as of the last reply */
	uint32_t free_permille; /* of its servers' CPU capacity */
	struct nidx_entry by_name;
	TAILQ_ENTRY(cells_host)
	entry; /* of the zone, preferred holders first */
};

TAILQ_HEAD(cells_hosts, cells_host);

/** struct cells_zone - an availability zone and its hosts other than this one.
 */
struct cells_zone {
	char az[NAME_SIZE];
	bool local; /* this host belongs to it */
	struct cells_hosts hosts;
	/* Reported as the holder by another host of the zone, or NULL. */
	struct cells_host *likely_holder;
	/* Of another zone: the holder with the highest token that this host,
	 * as a holder, or that of its own cell has found. "": none. */
	char known_holder[NAME_SIZE];
	uint64_t known_token;
	/* The holder that the waiting jobs were last reported to. */
	uint64_t reported_token;
	uint64_t reported_incarnation;
	/* Number of stored jobs that have not started, by queue, as last
	 * reported by the zone's holder: of this zone, or of all zones if it is
	 * the local one; owned. NULL: none reported. Kept while the zone has no
	 * reachable holder. */
	struct json_t *pending;
	TAILQ_ENTRY(cells_zone) entry;
};

/** struct cells_submission - a job, or a request about one, of this host or of
 * a peer, that this host's scheduler or job store is serving. */
struct cells_submission {
	struct cells *cells;
	char id[JOB_ID_LEN + 1];
	uint64_t nonce;
	/* Host that forwarded it; "": this one, or one of an earlier version,
	 * which does not name itself. */
	char host[NAME_SIZE];
	uint64_t connection; /* by which it was received */
	uint64_t alive_us;   /* the host was known to wait; 0: unknown */
	/* When the last message by the connection before the job was received.
	 * It was sent up to the age of the job before. */
	uint64_t heard_us;
	uint64_t lost_us;   /* its caller may have been lost; 0: it waits */
	cells_done_fn done; /* for requests of this host, else NULL */
	api_reply_fn reply; /* for requests of peers, else NULL */
	void *arg;
	TAILQ_ENTRY(cells_submission) entry;
};

/** struct cells_withdrawn - a submission of a peer that was cancelled. */
struct cells_withdrawn {
	char id[JOB_ID_LEN + 1];
	uint64_t nonce;
	uint64_t arrived_us; /* of the cancellation */
	struct nidx_entry by_id;
	TAILQ_ENTRY(cells_withdrawn) entry;
};

struct cells {
	struct cells_params params;
	/* The other hosts of all availability zones. */
	TAILQ_HEAD(, cells_zone) zones;
	struct cells_zone *local_zone;
	struct name_index hosts_by_name;
	size_t nhosts;
	/* Version of the peers' connections at the last tick; valid if
	 * connections_known is set. */
	uint64_t connections_version;
	bool connections_known;
	struct cell_host *candidates; /* buffer of cells_choose_holder() */
	size_t ncandidates;	      /* allocated entries */
	/* Requests that are served on this host. */
	TAILQ_HEAD(, cells_submission) submissions;
	TAILQ_HEAD(, cells_withdrawn) withdrawn; /* oldest first */
	struct name_index withdrawn_by_id;
	size_t nwithdrawn;
	struct event *timer;
	struct unread unread; /* by the ticks */
	uint64_t nticks;
	size_t next_source; /* of cells_reachable_peer() */
	/* Time at which all hosts were loaded; starts discovery. 0: none. */
	uint64_t hosts_loaded_us;
	struct job_store *job_store; /* NULL until it is set */
	uint64_t reserved_token;     /* reserved, not in use; 0: none */
	uint64_t highest_token;	     /* observed in the local cell */
	/* Version of the servers' rows up to which the holder had dropped
	 * removed servers at its last report of its runs. */
	uint64_t holder_settled;
	uint64_t reserve_sent_us;
	bool reserve_pending;
	uint64_t owner_read_us; /* start of the last read of the owner */
	/* The store confirmed this holder then, as the only host of the zone;
	 * before that, start of the wait for it. 0: there are others. */
	uint64_t owner_heard_us;
	uint64_t holders_version;      /* counts changes of known_token */
	uint64_t waiting_reported_us;  /* the last report of waiting jobs */
	struct cells_waiting *waiting; /* buffer of cells_report_waiting() */
	size_t nwaiting;	       /* jobs in that report */
	bool leaving;
	/* Discovery of an existing holder has ended. */
	bool discovery_done;
	uint64_t notified_token; /* of the last holder_changed() */
	const char *holder;	 /* host chosen for the local cell, or NULL */
	/* Since then the chosen host has not taken over; 0: it has. */
	uint64_t vacant_since_us;
};

/* cells.c */

uint64_t cells_now_us(const struct cells *cells);
struct cells_host *cells_host_find(const struct cells *cells, const char *name);
/* Records the token that a host reports, and steps down if it is higher than
 * this host's own. */
void cells_host_set_token(struct cells *cells, struct cells_host *host,
    uint64_t token);
/* Records that a host of the local cell has taken over with @token, and steps
 * down if it is higher than this host's own. */
void cells_observe_token(struct cells *cells, uint64_t token);
/* Chooses the host that should be the holder of the local cell. */
void cells_choose_holder(struct cells *cells);
/* Reports a new holder of the local cell, once for each token. */
void cells_notify_holder(struct cells *cells);
/* Passes on the version of the configuration that a host has reported; does
 * nothing if the host is not connected. */
void cells_report_config(const struct cells *cells, const char *host,
    uint64_t version);
/* The reachable holder of a zone with the highest token, or NULL. */
struct cells_host *cells_zone_holder(const struct cells_zone *zone);

/* cells_ping.c */

/* Updates the connection state of all hosts. */
void cells_update_connections(struct cells *cells, uint64_t now_us);
/* Requests the state of the hosts of this availability zone. */
void cells_ping_local(struct cells *cells, uint64_t now_us);
/* For the holder: connects to the holders of remote cells and requests their
 * state. */
void cells_ping_remote(struct cells *cells, uint64_t now_us);

/* Sends this host's token to all connected hosts, so that they forward jobs to
 * the new holder without waiting for the next ping. */
void cells_announce_state(struct cells *cells);
/* Processes what the ping of a host of this availability zone reports. @host:
 * NULL if it is not known. */
void cells_ping_received(struct cells *cells, struct cells_host *host,
    const struct api_request *request);
/* For the holder: renews its lease, as the other hosts of the zone have
 * confirmed it; without all of them, requests a confirmation by the store. */
void cells_confirm_holder(struct cells *cells);

/* cells_job.c */

/* A number in the query of a peer's request, or 0. */
uint64_t cells_query_u64(const struct api_request *request, const char *name);

void cells_submissions_free(struct cells *cells);
struct cells_submission *cells_submission_create(struct cells *cells,
    const char *id, uint64_t nonce, void *arg);
void cells_submission_free(struct cells_submission *sub);
void cells_send_reply(api_reply_fn reply, void *arg, int status,
    const char *body);

/* cells_state.c */

void cells_handle_state(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg);
void cells_handle_announcement(struct cells *cells,
    const struct api_request *request, api_reply_fn reply, void *arg);

/* cells_waiting.c */

/* Reports the jobs of this host's callers to the holders of other cells. */
void cells_report_waiting(struct cells *cells, uint64_t now_us);
void cells_handle_waiting(struct cells *cells,
    const struct api_request *request, api_reply_fn reply, void *arg);
/* Records the holder of another zone. */
void cells_know_holder(struct cells *cells, struct cells_zone *zone,
    const char *name, uint64_t token);
/* Adds the holders of the other zones for a host of this one that does not know
 * of the last change. */
void cells_add_holders(const struct cells *cells,
    const struct api_request *request, json_t *body);
/* Processes what the holder of this cell has added. */
void cells_learn_holders(struct cells *cells, struct cells_host *host,
    const json_t *body);

/* cells_withdrawn.c */

void cells_withdrawn_init(struct cells *cells);
void cells_withdrawn_release(struct cells *cells);
void cells_withdrawn_add(struct cells *cells, const char *id, uint64_t nonce);
/* Whether a peer has cancelled the submission. Return: perhaps false for one
 * that can't arrive any more. */
bool cells_withdrawn_find(const struct cells *cells, const char *id,
    uint64_t nonce);

/* cells_stored.c */

void cells_handle_cancel_stored(struct cells *cells,
    const struct api_request *request, api_reply_fn reply, void *arg);
void cells_handle_job_state(struct cells *cells,
    const struct api_request *request, api_reply_fn reply, void *arg);
/* Counts the stored jobs of each queue that have not started, of this cell or
 * of all cells. Return: a new reference. */
json_t *cells_pending_json(const struct cells *cells, bool all_cells);
/* Replaces what the zone's holder has reported; takes the reference. @pending:
 * NULL: nothing reported, no change. */
void cells_set_pending(struct cells_zone *zone, json_t *pending);
/* The parts of the other zones, by zone, for the likely successors of this
 * holder. Return: a new reference. */
json_t *cells_remote_pending_json(const struct cells *cells);
/* Replaces the parts of the other zones by those that the holder of the own
 * cell reports; @parts: NULL: none. */
void cells_set_remote_pending(struct cells *cells, json_t *parts);

#endif /* ENTRY_JOBS_CELLS_INTERNAL_H */
