/*
 * Replies of the recommendation service. Malformed permits are skipped.
 */

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#include "platform/platform.h"

#define PERMITS_MAX 8

struct rig {
	struct event_base *base;
	struct evhttp *server;
	struct advisor *advisor;
	const char *reply;
	size_t n;
	char servers[PERMITS_MAX][NAME_SIZE];
	uint32_t validity_ms;
};

static void
rig_serve(struct evhttp_request *req, void *arg)
{
	struct rig *rig = arg;

	(void)evbuffer_add(evhttp_request_get_output_buffer(req), rig->reply,
	    strlen(rig->reply));
	evhttp_send_reply(req, HTTP_OK, "OK", NULL);
}

static struct rig *
rig_create(void)
{
	struct rig *rig = calloc(1, sizeof(*rig));
	struct endpoint endpoint = { .address = "127.0.0.1" };
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	rig->base = event_base_new();
	rig->server = evhttp_new(rig->base);
	evhttp_set_gencb(rig->server, rig_serve, rig);
	bound = evhttp_bind_socket_with_handle(rig->server, "127.0.0.1", 0);
	(void)getsockname(evhttp_bound_socket_get_fd(bound),
	    (struct sockaddr *)&sin, &len);
	endpoint.port = ntohs(sin.sin_port);
	rig->advisor = platform_advisor_create(rig->base, &endpoint);
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	platform_advisor_destroy(rig->advisor);
	evhttp_free(rig->server);
	event_base_free(rig->base);
	free(rig);
}

static void
rig_done(void *arg, const struct advisor_permit *permits, size_t npermits,
    uint32_t validity_ms)
{
	struct rig *rig = arg;
	size_t i;

	rig->n = npermits;
	rig->validity_ms = validity_ms;
	for (i = 0; i < npermits && i < PERMITS_MAX; i++)
		strlcpy(rig->servers[i], permits[i].server, NAME_SIZE);
	(void)event_base_loopbreak(rig->base);
}

static void
rig_request(struct rig *rig, const char *reply)
{
	const char *const servers[] = { "s1", "s2" };

	rig->reply = reply;
	rig->n = 99;
	rig->advisor->ops->request_permits(rig->advisor, "1.0.0", servers, 2,
	    rig_done, rig);
	(void)event_base_dispatch(rig->base);
}

Test(platform_advisor, permits_are_decoded)
{
	struct rig *rig = rig_create();

	rig_request(rig,
	    "{\"allowed\":[[\"s1\",\"t1\"],[\"s2\",\"t2\"]],\"validity_ms\":"
	    "500}");
	cr_expect_eq(rig->n, 2);
	cr_expect_str_eq(rig->servers[1], "s2");
	cr_expect_eq(rig->validity_ms, 500);
	rig_destroy(rig);
}

/* A ticket that does not fit would be cut, maybe within a character, and the
 * start order could then not be encoded. */
Test(platform_advisor, malformed_permits_are_skipped)
{
	struct rig *rig = rig_create();

	rig_request(rig,
	    "{\"allowed\":[[],{},7,null,[\"s1\"],[\"s1\",7],[7,\"t\"],"
	    "[\"s1\",\"" /* 33 characters of two bytes each */
	    "\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4"
	    "\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4"
	    "\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4\u00e4"
	    "\"],[\"s2\",\"t2\"]],\"validity_ms\":-1}");
	cr_expect_eq(rig->n, 1);
	cr_expect_str_eq(rig->servers[0], "s2");
	cr_expect_eq(rig->validity_ms, 0);
	rig_request(rig, "[1,2");
	cr_expect_eq(rig->n, 0);
	rig_destroy(rig);
}
