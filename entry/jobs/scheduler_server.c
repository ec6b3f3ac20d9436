/*
 * Backend servers under a lease: one long poll a server while something runs
 * there renews the lease, acknowledges ends and brings new ones. A server
 * that does not answer keeps its runs until their lease has ended; its holds
 * then carry no deadline, so that the lease can end.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define HLD_US_PER_MS UINT64_C(1000)
#define HLD_ENDED_KEPT_MS 3000 /* a done run of an unknown job */

static void
hld_orphan_free(struct hld_server *server, struct hld_orphan *orphan)
{
	TAILQ_REMOVE(&server->orphans, orphan, entry);
	free(orphan);
}

static void
hld_orphans_drop(struct hld_server *server)
{
	struct hld_orphan *orphan, *next;

	TAILQ_FOREACH_SAFE (orphan, &server->orphans, entry, next)
		hld_orphan_free(server, orphan);
}

void
hld_server_free(struct hld_server *server)
{
	struct holder *holder = server->holder;

	if (server->link != NULL)
		holder->params.worker->ops->close(server->link);
	hld_orders_drop(server);
	hld_unstored_drop(server);
	hld_orphans_drop(server);
	TAILQ_REMOVE(&holder->servers, server, entry);
	free(server);
}

/* All runs there are over; another incarnation knows nothing of them. */
void
hld_server_lost(struct hld_server *server, const char *why)
{
	struct hld_task *task, *next;

	if (server->held || !TAILQ_EMPTY(&server->tasks))
		log_event(LOG_LEVEL_WARN, "server-lost",
		    "server=%s reason=\"%s\"", server->info.id, why);
	server->reopen_us =
	    hld_now(server->holder) + HLD_REOPEN_MS * HLD_US_PER_MS;
	if (server->link != NULL)
		server->holder->params.worker->ops->close(server->link);
	server->link = NULL;
	server->held = false;
	server->hold_pending = false;
	hld_orders_drop(server);
	hld_unstored_drop(server);
	hld_orphans_drop(server);
	TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next)
		hld_run_absent(task, why);
}

/* Begins to hold a server: its lists first. */
void
hld_server_reset(struct hld_server *server)
{
	struct holder *holder = server->holder;
	struct worker_address address = { .port = server->info.port };

	strlcpy(address.id, server->info.id, sizeof(address.id));
	strlcpy(address.address, server->info.address, sizeof(address.address));
	if (server->link == NULL)
		server->link = holder->params.worker->ops->open(
		    holder->params.worker, &address);
	if (server->link == NULL)
		abort();
	memset(&server->lease, 0, sizeof(server->lease));
	server->held = false;
	server->acknowledged = 0;
	server->seen = 0;
	server->born_ms = 0;
	server->told = 0;
	server->lists_way = 0;
	hld_unstored_drop(server);
	server->misses = 0;
	hld_server_hold(server, hld_now(holder));
}

static struct hld_orphan *
hld_orphan_enter(struct hld_server *server, const char *name, uint64_t run_id,
    uint64_t now_us)
{
	struct hld_orphan *orphan;

	TAILQ_FOREACH (orphan, &server->orphans, entry) {
		if (orphan->run_id == run_id &&
		    strcmp(orphan->task, name) == 0) {
			orphan->listed = true;
			return orphan;
		}
	}
	orphan = mem_zalloc(1, sizeof(*orphan));
	strlcpy(orphan->task, name, sizeof(orphan->task));
	orphan->run_id = run_id;
	orphan->seen_us = now_us;
	orphan->listed = true;
	TAILQ_INSERT_TAIL(&server->orphans, orphan, entry);
	log_event(LOG_LEVEL_INFO, "orphan", "task=%s run=%" PRIu64 " server=%s",
	    name, run_id, server->info.id);
	return orphan;
}

/* A job has come whose runs were found on servers. */
void
hld_orphans_claim(struct hld_job *job)
{
	struct holder *holder = job->holder;
	uint64_t now_us = hld_now(holder);
	struct hld_orphan *orphan, *next;
	struct hld_server *server;
	struct hld_task *task;

	TAILQ_FOREACH (server, &holder->servers, entry) {
		TAILQ_FOREACH_SAFE (orphan, &server->orphans, entry, next) {
			if (strncmp(orphan->task, job->spec.id, JOB_ID_LEN) !=
			    0)
				continue;
			task = hld_task_find(holder, orphan->task);
			if (task == NULL || task->state != HLD_BLOCKED)
				continue;
			hld_run_adopt(task, server, orphan->run_id, now_us);
			hld_orphan_free(server, orphan);
		}
	}
}

