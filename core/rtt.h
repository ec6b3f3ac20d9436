#ifndef CORE_RTT_H
#define CORE_RTT_H

#include <stdint.h>

/*
 * Estimate of the time in which a call is answered, and the time-out that
 * follows from it, after RFC 6298: smoothed mean plus four times the smoothed
 * deviation. A fixed time-out would be too short on a congested link, where
 * each call that is repeated adds to the congestion. HTTP responses belong to
 * one request, so the late response to a call that has timed out is a sample,
 * too.
 */

/** struct rtt - the estimate; initialise to zero. */
struct rtt {
	uint32_t smoothed_us; /* mean; 0: no sample */
	uint32_t deviation_us;
};

/** rtt_add() - add the time in which a call was answered. */
void rtt_add(struct rtt *rtt, uint64_t elapsed_us);

/**
 * rtt_timeout_ms() - time after which a call is considered lost.
 * @min_ms: also the result without a sample.
 */
uint32_t rtt_timeout_ms(const struct rtt *rtt, uint32_t min_ms,
    uint32_t max_ms);

#endif /* CORE_RTT_H */
