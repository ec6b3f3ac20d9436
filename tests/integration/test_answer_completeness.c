/* The answer to a job is either complete or failed, never partial. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/parallel.h"
#include "support/standin.h"

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

TestSuite(answer_completeness, .init = setup, .fini = teardown, .timeout = 100);

/*
 * Checks that each task's state agrees with its recorded starts: none for
 * "not-run", otherwise one.
 */
static void
expect_states_match_starts(const struct clu_reply *reply, const char *uid)
{
	const json_t *results, *result;
	const char *state;
	char task_uid[64];
	size_t i;
	int starts;

	results = json_object_get(reply->json, "results");
	cr_expect_eq(json_array_size(results), 170);
	json_array_foreach (results, i, result) {
		state = sti_str(result, "state", "");
		snprintf(task_uid, sizeof(task_uid), "%s-%03zu", uid, i);
		starts = clu_count_starts(&clu, task_uid);
		if (strcmp(state, "not-run") == 0)
			cr_expect_eq(starts, 0, "%s: not-run, but started",
			    task_uid);
		else
			cr_expect_eq(starts, 1, "%s: starts in state %s",
			    task_uid, state);
	}
}

/*
 * Submits a job of 170 tasks, for one of which the server injects the fault
 * @action, and checks the answer.
 */
static void
submit_with_one_fault(const char *action, const char *expected_outcome)
{
	struct clu_reply reply;
	char *body;

	body = clu_job_body(NULL, "wax", action, 170, 2, action);
	clu_submit(clu.hosts[0].http_port, NULL, body, 20000, &reply);
	cr_expect_str_eq(clu_reply_str(&reply, "outcome"), expected_outcome,
	    "%s: %d %.300s", action, reply.status, reply.body);
	cr_expect_str_eq(reply.outcome, expected_outcome);
	cr_expect_eq(clu_answer_complete(&reply, action, 170),
	    strcmp(expected_outcome, "complete") == 0);
	expect_states_match_starts(&reply, action);
	clu_reply_free(&reply);
	free(body);
}

Test(answer_completeness, one_task_of_170_faulty)
{
	submit_with_one_fault("fail", "task-failed");
	submit_with_one_fault("half", "outcome-unknown");
	submit_with_one_fault("cut", "outcome-unknown");
	submit_with_one_fault("nolength", "outcome-unknown");
	submit_with_one_fault("hang", "outcome-unknown");
	submit_with_one_fault("twice", "complete");
	cr_expect_eq(clu_count_duplicates(&clu), 0);
}

/* The server replies 4 s after the start; the task's time-out is 2 s. */
Test(answer_completeness, answer_after_the_timeout)
{
	struct clu_reply reply;
	char *body;

	body = clu_job_body(NULL, "wax", "late", 1, 4000, "");
	clu_submit(clu.hosts[0].http_port, NULL, body, 20000, &reply);
	cr_expect_str_eq(reply.outcome, "outcome-unknown");
	clu_reply_free(&reply);
	free(body);
	cr_expect_eq(clu_count_starts(&clu, "late"), 1);
}

/*
 * The host is killed when all tasks have started, while the servers' replies
 * are delayed in transit.
 */
Test(answer_completeness, host_killed_before_answer)
{
	struct clu_reply reply;
	struct par par;
	char ticket[256], *body;

	clu_get_ticket(&clu, 0, ticket);
	body = clu_job_body(ticket, "booth", "a", 40, 1, "");
	clu_set_link_rule(&clu, "server-*", "\"delay_ms\": 150");
	par_start(&par, clu.hosts[0].client_link, NULL, body);
	while (clu_count_starts(&clu, "a") < 40)
		clu_sleep(5);
	clu_host_signal(&clu, 0, SIGKILL);
	par_join(&par);
	cr_expect_not(par.reply.body_complete);
	clu_reply_free(&par.reply);
	clu_submit(clu.hosts[1].http_port, NULL, body, 15000, &reply);
	cr_expect_str_eq(reply.outcome, "outcome-unknown");
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "a"), 40);
	free(body);
}

/*
 * An answer that is cut in transit is never taken as complete, and a repeated
 * request returns the complete one.
 */
Test(answer_completeness, answer_cut_at_many_offsets)
{
	struct clu_reply reply;
	char ticket[256], fault[64], path[300], *body;
	size_t offset, len;

	clu_get_ticket(&clu, 0, ticket);
	body = clu_job_body(ticket, "booth", "a", 170, 1, "");
	clu_submit(clu.hosts[0].http_port, NULL, body, 20000, &reply);
	cr_assert(clu_answer_complete(&reply, "a", 170));
	len = reply.len;
	clu_reply_free(&reply);
	snprintf(path, sizeof(path), "/v1/jobs/%s?wait=0", ticket);
	for (offset = 0; offset < len; offset += len / 40) {
		snprintf(fault, sizeof(fault),
		    "\"cut_answer_at\": %zu, \"shots\": 1", offset);
		clu_set_link_rule(&clu, "client-h1", fault);
		clu_http(clu.hosts[0].client_link, "GET", path, NULL, NULL,
		    5000, &reply);
		cr_expect_not(reply.body_complete, "answer cut at byte %zu",
		    offset);
		clu_reply_free(&reply);
	}
	clu_http(clu.hosts[0].client_link, "GET", path, NULL, NULL, 5000,
	    &reply);
	cr_expect(clu_answer_complete(&reply, "a", 170));
	clu_reply_free(&reply);
	free(body);
}
