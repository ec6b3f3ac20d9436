/*
 * Confinement of queues whose tasks crash many servers (see core/bulkhead.h).
 * Tasks of a confined queue are started on half of the servers, and share none
 * with tasks of other queues.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "entry/jobs/scheduler_internal.h"

/* Queues of tasks on one server that are recorded at its crash. */
#define SCHED_CRASH_QUEUES_MAX 16

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
		away += !server->held || server->crash_reported;
	}
	return away * 2 >= n;
}

void
sched_bulkhead_update(struct scheduler *sched, uint64_t now_us)
{
	const struct bulkhead *bulkhead = &sched->bulkhead;
	size_t i;

	if (bulkhead->ncrashes == 0 && !bulk_active(bulkhead))
		return;
	if (!bulk_update(&sched->bulkhead, sched_servers_scarce(sched), now_us))
		return;
	sched->shares_updated_us = 0;
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
