/*
 * Processes of a soak test. Each is started by fork and exec, and killed by its
 * process id.
 */

#include <arpa/inet.h>
#include <err.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "soak.h"
#include "support/cluster.h"
#include "support/standin.h"

#define SOAK_ARGS_MAX 32
#define SOAK_CALL_TIMEOUT_MS 3000
#define SOAK_CONNECTIONS_MAX 64
#define SOAK_PORT_MIN 12000
#define SOAK_PORT_COUNT 18000

uint32_t
soak_random(struct soak *soak, uint32_t below)
{
	soak->random ^= soak->random << 13;
	soak->random ^= soak->random >> 7;
	soak->random ^= soak->random << 17;
	return (uint32_t)(soak->random >> 11) % below;
}

void
soak_log(const char *fmt, ...)
{
	va_list ap;

	printf("%8.3f ", (double)sti_now_ms() / 1000);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	putchar('\n');
	fflush(stdout);
}

static pid_t
soak_spawn(struct soak *soak, const char *program, const char *name,
    const char *args)
{
	char path[512], log[128], *copy = strdup(args), *argv[SOAK_ARGS_MAX];
	int fd, n = 0;
	pid_t pid;

	snprintf(path, sizeof(path), "%s/%s", soak->bin, program);
	snprintf(log, sizeof(log), "%s/%s.log", soak->dir, name);
	argv[n++] = path;
	for (argv[n] = strtok(copy, " ");
	     argv[n] != NULL && n < SOAK_ARGS_MAX - 2;
	     argv[n] = strtok(NULL, " "))
		n++;
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(path, argv);
		_exit(127);
	}
	free(copy);
	return pid;
}

/*
 * Returns a port that is free now. A host has the same ports after a restart,
 * so they are below the range that the kernel uses for outgoing connections:
 * such a connection could be assigned the port while the host is down.
 */
static uint16_t
soak_free_port(void)
{
	struct sockaddr_in sin;
	int fd, on = 1, attempt;

	for (attempt = 0; attempt < 1000; attempt++) {
		sin = sti_loopback((uint16_t)(SOAK_PORT_MIN +
		    arc4random_uniform(SOAK_PORT_COUNT)));
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (fd == -1)
			err(1, "socket");
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0) {
			close(fd);
			return ntohs(sin.sin_port);
		}
		close(fd);
	}
	errx(1, "no free port found");
}

static uint16_t
soak_read_port(struct soak *soak, const char *file, const char *name)
{
	char path[128], key[64];
	unsigned port;
	FILE *in;
	int i;

	snprintf(path, sizeof(path), "%s/%s", soak->dir, file);
	for (i = 0; i < 500; i++) {
		in = fopen(path, "r");
		while (in != NULL && fscanf(in, "%63s %u", key, &port) == 2) {
			if (strcmp(key, name) == 0) {
				fclose(in);
				return (uint16_t)port;
			}
		}
		if (in != NULL)
			fclose(in);
		usleep(10000);
	}
	errx(1, "%s: timed out waiting for the port of %s", path, name);
}

void
soak_post(uint16_t port, const char *path, const char *fmt, ...)
{
	struct clu_reply reply;
	char body[2048];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(body, sizeof(body), fmt, ap);
	va_end(ap);
	clu_http(port, "POST", path, NULL, body, SOAK_CALL_TIMEOUT_MS, &reply);
	if (reply.status != 200)
		soak_log("POST %s %s: status %d", path, body, reply.status);
	clu_reply_free(&reply);
}

static uint16_t
soak_create_link(struct soak *soak, const char *name, uint16_t target)
{
	struct clu_reply reply;
	char body[128];
	uint16_t port;

	snprintf(body, sizeof(body), "{\"name\":\"%s\",\"target\":%u}", name,
	    target);
	clu_http(soak->proxy_port, "POST", "/link", NULL, body,
	    SOAK_CALL_TIMEOUT_MS, &reply);
	port = (uint16_t)sti_int(reply.json, "port", 0);
	clu_reply_free(&reply);
	if (port == 0)
		errx(1, "proxy did not create link %s", name);
	return port;
}

