/*
 * Slopes of control cost: what a node without load spends on processor time,
 * memory and messages between hosts, over the number of hosts, of backend
 * servers in the configuration, and of changes a second.
 */

#include <err.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench.h"
#include "support/cluster.h"

#define BCP_WINDOW_S 6
#define BCP_SETTLE_S 3
#define BCP_POINTS_MAX 8

/* What one node spends. */
struct bcp_cost {
	double cpu; /* share of a core, percent */
	double rss_mb;
	double sent_bytes_s; /* frames, without TCP/IP */
	double messages_s;   /* frames sent */
};

/* A cost over a count, and its least-squares line. */
struct bcp_series {
	const char *what;
	double x[BCP_POINTS_MAX];
	struct bcp_cost y[BCP_POINTS_MAX];
	int n;
};

static void
bcp_sample(struct bench_cluster *cluster, json_t *sums, int sign, double *cpu_s,
    double *rss)
{
	int i;

	*cpu_s = *rss = 0;
	for (i = 0; i < cluster->shape.nhosts; i++) {
		bsc_add(sums, cluster->hosts[i].http_port, sign);
		*cpu_s += bpr_cpu_s(cluster->hosts[i].pid);
		*rss += bpr_rss_bytes(cluster->hosts[i].pid);
	}
}

/* Relabels a server that no job uses. */
static void
bcp_change(struct bench_cluster *cluster, int number)
{
	struct clu_reply reply;
	char body[256];

	(void)snprintf(body, sizeof(body),
	    "{\"id\": \"capacity-%d\", \"why\": \"bench\", \"ops\": [{\"op\": "
	    "\"label\", \"kind\": \"server\", \"name\": \"s1\", \"set\": "
	    "{\"try\": \"n%d\"}, \"unset\": []}]}",
	    number, number);
	clu_http(cluster->hosts[0].http_port, "POST", "/v1/config/changes",
	    "Berylrail-Operator: bench\r\n", body, BENCH_WAIT_MS, &reply);
	if (reply.status != 200)
		warnx("change: %d %s", reply.status, reply.body);
	clu_reply_free(&reply);
}

static void
bcp_window(struct bench_cluster *cluster, double changes_s)
{
	uint64_t start_us = bpr_now_us(), now_us;
	double next_s = 0;
	static int number;

	while ((now_us = bpr_now_us() - start_us) < BCP_WINDOW_S * 1000000) {
		if (changes_s > 0 && (double)now_us / 1e6 >= next_s) {
			bcp_change(cluster, number++);
			next_s += 1 / changes_s;
		}
		(void)usleep(5000);
	}
}

static int
bcp_measure(const struct bench_shape *shape, double changes_s,
    struct bcp_cost *cost)
{
	struct bench_cluster cluster = { .shape = *shape,
		.policy = "default",
		.seed = 1 };
	double cpu0, cpu1, rss, nodes = shape->nhosts;
	json_t *sums = json_object();
	int rc = bcl_start(&cluster);

	if (rc == 0) {
		(void)sleep(BCP_SETTLE_S);
		bcp_sample(&cluster, sums, -1, &cpu0, &rss);
		bcp_window(&cluster, changes_s);
		bcp_sample(&cluster, sums, 1, &cpu1, &rss);
		cost->cpu = (cpu1 - cpu0) / BCP_WINDOW_S / nodes * 100;
		cost->rss_mb = rss / nodes / 1e6;
		cost->sent_bytes_s =
		    bsc_sum(sums, "berylrail_peer_sent_bytes_total") /
		    BCP_WINDOW_S / nodes;
		cost->messages_s =
		    bsc_sum(sums, "berylrail_messages_total{hop=\"peer\"") /
		    BCP_WINDOW_S / nodes;
	}
	bcl_stop(&cluster);
	json_decref(sums);
	return rc;
}

