/*
 * Updates this host's configuration to the newest version of the version chain.
 * Polling and fetching are the same query: all rows after the current version.
 * Rows are applied only in consecutive order, so that a stale replica of the
 * table can delay a version but never revert one. See
 * docs/design/configuration.md.
 */

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/config_json.h"
#include "entry/config_sync_internal.h"

#define CONFIG_BEHIND_POLLS_MAX 5 /* polls at the short interval */
#define CONFIG_BEHIND_POLL_INTERVAL_MS 250

static struct counter config_polls = {
	.name = "berylrail_config_polls_total",
	.help = "Queries for newer versions of the configuration.",
};
static struct counter config_polls_failed = {
	.name = "berylrail_config_polls_failed_total",
	.help = "Failed queries for newer versions of the configuration.",
};
static struct counter config_polls_empty = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"platform\",kind=\"poll\"",
	.help = "Messages that did not contribute to an answer.",
};
static struct counter config_polls_behind = {
	.name = "berylrail_config_polls_behind_total",
	.help = "Queries that did not reach the highest known version.",
};
static struct counter config_rows_not_applied = {
	.name = "berylrail_config_rows_bad_total",
	.help = "Rows of the version chain that could not be applied.",
};
static struct counter config_version = {
	.name = "berylrail_config_version",
	.help = "Current version of the configuration.",
	.gauge = 1,
};
static struct counter config_known_version = {
	.name = "berylrail_config_version_heard",
	.help = "Highest known version of the configuration.",
	.gauge = 1,
};

void
config_sync_version_key(uint64_t version, char sk[TABLE_KEY_SIZE])
{
	snprintf(sk, TABLE_KEY_SIZE, CONFIG_VERSION_PREFIX "%020llu",
	    (unsigned long long)version);
}

/* SplitMix64, which is sufficient for jitter. */
uint32_t
config_sync_random_ms(struct config_sync *sync, uint32_t min, uint32_t max)
{
	uint64_t x;

	sync->random_state += 0x9e3779b97f4a7c15ULL;
	x = sync->random_state;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	x ^= x >> 31;
	return min + (uint32_t)(x % ((uint64_t)max - min + 1));
}

/* FNV-1a. */
uint64_t
config_sync_checksum(const char *text, size_t len)
{
	uint64_t hash = 0xcbf29ce484222325ULL;
	size_t i;

	for (i = 0; i < len; i++)
		hash = (hash ^ (unsigned char)text[i]) * 0x100000001b3ULL;
	return hash;
}

void
config_sync_arm_timer(struct event *timer, uint32_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_add(timer, &tv);
}

void
config_sync_notify_changed(struct config_sync *sync)
{
	ctr_set(&config_version, sync->config->version);
	if (sync->ready && sync->params.changed != NULL)
		sync->params.changed(sync->params.arg, sync->config);
}

int
config_sync_apply(struct config_sync *sync, uint64_t version,
    const json_t *change)
{
	struct cfgop_undo undo;
	struct err err;

	if (version != sync->config->version + 1)
		return -1;
	if (cfgop_apply(sync->config, json_object_get(change, "ops"), &undo,
		NULL, NULL, &err) != 0) {
		ctr_inc(&config_rows_not_applied);
		return -1;
	}
	cfgop_commit(&undo);
	sync->config->version = version;
	return 0;
}

/*
 * Applies one row; a row that was applied before is skipped. Returns -1 if the
 * row is not the next one or can't be applied.
 */
static int
config_sync_apply_row(struct config_sync *sync, const struct table_row *row)
{
	struct err err;
	json_t *change;
	char sk[TABLE_KEY_SIZE];
	int result;

	config_sync_version_key(sync->config->version, sk);
	if (strcmp(row->sk, sk) <= 0)
		return 0;
	config_sync_version_key(sync->config->version + 1, sk);
	if (strcmp(row->sk, sk) != 0)
		return -1;
	change = cfgj_load(row->doc, row->doc_len, &err);
	if (change == NULL) {
		ctr_inc(&config_rows_not_applied);
		return -1;
	}
	result = config_sync_apply(sync, sync->config->version + 1, change);
	json_decref(change);
	return result;
}

/*
 * Called after the last query of a fetch. The configuration becomes ready when
 * it reaches the highest known version. After more than CONFIG_BEHIND_POLLS_MAX
 * consecutive polls below that version it becomes ready at the version that the
 * table has, because the version that a peer announced may be wrong.
 */
static void
config_sync_update_ready(struct config_sync *sync, bool advanced)
{
	bool reached = sync->config->version >= sync->known_version;

	if (reached) {
		sync->polls_behind = 0;
	} else {
		ctr_inc(&config_polls_behind);
		sync->polls_behind++;
	}
	if (!sync->ready &&
	    (reached || sync->polls_behind > CONFIG_BEHIND_POLLS_MAX)) {
		sync->ready = true;
		advanced = true;
	}
	if (advanced)
		config_sync_notify_changed(sync);
}

static uint32_t
config_sync_poll_interval_ms(struct config_sync *sync, enum table_status status)
{
	uint32_t ms = sync->params.poll_ms;

	if (status == TABLE_OK && sync->config->version < sync->known_version &&
	    sync->polls_behind <= CONFIG_BEHIND_POLLS_MAX &&
	    ms > CONFIG_BEHIND_POLL_INTERVAL_MS)
		ms = CONFIG_BEHIND_POLL_INTERVAL_MS;
	return config_sync_random_ms(sync, ms - ms / 4, ms + ms / 4);
}

