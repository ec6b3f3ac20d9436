/*
 * Life cycle of the scheduler, its list of backend servers and its periodic
 * checks. No order is sent while the token is 0.
 */

#include <inttypes.h>
#include <jansson.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
/* The weight of one tick's delay is 1/8. A pause of the process counts as the
 * maximum. */
#define SCHED_TICK_DELAY_WEIGHT 8
#define SCHED_TICK_DELAY_MAX_MS 300
#define SCHED_SUBMITTERS_CHECK_MS 100
/* After a pause: two ticks of the connections to peers, and a heartbeat. */
#define SCHED_SUBMITTERS_RESUME_MS 300

uint64_t
sched_now(const struct scheduler *sched)
{
	return clock_now_us(sched->params.clock);
}

uint64_t
sched_token(const struct scheduler *sched)
{
	return sched->token;
}

/*
 * Whether @info describes another incarnation at another address. At the same
 * address the server's own lists identify the incarnation that replies: orders
 * may have reached it before its row was read. A row of an earlier incarnation
 * than the one listed may have been delayed in the store, and ends no runs.
 */
static bool
sched_server_replaced(struct sched_server *server,
    const struct reg_server *info)
{
	uint64_t listed_ms = server->incarnation_start_ms;

	if (server->info.incarnation_start_ms == info->incarnation_start_ms ||
	    (listed_ms != 0 && listed_ms == info->incarnation_start_ms))
		return false;
	if (listed_ms == 0)
		return true;
	if ((server->info.port != info->port ||
		strcmp(server->info.address, info->address) != 0) &&
	    (info->incarnation_start_ms > listed_ms ||
		sched_server_vacant(server)))
		return true;
	server->hold_due_us = sched_now(server->sched);
	return false;
}

static struct sched_server *
sched_server_find(const struct scheduler *sched, const char *id)
{
	struct nidx_entry *entry = nidx_find(&sched->servers_by_id, id);

	return entry == NULL ? NULL
			     : NIDX_OBJECT(entry, struct sched_server, by_id);
}

/* A server without a row whose runs go on, and which has listed them as the
 * incarnation that has now written the row; or NULL. */
static struct sched_server *
sched_server_restore(struct scheduler *sched, const struct reg_server *info)
{
	struct nidx_entry *entry = nidx_find(&sched->servers_by_id, info->id);
	struct sched_server *server;

	for (; entry != NULL; entry = nidx_next(entry)) {
		server = NIDX_OBJECT(entry, struct sched_server, by_id);
		if (server->link == NULL || server->incarnation_start_ms == 0 ||
		    server->incarnation_start_ms != info->incarnation_start_ms)
			continue;
		nidx_remove(&sched->servers_by_id, &server->by_id);
		nidx_insert(&sched->servers_by_id, &server->by_id,
		    server->info.id);
		return server;
	}
	return NULL;
}

void
sched_server_update(struct scheduler *sched, const struct reg_server *info)
{
	struct sched_server *server = sched_server_find(sched, info->id);
	struct sched_server *former = NULL;

	if (server != NULL && sched_server_replaced(server, info)) {
		log_event(LOG_LEVEL_WARN, "server-replaced",
		    "server=%s row_started_ms=%" PRIu64
		    " former_row_started_ms=%" PRIu64 " listed_ms=%" PRIu64,
		    info->id, info->incarnation_start_ms,
		    server->info.incarnation_start_ms,
		    server->incarnation_start_ms);
		/* The row may be that of an earlier incarnation, whose time of
		 * day was ahead: runs end by the word of the one that replies
		 * at its address, see sched_check_incarnation(). */
		if (server->incarnation_start_ms == 0 ||
		    sched_server_vacant(server))
			sched_server_lost(server, "restarted",
			    SCHED_LOSS_RESTARTED);
		server->removed = true;
		sched->load_updated_us = 0; /* see sched_server_remove() */
		former = server;
		server = sched_server_restore(sched, info);
	}
	if (server == NULL) {
		server = mem_zalloc(1, sizeof(*server));
		server->sched = sched;
		server->speed_permille = PLACE_SPEED_NOMINAL;
		server->lease_end_us = UINT64_MAX;
		server->removed = true;
		TAILQ_INIT(&server->tasks);
		TAILQ_INIT(&server->orphans);
		TAILQ_INIT(&server->unstored_ends);
		LIST_INIT(&server->orders);
		TAILQ_INIT(&server->late_starts);
		if (former != NULL)
			sched_late_move(server, former);
		TAILQ_INSERT_TAIL(&sched->servers, server, entry);
		server->info = *info;
		nidx_insert(&sched->servers_by_id, &server->by_id,
		    server->info.id);
	}
	if (server->removed && sched->token != 0)
		server->known_us = clock_now_us(sched->params.clock);
	/* The row of a live server may have expired and returned. */
	server->removed = false;
	server->info = *info;
	if (sched->token != 0 && server->link == NULL)
		sched_server_reset(server);
	sched_dispatch_wake(sched);
}

