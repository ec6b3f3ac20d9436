/*
 * Tasks that may crash backend servers (see core/suspect.h). All tasks of a
 * server that is lost are recorded; one that is found guilty fails its job. The
 * hosts of a cell that hold it or are likely to exchange their records. What
 * one has dropped may so return, unless its holder sees that the server has not
 * crashed; at most a task is isolated or delayed for it.
 */

#include <inttypes.h>
#include <jansson.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
/* A lasting task that has run for longer did not crash its server by being
 * started there. */
#define SCHED_SUSPECT_RUN_MAX_MS 5000
/* Numbers of suspects, the latest ones, that the hosts of the cell and the
 * holders of other cells receive. */
#define SCHED_SUSPECTS_LOCAL_MAX 64
#define SCHED_SUSPECTS_REMOTE_MAX 16

static struct counter sched_server_crashes = {
	.name = "berylrail_work_server_crashes_total",
	.help = "Backend servers that crashed or refused connections under "
		"tasks.",
};
static struct counter sched_tasks_given_up = {
	.name = "berylrail_work_tasks_given_up_total",
	.help = "Tasks that were given up as they crash backend servers.",
};

static const char *const sched_verdict_names[] = {
	[SUSP_NONE] = "none",
	[SUSP_ISOLATE] = "isolate",
	[SUSP_WAIT] = "wait",
	[SUSP_UNPROVEN] = "unproven",
	[SUSP_GUILTY] = "guilty",
};

/* Tasks of earlier submissions of the job may be on record. */
void
sched_suspects_check_job(struct sched_job *job)
{
	const struct susp_task *suspect;

	TAILQ_FOREACH (suspect, &job->sched->suspects.tasks, entry) {
		if (strncmp(suspect->name, job->spec.id, JOB_ID_LEN) == 0)
			job->has_suspects = true;
	}
}

enum susp_verdict
sched_suspect_judge(const struct sched_task *task, uint64_t now_us)
{
	char name[WORKER_TASK_NAME_SIZE];

	if (!task->job->has_suspects)
		return SUSP_NONE;
	sched_task_name(task, name);
	return susp_judge(&task->job->sched->suspects, name, now_us);
}

void
sched_suspect_acquit(const struct sched_task *task)
{
	char name[WORKER_TASK_NAME_SIZE];

	if (!task->job->has_suspects)
		return;
	sched_task_name(task, name);
	susp_acquit(&task->job->sched->suspects, name);
}

/* Whether the loss of its server is evidence against the task. A job that has
 * ended may be submitted again. */
static bool
sched_suspect_concerned(const struct sched_task *task, uint64_t now_us)
{
	return task->state != SCHED_TASK_DONE &&
	    (!task->job->spec.long_running ||
		(task->start_sent_us != 0 &&
		    now_us - task->start_sent_us <
			SCHED_SUSPECT_RUN_MAX_MS * SCHED_US_PER_MS));
}

/*
 * Whether the server can't have the task: all starts were refused, or the only
 * other one has no reply yet. While that is so, the server had ended before
 * that one was sent: its next process takes longer to start than an order to
 * time out, and a process that ends under the order resets its connection.
 * Nor has it the task if it was asked for its runs after a start had no reply,
 * and has not listed it: such a start is executed late, if at all.
 */
static bool
sched_suspect_not_reached(const struct sched_task *task)
{
	uint32_t pending =
	    task->order != NULL && task->state == SCHED_TASK_STARTING;

	if (task->start_confirmed || task->start_sent_us == 0)
		return false;
	return task->start_attempts <= task->starts_refused + pending ||
	    (task->starts_unanswered > 0 &&
		task->server->list_sent_us > task->unanswered_us &&
		task->server->list_sent_us > task->start_sent_us);
}

bool
sched_suspect_may_be_lost(const struct sched_task *task, uint64_t now_us)
{
	return sched_suspect_concerned(task, now_us) &&
	    !sched_suspect_not_reached(task);
}

/* Records the loss of its server under a task. Return: whether the task is
 * guilty now, or will be if the server has crashed. */
static bool
sched_suspect_record(struct sched_task *task, struct susp_loss *loss)
{
	char name[WORKER_TASK_NAME_SIZE];
	struct sched_job *job = task->job;
	enum susp_verdict verdict;

	sched_task_name(task, name);
	job->has_suspects = true;
	loss->started = task->start_confirmed;
	if (!susp_add_loss(&job->sched->suspects, name, loss))
		return false;
	verdict =
	    susp_judge(&job->sched->suspects, name, sched_now(job->sched));
	log_event(LOG_LEVEL_INFO, "task-suspected",
	    "id=%s task=%" PRIu32 ".%" PRIu32
	    " server=%s crashed=%d refused=%d alone=%d started=%d losses=%zu"
	    " verdict=%s",
	    job->spec.id, task->step, task->index, loss->server,
	    loss->crashed ? 1 : 0, loss->refused ? 1 : 0, loss->alone ? 1 : 0,
	    loss->started ? 1 : 0,
	    susp_find(&job->sched->suspects, name)->nlosses,
	    sched_verdict_names[verdict]);
	if (verdict == SUSP_GUILTY)
		job->crashes_servers = true;
	return verdict == SUSP_GUILTY || verdict == SUSP_UNPROVEN;
}

