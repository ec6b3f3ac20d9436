#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Budget of second tries (and of hedges): a share of recent starts, so that
 * they can't multiply the load, and a few a second when there is little load.
 */

/** struct retry_budget - a budget. */
struct retry_budget {
	double tokens;
	double tokens_max;
	double per_start;
	double per_second;
	uint64_t refilled_us;
};

/** rtry_init_retries() - the budget of tasks that certainly did not start. */
void rtry_init_retries(struct retry_budget *budget, uint64_t now_us);

/** rtry_init_hedges() - the smaller budget of hedges. */
void rtry_init_hedges(struct retry_budget *budget, uint64_t now_us);

/** rtry_record_start() - a task was started for the first time. */
void rtry_record_start(struct retry_budget *budget);

/** rtry_take_token() - take one try; false if the budget is used up. */
bool rtry_take_token(struct retry_budget *budget, uint64_t now_us);

#endif /* CORE_RETRY_H */
