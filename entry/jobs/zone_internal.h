#ifndef ENTRY_JOBS_ZONE_INTERNAL_H
#define ENTRY_JOBS_ZONE_INTERNAL_H

#include <event2/event.h>
#include <sys/queue.h>

#include <jansson.h>

#include "core/cell.h"
#include "entry/jobs/zone.h"

/*
 * Shared by the files of the zone: zone.c (hosts, who holds), zone_ping.c
 * (what hosts tell each other), zone_job.c
 * (jobs on their way to a holder, and requests of peers), zone_stored.c
 * (questions about stored jobs).
 */

#define ZONE_PATH "/v1/work/"
#define ZONE_JOBS_PATH ZONE_PATH "jobs/"
#define ZONE_CANCEL_PATH ZONE_PATH "cancel/"
#define ZONE_HOSTS_MAX 256

/** struct zone_host - an entry host. */
struct zone_host {
	struct dir_host info;
	uint64_t token; /* that it says it holds with, else 0 */
	bool heard;	/* it has said so since it was connected */
	bool leaving;
	bool connected;	       /* as of the last tick */
	uint64_t incarnation;  /* while connected */
	uint64_t connected_us; /* since then */
	bool silent;	       /* it does not answer pings */
	bool ping_pending;
	uint64_t ping_sent_us;
	uint64_t pong_us;	/* last answer */
	uint32_t backlog_ms;	/* work that waits there, as of then */
	uint32_t free_permille; /* of its servers' room */
	struct json_t *pending; /* stored jobs not begun, by queue; owned */
	TAILQ_ENTRY(zone_host) entry;
};

/** struct zone_submission - a job, or a question about one, of this host or
 * of a peer, in this host's holder or keeper. */
struct zone_submission {
	struct zone *zone;
	char id[JOB_ID_LEN + 1];
	uint64_t nonce;
	zone_done_fn done;  /* of this host's own */
	api_reply_fn reply; /* of a peer's */
	void *arg;
	TAILQ_ENTRY(zone_submission) entry;
};

struct zone {
	struct zone_params params;
	TAILQ_HEAD(, zone_host) hosts; /* others; all availability zones */
	TAILQ_HEAD(, zone_submission) served; /* jobs that peers sent here */
	struct event *tick;
	uint64_t ticked_us; /* the last tick */
	uint64_t listed_us; /* the list of hosts was first whole; 0: not yet */
	struct job_store *keeper; /* NULL until the store is known */
	uint64_t reserve;	  /* own token, not used yet; 0: none */
	uint64_t highest_token;	  /* seen in this availability zone */
	uint64_t reserve_asked_us;
	bool reserving;
	bool leaving;
	bool listed;	     /* the list of hosts is whole */
	bool settled;	     /* it is known whether another host holds */
	uint64_t told_token; /* of the holder that was told last */
	const char *holder;  /* chosen: own name, another's, or NULL */
};

/* zone.c */
uint64_t zone_now(const struct zone *zone);
struct zone_host *zone_host_find(const struct zone *zone, const char *name);
void zone_token_heard(struct zone *zone, struct zone_host *host,
    uint64_t token);
void zone_choose(struct zone *zone);
void zone_tell(struct zone *zone);
bool zone_is_near(const struct zone *zone, const struct zone_host *host);

/* zone_ping.c */
/* Brings connections up to date, as the peers have them. */
void zone_look(struct zone *zone, uint64_t now_us);
/* Asks the hosts of this zone whether they hold. */
void zone_watch_near(struct zone *zone, uint64_t now_us);
/* Keeps in touch with the hosts that may hold other zones' servers. */
void zone_watch_far(struct zone *zone, uint64_t now_us);

/* zone_job.c */
void zone_served_drop(struct zone *zone);
struct zone_submission *zone_submission_create(struct zone *zone,
    const char *id, uint64_t nonce, void *arg);
void zone_submission_free(struct zone_submission *sub);
void zone_reply(api_reply_fn reply, void *arg, int status, const char *body);

/* zone_stored.c */
void zone_serve_cancel_stored(struct zone *zone,
    const struct api_request *request, api_reply_fn reply, void *arg);
void zone_serve_job_state(struct zone *zone, const struct api_request *request,
    api_reply_fn reply, void *arg);

#endif /* ENTRY_JOBS_ZONE_INTERNAL_H */
