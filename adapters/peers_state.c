/*
 * State that hosts send to their peers: heartbeats with the version of the
 * configuration, the load and the servers that are leaving; notices of a new
 * configuration version; and the configuration itself, for a host that can't
 * read it from the platform. Heartbeats of an incarnation that is not the
 * current one of its host (see core/member.h) are dropped.
 */

#include <stdlib.h>
#include <string.h>

#include "adapters/peers_internal.h"
#include "entry/config_sync.h"
#include "entry/engine.h"

static struct counter peers_ctr_snapshots = {
	.name = "berylrail_peer_config_snapshots_total",
	.help = "Configuration snapshots of peers that were applied.",
};

static struct counter peers_ctr_bad_snapshots = {
	.name = "berylrail_peer_config_snapshots_refused_total",
	.help = "Configuration snapshots of peers that were rejected.",
};

static struct counter peers_ctr_stale_heartbeats = {
	.name = "berylrail_peer_stale_heartbeats_total",
	.help = "Heartbeats dropped because their incarnation is not current.",
};

static struct counter peers_ctr_live = {
	.name = "berylrail_peers_live",
	.help = "Other entry hosts that are live or suspect.",
	.gauge = 1,
};

static uint64_t
peers_config_version(const struct peers_tcp *peers)
{
	return config_sync_current(peers->params.config_sync)->version;
}

/* Heartbeats */

static void
peers_heartbeat_send(struct peers_conn *conn, uint64_t now_us)
{
	struct peers_tcp *peers = conn->peers;
	Berylrail__Heartbeat heartbeat = BERYLRAIL__HEARTBEAT__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	char *servers[PEERS_LEAVING_SERVERS_MAX];
	size_t i;

	heartbeat.config_version = peers_config_version(peers);
	heartbeat.leaving = peers->is_leaving;
	heartbeat.tasks_waiting =
	    (uint32_t)engine_waiting_tasks(peers->params.engine);
	heartbeat.tasks_running =
	    (uint32_t)engine_active_tasks(peers->params.engine) -
	    heartbeat.tasks_waiting;
	heartbeat.interval_ms = mbr_heartbeat_interval_ms(
	    peers->params.heartbeat_ms, peers->nconns);
	if (conn->leaving_sent_version == peers->leaving_version) {
		heartbeat.leaving_servers_unchanged = true;
	} else {
		for (i = 0; i < peers->nown_leaving; i++)
			servers[i] = peers->own_leaving[i];
		heartbeat.leaving_servers = servers;
		heartbeat.n_leaving_servers = peers->nown_leaving;
		conn->leaving_sent_version = peers->leaving_version;
	}
	frame.kind_case = BERYLRAIL__FRAME__KIND_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	peers_conn_send(conn, &frame);
	conn->heartbeat_due_us =
	    now_us + peers_jitter_us(peers, heartbeat.interval_ms);
}

/* A host that serves requests of this one has to know that this one is alive.
 */
static bool
peers_heartbeat_due(const struct peers_conn *conn, uint64_t now_us)
{
	uint64_t interval_us =
	    (uint64_t)conn->peers->params.heartbeat_ms * 1000;

	return now_us >= conn->heartbeat_due_us ||
	    (conn->nforwards > 0 && now_us - conn->last_sent_us >= interval_us);
}

void
peers_heartbeat_send_all(struct peers_tcp *peers)
{
	uint64_t now_us = peers_now_us(peers);
	struct peers_conn *conn;

	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (conn->hello_received)
			peers_heartbeat_send(conn, now_us);
	}
}

/* Hosts that share the servers of an availability zone */

/* Passes the hosts of the own zone to the engine. @names: an array with room
 * for all hosts. */
static void
peers_sharing_update_az(struct peers_tcp *peers, const char **names)
{
	struct engine_az_hosts az_hosts = { .az = peers->params.az,
		.hosts = names };
	const struct member *member;

	names[az_hosts.nhosts++] = peers->params.host;
	TAILQ_FOREACH (member, &peers->members.members, entry) {
		if (strcmp(member->az, peers->params.az) == 0 &&
		    mbr_shares_servers(&peers->members, member))
			names[az_hosts.nhosts++] = member->name;
	}
	engine_set_az_hosts(peers->params.engine, &az_hosts);
}

