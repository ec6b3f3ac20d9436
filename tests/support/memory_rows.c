/*
 * An in-memory store for the rows of jobs, for tests.
 */

#include <err.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "tests/support/memory_rows.h"

struct mrows_row *
mrows_find(struct memory_rows *store, uint32_t part, const char *key)
{
	size_t i;

	for (i = 0; i < MROWS_ROWS_MAX; i++) {
		if (store->table[i].version != 0 &&
		    store->table[i].part == part &&
		    strcmp(store->table[i].key, key) == 0)
			return &store->table[i];
	}
	return NULL;
}

static void
mrows_put(struct memory_rows *store, uint32_t part,
    const struct rows_row *write)
{
	struct mrows_row *row = mrows_find(store, part, write->key);
	size_t i;

	for (i = 0; row == NULL && i < MROWS_ROWS_MAX; i++) {
		if (store->table[i].version == 0)
			row = &store->table[i];
	}
	if (row == NULL)
		errx(1, "memory rows: the table is full");
	if (write->value == NULL) {
		row->version = 0;
		return;
	}
	row->part = part;
	strlcpy(row->key, write->key, sizeof(row->key));
	if (write->value_len >= MROWS_VALUE_BYTES_MAX)
		errx(1, "memory rows: the value of %s is too large",
		    write->key);
	memcpy(row->value, write->value, write->value_len);
	row->len = write->value_len;
	row->version = store->version;
}

static bool
mrows_matches(struct memory_rows *store, uint32_t part,
    const struct rows_row *writes, size_t n, struct rows_row *found)
{
	const struct mrows_row *row;
	bool matches = true;
	size_t i;

	for (i = 0; i < n; i++) {
		row = mrows_find(store, part, writes[i].key);
		found[i] = (struct rows_row){ .key = writes[i].key };
		if (row != NULL) {
			found[i].value = row->value;
			found[i].value_len = row->len;
			found[i].version = row->version;
		}
		if (found[i].version != writes[i].version)
			matches = false;
	}
	return matches;
}

static void
mrows_apply(struct memory_rows *store, uint32_t part,
    const struct rows_row *writes, size_t n, rows_done_fn done, void *arg)
{
	struct rows_row found[ROWS_WRITES_MAX + 1];
	size_t i;

	if (store->lose_requests > 0) {
		store->lose_requests--;
		done(arg, ROWS_UNKNOWN, 0, NULL, 0);
		return;
	}
	if (!mrows_matches(store, part, writes, n, found)) {
		done(arg, ROWS_CONFLICT, 0, found, n);
		return;
	}
	store->version += 7;
	for (i = 0; i < n; i++) {
		if (!writes[i].check_only)
			mrows_put(store, part, &writes[i]);
	}
	if (store->lose_replies > 0) {
		store->lose_replies--;
		done(arg, ROWS_UNKNOWN, 0, NULL, 0);
		return;
	}
	done(arg, ROWS_OK, store->version, NULL, 0);
}

static void
mrows_transact(struct rows *rows, uint32_t part, const struct rows_row *writes,
    size_t n, rows_done_fn done, void *arg)
{
	struct memory_rows *store = (struct memory_rows *)rows;

	if (!store->defer_writes || !writes[0].check_only) {
		mrows_apply(store, part, writes, n, done, arg);
		return;
	}
	if (n != 2)
		errx(1, "memory rows: cannot defer a transaction of %zu rows",
		    n);
	store->deferred_write_part = part;
	store->deferred_condition = writes[0];
	store->deferred_write = writes[1];
	store->deferred_done = done;
	store->deferred_arg = arg;
}

void
mrows_release_write(struct memory_rows *store)
{
	const struct rows_row writes[] = { store->deferred_condition,
		store->deferred_write };

	store->defer_writes = false;
	mrows_apply(store, store->deferred_write_part, writes, 2,
	    store->deferred_done, store->deferred_arg);
}

static int
mrows_cmp(const void *a, const void *b)
{
	return strcmp(((const struct rows_row *)a)->key,
	    ((const struct rows_row *)b)->key);
}

static void
mrows_read(struct rows *rows, uint32_t part, const char *from, uint32_t limit,
    rows_read_fn done, void *arg)
{
	struct memory_rows *store = (struct memory_rows *)rows;
	struct rows_row found[MROWS_ROWS_MAX];
	size_t i, n = 0;

	if (store->defer_reads && part == store->deferred_read_part &&
	    from[0] == '\0') {
		store->deferred_read = done;
		store->deferred_read_arg = arg;
		return;
	}
	if (store->lose_reads > 0) {
		store->lose_reads--;
		done(arg, ROWS_UNKNOWN, NULL, 0, false);
		return;
	}
	for (i = 0; i < MROWS_ROWS_MAX; i++) {
		if (store->table[i].version == 0 ||
		    store->table[i].part != part ||
		    strcmp(store->table[i].key, from) < 0)
			continue;
		found[n++] = (struct rows_row){ .key = store->table[i].key,
			.value = store->table[i].value,
			.value_len = store->table[i].len,
			.version = store->table[i].version };
	}
	qsort(found, n, sizeof(found[0]), mrows_cmp);
	done(arg, ROWS_OK, found, n < limit ? n : limit, false);
}

void
mrows_release_read(struct memory_rows *store)
{
	store->defer_reads = false;
	if (store->deferred_read == NULL)
		errx(1, "memory rows: no read has been deferred");
	mrows_read(&store->rows, store->deferred_read_part, "", MROWS_ROWS_MAX,
	    store->deferred_read, store->deferred_read_arg);
}

static const struct rows_ops mrows_ops = {
	.transact = mrows_transact,
	.read = mrows_read,
};

void
mrows_init(struct memory_rows *store, uint32_t deferred_read_part)
{
	store->rows.ops = &mrows_ops;
	store->version = 100;
	store->deferred_read_part = deferred_read_part;
}
