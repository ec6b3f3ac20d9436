/*
 * Open-loop clients: each job is submitted at its arrival time, whether or not
 * earlier jobs have ended. The load balancer selects a ready entry host; the
 * job uses an idle connection to that host, or a new one if there is none. Each
 * connection holds the next ticket that the last answer on it contained.
 */

#include <err.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client_internal.h"

#define BCT_ANSWER_TIMEOUT_S 40 /* exceeds BCT_JOB_WAIT_MS */
#define BCT_JOB_WAIT_MS 35000	/* parameter "wait" of a job submission */
#define BCT_PROBE_INTERVAL_MS 200
#define BCT_RESUBMISSIONS_MAX 2

static void bct_send_submission(struct bct_conn *conn);
static void bct_start_submission(struct bench_client *client,
    struct bct_submission *submission);

static void
bct_finish(struct bct_submission *submission, enum bench_outcome outcome)
{
	struct bench_client *client = submission->client;
	struct bench_result *result = &client->results[submission->job->index];

	if (result->outcome != BENCH_PENDING)
		return;
	result->outcome = outcome;
	result->end_us = bpr_now_us() - client->start_us;
	result->ratio = (double)(result->end_us - result->arrival_us) /
	    (double)submission->job->ideal_us;
	client->nended++;
}

/* Connections */

static void
bct_conn_release(struct bct_conn *conn)
{
	struct bct_submission *submission = conn->submission;

	if (submission != NULL)
		submission->conn = NULL;
	conn->submission = NULL;
	if (conn->unusable || conn->client->stopping)
		return; /* bct_destroy() frees it */
	TAILQ_INSERT_HEAD(&conn->client->idle_conns[conn->host], conn,
	    idle_entry);
}

static struct bct_conn *
bct_conn_open(struct bench_client *client, int host)
{
	struct bct_conn *conn = calloc(1, sizeof(*conn));

	if (conn == NULL)
		err(1, "calloc");
	conn->client = client;
	conn->host = host;
	conn->http = evhttp_connection_base_new(client->base, NULL, "127.0.0.1",
	    client->cluster->hosts[host].http_port);
	evhttp_connection_set_timeout(conn->http, BCT_ANSWER_TIMEOUT_S);
	TAILQ_INSERT_TAIL(&client->conns, conn, all_entry);
	return conn;
}

struct evhttp_request *
bct_new_request(void (*done)(struct evhttp_request *, void *), void *arg)
{
	struct evhttp_request *request = evhttp_request_new(done, arg);

	if (request == NULL)
		err(1, "evhttp_request_new");
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
	    "localhost");
	return request;
}

int
bct_response_status(struct evhttp_request *request)
{
	return request != NULL ? evhttp_request_get_response_code(request) : 0;
}

static const char *
bct_response_header(struct evhttp_request *request, const char *name)
{
	const char *value =
	    evhttp_find_header(evhttp_request_get_input_headers(request), name);

	return value != NULL ? value : "";
}

static json_t *
bct_response_json(struct evhttp_request *request)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	size_t len = evbuffer_get_length(body);

	return json_loadb((const char *)evbuffer_pullup(body, -1), len, 0,
	    NULL);
}

/* Tickets */

static void
bct_ticket_done(struct evhttp_request *request, void *arg)
{
	struct bct_conn *conn = arg;
	json_t *json;

	if (conn->client->stopping)
		return;
	if (bct_response_status(request) != 200) {
		conn->unusable = bct_response_status(request) == 0;
	} else {
		json = bct_response_json(request);
		strlcpy(conn->ticket,
		    json_string_value(
			json_array_get(json_object_get(json, "tickets"), 0)),
		    sizeof(conn->ticket));
		json_decref(json);
	}
	if (conn->submission == NULL)
		bct_conn_release(conn);
	else if (conn->ticket[0] != '\0')
		bct_send_submission(conn);
	else {
		bct_finish(conn->submission, BENCH_NOT_RUN);
		bct_conn_release(conn);
	}
}

