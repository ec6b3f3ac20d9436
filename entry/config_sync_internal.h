#ifndef ENTRY_CONFIG_SYNC_INTERNAL_H
#define ENTRY_CONFIG_SYNC_INTERNAL_H

#include <jansson.h>
#include <sys/queue.h>

#include "entry/config_ops.h"
#include "entry/config_sync.h"

/*
 * State, row keys and internal functions that the files entry/config_*.c share.
 *
 * Rows of the table (partition key/sort key):
 * - "config"/"head" contains {"version"}, the newest version.
 * - "config"/"v/<20 digits>" contains the change that created this version,
 *   with its audit data. These rows are the version chain.
 * - "change#<id>"/"change" contains {"version","digest"} of the change with
 *   this id.
 * Each transaction writes one row of each type.
 */

#define CONFIG_PK "config"
#define CONFIG_HEAD_SK "head"
#define CONFIG_VERSION_PREFIX "v/"
#define CONFIG_CHANGE_SK "change"
#define CONFIG_SNAPSHOT_NAME "config/snapshot"

#define CONFIG_FETCH_ROWS_MAX 64	     /* rows of one query */
#define CONFIG_SNAPSHOT_INTERVAL_VERSIONS 64 /* between snapshots */

struct config_change;
TAILQ_HEAD(config_changes, config_change);

struct config_sync {
	struct config_sync_params params;
	struct config *config;
	bool ready;
	uint64_t known_version; /* highest version known to exist */
	unsigned polls_behind;	/* consecutive polls below known_version */
	bool snapshot_checked;	/* the snapshot was loaded or failed to */
	bool fetching;		/* a query is pending */
	bool fetch_again;	/* fetch after the pending query */
	bool saving_snapshot;
	uint64_t random_state; /* of the random number generator */
	struct event *poll_timer;
	struct config_changes changes; /* queued; the first one is active */
	size_t nchanges;
	LIST_HEAD(, config_history_request) history_requests; /* pending */
};

/** config_sync_version_key() - write the sort key of a version's row. */
void config_sync_version_key(uint64_t version, char sk[TABLE_KEY_SIZE]);

/**
 * config_sync_fetch() - query rows after the current version.
 *
 * Does nothing before the snapshot was loaded or failed to load. If a query is
 * pending, another one follows it.
 */
void config_sync_fetch(struct config_sync *sync);

/** config_sync_random_ms() - uniformly distributed in @min..@max, in ms. */
uint32_t config_sync_random_ms(struct config_sync *sync, uint32_t min,
    uint32_t max);

/**
 * config_sync_checksum() - compute a checksum of a text.
 * @len: bytes.
 *
 * It detects accidental corruption and the accidental reuse of a change id. It
 * is not cryptographic.
 */
uint64_t config_sync_checksum(const char *text, size_t len);

/** config_sync_arm_timer() - arm a timer that expires in @ms milliseconds. */
void config_sync_arm_timer(struct event *timer, uint32_t ms);

/**
 * config_sync_apply() - apply the change that created @version.
 * @change: document of the version's row.
 *
 * Return: 0, or -1 if @version is not the successor of the current one or the
 * operations can't be applied.
 */
int config_sync_apply(struct config_sync *sync, uint64_t version,
    const json_t *change);

/**
 * config_sync_notify_changed() - update the gauge of the current version and,
 * if the configuration is ready, call params.changed.
 */
void config_sync_notify_changed(struct config_sync *sync);

/** config_snap_load() - load the stored snapshot, then fetch newer rows. */
void config_snap_load(struct config_sync *sync);

/** config_snap_save() - write a snapshot to the object store. */
void config_snap_save(struct config_sync *sync);

/** config_change_post() - POST /v1/config/changes. */
void config_change_post(struct config_sync *sync,
    const struct api_request *request, api_reply_fn reply, void *arg);

/**
 * config_change_fetch_done() - continue the active change after a fetch, which
 * may have failed.
 */
void config_change_fetch_done(struct config_sync *sync);

/** config_change_destroy_all() - free all changes without a reply. */
void config_change_destroy_all(struct config_sync *sync);

/** config_history_get() - GET /v1/config/history. */
void config_history_get(struct config_sync *sync,
    const struct api_request *request, api_reply_fn reply, void *arg);

/** config_history_destroy_all() - free all requests without a reply. */
void config_history_destroy_all(struct config_sync *sync);

/** config_view_get() - GET /v1/config, /v1/config/{kind}s[/{name}]. */
void config_view_get(struct config_sync *sync,
    const struct api_request *request, api_reply_fn reply, void *arg);

/** config_view_reply_json() - reply with a JSON document; takes ownership of
 * it. */
void config_view_reply_json(api_reply_fn reply, void *arg, int status,
    json_t *json);

/**
 * config_view_reply_problem() - reply with a problem document for @err.
 * @status: HTTP status.
 * @version: value of its member "version"; 0: the member is omitted.
 */
void config_view_reply_problem(api_reply_fn reply, void *arg, int status,
    const struct err *err, uint64_t version);

/**
 * config_view_query_param() - get the decoded value of a query parameter.
 * Return: text to be freed with free(3), or NULL if there is none.
 */
char *config_view_query_param(const char *query, const char *name);

#endif /* ENTRY_CONFIG_SYNC_INTERNAL_H */
