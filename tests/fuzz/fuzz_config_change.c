/*
 * Fuzz target: requests to change the configuration. A valid request is applied
 * to a small configuration and rolled back; the configuration must then be
 * unchanged.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "entry/config_json.h"
#include "entry/config_ops.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static struct config *
fuzz_config(void)
{
	static const char text[] =
	    "{\"version\":1,\"objects\":{\"services\":{\"booth\":{\"spec\":{"
	    "\"selector\":\"a=x\"}}},\"teams\":{\"t\":{}},\"jobs\":{\"wax\":{"
	    "\"spec\":{\"service\":\"booth\",\"team\":\"t\"}}}}}";
	struct config *config;
	struct err err;
	json_t *json;

	json = cfgj_load(text, sizeof(text) - 1, &err);
	config = cfgj_snapshot_parse(json, &err);
	json_decref(json);
	return config;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct config *config = fuzz_config();
	json_t *snapshot_before, *snapshot_after, *old_objects, *new_objects;
	struct cfgop_change change;
	struct cfgop_undo undo;
	struct err err;

	if (cfgop_change_parse(&change, (const char *)data, size, &err) == 0) {
		snapshot_before = cfgj_snapshot(config);
		if (cfgop_apply(config, change.ops, &undo, &old_objects,
			&new_objects, &err) == 0) {
			cfgop_rollback(config, &undo);
			json_decref(old_objects);
			json_decref(new_objects);
		}
		snapshot_after = cfgj_snapshot(config);
		if (!json_equal(snapshot_before, snapshot_after))
			abort();
		json_decref(snapshot_before);
		json_decref(snapshot_after);
		cfgop_change_clear(&change);
	}
	cfg_free(config);
	return 0;
}
