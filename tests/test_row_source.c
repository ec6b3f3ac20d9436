/*
 * Where the registry's rows come from: the pause between reads of the store,
 * and the requests to peers, for the holder of a cell, its likely successors
 * and other hosts.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "entry/jobs/row_source.h"
#include "tests/support/fake_clock.h"

#define MS 1000ULL /* in us */
#define TICK_MS 100

/* One host, with a store and peers that the test plays. */
struct rig {
	struct peers peers; /* first member: cast to struct rig */
	struct fake_clock clock;
	struct registry *reg;
	struct row_source *src;
	struct rows rows;
	struct rows_listener listener;
	uint32_t pause_ms; /* of the servers' rows */
	bool is_holder, is_candidate;
	const char *holder, *peer;
	/* The last request to a peer. */
	uint32_t nrequests;
	char requested[NAME_SIZE], query[128];
	void (*done)(void *arg, const struct api_reply *reply,
	    const struct err *err);
	void *done_arg;
	uint32_t nservers; /* reported by the registry */
	char text[4096];   /* of the last reply to a peer */
};

/* The rig whose store is called: one a process. */
static struct rig *store_rig;

static void
rig_set_poll_pause(struct rows *rows, enum rows_table table, uint32_t pause_ms)
{
	(void)rows;
	if (table == ROWS_SERVERS)
		store_rig->pause_ms = pause_ms;
}

static const struct rows_ops rig_rows_ops = { .set_poll_pause =
						  rig_set_poll_pause };

static void
rig_forward(struct peers *peers, const char *az, const char *host,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg)
{
	struct rig *rig = (struct rig *)peers;

	(void)az;
	cr_assert_eq(incarnation, 7);
	cr_assert_str_eq(request->path, ROWSRC_PEER_PATH);
	rig->nrequests++;
	strlcpy(rig->requested, host, sizeof(rig->requested));
	strlcpy(rig->query, request->query, sizeof(rig->query));
	rig->done = done;
	rig->done_arg = arg;
}

static const struct peers_ops rig_peers_ops = { .forward = rig_forward };

static int
decode_config(const char *value, size_t len, struct reg_config *config)
{
	(void)value;
	(void)len;
	(void)config;
	return -1;
}

static int
decode_server(const char *key, const char *value, size_t len,
    struct reg_server *server)
{
	(void)len;
	memset(server, 0, sizeof(*server));
	strlcpy(server->id, key, sizeof(server->id));
	server->cpu = atoi(value);
	return 0;
}

static int
decode_host(const char *key, const char *value, size_t len,
    struct reg_host *host)
{
	(void)value;
	(void)len;
	memset(host, 0, sizeof(*host));
	strlcpy(host->name, key, sizeof(host->name));
	return 0;
}

static void
on_server(void *arg, const struct reg_server *server)
{
	(void)server;
	((struct rig *)arg)->nservers++;
}

static void
on_removed(void *arg, const char *name)
{
	(void)arg;
	(void)name;
}

static void
on_host(void *arg, const struct reg_host *host)
{
	(void)arg;
	(void)host;
}

static bool
rig_is_holder(void *arg)
{
	return ((struct rig *)arg)->is_holder;
}

static bool
rig_is_candidate(void *arg)
{
	return ((struct rig *)arg)->is_candidate;
}

static const char *
rig_holder(void *arg, uint64_t *incarnation)
{
	*incarnation = 7;
	return ((struct rig *)arg)->holder;
}

static const char *
rig_peer(void *arg, uint64_t *incarnation)
{
	*incarnation = 7;
	return ((struct rig *)arg)->peer;
}

static void
rig_ignore(void *arg)
{
	(void)arg;
}

static struct rig *
rig_create(void)
{
	struct rig *rig = mem_zalloc(1, sizeof(*rig));
	const struct reg_decoder decoder = { decode_config, decode_server,
		decode_host };
	const struct reg_listener listener = { .server = on_server,
		.server_removed = on_removed,
		.host = on_host,
		.host_removed = on_removed,
		.arg = rig };
	struct rowsrc_params params = { .peers = &rig->peers,
		.cell = { .is_holder = rig_is_holder,
		    .is_candidate = rig_is_candidate,
		    .holder = rig_holder,
		    .peer = rig_peer,
		    .hosts_loaded = rig_ignore,
		    .servers_refreshed = rig_ignore },
		.arg = rig };

	store_rig = rig;
	fake_clock_init(&rig->clock, 1000 * MS);
	rig->peers.ops = &rig_peers_ops;
	rig->rows.ops = &rig_rows_ops;
	rig->reg = reg_create(&decoder, &listener);
	params.clock = &rig->clock.clock;
	params.reg = rig->reg;
	rig->src = rowsrc_create(&params);
	rowsrc_listener(rig->src, &rig->listener);
	rowsrc_set_rows(rig->src, &rig->rows);
	rig->listener.connected(rig->listener.arg, true);
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	rowsrc_destroy(rig->src);
	reg_destroy(rig->reg);
	free(rig);
}

