/*
 * The cases: load, mix of jobs, and what is done to the cluster meanwhile.
 */

#include <err.h>
#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "bench.h"

#define BCA_USUAL                              \
	{                                      \
		.singles = 0.4, .larges = 0.15 \
	}
#define BCA_LEN_S 10

static void
bca_server_mode(struct bench_cluster *cluster, int server, const char *mode)
{
	char members[64];

	(void)snprintf(members, sizeof(members), "\"mode\": \"%s\"", mode);
	(void)bcl_server_control(cluster, server, members);
}

static void
bca_fail_all(struct bench_cluster *cluster, struct bench_client *client,
    int server)
{
	(void)client;
	bca_server_mode(cluster, server, "fail_all");
}

static void
bca_hang_all(struct bench_cluster *cluster, struct bench_client *client,
    int server)
{
	(void)client;
	bca_server_mode(cluster, server, "hang_all");
}

static void
bca_down(struct bench_cluster *cluster, struct bench_client *client,
    int nservers)
{
	int i;

	/* Spread over zones and speeds. */
	(void)client;
	for (i = 0; i < nservers; i++)
		bca_server_mode(cluster, i * 11 % cluster->shape.nservers,
		    "down");
}

static void
bca_slow(struct bench_cluster *cluster, struct bench_client *client, int server)
{
	(void)client;
	(void)bcl_server_control(cluster, server, "\"speed\": 10");
}

static void
bca_cancel(struct bench_cluster *cluster, struct bench_client *client,
    int percent)
{
	(void)cluster;
	bct_cancel_some(client, percent / 100.0);
}

static void
bca_platform(struct bench_cluster *cluster, struct bench_client *client,
    int down)
{
	(void)client;
	(void)bcl_control(cluster->platform_port, "/control",
	    "{\"mode\": \"%s\"}", down ? "down" : "ok");
}

static void
bca_cut_zone(struct bench_cluster *cluster, struct bench_client *client,
    int cut)
{
	int i;

	(void)client;
	for (i = 0; i < cluster->shape.nhosts; i += cluster->shape.nzones) {
		(void)bcl_control(cluster->proxy_port, "/control",
		    "{\"link\": \"*-%s\", \"mode\": \"%s\"}",
		    cluster->hosts[i].name, cut ? "drop" : "pass");
		/* Streams with a hole in them are of no use afterwards. */
		if (!cut)
			(void)bcl_control(cluster->proxy_port, "/cut",
			    "{\"link\": \"*-%s\"}", cluster->hosts[i].name);
	}
}

static void
bca_terminate(struct bench_cluster *cluster, struct bench_client *client,
    int host)
{
	(void)client;
	bsc_add(cluster->counters, cluster->hosts[host].http_port, 1);
	(void)kill(cluster->hosts[host].pid, SIGTERM);
}

/* The old process has had time to drain; what is left of it is killed. */
static void
bca_replace(struct bench_cluster *cluster, struct bench_client *client,
    int host)
{
	(void)client;
	if (waitpid(cluster->hosts[host].pid, NULL, WNOHANG) == 0) {
		warnx("%s: still draining, killed", cluster->hosts[host].name);
		bpr_kill(&cluster->hosts[host].pid);
	}
	(void)bcl_host_start(cluster, host);
}

static void
bca_kill_host(struct bench_cluster *cluster, struct bench_client *client,
    int host)
{
	(void)client;
	bsc_add(cluster->counters, cluster->hosts[host].http_port, 1);
	bpr_kill(&cluster->hosts[host].pid);
}

const struct bench_case bench_cases[] = {
	{ .name = "steady50",
	    .what = "steady load, 50 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.5 } } },
	{ .name = "steady80",
	    .what = "steady load, 80 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.8 } } },
	{ .name = "steady95",
	    .what = "steady load, 95 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.95 } } },
	{ .name = "failing",
	    .what = "a server fails all it starts, at once; 80 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.8 } },
	    .events = { { 2, bca_fail_all, 2 } },
	    .settle_s = 5 },
	{ .name = "overload",
	    .what = "overload, 2 times",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 2 } } },
	{ .name = "burst",
	    .what = "50 %, with a burst of 5 times for 1.5 s",
	    .mix = BCA_USUAL,
	    .phases = { { 3, 0.5 }, { 4.5, 2.5 }, { BCA_LEN_S, 0.5 } } },
	{ .name = "straggler",
	    .what = "a server becomes 10 times slower; 50 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.5 } },
	    .events = { { 2, bca_slow, 2 } },
	    .settle_s = 5 },
	{ .name = "hanging",
	    .what = "a server accepts and never answers; 50 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.5 } },
	    .events = { { 2, bca_hang_all, 2 } },
	    .settle_s = 5 },
	{ .name = "lost-servers",
	    .what = "a tenth of the servers is lost together; 50 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.5 } },
	    .events = { { 3, bca_down, 5 } },
	    .settle_s = 5 },
	{ .name = "cancel",
	    .what = "half of the jobs are cancelled in three waves; 95 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.95 } },
	    .events = { { 3, bca_cancel, 50 }, { 5, bca_cancel, 50 },
		{ 7, bca_cancel, 50 } } },
	{ .name = "platform-down",
	    .what = "the platform is down all the time; 80 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.8 } },
	    .events = { { 0, bca_platform, 1 } } },
	{ .name = "rolling",
	    .what = "rolling restart of three hosts; 50 %",
	    .mix = BCA_USUAL,
	    .phases = { { 20, 0.5 } },
	    .events = { { 1, bca_terminate, 0 }, { 10, bca_replace, 0 },
		{ 1.2, bca_terminate, 1 }, { 10.2, bca_replace, 1 },
		{ 10.4, bca_terminate, 2 }, { 19.5, bca_replace, 2 } } },
	{ .name = "zone-cut",
	    .what = "a zone is cut off from the others and the platform; 50 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.5 } },
	    .events = { { 2, bca_cut_zone, 1 }, { 8, bca_cut_zone, 0 } } },
	{ .name = "host-killed",
	    .what = "an entry host is killed; 50 %",
	    .mix = BCA_USUAL,
	    .phases = { { BCA_LEN_S, 0.5 } },
	    .events = { { 3, bca_kill_host, 0 } },
	    .settle_s = 5 },
	{ .name = "declared-off",
	    .what = "declared run times are off by 10 times; 80 %",
	    .mix = { .singles = 0.4, .larges = 0.15, .declared_error = 10 },
	    .phases = { { BCA_LEN_S, 0.8 } } },
	{ .name = "impossible",
	    .what = "a fifth of the jobs no server can run; 50 %",
	    .mix = { .singles = 0.4, .larges = 0.15, .impossible = 0.2 },
	    .phases = { { BCA_LEN_S, 0.5 } } },
};

const size_t bench_ncases = sizeof(bench_cases) / sizeof(bench_cases[0]);

const struct bench_case *
bca_find(const char *name)
{
	size_t i;

	for (i = 0; i < bench_ncases; i++) {
		if (strcmp(bench_cases[i].name, name) == 0)
			return &bench_cases[i];
	}
	return NULL;
}
