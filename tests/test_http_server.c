/*
 * The HTTP server over loopback, with a fake engine: format of responses,
 * limits on requests and connections, timeouts and pipelining. A refused
 * request must receive a problem document and must not reach the engine.
 */

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/http_server.h"
#include "tests/support/api_rig.h"

#define REQUEST_BODY_BYTES_MAX 1000
#define READ_BYTES_MAX (1 << 16)
#define POLLS_MAX 200 /* of 10 ms each */

static struct http_server *server;

static void
setup(void)
{
	struct http_server_params params = {
		.listen = { .address = "127.0.0.1" },
		.body_bytes_max = REQUEST_BODY_BYTES_MAX,
		.header_timeout_ms = 200,
		.clients_max = 8,
	};
	struct err err;

	rig_setup();
	params.base = rig.base;
	params.api = rig.api[0];
	server = http_server_create(&params, &err);
	cr_assert_not_null(server, "%s", err.message);
}

static void
teardown(void)
{
	http_server_destroy(server);
	rig_teardown();
}

TestSuite(http_server, .init = setup, .fini = teardown, .timeout = 60);

static int
client_connect(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons(http_server_port(server)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	return fd;
}

static void
client_send(int fd, const char *text)
{
	(void)send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Runs the event loop and reads until the input contains @until or the
 * connection is closed, at most POLLS_MAX times. Returns the input. */
static const char *
client_read(int fd, const char *until, bool *ended)
{
	static char buf[READ_BYTES_MAX];
	size_t len = 0;
	ssize_t n = 0;
	int i;

	memset(buf, 0, sizeof(buf));
	*ended = false;
	for (i = 0; i < POLLS_MAX; i++) {
		rig_run_loop(10);
		n = recv(fd, buf + len, sizeof(buf) - len - 1, MSG_DONTWAIT);
		if (n > 0)
			len += (size_t)n;
		else if (n == 0)
			*ended = true;
		if (*ended || (until != NULL && strstr(buf, until) != NULL))
			break;
	}
	return buf;
}

/* Sends @text on a new connection. Returns everything that is received until
 * the connection is closed. */
static const char *
exchange(const char *text)
{
	const char *response;
	int fd = client_connect();
	bool ended;

	client_send(fd, text);
	response = client_read(fd, NULL, &ended);
	cr_assert(ended, "connection was not closed after: %s", response);
	close(fd);
	return response;
}

static void
check_still_serving(void)
{
	cr_assert(strstr(exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n"
				  "Connection: close\r\n\r\n"),
	    " 200 "));
}

static void
check_refused(const char *text, const char *status, const char *code)
{
	const char *response = exchange(text);

	cr_assert(strstr(response, status), "%s", response);
	cr_assert(strstr(response, "application/problem+json"), "%s", response);
	cr_assert(strstr(response, "\"step\":\"parse\""), "%s", response);
	cr_assert(strstr(response, "\"peer\":\"127.0.0.1:"), "%s", response);
	cr_assert(strstr(response, code), "%s", response);
	cr_assert_eq(fake_engine.n, 0);
	check_still_serving();
}

Test(http_server, responses_carry_length_outcome_and_ticket)
{
	const char *job = rig_job(NULL, 2);
	char text[1024];
	const char *response;
	bool ended;
	int fd = client_connect();

	snprintf(text, sizeof(text),
	    "POST /v1/jobs?wait=5000 HTTP/1.1\r\nHost: x\r\n"
	    "Content-Type: application/x-www-form-urlencoded\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(job), job);
	client_send(fd, text);
	rig_run_loop(50);
	cr_assert_eq(fake_engine.n, 1);
	fake_engine_end(0, TASK_DONE);
	response = client_read(fd, "]}", &ended);
	cr_assert(strstr(response, "HTTP/1.1 200"), "%s", response);
	cr_assert(strstr(response, "Content-Length: "));
	cr_assert(strstr(response, "Berylrail-Outcome: complete"));
	cr_assert(strstr(response, "Berylrail-Ticket: surat~e1~"));
	cr_assert_not(ended, "the connection must be kept alive");
	client_send(fd, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
	cr_assert(strstr(client_read(fd, "ok\n", &ended), " 200 "));
	close(fd);
}

Test(http_server, closed_connection_abandons_the_request_but_not_the_job)
{
	const char *job = rig_job(NULL, 1);
	char text[1024];
	int fd = client_connect();

	snprintf(text, sizeof(text),
	    "POST /v1/jobs?wait=5000 HTTP/1.1\r\nHost: x\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(job), job);
	client_send(fd, text);
	rig_run_loop(50);
	cr_assert_eq(http_server_active_connections(server), 1);
	close(fd);
	rig_run_loop(50);
	cr_assert_eq(http_server_active_connections(server), 0);
	fake_engine_end(0, TASK_DONE);
	check_still_serving();
}

Test(http_server, malformed_request_is_refused)
{
	check_refused("garbage\r\n\r\n", " 400 ", "\"code\":\"invalid\"");
	check_refused("GET / HTTP/9\r\n\r\n", " 400 ", "\"code\":\"invalid\"");
}

Test(http_server, oversize_body_is_refused)
{
	char text[REQUEST_BODY_BYTES_MAX * 3];
	int n;

	n = snprintf(text, sizeof(text),
	    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n",
	    REQUEST_BODY_BYTES_MAX + 1);
	check_refused(text, " 413 ", "too-large");
	memset(text + n, 'x', REQUEST_BODY_BYTES_MAX + 1);
	text[n + REQUEST_BODY_BYTES_MAX + 1] = '\0';
	check_refused(text, " 413 ", "too-large");
}

Test(http_server, oversize_chunked_body_is_refused)
{
	char text[REQUEST_BODY_BYTES_MAX * 3];
	int n;

	n = snprintf(text, sizeof(text),
	    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n%x\r\n",
	    REQUEST_BODY_BYTES_MAX + 500);
	memset(text + n, 'x', REQUEST_BODY_BYTES_MAX + 500);
	n += REQUEST_BODY_BYTES_MAX + 500;
	snprintf(text + n, sizeof(text) - (size_t)n, "\r\n0\r\n\r\n");
	check_refused(text, " 413 ", "too-large");
}

Test(http_server, too_many_headers_are_refused)
{
	char text[8192];
	size_t n, i;

	n = (size_t)snprintf(text, sizeof(text), "GET /healthz HTTP/1.1\r\n");
	for (i = 0; i <= HEADERS_MAX; i++)
		n += (size_t)snprintf(text + n, sizeof(text) - n,
		    "X-%zu: 1\r\n", i);
	snprintf(text + n, sizeof(text) - n, "\r\n");
	check_refused(text, " 431 ", "too-large");
}

Test(http_server, long_headers_are_refused)
{
	char text[40000];
	size_t n, i;

	n = (size_t)snprintf(text, sizeof(text), "GET /healthz HTTP/1.1\r\n");
	for (i = 0; i < 9; i++) {
		n += (size_t)snprintf(text + n, sizeof(text) - n, "X-%zu: ", i);
		memset(text + n, 'x', 2000);
		n += 2000;
		n += (size_t)snprintf(text + n, sizeof(text) - n, "\r\n");
	}
	snprintf(text + n, sizeof(text) - n, "\r\n");
	check_refused(text, " 431 ", "too-large");
}

Test(http_server, slow_request_times_out)
{
	const char *response;
	bool ended = false;
	int fd = client_connect(), i;

	client_send(fd, "GET /healthz HTTP/1.1\r\nX: ");
	for (i = 0; i < 40 && fake_engine.n == 0; i++) {
		client_send(fd, "x");
		rig_run_loop(10);
	}
	response = client_read(fd, NULL, &ended);
	cr_assert(ended);
	cr_assert(strstr(response, " 408 "), "%s", response);
	cr_assert(strstr(response, "\"code\":\"deadline\""));
	close(fd);
	check_still_serving();
}

Test(http_server, unsupported_methods_and_head_are_refused)
{
	const char *response;

	response = exchange("PUT /v1/jobs HTTP/1.1\r\nHost: x\r\n"
			    "Connection: close\r\n\r\n");
	cr_assert(strstr(response, " 405 "), "%s", response);
	response = exchange("HEAD /healthz HTTP/1.1\r\nHost: x\r\n"
			    "Connection: close\r\n\r\n");
	cr_assert(strstr(response, " 405 "), "%s", response);
	cr_assert_null(strstr(response, "problem:"));
	response = exchange("BREW /v1/jobs HTTP/1.1\r\nHost: x\r\n"
			    "Connection: close\r\n\r\n");
	cr_assert(strstr(response, " 405 "), "%s", response);
	check_still_serving();
}

Test(http_server, connections_are_bounded)
{
	int fds[8], extra;
	const char *response;
	bool ended;
	size_t i;

	for (i = 0; i < 8; i++)
		fds[i] = client_connect();
	rig_run_loop(20);
	extra = client_connect();
	response = client_read(extra, NULL, &ended);
	cr_assert(ended);
	cr_assert(strstr(response, " 503 "), "%s", response);
	close(extra);
	for (i = 0; i < 8; i++)
		close(fds[i]);
	rig_run_loop(20);
	check_still_serving();
}

Test(http_server, pipelined_requests_receive_responses_in_order)
{
	const char *job = rig_job(NULL, 1);
	char text[1024];
	const char *response;
	bool ended;
	int fd = client_connect();

	snprintf(text, sizeof(text),
	    "POST /v1/jobs?wait=5000 HTTP/1.1\r\nHost: x\r\n"
	    "Content-Length: %zu\r\n\r\n%s"
	    "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
	    strlen(job), job);
	client_send(fd, text);
	rig_run_loop(50);
	client_send(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
	rig_run_loop(50);
	cr_assert_eq(http_server_active_connections(server), 1,
	    "the first request must be in progress");
	fake_engine_end(0, TASK_DONE);
	response = client_read(fd, "ready\n", &ended);
	cr_assert(strstr(response, "complete"), "%s", response);
	cr_assert(strstr(strstr(response, "complete"), "ok\n"), "%s", response);
	cr_assert(strstr(response, "ready\n"), "%s", response);
	close(fd);
}

Test(http_server, no_keep_alive_after_it_is_disabled)
{
	http_server_disable_keep_alive(server);
	cr_assert(strstr(exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"),
	    "Connection: close"));
}

/* The request that the handler of split_requests() received last. */
static struct {
	char path[64];
	char query[64];
	char host[32];
	char body[64];
	uint32_t deadline_ms;
	unsigned n;
} received;

static void
handle_split(void *arg, const struct api_request *request, api_reply_fn reply,
    void *reply_arg)
{
	const struct api_reply message = { .status = 200, .body = "" };

	(void)arg;
	received.n++;
	strlcpy(received.path, request->path, sizeof(received.path));
	strlcpy(received.query, request->query, sizeof(received.query));
	strlcpy(received.host, request->host, sizeof(received.host));
	memcpy(received.body, request->body, request->body_len);
	received.deadline_ms = request->deadline_ms;
	reply(reply_arg, &message);
}

static void
abandon_split(void *arg, void *reply_arg)
{
	(void)arg;
	(void)reply_arg;
}

#define SPLIT_REQUEST                                     \
	"POST /gony/1a2b3c4d5e6f7081?wait=7 HTTP/1.1\r\n" \
	"Host: pude.example\r\nDeadline-Ms: 1500\r\n"     \
	"Content-Length: 11\r\n\r\n{\"steps\":[]"

static void
start_split_server(void)
{
	static const struct api_handler handler = { .handle = handle_split,
		.abandon = abandon_split };
	struct http_server_params params = {
		.base = rig.base,
		.handler = &handler,
		.listen = { .address = "127.0.0.1" },
		.body_bytes_max = REQUEST_BODY_BYTES_MAX,
		.header_timeout_ms = 1000,
		.clients_max = 8,
	};
	struct err err;

	http_server_destroy(server);
	server = http_server_create(&params, &err);
	cr_assert_not_null(server);
}

static void
expect_received(unsigned n, size_t split)
{
	cr_expect_eq(received.n, n, "split at %zu", split);
	cr_expect_str_eq(received.path, "/gony/1a2b3c4d5e6f7081",
	    "split at %zu: %s", split, received.path);
	cr_expect_str_eq(received.query, "wait=7", "split at %zu: %s", split,
	    received.query);
	cr_expect_str_eq(received.host, "pude.example", "split at %zu: %s",
	    split, received.host);
	cr_expect_str_eq(received.body, "{\"steps\":[]", "split at %zu: %s",
	    split, received.body);
	cr_expect_eq(received.deadline_ms, 1500, "split at %zu", split);
}

/* On a slow link a request arrives in pieces. It is split at each byte, also
 * the second request of a connection. */
Test(http_server, request_in_two_pieces_is_received_whole)
{
	static const char text[] = SPLIT_REQUEST;
	size_t split;
	bool ended;
	int fd;

	start_split_server();
	for (split = 1; split < sizeof(text) - 1; split++) {
		fd = client_connect();
		client_send(fd, text);
		(void)client_read(fd, "\r\n\r\n", &ended);
		memset(&received, 0, sizeof(received));
		(void)send(fd, text, split, MSG_NOSIGNAL);
		rig_run_loop(2);
		client_send(fd, text + split);
		(void)client_read(fd, "\r\n\r\n", &ended);
		expect_received(1, split);
		close(fd);
	}
}

/* The first piece of the second request arrives with the first request. */
Test(http_server, pipelined_request_in_two_pieces_is_received_whole)
{
	static const char text[] = SPLIT_REQUEST SPLIT_REQUEST;
	const size_t first = (sizeof(text) - 1) / 2;
	size_t split;
	bool ended;
	int fd;

	start_split_server();
	for (split = first + 1; split < sizeof(text) - 1; split++) {
		fd = client_connect();
		memset(&received, 0, sizeof(received));
		(void)send(fd, text, split, MSG_NOSIGNAL);
		rig_run_loop(2);
		client_send(fd, text + split);
		(void)client_read(fd, "\r\n\r\n", &ended);
		rig_run_loop(2);
		expect_received(2, split);
		close(fd);
	}
}
