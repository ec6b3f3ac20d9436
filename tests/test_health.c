/*
 * Ejection and readmission of servers.
 */

#include <criterion/criterion.h>
#include <stdlib.h>

#include "core/health.h"

/* Number of @event until @hlth is ejected; -1 if not within 100. */
static int
failures_to_eject(struct hlth *hlth, struct hlth_job *job,
    enum hlth_event event, bool may_eject)
{
	int i;

	for (i = 1; i <= 100; i++) {
		if (hlth_record(hlth, job, event, may_eject, 1, 0) ==
		    HLTH_WAS_EJECTED)
			return i;
	}
	return -1;
}

Test(health, ejects_after_few_failures)
{
	struct hlth_job job;
	struct hlth bad = { 0 }, unreachable = { 0 }, overdue = { 0 };

	hlth_job_init(&job);
	cr_expect_leq(failures_to_eject(&bad, &job, HLTH_FAILURE, true), 4);
	cr_expect_leq(
	    failures_to_eject(&unreachable, &job, HLTH_UNREACHABLE, false), 3);
	cr_expect_leq(failures_to_eject(&overdue, &job, HLTH_OVERDUE, true), 4);
	cr_expect_eq(bad.state, HLTH_EJECTED);
}

Test(health, ejection_limit_applies_to_failures)
{
	struct hlth_job job;
	struct hlth bad = { 0 };

	hlth_job_init(&job);
	cr_assert_eq(failures_to_eject(&bad, &job, HLTH_FAILURE, false), -1);
	cr_assert_eq(hlth_eject_max(1), 0);
	cr_assert_eq(hlth_eject_max(2), 1);
	cr_assert_eq(hlth_eject_max(48), 16);
}

Test(health, job_failing_on_all_servers_ejects_few)
{
	struct hlth servers[48] = { 0 };
	struct hlth_job failing_job;
	int i, ejected = 0;

	srand(2);
	hlth_job_init(&failing_job);
	for (i = 0; i < 2000; i++)
		hlth_record(&servers[rand() % 48], &failing_job, HLTH_FAILURE,
		    true, 1, 0);
	for (i = 0; i < 48; i++)
		ejected += servers[i].state == HLTH_EJECTED;
	cr_assert_leq(ejected, 4, "%d of 48 ejected", ejected);
}

Test(health, occasional_failures_do_not_eject)
{
	struct hlth_job job;
	struct hlth good = { 0 };
	int i;

	srand(4);
	hlth_job_init(&job);
	for (i = 0; i < 100000; i++) {
		hlth_record(&good, &job,
		    rand() % 100 < 2 ? HLTH_FAILURE : HLTH_SUCCESS, true, 1, 0);
		cr_assert_eq(good.state, HLTH_UP, "after %d tasks", i);
	}
}

Test(health, probes_with_one_task_at_growing_intervals)
{
	struct hlth_job job;
	struct hlth hlth = { 0 };
	uint64_t now_us = 1, interval_us, last_us = 0;
	int i;

	hlth_job_init(&job);
	failures_to_eject(&hlth, &job, HLTH_FAILURE, true);
	for (i = 0; i < 10; i++) {
		interval_us = hlth.retry_at_us - now_us;
		cr_assert_not(hlth_probe_due(&hlth, hlth.retry_at_us - 1));
		cr_assert_geq(interval_us, last_us);
		last_us = interval_us;
		now_us = hlth.retry_at_us;
		cr_assert(hlth_probe_due(&hlth, now_us));
		cr_assert_eq(
		    hlth_record(&hlth, &job, HLTH_FAILURE, true, now_us, 0),
		    HLTH_WAS_EJECTED, "a failed probe must eject the server");
	}
	cr_assert_eq(last_us, 60000000);
	hlth_probe_due(&hlth, hlth.retry_at_us);
	cr_assert_eq(hlth_record(&hlth, &job, HLTH_SUCCESS, true, now_us, 0),
	    HLTH_WAS_READMITTED);
	cr_assert_eq(hlth.state, HLTH_UP);
}
