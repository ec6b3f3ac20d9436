/*
 * Choice of a cell's holder by three entry hosts of one availability zone, over
 * a simulated network in this process that can lose connections.
 */

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdio.h>

#include "adapters/clock_real.h"
#include "core/mem.h"
#include "entry/jobs/cells.h"
#include "tests/support/fake_worker.h"

#define NHOSTS 3
#define CALL_MS 2 /* round trip of a call between hosts */
/* Connected hosts agree on the holder within one second and one call. */
#define AGREE_MS 1100

struct net;

struct host {
	struct peers peers; /* first member: struct host is cast from it */
	struct net *net;
	size_t index;
	char name[NAME_SIZE];
	struct scheduler *sched;
	struct cells *cells;
	uint64_t incarnation;
	bool token_requested;
	uint32_t takeovers;
};

struct net {
	struct event_base *base;
	struct wm_cluster cluster;
	struct worker *worker;
	struct host hosts[NHOSTS];
	bool connected[NHOSTS][NHOSTS];
	uint64_t token; /* last reserved one */
};

/* A call in flight. */
struct call {
	struct host *from, *to;
	struct api_request request;
	char path[64];
	char query[128];
	void (*done)(void *arg, const struct api_reply *reply,
	    const struct err *err);
	void *arg;
	struct event *timer;
};

static void
call_reply(void *arg, const struct api_reply *reply)
{
	struct call *call = arg;

	call->done(call->arg, reply, NULL);
}

static void
call_arrive(evutil_socket_t fd, short what, void *arg)
{
	struct call *call = arg;
	const struct err lost = { .message = "lost" };

	(void)fd;
	(void)what;
	if (call->from->net->connected[call->from->index][call->to->index])
		cells_handle(call->to->cells, &call->request, call_reply, call);
	else
		call->done(call->arg, NULL, &lost);
	event_free(call->timer);
	free(call);
}

static void
host_forward(struct peers *peers, const char *az, const char *issuer,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg)
{
	const struct timeval tv = { .tv_usec = CALL_MS * 1000 };
	struct host *host = (struct host *)peers;
	struct call *call = mem_zalloc(1, sizeof(*call));

	(void)az;
	(void)incarnation;
	call->from = host;
	call->to = &host->net->hosts[issuer[1] - '0'];
	call->request = *request;
	strlcpy(call->path, request->path, sizeof(call->path));
	strlcpy(call->query, request->query, sizeof(call->query));
	call->request.path = call->path;
	call->request.query = call->query;
	call->done = done;
	call->arg = arg;
	call->timer = evtimer_new(host->net->base, call_arrive, call);
	(void)event_add(call->timer, &tv);
}

static bool
host_connected(struct peers *peers, const char *name, uint64_t *incarnation)
{
	struct host *host = (struct host *)peers;
	const struct host *other = &host->net->hosts[name[1] - '0'];

	*incarnation = other->incarnation;
	return host->net->connected[host->index][other->index];
}

static void
host_request_connection(struct peers *peers, const char *name)
{
	(void)peers;
	(void)name;
}

static void
host_reserve_token(void *arg)
{
	struct host *host = arg;

	host->token_requested = true;
}

static void
host_became_holder(void *arg)
{
	((struct host *)arg)->takeovers++;
}

static void
host_holder_changed(void *arg, const char *holder)
{
	(void)arg;
	(void)holder;
}

static void
host_fenced(void *arg)
{
	cells_fenced(((struct host *)arg)->cells);
}

static const struct peers_ops host_ops = { .forward = host_forward };

static void
host_create(struct net *net, size_t index)
{
	struct host *host = &net->hosts[index];
	struct sched_params scheduler = { .base = net->base,
		.clock = clock_real(),
		.worker = net->worker,
		.lease_ms = 1000,
		.far_permille = 1000,
		.fenced = host_fenced,
		.arg = host };
	struct cells_params params = { .base = net->base,
		.clock = clock_real(),
		.peers = &host->peers,
		.is_connected = host_connected,
		.request_connection = host_request_connection,
		.reserve_token = host_reserve_token,
		.became_holder = host_became_holder,
		.holder_changed = host_holder_changed,
		.arg = host,
		.self = { .az = "a", .weight = (uint32_t)(1000 - index) } };

	host->peers.ops = &host_ops;
	host->net = net;
	host->index = index;
	host->incarnation++;
	(void)snprintf(host->name, sizeof(host->name), "h%zu", index);
	strlcpy(params.self.name, host->name, sizeof(params.self.name));
	host->sched = sched_create(&scheduler);
	params.sched = host->sched;
	host->cells = cells_create(&params);
}

static void
host_load_list(struct host *host)
{
	struct reg_host info = { .az = "a" };
	size_t i;

	for (i = 0; i < NHOSTS; i++) {
		(void)snprintf(info.name, sizeof(info.name), "h%zu", i);
		info.weight = (uint32_t)(1000 - i);
		cells_host_update(host->cells, &info);
	}
	cells_hosts_loaded(host->cells);
}

static void
host_destroy(struct host *host)
{
	cells_destroy(host->cells);
	sched_destroy(host->sched);
}

static void
net_set_connected(struct net *net, size_t a, size_t b, bool connected)
{
	net->connected[a][b] = connected;
	net->connected[b][a] = connected;
}

