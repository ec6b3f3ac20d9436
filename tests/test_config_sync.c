/*
 * Tests of the configuration of three entry hosts that share a table with
 * injected faults: versions, lost replies, snapshots and the audit trail.
 */

#include <criterion/criterion.h>
#include <event2/event.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/platform.h"
#include "entry/config_sync.h"
#include "support/fake_clock.h"
#include "support/faulty_table.h"

#define HOSTS 3
#define LOOP_ITERATIONS_MAX 20000 /* of the event loop, per wait */

/* An entry host. */
struct host {
	struct faulty_table table;
	struct config_sync *sync;
	uint64_t highest_version; /* version passed to the callback */
	int notifications;
};

static struct event_base *base;
static struct platform *platform;
static struct fake_clock fake_clock;
static struct host hosts[HOSTS];

/* The reply to one request. */
struct received_reply {
	int status;
	char body[65536];
};

static void
on_version_changed(void *arg, const struct config *config)
{
	struct host *host = arg;

	cr_assert_gt(config->version + 1, host->highest_version,
	    "version decreased from %llu",
	    (unsigned long long)host->highest_version);
	host->highest_version = config->version;
	host->notifications++;
}

static void
start_host(struct host *host)
{
	static const char *const names[HOSTS] = { "h0", "h1", "h2" };
	struct config_sync_params params = {
		.base = base,
		.clock = &fake_clock.clock,
		.table = &host->table.table,
		.blobs = platform->blobs,
		.host = names[host - hosts],
		.poll_ms = 10,
		.seed = 1,
		.changed = on_version_changed,
		.arg = host,
	};

	host->highest_version = 0;
	host->sync = config_sync_create(&params);
}

/*
 * Waits for the calls to the table to end before it frees their owner, because
 * calls cannot be cancelled.
 */
static void
stop_host(struct host *host)
{
	while (!LIST_EMPTY(&host->table.calls))
		event_base_loop(base, EVLOOP_ONCE);
	config_sync_destroy(host->sync);
}

static void
setup(void)
{
	int i;

	base = event_base_new();
	platform = platform_memory_create(base);
	fake_clock_init(&fake_clock, 1000);
	for (i = 0; i < HOSTS; i++) {
		faulty_table_init(&hosts[i].table, platform->table);
		start_host(&hosts[i]);
	}
}

static void
teardown(void)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		config_sync_destroy(hosts[i].sync);
	for (i = 0; i < HOSTS; i++)
		faulty_table_clear(&hosts[i].table);
	platform->destroy(platform);
	event_base_free(base);
}

static void
record_reply(void *arg, const struct api_reply *reply)
{
	struct received_reply *received = arg;

	cr_assert_eq(received->status, 0, "more than one reply");
	received->status = reply->status;
	snprintf(received->body, sizeof(received->body), "%.*s",
	    (int)reply->body_len, (const char *)reply->body);
}

static void
send_request(struct host *host, enum api_method method, const char *path,
    const char *query, const char *body, struct received_reply *received)
{
	struct api_request request = {
		.method = method,
		.path = path,
		.query = query,
		.operator_name = "asha",
		.client = "127.0.0.1",
		.body = body,
		.body_len = strlen(body),
	};

	memset(received, 0, sizeof(*received));
	config_sync_handle(host->sync, &request, record_reply, received);
}

/* Runs the event loop until the reply was received. */
static void
wait_reply(const struct received_reply *received)
{
	int i;

	for (i = 0; i < LOOP_ITERATIONS_MAX && received->status == 0; i++)
		event_base_loop(base, EVLOOP_ONCE);
	cr_assert_neq(received->status, 0, "no reply");
}

static void
wait_version(const struct host *host, uint64_t version)
{
	int i;

	for (i = 0; i < LOOP_ITERATIONS_MAX; i++) {
		if (config_sync_ready(host->sync) &&
		    config_sync_current(host->sync)->version >= version)
			return;
		event_base_loop(base, EVLOOP_ONCE);
	}
	cr_assert_fail("version %llu was not reached",
	    (unsigned long long)version);
}

/* Sends a change that puts the team @name; returns the HTTP status. */
static int
put_team(struct host *host, const char *id, const char *base_member,
    const char *name, struct received_reply *received)
{
	char body[512];

	snprintf(body, sizeof(body),
	    "{\"id\":\"%s\",%s\"why\":\"test\",\"ops\":[{\"op\":\"put\","
	    "\"kind\":\"team\",\"name\":\"%s\",\"spec\":{\"running_max\":1}}]}",
	    id, base_member, name);
	wait_version(host, 0);
	send_request(host, API_POST, "/v1/config/changes", "", body, received);
	wait_reply(received);
	return received->status;
}

