/*
 * An accepted configuration change is in effect on every host within 6 s, is
 * listed once in the history and is never reverted.
 */
#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "support/cluster.h"
#include "support/standin.h"

#define CONFIG_TARGET_MS 6000
#define NOPERATORS 8

static struct clu clu;

static void
setup(void)
{
	cr_assert_eq(clu_start(&clu, NULL), 0);
}

static void
teardown(void)
{
	clu_stop(&clu);
}

TestSuite(configuration, .init = setup, .fini = teardown, .timeout = 100);

/*
 * Posts a change of one label with the given change id. Returns the HTTP
 * status.
 */
static int
change_label(int host, const char *id, json_int_t base, json_int_t *version)
{
	char ops[200];

	snprintf(ops, sizeof(ops),
	    "{\"op\": \"label\", \"kind\": \"server\", \"name\": \"s1\", "
	    "\"set\": {\"mark\": \"%s\"}}",
	    id);
	return clu_change_config(&clu, host, id, ops, base, version);
}

static void
expect_in_effect(json_int_t version, uint64_t accepted_ms)
{
	int i;

	for (i = 0; i < 3; i++) {
		while (clu_config_version(&clu, i) < version &&
		    sti_now_ms() <= accepted_ms + CONFIG_TARGET_MS)
			clu_sleep(20);
		cr_expect_geq(clu_config_version(&clu, i), version,
		    "version on host %d", i);
	}
}

/*
 * Returns the number of history entries with this change id. Checks the fields
 * of all entries.
 */
static int
count_history_entries(const char *id)
{
	struct clu_reply reply;
	const json_t *changes, *entry;
	size_t i;
	int n;

	n = 0;
	clu_http(clu.hosts[1].http_port, "GET",
	    "/v1/config/history?after=0&limit=100", NULL, NULL, 5000, &reply);
	changes = json_object_get(reply.json, "changes");
	json_array_foreach (changes, i, entry) {
		n += strcmp(sti_str(entry, "id", ""), id) == 0;
		cr_expect_neq(sti_str(entry, "who", "")[0], '\0');
		cr_expect_neq(sti_str(entry, "why", "")[0], '\0');
		cr_expect_gt(sti_int(entry, "when_ms", 0), 0);
		cr_expect_eq(sti_int(entry, "version", -1),
		    sti_int(entry, "base", -1) + 1);
		cr_expect_not_null(json_object_get(entry, "before"));
		cr_expect_not_null(json_object_get(entry, "after"));
	}
	clu_reply_free(&reply);
	return n;
}

Test(configuration, in_effect_on_all_hosts)
{
	json_int_t version;

	cr_assert_eq(change_label(1, "c1", -1, &version), 200);
	expect_in_effect(version, sti_now_ms());
	cr_expect_eq(count_history_entries("c1"), 1);
}

Test(configuration, in_effect_through_peers_without_platform)
{
	json_int_t version;

	clu_set_link_rule(&clu, "platform-h3", "\"mode\": \"refuse\"");
	cr_assert_eq(change_label(0, "c1", -1, &version), 200);
	expect_in_effect(version, sti_now_ms());
	cr_expect_neq(change_label(2, "c2", -1, NULL), 200);
	clu_set_link_rule(&clu, "platform-h3", "");
	cr_expect_leq(count_history_entries("c2"), 1);
}

struct operator
{
	pthread_t thread;
	int index;
	json_int_t base;
	int status;
};

static void *
operator_run(void *arg)
{
	struct operator* op;
	char id[16];

	op = arg;
	snprintf(id, sizeof(id), "race-%d", op->index);
	op->status = change_label(op->index % 3, id, op->base, NULL);
	return NULL;
}

