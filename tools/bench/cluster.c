/*
 * The processes of one run: entry hosts, stand-ins for the platform and for the
 * backend servers, and a proxy on the links between hosts and from hosts to the
 * platform. Hosts connect to backend servers directly.
 */

#include <dirent.h>
#include <err.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench.h"
#include "support/cluster.h"
#include "support/standin.h"

int
bcl_control(uint16_t port, const char *path, const char *fmt, ...)
{
	struct clu_reply reply;
	char *body;
	va_list ap;
	int status;

	va_start(ap, fmt);
	if (vasprintf(&body, fmt, ap) == -1)
		err(1, "vasprintf");
	va_end(ap);
	clu_http(port, "POST", path, NULL, body, BENCH_TIMEOUT_MS, &reply);
	status = reply.status;
	if (status != 200)
		warnx("control request %s %.80s failed: HTTP status %d", path,
		    body, status);
	free(body);
	clu_reply_free(&reply);
	return status == 200 ? 0 : -1;
}

int
bcl_server_control(struct bench_cluster *cluster, int server,
    const char *members)
{
	return bcl_control(cluster->backend_port, "/control",
	    "{\"server\": \"s%d\", %s}", server + 1, members);
}

json_t *
bcl_backend_summary(struct bench_cluster *cluster)
{
	struct clu_reply reply;
	json_t *summary;

	clu_http(cluster->backend_port, "GET", "/control/summary", NULL, NULL,
	    BENCH_TIMEOUT_MS, &reply);
	summary = json_incref(reply.json);
	clu_reply_free(&reply);
	return summary;
}

/*
 * Waits until the port file @file contains the port of @name. Returns the port,
 * or 0 after BENCH_TIMEOUT_MS.
 */
static uint16_t
bcl_wait_port(const struct bench_cluster *cluster, const char *file,
    const char *name)
{
	uint64_t deadline_us = bpr_now_us() + (uint64_t)BENCH_TIMEOUT_MS * 1000;
	char path[512], port_name[128];
	unsigned port;
	FILE *in;

	(void)snprintf(path, sizeof(path), "%s/%s", cluster->dir, file);
	while (bpr_now_us() < deadline_us) {
		in = fopen(path, "r");
		while (in != NULL &&
		    fscanf(in, "%127s %u", port_name, &port) == 2) {
			if (strcmp(port_name, name) == 0) {
				(void)fclose(in);
				return (uint16_t)port;
			}
		}
		if (in != NULL)
			(void)fclose(in);
		(void)usleep(5000);
	}
	warnx("%s: timed out waiting for the port of %s", path, name);
	return 0;
}

static uint16_t
bcl_create_link(struct bench_cluster *cluster, const char *kind,
    const char *name, uint16_t target)
{
	struct clu_reply reply;
	char body[128];
	uint16_t port;

	(void)snprintf(body, sizeof(body),
	    "{\"name\": \"%s-%s\", \"target\": %u}", kind, name, target);
	clu_http(cluster->proxy_port, "POST", "/link", NULL, body,
	    BENCH_TIMEOUT_MS, &reply);
	port = (uint16_t)sti_int(reply.json, "port", 0);
	clu_reply_free(&reply);
	return port;
}

static char *
bcl_build_host_args(struct bench_cluster *cluster, int host, const char *file)
{
	const struct bench_cluster_params *params = &cluster->params;
	struct bench_host *h = &cluster->hosts[host];
	char *args;
	size_t len;
	bool direct;
	FILE *out;
	int i;

	out = open_memstream(&args, &len);
	if (out == NULL)
		err(1, "open_memstream");
	(void)fprintf(out,
	    "--host=%s --az=%s --listen=127.0.0.1:0 --peer-listen=127.0.0.1:0"
	    " --peer-advertise=127.0.0.1:%u --platform=http://127.0.0.1:%u"
	    " --port-file=%s/%s --policy=%s --seed=%llu",
	    h->name, h->az, h->peer_link_port, h->platform_link_port,
	    cluster->dir, file, cluster->policy,
	    (unsigned long long)cluster->seed + (unsigned)host);
	/*
	 * The first four hosts are the seed peers. Hosts of one availability
	 * zone connect directly if the peer's port is known; all others connect
	 * through the proxy, which can partition zones.
	 */
	for (i = 0; i < params->nhosts && i < 4; i++) {
		if (i == host)
			continue;
		direct = strcmp(cluster->hosts[i].az, h->az) == 0 &&
		    cluster->hosts[i].peer_port != 0;
		(void)fprintf(out, " --peer=127.0.0.1:%u",
		    direct ? cluster->hosts[i].peer_port
			   : cluster->hosts[i].peer_link_port);
	}
	if (params->host_args != NULL)
		(void)fprintf(out, " %s", params->host_args);
	(void)fclose(out);
	return args;
}

