/*
 * Lease arithmetic on a server's clock.
 */

#include <criterion/criterion.h>
#include <stdlib.h>

#include "core/lease.h"

#define MODEL_CALLS 64
#define MODEL_SEEDS 400
#define MODEL_STEPS 2000
#define MODEL_LEASE_MS 1000
#define MODEL_NEVER UINT64_MAX

Test(lease, no_deadline_while_clock_is_unknown)
{
	struct lease lease = { 0 };

	cr_expect_eq(lease_extend(&lease, 1000000, 1000), 0);
}

Test(lease, deadline_is_on_the_servers_clock)
{
	struct lease lease = { 0 };

	lease_update_clock(&lease, 500, 900000, 1000000);
	/* 200 ms later a clock that is 2% slow has advanced by 196 ms. */
	cr_expect_eq(lease_extend(&lease, 1200000, 1000), 500 + 196 + 1000);
}

Test(lease, lower_bound_of_an_earlier_reply_is_kept)
{
	struct lease lease = { 0 };

	lease_update_clock(&lease, 500, 1000000, 1000000);
	/* This reply was in transit for most of 300 ms. */
	lease_update_clock(&lease, 550, 1000000, 1300000);
	cr_expect_eq(lease_extend(&lease, 1300000, 1000), 500 + 294 + 1000);
	/* This one shows that the clock is not as slow as assumed. */
	lease_update_clock(&lease, 900, 1350000, 1400000);
	cr_expect_eq(lease_extend(&lease, 1400000, 1000), 900 + 1000);
}

Test(lease, clock_of_a_restarted_server_replaces_the_former_one)
{
	struct lease lease = { 0 };

	lease_update_clock(&lease, 50000, 1000000, 1000000);
	lease_update_clock(&lease, 20, 2000000, 2001000);
	cr_expect_eq(lease_extend(&lease, 2001000, 1000), 20 + 1000);
}

Test(lease, assumed_lease_of_another_holder_is_not_sent_as_a_deadline)
{
	struct lease lease = { 0 };

	lease_update_clock(&lease, 500, 1000000, 1000000);
	lease_assume(&lease, 1000000, 1000);
	cr_expect_not(lease_expired(&lease, 2020408));
	cr_expect(lease_expired(&lease, 2020500));
	cr_expect_eq(lease_extend(&lease, 1000000, 100), 500 + 100);
}

Test(lease, expiry_allows_for_slow_clock)
{
	struct lease lease = { 0 };

	/* A clock that is 2% slow advances by 1000 ms in 1020.41 ms. */
	(void)lease_extend(&lease, 0, 1000);
	cr_expect_not(lease_expired(&lease, 1020408));
	cr_expect(lease_expired(&lease, 1020409));
	/* A later call with a shorter duration does not shorten the lease. */
	(void)lease_extend(&lease, 10, 100);
	cr_expect_not(lease_expired(&lease, 1020408));
}

/* A call in transit, or one whose reply is. Times are of the host's clock. */
struct model_call {
	uint64_t sent_us;
	uint64_t executed_us; /* MODEL_NEVER: not pending */
	uint64_t received_us; /* MODEL_NEVER: the reply is lost */
	uint64_t deadline_ms;
	uint64_t clock_ms;
	bool executed;
};

/* A server whose clock is up to 2% slow. */
struct model {
	struct lease lease;
	struct model_call calls[MODEL_CALLS];
	uint64_t offset_us;
	uint64_t rate_permille;
	uint64_t lease_end_us; /* on the host's clock; exact */
	uint64_t random;
};

static uint64_t
model_random(struct model *model, uint64_t below)
{
	model->random ^= model->random << 13;
	model->random ^= model->random >> 7;
	model->random ^= model->random << 17;
	return model->random % below;
}

static uint64_t
model_server_clock_us(const struct model *model, uint64_t now_us)
{
	return model->offset_us + now_us * model->rate_permille / 1000;
}

/* The host's time at which the server's clock reaches @deadline_ms. */
static uint64_t
model_host_time_us(const struct model *model, uint64_t deadline_ms)
{
	uint64_t us = deadline_ms * 1000;

	return us <= model->offset_us
	    ? 0
	    : (us - model->offset_us) * 1000 / model->rate_permille;
}

