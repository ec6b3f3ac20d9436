/*
 * Client of one HTTP server, based on evhttp. Whether a request was sent is
 * observed at the output buffer, which shrinks only when bytes are written to
 * the socket. Calls are started and connections freed by one deferred event,
 * never within a callback of evhttp.
 */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "adapters/clock_real.h"
#include "adapters/http_client_internal.h"

const char *
hcl_peer(const struct hcl *hcl)
{
	return hcl->peer;
}

int
hcl_err(const struct hcl *hcl, const struct hcl_reply *reply,
    enum err_step step, struct err *err)
{
	if (reply->status != 0)
		return err_set(err, step, ERR_REFUSED, hcl->peer,
		    "HTTP status %d", reply->status);
	if (!reply->sent)
		return err_set(err, step, ERR_UNAVAILABLE, hcl->peer,
		    "%s; nothing was sent", reply->reason);
	return err_set(err, step, reply->timed_out ? ERR_DEADLINE : ERR_LOST,
	    hcl->peer, "%s after the request was sent", reply->reason);
}

static uint64_t
hcl_now_us(void)
{
	return clock_now_us(clock_real());
}

void
hcl_schedule_deferred(struct hcl *hcl)
{
	event_active(hcl->deferred, EV_TIMEOUT, 0);
}

void
hcl_call_free(struct hcl_call *call)
{
	if (call->timer != NULL)
		event_free(call->timer);
	if (call->request != NULL)
		evhttp_request_free(call->request);
	free(call->path);
	free(call);
}

/* Reports the result of a call that is in no list and has no connection. */
static void
hcl_call_finish(struct hcl_call *call, const struct hcl_reply *reply)
{
	hcl_done_fn done = call->done;
	void *arg = call->arg;

	event_del(call->timer);
	if (!call->abandoned)
		done(arg, reply);
	hcl_call_free(call);
}

static void
hcl_call_fail(struct hcl_call *call, const char *reason, bool timed_out)
{
	struct hcl_reply reply = { .sent = call->sent,
		.timed_out = timed_out,
		.refused = call->refused,
		.reason = reason };

	hcl_call_finish(call, &reply);
}

/* Queues a failed call, which is in no list; the next deferred event reports
 * it. */
static void
hcl_call_defer_failure(struct hcl_call *call, const char *reason)
{
	(void)event_del(call->timer);
	call->failure = reason;
	TAILQ_INSERT_TAIL(&call->hcl->failed, call, entry);
	hcl_schedule_deferred(call->hcl);
}

/* Sends a call on a connection. evhttp takes ownership of the request. */
static void
hcl_call_send(struct hcl_call *call, struct hcl_conn *conn)
{
	struct evhttp_request *request = call->request;

	call->request = NULL;
	call->conn = conn;
	conn->call = call;
	TAILQ_INSERT_TAIL(&conn->hcl->busy, conn, entry);
	if (evhttp_make_request(conn->evcon, request, call->method,
		call->path) == 0) {
		hcl_conn_watch_connect(conn);
		return;
	}
	hcl_conn_release(conn, false);
	hcl_call_defer_failure(call, "request could not be started");
}

/* Returns true if the headers prove that the response is complete: they state
 * the length of the body (Content-Length or chunked), or the status allows no
 * body. @keep_alive: set to false if the server closes the connection. */
static bool
hcl_response_complete(struct evhttp_request *request, bool *keep_alive)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
	const char *connection = evhttp_find_header(headers, "Connection");
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");

	*keep_alive =
	    connection == NULL || strcasecmp(connection, "close") != 0;
	return evhttp_find_header(headers, "Content-Length") != NULL ||
	    (coding != NULL && strcasecmp(coding, "chunked") == 0) ||
	    evhttp_request_get_response_code(request) == HTTP_NOCONTENT ||
	    evhttp_request_get_response_code(request) == HTTP_NOTMODIFIED;
}

/* Called by evhttp at the end of a request. The request has failed if @request
 * is NULL or has no status code. */
