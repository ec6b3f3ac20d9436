/*
 * Commands that read the configuration or its history, or change labels.
 */

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "client/cli_internal.h"
#include "core/config.h"

/* Prints objects of one kind as a table. */
static void
cli_print_items(struct cli *cli, const json_t *items)
{
	struct cli_table table = { NULL, NULL };
	json_t *item, *spec, *value;
	const char *member;
	char *text;
	size_t i;

	json_array_foreach (items, i, item) {
		spec = json_object_get(item, "spec");
		if (i == 0) {
			cli_table_add_row(&table);
			cli_table_add_cell(&table, "NAME");
			json_object_foreach (spec, member, value)
				cli_table_add_cell(&table, "%s", member);
			cli_table_add_cell(&table, "LABELS");
		}
		cli_table_add_row(&table);
		cli_table_add_cell(&table, "%s",
		    json_string_value(json_object_get(item, "name")));
		json_object_foreach (spec, member, value) {
			if (json_is_string(value))
				cli_table_add_cell(&table, "%s",
				    json_string_length(value) > 0
					? json_string_value(value)
					: "-");
			else if (json_is_integer(value))
				cli_table_add_cell(&table, "%lld",
				    (long long)json_integer_value(value));
			else
				cli_table_add_cell(&table, "%s",
				    json_is_true(value) ? "yes" : "no");
		}
		text = cli_format_labels(json_object_get(item, "labels"));
		cli_table_add_cell(&table, "%s", text);
		free(text);
	}
	if (table.rows == NULL)
		fputs("none\n", cli->err);
	else
		cli_table_print(&table, cli->out);
}

/* Returns "/v1/config/KINDs/NAME" or "/v1/config/KINDs?selector=...". */
static char *
cli_get_path(enum cfg_kind kind, const char *name, const char *selector)
{
	char *path, *prefix;

	if (asprintf(&prefix, "/v1/config/%ss%s", cfg_kind_name(kind),
		name != NULL	       ? "/"
		    : selector != NULL ? "?selector="
				       : "") < 0)
		abort();
	path = cli_make_path(prefix,
	    name != NULL	   ? name
		: selector != NULL ? selector
				   : "",
	    "");
	free(prefix);
	return path;
}

/* Requests @path, and prints the objects of the reply. */
static int
cli_print_objects(struct cli *cli, const char *path, bool single)
{
	struct cli_request request = { .method = EVHTTP_REQ_GET, .path = path };
	struct cli_reply reply;
	json_t *items;
	int result = CLI_EXIT_OK;

	cli_call(cli, &request, &reply);
	if (reply.status != 200 || reply.body == NULL) {
		result = cli_report_failure(cli, &reply);
	} else if (cli->json) {
		cli_print_json(cli, reply.body);
	} else if (single) {
		items = json_pack("[O]", reply.body);
		cli_print_items(cli, items);
		json_decref(items);
	} else {
		cli_print_items(cli, json_object_get(reply.body, "items"));
	}
	cli_reply_clear(&reply);
	return result;
}

int
cli_get(struct cli *cli, int argc, char **argv)
{
	struct arg_str *kind_name, *name, *selector;
	struct cli_options options;
	enum cfg_kind kind;
	char *path;
	int result;

	void *table[3 + CLI_NOPTIONS] = {
		kind_name = arg_str1(NULL, NULL, "KIND",
		    "services, jobs, servers, hosts or teams"),
		name = arg_str0(NULL, NULL, "NAME", "a single object"),
		selector = arg_str0("l", "selector", "SELECTOR",
		    "label selector, such as az=surat,!leaving"),
	};

	cli_options_add(&options, table, 3);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result >= 0)
		goto out;
	result = CLI_EXIT_USAGE;
	if (cfg_kind_from_name(kind_name->sval[0], &kind) != 0 ||
	    (name->count > 0 && selector->count > 0)) {
		fputs("berylrail: get: KIND is services, jobs, servers, hosts "
		      "or teams, with NAME or --selector\n",
		    cli->err);
		goto out;
	}
	path = cli_get_path(kind, name->count > 0 ? name->sval[0] : NULL,
	    selector->count > 0 ? selector->sval[0] : NULL);
	result = cli_print_objects(cli, path, name->count > 0);
	free(path);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

