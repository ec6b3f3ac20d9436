/*
 * Reference implementation of core/claims.
 */

#include <string.h>

#include "tests/naive/naive_claims.h"

void
naive_claims_init(struct naive_claims *naive, const struct clm_params *params)
{
	memset(naive, 0, sizeof(*naive));
	naive->params = *params;
	naive->next = 1;
}

uint64_t
naive_claims_issue(struct naive_claims *naive)
{
	return naive->next++;
}

enum clm_verdict
naive_claims_lookup(const struct naive_claims *naive, uint64_t seq)
{
	const struct naive_claim *item;

	if (seq == 0 || seq >= naive->next)
		return CLM_NEVER_ISSUED;
	item = &naive->items[seq];
	if (item->claimed && !item->ended)
		return CLM_RUNNING;
	if (item->ended && !item->released)
		return CLM_ENDED;
	if (item->claimed || naive->next - seq > naive->params.window)
		return CLM_EXPIRED;
	return CLM_UNCLAIMED;
}

enum clm_verdict
naive_claims_claim(struct naive_claims *naive, uint64_t seq)
{
	enum clm_verdict verdict = naive_claims_lookup(naive, seq);

	if (verdict != CLM_UNCLAIMED)
		return verdict;
	naive->items[seq].claimed = true;
	return CLM_START;
}

/*
 * Returns the sequence number of the retained claim that ended first, or 0. The
 * total size of the retained claims is stored in *@bytes.
 */
static uint64_t
naive_claims_oldest(const struct naive_claims *naive, uint64_t *bytes)
{
	const struct naive_claim *item;
	uint64_t seq, oldest = 0;

	*bytes = 0;
	for (seq = 1; seq < naive->next; seq++) {
		item = &naive->items[seq];
		if (!item->ended || item->released)
			continue;
		*bytes += item->bytes;
		if (oldest == 0 ||
		    item->end_order < naive->items[oldest].end_order)
			oldest = seq;
	}
	return oldest;
}

void
naive_claims_end(struct naive_claims *naive, uint64_t seq, uint64_t now_us,
    size_t bytes)
{
	struct naive_claim *item = &naive->items[seq];
	uint64_t oldest, retained_bytes;

	item->ended = true;
	item->ended_us = now_us;
	item->bytes = bytes;
	item->end_order = ++naive->nended;
	while ((oldest = naive_claims_oldest(naive, &retained_bytes)) != seq &&
	    retained_bytes > naive->params.bytes_max)
		naive->items[oldest].released = true;
}

void
naive_claims_expire(struct naive_claims *naive, uint64_t now_us)
{
	struct naive_claim *item;
	uint64_t seq;

	for (seq = 1; seq < naive->next; seq++) {
		item = &naive->items[seq];
		if (item->ended &&
		    now_us - item->ended_us >= naive->params.retention_us)
			item->released = true;
	}
}
