/*
 * Platform and peers in memory.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/support/fake_ports.h"

/* One callback that is due, as an event of its own. */
struct fake_due {
	struct fake_table *table;
	struct fake_blobs *blobs;
	table_done_fn written;
	table_rows_fn rows;
	blobs_done_fn blob;
	void *arg;
	enum table_status status;
	unsigned char failed[TABLE_WRITES_MAX];
	char pk[TABLE_KEY_SIZE];
};

static long
fake_table_find(const struct fake_table *fake, const char *pk)
{
	size_t i;

	for (i = 0; i < fake->nrows; i++) {
		if (strcmp(fake->rows[i].pk, pk) == 0)
			return (long)i;
	}
	return -1;
}

static void
fake_run(evutil_socket_t fd, short what, void *arg)
{
	struct fake_due *due = arg;
	struct table_row row = { .pk = due->pk, .sk = "claim", .version = 1 };
	struct err err;
	long i;

	(void)fd;
	(void)what;
	err_set(&err, ERR_STEP_TABLE, ERR_UNAVAILABLE, "platform", "test");
	if (due->written != NULL) {
		due->written(due->arg, due->status, due->failed, &err);
	} else if (due->blob != NULL) {
		due->blob(due->arg, due->status, due->blobs->data,
		    due->blobs->len, &err);
	} else if (due->status != TABLE_OK) {
		due->rows(due->arg, due->status, NULL, 0, &err);
	} else if ((i = fake_table_find(due->table, due->pk)) == -1) {
		due->rows(due->arg, TABLE_NOT_FOUND, NULL, 0, &err);
	} else {
		row.doc = due->table->rows[i].doc;
		row.doc_len = strlen(row.doc);
		due->rows(due->arg, TABLE_OK, &row, 1, NULL);
	}
	free(due);
}

static void
fake_later(struct event_base *base, const struct fake_due *due)
{
	struct fake_due *copy = malloc(sizeof(*copy));

	*copy = *due;
	event_base_once(base, -1, EV_TIMEOUT, fake_run, copy, NULL);
}

void
fake_table_put(struct fake_table *fake, const char *pk, const char *doc)
{
	snprintf(fake->rows[fake->nrows].pk, TABLE_KEY_SIZE, "%s", pk);
	snprintf(fake->rows[fake->nrows++].doc, sizeof(fake->rows[0].doc), "%s",
	    doc);
}

static void
fake_table_transact(struct table *table, const struct table_write *writes,
    size_t nwrites, table_done_fn done, void *arg)
{
	struct fake_table *fake = (struct fake_table *)table;
	struct fake_due due = { .table = fake, .written = done, .arg = arg };
	enum fake_fault fault =
	    fake->nfaults > 0 ? fake->write_fault : FAKE_FINE;
	size_t i;

	fake->nwrites++;
	if (fault != FAKE_FINE)
		fake->nfaults--;
	if (fault == FAKE_DOWN)
		due.status = TABLE_UNAVAILABLE;
	for (i = 0; i < nwrites; i++) {
		due.failed[i] = fake_table_find(fake, writes[i].row.pk) != -1;
		if (due.failed[i] && fault != FAKE_DOWN)
			due.status = TABLE_CONFLICT;
	}
	for (i = 0;
	     i < nwrites && due.status == TABLE_OK && fault != FAKE_LOST_BEFORE;
	     i++)
		fake_table_put(fake, writes[i].row.pk, writes[i].row.doc);
	if (fault == FAKE_LOST_BEFORE || fault == FAKE_LOST_AFTER)
		due.status = TABLE_UNKNOWN;
	fake_later(fake->base, &due);
}

static void
fake_table_get(struct table *table, const char *pk, const char *sk,
    table_rows_fn done, void *arg)
{
	struct fake_table *fake = (struct fake_table *)table;
	struct fake_due due = { .table = fake, .rows = done, .arg = arg };

	(void)sk;
	snprintf(due.pk, sizeof(due.pk), "%s", pk);
	if (fake->nfaults > 0 && fake->read_fault != FAKE_FINE) {
		fake->nfaults--;
		due.status = TABLE_UNAVAILABLE;
	}
	fake_later(fake->base, &due);
}

static const struct table_ops fake_table_ops = {
	.get = fake_table_get,
	.transact = fake_table_transact,
};

void
fake_table_init(struct fake_table *fake, struct event_base *base)
{
	memset(fake, 0, sizeof(*fake));
	fake->table.ops = &fake_table_ops;
	fake->base = base;
}

static void
fake_blobs_get(struct blobs *blobs, const char *name, blobs_done_fn done,
    void *arg)
{
	struct fake_blobs *fake = (struct fake_blobs *)blobs;
	struct fake_due due = { .blobs = fake, .blob = done, .arg = arg };

	fake->ngets++;
	if (fake->nfaults > 0) {
		fake->nfaults--;
		due.status = TABLE_UNAVAILABLE;
	} else if (strcmp(name, fake->name) != 0) {
		due.status = TABLE_NOT_FOUND;
	}
	fake_later(fake->base, &due);
}

static void
fake_blobs_put(struct blobs *blobs, const char *name, const void *data,
    size_t len, blobs_done_fn done, void *arg)
{
	struct fake_blobs *fake = (struct fake_blobs *)blobs;
	struct fake_due due = { .blobs = fake, .blob = done, .arg = arg };

	fake->nputs++;
	if (fake->nfaults > 0) {
		fake->nfaults--;
		due.status = TABLE_UNAVAILABLE;
	} else {
		snprintf(fake->name, sizeof(fake->name), "%s", name);
		free(fake->data);
		fake->data = malloc(len);
		memcpy(fake->data, data, len);
		fake->len = len;
	}
	fake_later(fake->base, &due);
}

static const struct blobs_ops fake_blobs_ops = {
	.get = fake_blobs_get,
	.put = fake_blobs_put,
};

void
fake_blobs_init(struct fake_blobs *fake, struct event_base *base)
{
	memset(fake, 0, sizeof(*fake));
	fake->blobs.ops = &fake_blobs_ops;
	fake->base = base;
}

/* A forwarded request's way back. */
struct fake_forward {
	void (*done)(void *arg, const struct api_reply *reply,
	    const struct err *err);
	void *arg;
};

static void
fake_forward_reply(void *arg, const struct api_reply *reply)
{
	struct fake_forward forward = *(struct fake_forward *)arg;

	free(arg);
	forward.done(forward.arg, reply, NULL);
}

static void
fake_peers_forward(struct peers *peers, const char *az, const char *issuer,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg)
{
	struct fake_peers *fake = (struct fake_peers *)peers;
	struct api_request copy = *request;
	struct fake_forward *forward;
	struct err err;

	(void)az;
	(void)incarnation;
	fake->nforwards++;
	snprintf(fake->path, sizeof(fake->path), "%s", request->path);
	snprintf(fake->query, sizeof(fake->query), "%s", request->query);
	if (fake->target == NULL) {
		err_set(&err, ERR_STEP_PEER, fake->code, issuer, "test");
		done(arg, NULL, &err);
		return;
	}
	forward = malloc(sizeof(*forward));
	forward->done = done;
	forward->arg = arg;
	copy.forwarded = true;
	copy.ticket = NULL; /* no field for it between peers */
	api_handle(fake->target, &copy, fake_forward_reply, forward);
}

static const struct peers_ops fake_peers_ops = {
	.forward = fake_peers_forward,
};

void
fake_peers_init(struct fake_peers *fake)
{
	memset(fake, 0, sizeof(*fake));
	fake->peers.ops = &fake_peers_ops;
}
