/*
 * The holder of a cell: life cycle, and what it is told of the servers.
 */

#include <inttypes.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define HLD_US_PER_MS UINT64_C(1000)

uint64_t
hld_now(const struct holder *holder)
{
	return clock_now_us(holder->params.clock);
}

uint64_t
holder_token(const struct holder *holder)
{
	return holder->token;
}

/*
 * Another incarnation at another place. At the same place the server's own
 * lists tell which one answers: orders may have reached it before its row did.
 */
static bool
hld_server_moved(struct hld_server *server, const struct reg_server *info)
{
	if (server->info.born_ms == info->born_ms)
		return false;
	if (server->born_ms == 0 || server->info.port != info->port ||
	    strcmp(server->info.address, info->address) != 0)
		return true;
	if (server->born_ms != info->born_ms)
		server->hold_due_us = hld_now(server->holder);
	return false;
}

void
holder_server(struct holder *holder, const struct reg_server *info)
{
	struct hld_server *server;

	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (!server->gone && strcmp(server->info.id, info->id) == 0)
			break;
	}
	if (server != NULL && hld_server_moved(server, info)) {
		hld_server_lost(server, "restarted");
		server->gone = true;
		server = NULL;
	}
	if (server == NULL) {
		server = mem_zalloc(1, sizeof(*server));
		server->holder = holder;
		server->speed = PLACE_SPEED_NOMINAL;
		TAILQ_INIT(&server->tasks);
		TAILQ_INIT(&server->orphans);
		TAILQ_INIT(&server->unstored);
		LIST_INIT(&server->orders);
		TAILQ_INSERT_TAIL(&holder->servers, server, entry);
	}
	server->info = *info;
	if (holder->token != 0 && server->link == NULL)
		hld_server_reset(server);
	hld_pump_wake(holder);
}

void
holder_server_gone(struct holder *holder, const char *id)
{
	struct hld_server *server;

	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (strcmp(server->info.id, id) == 0)
			server->gone = true;
	}
}

void
holder_begin(struct holder *holder, uint64_t token)
{
	struct hld_server *server;

	holder->token = token;
	holder->fresh = false;
	holder->loaded = holder->params.progress == NULL;
	holder->begun_us = hld_now(holder);
	log_event(LOG_LEVEL_WARN, "cell-held", "token=%" PRIu64, token);
	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (!server->gone)
			hld_server_reset(server);
	}
}

void
holder_set_complete(struct holder *holder, bool complete)
{
	holder->complete = complete;
}

/*
 * Ends that were listed while a job was not known yet are listed again; no
 * task may start before they are read, or the lease of a server that does not
 * answer has ended.
 */
void
holder_set_loaded(struct holder *holder)
{
	struct hld_server *server;
	uint64_t now_us = hld_now(holder);
	struct hld_job *job;

	holder->loaded = true;
	TAILQ_FOREACH (job, &holder->jobs, entry) {
		if (job->stored && job->start_after_us != 0)
			job->start_after_us = hld_leases_end(holder, now_us);
	}
	TAILQ_FOREACH (server, &holder->servers, entry) {
		server->held = false;
		if (!server->hold_pending)
			server->hold_due_us = now_us;
	}
	hld_pump_wake(holder);
}

void
holder_fresh(struct holder *holder)
{
	holder->fresh = true;
	hld_pump_wake(holder);
}

void
holder_end(struct holder *holder)
{
	const struct holder_reply moved = { .result = HOLDER_MOVED,
		.reason = "this host has lost the cell" };
	struct hld_server *server;
	struct hld_job *job, *next_job;
	struct hld_task *task, *next_task;

	if (holder->token == 0)
		return;
	log_event(LOG_LEVEL_WARN, "cell-left", "token=%" PRIu64, holder->token);
	holder->token = 0;
	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (server->link != NULL)
			holder->params.worker->ops->close(server->link);
		server->link = NULL;
		server->held = false;
		server->hold_pending = false;
		hld_orders_drop(server);
		/* The successor accounts for what runs there. */
		TAILQ_FOREACH_SAFE (task, &server->tasks, on_server, next_task)
			hld_run_absent(task, "cell left");
	}
	TAILQ_FOREACH_SAFE (job, &holder->jobs, entry, next_job)
		hld_job_finish(job, &moved);
}

