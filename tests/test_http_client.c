/*
 * Calls that time out: their connections are kept for the late response, and do
 * not keep later calls from being sent.
 */

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/http_client.h"

#define TIMEOUT_MS 50
#define LATE_MS 400
#define CALLS_MAX 16

struct rig {
	struct event_base *base;
	struct evhttp *server;
	struct hcl *hcl;
	uint32_t delay_ms; /* of each response */
	bool silent;	   /* no response is sent */
	unsigned nrequests;
	unsigned nresponse_times;
	uint64_t last_response_us;
	unsigned ndone, ntimed_out, nsucceeded, nrefused;
	uint64_t conn_id; /* of the last response */
};

/* A response that is sent later. */
struct pending {
	struct evhttp_request *request;
	struct event *timer;
};

static void
rig_send_response(evutil_socket_t fd, short what, void *arg)
{
	struct pending *pending = arg;

	(void)fd;
	(void)what;
	evhttp_send_reply(pending->request, HTTP_OK, "OK", NULL);
	event_free(pending->timer);
	free(pending);
}

static void
rig_serve(struct evhttp_request *request, void *arg)
{
	struct rig *rig = arg;
	struct timeval tv = { .tv_usec = (suseconds_t)rig->delay_ms * 1000 };
	struct pending *pending;

	rig->nrequests++;
	if (rig->silent)
		return;
	pending = calloc(1, sizeof(*pending));
	pending->request = request;
	pending->timer = evtimer_new(rig->base, rig_send_response, pending);
	(void)event_add(pending->timer, &tv);
}

static void
rig_response_time(void *arg, uint64_t elapsed_us)
{
	struct rig *rig = arg;

	rig->nresponse_times++;
	rig->last_response_us = elapsed_us;
}

static struct rig *
rig_create(uint32_t connections_max)
{
	struct rig *rig = calloc(1, sizeof(*rig));
	struct hcl_params params = {
		.endpoint = { .address = "127.0.0.1" },
		.timeout_ms = TIMEOUT_MS,
		.connections_max = connections_max,
		.waiting_max = CALLS_MAX,
		.response_bytes_max = 1024,
		.late_ms = LATE_MS,
		.response_time = rig_response_time,
		.arg = rig,
	};
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	rig->base = event_base_new();
	rig->server = evhttp_new(rig->base);
	evhttp_set_gencb(rig->server, rig_serve, rig);
	bound = evhttp_bind_socket_with_handle(rig->server, "127.0.0.1", 0);
	(void)getsockname(evhttp_bound_socket_get_fd(bound),
	    (struct sockaddr *)&sin, &len);
	params.endpoint.port = ntohs(sin.sin_port);
	params.base = rig->base;
	rig->hcl = hcl_create(&params);
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	hcl_destroy(rig->hcl);
	evhttp_free(rig->server);
	event_base_free(rig->base);
	free(rig);
}

static void
rig_run(struct rig *rig, uint32_t ms)
{
	const struct timeval tv = { .tv_usec = (suseconds_t)ms * 1000 };

	(void)event_base_loopexit(rig->base, &tv);
	(void)event_base_dispatch(rig->base);
}

static void
rig_done(void *arg, const struct hcl_reply *reply)
{
	struct rig *rig = arg;

	rig->ndone++;
	rig->ntimed_out += reply->timed_out;
	rig->nrefused += reply->refused;
	rig->nsucceeded += reply->status == 200;
	if (reply->status != 0)
		rig->conn_id = reply->conn_id;
}

static void
rig_call(struct rig *rig)
{
	const struct hcl_request request = { .method = EVHTTP_REQ_GET,
		.path = "/" };

	hcl_call(rig->hcl, &request, rig_done, rig);
}

Test(http_client, late_response_makes_the_connection_usable)
{
	struct rig *rig = rig_create(1);

	rig->delay_ms = 2 * TIMEOUT_MS;
	rig_call(rig);
	rig_run(rig, TIMEOUT_MS + 20);
	cr_expect_eq(rig->ntimed_out, 1);
	rig_run(rig, 2 * TIMEOUT_MS);
	/* The late response is no result of a call, but a response time. */
	cr_expect_eq(rig->ndone, 1);
	cr_expect_eq(rig->nresponse_times, 1);
	cr_expect_gt(rig->last_response_us, TIMEOUT_MS * 1000);
	rig->delay_ms = 0;
	rig_call(rig);
	rig_run(rig, 20);
	cr_expect_eq(rig->nsucceeded, 1);
	cr_expect_eq(rig->conn_id, 1, "a new connection was opened");
	rig_destroy(rig);
}

Test(http_client, connection_is_closed_after_the_time_for_late_responses)
{
	struct rig *rig = rig_create(1);

	rig->silent = true;
	rig_call(rig);
	rig_run(rig, TIMEOUT_MS + LATE_MS + 50);
	rig->silent = false;
	rig_call(rig);
	rig_run(rig, 30);
	cr_expect_eq(rig->nsucceeded, 1);
	cr_expect_eq(rig->conn_id, 2);
	rig_destroy(rig);
}

/* The answers of all calls are lost: each one still is sent at once, although
 * the connections of those before it are kept. */
Test(http_client, silent_connections_do_not_delay_further_calls)
{
	struct rig *rig = rig_create(2);
	unsigned i;

	rig->silent = true;
	for (i = 1; i <= 4; i++) {
		rig_call(rig);
		rig_run(rig, TIMEOUT_MS + 10);
		cr_expect_eq(rig->nrequests, i, "%u of %u calls were sent",
		    rig->nrequests, i);
	}
	rig->silent = false;
	rig_call(rig);
	rig_run(rig, 30);
	cr_expect_eq(rig->nsucceeded, 1);
	rig_destroy(rig);
}

/* No process listens at the address any more. */
Test(http_client, refused_connection_is_distinguished_from_silence)
{
	struct rig *rig = rig_create(1);

	rig->silent = true;
	rig_call(rig);
	rig_run(rig, TIMEOUT_MS + LATE_MS + 50);
	cr_expect_eq(rig->ndone, 1);
	cr_expect_eq(rig->nrefused, 0);
	evhttp_free(rig->server);
	rig->server = evhttp_new(rig->base);
	rig_call(rig);
	rig_run(rig, 30);
	cr_expect_eq(rig->ndone, 2);
	cr_expect_eq(rig->nrefused, 1);
	rig_destroy(rig);
}
