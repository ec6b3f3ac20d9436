#ifndef ADAPTERS_PEERS_TCP_H
#define ADAPTERS_PEERS_TCP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/settings.h"
#include "ports/hostlist.h"
#include "ports/peer.h"

/* Peers by framed TCP with protobuf-c. */

struct event_base;
struct clock;
struct config_sync;
struct engine;

/** struct peers_tcp_params - all borrowed. */
struct peers_tcp_params {
	struct event_base *base;
	struct clock *clock;
	struct api *api;		 /* serves what is forwarded here */
	struct config_sync *config_sync; /* told of newer versions */
	struct engine *engine; /* told of hosts and of leaving servers */
	const char *host;
	const char *az;
	uint64_t incarnation;
	struct endpoint listen;
	struct endpoint advertise;
	const struct endpoint *seeds;
	size_t nseeds;
	uint32_t heartbeat_ms;
};

/** peers_tcp_create() - listen and connect to seeds; NULL with @err set. */
struct peers *peers_tcp_create(const struct peers_tcp_params *params,
    struct err *err);

/** peers_tcp_port() - the port that the kernel chose. */
uint16_t peers_tcp_port(const struct peers *peers);

/** peers_tcp_update_hosts() - entry hosts from the list or the configuration.
 */
void peers_tcp_update_hosts(struct peers *peers,
    const struct hostlist_entry *entries, size_t nentries);

/** peers_tcp_is_connected() - is @host connected; @incarnation is set then. */
bool peers_tcp_is_connected(struct peers *peers, const char *host,
    uint64_t *incarnation);

/** peers_tcp_request_connection() - keep a connection to @host for a while. */
void peers_tcp_request_connection(struct peers *peers, const char *host);

/** peers_tcp_announce_leaving() - tell peers that this host is shutting down.
 */
void peers_tcp_announce_leaving(struct peers *peers);

/**
 * peers_tcp_set_server_leaving() - a source of this host (the server itself,
 * the platform's list) says that a backend server is leaving, or no longer is.
 * Peers are told at once.
 */
void peers_tcp_set_server_leaving(struct peers *peers, const char *server,
    bool leaving);

void peers_tcp_destroy(struct peers *peers);

#endif /* ADAPTERS_PEERS_TCP_H */