void
soak_host_start(struct soak *soak, struct soak_host *host)
{
	char args[1024];

	snprintf(args, sizeof(args),
	    "--host=%s --az=%s --store=127.0.0.1:%u "
	    "--work-listen=127.0.0.1:%u --ready-listen=127.0.0.1:%u "
	    "--listen=127.0.0.1:%u --peer-listen=127.0.0.1:%u "
	    "--peer-advertise=127.0.0.1:%u --drain-delay-ms=1500 "
	    "--drain-limit-ms=4000 --heartbeat-ms=200",
	    host->name, host->az, host->store_link, host->work_port,
	    host->ready_port, host->http_port, host->peer_port,
	    host->peer_link);
	host->pid = soak_spawn(soak, "berylraild", host->name, args);
	host->paused = false;
}

void
soak_host_kill(struct soak_host *host)
{
	if (host->pid == 0)
		return;
	kill(host->pid, SIGKILL);
	waitpid(host->pid, NULL, 0);
	host->pid = 0;
}

static void
soak_host_create(struct soak *soak, struct soak_host *host, int n)
{
	struct hcl_params params = {
		.base = soak->base,
		.endpoint = { .address = "127.0.0.1" },
		.timeout_ms = SOAK_CALL_TIMEOUT_MS,
		.connections_max = SOAK_CONNECTIONS_MAX,
		.waiting_max = 1024,
		.response_bytes_max = 65536,
	};
	char name[32];

	snprintf(host->name, sizeof(host->name), "h%d", n);
	snprintf(host->az, sizeof(host->az), "z%d", n / SOAK_HOSTS_PER_ZONE);
	host->work_port = soak_free_port();
	host->peer_port = soak_free_port();
	host->ready_port = soak_free_port();
	host->http_port = soak_free_port();
	snprintf(name, sizeof(name), "peer-%s", host->name);
	host->peer_link = soak_create_link(soak, name, host->peer_port);
	snprintf(name, sizeof(name), "store-%s", host->name);
	host->store_link = soak_create_link(soak, name, soak->store_port);
	params.endpoint.port = host->work_port;
	host->hcl = hcl_create(&params);
}

static void
soak_register(struct soak *soak)
{
	char body[1024], name[16];
	size_t len = 0;
	int i;

	for (i = 0; i < SOAK_SERVERS; i++) {
		snprintf(name, sizeof(name), "server-%d", i);
		soak->server_links[i] =
		    soak_create_link(soak, name, soak->server_ports[i]);
		len += (size_t)snprintf(body + len, sizeof(body) - len,
		    "%s{\"port\":%u,\"az\":\"z%d\"}", i == 0 ? "" : ",",
		    soak->server_links[i], i % SOAK_ZONES);
	}
	soak_post(soak->store_port, "/register", "{\"servers\":[%s]}", body);
	soak_post(soak->store_port, "/config",
	    "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"localhost\","
	    "\"prefix\":\"/jobs/\",\"service\":\"booth\",\"priority\":0,"
	    "\"max_attempts\":4,\"slack_factor\":1.6,"
	    "\"target_latency_ms\":100}],\"services\":[{\"name\":\"booth\","
	    "\"admission_check\":true}],"
	    "\"limits\":{\"max_body_bytes\":65536}}");
}

void
soak_start(struct soak *soak)
{
	char args[256], name[16];
	int i;

	snprintf(soak->dir, sizeof(soak->dir), "/tmp/soak-XXXXXX");
	if (mkdtemp(soak->dir) == NULL)
		err(1, "mkdtemp");
	snprintf(args, sizeof(args), "--servers=%d --port-file=%s/fleet",
	    SOAK_SERVERS, soak->dir);
	soak->fleet = soak_spawn(soak, "standin_fleet", "fleet-log", args);
	snprintf(args, sizeof(args), "--port-file=%s/proxy", soak->dir);
	soak->proxy = soak_spawn(soak, "standin_proxy", "proxy-log", args);
	soak->store_port = soak_read_port(soak, "fleet", "store");
	soak->proxy_port = soak_read_port(soak, "proxy", "control");
	for (i = 0; i < SOAK_SERVERS; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		soak->server_ports[i] = soak_read_port(soak, "fleet", name);
	}
	soak_register(soak);
	for (i = 0; i < SOAK_HOSTS; i++) {
		soak_host_create(soak, &soak->hosts[i], i);
		soak_host_start(soak, &soak->hosts[i]);
	}
}

void
soak_stop(struct soak *soak)
{
	int i;

	for (i = 0; i < SOAK_HOSTS; i++) {
		soak_host_kill(&soak->hosts[i]);
		hcl_destroy(soak->hosts[i].hcl);
	}
	kill(soak->fleet, SIGKILL);
	waitpid(soak->fleet, NULL, 0);
	kill(soak->proxy, SIGKILL);
	waitpid(soak->proxy, NULL, 0);
}
