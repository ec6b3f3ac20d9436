#ifndef TESTS_SUPPORT_SIM_TIME_H
#define TESTS_SUPPORT_SIM_TIME_H

#include <stdint.h>

/*
 * Simulated time for a test process whose event loops have timers only, or
 * sockets between its own objects. The functions clock_gettime() and
 * epoll_wait() of the C library are replaced: a wait for the next timer ends at
 * once, and all clocks are advanced instead. The outcome of a test then does
 * not depend on the load of the machine.
 */

/** sim_time_start() - replace the real clocks; they start at their present
 * values. */
void sim_time_start(void);

/** sim_time_start_at() - as sim_time_start(), but all clocks show @ms now, also
 * if they were replaced before. Waits of event loops then return at once and
 * the clocks proceed only by sim_time_advance(); there are no sockets. */
void sim_time_start_at(uint64_t ms);

/** sim_time_advance() - all clocks proceed by @ms, as if the process had not
 * been scheduled. */
void sim_time_advance(uint32_t ms);

/** sim_time_suspend() - the machine is suspended for @ms: CLOCK_MONOTONIC does
 * not proceed, the other clocks do. */
void sim_time_suspend(uint32_t ms);

/** sim_time_set_suspended() - from now on CLOCK_MONOTONIC is that of a machine
 * that has been suspended for @ms in all. */
void sim_time_set_suspended(uint64_t ms);

#endif /* TESTS_SUPPORT_SIM_TIME_H */
