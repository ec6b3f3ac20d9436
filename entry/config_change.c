/*
 * Writes the changes that operators request, one at a time. One transaction
 * advances the head by compare-and-set and inserts the row of the new version
 * and the row of the change's id, so that a change is written at most once.
 * After a lost reply the transaction is repeated with the same id: it is either
 * written now, or the row of the id shows that it was written before.
 */

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/config_change.h"
#include "entry/config_json.h"

#define CONFIG_CHANGE_ATTEMPTS_MAX 10	   /* for one change */
#define CONFIG_CHANGE_RETRY_LIMIT_MS 15000 /* no attempt starts later */
#define CONFIG_CHANGE_BACKOFF_MS 25	   /* before the second retry */
#define CONFIG_CHANGE_BACKOFF_MAX_MS 1000
#define CONFIG_ROW_BYTES_MAX (384U << 10) /* of a version's row */

/* Indexes of the writes of a transaction and of its array @failed. */
enum config_write {
	CONFIG_WRITE_HEAD,
	CONFIG_WRITE_VERSION,
	CONFIG_WRITE_ID,
	CONFIG_NWRITES,
};

static struct counter config_changes_committed = {
	.name = "berylrail_config_changes_total",
	.help = "Changes of the configuration that this host wrote.",
};
static struct counter config_changes_conflict = {
	.name = "berylrail_config_changes_conflict_total",
	.help = "Changes refused because another one was written first.",
};
static struct counter config_changes_resolved = {
	.name = "berylrail_config_changes_settled_total",
	.help = "Changes found written after a lost reply or a repetition.",
};

static void config_change_attempt(struct config_change *change);
static void config_change_lookup(struct config_change *change);

void
config_change_free(struct config_change *change)
{
	if (change == NULL)
		return;
	if (change->timer != NULL)
		event_free(change->timer);
	cfgop_change_clear(&change->requested);
	json_decref(change->row);
	free(change);
}

/* Dequeues and frees the change, and starts the next one. */
static void
config_change_end(struct config_change *change)
{
	struct config_sync *sync = change->sync;
	struct config_change *next;

	TAILQ_REMOVE(&sync->changes, change, entry);
	sync->nchanges--;
	config_change_free(change);
	next = TAILQ_FIRST(&sync->changes);
	if (next != NULL)
		config_sync_arm_timer(next->timer, 0);
}

static void
config_change_fail(struct config_change *change, int status,
    const struct err *err, uint64_t version)
{
	config_view_reply_problem(change->reply, change->arg, status, err,
	    version);
	config_change_end(change);
}

static void
config_change_succeed(struct config_change *change, uint64_t version)
{
	config_view_reply_json(change->reply, change->arg, 200,
	    json_pack("{s:I}", "version", (json_int_t)version));
	config_change_end(change);
}

/*
 * Replies 409 with the newest version that this host has read, but at least the
 * version after the base, because another change has written that one.
 */
static void
config_change_fail_conflict(struct config_change *change)
{
	struct config_sync *sync = change->sync;
	uint64_t version = sync->config->version;
	struct err err;

	if (version <= change->base_version)
		version = change->base_version + 1;
	ctr_inc(&config_changes_conflict);
	err_set(&err, ERR_STEP_CONFIG, ERR_CONFLICT, NULL,
	    "base version %llu is outdated: another change wrote version %llu",
	    (unsigned long long)change->base_version,
	    (unsigned long long)version);
	config_change_fail(change, 409, &err, version);
}

static bool
config_change_exhausted(const struct config_change *change)
{
	struct clock *clock = change->sync->params.clock;

	return change->attempts >= CONFIG_CHANGE_ATTEMPTS_MAX ||
	    clock_now_us(clock) - change->start_us >=
	    CONFIG_CHANGE_RETRY_LIMIT_MS * 1000ULL;
}

/* Replies when no attempt is left; @err is the last attempt's error. */
static void
config_change_fail_exhausted(struct config_change *change,
    const struct err *err)
{
	struct err final_err = *err;

	if (!change->maybe_written) {
		config_change_fail(change, 503, &final_err, 0);
		return;
	}
	err_set(&final_err, err->step, ERR_LOST, err->peer,
	    "the change may have been written; retry with the same id");
	config_change_fail(change, 504, &final_err, 0);
}

/*
 * Reads newer rows before the next step. From the second retry on it first
 * waits for a time that doubles up to CONFIG_CHANGE_BACKOFF_MAX_MS, with
 * jitter.
 */
