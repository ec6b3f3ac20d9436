/*
 * Converts objects of the configuration, by the tables in config_fields.c, and
 * the complete configuration from and to JSON.
 */

#include <arpa/inet.h>
#include <ctype.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/config_fields.h"
#include "entry/config_json.h"

#define CFGJ_PLURAL_NAME_SIZE 16 /* bytes of "services" ..., with the NUL */

/* Returns the nesting depth, or @limit + 1 if it is higher. */
static int
cfgj_depth(const json_t *json, int limit)
{
	const char *key;
	json_t *child, *object = (json_t *)json;
	int depth, deepest = 0;
	size_t i;

	if (!json_is_object(json) && !json_is_array(json))
		return 0;
	if (limit == 0)
		return 1;
	if (json_is_object(json)) {
		json_object_foreach (object, key, child) {
			depth = cfgj_depth(child, limit - 1);
			deepest = depth > deepest ? depth : deepest;
		}
	} else {
		json_array_foreach (json, i, child) {
			depth = cfgj_depth(child, limit - 1);
			deepest = depth > deepest ? depth : deepest;
		}
	}
	return deepest + 1;
}

json_t *
cfgj_load(const char *text, size_t len, struct err *err)
{
	json_error_t error;
	json_t *json;

	json = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
	if (json == NULL) {
		err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "invalid JSON: line %d, column %d: %s", error.line,
		    error.column, error.text);
		return NULL;
	}
	if (cfgj_depth(json, JSON_DEPTH_MAX) > JSON_DEPTH_MAX) {
		json_decref(json);
		err_set(err, ERR_STEP_PARSE, ERR_TOO_LARGE, NULL,
		    "JSON nesting exceeds %d levels", JSON_DEPTH_MAX);
		return NULL;
	}
	return json;
}

int
cfgj_members_check(const json_t *object, const char *context,
    const char *const *members, struct err *err)
{
	const char *key;
	json_t *value;
	size_t i;

	if (!json_is_object(object))
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
		    "%s: not a JSON object", context);
	json_object_foreach ((json_t *)object, key, value) {
		for (i = 0; members[i] != NULL; i++) {
			if (strcmp(key, members[i]) == 0)
				break;
		}
		if (members[i] == NULL)
			return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL,
			    "%s: unknown member \"%.60s\"", context, key);
	}
	return 0;
}

int
cfgj_name_check(const char *name, struct err *err)
{
	size_t i;

	for (i = 0; name[i] != '\0'; i++) {
		if (!isalnum((unsigned char)name[i]) &&
		    strchr("-_.", name[i]) == NULL)
			break;
	}
	if (name[i] == '\0' && i > 0 && i <= NAME_LEN_MAX)
		return 0;
	return err_set(err, ERR_STEP_CONFIG, ERR_INVALID, NULL,
	    "invalid name \"%.80s\": not 1..%d letters, digits, '-', '_' or "
	    "'.'",
	    name, NAME_LEN_MAX);
}

static int
cfgj_field_error(const struct cfg_object *object,
    const struct cfgj_field *field, const char *problem, struct err *err)
{
	return err_set(err, ERR_STEP_CONFIG, ERR_INVALID, object->name,
	    "%s %s: %s %s", cfg_kind_name(object->kind), object->name,
	    field->name, problem);
}

static int
cfgj_read_selector(struct cfg_object *object, const struct cfgj_field *field,
    const char *text, struct err *err)
{
	struct selector **selector;
	char **source;

	selector = (struct selector **)((char *)object + field->offset);
	source = (char **)((char *)object + field->source_offset);
	if (!field->required && text[0] == '\0')
		return 0;
	*selector = sel_parse(text, err);
	if (*selector == NULL)
		return -1;
	*source = strdup(text);
	if (*source == NULL)
		return err_set(err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "out of memory");
	return 0;
}

static int
cfgj_read_path(struct cfg_object *object, const struct cfgj_field *field,
    const char *text, struct err *err)
{
	char *path = (char *)object + field->offset;
	size_t i;

	for (i = 0; text[i] != '\0'; i++) {
		if (!isgraph((unsigned char)text[i]))
			return cfgj_field_error(object, field,
			    "contains whitespace or an unprintable character",
			    err);
	}
	if (text[0] != '/' ||
	    strlcpy(path, text, sizeof(object->u.service.path)) >=
		sizeof(object->u.service.path))
		return cfgj_field_error(object, field,
		    "is not a path of 1..255 bytes that starts with '/'", err);
	return 0;
}

static int
cfgj_read_address(struct cfg_object *object, const struct cfgj_field *field,
    const char *text, struct err *err)
{
	unsigned char address[sizeof(struct in6_addr)];

	if (inet_pton(AF_INET, text, address) != 1 &&
	    inet_pton(AF_INET6, text, address) != 1)
		return cfgj_field_error(object, field,
		    "is not an IPv4 or IPv6 address", err);
	strlcpy((char *)object + field->offset, text,
	    sizeof(object->u.server.address));
	return 0;
}

