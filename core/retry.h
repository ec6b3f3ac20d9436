#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Budget of second tries (and of hedges): a share of recent starts, so that
 * they can't multiply the load, and a few a second when there is little load.
 */

/** struct rtry - a budget. */
struct rtry {
	double tokens;
	double tokens_max;
	double per_start;
	double per_second;
	uint64_t filled_us;
};

/** rtry_init_retries() - the budget of tasks that certainly did not start. */
void rtry_init_retries(struct rtry *rtry, uint64_t now_us);

/** rtry_init_hedges() - the smaller budget of hedges. */
void rtry_init_hedges(struct rtry *rtry, uint64_t now_us);

/** rtry_started() - a task was started for the first time. */
void rtry_started(struct rtry *rtry);

/** rtry_take() - take one try; false if the budget is used up. */
bool rtry_take(struct rtry *rtry, uint64_t now_us);

#endif /* CORE_RETRY_H */
