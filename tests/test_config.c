#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/config_json.h"
#include "entry/config_ops.h"
#include "naive/naive_config.h"

#define DESIGN_SERVERS 12000 /* the design must support this number */

static struct cfg_object *
team(const char *name)
{
	struct cfg_object *object = calloc(1, sizeof(*object));

	object->kind = CFG_TEAM;
	snprintf(object->name, sizeof(object->name), "%s", name);
	return object;
}

/* Checks that list and index have the same objects, sorted by name. */
static void
check_sorted(const struct config *config)
{
	const struct cfg_object *object, *last = NULL;
	size_t n = 0;
	int kind;

	for (kind = 0; kind < CFG_NKINDS; kind++) {
		last = NULL;
		n = 0;
		TAILQ_FOREACH (object, &config->objects[kind], entry) {
			cr_assert(last == NULL ||
			    strcmp(last->name, object->name) < 0);
			cr_assert_eq(
			    cfg_find(config, (enum cfg_kind)kind, object->name),
			    object);
			last = object;
			n++;
		}
		cr_assert_eq(n, config->nobjects[kind]);
	}
}

Test(config, put_replaces_and_remove_deletes)
{
	struct config *config = cfg_create();
	struct cfg_object *detached;

	cfg_put(config, team("b"));
	cfg_put(config, team("a"));
	cfg_put(config, team("b"));
	cfg_put(config, team("c"));
	check_sorted(config);
	cr_assert_eq(config->nobjects[CFG_TEAM], 3);
	cr_assert_null(cfg_find(config, CFG_JOB, "a"));
	cr_assert(cfg_remove(config, CFG_TEAM, "b"));
	cr_assert(!cfg_remove(config, CFG_TEAM, "b"));
	detached = cfg_detach(config, CFG_TEAM, "a");
	cr_assert_str_eq(detached->name, "a");
	cr_assert_null(cfg_detach(config, CFG_TEAM, "a"));
	cfg_object_free(detached);
	check_sorted(config);
	cfg_free(config);
}

Test(config, many_objects_stay_sorted)
{
	struct config *config = cfg_create();
	char name[NAME_SIZE];
	int i;

	for (i = 0; i < DESIGN_SERVERS; i++) {
		snprintf(name, sizeof(name), "s%05d",
		    i * 7919 % DESIGN_SERVERS);
		cfg_put(config, team(name));
	}
	cr_assert_eq(config->nobjects[CFG_TEAM], DESIGN_SERVERS);
	check_sorted(config);
	cfg_free(config);
}

Test(config, kind_names_are_parsed)
{
	enum cfg_kind kind;

	cr_assert_eq(cfg_kind_from_name("servers", &kind), 0);
	cr_assert_eq(kind, CFG_SERVER);
	cr_assert_eq(cfg_kind_from_name("job", &kind), 0);
	cr_assert_eq(cfg_kind_from_name("jobss", &kind), -1);
	cr_assert_eq(cfg_kind_from_name("", &kind), -1);
}

static unsigned
random_below(unsigned *seed, unsigned n)
{
	return (unsigned)rand_r(seed) % n;
}

/* A random operation on few names; about one in five is rejected. */
static json_t *
random_op(unsigned *seed)
{
	static const char *const kinds[] = { "service", "job", "team",
		"server" };
	static const char *const names[] = { "a", "b", "c", "d" };
	static const char *const values[] = { "x", "y", "bad value", "" };
	const char *kind = kinds[random_below(seed, 4)],
		   *name = names[random_below(seed, 4)];
	json_t *op, *spec = NULL;

	op = json_pack("{s:s, s:s}", "kind", kind, "name", name);
	switch (random_below(seed, 4)) {
	case 0:
		json_object_set_new(op, "op", json_string("delete"));
		return op;
	case 1:
		json_object_set_new(op, "op", json_string("label"));
		json_object_set_new(op, "set",
		    json_pack("{s:s}", names[random_below(seed, 4)],
			values[random_below(seed, 12) % 4]));
		json_object_set_new(op, "unset",
		    json_pack("[s]", random_below(seed, 9) == 0 ? "az" : "b"));
		return op;
	default:
		break;
	}
	if (strcmp(kind, "service") == 0)
		spec = json_pack("{s:s}", "selector",
		    random_below(seed, 8) == 0 ? "((" : "a=x,!b");
	else if (strcmp(kind, "job") == 0)
		spec = json_pack("{s:s, s:s}", "service",
		    names[random_below(seed, 4)], "team",
		    random_below(seed, 2) ? names[random_below(seed, 4)] : "");
	else if (strcmp(kind, "server") == 0)
		spec = json_pack("{s:s, s:i, s:s}", "address", "127.0.0.1",
		    "port", (int)random_below(seed, 8), "az",
		    names[random_below(seed, 4)]);
	json_object_set_new(op, "op", json_string("put"));
	if (spec != NULL)
		json_object_set_new(op, "spec", spec);
	return op;
}

static json_t *
random_ops(unsigned *seed)
{
	json_t *ops = json_array();
	unsigned i, n = 1 + random_below(seed, 4);

	for (i = 0; i < n; i++)
		json_array_append_new(ops, random_op(seed));
	return ops;
}

/*
 * Applies the operations, rolls them back unless @keep, and compares the
 * resulting snapshot with that of the naive implementation.
 */
static int
apply_and_compare(struct config *config, const json_t *ops, bool keep)
{
	json_t *before, *expected, *after, *old, *new;
	struct cfgop_undo undo;
	struct err err;
	int result;

	before = cfgj_snapshot(config);
	expected = naive_config_apply(before, ops);
	result = cfgop_apply(config, ops, &undo, &old, &new, &err);
	cr_assert_eq(result == 0, expected != NULL, "%s",
	    result != 0 ? err.message
			: "rejected only by the naive implementation");
	if (result == 0 && keep) {
		cr_assert_eq(json_array_size(old), json_array_size(ops));
		cfgop_commit(&undo);
	} else if (result == 0) {
		cfgop_rollback(config, &undo);
	}
	after = cfgj_snapshot(config);
	cr_assert(json_equal(after, result == 0 && keep ? expected : before));
	if (result == 0) {
		json_decref(old);
		json_decref(new);
	}
	json_decref(before);
	json_decref(after);
	json_decref(expected);
	return result;
}

Test(config, random_changes_match_naive_implementation)
{
	struct config *config = cfg_create();
	unsigned seed = 20240601;
	int i, applied = 0;
	json_t *ops;

	for (i = 0; i < 20000; i++) {
		ops = random_ops(&seed);
		if (apply_and_compare(config, ops,
			random_below(&seed, 3) != 0) == 0)
			applied++;
		json_decref(ops);
		if (i % 1000 == 0)
			check_sorted(config);
	}
	cr_assert_gt(applied, 2000, "only %d of 20000 changes were applied",
	    applied);
	cfg_free(config);
}
