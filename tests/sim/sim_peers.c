/*
 * The port of the peers over simulated connections, as adapters/peers_*.c have
 * it: two hosts may have two connections, of which both select the same one.
 */

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "sim.h"

#define SIM_HELLO_TIMEOUT_MS 2000
#define SIM_BACKOFF_MIN_MS 100
#define SIM_BACKOFF_MAX_MS 5000
#define SIM_HEARTBEAT_MS 200
#define SIM_HEARTBEAT_PEER_MS 80 /* for each peer, if that is more */
#define SIM_TICK_MS 50
#define SIM_DEAD_INTERVALS 5

struct sim_host *
sim_peer(struct sim_host *host, const char *name)
{
	return &host->day->hosts[atoi(name + 1)];
}

static uint64_t
sim_heartbeat_ms(const struct sim_host *host)
{
	uint64_t ms = (host->day->nhosts - 1) * SIM_HEARTBEAT_PEER_MS;

	return ms > SIM_HEARTBEAT_MS ? ms : SIM_HEARTBEAT_MS;
}

static uint64_t
sim_jitter_us(struct sim_host *host, uint64_t ms)
{
	return ms * SIM_US_PER_MS * 3 / 4 +
	    sim_random(host->day, (uint32_t)(ms * SIM_US_PER_MS / 2));
}

static bool
sim_end_is_open(struct sim_end *end, size_t to)
{
	return !end->closed && end->hello &&
	    sim_end_peer(end)->host->index == to;
}

/* A redundant connection only if there is no other one. */
struct sim_end *
sim_end_find(struct sim_host *host, size_t to, uint64_t incarnation)
{
	struct sim_end *end, *found = NULL;

	TAILQ_FOREACH (end, &host->ends, entry) {
		if (!sim_end_is_open(end, to) ||
		    sim_end_peer(end)->incarnation != incarnation)
			continue;
		if (!end->redundant)
			return end;
		found = end;
	}
	return found;
}

struct sim_end *
sim_end_find_host(struct sim_host *host, size_t to)
{
	struct sim_end *end;

	TAILQ_FOREACH (end, &host->ends, entry) {
		if (sim_end_is_open(end, to))
			return end;
	}
	return NULL;
}

struct sim_end *
sim_end_dialing(struct sim_host *host, size_t to)
{
	struct sim_end *end;

	TAILQ_FOREACH (end, &host->ends, entry) {
		if (!end->closed && end->dialed &&
		    sim_end_peer(end)->host->index == to)
			return end;
	}
	return NULL;
}

void
sim_peers_dial(struct sim_host *host, size_t to)
{
	uint32_t *backoff_ms = &host->backoff_ms[to];

	*backoff_ms = *backoff_ms == 0	       ? SIM_BACKOFF_MIN_MS
	    : *backoff_ms < SIM_BACKOFF_MAX_MS ? *backoff_ms * 2
					       : *backoff_ms;
	host->next_dial_us[to] =
	    sim_host_now_us(host) + sim_jitter_us(host, *backoff_ms);
	sim_conn_dial(host, &host->day->hosts[to]);
}

/* Of two connections to one process that of the first host in the order of
 * names is kept, or that whose hello came first. */
static void
sim_mark_redundant(struct sim_end *end)
{
	size_t to = sim_end_peer(end)->host->index, dialer, other_dialer;
	struct sim_end *other;

	TAILQ_FOREACH (other, &end->host->ends, entry) {
		if (other == end || !sim_end_is_open(other, to) ||
		    other->redundant ||
		    sim_end_peer(other)->incarnation !=
			sim_end_peer(end)->incarnation)
			continue;
		dialer = end->dialed ? end->host->index : to;
		other_dialer = other->dialed ? end->host->index : to;
		if (dialer < other_dialer)
			other->redundant = true;
		else
			end->redundant = true;
	}
}

static void
sim_hello_received(struct sim_end *end)
{
	struct sim_end *peer = sim_end_peer(end), *other;
	struct sim_host *host = end->host;
	size_t to = peer->host->index;

	end->hello = true;
	host->conns_version++;
	if (end->dialed) {
		host->backoff_ms[to] = 0;
		host->next_dial_us[to] = 0;
		TAILQ_FOREACH (other, &host->ends, entry) {
			if (sim_end_is_open(other, to) &&
			    sim_end_peer(other)->incarnation !=
				peer->incarnation)
				sim_end_close(other, SIM_CLOSE_DRAWN);
		}
	} else {
		sim_end_send(end, sim_msg_create(SIM_HELLO, 0));
	}
	sim_mark_redundant(end);
	sim_forwards_connected(end);
}

void
sim_peers_msg(struct sim_end *end, struct sim_msg *msg)
{
	end->last_received_us = sim_host_now_us(end->host);
	end->alive_us = end->host->previous_tick_us;
	switch (msg->kind) {
	case SIM_HELLO:
		sim_hello_received(end);
		break;
	case SIM_REQUEST:
		sim_request_received(end, msg);
		return;
	case SIM_REPLY:
		sim_reply_received(end, msg);
		break;
	case SIM_HEARTBEAT:
	case SIM_END:
		break;
	}
	sim_msg_free(msg);
}

