/*
 * Commands for submissions. The client requests a ticket before it submits, so
 * that it can safely repeat the submission at any entry host, and can query its
 * state by the ticket after a connection failure.
 */

#include <stdlib.h>
#include <string.h>

#include "berylrail/limits.h"
#include "berylrail/outcome.h"
#include "client/cli_internal.h"

#define CLI_POLL_WAIT_MS 2000	/* one long poll of a submission's state */
#define CLI_POLL_MARGIN_MS 5000 /* to transfer the response */

static int
cli_exit_code(const json_t *answer)
{
	const char *name;
	enum outcome outcome;

	name = json_string_value(json_object_get(answer, "outcome"));
	if (name == NULL || outcome_from_name(name, &outcome) != 0)
		return CLI_EXIT_UNKNOWN;
	switch (outcome) {
	case OUTCOME_COMPLETE:
		return CLI_EXIT_OK;
	case OUTCOME_NOT_RUN:
		return CLI_EXIT_NOT_RUN;
	case OUTCOME_TASK_FAILED:
		return CLI_EXIT_FAILED;
	case OUTCOME_UNKNOWN:
		break;
	}
	return CLI_EXIT_UNKNOWN;
}

static const char *
cli_get_string(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text != NULL ? text : "-";
}

/* Prints the answer of a submission that has ended; returns the exit code. */
static int
cli_print_answer(struct cli *cli, const json_t *answer)
{
	struct cli_table table = { NULL, NULL };
	json_t *result, *error;
	size_t i;

	if (cli->json) {
		cli_print_json(cli, answer);
		return cli_exit_code(answer);
	}
	json_array_foreach (json_object_get(answer, "results"), i, result) {
		if (i == 0) {
			cli_table_add_row(&table);
			cli_table_add_cell(&table, "TASK");
			cli_table_add_cell(&table, "STATE");
			cli_table_add_cell(&table, "STATUS");
			cli_table_add_cell(&table, "SERVER");
			cli_table_add_cell(&table, "BODY");
		}
		cli_table_add_row(&table);
		cli_table_add_cell(&table, "%zu", i);
		cli_table_add_cell(&table, "%s",
		    cli_get_string(result, "state"));
		cli_table_add_cell(&table, "%lld",
		    (long long)json_integer_value(
			json_object_get(result, "status")));
		cli_table_add_cell(&table, "%s",
		    cli_get_string(result, "server"));
		cli_table_add_cell(&table, "%s",
		    json_object_get(result, "body_base64") != NULL
			? "(binary; see -o json)"
			: cli_get_string(result, "body"));
	}
	cli_table_print(&table, cli->out);
	fprintf(cli->out, "%s %s\n", cli_get_string(answer, "id"),
	    cli_get_string(answer, "outcome"));
	error = json_object_get(answer, "error");
	if (error != NULL)
		fprintf(cli->err, "berylrail: %s (step %s, peer %s)\n",
		    cli_get_string(error, "message"),
		    cli_get_string(error, "step"),
		    cli_get_string(error, "peer"));
	return cli_exit_code(answer);
}

/*
 * Prints the progress. A reply without "ended" is the final answer, in which
 * case all tasks have ended.
 */
static void
cli_print_progress(struct cli *cli, const json_t *state)
{
	json_int_t ended = -1, tasks = 0;

	(void)json_unpack((json_t *)state, "{s?I, s?I}", "ended", &ended,
	    "tasks", &tasks);
	if (ended < 0)
		ended = tasks;
	fprintf(cli->err, "\r%lld/%lld tasks", (long long)ended,
	    (long long)tasks);
	fflush(cli->err);
}

/* Polls a submission until it has ended, and prints the answer. */
static int
cli_wait_for_answer(struct cli *cli, const char *id)
{
	struct cli_request request = { .method = EVHTTP_REQ_GET,
		.timeout_ms = CLI_POLL_WAIT_MS + CLI_POLL_MARGIN_MS };
	struct cli_reply reply;
	char *path, suffix[32];
	int result;

	snprintf(suffix, sizeof(suffix), "?wait=%d", CLI_POLL_WAIT_MS);
	path = cli_make_path("/v1/jobs/", id, suffix);
	request.path = path;
	for (;;) {
		cli_call(cli, &request, &reply);
		if (reply.status != 202)
			break;
		cli_print_progress(cli, reply.body);
		cli_reply_clear(&reply);
	}
	if (reply.status == 200)
		cli_print_progress(cli, reply.body);
	fputc('\n', cli->err);
	if (reply.status == 200 && reply.body != NULL)
		result = cli_print_answer(cli, reply.body);
	else
		result = cli_report_failure(cli, &reply);
	if (reply.status == 0)
		result = CLI_EXIT_UNKNOWN;
	cli_reply_clear(&reply);
	free(path);
	return result;
}

