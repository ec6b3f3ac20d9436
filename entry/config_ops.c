/*
 * Operations on the configuration: put, label and delete. All operations of a
 * change are applied or none: each undo step retains the object that its
 * operation replaced.
 */

#include <stdlib.h>
#include <string.h>

#include "entry/config_json.h"
#include "entry/config_ops.h"

/* State of a call of cfgop_apply(). */
struct cfgop_batch {
	struct config *config;
	struct cfgop_undo *undo;
	json_t *before;
	json_t *after;
};

static int
cfgop_error(struct err *err, enum err_code code, const char *name,
    const char *message)
{
	return err_set(err, ERR_STEP_CONFIG, code, name, "%.63s: %s", name,
	    message);
}

/* Replaces the object @name by @object; removes it if @object is NULL. */
static int
cfgop_replace(struct cfgop_batch *batch, enum cfg_kind kind, const char *name,
    struct cfg_object *object, struct err *err)
{
	struct cfgop_undo_step *step;

	step = calloc(1, sizeof(*step));
	if (step == NULL) {
		cfg_object_free(object);
		return err_set(err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "out of memory");
	}
	step->kind = kind;
	strlcpy(step->name, name, sizeof(step->name));
	step->old = cfg_detach(batch->config, kind, name);
	LIST_INSERT_HEAD(&batch->undo->steps, step, entry);
	json_array_append_new(batch->before,
	    step->old != NULL ? cfgj_object_json(step->old) : json_null());
	json_array_append_new(batch->after,
	    object != NULL ? cfgj_object_json(object) : json_null());
	if (object != NULL)
		cfg_put(batch->config, object);
	return 0;
}

static int
cfgop_put(struct cfgop_batch *batch, enum cfg_kind kind, const char *name,
    const json_t *op, struct err *err)
{
	static const char *const members[] = { "op", "kind", "name", "labels",
		"spec", NULL };
	struct cfg_object *object;

	if (cfgj_members_check(op, "put", members, err) != 0)
		return -1;
	object = cfgj_object_parse(kind, name, json_object_get(op, "labels"),
	    json_object_get(op, "spec"), err);
	if (object == NULL)
		return -1;
	return cfgop_replace(batch, kind, name, object, err);
}

/* Applies "unset" and "set" to the labels of @item, an object as JSON. */
static int
cfgop_edit_labels(json_t *item, const json_t *op, struct err *err)
{
	json_t *labels, *set, *unset, *value;
	const char *name;
	size_t i;

	labels = json_object_get(item, "labels");
	set = json_object_get(op, "set");
	unset = json_object_get(op, "unset");
	if ((set != NULL && !json_is_object(set)) ||
	    (unset != NULL && !json_is_array(unset)))
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "label: set must be an object, unset an array");
	json_array_foreach (unset, i, value) {
		name = json_string_value(value);
		if (name == NULL)
			return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
			    "label: unset contains a value that is not a "
			    "string");
		json_object_del(labels, name);
	}
	json_object_foreach (set, name, value)
		json_object_set(labels, name, value);
	return 0;
}

static int
cfgop_label(struct cfgop_batch *batch, enum cfg_kind kind, const char *name,
    const json_t *op, struct err *err)
{
	static const char *const members[] = { "op", "kind", "name", "set",
		"unset", NULL };
	const struct cfg_object *old;
	struct cfg_object *object;
	json_t *item;

	if (cfgj_members_check(op, "label", members, err) != 0)
		return -1;
	old = cfg_find(batch->config, kind, name);
	if (old == NULL)
		return cfgop_error(err, ERR_NOT_FOUND, name, "no such object");
	item = cfgj_object_json(old);
	object = NULL;
	if (cfgop_edit_labels(item, op, err) == 0)
		object = cfgj_object_parse(kind, name,
		    json_object_get(item, "labels"),
		    json_object_get(item, "spec"), err);
	json_decref(item);
	if (object == NULL)
		return -1;
	return cfgop_replace(batch, kind, name, object, err);
}

static int
cfgop_delete(struct cfgop_batch *batch, enum cfg_kind kind, const char *name,
    const json_t *op, struct err *err)
{
	static const char *const members[] = { "op", "kind", "name", NULL };

	if (cfgj_members_check(op, "delete", members, err) != 0)
		return -1;
	if (cfg_find(batch->config, kind, name) == NULL)
		return cfgop_error(err, ERR_NOT_FOUND, name, "no such object");
	return cfgop_replace(batch, kind, name, NULL, err);
}

static int
cfgop_apply_one(struct cfgop_batch *batch, const json_t *op, struct err *err)
{
	const char *op_name, *kind_name, *name;
	enum cfg_kind kind;

	op_name = json_string_value(json_object_get(op, "op"));
	kind_name = json_string_value(json_object_get(op, "kind"));
	name = json_string_value(json_object_get(op, "name"));
	if (op_name == NULL || kind_name == NULL || name == NULL)
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "operation: op, kind and name are required strings");
	if (cfg_kind_from_name(kind_name, &kind) != 0)
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "unknown kind of object \"%.60s\"", kind_name);
	if (strcmp(op_name, "put") == 0)
		return cfgop_put(batch, kind, name, op, err);
	if (strcmp(op_name, "label") == 0)
		return cfgop_label(batch, kind, name, op, err);
	if (strcmp(op_name, "delete") == 0)
		return cfgop_delete(batch, kind, name, op, err);
	return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
	    "unknown operation \"%.60s\": not put, label or delete", op_name);
}

