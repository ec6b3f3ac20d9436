/*
 * Leases on backend servers, and the lists of runs that they return. While a
 * server has runs, one hold after the other is sent to it: a long poll that
 * renews the lease, acknowledges ended runs and returns new ones. At most one
 * hold per server is pending. The runs of an unreachable server remain
 * assigned to it until its lease has expired; holds sent to it do not renew
 * the lease, so that it can expire.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)

void
sched_orphan_free(struct sched_server *server, struct sched_orphan *orphan)
{
	if (orphan->order != NULL)
		orphan->order->orphan = NULL;
	TAILQ_REMOVE(&server->orphans, orphan, entry);
	free(orphan);
}

static void
sched_orphans_clear(struct sched_server *server)
{
	struct sched_orphan *orphan, *next;

	TAILQ_FOREACH_SAFE (orphan, &server->orphans, entry, next)
		sched_orphan_free(server, orphan);
}

void
sched_server_free(struct sched_server *server)
{
	struct scheduler *sched = server->sched;

	if (server->link != NULL)
		sched->params.worker->ops->close(server->link);
	sched_orders_discard(server);
	sched_unstored_clear(server);
	sched_orphans_clear(server);
	sched_late_clear(server);
	nidx_remove(&sched->servers_by_id, &server->by_id);
	TAILQ_REMOVE(&sched->servers, server, entry);
	free(server);
}

void
sched_server_disconnect(struct sched_server *server)
{
	if (server->link != NULL)
		server->sched->params.worker->ops->close(server->link);
	server->link = NULL;
	server->held = false;
	server->ends_listed = false;
	server->hold_pending = false;
	sched_orders_discard(server);
	sched_unstored_clear(server);
	sched_orphans_clear(server);
}

/* Its lease has expired, or another incarnation has replaced it. In the first
 * case runs of best-effort jobs may go on. */
void
sched_server_lost(struct sched_server *server, const char *reason,
    enum sched_loss loss)
{
	bool crashed = loss != SCHED_LOSS_UNREACHABLE;
	struct sched_task *task, *next;

	if (server->held || !TAILQ_EMPTY(&server->tasks))
		log_event(LOG_LEVEL_WARN, "server-lost",
		    "server=%s reason=\"%s\" started_ms=%" PRIu64,
		    server->info.id, reason, server->incarnation_start_ms);
	if (crashed || !server->refusing)
		sched_suspects_server_lost(server, crashed);
	server->reopen_at_us =
	    sched_now(server->sched) + SCHED_REOPEN_DELAY_MS * SCHED_US_PER_MS;
	sched_server_disconnect(server);
	TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next) {
		if (!crashed && sched_task_awaits_server(task))
			sched_run_unknown(task, reason);
		/* The server that has its address refuses its orders. */
		if (loss == SCHED_LOSS_REPLACED)
			task->starts_unanswered = 0;
		sched_run_discard(task, reason);
	}
}

void
sched_server_refused(struct sched_server *server)
{
	if (!server->held || server->refusing)
		return;
	log_event(LOG_LEVEL_WARN, "server-refusing",
	    "server=%s started_ms=%" PRIu64, server->info.id,
	    server->incarnation_start_ms);
	sched_suspects_server_refused(server);
	server->refusing = true;
}

/* Resets the state of a server and requests its lists. */
void
sched_server_reset(struct sched_server *server)
{
	struct scheduler *sched = server->sched;
	struct worker_address address = { .port = server->info.port };

	strlcpy(address.id, server->info.id, sizeof(address.id));
	strlcpy(address.address, server->info.address, sizeof(address.address));
	if (server->link == NULL)
		server->link = sched->params.worker->ops->open(
		    sched->params.worker, &address);
	if (server->link == NULL)
		abort();
	memset(&server->lease, 0, sizeof(server->lease));
	server->held = false;
	server->ends_listed = false;
	server->refusing = false;
	server->acknowledged = 0;
	server->processed_end = 0;
	server->incarnation_start_ms = 0;
	server->acknowledged_sent = 0;
	server->lists_connection_id = 0;
	sched_unstored_clear(server);
	sched_orphans_clear(server);
	server->unanswered_holds = 0;
	sched_server_hold(server, sched_now(sched));
}

