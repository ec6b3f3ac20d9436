/*
 * State of backend servers: leaving, health, pauses, and the resulting limit
 * of running tasks.
 */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "entry/engine_internal.h"

#define ENG_OVERDUE_FACTOR 4.0 /* of the expected run time */
#define ENG_OVERDUE_MIN_US 500000
#define ENG_REMOTE_LIMIT_TASKS 1 /* tasks on a server of another zone */
#define ENG_LEAVING_DIRECT ((unsigned)(ENG_LEAVING_SELF | ENG_LEAVING_LIST))

static struct counter eng_ejected = {
	.name = "berylrail_servers_ejected",
	.help = "Backend servers ejected, or being tried again.",
	.gauge = 1,
};
static struct counter eng_ejections = {
	.name = "berylrail_server_ejections_total",
	.help = "Ejections of backend servers.",
};

static int
eng_server_cmp(const struct eng_server *a, const struct eng_server *b)
{
	return strcmp(a->address.name, b->address.name);
}

RB_GENERATE(eng_servers, eng_server, entry, eng_server_cmp)

struct eng_server *
eng_server_find(struct engine *engine, const char *name)
{
	struct eng_server key;

	snprintf(key.address.name, sizeof(key.address.name), "%s", name);
	return RB_FIND(eng_servers, &engine->servers, &key);
}

/* Whether other zones have to help depends on the servers of the own one. */
static void
eng_servers_update_remote_limits(struct engine *engine)
{
	uint64_t now_us = clock_now_us(engine->clock);
	struct eng_server *server;

	RB_FOREACH (server, eng_servers, &engine->servers) {
		if (server->tier != 0)
			eng_server_update_limit(engine, server, now_us);
	}
}

/* When the first of its running tasks is expected to end. */
static uint64_t
eng_first_expected_end_us(const struct eng_server *server)
{
	const struct eng_call *call;
	uint64_t end_us, first_us = UINT64_MAX;

	TAILQ_FOREACH (call, &server->calls, server_entry) {
		end_us = call->started_us + (uint64_t)call->expected_us;
		if (end_us < first_us)
			first_us = end_us;
	}
	return first_us;
}

/* The limit is this host's share; a paused server is full as it is, a probing
 * one gets one task at a time. */
void
eng_server_refresh(struct engine *engine, struct eng_server *server)
{
	struct pick_server *pick = &server->pick;
	bool was_usable = pick->usable;

	if (server->nloans != 0)
		eng_loans_expire_borrowed(engine, server,
		    clock_now_us(engine->clock));
	pick->next_end_us = eng_first_expected_end_us(server);
	pick->usable = server->configured && server->leaving_sources == 0 &&
	    server->health.state != HLTH_EJECTED;
	pick->limit = server->base_limit;
	if (server->health.state == HLTH_PROBING)
		pick->limit = 1;
	if (server->paused_until_us != 0 && pick->limit > pick->running)
		pick->limit = pick->running;
	pick_server_update(pick);
	if (pick->usable != was_usable && server->tier == 0)
		eng_servers_update_remote_limits(engine);
}

/* What hosts of the server's zone have lent; a single task where the own zone
 * is_leaving no server at all for some pool. */
static uint32_t
eng_server_remote_limit(const struct eng_server *server)
{
	uint32_t limit = eng_loans_borrowed(server);
	const struct pick_member *member;

	TAILQ_FOREACH (member, &server->pick.members, server_entry) {
		if (limit == 0 && pick_best_speed(member->pool, 0) == 0)
			limit = ENG_REMOTE_LIMIT_TASKS;
	}
	return limit;
}

