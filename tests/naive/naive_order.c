/*
 * Reference implementation of ord_fair: scans all queued items.
 */

#include <stddef.h>

#include "naive/naive_order.h"

#define AGED_START_INTERVAL 8
#define AGED_AFTER_US 2000000

static bool
naive_is_eligible(const struct ord_item *item)
{
	return item->queued && !item->flow->blocked;
}

/*
 * Returns the flow with the smallest start tag that has an eligible item; among
 * equals, the one with the smallest sequence number.
 */
static struct ord_flow *
naive_least_flow(struct ord_item **items, size_t nitems)
{
	struct ord_flow *least = NULL, *flow;
	size_t i;

	for (i = 0; i < nitems; i++) {
		flow = items[i]->flow;
		if (!naive_is_eligible(items[i]))
			continue;
		if (least == NULL || flow->start_tag < least->start_tag ||
		    (flow->start_tag == least->start_tag &&
			flow->seq < least->seq))
			least = flow;
	}
	return least;
}

struct ord_item *
naive_order_next(const struct order *order, struct ord_item **items,
    size_t nitems, uint64_t now_us)
{
	struct ord_flow *least = naive_least_flow(items, nitems);
	struct ord_item *best = NULL, *oldest = NULL, *item;
	size_t i;

	for (i = 0; i < nitems; i++) {
		item = items[i];
		if (!naive_is_eligible(item))
			continue;
		if (item->flow == least &&
		    (oldest == NULL || item->seq < oldest->seq))
			oldest = item;
		if (item->flow != least &&
		    item->flow->start_tag >
			order->virtual_time + order->slack_us)
			continue;
		if (best == NULL || item->work_us < best->work_us ||
		    (item->work_us == best->work_us && item->seq < best->seq))
			best = item;
	}
	if (oldest != NULL && order->nstarts % AGED_START_INTERVAL == 0 &&
	    now_us > oldest->arrived_us + AGED_AFTER_US)
		return oldest;
	return best;
}

double
naive_order_work(struct ord_item **items, size_t nitems)
{
	double work_us = 0;
	size_t i;

	for (i = 0; i < nitems; i++) {
		if (items[i]->queued)
			work_us += items[i]->work_us;
	}
	return work_us;
}