static void
rig_run(struct rig *rig, uint32_t ms)
{
	for (; ms > 0; ms -= TICK_MS) {
		rig->clock.us += TICK_MS * MS;
		rowsrc_tick(rig->src, rig->clock.us);
	}
}

/* The store reports the row of a server, in a full read. */
static void
rig_read_server(struct rig *rig, const char *value, uint64_t version)
{
	const struct rows_change change = { .table = ROWS_SERVERS,
		.key = "s1",
		.value = value,
		.value_len = strlen(value),
		.version = version };

	rig->listener.read_begin(rig->listener.arg, ROWS_SERVERS);
	rig->listener.changed(rig->listener.arg, &change);
	rig->listener.read_end(rig->listener.arg, ROWS_SERVERS, version);
}

/* The peer replies to the last request. */
static void
rig_reply(struct rig *rig, const char *text)
{
	const struct api_reply reply = { .status = 200,
		.body = text,
		.body_len = strlen(text) };

	rig->done(rig->done_arg, &reply, NULL);
}

static void
rig_on_reply(void *arg, const struct api_reply *reply)
{
	struct rig *rig = arg;

	cr_assert_lt(reply->body_len, sizeof(rig->text));
	memcpy(rig->text, reply->body, reply->body_len);
	rig->text[reply->body_len] = '\0';
}

static void
rig_request(struct rig *rig, const char *query)
{
	const struct api_request request = { .method = API_GET,
		.path = ROWSRC_PEER_PATH,
		.query = query };

	rowsrc_handle(rig->src, &request, rig_on_reply, rig);
}

Test(row_source, only_the_holder_and_its_successors_read_servers)
{
	struct rig *rig = rig_create();

	rig_run(rig, 200);
	cr_expect_eq(rig->pause_ms, ROWS_POLL_NEVER);
	rig->is_candidate = true;
	rig_run(rig, 200);
	cr_expect_eq(rig->pause_ms, 1500);
	rig->is_holder = true;
	rig_run(rig, 200);
	cr_expect_eq(rig->pause_ms, 500);
	cr_expect_eq(rig->nrequests, 0);
	rig_destroy(rig);
}

Test(row_source, successor_reads_changes_from_the_holder)
{
	struct rig *rig = rig_create();

	rig->is_candidate = true;
	rig->holder = "h1";
	rig_read_server(rig, "64", 10);
	rig_run(rig, 100);
	cr_assert_eq(rig->nrequests, 1);
	cr_expect_str_eq(rig->requested, "h1");
	cr_expect_not_null(strstr(rig->query, "servers=10&"));
	rig_reply(rig,
	    "[{\"table\":1,\"since\":10,\"version\":20},"
	    "{\"table\":1,\"key\":\"s1\",\"version\":20,"
	    "\"value\":\"32\"}]");
	cr_expect_eq(rig->nservers, 2);
	rig_run(rig, 100);
	cr_expect_eq(rig->pause_ms, ROWS_POLL_NEVER);
	rig_run(rig, 500);
	cr_expect_eq(rig->nrequests, 2);
	cr_expect_not_null(strstr(rig->query, "servers=20&"));
	rig_reply(rig, "[{\"table\":1}]");
	rig_destroy(rig);
}

/* The holder has no current rows, as it can't reach the store. */
Test(row_source, successor_reads_the_store_when_the_holder_is_not_current)
{
	struct rig *rig = rig_create();

	rig->is_candidate = true;
	rig->holder = "h1";
	rig_run(rig, 100);
	rig_reply(rig, "[{\"table\":1}]");
	rig_run(rig, 500);
	cr_expect_eq(rig->pause_ms, ROWS_POLL_NEVER);
	rig_reply(rig, "[]");
	rig_run(rig, 100);
	cr_expect_eq(rig->pause_ms, 1500);
	rig_destroy(rig);
}