static struct counter hld_servers_held = {
	.name = "berylrail_work_servers_held",
	.help = "Backend servers that this host holds now.",
	.gauge = 1,
};
static struct counter hld_queued[] = {
#define HLD_QUEUED(label)                                             \
	{                                                             \
		.name = "berylrail_work_tasks_queued",                \
		.labels = "priority=\"" label "\"",                   \
		.help = "Tasks that wait for a server, by priority; " \
			"the last: and all above.",                   \
		.gauge = 1,                                           \
	}
	HLD_QUEUED("0"),
	HLD_QUEUED("1"),
	HLD_QUEUED("2"),
	HLD_QUEUED("3"),
};

#define HLD_PRIORITIES (sizeof(hld_queued) / sizeof(hld_queued[0]))

static void
hld_count(const struct holder *holder)
{
	uint64_t queued[HLD_PRIORITIES] = { 0 }, held = 0;
	const struct hld_server *server;
	const struct hld_task *task;
	size_t i;

	TAILQ_FOREACH (server, &holder->servers, entry)
		held += server->held;
	TAILQ_FOREACH (task, &holder->waiting, waiting) {
		i = task->job->queue.priority;
		queued[i < HLD_PRIORITIES ? i : HLD_PRIORITIES - 1]++;
	}
	ctr_set(&hld_servers_held, held);
	for (i = 0; i < HLD_PRIORITIES; i++)
		ctr_set(&hld_queued[i], queued[i]);
}

static void
hld_tick(evutil_socket_t fd, short what, void *arg)
{
	struct holder *holder = arg;
	struct hld_server *server, *next_server;
	struct hld_job *job, *next_job;
	uint64_t now_us = hld_now(holder);

	(void)fd;
	(void)what;
	hld_count(holder);
	if (holder->token == 0)
		return;
	TAILQ_FOREACH_SAFE (job, &holder->jobs, entry, next_job) {
		if (!hld_job_expired(job, now_us))
			hld_gang_check(job);
	}
	TAILQ_FOREACH_SAFE (server, &holder->servers, entry, next_server) {
		hld_server_tick(server, now_us);
		if (server->gone && TAILQ_EMPTY(&server->tasks) &&
		    server->calls == 0)
			hld_server_free(server);
		if (holder->token == 0)
			return;
	}
	hld_pump_wake(holder);
}

struct holder *
holder_create(const struct holder_params *params)
{
	const struct timeval interval = { .tv_usec = HLD_TICK_MS * 1000 };
	struct holder *holder = mem_zalloc(1, sizeof(*holder));
	size_t i;

	holder->params = *params;
	TAILQ_INIT(&holder->servers);
	TAILQ_INIT(&holder->jobs);
	TAILQ_INIT(&holder->waiting);
	for (i = 0; i < HLD_JOB_BUCKETS; i++)
		LIST_INIT(&holder->buckets[i]);
	holder->tick =
	    event_new(params->base, -1, EV_PERSIST, hld_tick, holder);
	holder->pump = event_new(params->base, -1, 0, hld_pump, holder);
	if (holder->tick == NULL || holder->pump == NULL ||
	    event_add(holder->tick, &interval) == -1) {
		holder_destroy(holder);
		return NULL;
	}
	return holder;
}

void
holder_destroy(struct holder *holder)
{
	struct hld_server *server, *next;
	struct hld_job *job;

	TAILQ_FOREACH (job, &holder->jobs, entry)
		job->done = NULL;
	holder_end(holder);
	TAILQ_FOREACH_SAFE (server, &holder->servers, entry, next)
		hld_server_free(server);
	if (holder->tick != NULL)
		event_free(holder->tick);
	if (holder->pump != NULL)
		event_free(holder->pump);
	hld_advice_drop_calls(holder);
	free(holder->scratch);
	free(holder);
}

void
holder_load(const struct holder *holder, struct holder_load *load)
{
	const struct hld_server *server;

	memset(load, 0, sizeof(*load));
	TAILQ_FOREACH (server, &holder->servers, entry) {
		if (!server->held || server->gone || server->info.draining)
			continue;
		load->cpu_total += (uint64_t)server->info.cpu;
		if (server->info.cpu > server->used_cpu)
			load->cpu_free +=
			    (uint64_t)(server->info.cpu - server->used_cpu);
	}
	load->backlog_ms =
	    hld_backlog_us(holder, hld_now(holder)) / HLD_US_PER_MS;
}

bool
holder_idle(const struct holder *holder)
{
	return TAILQ_EMPTY(&holder->jobs);
}
