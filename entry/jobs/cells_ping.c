/*
 * State of the other hosts. Local hosts, and the holders and likely holders
 * of remote cells, are pinged: a ping requests the host's token and load. The
 * first one is sent as soon as the host connects; later ones are periodic, more
 * frequent for the holder than for other local hosts.
 */

#include <inttypes.h>
#include <jansson.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/cells_internal.h"

#define CELLS_US_PER_MS UINT64_C(1000)
/* Intervals of pings. */
#define CELLS_HOLDER_PING_MS 150 /* of the local cell's holder */
#define CELLS_LOCAL_PING_MS 1000 /* of other local hosts */
#define CELLS_REMOTE_PING_MS 300 /* of holders of remote cells */

#define CELLS_REMOTE_CANDIDATES 3 /* likely holders of each remote cell */
#define CELLS_PING_TIMEOUT_MS 450 /* the host is then unreachable */

/* A ping in flight. */
struct cells_ping {
	struct cells *cells;
	char host[NAME_SIZE];
};

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
		json_decref(host->pending);
		host->pending = json_incref(json_object_get(body, "pending"));
		cells_host_set_token(ping->cells, host,
		    (uint64_t)json_integer_value(
			json_object_get(body, "token")));
		json_decref(body);
	}
	free(ping);
}

static void
cells_ping(struct cells *cells, struct cells_host *host, uint64_t interval_ms,
    uint64_t now_us)
{
	const struct api_request request = { .method = API_GET,
		.path = CELLS_PATH "state",
		.query = "" };
	struct cells_ping *ping;

	if (!host->connected)
		return;
	if (host->ping_pending) {
		if (!host->unreachable &&
		    now_us - host->ping_sent_us >
			CELLS_PING_TIMEOUT_MS * CELLS_US_PER_MS) {
			host->unreachable = true;
			log_event(LOG_LEVEL_WARN, "host-unreachable",
			    "host=%s token=%" PRIu64, host->info.name,
			    host->token);
		}
		return;
	}
	if (now_us - host->ping_sent_us < interval_ms * CELLS_US_PER_MS)
		return;
	ping = mem_zalloc(1, sizeof(*ping));
	ping->cells = cells;
	strlcpy(ping->host, host->info.name, sizeof(ping->host));
	host->ping_pending = true;
	host->ping_sent_us = now_us;
	cells->params.peers->ops->forward(cells->params.peers, host->info.az,
	    host->info.name, host->incarnation, &request, cells_ping_done,
	    ping);
}

void
cells_update_connections(struct cells *cells, uint64_t now_us)
{
	struct cells_host *host;
	uint64_t incarnation;
	bool connected;

	TAILQ_FOREACH (host, &cells->hosts, entry) {
		connected = cells->params.is_connected(cells->params.peers,
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
		}
		if (!connected)
			host->token = 0;
		host->connected = connected;
	}
}

/* Returns how many hosts of its availability zone would be chosen as holder
 * before this one: by weight, then by name. */
static size_t
cells_remote_rank(const struct cells *cells, const struct cells_host *host)
{
	const struct cells_host *other;
	size_t rank = 0;

	TAILQ_FOREACH (other, &cells->hosts, entry) {
		if (strcmp(other->info.az, host->info.az) == 0 &&
		    (other->info.weight > host->info.weight ||
			(other->info.weight == host->info.weight &&
			    strcmp(other->info.name, host->info.name) < 0)))
			rank++;
	}
	return rank;
}

void
cells_ping_remote(struct cells *cells, uint64_t now_us)
{
	struct cells_host *host;

	TAILQ_FOREACH (host, &cells->hosts, entry) {
		if (cells_is_local(cells, host) ||
		    (host->token == 0 &&
			cells_remote_rank(cells, host) >=
			    CELLS_REMOTE_CANDIDATES))
			continue;
		if (!host->connected)
			cells->params.request_connection(cells->params.peers,
			    host->info.name);
		else
			cells_ping(cells, host, CELLS_REMOTE_PING_MS, now_us);
	}
}

void
cells_ping_local(struct cells *cells, uint64_t now_us)
{
	struct cells_host *host;
	bool holder_or_unknown;

	TAILQ_FOREACH (host, &cells->hosts, entry) {
		if (!cells_is_local(cells, host))
			continue;
		holder_or_unknown = host->unreachable || !host->state_known ||
		    (cells->holder != NULL &&
			strcmp(host->info.name, cells->holder) == 0);
		cells_ping(cells, host,
		    holder_or_unknown ? CELLS_HOLDER_PING_MS
				      : CELLS_LOCAL_PING_MS,
		    now_us);
	}
}
