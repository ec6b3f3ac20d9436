#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Lease arithmetic for one backend server. Tasks on the server end at the
 * latest at a deadline on the server's own clock, which may run slow; the
 * holder estimates that clock from the server's replies. Times in "us" are of
 * this host's monotonic clock.
 */

/* Largest rate by which a server's clock may be slower than this host's. */
#define LEASE_CLOCK_SKEW_PERCENT 2

/** struct lease - estimate of a server's clock, and the end of its lease. */
struct lease {
	bool clock_known;
	uint64_t clock_ms;	    /* the server's clock in a reply */
	uint64_t clock_received_us; /* when that reply was received */
	uint64_t expires_us;	    /* no task runs after this; 0: never held */
	uint64_t deadline_ms;	    /* latest one for the server; 0: none */
};

/**
 * lease_update_clock() - record the server's clock from a reply.
 * @clock_ms: the clock in the reply, rounded down.
 * @sent_us: when the call of the reply was sent.
 * @received_us: when the reply was received.
 */
void lease_update_clock(struct lease *lease, uint64_t clock_ms,
    uint64_t sent_us, uint64_t received_us);

/**
 * lease_extend() - extend the lease to @duration_ms from now.
 *
 * The expiry is moved on the assumption that the server accepts the deadline.
 *
 * Return: the deadline to send, on the server's clock; 0 while that clock is
 * unknown. It is not earlier than any before, since a server does not shorten a
 * lease.
 */
uint64_t lease_extend(struct lease *lease, uint64_t now_us,
    uint32_t duration_ms);

/**
 * lease_assume() - another holder may have granted a lease.
 * @duration_ms: the longest one that the server grants.
 */
void lease_assume(struct lease *lease, uint64_t now_us, uint32_t duration_ms);

/** lease_remaining_ms() - how long tasks run at least if the lease is not
 * extended. */
uint32_t lease_remaining_ms(const struct lease *lease, uint64_t now_us);

/** lease_expired() - have all tasks started under the lease ended? */
bool lease_expired(const struct lease *lease, uint64_t now_us);

#endif /* CORE_LEASE_H */
