/*
 * Records of the tickets that this process issued. Invariants:
 *
 *	1 <= oldest_seq <= next_seq, next_seq - oldest_seq <= window;
 *	a number in [oldest_seq, next_seq) has its bit set if and only if it was
 *	ever claimed;
 *	a claim is in its hash bucket from clm_claim() until it is released or
 *	abandoned.
 */

#include <stdlib.h>

#include "core/claims.h"

/* A power of two. Consecutive sequence numbers fill the buckets evenly. */
#define CLM_BUCKETS 32768
#define CLM_WORD_BITS 64

LIST_HEAD(clm_bucket, claim);
TAILQ_HEAD(clm_list, claim);

struct claims {
	struct clm_params params;
	uint64_t oldest_seq;
	uint64_t next_seq;
	uint64_t retained_bytes;
	uint64_t *claimed_bits; /* bitmap, by sequence number modulo window */
	struct clm_list ended_list;
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
	claims->oldest_seq = claims->next_seq = 1;
	claims->claimed_bits = calloc(params->window / CLM_WORD_BITS,
	    sizeof(*claims->claimed_bits));
	if (claims->claimed_bits == NULL) {
		free(claims);
		return NULL;
	}
	TAILQ_INIT(&claims->ended_list);
	return claims;
}

static void
clm_release(struct claims *claims, struct claim *claim)
{
	TAILQ_REMOVE(&claims->ended_list, claim, ended_entry);
	LIST_REMOVE(claim, bucket_entry);
	claims->retained_bytes -= claim->bytes;
	claims->params.release(claims->params.arg, claim);
}

void
clm_destroy(struct claims *claims)
{
	struct claim *claim;

	if (claims == NULL)
		return;
	while ((claim = TAILQ_FIRST(&claims->ended_list)) != NULL)
		clm_release(claims, claim);
	free(claims->claimed_bits);
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

	LIST_FOREACH (claim, clm_bucket(claims, seq), bucket_entry) {
		if (claim->seq == seq)
			return claim;
	}
	return NULL;
}

static uint64_t *
clm_bits_word(const struct claims *claims, uint64_t seq)
{
	return &claims->claimed_bits[(seq & (claims->params.window - 1)) /
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
	return (*clm_bits_word(claims, seq) & clm_bit(seq)) != 0;
}

uint64_t
clm_issue(struct claims *claims)
{
	uint64_t seq = claims->next_seq++;

	if (claims->next_seq - claims->oldest_seq > claims->params.window)
		claims->oldest_seq++;
	*clm_bits_word(claims, seq) &= ~clm_bit(seq);
	return seq;
}

enum clm_verdict
clm_lookup(const struct claims *claims, uint64_t seq, struct claim **existing)
{
	*existing = NULL;
	if (seq == 0 || seq >= claims->next_seq)
		return CLM_NEVER_ISSUED;
	*existing = clm_find(claims, seq);
	if (*existing != NULL)
		return (*existing)->ended ? CLM_ENDED : CLM_RUNNING;
	if (seq < claims->oldest_seq || clm_was_claimed(claims, seq))
		return CLM_EXPIRED;
	return CLM_UNCLAIMED;
}

enum clm_verdict
clm_claim(struct claims *claims, uint64_t seq, struct claim *claim,
    struct claim **existing)
{
	enum clm_verdict verdict;

	verdict = clm_lookup(claims, seq, existing);
#if BERYLRAIL_TAMPER_CLAIMS
	/* Injected fault: a ticket may be started more than once. A build with
	 * this fault verifies that the tests detect it. */
	verdict = CLM_UNCLAIMED;
	*existing = NULL;
#endif
	if (verdict != CLM_UNCLAIMED)
		return verdict;
	*clm_bits_word(claims, seq) |= clm_bit(seq);
	claim->seq = seq;
	claim->ended = 0;
	claim->bytes = 0;
	LIST_INSERT_HEAD(clm_bucket(claims, seq), claim, bucket_entry);
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
	claims->retained_bytes += bytes;
	TAILQ_INSERT_TAIL(&claims->ended_list, claim, ended_entry);
	/* The claim that has just ended is retained, whatever its size. */
	while (claims->retained_bytes > claims->params.bytes_max) {
		oldest = TAILQ_FIRST(&claims->ended_list);
		if (oldest == claim)
			break;
		clm_release(claims, oldest);
	}
}

void
clm_abandon(struct claim *claim)
{
	LIST_REMOVE(claim, bucket_entry);
}

void
clm_expire(struct claims *claims, uint64_t now_us)
{
	struct claim *oldest;

	while ((oldest = TAILQ_FIRST(&claims->ended_list)) != NULL &&
	    now_us - oldest->ended_us >= claims->params.retention_us)
		clm_release(claims, oldest);
}

uint64_t
clm_next_seq(const struct claims *claims)
{
	return claims->next_seq;
}

uint64_t
clm_oldest_seq(const struct claims *claims)
{
	return claims->oldest_seq;
}

struct claim *
clm_prev_ended(const struct claims *claims, const struct claim *claim)
{
	if (claim == NULL)
		return TAILQ_LAST(&claims->ended_list, clm_list);
	return TAILQ_PREV(claim, clm_list, ended_entry);
}

uint64_t
clm_retained_bytes(const struct claims *claims)
{
	return claims->retained_bytes;
}
