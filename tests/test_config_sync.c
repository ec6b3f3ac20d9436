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
#define TURNS_MAX 20000 /* of the event loop, limit of a wait */

/* An entry host. */
struct host {
	struct faulty_table table;
	struct config_sync *sync;
	uint64_t highest; /* version passed to the callback */
	int changes;
};

static struct event_base *base;
static struct platform *platform;
static struct fake_clock fake_clock;
static struct host hosts[HOSTS];

/* The reply to one request. */
struct answer_box {
	int status;
	char body[65536];
};

static void
changed(void *arg, const struct config *config)
{
	struct host *host = arg;

	cr_assert_gt(config->version + 1, host->highest,
	    "version went down from %llu", (unsigned long long)host->highest);
	host->highest = config->version;
	host->changes++;
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
		.changed = changed,
		.arg = host,
	};

	host->highest = 0;
	host->sync = config_sync_create(&params);
}

/* Calls to the table need a valid owner until they end; see ports/table.h. */
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
store_reply(void *arg, const struct api_reply *reply)
{
	struct answer_box *box = arg;

	cr_assert_eq(box->status, 0, "a second reply");
	box->status = reply->status;
	snprintf(box->body, sizeof(box->body), "%.*s", (int)reply->body_len,
	    (const char *)reply->body);
}

static void
send_request(struct host *host, enum api_method method, const char *path,
    const char *query, const char *body, struct answer_box *box)
{
	struct api_request request = {
		.method = method,
		.path = path,
		.query = query,
		.who = "asha",
		.client = "127.0.0.1",
		.body = body,
		.body_len = strlen(body),
	};

	memset(box, 0, sizeof(*box));
	config_sync_handle(host->sync, &request, store_reply, box);
}

/* Runs the event loop until the reply was received. */
static void
wait_reply(const struct answer_box *box)
{
	int i;

	for (i = 0; i < TURNS_MAX && box->status == 0; i++)
		event_base_loop(base, EVLOOP_ONCE);
	cr_assert_neq(box->status, 0, "no reply");
}

static void
wait_version(const struct host *host, uint64_t version)
{
	int i;

	for (i = 0; i < TURNS_MAX; i++) {
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
    const char *name, struct answer_box *box)
{
	char body[512];

	snprintf(body, sizeof(body),
	    "{\"id\":\"%s\",%s\"why\":\"test\",\"ops\":[{\"op\":\"put\","
	    "\"kind\":\"team\",\"name\":\"%s\",\"spec\":{\"running_max\":1}}]}",
	    id, base_member, name);
	wait_version(host, 0);
	send_request(host, API_POST, "/v1/config/changes", "", body, box);
	wait_reply(box);
	return box->status;
}

static void
blob_stored(void *arg, enum table_status status, const void *data, size_t len,
    const struct err *err)
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

Test(config_sync, a_change_reaches_every_host)
{
	struct answer_box box;
	int i;

	cr_assert_eq(put_team(&hosts[0], "c1", "\"base\":0,", "t1", &box), 200,
	    "%s", box.body);
	cr_assert_str_eq(box.body, "{\"version\":1}");
	for (i = 0; i < HOSTS; i++) {
		wait_version(&hosts[i], 1);
		cr_assert(has_team(&hosts[i], "t1"));
		cr_assert_eq(hosts[i].highest, 1);
	}
}

Test(config_sync, a_lost_reply_is_settled_once)
{
	struct answer_box box;

	hosts[0].table.lose_replies = 1;
	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &box), 200, "%s",
	    box.body);
	cr_assert_str_eq(box.body, "{\"version\":1}");
	hosts[0].table.lose_requests = 2;
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &box), 200, "%s",
	    box.body);
	cr_assert_str_eq(box.body, "{\"version\":2}");
	send_request(&hosts[1], API_GET, "/v1/config/history", "", "", &box);
	wait_reply(&box);
	cr_assert_neq(strstr(box.body, "\"id\":\"c1\""), NULL);
	cr_assert_neq(strstr(box.body, "\"id\":\"c2\""), NULL);
	cr_assert_eq(strstr(box.body, "\"version\":3"), NULL);
}

