/* A request that must not be repeated runs at most once. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "support/cluster.h"
#include "support/parallel.h"

#define REQUEST_BYTES_MAX 600 /* longer than a request to a backend server */
#define ANSWER_BYTES_MAX 400

static struct clu clu;

static void
setup(void)
{
	struct clu_options options = { .nhosts = 1, .nservers = 2 };

	cr_assert_eq(clu_start(&clu, &options), 0);
}

static void
teardown(void)
{
	clu_stop(&clu);
}

TestSuite(non_repeatable, .init = setup, .fini = teardown, .timeout = 200);

/* One request; checks that the outcome agrees with the record. */
static void
request(const char *job, const char *uid, const char *fault, char outcome[32])
{
	struct clu_reply reply;
	char body[128], headers[64];
	int starts;

	clu_set_link_rule(&clu, "server-*", fault);
	snprintf(body, sizeof(body), "{\"uid\":\"%s\",\"pad\":\"0123456789\"}",
	    uid);
	snprintf(headers, sizeof(headers), "Berylrail-Job: %s\r\n", job);
	clu_http(clu.hosts[0].http_port, "POST", "/v1/services/booth/requests",
	    headers, body, 10000, &reply);
	starts = clu_count_starts(&clu, uid);
	snprintf(outcome, 32, "%s", reply.outcome);
	if (strcmp(job, "wax") == 0)
		cr_expect_leq(starts, 1, "%s: %d starts", fault, starts);
	if (strcmp(outcome, "complete") == 0) {
		cr_expect_geq(starts, 1, "%s: complete, no start", fault);
		cr_expect_str_eq(reply.body, body);
	} else if (strcmp(outcome, "not-run") == 0) {
		cr_expect_eq(starts, 0, "%s: not run, but started", fault);
	} else {
		cr_expect_str_eq(outcome, "outcome-unknown", "%s: %d %.200s",
		    fault, reply.status, reply.body);
	}
	clu_reply_free(&reply);
}

/*
 * Cuts at every position until the request gets through whole; each position
 * is tried on every link at once, so that a second try would be seen.
 */
static void
cut_everywhere(const char *where, int limit)
{
	char uid[32], fault[64], outcome[32];
	int at, cut;

	cut = 0;
	for (at = 0; at < limit; at++) {
		snprintf(uid, sizeof(uid), "%c%d-", where[0], at);
		snprintf(fault, sizeof(fault), "\"cut_%s_at\": %d", where, at);
		request("wax", uid, fault, outcome);
		if (strcmp(outcome, "complete") != 0)
			cut++;
		else if (at > 0)
			break;
	}
	cr_expect_lt(at, limit, "no request came through");
	cr_expect_gt(cut, 50, "%d positions", cut);
}

Test(non_repeatable, cut_at_every_byte_of_the_request)
{
	cut_everywhere("request", REQUEST_BYTES_MAX);
}

Test(non_repeatable, cut_at_every_byte_of_the_answer)
{
	cut_everywhere("answer", ANSWER_BYTES_MAX);
}

Test(non_repeatable, other_faults)
{
	static const char *const faults[] = { "\"mode\": \"lose_reply\"",
		"\"mode\": \"drop_reply\"", "\"mode\": \"drop\"",
		"\"mode\": \"freeze\"", "\"half_close_at\": 30",
		"\"mode\": \"refuse\"" };
	char uid[16], outcome[32];
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		snprintf(uid, sizeof(uid), "f%zu-", i);
		request("wax", uid, faults[i], outcome);
		cr_expect_str_neq(outcome, "complete", "%s", faults[i]);
	}
	clu_set_link_rule(&clu, "*", "");
	clu_sleep(300);
	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		snprintf(uid, sizeof(uid), "f%zu-", i);
		cr_expect_leq(clu_count_starts(&clu, uid), 1, "%s", faults[i]);
	}
}

/* What may be repeated is tried again, and then answered. */
Test(non_repeatable, repeatable_ones_are_tried_again)
{
	char outcome[32];

	request("booth", "r1-", "\"mode\": \"lose_reply\", \"shots\": 1",
	    outcome);
	cr_expect_str_eq(outcome, "complete");
}
