/*
 * The platform's store, in memory. Values are kept as they came, in base64.
 */

#include <jansson.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "store.h"
#include "support/standin.h"

#define STR_TICK_MS 5
#define STR_LOST_EVERY 3

struct str_row {
	char *table, *part, *key;
	char *value; /* base64; NULL: removed */
	uint64_t version;
	TAILQ_ENTRY(str_row) entry;
};

/* A feed's answer waits for a change. */
struct str_wait {
	struct evhttp_request *req;
	char table[64];
	uint64_t after;
	uint64_t until_ms;
	TAILQ_ENTRY(str_wait) entry;
};

static TAILQ_HEAD(, str_row) str_rows = TAILQ_HEAD_INITIALIZER(str_rows);
static TAILQ_HEAD(, str_wait) str_waits = TAILQ_HEAD_INITIALIZER(str_waits);
static uint64_t str_version;
static uint64_t str_writes;
static enum { STR_OK, STR_DOWN, STR_SILENT, STR_LOST } str_mode;

void
store_set_mode(const char *mode)
{
	if (mode == NULL)
		return;
	str_mode = strcmp(mode, "down") == 0 ? STR_DOWN
	    : strcmp(mode, "silent") == 0    ? STR_SILENT
	    : strcmp(mode, "lost") == 0	     ? STR_LOST
					     : STR_OK;
}

static struct str_row *
str_find(const char *table, const char *part, const char *key)
{
	struct str_row *row;

	TAILQ_FOREACH (row, &str_rows, entry) {
		if (strcmp(row->table, table) == 0 &&
		    strcmp(row->part, part) == 0 && strcmp(row->key, key) == 0)
			return row;
	}
	return NULL;
}

static void
str_put(const char *table, const char *part, const char *key, const char *value)
{
	struct str_row *row = str_find(table, part, key);

	if (row == NULL) {
		row = calloc(1, sizeof(*row));
		row->table = strdup(table);
		row->part = strdup(part);
		row->key = strdup(key);
		TAILQ_INSERT_TAIL(&str_rows, row, entry);
	}
	free(row->value);
	row->value = value == NULL ? NULL : strdup(value);
	row->version = str_version;
}

void
store_set(const char *table, const char *part, const char *key,
    const char *value)
{
	size_t len = strlen(value);
	size_t size =
	    sodium_base64_ENCODED_LEN(len, sodium_base64_VARIANT_ORIGINAL);
	char *encoded = malloc(size);

	sodium_bin2base64(encoded, size, (const unsigned char *)value, len,
	    sodium_base64_VARIANT_ORIGINAL);
	str_version++;
	str_put(table, part, key, encoded);
	free(encoded);
}

static json_t *
str_json(const struct str_row *row)
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

/* NULL: all conditions hold; else the rows as they are. */
static json_t *
str_check(const json_t *expect)
{
	json_t *rows = json_array();
	const struct str_row *row;
	bool good = true;
	const json_t *item;
	uint64_t version;
	size_t i;

	json_array_foreach (expect, i, item) {
		row = str_find(sti_str(item, "table", ""),
		    sti_str(item, "part", ""), sti_str(item, "key", ""));
		version = row == NULL || row->value == NULL ? 0 : row->version;
		if ((int64_t)version != sti_int(item, "row_version", -1))
			good = false;
		if (version != 0)
			json_array_append_new(rows, str_json(row));
	}
	if (!good)
		return rows;
	json_decref(rows);
	return NULL;
}

static void
str_transact(struct evhttp_request *req, const json_t *body)
{
	json_t *rows = str_check(json_object_get(body, "expect"));
	const json_t *item;
	size_t i;

	if (rows != NULL) {
		sti_reply(req, 412, json_pack("{s:o}", "rows", rows));
		return;
	}
	str_version++;
	json_array_foreach (json_object_get(body, "set_keys"), i, item)
		str_put(sti_str(item, "table", ""), sti_str(item, "part", ""),
		    sti_str(item, "key", ""), sti_str(item, "value", ""));
	json_array_foreach (json_object_get(body, "remove"), i, item)
		str_put(sti_str(item, "table", ""), sti_str(item, "part", ""),
		    sti_str(item, "key", ""), NULL);
	if (str_mode == STR_LOST && ++str_writes % STR_LOST_EVERY == 0) {
		evhttp_request_own(req); /* never answered */
		return;
	}
	sti_reply(req, 200,
	    json_pack("{s:I}", "row_version", (json_int_t)str_version));
}

