/*
 * Placement of tasks on backend servers, for loads near capacity.
 */

#include <criterion/criterion.h>

#include "core/place.h"

#define N(a) (sizeof(a) / sizeof((a)[0]))

static const struct place_task short_task = { .cpu = 27000,
	.work_ms = 60,
	.remaining_ms = 150,
	.far_permille = 1000,
	.typical_cpu = 27000 };
static const struct place_task long_task = { .cpu = 27000,
	.work_ms = 900,
	.remaining_ms = 1450,
	.far_permille = 1000,
	.typical_cpu = 27000 };

Test(place, long_tasks_avoid_slow_servers)
{
	const struct place_server servers[] = {
		{ .free_cpu = 64000,
		    .speed_permille = 550,
		    .data_local = true,
		    .eligible = true },
		{ .free_cpu = 64000,
		    .speed_permille = 1200,
		    .data_local = true,
		    .eligible = true },
	};

	cr_expect_eq(place_choose(servers, N(servers), &long_task), 1);
	cr_expect_eq(place_choose(servers, N(servers), &short_task), 0,
	    "the slow server meets the deadline; the fast one stays free");
}

Test(place, servers_without_capacity_or_not_eligible_are_skipped)
{
	const struct place_server servers[] = {
		{ .free_cpu = 26999,
		    .speed_permille = 1000,
		    .data_local = true,
		    .eligible = true },
		{ .free_cpu = 64000,
		    .speed_permille = 1000,
		    .data_local = true },
	};

	cr_expect_eq(place_choose(servers, N(servers), &short_task), -1);
}

Test(place, least_unusable_cpu_is_chosen)
{
	const struct place_server servers[] = {
		{ .free_cpu = 47000,
		    .speed_permille = 1000,
		    .data_local = true,
		    .eligible = true },
		{ .free_cpu = 28000,
		    .speed_permille = 1000,
		    .data_local = true,
		    .eligible = true },
	};

	cr_expect_eq(place_choose(servers, N(servers), &short_task), 1);
}

Test(place, late_task_is_placed_where_it_ends_first)
{
	const struct place_task late = { .cpu = 1,
		.work_ms = 900,
		.remaining_ms = 10 };
	const struct place_server servers[] = {
		{ .free_cpu = 64000,
		    .speed_permille = 550,
		    .data_local = true,
		    .eligible = true },
		{ .free_cpu = 64000,
		    .speed_permille = 1200,
		    .data_local = true,
		    .eligible = true },
	};

	cr_expect_eq(place_choose(servers, N(servers), &late), 1);
}

Test(place, data_locality_is_considered)
{
	struct place_task task = short_task;
	const struct place_server servers[] = {
		{ .free_cpu = 64000, .speed_permille = 1000, .eligible = true },
		{ .free_cpu = 64000,
		    .speed_permille = 1000,
		    .data_local = true,
		    .eligible = true },
	};

	task.far_permille = 2000;
	task.remaining_ms = 100;
	cr_expect_eq(place_choose(servers, N(servers), &task), 1);
}
