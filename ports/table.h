#ifndef PORTS_TABLE_H
#define PORTS_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"

/*
 * The platform's transactional table service. A row is named by partition key
 * and sort key, and holds a version and a JSON document as text.
 */

#define TABLE_KEY_SIZE 192   /* bytes of one key, with the NUL */
#define TABLE_WRITES_MAX 100 /* rows of one transaction */

/** enum table_status - result of a call. */
enum table_status {
	TABLE_OK,
	TABLE_NOT_FOUND,
	TABLE_CONFLICT,	   /* a condition failed; nothing was written */
	TABLE_UNAVAILABLE, /* certainly nothing was written */
	TABLE_UNKNOWN,	   /* the reply was lost; it may have been written */
};

/** struct table_row - one row; borrowed by the callback. */
struct table_row {
	const char *pk;
	const char *sk;
	uint64_t version; /* 1 or more */
	const char *doc;  /* JSON text */
	size_t doc_len;	  /* bytes */
};

/** enum table_condition - what must hold for a write. */
enum table_condition {
	TABLE_IF_ABSENT,
	TABLE_IF_VERSION, /* row's version equals expect_version */
	TABLE_ALWAYS,
};

/** struct table_write - one conditional write of a transaction. */
struct table_write {
	enum table_condition condition;
	uint64_t expect_version; /* for TABLE_IF_VERSION */
	struct table_row row;	 /* row.version is the new version */
};

/**
 * typedef table_rows_fn - rows of a get or a query, in order of sort key.
 * @status: OK, NOT_FOUND or UNAVAILABLE.
 */
typedef void (*table_rows_fn)(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err);

/**
 * typedef table_done_fn - end of a transaction.
 * @failed: for CONFLICT, bit vector of TABLE_WRITES_MAX bools, true for each
 *          write whose condition failed; NULL otherwise.
 */
typedef void (*table_done_fn)(void *arg, enum table_status status,
    const unsigned char *failed, const struct err *err);

struct table;

/**
 * struct table_ops - a table service. All callbacks run later, once.
 *
 * A call can't be cancelled: its @arg must stay valid until the callback has
 * run, or the table is destroyed, which drops what is pending, with no return
 * to the event loop in between.
 */
struct table_ops {
	void (*get)(struct table *table, const char *pk, const char *sk,
	    table_rows_fn done, void *arg);
	/* Rows of @pk with sort key greater than @after, at most @limit. */
	void (*query)(struct table *table, const char *pk, const char *after,
	    size_t limit, table_rows_fn done, void *arg);
	/* All or nothing; arguments are copied. */
	void (*transact)(struct table *table, const struct table_write *writes,
	    size_t nwrites, table_done_fn done, void *arg);
};

struct table {
	const struct table_ops *ops;
};

#endif /* PORTS_TABLE_H */
