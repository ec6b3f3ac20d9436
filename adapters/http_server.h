#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "entry/api.h"
#include "entry/settings.h"

/* HTTP/1.1 server for clients and operators, based on libevhtp. */

struct http_server;

/** struct http_server_params - parameters of a server; all borrowed. */
struct http_server_params {
	struct event_base *base;
	struct api *api;
	const struct api_handler *handler; /* replaces @api unless NULL */
	struct endpoint listen;
	uint32_t body_bytes_max;
	uint32_t header_timeout_ms; /* for a complete request, from its start */
	uint32_t clients_max;	    /* concurrent connections */
};

/**
 * http_server_create() - create a server and listen.
 * Return: the server, or NULL with @err set.
 */
struct http_server *http_server_create(const struct http_server_params *params,
    struct err *err);

/** http_server_port() - port on which the server listens; 0 on error. */
uint16_t http_server_port(const struct http_server *server);

/**
 * http_server_disable_keep_alive() - close each connection after its next
 * response; called when a drain begins.
 */
void http_server_disable_keep_alive(struct http_server *server);

/**
 * http_server_active_connections() - number of connections with a request in
 * progress or a response that is not fully written.
 */
size_t http_server_active_connections(const struct http_server *server);

/**
 * http_server_destroy() - close all connections and free a server. Requests in
 * progress are abandoned. NULL is allowed.
 */
void http_server_destroy(struct http_server *server);

#endif /* ADAPTERS_HTTP_SERVER_H */