int
bcl_host_start(struct bench_cluster *cluster, int host)
{
	struct bench_host *h = &cluster->hosts[host];
	char file[64], name[64], *args;

	h->generation++;
	(void)snprintf(file, sizeof(file), "%s.%u.port", h->name,
	    h->generation);
	(void)snprintf(name, sizeof(name), "%s.%u", h->name, h->generation);
	args = bcl_build_host_args(cluster, host, file);
	h->pid = bpr_spawn(cluster->dir, "berylraild", name, args);
	free(args);
	h->http_port = bcl_wait_port(cluster, file, "http");
	if (h->http_port == 0)
		return -1;
	h->peer_port = bcl_wait_port(cluster, file, "peer");
	return bcl_control(cluster->proxy_port, "/target",
	    "{\"link\": \"peer-%s\", \"target\": %u}", h->name, h->peer_port);
}

static int
bcl_host_wait_ready(const struct bench_host *host)
{
	uint64_t deadline_us = bpr_now_us() + (uint64_t)BENCH_TIMEOUT_MS * 1000;
	struct clu_reply reply;
	int status;

	do {
		clu_http(host->http_port, "GET", "/readyz", NULL, NULL, 1000,
		    &reply);
		status = reply.status;
		clu_reply_free(&reply);
		if (status == 200)
			return 0;
		(void)usleep(10000);
	} while (bpr_now_us() < deadline_us);
	warnx("%s: timed out waiting for /readyz, last HTTP status %d",
	    host->name, status);
	return -1;
}

static int
bcl_start_standins(struct bench_cluster *cluster)
{
	const struct bench_cluster_params *params = &cluster->params;
	char args[600], name[16];
	int i;

	(void)snprintf(args, sizeof(args), "--port-file=%s/platform.port",
	    cluster->dir);
	cluster->platform =
	    bpr_spawn(cluster->dir, "standin_platform", "platform", args);
	(void)snprintf(args, sizeof(args),
	    "--port-file=%s/backend.port --servers=%d --slots=%d --speeds=%s"
	    " --connections=4096%s",
	    cluster->dir, params->nservers, params->slots, params->speeds,
	    params->no_record ? " --no-record" : "");
	cluster->backend =
	    bpr_spawn(cluster->dir, "standin_backend", "backend", args);
	(void)snprintf(args, sizeof(args),
	    "--port-file=%s/proxy.port --trace=%s/proxy.trace --seed=%llu",
	    cluster->dir, cluster->dir, (unsigned long long)cluster->seed);
	cluster->proxy =
	    bpr_spawn(cluster->dir, "standin_proxy", "proxy", args);
	cluster->platform_port =
	    bcl_wait_port(cluster, "platform.port", "platform");
	cluster->backend_port =
	    bcl_wait_port(cluster, "backend.port", "control");
	cluster->proxy_port = bcl_wait_port(cluster, "proxy.port", "control");
	if (cluster->platform_port == 0 || cluster->backend_port == 0 ||
	    cluster->proxy_port == 0)
		return -1;
	for (i = 0; i < params->nservers; i++) {
		(void)snprintf(name, sizeof(name), "s%d", i + 1);
		cluster->server_ports[i] =
		    bcl_wait_port(cluster, "backend.port", name);
	}
	return 0;
}

