/*
 * The registry: versions of rows from the store and from a peer, delayed
 * removal of servers, malformed rows, and routing by prefix.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "entry/jobs/registry.h"

#define SECOND_US 1000000ULL
#define REMOVAL_US (3 * SECOND_US) /* more than the delay of a removal */

struct observed {
	int configs, servers, hosts;
	char server_removed[NAME_SIZE];
	char host_removed[NAME_SIZE];
	struct reg_server server;
};

/* In this test a row of a configuration is "VERSION PREFIX PREFIX". */
static int
decode_config(const char *value, size_t len, struct reg_config *config)
{
	unsigned long long version;
	char first[32], second[32];

	(void)len;
	memset(config, 0, sizeof(*config));
	if (sscanf(value, "%llu %31s %31s", &version, first, second) != 3)
		return -1;
	config->version = version;
	config->nqueues = 2;
	config->queues = mem_zalloc(2, sizeof(*config->queues));
	strlcpy(config->queues[0].host, "shop", NAME_SIZE);
	strlcpy(config->queues[0].prefix, first, NAME_SIZE);
	strlcpy(config->queues[1].host, "shop", NAME_SIZE);
	strlcpy(config->queues[1].prefix, second, NAME_SIZE);
	return 0;
}

/* A row of a server is its processor share, and letters that change further
 * members; a row of a host is its weight. */
static int
decode_server(const char *key, const char *value, size_t len,
    struct reg_server *server)
{
	(void)len;
	memset(server, 0, sizeof(*server));
	strlcpy(server->id, key, sizeof(server->id));
	server->cpu = atoi(value);
	if (strchr(value, 's') != NULL)
		strlcpy(server->service, "s", NAME_SIZE);
	if (strchr(value, 'z') != NULL)
		strlcpy(server->az, "z", NAME_SIZE);
	if (strchr(value, 'a') != NULL)
		strlcpy(server->address, "a", sizeof(server->address));
	if (strchr(value, 'r') != NULL)
		strlcpy(server->rack, "r", NAME_SIZE);
	server->nlabels = strpbrk(value, "lL") != NULL;
	strlcpy(server->labels[0], strchr(value, 'L') != NULL ? "L" : "l",
	    NAME_SIZE);
	server->port = strchr(value, 'p') != NULL;
	server->incarnation_start_ms = strchr(value, 'i') != NULL;
	server->mem_mb = strchr(value, 'm') != NULL;
	server->gpus = strchr(value, 'g') != NULL;
	server->draining = strchr(value, 'd') != NULL;
	server->drain_remaining_ms = strchr(value, 't') != NULL;
	return server->cpu == 0 ? -1 : 0;
}

static int
decode_host(const char *key, const char *value, size_t len,
    struct reg_host *host)
{
	(void)len;
	memset(host, 0, sizeof(*host));
	strlcpy(host->name, key, sizeof(host->name));
	host->weight = (uint32_t)atoi(value);
	return host->weight == 0 ? -1 : 0;
}

static void
on_config(void *arg, const struct reg_config *config)
{
	(void)config;
	((struct observed *)arg)->configs++;
}

static void
on_server(void *arg, const struct reg_server *server)
{
	struct observed *observed = arg;

	observed->servers++;
	observed->server = *server;
}

static void
on_server_removed(void *arg, const char *id)
{
	strlcpy(((struct observed *)arg)->server_removed, id, NAME_SIZE);
}

static void
on_host(void *arg, const struct reg_host *host)
{
	(void)host;
	((struct observed *)arg)->hosts++;
}

static void
on_host_removed(void *arg, const char *name)
{
	strlcpy(((struct observed *)arg)->host_removed, name, NAME_SIZE);
}

static struct registry *
create(struct observed *observed)
{
	const struct reg_decoder decoder = { decode_config, decode_server,
		decode_host };
	const struct reg_listener listener = { .config = on_config,
		.server = on_server,
		.server_removed = on_server_removed,
		.host = on_host,
		.host_removed = on_host_removed,
		.arg = observed };

	memset(observed, 0, sizeof(*observed));
	return reg_create(&decoder, &listener);
}

static void
change(struct registry *reg, enum rows_table table, const char *key,
    const char *value, uint64_t version, uint64_t now_us)
{
	const struct rows_change row = { .table = table,
		.key = key,
		.value = value,
		.value_len = value == NULL ? 0 : strlen(value),
		.version = version };

	reg_row_changed(reg, &row, now_us);
}

