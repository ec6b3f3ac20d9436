/*
 * State of the other hosts. A ping requests a host's token and, of a holder,
 * its load. Each local host is pinged once it connects. Later the holder is
 * pinged often, and those likely to become the holder now and then; all others
 * name the holder in their replies, and announce themselves when they become
 * the holder. Only the holder pings remote cells: it selects the one for jobs
 * that it refuses. The number of pings of a host so depends neither on the
 * number of hosts nor on that of servers; a holder answers those of its zone.
 *
 * Replies to the holder and its likely successors have the record of tasks that
 * may crash servers (see core/suspect.h), which so outlives a holder; those to
 * other holders have the crashes, as callers may submit a job again in another
 * zone. So it is with the jobs of which a start order may still be executed,
 * each of which a host is told once (see core/pending.h).
 *
 * Each ping returns the time in the last message of its receiver. The holder so
 * learns at which time the other hosts of its zone had not replaced it, and
 * renews its lease on that role (see core/holder_lease.h).
 *
 * Pings and replies carry the version of the sender's configuration. As every
 * host pings its holder and holders ping each other, a version that one host
 * has read becomes known to all connected hosts, also to those that the store
 * does not answer.
 */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/cells_internal.h"

#define CELLS_US_PER_MS UINT64_C(1000)
/* Intervals of pings. */
#define CELLS_HOLDER_PING_MS 150  /* of the local cell's holder */
#define CELLS_LOCAL_PING_MS 1000  /* of likely holders of the local cell */
#define CELLS_REMOTE_PING_MS 300  /* of holders of remote cells */
#define CELLS_PING_TIMEOUT_MS 450 /* the host is then unreachable */
/* Interval of reads of the cell's owner, while some hosts don't confirm it. */
#define CELLS_OWNER_READ_MS 250
/* Without a confirmation by the store for this time, the only host of a zone
 * goes on by itself: the time limit of a call, and the interval of reads. Its
 * lease is long enough then for tasks to start. */
#define CELLS_STORE_SILENT_MS 1100
/* A process that is short of processor time reads a reply late. It runs this
 * number of ticks before it takes the host for unreachable. */
#define CELLS_PING_MIN_TICKS 4

/* A ping or an announcement in flight. */
struct cells_ping {
	struct cells *cells;
	char host[NAME_SIZE];
	uint64_t incarnation; /* of the host */
	uint64_t sent_us;
};

static struct cells_ping *
cells_ping_create(struct cells *cells, const struct cells_host *host)
{
	struct cells_ping *ping = mem_zalloc(1, sizeof(*ping));

	ping->cells = cells;
	ping->incarnation = host->incarnation;
	ping->sent_us = cells_now_us(cells);
	strlcpy(ping->host, host->info.name, sizeof(ping->host));
	return ping;
}

/* Processes a reply, or a ping, that a host has sent at @sent_us or later: it
 * has not replaced this holder, unless it reports a higher token. */
static void
cells_host_confirm(struct cells *cells, struct cells_host *host, uint64_t token,
    uint64_t seen, uint64_t sent_us)
{
	cells_observe_token(cells, token);
	cells_observe_token(cells, seen);
	if (sent_us > host->confirmed_us &&
	    token <= sched_token(cells->params.sched))
		host->confirmed_us = sent_us;
}

/* The time in the ping is that of this host's last reply or announcement, which
 * the sender received before it sent the ping. Its tokens count even if this
 * host does not know it: the reply confirms that they were noted. */
void
cells_ping_received(struct cells *cells, struct cells_host *host,
    const struct api_request *request)
{
	uint64_t replied_at = cells_query_u64(request, "replied_at");
	uint64_t token = cells_query_u64(request, "token");
	uint64_t seen = cells_query_u64(request, "seen");

	cells_observe_token(cells, token);
	cells_observe_token(cells, seen);
	if (host != NULL && replied_at <= cells_now_us(cells))
		cells_host_confirm(cells, host, token, seen, replied_at);
}

void
cells_owner_read(struct cells *cells, uint64_t sent_us, bool confirmed)
{
	if (!confirmed)
		return;
	sched_confirm_owner(cells->params.sched, sent_us);
	if (cells->owner_heard_us != 0 && sent_us > cells->owner_heard_us)
		cells->owner_heard_us = sent_us;
}

/* A read does not wait for the end of the one before: that may be slow, or its
 * reply lost. */
