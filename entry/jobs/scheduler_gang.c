/*
 * Gangs: the tasks of a step that work only while all of them run, under one
 * number. They start together or not at all; when one is lost the others are
 * stopped, and once all are over the gang starts anew.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

static const struct job_step *
hld_step(const struct hld_task *task)
{
	return &task->job->spec.steps[task->step];
}

bool
hld_gang_member(const struct hld_task *task)
{
	return hld_step(task)->gang;
}

/* The first task of the gang; the others follow it. */
static struct hld_task *
hld_gang_first(struct hld_task *task)
{
	return task - task->index;
}

uint32_t
hld_gang_fails(struct hld_task *task)
{
	const struct hld_task *first = hld_gang_first(task);
	uint32_t i, n = 0;

	if (!hld_gang_member(task))
		return task->fails;
	for (i = 0; i < hld_step(task)->count; i++)
		n += first[i].fails;
	return n;
}

static void
hld_reserve(struct hld_task *task, struct hld_server *server)
{
	const struct job_step *step = hld_step(task);

	server->used_cpu += step->cpu;
	server->used_mem += step->mem_mb;
	server->used_gpu += step->gpus;
	TAILQ_INSERT_TAIL(&server->tasks, task, on_server);
}

static void
hld_unreserve(struct hld_task *task, struct hld_server *server)
{
	const struct job_step *step = hld_step(task);

	server->used_cpu -= step->cpu;
	server->used_mem -= step->mem_mb;
	server->used_gpu -= step->gpus;
	TAILQ_REMOVE(&server->tasks, task, on_server);
}

/* Finds room for all members. Return: false if there is none for one. */
static bool
hld_gang_place(struct hld_task *first, struct hld_server **places,
    const char *rack, uint64_t now_us)
{
	struct holder *holder = first->job->holder;
	uint32_t i, n = hld_step(first)->count, found;

	for (found = 0; found < n; found++) {
		places[found] = hld_choose(holder, &first[found], rack, now_us);
		if (places[found] == NULL)
			break;
		hld_reserve(&first[found], places[found]);
	}
	for (i = 0; i < found; i++)
		hld_unreserve(&first[i], places[i]);
	return found == n;
}

/* A gang that is slower on two racks goes to one that has room for all. */
static bool
hld_gang_place_near(struct hld_task *first, struct hld_server **places,
    uint64_t now_us)
{
	const struct job_step *step = hld_step(first);
	const struct hld_server *server;

	if (!step->same_rack)
		return hld_gang_place(first, places, NULL, now_us);
	if (step->preferred_rack[0] != '\0' &&
	    hld_gang_place(first, places, step->preferred_rack, now_us))
		return true;
	TAILQ_FOREACH (server, &first->job->holder->servers, entry) {
		if (server->info.rack[0] != '\0' &&
		    hld_gang_place(first, places, server->info.rack, now_us))
			return true;
	}
	return hld_gang_place(first, places, NULL, now_us);
}

/* Do all members wait, with none of the last runs left? */
static bool
hld_gang_waits(const struct hld_task *first)
{
	uint32_t i;

	for (i = 0; i < hld_step(first)->count; i++) {
		if (first[i].state != HLD_WAITING)
			return false;
	}
	return true;
}

void
hld_gang_try(struct hld_task *task, uint64_t now_us)
{
	struct hld_task *first = hld_gang_first(task);
	uint32_t i, n = hld_step(task)->count, runs = 0;
	struct hld_server **places;

	if (task != first || !hld_gang_waits(first))
		return;
	places = mem_zalloc(n, sizeof(struct hld_server *));
	if (hld_gang_place_near(first, places, now_us)) {
		for (i = 0; i < n; i++) {
			if (first[i].runs > runs)
				runs = first[i].runs;
		}
		for (i = 0; i < n; i++) {
			first[i].runs = runs;
			hld_run_start(&first[i], places[i]);
		}
	} else if (first->job->advice != NULL) {
		hld_advice_ask(first, now_us);
	}
	free(places);
}

void
hld_gang_done(struct hld_task *task)
{
	struct hld_task *first = hld_gang_first(task);
	struct hld_job *job = task->job;
	uint32_t i;

	for (i = 0; i < hld_step(task)->count; i++) {
		if (first[i].state == HLD_DONE)
			continue;
		if (first[i].state == HLD_WAITING)
			hld_dequeue(&first[i]);
		if (&first[i] != task)
			(void)hld_tell_progress(&first[i], task->run_id, true);
		first[i].state = HLD_DONE;
		job->ndone++;
	}
	if (job->ended)
		hld_job_release_ended(job);
	else
		hld_job_admit(job);
}

/* Some run while another one waits, or runs under another number. */
static bool
hld_gang_broken(const struct hld_task *first)
{
	const struct hld_task *running = NULL;
	bool lost = false;
	uint32_t i;

	for (i = 0; i < hld_step(first)->count; i++) {
		switch (first[i].state) {
		case HLD_STARTING:
		case HLD_RUNNING:
			if (running != NULL &&
			    running->run_id != first[i].run_id)
				lost = true;
			running = &first[i];
			break;
		case HLD_BLOCKED:
		case HLD_WAITING:
		case HLD_STOPPING:
			lost = true;
			break;
		case HLD_DONE:
			break;
		}
	}
	return lost && running != NULL;
}

static void
hld_gang_stop(struct hld_task *first)
{
	uint32_t i;

	log_event(LOG_LEVEL_INFO, "gang-broken",
	    "id=%s step=%" PRIu32 " run=%" PRIu64, first->job->spec.id,
	    first->step, first->run_id);
	for (i = 0; i < hld_step(first)->count; i++) {
		if (first[i].state == HLD_STARTING ||
		    first[i].state == HLD_RUNNING)
			hld_run_stop(&first[i]);
	}
}

/*
 * After a take-over a run may not have been found yet: until all servers have
 * told theirs, or their leases have ended, a gang may be whole.
 */
static bool
hld_gang_may_be_found(const struct hld_job *job)
{
	const struct holder *holder = job->holder;

	return job->start_after_us > hld_now(holder) &&
	    !(holder->complete && hld_all_held(holder));
}

void
hld_gang_check(struct hld_job *job)
{
	struct hld_task *task = job->tasks;
	uint32_t step;

	for (step = 0; step < job->spec.nsteps; step++) {
		if (job->spec.steps[step].gang && !hld_gang_may_be_found(job) &&
		    hld_gang_broken(task))
			hld_gang_stop(task);
		task += job->spec.steps[step].count;
	}
}
