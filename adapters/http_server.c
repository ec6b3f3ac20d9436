/*
 * HTTP/1.1 server for clients and operators, based on libevhtp: the listening
 * socket and the timeouts of connections.
 */

#include <errno.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "adapters/http_internal.h"

#define HTTP_LISTEN_BACKLOG 1024
#define HTTP_IDLE_TIMEOUT_MS 120000
#define HTTP_WRITE_TIMEOUT_MS 30000 /* without a byte written */
#define HTTP_SWEEPS_PER_TIMEOUT 4

uint64_t
http_now_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static size_t
http_unsent_bytes(const struct http_conn *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->evconn->bev));
}

static enum http_state
http_state(const struct http_conn *conn)
{
	const evhtp_request_t *req = conn->evconn->request;

	if (conn->pending != NULL)
		return HTTP_HANDLING;
	if (http_unsent_bytes(conn) > 0)
		return HTTP_WRITING;
	if (evbuffer_get_length(conn->partial_headers) > 0 ||
	    (req != NULL && !(req->flags & EVHTP_REQ_FLAG_FINISHED)))
		return HTTP_READING;
	return HTTP_IDLE;
}

/*
 * Returns true if a connection has been in one state without progress for the
 * timeout of that state. Records changes of the state and progress.
 */
static bool
http_timed_out(struct http_conn *conn, uint64_t now_ms)
{
	const uint32_t timeouts_ms[] = {
		[HTTP_IDLE] = HTTP_IDLE_TIMEOUT_MS,
		[HTTP_READING] = conn->server->params.header_timeout_ms,
		[HTTP_HANDLING] = UINT32_MAX,
		[HTTP_WRITING] = HTTP_WRITE_TIMEOUT_MS,
	};
	enum http_state state = http_state(conn);
	uint64_t progress =
	    state == HTTP_WRITING ? http_unsent_bytes(conn) : conn->nreplies;

	if (state != conn->state || progress != conn->progress) {
		conn->state = state;
		conn->progress = progress;
		conn->last_progress_ms = now_ms;
	}
	return now_ms - conn->last_progress_ms >= timeouts_ms[state];
}

static void
http_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct http_server *server = arg;
	struct http_conn *conn, *next;
	uint64_t now_ms = http_now_ms();

	(void)fd;
	(void)what;
	for (conn = LIST_FIRST(&server->conns); conn != NULL; conn = next) {
		next = LIST_NEXT(conn, entry);
		if (!http_timed_out(conn, now_ms))
			continue;
		if (conn->state == HTTP_READING)
			(void)http_refuse(conn, REF_REQUEST_TIMEOUT);
		evhtp_connection_free(conn->evconn);
	}
}

static int
http_listen(struct http_server *server, struct err *err)
{
	const struct endpoint *listen = &server->params.listen;
	char address[sizeof(listen->address) + sizeof("ipv6:")];

	(void)snprintf(address, sizeof(address), "%s%s",
	    strchr(listen->address, ':') != NULL ? "ipv6:" : "",
	    listen->address);
	if (evhtp_bind_socket(server->htp, address, listen->port,
		HTTP_LISTEN_BACKLOG) != 0)
		return err_set(err, ERR_STEP_SETTINGS, ERR_UNAVAILABLE,
		    listen->address, "cannot listen on port %u: %s",
		    listen->port, strerror(errno));
	return 0;
}

static int
http_start_sweep(struct http_server *server)
{
	uint32_t ms =
	    server->params.header_timeout_ms / HTTP_SWEEPS_PER_TIMEOUT + 1;
	struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	server->sweep =
	    event_new(server->params.base, -1, EV_PERSIST, http_sweep, server);
	if (server->sweep == NULL)
		return -1;
	return event_add(server->sweep, &tv);
}

struct http_server *
http_server_create(const struct http_server_params *params, struct err *err)
{
	struct http_server *server;

	server = calloc(1, sizeof(*server));
	if (server == NULL)
		goto no_memory;
	server->params = *params;
	LIST_INIT(&server->conns);
	server->htp = evhtp_new(params->base, server);
	if (server->htp == NULL)
		goto no_memory;
	evhtp_enable_flag(server->htp, EVHTP_FLAG_ENABLE_NODELAY);
	evhtp_set_max_body_size(server->htp,
	    (uint64_t)params->body_bytes_max + 1);
	evhtp_set_gencb(server->htp, http_on_request, server);
	evhtp_set_post_accept_cb(server->htp, http_on_accept, server);
	if (http_start_sweep(server) == -1)
		goto no_memory;
	if (http_listen(server, err) == -1)
		goto error;
	return server;
no_memory:
	(void)err_set(err, ERR_STEP_SETTINGS, ERR_NO_MEMORY, NULL,
	    "out of memory for the HTTP server");
error:
	http_server_destroy(server);
	return NULL;
}

uint16_t
http_server_port(const struct http_server *server)
{
	struct sockaddr_storage addr = { 0 };
	socklen_t len = sizeof(addr);

	memset(&addr, 0, sizeof(addr));
	if (getsockname(evconnlistener_get_fd(server->htp->server),
		(struct sockaddr *)&addr, &len) == -1)
		return 0;
	if (addr.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&addr)->sin6_port);
	return ntohs(((struct sockaddr_in *)&addr)->sin_port);
}

void
http_server_disable_keep_alive(struct http_server *server)
{
	server->keep_alive_disabled = true;
}

size_t
http_server_active_connections(const struct http_server *server)
{
	const struct http_conn *conn;
	size_t n = 0;

	LIST_FOREACH (conn, &server->conns, entry) {
		if (conn->pending != NULL || http_unsent_bytes(conn) > 0)
			n++;
	}
	return n;
}

void
http_server_destroy(struct http_server *server)
{
	struct http_conn *conn;

	if (server == NULL)
		return;
	while ((conn = LIST_FIRST(&server->conns)) != NULL)
		evhtp_connection_free(conn->evconn);
	if (server->sweep != NULL)
		event_free(server->sweep);
	if (server->htp != NULL) {
		if (server->htp->server != NULL)
			evhtp_unbind_socket(server->htp);
		evhtp_free(server->htp);
	}
	free(server);
}
