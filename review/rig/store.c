/*
 * The platform's store, in memory, as PROTOCOL.md has it. Each host has a port
 * of its own, so that the store can turn away one of them.
 */

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "review/rig/rig.h"
#include "tests/support/standin.h"

#define STORE_TICK_MS 5
#define STORE_ROWS_MAX 4096
#define STORE_HOSTS_TABLE "berylrail-hosts"

struct store_row {
	char *table, *part, *key;
	char *value; /* base64; NULL: removed */
	uint64_t version;
	TAILQ_ENTRY(store_row) entry; /* by version */
};

struct store_feed {
	struct evhttp_request *req;
	struct rig_host *host;
	char table[RIG_NAME_SIZE];
	uint64_t after, until_ms;
	TAILQ_ENTRY(store_feed) entry;
};

static TAILQ_HEAD(, store_row) store_rows = TAILQ_HEAD_INITIALIZER(store_rows);
static TAILQ_HEAD(, store_feed) store_feeds = TAILQ_HEAD_INITIALIZER(
    store_feeds);

static struct store_row *
store_find(const char *table, const char *part, const char *key)
{
	struct store_row *row;

	TAILQ_FOREACH (row, &store_rows, entry) {
		if (strcmp(row->table, table) == 0 &&
		    strcmp(row->part, part) == 0 && strcmp(row->key, key) == 0)
			return row;
	}
	return NULL;
}

/* Writes a row with the current version of the store. */
static void
store_put(const char *table, const char *part, const char *key,
    const char *value)
{
	struct store_row *row = store_find(table, part, key);

	if (row == NULL) {
		row = calloc(1, sizeof(*row));
		row->table = strdup(table);
		row->part = strdup(part);
		row->key = strdup(key);
	} else {
		TAILQ_REMOVE(&store_rows, row, entry);
	}
	free(row->value);
	row->value = value == NULL ? NULL : strdup(value);
	row->version = rig.version;
	TAILQ_INSERT_TAIL(&store_rows, row, entry);
}

void
store_set(const char *table, const char *key, const char *value)
{
	size_t len = strlen(value);
	size_t size =
	    sodium_base64_ENCODED_LEN(len, sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);

	sodium_bin2base64(text, size, (const unsigned char *)value, len,
	    sodium_base64_VARIANT_ORIGINAL);
	rig.version++;
	store_put(table, "", key, text);
	free(text);
}

void
store_remove(const char *table, const char *key)
{
	rig.version++;
	store_put(table, "", key, NULL);
}

bool
store_job_contains(const char *id, const char *text)
{
	const struct store_row *row;
	size_t size, len;
	char *value;
	bool found;

	TAILQ_FOREACH (row, &store_rows, entry) {
		if (strcmp(row->key, id) != 0 || row->value == NULL)
			continue;
		size = strlen(row->value);
		value = calloc(1, size + 1);
		sodium_base642bin((unsigned char *)value, size, row->value,
		    size, NULL, &len, NULL, sodium_base64_VARIANT_ORIGINAL);
		found = strstr(value, text) != NULL;
		free(value);
		return found;
	}
	return false;
}

static json_t *
store_row_json(const struct store_row *row)
{
	json_t *json = json_pack("{s:s,s:s,s:s,s:I}", "table", row->table,
	    "part", row->part, "key", row->key, "row_version",
	    (json_int_t)row->version);

	if (row->value != NULL)
		json_object_set_new(json, "value", json_string(row->value));
	else
		json_object_set_new(json, "compacted", json_true());
	return json;
}

static void
store_reply(struct evhttp_request *req, int status, json_t *rows, bool more)
{
	json_t *body =
	    json_pack("{s:I,s:I,s:b}", "row_version", (json_int_t)rig.version,
		"now_ms", (json_int_t)rig_now_ms(), "has_more", (int)more);

	if (rows != NULL)
		json_object_set_new(body, "rows", rows);
	sti_reply(req, status, body);
}

/* A transaction is applied as a whole, or not at all. */
static void
store_transact(struct evhttp_request *req, struct rig_host *host)
{
	json_t *body = sti_json_body(req), *rows = json_array();
	const struct store_row *row;
	const json_t *item;
	uint64_t version;
	bool holds = true;
	size_t i;

	json_array_foreach (json_object_get(body, "expect"), i, item) {
		row = store_find(sti_str(item, "table", ""),
		    sti_str(item, "part", ""), sti_str(item, "key", ""));
		version = row == NULL || row->value == NULL ? 0 : row->version;
		if ((int64_t)version != sti_int(item, "row_version", -1))
			holds = false;
		if (version != 0)
			json_array_append_new(rows, store_row_json(row));
	}
	if (!holds) {
		store_reply(req, 412, rows, false);
		json_decref(body);
		return;
	}
	json_decref(rows);
	rig.version++;
	json_array_foreach (json_object_get(body, "set_keys"), i, item) {
		store_put(sti_str(item, "table", ""), sti_str(item, "part", ""),
		    sti_str(item, "key", ""), sti_str(item, "value", ""));
		/* The version of a host's own row is its fencing token. */
		if (strcmp(sti_str(item, "table", ""), STORE_HOSTS_TABLE) ==
			0 &&
		    host->ntokens < RIG_TOKENS_MAX)
			host->tokens[host->ntokens++] = rig.version;
	}
	json_array_foreach (json_object_get(body, "remove"), i, item)
		store_put(sti_str(item, "table", ""), sti_str(item, "part", ""),
		    sti_str(item, "key", ""), NULL);
	json_decref(body);
	store_reply(req, 200, NULL, false);
}

