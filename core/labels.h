#ifndef CORE_LABELS_H
#define CORE_LABELS_H

#include <stdbool.h>
#include <stddef.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"

/*
 * Labels of one object: a small set of name=value pairs. Names are unique, and
 * the pairs are sorted by name.
 */

/** struct label - one pair; @value is "" if the label has no value. */
struct label {
	char name[NAME_SIZE];
	char value[NAME_SIZE];
};

/** struct labels - the labels of one object, sorted by name. */
struct labels {
	size_t n;
	struct label *items; /* owned; @n elements */
};

/**
 * lbl_set() - add or replace a label.
 *
 * Return: 0, or -1 with @err set: INVALID for a name or value with characters
 * other than letters, digits, '-', '_', '.' and '/', or an invalid length;
 * TOO_LARGE if there are LABELS_MAX labels already; NO_MEMORY.
 */
int lbl_set(struct labels *labels, const char *name, const char *value,
    struct err *err);

/**
 * lbl_copy() - replace the labels in @to by a copy of those in @from.
 * Return: 0, or -1 if memory is exhausted; @to is unchanged then.
 */
int lbl_copy(struct labels *to, const struct labels *from);

/** lbl_equal() - true if both have the same names with the same values. */
bool lbl_equal(const struct labels *a, const struct labels *b);

/** lbl_clear() - remove and free all labels. */
void lbl_clear(struct labels *labels);

/** lbl_get() - value of a label; borrowed, NULL if there is none. */
const char *lbl_get(const struct labels *labels, const char *name);

/** lbl_remove() - remove a label, if it exists. */
void lbl_remove(struct labels *labels, const char *name);

#endif /* CORE_LABELS_H */
