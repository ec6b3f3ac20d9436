/*
 * Entry hosts, and the choice of the local cell's holder. Every host decides
 * independently, from its own view of the other hosts. When two hosts decide
 * differently, the servers accept only the higher fencing token and the host
 * with the lower one steps down.
 */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/cells_internal.h"

#define CELLS_US_PER_MS UINT64_C(1000)
#define CELLS_TICK_MS 50
/* Older load reports of remote cells are not used. */
#define CELLS_LOAD_VALID_MS 1000
/* Free CPU capacity that a remote cell needs to accept overflow. */
#define CELLS_OVERFLOW_FREE_PERMILLE 100
/* After its start a host waits up to this long for the others' state. */
#define CELLS_DISCOVERY_MS 350
/* Hosts that are asked for rows while the store does not answer. */
#define CELLS_SOURCES_MAX 16
/* Minimum interval of requests to reserve a fencing token. */
#define CELLS_RESERVE_RETRY_MS 500
/* Longer than the interval at which candidates ping each other. */
#define CELLS_VACANT_MS 1500
/* A longer time between ticks means that the process was paused: no iteration
 * of the event loop takes this long. */
#define CELLS_PAUSE_MIN_MS 300

uint64_t
cells_now_us(const struct cells *cells)
{
	return clock_now_us(cells->params.clock);
}

struct cells_host *
cells_host_find(const struct cells *cells, const char *name)
{
	struct nidx_entry *entry = nidx_find(&cells->hosts_by_name, name);

	return entry == NULL ? NULL
			     : NIDX_OBJECT(entry, struct cells_host, by_name);
}

static struct cells_zone *
cells_zone_get(struct cells *cells, const char *az)
{
	struct cells_zone *zone;

	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (strcmp(zone->az, az) == 0)
			return zone;
	}
	zone = mem_zalloc(1, sizeof(*zone));
	strlcpy(zone->az, az, sizeof(zone->az));
	zone->local = strcmp(az, cells->params.self.az) == 0;
	TAILQ_INIT(&zone->hosts);
	TAILQ_INSERT_TAIL(&cells->zones, zone, entry);
	return zone;
}

struct cells_host *
cells_zone_holder(const struct cells_zone *zone)
{
	struct cells_host *host, *found = NULL;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (host->connected && !host->unreachable && host->token != 0 &&
		    (found == NULL || host->token > found->token))
			found = host;
	}
	return found;
}

/* Inserts a host into its zone's list, after all that are preferred to it. */
static void
cells_zone_insert(struct cells_zone *zone, struct cells_host *host)
{
	const struct cell_host added = { .name = host->info.name,
		.weight = host->info.weight };
	struct cell_host listed;
	struct cells_host *next;

	host->zone = zone;
	TAILQ_FOREACH (next, &zone->hosts, entry) {
		listed = (struct cell_host){ .name = next->info.name,
			.weight = next->info.weight };
		if (cell_is_preferred(&added, &listed))
			break;
	}
	if (next == NULL)
		TAILQ_INSERT_TAIL(&zone->hosts, host, entry);
	else
		TAILQ_INSERT_BEFORE(next, host, entry);
}

void
cells_host_update(struct cells *cells, const struct reg_host *info)
{
	struct cells_host *host;

	if (strcmp(info->name, cells->params.self.name) == 0)
		return;
	host = cells_host_find(cells, info->name);
	if (host == NULL) {
		host = mem_zalloc(1, sizeof(*host));
		host->info = *info;
		nidx_insert(&cells->hosts_by_name, &host->by_name,
		    host->info.name);
		cells->nhosts++;
		/* It may be connected already. */
		cells->connections_known = false;
	} else {
		if (host->zone->likely_holder == host)
			host->zone->likely_holder = NULL;
		TAILQ_REMOVE(&host->zone->hosts, host, entry);
		host->info = *info;
	}
	cells_zone_insert(cells_zone_get(cells, info->az), host);
}

static void
cells_host_free(struct cells *cells, struct cells_host *host)
{
	if (host->zone->likely_holder == host)
		host->zone->likely_holder = NULL;
	TAILQ_REMOVE(&host->zone->hosts, host, entry);
	nidx_remove(&cells->hosts_by_name, &host->by_name);
	cells->nhosts--;
	free(host);
}