Test(registry, older_row_versions_are_ignored)
{
	struct observed observed;
	struct registry *reg = create(&observed);

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_SERVERS, "s1", "32", 9, 0);
	change(reg, ROWS_SERVERS, "s1", NULL, 8, 0);
	cr_expect_eq(observed.servers, 1);
	cr_expect_eq(observed.server.cpu, 64);
	reg_tick(reg, REMOVAL_US);
	cr_expect_str_eq(observed.server_removed, "");
	change(reg, ROWS_OPERATOR, "config", "7 /a/ /b/", 11, 0);
	change(reg, ROWS_OPERATOR, "config", "5 /c/ /d/", 12, 0);
	cr_expect_eq(reg_config(reg)->version, 7);
	cr_expect_eq(observed.configs, 1);
	reg_destroy(reg);
}

/* Rows of live servers may expire during an outage of the store and are written
 * again afterwards; such servers must not be reported as removed. */
Test(registry, server_removal_is_reported_after_a_delay)
{
	struct observed observed;
	struct registry *reg = create(&observed);

	change(reg, ROWS_SERVERS, "s1", "64", 1, 0);
	change(reg, ROWS_SERVERS, "s2", "64", 2, 0);
	change(reg, ROWS_SERVERS, "s1", NULL, 3, SECOND_US);
	reg_read_begin(reg, ROWS_SERVERS);
	reg_read_end(reg, ROWS_SERVERS, 4, SECOND_US);
	reg_tick(reg, 2 * SECOND_US);
	cr_expect_str_eq(observed.server_removed, "");
	change(reg, ROWS_SERVERS, "s2", "64", 5, 2 * SECOND_US);
	reg_tick(reg, SECOND_US + REMOVAL_US);
	cr_expect_str_eq(observed.server_removed, "s1");
	reg_destroy(reg);
}

/* Two hosts that have read the same version know the same removals. */
Test(registry, versions_of_dropped_and_settled_removals_are_known)
{
	struct observed observed;
	struct registry *reg = create(&observed);

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_SERVERS, "s1", NULL, 11, 0);
	change(reg, ROWS_SERVERS, "s2", "64", 12, 0);
	cr_expect_eq(reg_settled_version(reg), 10);
	cr_expect_eq(reg_dropped_version(reg), 0);
	reg_tick(reg, REMOVAL_US);
	cr_expect_eq(reg_settled_version(reg), 12);
	cr_expect_eq(reg_dropped_version(reg), 11);
	/* A server that was never known is dropped from the start. */
	change(reg, ROWS_SERVERS, "s3", NULL, 13, REMOVAL_US);
	cr_expect_eq(reg_settled_version(reg), 12);
	cr_expect_eq(reg_dropped_version(reg), 13);
	reg_tick(reg, 2 * REMOVAL_US);
	cr_expect_eq(reg_settled_version(reg), 13);
	change(reg, ROWS_SERVERS, "s2", "?", 14, 2 * REMOVAL_US);
	cr_expect_eq(reg_settled_version(reg), 14);
	cr_expect_eq(reg_dropped_version(reg), 14);
	/* A full read does not show what was removed before it. */
	reg_read_begin(reg, ROWS_SERVERS);
	change(reg, ROWS_SERVERS, "s2", "64", 15, 2 * REMOVAL_US);
	reg_read_end(reg, ROWS_SERVERS, 20, 2 * REMOVAL_US);
	cr_expect_eq(reg_settled_version(reg), 20);
	cr_expect_eq(reg_dropped_version(reg), 20);
	reg_destroy(reg);
}

Test(registry, malformed_rows_are_not_used)
{
	struct observed observed;
	struct registry *reg = create(&observed);

	change(reg, ROWS_SERVERS, "s1", "64", 1, 0);
	change(reg, ROWS_SERVERS, "s2", "64", 2, 0);
	change(reg, ROWS_SERVERS, "s1", "?", 3, 0);
	cr_expect_str_eq(observed.server_removed, "s1");
	change(reg, ROWS_OPERATOR, "config", "7 /a/ /b/", 4, 0);
	change(reg, ROWS_OPERATOR, "config", "{", 5, 0);
	cr_expect_eq(reg_config(reg)->version, 7,
	    "the last valid configuration must remain");
	change(reg, ROWS_HOSTS, "h1", "?", 6, 0);
	cr_expect_eq(observed.hosts, 0);
	change(reg, ROWS_HOSTS, "h1", NULL, 7, 0);
	cr_expect_str_eq(observed.host_removed, "h1");
	reg_destroy(reg);
}