/* Notifies the API and the engine if the hosts that share servers may have
 * changed. */
void
peers_sharing_update(struct peers_tcp *peers)
{
	const struct member *member;
	const char **names;
	size_t nhosts = 1, nlive = 0;

	if (peers->members.version == peers->sharing_version)
		return;
	TAILQ_FOREACH (member, &peers->members.members, entry) {
		nlive += member->state == MEMBER_LIVE ||
		    member->state == MEMBER_SUSPECT;
		nhosts += mbr_shares_servers(&peers->members, member);
	}
	ctr_set(&peers_ctr_live, nlive);
	names = calloc(nhosts, sizeof(*names));
	if (names == NULL)
		return;
	peers->sharing_version = peers->members.version;
	api_set_nhosts(peers->params.api, nhosts);
	peers_sharing_update_az(peers, names);
	free(names);
}

/* Configuration */

static void
peers_config_send_fetch(struct peers_conn *conn, uint64_t now_us)
{
	struct peers_tcp *peers = conn->peers;
	Berylrail__ConfigFetch fetch = BERYLRAIL__CONFIG_FETCH__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;

	fetch.have_version = peers_config_version(peers);
	frame.kind_case = BERYLRAIL__FRAME__KIND_CONFIG_FETCH;
	frame.config_fetch = &fetch;
	peers_conn_send(conn, &frame);
	peers->config_fetch_due_us =
	    now_us + (uint64_t)PEERS_CONFIG_FETCH_DELAY_MS * 1000;
}

/*
 * Processes a version that a peer has announced. A host without configuration
 * fetches it from the peer immediately; others read it from the platform first.
 *
 * Return: true if it is higher than this host's version and any version known
 * before.
 */
static bool
peers_config_observe_version(struct peers_conn *conn, uint64_t version)
{
	struct peers_tcp *peers = conn->peers;
	uint64_t now_us = peers_now_us(peers);
	uint64_t own_version = peers_config_version(peers);

	if (version <= own_version)
		return false;
	if (own_version == 0 && now_us >= peers->config_fetch_due_us)
		peers_config_send_fetch(conn, now_us);
	if (version <= peers->config_known_version)
		return false;
	if (peers->config_known_version <= own_version)
		peers->config_behind_since_us = now_us;
	peers->config_known_version = version;
	config_sync_notify_version(peers->params.config_sync, version);
	return true;
}

/*
 * Fetches the configuration from a peer if it has been out of date for
 * PEERS_CONFIG_FETCH_DELAY_MS: the platform is assumed to be unreachable.
 */
static void
peers_config_tick(struct peers_tcp *peers, uint64_t now_us)
{
	uint64_t own_version = peers_config_version(peers);
	const struct member *member;
	struct peers_conn *conn;

	if (peers->config_known_version <= own_version ||
	    now_us < peers->config_fetch_due_us ||
	    now_us - peers->config_behind_since_us <
		(uint64_t)PEERS_CONFIG_FETCH_DELAY_MS * 1000)
		return;
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		member = conn->hello_received
		    ? mbr_find(&peers->members, conn->name)
		    : NULL;
		if (member != NULL &&
		    member->load.config_version > own_version) {
			peers_config_send_fetch(conn, now_us);
			return;
		}
	}
}

static void
peers_config_send_notice(struct peers_conn *conn, uint64_t version)
{
	Berylrail__ConfigNotice notice = BERYLRAIL__CONFIG_NOTICE__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;

	notice.version = version;
	frame.kind_case = BERYLRAIL__FRAME__KIND_CONFIG_NOTICE;
	frame.config_notice = &notice;
	peers_conn_send(conn, &frame);
}

void
peers_config_notify(struct peers *port, uint64_t version)
{
	struct peers_tcp *peers = peers_from_port(port);
	struct peers_conn *conn;

	/* The peer that announced this version has notified the others. */
	if (version <= peers->config_known_version)
		return;
	peers->config_known_version = version;
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (conn->hello_received && !conn->redundant)
			peers_config_send_notice(conn, version);
	}
}

/*
 * Processes a notice of a new version. If it comes from another availability
 * zone, it is passed on to the peers in this host's zone.
 */
