/*
 * Control cost of an entry host without load: CPU time, memory and messages to
 * peers, as linear functions of the number of entry hosts, of configured
 * backend servers, and of configuration changes per second.
 */

#include <err.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench.h"
#include "support/cluster.h"

#define BCP_WINDOW_S 6 /* length of a measurement */
#define BCP_SETTLE_S 3 /* wait before a measurement */
#define BCP_POINTS_MAX 8

/* Control cost of one entry host. */
struct bcp_cost {
	double cpu_percent; /* of one core */
	double rss_mb;
	double sent_bytes_per_s; /* size of frames, without TCP/IP headers */
	double messages_per_s;	 /* frames sent */
};

/* Measured costs @y at the values @x of one variable. */
struct bcp_series {
	const char *x_name;
	double x[BCP_POINTS_MAX];
	struct bcp_cost y[BCP_POINTS_MAX];
	int n;
};

/*
 * Adds the metrics of all hosts, multiplied by @sign, to @sums. Sets *@cpu_s
 * and *@rss_bytes to the totals of all hosts.
 */
static void
bcp_add_sample(struct bench_cluster *cluster, json_t *sums, int sign,
    double *cpu_s, double *rss_bytes)
{
	int i;

	*cpu_s = *rss_bytes = 0;
	for (i = 0; i < cluster->params.nhosts; i++) {
		bsc_add_metrics(sums, cluster->hosts[i].http_port, sign);
		*cpu_s += bpr_cpu_s(cluster->hosts[i].pid);
		*rss_bytes += bpr_rss_bytes(cluster->hosts[i].pid);
	}
}

/* Changes a label of server s1 that no selector uses. */
static void
bcp_post_change(struct bench_cluster *cluster, int change_number)
{
	struct clu_reply reply;
	char body[256];

	(void)snprintf(body, sizeof(body),
	    "{\"id\": \"capacity-%d\", \"why\": \"bench\", \"ops\": [{\"op\": "
	    "\"label\", \"kind\": \"server\", \"name\": \"s1\", \"set\": "
	    "{\"try\": \"n%d\"}, \"unset\": []}]}",
	    change_number, change_number);
	clu_http(cluster->hosts[0].http_port, "POST", "/v1/config/changes",
	    "Berylrail-Operator: bench\r\n", body, BENCH_TIMEOUT_MS, &reply);
	if (reply.status != 200)
		warnx("configuration change failed: HTTP status %d: %s",
		    reply.status, reply.body);
	clu_reply_free(&reply);
}

static void
bcp_run_window(struct bench_cluster *cluster, double changes_per_s)
{
	uint64_t start_us = bpr_now_us(), now_us;
	double next_change_s = 0;
	static int change_number;

	while ((now_us = bpr_now_us() - start_us) < BCP_WINDOW_S * 1000000) {
		if (changes_per_s > 0 &&
		    (double)now_us / 1e6 >= next_change_s) {
			bcp_post_change(cluster, change_number++);
			next_change_s += 1 / changes_per_s;
		}
		(void)usleep(5000);
	}
}

static int
bcp_measure(const struct bench_cluster_params *params, double changes_per_s,
    struct bcp_cost *cost)
{
	struct bench_cluster cluster = { .params = *params,
		.policy = "default",
		.seed = 1 };
	double cpu_start_s, cpu_end_s, rss_bytes, host_count = params->nhosts;
	json_t *sums = json_object();
	int rc = bcl_start(&cluster);

	if (rc == 0) {
		(void)sleep(BCP_SETTLE_S);
		bcp_add_sample(&cluster, sums, -1, &cpu_start_s, &rss_bytes);
		bcp_run_window(&cluster, changes_per_s);
		bcp_add_sample(&cluster, sums, 1, &cpu_end_s, &rss_bytes);
		cost->cpu_percent =
		    (cpu_end_s - cpu_start_s) / BCP_WINDOW_S / host_count * 100;
		cost->rss_mb = rss_bytes / host_count / 1e6;
		cost->sent_bytes_per_s =
		    bsc_sum_series(sums, "berylrail_peer_sent_bytes_total") /
		    BCP_WINDOW_S / host_count;
		cost->messages_per_s =
		    bsc_sum_series(sums,
			"berylrail_messages_total{hop=\"peer\"") /
		    BCP_WINDOW_S / host_count;
	}
	bcl_stop(&cluster);
	json_decref(sums);
	return rc;
}

