#ifndef ADAPTERS_CLOCK_REAL_H
#define ADAPTERS_CLOCK_REAL_H

#include "ports/clock.h"

/** clock_real() - the machine's clock; one static object, never freed. */
struct clock *clock_real(void);

#endif /* ADAPTERS_CLOCK_REAL_H */
