/*
 * Requests for changes of the configuration: parsed, applied to a small
 * configuration and undone, which must leave it as it was.
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
	json_t *first, *last, *before, *after;
	struct cfgop_change change;
	struct cfgop_undo undo;
	struct err err;

	if (cfgop_change_parse(&change, (const char *)data, size, &err) == 0) {
		first = cfgj_snapshot(config);
		if (cfgop_apply(config, change.ops, &undo, &before, &after,
			&err) == 0) {
			cfgop_rollback(config, &undo);
			json_decref(before);
			json_decref(after);
		}
		last = cfgj_snapshot(config);
		if (!json_equal(first, last))
			abort();
		json_decref(first);
		json_decref(last);
		cfgop_change_clear(&change);
	}
	cfg_free(config);
	return 0;
}
