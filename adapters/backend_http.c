/*
 * Transport to backend servers over HTTP/1.1, based on evhttp.
 *
 * Each address has a pool of keep-alive connections with one request at a time
 * on each. Bytes leave the output buffer only when they are written to the
 * socket. A call without a complete response therefore ends as NOT_SENT if no
 * byte has left the buffer, and as UNKNOWN otherwise. evhttp never retries a
 * request.
 */

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "adapters/backend_http.h"
#include "adapters/backend_http_internal.h"

#define BKH_CONNECT_TIMEOUT_MS 1000
#define BKH_SWEEP_INTERVAL_MS 5000
#define BKH_COPY_BYTES_MAX 4096 /* longer bodies are not copied */

/* Headers of a response that are evaluated. */
struct bkh_headers {
	const char *task;
	const char *refused;
	bool has_length;
	bool chunked;
	bool closing;
};

static bool
bkh_is_numeric_address(const char *address)
{
	struct in6_addr buf;

	return inet_pton(AF_INET, address, &buf) == 1 ||
	    inet_pton(AF_INET6, address, &buf) == 1;
}

void
bkh_call_free(struct backend_call *call)
{
	event_del(&call->timer);
	free(call);
}

/* Separates a call from its connection, which is in no list afterwards. */
static struct bkh_conn *
bkh_call_detach(struct backend_call *call)
{
	struct bkh_conn *conn = call->conn;

	TAILQ_REMOVE(&conn->pool->busy, conn, entry);
	conn->call = NULL;
	call->conn = NULL;
	return conn;
}

static void
bkh_call_finish(struct backend_call *call, const struct backend_reply *reply)
{
	backend_done_fn done = call->done;
	void *arg = call->arg;

	bkh_call_free(call);
	done(arg, reply);
}

/* Ends a call without a usable response: NOT_SENT if nothing was sent, else
 * UNKNOWN. */
static void
bkh_call_fail(struct backend_call *call, enum err_code code, const char *reason)
{
	struct backend_reply reply = { .status = BACKEND_NOT_SENT };

	if (call->bytes_sent != 0) {
		reply.status = BACKEND_UNKNOWN;
		err_set(&reply.err, ERR_STEP_RECEIVE, code, call->server->name,
		    "%s after %zu bytes were sent", reason, call->bytes_sent);
	} else {
		err_set(&reply.err, ERR_STEP_CONNECT, ERR_UNAVAILABLE,
		    call->server->name, "%s; nothing was sent", reason);
	}
	bkh_call_finish(call, &reply);
}

/* Queues a call that ended within start(); the deferred event reports it. */
static void
bkh_call_defer(struct backend_http *http, struct backend_call *call,
    enum err_code code, const char *reason)
{
	err_set(&call->err, ERR_STEP_CONNECT, code, call->server->name, "%s",
	    reason);
	STAILQ_INSERT_TAIL(&http->deferred_calls, call, deferred);
	http->ndeferred_calls++;
	event_active(http->deferred, EV_TIMEOUT, 0);
}

static void
bkh_read_headers(struct evkeyvalq *list, struct bkh_headers *headers)
{
	const struct evkeyval *kv;

	TAILQ_FOREACH (kv, list, next) {
		if (strcasecmp(kv->key, "Content-Length") == 0)
			headers->has_length = true;
		else if (strcasecmp(kv->key, "Transfer-Encoding") == 0)
			headers->chunked =
			    strcasecmp(kv->value, "chunked") == 0;
		else if (strcasecmp(kv->key, "Connection") == 0)
			headers->closing = strcasecmp(kv->value, "close") == 0;
		else if (strcasecmp(kv->key, "Berylrail-Task") == 0)
			headers->task = kv->value;
		else if (strcasecmp(kv->key, "Berylrail-Refused") == 0)
			headers->refused = kv->value;
	}
}

/* Returns why a response cannot be verified to be the complete response to the
 * task of @call; NULL if it can. */
