/*
 * Membership table: liveness of the other entry hosts, and the choice of those
 * that this host connects to. Members are sorted by name.
 */

#include <stdlib.h>
#include <string.h>

#include "core/member.h"

void
mbr_init(struct member_table *table, const char *host, const char *az)
{
	memset(table, 0, sizeof(*table));
	strlcpy(table->host, host, sizeof(table->host));
	strlcpy(table->az, az, sizeof(table->az));
	TAILQ_INIT(&table->members);
}

static void
mbr_remove(struct member_table *table, struct member *member)
{
	TAILQ_REMOVE(&table->members, member, entry);
	table->n--;
	free(member);
}

void
mbr_release(struct member_table *table)
{
	struct member *member, *next;

	TAILQ_FOREACH_SAFE (member, &table->members, entry, next)
		free(member);
	TAILQ_INIT(&table->members);
	table->n = 0;
}

struct member *
mbr_find(const struct member_table *table, const char *name)
{
	struct member *member;

	TAILQ_FOREACH (member, &table->members, entry) {
		if (strcmp(member->name, name) == 0)
			return member;
	}
	return NULL;
}

/* Returns NULL for the name of this host, or if memory is exhausted. */
static struct member *
mbr_find_or_add(struct member_table *table, const char *name)
{
	struct member *member, *after = NULL;
	int order;

	if (strcmp(name, table->host) == 0)
		return NULL;
	TAILQ_FOREACH (member, &table->members, entry) {
		order = strcmp(member->name, name);
		if (order == 0)
			return member;
		if (order > 0)
			break;
		after = member;
	}
	member = calloc(1, sizeof(*member));
	if (member == NULL)
		return NULL;
	strlcpy(member->name, name, sizeof(member->name));
	if (after != NULL)
		TAILQ_INSERT_AFTER(&table->members, after, member, entry);
	else
		TAILQ_INSERT_HEAD(&table->members, member, entry);
	table->n++;
	return member;
}

/* Sets zone and address; an unknown address doesn't replace a known one. */
static void
mbr_set_address(struct member *member, const struct member_id *id)
{
	strlcpy(member->az, id->az, sizeof(member->az));
	if (id->address == NULL || id->address[0] == '\0' || id->port == 0)
		return;
	strlcpy(member->address, id->address, sizeof(member->address));
	member->port = id->port;
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

/*
 * Rendezvous hashing: the number of members in the zone of @member that are
 * neither leaving nor dead and whose hash with this host is higher than that of
 * @member.
 */
static size_t
mbr_rank(const struct member_table *table, const struct member *member)
{
	uint64_t weight = mbr_pair_hash(table->host, member->name);
	const struct member *other;
	size_t rank = 0;

	TAILQ_FOREACH (other, &table->members, entry) {
		if (other != member && !other->leaving &&
		    other->state != MEMBER_DEAD &&
		    strcmp(other->az, member->az) == 0 &&
		    mbr_pair_hash(table->host, other->name) > weight)
			rank++;
	}
	return rank;
}

static void
mbr_choose_connections(struct member_table *table)
{
	struct member *member;

	TAILQ_FOREACH (member, &table->members, entry) {
		if (strcmp(member->az, table->az) == 0)
			member->should_connect =
			    member->listed || member->state != MEMBER_DEAD;
		else
			member->should_connect = member->listed &&
			    mbr_rank(table, member) < MEMBER_CONNECTIONS_PER_AZ;
	}
}

void
mbr_list_begin(struct member_table *table)
{
	struct member *member;

	TAILQ_FOREACH (member, &table->members, entry)
		member->listed = false;
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
		mbr_set_address(member, id);
	member->leaving = leaving || member->load.leaving;
	return member;
}

void
mbr_list_end(struct member_table *table)
{
	struct member *member, *next;

	TAILQ_FOREACH_SAFE (member, &table->members, entry, next) {
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
	}
	mbr_set_address(member, id);
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

	if (member == NULL || member->state == MEMBER_NEVER_CONNECTED ||
	    member->incarnation != incarnation)
		return false;
	member->load = *load;
	member->leaving = load->leaving;
	member->last_contact_us = now_us;
	member->state = MEMBER_LIVE;
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
