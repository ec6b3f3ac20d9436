/*
 * The store as a host sees it (ports/rows.h): feeds of three tables, the host's
 * own row, and rows of jobs. A call reaches the store or not; its reply comes
 * or not; a call without a reply may be executed later. Replies wait while the
 * host stands still.
 */

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "sim_store.h"

#define SIM_JOB_CALL_TIMEOUT_MS 2500

/* Calls of processes that have ended; what their callbacks would free stays
 * reachable. */
static struct sim_calls sim_abandoned_calls =
    TAILQ_HEAD_INITIALIZER(sim_abandoned_calls);

uint64_t
sim_store_put(struct sim_store *store, enum rows_table table, const char *key,
    const char *value)
{
	struct sim_store_row *row = store->rows;

	while (row < store->rows + store->nrows &&
	    (row->table != table || strcmp(row->key, key) != 0))
		row++;
	if (row == store->rows + store->nrows) {
		if (store->nrows == SIM_ROWS_MAX)
			abort();
		store->nrows++;
		row->table = table;
		strlcpy(row->key, key, sizeof(row->key));
	}
	row->removed = value == NULL;
	strlcpy(row->value, value == NULL ? "" : value, sizeof(row->value));
	row->version = ++store->jobs.version;
	return row->version;
}

static struct rows_row *
sim_rows_copy(const struct rows_row *rows, size_t n)
{
	struct rows_row *copy = mem_zalloc(n, sizeof(*copy));
	size_t i;

	for (i = 0; i < n; i++) {
		copy[i] = rows[i];
		copy[i].key = mem_strndup(rows[i].key, strlen(rows[i].key));
		if (rows[i].value != NULL)
			copy[i].value =
			    mem_strndup(rows[i].value, rows[i].value_len);
	}
	return copy;
}

static void
sim_rows_free(struct rows_row *rows, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		free((char *)rows[i].key);
		free((char *)rows[i].value);
	}
	free(rows);
}

static void
sim_call_release(struct sim_call *call)
{
	sim_rows_free(call->writes, call->nwrites);
	sim_rows_free(call->found, call->nfound);
	call->writes = call->found = NULL;
	call->nwrites = call->nfound = 0;
}

struct sim_call *
sim_call_create(struct sim_rows *rows, enum sim_call_kind kind,
    uint32_t timeout_ms)
{
	struct sim_day *day = rows->host->day;
	struct sim_call *call = mem_zalloc(1, sizeof(*call));

	call->kind = kind;
	call->incarnation = rows->host->info.incarnation;
	call->execute_ms = day->now_ms + 1 + day->store_ms / 2;
	call->timeout_ms = day->now_ms + timeout_ms;
	if (rows->host->ending || rows->host->store_lost) {
		call->lost = true;
		if (rows->host->ending || sim_chance(day, 600))
			call->execute_ms = 0;
		else if (sim_chance(day, 400))
			call->execute_ms += 500 + sim_random(day, 2500);
	}
	TAILQ_INSERT_TAIL(&rows->calls, call, entry);
	return call;
}

/* Execution at the store */

static void
sim_call_tx_done(void *arg, enum rows_status status, uint64_t version,
    const struct rows_row *rows, size_t nrows)
{
	struct sim_call *call = arg;

	call->status = status;
	call->version = version;
	call->found = sim_rows_copy(rows, nrows);
	call->nfound = nrows;
}

static void
sim_call_read_done(void *arg, enum rows_status status,
    const struct rows_row *rows, size_t nrows, bool more)
{
	struct sim_call *call = arg;

	call->status = status;
	call->found = sim_rows_copy(rows, nrows);
	call->nfound = nrows;
	call->more = more;
}

static int
sim_row_cmp(const void *a, const void *b)
{
	const struct rows_row *left = a, *right = b;

	return left->version < right->version ? -1
					      : left->version > right->version;
}

static size_t
sim_feed_find(const struct sim_call *call, const struct sim_store *store,
    struct rows_row *found)
{
	const struct sim_store_row *row;
	size_t n = 0;

	for (row = store->rows; row < store->rows + store->nrows; row++) {
		if (row->table != call->feed->table ||
		    (call->full ? row->removed : row->version <= call->since))
			continue;
		found[n++] = (struct rows_row){ .key = row->key,
			.value = row->removed ? NULL : row->value,
			.value_len = strlen(row->value),
			.version = row->version };
	}
	qsort(found, n, sizeof(*found), sim_row_cmp);
	return n;
}

