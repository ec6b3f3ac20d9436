/*
 * Snapshots of the configuration in the object store, so that a new host does
 * not read the complete version chain. The first line of a snapshot contains
 * its checksum and length. A corrupt snapshot is ignored. After an outdated
 * one, more rows of the chain are read.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/config_json.h"
#include "entry/config_sync_internal.h"

#define CONFIG_SNAP_MAGIC "berylrail-snapshot 1"
#define CONFIG_SNAP_HEADER_SIZE 96 /* bytes of the first line, with the NUL */

static struct counter config_snap_malformed = {
	.name = "berylrail_config_snapshots_bad_total",
	.help = "Corrupt snapshots read from the object store.",
};

/* Parses a stored snapshot; NULL if it is corrupt. */
static struct config *
config_snap_parse(const char *data, size_t len)
{
	char line[CONFIG_SNAP_HEADER_SIZE];
	struct config *config;
	uint64_t checksum;
	struct err err;
	const char *text;
	size_t text_len;
	json_t *json;

	text = memchr(data, '\n', len);
	if (text == NULL || (size_t)(text - data) >= sizeof(line))
		return NULL;
	memcpy(line, data, (size_t)(text - data));
	line[text - data] = '\0';
	text++;
	if (sscanf(line, CONFIG_SNAP_MAGIC " %" SCNx64 " %zu", &checksum,
		&text_len) != 2 ||
	    text_len != len - (size_t)(text - data) ||
	    config_sync_checksum(text, text_len) != checksum)
		return NULL;
	json = cfgj_load(text, text_len, &err);
	if (json == NULL)
		return NULL;
	config = cfgj_snapshot_parse(json, &err);
	json_decref(json);
	return config;
}

/*
 * A snapshot does not make the configuration ready: other hosts may have
 * applied later versions, so the table or a peer must be read first.
 */
static void
config_snap_load_done(void *arg, enum table_status status, const void *data,
    size_t len, const struct err *err)
{
	struct config_sync *sync = arg;
	struct config *config = NULL;

	(void)err;
	if (status == TABLE_OK) {
		config = config_snap_parse(data, len);
		if (config == NULL)
			ctr_inc(&config_snap_malformed);
	}
	if (config != NULL && config->version > sync->config->version) {
		cfg_free(sync->config);
		sync->config = config;
		config_sync_notify_changed(sync);
	} else {
		cfg_free(config);
	}
	sync->snapshot_checked = true;
	config_sync_fetch(sync);
}

void
config_snap_load(struct config_sync *sync)
{
	struct blobs *blobs = sync->params.blobs;

	if (blobs == NULL) {
		sync->snapshot_checked = true;
		config_sync_fetch(sync);
		return;
	}
	blobs->ops->get(blobs, CONFIG_SNAPSHOT_NAME, config_snap_load_done,
	    sync);
}

static void
config_snap_save_done(void *arg, enum table_status status, const void *data,
    size_t len, const struct err *err)
{
	struct config_sync *sync = arg;

	(void)status;
	(void)data;
	(void)len;
	(void)err;
	sync->saving_snapshot = false;
}

void
config_snap_save(struct config_sync *sync)
{
	struct blobs *blobs = sync->params.blobs;
	char *text, *data;
	size_t len;
	int n;

	if (blobs == NULL || sync->saving_snapshot)
		return;
	text = config_sync_export(sync, &len);
	if (text == NULL)
		return;
	n = asprintf(&data, "%s %016" PRIx64 " %zu\n%s", CONFIG_SNAP_MAGIC,
	    config_sync_checksum(text, len), len, text);
	free(text);
	if (n < 0)
		return;
	sync->saving_snapshot = true;
	blobs->ops->put(blobs, CONFIG_SNAPSHOT_NAME, data, (size_t)n,
	    config_snap_save_done, sync);
	free(data);
}
