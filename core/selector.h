#ifndef CORE_SELECTOR_H
#define CORE_SELECTOR_H

#include <stdbool.h>

#include "berylrail/error.h"
#include "core/labels.h"

/*
 * Label selectors, in a syntax like that of Kubernetes:
 *
 *	az=vadodara,rack!=r3,tier in (gold,silver),gen notin (1,2),fast,!leaving
 *
 * All terms must match. The empty selector matches every object. The terms
 * `name!=value` and `name notin (...)` also match objects without that label.
 */

#define SEL_TEXT_BYTES_MAX 1024 /* without the NUL */
#define SEL_TERMS_MAX 16
#define SEL_VALUES_MAX 16 /* of one "in" or "notin" */

struct selector;

/**
 * sel_parse() - parse a selector.
 *
 * Return: a selector to be freed with sel_free(), or NULL with @err set to
 * INVALID, TOO_LARGE or NO_MEMORY. The message gives the column of a syntax
 * error, from 1.
 */
struct selector *sel_parse(const char *text, struct err *err);

/** sel_match() - true if the labels satisfy all terms. */
bool sel_match(const struct selector *sel, const struct labels *labels);

/** sel_copy() - copy a selector, to be freed with sel_free(); or NULL. */
struct selector *sel_copy(const struct selector *sel);

/** sel_equal() - true if both have the same terms in the same order. */
bool sel_equal(const struct selector *a, const struct selector *b);

/** sel_free() - free a selector; NULL is allowed. */
void sel_free(struct selector *sel);

#endif /* CORE_SELECTOR_H */
