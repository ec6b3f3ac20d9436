#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "berylrail/limits.h"
#include "core/name_index.h"

/*
 * Membership table: the other entry hosts known to this host, their state and
 * which of them it should connect to. The table does no I/O and reads no clock:
 * the caller passes the time in and manages the connections. There is at most
 * one member per name, with one current incarnation, and never an entry for
 * this host itself. See docs/design/membership.md.
 */

#define MEMBER_SUSPECT_INTERVALS 3 /* intervals without a heartbeat */
#define MEMBER_DEAD_INTERVALS 5
#define MEMBER_DEFAULT_INTERVAL_MS 1000 /* until the first heartbeat */
#define MEMBER_RETENTION_MS 60000   /* after the last heartbeat, if unlisted */
#define MEMBER_CONNECTIONS_PER_AZ 2 /* to each other availability zone */
#define MEMBER_HEARTBEAT_MAX_BYTES_PER_S 2000 /* to all peers together */
#define MEMBER_HEARTBEAT_BYTES 160 /* on the wire, with the acknowledgement */

/** enum member_state - liveness of a host, from its last heartbeats. */
enum member_state {
	MEMBER_NEVER_CONNECTED, /* listed, no hello received */
	MEMBER_LIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
};

/** struct member_load - the contents of a heartbeat. */
struct member_load {
	uint64_t config_version;
	uint32_t interval_ms; /* until the sender's next heartbeat */
	uint32_t tasks_waiting;
	uint32_t tasks_running;
	bool leaving;
};

/** struct member - another entry host; owned by its table. */
struct member {
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46]; /* of its peer listener, "" if unknown */
	uint16_t port;
	uint64_t incarnation;	  /* valid after the first hello */
	uint64_t last_contact_us; /* last hello or heartbeat */
	enum member_state state;
	struct member_load load;
	bool listed;		   /* by the platform or configuration */
	bool was_listed;	   /* before the list that is being applied */
	bool leaving;		   /* according to its heartbeat or the list */
	bool should_connect;	   /* this host should be connected to it */
	uint64_t pair_hash;	   /* of its name and that of this host */
	struct nidx_entry index;   /* by name */
	TAILQ_ENTRY(member) entry; /* sorted by name */
};

TAILQ_HEAD(member_list, member);

/** struct member_table - the other entry hosts known to this host. */
struct member_table {
	char host[NAME_SIZE]; /* own name */
	char az[NAME_SIZE];   /* own availability zone */
	size_t n;
	/* Incremented when a member is added or removed, or when its zone,
	 * address, state, should_connect or the result of mbr_shares_servers()
	 * changes. */
	uint64_t version;
	struct member_list members;
	struct name_index by_name;
};

/** struct member_id - the identity and address that a host announces. */
struct member_id {
	const char *name;
	const char *az;
	const char *address;
	uint16_t port;
	uint64_t incarnation;
};

/** mbr_init() - initialize an empty table for host @host in zone @az. */
void mbr_init(struct member_table *table, const char *host, const char *az);

/** mbr_release() - free all members. */
void mbr_release(struct member_table *table);

/** mbr_find() - find a member by name; borrowed, NULL if not found. */
struct member *mbr_find(const struct member_table *table, const char *name);

/**
 * mbr_list_begin() - begin to apply a new list of hosts: all members become
 * unlisted until mbr_list_add() adds them again.
 */
void mbr_list_begin(struct member_table *table);

/**
 * mbr_list_add() - mark a host as listed, adding it if it is unknown.
 * @leaving: whether the host is leaving according to the list.
 *
 * An address from the list does not replace that of a live or suspect member.
 * Return: the member, or NULL if @id names this host or memory is exhausted.
 */
struct member *mbr_list_add(struct member_table *table,
    const struct member_id *id, bool leaving);

/**
 * mbr_list_end() - the list is complete: remove unlisted members that never
 * connected, and choose again which members to connect to.
 */
void mbr_list_end(struct member_table *table);

/**
 * mbr_hello() - process the hello of a host.
 * @address_verified: this host dialed the address of the peer, where no other
 *                    process can listen. Only a verified hello replaces a
 *                    different incarnation that is live or suspect.
 *
 * Return: the member if this incarnation is now the current one, else NULL.
 */
struct member *mbr_hello(struct member_table *table, uint64_t now_us,
    const struct member_id *id, bool address_verified);

/**
 * mbr_heartbeat() - store the load that a host reported.
 *
 * Return: false, with the table unchanged, if @incarnation is not the current
 * one of host @name.
 */
bool mbr_heartbeat(struct member_table *table, uint64_t now_us,
    const char *name, uint64_t incarnation, const struct member_load *load);

/**
 * mbr_tick() - update the members' states to time @now_us, and remove unlisted
 * dead hosts MEMBER_RETENTION_MS after their last heartbeat.
 *
 * Return: true if a member changed its state or was removed.
 */
bool mbr_tick(struct member_table *table, uint64_t now_us);

/**
 * mbr_shares_servers() - does this member share the servers of its zone?
 *
 * Live and suspect members do, unless they are leaving and have no tasks left.
 * In other availability zones, listed members that this host should not
 * connect to do so as well, because their state can't be observed.
 */
bool mbr_shares_servers(const struct member_table *table,
    const struct member *member);

/**
 * mbr_heartbeat_interval_ms() - heartbeat interval for @npeers peers, in ms.
 *
 * It is @base_ms, or longer if needed to keep the heartbeats to all peers
 * within MEMBER_HEARTBEAT_MAX_BYTES_PER_S.
 */
uint32_t mbr_heartbeat_interval_ms(uint32_t base_ms, size_t npeers);

#endif /* CORE_MEMBER_H */
