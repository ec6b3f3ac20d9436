/*
 * The whole configuration as one JSON document, for fresh hosts and peers.
 */

#include <stdio.h>
#include <string.h>

#include "entry/config_json.h"

#define CFGJ_PLURAL_SIZE 16 /* bytes of "services" and the like */

static void
cfgj_plural(enum cfg_kind kind, char plural[CFGJ_PLURAL_SIZE])
{
	snprintf(plural, CFGJ_PLURAL_SIZE, "%ss", cfg_kind_name(kind));
}

json_t *
cfgj_snapshot(const struct config *config)
{
	char plural[CFGJ_PLURAL_SIZE];
	const struct cfg_object *object;
	json_t *objects, *list, *item;
	int kind;

	objects = json_object();
	for (kind = 0; kind < CFG_NKINDS; kind++) {
		list = json_object();
		TAILQ_FOREACH (object, &config->objects[kind], entry) {
			item = cfgj_object_json(object);
			json_object_del(item, "kind");
			json_object_del(item, "name");
			json_object_set_new(list, object->name, item);
		}
		cfgj_plural((enum cfg_kind)kind, plural);
		json_object_set_new(objects, plural, list);
	}
	return json_pack("{s:I, s:o}", "version", (json_int_t)config->version,
	    "objects", objects);
}

static int
cfgj_snapshot_list(struct config *config, enum cfg_kind kind,
    const json_t *list, struct err *err)
{
	static const char *const members[] = { "labels", "spec", NULL };
	struct cfg_object *object;
	const char *name;
	json_t *item;

	if (list != NULL && !json_is_object(list))
		return err_set(err, ERR_STEP_CONFIG, ERR_CORRUPT, NULL,
		    "snapshot: %ss are no JSON object", cfg_kind_name(kind));
	json_object_foreach ((json_t *)list, name, item) {
		if (cfgj_only_members(item, "snapshot", members, err) != 0)
			return -1;
		object = cfgj_object_parse(kind, name,
		    json_object_get(item, "labels"),
		    json_object_get(item, "spec"), err);
		if (object == NULL)
			return -1;
		cfg_put(config, object);
	}
	return 0;
}

struct config *
cfgj_snapshot_parse(const json_t *snapshot, struct err *err)
{
	char plural[CFGJ_PLURAL_SIZE];
	const struct cfg_object *job;
	struct config *config;
	json_t *objects;
	json_int_t version;
	int kind;

	if (json_unpack((json_t *)snapshot, "{s:I, s:o}", "version", &version,
		"objects", &objects) != 0 ||
	    version < 0) {
		err_set(err, ERR_STEP_CONFIG, ERR_CORRUPT, NULL,
		    "snapshot without version or objects");
		return NULL;
	}
	config = cfg_create();
	if (config == NULL) {
		err_set(err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "out of memory");
		return NULL;
	}
	config->version = (uint64_t)version;
	for (kind = 0; kind < CFG_NKINDS; kind++) {
		cfgj_plural((enum cfg_kind)kind, plural);
		if (cfgj_snapshot_list(config, (enum cfg_kind)kind,
			json_object_get(objects, plural), err) != 0)
			goto error;
	}
	TAILQ_FOREACH (job, &config->objects[CFG_JOB], entry) {
		if (cfgj_references_check(config, job, err) != 0)
			goto error;
	}
	return config;
error:
	cfg_free(config);
	return NULL;
}