void
peers_config_notice_received(struct peers_conn *conn, uint64_t version)
{
	struct peers_tcp *peers = conn->peers;
	struct peers_conn *other;

	if (!peers_config_observe_version(conn, version) ||
	    strcmp(conn->az, peers->params.az) == 0)
		return;
	TAILQ_FOREACH (other, &peers->conns, entry) {
		if (other->hello_received && !other->redundant &&
		    strcmp(other->az, peers->params.az) == 0)
			peers_config_send_notice(other, version);
	}
}

void
peers_config_fetch_received(struct peers_conn *conn, uint64_t peer_version)
{
	struct peers_tcp *peers = conn->peers;
	Berylrail__ConfigSnapshot snapshot = BERYLRAIL__CONFIG_SNAPSHOT__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	uint64_t version = peers_config_version(peers);
	char *text;
	size_t len;

	if (version <= peer_version)
		return;
	text = config_sync_export(peers->params.config_sync, &len);
	if (text == NULL)
		return;
	snapshot.version = version;
	snapshot.json.data = (uint8_t *)text;
	snapshot.json.len = len;
	frame.kind_case = BERYLRAIL__FRAME__KIND_CONFIG_SNAPSHOT;
	frame.config_snapshot = &snapshot;
	/* The rest of the frame has fewer than PEERS_HELLO_BYTES_MAX bytes. */
	if (len + PEERS_HELLO_BYTES_MAX <= FRAME_BYTES_MAX)
		peers_conn_send(conn, &frame);
	free(text);
}

void
peers_config_snapshot_received(struct peers_conn *conn,
    const Berylrail__ConfigSnapshot *snapshot)
{
	struct peers_tcp *peers = conn->peers;
	struct err err;

	if (snapshot->version <= peers_config_version(peers))
		return;
	if (config_sync_import(peers->params.config_sync,
		(const char *)snapshot->json.data, snapshot->json.len,
		&err) < 0)
		ctr_inc(&peers_ctr_bad_snapshots);
	else
		ctr_inc(&peers_ctr_snapshots);
}

/* Servers that are leaving */

static bool
peers_leaving_is_reported(const struct peers_tcp *peers, const char *server)
{
	const struct peers_leaving_report *report;

	TAILQ_FOREACH (report, &peers->leaving_reports, entry) {
		if (strcmp(report->server, server) == 0)
			return true;
	}
	return false;
}

static void
peers_leaving_remove(struct peers_tcp *peers,
    struct peers_leaving_report *report)
{
	TAILQ_REMOVE(&peers->leaving_reports, report, entry);
	if (!peers_leaving_is_reported(peers, report->server))
		engine_set_server_leaving(peers->params.engine, report->server,
		    "peer", false);
	free(report);
}

static void
peers_leaving_add(struct peers_tcp *peers, const char *host, const char *server)
{
	struct peers_leaving_report *report;

	TAILQ_FOREACH (report, &peers->leaving_reports, entry) {
		if (strcmp(report->host, host) == 0 &&
		    strcmp(report->server, server) == 0) {
			report->reported = true;
			return;
		}
	}
	report = calloc(1, sizeof(*report));
	if (report == NULL)
		return;
	strlcpy(report->host, host, sizeof(report->host));
	strlcpy(report->server, server, sizeof(report->server));
	report->reported = true;
	if (!peers_leaving_is_reported(peers, server))
		engine_set_server_leaving(peers->params.engine, server, "peer",
		    true);
	TAILQ_INSERT_TAIL(&peers->leaving_reports, report, entry);
}

/* Replaces the reports of @host by the servers that its heartbeat lists. */
static void
peers_leaving_replace(struct peers_tcp *peers, const char *host,
    char *const *servers, size_t nservers)
{
	struct peers_leaving_report *report, *next;
	size_t i;

	TAILQ_FOREACH (report, &peers->leaving_reports, entry) {
		if (strcmp(report->host, host) == 0)
			report->reported = false;
	}
	for (i = 0; i < nservers && i < PEERS_LEAVING_SERVERS_MAX; i++) {
		if (strlen(servers[i]) <= NAME_LEN_MAX)
			peers_leaving_add(peers, host, servers[i]);
	}
	TAILQ_FOREACH_SAFE (report, &peers->leaving_reports, entry, next) {
		if (strcmp(report->host, host) == 0 && !report->reported)
			peers_leaving_remove(peers, report);
	}
}

