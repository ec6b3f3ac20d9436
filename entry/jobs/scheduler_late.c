/*
 * Start orders without a reply. The server may execute one long after it was
 * sent. It does not do so after a stop of the run or under a higher token, but
 * if it restarts under its id, its next process knows of neither, and takes the
 * order's deadline, which is on the clock of the former process, for a long
 * one. So each process that lists its runs is sent stops of these, too, unless
 * the start is ordered again there (scheduler_restart.c).
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
/* A call without a reply is executed by then, or not at all. */
#define SCHED_LATE_CALL_MS 15000
/* The oldest one is dropped then. */
#define SCHED_LATE_STARTS_MAX 256

static void
sched_late_free(struct sched_server *server, struct sched_late_start *late)
{
	TAILQ_REMOVE(&server->late_starts, late, entry);
	server->nlate_starts--;
	free(late);
}

static struct sched_late_start *
sched_late_find(const struct sched_server *server, const char *task,
    uint64_t run_id)
{
	struct sched_late_start *late;

	TAILQ_FOREACH (late, &server->late_starts, entry) {
		if (late->run_id == run_id && strcmp(late->task, task) == 0)
			return late;
	}
	return NULL;
}

void
sched_late_add(struct sched_server *server, const char *task, uint64_t run_id,
    uint64_t sent_us, uint64_t process_started_ms)
{
	struct sched_late_start *late = sched_late_find(server, task, run_id);

	if (late != NULL)
		sched_late_free(server, late);
	if (server->nlate_starts == SCHED_LATE_STARTS_MAX)
		sched_late_free(server, TAILQ_FIRST(&server->late_starts));
	late = mem_zalloc(1, sizeof(*late));
	strlcpy(late->task, task, sizeof(late->task));
	late->run_id = run_id;
	late->expires_us = sent_us + SCHED_LATE_CALL_MS * SCHED_US_PER_MS;
	late->process_started_ms = process_started_ms;
	TAILQ_INSERT_TAIL(&server->late_starts, late, entry);
	server->nlate_starts++;
	sched_pending_start(server->sched, task, late->expires_us);
}

void
sched_late_expire(struct sched_server *server, uint64_t now_us)
{
	struct sched_late_start *late, *next;

	TAILQ_FOREACH_SAFE (late, &server->late_starts, entry, next) {
		if (late->expires_us > now_us)
			return;
		sched_late_free(server, late);
	}
}

void
sched_late_clear(struct sched_server *server)
{
	struct sched_late_start *late, *next;

	TAILQ_FOREACH_SAFE (late, &server->late_starts, entry, next)
		sched_late_free(server, late);
}

void
sched_late_move(struct sched_server *to, struct sched_server *from)
{
	TAILQ_CONCAT(&to->late_starts, &from->late_starts, entry);
	to->nlate_starts += from->nlate_starts;
	from->nlate_starts = 0;
}

void
sched_late_told(struct sched_server *server, const char *task, uint64_t run_id)
{
	struct sched_late_start *late = sched_late_find(server, task, run_id);

	if (late != NULL)
		late->process_started_ms = server->incarnation_start_ms;
}

bool
sched_late_ordered(const struct sched_server *server, const char *task,
    uint64_t run_id)
{
	return sched_late_find(server, task, run_id) != NULL;
}

static bool
sched_late_is_listed(const struct sched_late_start *late,
    const struct worker_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->nrunning; i++) {
		if (reply->running[i].run_id == late->run_id &&
		    strcmp(reply->running[i].task, late->task) == 0)
			return true;
	}
	return false;
}

void
sched_late_stop_all(struct sched_server *server,
    const struct worker_reply *reply)
{
	struct sched_late_start *late;
	struct sched_task *task;

	TAILQ_FOREACH (late, &server->late_starts, entry) {
		if (late->process_started_ms == server->incarnation_start_ms ||
		    sched_late_is_listed(late, reply))
			continue;
		task = sched_task_find(server->sched, late->task);
		if (task != NULL && task->server == server &&
		    task->run_id == late->run_id && sched_start_is_bound(task))
			continue;
		if (task == NULL || task->server != server ||
		    task->run_id != late->run_id ||
		    task->state == SCHED_TASK_DONE) {
			sched_orphan_expect(server, late->task, late->run_id);
			continue;
		}
		/* What a former process has confirmed does not hold for this
		 * one.
		 */
		task->start_confirmed = task->stop_confirmed = false;
		if (task->state != SCHED_TASK_STOPPING)
			sched_run_stop(task);
	}
}
