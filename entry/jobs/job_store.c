/*
 * Stored jobs of the cell that this host holds.
 */

#include <event2/event.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/job_json.h"
#include "entry/jobs/job_store_internal.h"

#define KPR_STATUS_MS 150000 /* an ended job is known for so long */
#define KPR_SWEEP_MS 5000
#define KPR_SCHEDULE_MS 20 /* a job's time is late by no more */
#define KPR_JOBS_MAX 20000
/* An end that is under way reaches the store within about 30 ms; who asks for
 * the state is spared another call. */
#define KPR_END_WAIT_MS 50

static size_t
kpr_bucket(const char *id)
{
	return (size_t)strtoull(id, NULL, 16) % KPR_BUCKETS;
}

struct kpr_job *
kpr_find(const struct keeper *keeper, const char *id)
{
	struct kpr_job *job;

	LIST_FOREACH (job, &keeper->buckets[kpr_bucket(id)], hash) {
		if (strcmp(job->id, id) == 0)
			return job;
	}
	return NULL;
}

struct kpr_job *
kpr_enter(struct keeper *keeper, const char *id)
{
	struct kpr_job *job = mem_zalloc(1, sizeof(*job));

	job->keeper = keeper;
	strlcpy(job->id, id, sizeof(job->id));
	TAILQ_INIT(&job->waiters);
	TAILQ_INSERT_TAIL(&keeper->jobs, job, entry);
	LIST_INSERT_HEAD(&keeper->buckets[kpr_bucket(id)], job, hash);
	keeper->njobs++;
	return job;
}

static void
kpr_waiter_free(struct kpr_waiter *waiter)
{
	TAILQ_REMOVE(&waiter->job->waiters, waiter, entry);
	if (waiter->timer != NULL)
		event_free(waiter->timer);
	free(waiter);
}

/* Also between two of its max_runs. */
static bool
kpr_has_begun(const struct kpr_job *job)
{
	return job->nended > 0 ||
	    sched_job_has_started(job->keeper->holder, job->id);
}

static void
kpr_waiter_answer(struct kpr_waiter *waiter, enum keeper_result result)
{
	const struct kpr_job *job = waiter->job;
	enum record_state state = job->record.state;
	bool begun = kpr_has_begun(job);
	keeper_state_fn tell_state = waiter->state;
	keeper_done_fn done = waiter->done;
	void *arg = waiter->arg;

	kpr_waiter_free(waiter);
	if (tell_state != NULL)
		tell_state(arg, result, state, begun);
	else
		done(arg, result);
}

/* Answers those who wait for values up to @seq. */
static void
kpr_answer(struct kpr_job *job, uint64_t seq, enum keeper_result result)
{
	struct kpr_waiter *waiter, *next;

	TAILQ_FOREACH_SAFE (waiter, &job->waiters, entry, next) {
		if (waiter->seq <= seq)
			kpr_waiter_answer(waiter, result);
	}
}

static void
kpr_free(struct kpr_job *job)
{
	kpr_stop(job);
	kpr_answer(job, UINT64_MAX, KEEPER_UNKNOWN);
	TAILQ_REMOVE(&job->keeper->jobs, job, entry);
	LIST_REMOVE(job, hash);
	job->keeper->njobs--;
	record_release(&job->record);
	free(job->times);
	free(job);
}

static struct kpr_waiter *
kpr_wait(struct kpr_job *job, uint64_t seq, keeper_done_fn done, void *arg)
{
	struct kpr_waiter *waiter = mem_zalloc(1, sizeof(*waiter));

	waiter->job = job;
	waiter->seq = seq;
	waiter->done = done;
	waiter->arg = arg;
	TAILQ_INSERT_TAIL(&job->waiters, waiter, entry);
	return waiter;
}

static uint64_t
kpr_store(struct kpr_job *job)
{
	size_t len;
	char *value = record_render(&job->record, &len);
	uint64_t seq;

	seq = ledger_put(job->keeper->ledger, job->id, value, len);
	free(value);
	job->newest_seq = seq;
	return seq;
}