static void
cells_read_owner(struct cells *cells, uint64_t interval_ms)
{
	uint64_t now_us = cells_now_us(cells);

	if (now_us - cells->owner_read_us < interval_ms * CELLS_US_PER_MS)
		return;
	cells->owner_read_us = now_us;
	cells->params.read_owner(cells->params.arg, now_us);
}

/*
 * Without other hosts the store is to tell that none has replaced this one: the
 * list of hosts may be out of date. Only while the store is silent, as to a
 * zone that is cut off, the empty list counts.
 */
static bool
cells_is_sole(struct cells *cells, uint64_t now_us)
{
	if (!TAILQ_EMPTY(&cells->local_zone->hosts)) {
		cells->owner_heard_us = 0;
		return false;
	}
	if (cells->owner_heard_us == 0)
		cells->owner_heard_us = now_us;
	return true;
}

void
cells_confirm_holder(struct cells *cells)
{
	struct scheduler *sched = cells->params.sched;
	uint64_t now_us = cells_now_us(cells), confirmed_us = now_us;
	bool sole = cells_is_sole(cells, now_us);
	const struct cells_host *host;

	TAILQ_FOREACH (host, &cells->local_zone->hosts, entry) {
		if (host->confirmed_us < confirmed_us)
			confirmed_us = host->confirmed_us;
	}
	if (!sole ||
	    now_us - cells->owner_heard_us >
		CELLS_STORE_SILENT_MS * CELLS_US_PER_MS)
		sched_confirm_holder(sched, confirmed_us);
	if (sole || sched_awaits_owner(sched) ||
	    sched_awaits_confirmation(sched) ||
	    sched_holder_age_ms(sched) > CELLS_CONFIRMED_AGE_MS)
		cells_read_owner(cells, CELLS_OWNER_READ_MS);
}

/* Processes the name of the holder of @host's cell, as @host sees it. A holder
 * that this host does not know as such is pinged at once. */
static void
cells_learn_holder(struct cells *cells, const struct cells_host *host,
    const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "holder"));
	uint64_t token =
	    (uint64_t)json_integer_value(json_object_get(body, "holder_token"));
	const struct cells_host *known = cells_zone_holder(host->zone);
	struct cells_host *holder;

	if (name == NULL || (known != NULL && known->token >= token))
		return;
	holder = cells_host_find(cells, name);
	if (holder == NULL || holder->zone != host->zone || holder->unreachable)
		return;
	holder->state_known = false;
	holder->ping_sent_us = 0;
	host->zone->likely_holder = holder;
}

