/*
 * A platform in the memory of this process, for evaluation and tests. As with a
 * platform on the network, callbacks run from the event loop, after the call
 * has returned.
 */

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/tree.h>

#include "adapters/platform.h"

/* A row; it owns its strings. */
struct pmem_row {
	struct table_row row;
	char *pk;
	char *sk;
	char *doc;
	RB_ENTRY(pmem_row) node;
	LIST_ENTRY(pmem_row) entry;
};

RB_HEAD(pmem_rows, pmem_row);

struct pmem_blob {
	char *name;
	void *data;
	size_t len;
	TAILQ_ENTRY(pmem_blob) entry;
};

/* A pending reply; it owns copies of the rows or the object returned. */
struct pmem_reply {
	struct pmem *pmem;
	struct event *timer;
	enum table_status status;
	struct pmem_row *rows;
	struct table_row *result_rows;
	size_t nrows;
	unsigned char failed[TABLE_WRITES_MAX];
	void *data;
	size_t len;
	struct err err;
	table_rows_fn rows_done;
	table_done_fn table_done;
	blobs_done_fn blobs_done;
	void *arg;
	TAILQ_ENTRY(pmem_reply) entry;
};

struct pmem {
	struct platform platform; /* first, for the cast in destroy() */
	struct table table;
	struct blobs blobs;
	struct event_base *base;
	struct pmem_rows rows;		/* sorted by key */
	LIST_HEAD(, pmem_row) row_list; /* the same rows, unsorted */
	TAILQ_HEAD(, pmem_blob) blob_list;
	TAILQ_HEAD(, pmem_reply) replies;
};

static int
pmem_compare(const struct pmem_row *a, const struct pmem_row *b)
{
	int order = strcmp(a->row.pk, b->row.pk);

	return order != 0 ? order : strcmp(a->row.sk, b->row.sk);
}

RB_GENERATE_STATIC(pmem_rows, pmem_row, node, pmem_compare)

static struct pmem *
pmem_from_table(struct table *table)
{
	return (struct pmem *)((char *)table - offsetof(struct pmem, table));
}

static struct pmem *
pmem_from_blobs(struct blobs *blobs)
{
	return (struct pmem *)((char *)blobs - offsetof(struct pmem, blobs));
}

static void
pmem_row_clear(struct pmem_row *row)
{
	free(row->pk);
	free(row->sk);
	free(row->doc);
}

static int
pmem_row_copy(struct pmem_row *to, const struct table_row *from)
{
	to->pk = strdup(from->pk);
	to->sk = strdup(from->sk);
	to->doc = malloc(from->doc_len + 1);
	if (to->pk == NULL || to->sk == NULL || to->doc == NULL) {
		pmem_row_clear(to);
		return -1;
	}
	memcpy(to->doc, from->doc, from->doc_len);
	to->doc[from->doc_len] = '\0';
	to->row = (struct table_row){ to->pk, to->sk, from->version, to->doc,
		from->doc_len };
	return 0;
}

/* Frees a reply that is in no list. */
static void
pmem_reply_free(struct pmem_reply *reply)
{
	size_t i;

	if (reply->timer != NULL)
		event_free(reply->timer);
	for (i = 0; i < reply->nrows; i++)
		pmem_row_clear(&reply->rows[i]);
	free(reply->rows);
	free(reply->result_rows);
	free(reply->data);
	free(reply);
}

static void
pmem_reply_run(evutil_socket_t fd, short events, void *arg)
{
	struct pmem_reply *reply = arg;

	(void)fd;
	(void)events;
	TAILQ_REMOVE(&reply->pmem->replies, reply, entry);
	if (reply->rows_done != NULL)
		reply->rows_done(reply->arg, reply->status, reply->result_rows,
		    reply->nrows, &reply->err);
	else if (reply->table_done != NULL)
		reply->table_done(reply->arg, reply->status,
		    reply->status == TABLE_CONFLICT ? reply->failed : NULL,
		    &reply->err);
	else
		reply->blobs_done(reply->arg, reply->status, reply->data,
		    reply->len, &reply->err);
	pmem_reply_free(reply);
}