Test(registry, queue_with_the_longest_prefix_is_chosen)
{
	struct observed observed;
	struct registry *reg = create(&observed);
	const struct reg_queue *queue;
	const char *rest = NULL;

	change(reg, ROWS_OPERATOR, "config", "1 /a/ /a/b/", 1, 0);
	queue = reg_route(reg, "SHOP", "/a/b/c", &rest);
	cr_assert_not_null(queue);
	cr_expect_str_eq(queue->prefix, "/a/b/");
	cr_expect_str_eq(rest, "c");
	queue = reg_route(reg, "shop", "/a/x", &rest);
	cr_assert_not_null(queue);
	cr_expect_str_eq(queue->prefix, "/a/");
	cr_expect_null(reg_route(reg, "shop", "/x", &rest));
	cr_expect_null(reg_route(reg, "other", "/a/b/c", &rest));
	reg_destroy(reg);
}

/* A host that is not connected to the store reads the rows from a peer. */
Test(registry, peer_merges_newer_rows_only)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_SERVERS, "s2", "32", 20, 0);
	change(reg, ROWS_HOSTS, "h1", NULL, 21, 0);
	/* The peer has read one row of several. */
	reg_read_begin(peer, ROWS_SERVERS);
	change(peer, ROWS_SERVERS, "s1", "16", 30, 0);
	text = reg_render(reg, since, SECOND_US);
	cr_expect_eq(reg_merge(peer, text, strlen(text), 0, 0, merged), 0);
	cr_expect_eq(observed_peer.servers, 2);
	cr_expect_eq(observed_peer.server.cpu, 32);
	cr_expect_eq(reg_version(peer, ROWS_SERVERS), 20);
	reg_read_end(peer, ROWS_SERVERS, 30, 0);
	cr_expect_eq(reg_version(peer, ROWS_SERVERS), 30);
	cr_expect(merged[ROWS_SERVERS] && merged[ROWS_HOSTS]);
	free(text);
	since[ROWS_SERVERS] = 20;
	text = reg_render(reg, since, SECOND_US);
	cr_expect_null(strstr(text, "s2"));
	cr_expect_eq(reg_merge(peer, "{}", 2, 0, 0, merged), -1);
	free(text);
	reg_destroy(reg);
	reg_destroy(peer);
}

/*
 * A peer has received a newer row of one table before an older row of another.
 * The older one must still be read from it later: it shows that a server has
 * begun to leave.
 */
Test(registry, row_that_a_peer_received_late_is_merged)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;
	int i;

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_HOSTS, "h1", "8", 30, 0);
	text = reg_render(reg, since, SECOND_US);
	cr_assert_eq(reg_merge(peer, text, strlen(text), 0, 0, merged), 0);
	free(text);
	change(reg, ROWS_SERVERS, "s1", "16", 20, 0);
	for (i = 0; i < ROWS_NTABLES; i++)
		since[i] = reg_version(peer, (enum rows_table)i);
	text = reg_render(reg, since, SECOND_US);
	cr_assert_eq(reg_merge(peer, text, strlen(text), 0, 0, merged), 0);
	free(text);
	cr_expect_eq(observed_peer.server.cpu, 16);
	reg_destroy(reg);
	reg_destroy(peer);
}

Test(registry, excluded_table_is_not_encoded)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	since[ROWS_SERVERS] = REG_NO_ROWS;
	text = reg_render(reg, since, SECOND_US);
	cr_assert_eq(reg_merge(peer, text, strlen(text), 0, 0, merged), 0);
	cr_expect_not(merged[ROWS_SERVERS]);
	cr_expect(merged[ROWS_OPERATOR]);
	cr_expect_eq(observed_peer.servers, 0);
	free(text);
	reg_destroy(reg);
	reg_destroy(peer);
}

/* Servers write their rows at every heartbeat. Only changes of their decoded
 * contents are reported, and encoded for a peer. */
Test(registry, heartbeats_without_a_change_are_not_encoded)
{
	struct observed observed;
	struct registry *reg = create(&observed);
	uint64_t since[ROWS_NTABLES] = { 0 };
	char *text;

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_SERVERS, "s2", "32", 11, 0);
	change(reg, ROWS_SERVERS, "s1", "64", 20, 0);
	change(reg, ROWS_SERVERS, "s2", "16", 21, 0);
	cr_expect_eq(observed.servers, 3);
	since[ROWS_SERVERS] = 11;
	text = reg_render(reg, since, SECOND_US);
	cr_expect_null(strstr(text, "s1"));
	cr_expect_not_null(strstr(text, "s2"));
	free(text);
	reg_destroy(reg);
}

