/*
 * Runs at risk: if their server has crashed and the holder is replaced now, no
 * host would know that their tasks were there. That holds for runs on a server
 * that does not reply, whose loss is recorded once its lease has expired, and
 * for all runs of tasks under which servers were lost before. The holder
 * reports them all, with the replies to pings, to the hosts that are likely to
 * succeed it: a run that is left out is not at risk any more. These hosts pass
 * the last set on to each other. One that takes over records it as losses,
 * which the reply of a server confirms or withdraws. See
 * docs/design/suspects.md.
 */

#include <jansson.h>

#include "adapters/log.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
#define SCHED_RISK_RUNS_MAX 64
/* Runs that were reported before this time are not recorded: most have ended.
 */
#define SCHED_RISK_VALID_MS 3000
/* Times at which hosts received the same set differ by less, as the set's
 * age counts from when the holder was asked. */
#define SCHED_RISK_SAME_MS 20

/* Whether its loss is not recorded yet, and may never be. */
static bool
sched_risk_server_silent(const struct sched_server *server)
{
	return server->unanswered_holds > SCHED_UNANSWERED_HOLDS_MAX &&
	    !server->refusing;
}

/* Adds a run in the form of a loss (see sched_suspects_render()): at the time
 * when the server was last known to have the task. */
static void
sched_risk_add(json_t *items, const struct sched_task *task, uint64_t now_us)
{
	const struct sched_server *server = task->server;
	char name[WORKER_TASK_NAME_SIZE];
	uint64_t known_us = server->listed_us;
	bool alone = TAILQ_FIRST(&server->tasks) ==
	    TAILQ_LAST(&server->tasks, sched_tasks);

	if (server->incarnation_start_ms == 0 || server->info.draining ||
	    !sched_suspect_may_be_lost(task, now_us))
		return;
	if (task->start_sent_us > known_us)
		known_us = task->start_sent_us;
	sched_task_name(task, name);
	(void)json_array_append_new(items,
	    json_pack("[s,[s,I,I,b,b,b]]", name, server->info.id,
		(json_int_t)server->incarnation_start_ms,
		(json_int_t)((now_us - known_us) / SCHED_US_PER_MS), 0,
		(int)alone, (int)task->start_confirmed));
}

static void
sched_risk_add_silent(const struct scheduler *sched, json_t *items,
    uint64_t now_us)
{
	const struct sched_server *server;
	const struct sched_task *task;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		if (!sched_risk_server_silent(server))
			continue;
		TAILQ_FOREACH (task, &server->tasks, on_server) {
			if (json_array_size(items) == SCHED_RISK_RUNS_MAX)
				return;
			sched_risk_add(items, task, now_us);
		}
	}
}

static void
sched_risk_add_suspects(struct scheduler *sched, json_t *items, uint64_t now_us)
{
	const struct susp_task *suspect;
	const struct sched_task *task;

	TAILQ_FOREACH (suspect, &sched->suspects.tasks, entry) {
		if (json_array_size(items) == SCHED_RISK_RUNS_MAX)
			return;
		task = sched_task_find(sched, suspect->name);
		if (task != NULL && task->server != NULL &&
		    !task->server->refusing &&
		    !sched_risk_server_silent(task->server))
			sched_risk_add(items, task, now_us);
	}
}

/* Encodes a set: the token of its holder, its age and the runs. */
static json_t *
sched_risk_message(uint64_t token, uint64_t age_us, json_t *runs)
{
	return json_pack("{s:I,s:I,s:o}", "token", (json_int_t)token, "age_ms",
	    (json_int_t)(age_us / SCHED_US_PER_MS), "runs", runs);
}

static bool
sched_risk_valid(uint64_t told_us, uint64_t now_us)
{
	return now_us <= told_us + SCHED_RISK_VALID_MS * SCHED_US_PER_MS;
}

struct json_t *
sched_risk_render(struct scheduler *sched)
{
	uint64_t now_us = sched_now(sched);
	json_t *runs;

	if (sched->token == 0)
		return sched->risk_runs == NULL ||
			!sched_risk_valid(sched->risk_reported_us, now_us)
		    ? NULL
		    : sched_risk_message(sched->risk_token,
			  now_us - sched->risk_reported_us,
			  json_incref(sched->risk_runs));
	runs = json_array();
	sched_risk_add_suspects(sched, runs, now_us);
	sched_risk_add_silent(sched, runs, now_us);
	if (json_array_size(runs) > 0)
		return sched_risk_message(sched->token, 0, runs);
	json_decref(runs);
	return NULL;
}

static void
sched_risk_log(const json_t *runs, const char *reason)
{
	const char *name, *server;
	const json_t *run;
	size_t i;

	json_array_foreach (runs, i, run) {
		name = json_string_value(json_array_get(run, 0));
		server = json_string_value(
		    json_array_get(json_array_get(run, 1), 0));
		if (name != NULL && server != NULL)
			log_event(LOG_LEVEL_INFO, "run-at-risk",
			    "task=%s server=%s reason=\"%s\"", name, server,
			    reason);
	}
}

void
sched_risk_take_over(struct scheduler *sched)
{
	if (sched->risk_runs == NULL)
		return;
	if (sched_risk_valid(sched->risk_reported_us, sched_now(sched))) {
		sched_risk_log(sched->risk_runs,
		    "reported by the former holder");
		sched_suspects_merge_told(sched, sched->risk_runs,
		    sched->risk_reported_us);
	}
	json_decref(sched->risk_runs);
	sched->risk_runs = NULL;
}

void
sched_risk_reported(struct scheduler *sched, uint64_t holder_token,
    uint64_t sent_us, const struct json_t *message)
{
	uint64_t token = holder_token, told_us = sent_us, age_us;

	if (message != NULL) {
		token = (uint64_t)json_integer_value(
		    json_object_get(message, "token"));
		age_us = (uint64_t)json_integer_value(
			     json_object_get(message, "age_ms")) *
		    SCHED_US_PER_MS;
		told_us = age_us < sent_us ? sent_us - age_us : 0;
	}
	if (token == 0 || (sched->token != 0 && token >= sched->token) ||
	    token < sched->risk_token ||
	    (token == sched->risk_token &&
		told_us <= sched->risk_reported_us +
			SCHED_RISK_SAME_MS * SCHED_US_PER_MS))
		return;
	json_decref(sched->risk_runs);
	sched->risk_runs = json_incref(json_object_get(message, "runs"));
	sched->risk_token = token;
	sched->risk_reported_us = told_us;
	if (sched->token != 0)
		sched_risk_take_over(sched);
}

struct json_t *
sched_risk_silent(const struct scheduler *sched)
{
	json_t *runs = json_array();

	if (!sched_may_be_replaced(sched))
		sched_risk_add_silent(sched, runs, sched_now(sched));
	sched_risk_log(runs, "this holder was replaced");
	return runs;
}
