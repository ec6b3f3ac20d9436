/*
 * Callers of jobs. A caller sends its job to a host and waits up to its
 * deadline; some leave before. After an unknown outcome (an answer that says
 * so, a broken connection, its own time-out) some send the job again 1.3 s
 * later, to any host; after a refusal, when it was told to. The share of those
 * that do so after an answer may differ.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "sim.h"

#define SIM_CALLERS_MAX 4000
#define SIM_SENDS_MAX 4
#define SIM_RESEND_MS 1300
#define SIM_BREAKS_PERMILLE 30 /* of connections, in each interval of draws */
#define SIM_TASK_CPU 14000
#define SIM_STORED_MAX 60 /* of a day, for the table of memory_rows.h */

/* A submission, which a host reads when it runs. */
struct sim_send {
	struct sim_caller *caller;
	struct sim_host *host;
	bool unread, waits, left_unread;
	/* The host learns then that its caller has left; UINT64_MAX: never. */
	uint64_t learns_ms;
	TAILQ_ENTRY(sim_send) entry;
};

struct sim_caller {
	struct sim_callers *callers;
	char id[JOB_ID_LEN + 1];
	char body[512];
	uint64_t again_ms; /* it sends again then; 0: never */
	enum sim_cause again_cause;
	uint64_t leaves_ms; /* it leaves then; 0: it does not wait */
	uint32_t sends;
	size_t zone;	       /* of the last host */
	bool refused;	       /* by the answer to its only submission */
	struct sim_send *send; /* the last one */
};

struct sim_callers {
	struct sim_day *day;
	struct sim_caller callers[SIM_CALLERS_MAX];
	size_t n, nstored;
	TAILQ_HEAD(, sim_send) sends;
};

struct sim_callers *
sim_callers_create(struct sim_day *day)
{
	struct sim_callers *callers = mem_zalloc(1, sizeof(*callers));

	callers->day = day;
	TAILQ_INIT(&callers->sends);
	return callers;
}

void
sim_callers_destroy(struct sim_callers *callers)
{
	struct sim_send *send;

	while ((send = TAILQ_FIRST(&callers->sends)) != NULL) {
		TAILQ_REMOVE(&callers->sends, send, entry);
		free(send);
	}
	free(callers);
}

static void
sim_caller_unknown(struct sim_caller *caller, enum sim_cause cause)
{
	struct sim_day *day = caller->callers->day;

	caller->leaves_ms = 0;
	caller->again_cause = cause;
	if (caller->sends < SIM_SENDS_MAX &&
	    sim_chance(day,
		cause == SIM_AFTER_ANSWER ? day->options->resend_answered
					  : day->options->resend))
		caller->again_ms = day->now_ms + SIM_RESEND_MS;
}

static void
sim_caller_answered(void *arg, const struct gw_reply *reply)
{
	struct sim_send *send = arg;
	struct sim_caller *caller = send->caller;
	struct sim_day *day = caller->callers->day;

	if (send->host->ending)
		return;
	send->waits = false;
	if (caller->send != send || caller->leaves_ms == 0)
		return;
	day->totals->answers[reply->result]++;
	sim_trace(day, "%s answers %s: %d (%s)", send->host->name, caller->id,
	    (int)reply->result, reply->reason);
	/* Those of --resend-answered do not heed that a task may run yet. */
	if (reply->result == GW_UNKNOWN &&
	    (!reply->may_run || day->options->resends_by_cause)) {
		sim_caller_unknown(caller, SIM_AFTER_ANSWER);
		return;
	}
	caller->leaves_ms = 0;
	caller->refused = reply->result == GW_NOT_RUN && caller->sends == 1;
	caller->again_cause = SIM_AFTER_REFUSAL;
	if (reply->result == GW_NOT_RUN && caller->sends < SIM_SENDS_MAX &&
	    sim_chance(day, day->options->resend / 2))
		caller->again_ms = day->now_ms + reply->retry_after_ms + 10;
}

