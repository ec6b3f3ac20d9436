/*
 * A request of a job that is not repeatable starts at most once, whatever fault
 * the connection to the backend server has, and its outcome agrees with the
 * recorded starts.
 */
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

/*
 * Sends one request with a fault on the links to all backend servers. Checks
 * that the outcome agrees with the recorded starts.
 */
static void
send_request(const char *job, const char *uid, const char *fault,
    char outcome[32])
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
		cr_expect_geq(starts, 1, "%s: complete, but not started",
		    fault);
		cr_expect_str_eq(reply.body, body);
	} else if (strcmp(outcome, "not-run") == 0) {
		cr_expect_eq(starts, 0, "%s: not-run, but started", fault);
	} else {
		cr_expect_str_eq(outcome, "outcome-unknown", "%s: %d %.200s",
		    fault, reply.status, reply.body);
	}
	clu_reply_free(&reply);
}

/*
 * Cuts the connection at each byte offset until the request completes. The
 * fault is set on the links to all servers, so that a retry, which must not
 * happen, would be recorded as a second start.
 */
static void
cut_at_each_offset(const char *direction, int offset_max)
{
	char uid[32], fault[64], outcome[32];
	int offset, ninterrupted;

	ninterrupted = 0;
	for (offset = 0; offset < offset_max; offset++) {
		snprintf(uid, sizeof(uid), "%c%d-", direction[0], offset);
		snprintf(fault, sizeof(fault), "\"cut_%s_at\": %d", direction,
		    offset);
		send_request("wax", uid, fault, outcome);
		if (strcmp(outcome, "complete") != 0)
			ninterrupted++;
		else if (offset > 0)
			break;
	}
	cr_expect_lt(offset, offset_max, "no request completed");
	cr_expect_gt(ninterrupted, 50, "%d requests interrupted", ninterrupted);
}

Test(non_repeatable, request_cut_at_each_byte)
{
	cut_at_each_offset("request", REQUEST_BYTES_MAX);
}

Test(non_repeatable, answer_cut_at_each_byte)
{
	cut_at_each_offset("answer", ANSWER_BYTES_MAX);
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
		send_request("wax", uid, faults[i], outcome);
		cr_expect_str_neq(outcome, "complete", "%s", faults[i]);
	}
	clu_set_link_rule(&clu, "*", "");
	clu_sleep(300);
	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		snprintf(uid, sizeof(uid), "f%zu-", i);
		cr_expect_leq(clu_count_starts(&clu, uid), 1, "%s", faults[i]);
	}
}

/* A repeatable request is retried after a fault and completes. */
Test(non_repeatable, repeatable_request_retried)
{
	char outcome[32];

	send_request("booth", "r1-", "\"mode\": \"lose_reply\", \"shots\": 1",
	    outcome);
	cr_expect_str_eq(outcome, "complete");
}
