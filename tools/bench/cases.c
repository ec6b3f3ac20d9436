/*
 * The cases: offered load, mix of jobs, and the actions on the cluster while
 * the load runs.
 */

#include <err.h>
#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "bench.h"

#define BCA_DEFAULT_MIX                                  \
	{                                                \
		.single_share = 0.4, .large_share = 0.15 \
	}
#define BCA_DURATION_S 10

static void
bca_set_server_mode(struct bench_cluster *cluster, int server, const char *mode)
{
	char members[64];

	(void)snprintf(members, sizeof(members), "\"mode\": \"%s\"", mode);
	(void)bcl_server_control(cluster, server, members);
}

static void
bca_server_fail_all(struct bench_cluster *cluster, struct bench_client *client,
    int server)
{
	(void)client;
	bca_set_server_mode(cluster, server, "fail_all");
}

static void
bca_server_hang_all(struct bench_cluster *cluster, struct bench_client *client,
    int server)
{
	(void)client;
	bca_set_server_mode(cluster, server, "hang_all");
}

static void
bca_servers_down(struct bench_cluster *cluster, struct bench_client *client,
    int nservers)
{
	int i;

	/* The stride 11 spreads them over availability zones and speeds. */
	(void)client;
	for (i = 0; i < nservers; i++)
		bca_set_server_mode(cluster, i * 11 % cluster->params.nservers,
		    "down");
}

static void
bca_server_slow(struct bench_cluster *cluster, struct bench_client *client,
    int server)
{
	(void)client;
	(void)bcl_server_control(cluster, server, "\"speed\": 10");
}

static void
bca_cancel_jobs(struct bench_cluster *cluster, struct bench_client *client,
    int percent)
{
	(void)cluster;
	bct_cancel_share(client, percent / 100.0);
}

static void
bca_platform_set_down(struct bench_cluster *cluster,
    struct bench_client *client, int down)
{
	(void)client;
	(void)bcl_control(cluster->platform_port, "/control",
	    "{\"mode\": \"%s\"}", down ? "down" : "ok");
}

static void
bca_partition_zone(struct bench_cluster *cluster, struct bench_client *client,
    int partitioned)
{
	int i;

	(void)client;
	for (i = 0; i < cluster->params.nhosts; i += cluster->params.nzones) {
		(void)bcl_control(cluster->proxy_port, "/control",
		    "{\"link\": \"*-%s\", \"mode\": \"%s\"}",
		    cluster->hosts[i].name, partitioned ? "drop" : "pass");
		/*
		 * Connections that have lost data cannot continue, so the
		 * proxy resets them.
		 */
		if (!partitioned)
			(void)bcl_control(cluster->proxy_port, "/cut",
			    "{\"link\": \"*-%s\"}", cluster->hosts[i].name);
	}
}

static void
bca_terminate_host(struct bench_cluster *cluster, struct bench_client *client,
    int host)
{
	(void)client;
	bsc_add_metrics(cluster->counters, cluster->hosts[host].http_port, 1);
	(void)kill(cluster->hosts[host].pid, SIGTERM);
}

/*
 * Starts a new process for a host that received SIGTERM. The old process is
 * killed if it has not drained by now.
 */
static void
bca_restart_host(struct bench_cluster *cluster, struct bench_client *client,
    int host)
{
	(void)client;
	if (waitpid(cluster->hosts[host].pid, NULL, WNOHANG) == 0) {
		warnx("%s: killed: drain did not end before the restart",
		    cluster->hosts[host].name);
		bpr_kill(&cluster->hosts[host].pid);
	}
	(void)bcl_host_start(cluster, host);
}

static void
bca_kill_host(struct bench_cluster *cluster, struct bench_client *client,
    int host)
{
	(void)client;
	bsc_add_metrics(cluster->counters, cluster->hosts[host].http_port, 1);
	bpr_kill(&cluster->hosts[host].pid);
}

const struct bench_case bench_cases[] = {
	{ .name = "steady50",
	    .description = "steady load, 50 %",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.5 } } },
	{ .name = "steady80",
	    .description = "steady load, 80 %",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.8 } } },
	{ .name = "steady95",
	    .description = "steady load, 95 %",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.95 } } },
	{ .name = "failing",
	    .description = "one server immediately fails every task that it "
			   "starts; 80 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.8 } },
	    .actions = { { 2, bca_server_fail_all, 2 } },
	    .settle_s = 5 },
	{ .name = "overload",
	    .description = "overload, 200 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 2 } } },
	{ .name = "burst",
	    .description = "50 % load, 250 % for 1.5 s",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { 3, 0.5 }, { 4.5, 2.5 }, { BCA_DURATION_S, 0.5 } } },
	{ .name = "straggler",
	    .description = "one server slows down to 10 % speed; 50 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.5 } },
	    .actions = { { 2, bca_server_slow, 2 } },
	    .settle_s = 5 },
	{ .name = "hanging",
	    .description =
		"one server accepts tasks and never answers; 50 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.5 } },
	    .actions = { { 2, bca_server_hang_all, 2 } },
	    .settle_s = 5 },
	{ .name = "lost-servers",
	    .description =
		"a tenth of the servers go down at the same time; 50 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.5 } },
	    .actions = { { 3, bca_servers_down, 5 } },
	    .settle_s = 5 },
	{ .name = "cancel",
	    .description = "half of the pending jobs are cancelled at 3, 5 "
			   "and 7 s; 95 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.95 } },
	    .actions = { { 3, bca_cancel_jobs, 50 }, { 5, bca_cancel_jobs, 50 },
		{ 7, bca_cancel_jobs, 50 } } },
	{ .name = "platform-down",
	    .description =
		"the platform is unavailable during the whole run; 80 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.8 } },
	    .actions = { { 0, bca_platform_set_down, 1 } } },
	{ .name = "rolling",
	    .description = "rolling restart of three entry hosts; 50 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { 20, 0.5 } },
	    .actions = { { 1, bca_terminate_host, 0 },
		{ 10, bca_restart_host, 0 }, { 1.2, bca_terminate_host, 1 },
		{ 10.2, bca_restart_host, 1 }, { 10.4, bca_terminate_host, 2 },
		{ 19.5, bca_restart_host, 2 } } },
	{ .name = "zone-cut",
	    .description = "an availability zone is partitioned from the "
			   "others and the platform; 50 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.5 } },
	    .actions = { { 2, bca_partition_zone, 1 },
		{ 8, bca_partition_zone, 0 } } },
	{ .name = "host-killed",
	    .description = "an entry host is killed; 50 % load",
	    .mix = BCA_DEFAULT_MIX,
	    .phases = { { BCA_DURATION_S, 0.5 } },
	    .actions = { { 3, bca_kill_host, 0 } },
	    .settle_s = 5 },
	{ .name = "declared-off",
	    .description =
		"declared run times are wrong by a factor of 10; 80 % load",
	    .mix = { .single_share = 0.4,
		.large_share = 0.15,
		.declared_error_factor = 10 },
	    .phases = { { BCA_DURATION_S, 0.8 } } },
	{ .name = "impossible",
	    .description =
		"no server is eligible for a fifth of the jobs; 50 % load",
	    .mix = { .single_share = 0.4,
		.large_share = 0.15,
		.impossible_share = 0.2 },
	    .phases = { { BCA_DURATION_S, 0.5 } } },
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
