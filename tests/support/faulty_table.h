#ifndef TESTS_SUPPORT_FAULTY_TABLE_H
#define TESTS_SUPPORT_FAULTY_TABLE_H

#include <stdbool.h>
#include <sys/queue.h>

#include "ports/table.h"

/* A table with faults, around one that works. */

/** struct faulty_table - faults that the next calls meet. */
struct faulty_table {
	struct table table; /* first */
	struct table *inner;
	int lose_replies;  /* writes applied, but their reply is lost */
	int lose_requests; /* writes not applied, reported as unknown */
	int refuse_writes; /* writes not applied, reported as such */
	bool down;	   /* nothing is reached */
	char stale_sk[TABLE_KEY_SIZE]; /* reads of "config" end here; "" off */
	int queries;
	int transactions;
	LIST_HEAD(, faulty_call) calls; /* under way */
};

void faulty_table_init(struct faulty_table *faulty, struct table *inner);

/** faulty_table_clear() - free calls under way; the loop must not run on. */
void faulty_table_clear(struct faulty_table *faulty);

#endif /* TESTS_SUPPORT_FAULTY_TABLE_H */