static void
sim_caller_send(struct sim_caller *caller, struct sim_host *host)
{
	struct sim_day *day = caller->callers->day;
	struct sim_send *send = mem_zalloc(1, sizeof(*send));

	send->caller = caller;
	send->host = host;
	send->unread = send->waits = true;
	caller->zone = host->index % day->options->zones;
	TAILQ_INSERT_TAIL(&caller->callers->sends, send, entry);
	caller->refused = false;
	if (caller->sends++ > 0) {
		day->totals->resent++;
		day->totals->resent_after[caller->again_cause]++;
	}
	caller->send = send;
	caller->again_ms = 0;
	caller->leaves_ms = day->now_ms + day->options->deadline_ms;
	if (sim_chance(day, 100))
		caller->leaves_ms = day->now_ms + 1 + sim_random(day, 1500);
	sim_trace(day, "%s gets %s, submission %u", host->name, caller->id,
	    caller->sends);
}

/* The caller closes its connection; the host reads that when it runs. */
static void
sim_caller_leave(struct sim_caller *caller)
{
	sim_trace(caller->callers->day, "the caller of %s leaves", caller->id);
	caller->send->left_unread = true;
	sim_caller_unknown(caller, SIM_AFTER_LOSS);
}

/* The caller takes its connection for broken, and the host learns late, or
 * never: then the caller's deadline, which it knows, bounds the job. */
static void
sim_send_break(struct sim_send *send)
{
	struct sim_day *day = send->host->day;

	send->learns_ms = sim_chance(day, 300)
	    ? UINT64_MAX
	    : day->now_ms + 100 + sim_random(day, 2900);
	sim_trace(day,
	    "the connection of %s to %s breaks, the host learns at %llu (0: "
	    "never)",
	    send->caller->id, send->host->name,
	    send->learns_ms == UINT64_MAX
		? 0ULL
		: (unsigned long long)send->learns_ms);
	sim_caller_unknown(send->caller, SIM_AFTER_LOSS);
}

/* In this interval. */
static void
sim_callers_break(struct sim_callers *callers)
{
	struct sim_day *day = callers->day;
	struct sim_send *send;

	TAILQ_FOREACH (send, &callers->sends, entry) {
		if (day->now_ms < send->host->callers_heal_ms &&
		    send->caller->send == send &&
		    send->caller->leaves_ms != 0 && send->waits &&
		    sim_chance(day, SIM_BREAKS_PERMILLE))
			sim_send_break(send);
	}
}

void
sim_callers_lose(struct sim_callers *callers, struct sim_host *host)
{
	struct sim_send *send, *next;

	TAILQ_FOREACH_SAFE (send, &callers->sends, entry, next) {
		if (send->host != host)
			continue;
		if (send->caller->send == send &&
		    send->caller->leaves_ms != 0 && send->waits)
			sim_caller_unknown(send->caller, SIM_AFTER_LOSS);
		if (send->caller->send == send)
			send->caller->send = NULL;
		TAILQ_REMOVE(&callers->sends, send, entry);
		free(send);
	}
}

static void
sim_send_read(struct sim_send *send)
{
	static const struct job_queue queue = { .name = "q",
		.service = "booth",
		.max_attempts = 4,
		.slack_permille = 1600,
		.target_ms = 60 };
	struct sim_caller *caller = send->caller;
	struct job_gateway *gateway = sim_host_gateway(send->host);
	const struct gw_request request = { .id = caller->id,
		.queue = &queue,
		.body = caller->body,
		.body_len = strlen(caller->body),
		.timeout_ms = caller->callers->day->options->deadline_ms };

	if (send->unread) {
		send->unread = false;
		gw_submit(gateway, &request, sim_caller_answered, send);
	}
	if (send->learns_ms != 0 && send->host->day->now_ms >= send->learns_ms)
		send->left_unread = true;
	if (send->left_unread) {
		send->left_unread = false;
		if (send->waits)
			gw_abandon(gateway, send);
		send->waits = false;
	}
}

void
sim_callers_read(struct sim_callers *callers, struct sim_host *host)
{
	struct sim_send *send, *next;

	TAILQ_FOREACH_SAFE (send, &callers->sends, entry, next) {
		if (send->host != host)
			continue;
		sim_send_read(send);
		if (send->waits)
			continue;
		if (send->caller->send == send)
			send->caller->send = NULL;
		TAILQ_REMOVE(&callers->sends, send, entry);
		free(send);
	}
}

