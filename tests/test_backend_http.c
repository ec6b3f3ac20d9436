/*
 * Transport to backend servers over HTTP, against a scripted server on
 * loopback: the status that is reported for each way in which a call can end.
 * A task that may have started must never be reported as not sent.
 */

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "adapters/backend_http.h"

#define RESPONSE                                   \
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" \
	"Berylrail-Task: job/7\r\n\r\nhello"

/* A server that writes @response, unless @no_response, when it has received
 * @request_bytes_min bytes; with @close_after it then closes the connection. */
struct scripted_server {
	struct event_base *base;
	struct evconnlistener *listener;
	struct backend *backend;
	struct backend_server server;
	const char *response;
	size_t response_len;
	size_t request_bytes_min;
	bool close_after;
	bool no_response;
	size_t nconns;	   /* accepted */
	size_t nrequests;  /* with a response */
	size_t bytes_read; /* on all connections */
	/* The last reply. */
	int ndone;
	struct backend_reply reply;
	char body[64];
};

static size_t request_len; /* of the request that call() makes */

static void
close_after_write(struct bufferevent *bev, void *arg)
{
	(void)arg;
	if (evbuffer_get_length(bufferevent_get_output(bev)) == 0)
		bufferevent_free(bev);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)arg;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		bufferevent_free(bev);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct scripted_server *s = arg;
	struct evbuffer *input = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(input);

	if (len < s->request_bytes_min)
		return;
	s->bytes_read += len;
	evbuffer_drain(input, len);
	if (s->no_response)
		return;
	s->nrequests++;
	if (s->response_len != 0)
		bufferevent_write(bev, s->response, s->response_len);
	if (s->close_after && s->response_len == 0)
		bufferevent_free(bev);
	else if (s->close_after)
		bufferevent_setcb(bev, NULL, close_after_write, on_event, s);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	struct scripted_server *s = arg;
	struct bufferevent *bev;

	(void)listener;
	(void)addr;
	(void)len;
	s->nconns++;
	bev = bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(bev, on_read, NULL, on_event, s);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	if (s->request_bytes_min == 0)
		bufferevent_free(bev);
}

static void
scripted_server_start(struct scripted_server *s)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	memset(s, 0, sizeof(*s));
	s->base = event_base_new();
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listener = evconnlistener_new_bind(s->base, on_accept, s,
	    LEV_OPT_CLOSE_ON_FREE, 16, (struct sockaddr *)&sin, sizeof(sin));
	cr_assert_not_null(s->listener);
	getsockname(evconnlistener_get_fd(s->listener), (struct sockaddr *)&sin,
	    &len);
	s->server = (struct backend_server){ .name = "s1",
		.address = "127.0.0.1",
		.port = ntohs(sin.sin_port) };
	s->backend = backend_http_create(s->base);
	s->response = RESPONSE;
	s->response_len = strlen(RESPONSE);
	s->request_bytes_min = 1;
}

static void
scripted_server_stop(struct scripted_server *s)
{
	int i;

	backend_http_destroy(s->backend);
	evconnlistener_free(s->listener);
	/* The server handles the closed connections in the event loop. */
	for (i = 0; i < 100; i++)
		event_base_loop(s->base, EVLOOP_NONBLOCK);
	event_base_free(s->base);
}

static void
on_done(void *arg, const struct backend_reply *reply)
{
	struct scripted_server *s = arg;

	s->ndone++;
	s->reply = *reply;
	snprintf(s->body, sizeof(s->body), "%.*s", (int)reply->body_len,
	    reply->body == NULL ? "" : (const char *)reply->body);
	event_base_loopbreak(s->base);
}

static struct backend_call *
start(struct scripted_server *s, uint64_t timeout_us)
{
	struct backend_request request = {
		.server = &s->server,
		.path = "/run",
		.task_id = "job/7",
		.body = "ping",
		.body_len = 4,
		.timeout_us = timeout_us,
		.connections_max = 1,
	};

	return s->backend->ops->start(s->backend, &request, on_done, s);
}

