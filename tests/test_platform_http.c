/*
 * The platform's table, host list and object store over HTTP, against a server
 * that sends given bytes. A write is reported as not done only if that is
 * certain.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "adapters/platform.h"
#include "support/raw_server.h"

#define LOOP_ITERATIONS_MAX 100000 /* before a test fails */
#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Length: "
#define BAD_HEAD "HTTP/1.1 400 Bad\r\nContent-Length: "

static struct event_base *base;
static struct raw_server server;
static struct platform *platform;

/* Result of the last call. */
static bool call_ended;
static enum table_status status;
static char result_text[4096];
static size_t nrows_read;
static unsigned char failed[TABLE_WRITES_MAX];
static struct err error;

static void
start(uint32_t timeout_ms)
{
	struct endpoint endpoint = { .address = "127.0.0.1" };

	base = event_base_new();
	raw_server_start(&server, base);
	endpoint.port = server.port;
	platform = platform_http_create(base, &endpoint, timeout_ms);
}

static void
setup(void)
{
	start(60000);
}

static void
teardown(void)
{
	int i;

	platform->destroy(platform);
	/* The server handles the closed connections in the event loop. */
	for (i = 0; i < 10; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
	raw_server_stop(&server);
	event_base_free(base);
}

static void
wait_for_end(void)
{
	int i;

	for (i = 0; i < LOOP_ITERATIONS_MAX && !call_ended; i++)
		event_base_loop(base, EVLOOP_ONCE);
	cr_assert(call_ended);
}

static void
rows_done(void *arg, enum table_status result, const struct table_row *rows,
    size_t nrows, const struct err *err)
{
	size_t i;

	(void)arg;
	call_ended = true;
	status = result;
	nrows_read = nrows;
	result_text[0] = '\0';
	for (i = 0; i < nrows; i++)
		snprintf(result_text + strlen(result_text),
		    sizeof(result_text) - strlen(result_text),
		    "%s %s %llu %.*s;", rows[i].pk, rows[i].sk,
		    (unsigned long long)rows[i].version, (int)rows[i].doc_len,
		    rows[i].doc);
	if (err != NULL)
		error = *err;
}

static void
table_done(void *arg, enum table_status result, const unsigned char *vector,
    const struct err *err)
{
	(void)arg;
	call_ended = true;
	status = result;
	memset(failed, 0, sizeof(failed));
	if (vector != NULL)
		memcpy(failed, vector, sizeof(failed));
	if (err != NULL)
		error = *err;
}

/* A complete HTTP response; valid until the next call. */
static const char *
http_response(int code, const char *body)
{
	static char text[4096];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s", code,
	    strlen(body), body);
	return text;
}

/* Performs a transaction of two writes; the server sends @response. */
static enum table_status
transact(const char *response, bool close_after_response)
{
	struct table_write writes[2] = {
		{ TABLE_IF_ABSENT, 0, { "p", "s1", 1, "{}", 2 } },
		{ TABLE_IF_VERSION, 4, { "p", "s2", 5, "{\"a\":1}", 7 } },
	};

	server.response = response;
	server.close_after_response = close_after_response;
	call_ended = false;
	platform->table->ops->transact(platform->table, writes, 2, table_done,
	    NULL);
	wait_for_end();
	return status;
}

static enum table_status
query(const char *response)
{
	server.response = response;
	call_ended = false;
	platform->table->ops->query(platform->table, "p", "a", 10, rows_done,
	    NULL);
	wait_for_end();
	return status;
}

TestSuite(platform_http, .init = setup, .fini = teardown);

Test(platform_http, transaction_has_the_request_format_of_the_table)
{
	cr_assert_eq(transact(OK_HEAD "2\r\n\r\n{}", false), TABLE_OK);
	cr_assert_neq(
	    strstr(server.last_request, "DynamoDB_20120810.TransactWriteItems"),
	    NULL);
	cr_assert_neq(strstr(server.last_request, "attribute_not_exists(pk)"),
	    NULL);
	cr_assert_neq(strstr(server.last_request, "\":v\":{\"N\":\"4\"}"),
	    NULL);
	cr_assert_neq(strstr(server.last_request, "\"version\":{\"N\":\"5\"}"),
	    NULL);
	cr_assert_neq(strstr(server.last_request, "{\"S\":\"{\\\"a\\\":1}\"}"),
	    NULL);
}

