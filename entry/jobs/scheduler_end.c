/*
 * Processing of ended runs: state of the task, its gang and its job, progress
 * to be stored, and the health and speed of the server.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
#define SCHED_SPEED_WEIGHT 8 /* the weight of one run in the average is 1/8 */
#define SCHED_SPEED_MAX_PERMILLE 4000

/* Records why a run of the task has ended; @cause is not copied. */
static void
sched_task_former_run(struct sched_task *task, const char *cause)
{
	task->former_run_id = task->run_id;
	task->former_end = cause;
}

/* Releases a run that ended without a final result; its task is queued again
 * unless it is done or its job has ended. */
void
sched_run_discard(struct sched_task *task, const char *cause)
{
	struct sched_job *job = task->job;
	uint64_t stopping_us = task->stopping_since_us == 0
	    ? 0
	    : sched_now(job->sched) - task->stopping_since_us;

	log_event(LOG_LEVEL_INFO, "run-discarded",
	    "id=%s task=%" PRIu32 ".%" PRIu32 " run=%" PRIu64
	    " server=%s outcome=\"%s\" stopping_ms=%" PRIu64 " job_ended=%d",
	    job->spec.id, task->step, task->index, task->run_id,
	    task->server->info.id, cause, stopping_us / SCHED_US_PER_MS,
	    job->ended ? 1 : 0);
	sched_task_former_run(task, cause);
	sched_task_unassign(task);
	if (job->ended) {
		sched_job_release_ended(job);
		return;
	}
	if (task->state == SCHED_TASK_DONE)
		return; /* another member's run completed it */
	task->state = SCHED_TASK_BLOCKED;
	/* Another holder may have known of the end before this one. */
	if (job->sched->token != 0)
		sched_orphans_adopt(job);
	if (task->state == SCHED_TASK_BLOCKED)
		sched_task_requeue(task);
}

/* Updates the moving average of the server's speed. */
static void
sched_update_speed(struct sched_task *task, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - task->start_sent_us;
	uint64_t speed = sched_task_expected_ms(task) * SCHED_US_PER_MS *
	    PLACE_SPEED_NOMINAL / (elapsed_us == 0 ? 1 : elapsed_us);
	struct sched_server *server = task->server;

	if (speed > SCHED_SPEED_MAX_PERMILLE)
		speed = SCHED_SPEED_MAX_PERMILLE;
	server->speed_permille =
	    (uint32_t)((server->speed_permille * (SCHED_SPEED_WEIGHT - 1) +
			   speed) /
		SCHED_SPEED_WEIGHT);
}

/* Ejects a server after failed runs of several different jobs without a
 * success in between, and readmits it after a success. */
static void
sched_update_server_health(struct sched_server *server,
    const struct sched_job *job, bool succeeded)
{
	uint64_t now_us = sched_now(server->sched);

	if (succeeded) {
		if (server->eject_ms != 0)
			log_event(LOG_LEVEL_WARN, "server-readmitted",
			    "server=%s", server->info.id);
		server->failed_jobs = 0;
		server->eject_ms = 0;
		return;
	}
	if (strcmp(server->last_failed_job_id, job->spec.id) == 0)
		return;
	memcpy(server->last_failed_job_id, job->spec.id, sizeof(job->spec.id));
	if (++server->failed_jobs < SCHED_EJECT_FAILED_JOBS)
		return;
	server->eject_ms =
	    server->eject_ms == 0 ? SCHED_EJECT_MIN_MS : server->eject_ms * 2;
	if (server->eject_ms > SCHED_EJECT_MAX_MS)
		server->eject_ms = SCHED_EJECT_MAX_MS;
	server->ejected_until_us = now_us + server->eject_ms * SCHED_US_PER_MS;
	log_event(LOG_LEVEL_WARN, "server-ejected",
	    "server=%s failed_jobs=%" PRIu32 " for_ms=%" PRIu32,
	    server->info.id, server->failed_jobs, server->eject_ms);
}

static void
sched_task_done(struct sched_task *task)
{
	struct sched_job *job = task->job;

	task->state = SCHED_TASK_DONE;
	job->ndone++;
	if (job->ended)
		sched_job_release_ended(job);
	else
		sched_job_advance(job);
}

static void
sched_task_failed(struct sched_task *task)
{
	const struct sched_reply failed = { .result = SCHED_FAILED,
		.reason = "a task failed in all of its permitted attempts" };
	struct sched_job *job = task->job;

	task->failures++;
	if (task->run_id > task->last_failed_run_id)
		task->last_failed_run_id = task->run_id;
	task->state = SCHED_TASK_BLOCKED;
	if (job->ended)
		sched_job_release_ended(job);
	else if (sched_gang_failures(task) >= job->queue.max_attempts)
		sched_job_finish(job, &failed);
	else
		sched_task_requeue(task);
}