static struct sched_orphan *
sched_orphan_find(const struct sched_server *server, const char *name,
    uint64_t run_id)
{
	struct sched_orphan *orphan;

	TAILQ_FOREACH (orphan, &server->orphans, entry) {
		if (orphan->run_id == run_id && strcmp(orphan->task, name) == 0)
			return orphan;
	}
	return NULL;
}

static struct sched_orphan *
sched_orphan_create(struct sched_server *server, const char *name,
    uint64_t run_id, uint64_t now_us)
{
	struct sched_orphan *orphan = mem_zalloc(1, sizeof(*orphan));

	strlcpy(orphan->task, name, sizeof(orphan->task));
	orphan->run_id = run_id;
	orphan->grace_start_us = now_us;
	lease_assume(&server->lease, now_us, server->sched->params.lease_ms);
	TAILQ_INSERT_TAIL(&server->orphans, orphan, entry);
	return orphan;
}

static void
sched_orphan_listed(struct sched_server *server, const char *name,
    uint64_t run_id, uint64_t now_us)
{
	struct sched_orphan *orphan = sched_orphan_find(server, name, run_id);

	if (orphan == NULL) {
		bool late = sched_late_ordered(server, name, run_id);

		orphan = sched_orphan_create(server, name, run_id, now_us);
		log_event(LOG_LEVEL_INFO, "orphan-found",
		    "task=%s run=%" PRIu64 " server=%s late_start=%d", name,
		    run_id, server->info.id, late ? 1 : 0);
		sched_pending_run(server->sched, name, now_us);
		/* No job adopts it: this holder has given it up. */
		if (late)
			sched_run_stop_orphan(server, orphan);
	}
	orphan->listed = true;
	orphan->expected = false;
}

void
sched_orphan_expect(struct sched_server *server, const char *name,
    uint64_t run_id)
{
	struct sched_orphan *orphan = sched_orphan_find(server, name, run_id);

	if (orphan != NULL)
		return;
	orphan =
	    sched_orphan_create(server, name, run_id, sched_now(server->sched));
	orphan->expected = true;
	sched_run_stop_orphan(server, orphan);
}

/* Adopts the runs of a job that have been listed: before it was submitted, or
 * while its tasks had other runs. */
void
sched_orphans_adopt(struct sched_job *job)
{
	struct scheduler *sched = job->sched;
	uint64_t now_us = sched_now(sched);
	struct sched_orphan *orphan, *next;
	struct sched_server *server;
	struct sched_task *task;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		TAILQ_FOREACH_SAFE (orphan, &server->orphans, entry, next) {
			if (!orphan->listed ||
			    strncmp(orphan->task, job->spec.id, JOB_ID_LEN) !=
				0)
				continue;
			task = sched_task_find(sched, orphan->task);
			if (task == NULL || task->state != SCHED_TASK_BLOCKED)
				continue;
			sched_run_adopt(task, server, orphan->run_id, now_us);
			sched_orphan_free(server, orphan);
		}
	}
}

static void
sched_process_running(struct sched_server *server, const struct worker_run *run,
    uint64_t now_us)
{
	struct sched_task *task =
	    sched_task_find_listed(server->sched, run->task);

	if (task != NULL)
		sched_task_set_checkpoint(task, run->run_id,
		    run->newest_checkpoint);
	if (task != NULL && task->server == server &&
	    task->run_id == run->run_id) {
		/* The list shows that the run was started, even if the start
		 * order got no reply. */
		task->last_update_us = now_us;
		task->start_confirmed = true;
		if (task->state == SCHED_TASK_STARTING)
			task->state = SCHED_TASK_RUNNING;
		if (task->job->ended && task->state == SCHED_TASK_RUNNING)
			sched_run_stop(task);
		return;
	}
	if (task != NULL && task->server == NULL && !task->job->ended &&
	    (task->state == SCHED_TASK_WAITING ||
		task->state == SCHED_TASK_BLOCKED)) {
		lease_assume(&server->lease, now_us,
		    server->sched->params.lease_ms);
		sched_run_adopt(task, server, run->run_id, now_us);
		return;
	}
	sched_orphan_listed(server, run->task, run->run_id, now_us);
}

/* Processes the end of a run that a former holder started and may not have
 * stored. */
static uint64_t
sched_process_former_end(struct sched_task *task,
    const struct worker_ended *ended)
{
	if (!task->job->stored || task->job->spec.long_running)
		return 0;
	if (ended->end_state == WORKER_END_FAILED &&
	    task->state != SCHED_TASK_DONE)
		return sched_former_run_failed(task, ended->run_id);
	if (ended->end_state == WORKER_END_DONE &&
	    (task->state == SCHED_TASK_WAITING ||
		task->state == SCHED_TASK_BLOCKED))
		return sched_former_run_done(task, ended->run_id);
	return 0;
}

