#include <err.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "support/standin.h"

uint64_t
sti_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void
sti_handle_signal(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	event_base_loopbreak(arg);
}

struct event_base *
sti_event_base(void)
{
	struct event_base *base;

	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	if (base == NULL)
		errx(1, "event_base_new");
	event_add(evsignal_new(base, SIGTERM, sti_handle_signal, base), NULL);
	event_add(evsignal_new(base, SIGINT, sti_handle_signal, base), NULL);
	return base;
}

struct evhttp *
sti_http_server(struct event_base *base, uint16_t *port,
    void (*cb)(struct evhttp_request *, void *), void *arg)
{
	struct evhttp_bound_socket *bound;
	struct evhttp *http;

	http = evhttp_new(base);
	if (http == NULL)
		errx(1, "evhttp_new");
	bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	if (bound == NULL)
		err(1, "bind");
	*port = sti_bound_port(evhttp_bound_socket_get_fd(bound));
	evhttp_set_allowed_methods(http,
	    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
		EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, cb, arg);
	return http;
}

struct sockaddr_in
sti_loopback(uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons(port) };

	return sin;
}

uint16_t
sti_bound_port(int fd)
{
	struct sockaddr_in sin;
	socklen_t len;

	len = sizeof(sin);
	if (getsockname(fd, (struct sockaddr *)&sin, &len) == -1)
		err(1, "getsockname");
	return ntohs(sin.sin_port);
}

int
sti_write_file(const char *path, const char *text)
{
	char tmp[512];
	FILE *file;

	snprintf(tmp, sizeof(tmp), "%s.tmp", path);
	file = fopen(tmp, "w");
	if (file == NULL)
		return -1;
	fputs(text, file);
	if (fclose(file) != 0)
		return -1;
	return rename(tmp, path);
}

json_t *
sti_json_body(struct evhttp_request *req)
{
	struct evbuffer *in;
	size_t len;

	in = evhttp_request_get_input_buffer(req);
	len = evbuffer_get_length(in);
	if (len == 0)
		return NULL;
	return json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
}

void
sti_reply(struct evhttp_request *req, int status, json_t *json)
{
	struct evbuffer *out;
	char *text;

	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	out = evbuffer_new();
	if (text == NULL || out == NULL)
		errx(1, "out of memory");
	evbuffer_add(out, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	evhttp_send_reply(req, status, status < 400 ? "OK" : "Error", out);
	evbuffer_free(out);
	free(text);
}

const char *
sti_str(const json_t *json, const char *name, const char *fallback)
{
	const json_t *value;

	value = json_object_get(json, name);
	return json_is_string(value) ? json_string_value(value) : fallback;
}

int64_t
sti_int(const json_t *json, const char *name, int64_t fallback)
{
	const json_t *value;

	value = json_object_get(json, name);
	return json_is_integer(value) ? json_integer_value(value) : fallback;
}

const char *
sti_query(struct evhttp_request *req, const char *name, char *buf, size_t size)
{
	const struct evhttp_uri *uri;
	struct evkeyvalq params;
	const char *value;

	buf[0] = '\0';
	uri = evhttp_request_get_evhttp_uri(req);
	if (evhttp_uri_get_query(uri) == NULL ||
	    evhttp_parse_query_str(evhttp_uri_get_query(uri), &params) == -1)
		return buf;
	value = evhttp_find_header(&params, name);
	if (value != NULL)
		snprintf(buf, size, "%s", value);
	evhttp_clear_headers(&params);
	return buf;
}