static uint64_t
cells_json_u64(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

/* A host of an earlier version does not report the highest token. */
static void
cells_reply_received(struct cells *cells, struct cells_host *host,
    const json_t *body, uint64_t sent_us)
{
	if (host->zone->local && json_is_integer(json_object_get(body, "seen")))
		cells_host_confirm(cells, host, cells_json_u64(body, "token"),
		    cells_json_u64(body, "seen"), sent_us);
}

/* Processes the holder's report of its runs. */
static void
cells_learn_runs(struct cells *cells, const json_t *body)
{
	sched_set_former_runs_known(cells->params.sched,
	    json_is_true(json_object_get(body, "runs_known")));
	cells->holder_settled = cells_json_u64(body, "servers_settled");
}

/* Processes the holder's report of the jobs that have not started. */
static void
cells_learn_pending(struct cells *cells, struct cells_zone *zone,
    const json_t *body)
{
	cells_set_pending(zone, json_incref(json_object_get(body, "pending")));
	if (zone->local)
		cells_set_remote_pending(cells,
		    json_object_get(body, "remote_pending"));
}

/* Processes the jobs of which a start order may still be executed. */
static void
cells_learn_pending_starts(const struct cells_ping *ping,
    struct cells_host *host, const json_t *body)
{
	uint64_t seq = sched_pending_merge(ping->cells->params.sched,
	    host->info.name, host->zone->local, ping->sent_us,
	    json_object_get(body, "pending_starts"));

	/* Another process of the host counts from 1. */
	if (ping->incarnation == host->incarnation && seq > host->pending_seq)
		host->pending_seq = seq;
}

static void
cells_ping_done(void *arg, const struct api_reply *reply, const struct err *err)
{
	struct cells_ping *ping = arg;
	struct cells_host *host = cells_host_find(ping->cells, ping->host);
	json_t *body;

	(void)err;
	if (host == NULL) {
		free(ping);
		return;
	}
	host->ping_pending = false;
	if (reply != NULL && reply->status == 200) {
		body = json_loadb(reply->body, reply->body_len, 0, NULL);
		host->last_reply_us = cells_now_us(ping->cells);
		if (host->unreachable)
			log_event(LOG_LEVEL_INFO, "host-reachable", "host=%s",
			    host->info.name);
		host->unreachable = false;
		host->state_known = true;
		host->leaving = json_is_true(json_object_get(body, "leaving"));
		host->backlog_ms = (uint32_t)json_integer_value(
		    json_object_get(body, "backlog_ms"));
		host->free_permille = (uint32_t)json_integer_value(
		    json_object_get(body, "free_permille"));
		cells_host_set_token(ping->cells, host,
		    cells_json_u64(body, "token"));
		if (host == cells_zone_holder(host->zone))
			cells_learn_pending(ping->cells, host->zone, body);
		host->replied_at = cells_json_u64(body, "replied_at");
		cells_reply_received(ping->cells, host, body, ping->sent_us);
		if (host->zone->local && host->token != 0 &&
		    host->token == ping->cells->highest_token)
			cells_learn_runs(ping->cells, body);
		sched_suspects_merge(ping->cells->params.sched,
		    json_object_get(body, "suspects"));
		if (host->zone->local)
			sched_risk_reported(ping->cells->params.sched,
			    host->token, ping->sent_us,
			    json_object_get(body, "runs_at_risk"));
		cells_learn_pending_starts(ping, host, body);
		cells_learn_holder(ping->cells, host, body);
		if (host->zone->local && ping->incarnation == host->incarnation)
			cells_learn_holders(ping->cells, host, body);
		cells_report_config(ping->cells, ping->host,
		    cells_json_u64(body, "config"));
		json_decref(body);
	}
	free(ping);
}

static void
cells_ping(struct cells *cells, struct cells_host *host, uint64_t interval_ms,
    uint64_t now_us)
{
	const struct cells_params *params = &cells->params;
	char query[2 * NAME_SIZE + 250];
	const struct api_request request = { .method = API_GET,
		.path = CELLS_PATH "state",
		.query = query };
	struct cells_ping *ping;
	int len;

	if (!host->connected)
		return;
	if (host->ping_pending) {
		if (!host->unreachable &&
		    now_us - host->ping_sent_us >
			CELLS_PING_TIMEOUT_MS * CELLS_US_PER_MS &&
		    cells->nticks - host->ping_sent_tick >=
			CELLS_PING_MIN_TICKS) {
			host->unreachable = true;
			log_event(LOG_LEVEL_WARN, "host-unreachable",
			    "host=%s token=%" PRIu64, host->info.name,
			    host->token);
		}
		return;
	}
	if (now_us - host->ping_sent_us < interval_ms * CELLS_US_PER_MS)
		return;
	ping = cells_ping_create(cells, host);
	host->ping_pending = true;
	host->ping_sent_us = now_us;
	host->ping_sent_tick = cells->nticks;
	len = snprintf(query, sizeof(query),
	    "az=%s&host=%s&config=%" PRIu64 "&suspects=%d&token=%" PRIu64
	    "&seen=%" PRIu64 "&replied_at=%" PRIu64,
	    params->self.az, params->self.name,
	    params->config_version(params->arg),
	    cells_is_candidate(cells) ? 1 : 0, sched_token(params->sched),
	    cells->highest_token, host->replied_at);
	if (host->zone->local)
		len += snprintf(query + len, sizeof(query) - (size_t)len,
		    "&holders=%" PRIu64, host->holders_version);
	if (cells_is_candidate(cells))
		(void)snprintf(query + len, sizeof(query) - (size_t)len,
		    "&pending_starts=%" PRIu64, host->pending_seq);
	params->peers->ops->forward(params->peers, host->info.az,
	    host->info.name, host->incarnation, &request, cells_ping_done,
	    ping);
}

/* A failure is ignored: the next ping reports the same state. */
static void
cells_announce_done(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	struct cells_ping *announcement = arg;
	struct cells *cells = announcement->cells;
	struct cells_host *host = cells_host_find(cells, announcement->host);
	json_t *body;

	(void)err;
	if (host != NULL && reply != NULL && reply->status == 200) {
		body = json_loadb(reply->body, reply->body_len, 0, NULL);
		cells_reply_received(cells, host, body, announcement->sent_us);
		json_decref(body);
	}
	free(announcement);
}

static void
cells_announce_to(struct cells *cells, const struct cells_host *host)
{
	struct api_request request = { .method = API_POST,
		.path = CELLS_PATH "held" };
	struct cells_ping *announcement;
	char query[2 * NAME_SIZE + 96];

	(void)snprintf(query, sizeof(query),
	    "az=%s&host=%s&token=%" PRIu64 "&leaving=%d&replied_at=%" PRIu64,
	    cells->params.self.az, cells->params.self.name,
	    sched_token(cells->params.sched), cells->leaving ? 1 : 0,
	    cells_now_us(cells));
	request.query = query;
	announcement = cells_ping_create(cells, host);
	cells->params.peers->ops->forward(cells->params.peers, host->info.az,
	    host->info.name, host->incarnation, &request, cells_announce_done,
	    announcement);
}

void
cells_announce_state(struct cells *cells)
{
	const struct cells_zone *zone;
	const struct cells_host *host;

	TAILQ_FOREACH (zone, &cells->zones, entry) {
		TAILQ_FOREACH (host, &zone->hosts, entry) {
			if (host->connected)
				cells_announce_to(cells, host);
		}
	}
}

static void
cells_host_update_connection(struct cells *cells, struct cells_host *host,
    uint64_t now_us)
{
	uint64_t incarnation;
	bool connected = cells->params.is_connected(cells->params.peers,
	    host->info.name, &incarnation);

	if (connected &&
	    (!host->connected || host->incarnation != incarnation)) {
		host->connected_us = now_us;
		host->incarnation = incarnation;
		host->token = 0;
		host->leaving = false;
		host->unreachable = false;
		host->state_known = false;
		host->ping_sent_us = 0;
		host->replied_at = 0;
		host->pending_seq = 0;
		host->holders_version = 0;
	}
	if (!connected)
		host->token = 0;
	host->connected = connected;
}

void
cells_update_connections(struct cells *cells, uint64_t now_us)
{
	uint64_t version =
	    cells->params.connections_version(cells->params.peers);
	struct cells_zone *zone;
	struct cells_host *host;

	if (cells->connections_known && cells->connections_version == version)
		return;
	cells->connections_known = true;
	cells->connections_version = version;
	TAILQ_FOREACH (zone, &cells->zones, entry) {
		TAILQ_FOREACH (host, &zone->hosts, entry)
			cells_host_update_connection(cells, host, now_us);
	}
}

static void
cells_ping_or_connect(struct cells *cells, struct cells_host *host,
    uint64_t now_us)
{
	if (!host->connected)
		cells->params.request_connection(cells->params.peers,
		    host->info.name);
	else
		cells_ping(cells, host, CELLS_REMOTE_PING_MS, now_us);
}

/* Pings the first hosts of a zone without a known holder: they are likely to
 * be the holder, and know it otherwise. */
static void
cells_probe_zone(struct cells *cells, struct cells_zone *zone, uint64_t now_us)
{
	struct cells_host *host;
	uint32_t n = 0;

	if (zone->likely_holder != NULL)
		cells_ping_or_connect(cells, zone->likely_holder, now_us);
	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (host->unreachable)
			continue;
		if (n++ == CELLS_CANDIDATES)
			return;
		cells_ping_or_connect(cells, host, now_us);
	}
}

