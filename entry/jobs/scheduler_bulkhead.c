/*
 * Confinement of queues whose tasks crash many servers (see core/bulkhead.h).
 * Their tasks are not started on servers that are reserved for the other
 * queues, and share no server with tasks of those.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "entry/jobs/scheduler_internal.h"

/* Queues of tasks on one server that are recorded at its crash. */
#define SCHED_CRASH_QUEUES_MAX 16
/* Reserved processors, as a multiple of what the other queues use. */
#define SCHED_RESERVE_FACTOR 2
/* Time constant with which the recent maximum of their use decreases. */
#define SCHED_OTHERS_DECAY_TICKS 100

bool
sched_job_confined(const struct sched_job *job)
{
	return bulk_confined(&job->sched->bulkhead, job->queue.name);
}

bool
sched_bulkhead_admits(const struct sched_server *server, bool confined)
{
	const struct sched_task *task;

	if (!bulk_active(&server->sched->bulkhead))
		return true;
	if (confined && server->reserved)
		return false;
	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (sched_job_confined(task->job) != confined)
			return false;
	}
	return true;
}

void
sched_bulkhead_server_crashed(struct sched_server *server)
{
	const char *queues[SCHED_CRASH_QUEUES_MAX];
	const struct sched_task *task;
	size_t n = 0;

	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (n < SCHED_CRASH_QUEUES_MAX)
			queues[n++] = task->job->queue.name;
	}
	bulk_add_crash(&server->sched->bulkhead, queues, n,
	    sched_now(server->sched));
}

static bool
sched_server_away(const struct sched_server *server)
{
	return !server->held || server->refusing;
}

/* Whether half of the servers are away. */
static bool
sched_servers_scarce(const struct scheduler *sched)
{
	const struct sched_server *server;
	size_t n = 0, away = 0;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (server->removed || server->info.draining)
			continue;
		n++;
		away += sched_server_away(server);
	}
	return away * 2 >= n;
}

static int64_t
sched_task_others_cpu(const struct sched_task *task)
{
	return sched_job_confined(task->job)
	    ? 0
	    : task->job->spec.steps[task->step].cpu;
}

/* Processor use of the running and the waiting tasks of the other queues. */
static void
sched_update_others_cpu(struct scheduler *sched)
{
	const struct sched_server *server;
	const struct sched_task *task;
	int64_t cpu = 0;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		TAILQ_FOREACH (task, &server->tasks, on_server)
			cpu += sched_task_others_cpu(task);
	}
	TAILQ_FOREACH (task, &sched->waiting, waiting)
		cpu += sched_task_others_cpu(task);
	sched->others_cpu -= sched->others_cpu / SCHED_OTHERS_DECAY_TICKS;
	if (cpu > sched->others_cpu)
		sched->others_cpu = cpu;
}

static bool
sched_server_reservable(const struct sched_server *server)
{
	return !server->removed && !server->info.draining &&
	    !sched_server_away(server) && sched_bulkhead_admits(server, false);
}

/* Reserves servers for the other queues: a multiple of what these use, and half
 * of the servers at most. */
void
sched_bulkhead_reserve(struct scheduler *sched)
{
	int64_t cpu = SCHED_RESERVE_FACTOR * sched->others_cpu;
	struct sched_server *server;
	size_t n = 0;

	if (!bulk_active(&sched->bulkhead))
		return;
	TAILQ_FOREACH (server, &sched->servers, entry)
		n += !server->removed;
	n /= 2;
	TAILQ_FOREACH (server, &sched->servers, entry) {
		server->reserved =
		    n > 0 && cpu > 0 && sched_server_reservable(server);
		if (server->reserved) {
			cpu -= server->info.cpu;
			n--;
		}
	}
}

static void
sched_log_confined_queues(const struct bulkhead *bulkhead)
{
	size_t i;

	for (i = 0; i < bulkhead->nqueues; i++) {
		if (bulk_confined(bulkhead, bulkhead->queues[i]))
			log_event(LOG_LEVEL_WARN, "queue-confined",
			    "queue=%s crashes=%zu", bulkhead->queues[i],
			    bulkhead->ncrashes);
	}
	if (!bulk_active(bulkhead))
		log_event(LOG_LEVEL_WARN, "queues-released", "crashes=%zu",
		    bulkhead->ncrashes);
}

void
sched_bulkhead_update(struct scheduler *sched, uint64_t now_us)
{
	struct bulkhead *bulkhead = &sched->bulkhead;

	if (bulkhead->ncrashes == 0 && !bulk_active(bulkhead))
		return;
	if (bulk_update(bulkhead, sched_servers_scarce(sched), now_us)) {
		sched_log_confined_queues(bulkhead);
		sched->shares_updated_us = 0;
		sched->others_cpu = 0;
	}
	if (bulk_active(bulkhead)) {
		sched_update_others_cpu(sched);
		sched_bulkhead_reserve(sched);
	}
}
