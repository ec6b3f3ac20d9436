/*
 * Commands "config show" and "config apply". A document is applied as one or
 * more changes of at most CLI_APPLY_OPS_MAX operations.
 */

#include <stdlib.h>
#include <string.h>

#include "client/cli_internal.h"
#include "core/config.h"

#define CLI_APPLY_OPS_MAX 250 /* operations in one change */

int
cli_send_change(struct cli *cli, json_t *ops, json_int_t base_version,
    const char *reason, json_int_t *version)
{
	struct cli_request request = { .method = EVHTTP_REQ_POST,
		.path = "/v1/config/changes" };
	struct cli_reply reply;
	json_t *body, *new_version;
	char id[CLI_CHANGE_ID_BYTES];
	int result = CLI_EXIT_OK;

	snprintf(id, sizeof(id), "cli-%08x%08x", arc4random(), arc4random());
	body =
	    json_pack("{s:s, s:s, s:o}", "id", id, "why", reason, "ops", ops);
	if (base_version >= 0)
		json_object_set_new(body, "base", json_integer(base_version));
	request.body = body;
	cli_call(cli, &request, &reply);
	new_version = json_object_get(reply.body, "version");
	if (reply.status != 200 || !json_is_integer(new_version)) {
		result = cli_report_failure(cli, &reply);
		if (result == CLI_EXIT_UNKNOWN)
			fprintf(cli->err,
			    "berylrail: change %s: outcome unknown; see "
			    "berylrail history\n",
			    id);
	} else {
		if (version != NULL)
			*version = json_integer_value(new_version);
		fprintf(cli->err, "version %lld\n",
		    (long long)json_integer_value(new_version));
	}
	cli_reply_clear(&reply);
	json_decref(body);
	return result;
}

/*
 * Appends a "put" operation for each object of a snapshot. Teams and services
 * come before the jobs that refer to them.
 */
static void
cli_add_snapshot_ops(const json_t *objects, json_t *ops)
{
	static const enum cfg_kind order[CFG_NKINDS] = { CFG_TEAM, CFG_SERVICE,
		CFG_SERVER, CFG_HOST, CFG_JOB };
	const char *name;
	json_t *item, *op;
	char plural[16];
	size_t i;

	for (i = 0; i < CFG_NKINDS; i++) {
		snprintf(plural, sizeof(plural), "%ss",
		    cfg_kind_name(order[i]));
		json_object_foreach (json_object_get(objects, plural), name,
		    item) {
			op = json_pack("{s:s, s:s, s:s}", "op", "put", "kind",
			    cfg_kind_name(order[i]), "name", name);
			json_object_update(op, item);
			json_array_append_new(ops, op);
		}
	}
}

/* Returns the operations of a document with "ops", "items" or "objects". */
static json_t *
cli_make_document_ops(const json_t *document)
{
	json_t *ops, *item, *op;
	size_t i;

	ops = json_object_get(document, "ops");
	if (json_is_array(ops))
		return json_incref(ops);
	ops = json_array();
	cli_add_snapshot_ops(json_object_get(document, "objects"), ops);
	json_array_foreach (json_object_get(document, "items"), i, item) {
		op = json_pack("{s:s}", "op", "put");
		json_object_update(op, item);
		json_array_append_new(ops, op);
	}
	return ops;
}

/* Sends the operations in changes of at most CLI_APPLY_OPS_MAX. */
static int
cli_send_ops(struct cli *cli, json_t *ops, json_int_t base_version,
    const char *reason)
{
	size_t i, first, n = json_array_size(ops);
	int result = CLI_EXIT_OK;
	json_t *part;

	if (n == 0) {
		fputs("berylrail: config apply: document has no ops, items or "
		      "objects\n",
		    cli->err);
		return CLI_EXIT_USAGE;
	}
	for (first = 0; first < n; first += CLI_APPLY_OPS_MAX) {
		part = json_array();
		for (i = first; i < n && i < first + CLI_APPLY_OPS_MAX; i++)
			json_array_append(part, json_array_get(ops, i));
		result = cli_send_change(cli, part, base_version, reason,
		    base_version >= 0 ? &base_version : NULL);
		if (result == CLI_EXIT_OK)
			continue;
		if (first > 0)
			fprintf(cli->err,
			    "berylrail: the first %zu of %zu operations were "
			    "applied; stopped at the error above\n",
			    first, n);
		break;
	}
	return result;
}

static int
cli_apply(struct cli *cli, int argc, char **argv)
{
	struct arg_str *file, *reason;
	struct cli_options options;
	json_t *document, *ops;
	struct arg_int *base_version;
	int result;

	void *table[3 + CLI_NOPTIONS] = {
		file = arg_str1("f", "file", "FILE",
		    "JSON with ops, items or objects; - for standard input"),
		base_version = arg_int0(NULL, "base", "VERSION",
		    "apply only if this is the newest version"),
		reason = arg_str0(NULL, "why", "TEXT",
		    "reason, recorded in the audit trail"),
	};

	cli_options_add(&options, table, 3);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result >= 0)
		goto out;
	result = CLI_EXIT_USAGE;
	document = cli_read_json(cli, file->sval[0]);
	if (document == NULL)
		goto out;
	ops = cli_make_document_ops(document);
	result = cli_send_ops(cli, ops,
	    base_version->count > 0 ? base_version->ival[0] : -1,
	    reason->count > 0 ? reason->sval[0] : "");
	json_decref(ops);
	json_decref(document);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

static int
cli_show(struct cli *cli, int argc, char **argv)
{
	struct cli_request request = { .method = EVHTTP_REQ_GET,
		.path = "/v1/config" };
	struct cli_options options;
	struct cli_reply reply;
	void *table[CLI_NOPTIONS];
	int result;

	cli_options_add(&options, table, 0);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result < 0) {
		result = CLI_EXIT_OK;
		cli_call(cli, &request, &reply);
		if (reply.status == 200 && reply.body != NULL)
			cli_print_json(cli, reply.body);
		else
			result = cli_report_failure(cli, &reply);
		cli_reply_clear(&reply);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

int
cli_config(struct cli *cli, int argc, char **argv)
{
	const char *name = argc > 1 ? argv[1] : "";

	if (strcmp(name, "apply") == 0)
		return cli_apply(cli, argc - 1, argv + 1);
	if (strcmp(name, "show") == 0)
		return cli_show(cli, argc - 1, argv + 1);
	fputs("berylrail: config: subcommand must be show or apply\n",
	    cli->err);
	return CLI_EXIT_USAGE;
}