static void
hld_list_running(struct hld_server *server, const struct worker_run *run,
    uint64_t now_us)
{
	struct hld_task *task = hld_task_find(server->holder, run->task);

	if (task != NULL)
		hld_run_saved(task, run->run_id, run->saved);
	if (task != NULL && task->server == server &&
	    task->run_id == run->run_id) {
		/* Seen now: it is there whatever became of the order. */
		task->settled_us = now_us;
		if (task->state == HLD_STARTING)
			task->state = HLD_RUNNING;
		if (task->job->ended && task->state == HLD_RUNNING)
			hld_run_stop(task);
		return;
	}
	if (task != NULL && task->server == NULL && !task->job->ended &&
	    (task->state == HLD_WAITING || task->state == HLD_BLOCKED)) {
		hld_run_adopt(task, server, run->run_id, now_us);
		return;
	}
	(void)hld_orphan_enter(server, run->task, run->run_id, now_us);
}

/* A task whose run ended under the former holder, which did not store it. */
static uint64_t
hld_ended_before(struct hld_task *task, const struct worker_ended *ended)
{
	if (!task->job->stored || task->job->spec.long_running)
		return 0;
	if (ended->how == WORKER_END_FAILED && task->state != HLD_DONE)
		return hld_run_found_failed(task, ended->run_id);
	if (ended->how == WORKER_END_DONE &&
	    (task->state == HLD_WAITING || task->state == HLD_BLOCKED))
		return hld_run_found_done(task, ended->run_id);
	return 0;
}

static void
hld_list_ended(struct hld_server *server, const struct worker_ended *ended)
{
	struct hld_task *task;
	uint64_t seq = 0;

	if (ended->number <= server->seen)
		return;
	task = hld_task_find(server->holder, ended->task);
	/* It may belong to a stored job that is still being read. */
	if (task == NULL && !server->holder->loaded)
		return;
	if (task != NULL)
		hld_run_saved(task, ended->run_id, ended->saved);
	if (task != NULL && task->server == server &&
	    task->run_id == ended->run_id)
		seq = hld_run_ended(task, ended->how);
	else if (task != NULL)
		seq = hld_ended_before(task, ended);
	if (seq == 0)
		seq = hld_counted_before(server->holder, ended);
	if (server->holder->loaded)
		server->seen = ended->number;
	if (seq != 0)
		hld_unstored_enter(server, ended, seq);
}

/* Runs that a list written after their last order does not show are over. */
static void
hld_reconcile(struct hld_server *server, uint64_t sent_us, uint64_t now_us)
{
	struct hld_orphan *orphan, *next_orphan;
	struct hld_task *task, *next;

	TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next) {
		if (task->settled_us != now_us && !task->order_pending &&
		    task->settled_us < sent_us)
			hld_run_absent(task, "not listed");
	}
	TAILQ_FOREACH_SAFE (orphan, &server->orphans, entry, next_orphan) {
		if (!orphan->listed)
			hld_orphan_free(server, orphan);
	}
}

static void
hld_read_lists(struct hld_server *server, const struct worker_reply *reply,
    uint64_t now_us)
{
	struct hld_orphan *orphan;
	size_t i;

	TAILQ_FOREACH (orphan, &server->orphans, entry)
		orphan->listed = false;
	for (i = 0; i < reply->nended; i++)
		hld_list_ended(server, &reply->ended[i]);
	for (i = 0; i < reply->nrunning; i++)
		hld_list_running(server, &reply->running[i], now_us);
	hld_acknowledge(server);
	hld_reconcile(server, server->hold_sent_us, now_us);
	if (!server->held) {
		server->held = true;
		log_event(LOG_LEVEL_INFO, "server-held",
		    "server=%s token=%" PRIu64 " running=%zu ended=%zu",
		    server->info.id, server->holder->token, reply->nrunning,
		    reply->nended);
	}
}

