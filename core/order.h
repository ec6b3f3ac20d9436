#ifndef CORE_ORDER_H
#define CORE_ORDER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <sys/tree.h>

/*
 * Which waiting submission gives the next task. An item is a submission with
 * tasks waiting; a flow holds the items of one job.
 */

struct ord_flow;
struct order;

/** struct ord_item - a waiting submission; embedded in its owner's struct. */
struct ord_item {
	struct ord_flow *flow;
	uint64_t arrived_us;
	uint64_t seq;	/* unique; order of arrival */
	double work_us; /* expected work of its waiting tasks */
	bool queued;
	TAILQ_ENTRY(ord_item) arrival; /* of its flow */
	TAILQ_ENTRY(ord_item) fifo;    /* of all flows */
	RB_ENTRY(ord_item) tree;
};

RB_HEAD(ord_tree, ord_item);
TAILQ_HEAD(ord_items, ord_item);

/**
 * struct ord_flow - the items of one job; embedded in its owner's struct,
 * zeroed at first. Only @blocked may be changed, by ord_set_blocked().
 */
struct ord_flow {
	double work_us; /* expected work of its waiting tasks */
	uint64_t nitems;
	double served_us;	    /* work started in this backlog, decaying */
	uint64_t served_updated_us; /* when that was last computed */
	uint64_t backlog_since_us;  /* since when there are items */
	double
	    start_tag; /* work started so far, on the order's virtual clock */
	uint64_t seq;
	bool blocked; /* has used up its quota */
	bool active;  /* in the order's tree: has items and is not blocked */
	bool initialized;
	struct ord_tree tree;
	struct ord_items arrivals;
	RB_ENTRY(ord_flow) entry;
};

/** struct ord_ops - an order between submissions. */
struct ord_ops {
	const char *name;
	void (*add)(struct order *order, struct ord_item *item);
	void (*remove)(struct order *order, struct ord_item *item);
	/* The item whose task is next, or NULL if all flows are blocked. */
	struct ord_item *(*next)(struct order *order, uint64_t now_us);
	/* The item that is furthest from its turn, or NULL. */
	struct ord_item *(*last)(struct order *order);
	/* A task of @item with the expected work @work_us was started. */
	void (*task_started)(struct order *order, struct ord_item *item,
	    double work_us);
	void (*set_blocked)(struct order *order, struct ord_flow *flow,
	    bool blocked);
};

RB_HEAD(ord_flows, ord_flow);

/** struct order - the submissions that wait for one set of servers. */
struct order {
	const struct ord_ops *ops;
	double work_us; /* expected work of all waiting tasks */
	uint64_t nitems;
	uint64_t nflows; /* with items */
	uint64_t nstarts;
	double slack_us; /* work that a flow may have had more than another */
	double virtual_time;	/* tag of the flow served last */
	uint64_t next_flow_seq; /* flows seen so far */
	struct ord_flows flows;
	struct ord_items fifo;
};

/** ord_fifo - naive: strictly first come, first served. */
extern const struct ord_ops ord_fifo;

/**
 * ord_fair - flows share the servers by expected work; within a flow the
 * submission with the least work left comes first, but one start in eight goes
 * to the oldest one if that has waited for long.
 */
extern const struct ord_ops ord_fair;

/** ord_init() - an empty order. */
void ord_init(struct order *order, const struct ord_ops *ops);

/** ord_add() - @item, which is not queued, has tasks waiting. */
void ord_add(struct order *order, struct ord_item *item);

/** ord_remove() - @item has no task waiting any more, or left. */
void ord_remove(struct order *order, struct ord_item *item);

/** ord_next() - the item whose task is next, or NULL. */
struct ord_item *ord_next(struct order *order, uint64_t now_us);

/**
 * ord_last() - the item that is furthest from its turn, or NULL.
 *
 * It may use a server that is too slow for those before it.
 */
struct ord_item *ord_last(struct order *order);

/** ord_task_started() - a task of a queued item was started; it stays queued.
 */
void ord_task_started(struct order *order, struct ord_item *item,
    double work_us, uint64_t now_us);

/**
 * ord_flow_rate() - work of a flow that is started in a unit of time, as seen
 * while it has had items; 0 if it has not had any for long enough.
 */
double ord_flow_rate(const struct ord_flow *flow, uint64_t now_us);

/** ord_add_work() - a queued or new item has one more task waiting. */
void ord_add_work(struct order *order, struct ord_item *item, double work_us);

/** ord_set_blocked() - a flow has used up its quota, or has room again. */
void ord_set_blocked(struct order *order, struct ord_flow *flow, bool blocked);

#endif /* CORE_ORDER_H */