/* Returns whether it was executed, and does not wait for a change. */
static bool
sim_call_execute(struct sim_call *call, struct sim_day *day)
{
	struct sim_store *store = &day->store;
	struct rows *jobs = &store->jobs.rows;
	struct rows_row found[SIM_ROWS_MAX];

	switch (call->kind) {
	case SIM_CALL_FEED:
		call->nfound = sim_feed_find(call, store, found);
		if (!call->full && call->nfound == 0 &&
		    day->now_ms < call->wait_until_ms)
			return false;
		call->found = sim_rows_copy(found, call->nfound);
		call->version = store->jobs.version;
		break;
	case SIM_CALL_WRITE:
		call->version = sim_store_put(store, ROWS_HOSTS,
		    call->writes[0].key, call->writes[0].value);
		break;
	case SIM_CALL_TX:
		jobs->ops->transact(jobs, call->part, call->writes,
		    call->nwrites, sim_call_tx_done, call);
		break;
	case SIM_CALL_READ:
		jobs->ops->read(jobs, call->part, call->writes[0].key,
		    call->limit, sim_call_read_done, call);
		break;
	}
	return true;
}

void
sim_rows_execute(struct sim_rows *rows)
{
	struct sim_day *day = rows->host->day;
	struct sim_call *call;

	TAILQ_FOREACH (call, &rows->calls, entry) {
		if (call->execute_ms == 0 || day->now_ms < call->execute_ms ||
		    !sim_call_execute(call, day))
			continue;
		call->execute_ms = 0;
		if (!call->lost &&
		    (!rows->host->store_lost || sim_chance(day, 500)))
			call->reply_ms = day->now_ms + 1 + day->store_ms / 2;
	}
}

/* The host's side */

static void
sim_call_reply(struct sim_call *call, bool replied)
{
	call->timeout_ms = call->reply_ms = 0;
	switch (call->kind) {
	case SIM_CALL_FEED:
		call->feed->reading = false;
		if (replied)
			sim_feed_replied(call->feed, call);
		else
			sim_feed_failed(call->feed);
		break;
	case SIM_CALL_WRITE:
		call->written(call->arg, replied ? call->version : 0);
		break;
	case SIM_CALL_TX:
		if (replied)
			call->done(call->arg, call->status, call->version,
			    call->found, call->nfound);
		else
			call->done(call->arg, ROWS_UNKNOWN, 0, NULL, 0);
		break;
	case SIM_CALL_READ:
		if (replied)
			call->read(call->arg, call->status, call->found,
			    call->nfound, call->more);
		else
			call->read(call->arg, ROWS_UNKNOWN, NULL, 0, false);
		break;
	}
}

void
sim_rows_silence(struct sim_rows *rows)
{
	struct sim_call *call;

	TAILQ_FOREACH (call, &rows->calls, entry) {
		call->lost = true;
		call->reply_ms = 0;
	}
}

/* Frees the calls that have ended. */
static void
sim_calls_sweep(struct sim_rows *rows)
{
	struct sim_call *call, *next;
	bool dead;

	TAILQ_FOREACH_SAFE (call, &rows->calls, entry, next) {
		dead = rows->host->svc == NULL ||
		    call->incarnation != rows->host->info.incarnation;
		if (call->execute_ms != 0 || (call->timeout_ms != 0 && !dead))
			continue;
		TAILQ_REMOVE(&rows->calls, call, entry);
		sim_call_release(call);
		if (call->timeout_ms == 0 || call->kind == SIM_CALL_FEED)
			free(call);
		else
			TAILQ_INSERT_TAIL(&sim_abandoned_calls, call, entry);
	}
}

void
sim_rows_read(struct sim_rows *rows)
{
	uint64_t now_ms = rows->host->day->now_ms;
	struct sim_call *call;
	int i;

	/* Calls that are added meanwhile have no reply yet. */
	TAILQ_FOREACH (call, &rows->calls, entry) {
		if (call->incarnation != rows->host->info.incarnation)
			continue;
		if (call->reply_ms != 0 && now_ms >= call->reply_ms)
			sim_call_reply(call, true);
		else if (call->timeout_ms != 0 && now_ms >= call->timeout_ms)
			sim_call_reply(call, false);
	}
	for (i = 0; i < ROWS_NTABLES; i++) {
		if (rows->feeds[i].next_ms != 0 &&
		    now_ms >= rows->feeds[i].next_ms)
			sim_feed_read(&rows->feeds[i]);
	}
	sim_calls_sweep(rows);
}

