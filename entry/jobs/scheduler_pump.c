/*
 * Which task starts where. Load this answers: bursts above capacity with a
 * sixth of the servers lost, and tasks that each take a third to a half of a
 * server. Jobs that can still be on time go before those that can't, by the
 * latest moment at which they must start; a job that would end prerequisites it
 * is worth anything is refused at once.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define HLD_US_PER_MS UINT64_C(1000)
#define HLD_ANSWER_MS 10 /* from an end to the submitter's answer */
#define HLD_RETRY_AFTER_MIN_MS 200
#define HLD_PACKED_PERCENT 85 /* of the servers' room that tasks can fill */
#define HLD_BACKLOG_LATE_MS \
	60 /* with more in the queue, late jobs never start */

uint32_t
hld_task_expected_ms(const struct hld_task *task)
{
	return task->job->spec.steps[task->step].estimated_ms;
}

/* The latest start with which the task's job is on time. */
static uint64_t
hld_latest_start(const struct hld_task *task)
{
	uint64_t work_us =
	    (hld_task_expected_ms(task) + HLD_ANSWER_MS) * HLD_US_PER_MS;

	if (task->job->objective_us < work_us)
		return 0;
	return task->job->objective_us - work_us;
}

/* Thousandths of a core times ms. */
static uint64_t
hld_task_work(const struct hld_task *task)
{
	return (uint64_t)task->job->spec.steps[task->step].cpu *
	    hld_task_expected_ms(task);
}

void
hld_queue(struct hld_task *task)
{
	struct holder *holder = task->job->holder;
	uint64_t latest_us = hld_latest_start(task);
	struct hld_task *other;

	task->state = HLD_WAITING;
	holder->queued_work += hld_task_work(task);
	TAILQ_FOREACH_REVERSE (other, &holder->waiting, hld_tasks, waiting) {
		if (hld_latest_start(other) <= latest_us)
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_AFTER(&holder->waiting, other, task, waiting);
	else
		TAILQ_INSERT_HEAD(&holder->waiting, task, waiting);
	hld_pump_wake(holder);
}

void
hld_dequeue(struct hld_task *task)
{
	TAILQ_REMOVE(&task->job->holder->waiting, task, waiting);
	task->job->holder->queued_work -= hld_task_work(task);
	task->state = HLD_BLOCKED;
}

void
hld_pump_wake(struct holder *holder)
{
	event_active(holder->pump, EV_TIMEOUT, 0);
}

static bool
hld_has_label(const struct hld_server *server, const char *label)
{
	size_t i;

	for (i = 0; i < server->info.nlabels; i++) {
		if (strcmp(server->info.labels[i], label) == 0)
			return true;
	}
	return false;
}

static bool
hld_server_open(const struct hld_server *server, uint64_t now_us)
{
	return server->held && !server->gone && !server->info.draining &&
	    server->misses == 0 && server->no_start_until_us <= now_us &&
	    server->ejected_until_us <= now_us &&
	    (server->eject_ms == 0 || TAILQ_EMPTY(&server->tasks)) &&
	    TAILQ_EMPTY(&server->orphans);
}

bool
hld_server_suits(const struct hld_server *server, const struct hld_task *task)
{
	const struct job_step *step = &task->job->spec.steps[task->step];

	return !server->gone && !server->info.draining &&
	    strcmp(server->info.service, task->job->queue.service) == 0 &&
	    (step->required_label[0] == '\0' ||
		hld_has_label(server, step->required_label));
}

/*
 * Tasks that fill would have to be slowed down beside tasks that serve, at the
 * latter's cost until then: the two do not share a server.
 */
static bool
hld_server_disturbs(const struct hld_server *server,
    const struct job_step *step)
{
	const struct job_step *other;
	const struct hld_task *task;

	if (!step->fills && !step->latency_sensitive)
		return false;
	TAILQ_FOREACH (task, &server->tasks, on_server) {
		other = &task->job->spec.steps[task->step];
		if ((step->fills && other->latency_sensitive) ||
		    (step->latency_sensitive && other->fills))
			return true;
	}
	return false;
}

static bool
hld_server_permits(const struct hld_server *server, const struct hld_task *task)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	const struct hld_task *other;
	uint32_t n = 0;

	if (!hld_server_suits(server, task) ||
	    hld_server_disturbs(server, step) ||
	    (task->job->advice != NULL &&
		hld_advice_ticket(task, server) == NULL))
		return false;
	if (step->per_server_max == 0)
		return true;
	TAILQ_FOREACH (other, &server->tasks, on_server) {
		if (other->job == task->job && other->step == task->step)
			n++;
	}
	return n < step->per_server_max;
}

