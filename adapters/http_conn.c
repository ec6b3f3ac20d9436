/*
 * Connections of clients. The API handles at most one request of a connection
 * at a time, and identifies it by its struct http_conn. A request ends with a
 * reply, or is abandoned when its connection ends.
 *
 * libevhtp closes a connection without a response when the parser or a hook
 * rejects a request. The refusal is therefore sent by the hook that runs at
 * the end of the connection, directly to the socket: no other output is
 * pending at that time.
 *
 * libevhtp's parser inserts a byte into the path or query of a request that
 * reaches it in two pieces. It is therefore given headers only when they are
 * complete; until then they are kept apart from the input, which libevhtp also
 * parses without a callback here when a connection is resumed.
 */

#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "adapters/http_internal.h"
#include "adapters/log.h"
#include "berylrail/limits.h"
#include "core/counters.h"
#include "entry/problem.h"

#define HTTP_HEADER_BYTES_MAX 16384 /* all headers of a request */
/* Input that is discarded before a refused connection is closed. */
#define HTTP_DISCARD_BYTES_MAX (1U << 20)
/* Longer headers are passed to the parser, which refuses them. */
#define HTTP_PARTIAL_HEADERS_BYTES_MAX (2 * HTTP_HEADER_BYTES_MAX)
/* Input that is buffered while the parser is paused. */
#define HTTP_READ_AHEAD_BYTES_MAX 65536

static struct counter http_connections = {
	.name = "berylrail_client_connections",
	.help = "Open connections of clients.",
	.gauge = 1,
};

static void
http_format_client_name(char name[HTTP_CLIENT_NAME_SIZE],
    const struct sockaddr *addr)
{
	const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)addr;
	const struct sockaddr_in *in = (const struct sockaddr_in *)addr;
	char text[INET6_ADDRSTRLEN] = "";

	if (addr->sa_family == AF_INET) {
		(void)evutil_inet_ntop(AF_INET, &in->sin_addr, text,
		    sizeof(text));
		(void)snprintf(name, HTTP_CLIENT_NAME_SIZE, "%s:%u", text,
		    ntohs(in->sin_port));
	} else if (addr->sa_family == AF_INET6) {
		(void)evutil_inet_ntop(AF_INET6, &in6->sin6_addr, text,
		    sizeof(text));
		(void)snprintf(name, HTTP_CLIENT_NAME_SIZE, "[%s]:%u", text,
		    ntohs(in6->sin6_port));
	}
}

/* Discards the input received so far. Closing a socket with unread input would
 * reset the connection, and the client might not receive the refusal. */
static void
http_discard_input(evutil_socket_t fd)
{
	char buf[16384];
	size_t total = 0;
	ssize_t n;

	(void)shutdown(fd, SHUT_WR);
	while (total < HTTP_DISCARD_BYTES_MAX) {
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n <= 0)
			break;
		total += (size_t)n;
	}
}

/* Sends a refusal on a connection that is about to be closed. */
static void
http_send_refusal(evutil_socket_t fd, enum refusal refusal, const char *client)
{
	const struct refusal_row *row = refusal_get(refusal);
	char head[256];
	struct err err;
	size_t len;
	char *body;
	int n;

	refusal_set_err(&err, refusal, client);
	refusal_count(&err);
	log_error(LOG_LEVEL_INFO, "request-refused", &err);
	body = problem_render(row, &err, &len);
	if (body == NULL)
		return;
	n = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d Refused\r\nContent-Type: %s\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n\r\n",
	    row->status, PROBLEM_TYPE, len);
	(void)send(fd, head, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL | MSG_MORE);
	(void)send(fd, body, len, MSG_DONTWAIT | MSG_NOSIGNAL);
	free(body);
	http_discard_input(fd);
}

static void
http_abandon(struct http_server *server, struct http_conn *conn)
{
	if (server->params.handler != NULL)
		server->params.handler->abandon(server->params.handler->arg,
		    conn);
	else
		api_abandon(server->params.api, conn);
}

