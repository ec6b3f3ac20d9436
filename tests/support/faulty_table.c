/*
 * A table with faults, around one that works.
 */

#include <stdlib.h>
#include <string.h>

#include "support/faulty_table.h"

struct fake_call {
	struct faulty_table *fake;
	table_rows_fn rows_done;
	table_done_fn done;
	void *arg;
	enum table_status forced; /* TABLE_OK: as the inner table says */
};

static struct fake_call *
fake_call_create(struct table *table, void *arg)
{
	struct fake_call *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->fake = (struct faulty_table *)table;
	call->arg = arg;
	call->forced = TABLE_OK;
	return call;
}

static void
fake_rows(void *arg, enum table_status status, const struct table_row *rows,
    size_t nrows, const struct err *err)
{
	struct fake_call *call = arg;
	struct err down;
	size_t n = nrows;

	if (call->forced != TABLE_OK) {
		err_set(&down, ERR_STEP_TABLE, ERR_UNAVAILABLE, "fake", "down");
		call->rows_done(call->arg, call->forced, NULL, 0, &down);
		free(call);
		return;
	}
	while (call->fake->stale_sk[0] != '\0' && n > 0 &&
	    strcmp(rows[0].pk, "config") == 0 &&
	    strcmp(rows[n - 1].sk, call->fake->stale_sk) > 0)
		n--;
	call->rows_done(call->arg, status, rows, n, err);
	free(call);
}

static void
fake_get(struct table *table, const char *pk, const char *sk,
    table_rows_fn done, void *arg)
{
	struct fake_call *call = fake_call_create(table, arg);

	call->rows_done = done;
	if (call->fake->down)
		call->forced = TABLE_UNAVAILABLE;
	call->fake->inner->ops->get(call->fake->inner, pk, sk, fake_rows, call);
}

static void
fake_query(struct table *table, const char *pk, const char *after, size_t limit,
    table_rows_fn done, void *arg)
{
	struct fake_call *call = fake_call_create(table, arg);

	call->rows_done = done;
	call->fake->queries++;
	if (call->fake->down)
		call->forced = TABLE_UNAVAILABLE;
	call->fake->inner->ops->query(call->fake->inner, pk, after, limit,
	    fake_rows, call);
}

static void
fake_done(void *arg, enum table_status status, const unsigned char *failed,
    const struct err *err)
{
	struct fake_call *call = arg;
	struct err lost;

	if (call->forced != TABLE_OK) {
		err_set(&lost, ERR_STEP_TABLE, ERR_LOST, "fake", "lost");
		call->done(call->arg, call->forced, NULL, &lost);
	} else {
		call->done(call->arg, status, failed, err);
	}
	free(call);
}

static void
fake_transact(struct table *table, const struct table_write *writes,
    size_t nwrites, table_done_fn done, void *arg)
{
	struct fake_call *call = fake_call_create(table, arg);
	struct faulty_table *fake = call->fake;

	call->done = done;
	fake->transactions++;
	if (fake->down || fake->refuse_writes > 0) {
		fake->refuse_writes -= fake->refuse_writes > 0;
		call->forced = TABLE_UNAVAILABLE;
		nwrites = 0;
	} else if (fake->lose_requests > 0) {
		fake->lose_requests--;
		call->forced = TABLE_UNKNOWN;
		nwrites = 0;
	} else if (fake->lose_replies > 0) {
		fake->lose_replies--;
		call->forced = TABLE_UNKNOWN;
	}
	fake->inner->ops->transact(fake->inner, writes, nwrites, fake_done,
	    call);
}

static const struct table_ops fake_ops = {
	.get = fake_get,
	.query = fake_query,
	.transact = fake_transact,
};

void
faulty_table_init(struct faulty_table *fake, struct table *inner)
{
	memset(fake, 0, sizeof(*fake));
	fake->table.ops = &fake_ops;
	fake->inner = inner;
}
