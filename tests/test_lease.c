/*
 * Lease arithmetic against a server's clock.
 */

#include <criterion/criterion.h>

#include "core/lease.h"

Test(lease, no_deadline_before_the_clock_is_known)
{
	struct lease lease = { 0 };

	cr_expect_eq(lease_extend(&lease, 1000000, 1000), 0);
}

Test(lease, deadline_is_on_the_servers_clock)
{
	struct lease lease = { 0 };

	lease_update_clock(&lease, 500, 1000000);
	cr_expect_eq(lease_extend(&lease, 1200000, 1000), 500 + 200 + 1000);
}

Test(lease, older_answers_do_not_set_the_clock_back)
{
	struct lease lease = { 0 };

	lease_update_clock(&lease, 500, 1000000);
	lease_update_clock(&lease, 100, 900000);
	cr_expect_eq(lease_extend(&lease, 1000000, 1000), 1500);
}

Test(lease, ends_later_by_the_skew_of_a_slow_clock)
{
	struct lease lease = { 0 };

	(void)lease_extend(&lease, 0, 1000);
	cr_expect_not(lease_expired(&lease, 1019999));
	cr_expect(lease_expired(&lease, 1020000));
	/* A later, shorter one does not shorten it. */
	(void)lease_extend(&lease, 10, 100);
	cr_expect_not(lease_expired(&lease, 1019999));
}
