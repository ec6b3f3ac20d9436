#ifndef CLIENT_CLI_INTERNAL_H
#define CLIENT_CLI_INTERNAL_H

#include <argtable2.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "adapters/http_client.h"
#include "client/cli.h"

#define CLI_HOSTS_MAX 32
#define CLI_CHANGE_ID_BYTES 32 /* with the NUL */

/* struct cli - state of one run of the client. */
struct cli {
	FILE *out;
	FILE *err;
	struct event_base *base;
	struct hcl *hosts[CLI_HOSTS_MAX];
	size_t nhosts;
	size_t current_host; /* index of the host to call next */
	const char *operator_name;
	bool json; /* -o json */
};

/* struct cli_request - a request to any of the entry hosts. */
struct cli_request {
	enum evhttp_cmd_type method;
	const char *path;
	const json_t *body;  /* may be NULL */
	uint32_t timeout_ms; /* 0: CLI_TIMEOUT_MS */
};

/* struct cli_reply - result of a request; freed by cli_reply_clear(). */
struct cli_reply {
	int status;	/* HTTP status; 0: no complete response */
	bool sent;	/* a host may have received a part */
	json_t *body;	/* NULL if it is not JSON */
	char text[256]; /* error, if status is 0 */
};

/*
 * cli_call() - send a request to the entry hosts in turn until one returns a
 * final response, at most CLI_ROUNDS_MAX times to each. All requests of this
 * client are safe to repeat: they only read, or carry a ticket or the id of a
 * change.
 */
void cli_call(struct cli *cli, const struct cli_request *request,
    struct cli_reply *reply);
void cli_reply_clear(struct cli_reply *reply);

/* cli_call_host() - send a request once, to the entry host with index @host. */
void cli_call_host(struct cli *cli, size_t host,
    const struct cli_request *request, struct cli_reply *reply);

/* cli_report_failure() - print the error of @reply. Return: the exit code. */
int cli_report_failure(struct cli *cli, const struct cli_reply *reply);

/* cli_make_path() - @prefix, @name in URI encoding, @suffix; to be freed. */
char *cli_make_path(const char *prefix, const char *name, const char *suffix);

/* cli_print_json() - print an indented document and a newline. */
void cli_print_json(struct cli *cli, const json_t *json);

/* struct cli_table - text in rows and columns. */
struct cli_table {
	json_t *rows; /* array of arrays of strings; the first is the header */
	json_t *row;  /* the last row, borrowed */
};

/* cli_table_add_row() - append an empty row. */
void cli_table_add_row(struct cli_table *table);

/* cli_table_add_cell() - append a formatted cell to the last row. */
void cli_table_add_cell(struct cli_table *table, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* cli_table_print() - print the rows and free them. */
void cli_table_print(struct cli_table *table, FILE *out);

/* cli_format_labels() - format labels as "a=1,b"; to be freed. */
char *cli_format_labels(const json_t *labels);

/* Options of all commands that call entry hosts. */
struct cli_options {
	struct arg_str *server;
	struct arg_str *operator_name;
	struct arg_str *output;
	struct arg_lit *help;
	struct arg_end *end;
};

/* cli_options_add() - add the common options to @table from index @n. */
void cli_options_add(struct cli_options *options, void **table, size_t n);

/* Number of entries that cli_options_add() sets. */
#define CLI_NOPTIONS 5

/*
 * cli_options_parse() - parse the command line and create the HTTP clients.
 * Return: -1 to continue, otherwise the exit code.
 */
int cli_options_parse(struct cli *cli, struct cli_options *options,
    void **table, int argc, char **argv);

/* struct cli_command - one command; the argv[0] of run() is its name. */
struct cli_command {
	const char *name;
	int (*run)(struct cli *cli, int argc, char **argv);
	const char *help;
};

int cli_get(struct cli *cli, int argc, char **argv);
int cli_explain(struct cli *cli, int argc, char **argv);
int cli_label(struct cli *cli, int argc, char **argv);
int cli_drain(struct cli *cli, int argc, char **argv);
int cli_undrain(struct cli *cli, int argc, char **argv);
int cli_config(struct cli *cli, int argc, char **argv);
int cli_history(struct cli *cli, int argc, char **argv);
int cli_submit(struct cli *cli, int argc, char **argv);
int cli_cancel(struct cli *cli, int argc, char **argv);
int cli_status(struct cli *cli, int argc, char **argv);

/*
 * cli_send_change() - send a change of the configuration.
 * @ops: array of operations; the reference is consumed.
 * @base_version: version to which the change applies, or -1 for the newest.
 * @version: set to the resulting version, unless NULL.
 * Return: the exit code.
 */
int cli_send_change(struct cli *cli, json_t *ops, json_int_t base_version,
    const char *reason, json_int_t *version);

/*
 * cli_read_json() - parse a file, or standard input for "-".
 * Return: NULL after an error, which is printed.
 */
json_t *cli_read_json(struct cli *cli, const char *file);

#endif /* CLIENT_CLI_INTERNAL_H */