void
cells_host_remove(struct cells *cells, const char *name)
{
	struct cells_host *host = cells_host_find(cells, name);

	if (host == NULL)
		return;
	if (cells->holder == host->info.name)
		cells->holder = NULL;
	cells_host_free(cells, host);
}

size_t
cells_list_hosts(const struct cells *cells, struct hostlist_entry **entries)
{
	const struct cells_zone *zone;
	const struct cells_host *host;
	struct hostlist_entry *item;
	size_t n = 0;

	*entries = mem_zalloc(cells->nhosts, sizeof(**entries));
	TAILQ_FOREACH (zone, &cells->zones, entry) {
		TAILQ_FOREACH (host, &zone->hosts, entry) {
			item = &(*entries)[n++];
			item->role = HOSTLIST_ENTRY;
			strlcpy(item->name, host->info.name, NAME_SIZE);
			strlcpy(item->az, host->info.az, NAME_SIZE);
			strlcpy(item->address, host->info.address,
			    sizeof(item->address));
			item->port = host->info.port;
		}
	}
	return n;
}

/* Lists the hosts that have all rows: the likely holders of the own zone, and
 * the holders of the other zones, of which a holder knows. */
static size_t
cells_list_sources(const struct cells *cells, const struct cells_host **sources,
    size_t max)
{
	const struct cells_zone *zone;
	const struct cells_host *host;
	size_t n = 0;

	TAILQ_FOREACH (host, &cells->local_zone->hosts, entry) {
		if (host->connected && !host->unreachable &&
		    n < CELLS_CANDIDATES)
			sources[n++] = host;
	}
	TAILQ_FOREACH (zone, &cells->zones, entry) {
		host = zone->local ? NULL : cells_zone_holder(zone);
		if (host != NULL && n < max)
			sources[n++] = host;
	}
	return n;
}

const char *
cells_reachable_peer(struct cells *cells, uint64_t *incarnation)
{
	const struct cells_host *sources[CELLS_SOURCES_MAX], *source;
	size_t n = cells_list_sources(cells, sources, CELLS_SOURCES_MAX);

	if (n == 0)
		return NULL;
	source = sources[cells->next_source++ % n];
	*incarnation = source->incarnation;
	return source->info.name;
}

const char *
cells_holder_peer(const struct cells *cells, uint64_t *incarnation)
{
	const struct cells_host *host;

	if (!cells_has_holder(cells))
		return NULL;
	host = cells_host_find(cells, cells->holder);
	if (host == NULL || host->unreachable)
		return NULL;
	*incarnation = host->incarnation;
	return host->info.name;
}

bool
cells_is_candidate(const struct cells *cells)
{
	const struct cell_host self = { .name = cells->params.self.name,
		.weight = cells->params.self.weight };
	const struct cells_host *host;
	struct cell_host other;
	uint32_t preferred = 0;

	if (sched_token(cells->params.sched) != 0)
		return true;
	TAILQ_FOREACH (host, &cells->local_zone->hosts, entry) {
		other = (struct cell_host){ .name = host->info.name,
			.weight = host->info.weight };
		if (!cell_is_preferred(&other, &self))
			break;
		/* At first no host is connected. */
		if (!cells->discovery_done ||
		    (host->connected && !host->unreachable && !host->leaving))
			preferred++;
	}
	return cells->hosts_loaded_us != 0 && preferred < CELLS_CANDIDATES;
}

void
cells_report_config(const struct cells *cells, const char *host,
    uint64_t version)
{
	uint64_t incarnation;

	if (version != 0 &&
	    cells->params.is_connected(cells->params.peers, host, &incarnation))
		cells->params.config_reported(cells->params.arg, host,
		    incarnation, version);
}

/* Fencing tokens */

static void
cells_reserve_token(struct cells *cells, uint64_t now_us)
{
	if (cells->reserve_pending ||
	    cells->reserved_token > cells->highest_token ||
	    now_us - cells->reserve_sent_us <
		CELLS_RESERVE_RETRY_MS * CELLS_US_PER_MS)
		return;
	cells->reserve_pending = true;
	cells->reserve_sent_us = now_us;
	cells->params.reserve_token(cells->params.arg);
}

