/* A job's answer is either complete or failed, never partial. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/parallel.h"

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

/* One of 170 tasks misbehaves; the answer's outcome must be @expected. */
static void
one_of_170(const char *action, const char *expected)
{
	struct clu_reply reply;
	char *body;

	body = clu_job(NULL, "wax", action, 170, 2, action);
	clu_submit(clu.hosts[0].http_port, NULL, body, 20000, &reply);
	cr_expect_str_eq(clu_reply_str(&reply, "outcome"), expected,
	    "%s: %d %.300s", action, reply.status, reply.body);
	cr_expect_str_eq(reply.outcome, expected);
	cr_expect_eq(clu_whole(&reply, action, 170),
	    strcmp(expected, "complete") == 0);
	cr_expect_eq(clu_starts(&clu, action), 170, "%s: %d starts", action,
	    clu_starts(&clu, action));
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
	cr_expect_eq(clu_duplicates(&clu), 0);
}

/* A task's answer comes only after its time-out. */
Test(whole_answer, answer_after_the_timeout)
{
	struct clu_reply reply;
	char *body;

	body = clu_job(NULL, "wax", "late", 1, 4000, "");
	clu_submit(clu.hosts[0].http_port, NULL, body, 20000, &reply);
	cr_expect_str_eq(reply.outcome, "outcome-unknown");
	clu_reply_free(&reply);
	free(body);
	cr_expect_eq(clu_starts(&clu, "late"), 1);
}

Test(whole_answer, host_dies_while_answering)
{
	struct par par;
	char *body;

	body = clu_job(NULL, "booth", "a", 170, 1, "");
	clu_fault(&clu, "client-h1", "\"rate\": 20000");
	par_start(&par, clu.hosts[0].client_link, NULL, body);
	while (clu_starts(&clu, "a") < 170)
		clu_sleep(10);
	clu_sleep(100);
	clu_host_signal(&clu, 0, SIGKILL);
	par_join(&par);
	cr_expect_not(clu_whole(&par.reply, "a", 170));
	cr_expect_not(par.reply.whole);
	clu_reply_free(&par.reply);
	free(body);
}
