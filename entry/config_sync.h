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
 * Keeps this host's configuration at the newest version of the chain, by
 * polling the platform's table and by what peers say; and changes it on behalf
 * of operators, each change and its audit record in one transaction.
 */

struct config_sync;
struct event_base;

/** typedef config_sync_changed_fn - a newer version is in force; @config
 * borrowed. Several versions that were read together are told once, by the
 * newest. */
typedef void (*config_sync_changed_fn)(void *arg, const struct config *config);

/** struct config_sync_params - all borrowed. */
struct config_sync_params {
	struct event_base *base;
	struct clock *clock;
	struct table *table;
	struct blobs *blobs;
	const char *host; /* own name, for the audit record */
	uint32_t poll_ms; /* mean interval of polls */
	uint64_t seed;	  /* of the polls' jitter */
	config_sync_changed_fn
	    changed; /* runs after newer versions were applied */
	void *arg;
};

/** config_sync_create() - begin to read; NULL when out of memory. */
struct config_sync *config_sync_create(const struct config_sync_params *params);

/**
 * config_sync_destroy() - free it; pending replies do not run.
 *
 * Calls to the table may still be under way: the event loop must not run
 * between this and the destruction of the platform.
 */
void config_sync_destroy(struct config_sync *sync);

/** config_sync_current() - the configuration in force, borrowed. */
const struct config *config_sync_current(const struct config_sync *sync);

/** config_sync_ready() - has any configuration been read since the start? */
bool config_sync_ready(const struct config_sync *sync);

/** config_sync_host_leaving() - has this host the label "leaving"? */
bool config_sync_host_leaving(const struct config_sync *sync);

/** config_sync_notify_version() - a peer says that @version exists: fetch it.
 */
void config_sync_notify_version(struct config_sync *sync, uint64_t version);

/**
 * config_sync_export() - the configuration as a JSON snapshot for a peer.
 * Return: text to be freed with free(3), its length in *len, or NULL.
 */
char *config_sync_export(const struct config_sync *sync, size_t *len);

/**
 * config_sync_import() - apply a peer's snapshot if its version is higher.
 * Return: 0 (also if it is not higher), -1 with @err if malformed.
 */
int config_sync_import(struct config_sync *sync, const char *text, size_t len,
    struct err *err);

/**
 * config_sync_handle() - serve the operators' part of the API:
 * GET /v1/config, GET /v1/config/{kind}s[/{name}]?selector=,
 * POST /v1/config/changes, GET /v1/config/history?after=&limit=.
 */
void config_sync_handle(struct config_sync *sync,
    const struct api_request *request, api_reply_fn reply, void *arg);

#endif /* ENTRY_CONFIG_SYNC_H */