static void
sched_process_ended(struct sched_server *server,
    const struct worker_ended *ended)
{
	struct sched_task *task;
	uint64_t seq = 0;

	if (ended->number <= server->processed_end)
		return;
	task = sched_task_find_listed(server->sched, ended->task);
	/* The run may belong to a stored job that is not loaded. */
	if (task == NULL && !server->sched->jobs_loaded)
		return;
	if (task != NULL)
		sched_task_set_checkpoint(task, ended->run_id,
		    ended->newest_checkpoint);
	if (task != NULL && task->server == server &&
	    task->run_id == ended->run_id) {
		task->start_confirmed = true;
		seq = sched_run_ended(task, ended->end_state);
	} else if (task != NULL) {
		seq = sched_process_former_end(task, ended);
	}
	if (seq == 0)
		seq = sched_unstored_seq(server->sched, ended);
	if (server->sched->jobs_loaded)
		server->processed_end = ended->number;
	if (seq != 0)
		sched_unstored_add(server, ended, seq);
}

/* Whether a list without the run shows that it has ended. A start without a
 * reply may still be executed, unless a confirmed stop prevents that. */
static bool
sched_run_resolved(const struct sched_task *task)
{
	return task->start_confirmed || task->stop_confirmed;
}

/* Runs that are missing in lists written after their last order have ended. If
 * the list of ends was cut, a later one may tell how. */
static void
sched_reconcile(struct sched_server *server, uint64_t sent_us, uint64_t now_us,
    bool ended_cut)
{
	struct sched_orphan *orphan, *next_orphan;
	struct sched_task *task, *next;

	TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next) {
		if (task->last_update_us == now_us || task->order != NULL ||
		    task->last_update_us >= sent_us)
			continue;
		if (task->state == SCHED_TASK_STARTING)
			sched_start_again(task);
		else if (!ended_cut && sched_run_resolved(task))
			sched_run_discard(task,
			    "not in the server's list of runs");
	}
	TAILQ_FOREACH_SAFE (orphan, &server->orphans, entry, next_orphan) {
		if (!orphan->listed && !orphan->expected)
			sched_orphan_free(server, orphan);
	}
}

/* The time as of which lists count that are processed now. They may have waited
 * while this process stood still. */
static uint64_t
sched_listed_us(const struct scheduler *sched, uint64_t now_us)
{
	uint64_t since_us = unread_since_us(&sched->unread, now_us);

	if (since_us == 0)
		since_us = sched->activated_us;
	return now_us - since_us > SCHED_RESTART_MIN_MS * SCHED_US_PER_MS
	    ? since_us
	    : now_us;
}

static void
sched_process_lists(struct sched_server *server,
    const struct worker_reply *reply, uint64_t now_us)
{
	struct sched_orphan *orphan;
	size_t i;

	server->listed_us = sched_listed_us(server->sched, now_us);
	server->list_sent_us = server->hold_sent_us;
	TAILQ_FOREACH (orphan, &server->orphans, entry)
		orphan->listed = false;
	for (i = 0; i < reply->nended; i++)
		sched_process_ended(server, &reply->ended[i]);
	for (i = 0; i < reply->nrunning; i++)
		sched_process_running(server, &reply->running[i], now_us);
	sched_update_acknowledged(server);
	sched_late_stop_all(server, reply);
	sched_reconcile(server, server->hold_sent_us, now_us, reply->ended_cut);
	if (!reply->ended_cut)
		server->ends_listed = true;
	if (!server->held) {
		server->held = true;
		server->was_held = true;
		sched_bulkhead_reserve(server->sched);
		log_event(LOG_LEVEL_INFO, "server-held",
		    "server=%s token=%" PRIu64
		    " running=%zu ended=%zu started_ms=%" PRIu64 " usable=%d",
		    server->info.id, server->sched->token, reply->nrunning,
		    reply->nended, server->incarnation_start_ms,
		    sched_server_accepts_starts(server, now_us) ? 1 : 0);
	}
}

