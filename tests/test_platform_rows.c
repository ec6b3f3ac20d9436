/*
 * The feed of a table over HTTP. The store returns at most 500 changes at a
 * time; more of them are read at once, and a refresh ends with the last one.
 */

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "platform/platform.h"

#define PAGE_ROWS 500
#define ROWS                                                            \
	1200 /* servers; the version of a row is in its order of change \
	      */
#define RUN_MS 300

struct rig {
	struct event_base *base;
	struct evhttp *server;
	struct rows *rows;
	uint64_t newest;	    /* version of the store */
	uint64_t versions[ROWS];    /* of the rows in the store */
	uint64_t received[ROWS];    /* as reported to the listener */
	unsigned int changes;	    /* reported by the feed */
	bool read_ended;	    /* of the servers, in full */
	uint64_t received_0_at_end; /* version of row 0, likewise */
	uint64_t read_version;	    /* as of the end of that read */
	uint64_t current_version;   /* of the servers, as confirmed last */
	bool change_in_full_read;   /* after its first page */
	bool refresh_in_read;	    /* again, when the servers are read next */
	bool refreshed;
	bool complete_at_refresh;
	unsigned int incomplete_refreshes;
	bool silent;		  /* the store replies to no request */
	bool jobs_silent;	  /* nor to those about jobs */
	int write_status;	  /* of replies to transactions */
	enum rows_status written; /* as reported */
	bool connected;		  /* as reported to the listener */
	const char *jobs_body;	  /* of replies about jobs; NULL: rows */
	uint64_t config;	  /* version of the row "config"; 0: none */
	uint64_t config_received; /* as reported to the listener */
};

static json_t *
rig_row(const struct rig *rig, size_t i)
{
	char key[64];

	/* Keys may have any characters. */
	(void)snprintf(key, sizeof(key), "&s%04zu #%%\u00e4", i);
	return json_pack("{s:s,s:s,s:s,s:s,s:I}", "table", "servers", "part",
	    "", "key", key, "value", "e30=", "row_version",
	    (json_int_t)rig->versions[i]);
}

/* Rows from @start_key on, in the order of their keys. */
static bool
rig_page(const struct rig *rig, const char *start_key, json_t *rows)
{
	size_t i = start_key == NULL || start_key[0] == '\0'
	    ? 0
	    : (size_t)atoi(start_key + 2);

	for (; i < ROWS && json_array_size(rows) < PAGE_ROWS; i++)
		(void)json_array_append_new(rows, rig_row(rig, i));
	return i < ROWS;
}

/* Rows changed after @after, in the order of their versions: row i is changed
 * with the version newest - ROWS + 1 + i. */
static void
rig_changes(const struct rig *rig, uint64_t after, json_t *rows)
{
	size_t i;

	for (i = 0; i < ROWS && json_array_size(rows) < PAGE_ROWS; i++) {
		if (rig->versions[i] > after)
			(void)json_array_append_new(rows, rig_row(rig, i));
	}
}

static void
rig_change_all(struct rig *rig)
{
	size_t i;

	for (i = 0; i < ROWS; i++)
		rig->versions[i] = ++rig->newest;
}

