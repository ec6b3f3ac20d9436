#ifndef ENTRY_PROBLEM_H
#define ENTRY_PROBLEM_H

#include <stddef.h>

#include "entry/refusals.h"

#define PROBLEM_TYPE "application/problem+json"

/**
 * problem_render() - render a refusal as a problem document (RFC 9457).
 *
 * Return: text for free(3), or NULL if out of memory.
 */
char *problem_render(const struct refusal_row *row, const struct err *err,
    size_t *len);

#endif /* ENTRY_PROBLEM_H */