static void
expect_blob_stored(void *arg, enum table_status status, const void *data,
    size_t len, const struct err *err)
{
	(void)arg;
	(void)data;
	(void)len;
	(void)err;
	cr_assert_eq(status, TABLE_OK);
}

static bool
has_team(const struct host *host, const char *name)
{
	return cfg_find(config_sync_current(host->sync), CFG_TEAM, name) !=
	    NULL;
}

TestSuite(config_sync, .init = setup, .fini = teardown);

Test(config_sync, change_is_applied_on_every_host)
{
	struct received_reply received;
	int i;

	cr_assert_eq(put_team(&hosts[0], "c1", "\"base\":0,", "t1", &received),
	    200, "%s", received.body);
	cr_assert_str_eq(received.body, "{\"version\":1}");
	for (i = 0; i < HOSTS; i++) {
		wait_version(&hosts[i], 1);
		cr_assert(has_team(&hosts[i], "t1"));
		cr_assert_eq(hosts[i].highest_version, 1);
	}
}

Test(config_sync, change_with_lost_reply_is_written_once)
{
	struct received_reply received;

	hosts[0].table.lose_replies = 1;
	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &received), 200, "%s",
	    received.body);
	cr_assert_str_eq(received.body, "{\"version\":1}");
	hosts[0].table.lose_requests = 2;
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &received), 200, "%s",
	    received.body);
	cr_assert_str_eq(received.body, "{\"version\":2}");
	send_request(&hosts[1], API_GET, "/v1/config/history", "", "",
	    &received);
	wait_reply(&received);
	cr_assert_neq(strstr(received.body, "\"id\":\"c1\""), NULL);
	cr_assert_neq(strstr(received.body, "\"id\":\"c2\""), NULL);
	cr_assert_eq(strstr(received.body, "\"version\":3"), NULL);
}

Test(config_sync, repeated_id_with_outdated_base_returns_its_version)
{
	struct received_reply received, other_reply;

	hosts[0].table.lose_replies = 1;
	cr_assert_eq(put_team(&hosts[0], "c1", "\"base\":0,", "t1", &received),
	    200, "%s", received.body);
	wait_version(&hosts[1], 1);
	cr_assert_eq(put_team(&hosts[1], "c2", "", "t2", &other_reply), 200);
	/* The same id is sent again, to another host, with an outdated base. */
	cr_assert_eq(put_team(&hosts[1], "c1", "\"base\":0,", "t1", &received),
	    200, "%s", received.body);
	cr_assert_str_eq(received.body, "{\"version\":1}");
}

Test(config_sync, id_of_another_change_is_rejected)
{
	struct received_reply received;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &received), 200);
	cr_assert_eq(put_team(&hosts[1], "c1", "", "t2", &received), 422);
	cr_assert(!has_team(&hosts[1], "t2"));
}

Test(config_sync, exactly_one_concurrent_change_of_a_base_succeeds)
{
	static const char body[] = "{\"id\":\"r%d\",\"base\":0,\"ops\":[{"
				   "\"op\":\"put\",\"kind\":\"team\",\"name\":"
				   "\"t%d\",\"spec\":{}}]}";
	struct received_reply replies[HOSTS];
	char text[256];
	int i, winners = 0;

	for (i = 0; i < HOSTS; i++)
		wait_version(&hosts[i], 0);
	hosts[1].table.lose_replies = 1;
	for (i = 0; i < HOSTS; i++) {
		snprintf(text, sizeof(text), body, i, i);
		send_request(&hosts[i], API_POST, "/v1/config/changes", "",
		    text, &replies[i]);
	}
	for (i = 0; i < HOSTS; i++) {
		wait_reply(&replies[i]);
		if (replies[i].status == 200) {
			winners++;
			continue;
		}
		cr_assert_eq(replies[i].status, 409, "%s", replies[i].body);
		cr_assert_neq(strstr(replies[i].body, "\"version\":1"), NULL);
	}
	cr_assert_eq(winners, 1);
}