/* Exhausted memory aborts the process, as calls cannot report it. */
static struct pmem_reply *
pmem_reply_create(struct pmem *pmem, void *arg)
{
	struct timeval now = { 0, 0 };
	struct pmem_reply *reply;

	reply = calloc(1, sizeof(*reply));
	if (reply == NULL)
		abort();
	reply->pmem = pmem;
	reply->arg = arg;
	reply->status = TABLE_OK;
	reply->timer = evtimer_new(pmem->base, pmem_reply_run, reply);
	if (reply->timer == NULL || event_add(reply->timer, &now) != 0)
		abort();
	TAILQ_INSERT_TAIL(&pmem->replies, reply, entry);
	return reply;
}

static void
pmem_reply_add_row(struct pmem_reply *reply, const struct table_row *row)
{
	size_t n = reply->nrows;

	reply->rows = reallocarray(reply->rows, n + 1, sizeof(*reply->rows));
	reply->result_rows =
	    reallocarray(reply->result_rows, n + 1, sizeof(*row));
	if (reply->rows == NULL || reply->result_rows == NULL ||
	    pmem_row_copy(&reply->rows[n], row) != 0)
		abort();
	reply->result_rows[n] = reply->rows[n].row;
	reply->nrows++;
}

static struct pmem_row *
pmem_find(struct pmem *pmem, const char *pk, const char *sk)
{
	struct pmem_row key = { .row = { .pk = pk, .sk = sk } };

	return RB_FIND(pmem_rows, &pmem->rows, &key);
}

static void
pmem_get(struct table *table, const char *pk, const char *sk,
    table_rows_fn done, void *arg)
{
	struct pmem *pmem = pmem_from_table(table);
	struct pmem_reply *reply = pmem_reply_create(pmem, arg);
	struct pmem_row *row = pmem_find(pmem, pk, sk);

	reply->rows_done = done;
	if (row != NULL)
		pmem_reply_add_row(reply, &row->row);
	else
		reply->status = TABLE_NOT_FOUND;
}

static void
pmem_query(struct table *table, const char *pk, const char *after, size_t limit,
    table_rows_fn done, void *arg)
{
	struct pmem_row key = { .row = { .pk = pk, .sk = after } };
	struct pmem *pmem = pmem_from_table(table);
	struct pmem_reply *reply = pmem_reply_create(pmem, arg);
	struct pmem_row *row;

	reply->rows_done = done;
	row = RB_NFIND(pmem_rows, &pmem->rows, &key);
	while (row != NULL && reply->nrows < limit &&
	    strcmp(row->row.pk, pk) == 0) {
		if (strcmp(row->row.sk, after) > 0)
			pmem_reply_add_row(reply, &row->row);
		row = RB_NEXT(pmem_rows, &pmem->rows, row);
	}
}

static bool
pmem_condition_holds(struct pmem *pmem, const struct table_write *write)
{
	struct pmem_row *row = pmem_find(pmem, write->row.pk, write->row.sk);

	switch (write->condition) {
	case TABLE_IF_ABSENT:
		return row == NULL;
	case TABLE_IF_VERSION:
		return row != NULL && row->row.version == write->expect_version;
	case TABLE_ALWAYS:
		break;
	}
	return true;
}

static void
pmem_write(struct pmem *pmem, const struct table_row *row)
{
	struct pmem_row *old_row = pmem_find(pmem, row->pk, row->sk);
	struct pmem_row *new_row = old_row;

	if (old_row != NULL)
		pmem_row_clear(old_row);
	else
		new_row = calloc(1, sizeof(*new_row));
	if (new_row == NULL || pmem_row_copy(new_row, row) != 0)
		abort();
	if (old_row != NULL)
		return;
	if (RB_INSERT(pmem_rows, &pmem->rows, new_row) != NULL)
		abort();
	LIST_INSERT_HEAD(&pmem->row_list, new_row, entry);
}