Test(config_sync, lost_reply_with_base_is_settled_when_others_came_next)
{
	struct answer_box box, other;

	hosts[0].table.lose_replies = 1;
	cr_assert_eq(put_team(&hosts[0], "c1", "\"base\":0,", "t1", &box), 200,
	    "%s", box.body);
	wait_version(&hosts[1], 1);
	cr_assert_eq(put_team(&hosts[1], "c2", "", "t2", &other), 200);
	/* The same id is sent again, to another host, with an outdated base. */
	cr_assert_eq(put_team(&hosts[1], "c1", "\"base\":0,", "t1", &box), 200,
	    "%s", box.body);
	cr_assert_str_eq(box.body, "{\"version\":1}");
}

Test(config_sync, an_id_belongs_to_one_change)
{
	struct answer_box box;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &box), 200);
	cr_assert_eq(put_team(&hosts[1], "c1", "", "t2", &box), 422);
	cr_assert(!has_team(&hosts[1], "t2"));
}

Test(config_sync, racing_operators_have_exactly_one_winner)
{
	static const char body[] = "{\"id\":\"r%d\",\"base\":0,\"ops\":[{"
				   "\"op\":\"put\",\"kind\":\"team\",\"name\":"
				   "\"t%d\",\"spec\":{}}]}";
	struct answer_box boxes[HOSTS];
	char text[256];
	int i, winners = 0;

	for (i = 0; i < HOSTS; i++)
		wait_version(&hosts[i], 0);
	hosts[1].table.lose_replies = 1;
	for (i = 0; i < HOSTS; i++) {
		snprintf(text, sizeof(text), body, i, i);
		send_request(&hosts[i], API_POST, "/v1/config/changes", "",
		    text, &boxes[i]);
	}
	for (i = 0; i < HOSTS; i++) {
		wait_reply(&boxes[i]);
		if (boxes[i].status == 200) {
			winners++;
			continue;
		}
		cr_assert_eq(boxes[i].status, 409, "%s", boxes[i].body);
		cr_assert_neq(strstr(boxes[i].body, "\"version\":1"), NULL);
	}
	cr_assert_eq(winners, 1);
}

Test(config_sync, without_base_all_racing_changes_are_made)
{
	static const char body[] = "{\"id\":\"n%d\",\"ops\":[{\"op\":\"put\","
				   "\"kind\":\"team\",\"name\":\"t%d\"}]}";
	struct answer_box boxes[HOSTS];
	char text[256];
	int i;

	for (i = 0; i < HOSTS; i++)
		wait_version(&hosts[i], 0);
	for (i = 0; i < HOSTS; i++) {
		snprintf(text, sizeof(text), body, i, i);
		send_request(&hosts[i], API_POST, "/v1/config/changes", "",
		    text, &boxes[i]);
	}
	for (i = 0; i < HOSTS; i++) {
		wait_reply(&boxes[i]);
		cr_assert_eq(boxes[i].status, 200, "%s", boxes[i].body);
	}
	wait_version(&hosts[0], HOSTS);
	cr_assert(has_team(&hosts[0], "t0") && has_team(&hosts[0], "t1") &&
	    has_team(&hosts[0], "t2"));
}

Test(config_sync, a_stale_replica_never_takes_a_version_back)
{
	struct answer_box box;
	int i, queries;

	for (i = 1; i <= 3; i++) {
		char id[16];

		snprintf(id, sizeof(id), "c%d", i);
		cr_assert_eq(put_team(&hosts[0], id, "", id, &box), 200);
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

Test(config_sync, a_fresh_host_waits_for_what_it_heard_of)
{
	struct answer_box box;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &box), 200);
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &box), 200);
	stop_host(&hosts[1]);
	strcpy(hosts[1].table.stale_sk, "v/00000000000000000001");
	start_host(&hosts[1]);
	config_sync_notify_version(hosts[1].sync, 2);
	while (config_sync_current(hosts[1].sync)->version < 1)
		event_base_loop(base, EVLOOP_ONCE);
	cr_assert(!config_sync_ready(hosts[1].sync));
	cr_assert_eq(hosts[1].highest, 0);
	hosts[1].table.stale_sk[0] = '\0';
	wait_version(&hosts[1], 2);
}

Test(config_sync, a_fresh_host_without_table_takes_it_from_a_peer)
{
	struct answer_box box;
	struct err err;
	size_t len;
	char *text;
	int queries;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &box), 200);
	stop_host(&hosts[2]);
	hosts[2].table.down = true;
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
	cr_assert_eq(put_team(&hosts[2], "c2", "", "t2", &box), 503);
	hosts[2].table.down = false;
	cr_assert_eq(put_team(&hosts[2], "c2", "", "t2", &box), 200);
}

