/*
 * The table of the platform, with the JSON protocol of DynamoDB.
 *
 * A transaction is UNAVAILABLE only if none of it was sent, or if the error
 * document of the platform states that nothing was written. Any other end
 * without a complete response is UNKNOWN. Reads that fail are UNAVAILABLE.
 */

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/platform_http.h"
#include "core/counters.h"

#define PHTAB_TABLE_NAME "berylrail"
#define PHTAB_TARGET_PREFIX "DynamoDB_20120810."
#define PHTAB_NUMBER_SIZE 24 /* decimal 64-bit number, with the NUL */

struct phtab {
	struct table table; /* first, for casts */
	struct hcl *hcl;
};

/* A call; a query may take several requests, one for each page. */
struct phtab_call {
	struct phtab *phtab;
	char *pk; /* of a query, for the next pages */
	size_t limit;
	json_t *items; /* of the pages received */
	table_rows_fn rows_done;
	table_done_fn done;
	size_t nwrites;
	void *arg;
};

static struct counter phtab_messages = {
	.name = "berylrail_messages_total",
	.labels = "hop=\"platform\",kind=\"table\"",
	.help = "Messages sent",
};

static void phtab_query_done(void *arg, const struct hcl_reply *reply);

static void
phtab_call_free(void *arg)
{
	struct phtab_call *call = arg;

	json_decref(call->items);
	free(call->pk);
	free(call);
}

static struct phtab_call *
phtab_call_create(struct table *table, void *arg)
{
	struct phtab_call *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		abort();
	call->phtab = (struct phtab *)table;
	call->arg = arg;
	return call;
}

/* Sends one operation; takes ownership of @params. */
static void
phtab_send(struct phtab_call *call, const char *operation, json_t *params,
    hcl_done_fn done)
{
	char target[64];
	struct hcl_header headers[] = {
		{ "X-Amz-Target", target },
		{ "Content-Type", "application/x-amz-json-1.0" },
	};
	struct hcl_request request = {
		.method = EVHTTP_REQ_POST,
		.path = "/",
		.headers = headers,
		.nheaders = sizeof(headers) / sizeof(headers[0]),
		.free_arg = phtab_call_free,
	};
	char *text;

	snprintf(target, sizeof(target), PHTAB_TARGET_PREFIX "%s", operation);
	text = json_dumps(params, JSON_COMPACT);
	json_decref(params);
	if (text == NULL)
		abort();
	request.body = text;
	request.body_len = strlen(text);
	ctr_inc(&phtab_messages);
	hcl_call(call->phtab->hcl, &request, done, call);
	free(text);
}

/* Returns the JSON document of a reply, or NULL. */
static json_t *
phtab_parse_document(const struct hcl_reply *reply)
{
	if (reply->status == 0)
		return NULL;
	return json_loadb(reply->body, reply->body_len, JSON_REJECT_DUPLICATES,
	    NULL);
}

static const char *
phtab_get_attribute(const json_t *item, const char *name, const char *type)
{
	return json_string_value(
	    json_object_get(json_object_get(item, name), type));
}

/* Parses a row, whose strings are borrowed from @item. Return: 0, or -1 if it
 * is malformed. */
static int
phtab_parse_row(const json_t *item, struct table_row *row)
{
	const char *version = phtab_get_attribute(item, "version", "N");
	char *end;

	row->pk = phtab_get_attribute(item, "pk", "S");
	row->sk = phtab_get_attribute(item, "sk", "S");
	row->doc = phtab_get_attribute(item, "doc", "S");
	if (row->pk == NULL || row->sk == NULL || row->doc == NULL ||
	    version == NULL || version[0] < '0' || version[0] > '9')
		return -1;
	errno = 0;
	row->version = strtoull(version, &end, 10);
	row->doc_len = strlen(row->doc);
	return errno != 0 || *end != '\0' ? -1 : 0;
}

/* Ends a read with an error. @reply: the reply that can't be used, or NULL if a
 * row is malformed. */
static void
phtab_fail_read(struct phtab_call *call, const struct hcl_reply *reply)
{
	const struct hcl *hcl = call->phtab->hcl;
	struct err err;

	if (reply != NULL && reply->status != 200)
		hcl_err(hcl, reply, ERR_STEP_TABLE, &err);
	else
		err_set(&err, ERR_STEP_TABLE, ERR_CORRUPT, hcl_peer(hcl),
		    "the response is malformed");
	call->rows_done(call->arg, TABLE_UNAVAILABLE, NULL, 0, &err);
	phtab_call_free(call);
}