static void
pmem_transact(struct table *table, const struct table_write *writes,
    size_t nwrites, table_done_fn done, void *arg)
{
	struct pmem *pmem = pmem_from_table(table);
	struct pmem_reply *reply = pmem_reply_create(pmem, arg);
	size_t i;

	reply->table_done = done;
	if (nwrites > TABLE_WRITES_MAX) {
		reply->status = TABLE_UNAVAILABLE;
		err_set(&reply->err, ERR_STEP_TABLE, ERR_TOO_LARGE,
		    "memory:", "more than %d writes in a transaction",
		    TABLE_WRITES_MAX);
		return;
	}
	for (i = 0; i < nwrites; i++) {
		if (!pmem_condition_holds(pmem, &writes[i])) {
			reply->status = TABLE_CONFLICT;
			reply->failed[i] = 1;
			err_set(&reply->err, ERR_STEP_TABLE, ERR_CONFLICT,
			    "memory:", "the condition of write %zu failed", i);
		}
	}
	for (i = 0; reply->status == TABLE_OK && i < nwrites; i++)
		pmem_write(pmem, &writes[i].row);
}

static struct pmem_blob *
pmem_blob_find(struct pmem *pmem, const char *name)
{
	struct pmem_blob *blob;

	TAILQ_FOREACH (blob, &pmem->blob_list, entry) {
		if (strcmp(blob->name, name) == 0)
			break;
	}
	return blob;
}

static void *
pmem_copy(const void *data, size_t len)
{
	void *copy = malloc(len + 1);

	if (copy == NULL)
		abort();
	memcpy(copy, data, len);
	return copy;
}

static void
pmem_blob_get(struct blobs *blobs, const char *name, blobs_done_fn done,
    void *arg)
{
	struct pmem *pmem = pmem_from_blobs(blobs);
	struct pmem_reply *reply = pmem_reply_create(pmem, arg);
	struct pmem_blob *blob = pmem_blob_find(pmem, name);

	reply->blobs_done = done;
	if (blob == NULL) {
		reply->status = TABLE_NOT_FOUND;
		return;
	}
	reply->data = pmem_copy(blob->data, blob->len);
	reply->len = blob->len;
}

static void
pmem_blob_put(struct blobs *blobs, const char *name, const void *data,
    size_t len, blobs_done_fn done, void *arg)
{
	struct pmem *pmem = pmem_from_blobs(blobs);
	struct pmem_reply *reply = pmem_reply_create(pmem, arg);
	struct pmem_blob *blob = pmem_blob_find(pmem, name);

	reply->blobs_done = done;
	if (blob == NULL) {
		blob = calloc(1, sizeof(*blob));
		if (blob == NULL || (blob->name = strdup(name)) == NULL)
			abort();
		TAILQ_INSERT_TAIL(&pmem->blob_list, blob, entry);
	}
	free(blob->data);
	blob->data = pmem_copy(data, len);
	blob->len = len;
}

static void
pmem_destroy(struct platform *platform)
{
	struct pmem *pmem = (struct pmem *)platform;
	struct pmem_reply *reply;
	struct pmem_blob *blob;
	struct pmem_row *row;

	while ((reply = TAILQ_FIRST(&pmem->replies)) != NULL) {
		TAILQ_REMOVE(&pmem->replies, reply, entry);
		pmem_reply_free(reply);
	}
	while ((row = LIST_FIRST(&pmem->row_list)) != NULL) {
		LIST_REMOVE(row, entry);
		pmem_row_clear(row);
		free(row);
	}
	while ((blob = TAILQ_FIRST(&pmem->blob_list)) != NULL) {
		TAILQ_REMOVE(&pmem->blob_list, blob, entry);
		free(blob->name);
		free(blob->data);
		free(blob);
	}
	free(pmem);
}

static const struct table_ops pmem_table_ops = {
	.get = pmem_get,
	.query = pmem_query,
	.transact = pmem_transact,
};

static const struct blobs_ops pmem_blobs_ops = {
	.get = pmem_blob_get,
	.put = pmem_blob_put,
};

struct platform *
platform_memory_create(struct event_base *base)
{
	struct pmem *pmem;

	pmem = calloc(1, sizeof(*pmem));
	if (pmem == NULL)
		return NULL;
	pmem->base = base;
	pmem->table.ops = &pmem_table_ops;
	pmem->blobs.ops = &pmem_blobs_ops;
	pmem->platform.table = &pmem->table;
	pmem->platform.blobs = &pmem->blobs;
	pmem->platform.destroy = pmem_destroy;
	RB_INIT(&pmem->rows);
	LIST_INIT(&pmem->row_list);
	TAILQ_INIT(&pmem->blob_list);
	TAILQ_INIT(&pmem->replies);
	return &pmem->platform;
}