/* The holder is frozen: it neither replies nor loses its connections. */
Test(row_source, successor_reads_the_store_when_the_holder_is_silent)
{
	struct rig *rig = rig_create();
	void *first;

	rig->is_candidate = true;
	rig->holder = "h1";
	rig_run(rig, 100);
	rig_reply(rig, "[{\"table\":1}]");
	rig_run(rig, 500);
	first = rig->done_arg;
	rig_run(rig, 800);
	cr_expect_eq(rig->pause_ms, 1500);
	/* The store is lost, too: another peer is asked although the request
	 * to the holder has not ended. */
	rig->peer = "h2";
	rig->listener.connected(rig->listener.arg, false);
	rig_run(rig, 500);
	cr_expect_str_eq(rig->requested, "h2");
	free(first);
	rig_reply(rig, "[]");
	rig_destroy(rig);
}

Test(row_source, host_without_the_store_reads_all_rows_from_a_peer)
{
	struct rig *rig = rig_create();

	rig->peer = "h2";
	rig->listener.connected(rig->listener.arg, false);
	rig_run(rig, 300);
	cr_expect_str_eq(rig->requested, "h2");
	cr_expect_not_null(strstr(rig->query, "config=0&"));
	cr_expect_null(strstr(rig->query, "servers=0&"),
	    "only a likely holder needs the servers");
	rig_reply(rig, "[{\"table\":0},{\"table\":2}]");
	rig->is_candidate = true;
	rig_run(rig, 300);
	cr_expect_not_null(strstr(rig->query, "servers=0&"));
	rig_reply(rig, "[]");
	rig_destroy(rig);
}

/* Rows that may be outdated are sent only to hosts that have no others. */
Test(row_source, rows_that_are_not_current_are_not_sent_to_a_successor)
{
	struct rig *rig = rig_create();

	rig->is_holder = rig->is_candidate = true;
	rig_read_server(rig, "64", 10);
	rig_request(rig, "config=0&servers=0&hosts=0&current=1");
	cr_expect_not_null(strstr(rig->text, "s1"));
	rig_run(rig, 1600);
	rig_request(rig, "config=0&servers=0&hosts=0&current=1");
	cr_expect_null(strstr(rig->text, "s1"));
	rig_request(rig, "config=0&servers=0&hosts=0&current=0");
	cr_expect_not_null(strstr(rig->text, "s1"));
	/* While a full read is in progress no rows are sent at all. */
	rig->listener.read_begin(rig->listener.arg, ROWS_SERVERS);
	rig_request(rig, "config=0&servers=0&hosts=0&current=0");
	cr_expect_null(strstr(rig->text, "s1"));
	rig_destroy(rig);
}

