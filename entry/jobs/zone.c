/*
 * Entry hosts and who holds the servers of this availability zone. Every host
 * decides for itself from what it sees; the fencing token at the servers
 * settles it where two decide differently, and the loser steps down.
 */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/zone_internal.h"

#define ZONE_US_PER_MS UINT64_C(1000)
#define ZONE_TICK_MS 25
#define ZONE_FAR_MS 1000	   /* a load told longer ago says nothing */
#define ZONE_FAR_FREE_PERMILLE 100 /* room that another zone must have */
#define ZONE_SETTLE_MS 350  /* after a start, hosts find each other first */
#define ZONE_RESERVE_MS 500 /* between tries to reserve a token */
#define ZONE_WOKEN_MS 300   /* no turn of the loop takes so long */

uint64_t
zone_now(const struct zone *zone)
{
	return clock_now_us(zone->params.clock);
}

struct zone_host *
zone_host_find(const struct zone *zone, const char *name)
{
	struct zone_host *host;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (strcmp(host->info.name, name) == 0)
			return host;
	}
	return NULL;
}

bool
zone_is_near(const struct zone *zone, const struct zone_host *host)
{
	return strcmp(host->info.az, zone->params.self.az) == 0;
}

void
zone_host(struct zone *zone, const struct dir_host *info)
{
	struct zone_host *host;

	if (strcmp(info->name, zone->params.self.name) == 0)
		return;
	host = zone_host_find(zone, info->name);
	if (host == NULL) {
		host = mem_zalloc(1, sizeof(*host));
		TAILQ_INSERT_TAIL(&zone->hosts, host, entry);
	}
	host->info = *info;
}

void
zone_host_gone(struct zone *zone, const char *name)
{
	struct zone_host *host = zone_host_find(zone, name);

	if (host == NULL)
		return;
	if (zone->holder == host->info.name)
		zone->holder = NULL;
	TAILQ_REMOVE(&zone->hosts, host, entry);
	json_decref(host->pending);
	free(host);
}

size_t
zone_fill_hosts(const struct zone *zone, struct hostlist_entry *entries,
    size_t max)
{
	const struct zone_host *host;
	size_t n = 0;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (n == max)
			break;
		memset(&entries[n], 0, sizeof(entries[n]));
		entries[n].role = HOSTLIST_ENTRY;
		strlcpy(entries[n].name, host->info.name, NAME_SIZE);
		strlcpy(entries[n].az, host->info.az, NAME_SIZE);
		strlcpy(entries[n].address, host->info.address,
		    sizeof(entries[n].address));
		entries[n].port = host->info.port;
		n++;
	}
	return n;
}

const char *
zone_peer(const struct zone *zone, uint64_t *incarnation)
{
	const struct zone_host *host, *found = NULL;
	uint64_t n = 0, chosen = zone_now(zone) / ZONE_US_PER_MS;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (host->connected && !host->silent)
			n++;
	}
	if (n == 0)
		return NULL;
	chosen %= n;
	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (host->connected && !host->silent && chosen-- == 0)
			found = host;
	}
	*incarnation = found->incarnation;
	return found->info.name;
}

/* Fencing tokens */

static void
zone_reserve(struct zone *zone, uint64_t now_us)
{
	if (zone->reserving || zone->reserve > zone->highest_token ||
	    now_us - zone->reserve_asked_us < ZONE_RESERVE_MS * ZONE_US_PER_MS)
		return;
	zone->reserving = true;
	zone->reserve_asked_us = now_us;
	zone->params.reserve(zone->params.arg);
}

void
zone_set_keeper(struct zone *zone, struct job_store *keeper)
{
	zone->keeper = keeper;
}

void
zone_reserved(struct zone *zone, uint64_t token)
{
	zone->reserving = false;
	if (token > zone->reserve)
		zone->reserve = token;
}

void
zone_token_heard(struct zone *zone, struct zone_host *host, uint64_t token)
{
	host->token = token;
	if (!zone_is_near(zone, host) || token <= zone->highest_token)
		return;
	zone->highest_token = token;
	if (holder_token(zone->params.holder) != 0 &&
	    holder_token(zone->params.holder) < token)
		holder_end(zone->params.holder);
}