static const char *
bkh_check_response(const struct backend_call *call, const struct bkh_conn *conn,
    const struct bkh_headers *headers, int http_status)
{
	if (headers->task != NULL && strcmp(headers->task, call->task_id) != 0)
		return "response is for another task";
	if (headers->task == NULL && conn->echoes_task_id &&
	    http_status / 100 == 2)
		return "response without a task id";
	if (http_status / 100 == 2 && http_status != HTTP_NOCONTENT &&
	    !headers->has_length && !headers->chunked)
		return "response without a length";
	return NULL;
}

static void
bkh_classify_response(const struct backend_call *call,
    const struct bkh_headers *headers, struct backend_reply *reply)
{
	const char *peer = call->server->name;

	if (reply->http_status / 100 == 2) {
		reply->status = BACKEND_OK;
	} else if (reply->http_status == HTTP_SERVUNAVAIL &&
	    headers->refused != NULL) {
		reply->status = BACKEND_REFUSED;
		reply->leaving |= strcasecmp(headers->refused, "leaving") == 0;
		err_set(&reply->err, ERR_STEP_SEND, ERR_REFUSED, peer,
		    "refused by the server: %.32s", headers->refused);
	} else {
		reply->status = BACKEND_TASK_FAILED;
		err_set(&reply->err, ERR_STEP_RECEIVE, ERR_FAILED, peer,
		    "HTTP status %d", reply->http_status);
	}
}

/* Handles a complete response. The connection becomes idle, or is discarded if
 * the server closes it or the response can't be verified. */
static void
bkh_handle_response(struct backend_call *call, struct evhttp_request *request)
{
	struct backend_reply reply = { 0 };
	struct bkh_headers headers = { 0 };
	struct bkh_conn *conn = bkh_call_detach(call);
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	const char *violation;

	bkh_read_headers(evhttp_request_get_input_headers(request), &headers);
	reply.http_status = evhttp_request_get_response_code(request);
	reply.leaving = headers.closing;
	violation = bkh_check_response(call, conn, &headers, reply.http_status);
	conn->echoes_task_id |= headers.task != NULL;
	if (violation != NULL || headers.closing) {
		bkh_conn_discard(conn);
	} else {
		event_base_gettimeofday_cached(conn->pool->owner->base,
		    &conn->idle_since);
		TAILQ_INSERT_HEAD(&conn->pool->idle, conn, entry);
	}
	if (violation != NULL) {
		reply.status = BACKEND_UNKNOWN;
		err_set(&reply.err, ERR_STEP_RECEIVE, ERR_CORRUPT,
		    call->server->name, "%s", violation);
	} else {
		bkh_classify_response(call, &headers, &reply);
		reply.body_len = evbuffer_get_length(input);
		reply.body = evbuffer_pullup(input, -1);
	}
	bkh_call_finish(call, &reply);
}

static void
bkh_request_error(enum evhttp_request_error error, void *arg)
{
	struct bkh_conn *conn = arg;

	if (conn->call == NULL)
		return;
	conn->call->has_error = true;
	conn->call->error = error;
}

/* Called by evhttp at the end of a request. The request has failed if @request
 * is NULL or has no status code. The connection must not be freed here. */
static void
bkh_request_done(struct evhttp_request *request, void *arg)
{
	struct bkh_conn *conn = arg;
	struct backend_call *call = conn->call;
	struct backend_http *http;

	if (call == NULL)
		return;
	http = conn->pool->owner;
	if (request != NULL && !call->has_error &&
	    evhttp_request_get_response_code(request) != 0) {
		bkh_handle_response(call, request);
		return;
	}
	bkh_conn_discard(bkh_call_detach(call));
	if (call->in_start)
		bkh_call_defer(http, call, ERR_UNAVAILABLE, "connect failed");
	else if (call->has_error && call->error == EVREQ_HTTP_DATA_TOO_LONG)
		bkh_call_fail(call, ERR_TOO_LARGE, "response too large");
	else if (call->has_error && call->error == EVREQ_HTTP_INVALID_HEADER)
		bkh_call_fail(call, ERR_CORRUPT, "malformed response");
	else
		bkh_call_fail(call, ERR_LOST, "connection closed");
}

