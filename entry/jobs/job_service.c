/*
 * The job service of one entry host: passes events between the registry, the
 * source of its rows, the cells, the scheduler, the job store and the gateway.
 */

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/jobs/cells.h"
#include "entry/jobs/job_service.h"
#include "entry/jobs/row_source.h"
#include "entry/jobs/scheduler.h"

#define JSVC_TICK_MS ROWSRC_TICK_MS

static struct counter jsvc_config_version = {
	.name = "berylrail_work_config_version",
	.help = "Version of the configuration of queues and services.",
	.gauge = 1,
};
static struct counter jsvc_config_age = {
	.name = "berylrail_work_config_age_milliseconds",
	.help = "Time since the configuration was known to be current.",
	.gauge = 1,
};

struct job_service {
	struct jsvc_params params;
	struct rows *rows;
	struct registry *reg;
	struct row_source *row_source;
	struct scheduler *sched;
	struct cells *cells;
	struct job_gateway *gateway;
	struct job_store *job_store;
	struct job_status *job_status;
	struct api_handler peer_handler;
	struct event *timer;
	struct event *hosts_event; /* active if the hosts have changed */
	bool leaving;
};

static uint64_t
jsvc_now_us(const struct job_service *svc)
{
	return clock_now_us(svc->params.clock);
}

/* Changes of the registry */

static void
jsvc_on_config(void *arg, const struct reg_config *config)
{
	(void)arg;
	(void)config;
}

static void
jsvc_on_server(void *arg, const struct reg_server *server)
{
	struct job_service *svc = arg;

	if (strcmp(server->az, svc->params.self.az) == 0)
		sched_server_update(svc->sched, server);
}

static void
jsvc_on_server_removed(void *arg, const char *id)
{
	struct job_service *svc = arg;

	sched_server_remove(svc->sched, id);
}

/* Passes all hosts to the peers, once for all rows that are read together. */
static void
jsvc_update_peer_hosts(evutil_socket_t fd, short what, void *arg)
{
	struct job_service *svc = arg;
	struct hostlist_entry *entries;
	size_t n = cells_list_hosts(svc->cells, &entries);

	(void)fd;
	(void)what;
	svc->params.update_hosts(svc->params.peers, entries, n);
	free(entries);
}

/* A former process of this host may have used the version of its row. */
static bool
jsvc_is_own_row(const struct job_service *svc, const struct reg_host *host)
{
	const struct reg_host *self = &svc->params.self;

	return self->incarnation != 0 &&
	    host->incarnation == self->incarnation &&
	    strcmp(host->name, self->name) == 0;
}

static void
jsvc_on_host(void *arg, const struct reg_host *host)
{
	struct job_service *svc = arg;

	if (jsvc_is_own_row(svc, host) &&
	    cells_own_row_received(svc->cells, host->row_version))
		log_event(LOG_LEVEL_INFO, "token-reserved",
		    "token=%" PRIu64 " source=row", host->row_version);
	cells_host_update(svc->cells, host);
	event_active(svc->hosts_event, EV_TIMEOUT, 0);
}

static void
jsvc_on_host_removed(void *arg, const char *name)
{
	struct job_service *svc = arg;

	cells_host_remove(svc->cells, name);
	event_active(svc->hosts_event, EV_TIMEOUT, 0);
}

/* The source of the registry's rows */

static bool
jsvc_is_holder(void *arg)
{
	struct job_service *svc = arg;

	return sched_token(svc->sched) != 0;
}

static bool
jsvc_is_candidate(void *arg)
{
	struct job_service *svc = arg;

	return cells_is_candidate(svc->cells);
}

static const char *
jsvc_holder_peer(void *arg, uint64_t *incarnation)
{
	struct job_service *svc = arg;

	return cells_holder_peer(svc->cells, incarnation);
}

static const char *
jsvc_reachable_peer(void *arg, uint64_t *incarnation)
{
	struct job_service *svc = arg;

	return cells_reachable_peer(svc->cells, incarnation);
}

