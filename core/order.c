/*
 * Order of waiting submissions. See docs/design/dispatch.md.
 *
 * ord_fair is start-time fair queueing between flows: the flow with the least
 * start tag (work started so far, in virtual time) is served first. A flow that
 * becomes active gets at least the current virtual time as its tag, so that it
 * has no credit for the time it was idle. ord_fifo is the naive policy.
 *
 * Invariant: order.flows holds exactly the flows that have items and are not
 * blocked (ord_fair only).
 */

#include <math.h>
#include <stddef.h>

#include "core/order.h"

#define ORD_SCANNED_FLOWS_MAX 32   /* flows examined for one choice */
#define ORD_RATE_WINDOW_US 1000000 /* time constant of ord_flow.served_us */
#define ORD_AGED_START_INTERVAL 8  /* every 8th start is chosen by age */
#define ORD_AGED_AFTER_US 2000000  /* minimum waiting time for such a start */

static int
ord_item_cmp(const struct ord_item *a, const struct ord_item *b)
{
	if (a->work_us != b->work_us)
		return a->work_us < b->work_us ? -1 : 1;
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

static int
ord_flow_cmp(const struct ord_flow *a, const struct ord_flow *b)
{
	if (a->start_tag != b->start_tag)
		return a->start_tag < b->start_tag ? -1 : 1;
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

RB_GENERATE_STATIC(ord_tree, ord_item, tree, ord_item_cmp)
RB_GENERATE_STATIC(ord_flows, ord_flow, entry, ord_flow_cmp)

void
ord_init(struct order *order, const struct ord_ops *ops)
{
	*order = (struct order){ .ops = ops };
	RB_INIT(&order->flows);
	TAILQ_INIT(&order->fifo);
}

static void
ord_flow_start_backlog(struct ord_flow *flow, uint64_t now_us)
{
	if (now_us < flow->served_updated_us)
		now_us = flow->served_updated_us;
	flow->backlog_since_us = now_us;
	flow->served_updated_us = now_us;
	flow->served_us = 0;
}

void
ord_add(struct order *order, struct ord_item *item)
{
	struct ord_flow *flow = item->flow;

	if (!flow->initialized) {
		flow->initialized = true;
		flow->seq = order->next_flow_seq++;
		RB_INIT(&flow->tree);
		TAILQ_INIT(&flow->arrivals);
	}
	item->queued = true;
	order->nitems++;
	if (flow->nitems++ == 0) {
		order->nflows++;
		ord_flow_start_backlog(flow, item->arrived_us);
	}
	order->work_us += item->work_us;
	flow->work_us += item->work_us;
	order->ops->add(order, item);
}

void
ord_remove(struct order *order, struct ord_item *item)
{
	struct ord_flow *flow = item->flow;

	order->ops->remove(order, item);
	item->queued = false;
	order->nitems--;
	order->nflows -= --flow->nitems == 0;
	order->work_us -= item->work_us;
	flow->work_us -= item->work_us;
	/* Discard accumulated rounding errors. */
	if (flow->nitems == 0)
		flow->work_us = 0;
	if (order->nitems == 0)
		order->work_us = 0;
}

struct ord_item *
ord_next(struct order *order, uint64_t now_us)
{
	return order->ops->next(order, now_us);
}

struct ord_item *
ord_last(struct order *order)
{
	return order->ops->last(order);
}

static double
ord_decay_factor(uint64_t from_us, uint64_t to_us)
{
	if (to_us <= from_us)
		return 1.0;
	return exp(-(double)(to_us - from_us) / ORD_RATE_WINDOW_US);
}

double
ord_flow_rate(const struct ord_flow *flow, uint64_t now_us)
{
	if (flow->nitems == 0 ||
	    now_us < flow->backlog_since_us + ORD_RATE_WINDOW_US / 2)
		return 0;
	return flow->served_us *
	    ord_decay_factor(flow->served_updated_us, now_us) /
	    (ORD_RATE_WINDOW_US *
		(1.0 - ord_decay_factor(flow->backlog_since_us, now_us)));
}

void
ord_task_started(struct order *order, struct ord_item *item, double work_us,
    uint64_t now_us)
{
	struct ord_flow *flow = item->flow;

	flow->served_us *= ord_decay_factor(flow->served_updated_us, now_us);
	flow->served_us += work_us;
	if (now_us > flow->served_updated_us)
		flow->served_updated_us = now_us;
	if (work_us > item->work_us)
		work_us = item->work_us;
	order->work_us -= work_us;
	flow->work_us -= work_us;
	order->ops->task_started(order, item, work_us);
}

void
ord_add_work(struct order *order, struct ord_item *item, double work_us)
{
	if (item->queued)
		ord_remove(order, item);
	item->work_us += work_us;
	ord_add(order, item);
}

void
ord_set_blocked(struct order *order, struct ord_flow *flow, bool blocked)
{
	if (flow->blocked == blocked)
		return;
	order->ops->set_blocked(order, flow, blocked);
	flow->blocked = blocked;
}

/* First come, first served. */

static void
ord_fifo_add(struct order *order, struct ord_item *item)
{
	struct ord_item *other;

	TAILQ_FOREACH_REVERSE (other, &order->fifo, ord_items, fifo) {
		if (other->seq < item->seq) {
			TAILQ_INSERT_AFTER(&order->fifo, other, item, fifo);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&order->fifo, item, fifo);
}

static void
ord_fifo_remove(struct order *order, struct ord_item *item)
{
	TAILQ_REMOVE(&order->fifo, item, fifo);
}

static struct ord_item *
ord_fifo_next(struct order *order, uint64_t now_us)
{
	struct ord_item *item;

	(void)now_us;
	TAILQ_FOREACH (item, &order->fifo, fifo) {
		if (!item->flow->blocked)
			return item;
	}
	return NULL;
}

static struct ord_item *
ord_fifo_last(struct order *order)
{
	struct ord_item *item;

	TAILQ_FOREACH_REVERSE (item, &order->fifo, ord_items, fifo) {
		if (!item->flow->blocked)
			return item;
	}
	return NULL;
}

static void
ord_fifo_task_started(struct order *order, struct ord_item *item,
    double work_us)
{
	(void)order;
	item->work_us -= work_us;
}

static void
ord_fifo_set_blocked(struct order *order, struct ord_flow *flow, bool blocked)
{
	(void)order;
	(void)flow;
	(void)blocked;
}

const struct ord_ops ord_fifo = {
	.name = "fifo",
	.add = ord_fifo_add,
	.remove = ord_fifo_remove,
	.next = ord_fifo_next,
	.last = ord_fifo_last,
	.task_started = ord_fifo_task_started,
	.set_blocked = ord_fifo_set_blocked,
};

/* Fair queueing; least work first among flows within the slack. */

static bool
ord_flow_exceeds_slack(const struct order *order, const struct ord_flow *flow)
{
	return flow->start_tag > order->virtual_time + order->slack_us;
}

static void
ord_flow_activate(struct order *order, struct ord_flow *flow)
{
	if (flow->active || flow->blocked || RB_EMPTY(&flow->tree))
		return;
	if (flow->start_tag < order->virtual_time)
		flow->start_tag = order->virtual_time;
	flow->active = true;
	RB_INSERT(ord_flows, &order->flows, flow);
}

static void
ord_flow_deactivate(struct order *order, struct ord_flow *flow)
{
	if (!flow->active)
		return;
	RB_REMOVE(ord_flows, &order->flows, flow);
	flow->active = false;
}

static void
ord_fair_add(struct order *order, struct ord_item *item)
{
	struct ord_flow *flow = item->flow;
	struct ord_item *other;

	RB_INSERT(ord_tree, &flow->tree, item);
	TAILQ_FOREACH_REVERSE (other, &flow->arrivals, ord_items, arrival) {
		if (other->seq < item->seq)
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_AFTER(&flow->arrivals, other, item, arrival);
	else
		TAILQ_INSERT_HEAD(&flow->arrivals, item, arrival);
	ord_flow_activate(order, flow);
}

static void
ord_fair_remove(struct order *order, struct ord_item *item)
{
	struct ord_flow *flow = item->flow;

	RB_REMOVE(ord_tree, &flow->tree, item);
	TAILQ_REMOVE(&flow->arrivals, item, arrival);
	if (RB_EMPTY(&flow->tree))
		ord_flow_deactivate(order, flow);
}

/* For one start in ORD_AGED_START_INTERVAL: the oldest item of the flow with
 * the least start tag, if it has waited for more than ORD_AGED_AFTER_US. */
static struct ord_item *
ord_fair_aged_item(struct order *order, uint64_t now_us)
{
	struct ord_flow *flow = RB_MIN(ord_flows, &order->flows);
	struct ord_item *oldest;

	if (flow == NULL || order->nstarts % ORD_AGED_START_INTERVAL != 0)
		return NULL;
	oldest = TAILQ_FIRST(&flow->arrivals);
	return now_us > oldest->arrived_us + ORD_AGED_AFTER_US ? oldest : NULL;
}

static struct ord_item *
ord_fair_next(struct order *order, uint64_t now_us)
{
	struct ord_item *best = ord_fair_aged_item(order, now_us), *item;
	struct ord_flow *flow;
	int n = 0;

	if (best != NULL)
		return best;
	RB_FOREACH (flow, ord_flows, &order->flows) {
		if (n++ == ORD_SCANNED_FLOWS_MAX ||
		    (best != NULL && ord_flow_exceeds_slack(order, flow)))
			break;
		item = RB_MIN(ord_tree, &flow->tree);
		if (best == NULL || ord_item_cmp(item, best) < 0)
			best = item;
	}
	return best;
}

static struct ord_item *
ord_fair_last(struct order *order)
{
	struct ord_item *last = NULL, *item;
	struct ord_flow *flow;
	int n = 0;

	RB_FOREACH_REVERSE(flow, ord_flows, &order->flows)
	{
		if (n++ == ORD_SCANNED_FLOWS_MAX)
			break;
		item = RB_MAX(ord_tree, &flow->tree);
		if (last == NULL || ord_item_cmp(item, last) > 0)
			last = item;
		if (ord_flow_exceeds_slack(order, flow))
			break;
	}
	return last;
}

static void
ord_fair_task_started(struct order *order, struct ord_item *item,
    double work_us)
{
	struct ord_flow *flow = item->flow;

	RB_REMOVE(ord_tree, &flow->tree, item);
	item->work_us -= work_us;
	RB_INSERT(ord_tree, &flow->tree, item);
	order->virtual_time = RB_MIN(ord_flows, &order->flows)->start_tag;
	ord_flow_deactivate(order, flow);
	flow->start_tag += work_us;
	order->nstarts++;
	ord_flow_activate(order, flow);
}

static void
ord_fair_set_blocked(struct order *order, struct ord_flow *flow, bool blocked)
{
	flow->blocked = blocked;
	if (blocked)
		ord_flow_deactivate(order, flow);
	else if (flow->initialized)
		ord_flow_activate(order, flow);
}

const struct ord_ops ord_fair = {
	.name = "fair",
	.add = ord_fair_add,
	.remove = ord_fair_remove,
	.next = ord_fair_next,
	.last = ord_fair_last,
	.task_started = ord_fair_task_started,
	.set_blocked = ord_fair_set_blocked,
};
