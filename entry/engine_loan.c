/*
 * Slots that entry hosts lend each other, so that a host with many waiting
 * tasks can use what others leave idle.
 *
 * The borrower starts tasks on a loan for a short time. After that it keeps
 * only the slots whose tasks still run, and owes the others to the lender. The
 * lender counts a loan as gone until it is given back, or for so long that no
 * task of the borrower can still run.
 */

#include <stdlib.h>
#include <string.h>

#include "entry/engine_internal.h"

#define ENG_LOAN_KEPT_SLOTS 1	  /* idle ones of each server, for own tasks */
#define ENG_LOAN_SERVERS_MAX 512  /* looked at for one list of wants */
#define ENG_LOAN_SLOTS_PER_TASK 2 /* fewer: tasks wait too long */

uint32_t
eng_loans_lent(const struct eng_server *server, uint64_t now_us)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < ENG_LOANS_MAX; i++) {
		if (server->lent[i].until_us > now_us)
			sum += server->lent[i].slots;
	}
	return sum;
}

uint32_t
eng_loans_borrowed(const struct eng_server *server)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < ENG_LOANS_MAX; i++)
		sum += server->borrowed[i].slots;
	return sum;
}

/* What the server's running tasks do not need of loans whose time is over is
 * owed to the lender from now on. */
void
eng_loan_trim(struct engine *engine, struct eng_server *server, uint64_t now_us)
{
	uint32_t borrowed = eng_loans_borrowed(server), own, needed, keep;
	struct eng_loan *loan;
	size_t i;

	if (borrowed == 0)
		return;
	own = server->own_limit > borrowed ? server->own_limit - borrowed : 0;
	needed = server->pick.running > own ? server->pick.running - own : 0;
	/* Loans that still run are used first. */
	for (i = 0; i < ENG_LOANS_MAX; i++) {
		loan = &server->borrowed[i];
		if (loan->until_us > now_us)
			needed -= loan->slots < needed ? loan->slots : needed;
	}
	for (i = 0; i < ENG_LOANS_MAX; i++) {
		loan = &server->borrowed[i];
		if (loan->until_us > now_us || loan->slots == 0)
			continue;
		keep = loan->slots < needed ? loan->slots : needed;
		needed -= keep;
		engine->nowed += loan->slots - keep;
		loan->owed += loan->slots - keep;
		server->own_limit -= server->own_limit < loan->slots - keep
		    ? server->own_limit
		    : loan->slots - keep;
		loan->slots = keep;
	}
}

/* Forgets loans to others that were never given back; true if there was one. */
bool
eng_loan_due(struct engine *engine, struct eng_server *server, uint64_t now_us)
{
	struct eng_loan *loan;
	bool due = false;
	size_t i;

	if (server->nloans == 0)
		return false;
	for (i = 0; i < ENG_LOANS_MAX; i++) {
		loan = &server->lent[i];
		if (loan->slots != 0 && loan->until_us <= now_us) {
			loan->slots = 0;
			server->nloans--;
			due = true;
		}
	}
	eng_loan_trim(engine, server, now_us);
	return due;
}

/* An entry that holds nothing, or NULL. */
static struct eng_loan *
eng_loan_unused(struct eng_loan *loans)
{
	size_t i;

	for (i = 0; i < ENG_LOANS_MAX; i++) {
		if (loans[i].slots == 0 && loans[i].owed == 0)
			return &loans[i];
	}
	return NULL;
}

/* Wants */

static int
eng_loan_faster(const void *a, const void *b)
{
	const struct eng_server *x = *(struct eng_server *const *)a;
	const struct eng_server *y = *(struct eng_server *const *)b;

	return (x->pick.speed < y->pick.speed) -
	    (x->pick.speed > y->pick.speed);
}

/* Would the last of all waiting tasks wait so long here that other zones are
 * to help? */
static bool
eng_loan_overflows(const struct engine *engine, const struct eng_pool *pool)
{
	double capacity = pick_capacity(&pool->pick, 0);

	if (!engine->policy.overflow)
		return false;
	return capacity <= 0 ||
	    pool->order.work_us / capacity >= ENG_OVERFLOW_WAIT_US;
}

static size_t
eng_loan_candidates(struct engine *engine, struct eng_pool *pool,
    struct eng_server **servers)
{
	bool overflows = eng_loan_overflows(engine, pool);
	struct eng_server *server;
	size_t i, n = 0;

	for (i = 0; i < pool->pick.nmembers && n < ENG_LOAN_SERVERS_MAX; i++) {
		server = (struct eng_server *)pool->pick.members[i]->server;
		if (server->pick.usable && server->paused_until_us == 0 &&
		    server->pick.running >= server->own_limit &&
		    server->own_limit < server->cfg.slots &&
		    (server->tier == 0 || overflows))
			servers[n++] = server;
	}
	/* NOLINTNEXTLINE(bugprone-sizeof-expression) */
	qsort(servers, n, sizeof(servers[0]), eng_loan_faster);
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
		slots += pool->pick.tiers[0].limit_sum[bucket];
	return engine->nwaiting * ENG_LOAN_SLOTS_PER_TASK > slots;
}

