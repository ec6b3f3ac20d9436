/* SIGTERM causes a graceful shutdown, which interrupts no request. */
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

/*
 * The host has running tasks, queued tasks, an unused ticket and a client that
 * reads slowly when it receives SIGTERM.
 */
Test(shutdown, under_load)
{
	struct clu_reply reply;
	struct par long_running, queued, slow_reader;
	char unused_ticket[256], used_ticket[256], *body[4];

	clu_get_ticket(&clu, 0, unused_ticket);
	clu_get_ticket(&clu, 0, used_ticket);
	body[0] = clu_job_body(used_ticket, "long", "long", 2, 7000, "");
	body[1] = clu_job_body(NULL, "booth", "queued", 170, 100, "");
	body[2] = clu_job_body(NULL, "booth", "slow", 170, 1, "");
	body[3] = clu_job_body(unused_ticket, "booth", "open", 3, 1, "");
	clu_set_link_rule(&clu, "client-h1", "\"rate\": 20000");
	par_start(&long_running, clu.hosts[0].http_port, NULL, body[0]);
	par_start(&queued, clu.hosts[0].http_port, NULL, body[1]);
	par_start(&slow_reader, clu.hosts[0].client_link, NULL, body[2]);
	while (clu_count_starts(&clu, "long") < 2 ||
	    clu_count_starts(&clu, "slow") < 1)
		clu_sleep(10);
	clu_host_signal(&clu, 0, SIGTERM);
	par_join(&long_running);
	par_join(&queued);
	par_join(&slow_reader);
	cr_expect(clu_answer_complete(&long_running.reply, "long", 2),
	    "%d %.200s", long_running.reply.status, long_running.reply.body);
	cr_expect(clu_answer_complete(&queued.reply, "queued", 170),
	    "%d %.200s", queued.reply.status, queued.reply.body);
	cr_expect(clu_answer_complete(&slow_reader.reply, "slow", 170),
	    "%d %.200s", slow_reader.reply.status, slow_reader.reply.body);
	cr_expect_eq(clu_host_wait(&clu, 0, CLU_WAIT_MS), 0);
	/* Other hosts answer not-run only if no task has started. */
	clu_submit(clu.hosts[1].http_port, NULL, body[3], 15000, &reply);
	cr_expect_str_eq(reply.outcome, "not-run", "%d %.300s", reply.status,
	    reply.body);
	clu_reply_free(&reply);
	clu_submit(clu.hosts[2].http_port, NULL, body[0], 15000, &reply);
	cr_expect_str_neq(reply.outcome, "not-run", "%.300s", reply.body);
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "open"), 0);
	cr_expect_eq(clu_count_starts(&clu, "long"), 2);
	clu_reply_free(&long_running.reply);
	clu_reply_free(&queued.reply);
	clu_reply_free(&slow_reader.reply);
	free(body[0]);
	free(body[1]);
	free(body[2]);
	free(body[3]);
}

/*
 * A second signal does not shorten the shutdown: the waiting client receives
 * the answer, and after the shutdown another host returns it.
 */
Test(shutdown, second_signal)
{
	struct clu_reply reply;
	struct par par;
	char ticket[256], *body;

	clu_get_ticket(&clu, 0, ticket);
	/* 1 s is well within the wait of 2 s of the first request. */
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

/*
 * While the platform is unavailable, the shutdown ends and interrupts nothing.
 * The final record cannot be stored, so other hosts cannot determine whether a
 * ticket was used.
 */
Test(shutdown, without_platform)
{
	struct clu_reply reply;
	struct par par;
	char unused_ticket[256], *body, *unused_body;

	clu_get_ticket(&clu, 0, unused_ticket);
	unused_body = clu_job_body(unused_ticket, "booth", "open", 3, 1, "");
	body = clu_job_body(NULL, "booth", "a", 20, 200, "");
	par_start(&par, clu.hosts[0].http_port, NULL, body);
	while (clu_count_starts(&clu, "a") == 0)
		clu_sleep(10);
	clu_set_platform_mode(&clu, "\"mode\": \"refuse\"");
	clu_host_signal(&clu, 0, SIGTERM);
	par_join(&par);
	cr_expect(clu_answer_complete(&par.reply, "a", 20));
	cr_expect_eq(clu_host_wait(&clu, 0, 2 * CLU_WAIT_MS), 0);
	clu_submit(clu.hosts[1].http_port, NULL, unused_body, 15000, &reply);
	cr_expect_str_eq(reply.outcome, "outcome-unknown", "%d %.300s",
	    reply.status, reply.body);
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "open"), 0);
	clu_reply_free(&par.reply);
	free(body);
	free(unused_body);
}

/* Restarting all hosts one by one under load loses no request. */
Test(shutdown, rolling_restart)
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

/*
 * The shutdown of a host ends even if the host can reach neither the platform
 * nor its peers.
 */
Test(shutdown, isolated_under_load)
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
