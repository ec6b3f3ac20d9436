/*
 * Placing tasks on backend servers, for loads near capacity.
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

Test(place, long_tasks_stay_off_slow_servers)
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
	    "in time there, and the fast one is kept for long tasks");
}

Test(place, nothing_starts_without_room_or_where_not_allowed)
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

Test(place, the_room_that_fits_best_is_used)
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

Test(place, too_late_everywhere_goes_where_it_ends_first)
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

Test(place, distance_from_the_data_counts)
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
