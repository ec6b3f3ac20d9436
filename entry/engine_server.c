/*
 * State of backend servers: leaving, health, pauses and share of the slots, and
 * the resulting limit of running tasks. A server that is leaving or ejected
 * receives no tasks; tasks that run on it are not interrupted.
 */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "entry/engine_internal.h"

/* A task is overdue after this multiple of its expected run time, and of its
 * uncertainty factor, but not before the minimum. */
#define ENG_OVERDUE_FACTOR 4.0
#define ENG_OVERDUE_MIN_US 500000
/* Limit of tasks on a server of another zone without borrowed slots. */
#define ENG_REMOTE_LIMIT_TASKS 1
/* Sources that this host reads itself, and reports to its peers. */
#define ENG_LEAVING_DIRECT ((unsigned)(ENG_LEAVING_SELF | ENG_LEAVING_LIST))

static struct counter eng_ejected = {
	.name = "berylrail_servers_ejected",
	.help = "Backend servers that are ejected or being probed.",
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

/* Updates the limits of servers in other zones, which depend on the usable
 * servers of the local zone. */
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

/* Time at which the first of the server's running tasks is expected to end;
 * UINT64_MAX if there is none. */
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

/* Updates the usability and the limit of a server after a change of its state.
 * The limit is the base limit, but a probing server receives one task at a
 * time, and a paused one no new tasks. */
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

/* The limit of a server of another zone: the slots that hosts of that zone have
 * lent. Without any, it is ENG_REMOTE_LIMIT_TASKS if the local zone has no
 * usable server for one of the server's pools, and 0 otherwise. */
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

/* Updates the base limit of a server: this host's share of the slots, or the
 * limit for a server of another zone. */
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

/* Calls the leaving callback if the state according to the direct sources has
 * changed. Reports of peers are not forwarded, as they would circulate. */
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

/*
 * Processes the report of a source. A server is leaving as long as any source
 * reports it as leaving. When the host list no longer does, the reports of
 * peers and of the server itself are withdrawn as well. The latest report of
 * each source is stored, and only changes of it have an effect, so that a
 * repeated report does not override a later one of another source.
 */
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
	    server->leaving_sources != 0 ? "server-leaving"
					 : "server-not-leaving",
	    "server=%s source=%s", server->address.name,
	    eng_leaving_source_name(source));
	eng_server_notify_leaving(engine, server, prev_sources);
	eng_server_refresh(engine, server);
}

/* Withdraws the reports of all sources, for a newer version of the
 * configuration. The host list and peers must report a change before the server
 * is leaving again. */
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

/* Records an event in the health of a server, and ejects or readmits it. */
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

/* Updates the number of servers that are ejected or probing. */
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

/* Frees a server that is not configured, after its last call. */
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

/* Factor by which the run time of a call may exceed the expected one: two
 * standard deviations of the estimate. */
double
eng_uncertainty_factor(const struct eng_call *call)
{
	return exp(2 *
	    sqrt(call->server->speed.variance +
		call->subm->job->factor.variance));
}

/* Records overdue tasks in the health of a server, unless the server has
 * completed a task since they started. */
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
