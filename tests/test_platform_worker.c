/*
 * Holds over HTTP. A hold that requests a connection is sent on that one or not
 * at all, because another one may lead to a later incarnation of the server.
 */

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "platform/platform.h"

#define HOLDS_MAX 8

struct rig {
	struct event_base *base;
	struct evhttp *server;
	struct worker *worker;
	struct worker_link *link;
	/* The server closes the connection after each reply. */
	bool close_connections;
	json_int_t acknowledgements[HOLDS_MAX];
	size_t nholds;
	const char *lists; /* in the server's replies; NULL: empty ones */
	int status;	   /* of the server's replies; 0: 200 */
	enum worker_verdict verdict;
	uint64_t connection_id; /* of the last reply */
	/* Of the last reply. */
	size_t nrunning;
	size_t nended;
	bool ended_cut;
	char running[WORKER_TASK_NAME_SIZE]; /* the last one */
	char ended[WORKER_TASK_NAME_SIZE];   /* the last one */
	uint64_t ended_number;		     /* the last one */
	bool has_clock;
};

static void
rig_serve(struct evhttp_request *req, void *arg)
{
	struct rig *rig = arg;
	struct evbuffer *input = evhttp_request_get_input_buffer(req);
	struct evbuffer *output = evhttp_request_get_output_buffer(req);
	json_t *body = json_loadb((const char *)evbuffer_pullup(input, -1),
	    evbuffer_get_length(input), 0, NULL);

	cr_assert_lt(rig->nholds, (size_t)HOLDS_MAX);
	rig->acknowledgements[rig->nholds++] =
	    json_integer_value(json_object_get(body, "last_seen"));
	json_decref(body);
	if (rig->close_connections)
		(void)evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Connection", "close");
	(void)evbuffer_add_printf(output, "%s",
	    rig->lists != NULL ? rig->lists
			       : "{\"clock_ms\":5,\"born\":7,\"running\":[],"
				 "\"ended_runs\":[]}");
	evhttp_send_reply(req, rig->status != 0 ? rig->status : HTTP_OK, "-",
	    NULL);
}

static struct rig *
rig_create(void)
{
	struct worker_address address = { .id = "s0", .address = "127.0.0.1" };
	struct rig *rig = calloc(1, sizeof(*rig));
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	rig->base = event_base_new();
	rig->server = evhttp_new(rig->base);
	evhttp_set_gencb(rig->server, rig_serve, rig);
	bound = evhttp_bind_socket_with_handle(rig->server, "127.0.0.1", 0);
	(void)getsockname(evhttp_bound_socket_get_fd(bound),
	    (struct sockaddr *)&sin, &len);
	address.port = ntohs(sin.sin_port);
	rig->worker = platform_worker_create(rig->base);
	rig->link = rig->worker->ops->open(rig->worker, &address);
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	platform_worker_destroy(rig->worker);
	evhttp_free(rig->server);
	event_base_free(rig->base);
	free(rig);
}

static void
rig_hold_done(void *arg, const struct worker_reply *reply)
{
	struct rig *rig = arg;

	rig->verdict = reply->verdict;
	rig->connection_id = reply->connection_id;
	rig->has_clock = reply->has_clock;
	rig->nrunning = reply->nrunning;
	rig->nended = reply->nended;
	rig->ended_cut = reply->ended_cut;
	/* The scheduler copies names in this way. */
	if (reply->nrunning > 0)
		strlcpy(rig->running, reply->running[reply->nrunning - 1].task,
		    sizeof(rig->running));
	if (reply->nended > 0) {
		strlcpy(rig->ended, reply->ended[reply->nended - 1].task,
		    sizeof(rig->ended));
		rig->ended_number = reply->ended[reply->nended - 1].number;
	}
	(void)event_base_loopbreak(rig->base);
}

static enum worker_verdict
rig_hold(struct rig *rig, uint64_t acknowledged, uint64_t connection_id)
{
	const struct worker_hold hold = { .token = 1,
		.acknowledged = acknowledged,
		.connection_id = connection_id };
	const struct timeval settle = { .tv_usec = 20000 };

	rig->worker->ops->hold(rig->link, &hold, rig_hold_done, rig);
	(void)event_base_dispatch(rig->base);
	(void)event_base_loopexit(rig->base, &settle);
	(void)event_base_dispatch(rig->base);
	return rig->verdict;
}

Test(platform_worker, hold_uses_the_requested_connection)
{
	struct rig *rig = rig_create();
	uint64_t connection_id;

	cr_assert_eq(rig_hold(rig, 0, 0), WORKER_OK);
	connection_id = rig->connection_id;
	cr_assert_neq(connection_id, 0);
	cr_expect_eq(rig_hold(rig, 5, connection_id), WORKER_OK);
	cr_expect_eq(rig->connection_id, connection_id);
	cr_expect_eq(rig->acknowledgements[1], 5);
	rig_destroy(rig);
}

Test(platform_worker, hold_is_not_sent_when_its_connection_is_closed)
{
	struct rig *rig = rig_create();
	uint64_t connection_id;

	rig->close_connections = true;
	cr_assert_eq(rig_hold(rig, 0, 0), WORKER_OK);
	connection_id = rig->connection_id;
	rig->close_connections = false;
	cr_expect_eq(rig_hold(rig, 5, connection_id), WORKER_NOT_SENT);
	cr_expect_eq(rig->nholds, 1);
	cr_expect_eq(rig_hold(rig, 0, 0), WORKER_OK);
	cr_expect_neq(rig->connection_id, connection_id);
	rig_destroy(rig);
}