/*
 * Requests a ticket. Return: 0 with *ticket, to be freed, or -1 with the exit
 * code in *result.
 */
static int
cli_request_ticket(struct cli *cli, char **ticket, int *result)
{
	json_t *body = json_pack("{s:i}", "count", 1);
	struct cli_request request = { .method = EVHTTP_REQ_POST,
		.path = "/v1/tickets",
		.body = body };
	struct cli_reply reply;
	const char *text;

	cli_call(cli, &request, &reply);
	json_decref(body);
	text = json_string_value(
	    json_array_get(json_object_get(reply.body, "tickets"), 0));
	*ticket = NULL;
	if (reply.status == 200 && text != NULL) {
		*ticket = strdup(text);
	} else {
		*result = cli_report_failure(cli, &reply);
		/* Nothing can have run without a ticket. */
		if (*result == CLI_EXIT_UNKNOWN)
			*result = CLI_EXIT_UNAVAILABLE;
	}
	cli_reply_clear(&reply);
	return *ticket != NULL ? 0 : -1;
}

/* Sends the submission with a ticket, and optionally waits for its answer. */
static int
cli_send_submission(struct cli *cli, json_t *body, bool wait)
{
	struct cli_request request = { .method = EVHTTP_REQ_POST,
		.path = "/v1/jobs?wait=0",
		.body = body };
	struct cli_reply reply;
	char *ticket, *id;
	int result = CLI_EXIT_UNAVAILABLE;

	if (cli_request_ticket(cli, &ticket, &result) != 0)
		return result;
	json_object_set_new(body, "ticket", json_string(ticket));
	cli_call(cli, &request, &reply);
	if (reply.status == 202) {
		id = strdup(cli_get_string(reply.body, "id"));
		if (id == NULL)
			abort();
		if (wait) {
			cli_print_progress(cli, reply.body);
			result = cli_wait_for_answer(cli, id);
		} else {
			fprintf(cli->out, "%s\n", id);
			result = CLI_EXIT_OK;
		}
		free(id);
	} else if (reply.status == 200 && reply.body != NULL) {
		result = cli_print_answer(cli, reply.body);
	} else {
		result = cli_report_failure(cli, &reply);
		if (result == CLI_EXIT_UNKNOWN)
			fprintf(cli->err,
			    "berylrail: outcome unknown; query it by: "
			    "berylrail status %s\n",
			    ticket);
	}
	cli_reply_clear(&reply);
	free(ticket);
	return result;
}

/* Returns the body of a submission of identical tasks. */
static json_t *
cli_make_tasks(int ntasks, const char *text, int run_ms)
{
	json_t *tasks = json_array(), *task;
	int i;

	for (i = 0; i < ntasks; i++) {
		task = json_pack("{s:s}", "body", text);
		if (run_ms > 0)
			json_object_set_new(task, "run_ms",
			    json_integer(run_ms));
		json_array_append_new(tasks, task);
	}
	return json_pack("{s:o}", "tasks", tasks);
}

int
cli_submit(struct cli *cli, int argc, char **argv)
{
	struct arg_str *job, *file, *text;
	struct arg_int *ntasks, *run_ms, *timeout_ms;
	struct cli_options options;
	json_t *body = NULL;
	struct arg_lit *wait;
	int result;

	void *table[7 + CLI_NOPTIONS] = {
		job = arg_str1(NULL, NULL, "JOB", "name of the job"),
		file = arg_str0("f", "file", "FILE",
		    "JSON with tasks; - for standard input"),
		ntasks =
		    arg_int0(NULL, "tasks", "N", "number of identical tasks"),
		text = arg_str0(NULL, "body", "TEXT", "body of each task"),
		run_ms = arg_int0(NULL, "run-ms", "MS",
		    "declared run time of each task"),
		timeout_ms = arg_int0(NULL, "timeout-ms", "MS",
		    "time limit of the submission"),
		wait = arg_lit0(NULL, "wait", "wait for the answer"),
	};

	cli_options_add(&options, table, 7);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result >= 0)
		goto out;
	result = CLI_EXIT_USAGE;
	if (file->count > 0 && ntasks->count + text->count > 0) {
		fputs(
		    "berylrail: submit: --file and --tasks can't be combined\n",
		    cli->err);
		goto out;
	}
	if (ntasks->count > 0 &&
	    (ntasks->ival[0] < 1 || ntasks->ival[0] > JOB_TASKS_MAX)) {
		fprintf(cli->err,
		    "berylrail: submit: --tasks must be in 1..%d\n",
		    JOB_TASKS_MAX);
		goto out;
	}
	body = file->count > 0
	    ? cli_read_json(cli, file->sval[0])
	    : cli_make_tasks(ntasks->count > 0 ? ntasks->ival[0] : 1,
		  text->count > 0 ? text->sval[0] : "",
		  run_ms->count > 0 ? run_ms->ival[0] : 0);
	if (!json_is_object(body)) {
		fputs("berylrail: submit: input is not a JSON object\n",
		    cli->err);
		goto out;
	}
	json_object_set_new(body, "job", json_string(job->sval[0]));
	if (timeout_ms->count > 0)
		json_object_set_new(body, "timeout_ms",
		    json_integer(timeout_ms->ival[0]));
	result = cli_send_submission(cli, body, wait->count > 0);
