/*
 * Creation and destruction of the engine, and admission, cancellation and
 * deadlines of submissions. An admitted submission gets exactly one answer,
 * unless the engine is destroyed first.
 */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/admission.h"
#include "core/counters.h"
#include "entry/engine_internal.h"

static struct counter eng_refused = {
	.name = "berylrail_submissions_refused_total",
	.help = "Submissions refused at admission.",
};
static struct counter eng_waiting = {
	.name = "berylrail_tasks_waiting",
	.help = "Tasks waiting for a backend server.",
	.gauge = 1,
};
static struct counter eng_waiting_bytes = {
	.name = "berylrail_tasks_waiting_bytes",
	.help = "Bytes of the bodies of waiting tasks.",
	.gauge = 1,
};
static struct counter eng_running = {
	.name = "berylrail_tasks_running",
	.help = "Tasks sent to backend servers whose call has not ended.",
	.gauge = 1,
};

static int
eng_subm_cmp(const struct eng_subm *a, const struct eng_subm *b)
{
	return strcmp(a->subm_spec->id, b->subm_spec->id);
}

RB_GENERATE(eng_subms, eng_subm, entry, eng_subm_cmp)

/* The next number of a xorshift64* generator; never 0. */
uint64_t
eng_random(struct engine *engine)
{
	uint64_t x = engine->random_state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	engine->random_state = x;
	return x * 0x2545F4914F6CDD1DULL;
}

void
eng_schedule_tick(struct engine *engine)
{
	static const struct timeval interval = {
		.tv_usec = ENG_TICK_INTERVAL_MS * 1000,
	};

	if (engine->tick_pending)
		return;
	engine->tick_pending = true;
	event_add(engine->tick, &interval);
}

static void
eng_on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct engine *engine = arg;
	uint64_t now_us = clock_now_us(engine->clock);

	(void)fd;
	(void)what;
	engine->tick_pending = false;
	eng_servers_tick(engine, now_us);
	eng_hedge_slow_calls(engine, now_us);
	eng_dispatch_all(engine);
	ctr_set(&eng_waiting, engine->nwaiting);
	ctr_set(&eng_waiting_bytes, engine->waiting_bytes);
	ctr_set(&eng_running, engine->nrunning);
	if (engine->nwaiting + engine->nrunning + engine->nejected != 0)
		eng_schedule_tick(engine);
}

/* Delivers the answers of ended submissions. They are delivered only from the
 * event loop, so that no callback is called during a call of the engine's
 * interface. */
static void
eng_on_answer_event(evutil_socket_t fd, short what, void *arg)
{
	struct engine *engine = arg;
	struct eng_subm *subm;
	struct answer *answer;
	engine_done_fn done;
	void *done_arg;

	(void)fd;
	(void)what;
	while ((subm = TAILQ_FIRST(&engine->ended)) != NULL) {
		TAILQ_REMOVE(&engine->ended, subm, ended_entry);
		eng_count_answer(subm);
		answer = subm->answer;
		done = subm->done;
		done_arg = subm->arg;
		subm->answer = NULL;
		eng_subm_free(subm);
		done(done_arg, answer);
	}
}

struct engine *
engine_create(const struct engine_params *params)
{
	struct engine *engine;
	uint64_t now_us;

	engine = calloc(1, sizeof(*engine));
	if (engine == NULL)
		return NULL;
	TAILQ_INIT(&engine->pools);
	TAILQ_INIT(&engine->ended);
	TAILQ_INIT(&engine->hedgeable);
	if (disp_policy_parse(&engine->policy, params->policy, NULL) == -1)
		goto error;
	engine->base = params->base;
	engine->clock = params->clock;
	engine->backend = params->backend;
	snprintf(engine->az, sizeof(engine->az), "%s", params->az);
	snprintf(engine->host, sizeof(engine->host), "%s", params->host);
	engine->random_state = params->seed * 2 + 1;
	engine->queue_tasks_max = params->queue_tasks_max;
	engine->queue_bytes_max = params->queue_bytes_max;
	now_us = clock_now_us(engine->clock);
	rtry_init_retries(&engine->retries, now_us);
	rtry_init_hedges(&engine->hedges, now_us);
	engine->answer_event =
	    event_new(engine->base, -1, 0, eng_on_answer_event, engine);
	engine->tick = event_new(engine->base, -1, 0, eng_on_tick, engine);
	if (engine->answer_event == NULL || engine->tick == NULL)
		goto error;
	ctr_set(&eng_waiting, 0);
	ctr_set(&eng_running, 0);
	return engine;
error:
	engine_destroy(engine);
	return NULL;
}

/* Sorts by increasing declared run time, so that the longest task is on top of
 * the stack, and among equal ones the first of the submission. */
static int
eng_pending_task_cmp(const void *a, const void *b, void *arg)
{
	const struct task_spec *tasks = arg;
	uint16_t i = *(const uint16_t *)a, j = *(const uint16_t *)b;

	if (tasks[i].run_ms != tasks[j].run_ms)
		return tasks[i].run_ms < tasks[j].run_ms ? -1 : 1;
	return i < j ? 1 : -1;
}

