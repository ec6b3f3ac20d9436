/*
 * Reading back the stored jobs of a cell when this host becomes its lease
 * holder. Each partition is claimed before its rows are read, so that the
 * former holder cannot store a job afterwards: that job would never be run.
 */

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/job_store_internal.h"

#define JSTORE_LOAD_RETRY_MS 150
#define JSTORE_LOAD_PAGE_ROWS 400

/* Adds a job that was read back, unless it belongs to another cell. */
static void
jstore_load_row(struct job_store *store, const struct rows_row *row)
{
	struct jstore_job *job;
	struct job_record record;

	if (row->value == NULL || !job_id_valid(row->key))
		return;
	job = jstore_find_job(store, row->key);
	if (job != NULL && job->stored)
		return; /* a repeated read returned the row again */
	if (job != NULL)
		jstore_finish_existing(job);
	if (jrec_parse(&record, row->value, row->value_len) == -1) {
		log_event(LOG_LEVEL_WARN, "row-malformed",
		    "table=jobs key=%s version=%" PRIu64, row->key,
		    row->version);
		return;
	}
	if (strcmp(record.az, store->az) != 0) {
		jrec_release(&record);
		return;
	}
	job = jstore_add_job(store, row->key);
	job->record = record;
	job->stored = true;
	job->read_back = true;
	rowwr_set_version(store->writer, row->key, row->version);
	if (record.state == JREC_ACCEPTED)
		jstore_start_job(job);
}

static void
jstore_schedule_load(struct jstore_load *load, uint32_t ms)
{
	const struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_add(load->timer, &tv);
}

/* All rows of the cell in this partition are known: new jobs may be written. */
static void
jstore_part_loaded(struct jstore_load *load)
{
	struct job_store *store = load->store;

	rowwr_set_owner(store->writer, load->part, store->owner_key,
	    load->owner_version);
	if (--store->parts_unloaded > 0)
		return;
	log_event(LOG_LEVEL_INFO, "stored-jobs-read", "jobs=%zu", store->njobs);
	sched_set_jobs_loaded(store->sched);
}

/* A call to the store has ended. Return: false if its result is obsolete. */
static bool
jstore_load_call_done(struct jstore_load *load)
{
	load->in_flight = false;
	if (!load->store->active)
		return false;
	if (load->generation == load->store->generation)
		return true;
	/* The call belongs to an earlier activation. */
	jstore_load_part(load);
	return false;
}

static void jstore_read_page(struct jstore_load *load);

static void
jstore_page_read(void *arg, enum rows_status status,
    const struct rows_row *rows, size_t nrows, bool more)
{
	struct jstore_load *load = arg;
	size_t i;

	if (!jstore_load_call_done(load))
		return;
	if (status != ROWS_OK) {
		jstore_schedule_load(load, JSTORE_LOAD_RETRY_MS);
		return;
	}
	for (i = 0; i < nrows; i++)
		jstore_load_row(load->store, &rows[i]);
	if (more && nrows > 0) {
		strlcpy(load->start_key, rows[nrows - 1].key,
		    sizeof(load->start_key));
		jstore_read_page(load);
		return;
	}
	jstore_part_loaded(load);
}

static void
jstore_read_page(struct jstore_load *load)
{
	struct rows *rows = load->store->rows;

	load->in_flight = true;
	rows->ops->read(rows, load->part, load->start_key,
	    JSTORE_LOAD_PAGE_ROWS, jstore_page_read, load);
}

static void
jstore_part_claimed(struct jstore_load *load, uint64_t version)
{
	load->owner_version = version;
	load->start_key[0] = '\0';
	jstore_read_page(load);
}

static void jstore_claim_part(struct jstore_load *load,
    const struct rows_row *owner);

static void
jstore_claim_done(void *arg, enum rows_status status, uint64_t version,
    const struct rows_row *rows, size_t nrows)
{
	static const struct rows_row none = { .version = 0 };
	struct jstore_load *load = arg;

	if (!jstore_load_call_done(load))
		return;
	if (status == ROWS_OK) {
		if (load->part == JSTORE_OWNER_PART)
			sched_confirm_owner(load->store->sched,
			    load->claimed_us);
		jstore_part_claimed(load, version);
	} else if (status == ROWS_CONFLICT)
		jstore_claim_part(load, nrows == 0 ? &none : &rows[0]);
	else
		jstore_schedule_load(load, JSTORE_LOAD_RETRY_MS);
}

