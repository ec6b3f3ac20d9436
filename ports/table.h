#ifndef PORTS_TABLE_H
#define PORTS_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"

/*
 * Interface to the platform's transactional table service. A row is identified
 * by partition key and sort key, and has a version and a JSON document.
 */

#define TABLE_KEY_SIZE 192   /* bytes of a key, with the NUL */
#define TABLE_WRITES_MAX 100 /* of a transaction */

/** enum table_status - result of a call. */
enum table_status {
	TABLE_OK,
	TABLE_NOT_FOUND,
	TABLE_CONFLICT,	   /* a condition failed; nothing was written */
	TABLE_UNAVAILABLE, /* nothing was written */
	TABLE_UNKNOWN,	   /* no reply; the rows may have been written */
};

/** struct table_row - one row; valid during the callback. */
struct table_row {
	const char *pk;
	const char *sk;
	uint64_t version; /* 1 or more */
	const char *doc;  /* JSON text */
	size_t doc_len;	  /* bytes */
};

/** enum table_condition - condition of a write on its row. */
enum table_condition {
	TABLE_IF_ABSENT,
	TABLE_IF_VERSION, /* the row has version @expect_version */
	TABLE_ALWAYS,
};

/** struct table_write - one conditional write of a transaction. */
struct table_write {
	enum table_condition condition;
	uint64_t expect_version; /* for TABLE_IF_VERSION */
	struct table_row row;	 /* row.version is the new version */
};

/**
 * typedef table_rows_fn - result of a get or a query, sorted by sort key.
 * @status: OK, NOT_FOUND or UNAVAILABLE.
 */
typedef void (*table_rows_fn)(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err);

/**
 * typedef table_done_fn - completion of a transaction.
 * @failed: for CONFLICT, an array of TABLE_WRITES_MAX elements, non-zero for
 *          each write whose condition failed; NULL otherwise.
 */
typedef void (*table_done_fn)(void *arg, enum table_status status,
    const unsigned char *failed, const struct err *err);

struct table;

/**
 * struct table_ops - operations of a table service. Each @done is called once,
 * after the function has returned.
 *
 * A call can't be cancelled: @arg must stay valid until @done was called. The
 * exception is the destruction of the table, which drops pending calls: the
 * event loop must not run between the release of @arg and the destruction.
 */
struct table_ops {
	void (*get)(struct table *table, const char *pk, const char *sk,
	    table_rows_fn done, void *arg);
	/* Reads up to @limit rows of @pk with a sort key above @after. */
	void (*query)(struct table *table, const char *pk, const char *after,
	    size_t limit, table_rows_fn done, void *arg);
	/* Applies all writes or none; arguments are copied. */
	void (*transact)(struct table *table, const struct table_write *writes,
	    size_t nwrites, table_done_fn done, void *arg);
};

struct table {
	const struct table_ops *ops;
};

#endif /* PORTS_TABLE_H */
