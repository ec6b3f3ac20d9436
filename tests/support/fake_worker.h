#ifndef TESTS_SUPPORT_FAKE_WORKER_H
#define TESTS_SUPPORT_FAKE_WORKER_H

#include "ports/clock.h"
#include "tests/support/worker_model.h"

/*
 * Implementation of the worker port on top of the worker model, in one process.
 * It injects faults: lost replies, orders that are executed with a delay, and
 * unreachable servers.
 */

struct event_base;
struct fake_worker;

/** struct fake_worker_faults - injected faults; "permille" of the calls. */
struct fake_worker_faults {
	uint32_t reply_lost_permille; /* executed, but the reply is lost */
	uint32_t delayed_permille;    /* no reply, executed after delay_ms */
	uint32_t delay_ms;
	uint32_t order_transit_ms; /* of all starts and stops; they reply */
	bool orders_only;	   /* no fault above affects holds */
	uint32_t hold_reply_lost_permille; /* holds whose reply is lost */
	uint32_t unreachable_mask;	   /* bit n: server n is unreachable */
	uint32_t refusing_mask;	 /* bit n: packets to server n are reset */
	uint32_t replaced_mask;	 /* bit n: another one has server n's address */
	bool crashed_are_silent; /* crashed servers don't refuse connections */
};

/** fake_worker_create() - the ids of the servers are "s0", "s1" and so on. */
struct worker *fake_worker_create(struct event_base *base, struct clock *clock,
    struct wm_cluster *cluster, uint64_t seed);

struct fake_worker_faults *fake_worker_faults(struct worker *worker);

void fake_worker_destroy(struct worker *worker);

#endif /* TESTS_SUPPORT_FAKE_WORKER_H */