static evhtp_res
http_on_fini(evhtp_connection_t *evconn, void *arg)
{
	struct http_conn *conn = arg;
	struct http_server *server = conn->server;
	bool response_in_progress = conn->pending != NULL ||
	    (evconn->request != NULL &&
		(evconn->request->flags & EVHTP_REQ_FLAG_FINISHED));

	if (!conn->refused && evconn->request != NULL &&
	    evconn->request->status == EVHTP_RES_DATA_TOO_LONG) {
		conn->refused = true;
		conn->refusal = REF_BODY_BYTES;
	}
	if (!conn->refused &&
	    htparser_get_error(evconn->parser) != htparse_error_none) {
		conn->refused = true;
		conn->refusal =
		    htparser_get_error(evconn->parser) == htparse_error_too_big
		    ? REF_HEADER_BYTES
		    : REF_MALFORMED;
	}
	if (conn->refused && !response_in_progress)
		http_send_refusal(evconn->sock, conn->refusal, conn->client);
	if (conn->pending != NULL)
		http_abandon(server, conn);
	LIST_REMOVE(conn, entry);
	ctr_set(&http_connections, --server->nconns);
	event_free(conn->resume);
	evbuffer_free(conn->partial_headers);
	free(conn);
	return EVHTP_RES_OK;
}

evhtp_res
http_refuse(struct http_conn *conn, enum refusal refusal)
{
	conn->refused = true;
	conn->refusal = refusal;
	return EVHTP_RES_ERROR;
}

static evhtp_res
http_on_headers_start(evhtp_request_t *req, void *arg)
{
	struct http_conn *conn = arg;

	(void)req;
	conn->nheaders = 0;
	conn->header_bytes = 0;
	return EVHTP_RES_OK;
}

static evhtp_res
http_on_header(evhtp_request_t *req, evhtp_header_t *header, void *arg)
{
	struct http_conn *conn = arg;

	(void)req;
	conn->header_bytes += header->klen + header->vlen;
	if (++conn->nheaders > HEADERS_MAX)
		return http_refuse(conn, REF_HEADERS);
	if (conn->header_bytes > HTTP_HEADER_BYTES_MAX)
		return http_refuse(conn, REF_HEADER_BYTES);
	return EVHTP_RES_OK;
}

static evhtp_res
http_on_headers(evhtp_request_t *req, evhtp_headers_t *headers, void *arg)
{
	struct http_conn *conn = arg;
	evhtp_kv_t *type;

	conn->awaiting_headers = false;
	if (evhtp_request_content_len(req) >
	    conn->server->params.body_bytes_max)
		return http_refuse(conn, REF_BODY_BYTES);
	/* libevhtp would parse the body of a form as the query string. */
	type = evhtp_kvs_find_kv(headers, "Content-Type");
	if (type != NULL)
		evhtp_kv_rm_and_free(headers, type);
	return EVHTP_RES_OK;
}

static enum api_method
http_method(htp_method method)
{
	switch (method) {
	case htp_method_GET:
		return API_GET;
	case htp_method_POST:
		return API_POST;
	case htp_method_DELETE:
		return API_DELETE;
	case htp_method_PATCH:
		return API_PATCH;
	default:
		return API_OTHER;
	}
}

static void
http_add_header(evhtp_request_t *req, const char *name, const char *value)
{
	evhtp_headers_add_header(req->headers_out,
	    evhtp_header_new(name, value, 0, 1));
}

/* Whether the input contains the empty line at the end of the headers. */
static bool
http_headers_complete(struct evbuffer *input)
{
	return evbuffer_search(input, "\n\r\n", 3, NULL).pos != -1 ||
	    evbuffer_search(input, "\n\n", 2, NULL).pos != -1;
}

/* Takes incomplete headers out of the input, to which more was added. */
static void
http_hold_partial_headers(struct http_conn *conn)
{
	struct evbuffer *input = bufferevent_get_input(conn->evconn->bev);

	if (!conn->awaiting_headers)
		return;
	if (evbuffer_get_length(conn->partial_headers) > 0)
		(void)evbuffer_prepend_buffer(input, conn->partial_headers);
	if (!http_headers_complete(input) &&
	    evbuffer_get_length(input) < HTTP_PARTIAL_HEADERS_BYTES_MAX)
		(void)evbuffer_add_buffer(conn->partial_headers, input);
}

