/*
 * Holds over the network: one that asks for a way goes over that connection, or
 * not at all, as another one may lead to a later incarnation.
 */

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "platform/platform.h"

#define HOLDS_MAX 8

struct rig {
	struct event_base *base;
	struct evhttp *server;
	struct worker *worker;
	struct worker_link *link;
	bool closes; /* the server closes after each answer */
	json_int_t seen[HOLDS_MAX];
	size_t nholds;
	enum worker_verdict verdict;
	uint64_t way; /* of the last answer */
};

static void
rig_serve(struct evhttp_request *req, void *arg)
{
	struct rig *rig = arg;
	struct evbuffer *input = evhttp_request_get_input_buffer(req);
	struct evbuffer *output = evhttp_request_get_output_buffer(req);
	json_t *body = json_loadb((const char *)evbuffer_pullup(input, -1),
	    evbuffer_get_length(input), 0, NULL);

	cr_assert_lt(rig->nholds, (size_t)HOLDS_MAX);
	rig->seen[rig->nholds++] =
	    json_integer_value(json_object_get(body, "last_seen"));
	json_decref(body);
	if (rig->closes)
		(void)evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Connection", "close");
	(void)evbuffer_add_printf(output,
	    "{\"clock_ms\":5,\"born\":7,\"running\":[],\"ended_runs\":[]}");
	evhttp_send_reply(req, HTTP_OK, "OK", NULL);
}

static struct rig *
rig_create(void)
{
	struct worker_address address = { .id = "s0", .address = "127.0.0.1" };
	struct rig *rig = calloc(1, sizeof(*rig));
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	rig->base = event_base_new();
	rig->server = evhttp_new(rig->base);
	evhttp_set_gencb(rig->server, rig_serve, rig);
	bound = evhttp_bind_socket_with_handle(rig->server, "127.0.0.1", 0);
	(void)getsockname(evhttp_bound_socket_get_fd(bound),
	    (struct sockaddr *)&sin, &len);
	address.port = ntohs(sin.sin_port);
	rig->worker = platform_worker_create(rig->base);
	rig->link = rig->worker->ops->open(rig->worker, &address);
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	platform_worker_destroy(rig->worker);
	evhttp_free(rig->server);
	event_base_free(rig->base);
	free(rig);
}

static void
rig_held(void *arg, const struct worker_reply *reply)
{
	struct rig *rig = arg;

	rig->verdict = reply->verdict;
	rig->way = reply->connection_id;
	(void)event_base_loopbreak(rig->base);
}

static enum worker_verdict
rig_hold(struct rig *rig, uint64_t acknowledged, uint64_t way)
{
	const struct worker_hold hold = { .token = 1,
		.acknowledged = acknowledged,
		.connection_id = way };
	const struct timeval settle = { .tv_usec = 20000 };

	rig->worker->ops->hold(rig->link, &hold, rig_held, rig);
	(void)event_base_dispatch(rig->base);
	(void)event_base_loopexit(rig->base, &settle);
	(void)event_base_dispatch(rig->base);
	return rig->verdict;
}

Test(platform_worker, hold_goes_over_the_way_that_it_asks_for)
{
	struct rig *rig = rig_create();
	uint64_t way;

	cr_assert_eq(rig_hold(rig, 0, 0), WORKER_OK);
	way = rig->way;
	cr_assert_neq(way, 0);
	cr_expect_eq(rig_hold(rig, 5, way), WORKER_OK);
	cr_expect_eq(rig->way, way);
	cr_expect_eq(rig->seen[1], 5);
	rig_destroy(rig);
}

Test(platform_worker, nothing_is_sent_when_that_way_is_gone)
{
	struct rig *rig = rig_create();
	uint64_t way;

	rig->closes = true;
	cr_assert_eq(rig_hold(rig, 0, 0), WORKER_OK);
	way = rig->way;
	rig->closes = false;
	cr_expect_eq(rig_hold(rig, 5, way), WORKER_NOT_SENT);
	cr_expect_eq(rig->nholds, 1);
	cr_expect_eq(rig_hold(rig, 0, 0), WORKER_OK);
	cr_expect_neq(rig->way, way);
	rig_destroy(rig);
}
