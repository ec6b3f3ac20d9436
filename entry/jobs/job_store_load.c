/*
 * Stored jobs read back when this host begins to hold, before any of them
 * starts. First it takes each partition from the former holder: a job stored
 * after its rows were read would be missed.
 */

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/job_store_internal.h"

#define KPR_LOAD_RETRY_MS 150
#define KPR_PAGE 400

static void
kpr_load_row(struct keeper *keeper, const struct rows_row *row)
{
	struct kpr_job *job;
	struct record record;

	if (row->value == NULL || !job_id_valid(row->key))
		return;
	job = kpr_find(keeper, row->key);
	if (job != NULL && job->stored)
		return; /* read before, by a call that was repeated */
	if (job != NULL)
		kpr_accepted_before(job);
	if (record_parse(&record, row->value, row->value_len) == -1) {
		log_event(LOG_LEVEL_WARN, "row-unreadable",
		    "table=jobs key=%s version=%" PRIu64, row->key,
		    row->version);
		return;
	}
	if (strcmp(record.az, keeper->az) != 0) {
		record_release(&record);
		return;
	}
	job = kpr_enter(keeper, row->key);
	job->record = record;
	job->stored = true;
	ledger_adopt(keeper->ledger, row->key, row->version);
	if (record.state == RECORD_ACCEPTED)
		kpr_start(job, true);
}

static void
kpr_load_later(struct kpr_load *load, uint32_t ms)
{
	const struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_add(load->timer, &tv);
}

/* New jobs may be stored from now on: none of them is there already. */
static void
kpr_loaded(struct kpr_load *load)
{
	struct keeper *keeper = load->keeper;

	ledger_own(keeper->ledger, load->part, keeper->owner_key,
	    load->owner_version);
	if (--keeper->parts_left > 0)
		return;
	log_event(LOG_LEVEL_INFO, "stored-jobs-read", "jobs=%zu",
	    keeper->njobs);
	sched_set_jobs_loaded(keeper->holder);
}

/* The call of a load has ended. Return: false if it is not wanted any more. */
static bool
kpr_load_ended(struct kpr_load *load)
{
	load->under_way = false;
	if (!load->keeper->held)
		return false;
	if (load->generation == load->keeper->generation)
		return true;
	/* Begun for an earlier time as holder. */
	kpr_load_begin(load);
	return false;
}

static void kpr_load_next(struct kpr_load *load);

static void
kpr_load_page(void *arg, enum rows_status status, const struct rows_row *rows,
    size_t nrows, bool more)
{
	struct kpr_load *load = arg;
	size_t i;

	if (!kpr_load_ended(load))
		return;
	if (status != ROWS_OK) {
		kpr_load_later(load, KPR_LOAD_RETRY_MS);
		return;
	}
	for (i = 0; i < nrows; i++)
		kpr_load_row(load->keeper, &rows[i]);
	if (more && nrows > 0) {
		strlcpy(load->from, rows[nrows - 1].key, sizeof(load->from));
		kpr_load_next(load);
		return;
	}
	kpr_loaded(load);
}

static void
kpr_load_next(struct kpr_load *load)
{
	struct rows *rows = load->keeper->rows;

	load->under_way = true;
	rows->ops->read(rows, load->part, load->from, KPR_PAGE, kpr_load_page,
	    load);
}

static void
kpr_claimed(struct kpr_load *load, uint64_t version)
{
	load->owner_version = version;
	load->from[0] = '\0';
	kpr_load_next(load);
}

static void kpr_claim(struct kpr_load *load, const struct rows_row *owner);

static void
kpr_claim_done(void *arg, enum rows_status status, uint64_t version,
    const struct rows_row *rows, size_t nrows)
{
	static const struct rows_row none = { .version = 0 };
	struct kpr_load *load = arg;

	if (!kpr_load_ended(load))
		return;
	if (status == ROWS_OK)
		kpr_claimed(load, version);
	else if (status == ROWS_CONFLICT)
		kpr_claim(load, nrows == 0 ? &none : &rows[0]);
	else
		kpr_load_later(load, KPR_LOAD_RETRY_MS);
}

/*
 * Writes this host's token to the owner's row as it was read. From then on
 * no write of a former holder takes effect, also one that is still on its way.
 */
static void
kpr_claim(struct kpr_load *load, const struct rows_row *owner)
{
	struct keeper *keeper = load->keeper;
	struct rows_row row = { .key = keeper->owner_key,
		.version = owner->version };
	char text[32] = "";
	uint64_t token = 0;

	if (owner->value != NULL) {
		(void)snprintf(text, sizeof(text), "%.*s",
		    (int)owner->value_len, owner->value);
		token = strtoull(text, NULL, 10);
	}
	if (token == keeper->token) {
		kpr_claimed(load, owner->version);
		return;
	}
	if (token > keeper->token) {
		log_event(LOG_LEVEL_WARN, "partition-owned",
		    "part=%" PRIu32 " owner_token=%" PRIu64 " token=%" PRIu64,
		    load->part, token, keeper->token);
		keeper->fenced(keeper->fenced_arg);
		return;
	}
	(void)snprintf(text, sizeof(text), "%" PRIu64, keeper->token);
	row.value = text;
	row.value_len = strlen(text);
	load->under_way = true;
	keeper->rows->ops->transact(keeper->rows, load->part, &row, 1,
	    kpr_claim_done, load);
}

static void
kpr_owner_read(void *arg, enum rows_status status, const struct rows_row *rows,
    size_t nrows, bool more)
{
	static const struct rows_row none = { .version = 0 };
	struct kpr_load *load = arg;

	(void)more;
	if (!kpr_load_ended(load))
		return;
	if (status != ROWS_OK)
		kpr_load_later(load, KPR_LOAD_RETRY_MS);
	else if (nrows == 0 ||
	    strcmp(rows[0].key, load->keeper->owner_key) != 0)
		kpr_claim(load, &none);
	else
		kpr_claim(load, &rows[0]);
}

void
kpr_load_begin(struct kpr_load *load)
{
	struct keeper *keeper = load->keeper;

	if (load->under_way)
		return;
	load->under_way = true;
	load->generation = keeper->generation;
	keeper->rows->ops->read(keeper->rows, load->part, keeper->owner_key, 1,
	    kpr_owner_read, load);
}