static enum backend_status
call(struct scripted_server *s)
{
	int ndone_before = s->ndone;

	cr_assert_not_null(start(s, 10000000));
	cr_assert_eq(s->ndone, ndone_before, "done ran within start()");
	while (s->ndone == ndone_before)
		event_base_dispatch(s->base);
	cr_assert_eq(s->ndone, ndone_before + 1);
	return s->reply.status;
}

/* Sets request_len to the number of bytes that the server receives. */
static void
measure_request(struct scripted_server *s)
{
	cr_assert_eq(call(s), BACKEND_OK);
	request_len = s->bytes_read;
}

Test(backend_http, complete_responses_keep_the_connection_alive)
{
	struct scripted_server s;
	int i;

	scripted_server_start(&s);
	measure_request(&s);
	s.request_bytes_min = request_len;
	for (i = 0; i < 50; i++) {
		cr_assert_eq(call(&s), BACKEND_OK);
		cr_assert_str_eq(s.body, "hello");
		cr_assert_eq(s.reply.http_status, 200);
		cr_assert_not(s.reply.leaving);
	}
	cr_assert_eq(s.nconns, 1);
	cr_assert_eq(s.nrequests, 51);
	scripted_server_stop(&s);
}

Test(backend_http, truncated_response_is_unknown)
{
	struct scripted_server s;
	size_t nbytes;

	scripted_server_start(&s);
	measure_request(&s);
	s.close_after = true;
	for (nbytes = 0; nbytes < strlen(RESPONSE); nbytes++) {
		s.request_bytes_min = request_len;
		s.response_len = nbytes;
		cr_assert_eq(call(&s), BACKEND_UNKNOWN,
		    "truncated after %zu bytes: %s", nbytes,
		    s.reply.err.message);
		cr_assert_str_eq(s.reply.err.peer, "s1");
	}
	cr_assert_eq(s.nrequests, strlen(RESPONSE) + 1,
	    "a request was sent twice");
	scripted_server_stop(&s);
}

Test(backend_http, partly_read_request_is_never_reported_as_not_sent)
{
	struct scripted_server s;
	size_t nbytes, bytes_before;

	scripted_server_start(&s);
	measure_request(&s);
	s.close_after = true;
	s.response_len = 0;
	for (nbytes = 0; nbytes <= request_len; nbytes++) {
		s.request_bytes_min = nbytes;
		bytes_before = s.bytes_read;
		call(&s);
		cr_assert(s.reply.status == BACKEND_UNKNOWN ||
			(s.reply.status == BACKEND_NOT_SENT &&
			    s.bytes_read == bytes_before),
		    "closed after %zu bytes: status %d", nbytes,
		    s.reply.status);
	}
	scripted_server_stop(&s);
}

Test(backend_http, connection_closed_by_the_server_is_not_reused)
{
	struct scripted_server s;
	int i;

	scripted_server_start(&s);
	measure_request(&s);
	s.close_after = true;
	s.request_bytes_min = request_len;
	for (i = 0; i < 20; i++)
		cr_assert_eq(call(&s), BACKEND_OK, "%s", s.reply.err.message);
	scripted_server_stop(&s);
}

Test(backend_http, refused_connection_is_not_sent)
{
	struct scripted_server s;

	scripted_server_start(&s);
	evconnlistener_disable(s.listener);
	s.server.port = 1;
	cr_assert_eq(call(&s), BACKEND_NOT_SENT);
	cr_assert_eq(s.reply.err.step, ERR_STEP_CONNECT);
	snprintf(s.server.address, sizeof(s.server.address), "localhost");
	cr_assert_eq(call(&s), BACKEND_NOT_SENT);
	scripted_server_stop(&s);
}

