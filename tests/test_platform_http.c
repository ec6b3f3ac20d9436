#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "adapters/platform.h"
#include "support/raw_server.h"

#define TURNS_MAX 100000 /* of the event loop, before a test gives up */
#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Length: "
#define BAD_HEAD "HTTP/1.1 400 Bad\r\nContent-Length: "

static struct event_base *base;
static struct raw_server server;
static struct platform *platform;

/* End of the last call. */
static bool ended;
static enum table_status status;
static char seen[4096];
static size_t nseen;
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
	/* Let the server see the ends of its connections. */
	for (i = 0; i < 10; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
	raw_server_stop(&server);
	event_base_free(base);
}

static void
wait_end(void)
{
	int i;

	for (i = 0; i < TURNS_MAX && !ended; i++)
		event_base_loop(base, EVLOOP_ONCE);
	cr_assert(ended);
}

static void
rows_done(void *arg, enum table_status result, const struct table_row *rows,
    size_t nrows, const struct err *err)
{
	size_t i;

	(void)arg;
	ended = true;
	status = result;
	nseen = nrows;
	seen[0] = '\0';
	for (i = 0; i < nrows; i++)
		snprintf(seen + strlen(seen), sizeof(seen) - strlen(seen),
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
	ended = true;
	status = result;
	memset(failed, 0, sizeof(failed));
	if (vector != NULL)
		memcpy(failed, vector, sizeof(failed));
	if (err != NULL)
		error = *err;
}

/* A well-formed answer; valid until the next call. */
static const char *
whole(int code, const char *body)
{
	static char text[4096];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s", code,
	    strlen(body), body);
	return text;
}

/* One transaction of two writes, against the given answer. */
static enum table_status
transact(const char *answer, bool close)
{
	struct table_write writes[2] = {
		{ TABLE_IF_ABSENT, 0, { "p", "s1", 1, "{}", 2 } },
		{ TABLE_IF_VERSION, 4, { "p", "s2", 5, "{\"a\":1}", 7 } },
	};

	server.answer = answer;
	server.close = close;
	ended = false;
	platform->table->ops->transact(platform->table, writes, 2, table_done,
	    NULL);
	wait_end();
	return status;
}

static enum table_status
query(const char *answer)
{
	server.answer = answer;
	ended = false;
	platform->table->ops->query(platform->table, "p", "a", 10, rows_done,
	    NULL);
	wait_end();
	return status;
}

TestSuite(platform_http, .init = setup, .fini = teardown);

Test(platform_http, a_transaction_speaks_the_tables_form)
{
	cr_assert_eq(transact(OK_HEAD "2\r\n\r\n{}", false), TABLE_OK);
	cr_assert_neq(
	    strstr(server.last, "DynamoDB_20120810.TransactWriteItems"), NULL);
	cr_assert_neq(strstr(server.last, "attribute_not_exists(pk)"), NULL);
	cr_assert_neq(strstr(server.last, "\":v\":{\"N\":\"4\"}"), NULL);
	cr_assert_neq(strstr(server.last, "\"version\":{\"N\":\"5\"}"), NULL);
	cr_assert_neq(strstr(server.last, "{\"S\":\"{\\\"a\\\":1}\"}"), NULL);
}

Test(platform_http, connections_are_kept)
{
	int i;

	for (i = 0; i < 5; i++)
		cr_assert_eq(transact(OK_HEAD "2\r\n\r\n{}", false), TABLE_OK);
	cr_assert_eq(server.connections, 1);
	cr_assert_eq(server.requests, 5);
}

Test(platform_http, a_cancelled_transaction_names_the_failed_writes)
{
	static const char cancelled[] =
	    "{\"__type\":\"com.amazonaws.dynamodb.v20120810#"
	    "TransactionCanceledException\",\"CancellationReasons\":["
	    "{\"Code\":\"None\"},{\"Code\":\"ConditionalCheckFailed\"}]}";

	cr_assert_eq(transact(whole(400, cancelled), true), TABLE_CONFLICT);
	cr_assert_eq(failed[0], 0);
	cr_assert_eq(failed[1], 1);
	cr_assert_eq(error.step, ERR_STEP_TABLE);
	cr_assert_neq(strstr(error.peer, "127.0.0.1:"), NULL);
}