Test(config_sync, all_concurrent_changes_without_base_succeed)
{
	static const char body[] = "{\"id\":\"n%d\",\"ops\":[{\"op\":\"put\","
				   "\"kind\":\"team\",\"name\":\"t%d\"}]}";
	struct received_reply replies[HOSTS];
	char text[256];
	int i;

	for (i = 0; i < HOSTS; i++)
		wait_version(&hosts[i], 0);
	for (i = 0; i < HOSTS; i++) {
		snprintf(text, sizeof(text), body, i, i);
		send_request(&hosts[i], API_POST, "/v1/config/changes", "",
		    text, &replies[i]);
	}
	for (i = 0; i < HOSTS; i++) {
		wait_reply(&replies[i]);
		cr_assert_eq(replies[i].status, 200, "%s", replies[i].body);
	}
	wait_version(&hosts[0], HOSTS);
	cr_assert(has_team(&hosts[0], "t0") && has_team(&hosts[0], "t1") &&
	    has_team(&hosts[0], "t2"));
}

Test(config_sync, stale_replica_never_reverts_a_version)
{
	struct received_reply received;
	int i, queries;

	for (i = 1; i <= 3; i++) {
		char id[16];

		snprintf(id, sizeof(id), "c%d", i);
		cr_assert_eq(put_team(&hosts[0], id, "", id, &received), 200);
	}
	wait_version(&hosts[1], 3);
	strcpy(hosts[1].table.stale_sk, "v/00000000000000000001");
	queries = hosts[1].table.queries;
	config_sync_notify_version(hosts[1].sync, 4);
	while (hosts[1].table.queries < queries + 5)
		event_base_loop(base, EVLOOP_ONCE);
	cr_assert_eq(config_sync_current(hosts[1].sync)->version, 3);
	cr_assert(config_sync_ready(hosts[1].sync));
}

Test(config_sync, new_host_is_not_ready_below_the_known_version)
{
	struct received_reply received;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &received), 200);
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &received), 200);
	stop_host(&hosts[1]);
	strcpy(hosts[1].table.stale_sk, "v/00000000000000000001");
	start_host(&hosts[1]);
	config_sync_notify_version(hosts[1].sync, 2);
	while (config_sync_current(hosts[1].sync)->version < 1)
		event_base_loop(base, EVLOOP_ONCE);
	cr_assert(!config_sync_ready(hosts[1].sync));
	cr_assert_eq(hosts[1].highest_version, 0);
	hosts[1].table.stale_sk[0] = '\0';
	wait_version(&hosts[1], 2);
}

Test(config_sync, new_host_without_table_imports_from_a_peer)
{
	struct received_reply received;
	struct err err;
	size_t len;
	char *text;
	int queries;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &received), 200);
	stop_host(&hosts[2]);
	hosts[2].table.unavailable = true;
	start_host(&hosts[2]);
	cr_assert_null(config_sync_export(hosts[2].sync, &len));
	queries = hosts[2].table.queries;
	while (hosts[2].table.queries < queries + 3)
		event_base_loop(base, EVLOOP_ONCE);
	cr_assert(!config_sync_ready(hosts[2].sync));
	text = config_sync_export(hosts[0].sync, &len);
	cr_assert_eq(config_sync_import(hosts[2].sync, text, len / 2, &err),
	    -1);
	cr_assert(!config_sync_ready(hosts[2].sync));
	cr_assert_eq(config_sync_import(hosts[2].sync, text, len, &err), 0);
	cr_assert(config_sync_ready(hosts[2].sync));
	cr_assert(has_team(&hosts[2], "t1"));
	free(text);
	cr_assert_eq(put_team(&hosts[2], "c2", "", "t2", &received), 503);
	hosts[2].table.unavailable = false;
	cr_assert_eq(put_team(&hosts[2], "c2", "", "t2", &received), 200);
}

Test(config_sync, older_import_is_ignored)
{
	struct received_reply received;
	struct err err;
	size_t len;
	char *text;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &received), 200);
	text = config_sync_export(hosts[0].sync, &len);
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &received), 200);
	cr_assert_eq(config_sync_import(hosts[0].sync, text, len, &err), 0);
	cr_assert_eq(config_sync_current(hosts[0].sync)->version, 2);
	free(text);
}

Test(config_sync, outcome_is_unknown_only_if_a_reply_was_lost)
{
	struct received_reply received;

	hosts[0].table.refuse_writes = 100;
	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &received), 503, "%s",
	    received.body);
	hosts[0].table.refuse_writes = 0;
	hosts[0].table.lose_requests = 100;
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &received), 504, "%s",
	    received.body);
	hosts[0].table.lose_requests = 0;
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &received), 200);
	cr_assert_str_eq(received.body, "{\"version\":1}");
}

