/*
 * Each read of a flow makes a chunk that is sent at its due time. Faults are
 * applied when the data is read.
 */
#include <err.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "pair.h"
#include "support/standin.h"

struct chunk {
	struct evbuffer *data;
	uint64_t due_ms;
	STAILQ_ENTRY(chunk) entry;
};

struct flow {
	struct pair *pair;
	struct bufferevent *from; /* owned by the pair */
	struct bufferevent *to;
	struct event *timer;
	bool is_request; /* from client to target */
	bool eof;	 /* @from was closed by its peer */
	bool ended;	 /* @to was shut down after @from */
	STAILQ_HEAD(, chunk) chunks;
};

struct pair {
	struct link *link;
	unsigned id;
	struct bufferevent *client;
	struct bufferevent *target;
	struct bufferevent *duplicate; /* to the target as well, or NULL */
	struct flow request;
	struct flow reply;
	LIST_ENTRY(pair) entry;
};

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
	flow_clear(&pair->reply);
	LIST_REMOVE(pair, entry);
	bufferevent_free(pair->client);
	bufferevent_free(pair->target);
	if (pair->duplicate != NULL)
		bufferevent_free(pair->duplicate);
	free(pair);
}

/* Makes close() send a reset, which differs from an orderly close. */
static void
pair_reset_on_close(evutil_socket_t fd)
{
	static const struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

void
pair_cut(struct pair *pair, const char *reason)
{
	link_log(pair->link, pair->id, "cut: %s", reason);
	pair->link->ncut++;
	pair_reset_on_close(bufferevent_getfd(pair->client));
	pair_reset_on_close(bufferevent_getfd(pair->target));
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
	if (pair->request.ended && pair->reply.ended)
		pair_free(pair);
}

static void
flow_forward_due(struct flow *flow)
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
	flow_forward_due(arg);
}

static void
flow_enqueue(struct flow *flow, struct evbuffer *in)
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
	flow_forward_due(flow);
}

/* Sends the first @n bytes immediately, without libevent's buffers. */
static void
flow_send_now(struct flow *flow, struct evbuffer *in, size_t n)
{
	if (n > 0)
		(void)send(bufferevent_getfd(flow->to),
		    evbuffer_pullup(in, (ev_ssize_t)n), n, MSG_NOSIGNAL);
}

/*
 * Applies the faults at a position of the stream. Return: true if the input was
 * consumed; then the pair may have been freed.
 */
static bool
flow_apply_position_faults(struct flow *flow, struct evbuffer *in)
{
	struct pair *pair;
	struct link *link;
	int64_t *passed, at, len;

	pair = flow->pair;
	link = pair->link;
	passed = flow->is_request ? &link->request_bytes : &link->answer_bytes;
	at = flow->is_request ? link->rule.cut_request_at
			      : link->rule.cut_answer_at;
	len = (int64_t)evbuffer_get_length(in);
	if (at >= 0 && *passed + len > at) {
		flow_send_now(flow, in, (size_t)(at - *passed));
		*passed = at;
		link_fault_occurred(link);
		pair_cut(pair,
		    flow->is_request ? "position in request"
				     : "position in reply");
		return true;
	}
	at = link->rule.half_close_at;
	if (flow->is_request && at >= 0 && *passed + len > at) {
		flow_send_now(flow, in, (size_t)(at - *passed));
		*passed += len;
		evbuffer_drain(in, (size_t)len);
		link_log(link, pair->id, "half-close");
		shutdown(bufferevent_getfd(flow->to), SHUT_WR);
		flow->eof = flow->ended = true;
		link_fault_occurred(link);
		return true;
	}
	*passed += len;
	return false;
}

