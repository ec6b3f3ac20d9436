/*
 * Queues whose tasks crash backend servers faster than these restart: when one
 * is confined, and when none is.
 */

#include <criterion/criterion.h>
#include <stdio.h>

#include "core/bulkhead.h"

#define MS UINT64_C(1000)

static void
crash(struct bulkhead *bulkhead, uint64_t at_ms, const char *a, const char *b)
{
	const char *queues[] = { a, b };

	bulk_add_crash(bulkhead, queues, b == NULL ? 1 : 2, at_ms * MS);
	(void)bulk_update(bulkhead, true, at_ms * MS);
}

Test(bulkhead, queue_with_tasks_on_all_crashed_servers_is_confined)
{
	struct bulkhead bulkhead = { 0 };
	uint64_t i;

	for (i = 1; i <= 4; i++)
		crash(&bulkhead, i * 100, "wax", i % 2 == 0 ? "log" : NULL);
	cr_expect_not(bulk_active(&bulkhead));
	crash(&bulkhead, 500, "wax", NULL);
	cr_expect(bulk_active(&bulkhead));
	cr_expect(bulk_confined(&bulkhead, "wax"));
	cr_expect_not(bulk_confined(&bulkhead, "log"));
	cr_expect_not(bulk_confined(&bulkhead, "unknown"));
}

Test(bulkhead, queue_is_released_when_crashes_have_stopped)
{
	struct bulkhead bulkhead = { 0 };
	uint64_t i;

	for (i = 1; i <= 20; i++)
		crash(&bulkhead, i * 100, "wax", NULL);
	cr_expect_not(bulk_update(&bulkhead, false, 6000 * MS));
	cr_expect(bulk_confined(&bulkhead, "wax"));
	cr_expect(bulk_update(&bulkhead, false, 8000 * MS));
	cr_expect_not(bulk_active(&bulkhead));
}

Test(bulkhead, servers_that_crash_together_confine_no_queue)
{
	struct bulkhead bulkhead = { 0 };
	uint64_t i;

	for (i = 0; i < 30; i++)
		crash(&bulkhead, 1000 + i, "wax", NULL);
	cr_expect_not(bulk_active(&bulkhead));
}

Test(bulkhead, crashes_that_two_queues_explain_confine_no_queue)
{
	struct bulkhead bulkhead = { 0 };
	uint64_t i;

	for (i = 1; i <= 12; i++)
		crash(&bulkhead, i * 100, "wax", "log");
	cr_expect_not(bulk_active(&bulkhead));
}

Test(bulkhead, crashes_without_a_common_queue_confine_no_queue)
{
	struct bulkhead bulkhead = { 0 };
	uint64_t i;

	for (i = 1; i <= 12; i++)
		crash(&bulkhead, i * 100, i % 3 == 0 ? "wax" : "log", NULL);
	cr_expect_not(bulk_active(&bulkhead));
}

Test(bulkhead, no_queue_is_confined_while_servers_are_plenty)
{
	const char *queue = "wax";
	struct bulkhead bulkhead = { 0 };
	uint64_t i;

	for (i = 1; i <= 12; i++) {
		bulk_add_crash(&bulkhead, &queue, 1, i * 100 * MS);
		(void)bulk_update(&bulkhead, false, i * 100 * MS);
	}
	cr_expect_not(bulk_active(&bulkhead));
	cr_expect(bulk_update(&bulkhead, true, 1300 * MS));
	cr_expect(bulk_active(&bulkhead));
}

Test(bulkhead, many_queues_are_bounded)
{
	struct bulkhead bulkhead = { 0 };
	char name[NAME_SIZE];
	uint64_t i;

	for (i = 1; i <= 100; i++) {
		(void)snprintf(name, sizeof(name), "queue-%d", (int)i);
		crash(&bulkhead, i * 100, name, NULL);
	}
	cr_expect_not(bulk_active(&bulkhead));
	cr_expect_leq(bulkhead.nqueues, BULK_QUEUES_MAX);
}