static void
jsvc_on_hosts_loaded(void *arg)
{
	struct job_service *svc = arg;

	cells_hosts_loaded(svc->cells);
}

static void
jsvc_update_servers_complete(struct job_service *svc)
{
	sched_set_servers_complete(svc->sched,
	    rowsrc_servers_complete(svc->row_source, jsvc_now_us(svc)));
}

static void
jsvc_on_servers_refreshed(void *arg)
{
	struct job_service *svc = arg;

	jsvc_update_servers_complete(svc);
	sched_servers_refreshed(svc->sched);
}

void
jsvc_rows_listener(struct job_service *svc, struct rows_listener *listener)
{
	rowsrc_listener(svc->row_source, listener);
}

/* Fencing tokens are versions of this host's own row: a write reserves one,
 * which is known from its reply or from the row itself. */

static void
jsvc_host_row_written(void *arg, uint64_t version)
{
	struct job_service *svc = arg;

	if (cells_token_reserved(svc->cells, version))
		log_event(LOG_LEVEL_INFO, "token-reserved",
		    "token=%" PRIu64 " source=reply", version);
}

static void
jsvc_reserve_token(void *arg)
{
	struct job_service *svc = arg;
	char *value;

	if (svc->rows == NULL) {
		(void)cells_token_reserved(svc->cells, 0);
		return;
	}
	value = svc->params.encode_host_row(&svc->params.self);
	svc->rows->ops->write(svc->rows, svc->params.self.name, value,
	    jsvc_host_row_written, svc);
	free(value);
}

static void
jsvc_owner_read(void *arg, uint64_t sent_us, bool confirmed)
{
	struct job_service *svc = arg;

	cells_owner_read(svc->cells, sent_us, confirmed);
}

static void
jsvc_read_owner(void *arg, uint64_t sent_us)
{
	struct job_service *svc = arg;

	if (svc->job_store != NULL)
		jstore_read_owner(svc->job_store, sent_us, jsvc_owner_read,
		    svc);
}

static void
jsvc_on_fenced(void *arg)
{
	struct job_service *svc = arg;

	cells_fenced(svc->cells);
}

int
jsvc_set_rows(struct job_service *svc, struct rows *rows)
{
	svc->rows = rows;
	rowsrc_set_rows(svc->row_source, rows);
	svc->job_store = jstore_create(svc->params.base, svc->params.clock,
	    rows, svc->sched, svc->params.self.az, jsvc_on_fenced, svc);
	if (svc->job_store == NULL)
		return -1;
	cells_set_job_store(svc->cells, svc->job_store);
	svc->job_status = jstat_create(rows, svc->cells, svc->params.self.az);
	return 0;
}

struct job_status *
jsvc_status(struct job_service *svc)
{
	return svc->job_status;
}

uint32_t
jsvc_pending(void *arg, const char *queue)
{
	struct job_service *svc = arg;

	return cells_pending(svc->cells, queue);
}

static uint64_t
jsvc_record_run_end(void *arg, const char *id, uint32_t task, uint64_t run_id,
    bool done)
{
	struct job_service *svc = arg;

	return jstore_record_run_end(svc->job_store, id, task, run_id, done);
}

static uint64_t
jsvc_unstored_seq(void *arg, const char *id)
{
	struct job_service *svc = arg;

	return svc->job_store == NULL ? 0
				      : jstore_unstored_seq(svc->job_store, id);
}

static uint64_t
jsvc_submitter_alive_us(void *arg, void *submission)
{
	struct job_service *svc = arg;

	return cells_submitter_alive_us(svc->cells, submission);
}

static void
jsvc_submit_occurrence(void *arg, const char *id, uint32_t occurrence)
{
	struct job_service *svc = arg;

	if (svc->job_store != NULL)
		jstore_submit_occurrence(svc->job_store, id, occurrence);
}

static void
jsvc_read_servers(void *arg)
{
	struct job_service *svc = arg;

	rowsrc_refresh(svc->row_source);
}

