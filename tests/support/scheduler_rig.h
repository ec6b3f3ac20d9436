#ifndef TESTS_SUPPORT_SCHEDULER_RIG_H
#define TESTS_SUPPORT_SCHEDULER_RIG_H

#include "entry/jobs/scheduler.h"
#include "tests/support/fake_worker.h"

/*
 * A holder of four model servers, two on each of the racks r0 and r1, with an
 * event loop of its own.
 */

#define SRIG_SERVERS 4
#define SRIG_CPU 64000 /* of each server */

/** struct scheduler_rig - in a test's own rig. */
struct scheduler_rig {
	struct event_base *base;
	struct wm_cluster cluster;
	struct worker *worker;
	struct advisor *advisor; /* NULL: none */
	struct scheduler *sched;
	uint32_t fenced; /* times */
};

/** srig_init() - a holder that holds with token 10. */
void srig_init(struct scheduler_rig *rig, uint64_t seed,
    struct advisor *advisor);

void srig_release(struct scheduler_rig *rig);

/** srig_scheduler() - another holder of the same servers. */
struct scheduler *srig_scheduler(struct scheduler_rig *rig, uint64_t token);

/** srig_run() - let time pass. */
void srig_run(struct scheduler_rig *rig, uint32_t ms);

#endif /* TESTS_SUPPORT_SCHEDULER_RIG_H */