/* A new incarnation has nothing of the old one; its ends count from 1. What
 * it does not list is over, as reconciling finds. */
static void
hld_check_incarnation(struct hld_server *server, uint64_t born_ms)
{
	if (born_ms == 0 || born_ms == server->born_ms)
		return;
	if (server->born_ms != 0) {
		log_event(LOG_LEVEL_WARN, "server-restarted",
		    "server=%s born_ms=%" PRIu64 " before=%" PRIu64,
		    server->info.id, born_ms, server->born_ms);
		server->seen = 0;
		server->acknowledged = 0;
		hld_unstored_drop(server);
	}
	server->born_ms = born_ms;
}

bool
hld_server_out(struct hld_server *server, enum worker_verdict verdict)
{
	struct holder *holder = server->holder;

	if (verdict == WORKER_FENCED)
		holder->params.fenced(holder->params.arg);
	else if (verdict == WORKER_GONE)
		hld_server_lost(server, "another incarnation answers");
	return verdict == WORKER_FENCED || verdict == WORKER_GONE;
}

static void
hld_held(void *arg, const struct worker_reply *reply)
{
	struct hld_server *server = arg;
	struct holder *holder = server->holder;
	uint64_t now_us = hld_now(holder);

	server->hold_pending = false;
	if (reply->has_clock)
		lease_update_clock(&server->lease, reply->clock_ms,
		    server->hold_sent_us);
	if (hld_server_out(server, reply->verdict))
		return;
	server->lists_way = reply->has_lists ? reply->connection_id : 0;
	if (reply->verdict == WORKER_NOT_SENT) {
		hld_server_hold(server, now_us);
		return;
	}
	if (reply->verdict != WORKER_OK || !reply->has_lists) {
		if (server->misses++ == HLD_MISSES_MAX)
			log_event(LOG_LEVEL_WARN, "server-silent",
			    "server=%s verdict=%d", server->info.id,
			    (int)reply->verdict);
		/* The first may just have been lost. */
		if (server->misses == 1)
			hld_server_hold(server, now_us);
		else
			server->hold_due_us =
			    now_us + HLD_RETRY_MS * HLD_US_PER_MS;
		return;
	}
	if (server->misses > HLD_MISSES_MAX)
		log_event(LOG_LEVEL_WARN, "server-answers", "server=%s",
		    server->info.id);
	server->misses = 0;
	hld_check_incarnation(server, reply->born_ms);
	hld_read_lists(server, reply, now_us);
	hld_pump_wake(holder);
	if (server->acknowledged != server->seen || !holder->loaded)
		server->hold_due_us = now_us + HLD_STOP_WAIT_MS * HLD_US_PER_MS;
	else if (!TAILQ_EMPTY(&server->tasks) || !TAILQ_EMPTY(&server->orphans))
		hld_server_hold(server, now_us);
	else if (reply->nended > 0)
		server->hold_due_us = now_us + HLD_ACK_DELAY_MS * HLD_US_PER_MS;
}

static bool
hld_awaits_stop(const struct hld_server *server)
{
	const struct hld_task *task;

	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (task->stop_confirmed)
			return true;
	}
	return false;
}

/*
 * The answer comes with the next end. It is asked for until a little after
 * that is due, so that an answer that is lost costs no more.
 */
static uint32_t
hld_wait_ms(const struct hld_server *server, uint64_t now_us)
{
	uint64_t due_us, first_us = now_us + HLD_HOLD_WAIT_MS * HLD_US_PER_MS;
	const struct hld_task *task;

	if (hld_awaits_stop(server))
		return HLD_STOP_WAIT_MS;
	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (task->job->spec.long_running)
			continue;
		due_us = task->ordered_us +
		    (uint64_t)hld_task_expected_ms(task) * HLD_US_PER_MS *
			PLACE_SPEED_NOMINAL / (server->speed | 1);
		if (task->ordered_us != 0 && due_us < first_us)
			first_us = due_us;
	}
	first_us += HLD_HOLD_SPARE_MS * HLD_US_PER_MS;
	if (first_us < now_us + HLD_HOLD_WAIT_MIN_MS * HLD_US_PER_MS)
		return HLD_HOLD_WAIT_MIN_MS;
	if (first_us > now_us + HLD_HOLD_WAIT_MS * HLD_US_PER_MS)
		return HLD_HOLD_WAIT_MS;
	return (uint32_t)((first_us - now_us) / HLD_US_PER_MS);
}

