#ifndef ADAPTERS_BACKEND_HTTP_H
#define ADAPTERS_BACKEND_HTTP_H

#include "ports/backend.h"

struct event_base;

/** backend_http_create() - backend servers over HTTP/1.1 by evhttp. */
struct backend *backend_http_create(struct event_base *base);
void backend_http_destroy(struct backend *backend);

#endif /* ADAPTERS_BACKEND_HTTP_H */