/* A server lists its runs: those of its other incarnations have ended. */
static void
sched_end_other_incarnations(struct sched_server *server)
{
	struct nidx_entry *entry =
	    nidx_find(&server->sched->servers_by_id, server->info.id);
	struct sched_server *other;

	for (; entry != NULL; entry = nidx_next(entry)) {
		other = NIDX_OBJECT(entry, struct sched_server, by_id);
		if (other != server && other->link != NULL &&
		    other->incarnation_start_ms != server->incarnation_start_ms)
			sched_server_lost(other, "restarted",
			    SCHED_LOSS_RESTARTED);
	}
}

/* A new incarnation has none of the runs of the old one, numbers its ends from
 * 1 and has another clock. sched_reconcile() ends the runs that it does not
 * list. */
static void
sched_check_incarnation(struct sched_server *server,
    uint64_t incarnation_start_ms)
{
	bool refusing = server->refusing;

	if (incarnation_start_ms == 0 ||
	    (incarnation_start_ms == server->incarnation_start_ms && !refusing))
		return;
	sched_suspects_server_seen(server, incarnation_start_ms);
	server->refusing = false;
	if (incarnation_start_ms == server->incarnation_start_ms)
		return;
	/* It has forgotten the token of a successor, if there is one. */
	if (server->incarnation_start_ms != 0 ||
	    (server->info.incarnation_start_ms != 0 &&
		server->info.incarnation_start_ms != incarnation_start_ms))
		server->known_us = clock_now_us(server->sched->params.clock);
	if (server->incarnation_start_ms != 0) {
		if (!refusing)
			sched_suspects_server_lost(server, true);
		log_event(LOG_LEVEL_WARN, "server-restarted",
		    "server=%s started_ms=%" PRIu64 " previous_ms=%" PRIu64,
		    server->info.id, incarnation_start_ms,
		    server->incarnation_start_ms);
		server->processed_end = 0;
		server->acknowledged = 0;
		server->lease.clock_known = false;
		sched_unstored_clear(server);
	}
	server->incarnation_start_ms = incarnation_start_ms;
	sched_end_other_incarnations(server);
}

bool
sched_check_verdict(struct sched_server *server, enum worker_verdict verdict)
{
	struct scheduler *sched = server->sched;

	if (verdict == WORKER_FENCED)
		sched->params.fenced(sched->params.arg);
	else if (verdict == WORKER_OTHER_INCARNATION) {
		sched_suspects_server_ended(server);
		sched_server_lost(server,
		    "another incarnation replies at the address",
		    SCHED_LOSS_REPLACED);
	}
	return verdict == WORKER_FENCED || verdict == WORKER_OTHER_INCARNATION;
}

static void
sched_hold_done(void *arg, const struct worker_reply *reply)
{
	struct sched_server *server = arg;
	struct scheduler *sched = server->sched;
	uint64_t now_us = sched_now(sched);

	server->hold_pending = false;
	if (sched_check_verdict(server, reply->verdict))
		return;
	server->lists_connection_id =
	    reply->has_lists ? reply->connection_id : 0;
	if (reply->verdict == WORKER_NOT_SENT) {
		sched_server_hold(server, now_us);
		return;
	}
	if (reply->verdict != WORKER_OK || !reply->has_lists) {
		if (reply->refused)
			sched_server_refused(server);
		if (server->unanswered_holds++ == SCHED_UNANSWERED_HOLDS_MAX)
			log_event(LOG_LEVEL_WARN, "server-unreachable",
			    "server=%s verdict=%d refused=%d", server->info.id,
			    (int)reply->verdict, reply->refused ? 1 : 0);
		/* The first retry has no delay, as perhaps only the reply was
		 * lost. */
		if (server->unanswered_holds == 1)
			sched_server_hold(server, now_us);
		else
			server->hold_due_us =
			    now_us + SCHED_RETRY_DELAY_MS * SCHED_US_PER_MS;
		return;
	}
	if (server->unanswered_holds > SCHED_UNANSWERED_HOLDS_MAX)
		log_event(LOG_LEVEL_WARN, "server-reachable", "server=%s",
		    server->info.id);
	server->unanswered_holds = 0;
	sched_check_incarnation(server, reply->incarnation_start_ms);
	if (reply->has_clock)
		lease_update_clock(&server->lease, reply->clock_ms,
		    server->hold_sent_us, now_us);
	sched_process_lists(server, reply, now_us);
	sched_dispatch_wake(sched);
	if (server->acknowledged != server->processed_end ||
	    !sched->jobs_loaded)
		server->hold_due_us =
		    now_us + SCHED_SHORT_POLL_MS * SCHED_US_PER_MS;
	else if (!TAILQ_EMPTY(&server->tasks) || !TAILQ_EMPTY(&server->orphans))
		sched_server_hold(server, now_us);
	else if (reply->nended > 0)
		server->hold_due_us =
		    now_us + SCHED_ACK_DELAY_MS * SCHED_US_PER_MS;
}