static void
http_on_readable(struct bufferevent *bev, void *arg)
{
	evhtp_connection_t *evconn = arg;
	struct http_conn *conn = evconn->hooks->on_header_arg;

	http_hold_partial_headers(conn);
	if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		conn->parse(bev, evconn);
}

/* Lets the parser continue with the next request. */
static void
http_resume_parser(struct http_conn *conn)
{
	http_hold_partial_headers(conn);
	evhtp_connection_resume(conn->evconn);
}

static void
http_reply(void *arg, const struct api_reply *reply)
{
	struct http_conn *conn = arg;
	evhtp_request_t *req = conn->pending;
	char length[24];

	conn->pending = NULL;
	conn->nreplies++;
	if (req->method == htp_method_HEAD) {
		http_add_header(req, "Content-Length", "0");
	} else {
		(void)snprintf(length, sizeof(length), "%zu", reply->body_len);
		http_add_header(req, "Content-Length", length);
		if (reply->content_type != NULL)
			http_add_header(req, "Content-Type",
			    reply->content_type);
		if (reply->body_len > 0)
			(void)evbuffer_add(req->buffer_out, reply->body,
			    reply->body_len);
	}
	if (reply->outcome != NULL)
		http_add_header(req, "Berylrail-Outcome", reply->outcome);
	if (reply->next_ticket != NULL)
		http_add_header(req, "Berylrail-Ticket", reply->next_ticket);
	if (reply->retry_after_s != 0) {
		(void)snprintf(length, sizeof(length), "%u",
		    (unsigned int)reply->retry_after_s);
		http_add_header(req, "Retry-After", length);
	}
	if (conn->server->keep_alive_disabled) {
		evhtp_request_disable_flag(req, EVHTP_REQ_FLAG_KEEPALIVE);
		http_add_header(req, "Connection", "close");
	}
	evhtp_send_reply(req, (evhtp_res)reply->status);
	if (conn->in_parser)
		event_active(conn->resume, EV_TIMEOUT, 1);
	else
		http_resume_parser(conn);
}

/* Resumes the parser, which has returned; it processes the buffered input. */
static void
http_resume(evutil_socket_t fd, short what, void *arg)
{
	struct http_conn *conn = arg;

	(void)fd;
	(void)what;
	http_resume_parser(conn);
}

/*
 * Pauses the parser until the reply; further input is buffered.
 * evhtp_request_pause() would also stop reading from the socket, and the end
 * of the connection would not be detected.
 */
static void
http_pause_parser(struct http_conn *conn)
{
	conn->pending->status = EVHTP_RES_PAUSE;
	evhtp_connection_enable_flag(conn->evconn, EVHTP_CONN_FLAG_PAUSED);
}

/* libevhtp frees a closed connection only if it is not paused. */
static void
http_on_event(evhtp_connection_t *evconn, short events, void *arg)
{
	(void)arg;
	if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		evhtp_connection_disable_flag(evconn, EVHTP_CONN_FLAG_PAUSED);
}

