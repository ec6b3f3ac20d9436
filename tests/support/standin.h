#ifndef SUPPORT_STANDIN_H
#define SUPPORT_STANDIN_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdint.h>

/* Helpers of the stand-in programs: event loop, HTTP server, files, JSON. */

/** sti_now_ms() - monotonic time, comparable between processes of a machine. */
uint64_t sti_now_ms(void);

/**
 * sti_event_base() - create an event base; SIGTERM and SIGINT end its loop.
 * Exits on failure.
 */
struct event_base *sti_event_base(void);

/**
 * sti_http_server() - start an HTTP server on a free port of loopback.
 * @port: set to the port.
 * @cb: called for each request.
 */
struct evhttp *sti_http_server(struct event_base *base, uint16_t *port,
    void (*cb)(struct evhttp_request *, void *), void *arg);

/** sti_loopback() - socket address of a port of loopback. */
struct sockaddr_in sti_loopback(uint16_t port);

/** sti_bound_port() - port that a socket is bound to; exits on failure. */
uint16_t sti_bound_port(int fd);

/**
 * sti_write_file() - write a file and rename it into place, so that a reader
 * never sees part of it.
 * Return: 0 or -1.
 */
int sti_write_file(const char *path, const char *text);

/** sti_json_body() - parse the body of a request; NULL if it is not JSON. */
json_t *sti_json_body(struct evhttp_request *req);

/** sti_reply() - send a JSON response; takes over the reference to @json. */
void sti_reply(struct evhttp_request *req, int status, json_t *json);

/** sti_str() - string member of a JSON object, @fallback if absent. */
const char *sti_str(const json_t *json, const char *name, const char *fallback);

/** sti_int() - integer member of a JSON object, @fallback if absent. */
int64_t sti_int(const json_t *json, const char *name, int64_t fallback);

/** sti_query() - copy the value of a query parameter to @buf; "" if absent. */
const char *sti_query(struct evhttp_request *req, const char *name, char *buf,
    size_t size);

#endif /* SUPPORT_STANDIN_H */
