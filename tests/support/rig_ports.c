/*
 * In-memory fakes of the platform and of peers.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/support/rig_ports.h"

/* A callback that is scheduled in the event loop. */
struct rig_callback {
	struct rig_table *table;
	struct rig_blobs *blobs;
	table_done_fn written;
	table_rows_fn rows;
	blobs_done_fn blob;
	void *arg;
	enum table_status status;
	unsigned char failed[TABLE_WRITES_MAX];
	char pk[TABLE_KEY_SIZE];
};

static long
rig_table_find(const struct rig_table *fake, const char *pk)
{
	size_t i;

	for (i = 0; i < fake->nrows; i++) {
		if (strcmp(fake->rows[i].pk, pk) == 0)
			return (long)i;
	}
	return -1;
}

static void
rig_run_callback(evutil_socket_t fd, short what, void *arg)
{
	struct rig_callback *callback = arg;
	struct table_row row = { .pk = callback->pk,
		.sk = "claim",
		.version = 1 };
	struct err err;
	long i;

	(void)fd;
	(void)what;
	err_set(&err, ERR_STEP_TABLE, ERR_UNAVAILABLE, "platform", "test");
	if (callback->written != NULL) {
		callback->written(callback->arg, callback->status,
		    callback->failed, &err);
	} else if (callback->blob != NULL) {
		callback->blob(callback->arg, callback->status,
		    callback->blobs->data, callback->blobs->len, &err);
	} else if (callback->status != TABLE_OK) {
		callback->rows(callback->arg, callback->status, NULL, 0, &err);
	} else if ((i = rig_table_find(callback->table, callback->pk)) == -1) {
		callback->rows(callback->arg, TABLE_NOT_FOUND, NULL, 0, &err);
	} else {
		row.doc = callback->table->rows[i].doc;
		row.doc_len = strlen(row.doc);
		callback->rows(callback->arg, TABLE_OK, &row, 1, NULL);
	}
	free(callback);
}

static void
rig_schedule(struct event_base *base, const struct rig_callback *callback)
{
	struct rig_callback *copy = malloc(sizeof(*copy));

	*copy = *callback;
	event_base_once(base, -1, EV_TIMEOUT, rig_run_callback, copy, NULL);
}

void
rig_table_put(struct rig_table *fake, const char *pk, const char *doc)
{
	snprintf(fake->rows[fake->nrows].pk, TABLE_KEY_SIZE, "%s", pk);
	snprintf(fake->rows[fake->nrows++].doc, sizeof(fake->rows[0].doc), "%s",
	    doc);
}

static void
rig_table_transact(struct table *table, const struct table_write *writes,
    size_t nwrites, table_done_fn done, void *arg)
{
	struct rig_table *fake = (struct rig_table *)table;
	struct rig_callback callback = { .table = fake,
		.written = done,
		.arg = arg };
	enum rig_fault fault =
	    fake->nfaults > 0 ? fake->write_fault : RIG_NO_FAULT;
	size_t i;

	fake->nwrites++;
	if (fault != RIG_NO_FAULT)
		fake->nfaults--;
	if (fault == RIG_UNAVAILABLE)
		callback.status = TABLE_UNAVAILABLE;
	if (fault == RIG_CONFLICT)
		callback.status = TABLE_CONFLICT;
	for (i = 0; i < nwrites; i++) {
		callback.failed[i] =
		    rig_table_find(fake, writes[i].row.pk) != -1;
		if (callback.failed[i] && fault != RIG_UNAVAILABLE)
			callback.status = TABLE_CONFLICT;
	}
	for (i = 0; i < nwrites && callback.status == TABLE_OK &&
	     fault != RIG_LOST_BEFORE;
	     i++)
		rig_table_put(fake, writes[i].row.pk, writes[i].row.doc);
	if (fault == RIG_LOST_BEFORE || fault == RIG_LOST_AFTER)
		callback.status = TABLE_UNKNOWN;
	rig_schedule(fake->base, &callback);
}

static void
rig_table_get(struct table *table, const char *pk, const char *sk,
    table_rows_fn done, void *arg)
{
	struct rig_table *fake = (struct rig_table *)table;
	struct rig_callback callback = { .table = fake,
		.rows = done,
		.arg = arg };

	(void)sk;
	snprintf(callback.pk, sizeof(callback.pk), "%s", pk);
	if (fake->nfaults > 0 && fake->read_fault != RIG_NO_FAULT) {
		fake->nfaults--;
		callback.status = TABLE_UNAVAILABLE;
	}
	rig_schedule(fake->base, &callback);
}

static const struct table_ops rig_table_ops = {
	.get = rig_table_get,
	.transact = rig_table_transact,
};

void
rig_table_init(struct rig_table *fake, struct event_base *base)
{
	memset(fake, 0, sizeof(*fake));
	fake->table.ops = &rig_table_ops;
	fake->base = base;
}

static void
rig_blobs_get(struct blobs *blobs, const char *name, blobs_done_fn done,
    void *arg)
{
	struct rig_blobs *fake = (struct rig_blobs *)blobs;
	struct rig_callback callback = { .blobs = fake,
		.blob = done,
		.arg = arg };

	fake->ngets++;
	if (fake->nfaults > 0) {
		fake->nfaults--;
		callback.status = TABLE_UNAVAILABLE;
	} else if (strcmp(name, fake->name) != 0) {
		callback.status = TABLE_NOT_FOUND;
	}
	rig_schedule(fake->base, &callback);
}

static void
rig_blobs_put(struct blobs *blobs, const char *name, const void *data,
    size_t len, blobs_done_fn done, void *arg)
{
	struct rig_blobs *fake = (struct rig_blobs *)blobs;
	struct rig_callback callback = { .blobs = fake,
		.blob = done,
		.arg = arg };

	fake->nputs++;
	if (fake->nfaults > 0) {
		fake->nfaults--;
		callback.status = TABLE_UNAVAILABLE;
	} else {
		snprintf(fake->name, sizeof(fake->name), "%s", name);
		free(fake->data);
		fake->data = malloc(len);
		memcpy(fake->data, data, len);
		fake->len = len;
	}
	rig_schedule(fake->base, &callback);
}

static const struct blobs_ops rig_blobs_ops = {
	.get = rig_blobs_get,
	.put = rig_blobs_put,
};

void
rig_blobs_init(struct rig_blobs *fake, struct event_base *base)
{
	memset(fake, 0, sizeof(*fake));
	fake->blobs.ops = &rig_blobs_ops;
	fake->base = base;
}

/* A forwarded request that waits for its reply. */
struct rig_forward {
	void (*done)(void *arg, const struct api_reply *reply,
	    const struct err *err);
	void *arg;
};

static void
rig_forward_reply(void *arg, const struct api_reply *reply)
{
	struct rig_forward forward = *(struct rig_forward *)arg;

	free(arg);
	forward.done(forward.arg, reply, NULL);
}

static void
rig_peers_forward(struct peers *peers, const char *az, const char *issuer,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg)
{
	struct rig_peers *fake = (struct rig_peers *)peers;
	struct api_request copy = *request;
	struct rig_forward *forward;
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
	copy.ticket = NULL; /* peers have no field for it */
	api_handle(fake->target, &copy, rig_forward_reply, forward);
}

static const struct peers_ops rig_peers_ops = {
	.forward = rig_peers_forward,
};

void
rig_peers_init(struct rig_peers *fake)
{
	memset(fake, 0, sizeof(*fake));
	fake->peers.ops = &rig_peers_ops;
}