static void
jsvc_became_holder(void *arg)
{
	struct job_service *svc = arg;

	rowsrc_refresh(svc->row_source);
	if (svc->job_store != NULL)
		jstore_activate(svc->job_store, sched_token(svc->sched));
}

static void
jsvc_on_holder_changed(void *arg, const char *holder)
{
	struct job_service *svc = arg;

	gw_holder_changed(svc->gateway, holder);
}

static size_t
jsvc_list_waiting(void *arg, struct cells_waiting *jobs, size_t max)
{
	struct job_service *svc = arg;

	return gw_list_waiting(svc->gateway, jobs, max);
}

static uint64_t
jsvc_get_config_version(void *arg)
{
	struct job_service *svc = arg;

	return reg_config(svc->reg)->version;
}

static uint64_t
jsvc_servers_settled(void *arg)
{
	struct job_service *svc = arg;

	return reg_settled_version(svc->reg);
}

static uint64_t
jsvc_servers_dropped(void *arg)
{
	struct job_service *svc = arg;

	return reg_dropped_version(svc->reg);
}

static void
jsvc_on_config_reported(void *arg, const char *host, uint64_t incarnation,
    uint64_t version)
{
	struct job_service *svc = arg;

	rowsrc_config_reported(svc->row_source, host, incarnation, version);
}

static void
jsvc_tick(evutil_socket_t fd, short what, void *arg)
{
	struct job_service *svc = arg;
	uint64_t now_us = jsvc_now_us(svc);

	(void)fd;
	(void)what;
	reg_tick(svc->reg, now_us);
	if (svc->job_store != NULL && sched_token(svc->sched) == 0)
		jstore_deactivate(svc->job_store);
	jsvc_update_servers_complete(svc);
	rowsrc_tick(svc->row_source, now_us);
	ctr_set(&jsvc_config_version, reg_config(svc->reg)->version);
	if (reg_config(svc->reg)->version != 0)
		ctr_set(&jsvc_config_age,
		    reg_age_ms(svc->reg, ROWS_OPERATOR, now_us));
}

/* Requests of peers */

static void
jsvc_handle_peer(void *arg, const struct api_request *request,
    api_reply_fn reply, void *reply_arg)
{
	struct job_service *svc = arg;

	if (strcmp(request->path, ROWSRC_PEER_PATH) == 0)
		rowsrc_handle(svc->row_source, request, reply, reply_arg);
	else
		cells_handle(svc->cells, request, reply, reply_arg);
}

static void
jsvc_abandon_peer(void *arg, void *reply_arg)
{
	struct job_service *svc = arg;

	(void)cells_abandon(svc->cells, reply_arg);
}

const struct api_handler *
jsvc_peer_handler(struct job_service *svc)
{
	return &svc->peer_handler;
}

struct job_gateway *
jsvc_gateway(struct job_service *svc)
{
	return svc->gateway;
}

const struct registry *
jsvc_registry(const struct job_service *svc)
{
	return svc->reg;
}

bool
jsvc_ready(void *arg)
{
	struct job_service *svc = arg;

	return !svc->leaving && reg_config(svc->reg)->version != 0 &&
	    cells_has_holder(svc->cells);
}

void
jsvc_leave(struct job_service *svc)
{
	svc->leaving = true;
	cells_leave(svc->cells);
}

static struct row_source *
jsvc_create_row_source(struct job_service *svc)
{
	const struct rowsrc_params source_params = {
		.clock = svc->params.clock,
		.peers = svc->params.peers,
		.reg = svc->reg,
		.cell = {
			.is_holder = jsvc_is_holder,
			.is_candidate = jsvc_is_candidate,
			.holder = jsvc_holder_peer,
			.peer = jsvc_reachable_peer,
			.hosts_loaded = jsvc_on_hosts_loaded,
			.servers_refreshed = jsvc_on_servers_refreshed,
		},
		.arg = svc,
	};

	return rowsrc_create(&source_params);
}