Test(backend_http, call_without_a_response_is_unknown_after_the_timeout)
{
	struct scripted_server s;

	scripted_server_start(&s);
	s.no_response = true;
	cr_assert_not_null(start(&s, 50000));
	event_base_dispatch(s.base);
	cr_assert_eq(s.ndone, 1);
	cr_assert_eq(s.reply.status, BACKEND_UNKNOWN);
	cr_assert_eq(s.reply.err.code, ERR_DEADLINE);
	s.no_response = false;
	cr_assert_eq(call(&s), BACKEND_OK);
	cr_assert_eq(s.nconns, 2);
	scripted_server_stop(&s);
}

/* Returns the status of a call whose response is @text. */
static enum backend_status
status_of_response(struct scripted_server *s, const char *text)
{
	s->response = text;
	s->response_len = strlen(text);
	return call(s);
}

Test(backend_http, responses_are_classified_by_the_protocol)
{
	struct scripted_server s;

	scripted_server_start(&s);
	measure_request(&s);
	s.request_bytes_min = request_len;
	cr_expect_eq(status_of_response(&s,
			 "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
	    BACKEND_TASK_FAILED);
	cr_expect_eq(status_of_response(&s,
			 "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
	    BACKEND_TASK_FAILED);
	cr_expect_eq(status_of_response(&s,
			 "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
			 "Berylrail-Refused: busy\r\n\r\n"),
	    BACKEND_REFUSED);
	cr_expect_not(s.reply.leaving);
	cr_expect_eq(status_of_response(&s,
			 "HTTP/1.1 503 Gone\r\nContent-Length: 0\r\n"
			 "Berylrail-Refused: leaving\r\n\r\n"),
	    BACKEND_REFUSED);
	cr_expect(s.reply.leaving);
	cr_expect_eq(
	    status_of_response(&s,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		"Connection: close\r\nBerylrail-Task: job/7\r\n\r\nok"),
	    BACKEND_OK);
	cr_expect(s.reply.leaving);
	cr_expect_str_eq(s.body, "ok");
	cr_expect_eq(status_of_response(&s,
			 "HTTP/1.1 200 OK\r\nBerylrail-Task: job/8\r\n"
			 "Content-Length: 2\r\n\r\nok"),
	    BACKEND_UNKNOWN);
	cr_expect_eq(s.reply.err.code, ERR_CORRUPT);
	cr_expect_eq(status_of_response(&s, "garbage\r\n\r\n"),
	    BACKEND_UNKNOWN);
	s.close_after = true;
	cr_expect_eq(status_of_response(&s, "HTTP/1.1 200 OK\r\n\r\nhel"),
	    BACKEND_UNKNOWN);
	scripted_server_stop(&s);
}

Test(backend_http, surplus_response_is_never_delivered_to_another_task)
{
	struct scripted_server s;
	int i;

	scripted_server_start(&s);
	measure_request(&s);
	s.request_bytes_min = request_len;
	for (i = 0; i < 10; i++) {
		cr_assert_eq(status_of_response(&s, RESPONSE RESPONSE),
		    BACKEND_OK);
		cr_assert_str_eq(s.body, "hello");
	}
	cr_assert_eq(s.nconns, 10,
	    "a connection with unexpected input was reused");
	scripted_server_stop(&s);
}

Test(backend_http, cancel_closes_the_connection_and_connections_are_bounded)
{
	struct backend_call *first;
	struct scripted_server s;

	scripted_server_start(&s);
	s.no_response = true;
	first = start(&s, 10000000);
	cr_assert_eq(call(&s), BACKEND_NOT_SENT,
	    "more than connections_max connections");
	cr_assert_eq(s.reply.err.code, ERR_OVERLOAD);
	while (s.bytes_read == 0)
		event_base_loop(s.base, EVLOOP_ONCE);
	cr_assert_not(s.backend->ops->cancel(s.backend, first));
	s.no_response = false;
	cr_assert_eq(call(&s), BACKEND_OK);
	cr_assert_eq(s.ndone, 2);
	first = start(&s, 10000000);
	s.backend->ops->cancel(s.backend, first);
	scripted_server_stop(&s);
}
