/*
 * The job service of one entry host: passes events between the registry, the
 * cells, the scheduler, the job store and the gateway. While this host is not
 * connected to the store, it mirrors the registry's rows from a peer.
 */

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/cells.h"
#include "entry/jobs/job_service.h"
#include "entry/jobs/scheduler.h"

#define JSVC_TICK_MS 100
/* Between reads from a peer, while the store is unreachable. */
#define JSVC_MIRROR_INTERVAL_MS 300
#define JSVC_MIRROR_PATH "/v1/work/rows"
/* A host that is likely to become the holder reads the servers' rows from the
 * holder, at this interval. Only their changes are sent, not each heartbeat. */
#define JSVC_MIRROR_SERVERS_MS 500
/* The holder's rows of servers are current for this time after it has received
 * one from the store. */
#define JSVC_SERVERS_CURRENT_MS 1500
/* Without a reply for this time, they are read from the store. */
#define JSVC_MIRROR_VALID_MS 1200
/* After a reconnection to the store, the rows of servers that expired during
 * its outage may be missing for this long. */
#define JSVC_ROWS_RESTORED_MS 2500
/* Pause between reads of the servers' rows. Servers report every 1.5 s. The
 * holder, which starts tasks, must detect a draining server in well under
 * 2 s; a host that is likely to become the holder must have detected it then,
 * also while the holder can't read the store. The others do not read these
 * rows, which are most of the store's bytes. */
#define JSVC_SERVERS_POLL_HOLDER_MS 500
#define JSVC_SERVERS_POLL_CANDIDATE_MS 1500
#define JSVC_US_PER_MS UINT64_C(1000)

