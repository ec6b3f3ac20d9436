/*
 * The lease of a cell's holder on its role.
 */

#include "core/holder_lease.h"
#include "core/lease.h"

#define HLEASE_US_PER_MS UINT64_C(1000)
/* For different rates of two hosts' clocks, and for rounding. */
#define HLEASE_MARGIN_MS 100

void
hlease_start(struct holder_lease *lease, uint32_t length_ms, uint64_t now_us)
{
	*lease = (struct holder_lease){
		.length_ms = length_ms,
		.started_us = now_us,
		.former_end_us = UINT64_MAX,
	};
}

uint64_t
hlease_span_us(uint32_t length_ms)
{
	/* A server's clock may be slow, as in lease_extend(). */
	return (length_ms * UINT64_C(100) / (100 - LEASE_CLOCK_SKEW_PERCENT) +
		   HLEASE_MARGIN_MS) *
	    HLEASE_US_PER_MS;
}

bool
hlease_confirm(struct holder_lease *lease, uint64_t confirmed_us,
    uint64_t now_us)
{
	bool begins = hlease_remaining_ms(lease, now_us) == 0;

	if (confirmed_us < lease->started_us ||
	    confirmed_us <= lease->confirmed_us ||
	    confirmed_us + lease->length_ms * HLEASE_US_PER_MS <= now_us)
		return false;
	lease->confirmed_us = confirmed_us;
	if (begins)
		lease->former_end_us =
		    now_us + hlease_span_us(lease->length_ms);
	return begins;
}

uint64_t
hlease_age_ms(const struct holder_lease *lease, uint64_t now_us)
{
	uint64_t since_us =
	    lease->confirmed_us != 0 ? lease->confirmed_us : lease->started_us;

	return now_us > since_us ? (now_us - since_us) / HLEASE_US_PER_MS : 0;
}

uint32_t
hlease_remaining_ms(const struct holder_lease *lease, uint64_t now_us)
{
	uint64_t age_ms = hlease_age_ms(lease, now_us);

	if (lease->confirmed_us == 0 || age_ms >= lease->length_ms)
		return 0;
	/* The age was rounded down. */
	return lease->length_ms - (uint32_t)age_ms - 1;
}