/* Least squares over one member of the costs; prints a row. */
static void
bcp_fit(const struct bcp_series *series, const char *name, size_t offset)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, rest = 0, slope, base, error;
	double n = series->n, y, d;
	int i;

	for (i = 0; i < series->n; i++) {
		y = *(const double *)((const char *)&series->y[i] + offset);
		sx += series->x[i];
		sy += y;
		sxx += series->x[i] * series->x[i];
		sxy += series->x[i] * y;
	}
	d = n * sxx - sx * sx;
	slope = (n * sxy - sx * sy) / d;
	base = (sy - slope * sx) / n;
	for (i = 0; i < series->n; i++) {
		y = *(const double *)((const char *)&series->y[i] + offset);
		rest += pow(y - base - slope * series->x[i], 2);
	}
	error = n > 2 ? sqrt(rest / (n - 2) / (d / n)) : 0;
	(void)printf("| %s | %s | ", series->what, name);
	for (i = 0; i < series->n; i++)
		(void)printf("%s%g: %.3f", i > 0 ? ", " : "", series->x[i],
		    *(const double *)((const char *)&series->y[i] + offset));
	(void)printf(" | %.3f | %.5f ± %.5f |\n", base, slope, error);
}

static void
bcp_print(const struct bcp_series *series)
{
	bcp_fit(series, "processor, % of a core",
	    offsetof(struct bcp_cost, cpu));
	bcp_fit(series, "memory, MB", offsetof(struct bcp_cost, rss_mb));
	bcp_fit(series, "sent to peers, bytes/s",
	    offsetof(struct bcp_cost, sent_bytes_s));
	bcp_fit(series, "frames to peers, 1/s",
	    offsetof(struct bcp_cost, messages_s));
	(void)fflush(stdout);
}

static void
bcp_point(struct bcp_series *series, double x, const struct bench_shape *shape,
    double changes_s)
{
	struct bcp_cost cost;

	(void)fprintf(stderr, "%s: %g\n", series->what, x);
	if (bcp_measure(shape, changes_s, &cost) < 0) {
		warnx("%s: %g could not be measured", series->what, x);
		return;
	}
	series->x[series->n] = x;
	series->y[series->n++] = cost;
}

int
bcp_run(const struct bench_options *options)
{
	static const int hosts[] = { 2, 4, 8, 16, 24 };
	static const int configs[] = { 0, 200, 400, 800, 1600 };
	static const double rates[] = { 0, 0.5, 1, 2 };
	struct bench_shape shape = { .nzones = 1,
		.nhosts = 2,
		.nservers = 8,
		.slots = 8,
		.speeds = "100" };
	struct bcp_series by_hosts = { .what = "entry hosts of one zone" };
	struct bcp_series by_servers = { .what = "servers configured" };
	struct bcp_series by_rate = { .what = "changes a second, 200 servers" };
	struct bcp_series by_rate_large = {
		.what = "changes a second, 1600 servers",
	};
	size_t i;

	(void)options;
	(void)printf("| over | cost of one node | points | at 0 | slope |\n"
		     "|---|---|---|---|---|\n");
	for (i = 0; i < sizeof(hosts) / sizeof(hosts[0]); i++) {
		shape.nhosts = hosts[i];
		bcp_point(&by_hosts, hosts[i], &shape, 0);
	}
	bcp_print(&by_hosts);
	shape.nhosts = 2;
	for (i = 0; i < sizeof(configs) / sizeof(configs[0]); i++) {
		shape.nconfig = configs[i];
		bcp_point(&by_servers, configs[i], &shape, 0);
	}
	bcp_print(&by_servers);
	shape.nconfig = 200;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++)
		bcp_point(&by_rate, rates[i], &shape, rates[i]);
	bcp_print(&by_rate);
	shape.nconfig = 1600;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++)
		bcp_point(&by_rate_large, rates[i], &shape, rates[i]);
	bcp_print(&by_rate_large);
	return 0;
}
