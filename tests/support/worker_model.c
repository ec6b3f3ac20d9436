/*
 * Model of backend servers that run tasks under leases and fencing tokens.
 * Records of ended runs are retained, so that a run id is never started twice.
 */

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "tests/support/worker_model.h"

#define WM_STOP_GRACE_MS 20
#define WM_GANG_TIMEOUT_MS 400
#define WM_CRASH_MS 10	/* from the start of a run that crashes its server */
#define WM_DOWN_MS 3300 /* default */
#define WM_CRASHES_MAX 3
#define WM_STARTS_AFTER_CRASHES 3
#define WM_NEVER UINT64_MAX

void
wm_init(struct wm_cluster *cluster, size_t nservers, uint32_t cpu)
{
	size_t i;

	memset(cluster, 0, sizeof(*cluster));
	LIST_INIT(&cluster->tasks);
	cluster->max_lease_ms = 1000;
	cluster->down_ms = WM_DOWN_MS;
	cluster->nservers = nservers;
	cluster->servers = mem_zalloc(nservers, sizeof(*cluster->servers));
	for (i = 0; i < nservers; i++) {
		cluster->servers[i].cluster = cluster;
		cluster->servers[i].cpu = cpu;
		cluster->servers[i].speed = 1000;
		cluster->servers[i].next_number = 1;
		cluster->servers[i].guards_cpu = true;
		cluster->servers[i].started_ms = 1;
		cluster->servers[i].process = 1;
		cluster->servers[i].clock_permille = 1000;
		TAILQ_INIT(&cluster->servers[i].running);
		TAILQ_INIT(&cluster->servers[i].ended);
	}
}

const char *
wm_violation_name(enum wm_violation_kind kind)
{
	static const char *const names[WM_KINDS] = {
		[WM_KIND_TWO_RUNS] = "two-runs",
		[WM_KIND_STARTS_AFTER_CRASHES] = "starts-after-crashes",
		[WM_KIND_START_AFTER_END] = "start-after-end",
		[WM_KIND_INVALID_SPEC] = "invalid-spec",
	};

	return names[kind];
}

static void __attribute__((format(printf, 3, 4)))
wm_report_violation(struct wm_cluster *cluster, enum wm_violation_kind kind,
    const char *fmt, ...)
{
	struct wm_violations *same = &cluster->by_kind[kind];
	char text[sizeof(cluster->first_violation)];
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (cluster->trace != NULL)
		cluster->trace(text);
	if (same->n++ == 0)
		strlcpy(same->first, text, sizeof(same->first));
	if (cluster->violations++ == 0)
		strlcpy(cluster->first_violation, text,
		    sizeof(cluster->first_violation));
}

static void
wm_trace(const struct wm_server *server, const char *event, const char *task,
    uint64_t run_id)
{
	char text[256];

	if (server->cluster->trace == NULL)
		return;
	(void)snprintf(text, sizeof(text),
	    "s%zu %s %s run=%" PRIu64 " token=%" PRIu64
	    " lease_end_ms=%" PRIu64,
	    (size_t)(server - server->cluster->servers), event, task, run_id,
	    server->token, server->lease_end_ms);
	server->cluster->trace(text);
}

static struct wm_task *
wm_task_get(struct wm_cluster *cluster, const char *name)
{
	struct wm_task *task = (struct wm_task *)wm_task(cluster, name);

	if (task != NULL)
		return task;
	task = mem_zalloc(1, sizeof(*task));
	strlcpy(task->task, name, sizeof(task->task));
	LIST_INSERT_HEAD(&cluster->tasks, task, entry);
	return task;
}

const struct wm_task *
wm_task(const struct wm_cluster *cluster, const char *name)
{
	const struct wm_task *task;

	LIST_FOREACH (task, &cluster->tasks, entry) {
		if (strcmp(task->task, name) == 0)
			return task;
	}
	return NULL;
}

static void
wm_runs_free(struct wm_runs *runs)
{
	struct wm_run *run, *next;

	TAILQ_FOREACH_SAFE (run, runs, entry, next)
		free(run);
	TAILQ_INIT(runs);
}

