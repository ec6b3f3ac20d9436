/*
 * The deployment: processes, clients, the event loop and the record.
 */

#include <arpa/inet.h>
#include <err.h>
#include <errno.h>
#include <event2/buffer.h>
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

#include "review/rig/rig.h"
#include "tests/support/standin.h"

#define RIG_DEPLOY_FILE "deploy/system.toml"
#define RIG_TICK_MS 2
#define RIG_ARGS_MAX 64
#define RIG_ADDRESS_ATTEMPTS 1000
#define RIG_FRONTEND_PORT 8161
#define RIG_CONTROL_PORT 8166
#define RIG_READY_PORT 8167
#define RIG_INTERNAL_PORT 7720
#define RIG_ADVICE_PORT 8169 /* nobody listens there */
#define RIG_GRACE_PERIOD_S 6
#define RIG_READY_TIMEOUT_MS 15000
#define RIG_SETTLE_MS 1500
#define RIG_CALL_TIMEOUT_MS 1500
#define RIG_QUEUE_HOST "renew.example"
#define RIG_QUEUE_PREFIX "/pass/"

struct rig rig;
static const char *const rig_zones[RIG_ZONES] = { "lagos-ikeja", "lagos-lekki",
	"lagos-yaba" };
static FILE *rig_record_file;
static uint64_t rig_started_ms;

uint64_t
rig_now_ms(void)
{
	return sti_now_ms() - rig_started_ms;
}

