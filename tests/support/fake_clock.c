/*
 * Fake clock for tests. Its time changes only when a test sets it.
 */

#include "tests/support/fake_clock.h"

static uint64_t
fake_clock_now_us(struct clock *clock)
{
	return ((struct fake_clock *)clock)->us;
}

static uint64_t
fake_clock_wall_ms(struct clock *clock)
{
	return ((struct fake_clock *)clock)->us / 1000;
}

static const struct clock_ops fake_clock_ops = {
	.now_us = fake_clock_now_us,
	.wall_ms = fake_clock_wall_ms,
};

void
fake_clock_init(struct fake_clock *fake, uint64_t us)
{
	fake->clock.ops = &fake_clock_ops;
	fake->us = us;
}
