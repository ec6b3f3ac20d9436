/*
 * What a host knows of the others: each is asked from time to time whether it
 * holds, the holder more often, and at once after a connection was made.
 */

#include <inttypes.h>
#include <jansson.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/cells_internal.h"

#define ZONE_US_PER_MS UINT64_C(1000)
#define ZONE_PING_MS 150       /* interval of pings of the holder */
#define ZONE_NEAR_PING_MS 1000 /* of the other hosts of this zone */
#define ZONE_FAR_PING_MS 300   /* of the holders of other zones */
#define ZONE_FAR_WANTED 3      /* likely holders of each other zone */
#define ZONE_SILENT_MS 450     /* a host without an answer is taken for gone */

struct zone_ping {
	struct zone *zone;
	char host[NAME_SIZE];
};

static void
zone_ponged(void *arg, const struct api_reply *reply, const struct err *err)
{
	struct zone_ping *ping = arg;
	struct zone_host *host = zone_host_find(ping->zone, ping->host);
	json_t *body;

	(void)err;
	if (host == NULL) {
		free(ping);
		return;
	}
	host->ping_pending = false;
	if (reply != NULL && reply->status == 200) {
		body = json_loadb(reply->body, reply->body_len, 0, NULL);
		host->pong_us = zone_now(ping->zone);
		if (host->silent)
			log_event(LOG_LEVEL_INFO, "host-answers", "host=%s",
			    host->info.name);
		host->silent = false;
		host->heard = true;
		host->leaving = json_is_true(json_object_get(body, "leaving"));
		host->backlog_ms = (uint32_t)json_integer_value(
		    json_object_get(body, "backlog_ms"));
		host->free_permille = (uint32_t)json_integer_value(
		    json_object_get(body, "free_permille"));
		json_decref(host->pending);
		host->pending = json_incref(json_object_get(body, "pending"));
		zone_token_heard(ping->zone, host,
		    (uint64_t)json_integer_value(
			json_object_get(body, "token")));
		json_decref(body);
	}
	free(ping);
}

static void
zone_ping(struct zone *zone, struct zone_host *host, uint64_t interval_ms,
    uint64_t now_us)
{
	const struct api_request request = { .method = API_GET,
		.path = ZONE_PATH "state",
		.query = "" };
	struct zone_ping *ping;

	if (!host->connected)
		return;
	if (host->ping_pending) {
		if (!host->silent &&
		    now_us - host->ping_sent_us >
			ZONE_SILENT_MS * ZONE_US_PER_MS) {
			host->silent = true;
			log_event(LOG_LEVEL_WARN, "host-silent",
			    "host=%s token=%" PRIu64, host->info.name,
			    host->token);
		}
		return;
	}
	if (now_us - host->ping_sent_us < interval_ms * ZONE_US_PER_MS)
		return;
	ping = mem_zalloc(1, sizeof(*ping));
	ping->zone = zone;
	strlcpy(ping->host, host->info.name, sizeof(ping->host));
	host->ping_pending = true;
	host->ping_sent_us = now_us;
	zone->params.peers->ops->forward(zone->params.peers, host->info.az,
	    host->info.name, host->incarnation, &request, zone_ponged, ping);
}

/* Connections as the peers have them. */
void
zone_look(struct zone *zone, uint64_t now_us)
{
	struct zone_host *host;
	uint64_t incarnation;
	bool connected;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		connected = zone->params.connected(zone->params.peers,
		    host->info.name, &incarnation);
		if (connected &&
		    (!host->connected || host->incarnation != incarnation)) {
			host->connected_us = now_us;
			host->incarnation = incarnation;
			host->token = 0;
			host->leaving = false;
			host->silent = false;
			host->heard = false;
			host->ping_sent_us = 0;
		}
		if (!connected)
			host->token = 0;
		host->connected = connected;
	}
}

/* How many hosts of its zone are more likely to hold? */
static size_t
zone_far_rank(const struct zone *zone, const struct zone_host *host)
{
	const struct zone_host *other;
	size_t rank = 0;

	TAILQ_FOREACH (other, &zone->hosts, entry) {
		if (strcmp(other->info.az, host->info.az) == 0 &&
		    (other->info.weight > host->info.weight ||
			(other->info.weight == host->info.weight &&
			    strcmp(other->info.name, host->info.name) < 0)))
			rank++;
	}
	return rank;
}

/* Keeps in touch with the hosts that may hold other zones' servers. */
void
zone_watch_far(struct zone *zone, uint64_t now_us)
{
	struct zone_host *host;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (zone_is_near(zone, host) ||
		    (host->token == 0 &&
			zone_far_rank(zone, host) >= ZONE_FAR_WANTED))
			continue;
		if (!host->connected)
			zone->params.want(zone->params.peers, host->info.name);
		else
			zone_ping(zone, host, ZONE_FAR_PING_MS, now_us);
	}
}

void
zone_watch_near(struct zone *zone, uint64_t now_us)
{
	struct zone_host *host;
	bool often;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (!zone_is_near(zone, host))
			continue;
		often = host->silent || !host->heard ||
		    (zone->holder != NULL &&
			strcmp(host->info.name, zone->holder) == 0);
		zone_ping(zone, host, often ? ZONE_PING_MS : ZONE_NEAR_PING_MS,
		    now_us);
	}
}