static void
eng_on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct eng_subm *subm = arg;
	struct err err;

	(void)fd;
	(void)what;
	err_set(&err, ERR_STEP_QUEUE, ERR_DEADLINE, subm->job->name,
	    "the deadline passed while tasks were waiting");
	eng_end_pending_tasks(subm, &err);
}

/* The shorter of the caller's and the job's time limit, from the submission on;
 * 0 if there is none. */
static uint64_t
eng_deadline_us(const struct submission *subm, const struct eng_job *job)
{
	uint64_t deadline_us = job->cfg.deadline_ms * 1000ULL;

	if (subm->timeout_us == 0)
		return deadline_us;
	if (deadline_us != 0 && deadline_us < subm->timeout_us)
		return deadline_us;
	return subm->timeout_us;
}

/*
 * Expected time until the last task of a submission of @work_us starts. Within
 * a job the submission with the least work is served first, so that only a part
 * of the job's waiting work is ahead of a small one. That work is divided by
 * the rate of the job if it is known, which requires that tasks of the job have
 * been waiting for some time. Otherwise all jobs are expected to get equal
 * shares of the servers.
 */
static double
eng_wait_us(const struct engine *engine, const struct eng_job *job,
    double work_us, double capacity)
{
	const struct ord_flow *flow = &job->flow;
	const struct order *order = &job->pool->order;
	double work_ahead_us = flow->work_us, rate;

	if (flow->nitems == 0 || flow->work_us <= 0)
		return 0;
	work_ahead_us *=
	    fmin(1.0, work_us * (double)flow->nitems / flow->work_us);
	rate = ord_flow_rate(flow, clock_now_us(engine->clock));
	if (rate > 0)
		return (work_ahead_us + work_us) / rate;
	return fmin(order->work_us, work_ahead_us * (double)order->nflows) /
	    capacity;
}

/* Estimates the times that admission control evaluates. They are lowered by one
 * standard deviation of the job's factor, so that a submission is not refused
 * because of an uncertain estimate. */
static void
eng_estimate_times(const struct engine *engine, const struct submission *subm,
    const struct eng_job *job, struct adm_input *input)
{
	const struct eng_pool *pool = job->pool;
	double capacity, best, margin, work_us, total_us = 0, longest_us = 0;
	size_t i;

	capacity = pick_capacity(&pool->pick, 0);
	best = pick_best_speed(&pool->pick, 0);
	if (capacity <= 0 || best <= 0)
		return;
	margin = exp(-sqrt(job->factor.variance));
	for (i = 0; i < subm->ntasks; i++) {
		work_us = eng_task_work_us(job, &subm->tasks[i]) * margin;
		total_us += work_us;
		longest_us = fmax(longest_us, work_us);
	}
	input->check_time = engine->policy.admit;
	input->longest_task_us = longest_us / best;
	input->run_us = fmax(input->longest_task_us, total_us / capacity);
	input->wait_us =
	    eng_wait_us(engine, job, total_us / margin, capacity) * margin;
}

static int
eng_admit(struct engine *engine, const struct submission *subm,
    const struct eng_job *job, struct err *err)
{
	struct adm_input input = {
		.job = subm->job,
		.ntasks = subm->ntasks,
		.queue_tasks = engine->nwaiting,
		.queue_tasks_max = engine->queue_tasks_max,
		.queue_bytes = engine->waiting_bytes,
		.queue_bytes_max = engine->queue_bytes_max,
		.job_tasks = job->nwaiting,
		.job_tasks_max = job->cfg.queue_tasks_max,
		.nservers = job->pool->pick.nmembers,
		.timeout_us = job->cfg.timeout_ms * 1000ULL,
		.deadline_us = eng_deadline_us(subm, job),
	};
	size_t i;

	for (i = 0; i < subm->ntasks; i++)
		input.body_bytes += subm->tasks[i].body_len;
	eng_estimate_times(engine, subm, job, &input);
	return adm_check(&input, err);
}

static struct eng_subm *
eng_subm_create(struct engine *engine, struct submission *spec,
    struct eng_job *job)
{
	struct eng_subm *subm;
	size_t i;

	subm = calloc(1, sizeof(*subm));
	if (subm == NULL)
		return NULL;
	subm->answer = subm_answer_create(spec->ntasks);
	if (subm->answer == NULL) {
		free(subm);
		return NULL;
	}
	subm->engine = engine;
	subm->subm_spec = spec;
	subm->job = job;
	subm->hedgeable = spec->single && spec->ntasks == 1 &&
	    job->cfg.repeatable && job->cfg.hedge && engine->policy.hedge;
	TAILQ_INIT(&subm->calls);
	for (i = 0; i < spec->ntasks; i++) {
		subm->pending[i] = (uint16_t)i;
		subm->waiting_bytes += spec->tasks[i].body_len;
		subm->item.work_us += eng_task_work_us(job, &spec->tasks[i]);
	}
	subm->npending = (uint16_t)spec->ntasks;
	qsort_r(subm->pending, spec->ntasks, sizeof(subm->pending[0]),
	    eng_pending_task_cmp, spec->tasks);
	return subm;
}

