#ifndef TESTS_SUPPORT_FAKE_WORKER_H
#define TESTS_SUPPORT_FAKE_WORKER_H

#include "ports/clock.h"
#include "tests/support/worker_model.h"

/*
 * The worker port over the model, in one process, with faults: answers that
 * are lost, and orders that are carried out seconds later.
 */

struct event_base;
struct fake_worker;

/** struct fake_worker_faults - shares in thousandths. */
struct fake_worker_faults {
	uint32_t answer_lost_permille; /* done, but the answer is lost */
	uint32_t delayed_permille;     /* no answer, done delay_ms later */
	uint32_t delay_ms;
	bool orders_only;		    /* these do not concern holds */
	uint32_t hold_answer_lost_permille; /* answers of holds alone */
	uint32_t unreachable_mask; /* bit n: nothing reaches server n */
};

/** fake_worker_create() - server ids are "s0", "s1" and so on. */
struct worker *fake_worker_create(struct event_base *base, struct clock *clock,
    struct wm_cluster *cluster, uint64_t seed);

struct fake_worker_faults *fake_worker_faults(struct worker *worker);

void fake_worker_destroy(struct worker *worker);

#endif /* TESTS_SUPPORT_FAKE_WORKER_H */
