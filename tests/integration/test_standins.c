/*
 * The stand-ins for backend servers and the proxy, on which the other
 * integration tests depend, inject the configured faults and record all starts.
 */
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

/*
 * Sends one task through the proxy. Returns the HTTP status, or 0 without a
 * reply.
 */
static int
send_task(const char *body, bool *body_complete)
{
	struct clu_reply reply;
	int status;

	clu_http(clu.server_links[0], "POST", "/run", "Berylrail-Task: t/0\r\n",
	    body, 1000, &reply);
	status = reply.status;
	if (body_complete != NULL)
		*body_complete = reply.body_complete;
	clu_reply_free(&reply);
	return status;
}

Test(standins, requests_passed_and_recorded)
{
	bool body_complete;

	cr_expect_eq(send_task("{\"uid\":\"a\",\"ms\":1}", &body_complete),
	    200);
	cr_expect(body_complete);
	cr_expect_eq(clu_count_starts(&clu, "a"), 1);
	cr_expect_eq(
	    send_task("{\"uid\":\"b\",\"do\":\"half\"}", &body_complete), 200);
	cr_expect_not(body_complete);
	cr_expect_eq(send_task("{\"uid\":\"c\",\"do\":\"fail\"}", NULL), 500);
	cr_expect_eq(clu_count_duplicates(&clu), 0);
}

Test(standins, proxy_duplicates_a_request)
{
	int i;

	clu_set_link_rule(&clu, "server-s1",
	    "\"mode\": \"duplicate\", \"shots\": 1");
	cr_expect_eq(send_task("{\"uid\":\"a\"}", NULL), 200);
	for (i = 0; i < 500 && clu_count_duplicates(&clu) == 0; i++)
		clu_sleep(10);
	cr_expect_eq(clu_count_duplicates(&clu), 1);
	cr_expect_eq(send_task("{\"uid\":\"b\"}", NULL), 200);
	cr_expect_eq(clu_count_starts(&clu, "b"), 1);
}

Test(standins, proxy_cuts_at_offset)
{
	bool body_complete;

	clu_set_link_rule(&clu, "server-s1",
	    "\"cut_request_at\": 20, \"shots\": 1");
	cr_expect_eq(send_task("{\"uid\":\"a\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "a"), 0);
	clu_set_link_rule(&clu, "server-s1",
	    "\"cut_answer_at\": 60, \"shots\": 1");
	send_task("{\"uid\":\"b\"}", &body_complete);
	cr_expect_not(body_complete);
	cr_expect_eq(clu_count_starts(&clu, "b"), 1);
	cr_expect_eq(send_task("{\"uid\":\"c\"}", NULL), 200);
}

Test(standins, proxy_half_closes)
{
	clu_set_link_rule(&clu, "server-s1",
	    "\"half_close_at\": 20, \"shots\": 1");
	cr_expect_eq(send_task("{\"uid\":\"a\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "a"), 0);
}

Test(standins, proxy_drops_replies_and_requests)
{
	clu_set_link_rule(&clu, "*", "\"mode\": \"lose_reply\"");
	cr_expect_eq(send_task("{\"uid\":\"a\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "a"), 1);
	clu_set_link_rule(&clu, "*", "\"mode\": \"drop\"");
	cr_expect_eq(send_task("{\"uid\":\"b\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "b"), 0);
	clu_set_link_rule(&clu, "*", "\"mode\": \"refuse\"");
	cr_expect_eq(send_task("{\"uid\":\"b\"}", NULL), 0);
	clu_set_link_rule(&clu, "*", "");
	cr_expect_eq(send_task("{\"uid\":\"b\"}", NULL), 200);
}

Test(standins, proxy_freezes_delays_and_throttles)
{
	uint64_t begin_ms;

	clu_set_link_rule(&clu, "*", "\"mode\": \"freeze\"");
	cr_expect_eq(send_task("{\"uid\":\"a\"}", NULL), 0);
	cr_expect_eq(clu_count_starts(&clu, "a"), 0);
	clu_set_link_rule(&clu, "*", "\"delay_ms\": 100, \"jitter_ms\": 20");
	begin_ms = sti_now_ms();
	cr_expect_eq(send_task("{\"uid\":\"b\"}", NULL), 200);
	cr_expect_geq(sti_now_ms() - begin_ms, 200);
	clu_set_link_rule(&clu, "*", "\"rate\": 400");
	begin_ms = sti_now_ms();
	cr_expect_eq(send_task("{\"uid\":\"c\"}", NULL), 200);
	cr_expect_geq(sti_now_ms() - begin_ms, 100);
}