/* Value of a numeric header; 0 if it is absent or malformed. */
static uint32_t
http_parse_number(const char *text)
{
	unsigned long value = text == NULL ? 0 : strtoul(text, NULL, 10);

	return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

void
http_on_request(evhtp_request_t *req, void *arg)
{
	struct http_server *server = arg;
	struct http_conn *conn = req->conn->hooks->on_header_arg;
	evhtp_headers_t *headers = req->headers_in;
	struct api_request request = {
		.method = http_method(req->method),
		.query = "",
		.idempotency_key = evhtp_kv_find(headers, "Idempotency-Key"),
		.job = evhtp_kv_find(headers, "Berylrail-Job"),
		.ticket = evhtp_kv_find(headers, "Berylrail-Ticket"),
		.operator_name = evhtp_kv_find(headers, "Berylrail-Operator"),
		.client = conn->client,
		.host = evhtp_kv_find(headers, "Host"),
		.deadline_ms =
		    http_parse_number(evhtp_kv_find(headers, "Deadline-Ms")),
	};

	if (request.host == NULL)
		request.host = "";
	request.path = req->uri == NULL || req->uri->path == NULL ||
		req->uri->path->full == NULL
	    ? ""
	    : req->uri->path->full;
	if (req->uri != NULL && req->uri->query_raw != NULL)
		request.query = (const char *)req->uri->query_raw;
	request.body_len = evbuffer_get_length(req->buffer_in);
	if (request.body_len > 0)
		request.body = evbuffer_pullup(req->buffer_in, -1);
	conn->pending = req;
	conn->awaiting_headers = true;
	http_pause_parser(conn);
	conn->in_parser = true;
	if (server->params.handler != NULL)
		server->params.handler->handle(server->params.handler->arg,
		    &request, http_reply, conn);
	else
		api_handle(server->params.api, &request, http_reply, conn);
	conn->in_parser = false;
	/* evhtp_send_reply() overwrites the status; this value makes libevhtp
	 * wait until the connection is resumed. */
	req->status = EVHTP_RES_PAUSE;
}

static int
http_set_hooks(struct http_conn *conn)
{
	evhtp_connection_t *evconn = conn->evconn;
	bufferevent_data_cb write_cb;
	bufferevent_event_cb event_cb;
	void *cb_arg;

	if (evhtp_connection_set_hook(evconn, evhtp_hook_on_headers_start,
		(evhtp_hook)http_on_headers_start, conn) != 0 ||
	    evhtp_connection_set_hook(evconn, evhtp_hook_on_header,
		(evhtp_hook)http_on_header, conn) != 0 ||
	    evhtp_connection_set_hook(evconn, evhtp_hook_on_headers,
		(evhtp_hook)http_on_headers, conn) != 0 ||
	    evhtp_connection_set_hook(evconn, evhtp_hook_on_event,
		(evhtp_hook)(void (*)(void))http_on_event, conn) != 0 ||
	    evhtp_connection_set_hook(evconn, evhtp_hook_on_connection_fini,
		(evhtp_hook)http_on_fini, conn) != 0)
		return -1;
	bufferevent_setwatermark(evconn->bev, EV_READ, 0,
	    HTTP_READ_AHEAD_BYTES_MAX);
	bufferevent_getcb(evconn->bev, &conn->parse, &write_cb, &event_cb,
	    &cb_arg);
	bufferevent_setcb(evconn->bev, http_on_readable, write_cb, event_cb,
	    cb_arg);
	return 0;
}

evhtp_res
http_on_accept(evhtp_connection_t *evconn, void *arg)
{
	struct http_server *server = arg;
	struct http_conn *conn;

	if (server->nconns >= server->params.clients_max) {
		http_send_refusal(evconn->sock, REF_CONNECTIONS, NULL);
		return EVHTP_RES_ERROR;
	}
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return EVHTP_RES_ERROR;
	conn->server = server;
	conn->evconn = evconn;
	conn->last_progress_ms = http_now_ms();
	http_format_client_name(conn->client, evconn->saddr);
	conn->awaiting_headers = true;
	conn->partial_headers = evbuffer_new();
	conn->resume = event_new(server->params.base, -1, 0, http_resume, conn);
	if (conn->partial_headers == NULL || conn->resume == NULL ||
	    http_set_hooks(conn) == -1) {
		evhtp_connection_unset_hook(evconn,
		    evhtp_hook_on_connection_fini);
		if (conn->resume != NULL)
			event_free(conn->resume);
		if (conn->partial_headers != NULL)
			evbuffer_free(conn->partial_headers);
		free(conn);
		return EVHTP_RES_ERROR;
	}
	LIST_INSERT_HEAD(&server->conns, conn, entry);
	ctr_set(&http_connections, ++server->nconns);
	return EVHTP_RES_OK;
}