static void
eng_subm_enqueue(struct eng_subm *subm)
{
	struct engine *engine = subm->engine;
	struct eng_job *job = subm->job;
	uint64_t deadline_us = eng_deadline_us(subm->subm_spec, job);
	struct timeval tv = {
		.tv_sec = (time_t)(deadline_us / 1000000),
		.tv_usec = (suseconds_t)(deadline_us % 1000000),
	};

	subm->submitted_us = clock_now_us(engine->clock);
	subm->item.flow = &job->flow;
	subm->item.arrived_us = subm->submitted_us;
	subm->item.seq = engine->nsubmitted++;
	evtimer_assign(&subm->deadline, engine->base, eng_on_deadline, subm);
	if (deadline_us != 0)
		event_add(&subm->deadline, &tv);
	job->nsubms++;
	job->nwaiting += subm->npending;
	engine->nwaiting += subm->npending;
	engine->waiting_bytes += subm->waiting_bytes;
	TAILQ_INSERT_TAIL(&job->subms, subm, job_entry);
	ord_add(&job->pool->order, &subm->item);
}

int
engine_submit(struct engine *engine, struct submission *spec,
    engine_done_fn done, void *arg, struct err *err)
{
	struct eng_job key, *job;
	struct eng_subm *subm;

	snprintf(key.name, sizeof(key.name), "%s", spec->job);
	job = RB_FIND(eng_jobs, &engine->jobs, &key);
	if (job == NULL || !job->configured) {
		ctr_inc(&eng_refused);
		return err_set(err, ERR_STEP_ADMIT, ERR_NOT_FOUND, spec->job,
		    "no such job is configured");
	}
	if (eng_admit(engine, spec, job, err) == -1) {
		ctr_inc(&eng_refused);
		return -1;
	}
	subm = eng_subm_create(engine, spec, job);
	if (subm == NULL)
		return err_set(err, ERR_STEP_ADMIT, ERR_NO_MEMORY, spec->job,
		    "out of memory");
	subm->done = done;
	subm->arg = arg;
	if (RB_INSERT(eng_subms, &engine->subms, subm) != NULL) {
		subm_answer_free(subm->answer);
		free(subm);
		return err_set(err, ERR_STEP_ADMIT, ERR_CONFLICT, spec->job,
		    "a submission with this id is in progress");
	}
	eng_subm_enqueue(subm);
	eng_dispatch_pool(engine, job->pool);
	eng_schedule_tick(engine);
	return 0;
}

static struct eng_subm *
eng_subm_find(struct engine *engine, const char *id)
{
	struct submission spec;
	struct eng_subm key = { .subm_spec = &spec };

	snprintf(spec.id, sizeof(spec.id), "%s", id);
	return RB_FIND(eng_subms, &engine->subms, &key);
}

bool
engine_cancel(struct engine *engine, const char *id)
{
	struct eng_subm *subm = eng_subm_find(engine, id);
	struct err err;

	if (subm == NULL)
		return false;
	if (subm->npending != 0) {
		subm->cancelled = true;
		err_set(&err, ERR_STEP_QUEUE, ERR_CANCELLED, subm->job->name,
		    "cancelled while tasks were waiting");
		eng_end_pending_tasks(subm, &err);
	}
	return true;
}

bool
engine_progress(struct engine *engine, const char *id, size_t *ended,
    size_t *ntasks)
{
	struct eng_subm *subm = eng_subm_find(engine, id);

	if (subm == NULL)
		return false;
	*ended = subm->nended;
	*ntasks = subm->subm_spec->ntasks;
	return true;
}

size_t
engine_waiting_tasks(const struct engine *engine)
{
	return engine->nwaiting;
}

size_t
engine_active_tasks(const struct engine *engine)
{
	return engine->nwaiting + engine->nrunning;
}

void
engine_destroy(struct engine *engine)
{
	struct eng_subm *subm, *next;

	if (engine == NULL)
		return;
	engine->dispatch_suspended = true;
	for (subm = RB_MIN(eng_subms, &engine->subms); subm != NULL;
	     subm = next) {
		next = RB_NEXT(eng_subms, &engine->subms, subm);
		while (!TAILQ_EMPTY(&subm->calls))
			eng_call_cancel(TAILQ_FIRST(&subm->calls));
		if (subm->item.queued)
			ord_remove(&subm->job->pool->order, &subm->item);
		eng_subm_free(subm);
	}
	eng_config_clear(engine);
	if (engine->answer_event != NULL)
		event_free(engine->answer_event);
	if (engine->tick != NULL)
		event_free(engine->tick);
	free(engine->az_host_names);
	free(engine->az_host_ptrs);
	free(engine);
}
