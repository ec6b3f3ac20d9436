/*
 * What hosts tell each other unasked: heartbeats with the configuration's
 * version, the load and the servers that are leaving; notices of a new
 * configuration, and the configuration itself for a host that can't read it
 * from the platform.
 */

#include <stdlib.h>
#include <string.h>

#include "adapters/peers_internal.h"
#include "entry/config_sync.h"
#include "entry/engine.h"

static struct counter peers_ctr_snapshots = {
	.name = "berylrail_peer_config_snapshots_total",
	.help = "Configurations taken from a peer.",
};

static struct counter peers_ctr_bad_snapshots = {
	.name = "berylrail_peer_config_snapshots_refused_total",
	.help = "Configurations of a peer that were malformed.",
};

static struct counter peers_ctr_stale_heartbeats = {
	.name = "berylrail_peer_stale_heartbeats_total",
	.help = "Heartbeats of an incarnation that is not the current one.",
};

static struct counter peers_ctr_live = {
	.name = "berylrail_peers_live",
	.help = "Other entry hosts that are live or suspect.",
	.gauge = 1,
};

static uint64_t
peers_gossip_version(const struct peers_tcp *peers)
{
	return config_sync_current(peers->params.config_sync)->version;
}

/* Heartbeats */

static void
peers_gossip_send(struct peers_conn *conn, uint64_t now_us)
{
	struct peers_tcp *peers = conn->peers;
	Berylrail__Heartbeat heartbeat = BERYLRAIL__HEARTBEAT__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	char *servers[PEERS_LEAVING_MAX];
	size_t i;

	heartbeat.config_version = peers_gossip_version(peers);
	heartbeat.leaving = peers->is_leaving;
	heartbeat.tasks_waiting =
	    (uint32_t)engine_waiting(peers->params.engine);
	heartbeat.tasks_running = (uint32_t)engine_busy(peers->params.engine) -
	    heartbeat.tasks_waiting;
	heartbeat.interval_ms = mbr_heartbeat_interval_ms(
	    peers->params.heartbeat_ms, peers->nconns);
	if (conn->leaving_told == peers->leaving_changes) {
		heartbeat.leaving_servers_unchanged = true;
	} else {
		for (i = 0; i < peers->nown_leaving; i++)
			servers[i] = peers->own_leaving[i];
		heartbeat.leaving_servers = servers;
		heartbeat.n_leaving_servers = peers->nown_leaving;
		conn->leaving_told = peers->leaving_changes;
	}
	frame.kind_case = BERYLRAIL__FRAME__KIND_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	peers_conn_send(conn, &frame);
	conn->heartbeat_due_us =
	    now_us + peers_jitter_us(peers, heartbeat.interval_ms);
}

void
peers_gossip_all(struct peers_tcp *peers)
{
	uint64_t now_us = peers_now_us(peers);
	struct peers_conn *conn;

	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (conn->hello)
			peers_gossip_send(conn, now_us);
	}
}

/* Which hosts share which servers */

static uint64_t
peers_share_mix(uint64_t digest, const char *text)
{
	do {
		digest = (digest ^ (uint8_t)*text) * UINT64_C(0x100000001b3);
	} while (*text++ != '\0');
	return digest;
}

static bool
peers_share_is_first_of_az(const struct peers_tcp *peers,
    const struct member *member)
{
	const struct member *other;

	if (strcmp(member->az, peers->params.az) == 0)
		return false;
	TAILQ_FOREACH (other, &peers->members.members, entry) {
		if (other == member)
			return true;
		if (strcmp(other->az, member->az) == 0)
			return false;
	}
	return false;
}

static void
peers_share_az(struct peers_tcp *peers, const char *az, const char **names)
{
	struct engine_share share = { .az = az, .hosts = names };
	const struct member *member;

	if (strcmp(az, peers->params.az) == 0)
		names[share.nhosts++] = peers->params.host;
	TAILQ_FOREACH (member, &peers->members.members, entry) {
		if (strcmp(member->az, az) == 0 &&
		    mbr_shares_servers(&peers->members, member))
			names[share.nhosts++] = member->name;
	}
	if (share.nhosts > 0)
		engine_set_share(peers->params.engine, &share);
}

/* Tells the engine which hosts share servers, if that has changed. */
void
peers_gossip_share(struct peers_tcp *peers)
{
	uint64_t digest = UINT64_C(0xcbf29ce484222325);
	const struct member *member;
	const char **names;
	size_t nhosts = 1, nlive = 0;

	TAILQ_FOREACH (member, &peers->members.members, entry) {
		nlive += member->state == MEMBER_LIVE ||
		    member->state == MEMBER_SUSPECT;
		if (!mbr_shares_servers(&peers->members, member))
			continue;
		nhosts++;
		digest = peers_share_mix(digest, member->name);
		digest = peers_share_mix(digest, member->az);
	}
	ctr_set(&peers_ctr_live, nlive);
	if (digest == peers->share_digest)
		return;
	names = calloc(nhosts, sizeof(*names));
	if (names == NULL)
		return;
	peers->share_digest = digest;
	api_set_nhosts(peers->params.api, nhosts);
	peers_share_az(peers, peers->params.az, names);
	TAILQ_FOREACH (member, &peers->members.members, entry) {
		if (peers_share_is_first_of_az(peers, member))
			peers_share_az(peers, member->az, names);
	}
	free(names);
}