/* What the servers (with the label @rack, if that is not NULL) offer to @task,
 * in the order of the holder's list. */
static size_t
hld_offers(struct holder *holder, const struct hld_task *task, const char *rack,
    uint64_t now_us)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	const struct hld_server *server;
	size_t n = 0;

	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (n == holder->nscratch) {
			holder->nscratch = holder->nscratch * 2 + 16;
			holder->scratch = reallocarray(holder->scratch,
			    holder->nscratch, sizeof(*holder->scratch));
			if (holder->scratch == NULL)
				abort();
		}
		holder->scratch[n++] = (struct place_server){
			.free_cpu = server->info.cpu - server->used_cpu,
			.free_mem = server->info.mem_mb - server->used_mem,
			.free_gpu = server->info.gpus - server->used_gpu,
			.speed_permille = server->speed,
			.data_local = step->preferred_rack[0] == '\0' ||
			    hld_has_label(server, step->preferred_rack),
			.eligible = hld_server_open(server, now_us) &&
			    hld_server_permits(server, task) &&
			    (rack == NULL || hld_has_label(server, rack)),
		};
	}
	return n;
}

struct hld_server *
hld_choose(struct holder *holder, const struct hld_task *task, const char *rack,
    uint64_t now_us)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	const struct place_task wanted = {
		.cpu = step->cpu,
		.mem = step->mem_mb,
		.gpu = step->gpus,
		.work_ms = hld_task_expected_ms(task),
		.remaining_ms =
		    ((int64_t)task->job->objective_us - (int64_t)now_us) /
			(int64_t)HLD_US_PER_MS -
		    HLD_ANSWER_MS,
		.far_permille = holder->params.far_permille,
		.typical_cpu = step->cpu,
	};
	size_t n = hld_offers(holder, task, rack, now_us);
	int chosen = place_choose(holder->scratch, n, &wanted);
	struct hld_server *server;

	if (chosen < 0)
		return NULL;
	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (chosen-- == 0)
			break;
	}
	return server;
}

/* Order in which room is given; ties go by the latest start in time. */
enum hld_rank {
	HLD_RANK_STARTED, /* finishing a job frees more than starting one */
	HLD_RANK_IN_TIME,
	HLD_RANK_LATE,
	HLD_RANK_WORTHLESS, /* answered late, if there is room to spare */
	HLD_RANKS,
};

static enum hld_rank
hld_rank(const struct hld_task *task, uint64_t now_us)
{
	if (task->job->spec.long_running)
		return HLD_RANK_STARTED;
	if (now_us > task->job->late_us)
		return HLD_RANK_WORTHLESS;
	if (task->job->started)
		return HLD_RANK_STARTED;
	return hld_latest_start(task) >= now_us ? HLD_RANK_IN_TIME
						: HLD_RANK_LATE;
}

/* Remembers the smallest demand that found no room in this pass. */
struct hld_pass {
	uint64_t now_us;
	bool all_held; /* no run of another holder is unknown */
	uint32_t refused_cpu;
};

static void
hld_try(struct hld_task *task, struct hld_pass *pass)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	bool plain =
	    step->required_label[0] == '\0' && step->per_server_max == 0;
	struct hld_server *server;

	/* Its ends may stand in lists that were read before it was known. */
	if (task->job->stored && !task->job->holder->loaded)
		return;
	if (step->cpu >= pass->refused_cpu ||
	    (task->job->start_after_us > pass->now_us && !pass->all_held))
		return;
	if (hld_gang_member(task)) {
		hld_gang_try(task, pass->now_us);
		return;
	}
	server = hld_choose(task->job->holder, task, NULL, pass->now_us);
	if (server != NULL)
		hld_run_start(task, server);
	else if (task->job->advice != NULL)
		hld_advice_ask(task, pass->now_us);
	else if (plain)
		pass->refused_cpu = step->cpu;
}

bool
hld_all_held(const struct holder *holder)
{
	const struct hld_server *server;

	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (!server->held && !server->gone)
			return false;
	}
	return true;
}

/* After a take-over nothing starts before the servers have told their runs,
 * and the store which of them are leaving; neither is waited for long. */