/* Computes the share anew; a server of another zone is left to its hosts. */
void
eng_server_update_limit(struct engine *engine, struct eng_server *server,
    uint64_t now_us)
{
	struct shr_input input = {
		.server = server->address.name,
		.slots = server->cfg.slots,
		.self = engine->host,
		.hosts = engine->az_host_ptrs,
		.nhosts = engine->naz_hosts,
		.lent = eng_loans_lent(server, now_us),
		.borrowed = eng_loans_borrowed(server),
		.others_running = server->others_running,
	};

	if (server->tier == 0)
		server->base_limit = engine->policy.share->limit(&input);
	else
		server->base_limit = eng_server_remote_limit(server);
	if (server->base_limit > server->cfg.connections)
		server->base_limit = server->cfg.connections;
	server->pick.slots = server->cfg.slots;
	eng_server_refresh(engine, server);
}

void
eng_servers_update_limits(struct engine *engine)
{
	struct eng_server *server;
	uint64_t now_us = clock_now_us(engine->clock);

	RB_FOREACH (server, eng_servers, &engine->servers)
		eng_server_update_limit(engine, server, now_us);
}

static const char *
eng_leaving_source_name(enum eng_leaving_source source)
{
	switch (source) {
	case ENG_LEAVING_LABEL:
		return "label";
	case ENG_LEAVING_SELF:
		return "server";
	case ENG_LEAVING_LIST:
		return "list";
	case ENG_LEAVING_PEER:
		return "peer";
	}
	return "";
}

void
engine_set_leaving_callback(struct engine *engine, engine_leaving_fn fn,
    void *arg)
{
	engine->leaving_fn = fn;
	engine->leaving_arg = arg;
}

/* Others are told only what this host knows first hand: no echoes. */
static void
eng_server_notify_leaving(struct engine *engine,
    const struct eng_server *server, unsigned prev_sources)
{
	bool was_leaving = (prev_sources & ENG_LEAVING_DIRECT) != 0;
	bool is_leaving = (server->leaving_sources & ENG_LEAVING_DIRECT) != 0;

	if (was_leaving != is_leaving && engine->leaving_fn != NULL)
		engine->leaving_fn(engine->leaving_arg, server->address.name,
		    is_leaving);
}

/* The first source that says so counts. What was reported is reserved by
 * source, so that a source that repeats itself does not undo a later change. */
void
eng_server_set_leaving(struct engine *engine, struct eng_server *server,
    enum eng_leaving_source source, bool leaving)
{
	bool reported = (server->leaving_reported & source) != 0;
	unsigned prev_sources = server->leaving_sources;

	if (reported == leaving)
		return;
	if (leaving) {
		server->leaving_reported |= source;
		server->leaving_sources |= source;
	} else {
		server->leaving_reported &= ~source;
		server->leaving_sources &= ~source;
		if (source == ENG_LEAVING_LIST)
			server->leaving_sources &= ENG_LEAVING_LABEL;
	}
	log_event(LOG_LEVEL_INFO,
	    server->leaving_sources != 0 ? "server-leaving" : "server-staying",
	    "server=%s source=%s", server->address.name,
	    eng_leaving_source_name(source));
	eng_server_notify_leaving(engine, server, prev_sources);
	eng_server_refresh(engine, server);
}

/* A higher version of the configuration takes back what all sources said. */
void
eng_server_clear_leaving(struct engine *engine, struct eng_server *server)
{
	unsigned prev_sources = server->leaving_sources;

	server->leaving_sources = 0;
	server->leaving_reported &=
	    ~(unsigned)(ENG_LEAVING_LABEL | ENG_LEAVING_SELF);
	eng_server_notify_leaving(engine, server, prev_sources);
	eng_server_refresh(engine, server);
}

void
engine_set_server_leaving(struct engine *engine, const char *name,
    const char *source, bool leaving)
{
	struct eng_server *server = eng_server_find(engine, name);

	if (server == NULL)
		return;
	if (strcmp(source, "list") == 0)
		eng_server_set_leaving(engine, server, ENG_LEAVING_LIST,
		    leaving);
	else
		eng_server_set_leaving(engine, server, ENG_LEAVING_PEER,
		    leaving);
	if (!leaving)
		eng_dispatch_server(engine, server);
}

