/* No task of a submission answered "not-run" has started or starts later. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/parallel.h"

static struct clu clu;

static void
setup_with(const char *host_args)
{
	struct clu_options options = { .host_args = host_args };

	cr_assert_eq(clu_start(&clu, &options), 0);
}

static void
setup(void)
{
	setup_with(NULL);
}

static void
teardown(void)
{
	clu_stop(&clu);
}

TestSuite(not_run, .init = setup, .fini = teardown, .timeout = 100);

/*
 * Posts a submission that must be refused with this error code and outcome.
 * Checks that no task has started.
 */
static void
expect_refusal(const char *body, const char *code, const char *outcome)
{
	struct clu_reply reply;

	clu_submit(clu.hosts[0].http_port, NULL, body, 15000, &reply);
	cr_expect_str_eq(clu_reply_str(&reply, "code"), code,
	    "%.80s: %d %.300s", body, reply.status, reply.body);
	cr_expect_str_eq(reply.outcome, outcome, "%.80s: outcome %s", body,
	    reply.outcome);
	cr_expect_geq(reply.status, 400);
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, ""), 0,
	    "%.80s: refused, but started", body);
}

Test(not_run, malformed_submissions)
{
	char *body;

	expect_refusal("{", "invalid", "not-run");
	expect_refusal("[]", "invalid", "not-run");
	expect_refusal("{\"job\": 7, \"tasks\": []}", "invalid", "not-run");
	expect_refusal("{\"job\": \"booth\", \"tasks\": []}", "invalid",
	    "not-run");
	expect_refusal("{\"job\": \"booth\", \"tasks\": [{\"body\": 1}]}",
	    "invalid", "not-run");
	expect_refusal("{\"job\": \"booth\", \"colour\": 1, \"tasks\": "
		       "[{\"body\": \"\"}]}",
	    "invalid", "not-run");
	body = clu_job_body(NULL, "booth", "a", 171, 0, "");
	expect_refusal(body, "too-large", "not-run");
	free(body);
	/* An earlier submission with the same ticket may have run. */
	expect_refusal("{\"ticket\": \"x\"", "invalid", "outcome-unknown");
}

Test(not_run, forged_ticket)
{
	char ticket[256], *body, *last_digit;

	body = clu_job_body("malformed", "booth", "a", 2, 0, "");
	expect_refusal(body, "invalid", "not-run");
	free(body);
	/* The MAC of a ticket with a changed digit does not match. */
	clu_get_ticket(&clu, 0, ticket);
	last_digit = &ticket[strlen(ticket) - 1];
	*last_digit = *last_digit == '0' ? '1' : '0';
	body = clu_job_body(ticket, "booth", "a", 2, 0, "");
	expect_refusal(body, "invalid", "not-run");
	free(body);
}

Test(not_run, jobs_not_runnable)
{
	char *body;

	body = clu_job_body(NULL, "undefined", "a", 2, 0, "");
	expect_refusal(body, "not-found", "not-run");
	free(body);
	cr_assert_eq(clu_change_config(&clu, 0, "c1",
			 "{\"op\": \"put\", \"kind\": \"job\", \"name\": "
			 "\"unmatched\", \"spec\": {\"service\": \"booth\", "
			 "\"selector\": \"gen=9\"}}",
			 -1, NULL),
	    200);
	body = clu_job_body(NULL, "unmatched", "a", 2, 0, "");
	expect_refusal(body, "no-server", "not-run");
	free(body);
}

/*
 * While the queue is full, submissions are refused and do not run. All others
 * complete.
 */