uint64_t
kpr_end(struct kpr_job *job, enum record_state state)
{
	struct kpr_waiter *waiter;

	if (job->record.state != RECORD_ACCEPTED)
		return job->ended_seq;
	job->record.state = state;
	job->record.ended_ms = clock_wall_ms(job->keeper->clock);
	job->ended_seq = kpr_store(job);
	TAILQ_FOREACH (waiter, &job->waiters, entry) {
		if (waiter->seq != KPR_SEQ_END)
			continue;
		waiter->seq = job->ended_seq;
		(void)event_del(waiter->timer);
	}
	return job->ended_seq;
}

/* Accepting */

void
keeper_accept(struct keeper *keeper, struct sched_request *request,
    const char *body, size_t len, keeper_done_fn done, void *arg)
{
	struct kpr_job *job = kpr_find(keeper, request->spec.id);
	uint32_t ntasks;

	if (job != NULL) {
		if (job->stored)
			done(arg, KEEPER_OK);
		else
			(void)kpr_wait(job, 1, done, arg);
		job_spec_release(&request->spec);
		return;
	}
	if (!keeper->held || keeper->njobs >= KPR_JOBS_MAX) {
		/* It may have been stored before, by another scheduler. */
		done(arg, KEEPER_UNKNOWN);
		job_spec_release(&request->spec);
		return;
	}
	/* Of a job sent again it can't be said that it is not stored. */
	if (!request->resubmitted &&
	    ledger_delay_ms(keeper->ledger, request->spec.id) >
		request->timeout_ms) {
		done(arg, KEEPER_REFUSED);
		job_spec_release(&request->spec);
		return;
	}
	job = kpr_enter(keeper, request->spec.id);
	strlcpy(job->record.az, keeper->az, NAME_SIZE);
	job->record.queue = request->queue;
	job->record.body = mem_strndup(body, len);
	job->record.body_len = len;
	ntasks = request->spec.ntasks * request->spec.max_runs;
	job->record.ntasks = ntasks;
	job->record.done = mem_zalloc(ntasks, 1);
	job->record.fails = mem_zalloc(ntasks, 1);
	job->record.failed_runs =
	    mem_zalloc(ntasks, sizeof(*job->record.failed_runs));
	/* Tells this acceptance from one by another host. */
	job->record.nonce = clock_now_us(keeper->clock);
	(void)kpr_wait(job, kpr_store(job), done, arg);
	job_spec_release(&request->spec);
}

static void
kpr_stored(void *arg, const char *id, uint64_t seq)
{
	struct keeper *keeper = arg;
	struct kpr_job *job = kpr_find(keeper, id);
	bool first;

	if (job == NULL)
		return;
	first = !job->stored;
	job->stored = true;
	job->stored_seq = seq;
	if (first)
		log_event(LOG_LEVEL_INFO, "job-stored", "id=%s queue=%s", id,
		    job->record.queue.name);
	kpr_answer(job, seq, KEEPER_OK);
	sched_progress_stored(keeper->holder, id, seq);
	if (first && job->record.state == RECORD_ACCEPTED)
		kpr_start(job, false);
}

void
kpr_accepted_before(struct kpr_job *job)
{
	ledger_forget(job->keeper->ledger, job->id);
	kpr_answer(job, UINT64_MAX, KEEPER_OK);
	kpr_free(job);
}

/* Another cell has this job: this one's rows were all read before. */
static void
kpr_exists(void *arg, const char *id, const char *value, size_t len)
{
	struct kpr_job *job = kpr_find(arg, id);

	(void)value;
	(void)len;
	if (job != NULL)
		kpr_accepted_before(job);
}

static void
kpr_refused(void *arg, const char *id)
{
	struct kpr_job *job = kpr_find(arg, id);

	if (job == NULL)
		return;
	kpr_answer(job, UINT64_MAX, KEEPER_REFUSED);
	kpr_free(job);
}

static void
kpr_lost(void *arg, const char *id)
{
	struct keeper *keeper = arg;
	struct kpr_job *job = kpr_find(keeper, id);

	if (job == NULL)
		return;
	kpr_free(job);
}