static void
phtab_get_done(void *arg, const struct hcl_reply *reply)
{
	struct phtab_call *call = arg;
	struct table_row row;
	json_t *document, *item;

	document = phtab_parse_document(reply);
	item = json_object_get(document, "Item");
	if (reply->status != 200 || !json_is_object(document) ||
	    (item != NULL && phtab_parse_row(item, &row) != 0)) {
		json_decref(document);
		phtab_fail_read(call, reply);
		return;
	}
	if (item == NULL)
		call->rows_done(call->arg, TABLE_NOT_FOUND, NULL, 0, NULL);
	else
		call->rows_done(call->arg, TABLE_OK, &row, 1, NULL);
	json_decref(document);
	phtab_call_free(call);
}

static void
phtab_get(struct table *table, const char *pk, const char *sk,
    table_rows_fn done, void *arg)
{
	struct phtab_call *call = phtab_call_create(table, arg);

	call->rows_done = done;
	phtab_send(call, "GetItem",
	    json_pack("{s:s, s:b, s:{s:{s:s}, s:{s:s}}}", "TableName",
		PHTAB_TABLE_NAME, "ConsistentRead", 1, "Key", "pk", "S", pk,
		"sk", "S", sk),
	    phtab_get_done);
}

/* Requests the next page: rows after the key @after, up to the limit. */
static void
phtab_query_page(struct phtab_call *call, const char *after)
{
	phtab_send(call, "Query",
	    json_pack("{s:s, s:b, s:s, s:{s:{s:s}, s:{s:s}}, s:I}", "TableName",
		PHTAB_TABLE_NAME, "ConsistentRead", 1, "KeyConditionExpression",
		"pk = :pk AND sk > :after", "ExpressionAttributeValues", ":pk",
		"S", call->pk, ":after", "S", after, "Limit",
		(json_int_t)(call->limit - json_array_size(call->items))),
	    phtab_query_done);
}

/* Ends a query with its rows, which must be in ascending order. */
static void
phtab_query_finish(struct phtab_call *call)
{
	size_t i, n = json_array_size(call->items);
	struct table_row *rows;
	json_t *item;

	rows = calloc(n + 1, sizeof(*rows));
	if (rows == NULL)
		abort();
	json_array_foreach (call->items, i, item) {
		if (phtab_parse_row(item, &rows[i]) != 0 ||
		    (i > 0 && strcmp(rows[i - 1].sk, rows[i].sk) >= 0)) {
			free(rows);
			phtab_fail_read(call, NULL);
			return;
		}
	}
	call->rows_done(call->arg, TABLE_OK, rows, n, NULL);
	free(rows);
	phtab_call_free(call);
}

static void
phtab_query_done(void *arg, const struct hcl_reply *reply)
{
	struct phtab_call *call = arg;
	json_t *document, *items, *last_key;
	const char *after;
	size_t n;

	document = phtab_parse_document(reply);
	items = json_object_get(document, "Items");
	if (reply->status != 200 || !json_is_array(items)) {
		json_decref(document);
		phtab_fail_read(call, reply);
		return;
	}
	json_array_extend(call->items, items);
	last_key = json_object_get(document, "LastEvaluatedKey");
	n = json_array_size(call->items);
	after = phtab_get_attribute(last_key, "sk", "S");
	if (after != NULL && json_array_size(items) > 0 && n < call->limit)
		phtab_query_page(call, after);
	else
		phtab_query_finish(call);
	json_decref(document);
}

static void
phtab_query(struct table *table, const char *pk, const char *after,
    size_t limit, table_rows_fn done, void *arg)
{
	struct phtab_call *call = phtab_call_create(table, arg);

	call->rows_done = done;
	call->limit = limit;
	call->pk = strdup(pk);
	call->items = json_array();
	if (call->pk == NULL)
		abort();
	phtab_query_page(call, after);
}

/* enum phtab_error_class - result of a transaction, by its error document. */
enum phtab_error_class {
	PHTAB_CANCELLED,   /* see CancellationReasons */
	PHTAB_NOT_WRITTEN, /* nothing was written */
	PHTAB_AMBIGUOUS,   /* the rows may have been written */
};

static enum phtab_error_class
phtab_classify_error(const json_t *document)
{
	static const char *const not_written[] = { "ValidationException",
		"ProvisionedThroughputExceededException", "ThrottlingException",
		"RequestLimitExceeded", "ResourceNotFoundException",
		"AccessDeniedException", "TransactionInProgressException",
		"TransactionConflictException", "ServiceUnavailable" };
	const char *type, *name;
	size_t i;

	type = json_string_value(json_object_get(document, "__type"));
	if (type == NULL)
		return PHTAB_AMBIGUOUS;
	name = strrchr(type, '#');
	name = name != NULL ? name + 1 : type;
	if (strcmp(name, "TransactionCanceledException") == 0)
		return PHTAB_CANCELLED;
	for (i = 0; i < sizeof(not_written) / sizeof(not_written[0]); i++) {
		if (strcmp(name, not_written[i]) == 0)
			return PHTAB_NOT_WRITTEN;
	}
	return PHTAB_AMBIGUOUS;
}

