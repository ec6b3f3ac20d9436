#ifndef ENTRY_JOBS_ROW_SOURCE_H
#define ENTRY_JOBS_ROW_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "entry/api.h"
#include "entry/jobs/registry.h"
#include "ports/clock.h"
#include "ports/peer.h"
#include "ports/rows.h"

/*
 * Where the registry's rows come from. Configuration and hosts are read from
 * the store's feed. The servers' rows, which are most of the store's bytes, are
 * read from it by the holder of the cell; the hosts that are likely to succeed
 * it read their changes from the holder, and the others do not need them. A
 * host that can't reach the store reads all rows from a peer. A host does not
 * always notice that the store no longer answers it: a newer version of the
 * configuration is requested from any peer that reports it.
 */

#define ROWSRC_PEER_PATH "/v1/work/rows"

struct row_source;

/** struct rowsrc_cell - what the source needs to know of the cell and to tell
 * its owner; all callbacks receive @arg of the parameters. */
struct rowsrc_cell {
	bool (*is_holder)(void *arg);
	/* Whether this host is the holder or likely to become it. */
	bool (*is_candidate)(void *arg);
	/* The holder if it is another, reachable host; or NULL. */
	const char *(*holder)(void *arg, uint64_t *incarnation);
	/* A reachable host that has all rows; or NULL. */
	const char *(*peer)(void *arg, uint64_t *incarnation);
	/* All hosts were read from the store. */
	void (*hosts_loaded)(void *arg);
	/* The servers' rows were read since the last rowsrc_refresh(). */
	void (*servers_refreshed)(void *arg);
};

/** struct rowsrc_params - dependencies; all borrowed. */
struct rowsrc_params {
	struct clock *clock;
	struct peers *peers;
	struct registry *reg;
	struct rowsrc_cell cell;
	void *arg;
};

struct row_source *rowsrc_create(const struct rowsrc_params *params);

void rowsrc_destroy(struct row_source *src);

/** rowsrc_listener() - set @listener, which receives rows of the store. */
void rowsrc_listener(struct row_source *src, struct rows_listener *listener);

/** rowsrc_set_rows() - set the store; borrowed. */
void rowsrc_set_rows(struct row_source *src, struct rows *rows);

/* Interval of rowsrc_tick(). */
#define ROWSRC_TICK_MS 100

/** rowsrc_tick() - periodic reads from peers, and choice of the source. */
void rowsrc_tick(struct row_source *src, uint64_t now_us);

/**
 * rowsrc_config_reported() - a peer has version @version of the configuration.
 * If it is newer than this host's, it is requested from that peer.
 */
void rowsrc_config_reported(struct row_source *src, const char *host,
    uint64_t incarnation, uint64_t version);

/** rowsrc_refresh() - read the servers' rows from the store without delay. */
void rowsrc_refresh(struct row_source *src);

/**
 * rowsrc_servers_complete() - whether no server is missing in the rows that
 * were read last: this host has followed them for longer than rows that expired
 * in an outage of the store are missing, and no server is missing otherwise
 * (see reg_server_missing()).
 */
bool rowsrc_servers_complete(const struct row_source *src, uint64_t now_us);

/** rowsrc_handle() - reply to a peer that requests rows. */
void rowsrc_handle(struct row_source *src, const struct api_request *request,
    api_reply_fn reply, void *arg);

#endif /* ENTRY_JOBS_ROW_SOURCE_H */
