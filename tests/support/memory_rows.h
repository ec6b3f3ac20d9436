#ifndef TESTS_SUPPORT_MEMORY_ROWS_H
#define TESTS_SUPPORT_MEMORY_ROWS_H

#include <stdbool.h>

#include "ports/rows.h"

/*
 * An in-memory store for the rows of jobs, with fault injection: lost replies,
 * lost requests, and one write and one read that can be deferred.
 */

#define MROWS_ROWS_MAX 256
#define MROWS_VALUE_BYTES_MAX 4096

/** struct memory_rows - the store of all hosts; callbacks run in the call. */
struct memory_rows {
	struct rows rows; /* first: the functions cast to it */
	struct mrows_row {
		uint32_t part;
		char key[80];
		char value[MROWS_VALUE_BYTES_MAX];
		size_t len;
		uint64_t version; /* 0: free */
	} table[MROWS_ROWS_MAX];
	uint64_t version;
	int lose_replies;  /* transactions to apply and report as unknown */
	int lose_requests; /* transactions to drop and report as unknown */
	int lose_reads;	   /* reads without a reply */
	bool defer_writes; /* with a condition, until mrows_release_write() */
	struct rows_row deferred_write;
	uint32_t deferred_write_part;
	struct rows_row deferred_condition;
	rows_done_fn deferred_done;
	void *deferred_arg;
	bool defer_reads; /* of deferred_read_part, from its first key, until
			     mrows_release_read() */
	uint32_t deferred_read_part;
	rows_read_fn deferred_read;
	void *deferred_read_arg;
};

/**
 * mrows_init() - initialise an empty store.
 * @deferred_read_part: the partition whose reads can be deferred.
 */
void mrows_init(struct memory_rows *store, uint32_t deferred_read_part);

/** mrows_find() - a row of a partition, or NULL. */
struct mrows_row *mrows_find(struct memory_rows *store, uint32_t part,
    const char *key);

/** mrows_release_write() - apply the deferred write and stop deferring. */
void mrows_release_write(struct memory_rows *store);

/** mrows_release_read() - perform the deferred read and stop deferring. */
void mrows_release_read(struct memory_rows *store);

#endif /* TESTS_SUPPORT_MEMORY_ROWS_H */
