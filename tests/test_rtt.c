/*
 * Response times and time-outs of calls.
 */

#include <criterion/criterion.h>

#include "core/rtt.h"

#define MIN_MS 60
#define MAX_MS 1000

Test(rtt, timeout_without_a_sample_is_the_minimum)
{
	const struct rtt rtt = { 0 };

	cr_expect_eq(rtt_timeout_ms(&rtt, MIN_MS, MAX_MS), MIN_MS);
}

Test(rtt, fast_calls_keep_the_minimum)
{
	struct rtt rtt = { 0 };
	int i;

	for (i = 0; i < 100; i++)
		rtt_add(&rtt, 800 + (uint64_t)(i % 5) * 300);
	cr_expect_eq(rtt_timeout_ms(&rtt, MIN_MS, MAX_MS), MIN_MS);
}

/* A link of 2 Mbit/s on which 100 KB wait takes 400 ms: after a few replies the
 * time-out exceeds that. */
Test(rtt, timeout_exceeds_the_response_time_of_a_congested_link)
{
	struct rtt rtt = { 0 };
	int i;

	for (i = 0; i < 100; i++)
		rtt_add(&rtt, 1000);
	for (i = 0; i < 8; i++)
		rtt_add(&rtt, 400000);
	cr_expect_gt(rtt_timeout_ms(&rtt, MIN_MS, MAX_MS), 400);
	/* When the congestion is over, it returns to the minimum. */
	for (i = 0; i < 60; i++)
		rtt_add(&rtt, 1000);
	cr_expect_eq(rtt_timeout_ms(&rtt, MIN_MS, MAX_MS), MIN_MS);
}

Test(rtt, timeout_has_a_maximum)
{
	struct rtt rtt = { 0 };

	rtt_add(&rtt, UINT64_MAX);
	cr_expect_eq(rtt_timeout_ms(&rtt, MIN_MS, MAX_MS), MAX_MS);
}
