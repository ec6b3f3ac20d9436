#ifndef TESTS_SUPPORT_MEMORY_ROWS_H
#define TESTS_SUPPORT_MEMORY_ROWS_H

#include <stdbool.h>

#include "ports/rows.h"

/*
 * The store's rows of jobs in memory, with answers and requests that are lost,
 * and with one write and one read that are kept back.
 */

#define STORE_ROWS_MAX 64
#define STORE_VALUE_MAX 4096

/** struct store - rows in memory, shared by hosts; answers at once. */
struct store {
	struct rows rows; /* first */
	struct store_row {
		uint32_t part;
		char key[80];
		char value[STORE_VALUE_MAX];
		size_t len;
		uint64_t version; /* 0: free */
	} table[STORE_ROWS_MAX];
	uint64_t version;
	int lose_answers;  /* of transactions: done, reported as unknown */
	int lose_requests; /* not done, reported as unknown */
	bool hold_writes;  /* of jobs: kept for store_release() */
	struct rows_row kept;
	uint32_t kept_part;
	struct rows_row kept_owner;
	rows_done_fn kept_done;
	void *kept_arg;
	bool hold_reads; /* of all jobs of held_part, likewise */
	uint32_t held_part;
	rows_read_fn kept_read;
	void *kept_read_arg;
};

/** store_init() - an empty store; @held_part: whose reads can be kept back. */
void store_init(struct store *store, uint32_t held_part);

/** store_find() - a row, or NULL. */
struct store_row *store_find(struct store *store, uint32_t part,
    const char *key);

/** store_release() - carry out the write that was kept. */
void store_release(struct store *store);

/** store_release_read() - carry out the read that was kept. */
void store_release_read(struct store *store);

#endif /* TESTS_SUPPORT_MEMORY_ROWS_H */
