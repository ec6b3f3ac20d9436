#ifndef PORTS_BLOBS_H
#define PORTS_BLOBS_H

#include <stddef.h>

#include "berylrail/error.h"
#include "ports/table.h"

/* The platform's object store: whole objects by name. */

/**
 * typedef blobs_done_fn - end of a get or put.
 * @status: as for the table; a get also gives NOT_FOUND.
 * @data: the object for a get, borrowed.
 */
typedef void (*blobs_done_fn)(void *arg, enum table_status status,
    const void *data, size_t len, const struct err *err);

struct blobs;

/** struct blobs_ops - an object store. All callbacks run later, once. */
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
