/*
 * Slots that entry hosts of one availability zone lend each other, so that a
 * host with many waiting tasks can use what others leave idle. A slot is lent
 * for one task: the borrower must start it soon, and the lender counts the
 * slot as gone until it has probably ended.
 */

#include <string.h>

#include "entry/engine_internal.h"

#define ENG_LOAN_START_US (ENGINE_LOAN_START_MS * 1000ULL)
#define ENG_LOAN_MARGIN_US 20000  /* for the messages between the hosts */
#define ENG_LOAN_SLOTS_PER_TASK 2 /* fewer: tasks wait too long */
#define ENG_LOAN_RUN_FACTOR 2.0	  /* of the mean run time on the server */

uint32_t
eng_loans_sum(const struct eng_loan *loans, uint64_t now_us)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < ENG_LOANS_MAX; i++) {
		if (loans[i].until_us > now_us)
			sum += loans[i].slots;
	}
	return sum;
}

/* Marks a loan in a free entry; false if there is none. */
static bool
eng_loan_add(struct eng_loan *loans, uint32_t slots, uint64_t until_us,
    uint64_t now_us)
{
	size_t i;

	for (i = 0; i < ENG_LOANS_MAX; i++) {
		if (loans[i].until_us <= now_us) {
			loans[i].slots = slots;
			loans[i].until_us = until_us;
			return true;
		}
	}
	return false;
}

/* Clears what has run out; true if there was any. */
static bool
eng_loan_clear_expired(struct eng_server *server, uint64_t now_us)
{
	bool due = false;
	size_t i;

	if (server->nloans == 0)
		return false;
	for (i = 0; i < ENG_LOANS_MAX; i++) {
		if (server->lent[i].until_us != 0 &&
		    server->lent[i].until_us <= now_us) {
			server->lent[i].until_us = 0;
			server->nloans--;
			due = true;
		}
		if (server->borrowed[i].until_us != 0 &&
		    server->borrowed[i].until_us <= now_us) {
			server->borrowed[i].until_us = 0;
			server->nloans--;
			due = true;
		}
	}
	return due;
}

void
eng_loans_expire(struct engine *engine, struct eng_server *server,
    uint64_t now_us)
{
	if (eng_loan_clear_expired(server, now_us))
		eng_server_share(engine, server, now_us);
}

static uint64_t
eng_loan_window_us(uint64_t for_us)
{
	return for_us < ENG_LOAN_START_US ? for_us : ENG_LOAN_START_US;
}

/* Adds the full servers of a bucket to @wants, for at most @more tasks. */
static size_t
eng_loan_want(const struct pick_tree *full, struct engine_loan *wants,
    size_t size, uint32_t *more)
{
	const struct eng_server *server;
	struct pick_member *member;
	uint32_t slots;
	size_t n = 0;

	RB_FOREACH (member, pick_tree, (struct pick_tree *)full) {
		if (n == size || *more == 0)
			break;
		server = (const struct eng_server *)member->server;
		if (server->cfg.slots <= server->own_limit)
			continue;
		slots = server->cfg.slots - server->own_limit;
		if (slots > *more)
			slots = *more;
		*more -= slots;
		wants[n].server = server->address.name;
		wants[n++].slots = slots;
	}
	return n;
}

/* Do so many tasks wait that loans are worth their messages? */
static bool
eng_pool_is_short(const struct engine *engine, const struct eng_pool *pool)
{
	uint32_t slots = 0;
	int bucket;

	if (pool->order.nitems == 0)
		return false;
	for (bucket = 0; bucket < PICK_BUCKETS; bucket++)
		slots += pool->pick.tiers[0].slots[bucket];
	return engine->nwaiting * ENG_LOAN_SLOTS_PER_TASK > slots;
}

size_t
engine_loan_wants(struct engine *engine, struct engine_loan *wants, size_t size)
{
	uint32_t more = (uint32_t)engine->nwaiting;
	const struct eng_pool *pool;
	size_t n = 0;
	int bucket;

	TAILQ_FOREACH (pool, &engine->pools, entry) {
		if (!eng_pool_is_short(engine, pool))
			continue;
		for (bucket = 0; bucket < PICK_BUCKETS; bucket++)
			n += eng_loan_want(&pool->pick.tiers[0].full[bucket],
			    wants + n, size - n, &more);
	}
	return n;
}

uint32_t
engine_loan_give(struct engine *engine, const char *name, uint32_t slots,
    uint64_t for_us)
{
	struct eng_server *server = eng_server_find(engine, name);
	uint64_t now_us = clock_now_us(engine->clock), until_us;
	uint32_t idle;

	if (server == NULL || server->tier != 0 || engine->nwaiting != 0 ||
	    server->paused_until_us != 0)
		return 0;
	eng_loans_expire(engine, server, now_us);
	/* One stays for what may arrive here meanwhile. */
	idle = 0;
	if (server->own_limit > server->pick.running + 1)
		idle = server->own_limit - server->pick.running - 1;
	if (slots > idle)
		slots = idle;
	until_us = now_us + eng_loan_window_us(for_us) + ENG_LOAN_MARGIN_US +
	    (uint64_t)(server->mean_run_us * ENG_LOAN_RUN_FACTOR);
	if (slots == 0 || !eng_loan_add(server->lent, slots, until_us, now_us))
		return 0;
	server->nloans++;
	eng_server_share(engine, server, now_us);
	eng_tick_on(engine);
	return slots;
}

void
engine_loan_take(struct engine *engine, const char *name, uint32_t slots,
    uint64_t for_us)
{
	struct eng_server *server = eng_server_find(engine, name);
	uint64_t now_us = clock_now_us(engine->clock);

	if (server == NULL)
		return;
	eng_loans_expire(engine, server, now_us);
	if (!eng_loan_add(server->borrowed, slots,
		now_us + eng_loan_window_us(for_us), now_us))
		return;
	server->nloans++;
	eng_server_share(engine, server, now_us);
	eng_tick_on(engine);
	eng_pump_server(engine, server);
}

size_t
engine_loads(struct engine *engine, struct engine_loan *loads, size_t size)
{
	struct eng_server *server;
	size_t n = 0;

	RB_FOREACH (server, eng_servers, &engine->servers) {
		if (n == size)
			break;
		if (server->tier != 0 || server->pick.running == 0)
			continue;
		loads[n].server = server->address.name;
		loads[n++].slots = server->pick.running;
	}
	return n;
}

void
engine_others_running(struct engine *engine, const char *name, uint32_t running)
{
	struct eng_server *server = eng_server_find(engine, name);

	if (server == NULL || server->others_running == running)
		return;
	server->others_running = running;
	eng_server_share(engine, server, clock_now_us(engine->clock));
}
