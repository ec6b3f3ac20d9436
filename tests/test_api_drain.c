#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "tests/support/api_rig.h"

/* Tests of the planned shutdown of host 0. */

static int ndrained;

static void
on_drained(void *arg)
{
	(void)arg;
	ndrained++;
}

static void
setup(void)
{
	rig_setup_simulated();
	ndrained = 0;
}

TestSuite(api_drain, .init = setup, .fini = rig_teardown);

static void
post(const char *ticket, const char *key, struct rig_reply *reply)
{
	rig_send(0, API_POST, "/v1/jobs", "wait=1000", key, rig_job(ticket, 1),
	    reply);
}

Test(api_drain, accepts_work_during_the_delay_but_is_not_ready)
{
	struct rig_reply reply = { 0 };

	api_drain(rig.api[0], 10000, 0, on_drained, NULL);
	rig_send(0, API_GET, "/readyz", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 503);
	rig_reply_free(&reply);
	post(NULL, NULL, &reply);
	cr_assert_eq(fake_engine.n, 1);
	fake_engine_end(0, TASK_DONE);
	cr_assert_str_eq(reply.outcome, "complete");
	cr_assert_str_eq(reply.ticket, "",
	    "a host that shuts down must not issue tickets");
	rig_reply_free(&reply);
	rig_send(0, API_POST, "/v1/tickets", NULL, NULL, NULL, &reply);
	cr_assert_eq(reply.status, 503);
	rig_reply_free(&reply);
}

Test(api_drain, refuses_new_work_and_finishes_running_work)
{
	struct rig_reply running = { 0 }, refused = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(0, ticket);
	post(NULL, NULL, &running);
	api_drain(rig.api[0], 0, 0, on_drained, NULL);
	rig_run_loop(20);
	post(ticket, NULL, &refused);
	cr_assert_str_eq(refused.outcome, "not-run");
	cr_assert(strstr(refused.body, "\"code\":\"leaving\""));
	rig_reply_free(&refused);
	post(NULL, NULL, &refused);
	cr_assert_str_eq(refused.outcome, "not-run");
	rig_reply_free(&refused);
	rig_send(0, API_POST, "/v1/services/s/requests", NULL, NULL, "x",
	    &refused);
	cr_assert_str_eq(refused.outcome, "not-run");
	rig_reply_free(&refused);
	post(NULL, "key", &refused);
	cr_assert_str_eq(refused.outcome, "outcome-unknown",
	    "the key may have been used at another host");
	rig_reply_free(&refused);
	cr_assert_eq(ndrained, 0);
	fake_engine_end(0, TASK_DONE);
	cr_assert_str_eq(running.outcome, "complete");
	rig_run_loop(20);
	cr_assert_eq(ndrained, 1);
	cr_assert_eq(fake_engine.n, 1);
	rig_reply_free(&running);
}

Test(api_drain, retries_storing_the_record)
{
	rig.blobs.nfaults = 2;
	api_drain(rig.api[0], 0, 0, on_drained, NULL);
	rig_run_loop(900);
	cr_assert_eq(ndrained, 1);
	cr_assert_eq(rig.blobs.nputs, 3);
	cr_assert_str_eq(rig.blobs.name, "final/surat/e1/100");
}

Test(api_drain, stops_storing_the_record_after_5_attempts)
{
	rig.blobs.nfaults = 1000;
	api_drain(rig.api[0], 0, 0, on_drained, NULL);
	rig_run_loop(2500);
	cr_assert_eq(ndrained, 1);
	cr_assert_eq(rig.blobs.nputs, 5);
}

Test(api_drain, time_limit_cancels_running_work)
{
	struct rig_reply reply = { 0 };

	post(NULL, NULL, &reply);
	api_drain(rig.api[0], 0, 50, on_drained, NULL);
	rig_run_loop(100);
	cr_assert_eq(ndrained, 1);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	cr_assert(strstr(reply.body, "\"step\":\"drain\""));
	rig_reply_free(&reply);
}

Test(api_drain, waits_for_forwarded_calls)
{
	struct rig_reply reply = { 0 };
	char ticket[TICKET_SIZE];

	rig_ticket(1, ticket);
	post(ticket, NULL, &reply);
	api_drain(rig.api[0], 0, 0, on_drained, NULL);
	rig_run_loop(20);
	cr_assert_eq(ndrained, 0);
	fake_engine_end(0, TASK_DONE);
	rig_run_loop(20);
	cr_assert_eq(ndrained, 1);
	cr_assert_str_eq(reply.outcome, "complete");
	rig_reply_free(&reply);
}