/* Configuration */

static void
peers_config_fetch(struct peers_conn *conn, uint64_t now_us)
{
	struct peers_tcp *peers = conn->peers;
	Berylrail__ConfigFetch fetch = BERYLRAIL__CONFIG_FETCH__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;

	fetch.have_version = peers_gossip_version(peers);
	frame.kind_case = BERYLRAIL__FRAME__KIND_CONFIG_FETCH;
	frame.config_fetch = &fetch;
	peers_conn_send(conn, &frame);
	peers->config_fetch_due_us =
	    now_us + (uint64_t)PEERS_CONFIG_GRACE_MS * 1000;
}

/* Return: was this version news? */
static bool
peers_config_heard(struct peers_conn *conn, uint64_t version)
{
	struct peers_tcp *peers = conn->peers;
	uint64_t now_us = peers_now_us(peers);
	uint64_t have = peers_gossip_version(peers);

	if (version <= have)
		return false;
	if (have == 0 && now_us >= peers->config_fetch_due_us)
		peers_config_fetch(conn, now_us);
	if (version <= peers->config_heard)
		return false;
	if (peers->config_heard <= have)
		peers->config_heard_us = now_us;
	peers->config_heard = version;
	config_sync_heard(peers->params.config_sync, version);
	return true;
}

/* Behind for long: the platform doesn't answer, so ask a peer. */
static void
peers_config_tick(struct peers_tcp *peers, uint64_t now_us)
{
	uint64_t have = peers_gossip_version(peers);
	const struct member *member;
	struct peers_conn *conn;

	if (peers->config_heard <= have ||
	    now_us < peers->config_fetch_due_us ||
	    now_us - peers->config_heard_us <
		(uint64_t)PEERS_CONFIG_GRACE_MS * 1000)
		return;
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		member =
		    conn->hello ? mbr_find(&peers->members, conn->name) : NULL;
		if (member != NULL && member->load.config_version > have) {
			peers_config_fetch(conn, now_us);
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
peers_gossip_notify_config(struct peers *port, uint64_t version)
{
	struct peers_tcp *peers = peers_of(port);
	struct peers_conn *conn;

	/* Whoever told us has told the others too. */
	if (version <= peers->config_heard)
		return;
	peers->config_heard = version;
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (conn->hello && !conn->redundant)
			peers_config_send_notice(conn, version);
	}
}

/* News from another availability zone is passed on inside the own one. */
void
peers_gossip_notice(struct peers_conn *conn, uint64_t version)
{
	struct peers_tcp *peers = conn->peers;
	struct peers_conn *other;

	if (!peers_config_heard(conn, version) ||
	    strcmp(conn->az, peers->params.az) == 0)
		return;
	TAILQ_FOREACH (other, &peers->conns, entry) {
		if (other->hello && !other->redundant &&
		    strcmp(other->az, peers->params.az) == 0)
			peers_config_send_notice(other, version);
	}
}

void
peers_gossip_fetch(struct peers_conn *conn, uint64_t have)
{
	struct peers_tcp *peers = conn->peers;
	Berylrail__ConfigSnapshot snapshot = BERYLRAIL__CONFIG_SNAPSHOT__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	uint64_t version = peers_gossip_version(peers);
	char *text;
	size_t len;

	if (version <= have)
		return;
	text = config_sync_export(peers->params.config_sync, &len);
	if (text == NULL)
		return;
	snapshot.version = version;
	snapshot.json.data = (uint8_t *)text;
	snapshot.json.len = len;
	frame.kind_case = BERYLRAIL__FRAME__KIND_CONFIG_SNAPSHOT;
	frame.config_snapshot = &snapshot;
	if (len + PEERS_HELLO_BYTES_MAX <= FRAME_BYTES_MAX)
		peers_conn_send(conn, &frame);
	free(text);
}

void
peers_gossip_snapshot(struct peers_conn *conn,
    const Berylrail__ConfigSnapshot *snapshot)
{
	struct peers_tcp *peers = conn->peers;
	struct err err;

	if (snapshot->version <= peers_gossip_version(peers))
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
peers_leaving_is_told(const struct peers_tcp *peers, const char *server)
{
	const struct peers_leaving *fact;

	TAILQ_FOREACH (fact, &peers->leaving, entry) {
		if (strcmp(fact->server, server) == 0)
			return true;
	}
	return false;
}

static void
peers_leaving_remove(struct peers_tcp *peers, struct peers_leaving *fact)
{
	TAILQ_REMOVE(&peers->leaving, fact, entry);
	if (!peers_leaving_is_told(peers, fact->server))
		engine_server_leaving(peers->params.engine, fact->server,
		    "peer", false);
	free(fact);
}

static void
peers_leaving_add(struct peers_tcp *peers, const char *host, const char *server)
{
	struct peers_leaving *fact;

	TAILQ_FOREACH (fact, &peers->leaving, entry) {
		if (strcmp(fact->host, host) == 0 &&
		    strcmp(fact->server, server) == 0) {
			fact->named = true;
			return;
		}
	}
	fact = calloc(1, sizeof(*fact));
	if (fact == NULL)
		return;
	strlcpy(fact->host, host, sizeof(fact->host));
	strlcpy(fact->server, server, sizeof(fact->server));
	fact->named = true;
	if (!peers_leaving_is_told(peers, server))
		engine_server_leaving(peers->params.engine, server, "peer",
		    true);
	TAILQ_INSERT_TAIL(&peers->leaving, fact, entry);
}

/* @host names all servers that it knows to be leaving. */
static void
peers_leaving_replace(struct peers_tcp *peers, const char *host,
    char *const *servers, size_t nservers)
{
	struct peers_leaving *fact, *next;
	size_t i;

	TAILQ_FOREACH (fact, &peers->leaving, entry) {
		if (strcmp(fact->host, host) == 0)
			fact->named = false;
	}
	for (i = 0; i < nservers && i < PEERS_LEAVING_MAX; i++) {
		if (strlen(servers[i]) <= NAME_LEN_MAX)
			peers_leaving_add(peers, host, servers[i]);
	}
	TAILQ_FOREACH_SAFE (fact, &peers->leaving, entry, next) {
		if (strcmp(fact->host, host) == 0 && !fact->named)
			peers_leaving_remove(peers, fact);
	}
}

/* What a host said lasts until it says otherwise or is forgotten. */
static void
peers_leaving_tick(struct peers_tcp *peers)
{
	struct peers_leaving *fact, *next;

	TAILQ_FOREACH_SAFE (fact, &peers->leaving, entry, next) {
		if (mbr_find(&peers->members, fact->host) == NULL)
			peers_leaving_remove(peers, fact);
	}
}

void
peers_tcp_set_server_leaving(struct peers *port, const char *server,
    bool leaving)
{
	struct peers_tcp *peers = peers_of(port);
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
	} else if (i < PEERS_LEAVING_MAX) {
		strlcpy(peers->own_leaving[i], server, NAME_SIZE);
		peers->nown_leaving++;
	} else {
		return;
	}
	peers->leaving_changes++;
	peers_gossip_all(peers);
}

/* Connections */

void
peers_gossip_connected(struct peers_conn *conn)
{
	peers_gossip_send(conn, peers_now_us(conn->peers));
	peers_gossip_share(conn->peers);
}

/*
 * A host that came in under the name of one that was not yet known to be dead
 * becomes the current one as soon as that is, or once it was reached at its
 * own address.
 */
static bool
peers_gossip_accept(struct peers_conn *conn, const struct member_load *load)
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
		(void)peers_dial_demand(peers, conn->name);
		return false;
	}
	return mbr_heartbeat(&peers->members, now_us, conn->name,
	    conn->incarnation, load);
}

