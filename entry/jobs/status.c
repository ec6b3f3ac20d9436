/*
 * Stored jobs as any entry host sees them.
 */

#include <sys/queue.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/row_writer.h"
#include "entry/jobs/status.h"
#include "entry/jobs/zone.h"

struct sts_query {
	struct status *status;
	char id[JOB_ID_LEN + 1];
	bool cancel;
	bool abandoned;
	status_done_fn done;
	void *arg;
	TAILQ_ENTRY(sts_query) entry;
};

struct status {
	struct rows *rows;
	struct zone *zone;
	TAILQ_HEAD(, sts_query) queries;
};

static const char *const sts_names[] = {
	[STATUS_QUEUED] = "queued",
	[STATUS_RUNNING] = "running",
	[STATUS_COMPLETED] = "completed",
	[STATUS_FAILED] = "failed",
	[STATUS_CANCELLED] = "cancelled",
	[STATUS_NO_JOB] = "no-job",
	[STATUS_UNKNOWN] = "not-known-now",
};

static void
sts_finish(struct sts_query *query, enum status_answer answer)
{
	status_done_fn done = query->abandoned ? NULL : query->done;
	void *arg = query->arg;

	log_event(LOG_LEVEL_INFO, query->cancel ? "cancel" : "state",
	    "id=%s outcome=%s caller=%s", query->id, sts_names[answer],
	    done == NULL ? "left" : "waits");
	TAILQ_REMOVE(&query->status->queries, query, entry);
	free(query);
	if (done != NULL)
		done(arg, answer);
}

static void
sts_cancelled(void *arg, enum jstore_result result)
{
	switch (result) {
	case JSTORE_OK:
		sts_finish(arg, STATUS_CANCELLED);
		break;
	case JSTORE_NO_JOB:
		sts_finish(arg, STATUS_NO_JOB);
		break;
	case JSTORE_REFUSED:
	case JSTORE_UNKNOWN:
		sts_finish(arg, STATUS_UNKNOWN);
		break;
	}
}

static enum status_answer
sts_answer(enum jrec_state state, bool begun)
{
	switch (state) {
	case JREC_COMPLETED:
		return STATUS_COMPLETED;
	case JREC_FAILED:
		return STATUS_FAILED;
	case JREC_CANCELLED:
		return STATUS_CANCELLED;
	case JREC_ACCEPTED:
		break;
	}
	return begun ? STATUS_RUNNING : STATUS_QUEUED;
}

static void
sts_read(void *arg, enum rows_status status, const struct rows_row *rows,
    size_t nrows, bool more)
{
	struct sts_query *query = arg;
	struct job_record record;
	enum jrec_state state;

	(void)more;
	if (status != ROWS_OK) {
		sts_finish(query, STATUS_UNKNOWN);
		return;
	}
	if (nrows == 0 || strcmp(rows[0].key, query->id) != 0) {
		sts_finish(query, STATUS_NO_JOB);
		return;
	}
	if (jrec_parse(&record, rows[0].value, rows[0].value_len) == -1) {
		sts_finish(query, STATUS_UNKNOWN);
		return;
	}
	state = record.state;
	if (query->cancel && state == JREC_ACCEPTED)
		zone_cancel_stored(query->status->zone, record.az, query->id,
		    sts_cancelled, query);
	else /* its row does not say whether it has begun */
		sts_finish(query,
		    query->cancel ? STATUS_CANCELLED : sts_answer(state, true));
	jrec_release(&record);
}

static void
sts_read_row(struct sts_query *query)
{
	struct rows *rows = query->status->rows;

	rows->ops->read(rows, rowwr_partition(query->id), query->id, 1,
	    sts_read, query);
}

/* The holder of this zone answers for its own jobs; the store for others. */
static void
sts_told(void *arg, enum jstore_result result, enum jrec_state state,
    bool begun)
{
	struct sts_query *query = arg;

	if (result == JSTORE_OK)
		sts_finish(query, sts_answer(state, begun));
	else
		sts_read_row(query);
}

static void
sts_start(struct status *status, const char *id, bool cancel,
    status_done_fn done, void *arg)
{
	struct sts_query *query = mem_zalloc(1, sizeof(*query));

	query->status = status;
	strlcpy(query->id, id, sizeof(query->id));
	query->cancel = cancel;
	query->done = done;
	query->arg = arg;
	TAILQ_INSERT_TAIL(&status->queries, query, entry);
	if (cancel)
		sts_read_row(query);
	else
		zone_state(status->zone, id, sts_told, query);
}

void
status_get(struct status *status, const char *id, status_done_fn done,
    void *arg)
{
	sts_start(status, id, false, done, arg);
}

void
status_cancel(struct status *status, const char *id, status_done_fn done,
    void *arg)
{
	sts_start(status, id, true, done, arg);
}

void
status_abandon(struct status *status, const void *arg)
{
	struct sts_query *query;

	TAILQ_FOREACH (query, &status->queries, entry) {
		if (query->arg == arg)
			query->abandoned = true;
	}
}

struct status *
status_create(struct rows *rows, struct zone *zone)
{
	struct status *status = mem_zalloc(1, sizeof(*status));

	status->rows = rows;
	status->zone = zone;
	TAILQ_INIT(&status->queries);
	return status;
}

void
status_destroy(struct status *status)
{
	struct sts_query *query, *next;

	TAILQ_FOREACH_SAFE (query, &status->queries, entry, next) {
		TAILQ_REMOVE(&status->queries, query, entry);
		free(query);
	}
	free(status);
}
