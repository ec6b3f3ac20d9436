/*
 * Application of a configuration and of the set of live entry hosts. Objects
 * that have not changed retain their state; running calls and waiting tasks are
 * not interrupted.
 */

#include <stdlib.h>
#include <string.h>

#include "entry/engine_internal.h"

static int
eng_team_cmp(const struct eng_team *a, const struct eng_team *b)
{
	return strcmp(a->name, b->name);
}

static int
eng_job_cmp(const struct eng_job *a, const struct eng_job *b)
{
	return strcmp(a->name, b->name);
}

RB_GENERATE(eng_teams, eng_team, entry, eng_team_cmp)
RB_GENERATE(eng_jobs, eng_job, entry, eng_job_cmp)

/* Teams. A team that is not configured has no quota. */

static struct eng_team *
eng_team_get(struct engine *engine, const char *name)
{
	struct eng_team key, *team;

	snprintf(key.name, sizeof(key.name), "%s", name);
	team = RB_FIND(eng_teams, &engine->teams, &key);
	if (team != NULL)
		return team;
	team = calloc(1, sizeof(*team));
	if (team == NULL)
		return NULL;
	memcpy(team->name, key.name, sizeof(team->name));
	TAILQ_INIT(&team->jobs);
	RB_INSERT(eng_teams, &engine->teams, team);
	return team;
}

static void
eng_apply_teams(struct engine *engine, const struct config *config)
{
	const struct cfg_object *object;
	struct eng_team *team;
	struct eng_job *job;
	bool full;

	RB_FOREACH (team, eng_teams, &engine->teams) {
		object = cfg_find(config, CFG_TEAM, team->name);
		team->running_max =
		    object == NULL ? 0 : object->u.team.running_max;
		full = team->running_max != 0 &&
		    team->running >= team->running_max;
		TAILQ_FOREACH (job, &team->jobs, team_entry)
			ord_set_blocked(&job->pool->order, &job->flow, full);
	}
}

/* Servers. */

static struct eng_server *
eng_server_create(struct engine *engine, const struct cfg_object *object)
{
	struct eng_server *server;

	server = calloc(1, sizeof(*server));
	if (server == NULL)
		return NULL;
	memcpy(server->address.name, object->name, NAME_SIZE);
	pick_server_init(&server->pick);
	lrn_init_speed(&server->speed, engine->mean_log_speed);
	server->pick.speed = server->speed.value;
	TAILQ_INIT(&server->calls);
	RB_INSERT(eng_servers, &engine->servers, server);
	return server;
}

/* Makes a server a member of exactly the pools whose selectors match it. */
static void
eng_server_update_pools(struct engine *engine, struct eng_server *server)
{
	struct eng_pool *pool;

	pick_server_remove(&server->pick);
	TAILQ_FOREACH (pool, &engine->pools, entry) {
		if (eng_pool_matches(pool, server))
			(void)pick_pool_add(&pool->pick, &server->pick,
			    server->tier);
	}
}

/*
 * Evaluates the label "leaving". Its removal withdraws the reports of all other
 * sources as well. So does a new address, which belongs to another server.
 */
static void
eng_server_apply_leaving(struct engine *engine, struct eng_server *server,
    bool address_changed)
{
	bool had_label = (server->leaving_reported & ENG_LEAVING_LABEL) != 0;
	bool has_label = lbl_get(&server->labels, "leaving") != NULL;

	if ((had_label && !has_label) || address_changed)
		eng_server_clear_leaving(engine, server);
	if (has_label)
		eng_server_set_leaving(engine, server, ENG_LEAVING_LABEL, true);
}

static bool
eng_server_config_differs(const struct eng_server *server,
    const struct cfg_object *object)
{
	const struct cfg_server *cfg = &object->u.server;

	return !server->configured ||
	    !lbl_equal(&server->labels, &object->labels) ||
	    strcmp(server->cfg.address, cfg->address) != 0 ||
	    strcmp(server->cfg.az, cfg->az) != 0 ||
	    server->cfg.port != cfg->port || server->cfg.slots != cfg->slots ||
	    server->cfg.connections != cfg->connections;
}

static void
eng_apply_server(struct engine *engine, const struct cfg_object *object,
    uint64_t now_us)
{
	struct eng_server *server = eng_server_find(engine, object->name);
	const struct cfg_server *cfg = &object->u.server;
	bool address_changed;

	if (server == NULL)
		server = eng_server_create(engine, object);
	if (server == NULL)
		return;
	server->in_new_config = true;
	if (!eng_server_config_differs(server, object))
		return;
	address_changed = server->cfg.port != cfg->port ||
	    strcmp(server->cfg.address, cfg->address) != 0;
	if (address_changed) {
		memset(&server->health, 0, sizeof(server->health));
		eng_server_count_ejected(engine, server);
	}
	server->configured = true;
	server->cfg = *cfg;
	(void)lbl_copy(&server->labels, &object->labels);
	memcpy(server->address.address, cfg->address, sizeof(cfg->address));
	server->address.port = cfg->port;
	server->tier = strcmp(cfg->az, engine->az) == 0 ? 0 : 1;
	eng_server_update_pools(engine, server);
	eng_server_apply_leaving(engine, server, address_changed);
	eng_server_update_limit(engine, server, now_us);
}

