#ifndef CORE_CLAIMS_H
#define CORE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Records of the tickets that this process issued, by sequence number. Only
 * these records determine whether a ticket may be started: clm_claim() returns
 * CLM_START at most once for a number, and never for one that was not issued.
 *
 * Memory is bounded. For each number within a window of the newest ones, one
 * bit records whether it was ever claimed; older numbers can't be claimed. An
 * ended claim is retained with its answer for the retention period and up to a
 * total size in bytes; its bit stays set after that. A claim that has not ended
 * is always retained.
 *
 * See docs/design/tickets.md for the reasons.
 */

/** enum clm_verdict - may a ticket be started, and if not, why not? */
enum clm_verdict {
	CLM_START,	  /* this caller, and no other, starts it */
	CLM_RUNNING,	  /* claimed and not ended; the caller may join it */
	CLM_ENDED,	  /* ended; its answer is retained */
	CLM_EXPIRED,	  /* may have been started; no answer retained */
	CLM_NEVER_ISSUED, /* no such ticket */
	CLM_UNCLAIMED,	  /* only from clm_lookup(): issued, not claimed */
};

/**
 * struct claim - one claimed ticket; first member of its owner's object, which
 * must exist until the claim is released or abandoned.
 */
struct claim {
	uint64_t seq;
	int ended;
	uint64_t ended_us;
	size_t bytes; /* size of its answer, counted against bytes_max */
	LIST_ENTRY(claim) bucket_entry;
	TAILQ_ENTRY(claim) ended_entry; /* in order of their ends */
};

/** typedef clm_release_fn - free an ended claim, which has been removed. */
typedef void (*clm_release_fn)(void *arg, struct claim *claim);

/** struct clm_params - limits, and the owner's callback. */
struct clm_params {
	size_t window; /* sequence numbers, a power of two, 64 or more */
	uint64_t retention_us;	/* of ended claims */
	uint64_t bytes_max;	/* total of ended claims */
	clm_release_fn release; /* for ended claims, including clm_destroy() */
	void *arg;
};

struct claims;

/** clm_create() - create empty records; NULL if memory is exhausted. */
struct claims *clm_create(const struct clm_params *params);

/** clm_destroy() - release the ended claims; owners free the running ones. */
void clm_destroy(struct claims *claims);

/** clm_issue() - issue the next sequence number; the oldest one may expire. */
uint64_t clm_issue(struct claims *claims);

/**
 * clm_claim() - decide whether a ticket may be started, and claim it if so.
 * @claim: added as running if the verdict is CLM_START, else left unchanged.
 * @existing: set to the earlier claim if the verdict is CLM_RUNNING or
 *            CLM_ENDED, else to NULL.
 */
enum clm_verdict clm_claim(struct claims *claims, uint64_t seq,
    struct claim *claim, struct claim **existing);

/**
 * clm_lookup() - as clm_claim(), but without claiming: the verdict is
 * CLM_UNCLAIMED where clm_claim() would return CLM_START.
 */
enum clm_verdict clm_lookup(const struct claims *claims, uint64_t seq,
    struct claim **existing);

/**
 * clm_end() - mark a running claim as ended and retain it.
 * @bytes: size of its answer. Older claims are released to stay within
 * bytes_max.
 */
void clm_end(struct claims *claims, struct claim *claim, uint64_t now_us,
    size_t bytes);

/**
 * clm_abandon() - remove a running claim that will have no answer; the owner
 * frees it. Its ticket stays claimed.
 */
void clm_abandon(struct claim *claim);

/** clm_expire() - release claims that ended a retention period ago or more. */
void clm_expire(struct claims *claims, uint64_t now_us);

/** clm_next_seq() - the number that clm_issue() returns next. */
uint64_t clm_next_seq(const struct claims *claims);

/** clm_oldest_seq() - the oldest number that may be claimed. */
uint64_t clm_oldest_seq(const struct claims *claims);

/**
 * clm_was_claimed() - was a number ever claimed?
 * @seq: at least clm_oldest_seq() and less than clm_next_seq().
 */
bool clm_was_claimed(const struct claims *claims, uint64_t seq);

/**
 * clm_prev_ended() - the retained claim that ended before @claim, or the newest
 * one if @claim is NULL; NULL if there is none.
 */
struct claim *clm_prev_ended(const struct claims *claims,
    const struct claim *claim);

/** clm_retained_bytes() - total size of the ended claims' answers. */
uint64_t clm_retained_bytes(const struct claims *claims);

#endif /* CORE_CLAIMS_H */
