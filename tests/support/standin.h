#ifndef SUPPORT_STANDIN_H
#define SUPPORT_STANDIN_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdint.h>

/* What the stand-in programs have in common. */

/** sti_now_ms() - monotonic time, the same for all processes. */
uint64_t sti_now_ms(void);

/** sti_event_base() - event base that SIGTERM and SIGINT end; exits on failure.
 */
struct event_base *sti_event_base(void);

/** sti_http_server() - HTTP server on loopback; its port in *port. */
struct evhttp *sti_http_server(struct event_base *base, uint16_t *port,
    void (*cb)(struct evhttp_request *, void *), void *arg);

/** sti_loopback() - socket address of a port on loopback. */
struct sockaddr_in sti_loopback(uint16_t port);

/** sti_bound_port() - port to which a socket is bound; exits on failure. */
uint16_t sti_bound_port(int fd);

/**
 * sti_write_file() - write a file by renaming, so that readers see it whole.
 * Return: 0 or -1.
 */
int sti_write_file(const char *path, const char *text);

/** sti_json_body() - body of a request as JSON, or NULL. */
json_t *sti_json_body(struct evhttp_request *req);

/** sti_reply() - answer with JSON; takes over the reference @json. */
void sti_reply(struct evhttp_request *req, int status, json_t *json);

/** sti_str() - string member of a JSON object, or @otherwise. */
const char *sti_str(const json_t *json, const char *name, const char *fallback);

/** sti_int() - integer member of a JSON object, or @otherwise. */
int64_t sti_int(const json_t *json, const char *name, int64_t fallback);

/** sti_query() - value of a query parameter, copied to @buf; "" if none. */
const char *sti_query(struct evhttp_request *req, const char *name, char *buf,
    size_t size);

#endif /* SUPPORT_STANDIN_H */
