/*
 * Order of waiting submissions: compares ord_fair with the naive
 * implementation, and checks that no submission starves and that a flood of
 * submissions of one job does not delay another job.
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
fixture_init(struct fixture *f, const struct ord_ops *ops)
{
	size_t i;

	*f = (struct fixture){ .now_us = 1 };
	ord_init(&f->order, ops);
	f->order.slack_us = 50000;
	for (i = 0; i < NITEMS; i++)
		f->all[i] = &f->items[i];
}

static void
add(struct fixture *f, struct ord_item *item, int flow, double work_us)
{
	*item = (struct ord_item){ .flow = &f->flows[flow],
		.arrived_us = f->now_us,
		.seq = f->seq++,
		.work_us = work_us };
	ord_add(&f->order, item);
}

/* Starts a task of the next item and removes the item when it has no work
 * left. */
static struct ord_item *
start(struct fixture *f, double work_us)
{
	struct ord_item *item = ord_next(&f->order, f->now_us);

	if (item == NULL)
		return NULL;
	ord_task_started(&f->order, item, work_us, f->now_us);
	if (item->work_us < 1)
		ord_remove(&f->order, item);
	return item;
}

static void
random_step(struct fixture *f)
{
	struct ord_item *item = &f->items[rand() % NITEMS];
	int flow = rand() % NFLOWS;

	f->now_us += (uint64_t)(rand() % 100000);
	switch (rand() % 8) {
	case 0:
		ord_set_blocked(&f->order, &f->flows[flow], rand() % 2);
		break;
	case 1:
		if (item->queued)
			ord_remove(&f->order, item);
		break;
	case 2:
		if (item->queued)
			ord_add_work(&f->order, item,
			    1000.0 * (1 + rand() % 9));
		break;
	case 3:
	case 4:
		if (!item->queued)
			add(f, item, flow, 1000.0 * (1 + rand() % 50));
		break;
	default:
		start(f, 1000.0 * (1 + rand() % 9));
	}
}

Test(order, fair_matches_naive_implementation)
{
	struct ord_item *expect;
	struct fixture f;
	unsigned seed;
	int i;

	for (seed = 1; seed <= 5; seed++) {
		srand(seed);
		fixture_init(&f, &ord_fair);
		for (i = 0; i < 20000; i++) {
			random_step(&f);
			expect =
			    naive_order_next(&f.order, f.all, NITEMS, f.now_us);
			cr_assert_eq(ord_next(&f.order, f.now_us), expect,
			    "seed %u step %d", seed, i);
			cr_assert_lt(fabs(naive_order_work(f.all, NITEMS) -
					 f.order.work_us),
			    1.0, "seed %u step %d", seed, i);
		}
	}
}

Test(order, fifo_serves_in_order_of_arrival)
{
	struct ord_item *item;
	uint64_t seq = 0;
	struct fixture f;
	int i;

	srand(3);
	fixture_init(&f, &ord_fifo);
	for (i = 0; i < NITEMS; i++)
		add(&f, &f.items[i], rand() % NFLOWS,
		    1000.0 * (1 + rand() % 5));
	while ((item = start(&f, 1000.0)) != NULL) {
		cr_assert_geq(item->seq, seq);
		seq = item->seq;
	}
	cr_assert_eq(f.order.nitems, 0);
}

Test(order, least_work_is_served_first)
{
	struct fixture f;

	fixture_init(&f, &ord_fair);
	add(&f, &f.items[0], 0, 9000);
	add(&f, &f.items[1], 1, 3000);
	cr_assert_eq(ord_next(&f.order, f.now_us), &f.items[1]);
	cr_assert_eq(ord_last(&f.order), &f.items[0]);
}

Test(order, flood_of_one_job_does_not_delay_another)
{
	int i, served = 0;
	struct fixture f;

	fixture_init(&f, &ord_fair);
	add(&f, &f.items[0], 1, 1e6);
	for (i = 1; i < NITEMS; i++)
		add(&f, &f.items[i], 0, 1000);
	for (i = 0; i < 1000; i++) {
		struct ord_item *item = start(&f, 1000);

		served += item == &f.items[0];
		if (item != &f.items[0])
			add(&f, item, 0, 1000);
	}
	cr_assert_geq(served, 400, "%d of 1000 starts were of the other job",
	    served);
}

Test(order, flow_rate_is_known_after_half_a_window)
{
	struct fixture f;
	int i;

	fixture_init(&f, &ord_fair);
	add(&f, &f.items[0], 0, 1e9);
	cr_assert_eq(ord_flow_rate(&f.flows[0], f.now_us), 0);
	for (i = 0; i < 3000; i++) {
		f.now_us += 1000;
		start(&f, 2500);
		if (i > 1000)
			cr_assert_float_eq(ord_flow_rate(&f.flows[0], f.now_us),
			    2.5, 0.1);
	}
}

Test(order, old_submission_of_busy_job_does_not_starve)
{
	struct ord_item *item;
	struct fixture f;
	int i;

	fixture_init(&f, &ord_fair);
	add(&f, &f.items[0], 0, 50000);
	for (i = 1; i < NITEMS; i++)
		add(&f, &f.items[i], 0, 1000);
	for (i = 0; i < 5000 && f.items[0].queued; i++) {
		f.now_us += 1000;
		item = start(&f, 1000);
		if (item != &f.items[0])
			add(&f, item, 0, 1000);
	}
	cr_assert_not(f.items[0].queued, "the oldest submission starved");
}
