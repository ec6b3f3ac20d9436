/*
 * Labels of one object, as an array sorted by name.
 */

#include <ctype.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "core/labels.h"

static bool
lbl_valid(const char *text, bool may_be_empty)
{
	size_t len = strnlen(text, NAME_SIZE);
	size_t i;

	if (len > NAME_LEN_MAX || (len == 0 && !may_be_empty))
		return false;
	for (i = 0; i < len; i++) {
		if (!isalnum((unsigned char)text[i]) &&
		    strchr("-_./", text[i]) == NULL)
			return false;
	}
	return true;
}

/* Index of the first item whose name is not less than @name, else labels->n. */
static size_t
lbl_lower_bound(const struct labels *labels, const char *name)
{
	size_t low = 0, high = labels->n, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (strcmp(labels->items[mid].name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static bool
lbl_is_at(const struct labels *labels, size_t i, const char *name)
{
	return i < labels->n && strcmp(labels->items[i].name, name) == 0;
}

/* Inserts a label with an empty value at index @i. */
static int
lbl_insert(struct labels *labels, size_t i, const char *name)
{
	struct label *items;

	items = reallocarray(labels->items, labels->n + 1, sizeof(*items));
	if (items == NULL)
		return -1;
	memmove(&items[i + 1], &items[i], (labels->n - i) * sizeof(*items));
	memset(&items[i], 0, sizeof(items[i]));
	memcpy(items[i].name, name, strlen(name) + 1);
	labels->items = items;
	labels->n++;
	return 0;
}

int
lbl_set(struct labels *labels, const char *name, const char *value,
    struct err *err)
{
	size_t i;

	if (!lbl_valid(name, false))
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "invalid label name \"%.80s\"", name);
	if (!lbl_valid(value, true))
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "invalid value of label \"%s\"", name);
	i = lbl_lower_bound(labels, name);
	if (!lbl_is_at(labels, i, name)) {
		if (labels->n == LABELS_MAX)
			return err_set(err, ERR_STEP_PARSE, ERR_TOO_LARGE, NULL,
			    "more than %d labels", LABELS_MAX);
		if (lbl_insert(labels, i, name) != 0)
			return err_set(err, ERR_STEP_PARSE, ERR_NO_MEMORY, NULL,
			    "out of memory for the labels");
	}
	memcpy(labels->items[i].value, value, strlen(value) + 1);
	return 0;
}

int
lbl_copy(struct labels *to, const struct labels *from)
{
	struct label *items = NULL;

	if (from->n > 0) {
		items = calloc(from->n, sizeof(*items));
		if (items == NULL)
			return -1;
		memcpy(items, from->items, from->n * sizeof(*items));
	}
	free(to->items);
	to->items = items;
	to->n = from->n;
	return 0;
}

bool
lbl_equal(const struct labels *a, const struct labels *b)
{
	size_t i;

	if (a->n != b->n)
		return false;
	for (i = 0; i < a->n; i++) {
		if (strcmp(a->items[i].name, b->items[i].name) != 0 ||
		    strcmp(a->items[i].value, b->items[i].value) != 0)
			return false;
	}
	return true;
}

void
lbl_clear(struct labels *labels)
{
	free(labels->items);
	labels->items = NULL;
	labels->n = 0;
}

const char *
lbl_get(const struct labels *labels, const char *name)
{
	size_t i = lbl_lower_bound(labels, name);

	return lbl_is_at(labels, i, name) ? labels->items[i].value : NULL;
}

void
lbl_remove(struct labels *labels, const char *name)
{
	size_t i = lbl_lower_bound(labels, name);

	if (!lbl_is_at(labels, i, name))
		return;
	labels->n--;
	memmove(&labels->items[i], &labels->items[i + 1],
	    (labels->n - i) * sizeof(labels->items[0]));
}