/*
 * Returns a "label" operation from arguments of the form "name=value" or
 * "name-", or NULL if one is invalid.
 */
static json_t *
cli_make_label_op(const char *kind, const char *name, const char **edits, int n)
{
	json_t *set = json_object(), *unset = json_array();
	char edit[256], *equals;
	size_t len;
	int i;

	for (i = 0; i < n; i++) {
		len = strlcpy(edit, edits[i], sizeof(edit));
		equals = strchr(edit, '=');
		if (len >= sizeof(edit) || len == 0 ||
		    (equals == NULL && edit[len - 1] != '-')) {
			json_decref(set);
			json_decref(unset);
			return NULL;
		}
		if (equals != NULL) {
			*equals = '\0';
			json_object_set_new(set, edit, json_string(equals + 1));
		} else {
			edit[len - 1] = '\0';
			json_array_append_new(unset, json_string(edit));
		}
	}
	return json_pack("{s:s, s:s, s:s, s:o, s:o}", "op", "label", "kind",
	    kind, "name", name, "set", set, "unset", unset);
}

/* Sends one label operation. */
static int
cli_send_label_op(struct cli *cli, const char *kind_name, const char *name,
    const char **edits, int nedits, const char *reason)
{
	enum cfg_kind kind;
	json_t *op;

	op = cfg_kind_from_name(kind_name, &kind) != 0
	    ? NULL
	    : cli_make_label_op(cfg_kind_name(kind), name, edits, nedits);
	if (op == NULL) {
		fputs("berylrail: KIND is service, job, server, host or team; "
		      "a label is NAME=VALUE, or NAME- to remove it\n",
		    cli->err);
		return CLI_EXIT_USAGE;
	}
	return cli_send_change(cli, json_pack("[o]", op), -1, reason, NULL);
}

int
cli_label(struct cli *cli, int argc, char **argv)
{
	struct arg_str *kind, *name, *edits, *reason;
	struct cli_options options;
	int result;

	void *table[4 + CLI_NOPTIONS] = {
		kind = arg_str1(NULL, NULL, "KIND",
		    "service, job, server, host or team"),
		name = arg_str1(NULL, NULL, "NAME", "name of the object"),
		edits = arg_strn(NULL, NULL, "LABEL", 1, 64,
		    "NAME=VALUE sets a label, NAME- removes it"),
		reason = arg_str0(NULL, "why", "TEXT",
		    "reason, recorded in the audit trail"),
	};

	cli_options_add(&options, table, 4);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result < 0)
		result = cli_send_label_op(cli, kind->sval[0], name->sval[0],
		    edits->sval, edits->count,
		    reason->count > 0 ? reason->sval[0] : "");
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

/* Sends one label operation on a server or host; @edit is as on the command
 * line. */
