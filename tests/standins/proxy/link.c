/* Links: listeners, rules, random choices and the trace. */
#include <err.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pair.h"
#include "support/standin.h"

#define LINK_BACKLOG 128

static const char *const link_mode_names[LINK_NMODES] = { "pass", "refuse",
	"drop", "freeze", "lose_reply", "drop_reply", "duplicate" };

static uint64_t link_random_state = 1;
static int link_trace_fd = -1;

void
link_seed(uint64_t seed)
{
	link_random_state = seed * 2654435769U + 1;
}

void
link_set_trace_fd(int fd)
{
	link_trace_fd = fd;
}

uint32_t
link_random(uint32_t n)
{
	link_random_state ^= link_random_state << 13;
	link_random_state ^= link_random_state >> 7;
	link_random_state ^= link_random_state << 17;
	return n == 0 ? 0 : (uint32_t)(link_random_state >> 11) % n;
}

void
link_log(const struct link *link, unsigned id, const char *fmt, ...)
{
	char text[160];
	va_list ap;

	if (link_trace_fd == -1)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	dprintf(link_trace_fd, "%llu %s #%u %s\n",
	    (unsigned long long)sti_now_ms(), link->name, id, text);
}

static const struct link_rule link_no_fault = { .cut_request_at = -1,
	.cut_answer_at = -1,
	.half_close_at = -1 };

void
link_fault_occurred(struct link *link)
{
	if (link->rule.faults_left > 0 && --link->rule.faults_left == 0)
		link->rule = link_no_fault;
}

static void
link_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	struct link *link;

	(void)listener;
	(void)addr;
	(void)len;
	link = arg;
	link->naccepted++;
	pair_start(link, fd);
}

/* Creates a socket bound to @port, 0 for a free one, that does not listen. */
static int
link_bound_socket(uint16_t port)
{
	struct sockaddr_in sin;
	int fd, one;

	one = 1;
	sin = sti_loopback(port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == -1 ||
	    bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1)
		err(1, "bind");
	return fd;
}

/* While the socket does not listen, the kernel refuses connections to it. */
static void
link_set_listening(struct link *link, bool listening)
{
	int fd;

	fd = evconnlistener_get_fd(link->listener);
	if (listening && link->refusing) {
		if (listen(fd, LINK_BACKLOG) == -1)
			err(1, "listen");
		evconnlistener_enable(link->listener);
	} else if (!listening && !link->refusing) {
		evconnlistener_disable(link->listener);
		shutdown(fd, SHUT_RD);
	}
	link->refusing = !listening;
}

struct link *
link_open(struct event_base *base, const char *name)
{
	struct link *link;
	int probe_fd, fd;

	link = calloc(1, sizeof(*link));
	if (link == NULL)
		return NULL;
	snprintf(link->name, sizeof(link->name), "%s", name);
	link->base = base;
	link->rule = link_no_fault;
	/*
	 * Only a port that was bound explicitly stays bound while the socket
	 * does not listen, so a first socket finds a free port.
	 */
	probe_fd = link_bound_socket(0);
	link->port = sti_bound_port(probe_fd);
	fd = link_bound_socket(link->port);
	close(probe_fd);
	link->listener = evconnlistener_new(base, link_accept, link,
	    LEV_OPT_CLOSE_ON_FREE, LINK_BACKLOG, fd);
	if (link->listener == NULL)
		errx(1, "evconnlistener_new");
	return link;
}

void
link_set_target(struct link *link, const struct sockaddr_in *target)
{
	link->target = *target;
	link_set_listening(link,
	    target->sin_port != 0 && link->rule.mode != LINK_REFUSE);
}

void
link_cut_all(struct link *link)
{
	struct pair *pair;

	while ((pair = LIST_FIRST(&link->pairs)) != NULL)
		pair_cut(pair, "all connections of the link");
}

int
link_set_rule(struct link *link, const json_t *json)
{
	struct link_rule *rule;
	struct pair *pair;
	const char *mode;
	int i;

	mode = sti_str(json, "mode", "pass");
	for (i = 0; i < LINK_NMODES; i++)
		if (strcmp(mode, link_mode_names[i]) == 0)
			break;
	if (i == LINK_NMODES)
		return -1;
	rule = &link->rule;
	rule->mode = (enum link_mode)i;
	rule->delay_ms = (uint32_t)sti_int(json, "delay_ms", 0);
	rule->jitter_ms = (uint32_t)sti_int(json, "jitter_ms", 0);
	rule->cut_request_at = sti_int(json, "cut_request_at", -1);
	rule->cut_answer_at = sti_int(json, "cut_answer_at", -1);
	rule->half_close_at = sti_int(json, "half_close_at", -1);
	rule->rate = (uint32_t)sti_int(json, "rate", 0);
	rule->cut_permille = (uint32_t)sti_int(json, "chaos", 0);
	rule->faults_left = sti_int(json, "shots", 0);
	link->request_bytes = link->answer_bytes = 0;
	link_log(link, 0, "rule: %s", mode);
	if (rule->mode == LINK_REFUSE)
		link_cut_all(link);
	link_set_target(link, &link->target);
	for (pair = LIST_FIRST(&link->pairs); pair != NULL;
	     pair = pair_next(pair))
		pair_rule_changed(pair);
	return 0;
}

json_t *
link_stats(const struct link *link)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:s}", "port",
	    (json_int_t)link->port, "accepted", (json_int_t)link->naccepted,
	    "cut", (json_int_t)link->ncut, "request_bytes",
	    (json_int_t)link->request_bytes, "answer_bytes",
	    (json_int_t)link->answer_bytes, "mode",
	    link_mode_names[link->rule.mode]);
}
