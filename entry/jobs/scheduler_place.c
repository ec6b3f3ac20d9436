/*
 * The choice of a server for a task: those that accept starts, that the task
 * may run on and that have the resources for it; core/place decides among them.
 */

#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)

static bool
sched_has_label(const struct sched_server *server, const char *label)
{
	size_t i;

	for (i = 0; i < server->info.nlabels; i++) {
		if (strcmp(server->info.labels[i], label) == 0)
			return true;
	}
	return false;
}

bool
sched_server_unconfirmed(const struct sched_server *server)
{
	const struct scheduler *sched = server->sched;

	return sched->params.holder_lease_ms != 0 &&
	    server->known_us > sched->holder_lease.confirmed_us;
}

/* Whether the server has listed runs of no known job or task. */
static bool
sched_server_has_orphans(const struct sched_server *server)
{
	const struct sched_orphan *orphan;

	TAILQ_FOREACH (orphan, &server->orphans, entry) {
		if (!orphan->expected)
			return true;
	}
	return false;
}

bool
sched_server_is_usable(const struct sched_server *server, uint64_t now_us)
{
	return server->held && !server->removed && !server->info.draining &&
	    sched_lease_admits_starts(server, now_us) &&
	    server->unanswered_holds == 0 && server->nisolated == 0 &&
	    server->no_start_until_us <= now_us &&
	    server->ejected_until_us <= now_us &&
	    (server->eject_ms == 0 || TAILQ_EMPTY(&server->tasks)) &&
	    !sched_server_has_orphans(server);
}

bool
sched_server_accepts_starts(const struct sched_server *server, uint64_t now_us)
{
	return sched_server_is_usable(server, now_us) &&
	    !sched_server_unconfirmed(server);
}

/* Why the server could not run the task, or NULL: see sched_server_matches().
 */
static const char *
sched_server_mismatch(const struct sched_server *server,
    const struct sched_task *task)
{
	const struct job_step *step = &task->job->spec.steps[task->step];

	if (server->removed)
		return "the server is removed";
	if (server->info.draining)
		return "the server is draining";
	if (strcmp(server->info.service, task->job->queue.service) != 0)
		return "the server is of another service";
	if (step->required_label[0] != '\0' &&
	    !sched_has_label(server, step->required_label))
		return "the server does not have the label";
	return NULL;
}

bool
sched_server_matches(const struct sched_server *server,
    const struct sched_task *task)
{
	return sched_server_mismatch(server, task) == NULL;
}

const char *
sched_start_forbidden(const struct sched_server *server,
    const struct sched_task *task)
{
	const char *reason = sched_server_mismatch(server, task);

	if (reason == NULL && task->job->advice != NULL &&
	    sched_advice_ticket(task, server) == NULL)
		reason = "no valid ticket";
	return reason;
}

/*
 * Whether the server runs tasks that a task of @step must not share it with.
 * Filling tasks (see job_step.fills) raise the latency of latency-sensitive
 * tasks on the same server until they are throttled, so the two kinds are kept
 * on separate servers.
 */
static bool
sched_server_conflicts(const struct sched_server *server,
    const struct job_step *step)
{
	const struct job_step *other;
	const struct sched_task *task;

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

/* A suspect is started on a server of its own, or, if it has waited for one, on
 * one without other suspects. */
static bool
sched_server_isolates(const struct sched_server *server,
    const struct sched_task *task)
{
	return !task->isolate || TAILQ_EMPTY(&server->tasks) ||
	    task->isolate_until_us <= sched_now(server->sched);
}

/* Whether a run of the task ends within the server's lease, if that will not be
 * extended: the holder is not confirmed (see sched_start_deadline()). */
static bool
sched_server_lease_suffices(const struct sched_server *server,
    const struct sched_task *task)
{
	const struct scheduler *sched = server->sched;
	uint64_t run_ms = (uint64_t)sched_task_expected_ms(task) *
	    PLACE_SPEED_NOMINAL / (server->speed_permille | 1);

	if (sched->holder_confirmed)
		return true;
	return run_ms <=
	    (sched_server_vacant(server)
		    ? sched->params.lease_ms
		    : lease_remaining_ms(&server->lease, sched_now(sched)));
}

static bool
sched_server_eligible(const struct sched_server *server,
    const struct sched_task *task)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	const struct sched_task *other;
	uint32_t n = 0;

	if (sched_start_forbidden(server, task) != NULL ||
	    !sched_bulkhead_admits(server, sched_job_confined(task->job)) ||
	    sched_server_conflicts(server, step) ||
	    !sched_server_lease_suffices(server, task) ||
	    !sched_server_isolates(server, task))
		return false;
	if (step->per_server_max == 0)
		return true;
	TAILQ_FOREACH (other, &server->tasks, on_server) {
		if (other->job == task->job && other->step == task->step)
			n++;
	}
	return n < step->per_server_max;
}