static void
rig_serve(struct evhttp_request *req, void *arg)
{
	struct rig *rig = arg;
	const char *query =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	json_t *rows = json_array(), *body;
	struct evkeyvalq params;
	const char *table, *after;
	uint64_t version = rig->newest;
	bool more = false, jobs;
	char *text;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_POST) {
		json_decref(rows);
		evhttp_send_reply(req, rig->write_status, "-", NULL);
		return;
	}
	(void)evhttp_parse_query_str(query, &params);
	table = evhttp_find_header(&params, "table");
	jobs = strcmp(table, "berylrail-jobs") == 0;
	if (rig->silent || (rig->jobs_silent && jobs)) {
		evhttp_clear_headers(&params);
		json_decref(rows);
		evhttp_request_own(req);
		return;
	}
	after = evhttp_find_header(&params, "after");
	if (strcmp(table, "servers") == 0) {
		if (after == NULL)
			more = rig_page(rig,
			    evhttp_find_header(&params, "start_key"), rows);
		else
			rig_changes(rig, strtoull(after, NULL, 10), rows);
		if (after == NULL && rig->change_in_full_read) {
			rig->change_in_full_read = false;
			rig->versions[ROWS - 1] = ++rig->newest;
			rig->versions[0] = ++rig->newest;
		}
	}
	if (strcmp(table, "servers") == 0 && rig->refresh_in_read) {
		rig->refresh_in_read = false;
		rig_change_all(rig);
		rig->rows->ops->refresh(rig->rows, ROWS_SERVERS);
	}
	if (strcmp(table, "op") == 0 && rig->config != 0 &&
	    (after == NULL || strtoull(after, NULL, 10) < rig->config))
		(void)json_array_append_new(rows,
		    json_pack("{s:s,s:s,s:I}", "key", "config", "value",
			"e30=", "row_version", (json_int_t)rig->config));
	evhttp_clear_headers(&params);
	body = json_pack("{s:o,s:I,s:b}", "rows", rows, "row_version",
	    (json_int_t)version, "has_more", more);
	text = jobs && rig->jobs_body != NULL ? strdup(rig->jobs_body)
					      : json_dumps(body, JSON_COMPACT);
	(void)evbuffer_add(evhttp_request_get_output_buffer(req), text,
	    strlen(text));
	free(text);
	json_decref(body);
	evhttp_send_reply(req, HTTP_OK, "OK", NULL);
}

static void
on_changed(void *arg, const struct rows_change *change)
{
	struct rig *rig = arg;
	size_t i = (size_t)atoi(change->key + 2);

	if (change->table == ROWS_OPERATOR) {
		rig->config_received = change->version;
		return;
	}
	cr_assert_lt(i, (size_t)ROWS);
	rig->received[i] = change->version;
	if (rig->read_ended)
		rig->changes++;
}

static void
on_read_begin(void *arg, enum rows_table table)
{
	(void)arg;
	(void)table;
}

static void
on_read_end(void *arg, enum rows_table table, uint64_t version)
{
	struct rig *rig = arg;

	if (table != ROWS_SERVERS)
		return;
	rig->read_ended = true;
	rig->read_version = version;
	rig->received_0_at_end = rig->received[0];
}

static void
on_current(void *arg, enum rows_table table, uint64_t version)
{
	struct rig *rig = arg;

	if (table == ROWS_SERVERS)
		rig->current_version = version;
}

static void
on_refreshed(void *arg, enum rows_table table)
{
	struct rig *rig = arg;

	cr_assert_eq(table, ROWS_SERVERS);
	rig->refreshed = true;
	rig->complete_at_refresh =
	    memcmp(rig->received, rig->versions, sizeof(rig->versions)) == 0;
	rig->incomplete_refreshes += !rig->complete_at_refresh;
}

static void
on_connected(void *arg, bool connected)
{
	((struct rig *)arg)->connected = connected;
}

static void
rig_run_ms(struct rig *rig, uint32_t ms)
{
	const struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = ms % 1000 * 1000 };

	(void)event_base_loopexit(rig->base, &tv);
	(void)event_base_dispatch(rig->base);
}

static void
rig_run(struct rig *rig)
{
	rig_run_ms(rig, RUN_MS);
}

