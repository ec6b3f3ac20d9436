#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Lease arithmetic for one backend server. What runs there lives until a
 * time on the server's own clock, which may run slow; the holder estimates
 * that clock from the last answer. Times in "us" are this host's monotonic
 * clock.
 */

#define LEASE_CLOCK_SKEW_PERCENT 2 /* a server's clock is that slow at most */

/** struct lease - what is known of a server's clock and lease. */
struct lease {
	bool clock_known;
	uint64_t clock_ms;	/* the server's clock in its last answer */
	uint64_t clock_sent_us; /* when the call for that answer was sent */
	uint64_t expires_us;	/* nothing runs on after this; 0: never held */
};

/** lease_update_clock() - an answer to a call sent at @sent_us said @clock_ms.
 */
void lease_update_clock(struct lease *lease, uint64_t clock_ms,
    uint64_t sent_us);

/**
 * lease_extend() - the deadline to send for a lease of @duration_ms from now.
 *
 * Return: the deadline on the server's clock, 0 while its clock is unknown.
 * The lease's expiry is moved as if the server will accept the deadline.
 */
uint64_t lease_extend(struct lease *lease, uint64_t now_us,
    uint32_t duration_ms);

/** lease_expired() - nothing that this host knows of can still be running. */
bool lease_expired(const struct lease *lease, uint64_t now_us);

#endif /* CORE_LEASE_H */
