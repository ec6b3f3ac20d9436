/* Every planned stop is a graceful shutdown that interrupts no request. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/load.h"
#include "support/parallel.h"

static struct clu clu;

static void
setup(void)
{
	struct clu_options options = { .host_args = "--drain-delay-ms=300" };

	cr_assert_eq(clu_start(&clu, &options), 0);
}

static void
teardown(void)
{
	clu_stop(&clu);
}

TestSuite(shutdown, .init = setup, .fini = teardown, .timeout = 150);

/* SIGTERM with long tasks, queued tasks, open tickets and a slow reader. */
Test(shutdown, under_load)
{
	struct clu_reply reply;
	struct par slow, queued, lazy;
	char open[256], used[256], *body[4];

	clu_get_ticket(&clu, 0, open);
	clu_get_ticket(&clu, 0, used);
	body[0] = clu_job_body(used, "long", "long", 2, 7000, "");
	body[1] = clu_job_body(NULL, "booth", "queued", 170, 100, "");
	body[2] = clu_job_body(NULL, "booth", "lazy", 170, 1, "");
	body[3] = clu_job_body(open, "booth", "open", 3, 1, "");
	clu_set_link_rule(&clu, "client-h1", "\"rate\": 20000");
	par_start(&slow, clu.hosts[0].http_port, NULL, body[0]);
	par_start(&queued, clu.hosts[0].http_port, NULL, body[1]);
	par_start(&lazy, clu.hosts[0].client_link, NULL, body[2]);
	while (clu_count_starts(&clu, "long") < 2 ||
	    clu_count_starts(&clu, "lazy") < 1)
		clu_sleep(10);
	clu_host_signal(&clu, 0, SIGTERM);
	par_join(&slow);
	par_join(&queued);
	par_join(&lazy);
	cr_expect(clu_answer_complete(&slow.reply, "long", 2), "%d %.200s",
	    slow.reply.status, slow.reply.body);
	cr_expect(clu_answer_complete(&queued.reply, "queued", 170),
	    "%d %.200s", queued.reply.status, queued.reply.body);
	cr_expect(clu_answer_complete(&lazy.reply, "lazy", 170), "%d %.200s",
	    lazy.reply.status, lazy.reply.body);
	cr_expect_eq(clu_host_wait(&clu, 0, CLU_WAIT_MS), 0);
	/* What was never started is afterwards not run, from any host. */
	clu_submit(clu.hosts[1].http_port, NULL, body[3], 15000, &reply);
	cr_expect_str_eq(reply.outcome, "not-run", "%d %.300s", reply.status,
	    reply.body);
	clu_reply_free(&reply);
	clu_submit(clu.hosts[2].http_port, NULL, body[0], 15000, &reply);
	cr_expect_str_neq(reply.outcome, "not-run", "%.300s", reply.body);
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "open"), 0);
	cr_expect_eq(clu_count_starts(&clu, "long"), 2);
	clu_reply_free(&slow.reply);
	clu_reply_free(&queued.reply);
	clu_reply_free(&lazy.reply);
	free(body[0]);
	free(body[1]);
	free(body[2]);
	free(body[3]);
}

/* A second signal does not shorten it: the call that waits gets the answer, and
 * whoever asks after the stop gets it from another host. */
Test(shutdown, second_signal)
{
	struct clu_reply reply;
	struct par par;
	char ticket[256], *body;

	clu_get_ticket(&clu, 0, ticket);
	/* Well within the time for which the first call waits. */
	body = clu_job_body(ticket, "booth", "a", 1, 1000, "");
	par_start(&par, clu.hosts[0].http_port, NULL, body);
	while (clu_count_starts(&clu, "a") == 0)
		clu_sleep(10);
	clu_host_signal(&clu, 0, SIGTERM);
	clu_sleep(200);
	clu_host_signal(&clu, 0, SIGTERM);
	par_join(&par);
	cr_expect(clu_answer_complete(&par.reply, "a", 1), "%d %.300s",
	    par.reply.status, par.reply.body);
	cr_expect_eq(clu_host_wait(&clu, 0, CLU_WAIT_MS), 0);
	clu_submit(clu.hosts[1].http_port, NULL, body, 15000, &reply);
	cr_expect(clu_answer_complete(&reply, "a", 1), "%d %.300s",
	    reply.status, reply.body);
	cr_expect_eq(clu_count_starts(&clu, "a"), 1);
	clu_reply_free(&reply);
	clu_reply_free(&par.reply);
	free(body);
}

/* The platform is down: the stop still ends, and still interrupts nothing. */
Test(shutdown, with_the_platform_down)
{
	struct clu_reply reply;
	struct par par;
	char open[256], *body, *other;

	clu_get_ticket(&clu, 0, open);
	other = clu_job_body(open, "booth", "open", 3, 1, "");
	body = clu_job_body(NULL, "booth", "a", 20, 200, "");
	par_start(&par, clu.hosts[0].http_port, NULL, body);
	while (clu_count_starts(&clu, "a") == 0)
		clu_sleep(10);
	clu_set_platform_mode(&clu, "\"mode\": \"refuse\"");
	clu_host_signal(&clu, 0, SIGTERM);
	par_join(&par);
	cr_expect(clu_answer_complete(&par.reply, "a", 20));
	cr_expect_eq(clu_host_wait(&clu, 0, 2 * CLU_WAIT_MS), 0);
	clu_submit(clu.hosts[1].http_port, NULL, other, 15000, &reply);
	cr_expect_str_eq(reply.outcome, "outcome-unknown", "%d %.300s",
	    reply.status, reply.body);
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "open"), 0);
	clu_reply_free(&par.reply);
	free(body);
	free(other);
}

/* Rolling replacement of all hosts under load loses nothing. */
Test(shutdown, rolling_replacement)
{
	struct load_options options = { .clu = &clu,
		.nclients = 9,
		.seed = 5,
		.tasks_max = 20,
		.task_ms_max = 50 };
	struct load_report report;
	struct load *load;
	int i;

	load = load_start(&options);
	clu_sleep(500);
	for (i = 0; i < 3; i++) {
		clu_host_signal(&clu, i, SIGTERM);
		cr_expect_eq(clu_host_wait(&clu, i, 2 * CLU_WAIT_MS), 0);
		cr_assert_eq(clu_host_start(&clu, i), 0);
		cr_assert_eq(clu_host_ready(&clu, i, CLU_WAIT_MS), 0);
		clu_sleep(300);
	}
	load_stop(load);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0);
	cr_expect_gt(report.complete, 20);
	cr_expect_eq(report.task_failed, 0);
}

/* Cut off from the platform and from all peers: the stop still ends. */
Test(shutdown, cut_off_under_load)
{
	struct load_options options = { .clu = &clu,
		.nclients = 9,
		.seed = 6,
		.tasks_max = 20,
		.task_ms_max = 50 };
	struct load_report report;
	struct load *load;

	load = load_start(&options);
	clu_sleep(500);
	clu_set_link_rule(&clu, "platform-h1", "\"mode\": \"drop\"");
	clu_set_link_rule(&clu, "peer-h1", "\"mode\": \"refuse\"");
	clu_sleep(300);
	clu_host_signal(&clu, 0, SIGTERM);
	cr_expect_eq(clu_host_wait(&clu, 0, 3 * CLU_WAIT_MS), 0);
	load_stop(load);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0);
}