static void
eng_apply_servers(struct engine *engine, const struct config *config)
{
	const struct cfg_object *object;
	struct eng_server *server, *next;
	uint64_t now_us = clock_now_us(engine->clock);

	RB_FOREACH (server, eng_servers, &engine->servers)
		server->in_new_config = false;
	TAILQ_FOREACH (object, &config->objects[CFG_SERVER], entry)
		eng_apply_server(engine, object, now_us);
	engine->nlocal_servers = 0;
	for (server = RB_MIN(eng_servers, &engine->servers); server != NULL;
	     server = next) {
		next = RB_NEXT(eng_servers, &engine->servers, server);
		if (server->in_new_config) {
			engine->nlocal_servers += server->tier == 0;
			continue;
		}
		server->configured = false;
		eng_server_count_ejected(engine, server);
		eng_server_refresh(engine, server);
		eng_server_release(engine, server);
	}
}

/* Pools. */

static bool
eng_selectors_equal(const struct selector *a, const struct selector *b)
{
	if (a == NULL || b == NULL)
		return a == b;
	return sel_equal(a, b);
}

bool
eng_pool_matches(const struct eng_pool *pool, const struct eng_server *server)
{
	if (!server->configured || pool->service_sel == NULL)
		return false;
	return sel_match(pool->service_sel, &server->labels) &&
	    (pool->job_sel == NULL ||
		sel_match(pool->job_sel, &server->labels));
}

static void
eng_pool_release(struct engine *engine, struct eng_pool *pool)
{
	if (--pool->njobs != 0)
		return;
	TAILQ_REMOVE(&engine->pools, pool, entry);
	pick_pool_clear(&pool->pick);
	sel_free(pool->service_sel);
	sel_free(pool->job_sel);
	free(pool);
}

/* Finds or creates the pool of a pair of selectors, and adds a reference of a
 * job to it. */
static struct eng_pool *
eng_pool_get(struct engine *engine, const struct selector *service_sel,
    const struct selector *job_sel)
{
	struct eng_server *server;
	struct eng_pool *pool;

	TAILQ_FOREACH (pool, &engine->pools, entry) {
		if (eng_selectors_equal(pool->service_sel, service_sel) &&
		    eng_selectors_equal(pool->job_sel, job_sel)) {
			pool->njobs++;
			return pool;
		}
	}
	pool = calloc(1, sizeof(*pool));
	if (pool == NULL)
		return NULL;
	pick_pool_init(&pool->pick, engine->policy.pick);
	ord_init(&pool->order, engine->policy.order);
	pool->service_sel = service_sel == NULL ? NULL : sel_copy(service_sel);
	pool->job_sel = job_sel == NULL ? NULL : sel_copy(job_sel);
	pool->njobs = 1;
	TAILQ_INSERT_TAIL(&engine->pools, pool, entry);
	RB_FOREACH (server, eng_servers, &engine->servers) {
		if (eng_pool_matches(pool, server))
			(void)pick_pool_add(&pool->pick, &server->pick,
			    server->tier);
	}
	return pool;
}

/* Jobs. */

static struct eng_job *
eng_job_create(struct engine *engine, const char *name)
{
	struct eng_job *job;

	job = calloc(1, sizeof(*job));
	if (job == NULL)
		return NULL;
	snprintf(job->name, sizeof(job->name), "%s", name);
	TAILQ_INIT(&job->subms);
	lrn_init_factor(&job->factor);
	hlth_job_init(&job->health);
	RB_INSERT(eng_jobs, &engine->jobs, job);
	return job;
}

/* Moves a job and its waiting submissions to another pool. The caller's
 * reference to the pool passes to the job. */
static void
eng_job_set_pool(struct engine *engine, struct eng_job *job,
    struct eng_pool *pool)
{
	struct eng_pool *old = job->pool;
	bool blocked = job->flow.blocked;
	struct eng_subm *subm;

	if (old == pool) {
		pool->njobs--;
		return;
	}
	TAILQ_FOREACH (subm, &job->subms, job_entry) {
		if (subm->npending != 0)
			ord_remove(&old->order, &subm->item);
	}
	memset(&job->flow, 0, sizeof(job->flow));
	job->flow.blocked = blocked;
	job->pool = pool;
	TAILQ_FOREACH (subm, &job->subms, job_entry) {
		if (subm->npending != 0)
			ord_add(&pool->order, &subm->item);
	}
	if (old != NULL)
		eng_pool_release(engine, old);
}

