/*
 * Placement permits for queues whose servers are chosen by an external policy
 * (the advisor). Permits are requested in batches, for the servers with the
 * most free CPU first, until all tasks of the step are placed. A refusal is
 * final for an incarnation of a server; a granted ticket expires.
 */

#include <inttypes.h>
#include <stdio.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)
#define SCHED_ADVICE_SERVERS_MAX 30 /* in one call */
/* Limit of pending calls; the advisor accepts 32 from all of its clients. */
#define SCHED_ADVICE_CALLS_MAX 8
#define SCHED_ADVICE_RETRY_MS 100
/* Part of a ticket's validity that is reserved for the start order. */
#define SCHED_TICKET_MARGIN_MS 50

/* The decision of the policy for one incarnation of a server. */
struct sched_permit {
	char server[NAME_SIZE];
	uint64_t incarnation_start_ms;
	char ticket[ADVISOR_TICKET_SIZE]; /* "": refused */
	uint64_t expires_us;
	TAILQ_ENTRY(sched_permit) entry;
};

struct sched_advice_call;

struct sched_advice {
	TAILQ_HEAD(, sched_permit) permits;
	struct sched_advice_call *call; /* pending; or NULL */
	uint64_t retry_at_us;
};

struct sched_advice_call {
	struct scheduler *sched; /* NULL once it is destroyed */
	struct sched_job *job;	 /* NULL once it is freed */
	uint32_t step;
	uint64_t sent_us;
	size_t nservers;
	char servers[SCHED_ADVICE_SERVERS_MAX][NAME_SIZE];
	uint64_t incarnation_start_ms[SCHED_ADVICE_SERVERS_MAX];
	LIST_ENTRY(sched_advice_call) entry;
};

void
sched_advice_create(struct sched_job *job)
{
	size_t i;

	job->advice = mem_zalloc(job->spec.nsteps, sizeof(*job->advice));
	for (i = 0; i < job->spec.nsteps; i++)
		TAILQ_INIT(&job->advice[i].permits);
}

void
sched_advice_free(struct sched_job *job)
{
	struct sched_permit *permit, *next;
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

static struct sched_permit *
sched_permit_find(const struct sched_advice *advice, const char *server,
    uint64_t incarnation_start_ms)
{
	struct sched_permit *permit;

	TAILQ_FOREACH (permit, &advice->permits, entry) {
		if (permit->incarnation_start_ms == incarnation_start_ms &&
		    strcmp(permit->server, server) == 0)
			return permit;
	}
	return NULL;
}

const char *
sched_advice_ticket(const struct sched_task *task,
    const struct sched_server *server)
{
	const struct sched_permit *permit =
	    sched_permit_find(&task->job->advice[task->step], server->info.id,
		server->info.incarnation_start_ms);
	uint64_t now_us = sched_now(server->sched);

	if (permit == NULL || permit->ticket[0] == '\0' ||
	    permit->expires_us <
		now_us + SCHED_TICKET_MARGIN_MS * SCHED_US_PER_MS)
		return NULL;
	return permit->ticket;
}

void
sched_advice_discard_ticket(struct sched_task *task,
    const struct sched_server *server)
{
	struct sched_advice *advice = &task->job->advice[task->step];
	struct sched_permit *permit = sched_permit_find(advice, server->info.id,
	    server->info.incarnation_start_ms);

	if (permit == NULL)
		return;
	TAILQ_REMOVE(&advice->permits, permit, entry);
	free(permit);
}

static void
sched_permit_set(struct sched_advice_call *call, size_t index,
    const struct advisor_permit *granted, uint32_t valid_ms)
{
	struct sched_advice *advice = &call->job->advice[call->step];
	struct sched_permit *permit = sched_permit_find(advice,
	    call->servers[index], call->incarnation_start_ms[index]);

	if (permit == NULL) {
		permit = mem_zalloc(1, sizeof(*permit));
		strlcpy(permit->server, call->servers[index], NAME_SIZE);
		permit->incarnation_start_ms =
		    call->incarnation_start_ms[index];
		TAILQ_INSERT_TAIL(&advice->permits, permit, entry);
	}
	permit->ticket[0] = '\0';
	if (granted == NULL)
		return;
	strlcpy(permit->ticket, granted->ticket, sizeof(permit->ticket));
	/* The validity is counted from the time at which the call was sent,
	 * which is not later than the time at which the ticket was issued. */
	permit->expires_us = call->sent_us + valid_ms * SCHED_US_PER_MS;
}

static void
sched_advice_store(struct sched_advice_call *call,
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
		sched_permit_set(call, i, granted, valid_ms);
	}
}

