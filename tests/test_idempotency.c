#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "tests/support/api_rig.h"

/*
 * Idempotency keys chosen by clients: a submission is started at most once,
 * whichever requests to the table fail.
 */

TestSuite(idempotency, .init = rig_setup_simulated, .fini = rig_teardown);

static void
post(int host, const char *key, struct rig_reply *reply)
{
	rig_send(host, API_POST, "/v1/jobs", "wait=5000", key, rig_job(NULL, 1),
	    reply);
}

static void
check_one_answer(struct rig_reply *replies, size_t n)
{
	size_t i;

	cr_assert_eq(fake_engine.n, 1, "%zu starts", fake_engine.n);
	fake_engine_end(0, TASK_DONE);
	rig_run_loop(20);
	for (i = 0; i < n; i++) {
		cr_assert_eq(replies[i].n, 1);
		cr_assert_str_eq(replies[i].outcome, "complete");
		cr_assert_str_eq(replies[i].body, replies[0].body);
	}
	while (n > 0)
		rig_reply_free(&replies[--n]);
}

Test(idempotency, nothing_starts_before_the_claim)
{
	struct rig_reply reply = { 0 };

	post(0, "k", &reply);
	cr_assert_eq(fake_engine.n, 0);
	rig_run_loop(20);
	check_one_answer(&reply, 1);
	cr_assert_eq(rig.table.nwrites, 1);
	cr_assert_str_eq(rig.table.rows[0].pk, "claim#k");
}

Test(idempotency, same_key_at_one_host_starts_once)
{
	struct rig_reply r[3] = { { 0 } };

	post(0, "k", &r[0]);
	post(0, "k", &r[1]);
	rig_run_loop(20);
	post(0, "k", &r[2]);
	check_one_answer(r, 3);
	cr_assert_eq(rig.table.nwrites, 1);
}

Test(idempotency, same_key_at_two_hosts_starts_once)
{
	struct rig_reply r[3] = { { 0 } };

	post(0, "k", &r[0]);
	post(1, "k", &r[1]);
	rig_run_loop(30);
	post(1, "k", &r[2]);
	rig_run_loop(30);
	check_one_answer(r, 3);
}

Test(idempotency, claims_are_committed_in_groups)
{
	struct rig_reply r[20] = { { 0 } };
	char key[16];
	size_t i;

	for (i = 0; i < 20; i++) {
		snprintf(key, sizeof(key), "k%zu", i);
		post(0, key, &r[i]);
	}
	rig_run_loop(20);
	cr_assert_eq(fake_engine.n, 20);
	cr_assert_eq(rig.table.nwrites, 1);
	for (i = 0; i < 20; i++) {
		fake_engine_end(i, TASK_DONE);
		rig_reply_free(&r[i]);
	}
}

Test(idempotency, conflict_of_one_key_does_not_delay_the_others)
{
	struct rig_reply r[3] = { { 0 } };
	size_t i;

	post(1, "taken", &r[0]);
	rig_run_loop(20);
	post(0, "taken", &r[1]);
	post(0, "free", &r[2]);
	rig_run_loop(30);
	cr_assert_eq(fake_engine.n, 2);
	fake_engine_end(0, TASK_DONE);
	fake_engine_end(1, TASK_DONE);
	cr_assert_str_eq(r[0].body, r[1].body);
	cr_assert_str_neq(r[2].body, r[1].body);
	for (i = 0; i < 3; i++)
		rig_reply_free(&r[i]);
}

Test(idempotency, lost_reply_after_the_write_is_settled_by_reading)
{
	struct rig_reply reply = { 0 };

	rig.table.write_fault = RIG_LOST_AFTER;
	rig.table.nfaults = 1;
	post(0, "k", &reply);
	rig_run_loop(30);
	check_one_answer(&reply, 1);
	cr_assert_eq(rig.table.nwrites, 1,
	    "the claim must be settled by reading the row");
}

Test(idempotency, lost_reply_before_the_write_is_settled_by_writing)
{
	struct rig_reply reply = { 0 };

	rig.table.write_fault = RIG_LOST_BEFORE;
	rig.table.nfaults = 2;
	post(0, "k", &reply);
	rig_run_loop(60);
	check_one_answer(&reply, 1);
	cr_assert_eq(rig.table.nwrites, 3);
}

