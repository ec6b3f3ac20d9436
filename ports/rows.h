#ifndef PORTS_ROWS_H
#define PORTS_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The platform's store as a feed of rows, and writes of this host's own rows.
 * Versions come from one counter of the whole store, which rises with every
 * transaction.
 */

/** enum rows_table - the tables that an entry host follows. */
enum rows_table {
	ROWS_OPERATOR, /* the configuration; written by the operator */
	ROWS_SERVERS,  /* backend servers; written by themselves */
	ROWS_HOSTS,    /* entry hosts; each writes its own */
	ROWS_NTABLES,
};

/** struct rows_change - a row as it is now. */
struct rows_change {
	enum rows_table table;
	const char *key;
	const char *value; /* NULL: the row was removed */
	size_t value_len;
	uint64_t version;
};

/** struct rows_listener - who is told; every callback gets @arg. */
struct rows_listener {
	void (*changed)(void *arg, const struct rows_change *change);
	/* The whole table is about to be told; then it has been told. What was
	 * not told in between is not there any more. */
	void (*reading)(void *arg, enum rows_table table);
	void (*loaded)(void *arg, enum rows_table table);
	/* All changes up to a moment after the last refresh() are told. */
	void (*fresh)(void *arg, enum rows_table table);
	/* The store answers again, or has stopped answering. */
	void (*connected)(void *arg, bool connected);
	void *arg;
};

/** typedef rows_written_fn - @version: of the row, 0 if the write failed. */
typedef void (*rows_written_fn)(void *arg, uint64_t version);

/*
 * Rows of jobs lie in partitions, each with its own transactions; they are
 * written under a condition and read when they are needed.
 */

#define ROWS_JOB_PARTS 8   /* partitions of jobs, by a hash of the id */
#define ROWS_WRITES_MAX 49 /* rows of one transaction, beside its condition */
#define ROWS_BYTES_MAX 600000 /* of the values of one transaction */

/** enum rows_status - what became of a call. */
enum rows_status {
	ROWS_OK,
	ROWS_CONFLICT, /* a row was at another version; nothing was done */
	ROWS_REFUSED,  /* nothing was done */
	ROWS_UNKNOWN,  /* no answer: it may have been done, or may be later */
};

/** struct rows_row - a row of a job. */
struct rows_row {
	const char *key;
	const char *value; /* NULL: there is no such row */
	size_t value_len;
	uint64_t version;  /* 0 if there is none */
	bool only_checked; /* a condition of a transaction; is not written */
};

/**
 * typedef rows_done_fn - end of a transaction.
 * @version: of all rows written, for OK.
 * @rows: for CONFLICT, the rows of the conditions as they are.
 */
typedef void (*rows_done_fn)(void *arg, enum rows_status status,
    uint64_t version, const struct rows_row *rows, size_t nrows);

/**
 * typedef rows_read_fn - a page of rows, in order of their keys.
 * @more: there are rows beyond the last one.
 */
typedef void (*rows_read_fn)(void *arg, enum rows_status status,
    const struct rows_row *rows, size_t nrows, bool more);

struct rows;

/** struct rows_ops - a store. */
struct rows_ops {
	/* Writes one row of ROWS_HOSTS whatever it held. */
	void (*write)(struct rows *rows, const char *key, const char *value,
	    rows_written_fn done, void *arg);
	/*
	 * Pause between two reads of a table's feed, from the next one on: 0
	 * is told at once.
	 */
	void (
	    *pace)(struct rows *rows, enum rows_table table, uint32_t pause_ms);
	/* Reads a paced table at once; the listener's fresh() tells when. */
	void (*refresh)(struct rows *rows, enum rows_table table);
	/*
	 * Writes rows of jobs in one transaction, each if its version still is
	 * the given one; a NULL value removes it. Arguments are copied.
	 */
	void (*transact)(struct rows *rows, uint32_t part,
	    const struct rows_row *writes, size_t nwrites, rows_done_fn done,
	    void *arg);
	/* Rows of jobs of a partition whose keys are at least @from. */
	void (*read)(struct rows *rows, uint32_t part, const char *from,
	    uint32_t limit, rows_read_fn done, void *arg);
};

struct rows {
	const struct rows_ops *ops;
};

#endif /* PORTS_ROWS_H */
