/*
 * Queues whose tasks crash backend servers faster than these restart.
 */

#include <string.h>

#include "core/bulkhead.h"

#define BULK_US_PER_MS UINT64_C(1000)
#define BULK_WINDOW_MS 5000
/* Servers that crash within this time have crashed together. */
#define BULK_TOGETHER_MS 50
#define BULK_CRASHES_MIN 5
/* Shares of the crashes at which tasks of a confined queue were on the server,
 * at least, and tasks of any other queue, at most. */
#define BULK_CONFINED_PERCENT 90
#define BULK_OTHERS_PERCENT 75

/* Return: the index of the queue, or BULK_QUEUES_MAX if it is not known. */
static size_t
bulk_find(const struct bulkhead *bulkhead, const char *queue)
{
	size_t i;

	for (i = 0; i < bulkhead->nqueues; i++) {
		if (strcmp(bulkhead->queues[i], queue) == 0)
			return i;
	}
	return BULK_QUEUES_MAX;
}

/* With too many queues, the record begins anew. */
static size_t
bulk_find_or_add(struct bulkhead *bulkhead, const char *queue)
{
	size_t i = bulk_find(bulkhead, queue);

	if (i < BULK_QUEUES_MAX)
		return i;
	if (bulkhead->nqueues == BULK_QUEUES_MAX)
		memset(bulkhead, 0, sizeof(*bulkhead));
	i = bulkhead->nqueues++;
	strlcpy(bulkhead->queues[i], queue, sizeof(bulkhead->queues[i]));
	return i;
}

static void
bulk_drop_crashes(struct bulkhead *bulkhead, size_t n)
{
	bulkhead->ncrashes -= n;
	memmove(bulkhead->crashes, &bulkhead->crashes[n],
	    bulkhead->ncrashes * sizeof(bulkhead->crashes[0]));
}

void
bulk_add_crash(struct bulkhead *bulkhead, const char *const *queues,
    size_t nqueues, uint64_t now_us)
{
	struct bulk_crash *last;
	uint32_t mask = 0;
	size_t i;

	/* An addition may begin the record anew: the indices are final only
	 * after all additions. */
	for (i = 0; i < nqueues; i++)
		(void)bulk_find_or_add(bulkhead, queues[i]);
	for (i = 0; i < nqueues; i++)
		mask |= UINT32_C(1) << bulk_find_or_add(bulkhead, queues[i]);
	if (bulkhead->ncrashes > 0) {
		last = &bulkhead->crashes[bulkhead->ncrashes - 1];
		if (now_us - last->at_us < BULK_TOGETHER_MS * BULK_US_PER_MS) {
			last->queues &= mask;
			return;
		}
	}
	if (bulkhead->ncrashes == BULK_CRASHES_MAX)
		bulk_drop_crashes(bulkhead, 1);
	bulkhead->crashes[bulkhead->ncrashes++] =
	    (struct bulk_crash){ .at_us = now_us, .queues = mask };
}

static size_t
bulk_count(const struct bulkhead *bulkhead, size_t queue)
{
	size_t i, n = 0;

	for (i = 0; i < bulkhead->ncrashes; i++)
		n += bulkhead->crashes[i].queues >> queue & 1;
	return n;
}

/* The queue that alone explains the crashes, as a mask, or 0. */
static uint32_t
bulk_find_cause(const struct bulkhead *bulkhead)
{
	size_t n, i, total = bulkhead->ncrashes * 100;
	uint32_t cause = 0;

	if (bulkhead->ncrashes < BULK_CRASHES_MIN)
		return 0;
	for (i = 0; i < bulkhead->nqueues; i++) {
		n = bulk_count(bulkhead, i) * 100 * 100;
		if (n >= total * BULK_CONFINED_PERCENT && cause == 0)
			cause = UINT32_C(1) << i;
		else if (n > total * BULK_OTHERS_PERCENT)
			return 0;
	}
	return cause;
}

bool
bulk_update(struct bulkhead *bulkhead, bool scarce, uint64_t now_us)
{
	uint32_t before = bulkhead->confined, recent = 0;
	size_t i, n = 0;

	while (n < bulkhead->ncrashes &&
	    now_us - bulkhead->crashes[n].at_us >
		BULK_WINDOW_MS * BULK_US_PER_MS)
		n++;
	if (n > 0)
		bulk_drop_crashes(bulkhead, n);
	for (i = 0; i < bulkhead->ncrashes; i++)
		recent |= bulkhead->crashes[i].queues;
	bulkhead->confined = before & recent;
	if (scarce)
		bulkhead->confined |= bulk_find_cause(bulkhead);
	return bulkhead->confined != before;
}

bool
bulk_active(const struct bulkhead *bulkhead)
{
	return bulkhead->confined != 0;
}

bool
bulk_confined(const struct bulkhead *bulkhead, const char *queue)
{
	size_t i;

	if (bulkhead->confined == 0)
		return false;
	i = bulk_find(bulkhead, queue);
	return i < BULK_QUEUES_MAX && (bulkhead->confined >> i & 1) != 0;
}
