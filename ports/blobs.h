#ifndef PORTS_BLOBS_H
#define PORTS_BLOBS_H

#include <stddef.h>

#include "berylrail/error.h"
#include "ports/table.h"

/* Interface to the platform's object store: complete objects by name. */

/**
 * typedef blobs_done_fn - completion of a get or put.
 * @status: as for the table; NOT_FOUND only for a get.
 * @data: the object, for a get; borrowed.
 */
typedef void (*blobs_done_fn)(void *arg, enum table_status status,
    const void *data, size_t len, const struct err *err);

struct blobs;

/**
 * struct blobs_ops - operations of an object store. Each @done is called
 * exactly once, after the function has returned.
 */
struct blobs_ops {
	void (*get)(struct blobs *blobs, const char *name, blobs_done_fn done,
	    void *arg);
	void (*put)(struct blobs *blobs, const char *name, const void *data,
	    size_t len, blobs_done_fn done, void *arg);
};

struct blobs {
	const struct blobs_ops *ops;
};

#endif /* PORTS_BLOBS_H */