/*
 * Removes the reports of hosts that are no longer members. Until then a report
 * is valid even if its host is unreachable.
 */
static void
peers_leaving_tick(struct peers_tcp *peers)
{
	struct peers_leaving_report *report, *next;

	TAILQ_FOREACH_SAFE (report, &peers->leaving_reports, entry, next) {
		if (mbr_find(&peers->members, report->host) == NULL)
			peers_leaving_remove(peers, report);
	}
}

void
peers_tcp_set_server_leaving(struct peers *port, const char *server,
    bool leaving)
{
	struct peers_tcp *peers = peers_from_port(port);
	size_t i;

	for (i = 0; i < peers->nown_leaving; i++) {
		if (strcmp(peers->own_leaving[i], server) == 0)
			break;
	}
	if (leaving == (i < peers->nown_leaving))
		return;
	if (!leaving) {
		peers->nown_leaving--;
		memmove(peers->own_leaving[i], peers->own_leaving[i + 1],
		    (peers->nown_leaving - i) * NAME_SIZE);
	} else if (i < PEERS_LEAVING_SERVERS_MAX) {
		strlcpy(peers->own_leaving[i], server, NAME_SIZE);
		peers->nown_leaving++;
	} else {
		return;
	}
	peers->leaving_version++;
	peers_heartbeat_send_all(peers);
}

/* Connections */

void
peers_state_connected(struct peers_conn *conn)
{
	peers_heartbeat_send(conn, peers_now_us(conn->peers));
	peers_sharing_update(conn->peers);
}

/*
 * Stores a heartbeat in the member table; returns false if its incarnation is
 * not the current one. A new incarnation of a host becomes current when the
 * previous one is dead, or when this host has dialed its address.
 */
static bool
peers_heartbeat_accept(struct peers_conn *conn, const struct member_load *load)
{
	struct peers_tcp *peers = conn->peers;
	uint64_t now_us = peers_now_us(peers);
	const struct member_id id = {
		.name = conn->name,
		.az = conn->az,
		.address = conn->advertise.address,
		.port = conn->advertise.port,
		.incarnation = conn->incarnation,
	};

	if (mbr_heartbeat(&peers->members, now_us, conn->name,
		conn->incarnation, load))
		return true;
	if (mbr_hello(&peers->members, now_us, &id, conn->dialed) == NULL) {
		(void)peers_dial_on_demand(peers, conn->name);
		return false;
	}
	return mbr_heartbeat(&peers->members, now_us, conn->name,
	    conn->incarnation, load);
}

void
peers_heartbeat_received(struct peers_conn *conn,
    const Berylrail__Heartbeat *heartbeat)
{
	struct peers_tcp *peers = conn->peers;
	struct member_load load = {
		.config_version = heartbeat->config_version,
		.interval_ms = heartbeat->interval_ms,
		.tasks_waiting = heartbeat->tasks_waiting,
		.tasks_running = heartbeat->tasks_running,
		.leaving = heartbeat->leaving,
	};

	if (load.interval_ms > PEERS_HEARTBEAT_INTERVAL_MAX_MS)
		load.interval_ms = PEERS_HEARTBEAT_INTERVAL_MAX_MS;
	conn->interval_ms = load.interval_ms;
	if (!peers_heartbeat_accept(conn, &load)) {
		ctr_inc(&peers_ctr_stale_heartbeats);
		return;
	}
	if (!heartbeat->leaving_servers_unchanged)
		peers_leaving_replace(peers, conn->name,
		    heartbeat->leaving_servers, heartbeat->n_leaving_servers);
	peers_config_observe_version(conn, heartbeat->config_version);
	peers_sharing_update(peers);
}

void
peers_state_tick(struct peers_tcp *peers, uint64_t now_us)
{
	struct peers_conn *conn;

	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (conn->hello_received && peers_heartbeat_due(conn, now_us))
			peers_heartbeat_send(conn, now_us);
	}
	peers_leaving_tick(peers);
	peers_config_tick(peers, now_us);
}

void
peers_state_release(struct peers_tcp *peers)
{
	struct peers_leaving_report *report;

	while ((report = TAILQ_FIRST(&peers->leaving_reports)) != NULL) {
		TAILQ_REMOVE(&peers->leaving_reports, report, entry);
		free(report);
	}
}
