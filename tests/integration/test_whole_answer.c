/* A job's answer is either complete or failed, never partial. */
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

TestSuite(whole_answer, .init = setup, .fini = teardown, .timeout = 100);

/* Each task's state must agree with the record of its starts. */
static void
expect_true_states(const struct clu_reply *reply, const char *uid)
{
	const json_t *results, *result;
	const char *state;
	char one[64];
	size_t i;
	int starts;

	results = json_object_get(reply->json, "results");
	cr_expect_eq(json_array_size(results), 170);
	json_array_foreach (results, i, result) {
		state = sti_str(result, "state", "");
		snprintf(one, sizeof(one), "%s-%03zu", uid, i);
		starts = clu_count_starts(&clu, one);
		if (strcmp(state, "not-run") == 0)
			cr_expect_eq(starts, 0, "%s is not-run", one);
		else
			cr_expect_eq(starts, 1, "%s is %s", one, state);
	}
}

/* One of 170 tasks misbehaves; the answer's outcome must be @expected. */
static void
one_of_170(const char *action, const char *expected)
{
	struct clu_reply reply;
	char *body;

	body = clu_job_body(NULL, "wax", action, 170, 2, action);
	clu_submit(clu.hosts[0].http_port, NULL, body, 20000, &reply);
	cr_expect_str_eq(clu_reply_str(&reply, "outcome"), expected,
	    "%s: %d %.300s", action, reply.status, reply.body);
	cr_expect_str_eq(reply.outcome, expected);
	cr_expect_eq(clu_answer_complete(&reply, action, 170),
	    strcmp(expected, "complete") == 0);
	expect_true_states(&reply, action);
	clu_reply_free(&reply);
	free(body);
}

Test(whole_answer, one_task_of_170_goes_wrong)
{
	one_of_170("fail", "task-failed");
	one_of_170("half", "outcome-unknown");
	one_of_170("cut", "outcome-unknown");
	one_of_170("nolength", "outcome-unknown");
	one_of_170("hang", "outcome-unknown");
	one_of_170("twice", "complete");
	cr_expect_eq(clu_count_duplicates(&clu), 0);
}

/* A task's answer comes only after its time-out. */
Test(whole_answer, answer_after_the_timeout)
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

/* All tasks have run, but their answers are still on their way. */
Test(whole_answer, host_dies_before_answering)
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

/* An answer that is cut on its way is never whole; asked again, it is. */
Test(whole_answer, answer_cut_anywhere)
{
	struct clu_reply reply;
	char ticket[256], fault[64], path[300], *body;
	size_t at, len;

	clu_get_ticket(&clu, 0, ticket);
	body = clu_job_body(ticket, "booth", "a", 170, 1, "");
	clu_submit(clu.hosts[0].http_port, NULL, body, 20000, &reply);
	cr_assert(clu_answer_complete(&reply, "a", 170));
	len = reply.len;
	clu_reply_free(&reply);
	snprintf(path, sizeof(path), "/v1/jobs/%s?wait=0", ticket);
	for (at = 0; at < len; at += len / 40) {
		snprintf(fault, sizeof(fault),
		    "\"cut_answer_at\": %zu, \"shots\": 1", at);
		clu_set_link_rule(&clu, "client-h1", fault);
		clu_http(clu.hosts[0].client_link, "GET", path, NULL, NULL,
		    5000, &reply);
		cr_expect_not(reply.body_complete, "cut at %zu", at);
		clu_reply_free(&reply);
	}
	clu_http(clu.hosts[0].client_link, "GET", path, NULL, NULL, 5000,
	    &reply);
	cr_expect(clu_answer_complete(&reply, "a", 170));
	clu_reply_free(&reply);
	free(body);
}
