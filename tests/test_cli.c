/*
 * Tests of the command-line client against an HTTP server that expects a list
 * of requests.
 */

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/thread.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "client/cli.h"

#define ARGS_MAX 16
#define EXCHANGES_MAX 16

/* An expected request and its response; status 0 closes the connection. */
struct exchange {
	const char *request;   /* prefix of "METHOD path" */
	const char *body_part; /* substring of the body, or NULL */
	int status;
	const char *response;
};

static struct event_base *base;
static pthread_t thread;
static char server[64];
static struct exchange exchanges[EXCHANGES_MAX];
static int nexchanges, next_exchange;
static bool mismatch;
static char out_text[16384], err_text[16384];

static void
handle_request(struct evhttp_request *request, void *arg)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	enum evhttp_cmd_type method = evhttp_request_get_command(request);
	const struct exchange *exchange = &exchanges[next_exchange];
	char line[512], body[4096] = "";
	struct evbuffer *response;

	(void)arg;
	snprintf(line, sizeof(line), "%s %s",
	    method == EVHTTP_REQ_GET	      ? "GET"
		: method == EVHTTP_REQ_DELETE ? "DELETE"
					      : "POST",
	    evhttp_request_get_uri(request));
	evbuffer_copyout(input, body, sizeof(body) - 1);
	if (next_exchange >= nexchanges ||
	    strncmp(line, exchange->request, strlen(exchange->request)) != 0 ||
	    (exchange->body_part != NULL &&
		strstr(body, exchange->body_part) == NULL)) {
		fprintf(stderr, "exchange %d: %s %s\n", next_exchange, line,
		    body);
		mismatch = true;
		evhttp_send_error(request, 500, "unexpected");
		return;
	}
	next_exchange++;
	if (exchange->status == 0) {
		evhttp_connection_free(evhttp_request_get_connection(request));
		return;
	}
	response = evbuffer_new();
	evbuffer_add_printf(response, "%s", exchange->response);
	evhttp_send_reply(request, exchange->status, "X", response);
	evbuffer_free(response);
}

