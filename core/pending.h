#ifndef CORE_PENDING_H
#define CORE_PENDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/job.h"
#include "core/name_index.h"

/*
 * Jobs of which a start order may still be executed, until a time. Hosts tell
 * each other about them: each change that others need to know gives the entry a
 * new sequence number, and a host asks for those above the last one it has had.
 */

#define PEND_JOBS_MAX 4096 /* the oldest listed run is dropped then */

/** enum pend_kind - why a job is in the set; a later one outranks the others.
 */
enum pend_kind {
	PEND_RUN_LISTED, /* a server has a run of it */
	PEND_START,	 /* a start order had no reply */
};

/** enum pend_origin - which host has found out; the nearest one is kept. */
enum pend_origin {
	PEND_OWN,    /* this one */
	PEND_ZONE,   /* another one of its availability zone */
	PEND_REMOTE, /* one of another availability zone */
};

/** struct pend_job - an entry. */
struct pend_job {
	char id[JOB_ID_LEN + 1];
	enum pend_kind kind;
	enum pend_origin origin;
	uint64_t expires_us;
	/* Of the submission of which its caller's host alone has told; 0: none.
	 */
	uint64_t nonce;
	uint64_t told_us; /* value of expires_us as seq was assigned */
	uint64_t seq;	  /* from 1; unique in the set */
	struct nidx_entry by_id;
	TAILQ_ENTRY(pend_job) entry;
};

TAILQ_HEAD(pend_jobs, pend_job);

/** struct pending - the set; initialise with pend_init(). */
struct pending {
	struct pend_jobs jobs; /* ordered by sequence number */
	struct name_index by_id;
	size_t n;
	uint64_t seq;	     /* the last one assigned; 0: none */
	uint64_t dropped;    /* entries that were dropped as the set was full */
	uint64_t checked_us; /* last pass of pend_expire() */
};

void pend_init(struct pending *pending);

void pend_release(struct pending *pending);

/**
 * pend_add() - add a job, or what else is known of it.
 * @id: of JOB_ID_LEN characters; more may follow, as in the name of a task.
 * @expires_us: no order is executed from then on.
 *
 * An entry of a higher kind replaces one of a lower kind. One of the same kind
 * is extended; what other hosts say extends it only by more than a second (a
 * tenth for a run), as it may be an echo of what was sent from here. The entry
 * has a new sequence number if it is new, has another kind or a nearer origin,
 * or lasts longer by that than when it had its last one.
 */
void pend_add(struct pending *pending, const char *id, enum pend_kind kind,
    enum pend_origin origin, uint64_t expires_us, uint64_t now_us);

/**
 * pend_add_submission() - as pend_add(), for a job of which the host of its
 * caller has told, perhaps through another host.
 * @nonce: of the submission. An entry of which others tell, too, or other
 *         submissions, has none.
 */
void pend_add_submission(struct pending *pending, const char *id,
    enum pend_kind kind, enum pend_origin origin, uint64_t nonce,
    uint64_t expires_us, uint64_t now_us);

/** pend_remove_submission() - the submission has ended, and nothing of it is
 * left. Return: whether an entry with its nonce was removed. */
bool pend_remove_submission(struct pending *pending, const char *id,
    uint64_t nonce);

/** pend_find() - Return: the entry of the job, or NULL if there is none that
 * has not expired. */
const struct pend_job *pend_find(const struct pending *pending, const char *id,
    uint64_t now_us);

/** pend_disown() - the runs that this host has listed so far count as listed by
 * another host of its zone. Takes O(entries). */
void pend_disown(struct pending *pending);

/** pend_expire() - free the expired entries, once a second at most. */
void pend_expire(struct pending *pending, uint64_t now_us);

/**
 * pend_first_after() - the entry with the lowest sequence number above @seq;
 * those after it in the list follow in order. Takes O(entries above @seq).
 * Return: the entry, which may have expired, or NULL.
 */
const struct pend_job *pend_first_after(const struct pending *pending,
    uint64_t seq);

#endif /* CORE_PENDING_H */