static void
config_change_back_off(struct config_change *change)
{
	uint32_t ms = 0;

	if (change->attempts > 1) {
		ms = CONFIG_CHANGE_BACKOFF_MS << (change->attempts - 2);
		if (ms > CONFIG_CHANGE_BACKOFF_MAX_MS)
			ms = CONFIG_CHANGE_BACKOFF_MAX_MS;
		ms = config_sync_random_ms(change->sync, ms / 2, ms);
	}
	change->awaiting_fetch = true;
	config_sync_arm_timer(change->timer, ms);
}

static void
config_change_retry(struct config_change *change, const struct err *err)
{
	if (config_change_exhausted(change))
		config_change_fail_exhausted(change, err);
	else
		config_change_back_off(change);
}

void
config_change_on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct config_change *change = arg;

	(void)fd;
	(void)events;
	if (change->awaiting_fetch)
		config_sync_fetch(change->sync);
	else
		config_change_attempt(change);
}

void
config_change_fetch_done(struct config_sync *sync)
{
	struct config_change *change = TAILQ_FIRST(&sync->changes);

	if (change == NULL || !change->awaiting_fetch ||
	    evtimer_pending(change->timer, NULL))
		return;
	change->awaiting_fetch = false;
	if (change->base_outdated)
		config_change_fail_conflict(change);
	else if (change->pending_status != 0)
		config_change_lookup(change);
	else
		config_change_attempt(change);
}

/*
 * Replies according to the row of the change's id: with its version if the row
 * was written for the same operations, otherwise with an error.
 */
static void
config_change_resolve(struct config_change *change, const struct table_row *row)
{
	json_int_t version;
	const char *digest;
	char own_digest[24];
	struct err err;
	json_t *json;

	snprintf(own_digest, sizeof(own_digest), "%016" PRIx64, change->digest);
	json = cfgj_load(row->doc, row->doc_len, &err);
	if (json == NULL ||
	    json_unpack(json, "{s:I, s:s}", "version", &version, "digest",
		&digest) != 0) {
		err_set(&err, ERR_STEP_TABLE, ERR_CORRUPT, NULL,
		    "row of change %s is malformed", change->requested.id);
		config_change_fail(change, 500, &err, 0);
	} else if (strcmp(digest, own_digest) != 0) {
		err_set(&err, ERR_STEP_CONFIG, ERR_INVALID, NULL,
		    "id %s was used for a change with other operations",
		    change->requested.id);
		config_change_fail(change, 422, &err, (uint64_t)version);
	} else {
		ctr_inc(&config_changes_resolved);
		config_sync_notify_version(change->sync, (uint64_t)version);
		config_change_succeed(change, (uint64_t)version);
	}
	json_decref(json);
}

static void
config_change_lookup_done(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err)
{
	struct config_change *change = arg;

	if (status == TABLE_OK && nrows == 1) {
		config_change_resolve(change, rows);
		return;
	}
	if (status == TABLE_NOT_FOUND && change->pending_status != 409) {
		config_change_fail(change, change->pending_status,
		    &change->pending_err, 0);
		return;
	}
	/* 409 and no row: this replica of the table is stale. */
	change->attempts++;
	config_change_retry(change,
	    status == TABLE_NOT_FOUND ? &change->pending_err : err);
}

static void
config_change_lookup(struct config_change *change)
{
	struct table *table = change->sync->params.table;
	char pk[TABLE_KEY_SIZE];

	snprintf(pk, sizeof(pk), "change#%s", change->requested.id);
	table->ops->get(table, pk, CONFIG_CHANGE_SK, config_change_lookup_done,
	    change);
}

/* Applies the row that was written, unless a poll has applied it. */
static void
config_change_committed(struct config_change *change)
{
	struct config_sync *sync = change->sync;
	uint64_t version = change->base_version + 1;

	ctr_inc(&config_changes_committed);
	if (config_sync_apply(sync, version, change->row) == 0) {
		if (sync->known_version < version)
			sync->known_version = version;
		config_sync_notify_changed(sync);
		if (version % CONFIG_SNAPSHOT_INTERVAL_VERSIONS == 0)
			config_snap_save(sync);
	} else {
		config_sync_notify_version(sync, version);
	}
	config_change_succeed(change, version);
}

static void
config_change_conflicted(struct config_change *change,
    const unsigned char *failed, const struct err *err)
{
	if (failed != NULL && failed[CONFIG_WRITE_ID]) {
		change->pending_err = *err;
		change->pending_status = 409;
		config_change_lookup(change);
		return;
	}
	change->base_outdated = change->requested.has_base;
	config_sync_notify_version(change->sync, change->base_version + 1);
	if (change->base_outdated)
		config_change_back_off(change);
	else
		config_change_retry(change, err);
}

static void
config_change_transaction_done(void *arg, enum table_status status,
    const unsigned char *failed, const struct err *err)
{
	struct config_change *change = arg;

	switch (status) {
	case TABLE_OK:
		config_change_committed(change);
		return;
	case TABLE_CONFLICT:
		config_change_conflicted(change, failed, err);
		return;
	case TABLE_UNKNOWN:
		change->maybe_written = true;
		break;
	default:
		break;
	}
	config_change_retry(change, err);
}

