#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "entry/api.h"
#include "entry/settings.h"

/* HTTP/1.1 for clients and operators, by libevhtp. */

struct http_server;

/** struct http_server_params - all borrowed. */
struct http_server_params {
	struct event_base *base;
	struct api *api;
	const struct api_door *door; /* serves in place of @api; or NULL */
	struct endpoint listen;
	uint32_t body_bytes_max;
	uint32_t header_timeout_ms; /* of a whole request, from its start */
	uint32_t clients_max;	    /* connections */
};

/** http_server_create() - listen; NULL with @err set. */
struct http_server *http_server_create(const struct http_server_params *params,
    struct err *err);

/** http_server_port() - the port that the kernel chose. */
uint16_t http_server_port(const struct http_server *server);

/** http_server_disable_keep_alive() - for a drain: no keep-alive from now on.
 */
void http_server_disable_keep_alive(struct http_server *server);

/** http_server_active_connections() - connections with an answer still being
 * written. */
size_t http_server_active_connections(const struct http_server *server);

void http_server_destroy(struct http_server *server);

#endif /* ADAPTERS_HTTP_SERVER_H */
