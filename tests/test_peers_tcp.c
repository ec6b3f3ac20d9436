#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <event2/event.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "adapters/peers_tcp.h"
#include "core/counters.h"
#include "core/frame.h"
#include "entry/api.h"
#include "entry/config_sync.h"
#include "entry/engine.h"
#include "ports/clock.h"
#include "proto/peer.pb-c.h"

/*
 * Tests of the peers adapter with two or three hosts, or with a host and a peer
 * that violates the protocol, over loopback connections. The API, the engine
 * and the configuration are replaced by fakes that record the adapter's calls.
 */

#define HEARTBEAT_MS 20
#define PAUSE_MS 600
#define SERVED_MAX 2048	  /* requests of a connection in progress */
#define FORWARDS_MAX 8192 /* pending requests of a host */
#define WITHHELD_MAX (SERVED_MAX + 1)
#define WAIT_TIMEOUT_MS 20000 /* a test fails instead of hanging */

/* Fake API: replies with the body of the request. */
struct api {
	struct api_request last_request;
	char path[64]; /* of the last request */
	size_t nhandled;
	size_t nabandoned;
	size_t nhosts;
	bool withhold_reply;
	api_reply_fn reply;
	void *arg;
	void *withheld[WITHHELD_MAX]; /* without a reply */
	size_t nwithheld;
};

/* Fake engine with one server, "s1" in zone "z1". */
struct engine {
	size_t nsharing_hosts;
	char leaving_server[NAME_SIZE];
	size_t leaving_calls;
	uint32_t needed_slots;	  /* to be requested from other hosts */
	uint32_t idle_slots;	  /* available to borrowers */
	uint32_t borrowed_slots;  /* total */
	uint32_t slots_to_return; /* to the lender */
	uint32_t returned_slots;  /* by the borrower, total */
	uint64_t lender;
	uint64_t borrower;
	size_t grant_calls;
	uint64_t granted_for_us;
};

/* Fake configuration; its snapshot is the text "v<version>". */
struct config_sync {
	struct config config;
	uint64_t notified_version;
};

/* An entry host: the adapter and its fakes. */
struct node {
	struct peers *peers;
	struct api api;
	struct engine engine;
	struct config_sync sync;
	uint64_t incarnation;
	uint16_t port;
};

static struct event_base *base;
static uint64_t skipped_us; /* by which the clock is ahead */

static uint64_t
real_now_us(struct clock *clock)
{
	struct timespec now;

	(void)clock;
	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000 +
	    skipped_us;
}

static const struct clock_ops real_ops = { .now_us = real_now_us,
	.wall_ms = real_now_us };
static struct clock real_clock = { .ops = &real_ops };

/* Fakes */

void
api_handle(struct api *api, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct api_reply echo = {
		.status = 200,
		.content_type = "text/plain",
		.outcome = "complete",
		.body = request->body,
		.body_len = request->body_len,
	};

	api->nhandled++;
	api->last_request = *request;
	strlcpy(api->path, request->path, sizeof(api->path));
	api->reply = reply;
	api->arg = arg;
	if (!api->withhold_reply)
		reply(arg, &echo);
	else
		api->withheld[api->nwithheld++] = arg;
}

void
api_abandon(struct api *api, void *arg)
{
	size_t i = 0;

	while (i < api->nwithheld && api->withheld[i] != arg)
		i++;
	cr_assert_lt(i, api->nwithheld);
	api->withheld[i] = api->withheld[--api->nwithheld];
	api->nabandoned++;
}

void
api_set_nhosts(struct api *api, size_t nhosts)
{
	api->nhosts = nhosts;
}

size_t
engine_waiting_tasks(const struct engine *engine)
{
	return engine->needed_slots;
}

size_t
engine_active_tasks(const struct engine *engine)
{
	(void)engine;
	return 0;
}

void
engine_set_az_hosts(struct engine *engine,
    const struct engine_az_hosts *az_hosts)
{
	engine->nsharing_hosts = az_hosts->nhosts;
}

void
engine_set_server_leaving(struct engine *engine, const char *server,
    const char *source, bool leaving)
{
	cr_assert_str_eq(source, "peer");
	strlcpy(engine->leaving_server, leaving ? server : "", NAME_SIZE);
	engine->leaving_calls++;
}

size_t
engine_loan_requests(struct engine *engine, struct engine_loan *requests,
    size_t size)
{
	cr_assert_gt(size, 0);
	requests[0].server = "s1";
	requests[0].az = "z1";
	requests[0].slots = engine->needed_slots;
	return engine->needed_slots > 0;
}

uint32_t
engine_loan_grant(struct engine *engine, const char *server, uint64_t borrower,
    uint32_t slots, uint64_t for_us)
{
	uint32_t n = slots < engine->idle_slots ? slots : engine->idle_slots;

	cr_assert_str_eq(server, "s1");
	engine->grant_calls++;
	engine->borrower = borrower;
	engine->granted_for_us = for_us;
	engine->idle_slots -= n;
	return n;
}

