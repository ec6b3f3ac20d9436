/*
 * Tests of the API of one entry host with a fake engine: replies, answers of
 * tickets, and refusals.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "entry/refusals.h"
#include "tests/support/api_rig.h"

TestSuite(api, .init = rig_setup_simulated, .fini = rig_teardown);

static void
post_job(int host, const char *ticket, const char *query,
    struct rig_reply *reply)
{
	rig_send(host, API_POST, "/v1/jobs", query, NULL, rig_job(ticket, 2),
	    reply);
}

static const char *
job_path(const char *ticket)
{
	static char path[TICKET_SIZE + 16];

	snprintf(path, sizeof(path), "/v1/jobs/%s", ticket);
	return path;
}

Test(api, job_answer_is_the_same_when_requested_by_id)
{
	struct rig_reply posted = { 0 }, fetched = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	post_job(0, ticket, "wait=1000", &posted);
	cr_assert_eq(posted.n, 0);
	fake_engine_end(0, TASK_DONE);
	cr_assert_eq(posted.n, 1);
	cr_assert_eq(posted.status, 200);
	cr_assert_str_eq(posted.outcome, "complete");
	cr_assert_neq(posted.ticket[0], '\0', "the reply has no next ticket");
	cr_assert(strstr(posted.body, "\"body\":\"t1\""));
	cr_assert(strstr(posted.body, "\"digest\":\""));
	rig_send(0, API_GET, job_path(ticket), NULL, NULL, NULL, &fetched);
	cr_assert_str_eq(fetched.body, posted.body);
	rig_reply_free(&posted);
	rig_reply_free(&fetched);
}

Test(api, running_job_gets_status_202_without_wait)
{
	struct rig_reply reply = { 0 };

	post_job(0, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 202);
	cr_assert(strstr(reply.body, "\"state\":\"running\""));
	rig_reply_free(&reply);
	post_job(0, NULL, "wait=1", &reply);
	cr_assert_eq(reply.n, 0);
	rig_run_loop(20);
	cr_assert_eq(reply.status, 202);
	rig_reply_free(&reply);
}

Test(api, resubmission_joins_the_execution)
{
	struct rig_reply r[3] = { { 0 } };
	char ticket[TICKET_SIZE];
	int i;

	rig_ticket(0, ticket);
	for (i = 0; i < 2; i++)
		post_job(0, ticket, "wait=1000", &r[i]);
	cr_assert_eq(fake_engine.n, 1);
	fake_engine_end(0, TASK_DONE);
	post_job(0, ticket, NULL, &r[2]);
	cr_assert_eq(fake_engine.n, 1);
	for (i = 0; i < 3; i++) {
		cr_assert_eq(r[i].n, 1);
		cr_assert_str_eq(r[i].body, r[0].body);
	}
	for (i = 0; i < 3; i++)
		rig_reply_free(&r[i]);
}

Test(api, expired_ticket_is_outcome_unknown_and_not_run_again)
{
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	post_job(0, ticket, NULL, &reply);
	fake_engine_end(0, TASK_DONE);
	rig_reply_free(&reply);
	rig.clock.us += 61 * 1000000ULL;
	rig_run_loop(1100);
	post_job(0, ticket, NULL, &reply);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	cr_assert_eq(fake_engine.n, 1);
	cr_assert_neq(reply.ticket[0], '\0', "the reply has no next ticket");
	rig_reply_free(&reply);
}

Test(api, abandoned_request_gets_no_reply_but_its_job_continues)
{
	struct rig_reply abandoned = { 0 }, later = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	post_job(0, ticket, "wait=1000", &abandoned);
	api_abandon(rig.api[0], &abandoned);
	fake_engine_end(0, TASK_DONE);
	cr_assert_eq(abandoned.n, 0);
	rig_send(0, API_GET, job_path(ticket), NULL, NULL, NULL, &later);
	cr_assert_str_eq(later.outcome, "complete");
	rig_reply_free(&later);
}

Test(api, lost_task_makes_the_outcome_unknown)
{
	struct rig_reply reply = { 0 };

	post_job(0, NULL, "wait=1000", &reply);
	fake_engine_end(0, TASK_LOST);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	cr_assert(strstr(reply.body, "\"peer\":\"s1\""));
	rig_reply_free(&reply);
}

Test(api, refused_submission_consumes_its_ticket)
{
	static const struct {
		enum err_code code;
		int status;
	} cases[] = { { ERR_OVERLOAD, 503 }, { ERR_NOT_FOUND, 404 },
		{ ERR_NO_SERVER, 422 }, { ERR_TOO_LARGE, 413 },
		{ ERR_DEADLINE, 503 }, { ERR_INVALID, 400 },
		{ ERR_NO_MEMORY, 503 } };
	struct rig_reply first = { 0 }, again = { 0 };
	char ticket[TICKET_SIZE];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_ticket(0, ticket);
		fake_engine.refuse_code = cases[i].code;
		post_job(0, ticket, NULL, &first);
		cr_assert_eq(first.status, cases[i].status);
		cr_assert_str_eq(first.outcome, "not-run");
		fake_engine.refuse_code = ERR_OK;
		post_job(0, ticket, NULL, &again);
		cr_assert_str_eq(again.outcome, "not-run");
		cr_assert_eq(fake_engine.n, 0,
		    "a ticket with the outcome \"not-run\" was started");
		rig_reply_free(&first);
		rig_reply_free(&again);
	}
}

Test(api, cancelled_ticket_never_starts)
{
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	rig_send(0, API_DELETE, job_path(ticket), NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 200);
	cr_assert_str_eq(reply.outcome, "not-run");
	rig_reply_free(&reply);
	post_job(0, ticket, NULL, &reply);
	cr_assert_str_eq(reply.outcome, "not-run");
	cr_assert_eq(fake_engine.n, 0);
	rig_reply_free(&reply);
}

Test(api, running_job_is_cancelled)
{
	struct rig_reply posted = { 0 }, reply = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	post_job(0, ticket, "wait=1000", &posted);
	rig_send(0, API_DELETE, job_path(ticket), NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 202);
	cr_assert_eq(fake_engine.ncancelled, 1);
	cr_assert_str_eq(posted.outcome, "not-run");
	rig_reply_free(&posted);
	rig_reply_free(&reply);
}

Test(api, single_request_returns_the_servers_body)
{
	struct rig_reply reply = { 0 };

	rig_send(0, API_POST, "/v1/services/booth/requests", NULL, NULL, "wax",
	    &reply);
	cr_assert(fake_engine.subms[0]->single);
	cr_assert_str_eq(fake_engine.subms[0]->job, "booth");
	fake_engine_end(0, TASK_DONE);
	cr_assert_eq(reply.status, 200);
	cr_assert_str_eq(reply.body, "wax");
	cr_assert_str_eq(reply.outcome, "complete");
	rig_reply_free(&reply);
}

Test(api, single_request_with_a_ticket_runs_once)
{
	struct rig_reply r[2] = { { 0 } };
	char ticket[TICKET_SIZE], query[TICKET_SIZE + 8];

	rig_ticket(0, ticket);
	snprintf(query, sizeof(query), "ticket=%s", ticket);
	rig_send(0, API_POST, "/v1/services/b/requests", query, NULL, "wax",
	    &r[0]);
	fake_engine_end(0, TASK_LOST);
	rig_send(1, API_POST, "/v1/services/b/requests", query, NULL, "wax",
	    &r[1]);
	cr_assert_eq(fake_engine.n, 1);
	cr_assert_str_eq(r[0].outcome, "outcome-unknown");
	cr_assert_str_eq(r[1].body, r[0].body);
	rig_reply_free(&r[0]);
	rig_reply_free(&r[1]);
}

Test(api, readyz_depends_on_configuration_and_host_label)
{
	struct rig_reply reply = { 0 };

	rig_send(0, API_GET, "/readyz", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 200);
	fake_engine.host_leaving = true;
	rig_send(0, API_GET, "/readyz", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 503);
	fake_engine.host_leaving = false;
	fake_engine.config_ready = false;
	rig_send(0, API_GET, "/readyz", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 503);
	rig_send(0, API_GET, "/healthz", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 200);
	rig_send(0, API_GET, "/metrics", NULL, NULL, NULL, &reply);
	cr_assert(strstr(reply.body, "berylrail_response_seconds_bucket"));
	rig_reply_free(&reply);
}

Test(api, invalid_input_is_refused_with_its_reason)
{
	static const struct {
		const char *body;
		const char *detail;
		int status;
	} cases[] = {
		{ "", "not JSON", 400 },
		{ "{", "not JSON", 400 },
		{ "[]", "not JSON", 400 },
		{ "{}", "tasks", 400 },
		{ "{\"job\":\"j\",\"tasks\":[]}", "tasks", 400 },
		{ "{\"job\":1,\"tasks\":[{}]}", "job", 400 },
		{ "{\"tasks\":[{}]}", "job", 400 },
		{ "{\"job\":\"j\",\"tasks\":[1]}", "tasks", 400 },
		{ "{\"job\":\"j\",\"tasks\":[{\"body\":1}]}", "body", 400 },
		{ "{\"job\":\"j\",\"tasks\":[{\"run_ms\":-1}]}", "run_ms",
		    400 },
		{ "{\"job\":\"j\",\"tasks\":[{\"x\":1}]}", "unknown", 400 },
		{ "{\"job\":\"j\",\"x\":1,\"tasks\":[{}]}", "unknown", 400 },
		{ "{\"job\":\"j\",\"timeout_ms\":\"1\",\"tasks\":[{}]}",
		    "timeout_ms", 400 },
		{ "{\"job\":\"j\",\"ticket\":\"x\",\"tasks\":[{}]}",
		    "not a ticket", 400 },
		{ "{\"job\":\"j\",\"job\":\"k\",\"tasks\":[{}]}", "not JSON",
		    400 },
		{ "[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]", "too deep", 400 },
	};
	struct rig_reply reply = { 0 };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rig_send(0, API_POST, "/v1/jobs", NULL, NULL, cases[i].body,
		    &reply);
		cr_assert_eq(reply.status, cases[i].status, "%s: %d",
		    cases[i].body, reply.status);
		cr_assert(strstr(reply.body, cases[i].detail), "%s: %s",
		    cases[i].body, reply.body);
		cr_assert(strstr(reply.body, "\"step\":\"parse\""));
		cr_assert(strstr(reply.body, "127.0.0.1:9"));
		rig_reply_free(&reply);
	}
	rig_send(0, API_POST, "/v1/jobs", NULL, NULL, rig_job(NULL, 171),
	    &reply);
	cr_assert(strstr(reply.body, "too many tasks"), "%s", reply.body);
	rig_send(0, API_GET, "/v1/jobs/a~b~1~1~zz", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 400);
	rig_send(0, API_POST, "/v1/jobs", "wait=x", NULL, "{}", &reply);
	cr_assert_eq(reply.status, 400);
	rig_send(0, API_POST, "/v1/tickets", NULL, NULL, "{\"count\":257}",
	    &reply);
	cr_assert_eq(reply.status, 400);
	rig_send(0, API_GET, "/nothing", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 404);
	rig_send(0, API_OTHER, "/v1/jobs", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 405);
	cr_assert_eq(fake_engine.n, 0);
	rig_reply_free(&reply);
}

Test(api, forged_ticket_is_not_started)
{
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];
	size_t len;

	rig_ticket(0, ticket);
	len = strlen(ticket);
	ticket[len - 1] = ticket[len - 1] == '0' ? '1' : '0';
	post_job(0, ticket, NULL, &reply);
	cr_assert_str_eq(reply.outcome, "not-run");
	cr_assert_eq(fake_engine.n, 0);
	rig_reply_free(&reply);
}

Test(api, unused_ticket_has_no_answer)
{
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	rig_send(0, API_GET, job_path(ticket), NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 404);
	cr_assert_str_eq(reply.outcome, "", "the ticket may still be used");
	rig_reply_free(&reply);
}

/* Prefix of the test that checks each row; a new row needs a test. */
static const char *const test_of_refusal[REF_COUNT] = {
	[REF_PATH] = "api/invalid_input",
	[REF_METHOD] = "api/invalid_input",
	[REF_MALFORMED] = "http_server/malformed_request",
	[REF_HEADERS] = "http_server/too_many_headers",
	[REF_HEADER_BYTES] = "http_server/long_headers",
	[REF_REQUEST_TIMEOUT] = "http_server/slow_request",
	[REF_BODY_BYTES] = "http_server/oversize_body",
	[REF_JSON] = "api/invalid_input",
	[REF_NESTING] = "api/invalid_input",
	[REF_MEMBER] = "api/invalid_input",
	[REF_TASKS] = "api/invalid_input",
	[REF_KEY] = "idempotency/invalid_keys",
	[REF_TICKET] = "api/invalid_input",
	[REF_QUERY] = "api/invalid_input",
	[REF_CONNECTIONS] = "http_server/connections_are_bounded",
	[REF_NEVER_ISSUED] = "api/forged_ticket",
	[REF_ANSWER_EXPIRED] = "api/expired_ticket",
	[REF_TICKET_UNUSED] = "api/unused_ticket",
	[REF_CLAIM_CANCELLED] = "api/cancelled_ticket",
	[REF_FORWARD_TWICE] = "api_forward/request_is_forwarded_only_once",
	[REF_ISSUER_UNREACHABLE] = "api_forward/unreachable_issuer",
	[REF_ISSUER_GONE] = "api_forward/unreachable_issuer",
	[REF_ISSUER_STOPPED_NOT_RUN] = "api_forward/final_record",
	[REF_ISSUER_STOPPED_ENDED] = "api_forward/answer_not_in_the_record",
	[REF_KEY_TABLE_UNAVAILABLE] = "idempotency/unavailable_table",
	[REF_KEY_CLAIM_UNKNOWN] = "idempotency/conflicting_transaction",
	[REF_KEY_LEAVING] = "api_drain/refuses_new_work",
	[REF_KEY_CLAIM_FAILED] = "idempotency/aborted_claim",
	[REF_LEAVING] = "api_drain/refuses_new_work",
	[REF_LEAVING_TICKETS] = "api_drain/accepts_work_during_the_delay",
	[REF_DRAIN_TIMEOUT] = "api_drain/time_limit_cancels",
	[REF_ENGINE_INVALID] = "api/refused_submission",
	[REF_ENGINE_TOO_LARGE] = "api/refused_submission",
	[REF_ENGINE_NO_JOB] = "api/refused_submission",
	[REF_ENGINE_OVERLOAD] = "api/refused_submission",
	[REF_ENGINE_DEADLINE] = "api/refused_submission",
	[REF_ENGINE_NO_SERVER] = "api/refused_submission",
	[REF_ENGINE_OTHER] = "api/refused_submission",
	[REF_NO_MEMORY] = "none: its outcome is outcome-unknown",
};

Test(api, every_refusal_has_a_row_and_a_test)
{
	const struct refusal_row *row;
	int i;

	for (i = 0; i < REF_COUNT; i++) {
		row = refusal_get((enum refusal)i);
		cr_assert_not_null(row->title, "row %d", i);
		cr_assert_not_null(test_of_refusal[i], "%s", row->title);
		cr_assert_neq(row->status, 0);
		cr_assert_neq((int)row->code, ERR_OK);
		cr_assert_neq((int)row->step, ERR_STEP_NONE);
		if (row->has_outcome)
			cr_assert_neq((int)row->outcome, OUTCOME_COMPLETE);
	}
	cr_assert_neq((int)refusal_get(REF_NO_MEMORY)->outcome,
	    OUTCOME_NOT_RUN);
}