/* Records the loss under the tasks that are on record, or under the others. */
static bool
sched_suspects_record(struct sched_server *server, struct susp_loss *loss,
    bool on_record)
{
	uint64_t now_us = sched_now(server->sched);
	enum susp_verdict verdict;
	struct sched_task *task;
	bool guilty = false;

	TAILQ_FOREACH (task, &server->tasks, on_server) {
		verdict = sched_suspect_judge(task, now_us);
		if ((verdict != SUSP_NONE) == on_record &&
		    sched_suspect_may_be_lost(task, now_us))
			guilty |= sched_suspect_record(task, loss);
	}
	return guilty;
}

bool
sched_may_be_replaced(const struct scheduler *sched)
{
	return sched->holder_lease.confirmed_us != 0 &&
	    sched_holder_remaining_ms(sched) == 0;
}

/* The runs had ended with the lease, if not with the server. */
static void
sched_loss_after_lease(const struct sched_server *server,
    struct susp_loss *loss)
{
	uint64_t now_us = loss->lost_us;
	bool crashed = loss->crashed;

	if (server->lease.expires_us == 0 ||
	    !lease_expired(&server->lease, now_us))
		return;
	loss->lost_us = server->lease.expires_us;
	loss->refused = loss->refused && !susp_loss_is_late(loss, now_us);
	loss->crashed = false;
	if (crashed)
		susp_loss_ended(loss, now_us);
}

/* If a suspect is to blame, the other tasks of the server are not recorded. */
static void
sched_suspects_add_loss(struct sched_server *server, struct susp_loss *loss)
{
	/* The process of a draining server ends without a crash. */
	if (TAILQ_EMPTY(&server->tasks) || server->info.draining ||
	    sched_may_be_replaced(server->sched))
		return;
	if ((loss->crashed || loss->refused) && !server->refusing) {
		ctr_inc(&sched_server_crashes);
		sched_bulkhead_server_crashed(server);
	}
	strlcpy(loss->server, server->info.id, sizeof(loss->server));
	loss->incarnation_start_ms = server->incarnation_start_ms;
	loss->lost_us = sched_now(server->sched);
	loss->alone = TAILQ_FIRST(&server->tasks) ==
	    TAILQ_LAST(&server->tasks, sched_tasks);
	sched_loss_after_lease(server, loss);
	if (!sched_suspects_record(server, loss, true))
		(void)sched_suspects_record(server, loss, false);
}

void
sched_suspects_server_lost(struct sched_server *server, bool crashed)
{
	struct susp_loss loss = { .crashed = crashed };

	sched_suspects_add_loss(server, &loss);
}

void
sched_suspects_server_refused(struct sched_server *server)
{
	struct susp_loss loss = { .refused = true };

	sched_suspects_add_loss(server, &loss);
}

void
sched_suspects_server_seen(struct sched_server *server,
    uint64_t incarnation_start_ms)
{
	if (incarnation_start_ms != server->seen_start_ms) {
		server->former_seen_start_ms = server->seen_start_ms;
		server->former_seen_us = server->seen_us;
	}
	server->seen_start_ms = incarnation_start_ms;
	server->seen_us = sched_now(server->sched);
	if (susp_server_seen(&server->sched->suspects, server->info.id,
		incarnation_start_ms, server->seen_us))
		log_event(LOG_LEVEL_INFO, "lost-server-back",
		    "server=%s started_ms=%" PRIu64, server->info.id,
		    incarnation_start_ms);
}

void
sched_suspects_server_ended(struct sched_server *server)
{
	if (susp_server_ended(&server->sched->suspects, server->info.id,
		sched_now(server->sched))) {
		log_event(LOG_LEVEL_INFO, "lost-server-replaced", "server=%s",
		    server->info.id);
		sched_dispatch_wake(server->sched);
	}
}

bool
sched_suspects_end_job(struct sched_job *job)
{
	const struct sched_reply failed = { .result = SCHED_FAILED,
		.reason = "a task has crashed the servers that started it" };

	if (job->ended || !job->crashes_servers)
		return false;
	ctr_inc(&sched_tasks_given_up);
	sched_job_finish(job, &failed);
	return true;
}

/* Exchange: each suspect is an array of its name and its losses. Returns NULL
 * if no loss is to be encoded. */