static void
bct_fetch_ticket(struct bct_conn *conn)
{
	struct evhttp_request *request = bct_new_request(bct_ticket_done, conn);

	conn->client->counts.requests++;
	conn->client->counts.wasted++;
	evbuffer_add_printf(evhttp_request_get_output_buffer(request),
	    "{\"count\": 1}");
	if (evhttp_make_request(conn->http, request, EVHTTP_REQ_POST,
		"/v1/tickets") < 0)
		errx(1, "evhttp_make_request");
}

/* Submissions */

/* Returns true if the answer contains the result of every task. */
static bool
bct_is_complete(struct evhttp_request *request, const struct bench_job *job)
{
	json_t *json, *results, *result;
	size_t i, ndone = 0;

	if (job->single)
		return evbuffer_get_length(
			   evhttp_request_get_input_buffer(request)) > 0;
	json = bct_response_json(request);
	results = json_object_get(json, "results");
	json_array_foreach (results, i, result) {
		const char *state =
		    json_string_value(json_object_get(result, "state"));

		ndone += state != NULL && strcmp(state, "done") == 0;
	}
	json_decref(json);
	return ndone == (size_t)job->ntasks;
}

/* Counts the error of an answer by step and code. */
static void
bct_count_error(struct bench_client *client, struct evhttp_request *request)
{
	json_t *json = bct_response_json(request), *error, *count;
	const char *step, *code;
	char key[64];

	error = json_object_get(json, "error");
	if (error == NULL)
		error = json; /* application/problem+json */
	step = json_string_value(json_object_get(error, "step"));
	code = json_string_value(json_object_get(error, "code"));
	(void)snprintf(key, sizeof(key), "%s: %s", step != NULL ? step : "?",
	    code != NULL ? code : "?");
	count = json_object_get(client->errors, key);
	json_object_set_new(client->errors, key,
	    json_integer(json_integer_value(count) + 1));
	json_decref(json);
}

static enum bench_outcome
bct_classify(struct bct_submission *submission, struct evhttp_request *request)
{
	const char *outcome_header =
	    bct_response_header(request, "Berylrail-Outcome");

	if (submission->cancelled)
		return BENCH_CANCELLED;
	if (strcmp(outcome_header, "complete") == 0) {
		if (bct_is_complete(request, submission->job))
			return BENCH_COMPLETE;
		submission->client->counts.incomplete_answers++;
		return BENCH_UNKNOWN;
	}
	bct_count_error(submission->client, request);
	if (strcmp(outcome_header, "not-run") == 0)
		return BENCH_NOT_RUN;
	if (strcmp(outcome_header, "task-failed") == 0)
		return BENCH_FAILED;
	return BENCH_UNKNOWN;
}

static void
bct_submit_done(struct evhttp_request *request, void *arg)
{
	struct bct_conn *conn = arg;
	struct bct_submission *submission = conn->submission;
	struct bench_client *client = conn->client;
	int status = bct_response_status(request);

	if (client->stopping || submission == NULL)
		return;
	if (status == 0) {
		/* The connection failed: resubmit with the same ticket. */
		conn->unusable = true;
		bct_conn_release(conn);
		if (submission->resubmissions++ < BCT_RESUBMISSIONS_MAX) {
			client->counts.wasted++;
			bct_start_submission(client, submission);
		} else {
			bct_finish(submission, BENCH_LOST);
		}
		return;
	}
	strlcpy(conn->ticket, bct_response_header(request, "Berylrail-Ticket"),
	    sizeof(conn->ticket));
	if (strcasecmp(bct_response_header(request, "Connection"), "close") ==
	    0)
		conn->unusable = true;
	bct_finish(submission,
	    status == 202 ? BENCH_LOST : bct_classify(submission, request));
	bct_conn_release(conn);
}

static void
bct_write_tasks(struct evbuffer *body, const struct bct_submission *submission)
{
	const struct bench_job *spec = submission->job;
	int i;

	evbuffer_add_printf(body,
	    "{\"ticket\": \"%s\", \"job\": \"%s\", "
	    "\"tasks\": [",
	    submission->id, spec->impossible ? "nowhere" : "booth");
	for (i = 0; i < spec->ntasks; i++)
		evbuffer_add_printf(body,
		    "%s{\"run_ms\": %u, \"body\": "
		    "\"{\\\"ms\\\":%u,\\\"uid\\\":\\\"j%d-%d\\\"}\"}",
		    i > 0 ? ", " : "", spec->declared_ms, spec->task_ms[i],
		    spec->index, i);
	evbuffer_add_printf(body, "]}");
}

