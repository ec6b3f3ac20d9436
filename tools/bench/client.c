/*
 * Open-loop clients. Each keeps one connection to an entry host, chosen by the
 * balancer among those that are ready, and holds the next ticket that came
 * with the last answer. A job that is due takes an idle client or a new one.
 */

#include <err.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client_internal.h"

#define BCT_ANSWER_TIMEOUT_S 40
#define BCT_WAIT_MS 35000 /* asked of the entry host */
#define BCT_BALANCER_MS 200
#define BCT_RESUBMITS_MAX 2

static void bct_submit(struct bct_conn *conn);
static void bct_begin(struct bench_client *client, struct bct_job *job);

static void
bct_end(struct bct_job *job, enum bench_end end)
{
	struct bench_client *client = job->client;
	struct bench_result *result = &client->results[job->job->number];

	if (result->end != BENCH_PENDING)
		return;
	result->end = end;
	result->end_us = bpr_now_us() - client->start_us;
	result->ratio = (double)(result->end_us - result->due_us) /
	    (double)job->job->ideal_us;
	client->nended++;
}

/* Connections */

static void
bct_conn_release(struct bct_conn *conn)
{
	struct bct_job *job = conn->job;

	if (job != NULL)
		job->conn = NULL;
	conn->job = NULL;
	if (conn->broken || conn->client->stopping)
		return; /* freed with the client */
	TAILQ_INSERT_HEAD(&conn->client->idle[conn->host], conn, entry);
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
	TAILQ_INSERT_TAIL(&client->all, conn, all_entry);
	return conn;
}

struct evhttp_request *
bct_request(void (*done)(struct evhttp_request *, void *), void *arg)
{
	struct evhttp_request *request = evhttp_request_new(done, arg);

	if (request == NULL)
		err(1, "evhttp_request_new");
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
	    "localhost");
	return request;
}

int
bct_status(struct evhttp_request *request)
{
	return request != NULL ? evhttp_request_get_response_code(request) : 0;
}

static const char *
bct_header(struct evhttp_request *request, const char *name)
{
	const char *value =
	    evhttp_find_header(evhttp_request_get_input_headers(request), name);

	return value != NULL ? value : "";
}

static json_t *
bct_json(struct evhttp_request *request)
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
	if (bct_status(request) != 200) {
		conn->broken = bct_status(request) == 0;
	} else {
		json = bct_json(request);
		strlcpy(conn->ticket,
		    json_string_value(
			json_array_get(json_object_get(json, "tickets"), 0)),
		    sizeof(conn->ticket));
		json_decref(json);
	}
	if (conn->job == NULL)
		bct_conn_release(conn);
	else if (conn->ticket[0] != '\0')
		bct_submit(conn);
	else {
		bct_end(conn->job, BENCH_NOT_RUN);
		bct_conn_release(conn);
	}
}

static void
bct_fetch_ticket(struct bct_conn *conn)
{
	struct evhttp_request *request = bct_request(bct_ticket_done, conn);

	conn->client->counts.requests++;
	conn->client->counts.wasted++;
	evbuffer_add_printf(evhttp_request_get_output_buffer(request),
	    "{\"count\": 1}");
	if (evhttp_make_request(conn->http, request, EVHTTP_REQ_POST,
		"/v1/tickets") < 0)
		errx(1, "evhttp_make_request");
}

/* Submissions */

/* Does the answer hold every task's result? */
static bool
bct_is_whole(struct evhttp_request *request, const struct bench_job *job)
{
	json_t *json, *results, *result;
	size_t i, done = 0;

	if (job->single)
		return evbuffer_get_length(
			   evhttp_request_get_input_buffer(request)) > 0;
	json = bct_json(request);
	results = json_object_get(json, "results");
	json_array_foreach (results, i, result) {
		const char *state =
		    json_string_value(json_object_get(result, "state"));

		done += state != NULL && strcmp(state, "done") == 0;
	}
	json_decref(json);
	return done == (size_t)job->ntasks;
}

