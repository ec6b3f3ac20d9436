#ifndef ADAPTERS_PLATFORM_H
#define ADAPTERS_PLATFORM_H

#include <stdint.h>

#include "entry/settings.h"
#include "ports/blobs.h"
#include "ports/hostlist.h"
#include "ports/table.h"

struct event_base;

/**
 * struct platform - the services of the platform; NULL for those that this
 * kind of platform does not provide.
 */
struct platform {
	struct table *table;
	struct blobs *blobs;
	struct hostlist *hostlist;
	void (*destroy)(struct platform *platform);
};

/**
 * platform_http_create() - client of the platform over HTTP.
 * @timeout_ms: of each call.
 * Return: NULL if memory is exhausted.
 *
 * Table: the JSON protocol of DynamoDB, `POST /` with X-Amz-Target GetItem,
 * Query or TransactWriteItems; table name "berylrail", keys "pk" and "sk",
 * attributes "version" (N) and "doc" (S). Objects: GET and PUT /objects/NAME.
 * Host list: GET /hosts returns {"hosts": [{"role": "entry"|"server", "name",
 * "az", "address", "port", "leaving"}]}. If the response has an ETag, later
 * requests send it in If-None-Match, and the status for an unchanged list is
 * 304.
 */
struct platform *platform_http_create(struct event_base *base,
    const struct endpoint *endpoint, uint32_t timeout_ms);

/**
 * platform_memory_create() - create a platform in the memory of this process,
 * for evaluation and tests, without a host list. Return: NULL if memory is
 * exhausted.
 */
struct platform *platform_memory_create(struct event_base *base);

#endif /* ADAPTERS_PLATFORM_H */