uint64_t
wm_clock_ms(const struct wm_server *server, uint64_t now_ms)
{
	uint64_t age_ms =
	    now_ms > server->clock_zero_ms ? now_ms - server->clock_zero_ms : 0;

	return age_ms * server->clock_permille / 1000 +
	    (uint64_t)server->skew_ms;
}

void
wm_set_clock_speed(struct wm_server *server, uint64_t now_ms, uint32_t permille)
{
	server->skew_ms = (int64_t)wm_clock_ms(server, now_ms);
	server->clock_zero_ms = now_ms;
	server->clock_permille = permille;
}

void
wm_id(const struct wm_server *server, char *id)
{
	size_t index = (size_t)(server - server->cluster->servers);

	if (server->id_suffix == 0)
		(void)snprintf(id, NAME_SIZE, "s%zu", index);
	else
		(void)snprintf(id, NAME_SIZE, "s%zu-%" PRIu32, index,
		    server->id_suffix);
}

/* Calls @each for all other runs of the same gang. */
static void
wm_gang_each(struct wm_server *server, const struct wm_run *run,
    void (*each)(struct wm_server *server, struct wm_run *run, uint64_t value),
    uint64_t value)
{
	size_t i, len = (size_t)(strrchr(run->task, '.') - run->task);
	struct wm_cluster *cluster = server->cluster;
	struct wm_run *other, *next;

	for (i = 0; i < cluster->nservers; i++) {
		TAILQ_FOREACH_SAFE (other, &cluster->servers[i].running, entry,
		    next) {
			if (other != run && other->run_id == run->run_id &&
			    strncmp(other->task, run->task, len + 1) == 0)
				each(&cluster->servers[i], other, value);
		}
	}
}

static void
wm_gang_count(struct wm_server *server, struct wm_run *run, uint64_t value)
{
	(void)server;
	(void)run;
	++*(uint32_t *)(uintptr_t)value;
}

static void
wm_gang_start_work(struct wm_server *server, struct wm_run *run,
    uint64_t now_ms)
{
	(void)server;
	run->gang_wait_since_ms = 0;
	run->ends_ms = now_ms + run->work_ms;
}

/* Handles a new run of a gang: work starts when all members have a run. */
static void
wm_gang_join(struct wm_server *server, struct wm_run *run, uint64_t now_ms)
{
	uint32_t present = 1;

	run->gang_wait_since_ms = now_ms;
	run->ends_ms = WM_NEVER;
	wm_gang_each(server, run, wm_gang_count, (uint64_t)(uintptr_t)&present);
	if (present < run->gang)
		return;
	wm_gang_start_work(server, run, now_ms);
	wm_gang_each(server, run, wm_gang_start_work, now_ms);
}

static void
wm_run_finish(struct wm_server *server, struct wm_run *run,
    enum worker_end_state end_state)
{
	static const char *const events[] = {
		[WORKER_END_DONE] = "done",
		[WORKER_END_FAILED] = "failed",
		[WORKER_END_STOPPED] = "stopped",
		[WORKER_END_LEASE_EXPIRED] = "lapsed",
		[WORKER_END_OTHER] = "broken",
	};
	struct wm_task *task = wm_task_get(server->cluster, run->task);

	wm_trace(server, events[end_state], run->task, run->run_id);
	task->running_now--;
	if (end_state == WORKER_END_FAILED)
		task->failures++;
	if (end_state == WORKER_END_DONE)
		task->completions++;
	run->end_state = end_state;
	run->number = server->next_number++;
	server->used_cpu -= run->cpu;
	TAILQ_REMOVE(&server->running, run, entry);
	TAILQ_INSERT_TAIL(&server->ended, run, entry);
}

/* Ends the run of another member of a gang. */
static void
wm_gang_finish(struct wm_server *server, struct wm_run *run, uint64_t end_state)
{
	wm_run_finish(server, run, (enum worker_end_state)end_state);
}

static void
wm_run_end(struct wm_server *server, struct wm_run *run,
    enum worker_end_state end_state)
{
	if (run->gang != 0)
		wm_gang_each(server, run, wm_gang_finish,
		    end_state == WORKER_END_DONE ? WORKER_END_DONE
						 : WORKER_END_OTHER);
	wm_run_finish(server, run, end_state);
}