bool
engine_loan_accept(struct engine *engine, const struct engine_loan *accepted,
    uint64_t for_us)
{
	cr_assert_str_eq(accepted->server, "s1");
	cr_assert_gt(for_us, 0);
	if (engine->needed_slots == 0)
		return false;
	engine->borrowed_slots += accepted->slots;
	engine->needed_slots -= accepted->slots;
	engine->lender = accepted->lender;
	return true;
}

size_t
engine_loan_collect_returns(struct engine *engine, struct engine_loan *returns,
    size_t size)
{
	cr_assert_gt(size, 0);
	returns[0] = (struct engine_loan){ .server = "s1",
		.az = "z1",
		.slots = engine->slots_to_return,
		.lender = engine->lender };
	engine->slots_to_return = 0;
	return returns[0].slots > 0;
}

void
engine_loan_returned(struct engine *engine, const char *server,
    uint64_t borrower, uint32_t slots)
{
	cr_assert_str_eq(server, "s1");
	cr_assert_eq(borrower, engine->borrower);
	engine->returned_slots += slots;
}

const struct config *
config_sync_current(const struct config_sync *sync)
{
	return &sync->config;
}

void
config_sync_notify_version(struct config_sync *sync, uint64_t version)
{
	sync->notified_version = version;
}

char *
config_sync_export(const struct config_sync *sync, size_t *len)
{
	char text[32];

	*len = (size_t)snprintf(text, sizeof(text), "v%u",
	    (unsigned)sync->config.version);
	return strdup(text);
}

int
config_sync_import(struct config_sync *sync, const char *text, size_t len,
    struct err *err)
{
	char version[32] = "";

	if (len < 2 || len > sizeof(version) || text[0] != 'v')
		return err_set(err, ERR_STEP_CONFIG, ERR_INVALID, NULL, "bad");
	/* The snapshot is not terminated by a NUL. */
	memcpy(version, text + 1, len - 1);
	sync->config.version = strtoul(version, NULL, 10);
	return 0;
}

/* Helpers */

static void
node_start(struct node *node, const char *host, const char *az,
    uint64_t incarnation, uint16_t port, uint16_t seed_port)
{
	const struct endpoint seeds = { .address = "127.0.0.1",
		.port = seed_port };
	const struct peers_tcp_params params = {
		.base = base,
		.clock = &real_clock,
		.api = &node->api,
		.config_sync = &node->sync,
		.engine = &node->engine,
		.host = host,
		.az = az,
		.incarnation = incarnation,
		.listen = { .address = "127.0.0.1", .port = port },
		.seeds = &seeds,
		.nseeds = seed_port != 0,
		.heartbeat_ms = HEARTBEAT_MS,
	};
	struct err err = { .code = ERR_OK };

	node->incarnation = incarnation;
	node->peers = peers_tcp_create(&params, &err);
	cr_assert_not_null(node->peers, "%s", err.message);
	node->port = peers_tcp_port(node->peers);
}

#define WAIT_FOR(condition)                                               \
	do {                                                              \
		uint64_t deadline_us_ =                                   \
		    real_now_us(NULL) + (uint64_t)WAIT_TIMEOUT_MS * 1000; \
		bool is_met_;                                             \
		while (!(is_met_ = (condition)) &&                        \
		    real_now_us(NULL) < deadline_us_)                     \
			event_base_loop(base, EVLOOP_ONCE);               \
		cr_assert(is_met_, "timed out: %s", #condition);          \
	} while (0)

/* Result of a forward. */
struct result {
	size_t n; /* calls of the callback */
	int status;
	enum err_code code;
	char body[32];
};

static void
on_done(void *arg, const struct api_reply *reply, const struct err *err)
{
	struct result *result = arg;

	result->n++;
	if (reply != NULL) {
		result->status = reply->status;
		memcpy(result->body, reply->body, reply->body_len);
	} else {
		result->code = err->code;
		cr_assert_eq(err->step, ERR_STEP_FORWARD);
	}
}

static void
send_forward_method(struct node *node, const char *host, uint64_t incarnation,
    enum api_method method, struct result *result)
{
	const struct api_request request = {
		.method = method,
		.path = "/v1/jobs",
		.query = "wait=1",
		.client = "c",
		.body = "hello",
		.body_len = 5,
	};

	memset(result, 0, sizeof(*result));
	node->peers->ops->forward(node->peers, "z1", host, incarnation,
	    &request, on_done, result);
}

static void
send_forward(struct node *node, const char *host, uint64_t incarnation,
    struct result *result)
{
	send_forward_method(node, host, incarnation, API_POST, result);
}

struct counter_search {
	const char *prefix;
	uint64_t value;
};

static void
find_counter(void *arg, const char *text, size_t len)
{
	struct counter_search *search = arg;
	size_t n = strlen(search->prefix);

	if (len > n && strncmp(text, search->prefix, n) == 0)
		search->value = strtoull(text + n, NULL, 10);
}

static uint64_t
counter_value(const char *prefix)
{
	struct counter_search search = { .prefix = prefix };

	ctr_render(find_counter, &search);
	return search.value;
}

/* A peer without the adapter: a plain socket. */
static int
raw_connect(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)),
	    0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void
