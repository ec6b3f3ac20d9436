#ifndef ADAPTERS_PLATFORM_H
#define ADAPTERS_PLATFORM_H

#include <stdint.h>

#include "entry/settings.h"
#include "ports/blobs.h"
#include "ports/hostlist.h"
#include "ports/table.h"

struct event_base;

/** struct platform - the three services of the platform; ports are NULL if
 * the kind of platform does not have them. */
struct platform {
	struct table *table;
	struct blobs *blobs;
	struct hostlist *hostlist;
	void (*destroy)(struct platform *platform);
};

/**
 * platform_http_create() - the platform over HTTP by evhttp.
 *
 * Table: DynamoDB's JSON form, `POST /` with X-Amz-Target GetItem, Query,
 * TransactWriteItems; table name "berylrail", keys "pk" and "sk", attributes
 * "version" (N) and "doc" (S). Objects: GET and PUT /objects/NAME. Host list:
 * GET /hosts gives {"hosts": [{"role": "entry"|"server", "name", "az",
 * "address", "port", "leaving"}]}, with an ETag where the platform has one:
 * If-None-Match is then answered by 304.
 */
struct platform *platform_http_create(struct event_base *base,
    const struct endpoint *endpoint, uint32_t timeout_ms);

/** platform_memory_create() - a platform in this process, for trying out. */
struct platform *platform_memory_create(struct event_base *base);

#endif /* ADAPTERS_PLATFORM_H */
