#ifndef TESTS_SUPPORT_FAKE_CLOCK_H
#define TESTS_SUPPORT_FAKE_CLOCK_H

#include "ports/clock.h"

/** struct fake_clock - a clock whose time a test sets in @us. */
struct fake_clock {
	struct clock clock;
	uint64_t us;
};

/** fake_clock_init() - initialise a clock to @us microseconds. */
void fake_clock_init(struct fake_clock *fake, uint64_t us);

#endif /* TESTS_SUPPORT_FAKE_CLOCK_H */