Test(config_sync, snapshot_replaces_reading_the_chain_unless_corrupt)
{
	struct received_reply received;
	char id[32];
	int i;

	for (i = 1; i <= 70; i++) {
		snprintf(id, sizeof(id), "c%d", i);
		cr_assert_eq(put_team(&hosts[0], id, "", id, &received), 200);
	}
	stop_host(&hosts[1]);
	hosts[1].table.queries = 0;
	start_host(&hosts[1]);
	wait_version(&hosts[1], 70);
	cr_assert_eq(hosts[1].table.queries, 1);
	cr_assert(has_team(&hosts[1], "c1") && has_team(&hosts[1], "c70"));
	platform->blobs->ops->put(platform->blobs, "config/snapshot", "bad", 3,
	    expect_blob_stored, NULL);
	stop_host(&hosts[2]);
	start_host(&hosts[2]);
	wait_version(&hosts[2], 70);
	cr_assert(has_team(&hosts[2], "c1"));
}

Test(config_sync, history_contains_changes_with_audit_data)
{
	static const char label[] =
	    "{\"id\":\"c2\",\"why\":\"quota\",\"ops\":[{\"op\":\"label\","
	    "\"kind\":\"team\",\"name\":\"t1\",\"set\":{\"tier\":\"gold\"}}]}";
	struct received_reply received;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &received), 200);
	send_request(&hosts[0], API_POST, "/v1/config/changes", "", label,
	    &received);
	wait_reply(&received);
	cr_assert_eq(received.status, 200, "%s", received.body);
	send_request(&hosts[1], API_GET, "/v1/config/history",
	    "after=1&limit=5", "", &received);
	wait_reply(&received);
	cr_assert_eq(strstr(received.body, "\"id\":\"c1\""), NULL);
	cr_assert_neq(strstr(received.body, "\"who\":\"asha\""), NULL);
	cr_assert_neq(strstr(received.body, "\"why\":\"quota\""), NULL);
	cr_assert_neq(strstr(received.body, "\"host\":\"h0\""), NULL);
	cr_assert_neq(strstr(received.body, "\"base\":1"), NULL);
	cr_assert_neq(strstr(received.body, "\"before\":[{"), NULL);
	cr_assert_neq(strstr(received.body, "\"tier\":\"gold\""), NULL);
	send_request(&hosts[1], API_GET, "/v1/config/history", "limit=0", "",
	    &received);
	cr_assert_eq(received.status, 400);
}

Test(config_sync, objects_are_served_by_kind_name_and_selector)
{
	struct received_reply received;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &received), 200);
	send_request(&hosts[0], API_GET, "/v1/config/teams",
	    "selector=tier%3Dgold", "", &received);
	cr_assert_str_eq(received.body, "{\"version\":1,\"items\":[]}");
	send_request(&hosts[0], API_GET, "/v1/config/teams", "selector=%3D%3D",
	    "", &received);
	cr_assert_eq(received.status, 400);
	send_request(&hosts[0], API_GET, "/v1/config/teams/t1", "", "",
	    &received);
	cr_assert_eq(received.status, 200);
	send_request(&hosts[0], API_GET, "/v1/config/teams/t9", "", "",
	    &received);
	cr_assert_eq(received.status, 404);
	send_request(&hosts[0], API_GET, "/v1/config/cars", "", "", &received);
	cr_assert_eq(received.status, 404);
	send_request(&hosts[0], API_GET, "/v1/config/changes", "", "",
	    &received);
	cr_assert_eq(received.status, 405);
	send_request(&hosts[0], API_DELETE, "/v1/config", "", "", &received);
	cr_assert_eq(received.status, 405);
	send_request(&hosts[0], API_GET, "/v1/config", "", "", &received);
	cr_assert_neq(strstr(received.body, "\"teams\":{\"t1\""), NULL);
}