void
sched_free_removed(struct scheduler *sched)
{
	struct sched_server *server, *next;

	TAILQ_FOREACH_SAFE (server, &sched->servers, entry, next) {
		if (server->removed)
			sched_server_free(server);
	}
}

void
sched_server_remove(struct scheduler *sched, const char *id)
{
	struct sched_server *server = sched_server_find(sched, id);

	if (server == NULL)
		return;
	server->removed = true;
	sched->load_updated_us = 0; /* it may have runs: see runs_unknown */
	if (sched->token == 0)
		sched_dispatch_wake(sched);
	else if (!server->was_held)
		sched->server_unknown = true;
}

void
sched_activate(struct scheduler *sched, uint64_t token)
{
	struct sched_server *server;

	const struct timeval interval = { .tv_usec = SCHED_TICK_MS * 1000 };

	sched->token = token;
	sched->unread =
	    (struct unread){ .interval_us = SCHED_TICK_MS * SCHED_US_PER_MS };
	sched->tick_delay_us = 0;
	(void)event_add(sched->tick_event, &interval);
	sched->rows_refreshed = false;
	sched->awaits_rows = false;
	sched->jobs_loaded = sched->params.record_run_end == NULL;
	sched->activated_us = sched_now(sched);
	sched->loaded_us = sched->activated_us;
	hlease_start(&sched->holder_lease, sched->params.holder_lease_ms,
	    clock_now_us(sched->params.clock));
	sched->holder_confirmed = false;
	sched->awaits_owner_us = 0;
	sched->server_unknown = false;
	sched->load_updated_us = 0; /* as of a former term: see runs_unknown */
	/* A job that is sent again adopts its run only once it is listed again.
	 */
	pend_disown(&sched->pending);
	sched_risk_take_over(sched);
	log_event(LOG_LEVEL_WARN, "cell-acquired",
	    "token=%" PRIu64 " former_runs=%s", token,
	    sched->former_runs_known ? "known" : "unknown");
	TAILQ_FOREACH (server, &sched->servers, entry) {
		server->was_held = false;
		server->known_us = 0;
		/* Those of former terms have a lower token. */
		sched_late_clear(server);
		if (!server->removed)
			sched_server_reset(server);
	}
}

/* Whether a successor may not know all servers with runs: those without a row,
 * and, until their leases have ended, those of a former holder. */
static bool
sched_runs_unknown(const struct scheduler *sched)
{
	const struct sched_server *server;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (server->removed &&
		    (!TAILQ_EMPTY(&server->tasks) ||
			!TAILQ_EMPTY(&server->orphans)))
			return true;
	}
	return sched_confirmed_us(sched) < sched_former_leases_end_us(sched) &&
	    !sched_all_runs_known(sched);
}

void
sched_set_server_unknown(struct scheduler *sched)
{
	sched->server_unknown = true;
}

void
sched_set_former_runs_known(struct scheduler *sched, bool known)
{
	if (sched->token == 0)
		sched->former_runs_known = known;
}

bool
sched_former_runs_known(const struct scheduler *sched)
{
	return sched->former_runs_known;
}

void
sched_set_servers_complete(struct scheduler *sched, bool servers_complete)
{
	sched->servers_complete = servers_complete;
}

/* No server counts as held until it has listed its runs again. */
static void
sched_request_lists(struct scheduler *sched, uint64_t now_us)
{
	struct sched_server *server;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		server->held = false;
		server->ends_listed = false;
		if (!server->hold_pending)
			server->hold_due_us = now_us;
	}
	sched_dispatch_wake(sched);
}

/*
 * Ended runs that were listed before their job was loaded are listed again. No
 * task of a stored job may start until they have been processed, or until the
 * lease of a server that does not reply has expired.
 */
void
sched_set_jobs_loaded(struct scheduler *sched)
{
	uint64_t now_us = sched_now(sched);
	struct sched_job *job;

	sched->jobs_loaded = true;
	sched->loaded_us = now_us;
	TAILQ_FOREACH (job, &sched->jobs, entry) {
		if (job->stored && job->start_after_us != 0)
			job->start_after_us =
			    sched_leases_end_us(sched, now_us);
	}
	sched_request_lists(sched, now_us);
}

