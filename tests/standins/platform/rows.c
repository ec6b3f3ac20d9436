/* Rows of the table service: a tree ordered by partition and sort key. */
#include <err.h>
#include <stdlib.h>
#include <string.h>
#include <sys/tree.h>

#include "rows.h"
#include "support/standin.h"

struct row {
	char *pk;
	char *sk;
	json_t *item;		       /* newest version; NULL: deleted */
	json_t *frozen_item;	       /* version at the last freeze, or NULL */
	unsigned changed_after_freeze; /* freeze_count at the last change */
	RB_ENTRY(row) entry;
};

static int
row_cmp(struct row *a, struct row *b)
{
	int c;

	c = strcmp(a->pk, b->pk);
	return c != 0 ? c : strcmp(a->sk, b->sk);
}

RB_HEAD(row_tree, row);
RB_GENERATE_STATIC(row_tree, row, entry, row_cmp)

static struct row_tree rows = RB_INITIALIZER(&rows);
static unsigned freeze_count;

static const char *
rows_attribute(const json_t *item, const char *name, const char *type)
{
	return sti_str(json_object_get(item, name), type, "");
}

static json_t *
rows_visible_item(const struct row *row, bool stale)
{
	if (stale && freeze_count > 0 &&
	    row->changed_after_freeze == freeze_count)
		return row->frozen_item;
	return row->item;
}

static struct row *
rows_find(const char *pk, const char *sk)
{
	struct row key;

	key.pk = (char *)pk;
	key.sk = (char *)sk;
	return RB_FIND(row_tree, &rows, &key);
}

json_t *
rows_get(const char *pk, const char *sk, bool stale)
{
	struct row *row;

	row = rows_find(pk, sk);
	return row == NULL ? NULL : rows_visible_item(row, stale);
}

json_t *
rows_query(const char *pk, const char *after, size_t limit, bool stale)
{
	struct row key, *row;
	json_t *items, *item;

	items = json_array();
	key.pk = (char *)pk;
	key.sk = (char *)after;
	for (row = RB_NFIND(row_tree, &rows, &key); row != NULL &&
	     strcmp(row->pk, pk) == 0 && json_array_size(items) < limit;
	     row = RB_NEXT(row_tree, &rows, row)) {
		item = rows_visible_item(row, stale);
		if (item != NULL && strcmp(row->sk, after) > 0)
			json_array_append(items, item);
	}
	return items;
}

/* Returns the operation of a write (Put, Delete, ConditionCheck), or NULL. */
static const json_t *
rows_get_write(const json_t *entry, const char **op)
{
	static const char *const ops[] = { "Put", "Delete", "ConditionCheck" };
	const json_t *write;
	size_t i;

	for (i = 0; i < sizeof(ops) / sizeof(ops[0]); i++) {
		write = json_object_get(entry, ops[i]);
		if (write != NULL) {
			*op = ops[i];
			return write;
		}
	}
	*op = "";
	return NULL;
}

static const json_t *
rows_get_key(const json_t *write)
{
	const json_t *key;

	key = json_object_get(write, "Key");
	return key != NULL ? key : json_object_get(write, "Item");
}

/*
 * Evaluates the condition of a write. Supported are attribute_not_exists(pk),
 * attribute_exists(pk) and version = :value.
 */
static bool
rows_condition_holds(const json_t *write)
{
	const json_t *key, *item, *value;
	const char *cond, *name;
	struct row *row;

	cond = sti_str(write, "ConditionExpression", NULL);
	if (cond == NULL)
		return true;
	key = rows_get_key(write);
	row = rows_find(rows_attribute(key, "pk", "S"),
	    rows_attribute(key, "sk", "S"));
	item = row == NULL ? NULL : row->item;
	if (strstr(cond, "attribute_not_exists") != NULL)
		return item == NULL;
	if (strstr(cond, "attribute_exists") != NULL)
		return item != NULL;
	json_object_foreach (
	    (json_t *)json_object_get(write, "ExpressionAttributeValues"), name,
	    value) {
		return item != NULL &&
		    strtoull(sti_str(value, "N", "0"), NULL, 10) ==
		    strtoull(rows_attribute(item, "version", "N"), NULL, 10);
	}
	return false;
}

static void
rows_apply(const json_t *write, bool remove)
{
	const json_t *key;
	struct row *row;

	key = rows_get_key(write);
	row = rows_find(rows_attribute(key, "pk", "S"),
	    rows_attribute(key, "sk", "S"));
	if (row == NULL) {
		row = calloc(1, sizeof(*row));
		if (row == NULL)
			err(1, "calloc");
		row->pk = strdup(rows_attribute(key, "pk", "S"));
		row->sk = strdup(rows_attribute(key, "sk", "S"));
		RB_INSERT(row_tree, &rows, row);
	}
	if (row->changed_after_freeze != freeze_count) {
		json_decref(row->frozen_item);
		row->frozen_item = json_incref(row->item);
		row->changed_after_freeze = freeze_count;
	}
	json_decref(row->item);
	row->item =
	    remove ? NULL : json_deep_copy(json_object_get(write, "Item"));
}

json_t *
rows_transact(const json_t *items)
{
	const json_t *entry, *write;
	json_t *reasons;
	const char *op;
	size_t i;
	bool ok;

	ok = true;
	reasons = json_array();
	json_array_foreach (items, i, entry) {
		write = rows_get_write(entry, &op);
		if (write != NULL && rows_condition_holds(write)) {
			json_array_append_new(reasons,
			    json_pack("{s:s}", "Code", "None"));
			continue;
		}
		ok = false;
		json_array_append_new(reasons,
		    json_pack("{s:s}", "Code", "ConditionalCheckFailed"));
	}
	if (!ok)
		return reasons;
	json_decref(reasons);
	json_array_foreach (items, i, entry) {
		write = rows_get_write(entry, &op);
		if (strcmp(op, "ConditionCheck") != 0)
			rows_apply(write, strcmp(op, "Delete") == 0);
	}
	return NULL;
}

void
rows_freeze(void)
{
	freeze_count++;
}