void
zone_fenced(struct zone *zone)
{
	uint64_t token = holder_token(zone->params.holder);

	log_event(LOG_LEVEL_WARN, "fenced", "token=%" PRIu64, token);
	holder_end(zone->params.holder);
	/* Somebody has a higher one: a new reservation is needed to return. */
	if (zone->reserve <= token)
		zone->reserve = 0;
}

/* Tells all hosts who holds, so that jobs find their way at once. */
static void
zone_announced(void *arg, const struct api_reply *reply, const struct err *err)
{
	(void)arg;
	(void)reply;
	(void)err;
}

static void
zone_announce(struct zone *zone)
{
	struct api_request request = { .method = API_POST,
		.path = ZONE_PATH "held" };
	const struct zone_host *host;
	char query[NAME_SIZE + 64];

	(void)snprintf(query, sizeof(query),
	    "host=%s&token=%" PRIu64 "&leaving=%d", zone->params.self.name,
	    holder_token(zone->params.holder), zone->leaving ? 1 : 0);
	request.query = query;
	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (host->connected)
			zone->params.peers->ops->forward(zone->params.peers,
			    host->info.az, host->info.name, host->incarnation,
			    &request, zone_announced, NULL);
	}
}

static void
zone_take_over(struct zone *zone, uint64_t now_us)
{
	if (zone->reserve <= zone->highest_token) {
		zone_reserve(zone, now_us);
		return;
	}
	zone->highest_token = zone->reserve;
	zone->reserve = 0;
	holder_begin(zone->params.holder, zone->highest_token);
	zone->params.holding(zone->params.arg);
	zone_announce(zone);
}

static void
zone_fill(const struct zone_host *host, struct cell_host *cell)
{
	*cell = (struct cell_host){
		.name = host->info.name,
		.weight = host->info.weight,
		.token = host->token,
		.reachable = host->connected && !host->silent,
		.leaving = host->leaving,
	};
}

void
zone_choose(struct zone *zone)
{
	struct cell_host cells[ZONE_HOSTS_MAX];
	const struct zone_host *host;
	size_t n = 0;
	int chosen;

	cells[n++] = (struct cell_host){
		.name = zone->params.self.name,
		.weight = zone->params.self.weight,
		.token = holder_token(zone->params.holder),
		.reachable = true,
		.leaving = zone->leaving,
	};
	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (zone_is_near(zone, host) && n < ZONE_HOSTS_MAX)
			zone_fill(host, &cells[n++]);
	}
	chosen = cell_choose(cells, n);
	if (chosen < 0) {
		zone->holder = NULL;
		return;
	}
	if (zone->holder == NULL ||
	    strcmp(zone->holder, cells[chosen].name) != 0)
		log_event(LOG_LEVEL_INFO, "holder-chosen",
		    "holder=%s token=%" PRIu64 " hosts=%zu", cells[chosen].name,
		    cells[chosen].token, n);
	zone->holder = cells[chosen].name;
}

/*
 * After a start: another host may hold already. It is known whether one does
 * once all have answered; one that does not answer soon is not waited for.
 */
static bool
zone_settled(const struct zone *zone, uint64_t now_us)
{
	const struct zone_host *host;

	if (zone->listed_us == 0)
		return false;
	if (now_us - zone->listed_us > ZONE_SETTLE_MS * ZONE_US_PER_MS)
		return true;
	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (zone_is_near(zone, host) && host->pong_us == 0)
			return false;
	}
	return true;
}

void
zone_listed(struct zone *zone)
{
	if (zone->listed_us == 0)
		zone->listed_us = zone_now(zone);
}

/* Tells when another host than before holds. */
void
zone_tell(struct zone *zone)
{
	const struct zone_host *host;
	uint64_t token;

	if (!zone_served(zone))
		return;
	host = zone_host_find(zone, zone->holder);
	token = host == NULL ? holder_token(zone->params.holder) : host->token;
	if (token <= zone->told_token)
		return;
	zone->told_token = token;
	zone->params.changed(zone->params.arg, zone->holder);
}

