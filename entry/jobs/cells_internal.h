#ifndef ENTRY_JOBS_CELLS_INTERNAL_H
#define ENTRY_JOBS_CELLS_INTERNAL_H

#include <event2/event.h>
#include <sys/queue.h>

#include <jansson.h>

#include "core/cell.h"
#include "entry/jobs/cells.h"

/*
 * Shared by the files of the zone: cells.c (hosts, who holds), cells_ping.c
 * (what hosts tell each other), cells_job.c
 * (jobs on their way to a holder, and requests of peers), cells_stored.c
 * (questions about stored jobs).
 */

#define CELLS_PATH "/v1/work/"
#define CELLS_JOBS_PATH CELLS_PATH "jobs/"
#define CELLS_CANCEL_PATH CELLS_PATH "cancel/"
#define CELLS_HOSTS_MAX 256

/** struct cells_host_update - an entry host. */
struct cells_host {
	struct reg_host info;
	uint64_t token;	  /* that it says it holds with, else 0 */
	bool state_known; /* it has said so since it was connected */
	bool leaving;
	bool connected;	       /* as of the last tick */
	uint64_t incarnation;  /* while connected */
	uint64_t connected_us; /* since then */
	bool unresponsive;     /* it does not answer pings */
	bool ping_pending;
	uint64_t ping_sent_us;
	uint64_t last_reply_us; /* last answer */
	uint32_t backlog_ms;	/* work that waits there, as of then */
	uint32_t free_permille; /* of its servers' room */
	struct json_t *pending; /* stored jobs not begun, by queue; owned */
	TAILQ_ENTRY(cells_host) entry;
};

/** struct cells_submission - a job, or a question about one, of this host or
 * of a peer, in this host's holder or keeper. */
struct cells_submission {
	struct cells *cells;
	char id[JOB_ID_LEN + 1];
	uint64_t nonce;
	cells_done_fn done; /* of this host's own */
	api_reply_fn reply; /* of a peer's */
	void *arg;
	TAILQ_ENTRY(cells_submission) entry;
};

struct cells {
	struct cells_params params;
	TAILQ_HEAD(, cells_host)
	hosts; /* others; all availability zones */
	TAILQ_HEAD(, cells_submission)
	submissions; /* jobs that peers sent here */
	struct event *timer;
	uint64_t last_tick_us; /* the last tick */
	uint64_t
	    hosts_loaded_us; /* the list of hosts was first whole; 0: not yet */
	struct keeper *job_store; /* NULL until the store is known */
	uint64_t reserved_token;  /* own token, not used yet; 0: none */
	uint64_t highest_token;	  /* seen in this availability zone */
	uint64_t reserve_sent_us;
	bool reserve_pending;
	bool leaving;
	bool hosts_loaded;	 /* the list of hosts is whole */
	bool discovery_done;	 /* it is known whether another host holds */
	uint64_t notified_token; /* of the holder that was told last */
	const char *holder;	 /* chosen: own name, another's, or NULL */
};

/* cells.c */
uint64_t cells_now_us(const struct cells *cells);
struct cells_host *cells_host_find(const struct cells *cells, const char *name);
void cells_host_set_token(struct cells *cells, struct cells_host *host,
    uint64_t token);
void cells_choose_holder(struct cells *cells);
void cells_notify_holder(struct cells *cells);
bool cells_is_local(const struct cells *cells, const struct cells_host *host);

/* cells_ping.c */
/* Brings connections up to date, as the peers have them. */
void cells_update_connections(struct cells *cells, uint64_t now_us);
/* Asks the hosts of this zone whether they hold. */
void cells_ping_local(struct cells *cells, uint64_t now_us);
/* Keeps in touch with the hosts that may hold other zones' servers. */
void cells_ping_remote(struct cells *cells, uint64_t now_us);

/* cells_job.c */
void cells_submissions_free(struct cells *cells);
struct cells_submission *cells_submission_create(struct cells *cells,
    const char *id, uint64_t nonce, void *arg);
void cells_submission_free(struct cells_submission *sub);
void cells_send_reply(api_reply_fn reply, void *arg, int status,
    const char *body);

/* cells_stored.c */
void cells_handle_cancel_stored(struct cells *cells,
    const struct api_request *request, api_reply_fn reply, void *arg);
void cells_handle_job_state(struct cells *cells,
    const struct api_request *request, api_reply_fn reply, void *arg);

#endif /* ENTRY_JOBS_CELLS_INTERNAL_H */