out:
	json_decref(body);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

/* Queries or cancels a submission, and prints the response. */
static int
cli_call_submission(struct cli *cli, enum evhttp_cmd_type method,
    const char *id)
{
	struct cli_request request = { .method = method };
	struct cli_reply reply;
	char *path;
	int result;

	path = cli_make_path("/v1/jobs/", id, "");
	request.path = path;
	cli_call(cli, &request, &reply);
	free(path);
	if (reply.status == 200 && reply.body != NULL) {
		result = cli_print_answer(cli, reply.body);
		if (method == EVHTTP_REQ_DELETE)
			result = CLI_EXIT_OK;
	} else if (reply.status == 202) {
		result = CLI_EXIT_OK;
		if (cli->json && reply.body != NULL)
			cli_print_json(cli, reply.body);
		else
			fprintf(cli->out, "%s %s\n", id,
			    cli_get_string(reply.body, "state"));
	} else {
		result = cli_report_failure(cli, &reply);
	}
	cli_reply_clear(&reply);
	return result;
}

int
cli_cancel(struct cli *cli, int argc, char **argv)
{
	struct cli_options options;
	struct arg_str *id;
	int result;

	void *table[1 + CLI_NOPTIONS] = {
		id = arg_str1(NULL, NULL, "ID", "id of the submission"),
	};

	cli_options_add(&options, table, 1);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result < 0)
		result =
		    cli_call_submission(cli, EVHTTP_REQ_DELETE, id->sval[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

/* Prints readiness and configuration version of the entry hosts of --server. */
static int
cli_print_hosts(struct cli *cli)
{
	struct cli_request ready = { .method = EVHTTP_REQ_GET,
		.path = "/readyz" };
	struct cli_request version = { .method = EVHTTP_REQ_GET,
		.path = "/v1/config/teams" };
	struct cli_table table = { NULL, NULL };
	struct cli_reply reply = { 0 };
	json_int_t number;
	size_t i, nready = 0;

	cli_table_add_row(&table);
	cli_table_add_cell(&table, "HOST");
	cli_table_add_cell(&table, "STATE");
	cli_table_add_cell(&table, "VERSION");
	for (i = 0; i < cli->nhosts; i++) {
		cli_call_host(cli, i, &ready, &reply);
		cli_table_add_row(&table);
		cli_table_add_cell(&table, "%s", hcl_peer(cli->hosts[i]));
		cli_table_add_cell(&table, "%s",
		    reply.status == 200	    ? "ready"
			: reply.status != 0 ? "not ready"
					    : reply.text);
		nready += reply.status == 200;
		cli_call_host(cli, i, &version, &reply);
		number =
		    json_integer_value(json_object_get(reply.body, "version"));
		cli_table_add_cell(&table, "%lld", (long long)number);
	}
	cli_reply_clear(&reply);
	cli_table_print(&table, cli->out);
	if (nready == 0)
		return CLI_EXIT_UNAVAILABLE;
	return nready == cli->nhosts ? CLI_EXIT_OK : CLI_EXIT_FAILED;
}

int
cli_status(struct cli *cli, int argc, char **argv)
{
	struct cli_options options;
	struct arg_str *id;
	int result;

	void *table[1 + CLI_NOPTIONS] = {
		id = arg_str0(NULL, NULL, "ID", "id of a submission"),
	};

	cli_options_add(&options, table, 1);
	result = cli_options_parse(cli, &options, table, argc, argv);
	if (result < 0)
		result = id->count > 0
		    ? cli_call_submission(cli, EVHTTP_REQ_GET, id->sval[0])
		    : cli_print_hosts(cli);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
