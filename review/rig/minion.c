/*
 * Backend servers (minions) as PROTOCOL.md has them: runs under a lease,
 * fencing tokens, run ids that only rise, lists of runs, crashes. They guard
 * their capacity. The spec of a task says how long it works ("ms=N"), how many
 * of its runs fail ("fail=N"), and what it needs ("cpu=N").
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "review/rig/rig.h"
#include "tests/support/standin.h"

#define MINION_NEVER UINT64_MAX
#define MINION_FAILS_AFTER_MS 50
#define MINION_BEATS_MAX 3 /* silent intervals until an entry is removed */

/* A hold that waits for the end of a run. */
struct minion_hold {
	struct evhttp_request *req;
	struct rig_minion *minion;
	uint64_t born_ms, until_ms;
	TAILQ_ENTRY(minion_hold) entry;
};

static TAILQ_HEAD(, minion_hold) minion_holds = TAILQ_HEAD_INITIALIZER(
    minion_holds);

/* What all minions together have seen of a task. */
struct minion_task {
	char name[RIG_NAME_SIZE];
	struct rig_task_counts counts;
	LIST_ENTRY(minion_task) entry;
};

static LIST_HEAD(, minion_task) minion_tasks = LIST_HEAD_INITIALIZER(
    minion_tasks);

struct rig_task_counts *
rig_task(const char *name)
{
	struct minion_task *task;

	LIST_FOREACH (task, &minion_tasks, entry) {
		if (strcmp(task->name, name) == 0)
			return &task->counts;
	}
	task = calloc(1, sizeof(*task));
	snprintf(task->name, sizeof(task->name), "%s", name);
	LIST_INSERT_HEAD(&minion_tasks, task, entry);
	return &task->counts;
}

static uint64_t
minion_clock_ms(const struct rig_minion *minion)
{
	return rig_now_ms() - minion->started_ms;
}

static uint64_t
minion_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void
minion_register(struct rig_minion *minion)
{
	char address[32], rack[RIG_NAME_SIZE], *text;
	json_t *row;

	snprintf(address, sizeof(address), "127.0.0.1:%u", minion->port);
	snprintf(rack, sizeof(rack), "r%zu", minion->index / 4);
	row = json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:{s:i,s:i,s:i},s:[s,s]}",
	    "service", "renewdesk", "address", address, "zone", minion->zone,
	    "version", "1", "slots", 8, "state", "ready", "cold_remaining_ms",
	    0, "sequence", (json_int_t)++minion->sequence, "born",
	    (json_int_t)minion->born_ms, "capacity", "cpu", (int)minion->cpu,
	    "mem_mb", (int)minion->mem_mb, "gpus", 0, "labels", minion->kind,
	    rack);
	text = json_dumps(row, JSON_COMPACT);
	store_set("servers", minion->id, text);
	minion->registered = true;
	minion->beat_ms = rig_now_ms();
	free(text);
	json_decref(row);
}

static void
minion_reply(struct evhttp_request *req, const struct rig_minion *minion,
    int status, const char *reason, json_t *body)
{
	json_object_set_new(body, "clock_ms",
	    json_integer((json_int_t)minion_clock_ms(minion)));
	json_object_set_new(body, "born",
	    json_integer((json_int_t)minion->born_ms));
	if (reason != NULL)
		json_object_set_new(body, "reason", json_string(reason));
	sti_reply(req, status, body);
}

static void
minion_reply_lists(struct evhttp_request *req, const struct rig_minion *minion)
{
	json_t *running = json_array(), *ended = json_array();
	const struct rig_run *run;
	size_t n = 0;

	TAILQ_FOREACH (run, &minion->running, entry)
		json_array_append_new(running,
		    json_pack("[s,I,s,i,i]", run->task, (json_int_t)run->id,
			run->saved, 100, (int)run->cpu));
	TAILQ_FOREACH (run, &minion->ended, entry) {
		if (n++ == RIG_ENDS_MAX)
			break;
		json_array_append_new(ended,
		    json_pack("[I,s,I,s,s]", (json_int_t)run->number, run->task,
			(json_int_t)run->id, run->how, run->saved));
	}
	minion_reply(req, minion, 200, NULL,
	    json_pack("{s:o,s:o}", "running", running, "ended_runs", ended));
}

static void
minion_save(struct rig_run *run, uint64_t work_ms)
{
	run->saved_ms = work_ms;
	snprintf(run->saved, sizeof(run->saved), "%08x%.8s", (unsigned)work_ms,
	    run->task + 4);
}