/*
 * Sends the connection's submission. The connection has no other request in
 * progress. A submission without an id uses the ticket of the connection,
 * which must have one; a resubmission uses the same id as before.
 */
static void
bct_send_submission(struct bct_conn *conn)
{
	struct evhttp_request *request = bct_new_request(bct_submit_done, conn);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	struct evbuffer *body = evhttp_request_get_output_buffer(request);
	struct bct_submission *submission = conn->submission;
	char path[64];

	if (submission->id[0] == '\0')
		strlcpy(submission->id, conn->ticket, sizeof(submission->id));
	conn->ticket[0] = '\0';
	conn->client->counts.requests++;
	if (submission->job->single) {
		evhttp_add_header(headers, "Berylrail-Ticket", submission->id);
		evhttp_add_header(headers, "Berylrail-Job", "booth");
		evbuffer_add_printf(body, "{\"ms\":%u,\"uid\":\"r%d\"}",
		    submission->job->task_ms[0], submission->job->index);
		(void)snprintf(path, sizeof(path),
		    "/v1/services/booth/requests");
	} else {
		bct_write_tasks(body, submission);
		(void)snprintf(path, sizeof(path), "/v1/jobs?wait=%d",
		    BCT_JOB_WAIT_MS);
	}
	if (evhttp_make_request(conn->http, request, EVHTTP_REQ_POST, path) < 0)
		errx(1, "evhttp_make_request");
}

static void
bct_start_submission(struct bench_client *client,
    struct bct_submission *submission)
{
	int host = bct_pick_host(client);
	struct bct_conn *conn = TAILQ_FIRST(&client->idle_conns[host]);

	if (conn != NULL)
		TAILQ_REMOVE(&client->idle_conns[host], conn, idle_entry);
	else
		conn = bct_conn_open(client, host);
	conn->submission = submission;
	submission->conn = conn;
	if (submission->id[0] == '\0' && conn->ticket[0] == '\0')
		bct_fetch_ticket(conn);
	else
		bct_send_submission(conn);
}

static void
bct_on_arrival(evutil_socket_t fd, short what, void *arg)
{
	struct bench_client *client = arg;
	uint64_t now_us = bpr_now_us() - client->start_us;
	struct timeval tv;
	uint64_t delay_us;

	(void)fd;
	(void)what;
	while (client->next_job < client->workload->njobs &&
	    client->workload->jobs[client->next_job].arrival_us <= now_us)
		bct_start_submission(client,
		    &client->submissions[client->next_job++]);
	if (client->next_job == client->workload->njobs)
		return;
	delay_us = client->workload->jobs[client->next_job].arrival_us - now_us;
	tv.tv_sec = (time_t)(delay_us / 1000000);
	tv.tv_usec = (suseconds_t)(delay_us % 1000000);
	(void)event_add(client->arrival_timer, &tv);
}

/* Cancellation */

static void
bct_cancel_done(struct evhttp_request *request, void *arg)
{
	(void)request;
	(void)arg;
}

static void
bct_cancel(struct bct_submission *submission)
{
	struct bct_conn *conn =
	    bct_conn_open(submission->client, submission->conn->host);
	struct evhttp_request *request = bct_new_request(bct_cancel_done, NULL);
	char path[TICKET_SIZE + 16];

	submission->cancelled = true;
	submission->client->counts.requests++;
	(void)snprintf(path, sizeof(path), "/v1/jobs/%s", submission->id);
	(void)evhttp_make_request(conn->http, request, EVHTTP_REQ_DELETE, path);
}

void
bct_cancel_share(struct bench_client *client, double share)
{
	struct bct_submission *submission;
	int i;

	for (i = 0; i < client->next_job; i++) {
		submission = &client->submissions[i];
		if (client->results[i].outcome == BENCH_PENDING &&
		    !submission->job->single && submission->conn != NULL &&
		    submission->id[0] != '\0' &&
		    bwl_uniform(&client->random_state) < share)
			bct_cancel(submission);
	}
}