static void
hcl_request_done(struct evhttp_request *request, void *arg)
{
	struct hcl_call *call = arg;
	struct hcl_reply reply = { .sent = true };
	struct evbuffer *input;
	bool keep_alive;

	if (request == NULL || evhttp_request_get_response_code(request) == 0) {
		hcl_conn_release(call->conn, false);
		hcl_call_fail(call,
		    call->sent ? "connection closed" : "connect failed", false);
		return;
	}
	if (!hcl_response_complete(request, &keep_alive)) {
		hcl_conn_release(call->conn, false);
		call->sent = true;
		hcl_call_fail(call, "response without a length", false);
		return;
	}
	if (call->hcl->params.response_time != NULL)
		call->hcl->params.response_time(call->hcl->params.arg,
		    hcl_now_us() - call->started_us);
	input = evhttp_request_get_input_buffer(request);
	reply.status = evhttp_request_get_response_code(request);
	reply.body_len = evbuffer_get_length(input);
	reply.body = (const char *)evbuffer_pullup(input, -1);
	reply.headers = evhttp_request_get_input_headers(request);
	reply.conn_id = call->conn->id;
	if (reply.body == NULL)
		reply.body = "";
	hcl_conn_release(call->conn, keep_alive);
	hcl_call_finish(call, &reply);
}

/* Reports the time-out of a call, and keeps it and its connection until the
 * late response or the end of the time for it. */
static void
hcl_call_abandon(struct hcl_call *call)
{
	const uint32_t ms = call->hcl->params.late_ms;
	const struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };
	const struct hcl_reply reply = { .sent = call->sent,
		.timed_out = true,
		.reason = "timed out" };

	call->abandoned = true;
	call->free_arg = NULL;
	(void)event_add(call->timer, &tv);
	call->done(call->arg, &reply);
}

static void
hcl_timed_out(evutil_socket_t fd, short events, void *arg)
{
	struct hcl_call *call = arg;
	struct hcl_conn *conn = call->conn;
	struct hcl *hcl = call->hcl;

	(void)fd;
	(void)events;
	/* A request of which nothing was sent must not be sent later. */
	if (conn != NULL && hcl->params.late_ms != 0 && call->sent &&
	    !call->abandoned) {
		hcl_call_abandon(call);
		return;
	}
	if (conn == NULL) {
		TAILQ_REMOVE(&hcl->waiting, call, entry);
		hcl->nwaiting--;
	} else {
		call->conn = NULL;
		TAILQ_REMOVE(&hcl->busy, conn, entry);
		hcl->nconns--;
		hcl_conn_free(conn);
		hcl_schedule_deferred(hcl);
	}
	hcl_call_fail(call, "timed out", true);
}

static void
hcl_run_deferred(evutil_socket_t fd, short events, void *arg)
{
	struct hcl *hcl = arg;
	struct hcl_conn *conn;
	struct hcl_call *call;

	(void)fd;
	(void)events;
	while ((conn = TAILQ_FIRST(&hcl->discarded)) != NULL) {
		TAILQ_REMOVE(&hcl->discarded, conn, entry);
		hcl_conn_free(conn);
	}
	while ((call = TAILQ_FIRST(&hcl->failed)) != NULL) {
		TAILQ_REMOVE(&hcl->failed, call, entry);
		hcl_call_fail(call, call->failure, false);
	}
	while ((call = TAILQ_FIRST(&hcl->waiting)) != NULL) {
		conn = call->conn_id == 0
		    ? hcl_conn_acquire(hcl, call->new_connection)
		    : hcl_conn_acquire_by_id(hcl, call->conn_id);
		if (conn == NULL && call->conn_id == 0)
			return;
		TAILQ_REMOVE(&hcl->waiting, call, entry);
		hcl->nwaiting--;
		if (conn != NULL)
			hcl_call_send(call, conn);
		else
			hcl_call_defer_failure(call,
			    "the requested connection is not available");
	}
}

/* hcl_call() cannot report an error, so exhausted memory aborts the process. */
static struct evhttp_request *
hcl_build_request(struct hcl *hcl, const struct hcl_request *request,
    struct hcl_call *call)
{
	struct evhttp_request *req;
	struct evkeyvalq *headers;
	size_t i;

