/*
 * Replaces functions of the C library. The definitions here take precedence
 * over the library's, also for the calls of other shared libraries. Before
 * sim_time_start() they make the system calls.
 */

#include <stdbool.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "tests/support/sim_time.h"

#define SIM_NS_PER_MS INT64_C(1000000)
#define SIM_NS_PER_S INT64_C(1000000000)

/* Of the thread that called sim_time_start(): the threads of the test library
 * need the real clocks. */
static _Thread_local bool sim_active;
static bool sim_stepped; /* by sim_time_advance() alone */
static int64_t sim_real_ns, sim_monotonic_ns, sim_boot_ns;
static int64_t sim_suspended_ns; /* that CLOCK_MONOTONIC did not count */

static int64_t
sim_read_clock(clockid_t id)
{
	struct timespec ts = { 0 };

	(void)syscall(SYS_clock_gettime, id, &ts);
	return ts.tv_sec * SIM_NS_PER_S + ts.tv_nsec;
}

void
sim_time_start(void)
{
	if (sim_active)
		return;
	sim_real_ns = sim_read_clock(CLOCK_REALTIME);
	sim_monotonic_ns = sim_read_clock(CLOCK_MONOTONIC);
	sim_boot_ns = sim_read_clock(CLOCK_BOOTTIME);
	sim_active = true;
}

void
sim_time_start_at(uint64_t ms)
{
	sim_real_ns = sim_monotonic_ns = sim_boot_ns =
	    (int64_t)ms * SIM_NS_PER_MS;
	sim_active = sim_stepped = true;
}

void
sim_time_suspend(uint32_t ms)
{
	sim_real_ns += ms * SIM_NS_PER_MS;
	sim_boot_ns += ms * SIM_NS_PER_MS;
}

void
sim_time_set_suspended(uint64_t ms)
{
	sim_suspended_ns = (int64_t)ms * SIM_NS_PER_MS;
}

void
sim_time_advance(uint32_t ms)
{
	sim_time_suspend(ms);
	sim_monotonic_ns += ms * SIM_NS_PER_MS;
}

int
clock_gettime(clockid_t id, struct timespec *ts)
{
	int64_t ns;

	if (!sim_active)
		return (int)syscall(SYS_clock_gettime, id, ts);
	switch (id) {
	case CLOCK_REALTIME:
	case CLOCK_REALTIME_COARSE:
		ns = sim_real_ns;
		break;
	case CLOCK_BOOTTIME:
		ns = sim_boot_ns;
		break;
	default:
		ns = sim_monotonic_ns - sim_suspended_ns;
		break;
	}
	ts->tv_sec = (time_t)(ns / SIM_NS_PER_S);
	ts->tv_nsec = (long)(ns % SIM_NS_PER_S);
	return 0;
}

int
epoll_wait(int epfd, struct epoll_event *events, int nevents, int timeout_ms)
{
	int n;

	if (!sim_active)
		return (int)syscall(SYS_epoll_pwait, epfd, events, nevents,
		    timeout_ms, NULL, 0);
	if (sim_stepped)
		return 0;
	n = (int)syscall(SYS_epoll_pwait, epfd, events, nevents, 0, NULL, 0);
	if (n == 0 && timeout_ms > 0)
		sim_time_advance((uint32_t)timeout_ms);
	return n;
}
