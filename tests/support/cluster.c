/* Start, fault injection and stop of the processes of a test cluster. */
#include <dirent.h>
#include <err.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "support/cluster.h"
#include "support/standin.h"

#define CLU_ARGS_MAX 64
#define CLU_AZS 3

void
clu_sleep(int ms)
{
	struct timespec ts;

	ts.tv_sec = ms / 1000;
	ts.tv_nsec = ms % 1000 * 1000000L;
	nanosleep(&ts, NULL);
}

/* Starts a program. @args is split at blanks. */
static pid_t
clu_spawn(struct clu *clu, const char *program, const char *name,
    const char *args)
{
	char path[512], log[512], *copy, *argv[CLU_ARGS_MAX];
	const char *bin;
	pid_t pid;
	int n, fd, parent_stderr;

	bin = getenv("BERYLRAIL_BIN_DIR");
	snprintf(path, sizeof(path), "%s/%s", bin != NULL ? bin : ".", program);
	snprintf(log, sizeof(log), "%s/%s.log", clu->dir, name);
	copy = strdup(args);
	n = 0;
	argv[n++] = path;
	for (argv[n] = strtok(copy, " ");
	     argv[n] != NULL && n < CLU_ARGS_MAX - 2;
	     argv[n] = strtok(NULL, " "))
		n++;
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		parent_stderr = fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(path, argv);
		dprintf(parent_stderr, "%s: %s\n", path, strerror(errno));
		_exit(127);
	}
	free(copy);
	return pid;
}

/*
 * Reads the port of @name from a file of "name port" lines. Waits until the
 * file has such a line; returns 0 after CLU_WAIT_MS.
 */
static uint16_t
clu_read_port(struct clu *clu, const char *file, const char *name)
{
	char path[512], key[128];
	unsigned port;
	FILE *in;
	int i;

	snprintf(path, sizeof(path), "%s/%s", clu->dir, file);
	for (i = 0; i < CLU_WAIT_MS / 10; i++) {
		in = fopen(path, "r");
		while (in != NULL && fscanf(in, "%127s %u", key, &port) == 2) {
			if (strcmp(key, name) == 0) {
				fclose(in);
				return (uint16_t)port;
			}
		}
		if (in != NULL)
			fclose(in);
		clu_sleep(10);
	}
	warnx("%s: timed out waiting for the port of %s", path, name);
	return 0;
}

bool
clu_control(uint16_t port, const char *path, const char *fmt, ...)
{
	struct clu_reply reply;
	char *body;
	va_list ap;
	bool ok;

	va_start(ap, fmt);
	if (vasprintf(&body, fmt, ap) == -1)
		err(1, "vasprintf");
	va_end(ap);
	clu_http(port, "POST", path, NULL, body, CLU_WAIT_MS, &reply);
	ok = reply.status == 200;
	if (!ok)
		warnx("POST %s %s: status %d", path, body, reply.status);
	free(body);
	clu_reply_free(&reply);
	return ok;
}

void
clu_set_link_rule(struct clu *clu, const char *link, const char *members)
{
	clu_control(clu->proxy_port, "/control", "{\"link\": \"%s\"%s%s}", link,
	    members[0] != '\0' ? ", " : "", members);
}

void
clu_set_platform_mode(struct clu *clu, const char *members)
{
	clu_control(clu->platform_port, "/control", "{%s}", members);
}

uint64_t
clu_set_server_mode(struct clu *clu, int server, const char *members)
{
	clu_control(clu->backend_port, "/control", "{\"server\": \"s%d\", %s}",
	    server + 1, members);
	return sti_now_ms();
}

static uint16_t
clu_create_link(struct clu *clu, const char *kind, const char *name,
    uint16_t target)
{
	struct clu_reply reply;
	char body[128];
	uint16_t port;

	snprintf(body, sizeof(body), "{\"name\": \"%s-%s\", \"target\": %u}",
	    kind, name, target);
	clu_http(clu->proxy_port, "POST", "/link", NULL, body, CLU_WAIT_MS,
	    &reply);
	port = (uint16_t)sti_int(reply.json, "port", 0);
	clu_reply_free(&reply);
	return port;
}

static void
clu_set_link_target(struct clu *clu, const char *kind, const char *name,
    uint16_t target)
{
	clu_control(clu->proxy_port, "/target",
	    "{\"link\": \"%s-%s\", \"target\": %u}", kind, name, target);
}

int
clu_host_start(struct clu *clu, int host)
{
	struct clu_host *h;
	char file[64], name[64], *args;
	size_t len;
	FILE *out;
	int i;

	h = &clu->hosts[host];
	h->generation++;
	snprintf(file, sizeof(file), "%s.%u.port", h->name, h->generation);
	snprintf(name, sizeof(name), "%s.%u", h->name, h->generation);
	out = open_memstream(&args, &len);
	fprintf(out,
	    "--host=%s --az=%s --listen=127.0.0.1:0 --peer-listen=127.0.0.1:0"
	    " --peer-advertise=127.0.0.1:%u --platform=http://127.0.0.1:%u"
	    " --port-file=%s/%s",
	    h->name, h->az, h->peer_link, h->platform_link, clu->dir, file);
	for (i = 0; i < clu->options.nhosts; i++)
		if (i != host)
			fprintf(out, " --peer=127.0.0.1:%u",
			    clu->hosts[i].peer_link);
	if (clu->options.host_args != NULL)
		fprintf(out, " %s", clu->options.host_args);
	fclose(out);
	h->pid = clu_spawn(clu, "berylraild", name, args);
	free(args);
	h->http_port = clu_read_port(clu, file, "http");
	if (h->http_port == 0)
		return -1;
	clu_set_link_target(clu, "client", h->name, h->http_port);
	clu_set_link_target(clu, "unduplicated", h->name, h->http_port);
	clu_set_link_target(clu, "peer", h->name,
	    clu_read_port(clu, file, "peer"));
	return 0;
}

