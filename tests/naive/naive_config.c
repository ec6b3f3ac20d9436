/*
 * Reference implementation of configuration changes, on complete snapshots.
 */

#include <stdio.h>
#include <string.h>

#include "entry/config_json.h"
#include "naive/naive_config.h"

/* Applies one operation; false if it is rejected. */
static bool
naive_config_edit(json_t *objects, const json_t *op)
{
	const char *op_name = json_string_value(json_object_get(op, "op"));
	const char *name = json_string_value(json_object_get(op, "name"));
	json_t *list, *item, *labels, *value;
	const char *label;
	char plural[32];
	size_t i;

	snprintf(plural, sizeof(plural), "%ss",
	    json_string_value(json_object_get(op, "kind")));
	list = json_object_get(objects, plural);
	if (list == NULL)
		return false;
	item = json_object_get(list, name);
	if (strcmp(op_name, "put") == 0) {
		item = json_object();
		json_object_set_new(item, "labels", json_object());
		json_object_update(json_object_get(item, "labels"),
		    json_object_get(op, "labels"));
		if (json_object_get(op, "spec") != NULL)
			json_object_set_new(item, "spec",
			    json_deep_copy(json_object_get(op, "spec")));
		json_object_set_new(list, name, item);
		return true;
	}
	if (item == NULL)
		return false;
	if (strcmp(op_name, "delete") == 0)
		return json_object_del(list, name) == 0;
	labels = json_object_get(item, "labels");
	json_array_foreach (json_object_get(op, "unset"), i, value)
		json_object_del(labels, json_string_value(value));
	json_object_foreach (json_object_get(op, "set"), label, value)
		json_object_set(labels, label, value);
	return true;
}

/* Validates the object that an operation changed, without its references. */
static bool
naive_config_valid(const json_t *objects, const json_t *op)
{
	const char *name = json_string_value(json_object_get(op, "name"));
	const char *kind_name = json_string_value(json_object_get(op, "kind"));
	struct cfg_object *object;
	enum cfg_kind kind;
	char plural[32];
	struct err err;
	json_t *item;

	snprintf(plural, sizeof(plural), "%ss", kind_name);
	item = json_object_get(json_object_get(objects, plural), name);
	if (item == NULL)
		return true;
	if (cfg_kind_from_name(kind_name, &kind) != 0)
		return false;
	object = cfgj_object_parse(kind, name, json_object_get(item, "labels"),
	    json_object_get(item, "spec"), &err);
	if (object == NULL)
		return false;
	cfg_object_free(object);
	return true;
}

/* Parses the snapshot and renders it again; NULL if it is invalid. */
static json_t *
naive_config_normalise(const json_t *snapshot)
{
	struct config *config;
	struct err err;
	json_t *result;

	config = cfgj_snapshot_parse(snapshot, &err);
	if (config == NULL)
		return NULL;
	result = cfgj_snapshot(config);
	cfg_free(config);
	return result;
}

json_t *
naive_config_apply(const json_t *snapshot, const json_t *ops)
{
	json_t *copy = json_deep_copy(snapshot), *objects, *applied, *op;
	bool valid = true;
	size_t i;

	objects = json_object_get(copy, "objects");
	json_array_foreach (ops, i, op) {
		valid = valid && naive_config_edit(objects, op) &&
		    naive_config_valid(objects, op);
	}
	applied = valid ? naive_config_normalise(copy) : NULL;
	json_decref(copy);
	return applied;
}
