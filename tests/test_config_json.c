/*
 * Tests of the conversion of configuration objects from and to JSON, and of the
 * operations of a change.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "entry/config_json.h"
#include "entry/config_ops.h"

static struct config *config;
static struct err err;

/* Applies operations given as JSON text; returns 0, or -1 and sets err. */
static int
apply(const char *text)
{
	struct cfgop_undo undo;
	json_t *ops;
	int result;

	ops = cfgj_load(text, strlen(text), &err);
	cr_assert_not_null(ops, "%s", err.message);
	result = cfgop_apply(config, ops, &undo, NULL, NULL, &err);
	if (result == 0)
		cfgop_commit(&undo);
	json_decref(ops);
	return result;
}

static void
setup(void)
{
	config = cfg_create();
}

static void
teardown(void)
{
	cfg_free(config);
}

TestSuite(config_json, .init = setup, .fini = teardown);

#define SERVICE(name)                                                          \
	"{\"op\":\"put\",\"kind\":\"service\",\"name\":\"" name "\",\"spec\":" \
	"{\"path\":\"/run\",\"selector\":\"service=" name "\"}}"
#define JOB(name, members)                                                  \
	"{\"op\":\"put\",\"kind\":\"job\",\"name\":\"" name "\",\"spec\":{" \
	"\"service\":\"booth\"" members "}}"
#define SERVER(labels, members)                                               \
	"{\"op\":\"put\",\"kind\":\"server\",\"name\":\"s1\",\"labels\":"     \
	"{" labels "},\"spec\":{\"address\":\"10.0.0.1\",\"port\":80,\"az\":" \
	"\"surat\"" members "}}"

Test(config_json, defaults_and_derived_labels_are_set)
{
	const struct cfg_object *server, *job;

	cr_assert_eq(apply("[" SERVICE("booth") "," JOB("wax",
			 "") "," SERVER("\"rack\":\"r1\"", "") "]"),
	    0, "%s", err.message);
	server = cfg_find(config, CFG_SERVER, "s1");
	cr_assert_eq(server->u.server.slots, 8);
	cr_assert_eq(server->u.server.connections, 64);
	cr_assert_str_eq(lbl_get(&server->labels, "az"), "surat");
	cr_assert_str_eq(lbl_get(&server->labels, "name"), "s1");
	cr_assert_str_eq(lbl_get(&server->labels, "rack"), "r1");
	job = cfg_find(config, CFG_JOB, "wax");
	cr_assert(!job->u.job.repeatable);
	cr_assert_null(job->u.job.selector);
	cr_assert_eq(job->u.job.timeout_ms, 10000);
}

Test(config_json, snapshot_round_trips)
{
	struct config *copy;
	json_t *first, *second;

	cr_assert_eq(apply("[" SERVICE("booth") "," JOB("wax",
			 ",\"repeatable\":true,\"hedge\":true,\"selector\":"
			 "\"gen=2\"") "," SERVER("\"fast\":\"\"",
			 ",\"slots\":3") ","
					 "{\"op\":\"put\",\"kind\":\"host\","
					 "\"name\":\"h1\",\"spec\":{"
					 "\"az\":\"surat\",\"address\":\"::1\","
					 "\"peer_port\":9}}]"),
	    0, "%s", err.message);
	config->version = 7;
	first = cfgj_snapshot(config);
	copy = cfgj_snapshot_parse(first, &err);
	cr_assert_not_null(copy, "%s", err.message);
	second = cfgj_snapshot(copy);
	cr_assert(json_equal(first, second));
	cr_assert_eq(copy->version, 7);
	json_decref(first);
	json_decref(second);
	cfg_free(copy);
}