Test(platform_http, only_certain_refusals_are_unavailable)
{
	static const struct {
		const char *answer;
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
		cr_assert_eq(transact(cases[i].answer, true), cases[i].expected,
		    "case %zu: %d", i, status);
	cr_assert_eq((size_t)server.requests, i, "no request is sent twice");
}

Test(platform_http, without_a_listener_nothing_was_written)
{
	raw_server_stop(&server);
	cr_assert_eq(transact(NULL, false), TABLE_UNAVAILABLE);
	cr_assert_eq(error.code, ERR_UNAVAILABLE);
}

Test(platform_http, a_kept_connection_closed_meanwhile_is_not_used)
{
	int i;

	cr_assert_eq(transact(OK_HEAD "2\r\n\r\n{}", true), TABLE_OK);
	for (i = 0; i < 20; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
	cr_assert_eq(transact(OK_HEAD "2\r\n\r\n{}", false), TABLE_OK);
	cr_assert_eq(server.connections, 2);
}

Test(platform_http, silence_ends_with_the_time_limit)
{
	teardown();
	start(50);
	cr_assert_eq(transact(NULL, false), TABLE_UNKNOWN);
	cr_assert_eq(error.code, ERR_DEADLINE);
}

Test(platform_http, reads_give_rows_or_are_unavailable)
{
	static const char rows[] =
	    "{\"Items\":[{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"b\"},"
	    "\"version\":{\"N\":\"7\"},\"doc\":{\"S\":\"{}\"}},"
	    "{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"c\"},"
	    "\"version\":{\"N\":\"8\"},\"doc\":{\"S\":\"\"}}]}";

	cr_assert_eq(query(whole(200, rows)), TABLE_OK);
	cr_assert_str_eq(seen, "p b 7 {};p c 8 ;");
	cr_assert_neq(strstr(server.last, "\"ConsistentRead\":true"), NULL);
	cr_assert_eq(query(OK_HEAD "12\r\n\r\n{\"Items\":[]}"), TABLE_OK);
	cr_assert_eq(nseen, 0);
	cr_assert_eq(query(OK_HEAD "14\r\n\r\n{\"Items\":[{}]}"),
	    TABLE_UNAVAILABLE);
	cr_assert_eq(error.code, ERR_CORRUPT);
	cr_assert_eq(query("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
	    TABLE_UNAVAILABLE);
	ended = false;
	server.answer = OK_HEAD "2\r\n\r\n{}";
	platform->table->ops->get(platform->table, "p", "s", rows_done, NULL);
	wait_end();
	cr_assert_eq(status, TABLE_NOT_FOUND);
}

static struct hostlist_entry listed;
static size_t nlisted;

static void
hosts_done(void *arg, const struct hostlist_entry *entries, size_t nentries,
    const struct err *err)
{
	(void)arg;
	ended = true;
	nlisted = nentries;
	if (entries != NULL && nentries > 0)
		listed = entries[0];
	status = entries != NULL ? TABLE_OK : TABLE_UNAVAILABLE;
	if (err != NULL)
		error = *err;
}

Test(platform_http, the_host_list_leaves_out_what_is_malformed)
{
	server.answer = whole(200,
	    "{\"hosts\":[{\"role\":\"server\",\"name\":\"s1\","
	    "\"az\":\"surat\",\"address\":\"127.0.0.1\",\"port\":80,"
	    "\"leaving\":true},{\"role\":\"server\"},{\"role\":\"x\",\"name\":"
	    "\"s1\",\"az\":\"a\",\"address\":\"::1\",\"port\":1}]}");
	ended = false;
	platform->hostlist->ops->fetch(platform->hostlist, hosts_done, NULL);
	wait_end();
	cr_assert_eq(nlisted, 1);
	cr_assert_str_eq(listed.az, "surat");
	cr_assert(listed.leaving);
	server.answer = OK_HEAD "2\r\n\r\n{}";
	ended = false;
	platform->hostlist->ops->fetch(platform->hostlist, hosts_done, NULL);
	wait_end();
	cr_assert_eq(status, TABLE_UNAVAILABLE);
}

Test(platform_http, an_unchanged_host_list_is_not_sent_again)
{
	static const char hosts[] =
	    "{\"hosts\":[{\"role\":\"entry\",\"name\":\"h1\",\"az\":\"surat\","
	    "\"address\":\"127.0.0.1\",\"port\":80}]}";
	char answer[512];
	int i;

	snprintf(answer, sizeof(answer),
	    "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(hosts), hosts);
	server.answer = answer;
	for (i = 0; i < 2; i++) {
		ended = false;
		nlisted = 0;
		platform->hostlist->ops->fetch(platform->hostlist, hosts_done,
		    NULL);
		wait_end();
		cr_assert_eq(nlisted, 1);
		server.answer = "HTTP/1.1 304 Not Modified\r\n\r\n";
	}
	cr_assert_neq(strstr(server.last, "If-None-Match: \"v1\""), NULL);
	cr_assert_eq(server.connections, 1);
}

static void
blob_done(void *arg, enum table_status result, const void *data, size_t len,
    const struct err *err)
{
	(void)arg;
	(void)err;
	ended = true;
	status = result;
	snprintf(seen, sizeof(seen), "%.*s", (int)len, (const char *)data);
}

Test(platform_http, objects_are_put_and_read)
{
	server.answer = OK_HEAD "3\r\n\r\nabc";
	ended = false;
	platform->blobs->ops->get(platform->blobs, "config/snapshot", blob_done,
	    NULL);
	wait_end();
	cr_assert_str_eq(seen, "abc");
	cr_assert_neq(strstr(server.last, "GET /objects/config/snapshot "),
	    NULL);
	server.answer = "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
	ended = false;
	platform->blobs->ops->put(platform->blobs, "x", "y", 1, blob_done,
	    NULL);
	wait_end();
	cr_assert_eq(status, TABLE_NOT_FOUND);
	cr_assert_neq(strstr(server.last, "PUT /objects/x "), NULL);
}
