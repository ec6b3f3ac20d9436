/*
 * Stored jobs of a cell: acceptance, ends of runs and jobs, and queries. Each
 * change of a job is a new value of its row; a waiter is completed when the
 * value that it waits for is stored.
 */

#include <event2/event.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/job_json.h"
#include "entry/jobs/job_store_internal.h"

/* The state of an ended job can be queried for this time. */
#define JSTORE_ENDED_RETENTION_MS 150000
#define JSTORE_SWEEP_INTERVAL_MS 5000
#define JSTORE_SCHEDULE_INTERVAL_MS 20 /* maximum delay of an occurrence */
#define JSTORE_JOBS_MAX 20000
/*
 * Maximum delay of a state query for a running job. An end that is about to
 * happen is stored within about 30 ms, so this saves the caller a second call.
 */
#define JSTORE_END_WAIT_MS 50

static size_t
jstore_bucket(const char *id)
{
	return (size_t)strtoull(id, NULL, 16) % JSTORE_BUCKETS;
}

struct jstore_job *
jstore_find_job(const struct job_store *store, const char *id)
{
	struct jstore_job *job;

	LIST_FOREACH (job, &store->buckets[jstore_bucket(id)], hash_entry) {
		if (strcmp(job->id, id) == 0)
			return job;
	}
	return NULL;
}

struct jstore_job *
jstore_add_job(struct job_store *store, const char *id)
{
	struct jstore_job *job = mem_zalloc(1, sizeof(*job));

	job->store = store;
	strlcpy(job->id, id, sizeof(job->id));
	TAILQ_INIT(&job->waiters);
	TAILQ_INSERT_TAIL(&store->jobs, job, entry);
	LIST_INSERT_HEAD(&store->buckets[jstore_bucket(id)], job, hash_entry);
	store->njobs++;
	return job;
}

static void
jstore_free_waiter(struct jstore_waiter *waiter)
{
	TAILQ_REMOVE(&waiter->job->waiters, waiter, entry);
	if (waiter->timer != NULL)
		event_free(waiter->timer);
	free(waiter);
}

/* A job counts as started between two of its occurrences. */
static bool
jstore_job_has_started(const struct jstore_job *job)
{
	return job->nended > 0 ||
	    sched_job_has_started(job->store->sched, job->id);
}

static void
jstore_complete_waiter(struct jstore_waiter *waiter, enum jstore_result result)
{
	const struct jstore_job *job = waiter->job;
	enum jrec_state state = job->record.state;
	bool has_started = jstore_job_has_started(job);
	jstore_state_fn state_fn = waiter->state_done;
	jstore_done_fn done = waiter->done;
	void *arg = waiter->arg;

	jstore_free_waiter(waiter);
	if (state_fn != NULL)
		state_fn(arg, result, state, has_started);
	else
		done(arg, result);
}

/* Completes the waiters for values up to @seq. */
static void
jstore_complete_waiters(struct jstore_job *job, uint64_t seq,
    enum jstore_result result)
{
	struct jstore_waiter *waiter, *next;

	TAILQ_FOREACH_SAFE (waiter, &job->waiters, entry, next) {
		if (waiter->seq <= seq)
			jstore_complete_waiter(waiter, result);
	}
}

static void
jstore_free_job(struct jstore_job *job)
{
	jstore_stop_job(job);
	jstore_complete_waiters(job, UINT64_MAX, JSTORE_UNKNOWN);
	TAILQ_REMOVE(&job->store->jobs, job, entry);
	LIST_REMOVE(job, hash_entry);
	job->store->njobs--;
	jrec_release(&job->record);
	free(job->occurrences);
	free(job);
}

static struct jstore_waiter *
jstore_add_waiter(struct jstore_job *job, uint64_t seq, jstore_done_fn done,
    void *arg)
{
	struct jstore_waiter *waiter = mem_zalloc(1, sizeof(*waiter));

	waiter->job = job;
	waiter->seq = seq;
	waiter->done = done;
	waiter->arg = arg;
	TAILQ_INSERT_TAIL(&job->waiters, waiter, entry);
	return waiter;
}

static uint64_t
jstore_write_job(struct jstore_job *job)
{
	size_t len;
	char *value = jrec_render(&job->record, &len);
	uint64_t seq;

	seq = rowwr_put(job->store->writer, job->id, value, len);
	free(value);
	job->newest_seq = seq;
	return seq;
}