	req = evhttp_request_new(hcl_request_done, call);
	if (req == NULL)
		abort();
	headers = evhttp_request_get_output_headers(req);
	for (i = 0; i < request->nheaders; i++)
		(void)evhttp_add_header(headers, request->headers[i].name,
		    request->headers[i].value);
	if (evhttp_find_header(headers, "Host") == NULL)
		(void)evhttp_add_header(headers, "Host", hcl->peer);
	if (request->body_len > 0 &&
	    evbuffer_add(evhttp_request_get_output_buffer(req), request->body,
		request->body_len) != 0)
		abort();
	return req;
}

void
hcl_call(struct hcl *hcl, const struct hcl_request *request, hcl_done_fn done,
    void *arg)
{
	uint32_t ms = request->timeout_ms != 0 ? request->timeout_ms
					       : hcl->params.timeout_ms;
	struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };
	struct hcl_call *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		abort();
	call->hcl = hcl;
	call->done = done;
	call->free_arg = request->free_arg;
	call->arg = arg;
	call->method = request->method;
	call->path = strdup(request->path);
	call->conn_id = request->conn_id;
	call->new_connection = request->new_connection;
	call->started_us = hcl_now_us();
	call->request = hcl_build_request(hcl, request, call);
	call->timer = evtimer_new(hcl->params.base, hcl_timed_out, call);
	if (call->path == NULL || call->timer == NULL)
		abort();
	if (hcl->nwaiting >= hcl->params.waiting_max) {
		hcl_call_defer_failure(call, "the queue of calls is full");
	} else {
		(void)event_add(call->timer, &tv);
		TAILQ_INSERT_TAIL(&hcl->waiting, call, entry);
		hcl->nwaiting++;
	}
	hcl_schedule_deferred(hcl);
}

struct hcl *
hcl_create(const struct hcl_params *params)
{
	bool v6 = strchr(params->endpoint.address, ':') != NULL;
	struct hcl *hcl;

	hcl = calloc(1, sizeof(*hcl));
	if (hcl == NULL)
		return NULL;
	hcl->params = *params;
	snprintf(hcl->peer, sizeof(hcl->peer), v6 ? "[%s]:%u" : "%s:%u",
	    params->endpoint.address, params->endpoint.port);
	TAILQ_INIT(&hcl->waiting);
	TAILQ_INIT(&hcl->failed);
	TAILQ_INIT(&hcl->idle);
	TAILQ_INIT(&hcl->busy);
	TAILQ_INIT(&hcl->discarded);
	hcl->deferred = event_new(params->base, -1, 0, hcl_run_deferred, hcl);
	if (hcl->deferred == NULL) {
		free(hcl);
		return NULL;
	}
	return hcl;
}

static void
hcl_call_discard(struct hcl_call *call)
{
	if (call->free_arg != NULL)
		call->free_arg(call->arg);
	hcl_call_free(call);
}

static void
hcl_conns_free(struct hcl_conns *conns)
{
	struct hcl_conn *conn;
	struct hcl_call *call;

	while ((conn = TAILQ_FIRST(conns)) != NULL) {
		TAILQ_REMOVE(conns, conn, entry);
		call = conn->call;
		conn->call = NULL;
		hcl_conn_free(conn);
		if (call != NULL)
			hcl_call_discard(call);
	}
}

static void
hcl_calls_free(struct hcl_calls *calls)
{
	struct hcl_call *call;

	while ((call = TAILQ_FIRST(calls)) != NULL) {
		TAILQ_REMOVE(calls, call, entry);
		hcl_call_discard(call);
	}
}

void
hcl_destroy(struct hcl *hcl)
{
	if (hcl == NULL)
		return;
	event_free(hcl->deferred);
	hcl_conns_free(&hcl->busy);
	hcl_conns_free(&hcl->idle);
	hcl_conns_free(&hcl->discarded);
	hcl_calls_free(&hcl->waiting);
	hcl_calls_free(&hcl->failed);
	free(hcl);
}
