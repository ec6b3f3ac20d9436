/*
 * The store's rows of jobs in memory.
 */

#include <err.h>
#include <string.h>
#include <strings.h>

#include "tests/support/memory_rows.h"

struct store_row *
store_find(struct store *store, uint32_t part, const char *key)
{
	size_t i;

	for (i = 0; i < STORE_ROWS_MAX; i++) {
		if (store->table[i].version != 0 &&
		    store->table[i].part == part &&
		    strcmp(store->table[i].key, key) == 0)
			return &store->table[i];
	}
	return NULL;
}

static void
store_put(struct store *store, uint32_t part, const struct rows_row *write)
{
	struct store_row *row = store_find(store, part, write->key);
	size_t i;

	for (i = 0; row == NULL && i < STORE_ROWS_MAX; i++) {
		if (store->table[i].version == 0)
			row = &store->table[i];
	}
	if (row == NULL)
		errx(1, "memory rows: full");
	row->part = part;
	strlcpy(row->key, write->key, sizeof(row->key));
	if (write->value_len >= STORE_VALUE_MAX)
		errx(1, "memory rows: %s is too large", write->key);
	memcpy(row->value, write->value, write->value_len);
	row->len = write->value_len;
	row->version = store->version;
}

static bool
store_matches(struct store *store, uint32_t part, const struct rows_row *writes,
    size_t n, struct rows_row *found)
{
	const struct store_row *row;
	bool matches = true;
	size_t i;

	for (i = 0; i < n; i++) {
		row = store_find(store, part, writes[i].key);
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
store_apply(struct store *store, uint32_t part, const struct rows_row *writes,
    size_t n, rows_done_fn done, void *arg)
{
	struct rows_row found[ROWS_WRITES_MAX + 1];
	size_t i;

	if (store->lose_requests > 0) {
		store->lose_requests--;
		done(arg, ROWS_UNKNOWN, 0, NULL, 0);
		return;
	}
	if (!store_matches(store, part, writes, n, found)) {
		done(arg, ROWS_CONFLICT, 0, found, n);
		return;
	}
	store->version += 7;
	for (i = 0; i < n; i++) {
		if (!writes[i].only_checked)
			store_put(store, part, &writes[i]);
	}
	if (store->lose_answers > 0) {
		store->lose_answers--;
		done(arg, ROWS_UNKNOWN, 0, NULL, 0);
		return;
	}
	done(arg, ROWS_OK, store->version, NULL, 0);
}

static void
store_transact(struct rows *rows, uint32_t part, const struct rows_row *writes,
    size_t n, rows_done_fn done, void *arg)
{
	struct store *store = (struct store *)rows;

	if (!store->hold_writes || !writes[0].only_checked) {
		store_apply(store, part, writes, n, done, arg);
		return;
	}
	if (n != 2)
		errx(1, "memory rows: %zu writes to be kept", n);
	store->kept_part = part;
	store->kept_owner = writes[0];
	store->kept = writes[1];
	store->kept_done = done;
	store->kept_arg = arg;
}

void
store_release(struct store *store)
{
	const struct rows_row writes[] = { store->kept_owner, store->kept };

	store->hold_writes = false;
	store_apply(store, store->kept_part, writes, 2, store->kept_done,
	    store->kept_arg);
}

static void
store_read(struct rows *rows, uint32_t part, const char *from, uint32_t limit,
    rows_read_fn done, void *arg)
{
	struct store *store = (struct store *)rows;
	struct rows_row found[STORE_ROWS_MAX];
	size_t i, n = 0;

	if (store->hold_reads && part == store->held_part && from[0] == '\0') {
		store->kept_read = done;
		store->kept_read_arg = arg;
		return;
	}
	for (i = 0; i < STORE_ROWS_MAX && n < limit; i++) {
		if (store->table[i].version == 0 ||
		    store->table[i].part != part ||
		    strcmp(store->table[i].key, from) < 0)
			continue;
		found[n++] = (struct rows_row){ .key = store->table[i].key,
			.value = store->table[i].value,
			.value_len = store->table[i].len,
			.version = store->table[i].version };
	}
	done(arg, ROWS_OK, found, n, false);
}

void
store_release_read(struct store *store)
{
	store->hold_reads = false;
	if (store->kept_read == NULL)
		errx(1, "memory rows: no read was kept");
	store_read(&store->rows, store->held_part, "", STORE_ROWS_MAX,
	    store->kept_read, store->kept_read_arg);
}

static const struct rows_ops store_ops = {
	.transact = store_transact,
	.read = store_read,
};

void
store_init(struct store *store, uint32_t held_part)
{
	store->rows.ops = &store_ops;
	store->version = 100;
	store->held_part = held_part;
}
