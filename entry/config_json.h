#ifndef ENTRY_CONFIG_JSON_H
#define ENTRY_CONFIG_JSON_H

#include <jansson.h>
#include <stddef.h>

#include "core/config.h"

/*
 * Converts objects of the configuration from and to JSON:
 * {"kind","name","labels","spec"}. Unknown members are rejected, so that a
 * misspelt one is not ignored.
 */

/**
 * cfgj_load() - parse an untrusted JSON text.
 * @len: bytes.
 *
 * Duplicate members and nesting deeper than JSON_DEPTH_MAX are rejected.
 * Return: a new reference, or NULL with @err.
 */
json_t *cfgj_load(const char *text, size_t len, struct err *err);

/**
 * cfgj_members_check() - check that an object has only members in a list.
 * @context: name of the object in the error message.
 * @members: allowed names, ended by NULL.
 * Return: 0, or -1 with @err.
 */
int cfgj_members_check(const json_t *object, const char *context,
    const char *const *members, struct err *err);

/** cfgj_name_check() - check the name of an object; 0, or -1 with @err. */
int cfgj_name_check(const char *name, struct err *err);

/**
 * cfgj_object_parse() - create an object from JSON.
 * @labels: JSON object of strings; NULL for no labels.
 * @spec: JSON object; NULL for the defaults of all members.
 *
 * References to other objects are not checked here.
 * Return: an object to be freed with cfg_object_free(), or NULL with @err.
 */
struct cfg_object *cfgj_object_parse(enum cfg_kind kind, const char *name,
    const json_t *labels, const json_t *spec, struct err *err);

/** cfgj_object_json() - render an object; a new reference, or NULL. */
json_t *cfgj_object_json(const struct cfg_object *object);

/**
 * cfgj_snapshot() - render a configuration as {"version","objects"}.
 * Return: a new reference, or NULL.
 */
json_t *cfgj_snapshot(const struct config *config);

/**
 * cfgj_snapshot_parse() - create a configuration from a snapshot.
 *
 * References between its objects are checked.
 * Return: a configuration to be freed with cfg_free(), or NULL with @err.
 */
struct config *cfgj_snapshot_parse(const json_t *snapshot, struct err *err);

/**
 * cfgj_references_check() - check that a job's service and team exist.
 * Return: 0, or -1 with @err; always 0 for other kinds of objects.
 */
int cfgj_references_check(const struct config *config,
    const struct cfg_object *object, struct err *err);

#endif /* ENTRY_CONFIG_JSON_H */