static json_t *
sched_render_suspect(const struct susp_task *suspect, bool crashes_only,
    uint64_t now_us)
{
	json_t *item = json_pack("[s]", suspect->name);
	const struct susp_loss *loss;
	size_t i;

	for (i = 0; i < suspect->nlosses; i++) {
		loss = &suspect->losses[i];
		if (crashes_only && !loss->crashed && !loss->refused)
			continue;
		(void)json_array_append_new(item,
		    json_pack("[s,I,I,b,b,b,b,b]", loss->server,
			(json_int_t)loss->incarnation_start_ms,
			(json_int_t)((now_us - loss->lost_us) /
			    SCHED_US_PER_MS),
			(int)loss->crashed, (int)loss->alone,
			(int)loss->started, (int)loss->refused,
			(int)loss->late));
	}
	if (json_array_size(item) > 1)
		return item;
	json_decref(item);
	return NULL;
}

struct json_t *
sched_suspects_render(const struct scheduler *sched, bool crashes_only)
{
	size_t max =
	    crashes_only ? SCHED_SUSPECTS_REMOTE_MAX : SCHED_SUSPECTS_LOCAL_MAX;
	const struct susp_task *suspect;
	uint64_t now_us = sched_now(sched);
	json_t *items = json_array(), *item;

	TAILQ_FOREACH_REVERSE (suspect, &sched->suspects.tasks, susp_tasks,
	    entry) {
		if (json_array_size(items) == max)
			break;
		item = sched_render_suspect(suspect, crashes_only, now_us);
		if (item != NULL)
			(void)json_array_insert_new(items, 0, item);
	}
	return items;
}

/* Whether the loss is of an incarnation that replies to this host, or has done
 * so since: it has been withdrawn here, or would be. */
static bool
sched_loss_disproved(const struct scheduler *sched,
    const struct susp_loss *loss)
{
	struct nidx_entry *entry =
	    nidx_find(&sched->servers_by_id, loss->server);
	const struct sched_server *server;

	if (entry == NULL || loss->incarnation_start_ms == 0)
		return false;
	server = NIDX_OBJECT(entry, struct sched_server, by_id);
	if ((server->seen_start_ms == loss->incarnation_start_ms &&
		loss->lost_us < server->seen_us) ||
	    (server->former_seen_start_ms == loss->incarnation_start_ms &&
		loss->lost_us < server->former_seen_us))
		return true;
	return server->held && !server->refusing &&
	    server->incarnation_start_ms == loss->incarnation_start_ms;
}

/* A later incarnation may have replied before this host was told of the loss.
 * One from long before may have been withdrawn here. */
static void
sched_loss_check_ended(const struct scheduler *sched, struct susp_loss *loss)
{
	struct nidx_entry *entry =
	    nidx_find(&sched->servers_by_id, loss->server);
	const struct sched_server *server;
	struct susp_loss ended = *loss;

	if (entry == NULL || loss->incarnation_start_ms == 0)
		return;
	server = NIDX_OBJECT(entry, struct sched_server, by_id);
	if (!server->held ||
	    server->incarnation_start_ms <= loss->incarnation_start_ms)
		return;
	susp_loss_ended(&ended, server->seen_us);
	if (!ended.late)
		*loss = ended;
}

static void
sched_merge_suspect(struct scheduler *sched, const json_t *item,
    uint64_t told_us)
{
	const char *name = json_string_value(json_array_get(item, 0)), *server;
	struct susp_loss loss = { 0 };
	struct sched_task *task;
	const json_t *fields;
	uint64_t age_us;
	size_t i;

	if (name == NULL || strlen(name) >= SUSP_TASK_NAME_SIZE)
		return;
	task = sched_task_find(sched, name);
	if (task != NULL)
		task->job->has_suspects = true;
	for (i = 1; i < json_array_size(item); i++) {
		fields = json_array_get(item, i);
		server = json_string_value(json_array_get(fields, 0));
		if (server == NULL)
			continue;
		strlcpy(loss.server, server, sizeof(loss.server));
		loss.incarnation_start_ms =
		    (uint64_t)json_integer_value(json_array_get(fields, 1));
		age_us =
		    (uint64_t)json_integer_value(json_array_get(fields, 2)) *
		    SCHED_US_PER_MS;
		loss.lost_us = age_us < told_us ? told_us - age_us : 0;
		loss.crashed = json_is_true(json_array_get(fields, 3));
		loss.alone = json_is_true(json_array_get(fields, 4));
		loss.started = json_is_true(json_array_get(fields, 5));
		loss.refused = json_is_true(json_array_get(fields, 6));
		loss.late = json_is_true(json_array_get(fields, 7));
		if (sched_loss_disproved(sched, &loss))
			continue;
		sched_loss_check_ended(sched, &loss);
		(void)susp_add_loss(&sched->suspects, name, &loss);
	}
}

void
sched_suspects_merge_told(struct scheduler *sched, const struct json_t *items,
    uint64_t told_us)
{
	const json_t *item;
	size_t i;

	json_array_foreach (items, i, item)
		sched_merge_suspect(sched, item, told_us);
}

void
sched_suspects_merge(struct scheduler *sched, const struct json_t *items)
{
	sched_suspects_merge_told(sched, items, sched_now(sched));
}