static void
sim_end_tick(struct sim_end *end, uint64_t now_us)
{
	uint64_t interval_ms = sim_heartbeat_ms(end->host);
	uint64_t timeout_ms = end->hello ? interval_ms * SIM_DEAD_INTERVALS
					 : SIM_HELLO_TIMEOUT_MS;

	if (now_us - end->last_received_us > timeout_ms * SIM_US_PER_MS ||
	    (end->redundant && end->dialed && end->nforwards == 0 &&
		end->nserved == 0 &&
		now_us - end->opened_us >
		    SIM_HELLO_TIMEOUT_MS * SIM_US_PER_MS)) {
		sim_end_close(end, SIM_CLOSE_DRAWN);
		return;
	}
	if (!end->hello ||
	    (now_us < end->heartbeat_due_us &&
		(end->nforwards == 0 ||
		    now_us - end->last_sent_us <
			SIM_HEARTBEAT_MS * SIM_US_PER_MS)))
		return;
	end->heartbeat_due_us = now_us + sim_jitter_us(end->host, interval_ms);
	sim_end_send(end, sim_msg_create(SIM_HEARTBEAT, 0));
}

static void
sim_peers_tick(evutil_socket_t fd, short what, void *arg)
{
	struct sim_host *host = arg;
	uint64_t now_us = sim_host_now_us(host);
	struct sim_end *end;
	size_t i;

	(void)fd;
	(void)what;
	host->previous_tick_us = host->last_tick_us;
	host->last_tick_us = now_us;
	TAILQ_FOREACH (end, &host->ends, entry) {
		if (!end->closed)
			sim_end_tick(end, now_us);
	}
	sim_forwards_tick(host, now_us);
	for (i = 0; i < host->day->nhosts; i++) {
		if (i != host->index && host->listed[i] &&
		    now_us >= host->next_dial_us[i] &&
		    sim_end_find_host(host, i) == NULL &&
		    sim_end_dialing(host, i) == NULL)
			sim_peers_dial(host, i);
	}
}

static bool
sim_is_connected(struct peers *peers, const char *name, uint64_t *incarnation)
{
	struct sim_host *host = (struct sim_host *)peers;
	struct sim_end *end =
	    sim_end_find_host(host, sim_peer(host, name)->index);

	if (end == NULL)
		return false;
	*incarnation = sim_end_peer(end)->incarnation;
	return true;
}

static uint64_t
sim_connections_version(struct peers *peers)
{
	return ((struct sim_host *)peers)->conns_version;
}

static uint64_t
sim_alive_us(struct peers *peers, const char *name, uint64_t connection)
{
	struct sim_host *host = (struct sim_host *)peers;
	size_t to = sim_peer(host, name)->index;
	struct sim_end *end;

	TAILQ_FOREACH (end, &host->ends, entry) {
		if (sim_end_is_open(end, to) && end->conn->id == connection)
			return end->alive_us;
	}
	return 0;
}

static void
sim_request_connection(struct peers *peers, const char *name)
{
	struct sim_host *host = (struct sim_host *)peers;
	size_t to = sim_peer(host, name)->index;

	if (sim_end_find_host(host, to) == NULL &&
	    sim_end_dialing(host, to) == NULL &&
	    sim_host_now_us(host) >= host->next_dial_us[to])
		sim_peers_dial(host, to);
}

static void
sim_update_hosts(struct peers *peers, const struct hostlist_entry *entries,
    size_t n)
{
	struct sim_host *host = (struct sim_host *)peers;
	size_t i;

	memset(host->listed, 0, sizeof(host->listed));
	for (i = 0; i < n; i++)
		host->listed[sim_peer(host, entries[i].name)->index] = true;
}

static const struct peers_ops sim_peers_ops = { .forward = sim_forward };

void
sim_peers_params(struct sim_host *host, struct jsvc_params *params)
{
	host->peers.ops = &sim_peers_ops;
	params->peers = &host->peers;
	params->is_connected = sim_is_connected;
	params->connections_version = sim_connections_version;
	params->alive_us = sim_alive_us;
	params->request_connection = sim_request_connection;
	params->update_hosts = sim_update_hosts;
}

void
sim_peers_start(struct sim_host *host)
{
	const struct timeval interval = { .tv_usec = SIM_TICK_MS * 1000 };

	memset(host->listed, 0, sizeof(host->listed));
	memset(host->next_dial_us, 0, sizeof(host->next_dial_us));
	memset(host->backoff_ms, 0, sizeof(host->backoff_ms));
	host->previous_tick_us = host->last_tick_us = sim_host_now_us(host);
	host->tick =
	    event_new(host->base, -1, EV_PERSIST, sim_peers_tick, host);
	(void)event_add(host->tick, &interval);
	sim_forwards_start(host);
}

void
sim_peers_stop(struct sim_host *host, bool silent)
{
	struct sim_end *end;

	event_free(host->tick);
	TAILQ_FOREACH (end, &host->ends, entry)
		sim_end_close(end, silent ? SIM_CLOSE_SILENT : SIM_CLOSE_DRAWN);
	sim_forwards_stop(host);
}