/* Runs the event loop for @ms; requested tokens are reserved within 10 ms. */
static void
net_run(struct net *net, int ms)
{
	const struct timeval tv = { .tv_usec = 10000 };
	size_t i;

	for (; ms > 0; ms -= 10) {
		(void)event_base_loopexit(net->base, &tv);
		(void)event_base_dispatch(net->base);
		for (i = 0; i < NHOSTS; i++) {
			if (!net->hosts[i].token_requested)
				continue;
			net->hosts[i].token_requested = false;
			cells_token_reserved(net->hosts[i].cells, ++net->token);
		}
	}
}

static struct net *
net_create(void)
{
	struct net *net = mem_zalloc(1, sizeof(*net));
	size_t i, j;

	net->base = event_base_new();
	wm_init(&net->cluster, 1, 64000);
	net->worker =
	    fake_worker_create(net->base, clock_real(), &net->cluster, 1);
	for (i = 0; i < NHOSTS; i++)
		host_create(net, i);
	for (i = 0; i < NHOSTS; i++) {
		host_load_list(&net->hosts[i]);
		for (j = 0; j < NHOSTS; j++)
			net->connected[i][j] = i != j;
	}
	return net;
}

static void
net_destroy(struct net *net)
{
	size_t i;

	net_run(net, 20);
	for (i = 0; i < NHOSTS; i++)
		host_destroy(&net->hosts[i]);
	fake_worker_destroy(net->worker);
	wm_release(&net->cluster);
	event_base_free(net->base);
	free(net);
}

/* Expects that all hosts report @holder as the holder, and that only its
 * scheduler is active. */
static void
net_expect_holder(struct net *net, size_t holder, const char *when)
{
	const char *name;
	size_t i;

	for (i = 0; i < NHOSTS; i++) {
		name = cells_holder(net->hosts[i].cells);
		cr_expect(name != NULL &&
			strcmp(name, net->hosts[holder].name) == 0,
		    "%s: h%zu reports the holder %s", when, i,
		    name == NULL ? "-" : name);
		cr_expect_eq(sched_token(net->hosts[i].sched) != 0, i == holder,
		    "%s: token of h%zu", when, i);
	}
}

/* Restarts the holder h0 while it is disconnected; h1 takes over before h0 is
 * connected again. */
static void
net_fail_over(struct net *net)
{
	net_set_connected(net, 0, 1, false);
	net_set_connected(net, 0, 2, false);
	host_destroy(&net->hosts[0]);
	host_create(net, 0);
	net_run(net, 200);
	cr_expect_neq(sched_token(net->hosts[1].sched), 0);
	host_load_list(&net->hosts[0]);
	net_set_connected(net, 0, 1, true);
	net_set_connected(net, 0, 2, true);
	net_run(net, AGREE_MS);
}

Test(cells, host_with_the_highest_weight_becomes_holder)
{
	struct net *net = net_create();

	net_run(net, 600);
	net_expect_holder(net, 0, "after the start");
	cr_expect_eq(net->hosts[1].takeovers + net->hosts[2].takeovers, 0);
	net_destroy(net);
}

Test(cells, former_holder_does_not_take_over_after_a_restart)
{
	struct net *net = net_create();

	net_run(net, 600);
	net_fail_over(net);
	net_expect_holder(net, 1, "after the restart");
	net_destroy(net);
}

/*
 * Guards against a host that pings only the host with the highest weight after
 * a lost connection, and so never finds the holder again (soak seeds 3 and 30).
 */
Test(cells, host_finds_the_holder_after_reconnecting)
{
	struct net *net = net_create();

	net_run(net, 600);
	net_fail_over(net);
	net_set_connected(net, 2, 1, false);
	net_run(net, 100);
	net_set_connected(net, 2, 1, true);
	net_run(net, AGREE_MS);
	net_expect_holder(net, 1, "after a lost connection");
	net_destroy(net);
}

/* During a partition there are two holders; the lower token steps down. */
Test(cells, holder_with_the_lower_token_steps_down_after_a_partition)
{
	struct net *net = net_create();

	net_run(net, 600);
	net_set_connected(net, 0, 1, false);
	net_set_connected(net, 0, 2, false);
	net_run(net, 300);
	cr_expect_neq(sched_token(net->hosts[0].sched), 0);
	cr_expect_neq(sched_token(net->hosts[1].sched), 0);
	net_set_connected(net, 0, 1, true);
	net_set_connected(net, 0, 2, true);
	net_run(net, AGREE_MS);
	net_expect_holder(net, 1, "after the partition");
	net_destroy(net);
}

/* A process that was paused and has lost its connections must request the
 * others' state before it may take over. */
Test(cells, host_does_not_take_over_right_after_a_pause)
{
	struct net *net = net_create();
	const struct timespec pause = { .tv_sec = 0, .tv_nsec = 700000000 };
	size_t i;

	net_run(net, 600);
	for (i = 0; i < NHOSTS - 1; i++)
		net_set_connected(net, NHOSTS - 1, i, false);
	(void)nanosleep(&pause, NULL);
	net_run(net, 60);
	for (i = 0; i < NHOSTS - 1; i++)
		net_set_connected(net, NHOSTS - 1, i, true);
	net_run(net, AGREE_MS);
	cr_expect_eq(net->hosts[NHOSTS - 1].takeovers, 0);
	net_expect_holder(net, 0, "after the pause");
	net_destroy(net);
}