Test(idempotency, lost_reply_and_another_claimant)
{
	struct rig_reply r[2] = { { 0 } };

	rig.table.write_fault = RIG_LOST_BEFORE;
	rig.table.nfaults = 1;
	post(0, "k", &r[0]);
	post(1, "k", &r[1]);
	rig_run_loop(60);
	check_one_answer(r, 2);
}

Test(idempotency, unavailable_table_is_outcome_unknown_with_a_ticket)
{
	struct rig_reply reply = { 0 };

	rig.table.write_fault = RIG_UNAVAILABLE;
	rig.table.nfaults = 1;
	post(0, "k", &reply);
	rig_run_loop(20);
	cr_assert_eq(reply.n, 1);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	cr_assert(strstr(reply.body, "\"step\":\"table\""));
	cr_assert(strstr(reply.ticket, "~e1~"));
	cr_assert_eq(fake_engine.n, 0);
	rig_reply_free(&reply);
	post(0, "k", &reply);
	rig_run_loop(20);
	check_one_answer(&reply, 1);
}

Test(idempotency, conflicting_transaction_is_retried_up_to_a_limit)
{
	struct rig_reply reply = { 0 };

	rig.table.write_fault = RIG_CONFLICT;
	rig.table.nfaults = 1;
	post(0, "k", &reply);
	rig_run_loop(30);
	check_one_answer(&reply, 1);
	rig.table.nfaults = 1000;
	post(0, "l", &reply);
	rig_run_loop(100);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	cr_assert_eq(fake_engine.n, 1);
	cr_assert_leq(rig.table.nwrites, 6);
	rig_reply_free(&reply);
}

/*
 * The write of an aborted claim was executed, although its reply was lost and
 * reads failed. Another host that finds the row must get the outcome "not-run".
 */
Test(idempotency, aborted_claim_never_starts)
{
	struct rig_reply reply = { 0 };

	rig.table.write_fault = RIG_LOST_AFTER;
	rig.table.read_fault = RIG_UNAVAILABLE;
	rig.table.nfaults = 1000;
	post(0, "k", &reply);
	rig_run_loop(700);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	rig_reply_free(&reply);
	rig.table.nfaults = 0;
	post(1, "k", &reply);
	rig_run_loop(50);
	cr_assert_str_eq(reply.outcome, "not-run", "%s", reply.body);
	cr_assert_eq(fake_engine.n, 0);
	rig_reply_free(&reply);
}

Test(idempotency, ended_claimant_is_outcome_unknown)
{
	struct rig_reply reply = { 0 };

	rig_table_put(&rig.table, "claim#k",
	    "{\"ticket\":\"surat~e9~9~1~00112233445566778899aabbccddeeff\","
	    "\"nonce\":\"1\"}");
	rig.peers[0].target = NULL;
	rig.peers[0].code = ERR_NOT_FOUND;
	post(0, "k", &reply);
	rig_run_loop(30);
	cr_assert_str_eq(reply.outcome, "outcome-unknown");
	cr_assert_eq(fake_engine.n, 0);
	rig_reply_free(&reply);
}

Test(idempotency, abandoned_request_gets_no_reply_but_its_claim_continues)
{
	struct rig_reply abandoned = { 0 }, later = { 0 };

	post(0, "k", &abandoned);
	api_abandon(rig.api[0], &abandoned);
	rig_run_loop(20);
	post(0, "k", &later);
	cr_assert_eq(abandoned.n, 0);
	check_one_answer(&later, 1);
}

Test(idempotency, invalid_keys_are_refused)
{
	static const char *const keys[] = { "", "a b", "\x7f", "ä" };
	char longest[KEY_SIZE + 1], ticket[TICKET_SIZE];
	struct rig_reply reply = { 0 };
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		post(0, keys[i], &reply);
		cr_assert_eq(reply.status, 400);
		rig_reply_free(&reply);
	}
	memset(longest, 'k', sizeof(longest));
	longest[KEY_SIZE] = '\0';
	post(0, longest, &reply);
	cr_assert_eq(reply.status, 400);
	rig_reply_free(&reply);
	rig_ticket(0, ticket);
	rig_send(0, API_POST, "/v1/jobs", NULL, "k", rig_job(ticket, 1),
	    &reply);
	cr_assert_eq(reply.status, 400,
	    "a request must not have both a ticket and a key");
	cr_assert_eq(fake_engine.n, 0);
	rig_reply_free(&reply);
}