raw_send(int fd, Berylrail__Frame__KindCase kind, void *message)
{
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	uint8_t buf[512];
	size_t len;

	frame.kind_case = kind;
	frame.hello = message; /* all members of the union are pointers */
	len = berylrail__frame__pack(&frame, buf + FRAME_HEADER_BYTES);
	frm_header(buf, len);
	cr_assert_eq(write(fd, buf, len + FRAME_HEADER_BYTES),
	    (ssize_t)(len + FRAME_HEADER_BYTES));
}

static void
raw_hello_from(int fd, const char *host, uint64_t incarnation, uint16_t port)
{
	Berylrail__Hello hello = BERYLRAIL__HELLO__INIT;
	char name[NAME_SIZE], address[] = "127.0.0.1", az[] = "z1";

	strlcpy(name, host, sizeof(name));
	hello.host = name;
	hello.az = az;
	hello.incarnation = incarnation;
	hello.peer_address = address;
	hello.peer_port = port;
	raw_send(fd, BERYLRAIL__FRAME__KIND_HELLO, &hello);
}

static void
raw_hello(int fd, const char *host, uint64_t incarnation)
{
	raw_hello_from(fd, host, incarnation, 1);
}

/* Sends a request for that incarnation. */
static void
raw_request_method(int fd, uint64_t incarnation, enum api_method method)
{
	Berylrail__ForwardRequest request = BERYLRAIL__FORWARD_REQUEST__INIT;
	char path[] = "/v1/jobs", query[] = "";

	request.correlation = 1;
	request.incarnation = incarnation;
	request.method = method;
	request.path = path;
	request.query = query;
	raw_send(fd, BERYLRAIL__FRAME__KIND_FORWARD_REQUEST, &request);
}

static void
raw_request(int fd, uint64_t incarnation)
{
	raw_request_method(fd, incarnation, API_POST);
}

/* When the host was known to wait for the request that @node received last. */
static uint64_t
request_alive_us(const struct node *node, const char *host)
{
	return peers_tcp_alive_us(node->peers, host,
	    node->api.last_request.connection);
}

static bool
raw_is_closed(int fd)
{
	char buf[4096];
	ssize_t n;

	while ((n = read(fd, buf, sizeof(buf))) > 0)
		;
	return n == 0 || (errno != EAGAIN && errno != EINTR);
}

/* Reads frames until a forward is received. Returns its correlation, or 0 if no
 * forward is available. */
static uint64_t
raw_read_forward(int fd, struct frame_parser *parser)
{
	Berylrail__Frame *frame;
	uint64_t correlation = 0;
	struct err err;
	uint8_t byte;
	size_t used;

	while (correlation == 0 && read(fd, &byte, 1) == 1) {
		if (frm_feed(parser, &byte, 1, &used, &err) != 1)
			continue;
		frame = berylrail__frame__unpack(NULL, parser->payload_len,
		    parser->payload);
		cr_assert_not_null(frame);
		if (frame->kind_case == BERYLRAIL__FRAME__KIND_FORWARD_REQUEST)
			correlation = frame->forward_request->correlation;
		berylrail__frame__free_unpacked(frame, NULL);
	}
	return correlation;
}

/* Return: whether a frame of that kind was read until there was none. */
static bool
raw_read_kind(int fd, struct frame_parser *parser,
    Berylrail__Frame__KindCase kind)
{
	Berylrail__Frame *frame;
	bool found = false;
	struct err err;
	uint8_t byte;
	size_t used;

	while (!found && read(fd, &byte, 1) == 1) {
		if (frm_feed(parser, &byte, 1, &used, &err) != 1)
			continue;
		frame = berylrail__frame__unpack(NULL, parser->payload_len,
		    parser->payload);
		cr_assert_not_null(frame);
		found = frame->kind_case == kind;
		berylrail__frame__free_unpacked(frame, NULL);
	}
	return found;
}

static void
setup(void)
{
	base = event_base_new();
}

static void
teardown(void)
{
	event_base_free(base);
}

TestSuite(peers_tcp, .init = setup, .fini = teardown, .timeout = 60);

Test(peers_tcp, hosts_connect_and_share_servers)
{
	struct node a = { 0 }, b = { 0 };

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(a.engine.nsharing_hosts == 2 && b.engine.nsharing_hosts == 2);
	cr_assert_eq(a.api.nhosts, 2);
	peers_tcp_destroy(b.peers);
	WAIT_FOR(a.engine.nsharing_hosts == 1);
	peers_tcp_destroy(a.peers);
}

Test(peers_tcp, listed_hosts_are_connected)
{
	struct node a = { 0 }, b = { 0 };
	struct hostlist_entry list[2] = {
		{ .role = HOSTLIST_ENTRY, .name = "a", .az = "z1" },
		{ .role = HOSTLIST_ENTRY,
		    .name = "b",
		    .az = "z2",
		    .address = "127.0.0.1" },
	};

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z2", 22, 0, 0);
	list[1].port = b.port;
	peers_tcp_update_hosts(a.peers, list, 2);
	WAIT_FOR(a.api.nhosts == 2 && b.api.nhosts == 2);
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
}