/* What is required of a server beside what the task itself requires. */
struct sched_filter {
	const char *rack; /* a label that it must have; NULL: any */
	bool reserved;	  /* it must be reserved (see scheduler_bulkhead.c) */
};

/*
 * Fills the buffer of candidates with the free resources of all servers, in the
 * order of the scheduler's list. Servers that may not run @task, or are not
 * what @filter requires, are marked as not eligible.
 *
 * Return: the number of candidates.
 */
static size_t
sched_list_candidates(struct scheduler *sched, const struct sched_task *task,
    const struct sched_filter *filter, uint64_t now_us)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	uint64_t lease_end_us = sched_job_lease_end_us(task->job);
	const struct sched_server *server;
	size_t n = 0;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (n == sched->ncandidates) {
			sched->ncandidates = sched->ncandidates * 2 + 16;
			sched->candidates = reallocarray(sched->candidates,
			    sched->ncandidates, sizeof(*sched->candidates));
			if (sched->candidates == NULL)
				abort();
		}
		sched->candidates[n++] = (struct place_server){
			.free_cpu = server->info.cpu - server->used_cpu,
			.free_mem = server->info.mem_mb - server->used_mem,
			.free_gpu = server->info.gpus - server->used_gpu,
			.speed_permille = server->speed_permille,
			.data_local = step->preferred_rack[0] == '\0' ||
			    sched_has_label(server, step->preferred_rack),
			.eligible = (server->reserved || !filter->reserved) &&
			    sched_server_accepts_starts(server, now_us) &&
			    server->lease.expires_us <= lease_end_us &&
			    sched_server_eligible(server, task) &&
			    (filter->rack == NULL ||
				sched_has_label(server, filter->rack)),
		};
	}
	return n;
}

static struct sched_server *
sched_choose_filtered(struct scheduler *sched, const struct sched_task *task,
    const struct sched_filter *filter, uint64_t now_us)
{
	const struct job_step *step = &task->job->spec.steps[task->step];
	const struct place_task demand = {
		.cpu = step->cpu,
		.mem = step->mem_mb,
		.gpu = step->gpus,
		.work_ms = sched_task_expected_ms(task),
		.remaining_ms =
		    ((int64_t)task->job->objective_us - (int64_t)now_us) /
			(int64_t)SCHED_US_PER_MS -
		    SCHED_REPLY_MS,
		.far_permille = sched->params.far_permille,
		.typical_cpu = step->cpu,
	};
	size_t n = sched_list_candidates(sched, task, filter, now_us);
	int chosen = place_choose(sched->candidates, n, &demand);
	struct sched_server *server;

	if (chosen < 0)
		return NULL;
	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (chosen-- == 0)
			break;
	}
	return server;
}

struct sched_server *
sched_choose_server(struct scheduler *sched, const struct sched_task *task,
    const char *rack, uint64_t now_us)
{
	struct sched_filter filter = { .rack = rack };
	struct sched_server *server = NULL;

	/* The servers that are not reserved are left to confined queues. */
	filter.reserved =
	    bulk_active(&sched->bulkhead) && !sched_job_confined(task->job);
	if (filter.reserved)
		server = sched_choose_filtered(sched, task, &filter, now_us);
	filter.reserved = false;
	return server != NULL
	    ? server
	    : sched_choose_filtered(sched, task, &filter, now_us);
}