/*
 * Fits a least-squares line to the member of the costs at @offset and prints
 * its points, intercept, slope and the standard error of the slope as a row.
 */
static void
bcp_print_fit(const struct bcp_series *series, const char *name, size_t offset)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, residual_sum = 0, slope,
	       intercept, error;
	double n = series->n, y, denominator;
	int i;

	for (i = 0; i < series->n; i++) {
		y = *(const double *)((const char *)&series->y[i] + offset);
		sx += series->x[i];
		sy += y;
		sxx += series->x[i] * series->x[i];
		sxy += series->x[i] * y;
	}
	denominator = n * sxx - sx * sx;
	slope = (n * sxy - sx * sy) / denominator;
	intercept = (sy - slope * sx) / n;
	for (i = 0; i < series->n; i++) {
		y = *(const double *)((const char *)&series->y[i] + offset);
		residual_sum += pow(y - intercept - slope * series->x[i], 2);
	}
	error = n > 2 ? sqrt(residual_sum / (n - 2) / (denominator / n)) : 0;
	(void)printf("| %s | %s | ", series->x_name, name);
	for (i = 0; i < series->n; i++)
		(void)printf("%s%g: %.3f", i > 0 ? ", " : "", series->x[i],
		    *(const double *)((const char *)&series->y[i] + offset));
	(void)printf(" | %.3f | %.5f ± %.5f |\n", intercept, slope, error);
}

static void
bcp_print_series(const struct bcp_series *series)
{
	bcp_print_fit(series, "CPU, % of a core",
	    offsetof(struct bcp_cost, cpu_percent));
	bcp_print_fit(series, "memory, MB", offsetof(struct bcp_cost, rss_mb));
	bcp_print_fit(series, "sent to peers, bytes/s",
	    offsetof(struct bcp_cost, sent_bytes_per_s));
	bcp_print_fit(series, "frames to peers, 1/s",
	    offsetof(struct bcp_cost, messages_per_s));
	(void)fflush(stdout);
}

static void
bcp_measure_point(struct bcp_series *series, double x,
    const struct bench_cluster_params *params, double changes_per_s)
{
	struct bcp_cost cost;

	(void)fprintf(stderr, "%s: %g\n", series->x_name, x);
	if (bcp_measure(params, changes_per_s, &cost) < 0) {
		warnx("%s: measurement at %g failed", series->x_name, x);
		return;
	}
	series->x[series->n] = x;
	series->y[series->n++] = cost;
}

int
bcp_run(const struct bench_options *options)
{
	static const int hosts[] = { 2, 4, 8, 16, 24 };
	static const int extra_servers[] = { 0, 200, 400, 800, 1600 };
	static const double rates[] = { 0, 0.5, 1, 2 };
	struct bench_cluster_params params = { .nzones = 1,
		.nhosts = 2,
		.nservers = 8,
		.slots = 8,
		.speeds = "100" };
	struct bcp_series by_hosts = {
		.x_name = "entry hosts of one availability zone"
	};
	struct bcp_series by_servers = { .x_name = "configured servers" };
	struct bcp_series by_rate = { .x_name =
					  "changes/s, 200 configured servers" };
	struct bcp_series by_rate_large = {
		.x_name = "changes/s, 1600 configured servers",
	};
	size_t i;

	(void)options;
	(void)printf(
	    "| variable | cost of one entry host | points | at 0 | slope |\n"
	    "|---|---|---|---|---|\n");
	for (i = 0; i < sizeof(hosts) / sizeof(hosts[0]); i++) {
		params.nhosts = hosts[i];
		bcp_measure_point(&by_hosts, hosts[i], &params, 0);
	}
	bcp_print_series(&by_hosts);
	params.nhosts = 2;
	for (i = 0; i < sizeof(extra_servers) / sizeof(extra_servers[0]); i++) {
		params.nconfig_only = extra_servers[i];
		bcp_measure_point(&by_servers, extra_servers[i], &params, 0);
	}
	bcp_print_series(&by_servers);
	params.nconfig_only = 200;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++)
		bcp_measure_point(&by_rate, rates[i], &params, rates[i]);
	bcp_print_series(&by_rate);
	params.nconfig_only = 1600;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++)
		bcp_measure_point(&by_rate_large, rates[i], &params, rates[i]);
	bcp_print_series(&by_rate_large);
	return 0;
}
