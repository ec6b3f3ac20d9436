/*
 * Response times and time-outs of calls. See RFC 6298, section 2.
 */

#include "core/rtt.h"

#define RTT_SMOOTHED_WEIGHT 8  /* the weight of one sample is 1/8 */
#define RTT_DEVIATION_WEIGHT 4 /* the weight of one sample is 1/4 */
#define RTT_DEVIATIONS 4
#define RTT_SAMPLE_MAX_US UINT64_C(10000000)
#define RTT_US_PER_MS 1000

void
rtt_add(struct rtt *rtt, uint64_t elapsed_us)
{
	uint32_t sample_us, error_us;

	if (elapsed_us > RTT_SAMPLE_MAX_US)
		elapsed_us = RTT_SAMPLE_MAX_US;
	sample_us = (uint32_t)elapsed_us;
	if (rtt->smoothed_us == 0) {
		rtt->smoothed_us = sample_us == 0 ? 1 : sample_us;
		rtt->deviation_us = sample_us / 2;
		return;
	}
	error_us = sample_us > rtt->smoothed_us ? sample_us - rtt->smoothed_us
						: rtt->smoothed_us - sample_us;
	rtt->deviation_us =
	    (rtt->deviation_us * (RTT_DEVIATION_WEIGHT - 1) + error_us) /
	    RTT_DEVIATION_WEIGHT;
	rtt->smoothed_us =
	    (rtt->smoothed_us * (RTT_SMOOTHED_WEIGHT - 1) + sample_us) /
	    RTT_SMOOTHED_WEIGHT;
	if (rtt->smoothed_us == 0)
		rtt->smoothed_us = 1;
}

uint32_t
rtt_timeout_ms(const struct rtt *rtt, uint32_t min_ms, uint32_t max_ms)
{
	uint64_t us =
	    rtt->smoothed_us + (uint64_t)RTT_DEVIATIONS * rtt->deviation_us;
	uint64_t ms = (us + RTT_US_PER_MS - 1) / RTT_US_PER_MS;

	if (ms < min_ms)
		return min_ms;
	return ms > max_ms ? max_ms : (uint32_t)ms;
}