static bool
hld_recovering(const struct holder *holder, uint64_t now_us)
{
	if (now_us - holder->begun_us > HLD_RECOVER_MS * HLD_US_PER_MS)
		return false;
	return !holder->fresh || !hld_all_held(holder);
}

void
hld_pump(evutil_socket_t fd, short what, void *arg)
{
	struct holder *holder = arg;
	struct hld_pass pass = { .refused_cpu = UINT32_MAX };
	struct hld_task *task, *next;
	enum hld_rank rank;

	(void)fd;
	(void)what;
	pass.now_us = hld_now(holder);
	if (holder->token == 0 || TAILQ_EMPTY(&holder->waiting) ||
	    hld_recovering(holder, pass.now_us))
		return;
	pass.all_held = holder->complete && hld_all_held(holder);
	for (rank = 0; rank < HLD_RANKS; rank++) {
		TAILQ_FOREACH_SAFE (task, &holder->waiting, waiting, next) {
			if (hld_rank(task, pass.now_us) == rank)
				hld_try(task, &pass);
		}
	}
}

/* Queues the tasks of all steps whose predecessors are done. */
void
hld_job_admit(struct hld_job *job)
{
	uint64_t done = 0;
	uint32_t i, n = 0, step, index;
	bool whole;

	for (step = 0; step < job->spec.nsteps; step++) {
		whole = true;
		for (index = 0; index < job->spec.steps[step].count; index++) {
			if (job->tasks[n + index].state != HLD_DONE)
				whole = false;
		}
		if (whole)
			done |= UINT64_C(1) << step;
		n += job->spec.steps[step].count;
	}
	for (i = 0; i < job->spec.ntasks; i++) {
		step = job->tasks[i].step;
		if (job->tasks[i].state == HLD_BLOCKED &&
		    (job->spec.steps[step].prerequisites & ~done) == 0)
			hld_queue(&job->tasks[i]);
	}
	if (job->ndone == job->spec.ntasks) {
		const struct holder_reply completed = { .result =
							    HOLDER_COMPLETED,
			.reason = "all tasks done" };

		hld_job_finish(job, &completed);
	}
}

/* Time in which the servers get through all that waits. */
uint64_t
hld_backlog_us(const struct holder *holder, uint64_t now_us)
{
	const struct hld_server *server;
	uint64_t rate = 0;

	if (holder->queued_work == 0)
		return 0;
	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (hld_server_open(server, now_us))
			rate += (uint64_t)server->info.cpu * server->speed /
			    PLACE_SPEED_NOMINAL;
	}
	rate = rate * HLD_PACKED_PERCENT / 100;
	return rate == 0 ? UINT64_MAX
			 : holder->queued_work * HLD_US_PER_MS / rate;
}

/* Work that goes before this job's keeps it from being on time. */
bool
hld_job_crowded(const struct hld_job *job)
{
	uint64_t work_us = job_critical_path_ms(&job->spec) * HLD_US_PER_MS;
	uint64_t now_us = hld_now(job->holder);

	return !job->started &&
	    now_us + hld_backlog_us(job->holder, now_us) + work_us >
	    job->objective_us;
}

/*
 * A job of which nothing was started, that can't be on time any more, and
 * that others in the queue would keep waiting: its submitter is told at once.
 */
static bool
hld_job_hopeless(const struct hld_job *job, uint64_t now_us)
{
	uint64_t work_us = job_critical_path_ms(&job->spec) * HLD_US_PER_MS;

	if (now_us + work_us / 2 >= job->late_us)
		return true;
	return now_us + work_us > job->objective_us &&
	    hld_backlog_us(job->holder, now_us) >
	    HLD_BACKLOG_LATE_MS * HLD_US_PER_MS;
}

/* Ends a job that is out of time; true if it was. */
bool
hld_job_expired(struct hld_job *job, uint64_t now_us)
{
	struct holder_reply reply = { .result = HOLDER_GAVE_UP,
		.reason = "the submitter's deadline has passed" };

	if (job->ended || job->stored)
		return false;
	if (now_us >= job->gone_us) {
		hld_job_finish(job, &reply);
		return true;
	}
	if (job->started || !hld_job_hopeless(job, now_us))
		return false;
	reply.result = HOLDER_NOT_RUN;
	reply.reason = "no room in time";
	reply.retry_after_ms = HLD_RETRY_AFTER_MIN_MS;
	hld_job_finish(job, &reply);
	return true;
}