void
sched_servers_refreshed(struct scheduler *sched)
{
	sched->rows_refreshed = true;
	sched->awaits_rows = false;
	sched_dispatch_wake(sched);
}

static struct counter sched_servers_held = {
	.name = "berylrail_work_servers_held",
	.help = "Backend servers whose leases this host holds.",
	.gauge = 1,
};
static struct counter sched_tasks_queued[] = {
#define SCHED_QUEUED_GAUGE(label)                                     \
	{                                                             \
		.name = "berylrail_work_tasks_queued",                \
		.labels = "priority=\"" label "\"",                   \
		.help = "Tasks that wait for a server, by priority; " \
			"the last label includes all above.",         \
		.gauge = 1,                                           \
	}
	SCHED_QUEUED_GAUGE("0"),
	SCHED_QUEUED_GAUGE("1"),
	SCHED_QUEUED_GAUGE("2"),
	SCHED_QUEUED_GAUGE("3"),
};

static struct counter sched_holder_age = {
	.name = "berylrail_work_holder_confirmation_age_milliseconds",
	.help = "Time since it was last confirmed that no other host has "
		"replaced this holder.",
	.gauge = 1,
};

#define SCHED_PRIORITIES \
	(sizeof(sched_tasks_queued) / sizeof(sched_tasks_queued[0]))

static void
sched_update_gauges(const struct scheduler *sched)
{
	uint64_t queued_by_priority[SCHED_PRIORITIES] = { 0 }, held = 0;
	const struct sched_server *server;
	const struct sched_task *task;
	size_t i;

	TAILQ_FOREACH (server, &sched->servers, entry)
		held += server->held;
	TAILQ_FOREACH (task, &sched->waiting, waiting) {
		i = task->job->queue.priority;
		queued_by_priority[i < SCHED_PRIORITIES
			? i
			: SCHED_PRIORITIES - 1]++;
	}
	ctr_set(&sched_servers_held, held);
	ctr_set(&sched_holder_age,
	    sched->token == 0 ? 0 : sched_holder_age_ms(sched));
	for (i = 0; i < SCHED_PRIORITIES; i++)
		ctr_set(&sched_tasks_queued[i], queued_by_priority[i]);
}

bool
sched_jobs_loaded(const struct scheduler *sched)
{
	return sched->token != 0 && sched->jobs_loaded;
}

void
sched_deactivate(struct scheduler *sched)
{
	const struct sched_reply not_holder = { .result = SCHED_NOT_HOLDER,
		.reason = "this host is no longer the holder of the cell" };
	/* A successor does not wait for the end of these runs. */
	const struct sched_reply may_run = { .result = SCHED_OUTCOME_UNKNOWN,
		.reason = "its tasks were started by a holder that was not "
			  "confirmed and has been replaced" };
	struct sched_server *server;
	struct sched_job *job, *next_job;
	struct sched_task *task, *next_task;
	json_t *silent;

	if (sched->token == 0)
		return;
	log_event(LOG_LEVEL_WARN, "cell-released", "token=%" PRIu64,
	    sched->token);
	sched->former_runs_known = !sched_runs_unknown(sched);
	silent = sched_risk_silent(sched);
	sched->token = 0;
	(void)event_del(sched->tick_event);
	TAILQ_FOREACH (server, &sched->servers, entry) {
		sched_server_disconnect(server);
		/* The next holder of the cell takes over the server's runs. */
		TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next_task)
			sched_run_discard(task, "scheduler deactivated");
	}
	sched_suspects_merge(sched, silent);
	json_decref(silent);
	TAILQ_FOREACH_SAFE (job, &sched->jobs, entry, next_job)
		sched_job_finish(job,
		    job->started_unconfirmed ? &may_run : &not_holder);
	sched_update_gauges(sched);
	sched_dispatch_wake(sched);
}

void
sched_check_holder_lease(struct scheduler *sched)
{
	bool confirmed = sched_holder_remaining_ms(sched) > 0;

	if (confirmed == sched->holder_confirmed)
		return;
	sched->holder_confirmed = confirmed;
	log_event(LOG_LEVEL_WARN,
	    confirmed ? "holder-confirmed" : "holder-unconfirmed",
	    "token=%" PRIu64 " age_ms=%" PRIu64, sched->token,
	    sched_holder_age_ms(sched));
}

uint32_t
sched_holder_remaining_ms(const struct scheduler *sched)
{
	if (sched->params.holder_lease_ms == 0)
		return UINT32_MAX;
	return hlease_remaining_ms(&sched->holder_lease,
	    clock_now_us(sched->params.clock));
}

bool
sched_holder_confirmed(const struct scheduler *sched)
{
	return sched->token != 0 && sched_holder_remaining_ms(sched) > 0;
}

