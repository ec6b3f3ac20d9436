/*
 * Queues whose servers an outside policy chooses: the servers with the most
 * room are asked about first, in batches, until the step's tasks have places.
 * What the policy says of a server does not change; its tickets run out.
 */

#include <inttypes.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define HLD_US_PER_MS UINT64_C(1000)
#define HLD_ADVICE_SERVERS 30  /* asked about in one call */
#define HLD_ADVICE_CALLS_MAX 8 /* under way; the service takes 32 of all */
#define HLD_ADVICE_RETRY_MS 100
#define HLD_ADVICE_SPARE_MS 50 /* of a ticket's time, for the way */

/* What is known of one incarnation of a server. */
struct hld_permit {
	char server[NAME_SIZE];
	uint64_t born_ms;
	char ticket[ADVISOR_TICKET_SIZE]; /* "": not allowed there */
	uint64_t until_us;
	TAILQ_ENTRY(hld_permit) entry;
};

struct hld_advice_call;

struct hld_advice {
	TAILQ_HEAD(, hld_permit) permits;
	struct hld_advice_call *call; /* under way */
	uint64_t retry_us;
};

struct hld_advice_call {
	struct holder *holder; /* NULL once it is gone */
	struct hld_job *job;   /* likewise */
	uint32_t step;
	uint64_t sent_us;
	size_t nservers;
	char servers[HLD_ADVICE_SERVERS][NAME_SIZE];
	uint64_t born_ms[HLD_ADVICE_SERVERS];
	LIST_ENTRY(hld_advice_call) entry;
};

void
hld_advice_create(struct hld_job *job)
{
	size_t i;

	job->advice = mem_zalloc(job->spec.nsteps, sizeof(*job->advice));
	for (i = 0; i < job->spec.nsteps; i++)
		TAILQ_INIT(&job->advice[i].permits);
}

void
hld_advice_free(struct hld_job *job)
{
	struct hld_permit *permit, *next;
	size_t i;

	if (job->advice == NULL)
		return;
	for (i = 0; i < job->spec.nsteps; i++) {
		if (job->advice[i].call != NULL)
			job->advice[i].call->job = NULL;
		TAILQ_FOREACH_SAFE (permit, &job->advice[i].permits, entry,
		    next)
			free(permit);
	}
	free(job->advice);
}

static struct hld_permit *
hld_permit_find(const struct hld_advice *advice, const char *server,
    uint64_t born_ms)
{
	struct hld_permit *permit;

	TAILQ_FOREACH (permit, &advice->permits, entry) {
		if (permit->born_ms == born_ms &&
		    strcmp(permit->server, server) == 0)
			return permit;
	}
	return NULL;
}

const char *
hld_advice_ticket(const struct hld_task *task, const struct hld_server *server)
{
	const struct hld_permit *permit =
	    hld_permit_find(&task->job->advice[task->step], server->info.id,
		server->info.born_ms);
	uint64_t now_us = hld_now(server->holder);

	if (permit == NULL || permit->ticket[0] == '\0' ||
	    permit->until_us < now_us + HLD_ADVICE_SPARE_MS * HLD_US_PER_MS)
		return NULL;
	return permit->ticket;
}

void
hld_advice_drop(struct hld_task *task, const struct hld_server *server)
{
	struct hld_advice *advice = &task->job->advice[task->step];
	struct hld_permit *permit =
	    hld_permit_find(advice, server->info.id, server->info.born_ms);

	if (permit == NULL)
		return;
	TAILQ_REMOVE(&advice->permits, permit, entry);
	free(permit);
}

static void
hld_permit_enter(struct hld_advice_call *call, size_t index,
    const struct advisor_permit *granted, uint32_t valid_ms)
{
	struct hld_advice *advice = &call->job->advice[call->step];
	struct hld_permit *permit =
	    hld_permit_find(advice, call->servers[index], call->born_ms[index]);

	if (permit == NULL) {
		permit = mem_zalloc(1, sizeof(*permit));
		strlcpy(permit->server, call->servers[index], NAME_SIZE);
		permit->born_ms = call->born_ms[index];
		TAILQ_INSERT_TAIL(&advice->permits, permit, entry);
	}
	permit->ticket[0] = '\0';
	if (granted == NULL)
		return;
	strlcpy(permit->ticket, granted->ticket, sizeof(permit->ticket));
	/* The service may have written it as soon as it was asked. */
	permit->until_us = call->sent_us + valid_ms * HLD_US_PER_MS;
}