Test(peers_tcp, forward_receives_complete_reply)
{
	struct node a = { 0 }, b = { 0 };
	struct result result;

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	send_forward(&a, "b", 22, &result);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.status, 200);
	cr_assert_str_eq(result.body, "hello");
	cr_assert(b.api.last_request.forwarded);
	cr_assert_str_eq(b.api.path, "/v1/jobs");
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
}

Test(peers_tcp, forward_is_not_sent_to_other_incarnation)
{
	struct node a = { 0 }, b = { 0 };
	struct result result;

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	send_forward(&a, "b", 21, &result);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.code, ERR_NOT_FOUND);
	cr_assert_eq(b.api.nhandled, 0);
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
}

Test(peers_tcp, restart_at_same_address_replaces_old_incarnation)
{
	struct node a = { 0 }, b = { 0 }, successor = { 0 };
	struct result result;
	uint64_t ended_before;
	uint16_t port;

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	port = b.port;
	peers_tcp_destroy(b.peers);
	ended_before = counter_value("berylrail_peer_connections_ended_total ");
	node_start(&successor, "b", "z1", 33, port, 0);
	WAIT_FOR(counter_value("berylrail_peer_connections_ended_total ") >
	    ended_before);
	send_forward(&a, "b", 22, &result);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.code, ERR_NOT_FOUND);
	send_forward(&a, "b", 33, &result);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.status, 200);
	cr_assert_eq(successor.api.nhandled, 1);
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(successor.peers);
}

static void
raw_heartbeat_every(int fd, uint32_t interval_ms)
{
	Berylrail__Heartbeat heartbeat = BERYLRAIL__HEARTBEAT__INIT;

	heartbeat.interval_ms = interval_ms;
	raw_send(fd, BERYLRAIL__FRAME__KIND_HEARTBEAT, &heartbeat);
}

static void
raw_heartbeat(int fd)
{
	raw_heartbeat_every(fd, HEARTBEAT_MS);
}

/*
 * The second incarnation connects while the first one is live. It cannot be
 * verified, because its address is never reachable, and must be accepted once
 * the first one is dead.
 */
Test(peers_tcp, unverified_incarnation_is_accepted_after_old_one_is_dead)
{
	struct node a = { 0 };
	int old, successor;

	node_start(&a, "a", "z1", 11, 0, 0);
	old = raw_connect(a.port);
	raw_hello(old, "b", 22);
	raw_heartbeat(old);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	successor = raw_connect(a.port);
	raw_hello(successor, "b", 33);
	close(old);
	WAIT_FOR(a.engine.nsharing_hosts == 1);
	raw_heartbeat(successor);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	peers_tcp_destroy(a.peers);
	close(successor);
}

Test(peers_tcp, forward_to_unknown_or_unreachable_host_fails)
{
	struct node a = { 0 }, b = { 0 };
	struct result result;

	node_start(&a, "a", "z1", 11, 0, 0);
	send_forward(&a, "nobody", 5, &result);
	cr_assert_eq(result.n, 0, "must be called back by the event loop");
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.code, ERR_UNAVAILABLE);
	send_forward(&a, "a", 5, &result);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.code, ERR_NOT_FOUND,
	    "previous incarnation of this host");
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	peers_tcp_destroy(b.peers);
	WAIT_FOR(a.engine.nsharing_hosts == 1);
	send_forward(&a, "b", 22, &result);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.code, ERR_UNAVAILABLE);
	peers_tcp_destroy(a.peers);
}

Test(peers_tcp, sent_forward_is_lost_when_connection_breaks)
{
	struct node a = { 0 }, b = { 0 };
	struct result result;

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	b.api.withhold_reply = true;
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	send_forward(&a, "b", 22, &result);
	WAIT_FOR(b.api.nhandled == 1);
	peers_tcp_destroy(b.peers);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.code, ERR_LOST);
	cr_assert_eq(b.api.nabandoned, 1);
	peers_tcp_destroy(a.peers);
}

/* They are what reduces the load. */
Test(peers_tcp, cancellations_are_served_by_an_overloaded_host)
{
	struct node a = { 0 };
	size_t i;
	int fd;

	node_start(&a, "a", "z1", 11, 0, 0);
	a.api.withhold_reply = true;
	fd = raw_connect(a.port);
	raw_hello(fd, "b", 22);
	for (i = 1; i <= SERVED_MAX; i++) {
		raw_request(fd, 11);
		if (i % 64 == 0)
			WAIT_FOR(a.api.nhandled == i);
	}
	raw_request(fd, 11);
	WAIT_FOR(counter_value("berylrail_messages_total{hop=\"peer\","
			       "kind=\"forward_reply\"} ") == 1);
	cr_assert_eq(a.api.nhandled, SERVED_MAX);
	a.api.withhold_reply = false;
	raw_request_method(fd, 11, API_DELETE);
	WAIT_FOR(counter_value("berylrail_messages_total{hop=\"peer\","
			       "kind=\"forward_reply\"} ") == 2);
	cr_expect_eq(a.api.nhandled, SERVED_MAX + 1);
	close(fd);
	peers_tcp_destroy(a.peers);
	cr_expect_eq(a.api.nwithheld, 0);
}

