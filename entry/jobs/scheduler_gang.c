/*
 * Gangs: the tasks of a step that make progress only while all of them run,
 * with the same run id. They are started together or not at all. When one
 * member's run ends early, the others are stopped, and the gang is started
 * again as a whole once all have ended.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

static const struct job_step *
sched_step(const struct sched_task *task)
{
	return &task->job->spec.steps[task->step];
}

bool
sched_gang_member(const struct sched_task *task)
{
	return sched_step(task)->gang;
}

/* The first task of the gang; the others follow it in the array of tasks. */
static struct sched_task *
sched_gang_first(struct sched_task *task)
{
	return task - task->index;
}

uint32_t
sched_gang_failures(struct sched_task *task)
{
	const struct sched_task *first = sched_gang_first(task);
	uint32_t i, n = 0;

	if (!sched_gang_member(task))
		return task->failures;
	for (i = 0; i < sched_step(task)->count; i++)
		n += first[i].failures;
	return n;
}

static void
sched_reserve(struct sched_task *task, struct sched_server *server)
{
	const struct job_step *step = sched_step(task);

	server->used_cpu += step->cpu;
	server->used_mem += step->mem_mb;
	server->used_gpu += step->gpus;
	TAILQ_INSERT_TAIL(&server->tasks, task, on_server);
}

static void
sched_unreserve(struct sched_task *task, struct sched_server *server)
{
	const struct job_step *step = sched_step(task);

	server->used_cpu -= step->cpu;
	server->used_mem -= step->mem_mb;
	server->used_gpu -= step->gpus;
	TAILQ_REMOVE(&server->tasks, task, on_server);
}

/* Finds a server for each member, on the rack with the label @rack if that is
 * not NULL. Return: false if one of the members has none. */
static bool
sched_gang_place(struct sched_task *first, struct sched_server **placement,
    const char *rack, uint64_t now_us)
{
	struct scheduler *sched = first->job->sched;
	uint32_t i, n = sched_step(first)->count, found;

	for (found = 0; found < n; found++) {
		placement[found] =
		    sched_choose_server(sched, &first[found], rack, now_us);
		if (placement[found] == NULL)
			break;
		sched_reserve(&first[found], placement[found]);
	}
	for (i = 0; i < found; i++)
		sched_unreserve(&first[i], placement[i]);
	return found == n;
}

/* Like sched_gang_place(), but a gang that is slower on two racks is placed on
 * one rack if any rack has enough free resources for all members. The preferred
 * rack is tried first. */
static bool
sched_gang_place_on_rack(struct sched_task *first,
    struct sched_server **placement, uint64_t now_us)
{
	const struct job_step *step = sched_step(first);
	const struct sched_server *server;

	if (!step->same_rack)
		return sched_gang_place(first, placement, NULL, now_us);
	if (step->preferred_rack[0] != '\0' &&
	    sched_gang_place(first, placement, step->preferred_rack, now_us))
		return true;
	TAILQ_FOREACH (server, &first->job->sched->servers, entry) {
		if (server->info.rack[0] != '\0' &&
		    sched_gang_place(first, placement, server->info.rack,
			now_us))
			return true;
	}
	return sched_gang_place(first, placement, NULL, now_us);
}

/* Whether all members are waiting, so that all their earlier runs have ended.
 */
static bool
sched_gang_ready(const struct sched_task *first)
{
	uint32_t i;

	for (i = 0; i < sched_step(first)->count; i++) {
		if (first[i].state != SCHED_TASK_WAITING)
			return false;
	}
	return true;
}

void
sched_gang_try_start(struct sched_task *task, uint64_t now_us)
{
	struct sched_task *first = sched_gang_first(task);
	uint32_t i, n = sched_step(task)->count, runs = 0;
	struct sched_server **placement;

	if (task != first || !sched_gang_ready(first))
		return;
	placement = mem_zalloc(n, sizeof(struct sched_server *));
	if (sched_gang_place_on_rack(first, placement, now_us)) {
		for (i = 0; i < n; i++) {
			if (first[i].runs > runs)
				runs = first[i].runs;
		}
		for (i = 0; i < n; i++) {
			first[i].runs = runs;
			sched_run_start(&first[i], placement[i]);
		}
	} else if (first->job->advice != NULL) {
		sched_advice_request(first, now_us);
	}
	free(placement);
}

void
sched_gang_done(struct sched_task *task)
{
	struct sched_task *first = sched_gang_first(task);
	struct sched_job *job = task->job;
	uint32_t i;

	for (i = 0; i < sched_step(task)->count; i++) {
		if (first[i].state == SCHED_TASK_DONE)
			continue;
		if (first[i].state == SCHED_TASK_WAITING)
			sched_task_dequeue(&first[i]);
		if (&first[i] != task)
			(void)sched_record_run_end(&first[i], task->run_id,
			    true);
		first[i].state = SCHED_TASK_DONE;
		job->ndone++;
	}
	if (job->ended)
		sched_job_release_ended(job);
	else
		sched_job_advance(job);
}

/* Whether some members run while another one does not, or runs with another
 * run id. */
static bool
sched_gang_incomplete(const struct sched_task *first)
{
	const struct sched_task *running = NULL;
	bool member_missing = false;
	uint32_t i;

	for (i = 0; i < sched_step(first)->count; i++) {
		switch (first[i].state) {
		case SCHED_TASK_STARTING:
		case SCHED_TASK_RUNNING:
			if (running != NULL &&
			    running->run_id != first[i].run_id)
				member_missing = true;
			running = &first[i];
			break;
		case SCHED_TASK_BLOCKED:
		case SCHED_TASK_WAITING:
		case SCHED_TASK_STOPPING:
			member_missing = true;
			break;
		case SCHED_TASK_DONE:
			break;
		}
	}
	return member_missing && running != NULL;
}

static void
sched_gang_stop(struct sched_task *first)
{
	uint32_t i;

	log_event(LOG_LEVEL_INFO, "gang-incomplete",
	    "id=%s step=%" PRIu32 " run=%" PRIu64, first->job->spec.id,
	    first->step, first->run_id);
	for (i = 0; i < sched_step(first)->count; i++) {
		if (first[i].state == SCHED_TASK_STARTING ||
		    first[i].state == SCHED_TASK_RUNNING)
			sched_run_stop(&first[i]);
	}
}

/*
 * Whether runs of the gang may be unknown after a take-over. Until all servers
 * have listed their runs, or all earlier leases have expired, the missing
 * members of a gang may be running.
 */
static bool
sched_gang_discovery_pending(const struct sched_job *job)
{
	const struct scheduler *sched = job->sched;

	return sched_job_awaits_leases(job, sched_now(sched)) &&
	    !sched_all_runs_known(sched);
}

void
sched_gang_check(struct sched_job *job)
{
	struct sched_task *task = job->tasks;
	uint32_t step;

	for (step = 0; step < job->spec.nsteps; step++) {
		if (job->spec.steps[step].gang &&
		    !sched_gang_discovery_pending(job) &&
		    sched_gang_incomplete(task))
			sched_gang_stop(task);
		task += job->spec.steps[step].count;
	}
}
