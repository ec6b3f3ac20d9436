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
#define CLI_CHANGE_ID_BYTES \
	32 /* bytes of a change id made here, with the NUL */

/* struct cli - one run of the client. */
struct cli {
	FILE *out;
	FILE *err;
	struct event_base *base;
	struct hcl *hosts[CLI_HOSTS_MAX];
	size_t nhosts;
	size_t current_host; /* server that answered last */
	const char *operator_name;
	bool json; /* -o json */
};

/* struct cli_request - a call to any of the servers. */
struct cli_request {
	enum evhttp_cmd_type method;
	const char *path;
	const json_t *body;  /* may be NULL */
	uint32_t timeout_ms; /* 0: the client's */
};

/* struct cli_reply - its end; cli_reply_clear() frees it. */
struct cli_reply {
	int status;	/* 0: no whole answer from any server */
	bool sent;	/* a byte may have reached a server */
	json_t *body;	/* NULL if it is no JSON */
	char text[256]; /* why there is no answer */
};

/*
 * cli_call() - call the servers in turn until one answers. All calls of this
 * client are safe to repeat: they read, or carry a ticket or a change id.
 */
void cli_call(struct cli *cli, const struct cli_request *request,
    struct cli_reply *reply);
void cli_reply_clear(struct cli_reply *reply);

/* cli_call_host() - call one server only. */
void cli_call_host(struct cli *cli, size_t host,
    const struct cli_request *request, struct cli_reply *reply);

/* cli_fail() - report a reply that is no success; returns the exit code. */
int cli_report_failure(struct cli *cli, const struct cli_reply *reply);

/* cli_path() - "FORMAT" with each %s encoded for a path; to be freed. */
char *cli_make_path(const char *prefix, const char *name, const char *suffix);

/* cli_print_json() - an indented document and a newline. */
void cli_print_json(struct cli *cli, const json_t *json);

/* struct cli_table - rows of text cells, printed in columns. */
struct cli_table {
	json_t *rows; /* array of arrays of strings; the first is the head */
	json_t *row;  /* the row that is being filled, borrowed */
};

void cli_table_add_row(struct cli_table *table);
void cli_table_add_cell(struct cli_table *table, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void cli_table_print(struct cli_table *table, FILE *out);

/* cli_labels_text() - "a=1,b" of a JSON object of labels; to be freed. */
char *cli_labels_text(const json_t *labels);

/* Options that every command has. */
struct cli_options {
	struct arg_str *server;
	struct arg_str *operator_name;
	struct arg_str *output;
	struct arg_lit *help;
	struct arg_end *end;
};

/* cli_options_add() - put the common options into @table from index @n on. */
void cli_options_add(struct cli_options *options, void **table, size_t n);

/* Entries that cli_options_add() fills. */
#define CLI_NOPTIONS 5

/*
 * cli_options_parse() - parse the command line and connect.
 * Return: -1 to go on, otherwise the exit code.
 */
int cli_options_parse(struct cli *cli, struct cli_options *options,
    void **table, int argc, char **argv);

/* struct cli_command - one command; argv[0] is its name. */
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
 * cli_change() - send a change of the configuration.
 * @ops: its operations; the reference is taken.
 * @base: version that it is meant for, or -1 for the newest.
 * @version: set to the version that it made, unless NULL.
 * Return: exit code.
 */
int cli_send_change(struct cli *cli, json_t *ops, json_int_t base,
    const char *why, json_int_t *version);

/* cli_read_json() - a document from a file, "-" for the standard input. */
json_t *cli_read_json(struct cli *cli, const char *file);

#endif /* CLIENT_CLI_INTERNAL_H */
