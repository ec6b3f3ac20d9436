/*
 * Policy text, division of slots, estimation of run times, retry budget and
 * admission.
 */

#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "berylrail/limits.h"
#include "core/admission.h"
#include "core/dispatch.h"
#include "core/learn.h"
#include "core/retry.h"

Test(dispatch, policy_text_selects_each_option)
{
	struct disp_policy policy;
	struct err err;

	cr_assert_eq(disp_policy_parse(&policy, "naive", &err), 0);
	cr_assert_eq(policy.order, &ord_fifo);
	cr_assert_eq(policy.share, &shr_each);
	cr_assert_not(policy.learn);
	cr_assert_eq(disp_policy_parse(&policy,
			 "default,order=fifo,share=seen,hedge=off", &err),
	    0);
	cr_assert_eq(policy.order, &ord_fifo);
	cr_assert_eq(policy.share, &shr_seen);
	cr_assert_eq(policy.pick, &pick_earliest);
	cr_assert_not(policy.hedge);
	cr_assert_eq(disp_policy_parse(&policy, "best", &err), -1);
	cr_assert_eq(disp_policy_parse(&policy, "default,pick=", &err), -1);
	cr_assert_eq(disp_policy_parse(&policy, "default,learn=yes", &err), -1);
	cr_assert_eq(err.step, ERR_STEP_SETTINGS);
}

/* The parts of all hosts add up to exactly the slots of each server, and one
 * more host changes few of them. */
Test(dispatch, divided_slots_add_up_and_rarely_move)
{
	const char *hosts[] = { "e1", "e2", "e3", "e4", "e5", "e6", "e7" };
	struct shr_input input = { .hosts = hosts };
	uint32_t sum, before[7];
	char server[16];
	size_t i, n;
	int s, moved = 0;

	input.server = server;
	for (s = 0; s < 200; s++) {
		snprintf(server, sizeof(server), "s%d", s);
		input.slots = (uint32_t)(s % 13);
		for (n = 1; n <= 7; n++) {
			input.nhosts = n;
			for (sum = 0, i = 0; i < n; i++) {
				input.self = hosts[i];
				if (n == 7)
					moved += before[i] > shr_own(&input);
				before[i] = shr_own(&input);
				sum += before[i];
			}
			cr_assert_eq(sum, input.slots);
		}
	}
	cr_assert_leq(moved, 300, "%d parts shrank for the 7th host", moved);
	input.nhosts = 0;
	cr_assert_eq(shr_split.limit(&input), input.slots, "only one host");
}

Test(dispatch, loans_are_limited_by_the_slots)
{
	const char *hosts[] = { "e1", "e2" };
	struct shr_input input = { .server = "s",
		.slots = 8,
		.self = "e1",
		.hosts = hosts,
		.nhosts = 2 };

	cr_assert_eq(shr_split.limit(&input), 4);
	input.borrowed = 3;
	cr_assert_eq(shr_split.limit(&input), 7);
	input.borrowed = 30;
	cr_assert_eq(shr_split.limit(&input), 8);
	input.borrowed = 0;
	input.lent = 6;
	cr_assert_eq(shr_split.limit(&input), 0);
	input.others_running = 1;
	cr_assert_eq(shr_seen.limit(&input), 7);
	cr_assert_eq(shr_each.limit(&input), 8);
}

Test(dispatch, estimates_speeds_and_tenfold_run_time_factor)
{
	const double speeds[4] = { 0.5, 1, 1.5, 2 };
	struct lrn_estimate estimates[4], factor;
	double ratio, noise;
	int i;

	srand(9);
	lrn_init_factor(&factor);
	for (i = 0; i < 4; i++)
		lrn_init_speed(&estimates[i], 0);
	for (i = 0; i < 400; i++) {
		noise = exp((rand() % 1000 - 500) / 1000.0);
		lrn_observe(&estimates[i % 4], &factor, 10000,
		    100000 * noise / speeds[i % 4]);
	}
	for (i = 0; i < 4; i++) {
		ratio = lrn_expected_us(&estimates[i], &factor, 10000) /
		    (100000 / speeds[i]);
		cr_expect(ratio > 0.75 && ratio < 1.33, "server %d: %f", i,
		    ratio);
	}
	/* One outlier changes the estimate only a little. */
	ratio = lrn_expected_us(&estimates[3], &factor, 10000);
	lrn_observe(&estimates[3], &factor, 10000, 1e9);
	cr_expect_lt(lrn_expected_us(&estimates[3], &factor, 10000),
	    ratio * 1.4);
}

Test(dispatch, retries_are_a_fraction_of_starts)
{
	struct retry_budget budget;
	int i, taken = 0;

	rtry_init_retries(&budget, 0);
	while (rtry_take_token(&budget, 0))
		taken++;
	cr_assert_leq(taken, 200);
	for (i = 0, taken = 0; i < 1000; i++) {
		rtry_record_start(&budget);
		taken += rtry_take_token(&budget, 0);
	}
	cr_assert(taken >= 190 && taken <= 200, "%d", taken);
	cr_assert(rtry_take_token(&budget, 1000000),
	    "tokens are added over time");
}

Test(dispatch, admission_reports_reason)
{
	const struct adm_input good = { .job = "j",
		.ntasks = 2,
		.body_bytes = 10,
		.queue_tasks_max = 10,
		.queue_bytes_max = 100,
		.nservers = 1,
		.check_time = true,
		.wait_us = 10,
		.run_us = 20,
		.longest_task_us = 5,
		.timeout_us = 100,
		.deadline_us = 40 };
	struct adm_input bad;
	struct err err;

	cr_assert_eq(adm_check(&good, &err), 0);
#define REFUSED(member, value, expected)                          \
	do {                                                      \
		bad = good;                                       \
		bad.member = value;                               \
		cr_expect_eq(adm_check(&bad, &err), -1, #member); \
		cr_expect_eq(err.code, expected, #member);        \
		cr_expect_eq(err.step, ERR_STEP_ADMIT);           \
		cr_expect_str_eq(err.peer, "j");                  \
	} while (0)
	REFUSED(ntasks, 0, ERR_INVALID);
	REFUSED(ntasks, JOB_TASKS_MAX + 1, ERR_TOO_LARGE);
	REFUSED(nservers, 0, ERR_NO_SERVER);
	REFUSED(queue_tasks, 9, ERR_OVERLOAD);
	REFUSED(queue_bytes, 91, ERR_OVERLOAD);
	REFUSED(job_tasks_max, 1, ERR_OVERLOAD);
	REFUSED(longest_task_us, 101, ERR_NO_SERVER);
	REFUSED(wait_us, 30, ERR_DEADLINE);
#undef REFUSED
}
