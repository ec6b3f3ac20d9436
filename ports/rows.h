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
};

struct rows {
	const struct rows_ops *ops;
};

#endif /* PORTS_ROWS_H */
