/*
 * Which host holds a cell.
 */

#include <criterion/criterion.h>

#include "core/cell.h"

#define N(a) (sizeof(a) / sizeof((a)[0]))

Test(cell, heaviest_reachable_host_takes_it)
{
	const struct cell_host hosts[] = {
		{ .name = "a", .weight = 190, .reachable = true },
		{ .name = "b", .weight = 620, .reachable = false },
		{ .name = "c", .weight = 250, .reachable = true },
	};

	cr_expect_eq(cell_choose_holder(hosts, N(hosts)), 2);
}

Test(cell, equal_hosts_agree_by_name)
{
	const struct cell_host hosts[] = {
		{ .name = "b", .weight = 250, .reachable = true },
		{ .name = "a", .weight = 250, .reachable = true },
	};

	cr_expect_eq(cell_choose_holder(hosts, N(hosts)), 1);
}

Test(cell, holder_keeps_it_and_the_highest_token_counts)
{
	const struct cell_host hosts[] = {
		{ .name = "a", .weight = 620, .reachable = true },
		{ .name = "b", .weight = 190, .token = 7, .reachable = true },
		{ .name = "c", .weight = 190, .token = 9, .reachable = true },
	};

	cr_expect_eq(cell_choose_holder(hosts, N(hosts)), 2);
}

Test(cell, leaving_or_unreachable_holder_gives_it_up)
{
	const struct cell_host hosts[] = {
		{ .name = "a",
		    .weight = 620,
		    .token = 9,
		    .reachable = true,
		    .leaving = true },
		{ .name = "b", .weight = 190, .token = 8, .reachable = false },
		{ .name = "c", .weight = 190, .reachable = true },
	};

	cr_expect_eq(cell_choose_holder(hosts, N(hosts)), 2);
	cr_expect_eq(cell_choose_holder(hosts, 1), 0, "there is no other");
	cr_expect_eq(cell_choose_holder(&hosts[1], 1), -1);
}
