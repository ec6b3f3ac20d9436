/* A backend server that is leaving receives no new work after 3 s. */
#include <criterion/criterion.h>
#include <string.h>

#include "support/cluster.h"
#include "support/load.h"
#include "support/standin.h"

#define LEAVING_TARGET_MS 3000
#define WATCH_MS 2500 /* after the target */

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

/* Where a host can't reach the table, keys are rightly outcome-unknown. */
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

/* Criterion runs a suite's init beside a test's own: each names its own. */
TestSuite(leaving, .fini = teardown, .timeout = 100);

static int
starts_between(const char *server, uint64_t from_ms, uint64_t to_ms)
{
	json_t *record, *start;
	uint64_t at;
	size_t i;
	int n;

	n = 0;
	record = clu_start_records(&clu, "");
	json_array_foreach (record, i, start) {
		at = (uint64_t)sti_int(start, "start_ms", 0);
		n += strcmp(sti_str(start, "server", ""), server) == 0 &&
		    at > from_ms && at <= to_ms;
	}
	json_decref(record);
	return n;
}

/* Ends the load: no new work on s1 since the target, nothing interrupted. */
static void
expect_left(uint64_t told_ms)
{
	struct load_report report;
	int late;

	clu_sleep(LEAVING_TARGET_MS + WATCH_MS);
	load_stop(load);
	late = starts_between("s1", told_ms + LEAVING_TARGET_MS, UINT64_MAX);
	cr_expect_eq(late, 0, "%d late starts", late);
	cr_expect_gt(starts_between("s1", 0, told_ms), 0);
	cr_expect_gt(starts_between("s4", told_ms, UINT64_MAX), 0);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0);
	cr_expect_eq(report.unknown + report.unanswered + report.task_failed, 0,
	    "%u unknown, %u unanswered, %u failed", report.unknown,
	    report.unanswered, report.task_failed);
}

Test(leaving, by_the_platforms_list, .init = setup)
{
	clu_publish_hosts(&clu, 1);
	expect_left(sti_now_ms());
}

Test(leaving, by_label, .init = setup)
{
	cr_assert_eq(clu_change_config(&clu, 0, "leave",
			 "{\"op\": \"label\", \"kind\": \"server\", \"name\": "
			 "\"s1\", \"set\": {\"leaving\": \"\"}}",
			 -1, NULL),
	    200);
	expect_left(sti_now_ms());
}

Test(leaving, by_the_servers_own_word_with_the_table_down,
    .init = setup_tickets_only)
{
	uint64_t told;

	clu_set_platform_mode(&clu, "\"mode\": \"refuse\"");
	told = clu_set_server_mode(&clu, 0, "\"mode\": \"leaving\"");
	/* Refusals are not starts: count what still knocks. */
	clu_sleep(LEAVING_TARGET_MS);
	cr_expect_gt(starts_between("s1", 0, told), 0);
	/* From here on it would take work again, but nobody may send any. */
	clu_set_server_mode(&clu, 0, "\"mode\": \"ok\"");
	expect_left(told);
}

/* An availability zone that is cut off hears it from the server itself. */
Test(leaving, by_the_servers_own_word_with_a_zone_cut_off,
    .init = setup_tickets_only)
{
	struct load_report report;
	uint64_t told;

	clu_set_link_rule(&clu, "peer-h1", "\"mode\": \"refuse\"");
	clu_set_link_rule(&clu, "platform-h1", "\"mode\": \"refuse\"");
	told = clu_set_server_mode(&clu, 0, "\"mode\": \"leaving\"");
	clu_sleep(LEAVING_TARGET_MS);
	clu_set_server_mode(&clu, 0, "\"mode\": \"ok\"");
	clu_sleep(LEAVING_TARGET_MS);
	load_stop(load);
	cr_expect_gt(starts_between("s1", 0, told), 0);
	cr_expect_eq(starts_between("s1", told + LEAVING_TARGET_MS, UINT64_MAX),
	    0);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0);
	cr_expect_eq(report.task_failed, 0);
}

/* Told to one host while the platform is unreachable for another. */
Test(leaving, by_label_with_a_host_cut_off_from_the_platform,
    .init = setup_tickets_only)
{
	clu_set_link_rule(&clu, "platform-h3", "\"mode\": \"refuse\"");
	cr_assert_eq(clu_change_config(&clu, 0, "leave",
			 "{\"op\": \"label\", \"kind\": \"server\", \"name\": "
			 "\"s1\", \"set\": {\"leaving\": \"\"}}",
			 -1, NULL),
	    200);
	expect_left(sti_now_ms());
}

Test(leaving, revoked_by_a_higher_version, .init = setup)
{
	static const char set[] =
	    "{\"op\": \"label\", \"kind\": \"server\", \"name\": \"s1\", "
	    "\"set\": {\"leaving\": \"\"}}";
	static const char unset[] =
	    "{\"op\": \"label\", \"kind\": \"server\", \"name\": \"s1\", "
	    "\"unset\": [\"leaving\"]}";
	struct load_report report;
	uint64_t deadline, told;

	cr_assert_eq(clu_change_config(&clu, 0, "leave", set, -1, NULL), 200);
	clu_sleep(LEAVING_TARGET_MS);
	cr_assert_eq(clu_change_config(&clu, 1, "stay", unset, -1, NULL), 200);
	told = sti_now_ms();
	deadline = told + CLU_WAIT_MS;
	while (starts_between("s1", told, UINT64_MAX) == 0 &&
	    sti_now_ms() < deadline)
		clu_sleep(100);
	cr_expect_gt(starts_between("s1", told, UINT64_MAX), 0);
	load_stop(load);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0);
}
