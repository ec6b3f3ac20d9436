#ifndef ENTRY_CONFIG_SYNC_H
#define ENTRY_CONFIG_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "core/config.h"
#include "entry/api.h"
#include "ports/blobs.h"
#include "ports/clock.h"
#include "ports/table.h"

/*
 * Updates this host's configuration to the newest version of the version chain:
 * polls the platform's table and fetches versions that peers announce. Writes
 * the changes that operators request; each change and its audit record are
 * written in one transaction.
 */

struct config_sync;
struct event_base;

/**
 * typedef config_sync_changed_fn - notification of a newer version.
 * @config: the new configuration; borrowed, valid during the call.
 *
 * Versions that are applied together cause one call, with the newest.
 */
typedef void (*config_sync_changed_fn)(void *arg, const struct config *config);

/** struct config_sync_params - pointers are borrowed until destruction. */
struct config_sync_params {
	struct event_base *base;
	struct clock *clock;
	struct table *table;
	struct blobs *blobs;
	const char *host; /* name of this host, for the audit record */
	uint32_t poll_ms; /* mean poll interval */
	uint64_t seed;	  /* of the jitter of poll intervals */
	config_sync_changed_fn changed; /* may be NULL */
	void *arg;
};

/** config_sync_create() - start polling; NULL if out of memory. */
struct config_sync *config_sync_create(const struct config_sync_params *params);

/**
 * config_sync_destroy() - stop polling; pending requests get no reply.
 *
 * Calls to the table may be pending: the event loop must not run between this
 * call and the destruction of the platform.
 */
void config_sync_destroy(struct config_sync *sync);

/** config_sync_current() - the current configuration; borrowed. */
const struct config *config_sync_current(const struct config_sync *sync);

/**
 * config_sync_ready() - whether the configuration has been loaded from the
 * table or a peer since the start.
 */
bool config_sync_ready(const struct config_sync *sync);

/** config_sync_host_leaving() - whether this host has the label "leaving". */
bool config_sync_host_leaving(const struct config_sync *sync);

/**
 * config_sync_notify_version() - record that @version exists.
 *
 * Fetches newer rows if the current version is lower.
 */
void config_sync_notify_version(struct config_sync *sync, uint64_t version);

/**
 * config_sync_export() - write the configuration as a JSON snapshot for a peer.
 * @len: set to the length in bytes.
 *
 * Return: text to be freed with free(3); NULL if the configuration is not ready
 * or memory is exhausted.
 */
char *config_sync_export(const struct config_sync *sync, size_t *len);

/**
 * config_sync_import() - replace the configuration by a peer's snapshot.
 *
 * The snapshot is ignored if its version is lower than the current one, or
 * equal while the configuration is ready.
 * Return: 0 if it was applied or ignored, -1 with @err if it is malformed.
 */
int config_sync_import(struct config_sync *sync, const char *text, size_t len,
    struct err *err);

/**
 * config_sync_handle() - serve the configuration part of the API:
 * GET /v1/config, GET /v1/config/{kind}s[/{name}]?selector=,
 * POST /v1/config/changes, GET /v1/config/history?after=&limit=.
 */
void config_sync_handle(struct config_sync *sync,
    const struct api_request *request, api_reply_fn reply, void *arg);

#endif /* ENTRY_CONFIG_SYNC_H */