static struct rig *
rig_create(void)
{
	struct rig *rig = calloc(1, sizeof(*rig));
	const struct rows_listener listener = { .changed = on_changed,
		.read_begin = on_read_begin,
		.read_end = on_read_end,
		.current = on_current,
		.refreshed = on_refreshed,
		.connected = on_connected,
		.arg = rig };
	struct endpoint endpoint = { .address = "127.0.0.1" };
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	rig_change_all(rig);
	rig->base = event_base_new();
	rig->server = evhttp_new(rig->base);
	evhttp_set_gencb(rig->server, rig_serve, rig);
	bound = evhttp_bind_socket_with_handle(rig->server, "127.0.0.1", 0);
	(void)getsockname(evhttp_bound_socket_get_fd(bound),
	    (struct sockaddr *)&sin, &len);
	endpoint.port = ntohs(sin.sin_port);
	rig->rows = platform_rows_create(rig->base, &endpoint, &listener);
	rig->rows->ops->set_poll_pause(rig->rows, ROWS_OPERATOR,
	    ROWS_POLL_NEVER);
	rig->rows->ops->set_poll_pause(rig->rows, ROWS_HOSTS, ROWS_POLL_NEVER);
	rig->rows->ops->set_poll_pause(rig->rows, ROWS_SERVERS,
	    ROWS_POLL_NEVER);
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	platform_rows_destroy(rig->rows);
	evhttp_free(rig->server);
	event_base_free(rig->base);
	free(rig);
}

Test(platform_rows, refresh_ends_with_the_newest_change)
{
	struct rig *rig = rig_create();

	rig->rows->ops->refresh(rig->rows, ROWS_SERVERS);
	rig_run(rig);
	cr_assert(rig->read_ended);
	rig_change_all(rig);
	rig->refreshed = false;
	rig->rows->ops->refresh(rig->rows, ROWS_SERVERS);
	rig_run(rig);
	cr_expect(rig->refreshed);
	cr_expect(rig->complete_at_refresh);
	cr_expect_eq(rig->current_version, rig->newest);
	cr_expect_eq(rig->changes, ROWS);
	rig_destroy(rig);
}

/* As by a host that takes over twice in a short time. */
Test(platform_rows, refresh_during_a_read_waits_for_the_next_one)
{
	struct rig *rig = rig_create();

	rig->rows->ops->refresh(rig->rows, ROWS_SERVERS);
	rig_run(rig);
	cr_assert(rig->read_ended);
	rig->refreshed = false;
	rig->refresh_in_read = true;
	rig->rows->ops->refresh(rig->rows, ROWS_SERVERS);
	rig_run(rig);
	cr_expect(rig->refreshed);
	cr_expect_eq(rig->incomplete_refreshes, 0);
	cr_expect_eq(rig->changes, ROWS);
	rig_destroy(rig);
}

/* All rows are changed more often than the feed is read: it does not fall
 * behind. */
Test(platform_rows, feed_with_a_pause_does_not_fall_behind)
{
	struct rig *rig = rig_create();
	int i;

	rig->rows->ops->set_poll_pause(rig->rows, ROWS_SERVERS, RUN_MS / 2);
	rig_run(rig);
	cr_assert(rig->read_ended);
	for (i = 0; i < 3; i++) {
		rig_change_all(rig);
		rig_run(rig);
		cr_expect_arr_eq(rig->received, rig->versions,
		    sizeof(rig->versions), "change %d", i);
	}
	rig_destroy(rig);
}

/* A row of the first page changes while the further pages are read: the read
 * ends when this is known, too. */
Test(platform_rows, full_read_is_complete_up_to_its_version)
{
	struct rig *rig = rig_create();

	rig->change_in_full_read = true;
	rig->rows->ops->refresh(rig->rows, ROWS_SERVERS);
	rig_run(rig);
	cr_assert(rig->read_ended);
	cr_expect_eq(rig->read_version, rig->newest);
	cr_expect_eq(rig->received_0_at_end, rig->versions[0]);
	rig_destroy(rig);
}

/* A new configuration is in force within 6 s, also on a host that has to read
 * it from a peer. */
Test(platform_rows, store_that_stops_replying_is_noticed)
{
	struct rig *rig = rig_create();

	rig->rows->ops->set_poll_pause(rig->rows, ROWS_OPERATOR, 0);
	rig_run(rig);
	cr_assert(rig->connected);
	rig->silent = true;
	rig_run_ms(rig, 5700);
	cr_expect_not(rig->connected);
	rig_destroy(rig);
}