void
cells_set_job_store(struct cells *cells, struct job_store *job_store)
{
	cells->job_store = job_store;
}

bool
cells_own_row_received(struct cells *cells, uint64_t token)
{
	/* The token in use, or a former one, must not be used again. */
	if (token <= cells->highest_token || token <= cells->reserved_token)
		return false;
	cells->reserved_token = token;
	return true;
}

bool
cells_token_reserved(struct cells *cells, uint64_t token)
{
	cells->reserve_pending = false;
	return cells_own_row_received(cells, token);
}

static void
cells_step_down(struct cells *cells)
{
	/* It counts until the new holder has reported. */
	if (sched_jobs_loaded(cells->params.sched))
		cells_set_pending(cells->local_zone,
		    cells_pending_json(cells, true));
	sched_deactivate(cells->params.sched);
}

void
cells_observe_token(struct cells *cells, uint64_t token)
{
	if (token <= cells->highest_token)
		return;
	cells->highest_token = token;
	if (sched_token(cells->params.sched) != 0 &&
	    sched_token(cells->params.sched) < token)
		cells_step_down(cells);
	/* Not before the new holder's first report. */
	sched_set_former_runs_known(cells->params.sched, false);
}

void
cells_host_set_token(struct cells *cells, struct cells_host *host,
    uint64_t token)
{
	host->token = token;
	if (host->zone->local)
		cells_observe_token(cells, token);
}

void
cells_fenced(struct cells *cells)
{
	uint64_t token = sched_token(cells->params.sched);

	log_event(LOG_LEVEL_WARN, "fenced", "token=%" PRIu64, token);
	cells_step_down(cells);
	/* The host that has replaced this one has reported nothing yet. */
	sched_set_former_runs_known(cells->params.sched, false);
	/* Another host has a higher token: a new one must be reserved before
	 * this host can become the holder again. */
	if (cells->reserved_token <= token)
		cells->reserved_token = 0;
}

static void
cells_take_over(struct cells *cells, uint64_t now_us)
{
	bool server_unknown;

	if (cells->reserved_token <= cells->highest_token) {
		cells_reserve_token(cells, now_us);
		return;
	}
	cells->highest_token = cells->reserved_token;
	cells->reserved_token = 0;
	/* The former holder may not have dropped a server that this host has,
	 * and have gone on with its runs there. */
	server_unknown = cells->params.servers_dropped(cells->params.arg) >
	    cells->holder_settled;
	if (server_unknown)
		sched_set_former_runs_known(cells->params.sched, false);
	sched_activate(cells->params.sched, cells->highest_token);
	cells->owner_heard_us = 0;
	if (server_unknown)
		sched_set_server_unknown(cells->params.sched);
	cells->params.became_holder(cells->params.arg);
	cells_announce_state(cells);
}

static void
cells_fill_candidate(const struct cells_host *host, struct cell_host *candidate)
{
	*candidate = (struct cell_host){
		.name = host->info.name,
		.weight = host->info.weight,
		.token = host->token,
		.reachable = host->connected && !host->unreachable,
		.leaving = host->leaving,
	};
}

void
cells_choose_holder(struct cells *cells)
{
	struct cell_host *candidates;
	const struct cells_host *host;
	size_t n = 0;
	int chosen;

	if (cells->ncandidates <= cells->nhosts) {
		cells->ncandidates = cells->nhosts * 2 + 1;
		free(cells->candidates);
		cells->candidates =
		    mem_zalloc(cells->ncandidates, sizeof(*cells->candidates));
	}
	candidates = cells->candidates;
	candidates[n++] = (struct cell_host){
		.name = cells->params.self.name,
		.weight = cells->params.self.weight,
		.token = sched_token(cells->params.sched),
		.reachable = true,
		.leaving = cells->leaving,
	};
	TAILQ_FOREACH (host, &cells->local_zone->hosts, entry)
		cells_fill_candidate(host, &candidates[n++]);
	chosen = cell_choose_holder(candidates, n);
	if (chosen < 0) {
		cells->holder = NULL;
		return;
	}
	if (cells->holder == NULL ||
	    strcmp(cells->holder, candidates[chosen].name) != 0)
		log_event(LOG_LEVEL_INFO, "holder-chosen",
		    "holder=%s token=%" PRIu64 " hosts=%zu",
		    candidates[chosen].name, candidates[chosen].token, n);
	cells->holder = candidates[chosen].name;
	if (candidates[chosen].token != 0 || !cells->discovery_done)
		cells->vacant_since_us = 0;
	else if (cells->vacant_since_us == 0)
		cells->vacant_since_us = cells_now_us(cells);
}