static void
eng_job_set_team(struct engine *engine, struct eng_job *job)
{
	if (job->team != NULL)
		TAILQ_REMOVE(&job->team->jobs, job, team_entry);
	job->team = job->cfg.team[0] == '\0'
	    ? NULL
	    : eng_team_get(engine, job->cfg.team);
	if (job->team != NULL)
		TAILQ_INSERT_TAIL(&job->team->jobs, job, team_entry);
	else
		ord_set_blocked(&job->pool->order, &job->flow, false);
}

static void
eng_apply_job(struct engine *engine, const struct config *config,
    const struct cfg_object *object)
{
	const struct cfg_job *cfg = &object->u.job;
	const struct cfg_object *service;
	struct eng_job key, *job;
	struct eng_pool *pool;

	memcpy(key.name, object->name, NAME_SIZE);
	service = cfg_find(config, CFG_SERVICE, cfg->service);
	pool = eng_pool_get(engine,
	    service == NULL ? NULL : service->u.service.selector,
	    cfg->selector);
	if (pool == NULL)
		return;
	job = RB_FIND(eng_jobs, &engine->jobs, &key);
	if (job == NULL)
		job = eng_job_create(engine, object->name);
	if (job == NULL) {
		eng_pool_release(engine, pool);
		return;
	}
	job->in_new_config = true;
	job->configured = true;
	job->cfg = *cfg;
	job->cfg.selector = NULL; /* owned by the configuration */
	if (service != NULL)
		memcpy(job->path, service->u.service.path, sizeof(job->path));
	eng_job_set_pool(engine, job, pool);
	eng_job_set_team(engine, job);
}

void
eng_job_release(struct engine *engine, struct eng_job *job)
{
	if (job->configured || job->nsubms != 0)
		return;
	RB_REMOVE(eng_jobs, &engine->jobs, job);
	if (job->team != NULL)
		TAILQ_REMOVE(&job->team->jobs, job, team_entry);
	eng_pool_release(engine, job->pool);
	free(job);
}

static void
eng_apply_jobs(struct engine *engine, const struct config *config)
{
	const struct cfg_object *object;
	struct eng_job *job, *next;

	RB_FOREACH (job, eng_jobs, &engine->jobs)
		job->in_new_config = false;
	TAILQ_FOREACH (object, &config->objects[CFG_JOB], entry)
		eng_apply_job(engine, config, object);
	for (job = RB_MIN(eng_jobs, &engine->jobs); job != NULL; job = next) {
		next = RB_NEXT(eng_jobs, &engine->jobs, job);
		job->configured = job->in_new_config;
		eng_job_release(engine, job);
	}
}

void
engine_configure(struct engine *engine, const struct config *config)
{
	engine->dispatch_suspended = true;
	engine->config_version = config->version;
	eng_apply_servers(engine, config);
	eng_apply_jobs(engine, config);
	eng_apply_teams(engine, config);
	/* The limits of servers in other zones depend on the members of all
	 * pools. */
	eng_servers_update_limits(engine);
	engine->dispatch_suspended = false;
	eng_dispatch_all(engine);
}

void
engine_set_az_hosts(struct engine *engine,
    const struct engine_az_hosts *az_hosts)
{
	char(*hosts)[NAME_SIZE];
	const char **names;
	size_t i;

	if (strcmp(az_hosts->az, engine->az) != 0)
		return;
	hosts = calloc(az_hosts->nhosts + 1, sizeof(*hosts));
	names = calloc(az_hosts->nhosts + 1, sizeof(*names));
	if (hosts == NULL || names == NULL) {
		free(hosts);
		free(names);
		return;
	}
	for (i = 0; i < az_hosts->nhosts; i++) {
		snprintf(hosts[i], NAME_SIZE, "%s", az_hosts->hosts[i]);
		names[i] = hosts[i];
	}
	free(engine->az_host_names);
	free(engine->az_host_ptrs);
	engine->az_host_names = hosts;
	engine->az_host_ptrs = names;
	engine->naz_hosts = az_hosts->nhosts;
	eng_servers_update_limits(engine);
	eng_dispatch_all(engine);
}

/* Frees servers, jobs, pools and teams, after the last submission. */
void
eng_config_clear(struct engine *engine)
{
	struct eng_server *server, *next_server;
	struct eng_job *job, *next_job;
	struct eng_team *team;

	for (job = RB_MIN(eng_jobs, &engine->jobs); job != NULL;
	     job = next_job) {
		next_job = RB_NEXT(eng_jobs, &engine->jobs, job);
		job->configured = false;
		eng_job_release(engine, job);
	}
	for (server = RB_MIN(eng_servers, &engine->servers); server != NULL;
	     server = next_server) {
		next_server = RB_NEXT(eng_servers, &engine->servers, server);
		/* Retains the server until its calls are cancelled. */
		server->configured = true;
		while (!TAILQ_EMPTY(&server->calls))
			eng_call_cancel(TAILQ_FIRST(&server->calls));
		server->configured = false;
		eng_server_release(engine, server);
	}
	while ((team = RB_MIN(eng_teams, &engine->teams)) != NULL) {
		RB_REMOVE(eng_teams, &engine->teams, team);
		free(team);
	}
}
