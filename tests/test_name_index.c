/*
 * The index of objects by name, compared with a list that is searched.
 */

#include <criterion/criterion.h>
#include <stdio.h>

#include "core/mem.h"
#include "core/name_index.h"

#define NAMES 300
#define STEPS 20000

struct object {
	char name[24];
	struct nidx_entry index;
	LIST_ENTRY(object) entry; /* newest first */
};

LIST_HEAD(object_list, object);

static struct object *
list_find(const struct object_list *list, const char *name)
{
	struct object *object;

	LIST_FOREACH (object, list, entry) {
		if (strcmp(object->name, name) == 0)
			return object;
	}
	return NULL;
}

static struct object *
index_find(const struct name_index *index, const char *name)
{
	struct nidx_entry *entry = nidx_find(index, name);

	return entry == NULL ? NULL : NIDX_OBJECT(entry, struct object, index);
}

static size_t
list_count(const struct object_list *list, const char *name)
{
	const struct object *object;
	size_t n = 0;

	LIST_FOREACH (object, list, entry)
		n += strcmp(object->name, name) == 0;
	return n;
}

static size_t
index_count(const struct name_index *index, const char *name)
{
	const struct nidx_entry *entry;
	size_t n = 0;

	for (entry = nidx_find(index, name); entry != NULL;
	     entry = nidx_next(entry))
		n++;
	return n;
}

static struct object *
object_create(struct name_index *index, struct object_list *list,
    const char *name)
{
	struct object *object = mem_zalloc(1, sizeof(*object));

	strlcpy(object->name, name, sizeof(object->name));
	nidx_insert(index, &object->index, object->name);
	LIST_INSERT_HEAD(list, object, entry);
	return object;
}

static void
object_free(struct name_index *index, struct object *object)
{
	nidx_remove(index, &object->index);
	LIST_REMOVE(object, entry);
	free(object);
}

Test(name_index, empty_index_has_no_names)
{
	struct name_index index;

	nidx_init(&index);
	cr_expect_null(nidx_find(&index, "a"));
	nidx_release(&index);
}

/* Random insertions, removals and lookups, also of names that several objects
 * have. */
Test(name_index, agrees_with_a_list)
{
	struct object_list list = LIST_HEAD_INITIALIZER(list);
	struct name_index index;
	struct object *object;
	uint32_t random = 1, step;
	char name[24];

	nidx_init(&index);
	for (step = 0; step < STEPS; step++) {
		random = random * 1664525 + 1013904223;
		(void)snprintf(name, sizeof(name), "front-%u",
		    (random >> 8) % NAMES);
		if ((random >> 28) % 2 == 0) {
			object_create(&index, &list, name);
		} else {
			object = list_find(&list, name);
			cr_assert_eq(index_find(&index, name), object);
			if (object != NULL)
				object_free(&index, object);
		}
		cr_assert_eq(index_count(&index, name),
		    list_count(&list, name));
	}
	while ((object = LIST_FIRST(&list)) != NULL)
		object_free(&index, object);
	cr_expect_eq(index.n, 0);
	nidx_release(&index);
}