/*
 * The chosen host may be unable to take over: the store may turn it away, so
 * that it has no token. The next ones in the order of preference then do so, if
 * they have one, each after a further CELLS_VACANT_MS.
 */
static bool
cells_is_substitute(const struct cells *cells, uint64_t now_us)
{
	const struct cell_host self = { .name = cells->params.self.name,
		.weight = cells->params.self.weight };
	const struct cells_host *host;
	struct cell_host other;
	uint64_t rank = 0;

	if (cells->vacant_since_us == 0 || cells->leaving ||
	    !cells_is_candidate(cells))
		return false;
	TAILQ_FOREACH (host, &cells->local_zone->hosts, entry) {
		cells_fill_candidate(host, &other);
		if (other.reachable && cell_is_preferred(&other, &self))
			rank++;
	}
	return now_us - cells->vacant_since_us >
	    rank * CELLS_VACANT_MS * CELLS_US_PER_MS;
}

/*
 * After a start another host may already be the holder. Discovery is done when
 * all local hosts have reported their state, or after CELLS_DISCOVERY_MS.
 */
static bool
cells_discovery_done(const struct cells *cells, uint64_t now_us)
{
	const struct cells_host *host;

	if (cells->hosts_loaded_us == 0)
		return false;
	if (now_us - cells->hosts_loaded_us >
	    CELLS_DISCOVERY_MS * CELLS_US_PER_MS)
		return true;
	TAILQ_FOREACH (host, &cells->local_zone->hosts, entry) {
		if (host->last_reply_us == 0)
			return false;
	}
	return true;
}

void
cells_hosts_loaded(struct cells *cells)
{
	if (cells->hosts_loaded_us == 0)
		cells->hosts_loaded_us = cells_now_us(cells);
}

void
cells_notify_holder(struct cells *cells)
{
	const struct cells_host *host;
	uint64_t token;

	if (!cells_has_holder(cells))
		return;
	host = cells_host_find(cells, cells->holder);
	token = host == NULL ? sched_token(cells->params.sched) : host->token;
	if (token <= cells->notified_token)
		return;
	cells->notified_token = token;
	cells->params.holder_changed(cells->params.arg, cells->holder);
}

/* Whether a local host that connected recently has not reported its state: it
 * may be the holder. */
static bool
cells_state_outstanding(const struct cells *cells, uint64_t now_us)
{
	const struct cells_host *host;

	TAILQ_FOREACH (host, &cells->local_zone->hosts, entry) {
		if (host->connected && !host->state_known &&
		    !host->unreachable &&
		    now_us - host->connected_us <
			CELLS_DISCOVERY_MS * CELLS_US_PER_MS)
			return true;
	}
	return false;
}

/*
 * After a pause of this process, or a suspension of its machine, its
 * connections may be lost and another host may have become the holder.
 * Discovery is repeated, as after a start, and the store was not silent.
 */
static void
cells_check_pause(struct cells *cells, uint64_t now_us)
{
	uint64_t pause_us = now_us - cells->unread.last_tick_us;
	struct cells_host *host;

	if (cells->nticks > 1 &&
	    pause_us > CELLS_PAUSE_MIN_MS * CELLS_US_PER_MS) {
		log_event(LOG_LEVEL_WARN, "process-resumed",
		    "after_ms=%" PRIu64, pause_us / CELLS_US_PER_MS);
		cells->discovery_done = false;
		cells->owner_heard_us = 0;
		if (cells->hosts_loaded_us != 0)
			cells->hosts_loaded_us = now_us;
		TAILQ_FOREACH (host, &cells->local_zone->hosts, entry) {
			host->state_known = false;
			host->last_reply_us = 0;
		}
	}
	unread_tick(&cells->unread, now_us);
}

uint64_t
cells_unread_since_us(const struct cells *cells)
{
	return unread_since_us(&cells->unread, cells_now_us(cells));
}