void
wm_crash(struct wm_server *server)
{
	struct wm_run *run;

	TAILQ_FOREACH (run, &server->running, entry) {
		wm_trace(server, "crashed", run->task, run->run_id);
		wm_task_get(server->cluster, run->task)->running_now--;
		if (run->gang != 0)
			wm_gang_each(server, run, wm_gang_finish,
			    WORKER_END_OTHER);
	}
	wm_runs_free(&server->running);
	wm_runs_free(&server->ended);
	server->token = 0;
	server->next_number = 1;
	server->lease_end_ms = 0;
	server->used_cpu = 0;
	server->started_ms++;
}

void
wm_restart(struct wm_server *server, uint64_t now_ms, uint32_t down_ms,
    enum wm_restart_kind kind)
{
	wm_crash(server);
	server->process++;
	server->down_until_ms = now_ms + down_ms;
	if (kind == WM_RESTART_CLOCK_KEPT)
		return;
	server->skew_ms = 0;
	server->clock_zero_ms = now_ms + down_ms;
	if (server->started_ms < server->clock_zero_ms)
		server->started_ms = server->clock_zero_ms;
	if (kind == WM_RESTART_NEW_ID)
		server->id_suffix = server->process;
}

bool
wm_is_down(const struct wm_server *server, uint64_t now_ms)
{
	return now_ms < server->down_until_ms;
}

/* Return: whether the server has crashed. */
static bool
wm_check_crash(struct wm_server *server, uint64_t now_ms)
{
	struct wm_run *run;

	TAILQ_FOREACH (run, &server->running, entry) {
		if (run->crash_ms == 0 || now_ms < run->crash_ms)
			continue;
		wm_task_get(server->cluster, run->task)->crashes++;
		wm_restart(server, now_ms, server->cluster->down_ms,
		    server->cluster->restart_kind);
		return true;
	}
	return false;
}

void
wm_release(struct wm_cluster *cluster)
{
	struct wm_task *task, *next;
	size_t i;

	for (i = 0; i < cluster->nservers; i++)
		wm_crash(&cluster->servers[i]);
	for (task = LIST_FIRST(&cluster->tasks); task != NULL; task = next) {
		next = LIST_NEXT(task, entry);
		free(task);
	}
	free(cluster->servers);
}

bool
wm_advance(struct wm_server *server, uint64_t now_ms)
{
	bool expired = server->lease_end_ms < wm_clock_ms(server, now_ms);
	struct wm_run *run, *next;
	uint64_t before = server->next_number;

	if (wm_check_crash(server, now_ms))
		return false;
	TAILQ_FOREACH (run, &server->ended, entry)
		run->lease_lapsed |= expired;
	TAILQ_FOREACH (run, &server->running, entry) {
		if (server->cluster->checkpoints &&
		    run->gang_wait_since_ms == 0)
			(void)snprintf(run->last_checkpoint,
			    sizeof(run->last_checkpoint), "%" PRIu64,
			    run->skipped_ms + now_ms - run->started_ms);
	}

	TAILQ_FOREACH_SAFE (run, &server->running, entry, next) {
		if (run->stopping && now_ms >= run->stop_ms) {
			wm_run_end(server, run, WORKER_END_STOPPED);
		} else if (!server->hangs && now_ms >= run->ends_ms) {
			wm_run_end(server, run,
			    run->will_fail ? WORKER_END_FAILED
					   : WORKER_END_DONE);
		} else if (expired) {
			wm_run_end(server, run, WORKER_END_LEASE_EXPIRED);
		} else if (run->gang_wait_since_ms != 0 &&
		    now_ms >= run->gang_wait_since_ms + WM_GANG_TIMEOUT_MS) {
			server->cluster->gang_timeouts++;
			wm_run_end(server, run, WORKER_END_OTHER);
		} else {
			continue;
		}
		/* The end of a gang's run may have ended the next one, too. */
		next = TAILQ_FIRST(&server->running);
	}
	return server->next_number != before;
}

/* Extends the lease to @deadline_ms, at most to the longest permitted lease. A
 * lease is never shortened. */
static void
wm_extend_lease(struct wm_server *server, uint64_t now_ms, uint64_t deadline_ms)
{
	uint64_t max_end_ms =
	    wm_clock_ms(server, now_ms) + server->cluster->max_lease_ms;

	if (deadline_ms > max_end_ms)
		deadline_ms = max_end_ms;
	if (deadline_ms > server->lease_end_ms)
		server->lease_end_ms = deadline_ms;
}