uint64_t
sched_record_run_end(const struct sched_task *task, uint64_t run_id, bool done)
{
	const struct sched_job *job = task->job;
	const struct sched_params *params = &job->sched->params;

	/* Runs of ended jobs are recorded too, because the end of the job may
	 * not be stored. */
	if (!job->stored || job->spec.long_running ||
	    params->record_run_end == NULL)
		return 0;
	return params->record_run_end(params->arg, job->spec.id,
	    job->occurrence * job->spec.ntasks + (uint32_t)(task - job->tasks),
	    run_id, done);
}

static const char *const sched_end_names[] = {
	[WORKER_END_DONE] = "done",
	[WORKER_END_FAILED] = "failed",
	[WORKER_END_STOPPED] = "stopped",
	[WORKER_END_LEASE_EXPIRED] = "lapsed",
	[WORKER_END_OTHER] = "ended because another member of its gang ended",
};

/* Whether this end decides the result of the task's attempt; any other end
 * only releases the server's resources. */
static bool
sched_end_is_final(const struct sched_task *task,
    enum worker_end_state end_state)
{
	return !task->job->spec.long_running &&
	    task->state != SCHED_TASK_DONE &&
	    (end_state == WORKER_END_DONE || end_state == WORKER_END_FAILED);
}

uint64_t
sched_run_ended(struct sched_task *task, enum worker_end_state end_state)
{
	uint64_t now_us = sched_now(task->job->sched), seq;

	if (!sched_end_is_final(task, end_state)) {
		/* The tasks of a gang were recorded as done at the end of its
		 * first run; that must be stored before this end is
		 * acknowledged. */
		seq = task->state == SCHED_TASK_DONE
		    ? sched_record_run_end(task, task->run_id, true)
		    : 0;
		sched_run_discard(task, sched_end_names[end_state]);
		return seq;
	}
	sched_suspect_acquit(task);
	sched_update_server_health(task->server, task->job,
	    end_state == WORKER_END_DONE);
	if (end_state == WORKER_END_DONE && task->start_sent_us != 0)
		sched_update_speed(task, now_us);
	seq = sched_record_run_end(task, task->run_id,
	    end_state == WORKER_END_DONE);
	sched_task_former_run(task, sched_end_names[end_state]);
	sched_task_unassign(task);
	if (end_state == WORKER_END_FAILED)
		sched_task_failed(task);
	else if (sched_gang_member(task))
		sched_gang_done(task);
	else
		sched_task_done(task);
	return seq;
}

/* Copies a checkpoint that a server has listed, if it is the newest. */
void
sched_task_set_checkpoint(struct sched_task *task, uint64_t run_id,
    const char *checkpoint)
{
	if (checkpoint == NULL || checkpoint[0] == '\0' ||
	    run_id < task->checkpoint_run)
		return;
	if (task->last_checkpoint != NULL &&
	    strcmp(task->last_checkpoint, checkpoint) == 0)
		return;
	free(task->last_checkpoint);
	task->last_checkpoint = mem_strndup(checkpoint, strlen(checkpoint));
	task->checkpoint_run = run_id;
}

/* Processes a completed run of a former holder: the task is done. */
uint64_t
sched_former_run_done(struct sched_task *task, uint64_t run_id)
{
	uint64_t seq = sched_record_run_end(task, run_id, true);

	if (task->job->ended)
		return seq;
	if (task->state == SCHED_TASK_WAITING)
		sched_task_dequeue(task);
	task->run_id = run_id;
	if (sched_gang_member(task))
		sched_gang_done(task);
	else
		sched_task_done(task);
	return seq;
}

/*
 * Processes a failed run of a former holder. It is counted once, even if that
 * holder stored it and did not acknowledge it.
 */
uint64_t
sched_former_run_failed(struct sched_task *task, uint64_t run_id)
{
	uint64_t seq;

	if (run_id <= task->last_failed_run_id)
		return 0;
	seq = sched_record_run_end(task, run_id, false);
	task->last_failed_run_id = run_id;
	if (task->state == SCHED_TASK_WAITING && !task->job->ended) {
		sched_task_dequeue(task);
		task->run_id = run_id;
		sched_task_failed(task);
	} else {
		task->failures++;
	}
	return seq;
}