uint64_t
jstore_end_job(struct jstore_job *job, enum jrec_state state)
{
	struct jstore_waiter *waiter;

	if (job->record.state != JREC_ACCEPTED)
		return job->ended_seq;
	job->record.state = state;
	job->record.ended_ms = clock_wall_ms(job->store->clock);
	job->ended_seq = jstore_write_job(job);
	TAILQ_FOREACH (waiter, &job->waiters, entry) {
		if (waiter->seq != JSTORE_SEQ_JOB_END)
			continue;
		waiter->seq = job->ended_seq;
		(void)event_del(waiter->timer);
	}
	return job->ended_seq;
}

void
jstore_accept(struct job_store *store, struct sched_request *request,
    const char *body, size_t len, jstore_done_fn done, void *arg)
{
	struct jstore_job *job = jstore_find_job(store, request->spec.id);
	uint32_t ntasks;

	if (job != NULL) {
		if (job->stored)
			done(arg, JSTORE_OK);
		else
			(void)jstore_add_waiter(job, 1, done, arg);
		job_spec_release(&request->spec);
		return;
	}
	if (!store->active || store->njobs >= JSTORE_JOBS_MAX) {
		/* A former lease holder may have stored it. */
		done(arg, JSTORE_UNKNOWN);
		job_spec_release(&request->spec);
		return;
	}
	/* A resubmitted job is not refused: an earlier submission of it may
	 * have been stored. */
	if (!request->resubmitted &&
	    rowwr_expected_delay_ms(store->writer, request->spec.id) >
		request->timeout_ms) {
		/* Until its partition is read, a former holder may have stored
		 * it. */
		done(arg,
		    rowwr_is_owner(store->writer, request->spec.id)
			? JSTORE_REFUSED
			: JSTORE_UNKNOWN);
		job_spec_release(&request->spec);
		return;
	}
	job = jstore_add_job(store, request->spec.id);
	strlcpy(job->record.az, store->az, NAME_SIZE);
	job->record.queue = request->queue;
	job->record.body = mem_strndup(body, len);
	job->record.body_len = len;
	ntasks = request->spec.ntasks * request->spec.max_runs;
	job->record.ntasks = ntasks;
	job->record.done = mem_zalloc(ntasks, 1);
	job->record.nfailures = mem_zalloc(ntasks, 1);
	job->record.last_failed_runs =
	    mem_zalloc(ntasks, sizeof(*job->record.last_failed_runs));
	/* Distinguishes this row value from one written by another host. */
	job->record.nonce = clock_now_us(store->clock);
	(void)jstore_add_waiter(job, jstore_write_job(job), done, arg);
	job_spec_release(&request->spec);
}

static void
jstore_row_stored(void *arg, const char *id, uint64_t seq)
{
	struct job_store *store = arg;
	struct jstore_job *job = jstore_find_job(store, id);
	bool first;

	if (job == NULL)
		return;
	first = !job->stored;
	job->stored = true;
	job->stored_seq = seq;
	if (first)
		log_event(LOG_LEVEL_INFO, "job-stored", "id=%s queue=%s", id,
		    job->record.queue.name);
	jstore_complete_waiters(job, seq, JSTORE_OK);
	sched_progress_stored(store->sched, id, seq);
	if (first && job->record.state == JREC_ACCEPTED)
		jstore_start_job(job);
}

void
jstore_finish_existing(struct jstore_job *job)
{
	rowwr_drop(job->store->writer, job->id);
	jstore_complete_waiters(job, UINT64_MAX, JSTORE_OK);
	jstore_free_job(job);
}

/* The existing row belongs to a job of another cell, because all rows of this
 * cell were read before. */
static void
jstore_row_exists(void *arg, const char *id, const char *value, size_t len)
{
	struct jstore_job *job = jstore_find_job(arg, id);

	(void)value;
	(void)len;
	if (job != NULL)
		jstore_finish_existing(job);
}

static void
jstore_row_refused(void *arg, const char *id)
{
	struct jstore_job *job = jstore_find_job(arg, id);

	if (job == NULL)
		return;
	jstore_complete_waiters(job, UINT64_MAX, JSTORE_REFUSED);
	jstore_free_job(job);
}