/* Marks the writes whose condition failed. Returns their number. */
static size_t
phtab_mark_failed_writes(const json_t *document, size_t nwrites,
    unsigned char *failed)
{
	json_t *reasons = json_object_get(document, "CancellationReasons");
	const char *code;
	json_t *reason;
	size_t i, n = 0;

	memset(failed, 0, TABLE_WRITES_MAX);
	json_array_foreach (reasons, i, reason) {
		code = json_string_value(json_object_get(reason, "Code"));
		if (code == NULL || i >= nwrites ||
		    strcmp(code, "ConditionalCheckFailed") != 0)
			continue;
		failed[i] = 1;
		n++;
	}
	return n;
}

static void
phtab_transact_done(void *arg, const struct hcl_reply *reply)
{
	struct phtab_call *call = arg;
	const struct hcl *hcl = call->phtab->hcl;
	unsigned char failed[TABLE_WRITES_MAX];
	enum table_status status;
	struct err err = { 0 };
	json_t *document;

	document = phtab_parse_document(reply);
	if (reply->status == 200 && json_is_object(document)) {
		call->done(call->arg, TABLE_OK, NULL, NULL);
		goto out;
	}
	hcl_err(hcl, reply, ERR_STEP_TABLE, &err);
	status = reply->status == 0 && !reply->sent ? TABLE_UNAVAILABLE
						    : TABLE_UNKNOWN;
	switch (phtab_classify_error(document)) {
	case PHTAB_CANCELLED:
		status = TABLE_UNAVAILABLE;
		if (phtab_mark_failed_writes(document, call->nwrites, failed) ==
		    0)
			break;
		status = TABLE_CONFLICT;
		err_set(&err, ERR_STEP_TABLE, ERR_CONFLICT, hcl_peer(hcl),
		    "a condition of the transaction failed");
		break;
	case PHTAB_NOT_WRITTEN:
		status = TABLE_UNAVAILABLE;
		break;
	case PHTAB_AMBIGUOUS:
		break;
	}
	call->done(call->arg, status, status == TABLE_CONFLICT ? failed : NULL,
	    &err);
out:
	json_decref(document);
	phtab_call_free(call);
}

static json_t *
phtab_render_write(const struct table_write *write)
{
	char version[PHTAB_NUMBER_SIZE], expected[PHTAB_NUMBER_SIZE];
	const struct table_row *row = &write->row;
	json_t *put;

	snprintf(version, sizeof(version), "%llu",
	    (unsigned long long)row->version);
	put = json_pack("{s:s, s:{s:{s:s}, s:{s:s}, s:{s:s}, s:{s:s%}}}",
	    "TableName", PHTAB_TABLE_NAME, "Item", "pk", "S", row->pk, "sk",
	    "S", row->sk, "version", "N", version, "doc", "S", row->doc,
	    row->doc_len);
	if (put == NULL)
		return NULL;
	if (write->condition == TABLE_IF_ABSENT) {
		json_object_set_new(put, "ConditionExpression",
		    json_string("attribute_not_exists(pk)"));
	} else if (write->condition == TABLE_IF_VERSION) {
		snprintf(expected, sizeof(expected), "%llu",
		    (unsigned long long)write->expect_version);
		json_object_update_new(put,
		    json_pack("{s:s, s:{s:s}, s:{s:{s:s}}}",
			"ConditionExpression", "#v = :v",
			"ExpressionAttributeNames", "#v", "version",
			"ExpressionAttributeValues", ":v", "N", expected));
	}
	return json_pack("{s:o}", "Put", put);
}

static void
phtab_transact(struct table *table, const struct table_write *writes,
    size_t nwrites, table_done_fn done, void *arg)
{
	struct phtab_call *call = phtab_call_create(table, arg);
	json_t *items;
	size_t i;

	call->done = done;
	call->nwrites = nwrites;
	items = json_array();
	for (i = 0; i < nwrites; i++)
		json_array_append_new(items, phtab_render_write(&writes[i]));
	phtab_send(call, "TransactWriteItems",
	    json_pack("{s:o}", "TransactItems", items), phtab_transact_done);
}

static const struct table_ops phtab_ops = {
	.get = phtab_get,
	.query = phtab_query,
	.transact = phtab_transact,
};

struct table *
phtab_create(struct hcl *hcl)
{
	struct phtab *phtab;

	phtab = calloc(1, sizeof(*phtab));
	if (phtab == NULL)
		return NULL;
	phtab->table.ops = &phtab_ops;
	phtab->hcl = hcl;
	return &phtab->table;
}

void
phtab_destroy(struct table *table)
{
	free(table);
}
