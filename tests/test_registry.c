/*
 * What an entry host knows from the store: rows by two ways, that never go
 * back; servers that are missing for a while; queues by prefix.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "entry/jobs/registry.h"

#define S_US 1000000ULL
#define GONE_US (3 * S_US) /* longer than a lapsed row takes to come back */

struct told {
	int configs, servers, hosts;
	char server_gone[NAME_SIZE];
	char host_gone[NAME_SIZE];
	struct reg_server server;
};

/* Formats of this test: a configuration is "VERSION PREFIX PREFIX". */
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

/* A server is its processor share, a host its weight. */
static int
decode_server(const char *key, const char *value, size_t len,
    struct reg_server *server)
{
	(void)len;
	memset(server, 0, sizeof(*server));
	strlcpy(server->id, key, sizeof(server->id));
	server->cpu = atoi(value);
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
told_config(void *arg, const struct reg_config *config)
{
	(void)config;
	((struct told *)arg)->configs++;
}

static void
told_server(void *arg, const struct reg_server *server)
{
	struct told *told = arg;

	told->servers++;
	told->server = *server;
}

static void
told_server_gone(void *arg, const char *id)
{
	strlcpy(((struct told *)arg)->server_gone, id, NAME_SIZE);
}

static void
told_host(void *arg, const struct reg_host *host)
{
	(void)host;
	((struct told *)arg)->hosts++;
}

static void
told_host_gone(void *arg, const char *name)
{
	strlcpy(((struct told *)arg)->host_gone, name, NAME_SIZE);
}

static struct registry *
create(struct told *told)
{
	const struct reg_decoder decode = { decode_config, decode_server,
		decode_host };
	const struct reg_listener listener = { .config = told_config,
		.server = told_server,
		.server_gone = told_server_gone,
		.host = told_host,
		.host_gone = told_host_gone,
		.arg = told };

	memset(told, 0, sizeof(*told));
	return reg_create(&decode, &listener);
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

Test(registry, rows_never_go_back)
{
	struct told told;
	struct registry *reg = create(&told);

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_SERVERS, "s1", "32", 9, 0);
	change(reg, ROWS_SERVERS, "s1", NULL, 8, 0);
	cr_expect_eq(told.servers, 1);
	cr_expect_eq(told.server.cpu, 64);
	reg_tick(reg, GONE_US);
	cr_expect_str_eq(told.server_gone, "");
	change(reg, ROWS_OPERATOR, "config", "7 /a/ /b/", 11, 0);
	change(reg, ROWS_OPERATOR, "config", "5 /c/ /d/", 12, 0);
	cr_expect_eq(reg_config(reg)->version, 7);
	cr_expect_eq(told.configs, 1);
	reg_destroy(reg);
}

/* While the store is away its rows may lapse, and come back. */
Test(registry, server_is_gone_only_after_a_while)
{
	struct told told;
	struct registry *reg = create(&told);

	change(reg, ROWS_SERVERS, "s1", "64", 1, 0);
	change(reg, ROWS_SERVERS, "s2", "64", 2, 0);
	change(reg, ROWS_SERVERS, "s1", NULL, 3, S_US);
	reg_read_begin(reg, ROWS_SERVERS);
	reg_read_end(reg, ROWS_SERVERS, S_US);
	reg_tick(reg, 2 * S_US);
	cr_expect_str_eq(told.server_gone, "");
	change(reg, ROWS_SERVERS, "s2", "64", 5, 2 * S_US);
	reg_tick(reg, S_US + GONE_US);
	cr_expect_str_eq(told.server_gone, "s1");
	reg_destroy(reg);
}

Test(registry, row_that_cannot_be_read_names_nothing_to_use)
{
	struct told told;
	struct registry *reg = create(&told);

	change(reg, ROWS_SERVERS, "s1", "64", 1, 0);
	change(reg, ROWS_SERVERS, "s2", "64", 2, 0);
	change(reg, ROWS_SERVERS, "s1", "?", 3, 0);
	cr_expect_str_eq(told.server_gone, "s1");
	change(reg, ROWS_OPERATOR, "config", "7 /a/ /b/", 4, 0);
	change(reg, ROWS_OPERATOR, "config", "{", 5, 0);
	cr_expect_eq(reg_config(reg)->version, 7, "the last good one holds");
	change(reg, ROWS_HOSTS, "h1", "?", 6, 0);
	cr_expect_eq(told.hosts, 0);
	change(reg, ROWS_HOSTS, "h1", NULL, 7, 0);
	cr_expect_str_eq(told.host_gone, "h1");
	reg_destroy(reg);
}

Test(registry, longest_prefix_names_the_queue)
{
	struct told told;
	struct registry *reg = create(&told);
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

/* For a host that the store turns away. */
Test(registry, peer_takes_what_is_newer)
{
	struct told told, told_peer;
	struct registry *reg = create(&told), *peer = create(&told_peer);
	char *text;

	change(reg, ROWS_SERVERS, "s1", "64", 10, 0);
	change(reg, ROWS_SERVERS, "s2", "32", 20, 0);
	change(reg, ROWS_HOSTS, "h1", NULL, 21, 0);
	change(peer, ROWS_SERVERS, "s1", "16", 30, 0);
	text = reg_render(reg, 0);
	cr_expect_eq(reg_merge(peer, text, strlen(text), 0), 0);
	cr_expect_eq(told_peer.servers, 2);
	cr_expect_eq(told_peer.server.cpu, 32);
	cr_expect_eq(reg_version(peer), 30);
	free(text);
	text = reg_render(reg, 20);
	cr_expect_null(strstr(text, "s2"));
	cr_expect_eq(reg_merge(peer, "{}", 2, 0), -1);
	free(text);
	reg_destroy(reg);
	reg_destroy(peer);
}
