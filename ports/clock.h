#ifndef PORTS_CLOCK_H
#define PORTS_CLOCK_H

#include <stddef.h>
#include <stdint.h>

/*
 * Interface to the clocks. Modules in core/ never read a clock: their caller
 * reads this one once per event and passes the value in.
 */

struct clock;

/** struct clock_ops - operations of a time source. */
struct clock_ops {
	/* Monotonic, in us, with the time in which the machine was suspended:
	 * other machines go on meanwhile. */
	uint64_t (*now_us)(struct clock *clock);
	/* Time since 1970 in ms, for audit records. */
	uint64_t (*wall_ms)(struct clock *clock);
};

struct clock {
	const struct clock_ops *ops;
};

/** clock_now_us() - monotonic time in microseconds, which proceeds while the
 * machine is suspended. */
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