static void
jstore_row_lost(void *arg, const char *id)
{
	struct job_store *store = arg;
	struct jstore_job *job = jstore_find_job(store, id);

	if (job == NULL)
		return;
	jstore_free_job(job);
}

static void
jstore_fenced(void *arg)
{
	struct job_store *store = arg;

	store->fenced(store->fenced_arg);
}

uint64_t
jstore_record_run_end(void *arg, const char *id, uint32_t task, uint64_t run_id,
    bool done)
{
	struct jstore_job *job = jstore_find_job(arg, id);

	if (job == NULL || task >= job->record.ntasks)
		return 0;
	/* A job whose end is stored is never run again. */
	if (job->ended_seq != 0 && job->ended_seq <= job->stored_seq)
		return 0;
	if (done) {
		job->record.done[task] = 1;
	} else {
		if (job->record.nfailures[task] < UINT8_MAX)
			job->record.nfailures[task]++;
		if (run_id > job->record.last_failed_runs[task])
			job->record.last_failed_runs[task] = run_id;
	}
	return jstore_write_job(job);
}

uint64_t
jstore_unstored_seq(void *arg, const char *id)
{
	const struct jstore_job *job = jstore_find_job(arg, id);

	return job == NULL || job->newest_seq <= job->stored_seq
	    ? 0
	    : job->newest_seq;
}

/* The result for a job that is not known to be stored; @job may be NULL. */
static enum jstore_result
jstore_missing_result(const struct job_store *store,
    const struct jstore_job *job)
{
	return job == NULL && store->active && store->parts_unloaded == 0
	    ? JSTORE_NO_JOB
	    : JSTORE_UNKNOWN;
}

void
jstore_cancel(struct job_store *store, const char *id, jstore_done_fn done,
    void *arg)
{
	struct jstore_job *job = jstore_find_job(store, id);

	if (job == NULL || !job->stored) {
		done(arg, jstore_missing_result(store, job));
		return;
	}
	if (job->record.state == JREC_ACCEPTED) {
		jstore_stop_job(job);
		(void)jstore_end_job(job, JREC_CANCELLED);
	}
	/* Until the end is stored, a successor would run the job. */
	if (job->ended_seq <= job->stored_seq)
		done(arg, JSTORE_OK);
	else
		(void)jstore_add_waiter(job, job->ended_seq, done, arg);
}

static void
jstore_wait_timed_out(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	jstore_complete_waiter(arg, JSTORE_OK);
}

/* Calls @done when the job's end is stored, or after JSTORE_END_WAIT_MS. */
static void
jstore_wait_for_end(struct jstore_job *job, jstore_state_fn done, void *arg)
{
	const struct timeval tv = { .tv_usec = JSTORE_END_WAIT_MS * 1000 };
	struct jstore_waiter *waiter =
	    jstore_add_waiter(job, JSTORE_SEQ_JOB_END, NULL, arg);

	waiter->state_done = done;
	waiter->timer =
	    evtimer_new(job->store->base, jstore_wait_timed_out, waiter);
	if (waiter->timer == NULL || event_add(waiter->timer, &tv) == -1)
		jstore_complete_waiter(waiter, JSTORE_OK);
}

void
jstore_get_state(struct job_store *store, const char *id, jstore_state_fn done,
    void *arg)
{
	struct jstore_job *job = jstore_find_job(store, id);
	bool has_started;

	if (job == NULL || !job->stored) {
		done(arg, jstore_missing_result(store, job), JREC_ACCEPTED,
		    false);
		return;
	}
	has_started = jstore_job_has_started(job);
	if (job->record.state == JREC_ACCEPTED && has_started)
		jstore_wait_for_end(job, done, arg);
	else if (job->ended_seq <= job->stored_seq)
		done(arg, JSTORE_OK, job->record.state, has_started);
	else
		jstore_add_waiter(job, job->ended_seq, NULL, arg)->state_done =
		    done;
}

void
jstore_drop_callbacks(struct job_store *store, const void *arg)
{
	struct jstore_waiter *waiter, *next;
	struct jstore_job *job;

	TAILQ_FOREACH (job, &store->jobs, entry) {
		TAILQ_FOREACH_SAFE (waiter, &job->waiters, entry, next) {
			if (waiter->arg == arg)
				jstore_free_waiter(waiter);
		}
	}
}

