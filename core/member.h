#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "berylrail/limits.h"

/*
 * The other entry hosts as this one knows them. Pure: time comes in as an
 * argument, and the owner keeps the connections. See docs/design/membership.md.
 */

#define MEMBER_SUSPECT_INTERVALS 3 /* heartbeat intervals in silence */
#define MEMBER_DEAD_INTERVALS 5
#define MEMBER_DEFAULT_INTERVAL_MS 1000 /* until a heartbeat tells it */
#define MEMBER_RETENTION_MS 60000   /* after the last heartbeat, if unlisted */
#define MEMBER_CONNECTIONS_PER_AZ 2 /* to each other availability zone */
#define MEMBER_HEARTBEAT_MAX_BYTES_PER_S \
	2000 /* of heartbeats, all peers together */
#define MEMBER_HEARTBEAT_BYTES \
	160 /* one with its acknowledgement, on the wire */

/** enum member_state - what the last heartbeats say of a host. */
enum member_state {
	MEMBER_NEVER_CONNECTED, /* listed, never connected */
	MEMBER_LIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
};

/** struct member_load - what a heartbeat says. */
struct member_load {
	uint64_t config_version;
	uint32_t interval_ms; /* until the sender's next heartbeat */
	uint32_t tasks_waiting;
	uint32_t tasks_running;
	bool leaving;
};

/** struct member - one other entry host; owned by its table. */
struct member {
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46]; /* where it listens for peers, "" if not known */
	uint16_t port;
	uint64_t incarnation;  /* meaningful once it was heard */
	uint64_t last_seen_us; /* last frame */
	enum member_state state;
	struct member_load load;
	bool listed;		   /* by the platform or the configuration */
	bool leaving;		   /* by its own word or the list's */
	bool should_connect;	   /* this host keeps a connection to it */
	TAILQ_ENTRY(member) entry; /* sorted by name */
};

TAILQ_HEAD(member_list, member);

/** struct member_table - all other entry hosts that are known. */
struct member_table {
	char host[NAME_SIZE]; /* own name */
	char az[NAME_SIZE];   /* own availability zone */
	size_t n;
	struct member_list members;
};

/** struct member_id - who a host says it is. */
struct member_id {
	const char *name;
	const char *az;
	const char *address;
	uint16_t port;
	uint64_t incarnation;
};

/** mbr_init() - a table without members, for host @host of @az. */
void mbr_init(struct member_table *table, const char *host, const char *az);

/** mbr_release() - free all members. */
void mbr_release(struct member_table *table);

/** mbr_find() - a member by its name, borrowed, or NULL. */
struct member *mbr_find(const struct member_table *table, const char *name);

/**
 * mbr_list_begin() - a new list of hosts begins: none is listed until
 * mbr_list_add() names it.
 */
void mbr_list_begin(struct member_table *table);

/** mbr_list_add() - the list names a host; NULL for this one or no memory. */
struct member *mbr_list_add(struct member_table *table,
    const struct member_id *id, bool leaving);

/** mbr_list_end() - the list is whole: choose connections anew. */
void mbr_list_end(struct member_table *table);

/**
 * mbr_hello() - a host has introduced itself.
 * @address_verified: it was reached at its own address, where no other can
 * listen. Only then does it replace another incarnation that is not yet dead.
 *
 * Return: the member if this incarnation is now the current one, else NULL.
 */
struct member *mbr_hello(struct member_table *table, uint64_t now_us,
    const struct member_id *id, bool address_verified);

/**
 * mbr_heartbeat() - a host has told its load.
 * Return: false if it is not the current incarnation of its name; nothing
 * was changed then.
 */
bool mbr_heartbeat(struct member_table *table, uint64_t now_us,
    const char *name, uint64_t incarnation, const struct member_load *load);

/**
 * mbr_tick() - let time pass; forgets unlisted hosts that are long dead.
 * Return: true if a member's state changed or a member was forgotten.
 */
bool mbr_tick(struct member_table *table, uint64_t now_us);

/**
 * mbr_shares_servers() - does this member share the servers of its zone?
 *
 * In the own availability zone those count that are live or suspect and not
 * done leaving; in another one also those that are listed and that this host
 * keeps no connection to.
 */
bool mbr_shares_servers(const struct member_table *table,
    const struct member *member);

/**
 * mbr_heartbeat_interval_ms() - stretched so that heartbeats to @npeers stay
 * under MEMBER_HEARTBEAT_MAX_BYTES_PER_S; never below @base_ms.
 */
uint32_t mbr_heartbeat_interval_ms(uint32_t base_ms, size_t npeers);

#endif /* CORE_MEMBER_H */