Test(peers_tcp, cancellations_are_sent_by_an_overloaded_host)
{
	struct result pending, refused, cancellation;
	struct node a = { 0 };
	uint64_t now_us;
	size_t i;
	int fd;

	node_start(&a, "a", "z1", 11, 0, 0);
	fd = raw_connect(a.port);
	raw_hello(fd, "b", 22);
	raw_heartbeat_every(fd, WAIT_TIMEOUT_MS);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	for (i = 0; i < FORWARDS_MAX; i++)
		send_forward(&a, "b", 22, &pending);
	send_forward(&a, "b", 22, &refused);
	WAIT_FOR(refused.n == 1);
	cr_assert_eq(refused.code, ERR_UNAVAILABLE);
	send_forward_method(&a, "b", 22, API_DELETE, &cancellation);
	now_us = real_now_us(NULL);
	WAIT_FOR(real_now_us(NULL) > now_us + HEARTBEAT_MS * 2000);
	cr_expect_eq(cancellation.n, 0);
	cr_expect_eq(pending.n, 0);
	close(fd);
	peers_tcp_destroy(a.peers);
}

/* No reset is received from a host that loses power. */
Test(peers_tcp, sent_forward_is_lost_when_its_host_is_back_before_the_timeout)
{
	struct frame_parser parser;
	struct node a = { 0 }, successor = { 0 };
	struct result result;
	int old, verified;

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&successor, "b", "z1", 33, 0, 0);
	old = raw_connect(a.port);
	raw_hello_from(old, "b", 22, successor.port);
	raw_heartbeat_every(old, WAIT_TIMEOUT_MS);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	send_forward(&a, "b", 22, &result);
	frm_init(&parser, FRAME_BYTES_MAX);
	WAIT_FOR(raw_read_forward(old, &parser) != 0);
	frm_release(&parser);
	verified = raw_connect(a.port);
	raw_hello_from(verified, "b", 33, successor.port);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.code, ERR_LOST);
	cr_assert(raw_is_closed(old));
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(successor.peers);
	close(old);
	close(verified);
}

Test(peers_tcp, request_is_abandoned_when_sender_disconnects)
{
	struct node a = { 0 }, b = { 0 };
	struct result result;

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	b.api.withhold_reply = true;
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	send_forward(&a, "b", 22, &result);
	WAIT_FOR(b.api.nhandled == 1);
	peers_tcp_destroy(a.peers);
	WAIT_FOR(b.api.nabandoned == 1);
	peers_tcp_destroy(b.peers);
}

/* With many peers, heartbeats are sent every 3.2 s. */
Test(peers_tcp, host_that_waits_for_a_reply_is_known_to_be_alive)
{
	struct node a = { 0 }, b = { 0 };
	uint64_t alive_us, began_us;
	struct result result;
	int fds[40], i;
	char name[16];

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	b.api.withhold_reply = true;
	for (i = 0; i < 40; i++) {
		fds[i] = raw_connect(a.port);
		(void)snprintf(name, sizeof(name), "c%d", i);
		raw_hello(fds[i], name, 100 + (uint64_t)i);
		raw_heartbeat_every(fds[i], WAIT_TIMEOUT_MS);
	}
	WAIT_FOR(a.engine.nsharing_hosts == 42);
	send_forward(&a, "b", 22, &result);
	WAIT_FOR(b.api.nhandled == 1);
	began_us = real_now_us(NULL);
	for (i = 0; i < 4; i++) {
		alive_us = request_alive_us(&b, "a");
		WAIT_FOR(request_alive_us(&b, "a") > alive_us);
	}
	cr_expect_lt(real_now_us(NULL) - began_us, 3200 * 1000);
	cr_expect_eq(request_alive_us(&b, "z"), 0);
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
	for (i = 0; i < 40; i++)
		close(fds[i]);
}

Test(peers_tcp, malformed_data_closes_only_its_connection)
{
	static const char *const garbage[] = {
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"\0\0\0\4\377\377\377\377", /* not protobuf */
		"\0\0\0\0xxxxxxxx",	    /* empty frame */
	};
	struct node a = { 0 }, b = { 0 };
	struct result result;
	uint64_t before;
	size_t i;
	int fd;

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	for (i = 0; i < 3; i++) {
		before = counter_value("berylrail_peer_bad_frames_total ");
		fd = raw_connect(a.port);
		cr_assert_eq(write(fd, garbage[i], 8), 8);
		WAIT_FOR(raw_is_closed(fd));
		cr_assert_eq(counter_value("berylrail_peer_bad_frames_total "),
		    before + 1, "case %zu", i);
		close(fd);
	}
	send_forward(&a, "b", 22, &result);
	WAIT_FOR(result.n == 1);
	cr_assert_eq(result.status, 200);
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
}

