/*
 * The audit trail: rows of the version chain, as they were written.
 */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "entry/config_json.h"
#include "entry/config_sync_internal.h"

#define CONFIG_HISTORY_LIMIT 50
#define CONFIG_HISTORY_LIMIT_MAX 500

/* One request, until the table has answered. */
struct config_history {
	api_reply_fn reply;
	void *arg;
	LIST_ENTRY(config_history) entry;
};

static void
config_history_done(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err)
{
	struct config_history *history = arg;
	struct err parse_err;
	json_t *changes;
	size_t i;

	LIST_REMOVE(history, entry);
	if (status != TABLE_OK && status != TABLE_NOT_FOUND) {
		config_view_problem(history->reply, history->arg, 503, err, 0);
		free(history);
		return;
	}
	changes = json_array();
	for (i = 0; i < nrows; i++)
		json_array_append_new(changes,
		    cfgj_load(rows[i].doc, rows[i].doc_len, &parse_err));
	config_view_json(history->reply, history->arg, 200,
	    json_pack("{s:o}", "changes", changes));
	free(history);
}

/* A number from the query; @initial if it is absent; -1 if it is none. */
static int
config_history_number(const char *query, const char *name, uint64_t initial,
    uint64_t max, uint64_t *value)
{
	char *text, *end;
	int result;

	*value = initial;
	text = config_view_query(query, name);
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
	struct config_history *history;
	char sk[TABLE_KEY_SIZE];
	uint64_t after, limit;
	struct err err;

	if (config_history_number(request->query, "after", 0, INT64_MAX,
		&after) != 0 ||
	    config_history_number(request->query, "limit", CONFIG_HISTORY_LIMIT,
		CONFIG_HISTORY_LIMIT_MAX, &limit) != 0 ||
	    limit == 0) {
		err_set(&err, ERR_STEP_PARSE, ERR_INVALID, request->client,
		    "after is a version, limit one of 1..%d",
		    CONFIG_HISTORY_LIMIT_MAX);
		config_view_problem(reply, arg, 400, &err, 0);
		return;
	}
	history = calloc(1, sizeof(*history));
	if (history == NULL) {
		err_set(&err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "out of memory");
		config_view_problem(reply, arg, 503, &err, 0);
		return;
	}
	history->reply = reply;
	history->arg = arg;
	LIST_INSERT_HEAD(&sync->histories, history, entry);
	config_sync_sk(after, sk);
	sync->params.table->ops->query(sync->params.table, CONFIG_PK, sk,
	    (size_t)limit, config_history_done, history);
}

void
config_history_destroy_all(struct config_sync *sync)
{
	struct config_history *history;

	while ((history = LIST_FIRST(&sync->histories)) != NULL) {
		LIST_REMOVE(history, entry);
		free(history);
	}
}