static void
config_sync_fetch_done(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err)
{
	struct config_sync *sync = arg;
	uint64_t version = sync->config->version;
	bool advanced;
	size_t i;

	(void)err;
	sync->fetching = false;
	if (status == TABLE_NOT_FOUND) {
		status = TABLE_OK;
		nrows = 0;
	}
	if (status == TABLE_OK && nrows == 0)
		ctr_inc(&config_polls_empty);
	for (i = 0; status == TABLE_OK && i < nrows; i++) {
		if (config_sync_apply_row(sync, &rows[i]) != 0)
			break;
	}
	advanced = sync->config->version != version;
	if (status != TABLE_OK)
		ctr_inc(&config_polls_failed);
	else if (nrows == CONFIG_FETCH_ROWS_MAX && advanced)
		sync->fetch_again = true;
	else if (i == nrows || sync->ready)
		config_sync_update_ready(sync, advanced);
	config_sync_arm_timer(sync->poll_timer,
	    config_sync_poll_interval_ms(sync, status));
	if (sync->fetch_again && status == TABLE_OK)
		config_sync_fetch(sync);
	else
		config_change_fetch_done(sync);
}

void
config_sync_fetch(struct config_sync *sync)
{
	char sk[TABLE_KEY_SIZE];

	if (!sync->snapshot_checked)
		return;
	if (sync->fetching) {
		sync->fetch_again = true;
		return;
	}
	sync->fetching = true;
	sync->fetch_again = false;
	ctr_inc(&config_polls);
	config_sync_version_key(sync->config->version, sk);
	sync->params.table->ops->query(sync->params.table, CONFIG_PK, sk,
	    CONFIG_FETCH_ROWS_MAX, config_sync_fetch_done, sync);
}

static void
config_sync_on_poll_timer(evutil_socket_t fd, short events, void *arg)
{
	struct config_sync *sync = arg;

	(void)fd;
	(void)events;
	if (!sync->snapshot_checked)
		config_snap_load(sync);
	else if (!sync->fetching)
		config_sync_fetch(sync);
}

struct config_sync *
config_sync_create(const struct config_sync_params *params)
{
	struct config_sync *sync;

	sync = calloc(1, sizeof(*sync));
	if (sync == NULL)
		return NULL;
	sync->params = *params;
	sync->random_state = params->seed;
	TAILQ_INIT(&sync->changes);
	LIST_INIT(&sync->history_requests);
	sync->config = cfg_create();
	sync->poll_timer =
	    evtimer_new(params->base, config_sync_on_poll_timer, sync);
	if (sync->config == NULL || sync->poll_timer == NULL) {
		config_sync_destroy(sync);
		return NULL;
	}
	ctr_register(&config_version);
	ctr_register(&config_known_version);
	config_sync_arm_timer(sync->poll_timer, 0);
	return sync;
}

void
config_sync_destroy(struct config_sync *sync)
{
	if (sync == NULL)
		return;
	config_change_destroy_all(sync);
	config_history_destroy_all(sync);
	if (sync->poll_timer != NULL)
		event_free(sync->poll_timer);
	cfg_free(sync->config);
	free(sync);
}

const struct config *
config_sync_current(const struct config_sync *sync)
{
	return sync->config;
}

bool
config_sync_ready(const struct config_sync *sync)
{
	return sync->ready;
}

bool
config_sync_host_leaving(const struct config_sync *sync)
{
	const struct cfg_object *host;

	host = cfg_find(sync->config, CFG_HOST, sync->params.host);
	return host != NULL && lbl_get(&host->labels, "leaving") != NULL;
}

void
config_sync_notify_version(struct config_sync *sync, uint64_t version)
{
	if (version <= sync->known_version)
		return;
	sync->known_version = version;
	sync->polls_behind = 0;
	ctr_set(&config_known_version, version);
	if (version > sync->config->version)
		config_sync_fetch(sync);
}

char *
config_sync_export(const struct config_sync *sync, size_t *len)
{
	json_t *snapshot;
	char *text;

	if (!sync->ready)
		return NULL;
	snapshot = cfgj_snapshot(sync->config);
	text = json_dumps(snapshot, JSON_COMPACT);
	json_decref(snapshot);
	if (text != NULL)
		*len = strlen(text);
	return text;
}

int
config_sync_import(struct config_sync *sync, const char *text, size_t len,
    struct err *err)
{
	struct config *config;
	json_t *snapshot;

	snapshot = cfgj_load(text, len, err);
	if (snapshot == NULL)
		return -1;
	config = cfgj_snapshot_parse(snapshot, err);
	json_decref(snapshot);
	if (config == NULL)
		return -1;
	if (config->version < sync->config->version ||
	    (config->version == sync->config->version && sync->ready)) {
		cfg_free(config);
		return 0;
	}
	cfg_free(sync->config);
	sync->config = config;
	sync->ready = sync->ready || config->version >= sync->known_version;
	config_sync_notify_changed(sync);
	return 0;
}

void
config_sync_handle(struct config_sync *sync, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	static const char changes[] = "/v1/config/changes";
	static const char history[] = "/v1/config/history";
	struct err err;

	if (strcmp(request->path, changes) == 0) {
		if (request->method == API_POST) {
			config_change_post(sync, request, reply, arg);
			return;
		}
	} else if (request->method == API_GET) {
		if (strcmp(request->path, history) == 0)
			config_history_get(sync, request, reply, arg);
		else
			config_view_get(sync, request, reply, arg);
		return;
	}
	err_set(&err, ERR_STEP_PARSE, ERR_INVALID, request->client,
	    "method not allowed");
	config_view_reply_problem(reply, arg, 405, &err, 0);
}
