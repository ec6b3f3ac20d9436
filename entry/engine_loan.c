/*
 * Loans of slots between entry hosts, so that a host with many waiting tasks
 * can use the slots that other hosts leave idle.
 *
 * The borrower starts tasks on borrowed slots for a short time only. After
 * that, it retains the slots whose tasks still run and returns the others. The
 * lender does not use lent slots until they are returned, or until no task of
 * the borrower can still run on them, so that a slot is never used by both at
 * once.
 */

#include <stdlib.h>
#include <string.h>

#include "entry/engine_internal.h"

/* Idle slots of each server that are not lent, for tasks of this host. */
#define ENG_LOAN_RESERVED_SLOTS 1
/* Maximum number of servers of a pool on which slots are requested at once. */
#define ENG_LOAN_SERVERS_MAX 512
/* With fewer slots than this for each waiting task, tasks wait too long, and
 * slots are requested from other hosts. */
#define ENG_LOAN_MIN_SLOTS_PER_TASK 2

/* Number of slots of a server in unexpired loans to other hosts. */
uint32_t
eng_loans_lent(const struct eng_server *server, uint64_t now_us)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < ENG_LOANS_MAX; i++) {
		if (server->lent[i].expires_us > now_us)
			sum += server->lent[i].slots;
	}
	return sum;
}

/* Number of borrowed slots of a server, without those to be returned. */
uint32_t
eng_loans_borrowed(const struct eng_server *server)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < ENG_LOANS_MAX; i++)
		sum += server->borrowed[i].slots;
	return sum;
}

/* Makes the slots of expired loans from other hosts returnable, except those
 * that running tasks need. */
void
eng_loans_expire_borrowed(struct engine *engine, struct eng_server *server,
    uint64_t now_us)
{
	uint32_t borrowed = eng_loans_borrowed(server), own, needed, in_use;
	struct eng_loan *loan;
	size_t i;

	if (borrowed == 0)
		return;
	own = server->base_limit > borrowed ? server->base_limit - borrowed : 0;
	needed = server->pick.running > own ? server->pick.running - own : 0;
	/* Running tasks are attributed to unexpired loans first. */
	for (i = 0; i < ENG_LOANS_MAX; i++) {
		loan = &server->borrowed[i];
		if (loan->expires_us > now_us)
			needed -= loan->slots < needed ? loan->slots : needed;
	}
	for (i = 0; i < ENG_LOANS_MAX; i++) {
		loan = &server->borrowed[i];
		if (loan->expires_us > now_us || loan->slots == 0)
			continue;
		in_use = loan->slots < needed ? loan->slots : needed;
		needed -= in_use;
		engine->nreturnable += loan->slots - in_use;
		loan->returnable += loan->slots - in_use;
		server->base_limit -= server->base_limit < loan->slots - in_use
		    ? server->base_limit
		    : loan->slots - in_use;
		loan->slots = in_use;
	}
}

/* Ends expired loans in both directions. Return: true if slots lent to other
 * hosts were reclaimed, so that the limit of the server changes. */
bool
eng_loans_expire(struct engine *engine, struct eng_server *server,
    uint64_t now_us)
{
	struct eng_loan *loan;
	bool expired = false;
	size_t i;

	if (server->nloans == 0)
		return false;
	for (i = 0; i < ENG_LOANS_MAX; i++) {
		loan = &server->lent[i];
		if (loan->slots != 0 && loan->expires_us <= now_us) {
			loan->slots = 0;
			server->nloans--;
			expired = true;
		}
	}
	eng_loans_expire_borrowed(engine, server, now_us);
	return expired;
}

/* Finds an unused entry. Return: NULL if there is none. */
static struct eng_loan *
eng_loan_find_unused(struct eng_loan *loans)
{
	size_t i;

	for (i = 0; i < ENG_LOANS_MAX; i++) {
		if (loans[i].slots == 0 && loans[i].returnable == 0)
			return &loans[i];
	}
	return NULL;
}

/* Requests for slots */

static int
eng_loan_server_cmp(const void *a, const void *b)
{
	const struct eng_server *x = *(struct eng_server *const *)a;
	const struct eng_server *y = *(struct eng_server *const *)b;

	return (x->pick.speed < y->pick.speed) -
	    (x->pick.speed > y->pick.speed);
}

/* Returns whether the expected wait of the last waiting task in the local zone
 * is so long that servers of other zones are used. */
static bool
eng_pool_overflows(const struct engine *engine, const struct eng_pool *pool)
{
	double capacity = pick_capacity(&pool->pick, 0);

	if (!engine->policy.overflow)
		return false;
	return capacity <= 0 ||
	    pool->order.work_us / capacity >= ENG_OVERFLOW_MIN_WAIT_US;
}

/* Stores the servers of a pool on which slots are requested, by decreasing
 * speed: usable ones on which all slots of this host are in use. Return: their
 * number. */
static size_t
eng_loan_candidates(struct engine *engine, struct eng_pool *pool,
    struct eng_server **servers)
{
	bool overflows = eng_pool_overflows(engine, pool);
	struct eng_server *server;
	size_t i, n = 0;

	for (i = 0; i < pool->pick.nmembers && n < ENG_LOAN_SERVERS_MAX; i++) {
		server = (struct eng_server *)pool->pick.members[i]->server;
		if (server->pick.usable && server->paused_until_us == 0 &&
		    server->pick.running >= server->base_limit &&
		    server->base_limit < server->cfg.slots &&
		    (server->tier == 0 || overflows))
			servers[n++] = server;
	}
	/* NOLINTNEXTLINE(bugprone-sizeof-expression) */
	qsort(servers, n, sizeof(servers[0]), eng_loan_server_cmp);
	return n;
}

