#ifndef PORTS_CLOCK_H
#define PORTS_CLOCK_H

#include <stdint.h>

/*
 * Time. The core never reads a clock: the owner reads this port once per
 * event and passes the value in.
 */

struct clock;

/** struct clock_ops - a source of time. */
struct clock_ops {
	uint64_t (*now_us)(struct clock *clock);  /* monotonic, microseconds */
	uint64_t (*wall_ms)(struct clock *clock); /* since 1970, for audit */
};

struct clock {
	const struct clock_ops *ops;
};

/** clock_now_us() - monotonic time in microseconds. */
static inline uint64_t
clock_now_us(struct clock *clock)
{
	return clock->ops->now_us(clock);
}

/** clock_wall_ms() - wall-clock time in milliseconds since 1970. */
static inline uint64_t
clock_wall_ms(struct clock *clock)
{
	return clock->ops->wall_ms(clock);
}

#endif /* PORTS_CLOCK_H */
