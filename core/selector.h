#ifndef CORE_SELECTOR_H
#define CORE_SELECTOR_H

#include <stdbool.h>

#include "berylrail/error.h"
#include "core/labels.h"

/*
 * Selectors, in the form that operators know:
 *
 *	az=vadodara,rack!=r3,tier in (gold,silver),gen notin (1,2),fast,!leaving
 *
 * Terms are joined by "and". The empty selector matches everything. A term
 * `name!=value` also matches objects without that label.
 */

#define SEL_TEXT_BYTES_MAX 1024 /* bytes */
#define SEL_TERMS_MAX 16
#define SEL_VALUES_MAX 16 /* of one "in" */

struct selector;

/**
 * sel_parse() - parse a selector.
 *
 * Return: a selector to be freed with sel_free(), or NULL with @err set to
 * INVALID or TOO_LARGE; the message names the column.
 */
struct selector *sel_parse(const char *text, struct err *err);

/** sel_match() - does the set of labels match? */
bool sel_match(const struct selector *sel, const struct labels *labels);

/** sel_copy() - a copy to be freed with sel_free(); NULL if out of memory. */
struct selector *sel_copy(const struct selector *sel);

/** sel_equal() - do both consist of the same terms in the same order? */
bool sel_equal(const struct selector *a, const struct selector *b);

/** sel_free() - free a selector; NULL is allowed. */
void sel_free(struct selector *sel);

#endif /* CORE_SELECTOR_H */
