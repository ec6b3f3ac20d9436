/*
 * Each accepted connection is a pair of sockets with two flows, one for each
 * direction. What a flow reads becomes a chunk with a time at which it is due.
 */
#include <err.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link.h"
#include "support/standin.h"

#define LINK_BACKLOG 128

struct chunk {
	struct evbuffer *data;
	uint64_t due_ms;
	STAILQ_ENTRY(chunk) entry;
};

struct flow {
	struct pair *pair;
	struct bufferevent *from; /* borrowed from the pair */
	struct bufferevent *to;
	struct event *timer;
	bool request; /* client to target */
	bool eof;     /* @from has ended */
	bool ended;   /* and that was passed on */
	STAILQ_HEAD(, chunk) chunks;
};

struct pair {
	struct link *link;
	unsigned id;
	struct bufferevent *client;
	struct bufferevent *target;
	struct bufferevent *mirror; /* second connection, or NULL */
	struct flow request;
	struct flow answer;
	LIST_ENTRY(pair) entry;
};

static const char *const link_mode_names[LINK_NMODES] = { "pass", "refuse",
	"drop", "freeze", "lose_reply", "drop_reply", "duplicate" };

static uint64_t link_random_state = 1;
static int link_trace_fd = -1;
static unsigned link_npairs;

void
link_seed(uint64_t seed)
{
	link_random_state = seed * 2654435769U + 1;
}

void
link_trace(int fd)
{
	link_trace_fd = fd;
}

static uint32_t
link_random(uint32_t n)
{
	link_random_state ^= link_random_state << 13;
	link_random_state ^= link_random_state >> 7;
	link_random_state ^= link_random_state << 17;
	return n == 0 ? 0 : (uint32_t)(link_random_state >> 11) % n;
}