void
sim_callers_leave(struct sim_callers *callers, struct sim_host *host)
{
	struct sim_send *send;

	TAILQ_FOREACH (send, &callers->sends, entry) {
		if (send->host == host && send->caller->send == send &&
		    send->caller->leaves_ms != 0 && send->waits)
			sim_caller_leave(send->caller);
	}
}

const char *
sim_callers_refused_run(const struct sim_callers *callers)
{
	const struct wm_task *task;
	uint64_t n;

	LIST_FOREACH (task, &callers->day->cluster.tasks, entry) {
		n = strtoull(task->task, NULL, 16) -
		    callers->day->seed * 100000;
		if (n > 0 && n <= callers->n && callers->callers[n - 1].refused)
			return task->task;
	}
	return NULL;
}

/* A host of another zone than @zone, if that is one; NULL: none was found in
 * some draws. */
static struct sim_host *
sim_callers_draw_host(struct sim_day *day, size_t zone)
{
	struct sim_host *host;
	int i;

	for (i = 0; i < 30; i++) {
		host = &day->hosts[sim_random(day, (uint32_t)day->nhosts)];
		if (host->svc != NULL &&
		    host->index % day->options->zones != zone)
			return host;
	}
	return NULL;
}

static void
sim_caller_fill_body(struct sim_caller *caller, struct sim_day *day)
{
	const struct sim_options *options = day->options;
	uint32_t ms =
	    50 + sim_random(day, sim_chance(day, 300) ? options->task_ms : 400);
	uint32_t width = 1 + sim_random(day, sim_chance(day, 300) ? 4 : 1);
	uint32_t estimate = ms * (60 + sim_random(day, 80)) / 100 + 1;
	bool stored = sim_chance(day, options->stored) &&
	    caller->callers->nstored < SIM_STORED_MAX;
	char second[160] = "";

	if (stored) {
		caller->callers->nstored++;
		caller->id[0] = SIM_STORED_PREFIX;
	}
	if (sim_chance(day, 150))
		(void)snprintf(second, sizeof(second),
		    ",{\"count\":%u,\"cpu\":%d,\"mem_mb\":64,"
		    "\"estimated_ms\":%u,\"after\":[0]}",
		    1 + sim_random(day, 2), SIM_TASK_CPU, estimate);
	(void)snprintf(caller->body, sizeof(caller->body),
	    "{\"spec\":\"cpu=%d ms=%u fail=0\",\"best_effort\":%s,"
	    "\"steps\":[{\"count\":%u,\"cpu\":%d,\"mem_mb\":64,"
	    "\"estimated_ms\":%u}%s]}",
	    SIM_TASK_CPU, ms, stored ? "false" : "true", width, SIM_TASK_CPU,
	    estimate, second);
}

static void
sim_caller_create(struct sim_callers *callers)
{
	struct sim_day *day = callers->day;
	struct sim_host *host = sim_callers_draw_host(day, SIM_ZONES_MAX);
	struct sim_caller *caller;

	if (host == NULL || callers->n == SIM_CALLERS_MAX)
		return;
	caller = &callers->callers[callers->n++];
	caller->callers = callers;
	(void)snprintf(caller->id, sizeof(caller->id), "%016llx",
	    (unsigned long long)(day->seed * 100000 + callers->n));
	sim_caller_fill_body(caller, day);
	day->totals->jobs++;
	sim_caller_send(caller, host);
}

void
sim_callers_step(struct sim_callers *callers, bool quiet)
{
	struct sim_day *day = callers->day;
	struct sim_caller *caller;
	struct sim_host *host;

	if (!quiet && sim_chance(day, day->job_permille))
		sim_caller_create(callers);
	sim_callers_break(callers);
	for (caller = callers->callers; caller < callers->callers + callers->n;
	     caller++) {
		if (caller->leaves_ms != 0 && day->now_ms >= caller->leaves_ms)
			sim_caller_leave(caller);
		if (caller->again_ms == 0 || day->now_ms < caller->again_ms)
			continue;
		host = sim_callers_draw_host(day,
		    day->options->resend_moves ? caller->zone : SIM_ZONES_MAX);
		if (host != NULL)
			sim_caller_send(caller, host);
	}
}