void
rig_record(const char *fmt, ...)
{
	va_list ap;

	fprintf(rig_record_file, "%8.3f ", (double)rig_now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(rig_record_file, fmt, ap);
	va_end(ap);
	fputc('\n', rig_record_file);
	fflush(rig_record_file);
}

/* KEEP_LOGS=1 leaves the logs of the hosts. */
static void
rig_remove_logs(void)
{
	char path[256];
	size_t i;

	if (getenv("KEEP_LOGS") != NULL) {
		printf("logs of the hosts: %s\n", rig.dir);
		return;
	}
	for (i = 0; i < RIG_HOSTS; i++) {
		snprintf(path, sizeof(path), "%s/%s.log", rig.dir,
		    rig.hosts[i].name);
		(void)unlink(path);
	}
	(void)rmdir(rig.dir);
}

void
rig_end(enum rig_status status, const char *fmt, ...)
{
	char text[512];
	va_list ap;
	size_t i;
	int code;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	for (i = 0; i < RIG_HOSTS; i++) {
		if (rig.hosts[i].pid == 0)
			continue;
		/* A host that has ended by itself is reported as such. */
		if (waitpid(rig.hosts[i].pid, &code, WNOHANG) != 0)
			rig_record("%s has ended by itself, status %d",
			    rig.hosts[i].name, code);
		kill(rig.hosts[i].pid, SIGKILL);
		waitpid(rig.hosts[i].pid, NULL, 0);
	}
	rig_remove_logs();
	rig_record("%s: %s",
	    status == RIG_HELD	       ? "HELD"
		: status == RIG_BROKEN ? "BROKEN"
				       : "NOT RUN",
	    text);
	printf("%s: %s\n",
	    status == RIG_HELD	       ? "held"
		: status == RIG_BROKEN ? "broken"
				       : "not run",
	    text);
	exit(status);
}

/* Waiting */

void
rig_wait(uint64_t ms)
{
	const struct timeval tv = { .tv_sec = (time_t)(ms / 1000),
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	event_base_loopexit(rig.base, &tv);
	event_base_dispatch(rig.base);
}

bool
rig_wait_for(bool (*holds)(void *arg), void *arg, uint64_t ms)
{
	uint64_t until_ms = rig_now_ms() + ms;

	while (!holds(arg)) {
		if (rig_now_ms() >= until_ms)
			return false;
		rig_wait(RIG_TICK_MS);
	}
	return true;
}

static void
rig_tick(evutil_socket_t fd, short what, void *arg)
{
	size_t i;

	(void)fd;
	(void)what;
	(void)arg;
	for (i = 0; i < RIG_MINIONS; i++)
		minion_tick(&rig.minions[i]);
}

/* Entry hosts */

/* The value of a placeholder of the deploy file. */
static void
rig_value(const struct rig_host *host, const char *name, char *value,
    size_t size)
{
	struct {
		const char *name;
		char value[128];
	} values[] = { { "node_name", "" }, { "zone", "" },
		{ "platform.address", "" }, { "listen_addrs.frontend", "" },
		{ "listen_addrs.ready", "" },
		{ "listen_addrs.control_plane", "" }, { "ip_address", "" },
		{ "internal_port_range.0", "" }, { "limits.cpu_share", "0.25" },
		{ "bounds.max_hold_ms", "" }, { "bounds.remote_factor", "1.5" },
		{ "seed_nodes", "" }, { "recommendation", "" } };
	size_t i, n = 0;

	snprintf(values[n++].value, 128, "%s", host->name);
	snprintf(values[n++].value, 128, "%s", host->zone);
	snprintf(values[n++].value, 128, "127.0.0.1:%u", host->store_port);
	snprintf(values[n++].value, 128, "%s:%d", host->ip, RIG_FRONTEND_PORT);
	snprintf(values[n++].value, 128, "%s:%d", host->ip, RIG_READY_PORT);
	snprintf(values[n++].value, 128, "%s:%d", host->ip, RIG_CONTROL_PORT);
	snprintf(values[n++].value, 128, "%s", host->ip);
	snprintf(values[n++].value, 128, "%d", RIG_INTERNAL_PORT);
	n++;
	snprintf(values[n++].value, 128, "%d", RIG_MAX_HOLD_MS);
	n++;
	if (rig.proxied)
		snprintf(values[n++].value, 128,
		    "127.0.0.1:%u,127.0.0.1:%u,127.0.0.1:%u",
		    rig.hosts[0].proxy_port, rig.hosts[2].proxy_port,
		    rig.hosts[4].proxy_port);
	else
		snprintf(values[n++].value, 128, "%s:%d,%s:%d,%s:%d",
		    rig.hosts[0].ip, RIG_CONTROL_PORT, rig.hosts[2].ip,
		    RIG_CONTROL_PORT, rig.hosts[4].ip, RIG_CONTROL_PORT);
	snprintf(values[n++].value, 128, "127.0.0.1:%d", RIG_ADVICE_PORT);
	for (i = 0; i < n; i++) {
		if (strcmp(values[i].name, name) == 0) {
			snprintf(value, size, "%s", values[i].value);
			return;
		}
	}
	rig_end(RIG_NOT_RUN, "unknown placeholder %s in " RIG_DEPLOY_FILE,
	    name);
}

/* Copies the text up to the next quote, with its placeholders filled in. */
static void
rig_expand(const struct rig_host *host, const char *text, char *out,
    size_t size)
{
	char name[64], value[256];
	const char *end;
	size_t len = 0;

	out[0] = '\0';
	while (*text != '\0' && *text != '"' && len + 1 < size) {
		end = strstr(text, "}}");
		if (strncmp(text, "{{", 2) != 0 || end == NULL) {
			out[len++] = *text++;
			out[len] = '\0';
			continue;
		}
		snprintf(name, sizeof(name), "%.*s", (int)(end - text - 2),
		    text + 2);
		rig_value(host, name, value, sizeof(value));
		len += (size_t)snprintf(out + len, size - len, "%s", value);
		text = end + 2;
	}
}

/* Sets the variables of the line "env = { NAME = "text", .. }". */
static void
rig_set_env(const struct rig_host *host, const char *deploy)
{
	const char *env = strstr(deploy, "\nenv = {"), *quote, *line_end;
	char name[64], value[256];

	if (env == NULL)
		return;
	env += strlen("\nenv = {");
	line_end = strchr(env, '\n');
	while (sscanf(env, " %63[A-Z_0-9] =", name) == 1 &&
	    (quote = strchr(env, '"')) != NULL && quote < line_end) {
		rig_expand(host, quote + 1, value, sizeof(value));
		setenv(name, value, 1);
		env = strchr(quote + 1, '"') + 1;
		if (*env == ',')
			env++;
	}
}

static void
rig_exec(const struct rig_host *host, const char *deploy)
{
	const char *run = strstr(deploy, "\nrun = \"");
	char command[4096], log[256], *argv[RIG_ARGS_MAX], *word;
	size_t n = 0;
	int fd;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	clearenv();
	setenv("PATH", "/usr/bin:/bin", 1);
	setenv("HOME", "/tmp", 1);
	setenv("LANG", "C.UTF-8", 1);
	rig_set_env(host, deploy);
	if (rig.proxied) {
		snprintf(command, sizeof(command), "127.0.0.1:%u",
		    host->proxy_port);
		setenv("BERYLRAIL_PEER_ADVERTISE", command, 1);
	}
	if (run == NULL)
		_exit(127);
	rig_expand(host, run + strlen("\nrun = \""), command, sizeof(command));
	for (word = strtok(command, " "); word != NULL && n + 1 < RIG_ARGS_MAX;
	     word = strtok(NULL, " "))
		argv[n++] = word;
	argv[n] = NULL;
	snprintf(log, sizeof(log), "%s/%s.log", rig.dir, host->name);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(argv[0], argv);
	_exit(127);
}

static void
rig_host_start(struct rig_host *host)
{
	static char deploy[16384];
	FILE *file = fopen(RIG_DEPLOY_FILE, "r");
	size_t n;

	if (file == NULL)
		rig_end(RIG_NOT_RUN, RIG_DEPLOY_FILE " can't be read");
	n = fread(deploy, 1, sizeof(deploy) - 1, file);
	deploy[n] = '\0';
	fclose(file);
	host->pid = fork();
	if (host->pid == 0)
		rig_exec(host, deploy);
	rig_record("%s is started", host->name);
}

void
rig_host_kill(struct rig_host *host)
{
	rig_record("%s is killed", host->name);
	kill(host->pid, SIGKILL);
	waitpid(host->pid, NULL, 0);
	host->pid = 0;
}

bool
rig_host_ended(struct rig_host *host)
{
	int code;

	if (host->pid == 0 || waitpid(host->pid, &code, WNOHANG) == 0)
		return false;
	rig_record("%s has ended by itself, status %d", host->name, code);
	host->pid = 0;
	return true;
}

static void
rig_grace_over(evutil_socket_t fd, short what, void *arg)
{
	struct rig_host *host = arg;

	(void)fd;
	(void)what;
	if (host->pid == 0 || waitpid(host->pid, NULL, WNOHANG) != 0) {
		host->pid = 0;
		return;
	}
	rig_host_kill(host);
}

void
rig_host_term(struct rig_host *host)
{
	const struct timeval grace = { .tv_sec = RIG_GRACE_PERIOD_S };

	rig_record("%s gets SIGTERM", host->name);
	kill(host->pid, SIGTERM);
	event_base_once(rig.base, -1, EV_TIMEOUT, rig_grace_over, host, &grace);
}

struct rig_host *
rig_host_of_token(uint64_t token)
{
	size_t i, j;

	for (i = 0; i < RIG_HOSTS; i++) {
		for (j = 0; j < rig.hosts[i].ntokens; j++) {
			if (rig.hosts[i].tokens[j] == token)
				return &rig.hosts[i];
		}
	}
	return NULL;
}

struct rig_host *
rig_holder(const char *zone)
{
	uint64_t token = 0;
	size_t i;

	for (i = 0; i < RIG_MINIONS; i++) {
		if (rig.minions[i].token > token &&
		    strcmp(rig.minions[i].zone, zone) == 0)
			token = rig.minions[i].token;
	}
	return rig_host_of_token(token);
}

struct rig_host *
rig_other_host(const struct rig_host *host)
{
	size_t i;

	for (i = 0; i < RIG_HOSTS; i++) {
		if (&rig.hosts[i] != host && rig.hosts[i].pid != 0 &&
		    strcmp(rig.hosts[i].zone, host->zone) == 0)
			return &rig.hosts[i];
	}
	rig_end(RIG_NOT_RUN, "no other host in %s", host->zone);
}

/* All ports of the addresses chosen are free. */
static void
rig_choose_addresses(void)
{
	static const int ports[] = { RIG_FRONTEND_PORT, RIG_CONTROL_PORT,
		RIG_READY_PORT, RIG_INTERNAL_PORT };
	struct sockaddr_in sin;
	unsigned a, b, attempt;
	size_t i, j, free_ports;
	int fd;

	for (attempt = 0; attempt < RIG_ADDRESS_ATTEMPTS; attempt++) {
		a = 1 + arc4random_uniform(250);
		b = arc4random_uniform(256);
		free_ports = 0;
		for (i = 0; i < RIG_HOSTS; i++) {
			snprintf(rig.hosts[i].ip, sizeof(rig.hosts[i].ip),
			    "127.%u.%u.%zu", a, b, i + 11);
			for (j = 0; j < sizeof(ports) / sizeof(ports[0]); j++) {
				sin = sti_loopback((uint16_t)ports[j]);
				inet_pton(AF_INET, rig.hosts[i].ip,
				    &sin.sin_addr);
				fd = socket(AF_INET, SOCK_STREAM, 0);
				if (bind(fd, (struct sockaddr *)&sin,
					sizeof(sin)) == 0)
					free_ports++;
				close(fd);
			}
		}
		if (free_ports == RIG_HOSTS * 4)
			return;
	}
	rig_end(RIG_NOT_RUN, "no free loopback addresses");
}

/* Clients */

struct rig_answer {
	int status;
	bool ended;
	char body[1024];
};

static void
rig_answered(struct evhttp_request *req, void *arg)
{
	struct rig_answer *answer = arg;
	struct evbuffer *in;
	ev_ssize_t n;

	answer->ended = true;
	if (req == NULL)
		return;
	answer->status = evhttp_request_get_response_code(req);
	in = evhttp_request_get_input_buffer(req);
	n = evbuffer_copyout(in, answer->body, sizeof(answer->body) - 1);
	answer->body[n < 0 ? 0 : n] = '\0';
}

static bool
rig_answer_ended(void *arg)
{
	return ((struct rig_answer *)arg)->ended;
}

/* Return: the answer as JSON, or NULL. */
static json_t *
rig_request(struct rig_host *host, const char *method, const char *id,
    const char *body, uint32_t deadline_ms, int *status)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(rig.base,
	    NULL, host->ip, RIG_FRONTEND_PORT);
	struct rig_answer answer = { 0 };
	struct evhttp_request *req = evhttp_request_new(rig_answered, &answer);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char path[128], deadline[16];

	evhttp_connection_set_retries(conn, 0);
	snprintf(path, sizeof(path), RIG_QUEUE_PREFIX "%s", id);
	snprintf(deadline, sizeof(deadline), "%u", deadline_ms);
	evhttp_add_header(headers, "Host", RIG_QUEUE_HOST);
	evhttp_add_header(headers, "Content-Type", "application/json");
	evhttp_add_header(headers, "Deadline-Ms", deadline);
	if (body != NULL)
		evbuffer_add(evhttp_request_get_output_buffer(req), body,
		    strlen(body));
	evhttp_make_request(conn, req,
	    strcmp(method, "POST") == 0		? EVHTTP_REQ_POST
		: strcmp(method, "DELETE") == 0 ? EVHTTP_REQ_DELETE
						: EVHTTP_REQ_GET,
	    path);
	(void)rig_wait_for(rig_answer_ended, &answer, deadline_ms);
	if (!answer.ended)
		evhttp_cancel_request(req);
	evhttp_connection_free(conn);
	*status = answer.status;
	rig_record("client: %s %s at %s -> %d %s", method, id, host->name,
	    answer.status, answer.body);
	return json_loads(answer.body, 0, NULL);
}

int
rig_call(struct rig_host *host, const char *method, const char *id,
    const char *body, uint32_t deadline_ms, char state[RIG_NAME_SIZE])
{
	int status;
	json_t *json =
	    rig_request(host, method, id, body, deadline_ms, &status);

	if (state != NULL)
		snprintf(state, RIG_NAME_SIZE, "%s",
		    sti_str(json, "state", ""));
	json_decref(json);
	return status;
}

int
rig_pending(struct rig_host *host)
{
	int status, pending;
	json_t *json =
	    rig_request(host, "GET", "", NULL, RIG_CALL_TIMEOUT_MS, &status);

	pending = status == 200 ? (int)sti_int(json, "pending", -1) : -1;
	json_decref(json);
	return pending;
}

void
rig_submit(struct rig_host *host, const char *id, const char *body)
{
	uint64_t until_ms = rig_now_ms() + RIG_READY_TIMEOUT_MS;
	int status;

	do {
		status = rig_call(host, "POST", id, body, 1500, NULL);
		if (status >= 200 && status < 300)
			return;
		rig_wait(200);
	} while (rig_now_ms() < until_ms);
	rig_end(RIG_NOT_RUN, "job %s is not accepted", id);
}

/* What the minions have run */

struct rig_run *
rig_find_run(const char *task, struct rig_minion **minion)
{
	struct rig_run *run;
	size_t i;

	for (i = 0; i < RIG_MINIONS; i++) {
		TAILQ_FOREACH (run, &rig.minions[i].running, entry) {
			if (strcmp(run->task, task) != 0)
				continue;
			if (minion != NULL)
				*minion = &rig.minions[i];
			return run;
		}
	}
	return NULL;
}

/* Start */

static void
rig_configure(void)
{
	store_set("op", "config",
	    "{\"version\":7,\"routes\":[{\"name\":\"pass\",\"host\":"
	    "\"" RIG_QUEUE_HOST "\",\"prefix\":\"" RIG_QUEUE_PREFIX
	    "\",\"service\":\"renewdesk\",\"timeout_ms\":5000,"
	    "\"priority\":1,\"max_attempts\":4,\"slack_factor\":3,"
	    "\"target_latency_ms\":2000}],\"services\":[{\"name\":"
	    "\"renewdesk\",\"admission_check\":true}],\"limits\":{"
	    "\"max_body_bytes\":262144}}");
}

/* Each zone serves: a job that needn't be kept is completed in it. */
static void
rig_await_service(void)
{
	uint64_t until_ms = rig_now_ms() + RIG_READY_TIMEOUT_MS;
	char id[RIG_NAME_SIZE], state[RIG_NAME_SIZE];
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < RIG_HOSTS; i++) {
		do {
			if (rig_now_ms() > until_ms)
				rig_end(RIG_NOT_RUN, "%s does not serve",
				    rig.hosts[i].name);
			rig_wait(100);
			snprintf(id, sizeof(id), "00000000000000%02x", n++);
			rig_call(&rig.hosts[i], "POST", id,
			    "{\"spec\":\"ms=20 cpu=1000\",\"best_effort\":"
			    "true,\"steps\":[{\"count\":1,\"cpu\":1000,"
			    "\"mem_mb\":64,\"estimated_ms\":20}]}",
			    1500, state);
		} while (strcmp(state, "completed") != 0);
	}
	rig_wait(RIG_SETTLE_MS);
}

