#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Budget of retries and of hedges: a fraction of recent starts, so that they
 * can't multiply the load, plus a few per second for times of low load.
 */

/** struct retry_budget - a token bucket; each retry or hedge takes a token. */
struct retry_budget {
	double tokens;
	double tokens_max;
	double per_start;
	double per_second;
	uint64_t refilled_us;
};

/** rtry_init_retries() - budget for retries of tasks that have not started. */
void rtry_init_retries(struct retry_budget *budget, uint64_t now_us);

/** rtry_init_hedges() - the smaller budget for hedges. */
void rtry_init_hedges(struct retry_budget *budget, uint64_t now_us);

/** rtry_record_start() - account for the first start of a task. */
void rtry_record_start(struct retry_budget *budget);

/** rtry_take_token() - take a token; false if the budget is exhausted. */
bool rtry_take_token(struct retry_budget *budget, uint64_t now_us);

#endif /* CORE_RETRY_H */
