/*
 * Lease arithmetic. A deadline is computed from a lower bound of the server's
 * clock, so that no run lasts longer than this host assumes: the server read
 * its clock at the latest when the reply was received, and since then that
 * clock may have been slow. With an upper bound, or an estimate from the time
 * at which the call was sent, the deadline would be late by the time that the
 * call waited and was in transit.
 */

#include "core/lease.h"

#define LEASE_US_PER_MS UINT64_C(1000)

/* Lower bound of the server's clock at @at_us. */
static uint64_t
lease_clock_ms(const struct lease *lease, uint64_t at_us)
{
	uint64_t elapsed_us;

	if (at_us <= lease->clock_received_us)
		return lease->clock_ms;
	elapsed_us = at_us - lease->clock_received_us;
	return lease->clock_ms +
	    elapsed_us * (100 - LEASE_CLOCK_SKEW_PERCENT) / 100 /
	    LEASE_US_PER_MS;
}

void
lease_update_clock(struct lease *lease, uint64_t clock_ms, uint64_t sent_us,
    uint64_t received_us)
{
	/* Of two lower bounds the higher one is better. But the clock of a
	 * server that was restarted is lower than it can have been when the
	 * call was sent. */
	if (lease->clock_known &&
	    clock_ms < lease_clock_ms(lease, received_us) &&
	    clock_ms >= lease_clock_ms(lease, sent_us))
		return;
	if (!lease->clock_known || clock_ms < lease_clock_ms(lease, sent_us))
		lease->deadline_ms = 0;
	lease->clock_known = true;
	lease->clock_ms = clock_ms;
	lease->clock_received_us = received_us;
}

void
lease_assume(struct lease *lease, uint64_t now_us, uint32_t duration_ms)
{
	/* The longest time in which a slow clock proceeds by the duration. */
	uint64_t expires_us = now_us +
	    duration_ms * LEASE_US_PER_MS * 100 /
		(100 - LEASE_CLOCK_SKEW_PERCENT) +
	    1;

	if (expires_us > lease->expires_us)
		lease->expires_us = expires_us;
}

uint64_t
lease_extend(struct lease *lease, uint64_t now_us, uint32_t duration_ms)
{
	uint64_t deadline_ms;

	lease_assume(lease, now_us, duration_ms);
	if (!lease->clock_known)
		return 0;
	deadline_ms = lease_clock_ms(lease, now_us) + duration_ms;
	if (deadline_ms > lease->deadline_ms)
		lease->deadline_ms = deadline_ms;
	return lease->deadline_ms;
}

uint32_t
lease_remaining_ms(const struct lease *lease, uint64_t now_us)
{
	uint64_t elapsed_ms;

	if (!lease->clock_known || now_us < lease->clock_received_us)
		return 0;
	/* The server read its clock up to one round trip before; its lease then
	 * is shorter by that time. */
	elapsed_ms = (now_us - lease->clock_received_us) / LEASE_US_PER_MS + 1;
	if (lease->clock_ms + elapsed_ms >= lease->deadline_ms)
		return 0;
	return (uint32_t)(lease->deadline_ms - lease->clock_ms - elapsed_ms);
}

bool
lease_expired(const struct lease *lease, uint64_t now_us)
{
	return now_us >= lease->expires_us;
}