static void
bcl_publish_hosts(struct bench_cluster *cluster)
{
	const struct bench_cluster_params *params = &cluster->params;
	struct clu_reply reply;
	char *body;
	size_t len;
	FILE *out;
	int i;

	out = open_memstream(&body, &len);
	if (out == NULL)
		err(1, "open_memstream");
	(void)fprintf(out, "{\"hosts\": [");
	for (i = 0; i < params->nhosts; i++)
		(void)fprintf(out,
		    "%s{\"role\": \"entry\", \"name\": \"%s\", \"az\": \"%s\","
		    "\"address\": \"127.0.0.1\", \"port\": %u,"
		    "\"leaving\": false}",
		    i > 0 ? "," : "", cluster->hosts[i].name,
		    cluster->hosts[i].az, cluster->hosts[i].peer_link_port);
	(void)fprintf(out, "]}");
	(void)fclose(out);
	clu_http(cluster->platform_port, "PUT", "/control/hosts", NULL, body,
	    BENCH_TIMEOUT_MS, &reply);
	clu_reply_free(&reply);
	free(body);
}

/* Adds the servers @first to @last - 1 in one configuration change. */
static int
bcl_put_servers(struct bench_cluster *cluster, int first, int last)
{
	struct clu_reply reply;
	char *body;
	size_t len;
	int i, status;
	FILE *out;

	out = open_memstream(&body, &len);
	if (out == NULL)
		err(1, "open_memstream");
	(void)fprintf(out,
	    "{\"id\": \"bench-%d\", \"why\": \"bench\", "
	    "\"ops\": [",
	    first);
	for (i = first; i < last; i++)
		(void)fprintf(out,
		    "%s{\"op\": \"put\", \"kind\": \"server\", \"name\": "
		    "\"s%d\", \"labels\": {\"service\": \"%s\"}, \"spec\": "
		    "{\"address\": \"127.0.0.1\", \"port\": %u, \"az\": "
		    "\"az%d\", \"slots\": %d, \"connections\": 64}}",
		    i > first ? "," : "", i + 1,
		    i < cluster->params.nservers ? "booth" : "idle",
		    i < cluster->params.nservers ? cluster->server_ports[i] : 9,
		    i % cluster->params.nzones + 1, cluster->params.slots);
	(void)fprintf(out, "]}");
	(void)fclose(out);
	clu_http(cluster->hosts[0].http_port, "POST", "/v1/config/changes",
	    "Berylrail-Operator: bench\r\n", body, BENCH_TIMEOUT_MS, &reply);
	free(body);
	status = reply.status;
	if (status != 200)
		warnx("configuration change failed: HTTP status %d: %s", status,
		    reply.body);
	clu_reply_free(&reply);
	return status == 200 ? 0 : -1;
}

static int
bcl_configure(struct bench_cluster *cluster)
{
	static const char change[] =
	    "{\"id\": \"bench-jobs\", \"why\": \"bench\", \"ops\": ["
	    "{\"op\": \"put\", \"kind\": \"service\", \"name\": \"booth\", "
	    "\"spec\": {\"path\": \"/run\", \"selector\": \"service=booth\"}},"
	    "{\"op\": \"put\", \"kind\": \"job\", \"name\": \"booth\", "
	    "\"spec\": {\"service\": \"booth\", \"repeatable\": true, "
	    "\"hedge\": true, \"run_ms\": 300, \"timeout_ms\": 20000, "
	    "\"deadline_ms\": 30000, \"queue_tasks_max\": 20000}},"
	    "{\"op\": \"put\", \"kind\": \"job\", \"name\": \"nowhere\", "
	    "\"spec\": {\"service\": \"booth\", \"run_ms\": 300, "
	    "\"timeout_ms\": 20000, \"deadline_ms\": 30000, "
	    "\"queue_tasks_max\": 20000, \"selector\": \"rack=none\"}}]}";
	int total = cluster->params.nservers + cluster->params.nconfig_only;
	struct clu_reply reply;
	int i, status;

	clu_http(cluster->hosts[0].http_port, "POST", "/v1/config/changes",
	    "Berylrail-Operator: bench\r\n", change, BENCH_TIMEOUT_MS, &reply);
	status = reply.status;
	if (status != 200)
		warnx("configuration change failed: HTTP status %d: %s", status,
		    reply.body);
	clu_reply_free(&reply);
	for (i = 0; status == 200 && i < total; i += 50) {
		if (bcl_put_servers(cluster, i,
			i + 50 < total ? i + 50 : total) < 0)
			return -1;
	}
	return status == 200 ? 0 : -1;
}