static void *
run_event_loop(void *arg)
{
	event_base_loop(arg, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static void
setup(void)
{
	struct evhttp_bound_socket *bound;
	struct sockaddr_in address;
	socklen_t len = sizeof(address);
	struct evhttp *http;

	evthread_use_pthreads();
	base = event_base_new();
	http = evhttp_new(base);
	evhttp_set_gencb(http, handle_request, NULL);
	bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	getsockname(evhttp_bound_socket_get_fd(bound),
	    (struct sockaddr *)&address, &len);
	/* No process listens at the first address of the list. */
	snprintf(server, sizeof(server), "--server=127.0.0.1:1,127.0.0.1:%u",
	    ntohs(address.sin_port));
	pthread_create(&thread, NULL, run_event_loop, base);
}

static void
teardown(void)
{
	event_base_loopbreak(base);
	pthread_join(thread, NULL);
}

static void
expect(const char *request, const char *body_part, int status,
    const char *response)
{
	exchanges[nexchanges++] =
	    (struct exchange){ request, body_part, status, response };
}

/* Runs a command line, and checks that all expected requests were received. */
static int
run(const char *line)
{
	char text[512], name[] = "berylrail", *arg, *last;
	char *argv[ARGS_MAX] = { name };
	FILE *out, *err;
	int argc = 1, result;

	memset(out_text, 0, sizeof(out_text));
	memset(err_text, 0, sizeof(err_text));
	snprintf(text, sizeof(text), "%s", line);
	for (arg = strtok_r(text, " ", &last); arg != NULL;
	     arg = strtok_r(NULL, " ", &last))
		argv[argc++] = arg;
	argv[argc++] = server;
	out = fmemopen(out_text, sizeof(out_text), "w");
	err = fmemopen(err_text, sizeof(err_text), "w");
	result = cli_main(argc, argv, out, err);
	fclose(out);
	fclose(err);
	cr_assert(!mismatch);
	cr_assert_eq(next_exchange, nexchanges,
	    "%d of %d requests were received", next_exchange, nexchanges);
	return result;
}

TestSuite(cli, .init = setup, .fini = teardown);

#define ANSWER(outcome)                                                  \
	"{\"id\":\"T1\",\"state\":\"ended\",\"outcome\":\"" outcome      \
	"\",\"tasks\":"                                                  \
	"1,\"results\":[{\"index\":0,\"state\":\"done\",\"status\":200," \
	"\"body\":"                                                      \
	"\"wax 3\",\"server\":\"s1\"}]}"

Test(cli, submit_resumes_by_ticket_after_connection_failures)
{
	expect("POST /v1/tickets", "\"count\":1", 200,
	    "{\"tickets\":[\"T1\"]}");
	expect("POST /v1/jobs", "\"ticket\":\"T1\"", 0, NULL);
	expect("POST /v1/jobs", "\"ticket\":\"T1\"", 202,
	    "{\"id\":\"T1\",\"state\":\"running\",\"tasks\":2,\"ended\":0}");
	expect("GET /v1/jobs/T1?wait=", NULL, 0, NULL);
	expect("GET /v1/jobs/T1?wait=", NULL, 202,
	    "{\"id\":\"T1\",\"state\":\"running\",\"tasks\":2,\"ended\":1}");
	expect("GET /v1/jobs/T1?wait=", NULL, 200, ANSWER("complete"));
	cr_assert_eq(run("submit wax --tasks=2 --body=x --wait"), CLI_EXIT_OK,
	    "%s", err_text);
	cr_assert_neq(strstr(out_text, "wax 3"), NULL);
	cr_assert_neq(strstr(err_text, "1/2 tasks"), NULL);
	cr_assert_neq(strstr(err_text, "1/1 tasks"), NULL);
}

Test(cli, exit_code_depends_on_outcome)
{
	static const struct {
		const char *answer;
		int code;
	} cases[] = {
		{ ANSWER("complete"), CLI_EXIT_OK },
		{ ANSWER("task-failed"), CLI_EXIT_FAILED },
		{ ANSWER("not-run"), CLI_EXIT_NOT_RUN },
		{ ANSWER("outcome-unknown"), CLI_EXIT_UNKNOWN },
		{ ANSWER("new-word"), CLI_EXIT_UNKNOWN },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		expect("GET /v1/jobs/T%2F1", NULL, 200, cases[i].answer);
		cr_assert_eq(run("status T/1 -o json"), cases[i].code, "%s",
		    cases[i].answer);
	}
}

Test(cli, refusal_with_outcome_not_run_is_reported)
{
	expect("POST /v1/tickets", NULL, 200, "{\"tickets\":[\"T1\"]}");
	expect("POST /v1/jobs", NULL, 429,
	    "{\"detail\":\"queue full\",\"step\":\"admit\",\"outcome\":"
	    "\"not-run\"}");
	cr_assert_eq(run("submit wax --tasks=1"), CLI_EXIT_NOT_RUN);
	cr_assert_neq(strstr(err_text, "queue full"), NULL);
}

Test(cli, change_has_an_id_and_conflict_is_reported)
{
	expect("POST /v1/config/changes", "\"id\":\"cli-", 0, NULL);
	expect("POST /v1/config/changes",
	    "\"set\":{\"rack\":\"r1\"},\"unset\":[\"old\"]", 200,
	    "{\"version\":4}");
	cr_assert_eq(run("label server s1 rack=r1 old-"), CLI_EXIT_OK);
	expect("POST /v1/config/changes", "\"set\":{\"leaving\":\"true\"}", 409,
	    "{\"detail\":\"lost\",\"version\":5}");
	cr_assert_eq(run("drain server s1"), CLI_EXIT_CONFLICT);
}

Test(cli, lists_are_printed_as_tables)
{
	expect("GET /v1/config/servers?selector=az%3Dsurat%2C%21leaving", NULL,
	    200,
	    "{\"version\":1,\"items\":[{\"kind\":\"server\",\"name\":"
	    "\"s1\",\"labels\":{\"az\":\"surat\",\"fast\":\"\"},\"spec\":{"
	    "\"port\":80}}]}");
	cr_assert_eq(run("get servers -l az=surat,!leaving"), CLI_EXIT_OK);
	cr_assert_str_eq(out_text,
	    "NAME  port  LABELS\ns1    80    az=surat,fast\n");
}

Test(cli, status_prints_every_host)
{
	expect("GET /readyz", NULL, 200, "ready");
	expect("GET /v1/config/teams", NULL, 200,
	    "{\"version\":7,\"items\":[]}");
	cr_assert_eq(run("status"), CLI_EXIT_FAILED);
	cr_assert_neq(strstr(out_text, "connect failed"), NULL);
	cr_assert_neq(strstr(out_text, "ready           7"), NULL);
}

Test(cli, invalid_command_lines_send_no_request)
{
	static const char *const lines[] = { "fly", "get", "get cars",
		"get servers s1 -l a", "label server s1", "label server s1 x",
		"drain team t", "submit", "submit j --tasks=171",
		"submit j --tasks=0", "submit j -f x --tasks=1", "config",
		"config apply", "config apply -f /nonexistent", "cancel",
		"status a b", "get jobs -o xml", "get jobs --colour" };
	size_t i;

	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		cr_assert_eq(run(lines[i]), CLI_EXIT_USAGE, "%s", lines[i]);
	strcpy(server, "--server=localhost:80");
	cr_assert_eq(run("get jobs"), CLI_EXIT_USAGE);
	strcpy(server, "--server=127.0.0.1:1");
	cr_assert_eq(run("get jobs"), CLI_EXIT_UNAVAILABLE);
}
