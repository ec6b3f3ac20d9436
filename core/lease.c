/*
 * Lease arithmetic. The server reads its clock after the call was sent. The
 * estimate adds the time since then, so it is too high by at most the
 * round-trip time. If the server's clock is slow, a lease lasts longer by this
 * host's clock; the expiry allows for that.
 */

#include "core/lease.h"

#define LEASE_US_PER_MS UINT64_C(1000)

void
lease_update_clock(struct lease *lease, uint64_t clock_ms, uint64_t sent_us)
{
	if (lease->clock_known && sent_us < lease->clock_sent_us)
		return;
	lease->clock_known = true;
	lease->clock_ms = clock_ms;
	lease->clock_sent_us = sent_us;
}

uint64_t
lease_extend(struct lease *lease, uint64_t now_us, uint32_t duration_ms)
{
	uint64_t duration_us = duration_ms * LEASE_US_PER_MS;
	uint64_t expires_us;

	expires_us =
	    now_us + duration_us + duration_us * LEASE_CLOCK_SKEW_PERCENT / 100;
	if (expires_us > lease->expires_us)
		lease->expires_us = expires_us;
	if (!lease->clock_known)
		return 0;
	return lease->clock_ms +
	    (now_us - lease->clock_sent_us) / LEASE_US_PER_MS + duration_ms;
}

bool
lease_expired(const struct lease *lease, uint64_t now_us)
{
	return now_us >= lease->expires_us;
}