/* Whether the server has confirmed the stop of a run that has not ended. */
static bool
sched_stop_in_progress(const struct sched_server *server)
{
	const struct sched_task *task;

	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (task->stop_confirmed)
			return true;
	}
	return false;
}

/*
 * How long the server may delay the reply to a hold. It replies at the next
 * end of a run, so the wait ends shortly after one is expected: a lost reply
 * then costs little time.
 */
static uint32_t
sched_hold_wait_ms(const struct sched_server *server, uint64_t now_us)
{
	uint64_t due_us,
	    first_us = now_us + SCHED_HOLD_WAIT_MAX_MS * SCHED_US_PER_MS;
	const struct scheduler *sched = server->sched;
	const struct sched_task *task;

	if (sched_stop_in_progress(server) ||
	    (sched->lists_wanted_us != 0 &&
		now_us - sched->lists_wanted_us <=
		    SCHED_LISTS_WANTED_MS * SCHED_US_PER_MS))
		return SCHED_SHORT_POLL_MS;
	if (sched_confirmed_us(sched) < sched_former_leases_end_us(sched))
		first_us = now_us +
		    (SCHED_HOLD_WAIT_FORMER_MS - SCHED_HOLD_MARGIN_MS) *
			SCHED_US_PER_MS;
	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (task->job->spec.long_running)
			continue;
		due_us = task->start_sent_us +
		    (uint64_t)sched_task_expected_ms(task) * SCHED_US_PER_MS *
			PLACE_SPEED_NOMINAL / (server->speed_permille | 1);
		if (task->start_sent_us != 0 && due_us < first_us)
			first_us = due_us;
	}
	first_us += SCHED_HOLD_MARGIN_MS * SCHED_US_PER_MS;
	if (first_us < now_us + SCHED_HOLD_WAIT_MIN_MS * SCHED_US_PER_MS)
		return SCHED_HOLD_WAIT_MIN_MS;
	if (first_us > now_us + SCHED_HOLD_WAIT_MAX_MS * SCHED_US_PER_MS)
		return SCHED_HOLD_WAIT_MAX_MS;
	return (uint32_t)((first_us - now_us) / SCHED_US_PER_MS);
}

bool
sched_server_vacant(const struct sched_server *server)
{
	return TAILQ_EMPTY(&server->tasks) && TAILQ_EMPTY(&server->orphans) &&
	    TAILQ_EMPTY(&server->unstored_ends);
}

void
sched_server_hold(struct sched_server *server, uint64_t now_us)
{
	struct scheduler *sched = server->sched;
	bool busy =
	    !TAILQ_EMPTY(&server->tasks) || !TAILQ_EMPTY(&server->orphans);
	uint32_t wait_limit_ms;
	struct worker_hold hold = {
		.token = sched->token,
		.connection_id = server->lists_connection_id,
	};

	if (server->hold_pending || server->link == NULL)
		return;
	/* The lease is not renewed for orphans alone. */
	if (!TAILQ_EMPTY(&server->tasks) &&
	    server->unanswered_holds <= SCHED_UNANSWERED_HOLDS_MAX)
		hold.deadline_ms = sched_lease_extend(server, now_us);
	/* Each incarnation numbers its ends from 1, and a hold does not name an
	 * incarnation: only the connection on which the lists were received is
	 * certain to lead to the same incarnation. */
	if (server->lists_connection_id != 0)
		hold.acknowledged = server->acknowledged;
	server->acknowledged_sent = hold.acknowledged;
	/* The server replies at once while ends are not acknowledged, so a
	 * wait is requested only if there are none. */
	if (busy && server->held && server->unanswered_holds == 0 &&
	    server->sched->jobs_loaded &&
	    server->acknowledged == server->processed_end)
		hold.wait_ms = sched_hold_wait_ms(server, now_us);
	wait_limit_ms = sched_hold_wait_limit_ms(server, now_us);
	if (hold.wait_ms > wait_limit_ms)
		hold.wait_ms = wait_limit_ms;
	server->hold_pending = true;
	server->hold_sent_us = now_us;
	server->hold_due_us = 0;
	sched->params.worker->ops->hold(server->link, &hold, sched_hold_done,
	    server);
}

