/*
 * Stored jobs read back: all of them when this host begins to hold, before
 * any of them starts, and again from time to time.
 */

#include <event2/event.h>
#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/keeper_internal.h"

#define KPR_LOAD_RETRY_MS 150
#define KPR_PAGE 400
/* A former holder may store a job after its successor has read the rows. */
#define KPR_RESCAN_MS 4000

static void
kpr_load_row(struct keeper *keeper, const struct rows_row *row)
{
	struct kpr_job *job;
	struct record record;

	if (row->value == NULL || !job_id_valid(row->key) ||
	    kpr_find(keeper, row->key) != NULL)
		return;
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

static void
kpr_loaded(struct keeper *keeper)
{
	if (--keeper->parts_left > 0)
		return;
	log_event(LOG_LEVEL_INFO, "stored-jobs-read", "jobs=%zu",
	    keeper->njobs);
	holder_set_loaded(keeper->holder);
}

static void
kpr_load_page(void *arg, enum rows_status status, const struct rows_row *rows,
    size_t nrows, bool more)
{
	struct kpr_load *load = arg;
	struct keeper *keeper = load->keeper;
	size_t i;

	load->under_way = false;
	if (!keeper->held)
		return;
	if (load->generation != keeper->generation) {
		/* Begun for an earlier time as holder: read all anew. */
		load->from[0] = '\0';
		kpr_load_next(load);
		return;
	}
	if (status != ROWS_OK) {
		kpr_load_later(load, KPR_LOAD_RETRY_MS);
		return;
	}
	for (i = 0; i < nrows; i++)
		kpr_load_row(keeper, &rows[i]);
	if (more && nrows > 0) {
		strlcpy(load->from, rows[nrows - 1].key, sizeof(load->from));
		kpr_load_next(load);
		return;
	}
	if (!load->again)
		kpr_loaded(keeper);
	load->again = true;
	load->from[0] = '\0';
	kpr_load_later(load, KPR_RESCAN_MS);
}

void
kpr_load_next(struct kpr_load *load)
{
	if (load->under_way)
		return;
	load->under_way = true;
	load->generation = load->keeper->generation;
	load->keeper->rows->ops->read(load->keeper->rows, load->part,
	    load->from, KPR_PAGE, kpr_load_page, load);
}

void
kpr_read_again(struct kpr_load *load)
{
	if (load->again)
		kpr_load_later(load, 0);
}
