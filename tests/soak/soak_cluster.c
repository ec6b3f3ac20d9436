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
#define SOAK_CLAIM_PORT 11999
#define SOAK_FIRST_PORT 12000
#define SOAK_PORTS_PER_HOST 4
#define SOAK_ADDRESS_ATTEMPTS 1000

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
 * Claims a loopback address, by a port that stays bound until this process
 * ends. All ports of the address then belong to this run: other runs claim
 * other addresses, and outgoing connections are made from 127.0.0.1. So a host
 * can have the same ports after a restart.
 */
static void
soak_claim_address(struct soak *soak)
{
	struct sockaddr_in sin = sti_loopback(SOAK_CLAIM_PORT);
	int attempt;

	soak->address_claim = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (soak->address_claim == -1)
		err(1, "socket");
	for (attempt = 0; attempt < SOAK_ADDRESS_ATTEMPTS; attempt++) {
		/* Any address in 127.1.0.0 to 127.254.255.255. */
		sin.sin_addr.s_addr =
		    htonl(0x7f010000U + arc4random_uniform(254U << 16));
		if (bind(soak->address_claim, (struct sockaddr *)&sin,
			sizeof(sin)) == 0) {
			inet_ntop(AF_INET, &sin.sin_addr, soak->address,
			    sizeof(soak->address));
			return;
		}
	}
	errx(1, "no free loopback address found");
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
soak_create_link(struct soak *soak, const char *name, const char *address,
    uint16_t target)
{
	struct clu_reply reply;
	char body[128];
	uint16_t port;

	snprintf(body, sizeof(body),
	    "{\"name\":\"%s\",\"address\":\"%s\",\"target\":%u}", name, address,
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
	    "--work-listen=%s:%u --ready-listen=%s:%u "
	    "--listen=%s:%u --peer-listen=%s:%u "
	    "--peer-advertise=127.0.0.1:%u --drain-delay-ms=1500 "
	    "--drain-limit-ms=4000 --heartbeat-ms=200",
	    host->name, host->az, host->store_link, soak->address,
	    host->work_port, soak->address, host->ready_port, soak->address,
	    host->http_port, soak->address, host->peer_port, host->peer_link);
	host->pid = soak_spawn(soak, "berylraild", host->name, args);
	soak->config_in_force[host - soak->hosts] = 0;
	host->paused = false;
	host->stopping = false;
}

/* Return: whether the process has ended, which it must not do by itself. */
static bool
soak_host_ended(struct soak *soak, struct soak_host *host)
{
	int status;

	if (host->pid == 0 || waitpid(host->pid, &status, WNOHANG) != host->pid)
		return host->pid == 0;
	host->pid = 0;
	if (!host->stopping)
		soak_violation(soak, "host-ended",
		    "%s has ended by itself, status %d", host->name, status);
	return true;
}

/* Return: false if a host has ended by itself. */
bool
soak_check_running(struct soak *soak)
{
	uint32_t violations = soak->violations;
	int i;

	for (i = 0; i < SOAK_HOSTS; i++)
		(void)soak_host_ended(soak, &soak->hosts[i]);
	return soak->violations == violations;
}

void
soak_host_kill(struct soak *soak, struct soak_host *host)
{
	if (soak_host_ended(soak, host))
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
		.timeout_ms = SOAK_CALL_TIMEOUT_MS,
		.connections_max = SOAK_CONNECTIONS_MAX,
		.waiting_max = 1024,
		.response_bytes_max = 65536,
	};
	char name[32];

	snprintf(host->name, sizeof(host->name), "h%d", n);
	snprintf(host->az, sizeof(host->az), "z%d", n / SOAK_HOSTS_PER_ZONE);
	host->work_port = (uint16_t)(SOAK_FIRST_PORT + n * SOAK_PORTS_PER_HOST);
	host->peer_port = (uint16_t)(host->work_port + 1);
	host->ready_port = (uint16_t)(host->work_port + 2);
	host->http_port = (uint16_t)(host->work_port + 3);
	snprintf(name, sizeof(name), "peer-%s", host->name);
	host->peer_link =
	    soak_create_link(soak, name, soak->address, host->peer_port);
	snprintf(name, sizeof(name), "store-%s", host->name);
	host->store_link =
	    soak_create_link(soak, name, "127.0.0.1", soak->store_port);
	strlcpy(params.endpoint.address, soak->address,
	    sizeof(params.endpoint.address));
	params.endpoint.port = host->work_port;
	if (soak->resubmit) {
		snprintf(name, sizeof(name), "work-%s", host->name);
		host->work_link = soak_create_link(soak, name, soak->address,
		    host->work_port);
		strlcpy(params.endpoint.address, "127.0.0.1",
		    sizeof(params.endpoint.address));
		params.endpoint.port = host->work_link;
	}
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
		soak->server_links[i] = soak_create_link(soak, name,
		    "127.0.0.1", soak->server_ports[i]);
		len += (size_t)snprintf(body + len, sizeof(body) - len,
		    "%s{\"port\":%u,\"az\":\"z%d\"}", i == 0 ? "" : ",",
		    soak->server_links[i], i % SOAK_ZONES);
	}
	soak_post(soak->store_port, "/register", "{\"servers\":[%s]}", body);
	soak_config_write(soak);
}

