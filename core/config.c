/*
 * The configuration as a set of objects. Each object is in the list of its
 * kind, sorted by name, and in a red-black tree by name for lookups. Both
 * always contain the same objects.
 */

#include <stdlib.h>
#include <string.h>

#include "core/config.h"

static const char *const cfg_kind_names[CFG_NKINDS] = {
	[CFG_SERVICE] = "service",
	[CFG_JOB] = "job",
	[CFG_SERVER] = "server",
	[CFG_HOST] = "host",
	[CFG_TEAM] = "team",
};

static int
cfg_compare(const struct cfg_object *a, const struct cfg_object *b)
{
	return strcmp(a->name, b->name);
}

RB_GENERATE_STATIC(cfg_tree, cfg_object, node, cfg_compare)

struct config *
cfg_create(void)
{
	struct config *config;
	int kind;

	config = calloc(1, sizeof(*config));
	if (config == NULL)
		return NULL;
	for (kind = 0; kind < CFG_NKINDS; kind++) {
		TAILQ_INIT(&config->objects[kind]);
		RB_INIT(&config->index[kind]);
	}
	return config;
}

void
cfg_free(struct config *config)
{
	struct cfg_object *object;
	int kind;

	if (config == NULL)
		return;
	for (kind = 0; kind < CFG_NKINDS; kind++) {
		while ((object = TAILQ_FIRST(&config->objects[kind])) != NULL) {
			TAILQ_REMOVE(&config->objects[kind], object, entry);
			cfg_object_free(object);
		}
	}
	free(config);
}

static struct cfg_object *
cfg_lookup(const struct config *config, enum cfg_kind kind, const char *name)
{
	struct cfg_object *object;
	int order;

	object = RB_ROOT(&config->index[kind]);
	while (object != NULL) {
		order = strcmp(name, object->name);
		if (order == 0)
			return object;
		object =
		    order < 0 ? RB_LEFT(object, node) : RB_RIGHT(object, node);
	}
	return NULL;
}

const struct cfg_object *
cfg_find(const struct config *config, enum cfg_kind kind, const char *name)
{
	return cfg_lookup(config, kind, name);
}

struct cfg_object *
cfg_detach(struct config *config, enum cfg_kind kind, const char *name)
{
	struct cfg_object *object;

	object = cfg_lookup(config, kind, name);
	if (object == NULL)
		return NULL;
	RB_REMOVE(cfg_tree, &config->index[kind], object);
	TAILQ_REMOVE(&config->objects[kind], object, entry);
	config->nobjects[kind]--;
	return object;
}

void
cfg_put(struct config *config, struct cfg_object *object)
{
	struct cfg_list *list = &config->objects[object->kind];
	struct cfg_object *next;

	cfg_remove(config, object->kind, object->name);
	RB_INSERT(cfg_tree, &config->index[object->kind], object);
	next = RB_NEXT(cfg_tree, &config->index[object->kind], object);
	if (next != NULL)
		TAILQ_INSERT_BEFORE(next, object, entry);
	else
		TAILQ_INSERT_TAIL(list, object, entry);
	config->nobjects[object->kind]++;
}

bool
cfg_remove(struct config *config, enum cfg_kind kind, const char *name)
{
	struct cfg_object *object;

	object = cfg_detach(config, kind, name);
	if (object == NULL)
		return false;
	cfg_object_free(object);
	return true;
}

void
cfg_object_free(struct cfg_object *object)
{
	if (object == NULL)
		return;
	if (object->kind == CFG_SERVICE) {
		sel_free(object->u.service.selector);
		free(object->u.service.selector_text);
	} else if (object->kind == CFG_JOB) {
		sel_free(object->u.job.selector);
		free(object->u.job.selector_text);
	}
	lbl_clear(&object->labels);
	free(object);
}

const char *
cfg_kind_name(enum cfg_kind kind)
{
	return cfg_kind_names[kind];
}

int
cfg_kind_from_name(const char *name, enum cfg_kind *kind)
{
	size_t len;
	int i;

	for (i = 0; i < CFG_NKINDS; i++) {
		len = strlen(cfg_kind_names[i]);
		if (strncmp(name, cfg_kind_names[i], len) != 0)
			continue;
		if (name[len] == '\0' || strcmp(name + len, "s") == 0) {
			*kind = (enum cfg_kind)i;
			return 0;
		}
	}
	return -1;
}
