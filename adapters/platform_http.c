/*
 * The platform over HTTP: the table, the object store and the host list share
 * one HTTP client and its connections.
 */

#include <stdlib.h>

#include "adapters/platform_http.h"

#define PLATFORM_CONNECTIONS_MAX 16
#define PLATFORM_WAITING_MAX 1024
#define PLATFORM_BODY_BYTES_MAX (64U << 20) /* of a response */

struct platform_http {
	struct platform platform; /* first, for the cast in destroy() */
	struct hcl *hcl;
};

static void
platform_http_destroy(struct platform *platform)
{
	struct platform_http *http = (struct platform_http *)platform;

	hcl_destroy(http->hcl);
	phtab_destroy(platform->table);
	phblob_destroy(platform->blobs);
	phlist_destroy(platform->hostlist);
	free(http);
}

struct platform *
platform_http_create(struct event_base *base, const struct endpoint *endpoint,
    uint32_t timeout_ms)
{
	struct hcl_params params = {
		.base = base,
		.endpoint = *endpoint,
		.timeout_ms = timeout_ms,
		.connections_max = PLATFORM_CONNECTIONS_MAX,
		.waiting_max = PLATFORM_WAITING_MAX,
		.response_bytes_max = PLATFORM_BODY_BYTES_MAX,
	};
	struct platform_http *http;

	http = calloc(1, sizeof(*http));
	if (http == NULL)
		return NULL;
	http->platform.destroy = platform_http_destroy;
	http->hcl = hcl_create(&params);
	if (http->hcl == NULL)
		goto error;
	http->platform.table = phtab_create(http->hcl);
	http->platform.blobs = phblob_create(http->hcl);
	http->platform.hostlist = phlist_create(http->hcl);
	if (http->platform.table == NULL || http->platform.blobs == NULL ||
	    http->platform.hostlist == NULL)
		goto error;
	return &http->platform;
error:
	platform_http_destroy(&http->platform);
	return NULL;
}