static int
cli_set_leaving(struct cli *cli, int argc, char **argv, const char *edit)
{
	struct arg_str *kind, *name, *reason;
	struct cli_options options;
	int result;

	void *table[3 + CLI_NOPTIONS] = {
		kind = arg_str1(NULL, NULL, "KIND", "server or host"),
		name = arg_str1(NULL, NULL, "NAME", "name of the object"),
		reason = arg_str0(NULL, "why", "TEXT",
		    "reason, recorded in the audit trail"),
	};

	cli_options_add(&options, table, 3);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result < 0 && strcmp(kind->sval[0], "server") != 0 &&
	    strcmp(kind->sval[0], "host") != 0) {
		fprintf(cli->err,
		    "berylrail: %s: KIND is server or host, not \"%s\"\n",
		    argv[0], kind->sval[0]);
		result = CLI_EXIT_USAGE;
	}
	if (result < 0)
		result = cli_send_label_op(cli, kind->sval[0], name->sval[0],
		    &edit, 1, reason->count > 0 ? reason->sval[0] : argv[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

int
cli_drain(struct cli *cli, int argc, char **argv)
{
	return cli_set_leaving(cli, argc, argv, "leaving=true");
}

int
cli_undrain(struct cli *cli, int argc, char **argv)
{
	return cli_set_leaving(cli, argc, argv, "leaving-");
}

/* Formats up to three operations as "put server/s1, label host/h2". */
static char *
cli_format_ops(const json_t *ops)
{
	char *text = NULL;
	size_t i, len = 0;
	FILE *stream;
	json_t *op;

	stream = open_memstream(&text, &len);
	if (stream == NULL)
		abort();
	json_array_foreach (ops, i, op) {
		if (i == 3) {
			fprintf(stream, ", and %zu more",
			    json_array_size(ops) - i);
			break;
		}
		fprintf(stream, "%s%s %s/%s", i > 0 ? ", " : "",
		    json_string_value(json_object_get(op, "op")),
		    json_string_value(json_object_get(op, "kind")),
		    json_string_value(json_object_get(op, "name")));
	}
	fclose(stream);
	return text;
}

static void
cli_add_history_row(struct cli_table *table, const json_t *change)
{
	const char *operator_name = "", *host = "", *reason = "";
	json_int_t version = 0, when_ms = 0;
	char *ops, when[32];
	time_t seconds;
	struct tm tm;

	(void)json_unpack((json_t *)change, "{s:I, s:I, s:s, s:s, s:s}",
	    "version", &version, "when_ms", &when_ms, "who", &operator_name,
	    "host", &host, "why", &reason);
	seconds = (time_t)(when_ms / 1000);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ",
	    gmtime_r(&seconds, &tm));
	ops = cli_format_ops(json_object_get(change, "ops"));
	cli_table_add_row(table);
	cli_table_add_cell(table, "%lld", (long long)version);
	cli_table_add_cell(table, "%s", when);
	cli_table_add_cell(table, "%s", operator_name);
	cli_table_add_cell(table, "%s", host);
	cli_table_add_cell(table, "%s", reason);
	cli_table_add_cell(table, "%s", ops);
	free(ops);
}

/* Requests changes after version @after, and prints them. */
static int
cli_print_history(struct cli *cli, int after, int limit)
{
	static const char *const head[] = { "VERSION", "WHEN", "WHO", "HOST",
		"WHY", "CHANGES" };
	struct cli_request request = { .method = EVHTTP_REQ_GET };
	struct cli_table table = { NULL, NULL };
	struct cli_reply reply;
	int result = CLI_EXIT_OK;
	json_t *change;
	char path[96];
	size_t i;

	snprintf(path, sizeof(path), "/v1/config/history?after=%d&limit=%d",
	    after, limit);
	request.path = path;
	cli_call(cli, &request, &reply);
	if (reply.status != 200 || reply.body == NULL) {
		result = cli_report_failure(cli, &reply);
	} else if (cli->json) {
		cli_print_json(cli, reply.body);
	} else {
		cli_table_add_row(&table);
		for (i = 0; i < sizeof(head) / sizeof(head[0]); i++)
			cli_table_add_cell(&table, "%s", head[i]);
		json_array_foreach (json_object_get(reply.body, "changes"), i,
		    change)
			cli_add_history_row(&table, change);
		cli_table_print(&table, cli->out);
	}
	cli_reply_clear(&reply);
	return result;
}

int
cli_history(struct cli *cli, int argc, char **argv)
{
	struct arg_int *after, *limit;
	struct cli_options options;
	int result;

	void *table[2 + CLI_NOPTIONS] = {
		after = arg_int0(NULL, "after", "VERSION",
		    "changes after this version"),
		limit =
		    arg_int0(NULL, "limit", "N", "maximum number of changes"),
	};

	cli_options_add(&options, table, 2);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result < 0)
		result = cli_print_history(cli,
		    after->count > 0 ? after->ival[0] : 0,
		    limit->count > 0 ? limit->ival[0] : 50);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