static void
rig_stop_done(void *arg, const struct worker_reply *reply)
{
	(void)reply;
	(void)event_base_loopbreak(((struct rig *)arg)->base);
}

static void
rig_start_done(void *arg, const struct worker_reply *reply)
{
	struct rig *rig = arg;

	rig->verdict = reply->verdict;
	(void)event_base_loopbreak(rig->base);
}

/* A start that the server has executed was taken for refused. */
Test(platform_worker, status_that_is_no_refusal_leaves_the_outcome_unknown)
{
	const struct worker_start order = { .task = "t",
		.run_id = 1,
		.spec = "",
		.token = 1 };
	const struct {
		int status;
		enum worker_verdict verdict;
	} cases[] = {
		{ 200, WORKER_OK },
		{ 202, WORKER_NO_REPLY },
		{ 400, WORKER_REFUSED },
		{ 409, WORKER_REFUSED },
		{ 429, WORKER_UNAVAILABLE },
		{ 503, WORKER_UNAVAILABLE },
		{ 500, WORKER_NO_REPLY },
		{ 502, WORKER_NO_REPLY },
	};
	struct rig *rig = rig_create();
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig->status = cases[i].status;
		rig->worker->ops->start(rig->link, &order, rig_start_done, rig);
		(void)event_base_dispatch(rig->base);
		cr_expect_eq(rig->verdict, cases[i].verdict, "%d: %d",
		    cases[i].status, (int)rig->verdict);
	}
	rig_destroy(rig);
}

/* A task name that was cut within a character can't be encoded: the order to
 * stop the unknown run ended the process. */
Test(platform_worker, run_with_an_overlong_name_is_not_listed)
{
	struct rig *rig = rig_create();
	char lists[256], name[128] = "";
	size_t i;

	for (i = 0; i < 40; i++)
		strlcat(name, "\u00e4", sizeof(name));
	(void)snprintf(lists, sizeof(lists),
	    "{\"clock_ms\":5,\"born\":7,\"running\":[[\"%s\",1,\"\",0]],"
	    "\"ended_runs\":[]}",
	    name);
	rig->lists = lists;
	cr_assert_eq(rig_hold(rig, 0, 0), WORKER_OK);
	if (rig->nrunning > 0) {
		rig->worker->ops->stop(rig->link, rig->running, 1, 1,
		    rig_stop_done, rig);
		(void)event_base_dispatch(rig->base);
	}
	cr_expect_eq(rig->nrunning, 0);
	rig_destroy(rig);
}

/* Each element is missing, of another type, negative or huge. The rows that are
 * well-formed are used. */
Test(platform_worker, malformed_rows_are_skipped)
{
	struct rig *rig = rig_create();

	rig->lists =
	    "{\"clock_ms\":-5,\"born\":-7,\"running\":["
	    "[],{},null,7,[7],[\"t\"],[\"t\",\"1\"],[\"t\",-1],[\"t\",1e300],"
	    "[\"t.ok\",2,7,[]]],"
	    "\"ended_runs\":["
	    "[],{},null,[-1,\"t\",1,\"done\",\"\"],[\"1\",\"t\",1],[1e300],"
	    "[5,7,1,\"done\",\"\"],[6,\"t.end\",3,7,8]]}";
	cr_assert_eq(rig_hold(rig, 0, 0), WORKER_OK);
	cr_expect_not(rig->has_clock);
	cr_expect_eq(rig->nrunning, 1);
	cr_expect_str_eq(rig->running, "t.ok");
	cr_expect_eq(rig->nended, 2,
	    "the one with a number, and the well-formed one");
	cr_expect_eq(rig->ended_number, 6);
	cr_expect_str_eq(rig->ended, "t.end");
	rig->lists = "[1,2";
	cr_expect_eq(rig_hold(rig, 0, 0), WORKER_OK);
	cr_expect_eq(rig->nrunning, 0);
	rig_destroy(rig);
}

/* Servers list 500 ends at a time, also malformed ones. */
Test(platform_worker, full_list_of_ends_may_be_cut)
{
	json_t *body =
	    json_pack("{s:i,s:[],s:[]}", "born", 7, "running", "ended_runs");
	json_t *ends = json_object_get(body, "ended_runs");
	struct rig *rig = rig_create();
	char *text;
	int i;

	for (i = 1; i <= 500; i++) {
		text = json_dumps(body, JSON_COMPACT);
		rig->lists = text;
		if (i == 1 || i == 500) {
			cr_assert_eq(rig_hold(rig, 0, 0), WORKER_OK);
			cr_expect_not(rig->ended_cut, "%d ends", i - 1);
		}
		free(text);
		(void)json_array_append_new(ends,
		    json_pack("[i,s,i,s,s]", i, i % 2 == 0 ? "a" : "", i % 2,
			"done", ""));
	}
	text = json_dumps(body, JSON_COMPACT);
	rig->lists = text;
	cr_assert_eq(rig_hold(rig, 0, 0), WORKER_OK);
	cr_expect(rig->ended_cut);
	free(text);
	json_decref(body);
	rig_destroy(rig);
}