Test(peers_tcp, invalid_frames_and_hellos_close_connection)
{
	Berylrail__Heartbeat heartbeat = BERYLRAIL__HEARTBEAT__INIT;
	struct node a = { 0 };
	uint8_t header[FRAME_HEADER_BYTES];
	int fd;

	node_start(&a, "a", "z1", 11, 0, 0);
	fd = raw_connect(a.port);
	raw_send(fd, BERYLRAIL__FRAME__KIND_HEARTBEAT, &heartbeat);
	WAIT_FOR(raw_is_closed(fd));
	close(fd);

	fd = raw_connect(a.port);
	raw_hello(fd, "b", 22);
	frm_header(header, FRAME_BYTES_MAX + 1);
	cr_assert_eq(write(fd, header, sizeof(header)), 4);
	WAIT_FOR(raw_is_closed(fd));
	close(fd);

	fd = raw_connect(a.port);
	raw_hello(fd, "a", 22); /* name of the receiver */
	WAIT_FOR(raw_is_closed(fd));
	close(fd);
	peers_tcp_destroy(a.peers);
}

Test(peers_tcp, peer_that_stops_mid_frame_is_disconnected)
{
	struct node a = { 0 };
	int before_hello, after_hello;

	node_start(&a, "a", "z1", 11, 0, 0);
	before_hello = raw_connect(a.port);
	cr_assert_eq(write(before_hello, "\0\0", 2), 2);
	after_hello = raw_connect(a.port);
	raw_hello(after_hello, "b", 22);
	cr_assert_eq(write(after_hello, "\0\0\0\100abc", 7), 7);
	WAIT_FOR(raw_is_closed(before_hello));
	WAIT_FOR(raw_is_closed(after_hello));
	close(before_hello);
	close(after_hello);
	peers_tcp_destroy(a.peers);
}

/* The host may have been lost while the messages were not read. */
Test(peers_tcp, messages_that_a_pause_delays_are_as_old_as_the_pause)
{
	static const char *const received =
	    "berylrail_wasted_messages_total{hop=\"peer\","
	    "kind=\"unknown_reply\"} ";
	Berylrail__ForwardReply reply = BERYLRAIL__FORWARD_REPLY__INIT;
	struct node a = { 0 };
	uint8_t body[400] = { 0 };
	uint64_t sent_us;
	size_t i;
	int fd;

	node_start(&a, "a", "z1", 11, 0, 0);
	fd = raw_connect(a.port);
	raw_hello(fd, "b", 22);
	raw_request(fd, 11);
	WAIT_FOR(a.api.nhandled == 1);
	reply.correlation = 1;
	reply.body.data = body;
	reply.body.len = sizeof(body);
	for (i = 0; i < 50; i++)
		raw_send(fd, BERYLRAIL__FRAME__KIND_FORWARD_REPLY, &reply);
	sent_us = real_now_us(NULL);
	usleep(PAUSE_MS * 1000);
	WAIT_FOR(counter_value(received) == 50);
	cr_expect_leq(request_alive_us(&a, "b"), sent_us,
	    "%lld us after the pause began",
	    (long long)(request_alive_us(&a, "b") - sent_us));
	close(fd);
	peers_tcp_destroy(a.peers);
}

/* The host has another process now, or has lost the connection. */
static void
expect_no_sign_of_an_earlier_connection(uint64_t incarnation)
{
	struct node a = { 0 };
	uint64_t earlier, seen_us;
	int old, new;

	node_start(&a, "a", "z1", 11, 0, 0);
	old = raw_connect(a.port);
	raw_hello(old, "b", 22);
	raw_request(old, 11);
	WAIT_FOR(a.api.nhandled == 1);
	earlier = a.api.last_request.connection;
	seen_us = peers_tcp_alive_us(a.peers, "b", earlier);
	cr_expect_neq(seen_us, 0);
	WAIT_FOR(real_now_us(NULL) > seen_us + HEARTBEAT_MS * 2000);
	new = raw_connect(a.port);
	raw_hello(new, "b", incarnation);
	raw_request(new, 11);
	WAIT_FOR(a.api.nhandled == 2);
	cr_expect_gt(request_alive_us(&a, "b"), seen_us);
	cr_expect_eq(peers_tcp_alive_us(a.peers, "b", earlier), seen_us);
	close(old);
	close(new);
	peers_tcp_destroy(a.peers);
}

Test(peers_tcp, messages_of_an_incarnation_are_no_sign_of_an_earlier_one)
{
	expect_no_sign_of_an_earlier_connection(33);
}

Test(peers_tcp, messages_of_a_connection_are_no_sign_of_another_one)
{
	expect_no_sign_of_an_earlier_connection(22);
}