static void
sched_advice_done(void *arg, const struct advisor_permit *permits,
    size_t npermits, uint32_t valid_ms)
{
	struct sched_advice_call *call = arg;
	struct scheduler *sched = call->sched;
	struct sched_advice *advice;

	if (sched != NULL) {
		LIST_REMOVE(call, entry);
		sched->nadvice_calls--;
	}
	if (call->job != NULL) {
		advice = &call->job->advice[call->step];
		advice->call = NULL;
		log_event(LOG_LEVEL_INFO, "advice",
		    "id=%s step=%" PRIu32
		    " requested=%zu permitted=%zu outcome=%s",
		    call->job->spec.id, call->step, call->nservers, npermits,
		    permits == NULL ? "no-answer" : "answered");
		if (permits != NULL)
			sched_advice_store(call, permits, npermits, valid_ms);
		else
			advice->retry_at_us = sched_now(sched) +
			    SCHED_ADVICE_RETRY_MS * SCHED_US_PER_MS;
		sched_dispatch_wake(sched);
	}
	free(call);
}

/* The server with the most free CPU among those that match the task, have
 * neither a valid ticket nor a refusal, and are not part of @call. Return: NULL
 * if there is none. */
static const struct sched_server *
sched_advice_next_server(const struct sched_task *task,
    const struct sched_advice_call *call)
{
	const struct sched_advice *advice = &task->job->advice[task->step];
	const struct sched_server *server, *best = NULL;
	const struct sched_permit *permit;
	int64_t free_cpu, best_free_cpu = 0;
	size_t i;

	TAILQ_FOREACH (server, &task->job->sched->servers, entry) {
		if (!sched_server_matches(server, task) ||
		    sched_advice_ticket(task, server) != NULL)
			continue;
		permit = sched_permit_find(advice, server->info.id,
		    server->info.incarnation_start_ms);
		if (permit != NULL && permit->ticket[0] == '\0')
			continue;
		for (i = 0; i < call->nservers; i++) {
			if (strcmp(call->servers[i], server->info.id) == 0)
				break;
		}
		free_cpu = server->info.cpu - server->used_cpu;
		if (i == call->nservers &&
		    (best == NULL || free_cpu > best_free_cpu)) {
			best = server;
			best_free_cpu = free_cpu;
		}
	}
	return best;
}

void
sched_advice_detach_calls(struct scheduler *sched)
{
	struct sched_advice_call *call;

	while ((call = LIST_FIRST(&sched->advice_calls)) != NULL) {
		LIST_REMOVE(call, entry);
		call->sched = NULL;
	}
}

void
sched_advice_request(struct sched_task *task, uint64_t now_us)
{
	const char *ids[SCHED_ADVICE_SERVERS_MAX];
	struct sched_job *job = task->job;
	struct sched_advice *advice = &job->advice[task->step];
	struct scheduler *sched = job->sched;
	struct sched_advice_call *call;
	const struct sched_server *server;
	char step[WORKER_TASK_NAME_SIZE];

	if (advice->call != NULL || advice->retry_at_us > now_us ||
	    sched->nadvice_calls >= SCHED_ADVICE_CALLS_MAX ||
	    sched->params.advisor == NULL)
		return;
	call = mem_zalloc(1, sizeof(*call));
	while (call->nservers < SCHED_ADVICE_SERVERS_MAX &&
	    (server = sched_advice_next_server(task, call)) != NULL) {
		ids[call->nservers] = server->info.id;
		call->incarnation_start_ms[call->nservers] =
		    server->info.incarnation_start_ms;
		strlcpy(call->servers[call->nservers++], server->info.id,
		    NAME_SIZE);
	}
	if (call->nservers == 0) {
		free(call);
		return;
	}
	call->sched = sched;
	call->job = job;
	call->step = task->step;
	call->sent_us = now_us;
	advice->call = call;
	sched->nadvice_calls++;
	LIST_INSERT_HEAD(&sched->advice_calls, call, entry);
	(void)snprintf(step, sizeof(step), "%s.%" PRIu32 ".%" PRIu32,
	    job->spec.id, job->occurrence, task->step);
	sched->params.advisor->ops->request_permits(sched->params.advisor, step,
	    ids, call->nservers, sched_advice_done, call);
}
