/*
 * The statuses with which callers of jobs are answered, by a gateway that the
 * test answers for.
 */

#include <criterion/criterion.h>

#include "adapters/clock_real.h"
#include "platform/http_api.h"

static const struct reg_config config = { .version = 1,
	.body_bytes_max = 1000 };
static const struct reg_queue queue = { .queue = { .name = "q" } };
static gw_done_fn gw_done;
static void *gw_arg;

const struct reg_config *
reg_config(const struct registry *reg)
{
	(void)reg;
	return &config;
}

const struct reg_queue *
reg_route(const struct registry *reg, const char *host, const char *path,
    const char **rest)
{
	(void)reg;
	(void)host;
	*rest = path + 1;
	return &queue;
}

uint64_t
reg_age_ms(const struct registry *reg, enum rows_table table, uint64_t now_us)
{
	(void)reg;
	(void)table;
	(void)now_us;
	return 0;
}

void
gw_submit(struct job_gateway *gateway, const struct gw_request *request,
    gw_done_fn done, void *arg)
{
	(void)gateway;
	(void)request;
	gw_done = done;
	gw_arg = arg;
}

void
gw_abandon(struct job_gateway *gateway, void *arg)
{
	(void)gateway;
	(void)arg;
}

static void
note_status(void *arg, const struct api_reply *reply)
{
	*(int *)arg = reply->status;
}

/* Return: the status of the response to a job with this outcome. */
static int
status_of(const struct gw_reply *outcome)
{
	const struct platform_http_api_params params = { .clock =
							     clock_real() };
	struct platform_http_api *api = platform_http_api_create(&params);
	const struct api_handler *handler = platform_http_api_handler(api);
	const struct api_request request = { .method = API_POST,
		.path = "/5c0e7a21d94b36f8",
		.query = "",
		.client = "c",
		.host = "h",
		.body = "{}",
		.body_len = 2 };
	int status = 0;

	handler->handle(handler->arg, &request, note_status, &status);
	cr_assert_eq(status, 0);
	gw_done(gw_arg, outcome);
	platform_http_api_destroy(api);
	return status;
}

/* Clients send a job again after a 502 or 504, and after no other status. */
Test(platform_http_api, job_that_may_run_yet_is_not_asked_for_again)
{
	const struct gw_reply may_run = { .result = GW_UNKNOWN,
		.may_run = true };

	cr_expect_eq(status_of(&may_run), 500);
}

Test(platform_http_api, job_that_may_be_repeated_is_asked_for_again)
{
	const struct gw_reply unknown = { .result = GW_UNKNOWN };

	cr_expect_eq(status_of(&unknown), 504);
}

Test(platform_http_api, job_that_has_not_run_is_refused)
{
	const struct gw_reply not_run = { .result = GW_NOT_RUN };

	cr_expect_eq(status_of(&not_run), 503);
}
