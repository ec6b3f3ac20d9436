/*
 * Command-line client: table of commands, and options common to them.
 */

#include <arpa/inet.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "client/cli_internal.h"

#define CLI_HOST_DEFAULT "127.0.0.1:8080"
#define CLI_TIMEOUT_MS 30000
#define CLI_BODY_BYTES_MAX (64U << 20)

static const struct cli_command cli_commands[] = {
	{ "get", cli_get, "services|jobs|servers|hosts|teams [NAME]" },
	{ "label", cli_label, "KIND NAME LABEL=VALUE... LABEL-..." },
	{ "drain", cli_drain,
	    "server|host NAME: mark as leaving; it gets no new work" },
	{ "undrain", cli_undrain,
	    "server|host NAME: no longer mark as leaving" },
	{ "config", cli_config, "show | apply -f FILE" },
	{ "history", cli_history, "audit trail of configuration changes" },
	{ "submit", cli_submit, "JOB [-f FILE | --tasks=N --body=TEXT]" },
	{ "cancel", cli_cancel, "ID: cancel a submission" },
	{ "explain", cli_explain, "ID [LOG...]: trace a request in the logs" },
	{ "status", cli_status, "[ID]: state of a submission or of the hosts" },
};

#define CLI_NCOMMANDS (sizeof(cli_commands) / sizeof(cli_commands[0]))

void
cli_options_add(struct cli_options *options, void **table, size_t n)
{
	options->server = arg_str0(NULL, "server", "ADDRESS:PORT,...",
	    "entry hosts (default: BERYLRAIL_SERVER)");
	options->operator_name = arg_str0(NULL, "operator", "NAME",
	    "name of the operator, recorded in the audit trail "
	    "(default: BERYLRAIL_OPERATOR)");
	options->output =
	    arg_str0("o", "output", "table|json", "output format");
	options->help = arg_lit0("h", "help", "show this help and exit");
	options->end = arg_end(8);
	table[n] = options->server;
	table[n + 1] = options->operator_name;
	table[n + 2] = options->output;
	table[n + 3] = options->help;
	table[n + 4] = options->end;
}

static int
cli_parse_endpoint(const char *text, size_t len, struct endpoint *endpoint)
{
	unsigned char address[sizeof(struct in6_addr)];
	char buf[80], *colon, *host = buf, *end;
	unsigned long port;

	if (strncmp(text, "http://", 7) == 0 && len > 7) {
		text += 7;
		len -= 7;
	}
	if (len == 0 || len >= sizeof(buf))
		return -1;
	memcpy(buf, text, len);
	buf[len] = '\0';
	colon = strrchr(buf, ':');
	if (colon == NULL || colon[1] < '0' || colon[1] > '9')
		return -1;
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port == 0 || port > UINT16_MAX)
		return -1;
	*colon = '\0';
	if (buf[0] == '[' && colon > buf + 1 && colon[-1] == ']') {
		colon[-1] = '\0';
		host++;
	}
	if (inet_pton(AF_INET, host, address) != 1 &&
	    inet_pton(AF_INET6, host, address) != 1)
		return -1;
	endpoint->port = (uint16_t)port;
	strlcpy(endpoint->address, host, sizeof(endpoint->address));
	return 0;
}

/* Creates an HTTP client for each address of a list separated by commas. */
static int
cli_create_clients(struct cli *cli, const char *list)
{
	struct hcl_params params = {
		.base = cli->base,
		.timeout_ms = CLI_TIMEOUT_MS,
		.connections_max = 1,
		.waiting_max = 1,
		.response_bytes_max = CLI_BODY_BYTES_MAX,
	};
	size_t len;

	while (*list != '\0') {
		len = strcspn(list, ",");
		if (cli->nhosts == CLI_HOSTS_MAX ||
		    cli_parse_endpoint(list, len, &params.endpoint) != 0) {
			fprintf(cli->err,
			    "berylrail: server: \"%.*s\" is not ADDRESS:PORT "
			    "with a numeric IP address\n",
			    (int)len, list);
			return CLI_EXIT_USAGE;
		}
		cli->hosts[cli->nhosts] = hcl_create(&params);
		if (cli->hosts[cli->nhosts] == NULL)
			return CLI_EXIT_UNAVAILABLE;
		cli->nhosts++;
		list += len + (list[len] == ',');
	}
	if (cli->nhosts == 0) {
		fputs("berylrail: server: the list is empty\n", cli->err);
		return CLI_EXIT_USAGE;
	}
	return -1;
}