/*
 * References are checked after all operations, so that the order of operations
 * within a change does not matter.
 */
static int
cfgop_check_references(struct cfgop_batch *batch, struct err *err)
{
	const struct cfg_object *object;
	struct cfgop_undo_step *step;
	bool removed = false;

	LIST_FOREACH (step, &batch->undo->steps, entry) {
		object = cfg_find(batch->config, step->kind, step->name);
		removed = removed || object == NULL;
		if (object != NULL &&
		    cfgj_references_check(batch->config, object, err) != 0)
			return -1;
	}
	if (!removed)
		return 0;
	TAILQ_FOREACH (object, &batch->config->objects[CFG_JOB], entry) {
		if (cfgj_references_check(batch->config, object, err) != 0)
			return -1;
	}
	return 0;
}

int
cfgop_apply(struct config *config, const json_t *ops, struct cfgop_undo *undo,
    json_t **before, json_t **after, struct err *err)
{
	struct cfgop_batch batch = { .config = config, .undo = undo };
	int result = 0;
	json_t *op;
	size_t i;

	LIST_INIT(&undo->steps);
	if (!json_is_array(ops) || json_array_size(ops) == 0 ||
	    json_array_size(ops) > CFGOP_OPS_MAX)
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "ops: not an array of 1..%d operations", CFGOP_OPS_MAX);
	batch.before = json_array();
	batch.after = json_array();
	json_array_foreach (ops, i, op) {
		result = cfgop_apply_one(&batch, op, err);
		if (result != 0)
			break;
	}
	if (result == 0)
		result = cfgop_check_references(&batch, err);
	if (result == 0 && before != NULL)
		*before = json_incref(batch.before);
	if (result == 0 && after != NULL)
		*after = json_incref(batch.after);
	if (result != 0)
		cfgop_rollback(config, undo);
	json_decref(batch.before);
	json_decref(batch.after);
	return result;
}

void
cfgop_commit(struct cfgop_undo *undo)
{
	struct cfgop_undo_step *step;

	while ((step = LIST_FIRST(&undo->steps)) != NULL) {
		LIST_REMOVE(step, entry);
		cfg_object_free(step->old);
		free(step);
	}
}

void
cfgop_rollback(struct config *config, struct cfgop_undo *undo)
{
	struct cfgop_undo_step *step;

	while ((step = LIST_FIRST(&undo->steps)) != NULL) {
		LIST_REMOVE(step, entry);
		cfg_remove(config, step->kind, step->name);
		if (step->old != NULL)
			cfg_put(config, step->old);
		free(step);
	}
}

/* Reads a string member of at most @size - 1 bytes; "" if it is absent. */
static int
cfgop_read_string(const json_t *json, const char *name, char *text, size_t size,
    struct err *err)
{
	const json_t *value = json_object_get(json, name);
	const char *source = json_string_value(value);

	text[0] = '\0';
	if (value == NULL)
		return 0;
	if (source == NULL || strlen(source) != json_string_length(value) ||
	    strlcpy(text, source, size) >= size)
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "%s: not a string of at most %zu bytes", name, size - 1);
	return 0;
}

static int
cfgop_change_from_json(struct cfgop_change *change, const json_t *json,
    struct err *err)
{
	static const char *const members[] = { "id", "base", "why", "ops",
		NULL };
	const json_t *base;

	if (cfgj_members_check(json, "change", members, err) != 0 ||
	    cfgop_read_string(json, "id", change->id, sizeof(change->id),
		err) != 0 ||
	    cfgop_read_string(json, "why", change->reason,
		sizeof(change->reason), err) != 0)
		return -1;
	if (change->id[0] == '\0' ||
	    strspn(change->id,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-_.") != strlen(change->id))
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "id: not a string of letters, digits, '-', '_' and '.'");
	base = json_object_get(json, "base");
	change->has_base = base != NULL;
	if (base != NULL) {
		if (!json_is_integer(base) || json_integer_value(base) < 0)
			return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
			    "base: not a version number");
		change->base_version = (uint64_t)json_integer_value(base);
	}
	change->ops = json_incref(json_object_get(json, "ops"));
	if (!json_is_array(change->ops))
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "ops: not an array");
	return 0;
}

int
cfgop_change_parse(struct cfgop_change *change, const char *text, size_t len,
    struct err *err)
{
	json_t *json;
	int result;

	memset(change, 0, sizeof(*change));
	json = cfgj_load(text, len, err);
	if (json == NULL)
		return -1;
	result = cfgop_change_from_json(change, json, err);
	json_decref(json);
	if (result != 0)
		cfgop_change_clear(change);
	return result;
}

void
cfgop_change_clear(struct cfgop_change *change)
{
	json_decref(change->ops);
	change->ops = NULL;
}
