/*
 * State and cancellation of stored jobs. Each query ends exactly once, even if
 * its caller has abandoned it.
 */

#include <sys/queue.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/cells.h"
#include "entry/jobs/job_status.h"
#include "entry/jobs/row_writer.h"

struct jstat_query {
	struct job_status *jstat;
	char id[JOB_ID_LEN + 1];
	bool cancel;
	bool abandoned;
	bool row_missing;
	bool holder_has_none; /* the local cell's holder has said so */
	jstat_done_fn done;
	void *arg;
	TAILQ_ENTRY(jstat_query) entry;
};

struct job_status {
	struct rows *rows;
	struct cells *cells;
	char az[NAME_SIZE]; /* of the local cell */
	TAILQ_HEAD(, jstat_query) queries;
};

static const char *const jstat_state_names[] = {
	[JSTAT_QUEUED] = "queued",
	[JSTAT_RUNNING] = "running",
	[JSTAT_COMPLETED] = "completed",
	[JSTAT_FAILED] = "failed",
	[JSTAT_CANCELLED] = "cancelled",
	[JSTAT_NO_JOB] = "no-job",
	[JSTAT_UNKNOWN] = "not-known-now",
};

static void
jstat_finish(struct jstat_query *query, enum jstat_state job_state)
{
	jstat_done_fn done = query->abandoned ? NULL : query->done;
	void *arg = query->arg;

	log_event(LOG_LEVEL_INFO, query->cancel ? "cancel" : "state",
	    "id=%s outcome=%s caller=%s", query->id,
	    jstat_state_names[job_state],
	    done == NULL ? "disconnected" : "connected");
	TAILQ_REMOVE(&query->jstat->queries, query, entry);
	free(query);
	if (done != NULL)
		done(arg, job_state);
}

static void
jstat_cancel_done(void *arg, enum jstore_result result)
{
	const struct jstat_query *query = arg;

	switch (result) {
	case JSTORE_OK:
		jstat_finish(arg, JSTAT_CANCELLED);
		break;
	case JSTORE_NO_JOB:
		jstat_finish(arg,
		    query->row_missing ? JSTAT_NO_JOB : JSTAT_UNKNOWN);
		break;
	case JSTORE_REFUSED:
	case JSTORE_UNKNOWN:
		jstat_finish(arg, JSTAT_UNKNOWN);
		break;
	}
}

static enum jstat_state
jstat_from_record(enum jrec_state state, bool has_started)
{
	switch (state) {
	case JREC_COMPLETED:
		return JSTAT_COMPLETED;
	case JREC_FAILED:
		return JSTAT_FAILED;
	case JREC_CANCELLED:
		return JSTAT_CANCELLED;
	case JREC_ACCEPTED:
		break;
	}
	return has_started ? JSTAT_RUNNING : JSTAT_QUEUED;
}

/* The holder may be storing the job, so a missing row does not show that there
 * is none. */
static void
jstat_row_missing(struct jstat_query *query)
{
	struct job_status *jstat = query->jstat;

	query->row_missing = true;
	if (query->cancel)
		cells_cancel_stored(jstat->cells, jstat->az, query->id,
		    jstat_cancel_done, query);
	else
		jstat_finish(query,
		    query->holder_has_none ? JSTAT_NO_JOB : JSTAT_UNKNOWN);
}

static void
jstat_read_done(void *arg, enum rows_status status, const struct rows_row *rows,
    size_t nrows, bool more)
{
	struct jstat_query *query = arg;
	struct job_record record;
	enum jrec_state state;

	(void)more;
	if (status != ROWS_OK) {
		jstat_finish(query, JSTAT_UNKNOWN);
		return;
	}
	if (nrows == 0 || strcmp(rows[0].key, query->id) != 0) {
		jstat_row_missing(query);
		return;
	}
	if (jrec_parse(&record, rows[0].value, rows[0].value_len) == -1) {
		jstat_finish(query, JSTAT_UNKNOWN);
		return;
	}
	state = record.state;
	if (query->cancel && state == JREC_ACCEPTED)
		cells_cancel_stored(query->jstat->cells, record.az, query->id,
		    jstat_cancel_done, query);
	else /* the row does not say whether a task has started */
		jstat_finish(query,
		    query->cancel ? JSTAT_CANCELLED
				  : jstat_from_record(state, true));
	jrec_release(&record);
}

static void
jstat_read_row(struct jstat_query *query)
{
	struct rows *rows = query->jstat->rows;

	rows->ops->read(rows, rowwr_partition(query->id), query->id, 1,
	    jstat_read_done, query);
}

/* The local cell's holder reports the state of its own jobs; the state of other
 * jobs is read from the store. */
static void
jstat_holder_state_done(void *arg, enum jstore_result result,
    enum jrec_state state, bool has_started)
{
	struct jstat_query *query = arg;

	query->holder_has_none = result == JSTORE_NO_JOB;
	if (result == JSTORE_OK)
		jstat_finish(query, jstat_from_record(state, has_started));
	else
		jstat_read_row(query);
}

static void
jstat_start(struct job_status *jstat, const char *id, bool cancel,
    jstat_done_fn done, void *arg)
{
	struct jstat_query *query = mem_zalloc(1, sizeof(*query));

	query->jstat = jstat;
	strlcpy(query->id, id, sizeof(query->id));
	query->cancel = cancel;
	query->done = done;
	query->arg = arg;
	TAILQ_INSERT_TAIL(&jstat->queries, query, entry);
	if (cancel)
		jstat_read_row(query);
	else
		cells_job_state(jstat->cells, id, jstat_holder_state_done,
		    query);
}

void
jstat_get(struct job_status *jstat, const char *id, jstat_done_fn done,
    void *arg)
{
	jstat_start(jstat, id, false, done, arg);
}

void
jstat_cancel(struct job_status *jstat, const char *id, jstat_done_fn done,
    void *arg)
{
	jstat_start(jstat, id, true, done, arg);
}

void
jstat_abandon(struct job_status *jstat, const void *arg)
{
	struct jstat_query *query;

	TAILQ_FOREACH (query, &jstat->queries, entry) {
		if (query->arg == arg)
			query->abandoned = true;
	}
}

struct job_status *
jstat_create(struct rows *rows, struct cells *cells, const char *az)
{
	struct job_status *jstat = mem_zalloc(1, sizeof(*jstat));

	jstat->rows = rows;
	jstat->cells = cells;
	strlcpy(jstat->az, az, sizeof(jstat->az));
	TAILQ_INIT(&jstat->queries);
	return jstat;
}

void
jstat_destroy(struct job_status *jstat)
{
	struct jstat_query *query, *next;

	TAILQ_FOREACH_SAFE (query, &jstat->queries, entry, next) {
		TAILQ_REMOVE(&jstat->queries, query, entry);
		free(query);
	}
	free(jstat);
}
