/*
 * Throughput of one entry host with instant backend servers: task starts per
 * second and per core, requests per second, and the latency that the host adds
 * to a request.
 *
 * The bodies of the tasks state no run time, so that the servers answer
 * immediately.
 */

#include <err.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

#define BTH_WINDOW_S 5.0
#define BTH_WARMUP_S 1.0
#define BTH_SAMPLES_MAX 1000000
#define BTH_JOB_CONNECTIONS 16
#define BTH_REQUEST_CONNECTIONS 64

/*
 * A closed loop: each connection sends the next request when it has received
 * the answer to the previous one.
 */
struct bth_loop {
	const char *path;
	char *body;
	size_t body_len;
	bool is_job; /* unused */
	/* Answers in this window are sampled. */
	uint64_t window_start_us, window_end_us;
	uint32_t *samples_us;
	size_t nsamples;
	size_t nfailed;
	struct event_base *base;
};

struct bth_conn {
	struct bth_loop *loop;
	struct evhttp_connection *http;
	uint64_t sent_us;
};

static void bth_send_request(struct bth_conn *conn);

static void
bth_request_done(struct evhttp_request *request, void *arg)
{
	struct bth_conn *conn = arg;
	struct bth_loop *loop = conn->loop;
	uint64_t now_us = bpr_now_us();

	if (request == NULL || evhttp_request_get_response_code(request) != 200)
		loop->nfailed++;
	else if (now_us >= loop->window_start_us &&
	    now_us < loop->window_end_us && loop->nsamples < BTH_SAMPLES_MAX)
		loop->samples_us[loop->nsamples++] =
		    (uint32_t)(now_us - conn->sent_us);
	if (now_us < loop->window_end_us && loop->nfailed < 100)
		bth_send_request(conn);
	else
		(void)event_base_loopbreak(loop->base);
}

static void
bth_send_request(struct bth_conn *conn)
{
	struct evhttp_request *request =
	    evhttp_request_new(bth_request_done, conn);
	struct evkeyvalq *headers;

	if (request == NULL)
		err(1, "evhttp_request_new");
	headers = evhttp_request_get_output_headers(request);
	evhttp_add_header(headers, "Host", "localhost");
	evhttp_add_header(headers, "Berylrail-Job", "booth");
	evbuffer_add(evhttp_request_get_output_buffer(request),
	    conn->loop->body, conn->loop->body_len);
	conn->sent_us = bpr_now_us();
	if (evhttp_make_request(conn->http, request, EVHTTP_REQ_POST,
		conn->loop->path) < 0)
		errx(1, "evhttp_make_request");
}

