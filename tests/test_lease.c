/*
 * Lease arithmetic on a server's clock.
 */

#include <criterion/criterion.h>

#include "core/lease.h"

Test(lease, no_deadline_while_clock_is_unknown)
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

Test(lease, older_replies_are_ignored)
{
	struct lease lease = { 0 };

	lease_update_clock(&lease, 500, 1000000);
	lease_update_clock(&lease, 100, 900000);
	cr_expect_eq(lease_extend(&lease, 1000000, 1000), 1500);
}

Test(lease, expiry_allows_for_slow_clock)
{
	struct lease lease = { 0 };

	(void)lease_extend(&lease, 0, 1000);
	cr_expect_not(lease_expired(&lease, 1019999));
	cr_expect(lease_expired(&lease, 1020000));
	/* A later call with a shorter duration does not shorten the lease. */
	(void)lease_extend(&lease, 10, 100);
	cr_expect_not(lease_expired(&lease, 1019999));
}
