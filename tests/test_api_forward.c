#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "tests/support/api_rig.h"

/* Tests of requests to a host that did not issue their ticket. */

TestSuite(api_forward, .init = rig_setup_simulated, .fini = rig_teardown);

static void
post_job(int host, const char *ticket, struct rig_reply *reply)
{
	rig_send(host, API_POST, "/v1/jobs", "wait=1000", NULL,
	    rig_job(ticket, 2), reply);
}

static void
get_job(int host, const char *ticket, struct rig_reply *reply)
{
	char path[TICKET_SIZE + 16];

	snprintf(path, sizeof(path), "/v1/jobs/%s", ticket);
	rig_send(host, API_GET, path, NULL, NULL, NULL, reply);
}

static void
on_drained(void *arg)
{
	*(bool *)arg = true;
}

/* Shuts host 0 down; its final record is stored. */
static void
stop_host_0(void)
{
	bool done = false;

	api_drain(rig.api[0], 0, 0, on_drained, &done);
	rig_run_loop(30);
	cr_assert(done);
	rig.peers[1].target = NULL;
	rig.peers[1].code = ERR_UNAVAILABLE;
}

Test(api_forward, issuer_runs_a_forwarded_job_once)
{
	struct rig_reply r[2] = { { 0 } };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	post_job(1, ticket, &r[0]);
	post_job(0, ticket, &r[1]);
	cr_assert_eq(fake_engine.n, 1);
	fake_engine_end(0, TASK_DONE);
	cr_assert_str_eq(r[0].outcome, "complete");
	cr_assert_str_eq(r[0].body, r[1].body);
	cr_assert(strstr(r[0].ticket, "~e2~"),
	    "the next ticket must be issued by e2");
	rig_reply_free(&r[0]);
	rig_reply_free(&r[1]);
}

Test(api_forward, request_is_forwarded_only_once)
{
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	/* Misrouting: e2 forwards to itself instead of the issuer e1. */
	rig.peers[1].target = rig.api[1];
	post_job(1, ticket, &reply);
	cr_assert_eq(rig.peers[1].nforwards, 1);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	cr_assert_eq(fake_engine.n, 0);
	rig_reply_free(&reply);
}

Test(api_forward, unreachable_issuer_is_outcome_unknown)
{
	static const enum err_code codes[] = { ERR_UNAVAILABLE, ERR_LOST,
		ERR_NOT_FOUND };
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];
	size_t i;

	rig_ticket(0, ticket);
	rig.peers[1].target = NULL;
	for (i = 0; i < 3; i++) {
		rig.peers[1].code = codes[i];
		post_job(1, ticket, &reply);
		rig_run_loop(10);
		cr_assert_str_eq(reply.outcome, "outcome-unknown");
		cr_assert(strstr(reply.body, "\"step\":\"forward\""));
		cr_assert(strstr(reply.body, "\"peer\":\"e1\""));
		cr_assert(strstr(reply.ticket, "~e2~"),
		    "the next ticket must be issued by e2");
		rig_reply_free(&reply);
		get_job(1, ticket, &reply);
		rig_run_loop(10);
		cr_assert_str_eq(reply.outcome, "outcome-unknown");
		rig_reply_free(&reply);
	}
	cr_assert_eq(fake_engine.n, 0);
}

Test(api_forward, final_record_replaces_a_stopped_issuer)
{
	struct rig_reply reply = { 0 };
	char unused[TICKET_SIZE], used[TICKET_SIZE];
	size_t i;

	rig_ticket(0, unused);
	rig_ticket(0, used);
	post_job(0, used, &reply);
	fake_engine_end(0, TASK_DONE);
	rig_reply_free(&reply);
	stop_host_0();
	for (i = 0; i < 2; i++) {
		post_job(1, unused, &reply);
		rig_run_loop(10);
		cr_assert_str_eq(reply.outcome, "not-run");
		cr_assert(strstr(reply.ticket, "~e2~"));
		rig_reply_free(&reply);
		get_job(1, used, &reply);
		rig_run_loop(10);
		cr_assert_str_eq(reply.outcome, "complete");
		cr_assert(strstr(reply.body, "\"body\":\"t1\""));
		rig_reply_free(&reply);
	}
	cr_assert_eq(fake_engine.n, 1);
	cr_assert_eq(rig.blobs.ngets, 1, "the record must be read once");
}

Test(api_forward, answer_not_in_the_record_is_outcome_unknown)
{
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	post_job(0, ticket, &reply);
	fake_engine_end(0, TASK_DONE);
	rig_reply_free(&reply);
	rig.clock.us += 61 * 1000000ULL;
	rig_run_loop(1100);
	stop_host_0();
	post_job(1, ticket, &reply);
	rig_run_loop(10);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	cr_assert_eq(fake_engine.n, 1);
	rig_reply_free(&reply);
}

Test(api_forward, failed_read_of_a_record_is_not_cached)
{
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	stop_host_0();
	rig.blobs.nfaults = 1;
	post_job(1, ticket, &reply);
	rig_run_loop(10);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	rig_reply_free(&reply);
	post_job(1, ticket, &reply);
	rig_run_loop(10);
	cr_assert_str_eq(reply.outcome, "not-run",
	    "the second read must succeed");
	rig_reply_free(&reply);
}

Test(api_forward, malformed_record_is_outcome_unknown)
{
	static const char *const malformed[] = { "", "{", "{}",
		"{\"format\":1,\"first\":1,\"next\":9,\"claimed\":\"A\"}",
		"{\"format\":1,\"first\":9,\"next\":1,\"claimed\":\"AAA=\"}",
		"{\"format\":2,\"first\":1,\"next\":1,\"claimed\":\"AA==\"}" };
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];
	size_t i;

	rig_ticket(0, ticket);
	stop_host_0();
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		rig.blobs.len = strlen(malformed[i]);
		memcpy(rig.blobs.data, malformed[i], rig.blobs.len);
		post_job(1, ticket, &reply);
		rig_run_loop(5);
		cr_assert_str_eq(reply.outcome, "outcome-unknown", "%s",
		    malformed[i]);
		rig_reply_free(&reply);
	}
}

Test(api_forward, abandoned_forwarded_request_gets_no_reply)
{
	struct rig_reply abandoned = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	post_job(1, ticket, &abandoned);
	api_abandon(rig.api[1], &abandoned);
	fake_engine_end(0, TASK_DONE);
	cr_assert_eq(abandoned.n, 0);
}