static void
hld_advice_read(struct hld_advice_call *call,
    const struct advisor_permit *permits, size_t npermits, uint32_t valid_ms)
{
	const struct advisor_permit *granted;
	size_t i, j;

	for (i = 0; i < call->nservers; i++) {
		granted = NULL;
		for (j = 0; j < npermits; j++) {
			if (strcmp(permits[j].server, call->servers[i]) == 0)
				granted = &permits[j];
		}
		hld_permit_enter(call, i, granted, valid_ms);
	}
}

static void
hld_advised(void *arg, const struct advisor_permit *permits, size_t npermits,
    uint32_t valid_ms)
{
	struct hld_advice_call *call = arg;
	struct holder *holder = call->holder;
	struct hld_advice *advice;

	if (holder != NULL) {
		LIST_REMOVE(call, entry);
		holder->nadvice_calls--;
	}
	if (call->job != NULL) {
		advice = &call->job->advice[call->step];
		advice->call = NULL;
		log_event(LOG_LEVEL_INFO, "advice",
		    "id=%s step=%" PRIu32 " asked=%zu allowed=%zu outcome=%s",
		    call->job->spec.id, call->step, call->nservers, npermits,
		    permits == NULL ? "no-answer" : "answered");
		if (permits != NULL)
			hld_advice_read(call, permits, npermits, valid_ms);
		else
			advice->retry_us = hld_now(holder) +
			    HLD_ADVICE_RETRY_MS * HLD_US_PER_MS;
		hld_pump_wake(holder);
	}
	free(call);
}

/* Of the servers that the step is not known to be barred from, and that have
 * room for a task now or later: the one with the most room after @before. */
static const struct hld_server *
hld_advice_next(const struct hld_task *task, const struct hld_advice_call *call)
{
	const struct hld_advice *advice = &task->job->advice[task->step];
	const struct hld_server *server, *best = NULL;
	const struct hld_permit *permit;
	int64_t room, best_room = 0;
	size_t i;

	TAILQ_FOREACH (server, &task->job->holder->servers, entry) {
		if (!hld_server_suits(server, task) ||
		    hld_advice_ticket(task, server) != NULL)
			continue;
		permit = hld_permit_find(advice, server->info.id,
		    server->info.born_ms);
		if (permit != NULL && permit->ticket[0] == '\0')
			continue;
		for (i = 0; i < call->nservers; i++) {
			if (strcmp(call->servers[i], server->info.id) == 0)
				break;
		}
		room = server->info.cpu - server->used_cpu;
		if (i == call->nservers && (best == NULL || room > best_room)) {
			best = server;
			best_room = room;
		}
	}
	return best;
}

void
hld_advice_drop_calls(struct holder *holder)
{
	struct hld_advice_call *call;

	while ((call = LIST_FIRST(&holder->advice_calls)) != NULL) {
		LIST_REMOVE(call, entry);
		call->holder = NULL;
	}
}

void
hld_advice_ask(struct hld_task *task, uint64_t now_us)
{
	const char *ids[HLD_ADVICE_SERVERS];
	struct hld_job *job = task->job;
	struct hld_advice *advice = &job->advice[task->step];
	struct holder *holder = job->holder;
	struct hld_advice_call *call;
	const struct hld_server *server;
	char step[WORKER_TASK_NAME_SIZE];

	if (advice->call != NULL || advice->retry_us > now_us ||
	    holder->nadvice_calls >= HLD_ADVICE_CALLS_MAX ||
	    holder->params.advisor == NULL)
		return;
	call = mem_zalloc(1, sizeof(*call));
	while (call->nservers < HLD_ADVICE_SERVERS &&
	    (server = hld_advice_next(task, call)) != NULL) {
		ids[call->nservers] = server->info.id;
		call->born_ms[call->nservers] = server->info.born_ms;
		strlcpy(call->servers[call->nservers++], server->info.id,
		    NAME_SIZE);
	}
	if (call->nservers == 0) {
		free(call);
		return;
	}
	call->holder = holder;
	call->job = job;
	call->step = task->step;
	call->sent_us = now_us;
	advice->call = call;
	holder->nadvice_calls++;
	LIST_INSERT_HEAD(&holder->advice_calls, call, entry);
	(void)snprintf(step, sizeof(step), "%s.%" PRIu32 ".%" PRIu32,
	    job->spec.id, job->time, task->step);
	holder->params.advisor->ops->request_permits(holder->params.advisor,
	    step, ids, call->nservers, hld_advised, call);
}
