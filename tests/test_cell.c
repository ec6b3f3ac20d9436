/*
 * Choice of the entry host that holds a cell.
 */

#include <criterion/criterion.h>

#include "core/cell.h"

#define N(a) (sizeof(a) / sizeof((a)[0]))

Test(cell, reachable_host_of_largest_weight_is_chosen)
{
	const struct cell_host hosts[] = {
		{ .name = "a", .weight = 190, .reachable = true },
		{ .name = "b", .weight = 620, .reachable = false },
		{ .name = "c", .weight = 250, .reachable = true },
	};

	cr_expect_eq(cell_choose_holder(hosts, N(hosts)), 2);
}

Test(cell, first_name_among_equal_weights_is_chosen)
{
	const struct cell_host hosts[] = {
		{ .name = "b", .weight = 250, .reachable = true },
		{ .name = "a", .weight = 250, .reachable = true },
	};

	cr_expect_eq(cell_choose_holder(hosts, N(hosts)), 1);
}

Test(cell, holder_with_highest_token_is_retained)
{
	const struct cell_host hosts[] = {
		{ .name = "a", .weight = 620, .reachable = true },
		{ .name = "b", .weight = 190, .token = 7, .reachable = true },
		{ .name = "c", .weight = 190, .token = 9, .reachable = true },
	};

	cr_expect_eq(cell_choose_holder(hosts, N(hosts)), 2);
}

Test(cell, leaving_or_unreachable_holder_is_replaced)
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
	cr_expect_eq(cell_choose_holder(hosts, 1), 0,
	    "no other host is reachable");
	cr_expect_eq(cell_choose_holder(&hosts[1], 1), -1);
}