/* With many peers, other heartbeats are sent every 1.4 s. */
Test(peers_tcp, host_that_serves_a_forward_is_sent_frequent_heartbeats)
{
	struct frame_parser parser;
	struct node a = { 0 };
	struct result result;
	char name[NAME_SIZE], buf[4096];
	uint64_t start_us;
	size_t i, n = 0;
	int fds[20];

	frm_init(&parser, FRAME_BYTES_MAX);
	node_start(&a, "a", "z1", 11, 0, 0);
	for (i = 0; i < 20; i++) {
		(void)snprintf(name, sizeof(name), "b%zu", i);
		fds[i] = raw_connect(a.port);
		raw_hello_from(fds[i], name, 22 + i, (uint16_t)(1 + i));
	}
	WAIT_FOR(a.engine.nsharing_hosts == 21);
	send_forward(&a, "b0", 22, &result);
	WAIT_FOR(raw_read_forward(fds[0], &parser) != 0);
	start_us = real_now_us(NULL);
	WAIT_FOR((n += read(fds[0], buf, sizeof(buf)) > 0) >= 10);
	cr_expect_lt(real_now_us(NULL) - start_us, 100 * HEARTBEAT_MS * 1000);
	for (i = 0; i < 20; i++)
		close(fds[i]);
	peers_tcp_destroy(a.peers);
	frm_release(&parser);
}

Test(peers_tcp, late_duplicate_and_unknown_replies_are_dropped)
{
	static const char *const unknown_replies =
	    "berylrail_wasted_messages_total{hop=\"peer\","
	    "kind=\"unknown_reply\"} ";
	Berylrail__ForwardReply reply = BERYLRAIL__FORWARD_REPLY__INIT;
	struct frame_parser parser;
	struct node a = { 0 };
	struct result first, second;
	uint64_t correlation, next = 0;
	int fd;

	frm_init(&parser, FRAME_BYTES_MAX);
	node_start(&a, "a", "z1", 11, 0, 0);
	fd = raw_connect(a.port);
	raw_hello(fd, "b", 22);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	send_forward(&a, "b", 22, &first);
	WAIT_FOR((correlation = raw_read_forward(fd, &parser)) != 0);
	reply.status = 200;
	reply.body.data = (uint8_t *)"one";
	reply.body.len = 3;
	reply.correlation = correlation + 1000;
	raw_send(fd, BERYLRAIL__FRAME__KIND_FORWARD_REPLY, &reply);
	reply.correlation = correlation;
	raw_send(fd, BERYLRAIL__FRAME__KIND_FORWARD_REPLY, &reply);
	raw_send(fd, BERYLRAIL__FRAME__KIND_FORWARD_REPLY, &reply);
	WAIT_FOR(counter_value(unknown_replies) == 2);
	cr_assert_eq(first.n, 1);
	cr_assert_str_eq(first.body, "one");

	send_forward(&a, "b", 22, &second);
	WAIT_FOR((next = raw_read_forward(fd, &parser)) != 0);
	cr_assert_neq(next, correlation, "correlations are never reused");
	raw_send(fd, BERYLRAIL__FRAME__KIND_FORWARD_REPLY, &reply);
	WAIT_FOR(counter_value(unknown_replies) == 3);
	cr_assert_eq(second.n, 0);
	cr_assert_eq(first.n, 1);
	peers_tcp_destroy(a.peers);
	close(fd);
	frm_release(&parser);
}

Test(peers_tcp, reply_on_other_connection_is_dropped)
{
	Berylrail__ForwardReply reply = BERYLRAIL__FORWARD_REPLY__INIT;
	struct frame_parser parser;
	struct node a = { 0 };
	struct result result;
	int fd, other;

	frm_init(&parser, FRAME_BYTES_MAX);
	node_start(&a, "a", "z1", 11, 0, 0);
	fd = raw_connect(a.port);
	raw_hello(fd, "b", 22);
	other = raw_connect(a.port);
	raw_hello(other, "c", 33);
	WAIT_FOR(a.engine.nsharing_hosts == 3);
	send_forward(&a, "b", 22, &result);
	WAIT_FOR((reply.correlation = raw_read_forward(fd, &parser)) != 0);
	raw_send(other, BERYLRAIL__FRAME__KIND_FORWARD_REPLY, &reply);
	WAIT_FOR(counter_value("berylrail_wasted_messages_total{hop=\"peer\","
			       "kind=\"unknown_reply\"} ") == 1);
	cr_assert_eq(result.n, 0);
	peers_tcp_destroy(a.peers);
	close(fd);
	close(other);
	frm_release(&parser);
}

Test(peers_tcp, configuration_is_announced_and_fetched)
{
	struct node a = { 0 }, b = { 0 };

	a.sync.config.version = 7;
	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(b.sync.config.version == 7);
	a.sync.config.version = 8;
	a.peers->ops->notify_config(a.peers, 8);
	WAIT_FOR(b.sync.notified_version == 8);
	/* The fake does not read it from the platform, so it is fetched from
	 * the peer. */
	WAIT_FOR(b.sync.config.version == 8);
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
}

Test(peers_tcp, leaving_server_is_announced_and_withdrawn)
{
	struct node a = { 0 }, b = { 0 };

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	peers_tcp_set_server_leaving(a.peers, "s1", true);
	WAIT_FOR(strcmp(b.engine.leaving_server, "s1") == 0);
	peers_tcp_set_server_leaving(a.peers, "s1", true);
	peers_tcp_set_server_leaving(a.peers, "s1", false);
	WAIT_FOR(b.engine.leaving_server[0] == '\0');
	cr_assert_eq(b.engine.leaving_calls, 2);
	cr_assert_eq(a.engine.leaving_calls, 0,
	    "own reports are not sent back");
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
}