static bool
wm_fence(struct wm_server *server, uint64_t token)
{
	if (token < server->token)
		return false;
	server->token = token;
	return true;
}

static struct wm_run *
wm_run_find(struct wm_runs *runs, const char *task, uint64_t run_id)
{
	struct wm_run *run;

	TAILQ_FOREACH (run, runs, entry) {
		if (run->run_id >= run_id && strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

/* A parsed spec. */
struct wm_spec {
	uint32_t cpu;
	uint32_t work_ms;
	uint32_t failing_runs;
	uint32_t gang;
	char crash[16]; /* end of the name of the task that crashes servers */
};

static bool
wm_crashes(const struct wm_spec *spec, const char *task)
{
	size_t len = strlen(task), n = strlen(spec->crash);

	return n != 0 && n <= len && strcmp(task + len - n, spec->crash) == 0;
}

static void
wm_run_start(struct wm_server *server, uint64_t now_ms,
    const struct worker_start *order, const struct wm_spec *spec)
{
	struct wm_cluster *cluster = server->cluster;
	struct wm_task *task = wm_task_get(cluster, order->task);
	struct wm_run *run = mem_zalloc(1, sizeof(*run));

	strlcpy(run->task, order->task, sizeof(run->task));
	run->run_id = order->run_id;
	run->cpu = spec->cpu;
	run->gang = spec->gang;
	run->work_ms = spec->work_ms * 1000 / server->speed;
	run->will_fail = server->failing || task->failures < spec->failing_runs;
	run->ends_ms = server->failing ? now_ms : now_ms + run->work_ms;
	if (order->checkpoint != NULL) {
		cluster->resumed++;
		run->skipped_ms = strtoull(order->checkpoint, NULL, 10);
		run->ends_ms = run->ends_ms > now_ms + run->skipped_ms
		    ? run->ends_ms - run->skipped_ms
		    : now_ms;
	}
	run->started_ms = now_ms;
	if (wm_crashes(spec, order->task))
		run->crash_ms = now_ms + WM_CRASH_MS;
	if (server->used_cpu + spec->cpu > server->cpu)
		server->overcommits++;
	server->used_cpu += spec->cpu;
	server->starts++;
	task->starts++;
	if (task->crashes >= WM_CRASHES_MAX &&
	    ++task->starts_after_crashes >= WM_STARTS_AFTER_CRASHES)
		wm_report_violation(cluster, WM_KIND_STARTS_AFTER_CRASHES,
		    "%s was started %u times after it had crashed %d servers",
		    order->task, task->starts_after_crashes, WM_CRASHES_MAX);
	wm_trace(server, "started", order->task, order->run_id);
	if (++task->running_now > 1)
		wm_report_violation(cluster, WM_KIND_TWO_RUNS,
		    "%s has two runs at the same time", order->task);
	if (task->done_acknowledged && cluster->strict_prefix != '\0' &&
	    order->task[0] == cluster->strict_prefix)
		wm_report_violation(cluster, WM_KIND_START_AFTER_END,
		    "%s starts after its end", order->task);
	TAILQ_INSERT_TAIL(&server->running, run, entry);
	if (run->gang != 0 && !server->failing)
		wm_gang_join(server, run, now_ms);
}

static bool
wm_ticket_valid(const struct wm_server *server, const char *ticket)
{
	size_t index = (size_t)(server - server->cluster->servers);

	return ticket != NULL && ticket[0] == 't' &&
	    strtoull(ticket + 1, NULL, 10) == index &&
	    (server->cluster->denied_servers_mask & (1U << index)) == 0;
}

enum worker_verdict
wm_start(struct wm_server *server, uint64_t now_ms,
    const struct worker_start *order)
{
	struct wm_spec spec = { 0 };
	struct wm_run *run;

	(void)wm_advance(server, now_ms);
	if (!wm_fence(server, order->token))
		return WORKER_FENCED;
	if (order->deadline_ms < wm_clock_ms(server, now_ms))
		return WORKER_DEADLINE_PASSED;
	wm_extend_lease(server, now_ms, order->deadline_ms);
	if (sscanf(order->spec,
		"cpu=%" SCNu32 " ms=%" SCNu32 " fail=%" SCNu32 " gang=%" SCNu32
		" crash=%15s",
		&spec.cpu, &spec.work_ms, &spec.failing_runs, &spec.gang,
		spec.crash) < 3) {
		wm_report_violation(server->cluster, WM_KIND_INVALID_SPEC,
		    "%s was started with the invalid spec \"%s\"", order->task,
		    order->spec);
		return WORKER_REFUSED;
	}
	if (server->cluster->tickets && !wm_ticket_valid(server, order->ticket))
		return WORKER_NO_TICKET;
	run = wm_run_find(&server->running, order->task, order->run_id);
	if (run != NULL)
		return run->run_id == order->run_id ? WORKER_OK
						    : WORKER_STALE_RUN_ID;
	if (wm_run_find(&server->ended, order->task, order->run_id) != NULL)
		return WORKER_STALE_RUN_ID;
	if (server->guards_cpu && server->used_cpu + spec.cpu > server->cpu)
		return WORKER_NO_CAPACITY;
	wm_run_start(server, now_ms, order, &spec);
	return WORKER_OK;
}

enum worker_verdict
wm_stop(struct wm_server *server, uint64_t now_ms, const char *task,
    uint64_t run_id, uint64_t token)
{
	struct wm_run *run;

	(void)wm_advance(server, now_ms);
	if (!wm_fence(server, token))
		return WORKER_FENCED;
	wm_trace(server, "stop", task, run_id);
	run = wm_run_find(&server->running, task, run_id);
	if (run != NULL && run->run_id == run_id) {
		run->stopping = true;
		run->stop_ms = now_ms + WM_STOP_GRACE_MS;
		return WORKER_OK;
	}
	if (wm_run_find(&server->ended, task, run_id) == NULL) {
		/* A record of the run prevents a delayed start of it. */
		run = mem_zalloc(1, sizeof(*run));
		strlcpy(run->task, task, sizeof(run->task));
		run->run_id = run_id;
		run->number = 0;
		TAILQ_INSERT_TAIL(&server->ended, run, entry);
	}
	return WORKER_OK;
}

enum worker_verdict
wm_hold(struct wm_server *server, uint64_t now_ms,
    const struct worker_hold *hold)
{
	struct wm_run *run;

	if (!wm_fence(server, hold->token))
		return WORKER_FENCED;
	server->holds++;
	if (hold->deadline_ms != 0)
		wm_extend_lease(server, now_ms, hold->deadline_ms);
	(void)wm_advance(server, now_ms);
	if (!TAILQ_EMPTY(&server->running))
		wm_trace(server, "held", "", 0);
	TAILQ_FOREACH (run, &server->ended, entry) {
		if (run->number == 0 || run->number > hold->acknowledged)
			continue;
		if (run->end_state == WORKER_END_DONE &&
		    !(server->cluster->strict_in_lease && run->lease_lapsed))
			wm_task_get(server->cluster, run->task)
			    ->done_acknowledged = true;
		/* The record remains: the run may not be started again. */
		run->number = 0;
	}
	return WORKER_OK;
}

void
wm_list_runs(const struct wm_server *server, struct worker_run **running,
    size_t *nrunning, struct worker_ended **ended, size_t *nended)
{
	const struct wm_run *run;
	size_t n = 0, m = 0;

	TAILQ_FOREACH (run, &server->running, entry)
		n++;
	TAILQ_FOREACH (run, &server->ended, entry)
		m++;
	*running = mem_zalloc(n, sizeof(**running));
	*ended = mem_zalloc(m, sizeof(**ended));
	*nrunning = *nended = 0;
	TAILQ_FOREACH (run, &server->running, entry) {
		(*running)[(*nrunning)++] = (struct worker_run){
			.task = run->task,
			.run_id = run->run_id,
			.newest_checkpoint = run->last_checkpoint,
		};
	}
	TAILQ_FOREACH (run, &server->ended, entry) {
		if (run->number == 0)
			continue;
		(*ended)[(*nended)++] = (struct worker_ended){
			.number = run->number,
			.task = run->task,
			.run_id = run->run_id,
			.end_state = run->end_state,
			.newest_checkpoint = run->last_checkpoint,
		};
	}
}
