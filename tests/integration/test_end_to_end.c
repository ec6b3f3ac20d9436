/* Submissions through clients, entry hosts, backend servers and platform. */
#include <criterion/criterion.h>
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

TestSuite(end_to_end, .init = setup, .fini = teardown, .timeout = 100);

Test(end_to_end, jobs_at_all_hosts)
{
	struct par par[3];
	char *body[3];
	int i;

	body[0] = clu_job_body(NULL, "booth", "a", 170, 10, "");
	body[1] = clu_job_body(NULL, "booth", "b", 170, 10, "");
	body[2] = clu_job_body(NULL, "wax", "c", 1, 10, "");
	for (i = 0; i < 3; i++)
		par_start(&par[i], clu.hosts[i].http_port, NULL, body[i]);
	for (i = 0; i < 3; i++)
		par_join(&par[i]);
	cr_expect(clu_answer_complete(&par[0].reply, "a", 170), "%.300s",
	    par[0].reply.body);
	cr_expect(clu_answer_complete(&par[1].reply, "b", 170));
	cr_expect(clu_answer_complete(&par[2].reply, "c", 1));
	cr_expect_str_eq(par[0].reply.outcome, "complete");
	cr_expect_neq(par[0].reply.ticket[0], '\0');
	cr_expect_eq(clu_count_starts(&clu, ""), 341);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
	for (i = 0; i < 3; i++) {
		clu_reply_free(&par[i].reply);
		free(body[i]);
	}
}

/*
 * After a lost connection, a client obtains the answer by its id, and every
 * host returns the same one.
 */
Test(end_to_end, answer_by_id_after_lost_connection)
{
	struct clu_reply reply;
	char ticket[256], digest[100], *body;
	int i;

	clu_get_ticket(&clu, 0, ticket);
	cr_assert_neq(ticket[0], '\0');
	body = clu_job_body(ticket, "booth", "a", 40, 100, "");
	clu_set_link_rule(&clu, "client-h1", "\"mode\": \"lose_reply\"");
	clu_http(clu.hosts[0].client_link, "POST", "/v1/jobs?wait=10000", NULL,
	    body, 15000, &reply);
	cr_expect_not(reply.body_complete);
	clu_reply_free(&reply);
	digest[0] = '\0';
	for (i = 0; i < 3; i++) {
		clu_await_answer(clu.hosts[i].http_port, ticket, 10000, &reply);
		cr_expect(clu_answer_complete(&reply, "a", 40),
		    "host %d: %d %.300s", i, reply.status, reply.body);
		if (i > 0)
			cr_expect_str_eq(digest,
			    clu_reply_str(&reply, "digest"));
		snprintf(digest, sizeof(digest), "%s",
		    clu_reply_str(&reply, "digest"));
		clu_reply_free(&reply);
	}
	cr_expect_eq(clu_count_starts(&clu, "a"), 40);
	free(body);
}

Test(end_to_end, submission_forwarded_to_issuer)
{
	struct clu_reply reply;
	char ticket[256], *body;

	clu_get_ticket(&clu, 0, ticket);
	body = clu_job_body(ticket, "booth", "a", 170, 5, "");
	clu_submit(clu.hosts[2].http_port, NULL, body, 15000, &reply);
	cr_expect(clu_answer_complete(&reply, "a", 170), "%d %.300s",
	    reply.status, reply.body);
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "a"), 170);
	free(body);
}

Test(end_to_end, single_request)
{
	struct clu_reply reply;

	clu_http(clu.hosts[1].http_port, "POST", "/v1/services/booth/requests",
	    "Berylrail-Job: wax\r\n", "{\"uid\":\"a\",\"ms\":5}", 5000, &reply);
	cr_expect_eq(reply.status, 200);
	cr_expect_str_eq(reply.body, "{\"uid\":\"a\",\"ms\":5}");
	cr_expect_str_eq(reply.outcome, "complete");
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "a"), 1);
}

/*
 * An availability zone that can reach neither its peers nor the platform serves
 * submissions with its own tickets.
 */
Test(end_to_end, isolated_az_serves_own_tickets)
{
	struct clu_reply reply;
	char *body;

	clu_set_link_rule(&clu, "peer-*", "\"mode\": \"refuse\"");
	clu_set_link_rule(&clu, "platform-*", "\"mode\": \"refuse\"");
	body = clu_job_body(NULL, "booth", "a", 20, 10, "");
	clu_submit(clu.hosts[1].http_port, NULL, body, 15000, &reply);
	cr_expect(clu_answer_complete(&reply, "a", 20), "%d %.300s",
	    reply.status, reply.body);
	clu_reply_free(&reply);
	free(body);
}