static uint64_t
minion_work_ms(const struct rig_run *run)
{
	return run->ends_ms == MINION_NEVER
	    ? run->resumed_ms
	    : run->resumed_ms + rig_now_ms() - run->started_ms;
}

static void
minion_end_run(struct rig_minion *minion, struct rig_run *run, const char *how)
{
	if (rig.checkpoint_ms != 0 && run->ends_ms != MINION_NEVER)
		minion_save(run, minion_work_ms(run));
	run->number = ++minion->last_number;
	run->how = how;
	rig_task(run->task)->done += strcmp(how, "done") == 0;
	rig_task(run->task)->failed += strcmp(how, "failed") == 0;
	minion->used_cpu -= run->cpu;
	TAILQ_REMOVE(&minion->running, run, entry);
	TAILQ_INSERT_TAIL(&minion->ended, run, entry);
	rig_record("%s ends run %llu of %s: %s", minion->id,
	    (unsigned long long)run->id, run->task, how);
	if (rig.on_end != NULL)
		rig.on_end(minion, run, how);
}

/* Whether two runs are of members of one run of a gang. */
static bool
minion_same_gang(const struct rig_run *a, const struct rig_run *b)
{
	size_t len = (size_t)(strrchr(a->task, '.') - a->task) + 1;

	return a->id == b->id && strncmp(a->task, b->task, len) == 0;
}

/* The other members of a gang end with it. */
static void
minion_end_gang(const struct rig_run *ended, const char *how)
{
	struct rig_run *run, *next;
	size_t i;

	for (i = 0; rig.gang != 0 && i < RIG_MINIONS; i++) {
		for (run = TAILQ_FIRST(&rig.minions[i].running); run != NULL;
		     run = next) {
			next = TAILQ_NEXT(run, entry);
			if (run != ended && minion_same_gang(run, ended))
				minion_end_run(&rig.minions[i], run, how);
		}
	}
}

/* The work of a gang begins when all of its members are present. */
static void
minion_gang_start(const struct rig_run *started, uint64_t work_ms)
{
	uint64_t now_ms = rig_now_ms();
	struct rig_run *run;
	uint32_t n = 0;
	size_t i;
	int pass;

	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < RIG_MINIONS; i++) {
			TAILQ_FOREACH (run, &rig.minions[i].running, entry) {
				if (!minion_same_gang(run, started))
					continue;
				if (pass == 0) {
					n++;
					continue;
				}
				run->started_ms = now_ms;
				run->ends_ms =
				    now_ms + work_ms - run->resumed_ms;
			}
		}
		if (n < rig.gang)
			return;
	}
}

static uint32_t
minion_spec(const char *spec, const char *name)
{
	const char *found = strstr(spec, name);

	return found == NULL ? 0 : (uint32_t)atoi(found + strlen(name));
}

