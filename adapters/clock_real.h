#ifndef ADAPTERS_CLOCK_REAL_H
#define ADAPTERS_CLOCK_REAL_H

#include "ports/clock.h"

/** clock_real() - the clock of the operating system; static, never freed. */
struct clock *clock_real(void);

#endif /* ADAPTERS_CLOCK_REAL_H */