void
hld_server_hold(struct hld_server *server, uint64_t now_us)
{
	struct holder *holder = server->holder;
	bool busy =
	    !TAILQ_EMPTY(&server->tasks) || !TAILQ_EMPTY(&server->orphans);
	struct worker_hold hold = {
		.token = holder->token,
		.connection_id = server->lists_way,
	};

	if (server->hold_pending || server->link == NULL)
		return;
	/* Unknown runs alone do not have their lease renewed. */
	if (!TAILQ_EMPTY(&server->tasks) && server->misses <= HLD_MISSES_MAX)
		hold.deadline_ms = lease_extend(&server->lease, now_us,
		    holder->params.lease_ms);
	/* Ends are numbered anew by each incarnation, and a hold does not name
	 * the one that it means. */
	if (server->lists_way != 0)
		hold.acknowledged = server->acknowledged;
	server->told = hold.acknowledged;
	/* Ends that are listed again would end a wait at once. */
	if (busy && server->held && server->misses == 0 &&
	    server->holder->loaded && server->acknowledged == server->seen)
		hold.wait_ms = hld_wait_ms(server, now_us);
	server->hold_pending = true;
	server->hold_sent_us = now_us;
	server->hold_due_us = 0;
	holder->params.worker->ops->hold(server->link, &hold, hld_held, server);
}

/* A run that takes far longer than expected is moved. */
static void
hld_check_stragglers(struct hld_server *server, uint64_t now_us)
{
	uint64_t expected_ms, limit_ms;
	struct hld_task *task, *next;

	TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next) {
		if (task->state == HLD_STOPPING) {
			if (!task->order_pending && !task->stop_confirmed &&
			    now_us - task->settled_us >
				HLD_RETRY_MS * HLD_US_PER_MS)
				hld_run_stop(task);
			continue;
		}
		if (task->state != HLD_RUNNING || task->ordered_us == 0 ||
		    task->job->spec.long_running || hld_gang_member(task))
			continue;
		expected_ms = (uint64_t)hld_task_expected_ms(task) *
		    PLACE_SPEED_NOMINAL / (server->speed | 1);
		limit_ms = HLD_STRAGGLER_FACTOR * expected_ms;
		if (limit_ms < HLD_STRAGGLER_MIN_MS)
			limit_ms = HLD_STRAGGLER_MIN_MS;
		if (now_us - task->ordered_us < limit_ms * HLD_US_PER_MS)
			continue;
		log_event(LOG_LEVEL_INFO, "straggler",
		    "id=%s task=%" PRIu32 ".%" PRIu32
		    " server=%s expected_ms=%" PRIu64 " speed=%" PRIu32,
		    task->job->spec.id, task->step, task->index,
		    server->info.id, expected_ms, server->speed);
		server->speed = server->speed / 2;
		hld_run_stop(task);
	}
}

static void
hld_check_orphans(struct hld_server *server, uint64_t now_us)
{
	struct hld_orphan *orphan;

	TAILQ_FOREACH (orphan, &server->orphans, entry) {
		if (now_us - orphan->seen_us < HLD_ORPHAN_MS * HLD_US_PER_MS)
			continue;
		orphan->seen_us = now_us;
		hld_run_stop_orphan(server, orphan);
	}
}

void
hld_server_tick(struct hld_server *server, uint64_t now_us)
{
	if (server->link == NULL) {
		if (!server->gone && server->reopen_us <= now_us)
			hld_server_reset(server);
		return;
	}
	if (server->misses > HLD_MISSES_MAX && server->calls == 0 &&
	    !TAILQ_EMPTY(&server->tasks) &&
	    lease_expired(&server->lease, now_us)) {
		hld_server_lost(server, "lease ended unanswered");
		return;
	}
	if (!server->hold_pending && server->hold_due_us != 0 &&
	    server->hold_due_us <= now_us)
		hld_server_hold(server, now_us);
	hld_check_stragglers(server, now_us);
	hld_check_orphans(server, now_us);
}