void
clu_host_signal(struct clu *clu, int host, int sig)
{
	struct clu_host *h;

	h = &clu->hosts[host];
	if (h->pid <= 0)
		return;
	kill(h->pid, sig);
	if (sig == SIGKILL) {
		waitpid(h->pid, NULL, 0);
		h->pid = 0;
	}
}

int
clu_host_wait(struct clu *clu, int host, int timeout_ms)
{
	struct clu_host *h;
	uint64_t deadline;
	int status;

	h = &clu->hosts[host];
	deadline = sti_now_ms() + (uint64_t)timeout_ms;
	while (waitpid(h->pid, &status, WNOHANG) == 0) {
		if (sti_now_ms() > deadline)
			return -1;
		clu_sleep(10);
	}
	h->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

int
clu_host_ready(struct clu *clu, int host, int timeout_ms)
{
	struct clu_reply reply;
	uint64_t deadline;
	int status;

	deadline = sti_now_ms() + (uint64_t)timeout_ms;
	do {
		clu_http(clu->hosts[host].http_port, "GET", "/readyz", NULL,
		    NULL, 1000, &reply);
		status = reply.status;
		clu_reply_free(&reply);
		if (status == 200)
			return 0;
		clu_sleep(20);
	} while (sti_now_ms() < deadline);
	warnx("%s: not ready, last status of /readyz: %d",
	    clu->hosts[host].name, status);
	return -1;
}

static void
clu_kill(pid_t *pid)
{
	if (*pid <= 0)
		return;
	kill(*pid, SIGKILL);
	waitpid(*pid, NULL, 0);
	*pid = 0;
}

void
clu_stop(struct clu *clu)
{
	struct dirent *entry;
	char path[600];
	DIR *dir;
	int i;

	for (i = 0; i < clu->options.nhosts; i++)
		clu_kill(&clu->hosts[i].pid);
	clu_kill(&clu->proxy);
	clu_kill(&clu->backend);
	clu_kill(&clu->platform);
	if (getenv("CLU_KEEP") != NULL)
		return;
	dir = opendir(clu->dir);
	while (dir != NULL && (entry = readdir(dir)) != NULL) {
		snprintf(path, sizeof(path), "%s/%s", clu->dir, entry->d_name);
		unlink(path);
	}
	if (dir != NULL)
		closedir(dir);
	rmdir(clu->dir);
}

static int
clu_start_standins(struct clu *clu)
{
	char args[600], name[16];
	int i;

	snprintf(args, sizeof(args), "--port-file=%s/platform.port", clu->dir);
	clu->platform = clu_spawn(clu, "standin_platform", "platform", args);
	snprintf(args, sizeof(args),
	    "--port-file=%s/backend.port --servers=%d --slots=%d", clu->dir,
	    clu->options.nservers, clu->options.slots);
	clu->backend = clu_spawn(clu, "standin_backend", "backend", args);
	snprintf(args, sizeof(args),
	    "--port-file=%s/proxy.port --trace=%s/proxy.trace --seed=%llu",
	    clu->dir, clu->dir, (unsigned long long)clu->options.seed);
	clu->proxy = clu_spawn(clu, "standin_proxy", "proxy", args);
	clu->platform_port = clu_read_port(clu, "platform.port", "platform");
	clu->backend_port = clu_read_port(clu, "backend.port", "control");
	clu->proxy_port = clu_read_port(clu, "proxy.port", "control");
	if (clu->platform_port == 0 || clu->backend_port == 0 ||
	    clu->proxy_port == 0)
		return -1;
	for (i = 0; i < clu->options.nservers; i++) {
		snprintf(name, sizeof(name), "s%d", i + 1);
		clu->server_links[i] = clu_create_link(clu, "server", name,
		    clu_read_port(clu, "backend.port", name));
	}
	return 0;
}

int
clu_start(struct clu *clu, const struct clu_options *options)
{
	struct clu_host *h;
	const char *tmp;
	int i;

	memset(clu, 0, sizeof(*clu));
	if (options != NULL)
		clu->options = *options;
	if (clu->options.nhosts == 0)
		clu->options.nhosts = 3;
	if (clu->options.nservers == 0)
		clu->options.nservers = 6;
	if (clu->options.slots == 0)
		clu->options.slots = 8;
	if (clu->options.seed == 0)
		clu->options.seed = 1;
	tmp = getenv("TMPDIR");
	snprintf(clu->dir, sizeof(clu->dir), "%s/clu-XXXXXX",
	    tmp != NULL ? tmp : "/tmp");
	if (mkdtemp(clu->dir) == NULL)
		err(1, "%s", clu->dir);
	if (clu_start_standins(clu) == -1)
		return -1;
	for (i = 0; i < clu->options.nhosts; i++) {
		h = &clu->hosts[i];
		snprintf(h->name, sizeof(h->name), "h%d", i + 1);
		snprintf(h->az, sizeof(h->az), "az%d", i % CLU_AZS + 1);
		h->client_link = clu_create_link(clu, "client", h->name, 0);
		h->unduplicated_link =
		    clu_create_link(clu, "unduplicated", h->name, 0);
		h->peer_link = clu_create_link(clu, "peer", h->name, 0);
		h->platform_link = clu_create_link(clu, "platform", h->name,
		    clu->platform_port);
	}
	clu_publish_hosts(clu, 0);
	for (i = 0; i < clu->options.nhosts; i++)
		if (clu_host_start(clu, i) == -1)
			return -1;
	return clu->options.nhosts > 0 ? clu_configure(clu) : 0;
}
