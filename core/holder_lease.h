#ifndef CORE_HOLDER_LEASE_H
#define CORE_HOLDER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The lease of a cell's holder on its role. A holder extends the leases of
 * servers only within this lease, so that a successor that can't reach a server
 * knows when the runs on it have ended. The lease is renewed by each
 * confirmation that no other host has taken over the cell.
 *
 * Times are of this host's monotonic clock, which counts suspensions.
 */

/** struct holder_lease - the lease of one take-over. */
struct holder_lease {
	uint32_t length_ms;
	uint64_t started_us;   /* time of the take-over */
	uint64_t confirmed_us; /* time of the last confirmation; 0: none */
	/* No lease that another holder has granted lasts longer. */
	uint64_t former_end_us;
};

/**
 * hlease_start() - start the lease of a holder that has just taken over.
 * @length_ms: how long a confirmation is valid; the same on all hosts.
 */
void hlease_start(struct holder_lease *lease, uint32_t length_ms,
    uint64_t now_us);

/**
 * hlease_confirm() - no other host had taken over at @confirmed_us.
 *
 * Confirmations of a time before the take-over are ignored, as they concern
 * the former holder. The first one, and the first after the lease has expired,
 * begins the lease. It ends that of any other holder, too: the hosts or the
 * store that have confirmed this one don't confirm that one again.
 *
 * Return: true if the lease begins.
 */
bool hlease_confirm(struct holder_lease *lease, uint64_t confirmed_us,
    uint64_t now_us);

/** hlease_span_us() - how long leases of servers last at most that a holder
 * with a lease of @length_ms has granted, from its last confirmation on. */
uint64_t hlease_span_us(uint32_t length_ms);

/** hlease_age_ms() - time since the last confirmation, or since the take-over.
 */
uint64_t hlease_age_ms(const struct holder_lease *lease, uint64_t now_us);

/** hlease_remaining_ms() - how long the lease lasts from now on; 0: it has
 * expired, or was never confirmed. */
uint32_t hlease_remaining_ms(const struct holder_lease *lease, uint64_t now_us);

#endif /* CORE_HOLDER_LEASE_H */