static void
bkh_timed_out(evutil_socket_t fd, short what, void *arg)
{
	struct backend_call *call = arg;
	struct bkh_conn *conn = bkh_call_detach(call);

	(void)fd;
	(void)what;
	conn->pool->nconns--;
	bkh_conn_free(conn);
	bkh_call_fail(call, ERR_DEADLINE, "timed out");
}

/* On a new connection the timer starts with the connect timeout if that is
 * shorter; the timeout of the call then starts with the first byte sent. */
static void
bkh_arm_timer(struct backend_call *call, uint64_t timeout_us, bool new_conn)
{
	const uint64_t connect_us = BKH_CONNECT_TIMEOUT_MS * 1000ULL;
	struct timeval tv;

	if (new_conn && timeout_us > connect_us) {
		call->call_timeout.tv_sec = (time_t)(timeout_us / 1000000);
		call->call_timeout.tv_usec =
		    (suseconds_t)(timeout_us % 1000000);
		timeout_us = connect_us;
	}
	tv.tv_sec = (time_t)(timeout_us / 1000000);
	tv.tv_usec = (suseconds_t)(timeout_us % 1000000);
	event_add(&call->timer, &tv);
}

static struct evhttp_request *
bkh_build_request(struct bkh_conn *conn, const struct backend_request *request)
{
	struct evhttp_request *req;
	struct evkeyvalq *headers;
	struct evbuffer *output;
	int result;

	req = evhttp_request_new(bkh_request_done, conn);
	if (req == NULL)
		return NULL;
	evhttp_request_set_error_cb(req, bkh_request_error);
	headers = evhttp_request_get_output_headers(req);
	output = evhttp_request_get_output_buffer(req);
	result = evhttp_add_header(headers, "Host", conn->pool->host_header) |
	    evhttp_add_header(headers, "Berylrail-Task", request->task_id);
	if (request->body_len > BKH_COPY_BYTES_MAX)
		result |= evbuffer_add_reference(output, request->body,
		    request->body_len, NULL, NULL);
	else if (request->body_len != 0)
		result |=
		    evbuffer_add(output, request->body, request->body_len);
	if (result != 0) {
		evhttp_request_free(req);
		return NULL;
	}
	return req;
}

static struct backend_call *
bkh_call_create(struct backend_http *http,
    const struct backend_request *request, backend_done_fn done, void *arg)
{
	struct backend_call *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return NULL;
	call->done = done;
	call->arg = arg;
	call->task_id = request->task_id;
	call->server = request->server;
	evtimer_assign(&call->timer, http->base, bkh_timed_out, call);
	return call;
}

/* Sends the request of a call on @conn, which is in no list. */
static void
bkh_call_send(struct backend_call *call, struct bkh_conn *conn,
    const struct backend_request *request, bool new_conn)
{
	struct evhttp_request *req;

	call->conn = conn;
	conn->call = call;
	TAILQ_INSERT_TAIL(&conn->pool->busy, conn, entry);
	bkh_arm_timer(call, request->timeout_us, new_conn);
	call->in_start = true;
	req = bkh_build_request(conn, request);
	/* evhttp frees a request that could not be started. */
	if (req == NULL ||
	    evhttp_make_request(conn->evcon, req, EVHTTP_REQ_POST,
		request->path) != 0) {
		if (call->conn != NULL) {
			struct backend_http *http = conn->pool->owner;

			bkh_conn_discard(bkh_call_detach(call));
			bkh_call_defer(http, call, ERR_UNAVAILABLE,
			    "request could not be started");
		}
	}
	call->in_start = false;
}

static struct backend_call *
bkh_start(struct backend *backend, const struct backend_request *request,
    backend_done_fn done, void *arg)
{
	struct backend_http *http = (struct backend_http *)backend;
	struct backend_call *call;
	struct bkh_pool *pool;
	struct bkh_conn *conn;
	bool new_conn;

	call = bkh_call_create(http, request, done, arg);
	if (call == NULL)
		return NULL;
	if (!bkh_is_numeric_address(request->server->address)) {
		bkh_call_defer(http, call, ERR_INVALID,
		    "the address of the server is not numeric");
		return call;
	}
	pool = bkh_pool_get(http, request->server);
	if (pool == NULL)
		goto error;
	conn = bkh_conn_reuse(pool);
	new_conn = conn == NULL;
	if (new_conn && pool->nconns >= request->connections_max) {
		bkh_call_defer(http, call, ERR_OVERLOAD,
		    "all connections are in use");
		return call;
	}
	if (new_conn) {
		conn = bkh_conn_create(pool);
		if (conn == NULL)
			goto error;
	}
	bkh_call_send(call, conn, request, new_conn);
	return call;
error:
	bkh_call_free(call);
	return NULL;
}

