#ifndef ENTRY_PROBLEM_H
#define ENTRY_PROBLEM_H

#include <stddef.h>

#include "entry/refusals.h"

#define PROBLEM_TYPE "application/problem+json"

/** problem_render() - a problem document (RFC 9457) for free(3), or NULL. */
char *problem_render(const struct refusal_row *row, const struct err *err,
    size_t *len);

#endif /* ENTRY_PROBLEM_H */