size_t
engine_leaving_servers(struct engine *engine, const char **names, size_t size)
{
	struct eng_server *server;
	size_t n = 0;

	RB_FOREACH (server, eng_servers, &engine->servers) {
		if (n < size &&
		    (server->leaving_sources & ENG_LEAVING_DIRECT) != 0)
			names[n++] = server->address.name;
	}
	return n;
}

void
eng_server_record_event(struct engine *engine, struct eng_server *server,
    struct eng_job *job, enum hlth_event event)
{
	enum hlth_change change;
	bool may_eject;

	if (!engine->policy.eject)
		return;
	may_eject = engine->nejected < hlth_eject_max(engine->nlocal_servers);
	change = hlth_record(&server->health, &job->health, event, may_eject,
	    clock_now_us(engine->clock), eng_random(engine));
	if (change == HLTH_NO_CHANGE)
		return;
	eng_server_count_ejected(engine, server);
	if (change == HLTH_WAS_EJECTED)
		ctr_inc(&eng_ejections);
	log_event(LOG_LEVEL_INFO,
	    change == HLTH_WAS_EJECTED ? "server-ejected" : "server-readmitted",
	    "server=%s", server->address.name);
	eng_server_refresh(engine, server);
	eng_schedule_tick(engine);
}

/* Keeps the number of servers that are not up. */
void
eng_server_count_ejected(struct engine *engine, struct eng_server *server)
{
	bool ejected = server->configured && server->health.state != HLTH_UP;

	if (ejected == server->counted_as_ejected)
		return;
	server->counted_as_ejected = ejected;
	engine->nejected += ejected ? 1 : -1U;
	ctr_set(&eng_ejected, engine->nejected);
}

void
eng_server_release(struct engine *engine, struct eng_server *server)
{
	if (server->configured || server->pick.running != 0)
		return;
	eng_server_count_ejected(engine, server);
	RB_REMOVE(eng_servers, &engine->servers, server);
	pick_server_remove(&server->pick);
	lbl_clear(&server->labels);
	free(server);
}

/* Factor by which an expected run time may well be exceeded. */
double
eng_uncertainty_factor(const struct eng_call *call)
{
	return exp(2 *
	    sqrt(call->server->speed.variance +
		call->subm->job->factor.variance));
}

/* Tasks that should long have ended count against a server that is_leaving
 * ended none since they started. */
static void
eng_record_overdue(struct engine *engine, struct eng_server *server,
    uint64_t now_us)
{
	struct eng_call *call;
	double limit_us;

	TAILQ_FOREACH (call, &server->calls, server_entry) {
		if (call->started_us < server->last_success_us)
			continue;
		limit_us = call->expected_us * ENG_OVERDUE_FACTOR *
		    eng_uncertainty_factor(call);
		if (limit_us < ENG_OVERDUE_MIN_US)
			limit_us = ENG_OVERDUE_MIN_US;
		if (call->overdue_recorded ||
		    (double)(now_us - call->started_us) < limit_us)
			continue;
		call->overdue_recorded = true;
		eng_server_record_event(engine, server, call->subm->job,
		    HLTH_OVERDUE);
	}
}

void
eng_servers_tick(struct engine *engine, uint64_t now_us)
{
	struct eng_server *server;

	RB_FOREACH (server, eng_servers, &engine->servers) {
		if (server->pick.running != 0 && engine->policy.eject)
			eng_record_overdue(engine, server, now_us);
		if (server->paused_until_us != 0 &&
		    server->paused_until_us <= now_us) {
			server->paused_until_us = 0;
			eng_server_refresh(engine, server);
		}
		if (hlth_probe_due(&server->health, now_us))
			eng_server_refresh(engine, server);
		if (eng_loans_expire(engine, server, now_us))
			eng_server_update_limit(engine, server, now_us);
	}
}
