/*
 * Implements ports/clock.h by clock_gettime(2).
 */

#include <time.h>

#include "adapters/clock_real.h"

#define US_PER_S 1000000ULL
#define NS_PER_US 1000
#define MS_PER_S 1000ULL
#define NS_PER_MS 1000000

static uint64_t
clock_real_read_us(clockid_t id)
{
	struct timespec ts;

	(void)clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * US_PER_S +
	    (uint64_t)(ts.tv_nsec / NS_PER_US);
}

static uint64_t
clock_real_now_us(struct clock *clock)
{
	(void)clock;
	return clock_real_read_us(CLOCK_BOOTTIME);
}

static uint64_t
clock_real_wall_ms(struct clock *clock)
{
	struct timespec ts;

	(void)clock;
	(void)clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	    (uint64_t)(ts.tv_nsec / NS_PER_MS);
}

static const struct clock_ops clock_real_ops = {
	.now_us = clock_real_now_us,
	.wall_ms = clock_real_wall_ms,
};

struct clock *
clock_real(void)
{
	static struct clock clock = { .ops = &clock_real_ops };

	return &clock;
}