uint64_t
sched_confirmed_us(const struct scheduler *sched)
{
	uint64_t now_us = sched_now(sched);
	/* The age was rounded down. */
	uint64_t age_us = (sched_holder_age_ms(sched) + 1) * SCHED_US_PER_MS;

	if (sched->params.holder_lease_ms == 0)
		return now_us;
	return age_us < now_us ? now_us - age_us : 0;
}

uint64_t
sched_holder_age_ms(const struct scheduler *sched)
{
	return hlease_age_ms(&sched->holder_lease,
	    clock_now_us(sched->params.clock));
}

/*
 * The lease on the role of holder has expired, and another host may have held
 * the cell since then. Its runs are not known: the servers list theirs anew,
 * and jobs that it may have started wait for the end of its leases.
 */
static void
sched_resume_holder(struct scheduler *sched, uint64_t now_us)
{
	struct sched_job *job;

	sched->awaits_owner_us = clock_now_us(sched->params.clock);
	sched->former_runs_known = false;
	sched->load_updated_us = 0;
	TAILQ_FOREACH (job, &sched->jobs, entry) {
		if (job->stored || job->may_have_started)
			job->start_after_us = now_us;
	}
	sched_request_lists(sched, now_us);
}

/* A former holder may have been confirmed until now, and use servers whose rows
 * were written since the take-over. */
static void
sched_read_servers(struct scheduler *sched)
{
	if (sched->params.read_servers == NULL)
		return;
	sched->awaits_rows = true;
	sched->params.read_servers(sched->params.arg);
}

void
sched_confirm_holder(struct scheduler *sched, uint64_t confirmed_us)
{
	bool was_confirmed = sched->holder_lease.confirmed_us != 0;
	uint64_t now_us = sched_now(sched);

	if (sched->token == 0 ||
	    !hlease_confirm(&sched->holder_lease, confirmed_us, now_us))
		return;
	sched_check_holder_lease(sched);
	if (was_confirmed)
		sched_resume_holder(sched, now_us);
	else
		sched_read_servers(sched);
}

void
sched_confirm_owner(struct scheduler *sched, uint64_t confirmed_us)
{
	sched_confirm_holder(sched, confirmed_us);
	if (confirmed_us >= sched->awaits_owner_us)
		sched->awaits_owner_us = 0;
}

bool
sched_awaits_confirmation(const struct scheduler *sched)
{
	return sched->token != 0 && sched->awaits_confirmation;
}

bool
sched_awaits_owner(const struct scheduler *sched)
{
	return sched->awaits_owner_us != 0;
}

/* Updates the moving average of the delay of ticks. */
static void
sched_update_tick_delay(struct scheduler *sched, uint64_t now_us)
{
	uint64_t due_us =
	    sched->unread.last_tick_us + SCHED_TICK_MS * SCHED_US_PER_MS;
	uint64_t delay_us = now_us > due_us ? now_us - due_us : 0;

	if (delay_us > SCHED_TICK_DELAY_MAX_MS * SCHED_US_PER_MS)
		delay_us = SCHED_TICK_DELAY_MAX_MS * SCHED_US_PER_MS;
	if (sched->unread.last_tick_us != 0)
		sched->tick_delay_us =
		    (sched->tick_delay_us * (SCHED_TICK_DELAY_WEIGHT - 1) +
			delay_us) /
		    SCHED_TICK_DELAY_WEIGHT;
	unread_tick(&sched->unread, now_us);
}

/* The end of a job may free any other one: sched_job_free() keeps next_checked
 * valid. */
static void
sched_check_jobs(struct scheduler *sched, uint64_t now_us)
{
	bool check_submitters = now_us >= sched->submitters_check_us;
	struct sched_job *job;

	if (now_us - sched->unread.previous_tick_us >
	    SCHED_SUBMITTERS_RESUME_MS * SCHED_US_PER_MS) {
		check_submitters = false;
		sched->submitters_check_us =
		    now_us + SCHED_SUBMITTERS_RESUME_MS * SCHED_US_PER_MS;
	} else if (check_submitters) {
		sched->submitters_check_us =
		    now_us + SCHED_SUBMITTERS_CHECK_MS * SCHED_US_PER_MS;
	}
	for (job = TAILQ_FIRST(&sched->jobs); job != NULL;
	     job = sched->next_checked) {
		sched->next_checked = TAILQ_NEXT(job, entry);
		if (check_submitters)
			sched_pending_job(job, now_us);
		if (!sched_suspects_end_job(job) &&
		    !sched_job_end_unknown(job) &&
		    !sched_job_expire(job, now_us) &&
		    !(check_submitters && sched_job_give_up(job, now_us)))
			sched_gang_check(job);
	}
}