/* Each row differs from the one before it in one member only. */
Test(registry, change_of_each_member_of_a_server_is_reported)
{
	static const char *const changed[] = { "65", "64s", "64z", "64a", "64r",
		"64l", "64p", "64i", "64m", "64g", "64d", "64t" };
	struct observed observed;
	struct registry *reg = create(&observed);
	uint64_t version = 1;
	size_t i;

	change(reg, ROWS_SERVERS, "s1", "64", version++, 0);
	for (i = 0; i < sizeof(changed) / sizeof(changed[0]); i++) {
		change(reg, ROWS_SERVERS, "s1", changed[i], version++, 0);
		cr_expect_eq(observed.servers, 2 * (int)i + 2, "%s",
		    changed[i]);
		change(reg, ROWS_SERVERS, "s1", "64", version++, 0);
		cr_expect_eq(observed.servers, 2 * (int)i + 3, "after %s",
		    changed[i]);
	}
	change(reg, ROWS_SERVERS, "s1", "64l", version++, 0);
	observed.servers = 0;
	change(reg, ROWS_SERVERS, "s1", "64L", version++, 0);
	cr_expect_eq(observed.servers, 1, "a label");
	reg_destroy(reg);
}

/* A server that was removed, or whose row was malformed, is reported again when
 * its former row returns. */
Test(registry, server_that_returns_unchanged_is_reported)
{
	struct observed observed;
	struct registry *reg = create(&observed);

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_SERVERS, "s1", NULL, 11, 0);
	reg_tick(reg, REMOVAL_US);
	cr_expect_str_eq(observed.server_removed, "s1");
	change(reg, ROWS_SERVERS, "s1", "64", 12, REMOVAL_US);
	cr_expect_eq(observed.servers, 2);
	change(reg, ROWS_SERVERS, "s1", "?", 13, REMOVAL_US);
	change(reg, ROWS_SERVERS, "s1", "64", 14, REMOVAL_US);
	cr_expect_eq(observed.servers, 3);
	reg_destroy(reg);
}

/* A host finds by a full read that a server has left, as the store no longer
 * has its history. A peer that still has the server's row must learn it. */
Test(registry, removal_found_by_a_full_read_reaches_a_peer)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_SERVERS, "s2", "64", 12, 0);
	change(peer, ROWS_SERVERS, "s1", "64", 10, 0);
	change(peer, ROWS_SERVERS, "s2", "64", 12, 0);
	reg_read_begin(reg, ROWS_SERVERS);
	change(reg, ROWS_SERVERS, "s2", "64", 30, 0);
	reg_read_end(reg, ROWS_SERVERS, 30, 0);
	since[ROWS_SERVERS] = reg_version(peer, ROWS_SERVERS);
	text = reg_render(reg, since, SECOND_US);
	cr_assert_eq(reg_merge(peer, text, strlen(text), 0, 0, merged), 0);
	reg_tick(peer, REMOVAL_US);
	cr_expect_str_eq(observed_peer.server_removed, "s1");
	free(text);
	reg_destroy(reg);
	reg_destroy(peer);
}

/* The peer has read the rows in full after the removal, which that read does
 * not show. */
Test(registry, removals_that_a_peer_cannot_show_are_known_to_be_possible)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;

	reg_read_begin(peer, ROWS_SERVERS);
	change(peer, ROWS_SERVERS, "s1", "64", 12, 0);
	reg_read_end(peer, ROWS_SERVERS, 20, 0);
	text = reg_render(peer, since, SECOND_US);
	cr_assert_eq(reg_merge(reg, text, strlen(text), 0, 0, merged), 0);
	free(text);
	cr_expect_eq(reg_dropped_version(reg), 20);
	/* Removals after that are shown. */
	change(peer, ROWS_SERVERS, "s1", "32", 30, 0);
	since[ROWS_SERVERS] = reg_version(reg, ROWS_SERVERS);
	text = reg_render(peer, since, SECOND_US);
	cr_assert_eq(reg_merge(reg, text, strlen(text), 0, 0, merged), 0);
	free(text);
	cr_expect_eq(reg_version(reg, ROWS_SERVERS), 30);
	cr_expect_eq(reg_dropped_version(reg), 20);
	reg_destroy(reg);
	reg_destroy(peer);
}