size_t
engine_loan_requests(struct engine *engine, struct engine_loan *wants,
    size_t size)
{
	struct eng_server *servers[ENG_LOAN_SERVERS_MAX];
	struct eng_pool *pool;
	size_t i, n = 0, nservers, left = engine->nwaiting;
	uint32_t more;

	if (left == 0)
		return 0;
	TAILQ_FOREACH (pool, &engine->pools, entry) {
		if (!eng_pool_is_short(engine, pool))
			continue;
		nservers = eng_loan_candidates(engine, pool, servers);
		for (i = 0; i < nservers && n < size && left != 0; i++) {
			more = servers[i]->cfg.slots - servers[i]->own_limit;
			if (more > left)
				more = (uint32_t)left;
			left -= more;
			wants[n].server = servers[i]->address.name;
			wants[n].az = servers[i]->cfg.az;
			wants[n++].slots = more;
		}
	}
	return n;
}

/* The lender */

uint32_t
engine_loan_grant(struct engine *engine, const char *name, uint32_t slots,
    uint64_t for_us)
{
	struct eng_server *server = eng_server_find(engine, name);
	uint64_t now_us = clock_now_us(engine->clock);
	struct eng_loan *loan;
	uint32_t idle, kept;

	/* Slots that are borrowed themselves are not lent. */
	if (server == NULL || server->tier != 0 || !server->pick.usable ||
	    engine->nwaiting != 0 || server->paused_until_us != 0 ||
	    eng_loans_borrowed(server) != 0)
		return 0;
	eng_loan_due(engine, server, now_us);
	kept = server->pick.running + ENG_LOAN_KEPT_SLOTS;
	idle = server->own_limit > kept ? server->own_limit - kept : 0;
	if (slots > idle)
		slots = idle;
	loan = eng_loan_unused(server->lent);
	if (slots == 0 || loan == NULL)
		return 0;
	loan->slots = slots;
	loan->until_us = now_us + for_us;
	server->nloans++;
	eng_server_share(engine, server, now_us);
	eng_tick_on(engine);
	return slots;
}

void
engine_loan_returned(struct engine *engine, const char *name, uint32_t slots)
{
	struct eng_server *server = eng_server_find(engine, name);
	struct eng_loan *loan;
	uint32_t part;
	size_t i;

	if (server == NULL)
		return;
	for (i = 0; i < ENG_LOANS_MAX && slots != 0; i++) {
		loan = &server->lent[i];
		part = loan->slots < slots ? loan->slots : slots;
		if (part == 0)
			continue;
		loan->slots -= part;
		slots -= part;
		if (loan->slots == 0)
			server->nloans--;
	}
	eng_server_share(engine, server, clock_now_us(engine->clock));
	eng_pump_server(engine, server);
}

/* The borrower */

bool
engine_loan_accept(struct engine *engine, const struct engine_loan *taken,
    uint64_t for_us)
{
	struct eng_server *server = eng_server_find(engine, taken->server);
	uint64_t now_us = clock_now_us(engine->clock);
	struct eng_loan *loan;

	if (server == NULL)
		return false;
	loan = eng_loan_unused(server->borrowed);
	if (loan == NULL)
		return false;
	loan->slots = taken->slots;
	loan->lender = taken->lender;
	loan->until_us = now_us + for_us;
	server->nloans++;
	eng_server_share(engine, server, now_us);
	eng_tick_on(engine);
	eng_pump_server(engine, server);
	return true;
}

size_t
engine_loan_collect_returns(struct engine *engine, struct engine_loan *owed,
    size_t size)
{
	struct eng_server *server;
	struct eng_loan *loan;
	size_t i, n = 0;

	if (engine->nowed == 0)
		return 0;
	RB_FOREACH (server, eng_servers, &engine->servers) {
		for (i = 0; server->nloans != 0 && i < ENG_LOANS_MAX; i++) {
			loan = &server->borrowed[i];
			if (loan->owed == 0 || n == size)
				continue;
			owed[n].server = server->address.name;
			owed[n].az = server->cfg.az;
			owed[n].lender = loan->lender;
			owed[n++].slots = loan->owed;
			engine->nowed -= loan->owed;
			loan->owed = 0;
			if (loan->slots == 0)
				server->nloans--;
		}
	}
	return n;
}

/* Loads */

size_t
engine_server_loads(struct engine *engine, struct engine_loan *loads,
    size_t size)
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
engine_set_others_running(struct engine *engine, const char *name,
    uint32_t running)
{
	struct eng_server *server = eng_server_find(engine, name);

	if (server == NULL || server->others_running == running)
		return;
	server->others_running = running;
	eng_server_share(engine, server, clock_now_us(engine->clock));
}