struct job_service {
	struct jsvc_params params;
	struct rows *rows;
	struct registry *reg;
	struct scheduler *sched;
	struct cells *cells;
	struct job_gateway *gateway;
	struct job_store *job_store;
	struct job_status *job_status;
	struct api_handler peer_handler;
	struct event *timer;
	struct event *hosts_event; /* active if the hosts have changed */
	bool store_connected;
	uint64_t connected_since_us;	 /* valid while connected */
	bool tables_read[ROWS_NTABLES];	 /* in full, from the store */
	bool tables_known[ROWS_NTABLES]; /* in full, from the store or a peer */
	uint64_t server_received_us; /* last row of a server from the store */
	bool mirror_pending;
	bool mirror_of_servers; /* the pending one is from the holder */
	uint64_t mirror_due_us;
	uint64_t servers_mirrored_us; /* last reply of the holder; 0: none */
	/* Version of each table up to which rows were read from a peer. */
	uint64_t mirrored[ROWS_NTABLES];
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

static void
jsvc_on_host(void *arg, const struct reg_host *host)
{
	struct job_service *svc = arg;

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

/* Rows read from the store */

static uint32_t
jsvc_servers_poll_ms(const struct job_service *svc)
{
	if (sched_token(svc->sched) != 0)
		return JSVC_SERVERS_POLL_HOLDER_MS;
	if (!cells_is_candidate(svc->cells) ||
	    (svc->servers_mirrored_us != 0 &&
		jsvc_now_us(svc) - svc->servers_mirrored_us <
		    JSVC_MIRROR_VALID_MS * JSVC_US_PER_MS))
		return ROWS_POLL_NEVER;
	return JSVC_SERVERS_POLL_CANDIDATE_MS;
}

static void
jsvc_set_servers_poll(struct job_service *svc)
{
	if (svc->rows != NULL)
		svc->rows->ops->set_poll_pause(svc->rows, ROWS_SERVERS,
		    jsvc_servers_poll_ms(svc));
}

static void
jsvc_on_row_changed(void *arg, const struct rows_change *change)
{
	struct job_service *svc = arg;
	uint64_t now_us = jsvc_now_us(svc);

	if (change->table == ROWS_SERVERS)
		svc->server_received_us = now_us;
	reg_row_changed(svc->reg, change, now_us);
}

static void
jsvc_on_read_begin(void *arg, enum rows_table table)
{
	struct job_service *svc = arg;

	/* The rows of a full read are not in the order of their versions. */
	svc->tables_known[table] = false;
	reg_read_begin(svc->reg, table);
}

static void
jsvc_on_read_end(void *arg, enum rows_table table, uint64_t version)
{
	struct job_service *svc = arg;

	svc->tables_read[table] = true;
	svc->tables_known[table] = true;
	reg_read_end(svc->reg, table, version, jsvc_now_us(svc));
	if (table != ROWS_HOSTS)
		return;
	cells_hosts_loaded(svc->cells);
	jsvc_set_servers_poll(svc);
}

static void
jsvc_on_refreshed(void *arg, enum rows_table table)
{
	struct job_service *svc = arg;

	if (table == ROWS_SERVERS)
		sched_servers_refreshed(svc->sched);
}

static void
jsvc_on_connected(void *arg, bool connected)
{
	struct job_service *svc = arg;

	svc->store_connected = connected;
	svc->connected_since_us = jsvc_now_us(svc);
	svc->mirror_due_us = jsvc_now_us(svc);
}

void
jsvc_rows_listener(struct job_service *svc, struct rows_listener *listener)
{
	*listener = (struct rows_listener){
		.changed = jsvc_on_row_changed,
		.read_begin = jsvc_on_read_begin,
		.read_end = jsvc_on_read_end,
		.refreshed = jsvc_on_refreshed,
		.connected = jsvc_on_connected,
		.arg = svc,
	};
}

/* Fencing tokens are versions of this host's own row: a write reserves one. */

static void
jsvc_host_row_written(void *arg, uint64_t version)
{
	struct job_service *svc = arg;

	if (version != 0)
		log_event(LOG_LEVEL_INFO, "token-reserved", "token=%" PRIu64,
		    version);
	cells_token_reserved(svc->cells, version);
}

static void
jsvc_reserve_token(void *arg)
{
	struct job_service *svc = arg;
	char *value;

	if (svc->rows == NULL) {
		cells_token_reserved(svc->cells, 0);
		return;
	}
	value = svc->params.encode_host_row(&svc->params.self);
	svc->rows->ops->write(svc->rows, svc->params.self.name, value,
	    jsvc_host_row_written, svc);
	free(value);
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
	rows->ops->set_poll_pause(rows, ROWS_SERVERS, ROWS_POLL_NEVER);
	svc->job_store = jstore_create(svc->params.base, svc->params.clock,
	    rows, svc->sched, svc->params.self.az, jsvc_on_fenced, svc);
	if (svc->job_store == NULL)
		return -1;
	cells_set_job_store(svc->cells, svc->job_store);
	svc->job_status = jstat_create(rows, svc->cells);
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

static void
jsvc_became_holder(void *arg)
{
	struct job_service *svc = arg;

	if (svc->rows != NULL)
		svc->rows->ops->refresh(svc->rows, ROWS_SERVERS);
	if (svc->job_store != NULL)
		jstore_activate(svc->job_store, sched_token(svc->sched));
}

static void
jsvc_on_holder_changed(void *arg, const char *holder)
{
	struct job_service *svc = arg;

	gw_holder_changed(svc->gateway, holder);
}

/* Mirroring of rows from a peer */

static void
jsvc_mirror_done(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	struct job_service *svc = arg;
	bool merged[ROWS_NTABLES];
	int i;

	(void)err;
	svc->mirror_pending = false;
	if (reply == NULL || reply->status != 200)
		return;
	if (reg_merge(svc->reg, reply->body, reply->body_len, jsvc_now_us(svc),
		merged) == -1)
		log_event(LOG_LEVEL_WARN, "mirror-malformed", "bytes=%zu",
		    reply->body_len);
	for (i = 0; i < ROWS_NTABLES; i++) {
		if (!merged[i])
			continue;
		svc->tables_known[i] = true;
		svc->mirrored[i] = reg_version(svc->reg, (enum rows_table)i);
	}
	if (svc->mirror_of_servers)
		svc->servers_mirrored_us =
		    merged[ROWS_SERVERS] ? jsvc_now_us(svc) : 0;
}

/* Requests the rows of each table after the version in @since. */
static void
jsvc_mirror_send(struct job_service *svc, const char *peer,
    uint64_t incarnation, const uint64_t since[ROWS_NTABLES], bool current)
{
	struct api_request request = { .method = API_GET,
		.path = JSVC_MIRROR_PATH };
	char query[128];

	(void)snprintf(query, sizeof(query),
	    "config=%" PRIu64 "&servers=%" PRIu64 "&hosts=%" PRIu64
	    "&current=%d",
	    since[ROWS_OPERATOR], since[ROWS_SERVERS], since[ROWS_HOSTS],
	    current ? 1 : 0);
	request.query = query;
	svc->mirror_pending = true;
	svc->params.peers->ops->forward(svc->params.peers, "", peer,
	    incarnation, &request, jsvc_mirror_done, svc);
}

/* Reads all rows from a peer, while the store is unreachable. */
static void
jsvc_mirror_all(struct job_service *svc, uint64_t now_us)
{
	uint64_t incarnation, since[ROWS_NTABLES];
	const char *peer;

	svc->mirror_due_us = now_us + JSVC_MIRROR_INTERVAL_MS * JSVC_US_PER_MS;
	peer = cells_reachable_peer(svc->cells, &incarnation);
	if (peer == NULL)
		return;
	memcpy(since, svc->mirrored, sizeof(since));
	if (!cells_is_candidate(svc->cells))
		since[ROWS_SERVERS] = REG_NO_ROWS;
	svc->mirror_of_servers = false;
	jsvc_mirror_send(svc, peer, incarnation, since, false);
}

/* Reads the servers' rows from the holder, if this host may succeed it. */
static void
jsvc_mirror_servers(struct job_service *svc, uint64_t now_us)
{
	uint64_t incarnation;
	const uint64_t since[ROWS_NTABLES] = {
		[ROWS_OPERATOR] = REG_NO_ROWS,
		[ROWS_SERVERS] = svc->tables_known[ROWS_SERVERS]
		    ? reg_version(svc->reg, ROWS_SERVERS)
		    : 0,
		[ROWS_HOSTS] = REG_NO_ROWS,
	};
	const char *holder;

	svc->mirror_due_us = now_us + JSVC_MIRROR_SERVERS_MS * JSVC_US_PER_MS;
	holder = cells_holder_peer(svc->cells, &incarnation);
	if (holder == NULL || !cells_is_candidate(svc->cells))
		return;
	svc->mirror_of_servers = true;
	jsvc_mirror_send(svc, holder, incarnation, since, true);
}

static void
jsvc_mirror(struct job_service *svc, uint64_t now_us)
{
	if (svc->mirror_pending || now_us < svc->mirror_due_us)
		return;
	if (svc->store_connected)
		jsvc_mirror_servers(svc, now_us);
	else
		jsvc_mirror_all(svc, now_us);
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
	sched_set_servers_complete(svc->sched,
	    svc->store_connected && svc->tables_read[ROWS_SERVERS] &&
		now_us - svc->connected_since_us >
		    JSVC_ROWS_RESTORED_MS * JSVC_US_PER_MS);
	jsvc_set_servers_poll(svc);
	jsvc_mirror(svc, now_us);
}

/* Requests of peers */

static bool
jsvc_servers_current(const struct job_service *svc)
{
	return svc->store_connected &&
	    jsvc_now_us(svc) - svc->server_received_us <
	    JSVC_SERVERS_CURRENT_MS * JSVC_US_PER_MS;
}

/* Encodes the rows that a peer lacks, of the tables that this host knows. A
 * peer that can read the store itself needs none that may be outdated. */
static char *
jsvc_render_rows(const struct job_service *svc, const char *query)
{
	uint64_t since[ROWS_NTABLES];
	int i, current = 0;

	if (sscanf(query,
		"config=%" SCNu64 "&servers=%" SCNu64 "&hosts=%" SCNu64
		"&current=%d",
		&since[ROWS_OPERATOR], &since[ROWS_SERVERS], &since[ROWS_HOSTS],
		&current) < ROWS_NTABLES)
		memset(since, 0, sizeof(since));
	if (current != 0 && !jsvc_servers_current(svc))
		since[ROWS_SERVERS] = REG_NO_ROWS;
	for (i = 0; i < ROWS_NTABLES; i++) {
		if (!svc->tables_known[i])
			since[i] = REG_NO_ROWS;
	}
	return reg_render(svc->reg, since);
}

static void
jsvc_handle_peer(void *arg, const struct api_request *request,
    api_reply_fn reply, void *reply_arg)
{
	struct job_service *svc = arg;
	struct api_reply message = { .status = 200,
		.content_type = "application/json" };
	char *text;

	if (strcmp(request->path, JSVC_MIRROR_PATH) != 0) {
		cells_handle(svc->cells, request, reply, reply_arg);
		return;
	}
	text = jsvc_render_rows(svc, request->query);
	message.body = text;
	message.body_len = strlen(text);
	reply(reply_arg, &message);
	free(text);
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
		.far_permille = params->far_permille,
		.record_run_end = jsvc_record_run_end,
		.unstored_seq = jsvc_unstored_seq,
		.fenced = jsvc_on_fenced,
		.arg = svc,
	};
	struct cells_params cells_params = {
		.base = params->base,
		.clock = params->clock,
		.peers = params->peers,
		.is_connected = params->is_connected,
		.connections_version = params->connections_version,
		.request_connection = params->request_connection,
		.reserve_token = jsvc_reserve_token,
		.became_holder = jsvc_became_holder,
		.holder_changed = jsvc_on_holder_changed,
		.arg = svc,
		.self = params->self,
	};
	const struct timeval interval = { .tv_usec = JSVC_TICK_MS * 1000 };

	svc->reg = reg_create(&params->row_decoder, &listener);
	svc->sched = sched_create(&scheduler_params);
	if (svc->sched == NULL)
		return -1;
	cells_params.sched = svc->sched;
	svc->cells = cells_create(&cells_params);
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
	reg_destroy(svc->reg);
	free(svc);
}