static int
str_compare(const void *a, const void *b)
{
	return strcmp((*(struct str_row *const *)a)->key,
	    (*(struct str_row *const *)b)->key);
}

static void
str_get(struct evhttp_request *req)
{
	char table[64], part[64], from[256], limit[16];
	struct str_row *found[4096], *row;
	json_t *rows = json_array();
	size_t i, n = 0, max;

	sti_query(req, "table", table, sizeof(table));
	sti_query(req, "part", part, sizeof(part));
	sti_query(req, "start_key", from, sizeof(from));
	sti_query(req, "limit", limit, sizeof(limit));
	max = limit[0] == '\0' ? 500 : (size_t)atoi(limit);
	TAILQ_FOREACH (row, &str_rows, entry) {
		if (n < 4096 && row->value != NULL &&
		    strcmp(row->table, table) == 0 &&
		    strcmp(row->part, part) == 0 && strcmp(row->key, from) >= 0)
			found[n++] = row;
	}
	qsort(found, n, sizeof(found[0]), str_compare);
	for (i = 0; i < n && i < max; i++)
		json_array_append_new(rows, str_json(found[i]));
	sti_reply(req, 200,
	    json_pack("{s:o,s:b,s:I}", "rows", rows, "has_more", n > max,
		"row_version", (json_int_t)str_version));
}

static json_t *
str_changes(const char *table, uint64_t after)
{
	json_t *rows = json_array();
	const struct str_row *row;

	TAILQ_FOREACH (row, &str_rows, entry) {
		if (row->version > after && strcmp(row->table, table) == 0)
			json_array_append_new(rows, str_json(row));
	}
	return rows;
}

static void
str_feed_answer(struct evhttp_request *req, json_t *rows)
{
	sti_reply(req, 200,
	    json_pack("{s:o,s:I}", "rows", rows, "row_version",
		(json_int_t)str_version));
}

static void
str_feed(struct evhttp_request *req)
{
	char table[64], after[24], wait[16];
	struct str_wait *waiting;
	json_t *rows;

	sti_query(req, "table", table, sizeof(table));
	sti_query(req, "after", after, sizeof(after));
	sti_query(req, "wait_ms", wait, sizeof(wait));
	rows = str_changes(table, strtoull(after, NULL, 10));
	if (json_array_size(rows) > 0 || atoi(wait) == 0) {
		str_feed_answer(req, rows);
		return;
	}
	json_decref(rows);
	waiting = calloc(1, sizeof(*waiting));
	waiting->req = req;
	strcpy(waiting->table, table);
	waiting->after = strtoull(after, NULL, 10);
	waiting->until_ms = sti_now_ms() + (uint64_t)atoi(wait);
	evhttp_request_own(req);
	TAILQ_INSERT_TAIL(&str_waits, waiting, entry);
}

static void
str_tick(evutil_socket_t fd, short what, void *arg)
{
	struct str_wait *wait, *next;
	json_t *rows;

	(void)fd;
	(void)what;
	(void)arg;
	if (str_mode == STR_SILENT)
		return;
	for (wait = TAILQ_FIRST(&str_waits); wait != NULL; wait = next) {
		next = TAILQ_NEXT(wait, entry);
		rows = str_changes(wait->table, wait->after);
		if (json_array_size(rows) == 0 &&
		    sti_now_ms() < wait->until_ms) {
			json_decref(rows);
			continue;
		}
		TAILQ_REMOVE(&str_waits, wait, entry);
		str_feed_answer(wait->req, rows);
		free(wait);
	}
}

void
store_init(struct event_base *base)
{
	const struct timeval interval = { .tv_usec = STR_TICK_MS * 1000 };

	event_add(event_new(base, -1, EV_PERSIST, str_tick, NULL), &interval);
}

void
store_serve(struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	json_t *body;

	if (str_mode == STR_DOWN) {
		sti_reply(req, 503, json_object());
	} else if (str_mode == STR_SILENT) {
		evhttp_request_own(req);
	} else if (strcmp(path, "/v1/rows-tx") == 0) {
		body = sti_json_body(req);
		str_transact(req, body);
		json_decref(body);
	} else if (strcmp(path, "/v1/rows-get") == 0) {
		str_get(req);
	} else if (strcmp(path, "/v1/rows-feed") == 0) {
		str_feed(req);
	} else {
		sti_reply(req, 404, json_object());
	}
}
