#ifndef TESTS_NAIVE_NAIVE_CLAIMS_H
#define TESTS_NAIVE_NAIVE_CLAIMS_H

#include "core/claims.h"

/*
 * The naive memory of tickets: one record for each number ever issued, in a
 * plain array, never forgotten; what would be forgotten is recomputed by
 * walking all of it.
 */

#define NAIVE_CLAIMS_MAX 20000

/** struct naive_claim - everything about one number. */
struct naive_claim {
	bool claimed;
	bool ended;
	bool released;
	uint64_t ended_us;
	uint64_t end_order; /* of its end */
	size_t bytes;
};

struct naive_claims {
	struct clm_params params;
	uint64_t next;
	uint64_t nended;
	struct naive_claim items[NAIVE_CLAIMS_MAX];
};

void naive_claims_init(struct naive_claims *naive,
    const struct clm_params *params);
uint64_t naive_claims_issue(struct naive_claims *naive);
enum clm_verdict naive_claims_lookup(const struct naive_claims *naive,
    uint64_t seq);
enum clm_verdict naive_claims_claim(struct naive_claims *naive, uint64_t seq);
void naive_claims_end(struct naive_claims *naive, uint64_t seq, uint64_t now_us,
    size_t bytes);
void naive_claims_expire(struct naive_claims *naive, uint64_t now_us);

#endif /* TESTS_NAIVE_NAIVE_CLAIMS_H */
