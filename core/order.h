#ifndef CORE_ORDER_H
#define CORE_ORDER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <sys/tree.h>

/*
 * Order of waiting submissions: selects the submission whose task is started
 * next. An item is a submission with waiting tasks; a flow is the set of items
 * of one job.
 */

struct ord_flow;
struct order;

/** struct ord_item - a waiting submission; embedded in its owner's struct. */
struct ord_item {
	struct ord_flow *flow;
	uint64_t arrived_us;
	uint64_t seq;	/* unique, in order of arrival */
	double work_us; /* expected work of the item's waiting tasks */
	bool queued;
	TAILQ_ENTRY(ord_item) arrival; /* in the flow's arrivals */
	TAILQ_ENTRY(ord_item) fifo;    /* in the order's fifo */
	RB_ENTRY(ord_item) tree;       /* in the flow's tree */
};

RB_HEAD(ord_tree, ord_item);
TAILQ_HEAD(ord_items, ord_item);

/**
 * struct ord_flow - the items of one job; embedded in its owner's struct and
 * zeroed before first use. Callers change only @blocked, through
 * ord_set_blocked().
 */
struct ord_flow {
	double work_us; /* expected work of all waiting tasks of the flow */
	uint64_t nitems;
	/* Work started since @backlog_since_us, decayed exponentially up to
	 * @served_updated_us. */
	double served_us;
	uint64_t served_updated_us;
	uint64_t backlog_since_us; /* when the flow last became non-empty */
	double start_tag;	   /* work started so far, in virtual time */
	uint64_t seq;		   /* unique, in order of first use */
	bool blocked;		   /* the flow has used up its quota */
	bool active; /* in order.flows: has items and is not blocked */
	bool initialized;
	struct ord_tree tree;	   /* by remaining work, then by arrival */
	struct ord_items arrivals; /* by arrival */
	RB_ENTRY(ord_flow) entry;  /* in order.flows */
};

/** struct ord_ops - a policy for the order of submissions. */
struct ord_ops {
	const char *name;
	void (*add)(struct order *order, struct ord_item *item);
	void (*remove)(struct order *order, struct ord_item *item);
	/* Returns the item to serve next, or NULL if all flows are blocked. */
	struct ord_item *(*next)(struct order *order, uint64_t now_us);
	/* Returns an item at the end of the order, or NULL. */
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
	uint64_t nflows; /* flows that have items */
	uint64_t nstarts;
	/* Flows whose start tags exceed @virtual_time by at most this much work
	 * are served least work first. */
	double slack_us;
	double virtual_time; /* start tag of the flow served last */
	uint64_t next_flow_seq;
	struct ord_flows flows; /* active flows, by start tag */
	struct ord_items fifo;
};

/** ord_fifo - strictly first come, first served; the naive policy. */
extern const struct ord_ops ord_fifo;

/**
 * ord_fair - fair queueing between flows, by expected work. Within a flow the
 * submission with the least remaining work is served first, but one start in
 * eight goes to the oldest submission of the flow that has had the least work,
 * if that submission has waited for more than two seconds.
 */
extern const struct ord_ops ord_fair;

/** ord_init() - initialize an empty order. */
void ord_init(struct order *order, const struct ord_ops *ops);

/** ord_add() - queue @item, which has waiting tasks and is not queued. */
void ord_add(struct order *order, struct ord_item *item);

/** ord_remove() - dequeue @item: no task of it waits, or it was cancelled. */
void ord_remove(struct order *order, struct ord_item *item);

/** ord_next() - the item whose task is to be started next, or NULL. */
struct ord_item *ord_next(struct order *order, uint64_t now_us);

/**
 * ord_last() - an item at the end of the order, or NULL.
 *
 * A task of this item may be started on a server that is too slow for the
 * items before it.
 */
struct ord_item *ord_last(struct order *order);

/**
 * ord_task_started() - account for the start of a task of a queued item.
 * @work_us: the task's expected work.
 *
 * The item stays queued.
 */
void ord_task_started(struct order *order, struct ord_item *item,
    double work_us, uint64_t now_us);

/**
 * ord_flow_rate() - work of a flow started per unit of time while it has had
 * items.
 *
 * Return: the rate, or 0 if the flow has not had items for at least half of
 * the averaging window.
 */
double ord_flow_rate(const struct ord_flow *flow, uint64_t now_us);

/**
 * ord_add_work() - one more task of @item waits; queue the item if needed.
 * @work_us: the task's expected work.
 */
void ord_add_work(struct order *order, struct ord_item *item, double work_us);

/** ord_set_blocked() - set whether a flow has used up its quota. */
void ord_set_blocked(struct order *order, struct ord_flow *flow, bool blocked);

#endif /* CORE_ORDER_H */