static void
kpr_fenced(void *arg)
{
	struct keeper *keeper = arg;

	keeper->fenced(keeper->fenced_arg);
}

uint64_t
keeper_progress(void *arg, const char *id, uint32_t task, uint64_t run_id,
    bool done)
{
	struct kpr_job *job = kpr_find(arg, id);

	if (job == NULL || task >= job->record.ntasks)
		return 0;
	/* Nobody runs a job again whose end is stored. */
	if (job->ended_seq != 0 && job->ended_seq <= job->stored_seq)
		return 0;
	if (done) {
		job->record.done[task] = 1;
	} else {
		if (job->record.fails[task] < UINT8_MAX)
			job->record.fails[task]++;
		if (run_id > job->record.failed_runs[task])
			job->record.failed_runs[task] = run_id;
	}
	return kpr_store(job);
}

uint64_t
keeper_unstored(void *arg, const char *id)
{
	const struct kpr_job *job = kpr_find(arg, id);

	return job == NULL || job->newest_seq <= job->stored_seq
	    ? 0
	    : job->newest_seq;
}

/* What to say of a job that is not known to be stored; @job may be NULL. */
static enum keeper_result
kpr_missing(const struct keeper *keeper, const struct kpr_job *job)
{
	return job == NULL && keeper->held && keeper->parts_left == 0
	    ? KEEPER_NO_JOB
	    : KEEPER_UNKNOWN;
}

void
keeper_cancel(struct keeper *keeper, const char *id, keeper_done_fn done,
    void *arg)
{
	struct kpr_job *job = kpr_find(keeper, id);

	if (job == NULL || !job->stored) {
		done(arg, kpr_missing(keeper, job));
		return;
	}
	if (job->record.state != RECORD_ACCEPTED) {
		done(arg, KEEPER_OK);
		return;
	}
	kpr_stop(job);
	(void)kpr_wait(job, kpr_end(job, RECORD_CANCELLED), done, arg);
}

static void
kpr_wait_over(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	kpr_waiter_answer(arg, KEEPER_OK);
}

/* Answers once the job has ended, or soon if it does not. */
static void
kpr_wait_end(struct kpr_job *job, keeper_state_fn done, void *arg)
{
	const struct timeval tv = { .tv_usec = KPR_END_WAIT_MS * 1000 };
	struct kpr_waiter *waiter = kpr_wait(job, KPR_SEQ_END, NULL, arg);

	waiter->state = done;
	waiter->timer = evtimer_new(job->keeper->base, kpr_wait_over, waiter);
	if (waiter->timer == NULL || event_add(waiter->timer, &tv) == -1)
		kpr_waiter_answer(waiter, KEEPER_OK);
}

void
keeper_state(struct keeper *keeper, const char *id, keeper_state_fn done,
    void *arg)
{
	struct kpr_job *job = kpr_find(keeper, id);
	bool begun;

	if (job == NULL || !job->stored) {
		done(arg, kpr_missing(keeper, job), RECORD_ACCEPTED, false);
		return;
	}
	begun = kpr_has_begun(job);
	if (job->record.state == RECORD_ACCEPTED && begun)
		kpr_wait_end(job, done, arg);
	else if (job->ended_seq <= job->stored_seq)
		done(arg, KEEPER_OK, job->record.state, begun);
	else
		kpr_wait(job, job->ended_seq, NULL, arg)->state = done;
}

void
keeper_drop(struct keeper *keeper, const void *arg)
{
	struct kpr_waiter *waiter, *next;
	struct kpr_job *job;

	TAILQ_FOREACH (job, &keeper->jobs, entry) {
		TAILQ_FOREACH_SAFE (waiter, &job->waiters, entry, next) {
			if (waiter->arg == arg)
				kpr_waiter_free(waiter);
		}
	}
}

static void
kpr_load_tick(evutil_socket_t fd, short what, void *arg)
{
	struct kpr_load *load = arg;

	(void)fd;
	(void)what;
	if (load->keeper->held)
		kpr_load_begin(load);
}