/* Counts why answers were not whole, by step and code. */
static void
bct_note_error(struct bench_client *client, struct evhttp_request *request)
{
	json_t *json = bct_json(request), *error, *count;
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

static enum bench_end
bct_judge(struct bct_job *job, struct evhttp_request *request)
{
	const char *outcome = bct_header(request, "Berylrail-Outcome");

	if (job->cancelled)
		return BENCH_CANCELLED;
	if (strcmp(outcome, "complete") == 0) {
		if (bct_is_whole(request, job->job))
			return BENCH_COMPLETE;
		job->client->counts.broken++;
		return BENCH_UNKNOWN;
	}
	bct_note_error(job->client, request);
	if (strcmp(outcome, "not-run") == 0)
		return BENCH_NOT_RUN;
	if (strcmp(outcome, "task-failed") == 0)
		return BENCH_FAILED;
	return BENCH_UNKNOWN;
}

static void
bct_submit_done(struct evhttp_request *request, void *arg)
{
	struct bct_conn *conn = arg;
	struct bct_job *job = conn->job;
	struct bench_client *client = conn->client;
	int status = bct_status(request);

	if (client->stopping || job == NULL)
		return;
	if (status == 0) {
		/* The connection broke: ask again by the same ticket. */
		conn->broken = true;
		bct_conn_release(conn);
		if (job->resubmits++ < BCT_RESUBMITS_MAX) {
			client->counts.wasted++;
			bct_begin(client, job);
		} else {
			bct_end(job, BENCH_LOST);
		}
		return;
	}
	strlcpy(conn->ticket, bct_header(request, "Berylrail-Ticket"),
	    sizeof(conn->ticket));
	if (strcasecmp(bct_header(request, "Connection"), "close") == 0)
		conn->broken = true;
	bct_end(job, status == 202 ? BENCH_LOST : bct_judge(job, request));
	bct_conn_release(conn);
}

static void
bct_write_tasks(struct evbuffer *body, const struct bct_job *job)
{
	const struct bench_job *spec = job->job;
	int i;

	evbuffer_add_printf(body,
	    "{\"ticket\": \"%s\", \"job\": \"%s\", "
	    "\"tasks\": [",
	    job->id, spec->impossible ? "nowhere" : "booth");
	for (i = 0; i < spec->ntasks; i++)
		evbuffer_add_printf(body,
		    "%s{\"run_ms\": %u, \"body\": "
		    "\"{\\\"ms\\\":%u,\\\"uid\\\":\\\"j%d-%d\\\"}\"}",
		    i > 0 ? ", " : "", spec->declared_ms, spec->ms[i],
		    spec->number, i);
	evbuffer_add_printf(body, "]}");
}

/* The connection is idle and, unless the job has an id, holds a ticket. */
static void
bct_submit(struct bct_conn *conn)
{
	struct evhttp_request *request = bct_request(bct_submit_done, conn);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	struct evbuffer *body = evhttp_request_get_output_buffer(request);
	struct bct_job *job = conn->job;
	char path[64];

	if (job->id[0] == '\0')
		strlcpy(job->id, conn->ticket, sizeof(job->id));
	conn->ticket[0] = '\0';
	conn->client->counts.requests++;
	if (job->job->single) {
		evhttp_add_header(headers, "Berylrail-Ticket", job->id);
		evhttp_add_header(headers, "Berylrail-Job", "booth");
		evbuffer_add_printf(body, "{\"ms\":%u,\"uid\":\"r%d\"}",
		    job->job->ms[0], job->job->number);
		(void)snprintf(path, sizeof(path),
		    "/v1/services/booth/requests");
	} else {
		bct_write_tasks(body, job);
		(void)snprintf(path, sizeof(path), "/v1/jobs?wait=%d",
		    BCT_WAIT_MS);
	}
	if (evhttp_make_request(conn->http, request, EVHTTP_REQ_POST, path) < 0)
		errx(1, "evhttp_make_request");
}

static void
bct_begin(struct bench_client *client, struct bct_job *job)
{
	int host = bct_balance(client);
	struct bct_conn *conn = TAILQ_FIRST(&client->idle[host]);

	if (conn != NULL)
		TAILQ_REMOVE(&client->idle[host], conn, entry);
	else
		conn = bct_conn_open(client, host);
	conn->job = job;
	job->conn = conn;
	if (job->id[0] == '\0' && conn->ticket[0] == '\0')
		bct_fetch_ticket(conn);
	else
		bct_submit(conn);
}

static void
bct_due(evutil_socket_t fd, short what, void *arg)
{
	struct bench_client *client = arg;
	uint64_t now_us = bpr_now_us() - client->start_us;
	struct timeval tv;
	uint64_t in_us;

	(void)fd;
	(void)what;
	while (client->next < client->load->njobs &&
	    client->load->jobs[client->next].due_us <= now_us)
		bct_begin(client, &client->jobs[client->next++]);
	if (client->next == client->load->njobs)
		return;
	in_us = client->load->jobs[client->next].due_us - now_us;
	tv.tv_sec = (time_t)(in_us / 1000000);
	tv.tv_usec = (suseconds_t)(in_us % 1000000);
	(void)event_add(client->due, &tv);
}

/* Cancellation */

static void
bct_cancel_done(struct evhttp_request *request, void *arg)
{
	(void)request;
	(void)arg;
}

static void
bct_cancel(struct bct_job *job)
{
	struct bct_conn *conn = bct_conn_open(job->client, job->conn->host);
	struct evhttp_request *request = bct_request(bct_cancel_done, NULL);
	char path[TICKET_SIZE + 16];

	job->cancelled = true;
	job->client->counts.requests++;
	(void)snprintf(path, sizeof(path), "/v1/jobs/%s", job->id);
	(void)evhttp_make_request(conn->http, request, EVHTTP_REQ_DELETE, path);
}

void
bct_cancel_some(struct bench_client *client, double share)
{
	struct bct_job *job;
	int i;

	for (i = 0; i < client->next; i++) {
		job = &client->jobs[i];
		if (client->results[i].end == BENCH_PENDING &&
		    !job->job->single && job->conn != NULL &&
		    job->id[0] != '\0' && bwl_uniform(&client->random) < share)
			bct_cancel(job);
	}
}

/* The whole */

struct bench_client *
bct_create(struct event_base *base, struct bench_cluster *cluster,
    const struct bench_load *load, uint64_t seed)
{
	struct bench_client *client = calloc(1, sizeof(*client));
	size_t njobs = (size_t)load->njobs + 1;
	int i;

	if (client == NULL)
		err(1, "calloc");
	client->base = base;
	client->cluster = cluster;
	client->load = load;
	client->random = seed;
	client->errors = json_object();
	client->results = calloc(njobs, sizeof(*client->results));
	client->jobs = calloc(njobs, sizeof(*client->jobs));
	client->due = evtimer_new(base, bct_due, client);
	client->balancer =
	    event_new(base, -1, EV_PERSIST, bct_balancer_tick, client);
	if (client->results == NULL || client->jobs == NULL ||
	    client->due == NULL || client->balancer == NULL)
		err(1, "calloc");
	TAILQ_INIT(&client->all);
	for (i = 0; i < BENCH_HOSTS_MAX; i++)
		TAILQ_INIT(&client->idle[i]);
	for (i = 0; i < load->njobs; i++) {
		client->jobs[i].job = &load->jobs[i];
		client->jobs[i].client = client;
		client->results[i].end = BENCH_PENDING;
		client->results[i].due_us = load->jobs[i].due_us;
	}
	return client;
}

static int
bct_nidle(const struct bench_client *client)
{
	const struct bct_conn *conn;
	int i, n = 0;

	for (i = 0; i < client->cluster->shape.nhosts; i++) {
		TAILQ_FOREACH (conn, &client->idle[i], entry)
			n++;
	}
	return n;
}

void
bct_warm(struct bench_client *client, int per_host)
{
	uint64_t until_us = bpr_now_us() + (uint64_t)BENCH_WAIT_MS * 1000;
	int i, host, wanted = per_host * client->cluster->shape.nhosts;

	for (host = 0; host < client->cluster->shape.nhosts; host++) {
		for (i = 0; i < per_host; i++)
			bct_fetch_ticket(bct_conn_open(client, host));
	}
	while (bct_nidle(client) < wanted && bpr_now_us() < until_us)
		(void)event_base_loop(client->base, EVLOOP_ONCE);
	memset(&client->counts, 0, sizeof(client->counts));
}

void
bct_start(struct bench_client *client)
{
	const struct timeval interval = { .tv_usec = BCT_BALANCER_MS * 1000 };

	client->start_us = bpr_now_us();
	(void)event_add(client->balancer, &interval);
	bct_due(-1, 0, client);
}

bool
bct_is_done(const struct bench_client *client)
{
	return client->nended == client->load->njobs;
}

void
bct_give_up(struct bench_client *client)
{
	int i;

	for (i = 0; i < client->load->njobs; i++)
		bct_end(&client->jobs[i],
		    client->jobs[i].cancelled ? BENCH_CANCELLED : BENCH_LOST);
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
	TAILQ_FOREACH_SAFE (conn, &client->all, all_entry, next) {
		evhttp_connection_free(conn->http);
		free(conn);
	}
	for (i = 0; i < BENCH_HOSTS_MAX; i++) {
		if (client->ready_conns[i] != NULL)
			evhttp_connection_free(client->ready_conns[i]);
	}
	event_free(client->due);
	event_free(client->balancer);
	json_decref(client->errors);
	free(client->results);
	free(client->jobs);
	free(client);
}