static int
store_compare(const void *a, const void *b)
{
	return strcmp((*(struct store_row *const *)a)->key,
	    (*(struct store_row *const *)b)->key);
}

static void
store_get(struct evhttp_request *req)
{
	char table[RIG_NAME_SIZE], part[RIG_NAME_SIZE], from[256], text[256];
	struct store_row *found[STORE_ROWS_MAX], *row;
	json_t *rows = json_array();
	size_t i, n = 0, max = 500;
	char to[256];

	sti_query(req, "table", table, sizeof(table));
	sti_query(req, "part", part, sizeof(part));
	sti_query(req, "start_key", from, sizeof(from));
	sti_query(req, "to", to, sizeof(to));
	if (sti_query(req, "limit", text, sizeof(text))[0] != '\0')
		max = (size_t)atoi(text);
	TAILQ_FOREACH (row, &store_rows, entry) {
		if (n < STORE_ROWS_MAX && row->value != NULL &&
		    strcmp(row->table, table) == 0 &&
		    strcmp(row->part, part) == 0 &&
		    strcmp(row->key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(row->key, to) < 0))
			found[n++] = row;
	}
	qsort(found, n, sizeof(found[0]), store_compare);
	for (i = 0; i < n && i < max; i++)
		json_array_append_new(rows, store_row_json(found[i]));
	store_reply(req, 200, rows, n > max);
}

static json_t *
store_changes(const char *table, uint64_t after)
{
	json_t *rows = json_array();
	const struct store_row *row;

	TAILQ_FOREACH (row, &store_rows, entry) {
		if (row->version > after && strcmp(row->table, table) == 0)
			json_array_append_new(rows, store_row_json(row));
	}
	return rows;
}

static void
store_feed(struct evhttp_request *req, struct rig_host *host)
{
	char table[RIG_NAME_SIZE], after[24], wait[24];
	struct store_feed *feed;
	json_t *rows;

	sti_query(req, "table", table, sizeof(table));
	sti_query(req, "after", after, sizeof(after));
	sti_query(req, "wait_ms", wait, sizeof(wait));
	rows = store_changes(table, strtoull(after, NULL, 10));
	if (json_array_size(rows) > 0 || atoi(wait) == 0) {
		store_reply(req, 200, rows, false);
		return;
	}
	json_decref(rows);
	feed = calloc(1, sizeof(*feed));
	feed->req = req;
	feed->host = host;
	strcpy(feed->table, table);
	feed->after = strtoull(after, NULL, 10);
	feed->until_ms = rig_now_ms() + (uint64_t)atoi(wait);
	evhttp_request_own(req);
	TAILQ_INSERT_TAIL(&store_feeds, feed, entry);
}

static void
store_tick(evutil_socket_t fd, short what, void *arg)
{
	struct store_feed *feed, *next;
	json_t *rows;

	(void)fd;
	(void)what;
	(void)arg;
	for (feed = TAILQ_FIRST(&store_feeds); feed != NULL; feed = next) {
		next = TAILQ_NEXT(feed, entry);
		if (feed->host->store_mode == RIG_STORE_BUSY ||
		    feed->host->store_mode == RIG_STORE_SILENT) {
			/* The answer is lost. */
			TAILQ_REMOVE(&store_feeds, feed, entry);
			free(feed);
			continue;
		}
		rows = store_changes(feed->table, feed->after);
		if (json_array_size(rows) == 0 &&
		    rig_now_ms() < feed->until_ms) {
			json_decref(rows);
			continue;
		}
		TAILQ_REMOVE(&store_feeds, feed, entry);
		store_reply(feed->req, 200, rows, false);
		free(feed);
	}
}

static void
store_answer(struct evhttp_request *req, struct rig_host *host)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (strcmp(path, "/v1/rows-tx") == 0)
		store_transact(req, host);
	else if (strcmp(path, "/v1/rows-get") == 0)
		store_get(req);
	else if (strcmp(path, "/v1/rows-feed") == 0)
		store_feed(req, host);
	else
		sti_reply(req, 404, json_object());
}

struct store_slow_call {
	struct evhttp_request *req;
	struct rig_host *host;
};

static void
store_slow_answer(evutil_socket_t fd, short what, void *arg)
{
	struct store_slow_call *call = arg;

	(void)fd;
	(void)what;
	store_answer(call->req, call->host);
	free(call);
}

static void
store_serve(struct evhttp_request *req, void *arg)
{
	const struct timeval delay = { .tv_usec = RIG_STORE_SLOW_MS * 1000 };
	struct rig_host *host = arg;
	struct store_slow_call *call;

	switch (host->store_mode) {
	case RIG_STORE_OK:
		store_answer(req, host);
		break;
	case RIG_STORE_BUSY:
		sti_reply(req, 503, json_object());
		break;
	case RIG_STORE_SILENT:
		evhttp_request_own(req); /* no answer */
		break;
	case RIG_STORE_SLOW:
		call = calloc(1, sizeof(*call));
		call->req = req;
		call->host = host;
		evhttp_request_own(req);
		event_base_once(rig.base, -1, EV_TIMEOUT, store_slow_answer,
		    call, &delay);
		break;
	}
}

void
store_start(struct rig_host *host)
{
	sti_http_server(rig.base, &host->store_port, store_serve, host);
}

void
store_init(void)
{
	const struct timeval interval = { .tv_usec = STORE_TICK_MS * 1000 };

	event_add(event_new(rig.base, -1, EV_PERSIST, store_tick, NULL),
	    &interval);
}
