/*
 * Records of issued tickets: a ticket is started at most once, records expire,
 * and random sequences of events match the reference implementation.
 */

#include <criterion/criterion.h>
#include <stdlib.h>

#include "core/claims.h"
#include "tests/naive/naive_claims.h"

#define NEVENTS 6000

static size_t released;

static void
release(void *arg, struct claim *claim)
{
	(void)arg;
	released++;
	free(claim);
}

static const struct clm_params params = {
	.window = 256,
	.retention_us = 5000,
	.bytes_max = 2000,
	.release = release,
};

static struct claim *
claim_new(void)
{
	return calloc(1, sizeof(struct claim));
}

Test(claims, starts_at_most_once)
{
	struct claims *claims = clm_create(&params);
	struct claim *claim = claim_new(), second, *existing;
	uint64_t seq = clm_issue(claims);

	cr_assert_eq(clm_claim(claims, seq, claim, &existing), CLM_START);
	cr_assert_eq(clm_claim(claims, seq, &second, &existing), CLM_RUNNING);
	cr_assert_eq(existing, claim);
	clm_end(claims, claim, 10, 100);
	cr_assert_eq(clm_claim(claims, seq, &second, &existing), CLM_ENDED);
	clm_expire(claims, 10 + params.retention_us);
	cr_assert_eq(clm_claim(claims, seq, &second, &existing), CLM_EXPIRED);
	cr_assert_null(existing);
	clm_destroy(claims);
}

Test(claims, unissued_ticket_cannot_be_started)
{
	struct claims *claims = clm_create(&params);
	struct claim claim, *existing;

	cr_assert_eq(clm_claim(claims, 0, &claim, &existing), CLM_NEVER_ISSUED);
	cr_assert_eq(clm_claim(claims, 1, &claim, &existing), CLM_NEVER_ISSUED);
	clm_destroy(claims);
}

Test(claims, unclaimed_tickets_expire)
{
	struct claims *claims = clm_create(&params);
	struct claim claim, *existing;
	size_t i;

	for (i = 0; i <= params.window; i++)
		(void)clm_issue(claims);
	cr_assert_eq(clm_claim(claims, 1, &claim, &existing), CLM_EXPIRED);
	cr_assert_eq(clm_lookup(claims, 2, &existing), CLM_UNCLAIMED);
	clm_destroy(claims);
}

Test(claims, destroy_releases_ended_claims)
{
	struct claims *claims = clm_create(&params);
	struct claim *claim = claim_new(), *existing;

	released = 0;
	(void)clm_claim(claims, clm_issue(claims), claim, &existing);
	clm_end(claims, claim, 1, params.bytes_max * 2);
	cr_assert_eq(released, 0,
	    "the newest claim is retained, whatever its size");
	clm_destroy(claims);
	cr_assert_eq(released, 1);
}

/* Applies the same random events to both implementations and compares their
 * verdicts. */
static void
run_differential(unsigned int seed)
{
	static struct naive_claims naive;
	struct claims *claims = clm_create(&params);
	struct claim **running = calloc(NEVENTS, sizeof(*running));
	struct claim *claim, *existing;
	size_t nrunning = 0, i, draw;
	enum clm_verdict verdict;
	uint64_t now = 1, seq;

	srand(seed);
	naive_claims_init(&naive, &params);
	for (i = 0; i < NEVENTS; i++) {
		now += (uint64_t)(rand() % 100);
		seq = naive.next + 4 - (uint64_t)rand() % 400;
		if ((int64_t)seq < 0)
			seq = 0;
		switch (rand() % 6) {
		case 0:
		case 1:
			cr_assert_eq(clm_issue(claims),
			    naive_claims_issue(&naive));
			break;
		case 2:
		case 3:
			claim = claim_new();
			verdict = clm_claim(claims, seq, claim, &existing);
			cr_assert_eq(verdict, naive_claims_claim(&naive, seq),
			    "seed %u event %zu", seed, i);
			if (verdict == CLM_START)
				running[nrunning++] = claim;
			else
				free(claim);
			break;
		case 4:
			if (nrunning == 0)
				break;
			draw = (size_t)rand() % nrunning;
			claim = running[draw];
			running[draw] = running[--nrunning];
			seq = claim->seq;
			draw = (size_t)rand() % 300;
			clm_end(claims, claim, now, draw);
			naive_claims_end(&naive, seq, now, draw);
			break;
		default:
			clm_expire(claims, now);
			naive_claims_expire(&naive, now);
		}
		seq = 1 + (uint64_t)rand() % (naive.next + 2);
		cr_assert_eq(clm_lookup(claims, seq, &existing),
		    naive_claims_lookup(&naive, seq), "seed %u event %zu", seed,
		    i);
	}
	clm_destroy(claims);
	while (nrunning > 0)
		free(running[--nrunning]);
	free(running);
}

Test(claims, matches_naive_implementation)
{
	unsigned int seed;

	for (seed = 1; seed <= 20; seed++)
		run_differential(seed);
}
