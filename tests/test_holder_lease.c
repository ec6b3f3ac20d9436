/*
 * The lease of a cell's holder on its role.
 */

#include <criterion/criterion.h>

#include "core/holder_lease.h"
#include "core/lease.h"

#define LENGTH_MS 1500
#define SERVER_LEASE_MS 1000
#define STEP_US 7001

Test(holder_lease, no_lease_before_the_first_confirmation)
{
	struct holder_lease lease;

	hlease_start(&lease, LENGTH_MS, 5000000);
	cr_expect_eq(hlease_remaining_ms(&lease, 5000000), 0);
	cr_expect_eq(lease.former_end_us, UINT64_MAX);
	cr_expect_eq(hlease_age_ms(&lease, 5300000), 300);
}

Test(holder_lease, lease_ends_after_the_last_confirmation)
{
	struct holder_lease lease;

	hlease_start(&lease, LENGTH_MS, 5000000);
	cr_expect(hlease_confirm(&lease, 5100000, 5100000));
	cr_expect_not(hlease_confirm(&lease, 5400000, 5400000));
	cr_expect_eq(hlease_remaining_ms(&lease, 5400000), LENGTH_MS - 1);
	cr_expect_eq(hlease_remaining_ms(&lease, 6899000), 0);
	cr_expect_eq(hlease_remaining_ms(&lease, 9000000), 0);
}

/* A reply may be processed after a later one. */
Test(holder_lease, late_confirmation_does_not_shorten_the_lease)
{
	struct holder_lease lease;

	hlease_start(&lease, LENGTH_MS, 5000000);
	(void)hlease_confirm(&lease, 5400000, 5400000);
	(void)hlease_confirm(&lease, 5200000, 5500000);
	cr_expect_eq(hlease_age_ms(&lease, 5500000), 100);
}

Test(holder_lease, confirmation_from_before_the_take_over_is_ignored)
{
	struct holder_lease lease;

	hlease_start(&lease, LENGTH_MS, 5000000);
	cr_expect_not(hlease_confirm(&lease, 4999999, 5100000));
	cr_expect_eq(hlease_remaining_ms(&lease, 5000000), 0);
	cr_expect_eq(lease.former_end_us, UINT64_MAX);
}

/* Another host may have been the holder meanwhile. */
Test(holder_lease, lease_that_has_expired_begins_anew)
{
	struct holder_lease lease;
	uint64_t former_end_us;

	hlease_start(&lease, LENGTH_MS, 5000000);
	(void)hlease_confirm(&lease, 5100000, 5100000);
	former_end_us = lease.former_end_us;
	cr_expect(hlease_confirm(&lease, 8000000, 8000000));
	cr_expect_eq(lease.former_end_us, former_end_us + 2900000);
	cr_expect_eq(hlease_remaining_ms(&lease, 8000000), LENGTH_MS - 1);
}

/* The former holder is confirmed for the last time as its successor takes over.
 */
Test(holder_lease, former_holders_leases_end_before_the_successor_assumes_so)
{
	struct holder_lease former, successor;
	struct lease server = { 0 };
	uint64_t now_us, take_over_us = 5000000, end_us = 0;
	uint32_t ms;

	hlease_start(&former, LENGTH_MS, 1000000);
	(void)hlease_confirm(&former, take_over_us, take_over_us);
	hlease_start(&successor, LENGTH_MS, take_over_us);
	(void)hlease_confirm(&successor, take_over_us, take_over_us);
	lease_update_clock(&server, 777, take_over_us, take_over_us);
	for (now_us = take_over_us; now_us < take_over_us + 3000000;
	     now_us += STEP_US) {
		ms = hlease_remaining_ms(&former, now_us);
		if (ms > SERVER_LEASE_MS)
			ms = SERVER_LEASE_MS;
		if (ms > 0)
			(void)lease_extend(&server, now_us, ms);
	}
	end_us = server.expires_us;
	cr_expect_gt(end_us, take_over_us + LENGTH_MS * UINT64_C(1000));
	cr_expect_lt(end_us, successor.former_end_us);
}