Test(config_sync, an_older_import_is_passed_over)
{
	struct answer_box box;
	struct err err;
	size_t len;
	char *text;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &box), 200);
	text = config_sync_export(hosts[0].sync, &len);
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &box), 200);
	cr_assert_eq(config_sync_import(hosts[0].sync, text, len, &err), 0);
	cr_assert_eq(config_sync_current(hosts[0].sync)->version, 2);
	free(text);
}

Test(config_sync, outcome_is_unknown_only_if_it_is)
{
	struct answer_box box;

	hosts[0].table.refuse_writes = 100;
	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &box), 503, "%s",
	    box.body);
	hosts[0].table.refuse_writes = 0;
	hosts[0].table.lose_requests = 100;
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &box), 504, "%s",
	    box.body);
	hosts[0].table.lose_requests = 0;
	cr_assert_eq(put_team(&hosts[0], "c2", "", "t2", &box), 200);
	cr_assert_str_eq(box.body, "{\"version\":1}");
}

Test(config_sync, a_snapshot_spares_the_chain_and_damage_is_harmless)
{
	struct answer_box box;
	char id[32];
	int i;

	for (i = 1; i <= 70; i++) {
		snprintf(id, sizeof(id), "c%d", i);
		cr_assert_eq(put_team(&hosts[0], id, "", id, &box), 200);
	}
	stop_host(&hosts[1]);
	hosts[1].table.queries = 0;
	start_host(&hosts[1]);
	wait_version(&hosts[1], 70);
	cr_assert_eq(hosts[1].table.queries, 1);
	cr_assert(has_team(&hosts[1], "c1") && has_team(&hosts[1], "c70"));
	platform->blobs->ops->put(platform->blobs, "config/snapshot", "bad", 3,
	    blob_stored, NULL);
	stop_host(&hosts[2]);
	start_host(&hosts[2]);
	wait_version(&hosts[2], 70);
	cr_assert(has_team(&hosts[2], "c1"));
}

Test(config_sync, history_has_each_change_once_with_its_audit_data)
{
	static const char label[] =
	    "{\"id\":\"c2\",\"why\":\"quota\",\"ops\":[{\"op\":\"label\","
	    "\"kind\":\"team\",\"name\":\"t1\",\"set\":{\"tier\":\"gold\"}}]}";
	struct answer_box box;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &box), 200);
	send_request(&hosts[0], API_POST, "/v1/config/changes", "", label,
	    &box);
	wait_reply(&box);
	cr_assert_eq(box.status, 200, "%s", box.body);
	send_request(&hosts[1], API_GET, "/v1/config/history",
	    "after=1&limit=5", "", &box);
	wait_reply(&box);
	cr_assert_eq(strstr(box.body, "\"id\":\"c1\""), NULL);
	cr_assert_neq(strstr(box.body, "\"who\":\"asha\""), NULL);
	cr_assert_neq(strstr(box.body, "\"why\":\"quota\""), NULL);
	cr_assert_neq(strstr(box.body, "\"host\":\"h0\""), NULL);
	cr_assert_neq(strstr(box.body, "\"base\":1"), NULL);
	cr_assert_neq(strstr(box.body, "\"before\":[{"), NULL);
	cr_assert_neq(strstr(box.body, "\"tier\":\"gold\""), NULL);
	send_request(&hosts[1], API_GET, "/v1/config/history", "limit=0", "",
	    &box);
	cr_assert_eq(box.status, 400);
}

Test(config_sync, views_answer_by_kind_name_and_selector)
{
	struct answer_box box;

	cr_assert_eq(put_team(&hosts[0], "c1", "", "t1", &box), 200);
	send_request(&hosts[0], API_GET, "/v1/config/teams",
	    "selector=tier%3Dgold", "", &box);
	cr_assert_str_eq(box.body, "{\"version\":1,\"items\":[]}");
	send_request(&hosts[0], API_GET, "/v1/config/teams", "selector=%3D%3D",
	    "", &box);
	cr_assert_eq(box.status, 400);
	send_request(&hosts[0], API_GET, "/v1/config/teams/t1", "", "", &box);
	cr_assert_eq(box.status, 200);
	send_request(&hosts[0], API_GET, "/v1/config/teams/t9", "", "", &box);
	cr_assert_eq(box.status, 404);
	send_request(&hosts[0], API_GET, "/v1/config/cars", "", "", &box);
	cr_assert_eq(box.status, 404);
	send_request(&hosts[0], API_GET, "/v1/config/changes", "", "", &box);
	cr_assert_eq(box.status, 405);
	send_request(&hosts[0], API_DELETE, "/v1/config", "", "", &box);
	cr_assert_eq(box.status, 405);
	send_request(&hosts[0], API_GET, "/v1/config", "", "", &box);
	cr_assert_neq(strstr(box.body, "\"teams\":{\"t1\""), NULL);
}