static int
cfgj_read_string(struct cfg_object *object, const struct cfgj_field *field,
    const json_t *value, struct err *err)
{
	const char *text = json_string_value(value);

	if (text == NULL || strlen(text) != json_string_length(value))
		return cfgj_field_error(object, field, "is not a string", err);
	switch (field->type) {
	case CFGJ_SELECTOR:
		return cfgj_read_selector(object, field, text, err);
	case CFGJ_PATH:
		return cfgj_read_path(object, field, text, err);
	case CFGJ_ADDRESS:
		return cfgj_read_address(object, field, text, err);
	default:
		break;
	}
	if (text[0] == '\0' && !field->required)
		return 0;
	if (cfgj_name_check(text, err) != 0)
		return -1;
	strlcpy((char *)object + field->offset, text, NAME_SIZE);
	return 0;
}

static int
cfgj_read_number(struct cfg_object *object, const struct cfgj_field *field,
    const json_t *value, struct err *err)
{
	json_int_t number = field->default_value;
	char range[64];

	if (value != NULL && !json_is_integer(value))
		return cfgj_field_error(object, field, "is not an integer",
		    err);
	if (value != NULL)
		number = json_integer_value(value);
	if (number < field->min || number > field->max) {
		snprintf(range, sizeof(range), "is not in the range %lld..%lld",
		    (long long)field->min, (long long)field->max);
		return cfgj_field_error(object, field, range, err);
	}
	if (field->type == CFGJ_U16)
		*(uint16_t *)((char *)object + field->offset) =
		    (uint16_t)number;
	else
		*(uint32_t *)((char *)object + field->offset) =
		    (uint32_t)number;
	return 0;
}

static int
cfgj_read_field(struct cfg_object *object, const struct cfgj_field *field,
    const json_t *value, struct err *err)
{
	if (value == NULL && field->required)
		return cfgj_field_error(object, field, "is missing", err);
	if (field->type == CFGJ_U16 || field->type == CFGJ_U32)
		return cfgj_read_number(object, field, value, err);
	if (value == NULL) {
		if (field->type == CFGJ_PATH)
			return cfgj_read_path(object, field, "/", err);
		return 0;
	}
	if (field->type == CFGJ_BOOL) {
		if (!json_is_boolean(value))
			return cfgj_field_error(object, field,
			    "is not true or false", err);
		*(bool *)((char *)object + field->offset) = json_is_true(value);
		return 0;
	}
	return cfgj_read_string(object, field, value, err);
}

static int
cfgj_read_spec(struct cfg_object *object, const json_t *spec, struct err *err)
{
	const struct cfgj_field *fields = cfgj_fields[object->kind];
	const char *members[CFGJ_FIELDS_MAX + 1] = { NULL };
	size_t i;

	for (i = 0; fields[i].name != NULL; i++)
		members[i] = fields[i].name;
	if (spec != NULL && cfgj_members_check(spec, "spec", members, err) != 0)
		return -1;
	for (i = 0; fields[i].name != NULL; i++) {
		if (cfgj_read_field(object, &fields[i],
			json_object_get(spec, fields[i].name), err) != 0)
			return -1;
	}
	if (object->kind == CFG_JOB && object->u.job.hedge &&
	    !object->u.job.repeatable)
		return err_set(err, ERR_STEP_CONFIG, ERR_INVALID, object->name,
		    "job %s: hedge requires repeatable", object->name);
	return 0;
}

/* Sets a label derived from the object; a different value is an error. */
static int
cfgj_set_derived_label(struct cfg_object *object, const char *name,
    const char *value, struct err *err)
{
	const char *existing = lbl_get(&object->labels, name);

	if (existing != NULL && strcmp(existing, value) != 0)
		return err_set(err, ERR_STEP_CONFIG, ERR_INVALID, object->name,
		    "label %s of %s %s differs from the value in its spec or "
		    "name",
		    name, cfg_kind_name(object->kind), object->name);
	return lbl_set(&object->labels, name, value, err);
}

static int
cfgj_read_labels(struct cfg_object *object, const json_t *labels,
    struct err *err)
{
	const char *name, *text;
	json_t *value;

	if (labels != NULL && !json_is_object(labels))
		return err_set(err, ERR_STEP_PARSE, ERR_INVALID, object->name,
		    "labels: not a JSON object");
	json_object_foreach ((json_t *)labels, name, value) {
		text = json_string_value(value);
		if (text == NULL || strlen(text) != json_string_length(value))
			return err_set(err, ERR_STEP_PARSE, ERR_INVALID,
			    object->name, "label \"%.60s\": not a string",
			    name);
		if (lbl_set(&object->labels, name, text, err) != 0)
			return -1;
	}
	if (object->kind == CFG_SERVER &&
	    cfgj_set_derived_label(object, "az", object->u.server.az, err) != 0)
		return -1;
	if (object->kind == CFG_HOST &&
	    cfgj_set_derived_label(object, "az", object->u.host.az, err) != 0)
		return -1;
	if (object->kind == CFG_SERVER || object->kind == CFG_HOST)
		return cfgj_set_derived_label(object, "name", object->name,
		    err);
	return 0;
}

