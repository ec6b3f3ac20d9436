/*
 * Tasks under which servers were lost: which of them are started again, where,
 * and which are given up.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "core/suspect.h"

#define SECOND_US UINT64_C(1000000)
#define TASK "00000000000000aa.0.0.0"
#define OTHER "00000000000000bb.0.0.1"

/* A loss of a server that had started the task. */
static void
lose(struct suspects *suspects, const char *task, const char *server,
    uint64_t incarnation, uint64_t at_us, bool crashed, bool alone)
{
	struct susp_loss loss = { .incarnation_start_ms = incarnation,
		.lost_us = at_us,
		.crashed = crashed,
		.alone = alone,
		.started = true };

	strlcpy(loss.server, server, sizeof(loss.server));
	(void)susp_add_loss(suspects, task, &loss);
}

Test(suspect, one_crash_isolates_and_convicts_nobody)
{
	struct suspects suspects;

	susp_init(&suspects);
	cr_expect_eq(susp_judge(&suspects, TASK, 0), SUSP_NONE);
	lose(&suspects, TASK, "s1", 5, SECOND_US, true, true);
	cr_expect_eq(susp_judge(&suspects, TASK, SECOND_US), SUSP_ISOLATE);
	cr_expect_eq(susp_judge(&suspects, OTHER, SECOND_US), SUSP_NONE);
	susp_release(&suspects);
}

Test(suspect, second_crash_convicts_the_only_suspect)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, true, false);
	lose(&suspects, OTHER, "s1", 5, SECOND_US, true, false);
	lose(&suspects, TASK, "s2", 6, 2 * SECOND_US, true, true);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_GUILTY);
	cr_expect_eq(susp_judge(&suspects, OTHER, 2 * SECOND_US), SUSP_ISOLATE);
	susp_acquit(&suspects, OTHER);
	cr_expect_eq(susp_judge(&suspects, OTHER, 2 * SECOND_US), SUSP_NONE);
	susp_release(&suspects);
}

Test(suspect, bystander_of_two_crashes_is_not_given_up)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, true, false);
	lose(&suspects, TASK, "s2", 6, 2 * SECOND_US, true, false);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_ISOLATE);
	susp_release(&suspects);
}

/* After three crashes a task must not be started three times more. */
Test(suspect, third_crash_convicts_in_any_case)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, true, false);
	lose(&suspects, TASK, "s2", 6, 2 * SECOND_US, true, false);
	lose(&suspects, TASK, "s3", 7, 3 * SECOND_US, true, false);
	cr_expect_eq(susp_judge(&suspects, TASK, 3 * SECOND_US), SUSP_GUILTY);
	susp_release(&suspects);
}

/* The start orders may not have arrived. A task that crashes servers before
 * they reply is given up, too. */
Test(suspect, crash_before_a_confirmed_start_is_weak_evidence)
{
	static const char *const servers[] = { "s1", "s2", "s3", "s4" };
	struct susp_loss loss = { .crashed = true, .alone = true };
	struct suspects suspects;
	uint32_t i;

	susp_init(&suspects);
	for (i = 0; i < 4; i++) {
		strlcpy(loss.server, servers[i], sizeof(loss.server));
		loss.incarnation_start_ms = i + 5;
		loss.lost_us = (i + 1) * SECOND_US;
		(void)susp_add_loss(&suspects, TASK, &loss);
		cr_expect_eq(susp_judge(&suspects, TASK, 5 * SECOND_US),
		    i < 3 ? SUSP_ISOLATE : SUSP_GUILTY);
	}
	lose(&suspects, OTHER, "s1", 5, SECOND_US, true, true);
	(void)susp_add_loss(&suspects, OTHER, &loss);
	cr_expect_eq(susp_judge(&suspects, OTHER, 5 * SECOND_US), SUSP_ISOLATE);
	loss.started = true;
	cr_expect(susp_add_loss(&suspects, OTHER, &loss));
	cr_expect_eq(susp_judge(&suspects, OTHER, 5 * SECOND_US), SUSP_GUILTY);
	susp_release(&suspects);
}

Test(suspect, unreachable_server_has_not_crashed)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, false, true);
	lose(&suspects, TASK, "s2", 6, 2 * SECOND_US, false, true);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_WAIT);
	cr_expect(susp_server_seen(&suspects, "s1", 5, 2 * SECOND_US));
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_NONE);
	cr_expect(susp_server_seen(&suspects, "s2", 6, 2 * SECOND_US));
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_NONE);
	cr_expect_not(susp_server_seen(&suspects, "s2", 6, 2 * SECOND_US));
	susp_release(&suspects);
}

Test(suspect, new_incarnation_shows_that_the_old_one_has_crashed)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, false, true);
	lose(&suspects, TASK, "s2", 6, 2 * SECOND_US, false, true);
	(void)susp_server_seen(&suspects, "s1", 500, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_WAIT);
	(void)susp_server_seen(&suspects, "s2", 600, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_GUILTY);
	susp_release(&suspects);
}

/* A server that is cut off by resets can't be told from one that has crashed.
 */
static void
refuse(struct suspects *suspects, const char *server, uint64_t incarnation,
    uint64_t at_us)
{
	struct susp_loss loss = { .incarnation_start_ms = incarnation,
		.lost_us = at_us,
		.refused = true,
		.alone = true,
		.started = true };

	strlcpy(loss.server, server, sizeof(loss.server));
	(void)susp_add_loss(suspects, TASK, &loss);
}

