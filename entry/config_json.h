#ifndef ENTRY_CONFIG_JSON_H
#define ENTRY_CONFIG_JSON_H

#include <jansson.h>
#include <stddef.h>

#include "core/config.h"

/*
 * Objects of the configuration as JSON: {"kind","name","labels","spec"}.
 * Unknown members are refused, so that a misspelt one is not ignored.
 */

/**
 * cfgj_load() - parse a JSON text from outside.
 *
 * Duplicate members and nesting deeper than JSON_DEPTH_MAX are refused.
 * Return: a new reference, or NULL with @err.
 */
json_t *cfgj_load(const char *text, size_t len, struct err *err);

/**
 * cfgj_members_check() - refuse members that are not in a list.
 * @context: names the object in the message.
 * @members: names, ended by NULL.
 * Return: 0, or -1 with @err.
 */
int cfgj_members_check(const json_t *object, const char *context,
    const char *const *members, struct err *err);

/** cfgj_name_check() - is it a name for an object? 0, or -1 with @err. */
int cfgj_name_check(const char *name, struct err *err);

/**
 * cfgj_object_parse() - make an object.
 * @labels: its labels, an object of strings, or NULL for none.
 * @spec: its spec, or NULL for one of defaults.
 *
 * References to other objects are not checked here.
 * Return: an object to be freed with cfg_object_free(), or NULL with @err.
 */
struct cfg_object *cfgj_object_parse(enum cfg_kind kind, const char *name,
    const json_t *labels, const json_t *spec, struct err *err);

/** cfgj_object_json() - the inverse; a new reference, or NULL. */
json_t *cfgj_object_json(const struct cfg_object *object);

/** cfgj_snapshot() - {"version","objects"}; a new reference, or NULL. */
json_t *cfgj_snapshot(const struct config *config);

/** cfgj_snapshot_parse() - the inverse, or NULL with @err. */
struct config *cfgj_snapshot_parse(const json_t *snapshot, struct err *err);

/**
 * cfgj_references_check() - do a job's service and team exist?
 * Return: 0, or -1 with @err; always 0 for other kinds of object.
 */
int cfgj_references_check(const struct config *config,
    const struct cfg_object *object, struct err *err);

#endif /* ENTRY_CONFIG_JSON_H */
