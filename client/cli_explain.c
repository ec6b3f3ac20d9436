/*
 * Command "explain": the trace of one request in the logs of all hosts.
 */

#include <string.h>

#include "client/cli_internal.h"
#include "client/explain.h"

#define CLI_LOGS_MAX 256 /* log files on one command line */

static int
cli_explain_read(struct cli *cli, struct explain *explain, const char *name)
{
	FILE *log = strcmp(name, "-") == 0 ? stdin : fopen(name, "r");
	int rc = -1;

	if (log != NULL)
		rc = explain_read(explain, log);
	if (rc == -1)
		fprintf(cli->err, "berylrail: can't read %s\n", name);
	if (log != NULL && log != stdin)
		fclose(log);
	return rc;
}

static int
cli_explain_logs(struct cli *cli, const char *id, const struct arg_file *logs)
{
	struct explain *explain = explain_create(id);
	int result = CLI_EXIT_OK;
	int i;

	if (logs->count == 0 && cli_explain_read(cli, explain, "-") == -1)
		result = CLI_EXIT_FAILED;
	for (i = 0; i < logs->count; i++) {
		if (cli_explain_read(cli, explain, logs->filename[i]) == -1)
			result = CLI_EXIT_FAILED;
	}
	if (explain_print(explain, cli->out) == 0) {
		fprintf(cli->err, "berylrail: no log line for request %s\n",
		    id);
		result = CLI_EXIT_FAILED;
	}
	explain_destroy(explain);
	return result;
}

int
cli_explain(struct cli *cli, int argc, char **argv)
{
	struct arg_file *logs;
	struct arg_lit *help;
	struct arg_str *id;
	struct arg_end *end;
	int result = CLI_EXIT_OK;

	void *table[] = {
		id = arg_str1(NULL, NULL, "ID", "id of the request"),
		logs = arg_filen(NULL, NULL, "LOG", 0, CLI_LOGS_MAX,
		    "logs of all hosts; default: standard input"),
		help = arg_lit0("h", "help", "show this help and exit"),
		end = arg_end(8),
	};

	if (arg_parse(argc, argv, table) > 0 && help->count == 0) {
		arg_print_errors(cli->err, end, argv[0]);
		result = CLI_EXIT_USAGE;
	} else if (help->count > 0) {
		fprintf(cli->out, "usage: berylrail %s", argv[0]);
		arg_print_syntax(cli->out, table, "\n");
		arg_print_glossary(cli->out, table, "  %-30s %s\n");
	} else {
		result = cli_explain_logs(cli, id->sval[0], logs);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
