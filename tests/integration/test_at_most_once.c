/*
 * Every task of a submission starts at most once, even if the submission is
 * repeated at several hosts, duplicated by the network or sent to a process
 * that replaces the one that accepted it.
 */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/parallel.h"

#define NTASKS 30

static struct clu clu;
static char ticket[256];

static void
setup(void)
{
	cr_assert_eq(clu_start(&clu, NULL), 0);
	clu_get_ticket(&clu, 0, ticket);
	cr_assert_neq(ticket[0], '\0');
}

static void
teardown(void)
{
	clu_stop(&clu);
}

TestSuite(at_most_once, .init = setup, .fini = teardown, .timeout = 100);

/*
 * Submits the job at all hosts concurrently. Returns the number of complete
 * answers.
 */
static int
submit_at_all_hosts(const char *headers, const char *body, const char *uid)
{
	struct par par[3];
	int i, ncomplete;

	ncomplete = 0;
	for (i = 0; i < 3; i++)
		par_start(&par[i], clu.hosts[i].http_port, headers, body);
	for (i = 0; i < 3; i++) {
		par_join(&par[i]);
		ncomplete += clu_answer_complete(&par[i].reply, uid, NTASKS);
		clu_reply_free(&par[i].reply);
	}
	return ncomplete;
}

/* Submits the job at a host that cannot determine whether it has run. */
static void
expect_outcome_unknown(uint16_t port, const char *body)
{
	struct clu_reply reply;

	clu_submit(port, NULL, body, 15000, &reply);
	cr_expect_str_eq(reply.outcome, "outcome-unknown", "%d %s: %.300s",
	    reply.status, reply.outcome, reply.body);
	clu_reply_free(&reply);
}

Test(at_most_once, resubmitted_at_all_hosts)
{
	char *body;

	body = clu_job_body(ticket, "booth", "a", NTASKS, 20, "");
	cr_expect_eq(submit_at_all_hosts(NULL, body, "a"), 3);
	cr_expect_eq(submit_at_all_hosts(NULL, body, "a"), 3);
	cr_expect_eq(clu_count_starts(&clu, "a"), NTASKS);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
	free(body);
}

Test(at_most_once, requests_duplicated_by_network)
{
	struct clu_reply reply;
	char *body;

	body = clu_job_body(ticket, "booth", "a", NTASKS, 20, "");
	clu_set_link_rule(&clu, "client-*", "\"mode\": \"duplicate\"");
	clu_set_link_rule(&clu, "peer-*", "\"mode\": \"duplicate\"");
	clu_submit(clu.hosts[1].client_link, NULL, body, 15000, &reply);
	clu_reply_free(&reply);
	clu_submit(clu.hosts[0].client_link, NULL, body, 15000, &reply);
	cr_expect(clu_answer_complete(&reply, "a", NTASKS));
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "a"), NTASKS);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
	free(body);
}

Test(at_most_once, issuer_unreachable)
{
	struct clu_reply reply;
	char *body;

	body = clu_job_body(ticket, "booth", "a", NTASKS, 20, "");
	clu_set_link_rule(&clu, "peer-*", "\"mode\": \"refuse\"");
	expect_outcome_unknown(clu.hosts[1].http_port, body);
	cr_expect_eq(clu_count_starts(&clu, "a"), 0);
	clu_submit(clu.hosts[0].http_port, NULL, body, 15000, &reply);
	cr_expect(clu_answer_complete(&reply, "a", NTASKS));
	clu_reply_free(&reply);
	clu_set_link_rule(&clu, "peer-*", "");
	clu_await_answer(clu.hosts[0].http_port, ticket, 15000, &reply);
	cr_expect(clu_answer_complete(&reply, "a", NTASKS));
	clu_reply_free(&reply);
	cr_expect_eq(clu_count_starts(&clu, "a"), NTASKS);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
	free(body);
}

/* Submits the job at the first host and waits until a task has started. */
static void
start_slow_job(struct par *par, const char *body)
{
	int i;

	par_start(par, clu.hosts[0].http_port, NULL, body);
	for (i = 0; i < 500 && clu_count_starts(&clu, "a") == 0; i++)
		clu_sleep(10);
}

