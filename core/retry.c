/*
 * Token buckets for retries and hedges.
 */

#include "core/retry.h"

#define RTRY_RETRIES_PER_START 0.2
#define RTRY_RETRIES_PER_SECOND 10.0
#define RTRY_RETRY_TOKENS_MAX 200.0
#define RTRY_HEDGES_PER_START 0.05
#define RTRY_HEDGES_PER_SECOND 1.0
#define RTRY_HEDGE_TOKENS_MAX 20.0

static double
rtry_min(double a, double b)
{
	return a < b ? a : b;
}

void
rtry_init_retries(struct retry_budget *budget, uint64_t now_us)
{
	*budget = (struct retry_budget){
		.tokens = RTRY_RETRY_TOKENS_MAX / 2,
		.tokens_max = RTRY_RETRY_TOKENS_MAX,
		.per_start = RTRY_RETRIES_PER_START,
		.per_second = RTRY_RETRIES_PER_SECOND,
		.refilled_us = now_us,
	};
}

void
rtry_init_hedges(struct retry_budget *budget, uint64_t now_us)
{
	*budget = (struct retry_budget){
		.tokens = RTRY_HEDGE_TOKENS_MAX / 2,
		.tokens_max = RTRY_HEDGE_TOKENS_MAX,
		.per_start = RTRY_HEDGES_PER_START,
		.per_second = RTRY_HEDGES_PER_SECOND,
		.refilled_us = now_us,
	};
}

void
rtry_record_start(struct retry_budget *budget)
{
	budget->tokens =
	    rtry_min(budget->tokens + budget->per_start, budget->tokens_max);
}

bool
rtry_take_token(struct retry_budget *budget, uint64_t now_us)
{
	double seconds = (double)(now_us - budget->refilled_us) / 1e6;

	budget->refilled_us = now_us;
	budget->tokens = rtry_min(budget->tokens + seconds * budget->per_second,
	    budget->tokens_max);
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
