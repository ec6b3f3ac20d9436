/*
 * Memory of an issuing process's own tickets. Invariants:
 *
 *	1 <= floor <= next, next - floor <= window;
 *	a number in [floor, next) has its bit set if it was ever claimed;
 *	a claim is in its bucket from its claim to its release.
 */

#include <stdlib.h>

#include "core/claims.h"

#define CLM_BUCKETS 32768 /* a power of two; numbers are dense */
#define CLM_WORD_BITS 64

LIST_HEAD(clm_bucket, claim);
TAILQ_HEAD(clm_list, claim);

struct claims {
	struct clm_params params;
	uint64_t floor;
	uint64_t next;
	uint64_t bytes;
	uint64_t *claimed; /* bits, number modulo window */
	struct clm_list kept;
	struct clm_bucket buckets[CLM_BUCKETS];
};

struct claims *
clm_create(const struct clm_params *params)
{
	struct claims *claims;

	claims = calloc(1, sizeof(*claims));
	if (claims == NULL)
		return NULL;
	claims->params = *params;
	claims->floor = claims->next = 1;
	claims->claimed =
	    calloc(params->window / CLM_WORD_BITS, sizeof(*claims->claimed));
	if (claims->claimed == NULL) {
		free(claims);
		return NULL;
	}
	TAILQ_INIT(&claims->kept);
	return claims;
}

static void
clm_release(struct claims *claims, struct claim *claim)
{
	TAILQ_REMOVE(&claims->kept, claim, kept);
	LIST_REMOVE(claim, bucket);
	claims->bytes -= claim->bytes;
	claims->params.release(claims->params.arg, claim);
}

void
clm_destroy(struct claims *claims)
{
	struct claim *claim;

	if (claims == NULL)
		return;
	while ((claim = TAILQ_FIRST(&claims->kept)) != NULL)
		clm_release(claims, claim);
	free(claims->claimed);
	free(claims);
}

static struct clm_bucket *
clm_bucket(const struct claims *claims, uint64_t seq)
{
	return (struct clm_bucket *)&claims->buckets[seq & (CLM_BUCKETS - 1)];
}

static struct claim *
clm_find(const struct claims *claims, uint64_t seq)
{
	struct claim *claim;

	LIST_FOREACH (claim, clm_bucket(claims, seq), bucket) {
		if (claim->seq == seq)
			return claim;
	}
	return NULL;
}

static uint64_t *
clm_word(const struct claims *claims, uint64_t seq)
{
	return &claims->claimed[(seq & (claims->params.window - 1)) /
	    CLM_WORD_BITS];
}

static uint64_t
clm_bit(uint64_t seq)
{
	return UINT64_C(1) << (seq % CLM_WORD_BITS);
}

bool
clm_was_claimed(const struct claims *claims, uint64_t seq)
{
	return (*clm_word(claims, seq) & clm_bit(seq)) != 0;
}

uint64_t
clm_issue(struct claims *claims)
{
	uint64_t seq = claims->next++;

	if (claims->next - claims->floor > claims->params.window)
		claims->floor++;
	*clm_word(claims, seq) &= ~clm_bit(seq);
	return seq;
}

enum clm_verdict
clm_look(const struct claims *claims, uint64_t seq, struct claim **existing)
{
	*existing = NULL;
	if (seq == 0 || seq >= claims->next)
		return CLM_NEVER_ISSUED;
	*existing = clm_find(claims, seq);
	if (*existing != NULL)
		return (*existing)->ended ? CLM_ENDED : CLM_RUNNING;
	if (seq < claims->floor || clm_was_claimed(claims, seq))
		return CLM_FORGOTTEN;
	return CLM_UNCLAIMED;
}

enum clm_verdict
clm_claim(struct claims *claims, uint64_t seq, struct claim *claim,
    struct claim **existing)
{
	enum clm_verdict verdict;

	verdict = clm_look(claims, seq, existing);
#if BERYLRAIL_TAMPER_CLAIMS
	/* Starts every time; only for showing that the tests notice. */
	verdict = CLM_UNCLAIMED;
	*existing = NULL;
#endif
	if (verdict != CLM_UNCLAIMED)
		return verdict;
	*clm_word(claims, seq) |= clm_bit(seq);
	claim->seq = seq;
	claim->ended = 0;
	claim->bytes = 0;
	LIST_INSERT_HEAD(clm_bucket(claims, seq), claim, bucket);
	return CLM_START;
}

void
clm_end(struct claims *claims, struct claim *claim, uint64_t now_us,
    size_t bytes)
{
	struct claim *oldest;

	claim->ended = 1;
	claim->ended_us = now_us;
	claim->bytes = bytes;
	claims->bytes += bytes;
	TAILQ_INSERT_TAIL(&claims->kept, claim, kept);
	/* The one that has just ended stays, however large. */
	while (claims->bytes > claims->params.bytes_max) {
		oldest = TAILQ_FIRST(&claims->kept);
		if (oldest == claim)
			break;
		clm_release(claims, oldest);
	}
}

void
clm_forget(struct claim *claim)
{
	LIST_REMOVE(claim, bucket);
}

void
clm_expire(struct claims *claims, uint64_t now_us)
{
	struct claim *oldest;

	while ((oldest = TAILQ_FIRST(&claims->kept)) != NULL &&
	    now_us - oldest->ended_us >= claims->params.retention_us)
		clm_release(claims, oldest);
}

uint64_t
clm_next(const struct claims *claims)
{
	return claims->next;
}

uint64_t
clm_floor(const struct claims *claims)
{
	return claims->floor;
}

struct claim *
clm_kept(const struct claims *claims, const struct claim *claim)
{
	if (claim == NULL)
		return TAILQ_LAST(&claims->kept, clm_list);
	return TAILQ_PREV(claim, clm_list, kept);
}

uint64_t
clm_bytes(const struct claims *claims)
{
	return claims->bytes;
}