/* Client */

struct bench_client *
bct_create(struct event_base *base, struct bench_cluster *cluster,
    const struct bench_workload *workload, uint64_t seed)
{
	struct bench_client *client = calloc(1, sizeof(*client));
	size_t njobs = (size_t)workload->njobs + 1;
	int i;

	if (client == NULL)
		err(1, "calloc");
	client->base = base;
	client->cluster = cluster;
	client->workload = workload;
	client->random_state = seed;
	client->errors = json_object();
	client->results = calloc(njobs, sizeof(*client->results));
	client->submissions = calloc(njobs, sizeof(*client->submissions));
	client->arrival_timer = evtimer_new(base, bct_on_arrival, client);
	client->probe_timer =
	    event_new(base, -1, EV_PERSIST, bct_probe_hosts, client);
	if (client->results == NULL || client->submissions == NULL ||
	    client->arrival_timer == NULL || client->probe_timer == NULL)
		err(1, "calloc");
	TAILQ_INIT(&client->conns);
	for (i = 0; i < BENCH_HOSTS_MAX; i++)
		TAILQ_INIT(&client->idle_conns[i]);
	for (i = 0; i < workload->njobs; i++) {
		client->submissions[i].job = &workload->jobs[i];
		client->submissions[i].client = client;
		client->results[i].outcome = BENCH_PENDING;
		client->results[i].arrival_us = workload->jobs[i].arrival_us;
	}
	return client;
}

static int
bct_count_idle(const struct bench_client *client)
{
	const struct bct_conn *conn;
	int i, n = 0;

	for (i = 0; i < client->cluster->params.nhosts; i++) {
		TAILQ_FOREACH (conn, &client->idle_conns[i], idle_entry)
			n++;
	}
	return n;
}

void
bct_warm_up(struct bench_client *client, int per_host)
{
	uint64_t until_us = bpr_now_us() + (uint64_t)BENCH_TIMEOUT_MS * 1000;
	int i, host, nconns = per_host * client->cluster->params.nhosts;

	for (host = 0; host < client->cluster->params.nhosts; host++) {
		for (i = 0; i < per_host; i++)
			bct_fetch_ticket(bct_conn_open(client, host));
	}
	while (bct_count_idle(client) < nconns && bpr_now_us() < until_us)
		(void)event_base_loop(client->base, EVLOOP_ONCE);
	memset(&client->counts, 0, sizeof(client->counts));
}

void
bct_start(struct bench_client *client)
{
	const struct timeval interval = { .tv_usec =
					      BCT_PROBE_INTERVAL_MS * 1000 };

	client->start_us = bpr_now_us();
	(void)event_add(client->probe_timer, &interval);
	bct_on_arrival(-1, 0, client);
}

bool
bct_is_done(const struct bench_client *client)
{
	return client->nended == client->workload->njobs;
}

void
bct_abort_pending(struct bench_client *client)
{
	int i;

	for (i = 0; i < client->workload->njobs; i++)
		bct_finish(&client->submissions[i],
		    client->submissions[i].cancelled ? BENCH_CANCELLED
						     : BENCH_LOST);
}

struct bench_result *
bct_results(struct bench_client *client)
{
	return client->results;
}

const struct bench_client_counts *
bct_counts(const struct bench_client *client)
{
	return &client->counts;
}

json_t *
bct_errors(const struct bench_client *client)
{
	return client->errors;
}

uint64_t
bct_start_us(const struct bench_client *client)
{
	return client->start_us;
}

void
bct_destroy(struct bench_client *client)
{
	struct bct_conn *conn, *next;
	int i;

	client->stopping = true;
	TAILQ_FOREACH_SAFE (conn, &client->conns, all_entry, next) {
		evhttp_connection_free(conn->http);
		free(conn);
	}
	for (i = 0; i < BENCH_HOSTS_MAX; i++) {
		if (client->probe_conns[i] != NULL)
			evhttp_connection_free(client->probe_conns[i]);
	}
	event_free(client->arrival_timer);
	event_free(client->probe_timer);
	json_decref(client->errors);
	free(client->results);
	free(client->submissions);
	free(client);
}