static void
jstore_load_timer_fired(evutil_socket_t fd, short what, void *arg)
{
	struct jstore_load *load = arg;

	(void)fd;
	(void)what;
	if (load->store->active)
		jstore_load_part(load);
}

void
jstore_activate(struct job_store *store, uint64_t token)
{
	uint32_t i;

	jstore_deactivate(store);
	store->active = true;
	store->token = token;
	store->generation++;
	store->parts_unloaded = ROWS_JOB_PARTS;
	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		(void)event_del(store->loads[i].timer);
		jstore_load_part(&store->loads[i]);
	}
}

void
jstore_deactivate(struct job_store *store)
{
	struct jstore_job *job, *next;

	store->active = false;
	rowwr_reset(store->writer);
	TAILQ_FOREACH_SAFE (job, &store->jobs, entry, next) {
		jstore_free_job(job);
	}
}

/* Removes ended jobs, and their rows, when the retention period is over. */
static void
jstore_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct job_store *store = arg;
	uint64_t wall_ms = clock_wall_ms(store->clock);
	struct jstore_job *job, *next;

	(void)fd;
	(void)what;
	TAILQ_FOREACH_SAFE (job, &store->jobs, entry, next) {
		if (job->record.state == JREC_ACCEPTED ||
		    wall_ms < job->record.ended_ms + JSTORE_ENDED_RETENTION_MS)
			continue;
		rowwr_remove(store->writer, job->id);
		jstore_free_job(job);
	}
}

static int
jstore_create_events(struct job_store *store)
{
	const struct timeval interval = { .tv_sec =
					      JSTORE_SWEEP_INTERVAL_MS / 1000 };
	const struct timeval schedule = {
		.tv_usec = JSTORE_SCHEDULE_INTERVAL_MS * 1000
	};
	uint32_t i;

	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		store->loads[i].store = store;
		store->loads[i].part = i;
		store->loads[i].timer = evtimer_new(store->base,
		    jstore_load_timer_fired, &store->loads[i]);
		if (store->loads[i].timer == NULL)
			return -1;
	}
	store->sweep_timer =
	    event_new(store->base, -1, EV_PERSIST, jstore_sweep, store);
	store->schedule_timer =
	    event_new(store->base, -1, EV_PERSIST, jstore_submit_due, store);
	if (store->sweep_timer == NULL || store->schedule_timer == NULL ||
	    event_add(store->schedule_timer, &schedule) == -1)
		return -1;
	return event_add(store->sweep_timer, &interval);
}

struct job_store *
jstore_create(struct event_base *base, struct clock *clock, struct rows *rows,
    struct scheduler *sched, const char *az, jstore_fenced_fn fenced, void *arg)
{
	const struct rowwr_listener listener = {
		.stored = jstore_row_stored,
		.exists = jstore_row_exists,
		.refused = jstore_row_refused,
		.lost = jstore_row_lost,
		.fenced = jstore_fenced,
	};
	struct rowwr_listener store_listener = listener;
	struct job_store *store = mem_zalloc(1, sizeof(*store));

	store->base = base;
	store->clock = clock;
	store->rows = rows;
	store->sched = sched;
	strlcpy(store->az, az, NAME_SIZE);
	(void)snprintf(store->owner_key, sizeof(store->owner_key),
	    JSTORE_OWNER_KEY_PREFIX "%s", az);
	store->fenced = fenced;
	store->fenced_arg = arg;
	TAILQ_INIT(&store->jobs);
	TAILQ_INIT(&store->due);
	store_listener.arg = store;
	store->writer = rowwr_create(base, clock, rows, &store_listener);
	if (store->writer == NULL || jstore_create_events(store) == -1) {
		jstore_destroy(store);
		return NULL;
	}
	return store;
}

void
jstore_destroy(struct job_store *store)
{
	uint32_t i;

	if (store->writer != NULL) {
		jstore_deactivate(store);
		rowwr_destroy(store->writer);
	}
	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		if (store->loads[i].timer != NULL)
			event_free(store->loads[i].timer);
	}
	if (store->sweep_timer != NULL)
		event_free(store->sweep_timer);
	if (store->schedule_timer != NULL)
		event_free(store->schedule_timer);
	free(store);
}
