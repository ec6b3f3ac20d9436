/* The stand-ins themselves: what the other tests rely on. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/standin.h"

static struct clu clu;

static void
setup(void)
{
	struct clu_options options = { .nhosts = -1, .nservers = 2 };

	cr_assert_eq(clu_start(&clu, &options), 0);
}

static void
teardown(void)
{
	clu_stop(&clu);
}

TestSuite(standins, .init = setup, .fini = teardown, .timeout = 60);

/* Sends one task through the proxy; returns the HTTP status. */
static int
run(const char *body, bool *whole)
{
	struct clu_reply reply;
	int status;

	clu_http(clu.server_links[0], "POST", "/run", "Berylrail-Task: t/0\r\n",
	    body, 1000, &reply);
	status = reply.status;
	if (whole != NULL)
		*whole = reply.body_complete;
	clu_reply_free(&reply);
	return status;
}

Test(standins, passes_and_records)
{
	bool whole;

	cr_expect_eq(run("{\"uid\":\"a\",\"ms\":1}", &whole), 200);
	cr_expect(whole);
	cr_expect_eq(clu_count_starts(&clu, "a"), 1);
	cr_expect_eq(run("{\"uid\":\"b\",\"do\":\"half\"}", &whole), 200);
	cr_expect_not(whole);
	cr_expect_eq(run("{\"uid\":\"c\",\"do\":\"fail\"}", NULL), 500);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
}

Test(standins, proxy_duplicates_a_request)
{
	int i;

	clu_set_link_rule(&clu, "server-s1",
	    "\"mode\": \"duplicate\", \"shots\": 1");
	cr_expect_eq(run("{\"uid\":\"a\"}", NULL), 200);
	for (i = 0; i < 500 && clu_count_duplicates(&clu) == 0; i++)
		clu_sleep(10);
	cr_expect_eq(clu_count_duplicates(&clu), 1);
	cr_expect_eq(run("{\"uid\":\"b\"}", NULL), 200);
	cr_expect_eq(clu_count_starts(&clu, "b"), 1);
}

Test(standins, proxy_cuts_at_a_byte)
{
	bool whole;

	clu_set_link_rule(&clu, "server-s1",
	    "\"cut_request_at\": 20, \"shots\": 1");
	cr_expect_eq(run("{\"uid\":\"a\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "a"), 0);
	clu_set_link_rule(&clu, "server-s1",
	    "\"cut_answer_at\": 60, \"shots\": 1");
	run("{\"uid\":\"b\"}", &whole);
	cr_expect_not(whole);
	cr_expect_eq(clu_count_starts(&clu, "b"), 1);
	cr_expect_eq(run("{\"uid\":\"c\"}", NULL), 200);
}

Test(standins, proxy_half_closes)
{
	clu_set_link_rule(&clu, "server-s1",
	    "\"half_close_at\": 20, \"shots\": 1");
	cr_expect_eq(run("{\"uid\":\"a\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "a"), 0);
}

Test(standins, proxy_loses_replies_and_drops)
{
	clu_set_link_rule(&clu, "*", "\"mode\": \"lose_reply\"");
	cr_expect_eq(run("{\"uid\":\"a\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "a"), 1);
	clu_set_link_rule(&clu, "*", "\"mode\": \"drop\"");
	cr_expect_eq(run("{\"uid\":\"b\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "b"), 0);
	clu_set_link_rule(&clu, "*", "\"mode\": \"refuse\"");
	cr_expect_eq(run("{\"uid\":\"b\"}", NULL), 0);
	clu_set_link_rule(&clu, "*", "");
	cr_expect_eq(run("{\"uid\":\"b\"}", NULL), 200);
}

Test(standins, proxy_freezes_delays_and_throttles)
{
	uint64_t begin;

	clu_set_link_rule(&clu, "*", "\"mode\": \"freeze\"");
	cr_expect_eq(run("{\"uid\":\"a\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "a"), 0);
	clu_set_link_rule(&clu, "*", "\"delay_ms\": 100, \"jitter_ms\": 20");
	begin = sti_now_ms();
	cr_expect_eq(run("{\"uid\":\"b\"}", NULL), 200);
	cr_expect_geq(sti_now_ms() - begin, 200);
	clu_set_link_rule(&clu, "*", "\"rate\": 400");
	begin = sti_now_ms();
	cr_expect_eq(run("{\"uid\":\"c\"}", NULL), 200);
	cr_expect_geq(sti_now_ms() - begin, 100);
}