void
cells_ping_remote(struct cells *cells, uint64_t now_us)
{
	struct cells_zone *zone;
	struct cells_host *holder;

	TAILQ_FOREACH (zone, &cells->zones, entry) {
		if (zone->local)
			continue;
		holder = cells_zone_holder(zone);
		if (holder != NULL)
			cells_know_holder(cells, zone, holder->info.name,
			    holder->token);
		if (holder != NULL && !holder->leaving)
			cells_ping(cells, holder, CELLS_REMOTE_PING_MS, now_us);
		else
			cells_probe_zone(cells, zone, now_us);
	}
}

/* The interval of pings of a local host; 0: none. */
static uint32_t
cells_local_ping_interval_ms(const struct cells *cells,
    const struct cells_host *host, uint32_t rank)
{
	if (host->unreachable || !host->state_known ||
	    host == host->zone->likely_holder ||
	    (cells->holder != NULL && cells->holder == host->info.name))
		return CELLS_HOLDER_PING_MS;
	return rank < CELLS_CANDIDATES ? CELLS_LOCAL_PING_MS : 0;
}

void
cells_ping_local(struct cells *cells, uint64_t now_us)
{
	struct cells_host *host;
	uint32_t interval_ms, rank = 0;

	TAILQ_FOREACH (host, &cells->local_zone->hosts, entry) {
		interval_ms = cells_local_ping_interval_ms(cells, host, rank);
		if (host->connected && !host->unreachable)
			rank++;
		if (interval_ms != 0 || host->ping_pending)
			cells_ping(cells, host, interval_ms, now_us);
	}
}
