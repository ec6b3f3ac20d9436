/*
 * Slots that entry hosts of one availability zone lend each other, so that a
 * host with many waiting tasks can use what others leave idle. The lender
 * counts a loan as gone for a little longer than the borrower may use it.
 */

#include <string.h>

#include "entry/engine_internal.h"

#define ENG_LOAN_MARGIN_US 100000

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

/* Has a loan run out since it was last counted? Clears it. */
bool
eng_loan_due(struct eng_server *server, uint64_t now_us)
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

size_t
engine_loan_wants(struct engine *engine, struct engine_loan *wants, size_t size)
{
	struct eng_server *server;
	struct eng_pool *pool;
	size_t i, n = 0;
	uint32_t more;

	TAILQ_FOREACH (pool, &engine->pools, entry) {
		if (pool->order.nitems == 0 || pool->pick.tiers[0].nfree != 0)
			continue;
		for (i = 0; i < pool->pick.nmembers && n < size; i++) {
			server =
			    (struct eng_server *)pool->pick.members[i]->server;
			more = server->cfg.slots - server->own_limit;
			if (server->tier != 0 || more == 0 ||
			    !server->pick.usable)
				continue;
			wants[n].server = server->address.name;
			wants[n++].slots = more;
		}
	}
	return n;
}

uint32_t
engine_loan_give(struct engine *engine, const char *name, uint32_t slots,
    uint64_t for_us)
{
	struct eng_server *server = eng_server_find(engine, name);
	uint64_t now_us = clock_now_us(engine->clock);
	uint32_t idle;

	if (server == NULL || server->tier != 0 || engine->nwaiting != 0)
		return 0;
	eng_loan_due(server, now_us);
	idle = server->own_limit > server->pick.running
	    ? server->own_limit - server->pick.running
	    : 0;
	if (slots > idle)
		slots = idle;
	if (slots == 0 ||
	    !eng_loan_add(server->lent, slots,
		now_us + for_us + ENG_LOAN_MARGIN_US, now_us))
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
	eng_loan_due(server, now_us);
	if (!eng_loan_add(server->borrowed, slots, now_us + for_us, now_us))
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