Test(config_sync, a_host_learns_that_it_is_leaving_and_that_it_is_not)
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
	struct answer_box box;
	uint64_t i;

	wait_version(&hosts[0], 0);
	for (i = 0; i < 3; i++) {
		send_request(&hosts[0], API_POST, "/v1/config/changes", "",
		    changes[i], &box);
		wait_reply(&box);
		cr_assert_eq(box.status, 200, "%s", box.body);
		wait_version(&hosts[1], i + 1);
		cr_assert_eq(config_sync_host_leaving(hosts[1].sync), i == 1);
		cr_assert(!config_sync_host_leaving(hosts[0].sync));
	}
}

#define RANDOM_CHANGES 90

static json_t *
whole_history(struct host *host)
{
	static struct answer_box box;
	json_t *all = json_array(), *part;
	char query[64];
	size_t n;

	do {
		n = json_array_size(all);
		snprintf(query, sizeof(query), "after=%zu&limit=20", n);
		send_request(host, API_GET, "/v1/config/history", query, "",
		    &box);
		wait_reply(&box);
		part = json_loads(box.body, 0, NULL);
		json_array_extend(all, json_object_get(part, "changes"));
		json_decref(part);
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

Test(config_sync, random_faults_leave_each_change_once_or_not_at_all)
{
	static struct answer_box boxes[RANDOM_CHANGES];
	unsigned seed = 14, i;
	struct host *host;
	json_t *history;
	char body[256], id[16];
	int n;

	wait_version(&hosts[0], 0);
	wait_version(&hosts[1], 0);
	wait_version(&hosts[2], 0);
	for (i = 0; i < RANDOM_CHANGES; i++) {
		host = &hosts[rand_r(&seed) % HOSTS];
		host->table.lose_replies += rand_r(&seed) % 4 == 0;
		host->table.lose_requests += rand_r(&seed) % 4 == 0;
		host->table.refuse_writes += rand_r(&seed) % 4 == 0;
		host->table.down = rand_r(&seed) % 24 == 0;
		snprintf(host->table.stale_sk, TABLE_KEY_SIZE,
		    rand_r(&seed) % 4 == 0 ? "v/%020u" : "", i / 2);
		/* Each id is sent twice, possibly to different hosts. */
		snprintf(body, sizeof(body),
		    "{\"id\":\"c%u\",%s\"ops\":[{\"op\":\"put\",\"kind\":"
		    "\"team\",\"name\":\"t%u\"}]}",
		    i / 2, i / 2 % 3 == 0 ? "\"base\":3," : "", i / 2);
		send_request(host, API_POST, "/v1/config/changes", "", body,
		    &boxes[i]);
		if (rand_r(&seed) % 3 == 0)
			wait_reply(&boxes[i]);
	}
	for (i = 0; i < RANDOM_CHANGES; i++)
		wait_reply(&boxes[i]);
	for (i = 0; i < HOSTS; i++) {
		hosts[i].table.down = false;
		hosts[i].table.stale_sk[0] = '\0';
	}
	history = whole_history(&hosts[0]);
	for (i = 0; i < HOSTS; i++)
		wait_version(&hosts[i], json_array_size(history));
	for (i = 0; i < RANDOM_CHANGES; i++) {
		snprintf(id, sizeof(id), "c%u", i / 2);
		n = count_change(history, id);
		cr_assert_leq(n, 1, "%s is there %d times", id, n);
		if (boxes[i].status == 200)
			cr_assert_eq(n, 1, "%s is lost", id);
		else if (boxes[i ^ 1U].status != 200 &&
		    boxes[i].status != 504 && boxes[i ^ 1U].status != 504)
			cr_assert_eq(n, 0, "%s: %d", id, boxes[i].status);
	}
	cr_assert_gt(json_array_size(history), RANDOM_CHANGES / 8);
	json_decref(history);
}
