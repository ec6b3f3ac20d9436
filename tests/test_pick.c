/*
 * Choice of a server: compares the index with a scan of all servers over random
 * sequences of changes, and checks when a task waits for a faster server.
 */

#include <criterion/criterion.h>
#include <math.h>
#include <stdlib.h>

#include "core/dispatch.h"

#define NSERVERS 24

static void
configure_server(struct pick_server *server, double speed, uint32_t running,
    uint32_t limit)
{
	server->speed = speed;
	server->running = running;
	server->limit = limit;
	server->slots = limit;
	server->usable = true;
	server->next_end_us = UINT64_MAX;
	pick_server_update(server);
}

static bool
is_free(const struct pick_server *server)
{
	return server->usable && server->running < server->limit;
}

/* Checks the sums and the choice of a pool against a scan of its members. */
static void
check_pool(struct pick_pool *pool, const struct pick_server *servers)
{
	struct pick_task task = { .work_us = 1,
		.work_ahead_us = 1e15,
		.random = (uint64_t)rand() * 77777 };
	double fastest = 0, capacity = 0;
	struct pick_server *chosen;
	uint32_t nfree = 0;
	int i;

	for (i = 0; i < NSERVERS; i++) {
		if (!pick_pool_contains(pool, &servers[i]))
			continue;
		if (servers[i].usable)
			capacity += servers[i].limit * servers[i].speed;
		if (!is_free(&servers[i]))
			continue;
		nfree++;
		fastest = fmax(fastest, servers[i].speed);
	}
	cr_assert_eq(pool->tiers[0].nfree, nfree);
	/* Speeds are rounded to a quarter of a doubling. */
	cr_assert_leq(fabs(pick_capacity(pool, 0) - capacity),
	    0.1 * capacity + 1e-6);
	chosen = pick_choose(pool, 0, &task);
	cr_assert_eq(chosen != NULL, nfree != 0);
	if (chosen == NULL)
		return;
	cr_assert(is_free(chosen) && pick_pool_contains(pool, chosen));
	if (pool->ops == &pick_earliest)
		cr_assert_geq(chosen->speed, fastest * 0.84);
}

static void
random_step(struct pick_pool *pools, struct pick_server *servers)
{
	struct pick_server *server = &servers[rand() % NSERVERS];
	struct pick_pool *pool = &pools[rand() % 3];

	switch (rand() % 8) {
	case 0:
		if (pick_pool_contains(pool, server))
			pick_pool_remove(pool, server);
		else
			pick_pool_add(pool, server, 0);
		return;
	case 1:
		server->usable = !server->usable;
		break;
	case 2:
		server->speed = exp2(rand() % 700 / 100.0 - 3.5);
		break;
	case 3:
		server->limit = (uint32_t)(rand() % 5);
		break;
	case 4:
		server->next_end_us = (uint64_t)(rand() % 1000);
		break;
	default:
		server->running = (uint32_t)(rand() % 5);
	}
	pick_server_update(server);
}

Test(pick, free_lists_match_scan)
{
	const struct pick_ops *const ops[] = { &pick_earliest, &pick_random_two,
		&pick_round_robin };
	struct pick_server servers[NSERVERS];
	struct pick_pool pools[3];
	int i, p;

	srand(5);
	for (p = 0; p < 3; p++)
		pick_pool_init(&pools[p], ops[p]);
	for (i = 0; i < NSERVERS; i++)
		pick_server_init(&servers[i]);
	for (i = 0; i < 60000; i++) {
		random_step(pools, servers);
		for (p = 0; p < 3; p++)
			check_pool(&pools[p], servers);
	}
	for (p = 0; p < 3; p++)
		pick_pool_clear(&pools[p]);
}

Test(pick, waits_for_fast_server_only_if_sooner)
{
	struct pick_task task = { .work_us = 100000,
		.work_ahead_us = 100000,
		.now_us = 1000 };
	struct pick_server fast, slow;
	struct pick_pool pool;

	pick_pool_init(&pool, &pick_earliest);
	pick_server_init(&fast);
	pick_server_init(&slow);
	pick_pool_add(&pool, &fast, 0);
	pick_pool_add(&pool, &slow, 0);
	configure_server(&slow, 0.5, 0, 1);
	configure_server(&fast, 2, 0, 1);
	cr_assert_eq(pick_choose(&pool, 0, &task), &fast);
	fast.next_end_us = 2000;
	fast.running = 1;
	pick_server_update(&fast);
	cr_assert_null(pick_choose(&pool, 0, &task),
	    "the fast server is free in 1 ms");
	fast.next_end_us = 500000;
	pick_server_update(&fast);
	cr_assert_eq(pick_choose(&pool, 0, &task), &slow,
	    "the fast server is free in 0.5 s");
	fast.next_end_us = 2000;
	pick_server_update(&fast);
	task.work_ahead_us = 1e6;
	cr_assert_eq(pick_choose(&pool, 0, &task), &slow,
	    "much work is served first");
	pick_pool_clear(&pool);
}

Test(pick, ideal_time_is_bounded_by_longest_task_and_slots)
{
	double work_us[8] = { 100, 100, 100, 100, 100, 100, 100, 100 };
	struct pick_server fast, slow;
	struct pick_pool pool;

	pick_pool_init(&pool, &pick_earliest);
	pick_server_init(&fast);
	pick_server_init(&slow);
	pick_pool_add(&pool, &fast, 0);
	pick_pool_add(&pool, &slow, 0);
	cr_assert_eq(disp_ideal_us(&pool, work_us, 1), 0,
	    "no server is usable");
	configure_server(&fast, 2, 1, 2);
	configure_server(&slow, 1, 0, 2);
	cr_assert_float_eq(disp_ideal_us(&pool, work_us, 1), 50, 0.1);
	cr_assert_float_eq(disp_ideal_us(&pool, work_us, 2), 50, 0.1);
	cr_assert_float_eq(disp_ideal_us(&pool, work_us, 3), 100, 0.1);
	cr_assert_float_eq(disp_ideal_us(&pool, work_us, 8), 150, 0.1);
	work_us[0] = 1000;
	cr_assert_float_eq(disp_ideal_us(&pool, work_us, 3), 500, 300);
	pick_pool_clear(&pool);
}