uint64_t
cells_pause_us(const struct cells *cells)
{
	return unread_pause_us(&cells->unread, cells_now_us(cells));
}

static void
cells_tick(evutil_socket_t fd, short what, void *arg)
{
	struct cells *cells = arg;
	uint64_t now_us = cells_now_us(cells);

	(void)fd;
	(void)what;
	cells->nticks++;
	cells_check_pause(cells, now_us);
	cells_update_connections(cells, now_us);
	cells_reserve_token(cells, now_us);
	if (!cells->discovery_done)
		cells->discovery_done = cells_discovery_done(cells, now_us);
	if (sched_token(cells->params.sched) != 0)
		cells_ping_remote(cells, now_us);
	cells_ping_local(cells, now_us);
	if (sched_token(cells->params.sched) != 0)
		cells_confirm_holder(cells);
	cells_choose_holder(cells);
	cells_notify_holder(cells);
	if (cells->holder != NULL &&
	    (strcmp(cells->holder, cells->params.self.name) == 0 ||
		cells_is_substitute(cells, now_us)) &&
	    sched_token(cells->params.sched) == 0 && cells->discovery_done &&
	    !cells_state_outstanding(cells, now_us))
		cells_take_over(cells, now_us);
	cells_report_waiting(cells, now_us);
}

const char *
cells_holder(const struct cells *cells)
{
	return cells_has_holder(cells) ? cells->holder : NULL;
}

const char *
cells_overflow_holder(const struct cells *cells)
{
	const struct cells_host *host, *best = NULL;
	uint64_t now_us = cells_now_us(cells);
	const struct cells_zone *zone;

	TAILQ_FOREACH (zone, &cells->zones, entry) {
		host = zone->local ? NULL : cells_zone_holder(zone);
		if (host == NULL || host->leaving || host->backlog_ms > 0 ||
		    host->free_permille < CELLS_OVERFLOW_FREE_PERMILLE ||
		    now_us - host->last_reply_us >
			CELLS_LOAD_VALID_MS * CELLS_US_PER_MS)
			continue;
		if (best == NULL || host->free_permille > best->free_permille)
			best = host;
	}
	return best == NULL ? NULL : best->info.name;
}

void
cells_leave(struct cells *cells)
{
	cells->leaving = true;
	cells_announce_state(cells);
}

bool
cells_has_holder(const struct cells *cells)
{
	const struct cells_host *host;

	if (cells->holder == NULL)
		return false;
	if (strcmp(cells->holder, cells->params.self.name) == 0)
		return sched_token(cells->params.sched) != 0;
	host = cells_host_find(cells, cells->holder);
	return host != NULL && host->connected && host->token != 0;
}

struct cells *
cells_create(const struct cells_params *params)
{
	const struct timeval interval = { .tv_usec = CELLS_TICK_MS * 1000 };
	struct cells *cells = mem_zalloc(1, sizeof(*cells));

	cells->params = *params;
	unread_start(&cells->unread, cells_now_us(cells),
	    CELLS_TICK_MS * CELLS_US_PER_MS);
	TAILQ_INIT(&cells->zones);
	nidx_init(&cells->hosts_by_name);
	cells->local_zone = cells_zone_get(cells, params->self.az);
	TAILQ_INIT(&cells->submissions);
	cells_withdrawn_init(cells);
	cells->timer =
	    event_new(params->base, -1, EV_PERSIST, cells_tick, cells);
	if (cells->timer == NULL || event_add(cells->timer, &interval) == -1) {
		cells_destroy(cells);
		return NULL;
	}
	return cells;
}

void
cells_destroy(struct cells *cells)
{
	struct cells_zone *zone, *next_zone;
	struct cells_host *host, *next_host;

	cells_submissions_free(cells);
	cells_withdrawn_release(cells);
	TAILQ_FOREACH_SAFE (zone, &cells->zones, entry, next_zone) {
		TAILQ_FOREACH_SAFE (host, &zone->hosts, entry, next_host)
			cells_host_free(cells, host);
		json_decref(zone->pending);
		free(zone);
	}
	nidx_release(&cells->hosts_by_name);
	free(cells->candidates);
	free(cells->waiting);
	if (cells->timer != NULL)
		event_free(cells->timer);
	free(cells);
}
