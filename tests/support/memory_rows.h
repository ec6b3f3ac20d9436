#ifndef TESTS_SUPPORT_MEMORY_ROWS_H
#define TESTS_SUPPORT_MEMORY_ROWS_H

#include <stdbool.h>

#include "ports/rows.h"

/*
 * The store's rows of jobs in memory, with answers and requests that are lost,
 * and with one write and one read that are deferred_write back.
 */

#define MROWS_ROWS_MAX 64
#define MROWS_VALUE_BYTES_MAX 4096

/** struct memory_rows - rows in memory, shared by hosts; answers at once. */
struct memory_rows {
	struct rows rows; /* first */
	struct mrows_row {
		uint32_t part;
		char key[80];
		char value[MROWS_VALUE_BYTES_MAX];
		size_t len;
		uint64_t version; /* 0: free */
	} table[MROWS_ROWS_MAX];
	uint64_t version;
	int lose_replies;  /* of transactions: done, reported as unknown */
	int lose_requests; /* not done, reported as unknown */
	bool defer_writes; /* of jobs: deferred_write for mrows_release_write()
			    */
	struct rows_row deferred_write;
	uint32_t deferred_write_part;
	struct rows_row deferred_owner;
	rows_done_fn deferred_done;
	void *deferred_arg;
	bool defer_reads; /* of all jobs of deferred_read_part, likewise */
	uint32_t deferred_read_part;
	rows_read_fn deferred_read;
	void *deferred_read_arg;
};

/** mrows_init() - an empty store; @deferred_read_part: whose reads can be
 * deferred_write back. */
void mrows_init(struct memory_rows *store, uint32_t deferred_read_part);

/** mrows_find() - a row, or NULL. */
struct mrows_row *mrows_find(struct memory_rows *store, uint32_t part,
    const char *key);

/** mrows_release_write() - carry out the write that was deferred_write. */
void mrows_release_write(struct memory_rows *store);

/** mrows_release_read() - carry out the read that was deferred_write. */
void mrows_release_read(struct memory_rows *store);

#endif /* TESTS_SUPPORT_MEMORY_ROWS_H */