/* The table copies its arguments, so the documents may be local variables. */
static void
config_change_send_transaction(struct config_change *change,
    const char *row_text)
{
	struct table *table = change->sync->params.table;
	struct table_write writes[CONFIG_NWRITES];
	char sk[TABLE_KEY_SIZE], pk[TABLE_KEY_SIZE], head_doc[64], id_doc[96];
	uint64_t version = change->base_version + 1;

	config_sync_version_key(version, sk);
	snprintf(pk, sizeof(pk), "change#%s", change->requested.id);
	snprintf(head_doc, sizeof(head_doc), "{\"version\":%llu}",
	    (unsigned long long)version);
	snprintf(id_doc, sizeof(id_doc),
	    "{\"version\":%llu,\"digest\":\"%016" PRIx64 "\"}",
	    (unsigned long long)version, change->digest);
	writes[CONFIG_WRITE_HEAD] = (struct table_write){
		.condition = change->base_version == 0 ? TABLE_IF_ABSENT
						       : TABLE_IF_VERSION,
		.expect_version = change->base_version,
		.row = { CONFIG_PK, CONFIG_HEAD_SK, version, head_doc,
		    strlen(head_doc) },
	};
	writes[CONFIG_WRITE_VERSION] = (struct table_write){
		.condition = TABLE_IF_ABSENT,
		.row = { CONFIG_PK, sk, version, row_text, strlen(row_text) },
	};
	writes[CONFIG_WRITE_ID] = (struct table_write){
		.condition = TABLE_IF_ABSENT,
		.row = { pk, CONFIG_CHANGE_SK, 1, id_doc, strlen(id_doc) },
	};
	change->attempts++;
	table->ops->transact(table, writes, CONFIG_NWRITES,
	    config_change_transaction_done, change);
}

/* Builds the version's row: the change and its audit data. */
static void
config_change_build_row(struct config_change *change, json_t *before,
    json_t *after)
{
	struct config_sync *sync = change->sync;

	json_decref(change->row);
	change->row =
	    json_pack("{s:I, s:I, s:s, s:s, s:I, s:s, s:s, s:O, s:o, s:o}",
		"version", (json_int_t)change->base_version + 1, "base",
		(json_int_t)change->base_version, "id", change->requested.id,
		"who", change->operator_name, "when_ms",
		(json_int_t)clock_wall_ms(sync->params.clock), "host",
		sync->params.host, "why", change->requested.reason, "ops",
		change->requested.ops, "before", before, "after", after);
}

/*
 * The operations can't be applied. The reason may be that the same change was
 * written before, so the row of its id is read before the error is returned.
 */
static void
config_change_not_applicable(struct config_change *change,
    const struct err *err)
{
	change->pending_err = *err;
	change->pending_status = err->code == ERR_NOT_FOUND ? 404 : 400;
	config_change_lookup(change);
}

static void
config_change_attempt(struct config_change *change)
{
	struct config_sync *sync = change->sync;
	struct cfgop_undo undo;
	json_t *before, *after;
	struct err err;
	char *text;

	change->base_version = change->requested.has_base
	    ? change->requested.base_version
	    : sync->config->version;
	if (change->base_version > sync->config->version) {
		err_set(&err, ERR_STEP_CONFIG, ERR_UNAVAILABLE, NULL,
		    "base version %llu is unknown here; the newest is %llu",
		    (unsigned long long)change->base_version,
		    (unsigned long long)sync->config->version);
		change->attempts++;
		config_change_retry(change, &err);
		return;
	}
	if (cfgop_apply(sync->config, change->requested.ops, &undo, &before,
		&after, &err) != 0) {
		config_change_not_applicable(change, &err);
		return;
	}
	cfgop_rollback(sync->config, &undo);
	config_change_build_row(change, before, after);
	text = json_dumps(change->row, JSON_COMPACT);
	if (text == NULL || strlen(text) > CONFIG_ROW_BYTES_MAX) {
		err_set(&err, ERR_STEP_CONFIG, ERR_TOO_LARGE, NULL,
		    "the change and its audit data exceed %u bytes; split the "
		    "change",
		    CONFIG_ROW_BYTES_MAX);
		config_change_not_applicable(change, &err);
	} else {
		config_change_send_transaction(change, text);
	}
	free(text);
}

void
config_change_destroy_all(struct config_sync *sync)
{
	struct config_change *change;

	while ((change = TAILQ_FIRST(&sync->changes)) != NULL) {
		TAILQ_REMOVE(&sync->changes, change, entry);
		config_change_free(change);
	}
}