Test(platform_http, connection_is_kept_alive)
{
	int i;

	for (i = 0; i < 5; i++)
		cr_assert_eq(transact(OK_HEAD "2\r\n\r\n{}", false), TABLE_OK);
	cr_assert_eq(server.nconnections, 1);
	cr_assert_eq(server.nrequests, 5);
}

Test(platform_http, cancelled_transaction_reports_the_failed_writes)
{
	static const char cancelled[] =
	    "{\"__type\":\"com.amazonaws.dynamodb.v20120810#"
	    "TransactionCanceledException\",\"CancellationReasons\":["
	    "{\"Code\":\"None\"},{\"Code\":\"ConditionalCheckFailed\"}]}";

	cr_assert_eq(transact(http_response(400, cancelled), true),
	    TABLE_CONFLICT);
	cr_assert_eq(failed[0], 0);
	cr_assert_eq(failed[1], 1);
	cr_assert_eq(error.step, ERR_STEP_TABLE);
	cr_assert_neq(strstr(error.peer, "127.0.0.1:"), NULL);
}

Test(platform_http, only_definite_refusals_are_unavailable)
{
	static const struct {
		const char *response;
		enum table_status expected;
	} cases[] = {
		{ BAD_HEAD "33\r\n\r\n{\"__type\":\"ThrottlingException\"}  ",
		    TABLE_UNAVAILABLE },
		{ "HTTP/1.1 503 No\r\nContent-Length: 31\r\n\r\n"
		  "{\"__type\":\"ServiceUnavailable\"}",
		    TABLE_UNAVAILABLE },
		{ "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno",
		    TABLE_UNKNOWN },
		{ "HTTP/1.1 500 No\r\nContent-Length: 32\r\n\r\n"
		  "{\"__type\":\"InternalServerError\"}",
		    TABLE_UNKNOWN },
		{ BAD_HEAD "2\r\n\r\n{}", TABLE_UNKNOWN },
		{ OK_HEAD "3\r\n\r\n{]}", TABLE_UNKNOWN },
		{ OK_HEAD "9\r\n\r\n{}", TABLE_UNKNOWN },
		{ "HTTP/1.1 200 OK\r\n\r\n{}", TABLE_UNKNOWN },
		{ "HTTP/1.1 2", TABLE_UNKNOWN },
		{ "garbage\r\n\r\n", TABLE_UNKNOWN },
		{ NULL, TABLE_UNKNOWN },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		cr_assert_eq(transact(cases[i].response, true),
		    cases[i].expected, "case %zu: %d", i, status);
	cr_assert_eq((size_t)server.nrequests, i, "a request was sent twice");
}

Test(platform_http, transaction_is_unavailable_when_the_connection_is_refused)
{
	raw_server_stop(&server);
	cr_assert_eq(transact(NULL, false), TABLE_UNAVAILABLE);
	cr_assert_eq(error.code, ERR_UNAVAILABLE);
}

Test(platform_http, connection_closed_by_the_server_is_not_reused)
{
	int i;

	cr_assert_eq(transact(OK_HEAD "2\r\n\r\n{}", true), TABLE_OK);
	for (i = 0; i < 20; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
	cr_assert_eq(transact(OK_HEAD "2\r\n\r\n{}", false), TABLE_OK);
	cr_assert_eq(server.nconnections, 2);
}

Test(platform_http, transaction_without_a_response_times_out)
{
	teardown();
	start(50);
	cr_assert_eq(transact(NULL, false), TABLE_UNKNOWN);
	cr_assert_eq(error.code, ERR_DEADLINE);
}

Test(platform_http, query_returns_rows_or_is_unavailable)
{
	static const char rows[] =
	    "{\"Items\":[{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"b\"},"
	    "\"version\":{\"N\":\"7\"},\"doc\":{\"S\":\"{}\"}},"
	    "{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"c\"},"
	    "\"version\":{\"N\":\"8\"},\"doc\":{\"S\":\"\"}}]}";

	cr_assert_eq(query(http_response(200, rows)), TABLE_OK);
	cr_assert_str_eq(result_text, "p b 7 {};p c 8 ;");
	cr_assert_neq(strstr(server.last_request, "\"ConsistentRead\":true"),
	    NULL);
	cr_assert_eq(query(OK_HEAD "12\r\n\r\n{\"Items\":[]}"), TABLE_OK);
	cr_assert_eq(nrows_read, 0);
	cr_assert_eq(query(OK_HEAD "14\r\n\r\n{\"Items\":[{}]}"),
	    TABLE_UNAVAILABLE);
	cr_assert_eq(error.code, ERR_CORRUPT);
	cr_assert_eq(query("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
	    TABLE_UNAVAILABLE);
	call_ended = false;
	server.response = OK_HEAD "2\r\n\r\n{}";
	platform->table->ops->get(platform->table, "p", "s", rows_done, NULL);
	wait_for_end();
	cr_assert_eq(status, TABLE_NOT_FOUND);
}

static struct hostlist_entry first_host;
static size_t nhosts;

static void
hosts_done(void *arg, const struct hostlist_entry *entries, size_t nentries,
    const struct err *err)
{
	(void)arg;
	call_ended = true;
	nhosts = nentries;
	if (entries != NULL && nentries > 0)
		first_host = entries[0];
	status = entries != NULL ? TABLE_OK : TABLE_UNAVAILABLE;
	if (err != NULL)
		error = *err;
}

Test(platform_http, malformed_hosts_are_left_out_of_the_host_list)
{
	server.response = http_response(200,
	    "{\"hosts\":[{\"role\":\"server\",\"name\":\"s1\","
	    "\"az\":\"surat\",\"address\":\"127.0.0.1\",\"port\":80,"
	    "\"leaving\":true},{\"role\":\"server\"},{\"role\":\"x\",\"name\":"
	    "\"s1\",\"az\":\"a\",\"address\":\"::1\",\"port\":1}]}");
	call_ended = false;
	platform->hostlist->ops->fetch(platform->hostlist, hosts_done, NULL);
	wait_for_end();
	cr_assert_eq(nhosts, 1);
	cr_assert_str_eq(first_host.az, "surat");
	cr_assert(first_host.leaving);
	server.response = OK_HEAD "2\r\n\r\n{}";
	call_ended = false;
	platform->hostlist->ops->fetch(platform->hostlist, hosts_done, NULL);
	wait_for_end();
	cr_assert_eq(status, TABLE_UNAVAILABLE);
}

Test(platform_http, unchanged_host_list_is_not_transferred_again)
{
	static const char hosts[] =
	    "{\"hosts\":[{\"role\":\"entry\",\"name\":\"h1\",\"az\":\"surat\","
	    "\"address\":\"127.0.0.1\",\"port\":80}]}";
	char response[512];
	int i;

	snprintf(response, sizeof(response),
	    "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(hosts), hosts);
	server.response = response;
	for (i = 0; i < 2; i++) {
		call_ended = false;
		nhosts = 0;
		platform->hostlist->ops->fetch(platform->hostlist, hosts_done,
		    NULL);
		wait_for_end();
		cr_assert_eq(nhosts, 1);
		server.response = "HTTP/1.1 304 Not Modified\r\n\r\n";
	}
	cr_assert_neq(strstr(server.last_request, "If-None-Match: \"v1\""),
	    NULL);
	cr_assert_eq(server.nconnections, 1);
}

static void
blob_done(void *arg, enum table_status result, const void *data, size_t len,
    const struct err *err)
{
	(void)arg;
	(void)err;
	call_ended = true;
	status = result;
	snprintf(result_text, sizeof(result_text), "%.*s", (int)len,
	    (const char *)data);
}

Test(platform_http, objects_are_written_and_read)
{
	server.response = OK_HEAD "3\r\n\r\nabc";
	call_ended = false;
	platform->blobs->ops->get(platform->blobs, "config/snapshot", blob_done,
	    NULL);
	wait_for_end();
	cr_assert_str_eq(result_text, "abc");
	cr_assert_neq(
	    strstr(server.last_request, "GET /objects/config/snapshot "), NULL);
	server.response = "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
	call_ended = false;
	platform->blobs->ops->put(platform->blobs, "x", "y", 1, blob_done,
	    NULL);
	wait_for_end();
	cr_assert_eq(status, TABLE_NOT_FOUND);
	cr_assert_neq(strstr(server.last_request, "PUT /objects/x "), NULL);
}