void
soak_start(struct soak *soak)
{
	char args[256], name[16];
	int i;

	snprintf(soak->dir, sizeof(soak->dir), "/tmp/soak-XXXXXX");
	if (mkdtemp(soak->dir) == NULL)
		err(1, "mkdtemp");
	soak_claim_address(soak);
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
		soak_host_kill(soak, &soak->hosts[i]);
		hcl_destroy(soak->hosts[i].hcl);
	}
	kill(soak->fleet, SIGKILL);
	waitpid(soak->fleet, NULL, 0);
	kill(soak->proxy, SIGKILL);
	waitpid(soak->proxy, NULL, 0);
}

static void
soak_print_sanitizer_lines(const struct soak *soak, const char *name)
{
	char path[128], line[512];
	FILE *in;

	snprintf(path, sizeof(path), "%s/%s.log", soak->dir, name);
	in = fopen(path, "r");
	while (in != NULL && fgets(line, sizeof(line), in) != NULL) {
		if (strstr(line, "Sanitizer") != NULL ||
		    strstr(line, "runtime error:") != NULL)
			soak_log("%s: %.*s", name, (int)strcspn(line, "\n"),
			    line);
	}
	if (in != NULL)
		fclose(in);
}

/* A host that was told to stop or that is killed may have reported an error,
 * too. */
void
soak_print_sanitizer_reports(const struct soak *soak)
{
	int i;

	for (i = 0; i < SOAK_HOSTS; i++)
		soak_print_sanitizer_lines(soak, soak->hosts[i].name);
	soak_print_sanitizer_lines(soak, "fleet-log");
	soak_print_sanitizer_lines(soak, "proxy-log");
}

/* All hosts are up and connected to those of their zone, or the test would run
 * without what it is to test. */
void
soak_check_connected(struct soak *soak)
{
	static const char name[] = "\nberylrail_peer_connections ";
	struct clu_reply reply;
	const char *found;
	int i, n;

	for (i = 0; i < SOAK_HOSTS; i++) {
		clu_http_at(soak->address, soak->hosts[i].http_port, "GET",
		    "/metrics", NULL, NULL, SOAK_CALL_TIMEOUT_MS, &reply);
		found = reply.body == NULL ? NULL : strstr(reply.body, name);
		n = found == NULL ? 0 : atoi(found + sizeof(name) - 1);
		clu_reply_free(&reply);
		if (n >= SOAK_HOSTS_PER_ZONE - 1)
			continue;
		soak_violation(soak, "not-connected",
		    "%s has %d connections to other hosts", soak->hosts[i].name,
		    n);
	}
}
