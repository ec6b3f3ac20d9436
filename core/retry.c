/*
 * Token buckets for retries and hedges.
 */

#include "core/retry.h"

#define RTRY_RETRIES_PER_START 0.2
#define RTRY_RETRIES_PER_SECOND 10.0
#define RTRY_RETRIES_MAX 200.0
#define RTRY_HEDGES_PER_START 0.05
#define RTRY_HEDGES_PER_SECOND 1.0
#define RTRY_HEDGES_MAX 20.0

static double
rtry_min(double a, double b)
{
	return a < b ? a : b;
}

void
rtry_init_retries(struct rtry *rtry, uint64_t now_us)
{
	*rtry = (struct rtry){
		.tokens = RTRY_RETRIES_MAX / 2,
		.tokens_max = RTRY_RETRIES_MAX,
		.per_start = RTRY_RETRIES_PER_START,
		.per_second = RTRY_RETRIES_PER_SECOND,
		.filled_us = now_us,
	};
}

void
rtry_init_hedges(struct rtry *rtry, uint64_t now_us)
{
	*rtry = (struct rtry){
		.tokens = RTRY_HEDGES_MAX / 2,
		.tokens_max = RTRY_HEDGES_MAX,
		.per_start = RTRY_HEDGES_PER_START,
		.per_second = RTRY_HEDGES_PER_SECOND,
		.filled_us = now_us,
	};
}

void
rtry_started(struct rtry *rtry)
{
	rtry->tokens =
	    rtry_min(rtry->tokens + rtry->per_start, rtry->tokens_max);
}

bool
rtry_take(struct rtry *rtry, uint64_t now_us)
{
	double seconds = (double)(now_us - rtry->filled_us) / 1e6;

	rtry->filled_us = now_us;
	rtry->tokens = rtry_min(rtry->tokens + seconds * rtry->per_second,
	    rtry->tokens_max);
	if (rtry->tokens < 1.0)
		return false;
	rtry->tokens -= 1.0;
	return true;
}
