/*
 * Order of waiting submissions: compares ord_fair with the naive version, and
 * checks that no submission starves and that a flood of submissions of one job
 * does not delay another job.
 */

#include <criterion/criterion.h>
#include <math.h>
#include <stdlib.h>

#include "core/order.h"
#include "naive/naive_order.h"

#define NITEMS 60
#define NFLOWS 6

struct fixture {
	struct order order;
	struct ord_flow flows[NFLOWS];
	struct ord_item items[NITEMS];
	struct ord_item *all[NITEMS];
	uint64_t now_us;
	uint64_t seq;
};

static void
fixture_init(struct fixture *b, const struct ord_ops *ops)
{
	size_t i;

	*b = (struct fixture){ .now_us = 1 };
	ord_init(&b->order, ops);
	b->order.slack_us = 50000;
	for (i = 0; i < NITEMS; i++)
		b->all[i] = &b->items[i];
}

static void
add(struct fixture *b, struct ord_item *item, int flow, double work_us)
{
	*item = (struct ord_item){ .flow = &b->flows[flow],
		.arrived_us = b->now_us,
		.seq = b->seq++,
		.work_us = work_us };
	ord_add(&b->order, item);
}

/* Starts a task of the next item and removes the item when it has no work
 * left. */
static struct ord_item *
start(struct fixture *b, double work_us)
{
	struct ord_item *item = ord_next(&b->order, b->now_us);

	if (item == NULL)
		return NULL;
	ord_task_started(&b->order, item, work_us, b->now_us);
	if (item->work_us < 1)
		ord_remove(&b->order, item);
	return item;
}

static void
random_step(struct fixture *b)
{
	struct ord_item *item = &b->items[rand() % NITEMS];
	int flow = rand() % NFLOWS;

	b->now_us += (uint64_t)(rand() % 100000);
	switch (rand() % 8) {
	case 0:
		ord_set_blocked(&b->order, &b->flows[flow], rand() % 2);
		break;
	case 1:
		if (item->queued)
			ord_remove(&b->order, item);
		break;
	case 2:
		if (item->queued)
			ord_add_work(&b->order, item,
			    1000.0 * (1 + rand() % 9));
		break;
	case 3:
	case 4:
		if (!item->queued)
			add(b, item, flow, 1000.0 * (1 + rand() % 50));
		break;
	default:
		start(b, 1000.0 * (1 + rand() % 9));
	}
}

Test(order, fair_matches_naive_implementation)
{
	struct ord_item *expect;
	struct fixture b;
	unsigned seed;
	int i;

	for (seed = 1; seed <= 5; seed++) {
		srand(seed);
		fixture_init(&b, &ord_fair);
		for (i = 0; i < 20000; i++) {
			random_step(&b);
			expect =
			    naive_order_next(&b.order, b.all, NITEMS, b.now_us);
			cr_assert_eq(ord_next(&b.order, b.now_us), expect,
			    "seed %u step %d", seed, i);
			cr_assert_lt(fabs(naive_order_work(b.all, NITEMS) -
					 b.order.work_us),
			    1.0, "seed %u step %d", seed, i);
		}
	}
}

Test(order, fifo_serves_in_order_of_arrival)
{
	struct ord_item *item;
	uint64_t seq = 0;
	struct fixture b;
	int i;

	srand(3);
	fixture_init(&b, &ord_fifo);
	for (i = 0; i < NITEMS; i++)
		add(&b, &b.items[i], rand() % NFLOWS,
		    1000.0 * (1 + rand() % 5));
	while ((item = start(&b, 1000.0)) != NULL) {
		cr_assert_geq(item->seq, seq);
		seq = item->seq;
	}
	cr_assert_eq(b.order.nitems, 0);
}

Test(order, least_work_is_served_first)
{
	struct fixture b;

	fixture_init(&b, &ord_fair);
	add(&b, &b.items[0], 0, 9000);
	add(&b, &b.items[1], 1, 3000);
	cr_assert_eq(ord_next(&b.order, b.now_us), &b.items[1]);
	cr_assert_eq(ord_last(&b.order), &b.items[0]);
}

Test(order, flood_of_one_job_does_not_delay_another)
{
	int i, served = 0;
	struct fixture b;

	fixture_init(&b, &ord_fair);
	add(&b, &b.items[0], 1, 1e6);
	for (i = 1; i < NITEMS; i++)
		add(&b, &b.items[i], 0, 1000);
	for (i = 0; i < 1000; i++) {
		struct ord_item *item = start(&b, 1000);

		served += item == &b.items[0];
		if (item != &b.items[0])
			add(&b, item, 0, 1000);
	}
	cr_assert_geq(served, 400, "%d of 1000 starts were of the other job",
	    served);
}

Test(order, flow_rate_is_known_after_half_a_window)
{
	struct fixture b;
	int i;

	fixture_init(&b, &ord_fair);
	add(&b, &b.items[0], 0, 1e9);
	cr_assert_eq(ord_flow_rate(&b.flows[0], b.now_us), 0);
	for (i = 0; i < 3000; i++) {
		b.now_us += 1000;
		start(&b, 2500);
		if (i > 1000)
			cr_assert_float_eq(ord_flow_rate(&b.flows[0], b.now_us),
			    2.5, 0.1);
	}
}

Test(order, old_submission_of_busy_job_does_not_starve)
{
	struct ord_item *item;
	struct fixture b;
	int i;

	fixture_init(&b, &ord_fair);
	add(&b, &b.items[0], 0, 50000);
	for (i = 1; i < NITEMS; i++)
		add(&b, &b.items[i], 0, 1000);
	for (i = 0; i < 5000 && b.items[0].queued; i++) {
		b.now_us += 1000;
		item = start(&b, 1000);
		if (item != &b.items[0])
			add(&b, item, 0, 1000);
	}
	cr_assert_not(b.items[0].queued, "the oldest submission starved");
}
