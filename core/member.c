/*
 * Membership table: liveness of the other entry hosts, and the choice of those
 * that this host connects to. Members are sorted by name.
 */

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/member.h"

void
mbr_init(struct member_table *table, const char *host, const char *az)
{
	memset(table, 0, sizeof(*table));
	strlcpy(table->host, host, sizeof(table->host));
	strlcpy(table->az, az, sizeof(table->az));
	table->version = 1;
	TAILQ_INIT(&table->members);
	nidx_init(&table->by_name);
}

static void
mbr_remove(struct member_table *table, struct member *member)
{
	TAILQ_REMOVE(&table->members, member, entry);
	nidx_remove(&table->by_name, &member->index);
	table->n--;
	table->version++;
	free(member);
}

void
mbr_release(struct member_table *table)
{
	struct member *member, *next;

	TAILQ_FOREACH_SAFE (member, &table->members, entry, next)
		free(member);
	TAILQ_INIT(&table->members);
	nidx_release(&table->by_name);
	table->n = 0;
}

struct member *
mbr_find(const struct member_table *table, const char *name)
{
	struct nidx_entry *entry = nidx_find(&table->by_name, name);

	return entry == NULL ? NULL : NIDX_OBJECT(entry, struct member, index);
}

/* FNV-1a of both names, in sorted order, and a finalizer; symmetric. */
static uint64_t
mbr_pair_hash(const char *a, const char *b)
{
	const char *parts[2] = { a, b };
	uint64_t hash = UINT64_C(0xcbf29ce484222325);
	const char *p;
	int i;

	if (strcmp(a, b) > 0) {
		parts[0] = b;
		parts[1] = a;
	}
	for (i = 0; i < 2; i++) {
		for (p = parts[i];; p++) {
			hash ^= (uint8_t)*p;
			hash *= UINT64_C(0x100000001b3);
			if (*p == '\0')
				break;
		}
	}
	hash ^= hash >> 33;
	hash *= UINT64_C(0xff51afd7ed558ccd);
	return hash ^ hash >> 33;
}

/* Returns NULL for the name of this host, or if memory is exhausted. */
static struct member *
mbr_find_or_add(struct member_table *table, const char *name)
{
	struct member *member, *after = NULL, *other;

	if (strcmp(name, table->host) == 0)
		return NULL;
	member = mbr_find(table, name);
	if (member != NULL)
		return member;
	TAILQ_FOREACH (other, &table->members, entry) {
		if (strcmp(other->name, name) > 0)
			break;
		after = other;
	}
	member = calloc(1, sizeof(*member));
	if (member == NULL)
		return NULL;
	strlcpy(member->name, name, sizeof(member->name));
	member->pair_hash = mbr_pair_hash(table->host, name);
	if (after != NULL)
		TAILQ_INSERT_AFTER(&table->members, after, member, entry);
	else
		TAILQ_INSERT_HEAD(&table->members, member, entry);
	nidx_insert(&table->by_name, &member->index, member->name);
	table->n++;
	table->version++;
	return member;
}

/* Sets zone and address; an unknown address doesn't replace a known one. */
static void
mbr_set_address(struct member_table *table, struct member *member,
    const struct member_id *id)
{
	if (strcmp(member->az, id->az) != 0)
		table->version++;
	strlcpy(member->az, id->az, sizeof(member->az));
	if (id->address == NULL || id->address[0] == '\0' || id->port == 0)
		return;
	if (member->port != id->port ||
	    strcmp(member->address, id->address) != 0)
		table->version++;
	strlcpy(member->address, id->address, sizeof(member->address));
	member->port = id->port;
}

/* The highest pair hashes of the members of one zone that are neither leaving
 * nor dead, in descending order. */
struct mbr_ranking {
	const char *az;
	uint64_t highest[MEMBER_CONNECTIONS_PER_AZ];
};

static void
mbr_ranking_add(struct mbr_ranking *ranking, uint64_t hash)
{
	uint64_t lower;
	size_t i;

	for (i = 0; i < MEMBER_CONNECTIONS_PER_AZ; i++) {
		if (hash <= ranking->highest[i])
			continue;
		lower = ranking->highest[i];
		ranking->highest[i] = hash;
		hash = lower;
	}
}

/* Finds the ranking of a zone, or adds it; there is room for all zones. */
static struct mbr_ranking *
mbr_ranking_get(struct mbr_ranking *rankings, size_t *n, const char *az)
{
	size_t i;

	for (i = 0; i < *n; i++) {
		if (strcmp(rankings[i].az, az) == 0)
			return &rankings[i];
	}
	rankings[(*n)++] = (struct mbr_ranking){ .az = az };
	return &rankings[i];
}

static void
mbr_set_should_connect(struct member_table *table, struct member *member,
    bool should_connect)
{
	if (member->should_connect != should_connect)
		table->version++;
	member->should_connect = should_connect;
}

/*
 * Connects to all members of the own zone, and by rendezvous hashing to
 * MEMBER_CONNECTIONS_PER_AZ listed members of each other zone: those with fewer
 * members before them that are neither leaving nor dead. Its cost is
 * proportional to the number of members times that of zones.
 */
static void
mbr_choose_connections(struct member_table *table)
{
	struct mbr_ranking *rankings, *ranking;
	struct member *member;
	size_t n = 0;

	rankings = mem_zalloc(table->n, sizeof(*rankings));
	TAILQ_FOREACH (member, &table->members, entry) {
		ranking = mbr_ranking_get(rankings, &n, member->az);
		if (!member->leaving && member->state != MEMBER_DEAD)
			mbr_ranking_add(ranking, member->pair_hash);
	}
	TAILQ_FOREACH (member, &table->members, entry) {
		ranking = mbr_ranking_get(rankings, &n, member->az);
		if (strcmp(member->az, table->az) == 0)
			mbr_set_should_connect(table, member,
			    member->listed || member->state != MEMBER_DEAD);
		else
			mbr_set_should_connect(table, member,
			    member->listed &&
				member->pair_hash >=
				    ranking->highest[MEMBER_CONNECTIONS_PER_AZ -
					1]);
	}
	free(rankings);
}