static void
model_send(struct model *model, uint64_t now_us)
{
	struct model_call *call =
	    &model->calls[model_random(model, MODEL_CALLS)];

	if (call->executed_us != MODEL_NEVER)
		return;
	*call = (struct model_call){ .sent_us = now_us };
	call->deadline_ms = lease_extend(&model->lease, now_us, MODEL_LEASE_MS);
	/* Up to 0.5 s in transit each way, now and then 5 s, and a wait. */
	call->executed_us = now_us + model_random(model, 500000);
	if (model_random(model, 50) == 0)
		call->executed_us += 5000000;
	call->received_us = call->executed_us + model_random(model, 800000);
	if (model_random(model, 5) == 0)
		call->received_us = MODEL_NEVER;
}

/* The server caps a lease, and reads its clock at some time before the reply
 * is sent. */
static void
model_execute(struct model *model, struct model_call *call)
{
	uint64_t clock_us = model_server_clock_us(model, call->executed_us);
	uint64_t deadline_ms = call->deadline_ms;
	uint64_t end_us, read_us = call->executed_us;

	if (deadline_ms > clock_us / 1000 + MODEL_LEASE_MS)
		deadline_ms = clock_us / 1000 + MODEL_LEASE_MS;
	end_us = model_host_time_us(model, deadline_ms);
	if (end_us > model->lease_end_us)
		model->lease_end_us = end_us;
	if (call->received_us != MODEL_NEVER)
		read_us += model_random(model,
		    call->received_us - call->executed_us + 1);
	call->clock_ms = model_server_clock_us(model, read_us) / 1000;
	call->executed = true;
}

static void
model_advance(struct model *model, uint64_t now_us)
{
	struct model_call *call;
	size_t i;

	for (i = 0; i < MODEL_CALLS; i++) {
		call = &model->calls[i];
		if (call->executed_us == MODEL_NEVER)
			continue;
		if (!call->executed && call->executed_us <= now_us)
			model_execute(model, call);
		if (!call->executed ||
		    (call->received_us > now_us &&
			call->received_us != MODEL_NEVER))
			continue;
		if (call->received_us != MODEL_NEVER)
			lease_update_clock(&model->lease, call->clock_ms,
			    call->sent_us, now_us);
		call->executed_us = MODEL_NEVER;
	}
}

static void
model_run(uint64_t seed)
{
	struct model model = { .random = seed * 2654435761U + 1 };
	uint64_t now_us = 1000000;
	size_t i;

	model.rate_permille = 980 + model_random(&model, 21);
	model.offset_us = model_random(&model, 100000000);
	for (i = 0; i < MODEL_CALLS; i++)
		model.calls[i].executed_us = MODEL_NEVER;
	for (i = 0; i < MODEL_STEPS; i++) {
		now_us += 1 + model_random(&model, 40000);
		model_advance(&model, now_us);
		if (model_random(&model, 3) == 0)
			model_send(&model, now_us);
		cr_assert_leq(model.lease_end_us, model.lease.expires_us,
		    "seed %lu, step %zu: the server's lease ends %ld us after "
		    "the host counts it as expired",
		    seed, i,
		    (long)(model.lease_end_us - model.lease.expires_us));
	}
}

/*
 * Calls that are in transit for a long time, replies that wait, are lost or
 * overtake each other, and a clock that is slow: no run may last longer than
 * lease_expired() says.
 */
Test(lease, no_run_outlives_the_expiry)
{
	uint64_t seed;

	for (seed = 1; seed <= MODEL_SEEDS; seed++)
		model_run(seed);
}

/* With calls that take up to 1 ms, the deadline is not far below the target:
 * a run loses at most the transit time and the skew since the last reply. */
Test(lease, deadline_is_close_to_the_duration_on_a_fast_path)
{
	struct lease lease = { 0 };

	lease_update_clock(&lease, 5000, 1000000, 1001000);
	cr_expect_geq(lease_extend(&lease, 1301000, MODEL_LEASE_MS),
	    5000 + 300 + MODEL_LEASE_MS - 10);
}