Test(peers_tcp, leaving_host_stops_sharing_servers)
{
	struct node a = { 0 }, b = { 0 };

	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	WAIT_FOR(a.engine.nsharing_hosts == 2);
	peers_tcp_announce_leaving(b.peers);
	WAIT_FOR(a.engine.nsharing_hosts == 1);
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
}

Test(peers_tcp, idle_slots_are_lent_within_az_only)
{
	struct node a = { 0 }, b = { 0 }, c = { 0 };

	a.engine.needed_slots = 5;
	b.engine.idle_slots = 3;
	c.engine.idle_slots = 3;
	node_start(&a, "a", "z1", 11, 0, 0);
	node_start(&b, "b", "z1", 22, 0, a.port);
	node_start(&c, "c", "z2", 33, 0, a.port);
	WAIT_FOR(a.engine.borrowed_slots == 3);
	/* The reply to the second request is empty: b has no idle slots. */
	WAIT_FOR(counter_value("berylrail_wasted_messages_total{hop=\"peer\","
			       "kind=\"slot_request\"} ") > 0);
	cr_assert_eq(a.engine.borrowed_slots, 3);
	cr_assert_eq(b.engine.idle_slots, 0);
	cr_assert_eq(c.engine.grant_calls, 0);
	cr_assert_eq(b.engine.returned_slots, 0);
	a.engine.slots_to_return = 2;
	WAIT_FOR(b.engine.returned_slots == 2);
	cr_assert_eq(b.engine.borrower, 11);
	cr_assert_eq(c.engine.returned_slots, 0);
	peers_tcp_destroy(a.peers);
	peers_tcp_destroy(b.peers);
	peers_tcp_destroy(c.peers);
}

Test(peers_tcp, unrequested_loan_is_ignored)
{
	Berylrail__ServerSlots slots = BERYLRAIL__SERVER_SLOTS__INIT;
	Berylrail__ServerSlots *list[1] = { &slots };
	Berylrail__SlotLoan loan = BERYLRAIL__SLOT_LOAN__INIT;
	Berylrail__ForwardReply reply = BERYLRAIL__FORWARD_REPLY__INIT;
	char server[] = "s1";
	struct node a = { 0 };
	int fd;

	node_start(&a, "a", "z1", 11, 0, 0);
	fd = raw_connect(a.port);
	raw_hello(fd, "b", 22);
	slots.server = server;
	slots.slots = 4;
	loan.servers = list;
	loan.n_servers = 1;
	loan.start_for_ms = 100;
	raw_send(fd, BERYLRAIL__FRAME__KIND_SLOT_LOAN, &loan);
	/* Frames are processed in order: when the counter of unknown replies
	 * has increased, the loan has been processed. */
	raw_send(fd, BERYLRAIL__FRAME__KIND_FORWARD_REPLY, &reply);
	WAIT_FOR(counter_value("berylrail_wasted_messages_total{hop=\"peer\","
			       "kind=\"unknown_reply\"} ") == 1);
	cr_assert_eq(a.engine.borrowed_slots, 0);
	peers_tcp_destroy(a.peers);
	close(fd);
}

/* The lender uses the slots again 30 s after it has lent them. */
Test(peers_tcp, loan_that_has_waited_is_returned)
{
	Berylrail__ServerSlots slots = BERYLRAIL__SERVER_SLOTS__INIT;
	Berylrail__ServerSlots *list[1] = { &slots };
	Berylrail__SlotLoan loan = BERYLRAIL__SLOT_LOAN__INIT;
	struct frame_parser parser;
	char server[] = "s1";
	struct node a = { 0 };
	int fd;

	node_start(&a, "a", "z1", 11, 0, 0);
	fd = raw_connect(a.port);
	raw_hello(fd, "b", 22);
	raw_heartbeat_every(fd, WAIT_TIMEOUT_MS);
	frm_init(&parser, FRAME_BYTES_MAX);
	a.engine.needed_slots = 5;
	WAIT_FOR(
	    raw_read_kind(fd, &parser, BERYLRAIL__FRAME__KIND_SLOT_REQUEST));
	skipped_us = 29 * UINT64_C(1000000);
	slots.server = server;
	slots.slots = 4;
	loan.servers = list;
	loan.n_servers = 1;
	loan.start_for_ms = 30;
	raw_send(fd, BERYLRAIL__FRAME__KIND_SLOT_LOAN, &loan);
	WAIT_FOR(a.engine.borrowed_slots > 0 ||
	    raw_read_kind(fd, &parser, BERYLRAIL__FRAME__KIND_SLOT_RETURN));
	cr_expect_eq(a.engine.borrowed_slots, 0);
	frm_release(&parser);
	peers_tcp_destroy(a.peers);
	close(fd);
}