/* The fencing token in an owner row; 0: none. */
static uint64_t
jstore_owner_token(const struct rows_row *owner)
{
	char text[32] = "";

	if (owner->value != NULL)
		(void)snprintf(text, sizeof(text), "%.*s",
		    (int)owner->value_len, owner->value);
	return strtoull(text, NULL, 10);
}

/*
 * Writes this host's fencing token to the owner row, on condition that the row
 * is still as it was read. No write of a former holder takes effect after
 * that, including one that is already in flight.
 */
static void
jstore_claim_part(struct jstore_load *load, const struct rows_row *owner)
{
	struct job_store *store = load->store;
	struct rows_row row = { .key = store->owner_key,
		.version = owner->version };
	uint64_t token = jstore_owner_token(owner);
	char text[32];

	if (token == store->token) {
		jstore_part_claimed(load, owner->version);
		return;
	}
	if (token > store->token) {
		log_event(LOG_LEVEL_WARN, "partition-claim-rejected",
		    "part=%" PRIu32 " owner_token=%" PRIu64 " token=%" PRIu64,
		    load->part, token, store->token);
		store->fenced(store->fenced_arg);
		return;
	}
	(void)snprintf(text, sizeof(text), "%" PRIu64, store->token);
	row.value = text;
	row.value_len = strlen(text);
	load->claimed_us = clock_now_us(store->clock);
	load->in_flight = true;
	store->rows->ops->transact(store->rows, load->part, &row, 1,
	    jstore_claim_done, load);
}

static void
jstore_owner_read(void *arg, enum rows_status status,
    const struct rows_row *rows, size_t nrows, bool more)
{
	static const struct rows_row none = { .version = 0 };
	struct jstore_load *load = arg;

	(void)more;
	if (!jstore_load_call_done(load))
		return;
	if (status != ROWS_OK)
		jstore_schedule_load(load, JSTORE_LOAD_RETRY_MS);
	else if (nrows == 0 || strcmp(rows[0].key, load->store->owner_key) != 0)
		jstore_claim_part(load, &none);
	else
		jstore_claim_part(load, &rows[0]);
}

void
jstore_load_part(struct jstore_load *load)
{
	struct job_store *store = load->store;

	if (load->in_flight)
		return;
	load->in_flight = true;
	load->generation = store->generation;
	store->rows->ops->read(store->rows, load->part, store->owner_key, 1,
	    jstore_owner_read, load);
}

static void
jstore_owner_checked(void *arg, enum rows_status status,
    const struct rows_row *rows, size_t nrows, bool more)
{
	struct jstore_owner_read *read = arg;
	struct job_store *store = read->store;
	uint64_t token = 0;

	(void)more;
	read->in_flight = false;
	if (status == ROWS_OK && nrows > 0 &&
	    strcmp(rows[0].key, store->owner_key) == 0)
		token = jstore_owner_token(&rows[0]);
	read->done(read->arg, read->sent_us,
	    store->active && token == store->token);
	if (store->active && token > store->token) {
		log_event(LOG_LEVEL_WARN, "cell-owner-replaced",
		    "owner_token=%" PRIu64 " token=%" PRIu64, token,
		    store->token);
		store->fenced(store->fenced_arg);
	}
}

void
jstore_read_owner(struct job_store *store, uint64_t sent_us,
    jstore_owner_fn done, void *arg)
{
	struct jstore_owner_read *read = store->owner_reads;

	while (read < store->owner_reads + JSTORE_OWNER_READS_MAX &&
	    read->in_flight)
		read++;
	if (read == store->owner_reads + JSTORE_OWNER_READS_MAX) {
		done(arg, sent_us, false);
		return;
	}
	*read = (struct jstore_owner_read){ .store = store,
		.in_flight = true,
		.sent_us = sent_us,
		.done = done,
		.arg = arg };
	store->rows->ops->read(store->rows, JSTORE_OWNER_PART, store->owner_key,
	    1, jstore_owner_checked, read);
}