/* Returns whether enough tasks wait to justify the messages of a loan. */
static bool
eng_pool_needs_slots(const struct engine *engine, const struct eng_pool *pool)
{
	uint32_t slots = 0;
	int bucket;

	if (pool->order.nitems == 0)
		return false;
	for (bucket = 0; bucket < PICK_BUCKETS; bucket++)
		slots += pool->pick.tiers[0].limit_sum[bucket];
	return engine->nwaiting * ENG_LOAN_MIN_SLOTS_PER_TASK > slots;
}

size_t
engine_loan_requests(struct engine *engine, struct engine_loan *requests,
    size_t size)
{
	struct eng_server *servers[ENG_LOAN_SERVERS_MAX];
	struct eng_pool *pool;
	size_t i, n = 0, nservers, nremaining = engine->nwaiting;
	uint32_t nslots;

	if (nremaining == 0)
		return 0;
	TAILQ_FOREACH (pool, &engine->pools, entry) {
		if (!eng_pool_needs_slots(engine, pool))
			continue;
		nservers = eng_loan_candidates(engine, pool, servers);
		for (i = 0; i < nservers && n < size && nremaining != 0; i++) {
			nslots = servers[i]->cfg.slots - servers[i]->base_limit;
			if (nslots > nremaining)
				nslots = (uint32_t)nremaining;
			nremaining -= nslots;
			requests[n].server = servers[i]->address.name;
			requests[n].az = servers[i]->cfg.az;
			requests[n++].slots = nslots;
		}
	}
	return n;
}

/* Lending */

uint32_t
engine_loan_grant(struct engine *engine, const char *name, uint64_t borrower,
    uint32_t slots, uint64_t duration_us)
{
	struct eng_server *server = eng_server_find(engine, name);
	uint64_t now_us = clock_now_us(engine->clock);
	struct eng_loan *loan;
	uint32_t idle, reserved;

	/* A host that has borrowed slots of a server lends no slots of it, so
	 * that borrowed slots are not lent again. */
	if (server == NULL || server->tier != 0 || !server->pick.usable ||
	    engine->nwaiting != 0 || server->paused_until_us != 0 ||
	    eng_loans_borrowed(server) != 0)
		return 0;
	eng_loans_expire(engine, server, now_us);
	reserved = server->pick.running + ENG_LOAN_RESERVED_SLOTS;
	idle =
	    server->base_limit > reserved ? server->base_limit - reserved : 0;
	if (slots > idle)
		slots = idle;
	loan = eng_loan_find_unused(server->lent);
	if (slots == 0 || loan == NULL)
		return 0;
	loan->slots = slots;
	loan->peer = borrower;
	loan->expires_us = now_us + duration_us;
	server->nloans++;
	eng_server_update_limit(engine, server, now_us);
	eng_schedule_tick(engine);
	return slots;
}

void
engine_loan_returned(struct engine *engine, const char *name, uint64_t borrower,
    uint32_t slots)
{
	struct eng_server *server = eng_server_find(engine, name);
	struct eng_loan *loan;
	uint32_t nreturned;
	size_t i;

	if (server == NULL)
		return;
	for (i = 0; i < ENG_LOANS_MAX && slots != 0; i++) {
		loan = &server->lent[i];
		nreturned = loan->slots < slots ? loan->slots : slots;
		if (nreturned == 0 || loan->peer != borrower)
			continue;
		loan->slots -= nreturned;
		slots -= nreturned;
		if (loan->slots == 0)
			server->nloans--;
	}
	eng_server_update_limit(engine, server, clock_now_us(engine->clock));
	eng_dispatch_server(engine, server);
}

/* Borrowing */

bool
engine_loan_accept(struct engine *engine, const struct engine_loan *granted,
    uint64_t duration_us)
{
	struct eng_server *server = eng_server_find(engine, granted->server);
	uint64_t now_us = clock_now_us(engine->clock);
	struct eng_loan *loan;

	if (server == NULL)
		return false;
	loan = eng_loan_find_unused(server->borrowed);
	if (loan == NULL)
		return false;
	loan->slots = granted->slots;
	loan->peer = granted->lender;
	loan->expires_us = now_us + duration_us;
	server->nloans++;
	eng_server_update_limit(engine, server, now_us);
	eng_schedule_tick(engine);
	eng_dispatch_server(engine, server);
	return true;
}

size_t
engine_loan_collect_returns(struct engine *engine, struct engine_loan *returns,
    size_t size)
{
	struct eng_server *server;
	struct eng_loan *loan;
	size_t i, n = 0;

	if (engine->nreturnable == 0)
		return 0;
	RB_FOREACH (server, eng_servers, &engine->servers) {
		for (i = 0; server->nloans != 0 && i < ENG_LOANS_MAX; i++) {
			loan = &server->borrowed[i];
			if (loan->returnable == 0 || n == size)
				continue;
			returns[n].server = server->address.name;
			returns[n].az = server->cfg.az;
			returns[n].lender = loan->peer;
			returns[n++].slots = loan->returnable;
			engine->nreturnable -= loan->returnable;
			loan->returnable = 0;
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
	eng_server_update_limit(engine, server, clock_now_us(engine->clock));
}
