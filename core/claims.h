#ifndef CORE_CLAIMS_H
#define CORE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * An issuing process's memory of its own tickets, by sequence number. It
 * decides, alone, whether a ticket may be started: clm_claim() gives
 * CLM_START at most once for a number, and never for one that was not issued.
 *
 * Memory is bounded. One bit for each of the newest numbers tells whether it
 * was ever claimed; numbers older than these can't be started any more. An
 * ended claim is kept with its answer for the retention period and within a
 * number of bytes; its bit stays. Claims that have not ended are always kept.
 *
 * docs/design/tickets.md gives the reasons.
 */

/** enum clm_verdict - may a ticket be started, and if not, why? */
enum clm_verdict {
	CLM_START,	  /* the caller, and it alone, starts it now */
	CLM_RUNNING,	  /* claimed and not ended: join it */
	CLM_ENDED,	  /* its answer is kept */
	CLM_EXPIRED,	  /* may have been started; the answer is not kept */
	CLM_NEVER_ISSUED, /* no such ticket */
	CLM_UNCLAIMED,	  /* only from clm_lookup(): issued, never claimed */
};

/**
 * struct claim - one claimed ticket; first member of its owner's object,
 * which lives at least until it is released.
 */
struct claim {
	uint64_t seq;
	int ended;
	uint64_t ended_us;
	size_t bytes; /* kept for it, counted against the bound */
	LIST_ENTRY(claim) bucket_entry;
	TAILQ_ENTRY(claim) ended_entry; /* ended ones, oldest first */
};

/** typedef clm_release_fn - an ended claim is no longer kept: free it. */
typedef void (*clm_release_fn)(void *arg, struct claim *claim);

/** struct clm_params - bounds of a process's memory. */
struct clm_params {
	size_t window;		/* numbers, a power of two, 64 or more */
	uint64_t retention_us;	/* of ended claims */
	uint64_t bytes_max;	/* of ended claims, all together */
	clm_release_fn release; /* also runs for ended ones at clm_destroy() */
	void *arg;
};

struct claims;

/** clm_create() - an empty memory, or NULL. */
struct claims *clm_create(const struct clm_params *params);

/** clm_destroy() - release ended claims; the rest belong to their owners. */
void clm_destroy(struct claims *claims);

/** clm_issue() - the next sequence number; the oldest may become forgotten. */
uint64_t clm_issue(struct claims *claims);

/**
 * clm_claim() - the one decision whether a ticket may be started.
 * @claim: linked as running if the verdict is CLM_START, else untouched.
 * @existing: the claim in the way for RUNNING and ENDED, else NULL.
 */
enum clm_verdict clm_claim(struct claims *claims, uint64_t seq,
    struct claim *claim, struct claim **existing);

/** clm_lookup() - as clm_claim(), but changes nothing. */
enum clm_verdict clm_lookup(const struct claims *claims, uint64_t seq,
    struct claim **existing);

/**
 * clm_end() - a running claim has ended; keep it.
 * @bytes: what keeping it costs. Older ones are released to make room.
 */
void clm_end(struct claims *claims, struct claim *claim, uint64_t now_us,
    size_t bytes);

/** clm_abandon() - a running claim will get no answer; the owner frees it. */
void clm_abandon(struct claim *claim);

/** clm_expire() - release what is older than the retention period. */
void clm_expire(struct claims *claims, uint64_t now_us);

/** clm_next_seq() - the number that clm_issue() would give next. */
uint64_t clm_next_seq(const struct claims *claims);

/** clm_oldest_seq() - the oldest number that could still be claimed. */
uint64_t clm_oldest_seq(const struct claims *claims);

/** clm_was_claimed() - was a number in [floor, next) ever claimed? */
bool clm_was_claimed(const struct claims *claims, uint64_t seq);

/** clm_prev_ended() - newest ended claim, or the one that ended before @claim.
 */
struct claim *clm_prev_ended(const struct claims *claims,
    const struct claim *claim);

/** clm_retained_bytes() - bytes of ended claims. */
uint64_t clm_retained_bytes(const struct claims *claims);

#endif /* CORE_CLAIMS_H */