/* Whether nothing runs on the server. It may be silent, so that it does not
 * list the ends of a former holder's runs. */
static bool
sched_server_unused(const struct sched_server *server)
{
	return TAILQ_EMPTY(&server->tasks) && server->pending_calls == 0 &&
	    (TAILQ_EMPTY(&server->orphans) || sched_lease_ended(server));
}

/* Its id is kept in mind while a start may be executed by its next process. */
static void
sched_server_release(struct sched_server *server)
{
	if (TAILQ_EMPTY(&server->late_starts))
		sched_server_free(server);
	else
		sched_server_disconnect(server);
}

static void
sched_tick(evutil_socket_t fd, short what, void *arg)
{
	struct scheduler *sched = arg;
	struct sched_server *server, *next_server;
	uint64_t now_us = sched_now(sched);

	(void)fd;
	(void)what;
	sched_update_tick_delay(sched, now_us);
	sched_update_gauges(sched);
	sched_check_holder_lease(sched);
	susp_expire(&sched->suspects, now_us);
	sched_pending_expire(sched, now_us);
	sched_bulkhead_update(sched, now_us);
	sched_check_jobs(sched, now_us);
	sched->awaits_confirmation = false;
	TAILQ_FOREACH_SAFE (server, &sched->servers, entry, next_server) {
		sched_server_tick(server, now_us);
		if (server->removed && sched_server_unused(server))
			sched_server_release(server);
		if (sched->token == 0)
			return;
	}
	sched_dispatch_wake(sched);
}

struct scheduler *
sched_create(const struct sched_params *params)
{
	struct scheduler *sched = mem_zalloc(1, sizeof(*sched));
	size_t i;

	sched->params = *params;
	TAILQ_INIT(&sched->servers);
	nidx_init(&sched->servers_by_id);
	TAILQ_INIT(&sched->jobs);
	TAILQ_INIT(&sched->waiting);
	susp_init(&sched->suspects);
	pend_init(&sched->pending);
	for (i = 0; i < SCHED_JOB_BUCKETS; i++)
		LIST_INIT(&sched->buckets[i]);
	sched->tick_event =
	    event_new(params->base, -1, EV_PERSIST, sched_tick, sched);
	sched->dispatch_event =
	    event_new(params->base, -1, 0, sched_dispatch, sched);
	if (sched->tick_event == NULL || sched->dispatch_event == NULL) {
		sched_destroy(sched);
		return NULL;
	}
	return sched;
}

void
sched_destroy(struct scheduler *sched)
{
	struct sched_server *server, *next;
	struct sched_job *job;

	TAILQ_FOREACH (job, &sched->jobs, entry)
		job->done = NULL;
	sched_deactivate(sched);
	TAILQ_FOREACH_SAFE (server, &sched->servers, entry, next)
		sched_server_free(server);
	if (sched->tick_event != NULL)
		event_free(sched->tick_event);
	if (sched->dispatch_event != NULL)
		event_free(sched->dispatch_event);
	sched_advice_detach_calls(sched);
	nidx_release(&sched->servers_by_id);
	susp_release(&sched->suspects);
	json_decref(sched->risk_runs);
	pend_release(&sched->pending);
	free(sched->candidates);
	free(sched);
}

static void
sched_update_load(struct scheduler *sched)
{
	uint64_t now_us = sched_now(sched);
	const struct sched_server *server;
	struct sched_load load = { 0 };

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!server->held || server->removed || server->info.draining)
			continue;
		load.cpu_total += (uint64_t)server->info.cpu;
		if (server->info.cpu > server->used_cpu)
			load.cpu_free +=
			    (uint64_t)(server->info.cpu - server->used_cpu);
	}
	load.backlog_ms = sched_backlog_us(sched, SCHED_SHARE_OTHERS, now_us) /
		SCHED_US_PER_MS +
	    sched_processing_delay_us(sched, now_us) / SCHED_US_PER_MS;
	load.runs_unknown = sched_runs_unknown(sched);
	sched->load = load;
}

void
sched_load(struct scheduler *sched, struct sched_load *load)
{
	uint64_t now_us = sched_now(sched);

	if (now_us - sched->load_updated_us >
	    SCHED_LOAD_VALID_MS * SCHED_US_PER_MS) {
		sched->load_updated_us = now_us;
		sched_update_load(sched);
	}
	*load = sched->load;
}

bool
sched_idle(const struct scheduler *sched)
{
	return TAILQ_EMPTY(&sched->jobs);
}