/* A host that has just come back may hold: it has not said so yet. */
static bool
zone_unheard(const struct zone *zone, uint64_t now_us)
{
	const struct zone_host *host;

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (zone_is_near(zone, host) && host->connected &&
		    !host->heard && !host->silent &&
		    now_us - host->connected_us <
			ZONE_SETTLE_MS * ZONE_US_PER_MS)
			return true;
	}
	return false;
}

/*
 * After this process stood still its connections may be gone, and another
 * host may hold: as after a start, the others are asked first.
 */
static void
zone_check_pause(struct zone *zone, uint64_t now_us)
{
	uint64_t gap_us = now_us - zone->ticked_us;
	struct zone_host *host;

	if (zone->ticked_us != 0 && gap_us > ZONE_WOKEN_MS * ZONE_US_PER_MS) {
		log_event(LOG_LEVEL_WARN, "woken", "after_ms=%" PRIu64,
		    gap_us / ZONE_US_PER_MS);
		zone->settled = false;
		if (zone->listed_us != 0)
			zone->listed_us = now_us;
		TAILQ_FOREACH (host, &zone->hosts, entry) {
			host->heard = false;
			host->pong_us = 0;
		}
	}
	zone->ticked_us = now_us;
}

static void
zone_tick(evutil_socket_t fd, short what, void *arg)
{
	struct zone *zone = arg;
	uint64_t now_us = zone_now(zone);

	(void)fd;
	(void)what;
	zone_check_pause(zone, now_us);
	zone_look(zone, now_us);
	zone_reserve(zone, now_us);
	if (!zone->settled)
		zone->settled = zone_settled(zone, now_us);
	zone_watch_far(zone, now_us);
	zone_watch_near(zone, now_us);
	zone_choose(zone);
	zone_tell(zone);
	if (zone->holder != NULL &&
	    strcmp(zone->holder, zone->params.self.name) == 0 &&
	    holder_token(zone->params.holder) == 0 && zone->settled &&
	    !zone_unheard(zone, now_us))
		zone_take_over(zone, now_us);
}

const char *
zone_holder(const struct zone *zone)
{
	return zone_served(zone) ? zone->holder : NULL;
}

const char *
zone_overflow(const struct zone *zone)
{
	const struct zone_host *host, *best = NULL;
	uint64_t now_us = zone_now(zone);

	TAILQ_FOREACH (host, &zone->hosts, entry) {
		if (zone_is_near(zone, host) || !host->connected ||
		    host->silent || host->token == 0 || host->leaving ||
		    host->backlog_ms > 0 ||
		    host->free_permille < ZONE_FAR_FREE_PERMILLE ||
		    now_us - host->pong_us > ZONE_FAR_MS * ZONE_US_PER_MS)
			continue;
		if (best == NULL || host->free_permille > best->free_permille)
			best = host;
	}
	return best == NULL ? NULL : best->info.name;
}

void
zone_leave(struct zone *zone)
{
	zone->leaving = true;
	zone_announce(zone);
}

bool
zone_served(const struct zone *zone)
{
	const struct zone_host *host;

	if (zone->holder == NULL)
		return false;
	if (strcmp(zone->holder, zone->params.self.name) == 0)
		return holder_token(zone->params.holder) != 0;
	host = zone_host_find(zone, zone->holder);
	return host != NULL && host->connected && host->token != 0;
}

struct zone *
zone_create(const struct zone_params *params)
{
	const struct timeval interval = { .tv_usec = ZONE_TICK_MS * 1000 };
	struct zone *zone = mem_zalloc(1, sizeof(*zone));

	zone->params = *params;
	TAILQ_INIT(&zone->hosts);
	TAILQ_INIT(&zone->served);
	zone->tick = event_new(params->base, -1, EV_PERSIST, zone_tick, zone);
	if (zone->tick == NULL || event_add(zone->tick, &interval) == -1) {
		zone_destroy(zone);
		return NULL;
	}
	return zone;
}

void
zone_destroy(struct zone *zone)
{
	struct zone_host *host;

	zone_served_drop(zone);
	while ((host = TAILQ_FIRST(&zone->hosts)) != NULL) {
		TAILQ_REMOVE(&zone->hosts, host, entry);
		json_decref(host->pending);
		free(host);
	}
	if (zone->tick != NULL)
		event_free(zone->tick);
	free(zone);
}
