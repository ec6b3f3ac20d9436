/*
 * Selects the addresses to connect to: seeds, the members that core/member
 * selects, and on demand any known host, such as the issuer of a ticket. A
 * target is an address; the host that listens there is known only after its
 * hello. At most one connection is dialed per target at a time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/peers_internal.h"

/* Returns NULL if memory is exhausted. */
struct peers_target *
peers_target_find_or_add(struct peers_tcp *peers,
    const struct endpoint *endpoint)
{
	char key[PEERS_ENDPOINT_KEY_SIZE];
	struct peers_target *target;
	struct nidx_entry *found;

	(void)snprintf(key, sizeof(key), "%s %u", endpoint->address,
	    endpoint->port);
	found = nidx_find(&peers->targets_by_endpoint, key);
	if (found != NULL)
		return NIDX_OBJECT(found, struct peers_target, by_endpoint);
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return NULL;
	target->endpoint = *endpoint;
	strlcpy(target->key, key, sizeof(target->key));
	nidx_insert(&peers->targets_by_endpoint, &target->by_endpoint,
	    target->key);
	TAILQ_INSERT_TAIL(&peers->targets, target, entry);
	return target;
}

/* The target must have no connection. */
void
peers_target_free(struct peers_tcp *peers, struct peers_target *target)
{
	nidx_remove(&peers->targets_by_endpoint, &target->by_endpoint);
	TAILQ_REMOVE(&peers->targets, target, entry);
	free(target);
}

/* Returns NULL if the address is unknown or memory is exhausted. */
static struct peers_target *
peers_target_for_member(struct peers_tcp *peers, const struct member *member)
{
	struct endpoint endpoint = { .port = member->port };
	struct peers_target *target;

	if (member->address[0] == '\0' || member->port == 0)
		return NULL;
	strlcpy(endpoint.address, member->address, sizeof(endpoint.address));
	target = peers_target_find_or_add(peers, &endpoint);
	if (target != NULL && target->name[0] == '\0')
		strlcpy(target->name, member->name, sizeof(target->name));
	return target;
}

static void
peers_dial(struct peers_tcp *peers, struct peers_target *target,
    uint64_t now_us)
{
	target->last_dial_us = now_us;
	target->conn = peers_conn_open(peers, target, -1);
	if (target->conn == NULL)
		peers_dial_conn_ended(peers, target, false);
}

/*
 * Schedules the next attempt after the connection of a target was closed or
 * could not be opened. The backoff doubles with each attempt that ends before
 * the hello.
 */
void
peers_dial_conn_ended(struct peers_tcp *peers, struct peers_target *target,
    bool hello_exchanged)
{
	target->conn = NULL;
	if (hello_exchanged || target->backoff_ms == 0)
		target->backoff_ms = PEERS_BACKOFF_MIN_MS;
	else if (target->backoff_ms < PEERS_BACKOFF_MAX_MS)
		target->backoff_ms *= 2;
	target->next_dial_us =
	    peers_now_us(peers) + peers_jitter_us(peers, target->backoff_ms);
}

static bool
peers_dial_is_due(struct peers_tcp *peers, const struct peers_target *target,
    uint64_t now_us)
{
	const struct member *member;

	if (target->is_self || target->conn != NULL)
		return false;
	if (target->demand_until_us > now_us)
		return peers_conn_find_host(peers, target->name) == NULL;
	if (target->name[0] == '\0')
		return true;
	if (peers_conn_find_host(peers, target->name) != NULL)
		return false;
	member = mbr_find(&peers->members, target->name);
	return target->is_seed || (member != NULL && member->should_connect);
}

/*
 * Returns true if a target is no longer needed, because its host was removed
 * from the members or has another address.
 */
static bool
peers_dial_is_stale(struct peers_tcp *peers, const struct peers_target *target,
    uint64_t now_us)
{
	const struct member *member;

	if (target->is_seed || target->conn != NULL ||
	    target->demand_until_us > now_us)
		return false;
	member = mbr_find(&peers->members, target->name);
	return member == NULL || member->port != target->endpoint.port ||
	    strcmp(member->address, target->endpoint.address) != 0;
}

/* Adds targets for the members to connect to, if these have changed. */
static void
peers_dial_update_targets(struct peers_tcp *peers)
{
	struct member *member;

	if (peers->targets_version == peers->members.version)
		return;
	peers->targets_version = peers->members.version;
	TAILQ_FOREACH (member, &peers->members.members, entry) {
		if (member->should_connect)
			peers_target_for_member(peers, member);
	}
}

void
peers_dial_tick(struct peers_tcp *peers, uint64_t now_us)
{
	struct peers_target *target, *next;

	peers_dial_update_targets(peers);
	TAILQ_FOREACH_SAFE (target, &peers->targets, entry, next) {
		if (peers_dial_is_stale(peers, target, now_us)) {
			peers_target_free(peers, target);
			continue;
		}
		if (now_us >= target->next_dial_us &&
		    peers_dial_is_due(peers, target, now_us))
			peers_dial(peers, target, now_us);
	}
}

int
peers_dial_on_demand(struct peers_tcp *peers, const char *host)
{
	const struct member *member = mbr_find(&peers->members, host);
	uint64_t now_us = peers_now_us(peers);
	struct peers_target *target;

	if (member == NULL)
		return -1;
	target = peers_target_for_member(peers, member);
	if (target == NULL || target->is_self)
		return -1;
	target->demand_until_us =
	    now_us + (uint64_t)PEERS_ON_DEMAND_IDLE_MS * 1000;
	if (target->conn != NULL)
		return 0;
	if (target->last_dial_us != 0 &&
	    now_us - target->last_dial_us <
		(uint64_t)PEERS_BACKOFF_MIN_MS * 1000)
		return target->backoff_ms == 0 ? 0 : -1;
	peers_dial(peers, target, now_us);
	return target->conn != NULL ? 0 : -1;
}
