#ifndef TESTS_SUPPORT_FAULTY_TABLE_H
#define TESTS_SUPPORT_FAULTY_TABLE_H

#include <stdbool.h>
#include <sys/queue.h>

#include "ports/table.h"

/* Table service that forwards calls to another one and injects faults. */

/** struct faulty_table - faults to inject; int members count calls. */
struct faulty_table {
	struct table table; /* must be the first member */
	struct table *inner;
	int lose_replies;  /* applied, reported as TABLE_UNKNOWN */
	int lose_requests; /* not applied, reported as TABLE_UNKNOWN */
	int refuse_writes; /* not applied: TABLE_UNAVAILABLE */
	bool unavailable;  /* all calls fail as TABLE_UNAVAILABLE */
	char stale_sk[TABLE_KEY_SIZE]; /* last "config" row returned; "": all */
	int queries;
	int transactions;
	LIST_HEAD(, faulty_call) calls; /* pending */
};

void faulty_table_init(struct faulty_table *faulty, struct table *inner);

/** faulty_table_clear() - free pending calls; the loop must not run again. */
void faulty_table_clear(struct faulty_table *faulty);

#endif /* TESTS_SUPPORT_FAULTY_TABLE_H */