Test(at_most_once, issuer_killed)
{
	struct par par;
	char *body;

	body = clu_job_body(ticket, "booth", "a", NTASKS, 300, "");
	start_slow_job(&par, body);
	clu_host_signal(&clu, 0, SIGKILL);
	par_join(&par);
	cr_expect_not(clu_answer_complete(&par.reply, "a", NTASKS));
	clu_reply_free(&par.reply);
	expect_outcome_unknown(clu.hosts[1].http_port, body);
	expect_outcome_unknown(clu.hosts[2].http_port, body);
	clu_sleep(700);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
	free(body);
}

Test(at_most_once, issuer_replaced_at_the_same_address)
{
	struct par par;
	char *body;

	body = clu_job_body(ticket, "booth", "a", NTASKS, 300, "");
	start_slow_job(&par, body);
	clu_host_signal(&clu, 0, SIGKILL);
	par_join(&par);
	clu_reply_free(&par.reply);
	cr_assert_eq(clu_host_start(&clu, 0), 0);
	cr_assert_eq(clu_host_ready(&clu, 0, CLU_WAIT_MS), 0);
	expect_outcome_unknown(clu.hosts[0].http_port, body);
	expect_outcome_unknown(clu.hosts[1].http_port, body);
	clu_sleep(700);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
	free(body);
}

Test(at_most_once, issuer_stopped_and_resumed)
{
	struct clu_reply reply;
	struct par par;
	char *body;

	body = clu_job_body(ticket, "booth", "a", NTASKS, 100, "");
	start_slow_job(&par, body);
	clu_host_signal(&clu, 0, SIGSTOP);
	clu_submit(clu.hosts[1].http_port, NULL, body, 7000, &reply);
	cr_expect_not(clu_answer_complete(&reply, "a", NTASKS));
	clu_reply_free(&reply);
	clu_host_signal(&clu, 0, SIGCONT);
	par_join(&par);
	clu_reply_free(&par.reply);
	clu_await_answer(clu.hosts[0].http_port, ticket, 15000, &reply);
	cr_expect(reply.body_complete);
	clu_reply_free(&reply);
	cr_expect_leq(clu_count_starts(&clu, "a"), NTASKS);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
	free(body);
}

/*
 * Submits a job with an Idempotency-Key at all hosts while the platform is in
 * the given mode. Returns the number of complete answers.
 */
static int
submit_with_key(const char *key, const char *platform_mode)
{
	char headers[100], *body;
	int ncomplete;

	snprintf(headers, sizeof(headers), "Idempotency-Key: %s\r\n", key);
	body = clu_job_body(NULL, "booth", key, NTASKS, 20, "");
	clu_set_platform_mode(&clu, platform_mode);
	ncomplete = submit_at_all_hosts(headers, body, key);
	clu_set_platform_mode(&clu, "\"mode\": \"ok\"");
	free(body);
	cr_expect_leq(clu_count_starts(&clu, key), NTASKS, "%s", platform_mode);
	cr_expect_eq(clu_count_duplicates(&clu), 0, "%s", platform_mode);
	return ncomplete;
}

Test(at_most_once, client_key_at_all_hosts)
{
	cr_expect_geq(submit_with_key("k1", "\"mode\": \"ok\""), 1);
	cr_expect_eq(clu_count_starts(&clu, "k1"), NTASKS);
	cr_expect_geq(submit_with_key("k1", "\"mode\": \"ok\""), 1);
	cr_expect_eq(clu_count_starts(&clu, "k1"), NTASKS);
}

Test(at_most_once, client_key_with_platform_faults)
{
	cr_expect_eq(submit_with_key("k2", "\"mode\": \"refuse\""), 0);
	cr_expect_eq(clu_count_starts(&clu, "k2"), 0);
	submit_with_key("k3", "\"mode\": \"down\"");
	submit_with_key("k4", "\"mode\": \"slow\", \"ms\": 300");
	submit_with_key("k5", "\"mode\": \"lose_reply\", \"count\": 4");
	submit_with_key("k5", "\"mode\": \"ok\"");
	submit_with_key("k6", "\"mode\": \"stale\"");
	submit_with_key("k6", "\"mode\": \"ok\"");
}
