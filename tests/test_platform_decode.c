/*
 * Rows of the platform's store that another writer has left among those of the
 * backend servers: the odd row names no server, and the others are used. The
 * readers are that of whole tables, of single changes, and of a peer's rows.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "entry/jobs/registry.h"
#include "platform/platform.h"

#define DEPTH 200000 /* of a nested row */
#define REMOVAL_US 2500000

#define ROW(address, capacity, born)                                     \
	"{\"service\":\"booth\",\"address\":" address ",\"zone\":\"a\"," \
	"\"state\":\"ready\",\"capacity\":" capacity                     \
	",\"labels\":[\"a\",\"r\""                                       \
	"],\"born\":" born "}"
#define CAPACITY "{\"cpu\":64000,\"mem_mb\":1024,\"gpus\":0}"
#define GOOD_ROW ROW("\"10.0.0.1:80\"", CAPACITY, "1000")

static const char *const odd_rows[] = {
	ROW("\"10.0.0.1:0\"", CAPACITY, "1000"),
	ROW("\"10.0.0.1:-1\"", CAPACITY, "1000"),
	ROW("\"10.0.0.1:65536\"", CAPACITY, "1000"),
	/* 80 modulo 2^32, and more than any integer can hold. */
	ROW("\"10.0.0.1:4294967376\"", CAPACITY, "1000"),
	ROW("\"10.0.0.1:99999999999999999999999999\"", CAPACITY, "1000"),
	ROW("\"10.0.0.1:80x\"", CAPACITY, "1000"),
	ROW("\"10.0.0.1: 80\"", CAPACITY, "1000"),
	ROW("\"10.0.0.1:\"", CAPACITY, "1000"),
	ROW("\"10.0.0.1\"", CAPACITY, "1000"),
	ROW("\":80\"", CAPACITY, "1000"),
	ROW("\"server.example:80\"", CAPACITY, "1000"),
	ROW("\"10.0.0.256:80\"", CAPACITY, "1000"),
	ROW("80", CAPACITY, "1000"),
	ROW("\"10.0.0.1:80\"", CAPACITY, "99999999999999999999999999"),
	ROW("\"10.0.0.1:80\"", CAPACITY, "1e999"),
	ROW("\"10.0.0.1:80\"", CAPACITY, "-1"),
	ROW("\"10.0.0.1:80\"", CAPACITY, "\"1000\""),
	ROW("\"10.0.0.1:80\"", "{\"cpu\":99999999999999999999999}", "1000"),
	ROW("\"10.0.0.1:80\"", "{\"cpu\":1e999}", "1000"),
	ROW("\"10.0.0.1:80\"", "{\"cpu\":-1e999}", "1000"),
	ROW("\"10.0.0.1:80\"", "[]", "1000"),
	"",
	"[",
	"\xff\xfe",
	"null",
};
#define NODD (sizeof(odd_rows) / sizeof(odd_rows[0]))

/* Servers that the registry reports; indexed by the digit in "s1". */
struct observed {
	bool known[10];
};

static void
on_server(void *arg, const struct reg_server *server)
{
	((struct observed *)arg)->known[server->id[1] - '0'] = true;
}

static void
on_server_removed(void *arg, const char *id)
{
	((struct observed *)arg)->known[id[1] - '0'] = false;
}

static struct registry *
create(struct observed *observed)
{
	const struct reg_listener listener = { .server = on_server,
		.server_removed = on_server_removed,
		.arg = observed };

	memset(observed, 0, sizeof(*observed));
	return reg_create(&platform_row_decoders, &listener);
}

static void
change(struct registry *reg, const char *key, const char *value,
    uint64_t version)
{
	const struct rows_change row = { .table = ROWS_SERVERS,
		.key = key,
		.value = value,
		.value_len = strlen(value),
		.version = version };

	reg_row_changed(reg, &row, 1);
}

