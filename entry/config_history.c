/*
 * Serves the audit trail: the rows of the version chain, as they were written.
 */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "entry/config_json.h"
#include "entry/config_sync_internal.h"

#define CONFIG_HISTORY_ROWS_DEFAULT 50
#define CONFIG_HISTORY_ROWS_MAX 500

/* A request that waits for the table's result. */
struct config_history_request {
	api_reply_fn reply;
	void *arg;
	LIST_ENTRY(config_history_request) entry;
};

static void
config_history_done(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err)
{
	struct config_history_request *pending = arg;
	struct err parse_err;
	json_t *changes;
	size_t i;

	LIST_REMOVE(pending, entry);
	if (status != TABLE_OK && status != TABLE_NOT_FOUND) {
		config_view_reply_problem(pending->reply, pending->arg, 503,
		    err, 0);
		free(pending);
		return;
	}
	changes = json_array();
	for (i = 0; i < nrows; i++)
		json_array_append_new(changes,
		    cfgj_load(rows[i].doc, rows[i].doc_len, &parse_err));
	config_view_reply_json(pending->reply, pending->arg, 200,
	    json_pack("{s:o}", "changes", changes));
	free(pending);
}

/*
 * Reads a query parameter; @default_value if it is absent. Returns -1 if it is
 * not a number in 0..@max.
 */
static int
config_history_query_number(const char *query, const char *name,
    uint64_t default_value, uint64_t max, uint64_t *value)
{
	char *text, *end;
	int result;

	*value = default_value;
	text = config_view_query_param(query, name);
	if (text == NULL)
		return 0;
	errno = 0;
	*value = strtoull(text, &end, 10);
	result = text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0 ||
		*value > max
	    ? -1
	    : 0;
	free(text);
	return result;
}

void
config_history_get(struct config_sync *sync, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct config_history_request *pending;
	char sk[TABLE_KEY_SIZE];
	uint64_t after, limit;
	struct err err;

	if (config_history_query_number(request->query, "after", 0, INT64_MAX,
		&after) != 0 ||
	    config_history_query_number(request->query, "limit",
		CONFIG_HISTORY_ROWS_DEFAULT, CONFIG_HISTORY_ROWS_MAX,
		&limit) != 0 ||
	    limit == 0) {
		err_set(&err, ERR_STEP_PARSE, ERR_INVALID, request->client,
		    "after must be a version number, limit a number in 1..%d",
		    CONFIG_HISTORY_ROWS_MAX);
		config_view_reply_problem(reply, arg, 400, &err, 0);
		return;
	}
	pending = calloc(1, sizeof(*pending));
	if (pending == NULL) {
		err_set(&err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "out of memory");
		config_view_reply_problem(reply, arg, 503, &err, 0);
		return;
	}
	pending->reply = reply;
	pending->arg = arg;
	LIST_INSERT_HEAD(&sync->history_requests, pending, entry);
	config_sync_version_key(after, sk);
	sync->params.table->ops->query(sync->params.table, CONFIG_PK, sk,
	    (size_t)limit, config_history_done, pending);
}

void
config_history_destroy_all(struct config_sync *sync)
{
	struct config_history_request *pending;

	while ((pending = LIST_FIRST(&sync->history_requests)) != NULL) {
		LIST_REMOVE(pending, entry);
		free(pending);
	}
}