Test(configuration, one_of_concurrent_changes_accepted)
{
	struct operator ops[NOPERATORS];
	json_int_t base;
	char id[16];
	int i, round, naccepted;

	for (round = 0; round < 5; round++) {
		naccepted = 0;
		base = clu_config_version(&clu, 0);
		for (i = 0; i < NOPERATORS; i++) {
			ops[i].index = round * NOPERATORS + i;
			ops[i].base = base;
			pthread_create(&ops[i].thread, NULL, operator_run,
			    &ops[i]);
		}
		for (i = 0; i < NOPERATORS; i++) {
			pthread_join(ops[i].thread, NULL);
			naccepted += ops[i].status == 200;
			cr_expect(ops[i].status == 200 || ops[i].status == 409,
			    "change: HTTP status %d", ops[i].status);
		}
		cr_expect_eq(naccepted, 1, "%d changes accepted", naccepted);
		for (i = 0; i < NOPERATORS; i++) {
			snprintf(id, sizeof(id), "race-%d", ops[i].index);
			cr_expect_eq(count_history_entries(id),
			    ops[i].status == 200);
		}
		expect_in_effect(base + 1, sti_now_ms());
	}
}

Test(configuration, lost_reply_resolved)
{
	json_int_t version, repeated_version;

	clu_set_platform_mode(&clu, "\"mode\": \"lose_reply\", \"count\": 1");
	cr_expect_eq(change_label(0, "c1", -1, &version), 200);
	clu_set_platform_mode(&clu, "\"mode\": \"ok\"");
	/* A repeated change id returns the version of the first one. */
	cr_expect_eq(change_label(1, "c1", -1, &repeated_version), 200);
	cr_expect_eq(repeated_version, version);
	cr_expect_eq(count_history_entries("c1"), 1);
	expect_in_effect(version, sti_now_ms());
}

Test(configuration, restart_without_platform)
{
	json_int_t version;

	cr_assert_eq(change_label(0, "c1", -1, &version), 200);
	clu_set_platform_mode(&clu, "\"mode\": \"refuse\"");
	clu_host_signal(&clu, 2, SIGKILL);
	cr_assert_eq(clu_host_start(&clu, 2), 0);
	cr_assert_eq(clu_host_ready(&clu, 2, CLU_WAIT_MS), 0);
	cr_expect_geq(clu_config_version(&clu, 2), version);
}

/*
 * A restarted host has no configuration until it reaches the platform or a
 * peer, and is not ready before that.
 */
Test(configuration, restart_without_any_source)
{
	struct clu_reply reply;

	clu_set_platform_mode(&clu, "\"mode\": \"refuse\"");
	clu_set_link_rule(&clu, "peer-*", "\"mode\": \"refuse\"");
	clu_host_signal(&clu, 2, SIGKILL);
	cr_assert_eq(clu_host_start(&clu, 2), 0);
	clu_sleep(1000);
	clu_http(clu.hosts[2].http_port, "GET", "/readyz", NULL, NULL, 2000,
	    &reply);
	cr_expect_eq(reply.status, 503);
	clu_reply_free(&reply);
	clu_set_link_rule(&clu, "peer-*", "");
	clu_set_platform_mode(&clu, "\"mode\": \"ok\"");
	cr_expect_eq(clu_host_ready(&clu, 2, CLU_WAIT_MS), 0);
}

/*
 * While the platform returns stale reads, no host goes back to an older
 * version, not even a restarted one.
 */
Test(configuration, stale_reads)
{
	json_int_t version;
	int i, n;

	clu_set_platform_mode(&clu, "\"mode\": \"stale\"");
	cr_assert_eq(change_label(0, "c1", -1, &version), 200);
	expect_in_effect(version, sti_now_ms());
	clu_host_signal(&clu, 2, SIGKILL);
	cr_assert_eq(clu_host_start(&clu, 2), 0);
	cr_assert_eq(clu_host_ready(&clu, 2, CLU_WAIT_MS), 0);
	expect_in_effect(version, sti_now_ms());
	for (n = 0; n < 100; n++) {
		for (i = 0; i < 3; i++)
			cr_expect_geq(clu_config_version(&clu, i), version);
		clu_sleep(30);
	}
}
