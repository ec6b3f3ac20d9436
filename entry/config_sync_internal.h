#ifndef ENTRY_CONFIG_SYNC_INTERNAL_H
#define ENTRY_CONFIG_SYNC_INTERNAL_H

#include <jansson.h>
#include <sys/queue.h>

#include "entry/config_ops.h"
#include "entry/config_sync.h"

/*
 * What the files of config_sync share: the state, the rows' names, and the
 * calls between them.
 *
 * Rows of the table: "config"/"head" holds {"version"}; "config"/"v/<20
 * digits>" holds the change that made that version, with its audit data;
 * "change#<id>"/"change" holds {"version","digest"}. One transaction writes
 * all three.
 */

#define CONFIG_PK "config"
#define CONFIG_HEAD_SK "head"
#define CONFIG_VERSION_PREFIX "v/"
#define CONFIG_CHANGE_SK "change"
#define CONFIG_SNAPSHOT_NAME "config/snapshot"

#define CONFIG_FETCH_ROWS_MAX 64	     /* of one query */
#define CONFIG_SNAPSHOT_INTERVAL_VERSIONS 64 /* versions between snapshots */

struct config_change;
TAILQ_HEAD(config_changes, config_change);

struct config_sync {
	struct config_sync_params params;
	struct config *config;
	bool ready;
	uint64_t known_version; /* highest version that a peer spoke of */
	unsigned polls_behind;	/* polls in a row that did not reach it */
	bool snapshot_checked;	/* the object store has been asked */
	bool fetching;		/* a query is under way */
	bool fetch_again;
	bool saving_snapshot;
	uint64_t random_state; /* state of the generator */
	struct event *poll_timer;
	struct config_changes changes; /* waiting, the first one active */
	size_t nchanges;
	LIST_HEAD(, config_history_request) history_requests; /* being read */
};

/** config_sync_version_key() - sort key of a version's row. */
void config_sync_version_key(uint64_t version, char sk[TABLE_KEY_SIZE]);

/** config_sync_fetch() - read newer rows, now. */
void config_sync_fetch(struct config_sync *sync);

/** config_sync_random_ms() - evenly from @min to @max milliseconds. */
uint32_t config_sync_random_ms(struct config_sync *sync, uint32_t min,
    uint32_t max);

/**
 * config_sync_checksum() - notices damage by accident, and an id that is used
 * for another change by mistake; no more is asked of it.
 */
uint64_t config_sync_checksum(const char *text, size_t len);

/** config_sync_arm_timer() - arm a timer. */
void config_sync_arm_timer(struct event *timer, uint32_t ms);

/**
 * config_sync_apply() - apply the row of the next version; 0, or -1 if it is
 * not the next one or does not apply.
 */
int config_sync_apply(struct config_sync *sync, uint64_t version,
    const json_t *change);

/** config_sync_notify_changed() - newer versions are in force: tell the owner.
 */
void config_sync_notify_changed(struct config_sync *sync);

/** config_snap_load() - ask the object store, then fetch. */
void config_snap_load(struct config_sync *sync);

/** config_snap_save() - store the configuration in the object store. */
void config_snap_save(struct config_sync *sync);

/** config_change_post() - POST /v1/config/changes. */
void config_change_post(struct config_sync *sync,
    const struct api_request *request, api_reply_fn reply, void *arg);

/** config_change_fetch_done() - a fetch has ended, well or not. */
void config_change_fetch_done(struct config_sync *sync);

/** config_change_destroy_all() - drop all changes without a reply. */
void config_change_destroy_all(struct config_sync *sync);

/** config_history_get() - GET /v1/config/history. */
void config_history_get(struct config_sync *sync,
    const struct api_request *request, api_reply_fn reply, void *arg);

/** config_history_destroy_all() - drop all requests without a reply. */
void config_history_destroy_all(struct config_sync *sync);

/** config_view_get() - GET /v1/config, /v1/config/{kind}s[/{name}]. */
void config_view_get(struct config_sync *sync,
    const struct api_request *request, api_reply_fn reply, void *arg);

/** config_view_json() - reply with a JSON document; takes its reference. */
void config_view_json(api_reply_fn reply, void *arg, int status, json_t *json);

/**
 * config_view_problem() - reply with a problem document.
 * @version: also stated, unless it is 0.
 */
void config_view_problem(api_reply_fn reply, void *arg, int status,
    const struct err *err, uint64_t version);

/** config_view_query_param() - value of a query's parameter, to be freed, or
 * NULL */
char *config_view_query_param(const char *query, const char *name);

#endif /* ENTRY_CONFIG_SYNC_INTERNAL_H */