static json_int_t
bcl_config_version(const struct bench_host *host)
{
	struct clu_reply reply;
	json_int_t version;

	clu_http(host->http_port, "GET", "/v1/config", NULL, NULL, 5000,
	    &reply);
	version = sti_int(reply.json, "version", -1);
	clu_reply_free(&reply);
	return version;
}

/*
 * Waits until all hosts are ready and have at least the configuration version
 * of the first host.
 */
static int
bcl_wait_ready(struct bench_cluster *cluster)
{
	uint64_t deadline_us = bpr_now_us() + (uint64_t)BENCH_TIMEOUT_MS * 1000;
	json_int_t version = bcl_config_version(&cluster->hosts[0]);
	int i;

	for (i = 0; i < cluster->params.nhosts; i++) {
		if (bcl_host_wait_ready(&cluster->hosts[i]) < 0)
			return -1;
		while (bcl_config_version(&cluster->hosts[i]) < version) {
			if (bpr_now_us() > deadline_us) {
				warnx("%s: timed out waiting for the first "
				      "host's configuration version",
				    cluster->hosts[i].name);
				return -1;
			}
			(void)usleep(20000);
		}
		cluster->hosts[i].ready = true;
	}
	return 0;
}

static void
bcl_parse_speeds(struct bench_cluster *cluster)
{
	const char *next = cluster->params.speeds;
	int i;

	for (i = 0; i < cluster->params.nservers; i++) {
		cluster->speeds[i] = (int)strtol(next, NULL, 10);
		next = strchr(next, ',');
		next = next != NULL ? next + 1 : cluster->params.speeds;
	}
}

int
bcl_start(struct bench_cluster *cluster)
{
	const char *tmp = getenv("TMPDIR");
	struct bench_host *h;
	int i;

	(void)snprintf(cluster->dir, sizeof(cluster->dir), "%s/bench-XXXXXX",
	    tmp != NULL ? tmp : "/tmp");
	if (mkdtemp(cluster->dir) == NULL)
		err(1, "%s", cluster->dir);
	bcl_parse_speeds(cluster);
	if (bcl_start_standins(cluster) < 0)
		return -1;
	for (i = 0; i < cluster->params.nhosts; i++) {
		h = &cluster->hosts[i];
		(void)snprintf(h->name, sizeof(h->name), "h%d", i + 1);
		(void)snprintf(h->az, sizeof(h->az), "az%d",
		    i % cluster->params.nzones + 1);
		h->peer_link_port =
		    bcl_create_link(cluster, "peer", h->name, 0);
		h->platform_link_port = bcl_create_link(cluster, "platform",
		    h->name, cluster->platform_port);
	}
	bcl_publish_hosts(cluster);
	for (i = 0; i < cluster->params.nhosts; i++) {
		if (bcl_host_start(cluster, i) < 0)
			return -1;
	}
	if (bcl_configure(cluster) < 0)
		return -1;
	return bcl_wait_ready(cluster);
}

void
bcl_stop(struct bench_cluster *cluster)
{
	struct dirent *entry;
	char path[600];
	DIR *dir;
	int i;

	for (i = 0; i < cluster->params.nhosts; i++)
		bpr_kill(&cluster->hosts[i].pid);
	bpr_kill(&cluster->proxy);
	bpr_kill(&cluster->backend);
	bpr_kill(&cluster->platform);
	if (getenv("BENCH_KEEP") != NULL)
		return;
	dir = opendir(cluster->dir);
	while (dir != NULL && (entry = readdir(dir)) != NULL) {
		(void)snprintf(path, sizeof(path), "%s/%s", cluster->dir,
		    entry->d_name);
		(void)unlink(path);
	}
	if (dir != NULL)
		(void)closedir(dir);
	(void)rmdir(cluster->dir);
}
