#ifndef TESTS_SUPPORT_SCHEDULER_RIG_H
#define TESTS_SUPPORT_SCHEDULER_RIG_H

#include "entry/jobs/scheduler.h"
#include "tests/support/fake_worker.h"

/*
 * A holder of four model servers, two on each of the racks r0 and r1, with an
 * event loop of its own.
 */

#define HRIG_SERVERS 4
#define HRIG_CPU 64000 /* of each server */

/** struct holder_rig - in a test's own rig. */
struct holder_rig {
	struct event_base *base;
	struct wm_world world;
	struct worker *worker;
	struct advisor *advisor; /* NULL: none */
	struct holder *holder;
	uint32_t fenced; /* times */
};

/** hrig_init() - a holder that holds with token 10. */
void hrig_init(struct holder_rig *rig, uint64_t seed, struct advisor *advisor);

void hrig_release(struct holder_rig *rig);

/** hrig_holder() - another holder of the same servers. */
struct holder *hrig_holder(struct holder_rig *rig, uint64_t token);

/** hrig_run() - let time pass. */
void hrig_run(struct holder_rig *rig, uint32_t ms);

#endif /* TESTS_SUPPORT_SCHEDULER_RIG_H */