static void link_say(const struct link *link, unsigned id, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
link_say(const struct link *link, unsigned id, const char *fmt, ...)
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

static void
link_shot(struct link *link)
{
	if (link->rule.shots > 0 && --link->rule.shots == 0)
		link->rule = link_no_fault;
}

static void
flow_clear(struct flow *flow)
{
	struct chunk *chunk;

	while ((chunk = STAILQ_FIRST(&flow->chunks)) != NULL) {
		STAILQ_REMOVE_HEAD(&flow->chunks, entry);
		evbuffer_free(chunk->data);
		free(chunk);
	}
	event_free(flow->timer);
}

static void
pair_free(struct pair *pair)
{
	flow_clear(&pair->request);
	flow_clear(&pair->answer);
	LIST_REMOVE(pair, entry);
	bufferevent_free(pair->client);
	bufferevent_free(pair->target);
	if (pair->mirror != NULL)
		bufferevent_free(pair->mirror);
	free(pair);
}

/* Closing it will reset it, so that no side can take it for an end. */
static void
link_reset_on_close(evutil_socket_t fd)
{
	static const struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
pair_cut(struct pair *pair, const char *why)
{
	link_say(pair->link, pair->id, "cut: %s", why);
	pair->link->ncut++;
	link_reset_on_close(bufferevent_getfd(pair->client));
	link_reset_on_close(bufferevent_getfd(pair->target));
	pair_free(pair);
}

static void
flow_end_if_drained(struct flow *flow)
{
	struct pair *pair;

	pair = flow->pair;
	if (!flow->eof || flow->ended || !STAILQ_EMPTY(&flow->chunks) ||
	    evbuffer_get_length(bufferevent_get_output(flow->to)) > 0)
		return;
	shutdown(bufferevent_getfd(flow->to), SHUT_WR);
	flow->ended = true;
	if (pair->request.ended && pair->answer.ended)
		pair_free(pair);
}

static void
flow_pump(struct flow *flow)
{
	struct chunk *chunk;
	struct timeval tv;
	uint64_t now, wait;

	if (flow->pair->link->rule.mode == LINK_FREEZE)
		return;
	now = sti_now_ms();
	while ((chunk = STAILQ_FIRST(&flow->chunks)) != NULL) {
		if (chunk->due_ms > now) {
			wait = chunk->due_ms - now;
			tv.tv_sec = (time_t)(wait / 1000);
			tv.tv_usec = (suseconds_t)(wait % 1000 * 1000);
			evtimer_add(flow->timer, &tv);
			return;
		}
		STAILQ_REMOVE_HEAD(&flow->chunks, entry);
		bufferevent_write_buffer(flow->to, chunk->data);
		evbuffer_free(chunk->data);
		free(chunk);
	}
	flow_end_if_drained(flow);
}

static void
flow_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	flow_pump(arg);
}

static void
flow_hold(struct flow *flow, struct evbuffer *in)
{
	const struct link_rule *rule;
	struct chunk *chunk;

	rule = &flow->pair->link->rule;
	chunk = calloc(1, sizeof(*chunk));
	if (chunk == NULL || (chunk->data = evbuffer_new()) == NULL)
		err(1, "calloc");
	evbuffer_add_buffer(chunk->data, in);
	chunk->due_ms =
	    sti_now_ms() + rule->delay_ms + link_random(rule->jitter_ms);
	STAILQ_INSERT_TAIL(&flow->chunks, chunk, entry);
	flow_pump(flow);
}

/* Sends the first @n bytes at once, past libevent's buffers. */
static void
flow_send_now(struct flow *flow, struct evbuffer *in, size_t n)
{
	if (n > 0)
		(void)send(bufferevent_getfd(flow->to),
		    evbuffer_pullup(in, (ev_ssize_t)n), n, MSG_NOSIGNAL);
}

/*
 * Faults that depend on the position in the stream. Returns true if the input
 * was dealt with; the pair may be gone then.
 */
static bool
flow_positions(struct flow *flow, struct evbuffer *in)
{
	struct pair *pair;
	struct link *link;
	int64_t *passed, at, len;

	pair = flow->pair;
	link = pair->link;
	passed = flow->request ? &link->request_bytes : &link->answer_bytes;
	at = flow->request ? link->rule.cut_request_at
			   : link->rule.cut_answer_at;
	len = (int64_t)evbuffer_get_length(in);
	if (at >= 0 && *passed + len > at) {
		flow_send_now(flow, in, (size_t)(at - *passed));
		*passed = at;
		link_shot(link);
		pair_cut(pair, flow->request ? "in request" : "in answer");
		return true;
	}
	at = link->rule.half_close_at;
	if (flow->request && at >= 0 && *passed + len > at) {
		flow_send_now(flow, in, (size_t)(at - *passed));
		*passed += len;
		evbuffer_drain(in, (size_t)len);
		link_say(link, pair->id, "half-close");
		shutdown(bufferevent_getfd(flow->to), SHUT_WR);
		flow->eof = flow->ended = true;
		link_shot(link);
		return true;
	}
	*passed += len;
	return false;
}

static void
pair_mirror(struct pair *pair, struct evbuffer *in)
{
	struct sockaddr_in sin;
	struct evbuffer *copy;

	if (pair->mirror == NULL) {
		sin = sti_loopback(pair->link->target_port);
		pair->mirror = bufferevent_socket_new(pair->link->base, -1,
		    BEV_OPT_CLOSE_ON_FREE);
		bufferevent_enable(pair->mirror, EV_READ | EV_WRITE);
		bufferevent_socket_connect(pair->mirror,
		    (struct sockaddr *)&sin, sizeof(sin));
	}
	copy = evbuffer_new();
	evbuffer_add_buffer_reference(copy, in);
	bufferevent_write_buffer(pair->mirror, copy);
	evbuffer_free(copy);
	link_say(pair->link, pair->id, "duplicate");
	link_shot(pair->link);
}

static void
flow_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in;
	struct pair *pair;
	struct flow *flow;
	struct link *link;

	pair = arg;
	link = pair->link;
	flow = bev == pair->client ? &pair->request : &pair->answer;
	in = bufferevent_get_input(bev);
	if (flow_positions(flow, in))
		return;
	if (link->rule.chaos > 0 && link_random(1000) < link->rule.chaos) {
		flow_send_now(flow, in,
		    link_random((uint32_t)evbuffer_get_length(in)));
		pair_cut(pair, "chaos");
		return;
	}
	switch (link->rule.mode) {
	case LINK_DROP_REPLY:
		if (flow->request)
			break;
		/* FALLTHROUGH */
	case LINK_DROP:
		link_say(link, pair->id, "drop %zu bytes",
		    evbuffer_get_length(in));
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	case LINK_LOSE_REPLY:
		if (flow->request)
			break;
		link_shot(link);
		pair_cut(pair, "reply lost");
		return;
	case LINK_DUPLICATE:
		if (flow->request)
			pair_mirror(pair, in);
		break;
	default:
		break;
	}
	flow_hold(flow, in);
}

static void
flow_written(struct bufferevent *bev, void *arg)
{
	struct pair *pair;

	pair = arg;
	flow_end_if_drained(
	    bev == pair->target ? &pair->request : &pair->answer);
}