static int
bth_compare(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static double
bth_percentile(const struct bth_loop *loop, double fraction)
{
	size_t i = (size_t)((double)loop->nsamples * fraction);

	return loop->nsamples > 0 ? loop->samples_us[i] : 0;
}

/*
 * Runs a closed loop of @nconns connections to @port. The caller frees the
 * samples, which are in ascending order.
 */
static void
bth_run_loop(struct bth_loop *loop, uint16_t port, int nconns)
{
	struct bth_conn *conns = calloc((size_t)nconns, sizeof(*conns));
	int i;

	loop->base = event_base_new();
	loop->samples_us = calloc(BTH_SAMPLES_MAX, sizeof(uint32_t));
	if (conns == NULL || loop->base == NULL || loop->samples_us == NULL)
		err(1, "calloc");
	loop->window_start_us = bpr_now_us() + (uint64_t)(BTH_WARMUP_S * 1e6);
	loop->window_end_us =
	    loop->window_start_us + (uint64_t)(BTH_WINDOW_S * 1e6);
	for (i = 0; i < nconns; i++) {
		conns[i].loop = loop;
		conns[i].http = evhttp_connection_base_new(loop->base, NULL,
		    "127.0.0.1", port);
		bth_send_request(&conns[i]);
	}
	(void)event_base_dispatch(loop->base);
	qsort(loop->samples_us, loop->nsamples, sizeof(uint32_t), bth_compare);
	for (i = 0; i < nconns; i++)
		evhttp_connection_free(conns[i].http);
	event_base_free(loop->base);
	free(conns);
}

static void
bth_build_job_body(struct bth_loop *loop, int ntasks)
{
	FILE *out = open_memstream(&loop->body, &loop->body_len);
	int i;

	if (out == NULL)
		err(1, "open_memstream");
	(void)fprintf(out, "{\"job\": \"booth\", \"tasks\": [");
	for (i = 0; i < ntasks; i++)
		(void)fprintf(out, "%s{\"run_ms\": 1, \"body\": \"x\"}",
		    i > 0 ? "," : "");
	(void)fprintf(out, "]}");
	(void)fclose(out);
}

/* Runs a loop against the entry host and prints its row of the table. */
static void
bth_measure(struct bench_cluster *cluster, struct bth_loop *loop, int nconns,
    int ntasks, const char *name)
{
	double cpu_s = bpr_cpu_s(cluster->hosts[0].pid), answers_per_s;
	json_t *sums = json_object();
	double starts, elapsed_s;
	uint64_t start_us;

	bsc_add_metrics(sums, cluster->hosts[0].http_port, -1);
	start_us = bpr_now_us();
	bth_run_loop(loop, cluster->hosts[0].http_port, nconns);
	elapsed_s = (double)(bpr_now_us() - start_us) / 1e6;
	cpu_s = bpr_cpu_s(cluster->hosts[0].pid) - cpu_s;
	bsc_add_metrics(sums, cluster->hosts[0].http_port, 1);
	answers_per_s = (double)loop->nsamples / BTH_WINDOW_S;
	starts = bsc_sum_series(sums,
	    "berylrail_messages_total{hop=\"backend\",kind=\"start\"");
	if (starts <= 0)
		starts = answers_per_s * ntasks * elapsed_s;
	(void)printf("| %s | %.0f | %.0f | %.2f | %.0f | %.2f | %.2f | %.2f | "
		     "%zu |\n",
	    name, answers_per_s, answers_per_s * ntasks, cpu_s / elapsed_s,
	    starts / cpu_s, bth_percentile(loop, 0.5) / 1e3,
	    bth_percentile(loop, 0.99) / 1e3,
	    bsc_sum_series(sums, "berylrail_messages_total{") * ntasks / starts,
	    loop->nfailed);
	(void)fflush(stdout);
	json_decref(sums);
}

static void
bth_measure_latency(struct bench_cluster *cluster)
{
	struct bth_loop via_host = { .path = "/v1/services/booth/requests",
		.body = (char *)"x",
		.body_len = 1 };
	struct bth_loop direct = { .path = "/run",
		.body = (char *)"x",
		.body_len = 1 };

	bth_run_loop(&direct, cluster->server_ports[0], 1);
	bth_run_loop(&via_host, cluster->hosts[0].http_port, 1);
	(void)printf("\nOne request at a time: direct p50 %.3f ms, p99 %.3f ms;"
		     " through the entry host p50 %.3f ms, p99 %.3f ms; added "
		     "p50 %.3f ms, p99 %.3f ms (%zu and %zu requests, %zu "
		     "failed)\n",
	    bth_percentile(&direct, 0.5) / 1e3,
	    bth_percentile(&direct, 0.99) / 1e3,
	    bth_percentile(&via_host, 0.5) / 1e3,
	    bth_percentile(&via_host, 0.99) / 1e3,
	    (bth_percentile(&via_host, 0.5) - bth_percentile(&direct, 0.5)) /
		1e3,
	    (bth_percentile(&via_host, 0.99) - bth_percentile(&direct, 0.99)) /
		1e3,
	    direct.nsamples, via_host.nsamples,
	    direct.nfailed + via_host.nfailed);
	free(direct.samples_us);
	free(via_host.samples_us);
}

int
bth_run(const struct bench_options *options)
{
	static const int ntasks[] = { 170, 32, 1 };
	struct bench_cluster cluster = {
		.params = { .nzones = 1,
		    .nhosts = 1,
		    .nservers = 48,
		    .slots = 16,
		    .speeds = "100",
		    .no_record = true },
		.policy = "default",
		.seed = 1,
	};
	struct bth_loop requests = { .path = "/v1/services/booth/requests",
		.body = (char *)"x",
		.body_len = 1 };
	char name[64];
	size_t i;

	(void)options;
	if (bcl_start(&cluster) < 0) {
		bcl_stop(&cluster);
		return 1;
	}
	(void)printf(
	    "| work | answers/s | task starts/s | cores used | starts "
	    "per core-second | p50 ms | p99 ms | messages per answer | "
	    "failed |\n|---|---|---|---|---|---|---|---|---|\n");
	for (i = 0; i < sizeof(ntasks) / sizeof(ntasks[0]); i++) {
		struct bth_loop jobs = { .path = "/v1/jobs?wait=20000" };

		bth_build_job_body(&jobs, ntasks[i]);
		(void)snprintf(name, sizeof(name),
		    "jobs of %d tasks, %d concurrent", ntasks[i],
		    BTH_JOB_CONNECTIONS);
		bth_measure(&cluster, &jobs, BTH_JOB_CONNECTIONS, ntasks[i],
		    name);
		free(jobs.body);
		free(jobs.samples_us);
	}
	(void)snprintf(name, sizeof(name), "single requests, %d concurrent",
	    BTH_REQUEST_CONNECTIONS);
	bth_measure(&cluster, &requests, BTH_REQUEST_CONNECTIONS, 1, name);
	free(requests.samples_us);
	bth_measure_latency(&cluster);
	bcl_stop(&cluster);
	return 0;
}