static void
pair_duplicate_request(struct pair *pair, struct evbuffer *in)
{
	struct sockaddr_in sin;
	struct evbuffer *copy;

	if (pair->duplicate == NULL) {
		sin = pair->link->target;
		pair->duplicate = bufferevent_socket_new(pair->link->base, -1,
		    BEV_OPT_CLOSE_ON_FREE);
		bufferevent_enable(pair->duplicate, EV_READ | EV_WRITE);
		bufferevent_socket_connect(pair->duplicate,
		    (struct sockaddr *)&sin, sizeof(sin));
	}
	copy = evbuffer_new();
	evbuffer_add_buffer_reference(copy, in);
	bufferevent_write_buffer(pair->duplicate, copy);
	evbuffer_free(copy);
	link_log(pair->link, pair->id, "duplicate");
	link_fault_occurred(pair->link);
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
	flow = bev == pair->client ? &pair->request : &pair->reply;
	in = bufferevent_get_input(bev);
	if (flow_apply_position_faults(flow, in))
		return;
	if (link->rule.cut_permille > 0 &&
	    link_random(1000) < link->rule.cut_permille) {
		flow_send_now(flow, in,
		    link_random((uint32_t)evbuffer_get_length(in)));
		pair_cut(pair, "random");
		return;
	}
	switch (link->rule.mode) {
	case LINK_DROP_REPLY:
		if (flow->is_request)
			break;
		/* FALLTHROUGH */
	case LINK_DROP:
		link_log(link, pair->id, "drop %zu bytes",
		    evbuffer_get_length(in));
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	case LINK_LOSE_REPLY:
		if (flow->is_request)
			break;
		link_fault_occurred(link);
		pair_cut(pair, "reply discarded");
		return;
	case LINK_DUPLICATE:
		if (flow->is_request)
			pair_duplicate_request(pair, in);
		break;
	default:
		break;
	}
	flow_enqueue(flow, in);
}

static void
flow_written(struct bufferevent *bev, void *arg)
{
	struct pair *pair;

	pair = arg;
	flow_end_if_drained(
	    bev == pair->target ? &pair->request : &pair->reply);
}

static void
flow_event(struct bufferevent *bev, short what, void *arg)
{
	struct pair *pair;
	struct flow *flow;

	pair = arg;
	flow = bev == pair->client ? &pair->request : &pair->reply;
	if (what & BEV_EVENT_ERROR) {
		pair_cut(pair, "socket error");
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
	flow->is_request = from == pair->client;
	flow->timer = evtimer_new(pair->link->base, flow_timer, flow);
	STAILQ_INIT(&flow->chunks);
}

static void
pair_set_rate(struct pair *pair, uint32_t rate)
{
	static const struct timeval tick = { 0, 100000 };
	struct ev_token_bucket_cfg *cfg;

	if (rate == 0)
		return;
	/* The configuration is never freed, as rules are set rarely. */
	cfg = ev_token_bucket_cfg_new(rate / 10 + 1, rate / 10 + 1,
	    EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
	bufferevent_set_rate_limit(pair->client, cfg);
	bufferevent_set_rate_limit(pair->target, cfg);
}

void
pair_start(struct link *link, evutil_socket_t fd)
{
	static unsigned npairs;
	struct sockaddr_in sin;
	struct pair *pair;
	int one;

	one = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	pair = calloc(1, sizeof(*pair));
	if (pair == NULL)
		err(1, "calloc");
	pair->link = link;
	pair->id = ++npairs;
	sin = link->target;
	pair->client =
	    bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->target =
	    bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
	flow_init(&pair->request, pair, pair->client, pair->target);
	flow_init(&pair->reply, pair, pair->target, pair->client);
	LIST_INSERT_HEAD(&link->pairs, pair, entry);
	bufferevent_setcb(pair->client, flow_read, flow_written, flow_event,
	    pair);
	bufferevent_setcb(pair->target, flow_read, flow_written, flow_event,
	    pair);
	pair_set_rate(pair, link->rule.rate);
	bufferevent_enable(pair->client, EV_READ | EV_WRITE);
	bufferevent_enable(pair->target, EV_READ | EV_WRITE);
	bufferevent_socket_connect(pair->target, (struct sockaddr *)&sin,
	    sizeof(sin));
}

struct pair *
pair_next(const struct pair *pair)
{
	return LIST_NEXT(pair, entry);
}

void
pair_rule_changed(struct pair *pair)
{
	pair_set_rate(pair, pair->link->rule.rate);
	/*
	 * Frozen flows resume in the timer callbacks, because forwarding may
	 * free the pair, which the caller of this function still uses.
	 */
	event_active(pair->request.timer, EV_TIMEOUT, 0);
	event_active(pair->reply.timer, EV_TIMEOUT, 0);
}