Test(config_sync, host_leaving_follows_its_label)
{
	static const char *const changes[] = {
		"{\"id\":\"c1\",\"ops\":[{\"op\":\"put\",\"kind\":\"host\","
		"\"name\":\"h1\",\"spec\":{\"az\":\"a\",\"address\":\"::1\","
		"\"peer_port\":1}}]}",
		"{\"id\":\"c2\",\"ops\":[{\"op\":\"label\",\"kind\":\"host\","
		"\"name\":\"h1\",\"set\":{\"leaving\":\"\"}}]}",
		"{\"id\":\"c3\",\"ops\":[{\"op\":\"label\",\"kind\":\"host\","
		"\"name\":\"h1\",\"unset\":[\"leaving\"]}]}",
	};
	struct received_reply received;
	uint64_t i;

	wait_version(&hosts[0], 0);
	for (i = 0; i < 3; i++) {
		send_request(&hosts[0], API_POST, "/v1/config/changes", "",
		    changes[i], &received);
		wait_reply(&received);
		cr_assert_eq(received.status, 200, "%s", received.body);
		wait_version(&hosts[1], i + 1);
		cr_assert_eq(config_sync_host_leaving(hosts[1].sync), i == 1);
		cr_assert(!config_sync_host_leaving(hosts[0].sync));
	}
}

#define RANDOM_REQUESTS 90

static json_t *
read_history(struct host *host)
{
	static struct received_reply received;
	json_t *all = json_array(), *page;
	char query[64];
	size_t n;

	do {
		n = json_array_size(all);
		snprintf(query, sizeof(query), "after=%zu&limit=20", n);
		send_request(host, API_GET, "/v1/config/history", query, "",
		    &received);
		wait_reply(&received);
		page = json_loads(received.body, 0, NULL);
		json_array_extend(all, json_object_get(page, "changes"));
		json_decref(page);
	} while (json_array_size(all) > n);
	return all;
}

/* Returns the number of occurrences of a change in the history. */
static int
count_change(const json_t *history, const char *id)
{
	json_t *change;
	int n = 0;
	size_t i;

	json_array_foreach (history, i, change)
		n += strcmp(id,
			 json_string_value(json_object_get(change, "id"))) == 0;
	return n;
}

Test(config_sync, random_faults_never_duplicate_or_lose_a_change)
{
	static struct received_reply replies[RANDOM_REQUESTS];
	unsigned seed = 14, i;
	struct host *host;
	json_t *history;
	char body[256], id[16];
	int n;

	wait_version(&hosts[0], 0);
	wait_version(&hosts[1], 0);
	wait_version(&hosts[2], 0);
	for (i = 0; i < RANDOM_REQUESTS; i++) {
		host = &hosts[rand_r(&seed) % HOSTS];
		host->table.lose_replies += rand_r(&seed) % 4 == 0;
		host->table.lose_requests += rand_r(&seed) % 4 == 0;
		host->table.refuse_writes += rand_r(&seed) % 4 == 0;
		host->table.unavailable = rand_r(&seed) % 24 == 0;
		snprintf(host->table.stale_sk, TABLE_KEY_SIZE,
		    rand_r(&seed) % 4 == 0 ? "v/%020u" : "", i / 2);
		/* Each id is sent twice, possibly to different hosts. */
		snprintf(body, sizeof(body),
		    "{\"id\":\"c%u\",%s\"ops\":[{\"op\":\"put\",\"kind\":"
		    "\"team\",\"name\":\"t%u\"}]}",
		    i / 2, i / 2 % 3 == 0 ? "\"base\":3," : "", i / 2);
		send_request(host, API_POST, "/v1/config/changes", "", body,
		    &replies[i]);
		if (rand_r(&seed) % 3 == 0)
			wait_reply(&replies[i]);
	}
	for (i = 0; i < RANDOM_REQUESTS; i++)
		wait_reply(&replies[i]);
	for (i = 0; i < HOSTS; i++) {
		hosts[i].table.unavailable = false;
		hosts[i].table.stale_sk[0] = '\0';
	}
	history = read_history(&hosts[0]);
	for (i = 0; i < HOSTS; i++)
		wait_version(&hosts[i], json_array_size(history));
	for (i = 0; i < RANDOM_REQUESTS; i++) {
		snprintf(id, sizeof(id), "c%u", i / 2);
		n = count_change(history, id);
		cr_assert_leq(n, 1, "change %s is in the history %d times", id,
		    n);
		if (replies[i].status == 200)
			cr_assert_eq(n, 1,
			    "change %s succeeded but is not in the history",
			    id);
		else if (replies[i ^ 1U].status != 200 &&
		    replies[i].status != 504 && replies[i ^ 1U].status != 504)
			cr_assert_eq(n, 0,
			    "change %s failed with status %d but is in the "
			    "history",
			    id, replies[i].status);
	}
	cr_assert_gt(json_array_size(history), RANDOM_REQUESTS / 8);
	json_decref(history);
}