void
mbr_list_begin(struct member_table *table)
{
	struct member *member;

	TAILQ_FOREACH (member, &table->members, entry) {
		member->was_listed = member->listed;
		member->listed = false;
	}
}

struct member *
mbr_list_add(struct member_table *table, const struct member_id *id,
    bool leaving)
{
	struct member *member = mbr_find_or_add(table, id->name);

	if (member == NULL)
		return NULL;
	member->listed = true;
	if (member->state == MEMBER_NEVER_CONNECTED ||
	    member->state == MEMBER_DEAD)
		mbr_set_address(table, member, id);
	if (member->leaving != (leaving || member->load.leaving))
		table->version++;
	member->leaving = leaving || member->load.leaving;
	return member;
}

void
mbr_list_end(struct member_table *table)
{
	struct member *member, *next;

	TAILQ_FOREACH_SAFE (member, &table->members, entry, next) {
		if (member->listed != member->was_listed)
			table->version++;
		if (!member->listed && member->state == MEMBER_NEVER_CONNECTED)
			mbr_remove(table, member);
	}
	mbr_choose_connections(table);
}

struct member *
mbr_hello(struct member_table *table, uint64_t now_us,
    const struct member_id *id, bool address_verified)
{
	struct member *member = mbr_find_or_add(table, id->name);
	bool current;

	if (member == NULL)
		return NULL;
	current =
	    member->state == MEMBER_LIVE || member->state == MEMBER_SUSPECT;
	if (current && member->incarnation != id->incarnation &&
	    !address_verified)
		return NULL;
	if (!current || member->incarnation != id->incarnation) {
		memset(&member->load, 0, sizeof(member->load));
		member->leaving = false;
		table->version++;
	}
	mbr_set_address(table, member, id);
	member->incarnation = id->incarnation;
	member->state = MEMBER_LIVE;
	member->last_contact_us = now_us;
	mbr_choose_connections(table);
	return member;
}

bool
mbr_heartbeat(struct member_table *table, uint64_t now_us, const char *name,
    uint64_t incarnation, const struct member_load *load)
{
	struct member *member = mbr_find(table, name);
	enum member_state former_state;
	bool shared;

	if (member == NULL || member->state == MEMBER_NEVER_CONNECTED ||
	    member->incarnation != incarnation)
		return false;
	shared = mbr_shares_servers(table, member);
	former_state = member->state;
	member->load = *load;
	member->leaving = load->leaving;
	member->last_contact_us = now_us;
	member->state = MEMBER_LIVE;
	if (member->state != former_state ||
	    mbr_shares_servers(table, member) != shared)
		table->version++;
	return true;
}

static enum member_state
mbr_state_at(const struct member *member, uint64_t now_us)
{
	uint64_t interval_us = (uint64_t)member->load.interval_ms * 1000;
	uint64_t elapsed_us;

	if (member->state == MEMBER_NEVER_CONNECTED)
		return MEMBER_NEVER_CONNECTED;
	if (interval_us == 0)
		interval_us = MEMBER_DEFAULT_INTERVAL_MS * 1000;
	elapsed_us = now_us - member->last_contact_us;
	if (elapsed_us >= interval_us * MEMBER_DEAD_INTERVALS)
		return MEMBER_DEAD;
	if (elapsed_us >= interval_us * MEMBER_SUSPECT_INTERVALS)
		return MEMBER_SUSPECT;
	return MEMBER_LIVE;
}

/* Removes unlisted dead hosts after the retention time. Return: true if a host
 * was removed. */
static bool
mbr_remove_expired(struct member_table *table, uint64_t now_us)
{
	struct member *member, *next;
	bool removed = false;

	TAILQ_FOREACH_SAFE (member, &table->members, entry, next) {
		if (member->state == MEMBER_DEAD && !member->listed &&
		    now_us - member->last_contact_us >=
			(uint64_t)MEMBER_RETENTION_MS * 1000) {
			mbr_remove(table, member);
			removed = true;
		}
	}
	return removed;
}

bool
mbr_tick(struct member_table *table, uint64_t now_us)
{
	struct member *member;
	enum member_state state;
	bool changed = false;

	TAILQ_FOREACH (member, &table->members, entry) {
		state = mbr_state_at(member, now_us);
		if (state != member->state) {
			member->state = state;
			table->version++;
			changed = true;
		}
	}
	if (changed)
		mbr_choose_connections(table);
	return mbr_remove_expired(table, now_us) || changed;
}

bool
mbr_shares_servers(const struct member_table *table,
    const struct member *member)
{
	if (member->leaving && member->load.tasks_waiting == 0 &&
	    member->load.tasks_running == 0)
		return false;
	if (member->state == MEMBER_LIVE || member->state == MEMBER_SUSPECT)
		return true;
	return member->state == MEMBER_NEVER_CONNECTED && member->listed &&
	    !member->should_connect && strcmp(member->az, table->az) != 0;
}

uint32_t
mbr_heartbeat_interval_ms(uint32_t base_ms, size_t npeers)
{
	uint64_t min_interval_ms = (uint64_t)npeers * MEMBER_HEARTBEAT_BYTES *
	    1000 / MEMBER_HEARTBEAT_MAX_BYTES_PER_S;

	if (min_interval_ms > UINT32_MAX)
		return UINT32_MAX;
	return min_interval_ms > base_ms ? (uint32_t)min_interval_ms : base_ms;
}
