/*
 * Table service that forwards calls to another one and injects faults.
 */

#include <stdlib.h>
#include <string.h>

#include "support/faulty_table.h"

struct faulty_call {
	struct faulty_table *faulty;
	table_rows_fn rows_done;
	table_done_fn done;
	void *arg;
	enum table_status forced_status; /* TABLE_OK: no fault */
	LIST_ENTRY(faulty_call) entry;
};

static struct faulty_call *
faulty_call_create(struct table *table, void *arg)
{
	struct faulty_call *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->faulty = (struct faulty_table *)table;
	call->arg = arg;
	call->forced_status = TABLE_OK;
	LIST_INSERT_HEAD(&call->faulty->calls, call, entry);
	return call;
}

static void
faulty_call_free(struct faulty_call *call)
{
	LIST_REMOVE(call, entry);
	free(call);
}

static void
faulty_rows_done(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err)
{
	struct faulty_call *call = arg;
	struct err unavailable_err;
	size_t n = nrows;

	if (call->forced_status != TABLE_OK) {
		err_set(&unavailable_err, ERR_STEP_TABLE, ERR_UNAVAILABLE,
		    "faulty", "injected: table is unavailable");
		call->rows_done(call->arg, call->forced_status, NULL, 0,
		    &unavailable_err);
		faulty_call_free(call);
		return;
	}
	while (call->faulty->stale_sk[0] != '\0' && n > 0 &&
	    strcmp(rows[0].pk, "config") == 0 &&
	    strcmp(rows[n - 1].sk, call->faulty->stale_sk) > 0)
		n--;
	call->rows_done(call->arg, status, rows, n, err);
	faulty_call_free(call);
}

static void
faulty_get(struct table *table, const char *pk, const char *sk,
    table_rows_fn done, void *arg)
{
	struct faulty_call *call = faulty_call_create(table, arg);

	call->rows_done = done;
	if (call->faulty->unavailable)
		call->forced_status = TABLE_UNAVAILABLE;
	call->faulty->inner->ops->get(call->faulty->inner, pk, sk,
	    faulty_rows_done, call);
}

static void
faulty_query(struct table *table, const char *pk, const char *after,
    size_t limit, table_rows_fn done, void *arg)
{
	struct faulty_call *call = faulty_call_create(table, arg);

	call->rows_done = done;
	call->faulty->queries++;
	if (call->faulty->unavailable)
		call->forced_status = TABLE_UNAVAILABLE;
	call->faulty->inner->ops->query(call->faulty->inner, pk, after, limit,
	    faulty_rows_done, call);
}

static void
faulty_transact_done(void *arg, enum table_status status,
    const unsigned char *failed, const struct err *err)
{
	struct faulty_call *call = arg;
	struct err lost_err;

	if (call->forced_status != TABLE_OK) {
		err_set(&lost_err, ERR_STEP_TABLE, ERR_LOST, "faulty", "lost");
		call->done(call->arg, call->forced_status, NULL, &lost_err);
	} else {
		call->done(call->arg, status, failed, err);
	}
	faulty_call_free(call);
}

static void
faulty_transact(struct table *table, const struct table_write *writes,
    size_t nwrites, table_done_fn done, void *arg)
{
	struct faulty_call *call = faulty_call_create(table, arg);
	struct faulty_table *faulty = call->faulty;

	call->done = done;
	faulty->transactions++;
	if (faulty->unavailable || faulty->refuse_writes > 0) {
		faulty->refuse_writes -= faulty->refuse_writes > 0;
		call->forced_status = TABLE_UNAVAILABLE;
		nwrites = 0;
	} else if (faulty->lose_requests > 0) {
		faulty->lose_requests--;
		call->forced_status = TABLE_UNKNOWN;
		nwrites = 0;
	} else if (faulty->lose_replies > 0) {
		faulty->lose_replies--;
		call->forced_status = TABLE_UNKNOWN;
	}
	faulty->inner->ops->transact(faulty->inner, writes, nwrites,
	    faulty_transact_done, call);
}

static const struct table_ops faulty_ops = {
	.get = faulty_get,
	.query = faulty_query,
	.transact = faulty_transact,
};

void
faulty_table_init(struct faulty_table *faulty, struct table *inner)
{
	memset(faulty, 0, sizeof(*faulty));
	faulty->table.ops = &faulty_ops;
	faulty->inner = inner;
}

void
faulty_table_clear(struct faulty_table *faulty)
{
	struct faulty_call *call;

	while ((call = LIST_FIRST(&faulty->calls)) != NULL) {
		LIST_REMOVE(call, entry);
		free(call);
	}
}
