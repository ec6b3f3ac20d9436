#ifndef ADAPTERS_PEERS_TCP_H
#define ADAPTERS_PEERS_TCP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/settings.h"
#include "ports/hostlist.h"
#include "ports/peer.h"

/*
 * Implementation of ports/peer.h: connections between entry hosts over TCP,
 * with frames (core/frame.h) that contain the messages of proto/peer.proto.
 * Besides forwarded requests they carry heartbeats, the configuration, leaving
 * servers and loans of task slots.
 */

struct event_base;
struct clock;
struct config_sync;
struct engine;

/** struct peers_tcp_params - parameters; all pointers are borrowed. */
struct peers_tcp_params {
	struct event_base *base;
	struct clock *clock;
	struct api *api;		 /* serves forwarded requests */
	struct config_sync *config_sync; /* notified of newer versions */
	struct engine *engine;	/* notified of hosts, leaving servers, loans */
	const char *host;	/* name of this host */
	const char *az;		/* its availability zone */
	uint64_t incarnation;	/* unique to this process */
	struct endpoint listen; /* port 0: chosen by the kernel */
	struct endpoint advertise;    /* "" or port 0: as in listen */
	const struct endpoint *seeds; /* used during creation only */
	size_t nseeds;
	uint32_t heartbeat_ms; /* interval; longer with many peers */
};

/**
 * peers_tcp_create() - listen and begin to connect to the seeds.
 *
 * Return: the peers, owned by the caller; NULL with @err set on failure.
 */
struct peers *peers_tcp_create(const struct peers_tcp_params *params,
    struct err *err);

/** peers_tcp_port() - the TCP port listened on; 0 on failure. */
uint16_t peers_tcp_port(const struct peers *peers);

/**
 * peers_tcp_update_hosts() - replace the list of the entry hosts.
 * @entries: from the platform or the configuration; copied. Entries of other
 *           roles are ignored.
 */
void peers_tcp_update_hosts(struct peers *peers,
    const struct hostlist_entry *entries, size_t nentries);

/**
 * peers_tcp_is_connected() - does a connection to @host exist?
 * @incarnation: set to the incarnation of @host if it is connected.
 */
bool peers_tcp_is_connected(struct peers *peers, const char *host,
    uint64_t *incarnation);

/**
 * peers_tcp_alive_us() - when a peer was last known to wait for its requests.
 * @connection: by which it has sent them, see struct api_request. While this
 *              host serves one of them, the peer sends a message there at least
 *              every heartbeat_ms. It has lost the connection if only others
 *              have messages.
 * Return: time of the monotonic clock (us) after which the last message was
 * sent; 0: none was received, or the connection was closed.
 */
uint64_t peers_tcp_alive_us(struct peers *peers, const char *host,
    uint64_t connection);

/** peers_tcp_connections_version() - a number that changes when a host connects
 * or disconnects. */
uint64_t peers_tcp_connections_version(struct peers *peers);

/**
 * peers_tcp_request_connection() - dial @host if it is known and no dialed
 * connection to it exists. The connection is retained until it has been idle
 * for PEERS_ON_DEMAND_IDLE_MS.
 */
void peers_tcp_request_connection(struct peers *peers, const char *host);

/** peers_tcp_announce_leaving() - notify peers that this host is leaving. */
void peers_tcp_announce_leaving(struct peers *peers);

/**
 * peers_tcp_set_server_leaving() - set whether a backend server is leaving.
 *
 * To be called for the sources of this host only (the server itself and the
 * platform's list), not for what peers report. Peers are notified immediately.
 */
void peers_tcp_set_server_leaving(struct peers *peers, const char *server,
    bool leaving);

/**
 * peers_tcp_destroy() - close all connections and free the peers.
 *
 * The callbacks of pending forwards are not called.
 */
void peers_tcp_destroy(struct peers *peers);

#endif /* ADAPTERS_PEERS_TCP_H */