static struct rig_run *
minion_find(struct rig_runs *runs, const char *task, uint64_t id)
{
	struct rig_run *run;

	TAILQ_FOREACH (run, runs, entry) {
		if (run->id >= id && strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static void
minion_check_twice(const struct rig_minion *minion, const struct rig_run *run)
{
	struct rig_run *other;
	size_t i;

	for (i = 0; i < RIG_MINIONS; i++) {
		TAILQ_FOREACH (other, &rig.minions[i].running, entry) {
			if (other == run || strcmp(other->task, run->task) != 0)
				continue;
			rig.twice++;
			rig_record("TWICE: %s has run %llu on %s and run %llu "
				   "on %s at the same time",
			    run->task, (unsigned long long)run->id, minion->id,
			    (unsigned long long)other->id, rig.minions[i].id);
		}
	}
}

/* A task is started: whether an earlier run of it has ended as done. */
static void
minion_check_again(const char *task)
{
	struct rig_run *run;
	size_t i;

	rig_task(task)->started_again += rig_task(task)->done_noted > 0;
	for (i = 0; i < RIG_MINIONS; i++) {
		TAILQ_FOREACH (run, &rig.minions[i].ended, entry) {
			if (strcmp(run->how, "done") == 0 &&
			    strcmp(run->task, task) == 0)
				run->started_since = true;
		}
	}
}

static void
minion_run(struct rig_minion *minion, const json_t *body)
{
	const char *spec = sti_str(body, "spec", "");
	const char *task = sti_str(body, "task", "");
	const char *checkpoint = sti_str(body, "checkpoint", "");
	struct rig_run *run = calloc(1, sizeof(*run));
	uint32_t work_ms = minion_spec(spec, "ms=");
	const struct rig_host *host = rig_host_of_token(minion->token);

	snprintf(run->task, sizeof(run->task), "%s", task);
	run->id = (uint64_t)sti_int(body, "run_id", 0);
	run->cpu = minion_spec(spec, "cpu=");
	run->started_ms = rig_now_ms();
	if (checkpoint[0] != '\0')
		run->resumed_ms = strtoull(
		    (char[]){ checkpoint[0], checkpoint[1], checkpoint[2],
			checkpoint[3], checkpoint[4], checkpoint[5],
			checkpoint[6], checkpoint[7], '\0' },
		    NULL, 16);
	run->how = rig_task(task)->failed < minion_spec(spec, "fail=")
	    ? "failed"
	    : "done";
	run->ends_ms = run->started_ms + work_ms - run->resumed_ms;
	if (minion->fails_runs) {
		run->how = "failed";
		run->ends_ms = run->started_ms + MINION_FAILS_AFTER_MS;
	}
	minion->used_cpu += run->cpu;
	rig_task(task)->starts++;
	minion_check_again(task);
	rig_record("%s starts run %llu of %s for %s%s%s", minion->id,
	    (unsigned long long)run->id, run->task,
	    host == NULL ? "?" : host->name,
	    checkpoint[0] == '\0' ? "" : ", checkpoint ", checkpoint);
	TAILQ_INSERT_TAIL(&minion->running, run, entry);
	minion_check_twice(minion, run);
	if (rig.on_start != NULL)
		rig.on_start(minion, run, checkpoint);
	if (rig.gang != 0) {
		run->ends_ms = MINION_NEVER;
		minion_gang_start(run, work_ms);
	}
}

static void
minion_extend_lease(struct rig_minion *minion, uint64_t deadline_ms)
{
	uint64_t max_ms = minion_clock_ms(minion) + RIG_MAX_HOLD_MS;

	if (deadline_ms > max_ms)
		deadline_ms = max_ms;
	if (deadline_ms > minion->lease_end_ms)
		minion->lease_end_ms = deadline_ms;
}

/* Return: the reason of the refusal, or NULL. */
static const char *
minion_start_order(struct rig_minion *minion, const json_t *body)
{
	uint64_t deadline_ms = (uint64_t)sti_int(body, "deadline_ms", 0);
	uint64_t id = (uint64_t)sti_int(body, "run_id", 0);
	const char *task = sti_str(body, "task", "");
	const struct rig_run *run;

	if (deadline_ms < minion_clock_ms(minion))
		return "late";
	minion_extend_lease(minion, deadline_ms);
	run = minion_find(&minion->running, task, id);
	if (run != NULL)
		return run->id == id ? NULL : "old";
	if (minion_find(&minion->ended, task, id) != NULL ||
	    minion_find(&minion->stopped, task, id) != NULL)
		return "old";
	if (minion->used_cpu + minion_spec(sti_str(body, "spec", ""), "cpu=") >
	    minion->cpu)
		return "room";
	minion_run(minion, body);
	return NULL;
}

static void
minion_stop_order(struct rig_minion *minion, const json_t *body)
{
	uint64_t id = (uint64_t)sti_int(body, "run_id", 0);
	const char *task = sti_str(body, "task", "");
	struct rig_run *run = minion_find(&minion->running, task, id);

	if (run != NULL && run->id == id) {
		if (run->stop_at_ms == 0)
			run->stop_at_ms = rig_now_ms() + RIG_STOP_GRACE_MS / 2;
		return;
	}
	/* A run that is not there yet will be rejected. */
	run = calloc(1, sizeof(*run));
	snprintf(run->task, sizeof(run->task), "%s", task);
	run->id = id;
	TAILQ_INSERT_TAIL(&minion->stopped, run, entry);
}

/* Ends up to last_seen are forgotten, but not that their runs have ended. */
static void
minion_see(struct rig_minion *minion, uint64_t last_seen)
{
	struct rig_run *run, *next;

	for (run = TAILQ_FIRST(&minion->ended); run != NULL; run = next) {
		next = TAILQ_NEXT(run, entry);
		if (run->number > last_seen)
			continue;
		TAILQ_REMOVE(&minion->ended, run, entry);
		TAILQ_INSERT_TAIL(&minion->stopped, run, entry);
		rig_task(run->task)->done_noted +=
		    !run->lapsed && strcmp(run->how, "done") == 0;
		rig_task(run->task)->started_again +=
		    !run->lapsed && run->started_since;
		rig_task(run->task)->failed_noted +=
		    strcmp(run->how, "failed") == 0;
		rig_record("%s: the end of run %llu of %s is taken note of",
		    minion->id, (unsigned long long)run->id, run->task);
	}
}

static void
minion_hold_order(struct rig_minion *minion, struct evhttp_request *req,
    const json_t *body)
{
	uint64_t deadline_ms = (uint64_t)sti_int(body, "deadline_ms", 0);
	uint64_t wait_ms = (uint64_t)sti_int(body, "wait_ms", 0);
	struct minion_hold *hold;

	if (deadline_ms != 0)
		minion_extend_lease(minion, deadline_ms);
	minion_see(minion, (uint64_t)sti_int(body, "last_seen", 0));
	if (wait_ms == 0 || !TAILQ_EMPTY(&minion->ended)) {
		minion_reply_lists(req, minion);
		return;
	}
	hold = calloc(1, sizeof(*hold));
	hold->req = req;
	hold->minion = minion;
	hold->born_ms = minion->born_ms;
	hold->until_ms = rig_now_ms() + wait_ms;
	evhttp_request_own(req);
	TAILQ_INSERT_TAIL(&minion_holds, hold, entry);
}

/* Whether a call is one of the share that is refused. */
static bool
minion_sheds(struct rig_minion *minion)
{
	minion->shed_sum += minion->shed_percent;
	if (minion->shed_sum < 100)
		return false;
	minion->shed_sum -= 100;
	return true;
}

static void
minion_serve(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_request_get_uri(req), *reason = NULL;
	const char *instance = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Target-Instance");
	struct rig_minion *minion = arg;
	json_t *body = sti_json_body(req);
	uint64_t token = (uint64_t)sti_int(body, "fencing_token", 0);

	if (minion->cut_above_token != 0 && token > minion->cut_above_token) {
		evhttp_request_own(req); /* never arrives */
	} else if (instance != NULL && strcmp(instance, minion->id) != 0) {
		minion_reply(req, minion, 421, NULL, json_object());
	} else if (token < minion->token) {
		minion_reply(req, minion, 409, "fence", json_object());
	} else if (minion_sheds(minion)) {
		rig_record("%s refuses %s of %s: 503", minion->id, path,
		    sti_str(body, "task", "no task"));
		minion_reply(req, minion, 503, NULL, json_object());
	} else if (minion->unhealthy && strcmp(path, "/v1/run-start") == 0) {
		rig_record("%s refuses to start %s: 503", minion->id,
		    sti_str(body, "task", ""));
		minion_reply(req, minion, 503, NULL, json_object());
	} else {
		if (token > minion->token) {
			const struct rig_host *host = rig_host_of_token(token);

			minion->token = token;
			rig_record("%s is held by %s", minion->id,
			    host == NULL ? "?" : host->name);
		}
		if (strcmp(path, "/v1/hold") == 0) {
			minion_hold_order(minion, req, body);
		} else {
			if (strcmp(path, "/v1/run-start") == 0)
				reason = minion_start_order(minion, body);
			else
				minion_stop_order(minion, body);
			minion_reply(req, minion, reason == NULL ? 200 : 409,
			    reason, json_object());
		}
	}
	json_decref(body);
}

static void
minion_tick_runs(struct rig_minion *minion)
{
	bool lapsed = minion_clock_ms(minion) > minion->lease_end_ms;
	uint64_t now_ms = rig_now_ms(), work_ms;
	struct rig_run *run, *next;
	const char *how;

	TAILQ_FOREACH (run, &minion->ended, entry)
		run->lapsed |= lapsed;
	for (run = TAILQ_FIRST(&minion->running); run != NULL; run = next) {
		next = TAILQ_NEXT(run, entry);
		work_ms = minion_work_ms(run);
		if (rig.checkpoint_ms != 0 &&
		    work_ms >= run->saved_ms + rig.checkpoint_ms)
			minion_save(run, work_ms - work_ms % rig.checkpoint_ms);
		if (run->stop_at_ms != 0 && now_ms >= run->stop_at_ms)
			how = "stopped";
		else if (now_ms >= run->ends_ms)
			how = run->how;
		else if (lapsed)
			how = "lapsed";
		else if (run->ends_ms == MINION_NEVER &&
		    now_ms >= run->started_ms + RIG_GANG_TIMEOUT_MS)
			how = "alone";
		else
			continue;
		minion_end_run(minion, run, how);
		minion_end_gang(run,
		    strcmp(how, "done") == 0 ? "done" : "broken");
		next = TAILQ_FIRST(&minion->running);
	}
}

static void
minion_tick_holds(struct rig_minion *minion)
{
	struct minion_hold *hold, *next;

	for (hold = TAILQ_FIRST(&minion_holds); hold != NULL; hold = next) {
		next = TAILQ_NEXT(hold, entry);
		if (hold->minion != minion)
			continue;
		if (hold->born_ms == minion->born_ms &&
		    TAILQ_EMPTY(&minion->ended) &&
		    rig_now_ms() < hold->until_ms)
			continue;
		TAILQ_REMOVE(&minion_holds, hold, entry);
		if (hold->born_ms == minion->born_ms)
			minion_reply_lists(hold->req, minion);
		free(hold);
	}
}

void
minion_tick(struct rig_minion *minion)
{
	uint64_t now_ms = rig_now_ms();

	if (minion->http != NULL) {
		minion_tick_runs(minion);
		minion_tick_holds(minion);
	}
	if (minion->http != NULL) {
		if (now_ms >= minion->beat_due_ms) {
			minion->beat_due_ms = now_ms + RIG_HEARTBEAT_MS;
			if (!minion->cut_off_store)
				minion_register(minion);
		}
	}
	if (minion->registered &&
	    now_ms > minion->beat_ms + MINION_BEATS_MAX * RIG_HEARTBEAT_MS) {
		minion->registered = false;
		store_remove("servers", minion->id);
		rig_record("the entry of %s is removed", minion->id);
	}
}

static void
minion_free_runs(struct rig_runs *runs)
{
	struct rig_run *run;

	while ((run = TAILQ_FIRST(runs)) != NULL) {
		TAILQ_REMOVE(runs, run, entry);
		free(run);
	}
}

void
rig_count_tasks(bool (*matches)(const struct rig_task_counts *counts),
    const char **name, uint32_t *n)
{
	struct minion_task *task;

	*n = 0;
	LIST_FOREACH (task, &minion_tasks, entry) {
		if (!matches(&task->counts))
			continue;
		(*n)++;
		*name = task->name;
	}
}

void
minion_crash(struct rig_minion *minion)
{
	struct minion_hold *hold, *next;
	struct rig_run *run;

	rig_record("%s crashes", minion->id);
	while ((run = TAILQ_FIRST(&minion->running)) != NULL) {
		minion_end_gang(run, "broken");
		TAILQ_REMOVE(&minion->running, run, entry);
		free(run);
	}
	for (hold = TAILQ_FIRST(&minion_holds); hold != NULL; hold = next) {
		next = TAILQ_NEXT(hold, entry);
		if (hold->minion != minion)
			continue;
		TAILQ_REMOVE(&minion_holds, hold, entry);
		free(hold);
	}
	evhttp_free(minion->http);
	minion->http = NULL;
	minion_free_runs(&minion->ended);
	minion_free_runs(&minion->stopped);
	minion->used_cpu = 0;
}

void
minion_start(struct rig_minion *minion)
{
	minion->born_ms = minion_unix_ms();
	minion->started_ms = rig_now_ms();
	minion->token = 0;
	minion->lease_end_ms = 0;
	minion->last_number = 0;
	minion->sequence = 0;
	minion->beat_due_ms = 0;
	if (minion->port == 0) {
		minion->http = sti_http_server(rig.base, &minion->port,
		    minion_serve, minion);
		return;
	}
	/* A later lifetime has the id and the address of the former one. */
	minion->http = evhttp_new(rig.base);
	if (evhttp_bind_socket(minion->http, "127.0.0.1", minion->port) != 0)
		rig_end(RIG_NOT_RUN, "port %u of %s is in use", minion->port,
		    minion->id);
	evhttp_set_gencb(minion->http, minion_serve, minion);
	rig_record("%s starts again, kind %s", minion->id, minion->kind);
}

void
minion_init(struct rig_minion *minion)
{
	TAILQ_INIT(&minion->running);
	TAILQ_INIT(&minion->ended);
	TAILQ_INIT(&minion->stopped);
	if (minion->kind == NULL)
		minion->kind = "a";
	if (minion->cpu == 0)
		minion->cpu = RIG_CPU;
	if (minion->mem_mb == 0)
		minion->mem_mb = RIG_MEM_MB;
	minion_start(minion);
}