/* Stops runs that take far longer than expected, so that they are started on
 * another server, and retries stop orders without a reply. */
static void
sched_check_stragglers(struct sched_server *server, uint64_t now_us)
{
	uint64_t expected_ms, limit_ms;
	struct sched_task *task, *next;

	TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next) {
		if (task->state == SCHED_TASK_STOPPING) {
			if (task->order == NULL && !task->stop_confirmed &&
			    now_us - task->last_update_us >
				SCHED_RETRY_DELAY_MS * SCHED_US_PER_MS)
				sched_run_stop(task);
			continue;
		}
		if (task->state != SCHED_TASK_RUNNING ||
		    task->start_sent_us == 0 || task->job->spec.long_running ||
		    sched_gang_member(task))
			continue;
		expected_ms = (uint64_t)sched_task_expected_ms(task) *
		    PLACE_SPEED_NOMINAL / (server->speed_permille | 1);
		limit_ms = SCHED_STRAGGLER_FACTOR * expected_ms;
		if (limit_ms < SCHED_STRAGGLER_MIN_MS)
			limit_ms = SCHED_STRAGGLER_MIN_MS;
		if (now_us - task->start_sent_us < limit_ms * SCHED_US_PER_MS)
			continue;
		log_event(LOG_LEVEL_INFO, "straggler",
		    "id=%s task=%" PRIu32 ".%" PRIu32
		    " server=%s expected_ms=%" PRIu64 " speed=%" PRIu32,
		    task->job->spec.id, task->step, task->index,
		    server->info.id, expected_ms, server->speed_permille);
		server->speed_permille = server->speed_permille / 2;
		sched_run_stop(task);
	}
}

/* Stops runs that no job has adopted within the grace period. */
static void
sched_check_orphans(struct sched_server *server, uint64_t now_us)
{
	struct sched_orphan *orphan;

	TAILQ_FOREACH (orphan, &server->orphans, entry) {
		if (orphan->order != NULL ||
		    now_us - orphan->grace_start_us <
			SCHED_ORPHAN_GRACE_MS * SCHED_US_PER_MS)
			continue;
		orphan->grace_start_us = now_us;
		sched_run_stop_orphan(server, orphan);
	}
}

bool
sched_lease_ended(const struct sched_server *server)
{
	return lease_expired(&server->lease, sched_confirmed_us(server->sched));
}

static bool
sched_server_awaited(const struct sched_server *server)
{
	const struct sched_task *task;

	TAILQ_FOREACH (task, &server->tasks, on_server) {
		if (sched_task_awaits_server(task))
			return true;
	}
	return false;
}

/* Releases the runs that have ended with the lease of an awaited server. */
static void
sched_server_discard_runs(struct sched_server *server)
{
	struct sched_task *task, *next;
	bool recorded = server->refusing;

	TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next) {
		if (sched_task_awaits_server(task))
			continue;
		if (!recorded)
			sched_suspects_server_lost(server, false);
		recorded = true;
		sched_run_discard(task, "unreachable until its lease expired");
	}
}

void
sched_server_tick(struct sched_server *server, uint64_t now_us)
{
	sched_late_expire(server, now_us);
	if (server->link == NULL) {
		if (!server->removed && server->reopen_at_us <= now_us)
			sched_server_reset(server);
		return;
	}
	if (server->unanswered_holds > SCHED_UNANSWERED_HOLDS_MAX &&
	    server->pending_calls == 0 && !TAILQ_EMPTY(&server->tasks) &&
	    lease_expired(&server->lease, now_us)) {
		if (!sched_lease_ended(server)) {
			server->sched->awaits_confirmation = true;
		} else if (server->removed || !sched_server_awaited(server)) {
			sched_server_lost(server,
			    "unreachable until its lease expired",
			    SCHED_LOSS_UNREACHABLE);
			return;
		} else {
			sched_server_discard_runs(server);
		}
	}
	if (!server->hold_pending && server->hold_due_us != 0 &&
	    server->hold_due_us <= now_us)
		sched_server_hold(server, now_us);
	sched_check_stragglers(server, now_us);
	sched_check_orphans(server, now_us);
}