void
keeper_begin(struct keeper *keeper, uint64_t token)
{
	uint32_t i;

	keeper_end(keeper);
	keeper->held = true;
	keeper->token = token;
	keeper->generation++;
	keeper->parts_left = ROWS_JOB_PARTS;
	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		(void)event_del(keeper->loads[i].timer);
		kpr_load_begin(&keeper->loads[i]);
	}
}

void
keeper_end(struct keeper *keeper)
{
	struct kpr_job *job, *next;

	keeper->held = false;
	ledger_forget_all(keeper->ledger);
	TAILQ_FOREACH_SAFE (job, &keeper->jobs, entry, next) {
		kpr_free(job);
	}
}

/* Ended jobs are forgotten when nobody may ask for them any more. */
static void
kpr_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct keeper *keeper = arg;
	uint64_t wall_ms = clock_wall_ms(keeper->clock);
	struct kpr_job *job, *next;

	(void)fd;
	(void)what;
	TAILQ_FOREACH_SAFE (job, &keeper->jobs, entry, next) {
		if (job->record.state == RECORD_ACCEPTED ||
		    wall_ms < job->record.ended_ms + KPR_STATUS_MS)
			continue;
		ledger_remove(keeper->ledger, job->id);
		kpr_free(job);
	}
}

static int
kpr_create_events(struct keeper *keeper)
{
	const struct timeval interval = { .tv_sec = KPR_SWEEP_MS / 1000 };
	const struct timeval schedule = { .tv_usec = KPR_SCHEDULE_MS * 1000 };
	uint32_t i;

	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		keeper->loads[i].keeper = keeper;
		keeper->loads[i].part = i;
		keeper->loads[i].timer =
		    evtimer_new(keeper->base, kpr_load_tick, &keeper->loads[i]);
		if (keeper->loads[i].timer == NULL)
			return -1;
	}
	keeper->sweep =
	    event_new(keeper->base, -1, EV_PERSIST, kpr_sweep, keeper);
	keeper->schedule =
	    event_new(keeper->base, -1, EV_PERSIST, kpr_submit_due, keeper);
	if (keeper->sweep == NULL || keeper->schedule == NULL ||
	    event_add(keeper->schedule, &schedule) == -1)
		return -1;
	return event_add(keeper->sweep, &interval);
}

struct keeper *
keeper_create(struct event_base *base, struct clock *clock, struct rows *rows,
    struct scheduler *holder, const char *az, keeper_fenced_fn fenced,
    void *arg)
{
	const struct ledger_listener listener = {
		.stored = kpr_stored,
		.exists = kpr_exists,
		.refused = kpr_refused,
		.lost = kpr_lost,
		.fenced = kpr_fenced,
	};
	struct ledger_listener own = listener;
	struct keeper *keeper = mem_zalloc(1, sizeof(*keeper));

	keeper->base = base;
	keeper->clock = clock;
	keeper->rows = rows;
	keeper->holder = holder;
	strlcpy(keeper->az, az, NAME_SIZE);
	(void)snprintf(keeper->owner_key, sizeof(keeper->owner_key),
	    KPR_OWNER_PREFIX "%s", az);
	keeper->fenced = fenced;
	keeper->fenced_arg = arg;
	TAILQ_INIT(&keeper->jobs);
	TAILQ_INIT(&keeper->due);
	own.arg = keeper;
	keeper->ledger = ledger_create(base, clock, rows, &own);
	if (keeper->ledger == NULL || kpr_create_events(keeper) == -1) {
		keeper_destroy(keeper);
		return NULL;
	}
	return keeper;
}

void
keeper_destroy(struct keeper *keeper)
{
	uint32_t i;

	if (keeper->ledger != NULL) {
		keeper_end(keeper);
		ledger_destroy(keeper->ledger);
	}
	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		if (keeper->loads[i].timer != NULL)
			event_free(keeper->loads[i].timer);
	}
	if (keeper->sweep != NULL)
		event_free(keeper->sweep);
	if (keeper->schedule != NULL)
		event_free(keeper->schedule);
	free(keeper);
}