static void
flow_event(struct bufferevent *bev, short what, void *arg)
{
	struct pair *pair;
	struct flow *flow;

	pair = arg;
	flow = bev == pair->client ? &pair->request : &pair->answer;
	if (what & BEV_EVENT_ERROR) {
		pair_cut(pair, "error of a socket");
	} else if (what & BEV_EVENT_EOF) {
		flow->eof = true;
		flow_end_if_drained(flow);
	}
}

static void
flow_init(struct flow *flow, struct pair *pair, struct bufferevent *from,
    struct bufferevent *to)
{
	flow->pair = pair;
	flow->from = from;
	flow->to = to;
	flow->request = from == pair->client;
	flow->timer = evtimer_new(pair->link->base, flow_timer, flow);
	STAILQ_INIT(&flow->chunks);
}

static void
pair_limit(struct pair *pair, uint32_t rate)
{
	static const struct timeval tick = { 0, 100000 };
	struct ev_token_bucket_cfg *cfg;

	if (rate == 0)
		return;
	/* Lives as long as the program; rules are few. */
	cfg = ev_token_bucket_cfg_new(rate / 10 + 1, rate / 10 + 1,
	    EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
	bufferevent_set_rate_limit(pair->client, cfg);
	bufferevent_set_rate_limit(pair->target, cfg);
}

static void
link_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	struct sockaddr_in sin;
	struct pair *pair;
	struct link *link;
	int one;

	(void)listener;
	(void)addr;
	(void)len;
	link = arg;
	link->naccepted++;
	one = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	pair = calloc(1, sizeof(*pair));
	if (pair == NULL)
		err(1, "calloc");
	pair->link = link;
	pair->id = ++link_npairs;
	sin = sti_loopback(link->target_port);
	pair->client =
	    bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->target =
	    bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
	flow_init(&pair->request, pair, pair->client, pair->target);
	flow_init(&pair->answer, pair, pair->target, pair->client);
	LIST_INSERT_HEAD(&link->pairs, pair, entry);
	bufferevent_setcb(pair->client, flow_read, flow_written, flow_event,
	    pair);
	bufferevent_setcb(pair->target, flow_read, flow_written, flow_event,
	    pair);
	pair_limit(pair, link->rule.rate);
	bufferevent_enable(pair->client, EV_READ | EV_WRITE);
	bufferevent_enable(pair->target, EV_READ | EV_WRITE);
	bufferevent_socket_connect(pair->target, (struct sockaddr *)&sin,
	    sizeof(sin));
}

/* A socket at that port, 0 for any; it does not listen yet. */
static int
link_bind(uint16_t port)
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

/* Refused connections are refused by the kernel: nobody listens. */
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
	int any, fd;

	link = calloc(1, sizeof(*link));
	if (link == NULL)
		return NULL;
	snprintf(link->name, sizeof(link->name), "%s", name);
	link->base = base;
	link->rule = link_no_fault;
	/* Only a port that was asked for is kept while nobody listens. */
	any = link_bind(0);
	link->port = sti_port(any);
	fd = link_bind(link->port);
	close(any);
	link->listener = evconnlistener_new(base, link_accept, link,
	    LEV_OPT_CLOSE_ON_FREE, LINK_BACKLOG, fd);
	if (link->listener == NULL)
		errx(1, "evconnlistener_new");
	return link;
}

void
link_set_target(struct link *link, uint16_t port)
{
	link->target_port = port;
	link_set_listening(link, port != 0 && link->rule.mode != LINK_REFUSE);
}

void
link_cut_all(struct link *link)
{
	struct pair *pair;

	while ((pair = LIST_FIRST(&link->pairs)) != NULL)
		pair_cut(pair, "all");
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
	rule->chaos = (uint32_t)sti_int(json, "chaos", 0);
	rule->shots = sti_int(json, "shots", 0);
	link->request_bytes = link->answer_bytes = 0;
	link_say(link, 0, "rule: %s", mode);
	if (rule->mode == LINK_REFUSE)
		link_cut_all(link);
	link_set_target(link, link->target_port);
	/* What was frozen goes on; by the timers, as a pair may end by it. */
	LIST_FOREACH (pair, &link->pairs, entry) {
		pair_limit(pair, rule->rate);
		event_active(pair->request.timer, EV_TIMEOUT, 0);
		event_active(pair->answer.timer, EV_TIMEOUT, 0);
	}
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