Test(suspect, refused_connections_do_not_convict)
{
	struct suspects suspects;

	susp_init(&suspects);
	refuse(&suspects, "s1", 5, SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, SECOND_US), SUSP_ISOLATE);
	refuse(&suspects, "s2", 6, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_UNPROVEN);
	(void)susp_server_seen(&suspects, "s1", 5, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_ISOLATE);
	(void)susp_server_seen(&suspects, "s2", 6, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_NONE);
	susp_release(&suspects);
}

Test(suspect, return_of_refusing_servers_convicts)
{
	struct suspects suspects;

	susp_init(&suspects);
	refuse(&suspects, "s1", 5, SECOND_US);
	refuse(&suspects, "s2", 6, 2 * SECOND_US);
	(void)susp_server_seen(&suspects, "s1", 500, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_UNPROVEN);
	(void)susp_server_seen(&suspects, "s2", 600, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_GUILTY);
	susp_release(&suspects);
}

Test(suspect, other_server_at_the_address_shows_a_crash)
{
	struct suspects suspects;

	susp_init(&suspects);
	refuse(&suspects, "s1", 5, SECOND_US);
	refuse(&suspects, "s2", 6, 2 * SECOND_US);
	cr_expect(susp_server_ended(&suspects, "s1", 2 * SECOND_US));
	cr_expect_not(susp_server_ended(&suspects, "s1", 2 * SECOND_US));
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_UNPROVEN);
	cr_expect(susp_server_ended(&suspects, "s2", 2 * SECOND_US));
	cr_expect_eq(susp_judge(&suspects, TASK, 2 * SECOND_US), SUSP_GUILTY);
	susp_release(&suspects);
}

/* It may be guilty, and no server returns to show it. */
Test(suspect, starts_after_unproven_crashes_are_rare)
{
	struct suspects suspects;

	susp_init(&suspects);
	refuse(&suspects, "s1", 5, SECOND_US);
	refuse(&suspects, "s2", 6, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 6 * SECOND_US), SUSP_UNPROVEN);
	cr_expect_eq(susp_judge(&suspects, TASK, 7 * SECOND_US), SUSP_ISOLATE);
	refuse(&suspects, "s3", 7, 8 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 17 * SECOND_US),
	    SUSP_UNPROVEN);
	cr_expect_eq(susp_judge(&suspects, TASK, 18 * SECOND_US), SUSP_ISOLATE);
	refuse(&suspects, "s4", 8, 19 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, 33 * SECOND_US),
	    SUSP_UNPROVEN);
	susp_release(&suspects);
}

Test(suspect, servers_that_stay_away_delay_a_task_for_a_limited_time)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, false, true);
	lose(&suspects, TASK, "s2", 6, 2 * SECOND_US, false, true);
	cr_expect_eq(susp_judge(&suspects, TASK, 6 * SECOND_US), SUSP_WAIT);
	cr_expect_eq(susp_judge(&suspects, TASK, 7 * SECOND_US), SUSP_ISOLATE);
	susp_release(&suspects);
}

Test(suspect, loss_that_is_reported_twice_counts_once)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, true, true);
	lose(&suspects, TASK, "s1", 5, 2 * SECOND_US, false, true);
	cr_assert_eq(susp_find(&suspects, TASK)->nlosses, 1);
	cr_expect(susp_find(&suspects, TASK)->losses[0].crashed);
	susp_release(&suspects);
}

Test(suspect, number_and_age_of_suspects_are_bounded)
{
	struct suspects suspects;
	char name[SUSP_TASK_NAME_SIZE];
	int i;

	susp_init(&suspects);
	for (i = 0; i <= SUSP_TASKS_MAX; i++) {
		(void)snprintf(name, sizeof(name), "t%d", i);
		lose(&suspects, name, "s1", 5, SECOND_US, true, false);
	}
	cr_expect_eq(suspects.n, SUSP_TASKS_MAX);
	cr_expect_null(susp_find(&suspects, "t0"));
	susp_expire(&suspects, 60 * SECOND_US);
	cr_expect_eq(suspects.n, SUSP_TASKS_MAX);
	susp_expire(&suspects, 62 * SECOND_US);
	cr_expect_eq(suspects.n, 0);
	susp_release(&suspects);
}

/* Many servers are cut off together: their tasks need no servers of their own.
 */
Test(suspect, one_loss_without_a_crash_does_not_isolate)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, false, false);
	cr_expect_eq(susp_judge(&suspects, TASK, SECOND_US), SUSP_NONE);
	(void)susp_server_seen(&suspects, "s1", 500, 2 * SECOND_US);
	cr_expect_eq(susp_judge(&suspects, TASK, SECOND_US), SUSP_ISOLATE);
	susp_release(&suspects);
}

/* They refused no connection: they may have crashed after the task's lease. */
Test(suspect, servers_that_are_known_late_to_have_ended_convict_nobody)
{
	struct suspects suspects;

	susp_init(&suspects);
	lose(&suspects, TASK, "s1", 5, SECOND_US, false, true);
	lose(&suspects, TASK, "s2", 6, 2 * SECOND_US, false, true);
	(void)susp_server_seen(&suspects, "s1", 500, 8 * SECOND_US);
	cr_expect(susp_server_ended(&suspects, "s2", 8 * SECOND_US));
	cr_expect_eq(susp_judge(&suspects, TASK, 8 * SECOND_US), SUSP_ISOLATE);
	lose(&suspects, TASK, "s1", 5, SECOND_US, true, true);
	lose(&suspects, TASK, "s2", 6, 2 * SECOND_US, true, true);
	cr_expect_eq(susp_judge(&suspects, TASK, 8 * SECOND_US), SUSP_GUILTY);
	susp_release(&suspects);
}
