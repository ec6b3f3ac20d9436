#ifndef STANDIN_PLATFORM_ROWS_H
#define STANDIN_PLATFORM_ROWS_H

#include <jansson.h>
#include <stdbool.h>

/*
 * Rows of the table service, in memory. Stale reads return the rows as of the
 * last rows_freeze(), like a replica that receives no more updates.
 */

/** rows_get() - a row as a DynamoDB item, a borrowed reference, or NULL. */
json_t *rows_get(const char *pk, const char *sk, bool stale);

/** rows_query() - array of up to @limit items of @pk with sk after @after. */
json_t *rows_query(const char *pk, const char *after, size_t limit, bool stale);

/**
 * rows_transact() - apply all writes of "TransactItems", or none.
 * Return: NULL if applied, else a new array for "CancellationReasons".
 */
json_t *rows_transact(const json_t *items);

/** rows_freeze() - make stale reads return the rows as they are now. */
void rows_freeze(void);

#endif /* STANDIN_PLATFORM_ROWS_H */