static struct cells *
jsvc_create_cells(struct job_service *svc)
{
	const struct jsvc_params *params = &svc->params;
	const struct cells_params cells_params = {
		.base = params->base,
		.clock = params->clock,
		.sched = svc->sched,
		.peers = params->peers,
		.is_connected = params->is_connected,
		.connections_version = params->connections_version,
		.alive_us = params->alive_us,
		.request_connection = params->request_connection,
		.reserve_token = jsvc_reserve_token,
		.read_owner = jsvc_read_owner,
		.became_holder = jsvc_became_holder,
		.holder_changed = jsvc_on_holder_changed,
		.config_version = jsvc_get_config_version,
		.servers_settled = jsvc_servers_settled,
		.servers_dropped = jsvc_servers_dropped,
		.config_reported = jsvc_on_config_reported,
		.list_waiting = jsvc_list_waiting,
		.arg = svc,
		.self = params->self,
	};

	return cells_create(&cells_params);
}

static int
jsvc_create_modules(struct job_service *svc)
{
	const struct jsvc_params *params = &svc->params;
	const struct reg_listener listener = {
		.config = jsvc_on_config,
		.server = jsvc_on_server,
		.server_removed = jsvc_on_server_removed,
		.host = jsvc_on_host,
		.host_removed = jsvc_on_host_removed,
		.arg = svc,
	};
	const struct sched_params scheduler_params = {
		.base = params->base,
		.clock = params->clock,
		.worker = params->worker,
		.advisor = params->advisor,
		.lease_ms = params->lease_ms,
		.holder_lease_ms = params->lease_ms + CELLS_CONFIRMED_AGE_MS,
		.far_permille = params->far_permille,
		.record_run_end = jsvc_record_run_end,
		.unstored_seq = jsvc_unstored_seq,
		.submit_occurrence = jsvc_submit_occurrence,
		.fenced = jsvc_on_fenced,
		.read_servers = jsvc_read_servers,
		.submitter_alive_us = jsvc_submitter_alive_us,
		.arg = svc,
	};
	const struct timeval interval = { .tv_usec = JSVC_TICK_MS * 1000 };

	svc->reg = reg_create(&params->row_decoder, &listener);
	svc->row_source = jsvc_create_row_source(svc);
	svc->sched = sched_create(&scheduler_params);
	if (svc->sched == NULL)
		return -1;
	svc->cells = jsvc_create_cells(svc);
	if (svc->cells == NULL)
		return -1;
	svc->gateway = gw_create(params->base, params->clock, svc->cells);
	svc->hosts_event =
	    event_new(params->base, -1, 0, jsvc_update_peer_hosts, svc);
	svc->timer = event_new(params->base, -1, EV_PERSIST, jsvc_tick, svc);
	if (svc->hosts_event == NULL || svc->timer == NULL ||
	    event_add(svc->timer, &interval) == -1)
		return -1;
	return 0;
}

struct job_service *
jsvc_create(const struct jsvc_params *params)
{
	struct job_service *svc = mem_zalloc(1, sizeof(*svc));

	svc->params = *params;
	svc->peer_handler.handle = jsvc_handle_peer;
	svc->peer_handler.abandon = jsvc_abandon_peer;
	svc->peer_handler.arg = svc;
	if (jsvc_create_modules(svc) == -1) {
		jsvc_destroy(svc);
		return NULL;
	}
	return svc;
}

void
jsvc_destroy(struct job_service *svc)
{
	if (svc->timer != NULL)
		event_free(svc->timer);
	if (svc->hosts_event != NULL)
		event_free(svc->hosts_event);
	if (svc->gateway != NULL)
		gw_destroy(svc->gateway);
	if (svc->job_status != NULL)
		jstat_destroy(svc->job_status);
	if (svc->job_store != NULL)
		jstore_destroy(svc->job_store);
	if (svc->cells != NULL)
		cells_destroy(svc->cells);
	if (svc->sched != NULL)
		sched_destroy(svc->sched);
	rowsrc_destroy(svc->row_source);
	reg_destroy(svc->reg);
	free(svc);
}
