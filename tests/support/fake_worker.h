#ifndef TESTS_SUPPORT_FAKE_WORKER_H
#define TESTS_SUPPORT_FAKE_WORKER_H

#include "ports/clock.h"
#include "tests/support/worker_model.h"

/*
 * Implementation of the worker port on top of the worker model, in one process.
 * It injects faults: lost replies, orders that are executed with a delay, and
 * unreachable servers. A link is to the process that has the id of its address
 * (see wm_id()); another one at that address does nothing.
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
	/* No reply, executed after a random time from late_min_ms to
	 * late_max_ms, by any process that has the id then. */
	uint32_t late_permille; /* of starts and stops */
	uint32_t late_hold_permille;
	uint32_t late_min_ms;
	uint32_t late_max_ms;
	uint32_t requests_lost_mask; /* bit n: no call reaches server n */
	uint32_t replies_lost_mask;  /* bit n: no reply of server n arrives */
	uint32_t hold_reply_lost_permille; /* holds whose reply is lost */
	uint32_t unreachable_mask;	   /* bit n: server n is unreachable */
	uint32_t refusing_mask;	 /* bit n: packets to server n are reset */
	uint32_t replaced_mask;	 /* bit n: another one has server n's address */
	bool crashed_are_silent; /* crashed servers don't refuse connections */
	bool replies_overtake;	 /* replies that wait for a split host */
	bool starts_in_lists;	 /* only lists name the time of start */
};

/** fake_worker_create() - the ids of the servers are "s0", "s1" and so on. */
struct worker *fake_worker_create(struct event_base *base, struct clock *clock,
    struct wm_cluster *cluster, uint64_t seed);

/**
 * fake_worker_create_split() - the worker port of a host that may stand still.
 * @host: the event base of the host, on which replies are delivered and calls
 * time out. A reply that has arrived while it was not run precedes all timers.
 * @world: executes the calls; NULL: fake_worker_advance() is called instead.
 */
struct worker *fake_worker_create_split(struct event_base *world,
    struct event_base *host, struct clock *clock, struct wm_cluster *cluster,
    uint64_t seed);

/** fake_worker_silence() - no reply comes by the present connections; some of
 * the pending calls have not reached their server. */
void fake_worker_silence(struct worker *worker);

/** fake_worker_advance() - execute the calls that are due at @now_ms. */
void fake_worker_advance(struct worker *worker, uint64_t now_ms);

struct fake_worker_faults *fake_worker_faults(struct worker *worker);

void fake_worker_destroy(struct worker *worker);

#endif /* TESTS_SUPPORT_FAKE_WORKER_H */
