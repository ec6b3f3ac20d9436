#ifndef STANDIN_PLATFORM_ROWS_H
#define STANDIN_PLATFORM_ROWS_H

#include <jansson.h>
#include <stdbool.h>

/*
 * Rows of the table service, in memory. A stale replica keeps showing the rows
 * as they stood when rows_freeze() was called.
 */

/** rows_get() - a row as DynamoDB's item, borrowed, or NULL. */
json_t *rows_get(const char *pk, const char *sk, bool stale);

/** rows_query() - items of @pk with sort key greater than @after. */
json_t *rows_query(const char *pk, const char *after, size_t limit, bool stale);

/**
 * rows_transact() - apply all writes of "TransactItems", or none.
 * Return: NULL when applied, else the new array "CancellationReasons".
 */
json_t *rows_transact(const json_t *items);

/** rows_freeze() - stale reads show the rows of now from here on. */
void rows_freeze(void);

#endif /* STANDIN_PLATFORM_ROWS_H */