struct cfg_object *
cfgj_object_parse(enum cfg_kind kind, const char *name, const json_t *labels,
    const json_t *spec, struct err *err)
{
	struct cfg_object *object;

	if (cfgj_name_check(name, err) != 0)
		return NULL;
	object = calloc(1, sizeof(*object));
	if (object == NULL) {
		err_set(err, ERR_STEP_CONFIG, ERR_NO_MEMORY, NULL,
		    "out of memory");
		return NULL;
	}
	object->kind = kind;
	strlcpy(object->name, name, sizeof(object->name));
	if (cfgj_read_spec(object, spec, err) != 0 ||
	    cfgj_read_labels(object, labels, err) != 0) {
		cfg_object_free(object);
		return NULL;
	}
	return object;
}

static json_t *
cfgj_field_json(const struct cfg_object *object, const struct cfgj_field *field)
{
	const char *field_ptr = (const char *)object + field->offset;
	const char *source;

	switch (field->type) {
	case CFGJ_SELECTOR:
		source = *(
		    char *const *)((const char *)object + field->source_offset);
		return json_string(source != NULL ? source : "");
	case CFGJ_BOOL:
		return json_boolean(*(const bool *)field_ptr);
	case CFGJ_U16:
		return json_integer(*(const uint16_t *)field_ptr);
	case CFGJ_U32:
		return json_integer(*(const uint32_t *)field_ptr);
	default:
		return json_string(field_ptr);
	}
}

json_t *
cfgj_object_json(const struct cfg_object *object)
{
	const struct cfgj_field *field;
	json_t *labels, *spec;
	size_t i;

	labels = json_object();
	spec = json_object();
	for (i = 0; i < object->labels.n; i++)
		json_object_set_new(labels, object->labels.items[i].name,
		    json_string(object->labels.items[i].value));
	for (field = cfgj_fields[object->kind]; field->name != NULL; field++)
		json_object_set_new(spec, field->name,
		    cfgj_field_json(object, field));
	return json_pack("{s:s, s:s, s:o, s:o}", "kind",
	    cfg_kind_name(object->kind), "name", object->name, "labels", labels,
	    "spec", spec);
}

int
cfgj_references_check(const struct config *config,
    const struct cfg_object *object, struct err *err)
{
	const struct cfg_job *job = &object->u.job;

	if (object->kind != CFG_JOB)
		return 0;
	if (cfg_find(config, CFG_SERVICE, job->service) == NULL)
		return err_set(err, ERR_STEP_CONFIG, ERR_INVALID, object->name,
		    "job %s: service %s does not exist", object->name,
		    job->service);
	if (job->team[0] != '\0' &&
	    cfg_find(config, CFG_TEAM, job->team) == NULL)
		return err_set(err, ERR_STEP_CONFIG, ERR_INVALID, object->name,
		    "job %s: team %s does not exist", object->name, job->team);
	return 0;
}

static void
cfgj_plural_name(enum cfg_kind kind, char plural[CFGJ_PLURAL_NAME_SIZE])
{
	snprintf(plural, CFGJ_PLURAL_NAME_SIZE, "%ss", cfg_kind_name(kind));
}

json_t *
cfgj_snapshot(const struct config *config)
{
	char plural[CFGJ_PLURAL_NAME_SIZE];
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
		cfgj_plural_name((enum cfg_kind)kind, plural);
		json_object_set_new(objects, plural, list);
	}
	return json_pack("{s:I, s:o}", "version", (json_int_t)config->version,
	    "objects", objects);
}

static int
cfgj_snapshot_parse_kind(struct config *config, enum cfg_kind kind,
    const json_t *list, struct err *err)
{
	static const char *const members[] = { "labels", "spec", NULL };
	struct cfg_object *object;
	const char *name;
	json_t *item;

	if (list != NULL && !json_is_object(list))
		return err_set(err, ERR_STEP_CONFIG, ERR_CORRUPT, NULL,
		    "snapshot: %ss is not a JSON object", cfg_kind_name(kind));
	json_object_foreach ((json_t *)list, name, item) {
		if (cfgj_members_check(item, "snapshot", members, err) != 0)
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
	char plural[CFGJ_PLURAL_NAME_SIZE];
	const struct cfg_object *job;
	struct config *config;
	json_t *objects;
	json_int_t version;
	int kind;

	if (json_unpack((json_t *)snapshot, "{s:I, s:o}", "version", &version,
		"objects", &objects) != 0 ||
	    version < 0) {
		err_set(err, ERR_STEP_CONFIG, ERR_CORRUPT, NULL,
		    "snapshot: version or objects is missing or invalid");
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
		cfgj_plural_name((enum cfg_kind)kind, plural);
		if (cfgj_snapshot_parse_kind(config, (enum cfg_kind)kind,
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