void
rig_start(int argc, char **argv, bool proxied)
{
	const struct timeval tick = { .tv_usec = RIG_TICK_MS * 1000 };
	const char *trouble = getenv("TROUBLE");
	struct rig_host *host;
	size_t i;

	rig_started_ms = sti_now_ms();
	if (argc != 2)
		errx(RIG_NOT_RUN, "usage: %s RECORD", argv[0]);
	rig_record_file = fopen(argv[1], "w");
	if (rig_record_file == NULL)
		err(RIG_NOT_RUN, "%s", argv[1]);
	rig.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	rig.proxied = proxied;
	snprintf(rig.dir, sizeof(rig.dir), "/tmp/review-XXXXXX");
	if (mkdtemp(rig.dir) == NULL)
		rig_end(RIG_NOT_RUN, "no temporary folder");
	(void)signal(SIGPIPE, SIG_IGN);
	rig.base = event_base_new();
	if (rig.base == NULL)
		rig_end(RIG_NOT_RUN, "no event base");
	rig_choose_addresses();
	store_init();
	rig_configure();
	for (i = 0; i < RIG_MINIONS; i++) {
		snprintf(rig.minions[i].id, RIG_NAME_SIZE, "m%02zu", i);
		rig.minions[i].index = i;
		rig.minions[i].zone = rig_zones[i / RIG_MINIONS_PER_ZONE];
		minion_init(&rig.minions[i]);
	}
	event_add(event_new(rig.base, -1, EV_PERSIST, rig_tick, NULL), &tick);
	rig_wait(10);
	for (i = 0; i < RIG_HOSTS; i++) {
		host = &rig.hosts[i];
		host->index = i;
		host->zone = rig_zones[i / RIG_HOSTS_PER_ZONE];
		snprintf(host->name, sizeof(host->name), "frontend-%s-%zu",
		    host->zone, i % RIG_HOSTS_PER_ZONE + 1);
		store_start(host);
		if (proxied)
			proxy_start(host);
	}
	for (i = 0; i < RIG_HOSTS; i++)
		rig_host_start(&rig.hosts[i]);
	rig_await_service();
}