/* The age that a peer reports counts from the request. */
Test(registry, age_of_rows_is_known)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;

	cr_expect_eq(reg_age_ms(reg, ROWS_HOSTS, 9 * SECOND_US), UINT64_MAX);
	reg_current(reg, ROWS_HOSTS, 1, 2 * SECOND_US);
	cr_expect_eq(reg_age_ms(reg, ROWS_HOSTS, 5 * SECOND_US), 3000);
	reg_current(peer, ROWS_HOSTS, 1, 4 * SECOND_US);
	text = reg_render(peer, since, 5 * SECOND_US);
	cr_assert_eq(reg_merge(reg, text, strlen(text), 7 * SECOND_US,
			 8 * SECOND_US, merged),
	    0);
	free(text);
	cr_expect_eq(reg_age_ms(reg, ROWS_HOSTS, 8 * SECOND_US), 2000);
	cr_expect_eq(reg_age_ms(reg, ROWS_SERVERS, 8 * SECOND_US), UINT64_MAX);
	reg_destroy(reg);
	reg_destroy(peer);
}

/* A peer's delayed reply has a row that the store has removed since. */
Test(registry, removed_row_is_not_restored_by_a_lagging_peer)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;

	reg_read_begin(peer, ROWS_HOSTS);
	change(peer, ROWS_HOSTS, "h1", "8", 7, 0);
	reg_read_end(peer, ROWS_HOSTS, 7, 0);
	change(peer, ROWS_HOSTS, "h3", "8", 11, 0);
	reg_read_begin(reg, ROWS_HOSTS);
	change(reg, ROWS_HOSTS, "h2", "8", 9, 0);
	reg_read_end(reg, ROWS_HOSTS, 10, 0);
	text = reg_render(peer, since, SECOND_US);
	cr_assert_eq(
	    reg_merge(reg, text, strlen(text), SECOND_US, SECOND_US, merged),
	    0);
	free(text);
	cr_expect_eq(observed.hosts, 2, "h2 of the store and h3 of the peer");
	cr_expect_eq(reg_version(reg, ROWS_HOSTS), 11);
	reg_destroy(reg);
	reg_destroy(peer);
}

Test(registry, full_read_removes_a_row_that_only_a_peer_has)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;

	change(reg, ROWS_HOSTS, "h1", "8", 7, 0);
	change(peer, ROWS_HOSTS, "h1", "8", 7, 0);
	reg_read_begin(reg, ROWS_HOSTS);
	text = reg_render(peer, since, SECOND_US);
	cr_assert_eq(
	    reg_merge(reg, text, strlen(text), SECOND_US, SECOND_US, merged),
	    0);
	free(text);
	reg_read_end(reg, ROWS_HOSTS, 10, 0);
	cr_expect_str_eq(observed.host_removed, "h1");
	reg_destroy(reg);
	reg_destroy(peer);
}

/* The rows of a full read are not in the order of their versions. */
Test(registry, full_read_that_failed_leaves_no_gap)
{
	struct observed observed, observed_peer;
	struct registry *reg = create(&observed),
			*peer = create(&observed_peer);
	uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text;

	reg_read_begin(peer, ROWS_HOSTS);
	change(peer, ROWS_HOSTS, "h1", "8", 5, 0);
	reg_read_end(peer, ROWS_HOSTS, 5, 0);
	reg_read_begin(reg, ROWS_HOSTS);
	change(reg, ROWS_HOSTS, "h9", "8", 9, 0);
	text = reg_render(peer, since, SECOND_US);
	cr_assert_eq(
	    reg_merge(reg, text, strlen(text), SECOND_US, SECOND_US, merged),
	    0);
	free(text);
	cr_expect_eq(reg_version(reg, ROWS_HOSTS), 5);
	change(peer, ROWS_HOSTS, "h2", "8", 7, 0);
	change(peer, ROWS_HOSTS, "h9", "8", 9, 0);
	since[ROWS_HOSTS] = reg_version(reg, ROWS_HOSTS);
	text = reg_render(peer, since, SECOND_US);
	cr_assert_eq(
	    reg_merge(reg, text, strlen(text), SECOND_US, SECOND_US, merged),
	    0);
	free(text);
	cr_expect_eq(observed.hosts, 3);
	cr_expect_eq(reg_version(reg, ROWS_HOSTS), 9);
	reg_destroy(reg);
	reg_destroy(peer);
}