/* Expects that, of s1 to s3, only s2 with the odd row is not known. */
static void
expect_others_known(const struct observed *observed, const char *reader,
    const char *row)
{
	cr_expect(observed->known[1] && observed->known[3], "%s, %.120s",
	    reader, row);
	cr_expect_not(observed->known[2], "%s, %.120s", reader, row);
}

/* Another host reads all rows of @reg, as a peer of this one. */
static void
expect_peer_reads_others(const struct registry *reg, const char *row)
{
	const uint64_t since[ROWS_NTABLES] = { 0 };
	bool merged[ROWS_NTABLES];
	char *text = reg_render(reg, since, 2);
	struct observed observed;
	struct registry *peer = create(&observed);

	cr_expect_eq(reg_merge(peer, text, strlen(text), 3, 3, merged), 0,
	    "%.120s", row);
	expect_others_known(&observed, "peer", row);
	reg_destroy(peer);
	free(text);
}

static void
expect_row_is_odd(const char *row)
{
	struct observed observed;
	struct registry *reg = create(&observed);

	reg_read_begin(reg, ROWS_SERVERS);
	change(reg, "s1", GOOD_ROW, 1);
	change(reg, "s2", row, 2);
	change(reg, "s3", GOOD_ROW, 3);
	reg_read_end(reg, ROWS_SERVERS, 3, 1);
	expect_others_known(&observed, "whole table", row);
	expect_peer_reads_others(reg, row);
	/* A server's row becomes odd, and the next changes are followed. */
	change(reg, "s2", GOOD_ROW, 4);
	cr_expect(observed.known[2]);
	change(reg, "s2", row, 5);
	expect_others_known(&observed, "single change", row);
	change(reg, "s4", GOOD_ROW, 6);
	cr_expect(observed.known[4], "%.120s", row);
	expect_peer_reads_others(reg, row);
	change(reg, "s2", GOOD_ROW, 7);
	cr_expect(observed.known[2], "%.120s", row);
	reg_destroy(reg);
}

Test(platform_decode, odd_row_of_a_server_is_not_used_and_others_are)
{
	size_t i;

	for (i = 0; i < NODD; i++)
		expect_row_is_odd(odd_rows[i]);
}

Test(platform_decode, deeply_nested_row_is_not_used_and_others_are)
{
	static const char *const parts[] = { "[", "{\"a\":" };
	size_t i, n, len;
	char *row;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		len = strlen(parts[i]);
		row = mem_zalloc(DEPTH * len + 1, 1);
		for (n = 0; n < DEPTH; n++)
			memcpy(row + n * len, parts[i], len);
		expect_row_is_odd(row);
		free(row);
	}
}

Test(platform_decode, fields_of_a_server_are_decoded)
{
	struct reg_server server;

	cr_assert_eq(platform_row_decoders.server("s1", GOOD_ROW,
			 strlen(GOOD_ROW), &server),
	    0);
	cr_expect_str_eq(server.address, "10.0.0.1");
	cr_expect_eq(server.port, 80);
	cr_expect_eq(server.cpu, 64000);
	cr_expect_eq(server.incarnation_start_ms, 1000);
	cr_expect_str_eq(server.rack, "r");
}

/* Of two processes of a host, each must know its own row. */
Test(platform_decode, row_of_a_host_names_its_process)
{
	static const char former[] =
	    "{\"az\":\"a\",\"address\":\"10.0.0.1\",\"port\":80}";
	struct reg_host host = { .az = "a",
		.address = "10.0.0.1",
		.port = 80,
		.weight = 250,
		.incarnation = UINT64_C(0xfedcba9876543210) };
	char *text = platform_encode_host_row(&host);
	struct reg_host decoded;

	cr_assert_eq(
	    platform_row_decoders.host("h", text, strlen(text), &decoded), 0);
	cr_expect_eq(decoded.incarnation, host.incarnation);
	cr_expect_eq(decoded.weight, host.weight);
	cr_assert_eq(
	    platform_row_decoders.host("h", former, strlen(former), &decoded),
	    0);
	cr_expect_eq(decoded.incarnation, 0);
	free(text);
}
