#ifndef TESTS_NAIVE_NAIVE_CLAIMS_H
#define TESTS_NAIVE_NAIVE_CLAIMS_H

#include "core/claims.h"

/*
 * Reference implementation of core/claims: an array with a record of each
 * number ever issued. Records are never removed; which ones have expired is
 * computed by a scan.
 */

#define NAIVE_CLAIMS_MAX 20000

/** struct naive_claim - record of one sequence number. */
struct naive_claim {
	bool claimed;
	bool ended;
	bool released;
	uint64_t ended_us;
	uint64_t end_order; /* rank of its end among all ends */
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