Test(config_json, invalid_operations_are_rejected_without_effect)
{
	static const char *const invalid[] = {
		"[]",
		"[1]",
		"[{\"op\":\"put\",\"kind\":\"car\",\"name\":\"a\"}]",
		"[{\"op\":\"move\",\"kind\":\"team\",\"name\":\"a\"}]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"a b\"}]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"\"}]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"a/b\"}]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"a\",\"x\":1}]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"a\",\"spec\":{"
		"\"running_max\":-1}}]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"a\",\"spec\":{"
		"\"running_max\":1.5}}]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"a\",\"spec\":[]}"
		"]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"a\",\"labels\":{"
		"\"n\":1}}]",
		"[{\"op\":\"put\",\"kind\":\"service\",\"name\":\"a\"}]",
		"[{\"op\":\"put\",\"kind\":\"service\",\"name\":\"a\",\"spec\":"
		"{"
		"\"selector\":\"a=(\"}}]",
		"[{\"op\":\"put\",\"kind\":\"service\",\"name\":\"a\",\"spec\":"
		"{"
		"\"selector\":\"a\",\"path\":\"run\"}}]",
		"[{\"op\":\"put\",\"kind\":\"service\",\"name\":\"a\",\"spec\":"
		"{"
		"\"selector\":\"a\",\"path\":\"/a\\r\\nX: y\"}}]",
		"[" JOB("j", ",\"service\":\"none\"") "]",
		"[" JOB("j", ",\"team\":\"none\"") "]",
		"[" JOB("j", ",\"hedge\":true") "]",
		"[" JOB("j", ",\"repeatable\":1") "]",
		"[" JOB("j", ",\"deadline_ms\":0") "]",
		"[" JOB("j", ",\"colour\":\"red\"") "]",
		"[" SERVER("", ",\"port\":0") "]",
		"[" SERVER("", ",\"port\":65536") "]",
		"[" SERVER("", ",\"address\":\"host.example\"") "]",
		"[" SERVER("\"az\":\"other\"", "") "]",
		"[" SERVER("\"a b\":\"x\"", "") "]",
		"[{\"op\":\"delete\",\"kind\":\"team\",\"name\":\"none\"}]",
		"[{\"op\":\"label\",\"kind\":\"team\",\"name\":\"none\"}]",
		"[{\"op\":\"label\",\"kind\":\"team\",\"name\":\"t\",\"set\":1}"
		"]",
		"[{\"op\":\"delete\",\"kind\":\"service\",\"name\":\"booth\"}]",
		"[{\"op\":\"delete\",\"kind\":\"team\",\"name\":\"t\"}]",
		"[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"u\"},"
		"{\"op\":\"delete\",\"kind\":\"team\",\"name\":\"none\"}]",
	};
	json_t *before, *after;
	size_t i;

	cr_assert_eq(
	    apply("[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"t\"}," SERVICE(
		"booth") "," JOB("wax", ",\"team\":\"t\"") "]"),
	    0, "%s", err.message);
	before = cfgj_snapshot(config);
	for (i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		const char *text = invalid[i];
		json_t *ops = json_loads(text, 0, NULL);
		struct cfgop_undo undo;

		cr_assert_eq(cfgop_apply(config, ops, &undo, NULL, NULL, &err),
		    -1, "%s", text);
		cr_assert_str_not_empty(err.message);
		json_decref(ops);
	}
	after = cfgj_snapshot(config);
	cr_assert(json_equal(before, after));
	json_decref(before);
	json_decref(after);
}

Test(config_json, labels_above_the_limit_are_rejected)
{
	char text[4096] = "[{\"op\":\"put\",\"kind\":\"team\",\"name\":\"t\","
			  "\"labels\":{";
	size_t i;

	for (i = 0; i < LABELS_MAX; i++)
		snprintf(text + strlen(text), sizeof(text) - strlen(text),
		    "%s\"l%zu\":\"\"", i > 0 ? "," : "", i);
	strcat(text, "}}]");
	cr_assert_eq(apply(text), 0);
	cr_assert_eq(apply("[{\"op\":\"label\",\"kind\":\"team\",\"name\":\"t\""
			   ",\"set\":{\"more\":\"\"}}]"),
	    -1);
	cr_assert_eq(err.code, ERR_TOO_LARGE);
	cr_assert_eq(apply("[{\"op\":\"label\",\"kind\":\"team\",\"name\":\"t\""
			   ",\"set\":{\"more\":\"\"},\"unset\":[\"l1\"]}]"),
	    0);
}

Test(config_json, deep_nesting_and_duplicate_members_are_rejected)
{
	char deep[64] = "";
	int i;

	for (i = 0; i <= JSON_DEPTH_MAX; i++)
		strcat(deep, "[");
	for (i = 0; i <= JSON_DEPTH_MAX; i++)
		strcat(deep, "]");
	cr_assert_null(cfgj_load(deep, strlen(deep), &err));
	cr_assert_eq(err.code, ERR_TOO_LARGE);
	cr_assert_null(cfgj_load("{\"a\":1,\"a\":2}", 13, &err));
	cr_assert_null(cfgj_load("{", 1, &err));
	cr_assert_eq(err.step, ERR_STEP_PARSE);
}

Test(config_json, change_requests_are_validated)
{
	static const char *const invalid[] = { "", "[]", "{}", "{\"ops\":[]}",
		"{\"id\":\"\",\"ops\":[]}", "{\"id\":\"a b\",\"ops\":[]}",
		"{\"id\":\"a\"}", "{\"id\":\"a\",\"ops\":{}}",
		"{\"id\":\"a\",\"ops\":[],\"base\":-1}",
		"{\"id\":\"a\",\"ops\":[],\"base\":\"1\"}",
		"{\"id\":\"a\",\"ops\":[],\"why\":1}",
		"{\"id\":\"a\",\"ops\":[],\"who\":\"x\"}",
		"{\"id\":\"a\\u0000b\",\"ops\":[]}" };
	static const char valid[] = "{\"id\":\"a\",\"base\":0,\"why\":\"w\","
				    "\"ops\":[1]}";
	struct cfgop_change change;
	size_t i;

	for (i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		cr_assert_eq(cfgop_change_parse(&change, invalid[i],
				 strlen(invalid[i]), &err),
		    -1, "%s", invalid[i]);
	cr_assert_eq(
	    cfgop_change_parse(&change, valid, sizeof(valid) - 1, &err), 0);
	cr_assert(change.has_base);
	cr_assert_str_eq(change.reason, "w");
	cfgop_change_clear(&change);
}
