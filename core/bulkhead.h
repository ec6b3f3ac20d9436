#ifndef CORE_BULKHEAD_H
#define CORE_BULKHEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/limits.h"

/*
 * Queues whose tasks crash backend servers faster than these restart. Each such
 * task must crash one or two servers before it is known (see core/suspect.h),
 * so a queue with many of them takes all servers from the other queues. It is
 * confined to a part of the servers instead. Designed for one queue of which a
 * third of the jobs crash servers, at several times the rate of restarts.
 *
 * A queue is confined if its tasks ran on nearly all servers that have crashed,
 * and those of no other queue did. Servers that crash together count as one, as
 * a common cause, such as a rack, is likely: only queues with tasks on all of
 * them may have been it. A queue is released when no server has crashed under
 * its tasks for some time.
 */

#define BULK_QUEUES_MAX 32
#define BULK_CRASHES_MAX 16

/** struct bulk_crash - one or several servers that have crashed together. */
struct bulk_crash {
	uint64_t at_us;
	uint32_t queues; /* bit i: tasks of queue i were on each */
};

/** struct bulkhead - the recent crashes. Zeroed memory is a valid one. */
struct bulkhead {
	char queues[BULK_QUEUES_MAX][NAME_SIZE];
	size_t nqueues;
	struct bulk_crash crashes[BULK_CRASHES_MAX]; /* oldest first */
	size_t ncrashes;
	uint32_t confined; /* bit i: queue i, as of the last update */
};

/**
 * bulk_add_crash() - record the crash of a server.
 * @queues: the queues of the tasks that were on it; may repeat.
 */
void bulk_add_crash(struct bulkhead *bulkhead, const char *const *queues,
    size_t nqueues, uint64_t now_us);

/**
 * bulk_update() - forget old crashes and determine the confined queues.
 * @scarce: whether so many servers are away that the other queues suffer; else
 *          no further queue is confined.
 * Return: whether they have changed.
 */
bool bulk_update(struct bulkhead *bulkhead, bool scarce, uint64_t now_us);

/** bulk_active() - whether any queue is confined. */
bool bulk_active(const struct bulkhead *bulkhead);

/** bulk_confined() - whether the queue is confined. */
bool bulk_confined(const struct bulkhead *bulkhead, const char *queue);

#endif /* CORE_BULKHEAD_H */