static void
sim_rows_write(struct rows *port, const char *key, const char *value,
    rows_written_fn done, void *arg)
{
	const struct rows_row row = { .key = key,
		.value = value,
		.value_len = strlen(value) };
	struct sim_call *call = sim_call_create((struct sim_rows *)port,
	    SIM_CALL_WRITE, SIM_CALL_TIMEOUT_MS);

	call->writes = sim_rows_copy(&row, 1);
	call->nwrites = 1;
	call->written = done;
	call->arg = arg;
}

static void
sim_rows_set_poll_pause(struct rows *port, enum rows_table table,
    uint32_t pause_ms)
{
	struct sim_rows *rows = (struct sim_rows *)port;
	struct sim_feed *feed = &rows->feeds[table];

	if (feed->pause_ms == pause_ms)
		return;
	feed->pause_ms = pause_ms;
	if (pause_ms != ROWS_POLL_NEVER && feed->suspended) {
		feed->suspended = false;
		feed->next_ms = rows->host->day->now_ms + 1;
	}
}

static void
sim_rows_refresh(struct rows *port, enum rows_table table)
{
	struct sim_rows *rows = (struct sim_rows *)port;
	struct sim_feed *feed = &rows->feeds[table];

	feed->refresh_requested = true;
	if (!feed->reading) {
		feed->suspended = false;
		feed->next_ms = rows->host->day->now_ms + 1;
	}
}

static void
sim_rows_transact(struct rows *port, uint32_t part,
    const struct rows_row *writes, size_t n, rows_done_fn done, void *arg)
{
	struct sim_call *call = sim_call_create((struct sim_rows *)port,
	    SIM_CALL_TX, SIM_JOB_CALL_TIMEOUT_MS);

	call->part = part;
	call->writes = sim_rows_copy(writes, n);
	call->nwrites = n;
	call->done = done;
	call->arg = arg;
}

static void
sim_rows_read_jobs(struct rows *port, uint32_t part, const char *from,
    uint32_t limit, rows_read_fn done, void *arg)
{
	const struct rows_row row = { .key = from };
	struct sim_call *call = sim_call_create((struct sim_rows *)port,
	    SIM_CALL_READ, SIM_JOB_CALL_TIMEOUT_MS);

	call->part = part;
	call->limit = limit;
	call->writes = sim_rows_copy(&row, 1);
	call->nwrites = 1;
	call->read = done;
	call->arg = arg;
}

static const struct rows_ops sim_rows_ops = {
	.write = sim_rows_write,
	.set_poll_pause = sim_rows_set_poll_pause,
	.refresh = sim_rows_refresh,
	.transact = sim_rows_transact,
	.read = sim_rows_read_jobs,
};

struct sim_rows *
sim_rows_create(struct sim_host *host)
{
	struct sim_rows *rows = mem_zalloc(1, sizeof(*rows));

	rows->port.ops = &sim_rows_ops;
	rows->host = host;
	TAILQ_INIT(&rows->calls);
	return rows;
}

struct rows *
sim_rows_port(struct sim_rows *rows)
{
	return &rows->port;
}

void
sim_rows_start(struct sim_rows *rows)
{
	int i;

	jsvc_rows_listener(rows->host->svc, &rows->listener);
	rows->connected = false;
	for (i = 0; i < ROWS_NTABLES; i++)
		rows->feeds[i] = (struct sim_feed){ .rows = rows,
			.table = (enum rows_table)i,
			.full_read = true,
			.next_ms = rows->host->day->now_ms + 1 };
	(void)jsvc_set_rows(rows->host->svc, &rows->port);
}

void
sim_rows_destroy(struct sim_rows *rows)
{
	struct sim_call *call;

	while ((call = TAILQ_FIRST(&rows->calls)) != NULL) {
		TAILQ_REMOVE(&rows->calls, call, entry);
		sim_call_release(call);
		TAILQ_INSERT_TAIL(&sim_abandoned_calls, call, entry);
	}
	free(rows);
}
