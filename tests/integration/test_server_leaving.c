/*
 * A backend server that is leaving receives no new task after 3 s, and its
 * running tasks are not interrupted.
 */
#include <criterion/criterion.h>
#include <string.h>

#include "support/cluster.h"
#include "support/load.h"
#include "support/standin.h"

#define LEAVING_TARGET_MS 3000
#define OBSERVATION_MS 2500 /* after LEAVING_TARGET_MS */

static struct clu clu;
static struct load *load;

static void
setup_with(bool tickets_only)
{
	struct load_options options = { .clu = &clu,
		.nclients = 9,
		.seed = 3,
		.tasks_max = 20,
		.task_ms_max = 60,
		.tickets_only = tickets_only };

	cr_assert_eq(clu_start(&clu, NULL), 0);
	load = load_start(&options);
	clu_sleep(1000);
}

static void
setup(void)
{
	setup_with(false);
}

/*
 * Clients use tickets only: while a host cannot reach the platform's table, the
 * outcome of a submission with an Idempotency-Key is unknown.
 */
static void
setup_tickets_only(void)
{
	setup_with(true);
}

static void
teardown(void)
{
	clu_stop(&clu);
}

/*
 * The suite has no init, because Criterion would run it in addition to the init
 * of a test.
 */
TestSuite(server_leaving, .fini = teardown, .timeout = 100);

static int
starts_between(const char *server, uint64_t from_ms, uint64_t to_ms)
{
	json_t *record, *start;
	uint64_t started_ms;
	size_t i;
	int n;

	n = 0;
	record = clu_start_records(&clu, "");
	json_array_foreach (record, i, start) {
		started_ms = (uint64_t)sti_int(start, "start_ms", 0);
		n += strcmp(sti_str(start, "server", ""), server) == 0 &&
		    started_ms > from_ms && started_ms <= to_ms;
	}
	json_decref(record);
	return n;
}

/*
 * Stops the load after the observation time and checks that s1 has started no
 * task later than LEAVING_TARGET_MS and that no task was interrupted.
 */
static void
expect_no_late_starts(uint64_t leaving_since_ms)
{
	struct load_report report;
	int late_starts;

	clu_sleep(LEAVING_TARGET_MS + OBSERVATION_MS);
	load_stop(load);
	late_starts = starts_between("s1", leaving_since_ms + LEAVING_TARGET_MS,
	    UINT64_MAX);
	cr_expect_eq(late_starts, 0, "%d late starts", late_starts);
	cr_expect_gt(starts_between("s1", 0, leaving_since_ms), 0);
	cr_expect_gt(starts_between("s4", leaving_since_ms, UINT64_MAX), 0);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0);
	cr_expect_eq(report.unknown + report.unanswered + report.task_failed, 0,
	    "%u unknown, %u unanswered, %u failed", report.unknown,
	    report.unanswered, report.task_failed);
}

Test(server_leaving, by_host_list, .init = setup)
{
	clu_publish_hosts(&clu, 1);
	expect_no_late_starts(sti_now_ms());
}

Test(server_leaving, by_label, .init = setup)
{
	cr_assert_eq(clu_change_config(&clu, 0, "leave",
			 "{\"op\": \"label\", \"kind\": \"server\", \"name\": "
			 "\"s1\", \"set\": {\"leaving\": \"\"}}",
			 -1, NULL),
	    200);
	expect_no_late_starts(sti_now_ms());
}

Test(server_leaving, by_refusals_without_platform, .init = setup_tickets_only)
{
	uint64_t announced_ms;

	clu_set_platform_mode(&clu, "\"mode\": \"refuse\"");
	announced_ms = clu_set_server_mode(&clu, 0, "\"mode\": \"leaving\"");
	/* A leaving server refuses tasks, and those do not count as starts. */
	clu_sleep(LEAVING_TARGET_MS);
	cr_expect_gt(starts_between("s1", 0, announced_ms), 0);
	/*
	 * The server accepts tasks again, so that a task that a host still
	 * sends, which must not happen, is recorded as a start.
	 */
	clu_set_server_mode(&clu, 0, "\"mode\": \"ok\"");
	expect_no_late_starts(announced_ms);
}

/*
 * The host of an isolated availability zone detects from the server's refusals
 * that the server is leaving.
 */
Test(server_leaving, by_refusals_in_isolated_az, .init = setup_tickets_only)
{
	struct load_report report;
	uint64_t announced_ms;

	clu_set_link_rule(&clu, "peer-h1", "\"mode\": \"refuse\"");
	clu_set_link_rule(&clu, "platform-h1", "\"mode\": \"refuse\"");
	announced_ms = clu_set_server_mode(&clu, 0, "\"mode\": \"leaving\"");
	clu_sleep(LEAVING_TARGET_MS);
	clu_set_server_mode(&clu, 0, "\"mode\": \"ok\"");
	clu_sleep(LEAVING_TARGET_MS);
	load_stop(load);
	cr_expect_gt(starts_between("s1", 0, announced_ms), 0);
	cr_expect_eq(
	    starts_between("s1", announced_ms + LEAVING_TARGET_MS, UINT64_MAX),
	    0);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0);
	cr_expect_eq(report.task_failed, 0);
}

/* The label is set at one host; another one cannot reach the platform. */
Test(server_leaving, by_label_with_one_host_without_platform,
    .init = setup_tickets_only)
{
	clu_set_link_rule(&clu, "platform-h3", "\"mode\": \"refuse\"");
	cr_assert_eq(clu_change_config(&clu, 0, "leave",
			 "{\"op\": \"label\", \"kind\": \"server\", \"name\": "
			 "\"s1\", \"set\": {\"leaving\": \"\"}}",
			 -1, NULL),
	    200);
	expect_no_late_starts(sti_now_ms());
}

Test(server_leaving, revoked_by_later_change, .init = setup)
{
	static const char set_leaving[] =
	    "{\"op\": \"label\", \"kind\": \"server\", \"name\": \"s1\", "
	    "\"set\": {\"leaving\": \"\"}}";
	static const char unset_leaving[] =
	    "{\"op\": \"label\", \"kind\": \"server\", \"name\": \"s1\", "
	    "\"unset\": [\"leaving\"]}";
	struct load_report report;
	uint64_t deadline, revoked_ms;

	cr_assert_eq(clu_change_config(&clu, 0, "leave", set_leaving, -1, NULL),
	    200);
	clu_sleep(LEAVING_TARGET_MS);
	cr_assert_eq(
	    clu_change_config(&clu, 1, "revoke", unset_leaving, -1, NULL), 200);
	revoked_ms = sti_now_ms();
	deadline = revoked_ms + CLU_WAIT_MS;
	while (starts_between("s1", revoked_ms, UINT64_MAX) == 0 &&
	    sti_now_ms() < deadline)
		clu_sleep(100);
	cr_expect_gt(starts_between("s1", revoked_ms, UINT64_MAX), 0);
	load_stop(load);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0);
}