static void
on_jobs_read(void *arg, enum rows_status status, const struct rows_row *rows,
    size_t nrows, bool more)
{
	struct rig *rig = arg;

	(void)status;
	(void)rows;
	(void)nrows;
	(void)more;
	if (rig->jobs_silent)
		rig->rows->ops->read(rig->rows, 0, "", 10, on_jobs_read, rig);
}

Test(platform_rows, configuration_is_read_while_reads_of_jobs_wait)
{
	struct rig *rig = rig_create();
	int i;

	rig->rows->ops->set_poll_pause(rig->rows, ROWS_OPERATOR, 100);
	rig_run(rig);
	rig->jobs_silent = true;
	for (i = 0; i < 240; i++)
		rig->rows->ops->read(rig->rows, 0, "", 10, on_jobs_read, rig);
	rig->config = ++rig->newest;
	rig_run_ms(rig, 2000);
	cr_expect_eq(rig->config_received, rig->config);
	rig->jobs_silent = false;
	rig_destroy(rig);
}

static void
rig_written(void *arg, enum rows_status status, uint64_t version,
    const struct rows_row *rows, size_t nrows)
{
	struct rig *rig = arg;

	(void)version;
	(void)rows;
	(void)nrows;
	rig->written = status;
	(void)event_base_loopbreak(rig->base);
}

/* A job whose row was written was refused as not run. */
Test(platform_rows, status_that_is_no_refusal_leaves_a_write_unknown)
{
	const struct rows_row row = { .key = "k",
		.value = "v",
		.value_len = 1 };
	const struct {
		int status;
		enum rows_status written;
	} cases[] = {
		{ 200, ROWS_OK },
		{ 202, ROWS_UNKNOWN },
		{ 400, ROWS_REFUSED },
		{ 412, ROWS_CONFLICT },
		{ 429, ROWS_REFUSED },
		{ 500, ROWS_UNKNOWN },
		{ 503, ROWS_REFUSED },
		{ 504, ROWS_UNKNOWN },
		{ 507, ROWS_UNKNOWN },
	};
	struct rig *rig = rig_create();
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig->write_status = cases[i].status;
		rig->rows->ops->transact(rig->rows, 0, &row, 1, rig_written,
		    rig);
		(void)event_base_dispatch(rig->base);
		cr_expect_eq(rig->written, cases[i].written, "%d: %d",
		    cases[i].status, (int)rig->written);
	}
	rig_destroy(rig);
}

static void
rig_jobs_read(void *arg, enum rows_status status, const struct rows_row *rows,
    size_t nrows, bool more)
{
	struct rig *rig = arg;

	(void)rows;
	(void)nrows;
	(void)more;
	rig->written = status;
	(void)event_base_loopbreak(rig->base);
}

/* A partition that was read so was taken for empty: its jobs were forgotten. */
Test(platform_rows, body_without_rows_is_no_empty_list_of_jobs)
{
	const struct {
		const char *body;
		enum rows_status status;
	} cases[] = {
		{ "{\"rows\":[],\"row_version\":7}", ROWS_OK },
		{ "", ROWS_UNKNOWN },
		{ "{\"rows\":[{\"key\":\"00", ROWS_UNKNOWN },
		{ "{\"rows\":{},\"row_version\":7}", ROWS_UNKNOWN },
		{ "{\"row_version\":7}", ROWS_UNKNOWN },
	};
	struct rig *rig = rig_create();
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig->jobs_body = cases[i].body;
		rig->rows->ops->read(rig->rows, 0, "", 1, rig_jobs_read, rig);
		(void)event_base_dispatch(rig->base);
		cr_expect_eq(rig->written, cases[i].status, "%s: %d",
		    cases[i].body, (int)rig->written);
	}
	rig_destroy(rig);
}
