#ifndef ADAPTERS_BACKEND_HTTP_H
#define ADAPTERS_BACKEND_HTTP_H

#include "ports/backend.h"

struct event_base;

/**
 * backend_http_create() - create the transport to backend servers over
 * HTTP/1.1, based on evhttp. Return: NULL if memory is exhausted.
 */
struct backend *backend_http_create(struct event_base *base);

/**
 * backend_http_destroy() - close all connections and free the transport. The
 * callbacks of pending calls are not called. NULL is allowed.
 */
void backend_http_destroy(struct backend *backend);

#endif /* ADAPTERS_BACKEND_HTTP_H */