static bool
bkh_cancel(struct backend *backend, struct backend_call *call)
{
	struct backend_http *http = (struct backend_http *)backend;
	bool not_sent = call->bytes_sent == 0;
	struct bkh_conn *conn;

	if (call->conn == NULL) {
		STAILQ_REMOVE(&http->deferred_calls, call, backend_call,
		    deferred);
		http->ndeferred_calls--;
	} else {
		conn = bkh_call_detach(call);
		conn->pool->nconns--;
		bkh_conn_free(conn);
	}
	bkh_call_free(call);
	return not_sent;
}

/* Frees discarded connections and reports deferred calls. */
static void
bkh_run_deferred(evutil_socket_t fd, short what, void *arg)
{
	struct backend_http *http = arg;
	struct backend_call *call;
	struct bkh_conn *conn;
	size_t n;

	(void)fd;
	(void)what;
	while ((conn = TAILQ_FIRST(&http->discarded)) != NULL) {
		TAILQ_REMOVE(&http->discarded, conn, entry);
		bkh_conn_free(conn);
	}
	/* Calls deferred by these callbacks are reported by the next event. */
	for (n = http->ndeferred_calls; n > 0; n--) {
		struct backend_reply reply = { .status = BACKEND_NOT_SENT };

		call = STAILQ_FIRST(&http->deferred_calls);
		if (call == NULL)
			break;
		reply.err = call->err;
		STAILQ_REMOVE_HEAD(&http->deferred_calls, deferred);
		http->ndeferred_calls--;
		bkh_call_finish(call, &reply);
	}
}

static const struct backend_ops bkh_ops = {
	.start = bkh_start,
	.cancel = bkh_cancel,
};

struct backend *
backend_http_create(struct event_base *base)
{
	struct timeval interval = {
		.tv_sec = BKH_SWEEP_INTERVAL_MS / 1000,
		.tv_usec = BKH_SWEEP_INTERVAL_MS % 1000 * 1000,
	};
	struct backend_http *http;

	http = calloc(1, sizeof(*http));
	if (http == NULL)
		return NULL;
	http->backend.ops = &bkh_ops;
	http->base = base;
	STAILQ_INIT(&http->deferred_calls);
	TAILQ_INIT(&http->discarded);
	http->sweep = event_new(base, -1, EV_PERSIST, bkh_sweep, http);
	http->deferred = event_new(base, -1, 0, bkh_run_deferred, http);
	if (http->sweep == NULL || http->deferred == NULL ||
	    event_add(http->sweep, &interval) != 0) {
		backend_http_destroy(&http->backend);
		return NULL;
	}
	return &http->backend;
}

void
backend_http_destroy(struct backend *backend)
{
	struct backend_http *http = (struct backend_http *)backend;
	struct backend_call *call;
	struct bkh_conn *conn;
	size_t i;

	if (http == NULL)
		return;
	for (i = 0; i < BKH_POOL_BUCKETS; i++) {
		while (!LIST_EMPTY(&http->pools[i]))
			bkh_pool_free(LIST_FIRST(&http->pools[i]));
	}
	while ((conn = TAILQ_FIRST(&http->discarded)) != NULL) {
		TAILQ_REMOVE(&http->discarded, conn, entry);
		bkh_conn_free(conn);
	}
	while ((call = STAILQ_FIRST(&http->deferred_calls)) != NULL) {
		STAILQ_REMOVE_HEAD(&http->deferred_calls, deferred);
		bkh_call_free(call);
	}
	if (http->sweep != NULL)
		event_free(http->sweep);
	if (http->deferred != NULL)
		event_free(http->deferred);
	free(http);
}
