#ifndef PORTS_ROWS_H
#define PORTS_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Interface to the platform's store: a feed of changed rows, writes of the rows
 * that belong to this host, and rows of jobs. Versions come from a single
 * counter of the store, which every transaction increases.
 */

/** enum rows_table - tables whose feed an entry host reads. */
enum rows_table {
	ROWS_OPERATOR, /* configuration; written by the operator */
	ROWS_SERVERS,  /* backend servers; each writes its own row */
	ROWS_HOSTS,    /* entry hosts; each writes its own row */
	ROWS_NTABLES,
};

/* Pause of a table that is read only on request. */
#define ROWS_POLL_NEVER UINT32_MAX

/** struct rows_change - current contents of a row that has changed. */
struct rows_change {
	enum rows_table table;
	const char *key;
	const char *value; /* NULL: the row was removed */
	size_t value_len;
	uint64_t version;
};

/** struct rows_listener - callbacks for changes; each one receives @arg. */
struct rows_listener {
	void (*changed)(void *arg, const struct rows_change *change);
	/*
	 * read_begin() precedes and read_end() follows a complete read of the
	 * table, in which changed() is called for every row. Rows not reported
	 * in between no longer exist. All changes up to @version of the store
	 * have been reported then.
	 */
	void (*read_begin)(void *arg, enum rows_table table);
	void (*read_end)(void *arg, enum rows_table table, uint64_t version);
	/* The store has confirmed that all changes of @table up to @version
	 * have been reported, and that there was no later one. */
	void (*current)(void *arg, enum rows_table table, uint64_t version);
	/* All changes made before the last refresh() have been reported. */
	void (*refreshed)(void *arg, enum rows_table table);
	/* The store has become reachable or unreachable. */
	void (*connected)(void *arg, bool connected);
	void *arg;
};

/**
 * typedef rows_written_fn - completion of a write.
 * @version: new version of the row; 0 if the write failed.
 */
typedef void (*rows_written_fn)(void *arg, uint64_t version);

/*
 * Rows of jobs are divided into partitions; a transaction writes to a single
 * one. These rows have no feed: they are written conditionally, and read on
 * demand.
 */

#define ROWS_JOB_PARTS 8      /* partitions, by a hash of the job id */
#define ROWS_WRITES_MAX 49    /* of a transaction, besides its condition */
#define ROWS_BYTES_MAX 600000 /* of all values of a transaction */

/** enum rows_status - result of a call. */
enum rows_status {
	ROWS_OK,
	ROWS_CONFLICT, /* a row had another version; nothing was written */
	ROWS_REFUSED,  /* nothing was written */
	ROWS_UNKNOWN,  /* no reply; the write may take effect now or later */
};

/** struct rows_row - a row of a job. */
struct rows_row {
	const char *key;
	const char *value; /* NULL if the row does not exist */
	size_t value_len;
	uint64_t version; /* 0 if the row does not exist */
	bool check_only;  /* @version is a condition; the row is not written */
};

/**
 * typedef rows_done_fn - completion of a transaction.
 * @version: new version of all written rows, if @status is ROWS_OK.
 * @rows: if @status is ROWS_CONFLICT, the current contents of the rows of the
 *        conditions.
 */
typedef void (*rows_done_fn)(void *arg, enum rows_status status,
    uint64_t version, const struct rows_row *rows, size_t nrows);

/**
 * typedef rows_read_fn - one page of rows, sorted by key.
 * @more: there are further rows after the last one.
 */
typedef void (*rows_read_fn)(void *arg, enum rows_status status,
    const struct rows_row *rows, size_t nrows, bool more);

struct rows;

/** struct rows_ops - operations of a store. */
struct rows_ops {
	/* Writes one row of ROWS_HOSTS unconditionally. */
	void (*write)(struct rows *rows, const char *key, const char *value,
	    rows_written_fn done, void *arg);
	/*
	 * Sets the pause between two reads of a table's feed, from the next
	 * read on. With 0, changes are reported immediately (long polling),
	 * with ROWS_POLL_NEVER only refresh() reads the table.
	 */
	void (*set_poll_pause)(struct rows *rows, enum rows_table table,
	    uint32_t pause_ms);
	/*
	 * Reads the feed of a table without waiting for the end of the pause.
	 * The listener's refreshed() is called afterwards.
	 */
	void (*refresh)(struct rows *rows, enum rows_table table);
	/*
	 * Writes rows of jobs in one transaction, if all of them still have
	 * the given versions; a NULL value removes the row. Arguments are
	 * copied.
	 */
	void (*transact)(struct rows *rows, uint32_t part,
	    const struct rows_row *writes, size_t nwrites, rows_done_fn done,
	    void *arg);
	/* Reads up to @limit rows of @part with keys of at least @from. */
	void (*read)(struct rows *rows, uint32_t part, const char *from,
	    uint32_t limit, rows_read_fn done, void *arg);
};

struct rows {
	const struct rows_ops *ops;
};

#endif /* PORTS_ROWS_H */