Test(not_run, queue_full, .init = NULL)
{
	struct par par[8];
	char uid[8][16], *body[8];
	int i, nrefused;

	setup_with("--queue-tasks-max=200");
	nrefused = 0;
	for (i = 0; i < 8; i++) {
		snprintf(uid[i], sizeof(uid[i]), "o%c", 'a' + i);
		body[i] = clu_job_body(NULL, "booth", uid[i], 150, 60, "");
		par_start(&par[i], clu.hosts[0].http_port, NULL, body[i]);
	}
	for (i = 0; i < 8; i++) {
		par_join(&par[i]);
		if (strcmp(par[i].reply.outcome, "not-run") == 0) {
			nrefused++;
			cr_expect_eq(clu_count_starts(&clu, uid[i]), 0);
		} else {
			cr_expect(
			    clu_answer_complete(&par[i].reply, uid[i], 150));
		}
		clu_reply_free(&par[i].reply);
		free(body[i]);
	}
	cr_expect_gt(nrefused, 0);
	cr_expect_lt(nrefused, 8);
}

/* While no server is reachable, queued tasks end not-run at the deadline. */
Test(not_run, no_server_before_deadline)
{
	struct clu_reply reply;
	char *body;

	clu_set_link_rule(&clu, "server-*", "\"mode\": \"refuse\"");
	body = strdup("{\"job\":\"wax\",\"timeout_ms\":1500,\"tasks\":"
		      "[{\"body\":\"a\"},{\"body\":\"b\"}]}");
	clu_submit(clu.hosts[0].http_port, NULL, body, 20000, &reply);
	cr_expect_str_eq(reply.outcome, "not-run", "%d %.300s", reply.status,
	    reply.body);
	clu_reply_free(&reply);
	clu_set_link_rule(&clu, "server-*", "");
	clu_sleep(500);
	cr_expect_eq(clu_count_starts(&clu, ""), 0);
	free(body);
}

/*
 * A job is cancelled while some of its tasks run. Its tasks that are queued at
 * that time never start.
 */
Test(not_run, cancelled_after_first_starts)
{
	struct clu_reply reply;
	struct par par;
	char ticket[256], path[300], *body;

	clu_get_ticket(&clu, 0, ticket);
	clu_control(clu.backend_port, "/control", "{\"slots\": 1}");
	body = clu_job_body(ticket, "booth", "a", 100, 300, "");
	par_start(&par, clu.hosts[0].http_port, NULL, body);
	while (clu_count_starts(&clu, "a") == 0)
		clu_sleep(10);
	snprintf(path, sizeof(path), "/v1/jobs/%s", ticket);
	clu_http(clu.hosts[0].http_port, "DELETE", path, NULL, NULL, 5000,
	    &reply);
	clu_reply_free(&reply);
	par_join(&par);
	cr_expect_str_neq(par.reply.outcome, "complete");
	cr_expect_str_neq(par.reply.outcome, "not-run");
	clu_sleep(500);
	cr_expect_lt(clu_count_starts(&clu, "a"), 100);
	clu_reply_free(&par.reply);
	free(body);
}

/* A host that shuts down refuses new submissions, and those do not run. */
Test(not_run, host_shutting_down)
{
	struct clu_reply reply;
	struct par par;
	char *body;
	int i;

	body = clu_job_body(NULL, "booth", "a", 1, 3000, "");
	par_start(&par, clu.hosts[0].http_port, NULL, body);
	while (clu_count_starts(&clu, "a") == 0)
		clu_sleep(10);
	clu_host_signal(&clu, 0, SIGTERM);
	free(body);
	body = clu_job_body(NULL, "booth", "b", 2, 0, "");
	for (i = 0; i < 200; i++) {
		clu_submit(clu.hosts[0].http_port, NULL, body, 5000, &reply);
		if (strcmp(reply.outcome, "complete") != 0)
			break;
		clu_reply_free(&reply);
		clu_sleep(10);
	}
	i = clu_count_starts(&clu, "b");
	cr_expect(reply.status == 0 || strcmp(reply.outcome, "not-run") == 0,
	    "%d %s", reply.status, reply.outcome);
	clu_reply_free(&reply);
	par_join(&par);
	cr_expect(clu_answer_complete(&par.reply, "a", 1));
	clu_reply_free(&par.reply);
	cr_expect_eq(clu_host_wait(&clu, 0, CLU_WAIT_MS), 0);
	cr_expect_eq(clu_count_starts(&clu, "b"), i);
	free(body);
}