void
peers_gossip_heartbeat(struct peers_conn *conn,
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

	if (load.interval_ms > PEERS_INTERVAL_MAX_MS)
		load.interval_ms = PEERS_INTERVAL_MAX_MS;
	conn->interval_ms = load.interval_ms;
	if (!peers_gossip_accept(conn, &load)) {
		ctr_inc(&peers_ctr_stale_heartbeats);
		return;
	}
	if (!heartbeat->leaving_servers_unchanged)
		peers_leaving_replace(peers, conn->name,
		    heartbeat->leaving_servers, heartbeat->n_leaving_servers);
	peers_config_heard(conn, heartbeat->config_version);
	peers_gossip_share(peers);
}

void
peers_gossip_tick(struct peers_tcp *peers, uint64_t now_us)
{
	struct peers_conn *conn;

	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (conn->hello && now_us >= conn->heartbeat_due_us)
			peers_gossip_send(conn, now_us);
	}
	peers_leaving_tick(peers);
	peers_config_tick(peers, now_us);
}

void
peers_gossip_release(struct peers_tcp *peers)
{
	struct peers_leaving *fact;

	while ((fact = TAILQ_FIRST(&peers->leaving)) != NULL) {
		TAILQ_REMOVE(&peers->leaving, fact, entry);
		free(fact);
	}
}
