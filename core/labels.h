#ifndef CORE_LABELS_H
#define CORE_LABELS_H

#include <stdbool.h>
#include <stddef.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"

/* Labels of one object: a small ordered set of name=value pairs. */

/** struct label - one pair; a bare label has an empty value. */
struct label {
	char name[NAME_SIZE];
	char value[NAME_SIZE];
};

/** struct labels - the labels of one object, sorted by name. */
struct labels {
	size_t n;
	struct label *items; /* owned; exactly @n of them */
};

/**
 * lbl_set() - add or replace a label.
 *
 * Return: 0, or -1 with @err: INVALID for a bad name or value (allowed are
 * letters, digits, '-', '_', '.', '/'), TOO_LARGE past LABELS_MAX, NO_MEMORY.
 */
int lbl_set(struct labels *labels, const char *name, const char *value,
    struct err *err);

/**
 * lbl_copy() - make @to equal to @from; what @to held is freed.
 * Return: 0, or -1 when out of memory: then @to is as it was.
 */
int lbl_copy(struct labels *to, const struct labels *from);

/** lbl_equal() - the same names with the same values? */
bool lbl_equal(const struct labels *a, const struct labels *b);

/** lbl_clear() - free all labels; the set is empty then. */
void lbl_clear(struct labels *labels);

/** lbl_get() - value of a label, borrowed, or NULL. */
const char *lbl_get(const struct labels *labels, const char *name);

/** lbl_remove() - remove a label if it is there. */
void lbl_remove(struct labels *labels, const char *name);

#endif /* CORE_LABELS_H */