/* Servers that expired during an outage of the store return within 2.5 s. */
Test(row_source, servers_are_complete_some_time_after_a_reconnection)
{
	struct rig *rig = rig_create();

	rig_run(rig, 3000);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	/* An outage of the store may just have ended, unnoticed. */
	rig_read_server(rig, "64", 10);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_run(rig, 2600);
	cr_expect(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig->listener.connected(rig->listener.arg, false);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig->listener.connected(rig->listener.arg, true);
	rig_run(rig, 2500);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_run(rig, 100);
	cr_expect(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_destroy(rig);
}

/* Soak seed 122, with --restarts: servers' rows expired in a short outage that
 * the successor had not noticed, and one that it had never read ran tasks. */
Test(row_source, servers_are_incomplete_after_an_unknown_one_was_removed)
{
	const struct rows_change removed[] = {
		{ .table = ROWS_SERVERS, .key = "s1", .version = 20 },
		{ .table = ROWS_SERVERS, .key = "s2", .version = 21 },
	};
	struct rig *rig = rig_create();

	rig_read_server(rig, "64", 10);
	rig_run(rig, 2600);
	/* The scheduler has the known one in its list. */
	rig->listener.changed(rig->listener.arg, &removed[0]);
	cr_expect(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig->listener.changed(rig->listener.arg, &removed[1]);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_run(rig, 2500);
	reg_tick(rig->reg, rig->clock.us);
	rig_run(rig, 2500);
	cr_expect(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_destroy(rig);
}

/* This host has dropped a server of which the holder, which read the removal
 * later, may still start tasks. */
Test(row_source, servers_are_incomplete_after_one_was_dropped)
{
	const struct rows_change removed = { .table = ROWS_SERVERS,
		.key = "s1",
		.version = 20 };
	struct rig *rig = rig_create();

	rig_read_server(rig, "64", 10);
	rig_run(rig, 2600);
	rig->listener.changed(rig->listener.arg, &removed);
	rig_run(rig, 2400);
	reg_tick(rig->reg, rig->clock.us);
	cr_expect(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_run(rig, 200);
	reg_tick(rig->reg, rig->clock.us);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_run(rig, 2500);
	cr_expect(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_destroy(rig);
}

/* A full read shows no removals. Rows that were current shortly before it
 * include all servers. */
Test(row_source, servers_are_incomplete_after_a_full_read_that_follows_a_gap)
{
	struct rig *rig = rig_create();

	rig_read_server(rig, "64", 10);
	rig_run(rig, 3000);
	rig->listener.current(rig->listener.arg, ROWS_SERVERS, 11);
	rig_run(rig, 1000);
	rig_read_server(rig, "64", 12);
	cr_expect(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_run(rig, 30000);
	rig_read_server(rig, "64", 13);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_run(rig, 2600);
	cr_expect(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_destroy(rig);
}

/* A reply of the store may have waited while the process stood still. */
Test(row_source, rows_read_after_a_pause_are_as_old_as_the_pause)
{
	struct rig *rig = rig_create();

	rig_read_server(rig, "64", 10);
	rig_run(rig, 3000);
	rig->listener.current(rig->listener.arg, ROWS_SERVERS, 11);
	rig->clock.us += 30000 * MS;
	rig->listener.current(rig->listener.arg, ROWS_SERVERS, 12);
	rig_read_server(rig, "64", 50);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_destroy(rig);
}

/* Likewise the reply of a peer. */
Test(row_source, rows_of_a_peer_are_as_old_as_their_request)
{
	struct rig *rig = rig_create();

	rig_read_server(rig, "64", 10);
	rig_run(rig, 2600);
	rig->is_candidate = true;
	rig->holder = "h2";
	rig_run(rig, 1000);
	cr_assert_eq(rig->nrequests, 1);
	rig->clock.us += 30000 * MS;
	rig_reply(rig,
	    "[{\"table\":1,\"since\":10,\"version\":12,\"age_ms\":0}]");
	rig_read_server(rig, "64", 50);
	cr_expect_not(rowsrc_servers_complete(rig->src, rig->clock.us));
	rig_destroy(rig);
}

/* The store no longer answers this host, which has not noticed. */
Test(row_source, newer_configuration_is_requested_from_the_peer_that_has_it)
{
	struct rig *rig = rig_create();
	void *first;

	rig->listener.read_begin(rig->listener.arg, ROWS_HOSTS);
	rig->listener.read_end(rig->listener.arg, ROWS_HOSTS, 3);
	rowsrc_config_reported(rig->src, "h3", 7, 0);
	cr_expect_eq(rig->nrequests, 0);
	rowsrc_config_reported(rig->src, "h3", 7, 5);
	cr_assert_eq(rig->nrequests, 1);
	cr_expect_str_eq(rig->requested, "h3");
	cr_expect_not_null(strstr(rig->query, "config=0&"));
	cr_expect_null(strstr(rig->query, "servers=0&"));
	cr_expect_null(strstr(rig->query, "hosts=0&"));
	rig_run(rig, 500);
	rowsrc_config_reported(rig->src, "h4", 7, 5);
	cr_expect_eq(rig->nrequests, 1, "one request at a time");
	/* h3 does not reply. */
	first = rig->done_arg;
	rig_run(rig, 500);
	rowsrc_config_reported(rig->src, "h4", 7, 5);
	cr_expect_str_eq(rig->requested, "h4");
	/* The reply has no newer version: the next request waits a little. */
	rig_reply(rig, "[{\"table\":0}]");
	rowsrc_config_reported(rig->src, "h5", 7, 5);
	cr_expect_eq(rig->nrequests, 2);
	rig_run(rig, 100);
	rowsrc_config_reported(rig->src, "h5", 7, 5);
	cr_expect_eq(rig->nrequests, 3);
	rig_reply(rig, "[]");
	free(first);
	rig_destroy(rig);
}

/* A host that was restarted while the store does not answer it. */
Test(row_source, host_without_hosts_requests_them_with_the_configuration)
{
	struct rig *rig = rig_create();

	rowsrc_config_reported(rig->src, "h3", 7, 5);
	cr_expect_not_null(strstr(rig->query, "config=0&"));
	cr_expect_not_null(strstr(rig->query, "hosts=0&"));
	rig_reply(rig, "[]");
	rig_destroy(rig);
}