int
cli_options_parse(struct cli *cli, struct cli_options *options, void **table,
    int argc, char **argv)
{
	const char *list, *name, *output;
	int nerrors;

	nerrors = arg_parse(argc, argv, table);
	if (options->help->count > 0) {
		fprintf(cli->out, "usage: berylrail %s", argv[0]);
		arg_print_syntax(cli->out, table, "\n");
		arg_print_glossary(cli->out, table, "  %-30s %s\n");
		return CLI_EXIT_OK;
	}
	if (nerrors > 0) {
		arg_print_errors(cli->err, options->end, argv[0]);
		return CLI_EXIT_USAGE;
	}
	output =
	    options->output->count > 0 ? options->output->sval[0] : "table";
	if (strcmp(output, "json") != 0 && strcmp(output, "table") != 0) {
		fprintf(cli->err, "berylrail: output: must be table or json\n");
		return CLI_EXIT_USAGE;
	}
	cli->json = strcmp(output, "json") == 0;
	name = options->operator_name->count > 0
	    ? options->operator_name->sval[0]
	    : getenv("BERYLRAIL_OPERATOR");
	cli->operator_name = name != NULL ? name : getenv("USER");
	list = options->server->count > 0 ? options->server->sval[0]
					  : getenv("BERYLRAIL_SERVER");
	return cli_create_clients(cli, list != NULL ? list : CLI_HOST_DEFAULT);
}

static void
cli_print_usage(FILE *to)
{
	size_t i;

	fputs("usage: berylrail COMMAND [--server=ADDRESS:PORT,...] ...\n\n",
	    to);
	for (i = 0; i < CLI_NCOMMANDS; i++)
		fprintf(to, "  %-8s %s\n", cli_commands[i].name,
		    cli_commands[i].help);
	fputs(
	    "\nberylrail COMMAND --help shows a command's options.\n"
	    "exit codes: 0 success, 1 failed, 2 usage, 3 outcome unknown,\n"
	    "4 not run, 5 conflict, 69 unavailable, nothing has taken effect\n",
	    to);
}

int
cli_main(int argc, char **argv, FILE *out, FILE *err)
{
	struct cli cli = { .out = out, .err = err };
	const char *name = argc > 1 ? argv[1] : "";
	int result = CLI_EXIT_USAGE;
	size_t i;

	if (strcmp(name, "--help") == 0 || strcmp(name, "-h") == 0) {
		cli_print_usage(out);
		return CLI_EXIT_OK;
	}
	if (strcmp(name, "--version") == 0) {
		fprintf(out, "berylrail %s\n", BERYLRAIL_VERSION);
		return CLI_EXIT_OK;
	}
	for (i = 0; i < CLI_NCOMMANDS; i++) {
		if (strcmp(cli_commands[i].name, name) == 0)
			break;
	}
	if (i == CLI_NCOMMANDS) {
		cli_print_usage(err);
		return CLI_EXIT_USAGE;
	}
	cli.base = event_base_new();
	if (cli.base == NULL)
		return CLI_EXIT_UNAVAILABLE;
	result = cli_commands[i].run(&cli, argc - 1, argv + 1);
	for (i = 0; i < cli.nhosts; i++)
		hcl_destroy(cli.hosts[i]);
	event_base_free(cli.base);
	return result;
}
