/* Every client receives the complete answer to its own request, no other. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/load.h"
#include "support/parallel.h"

#define NCALLERS 12

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

TestSuite(answer_routing, .init = setup, .fini = teardown, .timeout = 100);

/*
 * Submits jobs concurrently, each at a host that is not the issuer of its
 * ticket. Checks all answers.
 */
static void
submit_concurrently(const char *uid_prefix)
{
	struct par par[NCALLERS];
	char uid[NCALLERS][32], ticket[256], *body[NCALLERS];
	int i;

	for (i = 0; i < NCALLERS; i++) {
		snprintf(uid[i], sizeof(uid[i]), "%s%c", uid_prefix, 'a' + i);
		clu_get_ticket(&clu, i % 3, ticket);
		body[i] = clu_job_body(ticket, "booth", uid[i], 10, i * 5, "");
	}
	for (i = 0; i < NCALLERS; i++)
		par_start(&par[i], clu.hosts[(i + 1) % 3].client_link, NULL,
		    body[i]);
	for (i = 0; i < NCALLERS; i++) {
		par_join(&par[i]);
		cr_expect(clu_answer_complete(&par[i].reply, uid[i], 10),
		    "%s: %d %.300s", uid[i], par[i].reply.status,
		    par[i].reply.body);
		clu_reply_free(&par[i].reply);
		free(body[i]);
	}
	cr_expect_eq(clu_count_duplicates(&clu), 0);
}

Test(answer_routing, answers_delayed_and_reordered)
{
	clu_set_link_rule(&clu, "*", "\"delay_ms\": 5, \"jitter_ms\": 60");
	submit_concurrently("x");
}

Test(answer_routing, requests_duplicated)
{
	clu_set_link_rule(&clu, "client-*", "\"mode\": \"duplicate\"");
	clu_set_link_rule(&clu, "peer-*", "\"mode\": \"duplicate\"");
	submit_concurrently("x");
}

/*
 * A server's second reply to a request must not become the answer to the next
 * request on a reused connection.
 */
Test(answer_routing, servers_reply_twice)
{
	struct clu_reply reply;
	char body[64];
	int i;

	for (i = 0; i < 60; i++) {
		snprintf(body, sizeof(body), "{\"uid\":\"t%d\",\"do\":\"%s\"}",
		    i, i % 2 == 0 ? "twice" : "");
		clu_http(clu.hosts[0].http_port, "POST",
		    "/v1/services/booth/requests", "Berylrail-Job: wax\r\n",
		    body, 5000, &reply);
		cr_expect(strcmp(reply.outcome, "complete") != 0 ||
			strcmp(reply.body, body) == 0,
		    "request %s, answer %s", body, reply.body);
		clu_reply_free(&reply);
	}
	cr_expect_eq(clu_count_duplicates(&clu), 0);
}

/*
 * The replies to requests whose clients have timed out arrive while other
 * clients wait, and must not be sent to those.
 */
Test(answer_routing, clients_time_out)
{
	struct clu_reply reply;
	char body[64];
	int i;

	for (i = 0; i < 40; i++) {
		snprintf(body, sizeof(body), "{\"uid\":\"g%d\",\"ms\":%d}", i,
		    i % 2 == 0 ? 60 : 1);
		clu_http(clu.hosts[0].http_port, "POST",
		    "/v1/services/booth/requests", "Berylrail-Job: wax\r\n",
		    body, i % 2 == 0 ? 20 : 5000, &reply);
		if (i % 2 == 1)
			cr_expect_str_eq(reply.body, body);
		clu_reply_free(&reply);
	}
	submit_concurrently("x");
}

Test(answer_routing, connections_cut_under_load)
{
	struct load_options options = { .clu = &clu,
		.nclients = 8,
		.seed = 7,
		.tasks_max = 10,
		.task_ms_max = 20,
		.use_proxy = true };
	struct load_report report;
	struct load *load;

	clu_set_link_rule(&clu, "*", "\"chaos\": 15, \"jitter_ms\": 10");
	load = load_start(&options);
	clu_sleep(4000);
	clu_set_link_rule(&clu, "*", "");
	load_stop(load);
	load_check(load, &report);
	cr_expect_eq(report.violations, 0, "seed 7");
	cr_expect_gt(report.complete, 0);
}
