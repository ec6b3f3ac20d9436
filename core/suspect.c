/*
 * Tasks under which backend servers were lost.
 */

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/suspect.h"

#define SUSP_US_PER_MS UINT64_C(1000)
/* Crashes after which a task is guilty if it was alone at one of them, and if
 * it never was. Only those of servers that had started it count, and none that
 * are known late, but with more crashes a task is guilty in any case: it may
 * crash servers before they reply. */
#define SUSP_CRASHES_ALONE 2
#define SUSP_CRASHES_MAX 3
#define SUSP_CRASHES_UNCONFIRMED_MAX 4
/* A task that has lost this many servers is not started while it is not known
 * whether they have crashed, but for at most this time; if it is guilty should
 * they have, for that much longer after each further loss. */
#define SUSP_WAIT_LOSSES 2
#define SUSP_WAIT_MS 5000
/* A server that did not refuse connections has crashed under its tasks if its
 * end is known by then. */
#define SUSP_ENDED_MS SUSP_WAIT_MS
#define SUSP_VALID_MS 60000

void
susp_init(struct suspects *suspects)
{
	TAILQ_INIT(&suspects->tasks);
	nidx_init(&suspects->by_name);
	suspects->n = 0;
}

static void
susp_task_free(struct suspects *suspects, struct susp_task *task)
{
	TAILQ_REMOVE(&suspects->tasks, task, entry);
	nidx_remove(&suspects->by_name, &task->by_name);
	suspects->n--;
	free(task);
}

void
susp_release(struct suspects *suspects)
{
	struct susp_task *task, *next;

	TAILQ_FOREACH_SAFE (task, &suspects->tasks, entry, next)
		susp_task_free(suspects, task);
	nidx_release(&suspects->by_name);
}

static struct susp_task *
susp_get(const struct suspects *suspects, const char *name)
{
	struct nidx_entry *entry = nidx_find(&suspects->by_name, name);

	return entry == NULL ? NULL
			     : NIDX_OBJECT(entry, struct susp_task, by_name);
}

const struct susp_task *
susp_find(const struct suspects *suspects, const char *task)
{
	return susp_get(suspects, task);
}

static struct susp_task *
susp_task_add(struct suspects *suspects, const char *name)
{
	struct susp_task *task;

	if (suspects->n == SUSP_TASKS_MAX)
		susp_task_free(suspects, TAILQ_FIRST(&suspects->tasks));
	task = mem_zalloc(1, sizeof(*task));
	strlcpy(task->name, name, sizeof(task->name));
	nidx_insert(&suspects->by_name, &task->by_name, task->name);
	TAILQ_INSERT_TAIL(&suspects->tasks, task, entry);
	suspects->n++;
	return task;
}

static void
susp_loss_remove(struct susp_task *task, size_t i)
{
	task->nlosses--;
	memmove(&task->losses[i], &task->losses[i + 1],
	    (task->nlosses - i) * sizeof(task->losses[0]));
}

static bool
susp_loss_same(const struct susp_loss *a, const struct susp_loss *b)
{
	return a->incarnation_start_ms == b->incarnation_start_ms &&
	    strcmp(a->server, b->server) == 0;
}

bool
susp_add_loss(struct suspects *suspects, const char *name,
    const struct susp_loss *loss)
{
	struct susp_task *task = susp_get(suspects, name);
	bool known;
	size_t i;

	if (task == NULL)
		task = susp_task_add(suspects, name);
	for (i = 0; i < task->nlosses; i++) {
		if (!susp_loss_same(&task->losses[i], loss))
			continue;
		known = (task->losses[i].crashed || !loss->crashed) &&
		    (task->losses[i].crashed || task->losses[i].refused ||
			!loss->refused) &&
		    (task->losses[i].started || !loss->started);
		if (loss->crashed)
			task->losses[i].late = loss->late &&
			    (task->losses[i].late || !task->losses[i].crashed);
		task->losses[i].crashed |= loss->crashed;
		task->losses[i].refused |= loss->refused;
		task->losses[i].started |= loss->started;
		return !known;
	}
	if (task->nlosses == SUSP_LOSSES_MAX)
		susp_loss_remove(task, 0);
	task->losses[task->nlosses++] = *loss;
	TAILQ_REMOVE(&suspects->tasks, task, entry);
	TAILQ_INSERT_TAIL(&suspects->tasks, task, entry);
	return true;
}

bool
susp_loss_is_late(const struct susp_loss *loss, uint64_t now_us)
{
	return now_us > loss->lost_us + SUSP_ENDED_MS * SUSP_US_PER_MS;
}

void
susp_loss_ended(struct susp_loss *loss, uint64_t now_us)
{
	if (loss->crashed)
		return;
	loss->crashed = true;
	loss->late = !loss->refused && susp_loss_is_late(loss, now_us);
}

bool
susp_server_seen(struct suspects *suspects, const char *server,
    uint64_t incarnation_start_ms, uint64_t now_us)
{
	struct susp_task *task, *next;
	struct susp_loss *loss;
	bool found = false;
	size_t i;

	TAILQ_FOREACH_SAFE (task, &suspects->tasks, entry, next) {
		for (i = task->nlosses; i-- > 0;) {
			loss = &task->losses[i];
			if (loss->incarnation_start_ms == 0 ||
			    strcmp(loss->server, server) != 0)
				continue;
			found = true;
			if (loss->incarnation_start_ms == incarnation_start_ms)
				susp_loss_remove(task, i);
			else if (loss->incarnation_start_ms <
			    incarnation_start_ms)
				susp_loss_ended(loss, now_us);
		}
		if (task->nlosses == 0)
			susp_task_free(suspects, task);
	}
	return found;
}

bool
susp_server_ended(struct suspects *suspects, const char *server,
    uint64_t now_us)
{
	struct susp_task *task;
	bool added = false;
	size_t i;

	TAILQ_FOREACH (task, &suspects->tasks, entry) {
		for (i = 0; i < task->nlosses; i++) {
			if (task->losses[i].crashed ||
			    strcmp(task->losses[i].server, server) != 0)
				continue;
			susp_loss_ended(&task->losses[i], now_us);
			added = true;
		}
	}
	return added;
}

void
susp_acquit(struct suspects *suspects, const char *name)
{
	struct susp_task *task = susp_get(suspects, name);

	if (task != NULL)
		susp_task_free(suspects, task);
}

static uint64_t
susp_last_loss_us(const struct susp_task *task)
{
	return task->losses[task->nlosses - 1].lost_us;
}

void
susp_expire(struct suspects *suspects, uint64_t now_us)
{
	struct susp_task *task;

	while ((task = TAILQ_FIRST(&suspects->tasks)) != NULL &&
	    now_us - susp_last_loss_us(task) > SUSP_VALID_MS * SUSP_US_PER_MS)
		susp_task_free(suspects, task);
}

/* @refused: whether servers that refused connections count as crashed, too. */
static bool
susp_task_guilty(const struct susp_task *task, bool refused, size_t *crashes)
{
	bool alone = false;
	size_t i, started = 0;

	*crashes = 0;
	for (i = 0; i < task->nlosses; i++) {
		if (!task->losses[i].crashed &&
		    !(refused && task->losses[i].refused))
			continue;
		(*crashes)++;
		if (!task->losses[i].started || task->losses[i].late)
			continue;
		started++;
		alone |= task->losses[i].alone;
	}
	return started >= SUSP_CRASHES_MAX ||
	    (started >= SUSP_CRASHES_ALONE && alone) ||
	    *crashes >= SUSP_CRASHES_UNCONFIRMED_MAX;
}

enum susp_verdict
susp_judge(const struct suspects *suspects, const char *name, uint64_t now_us)
{
	const struct susp_task *task = susp_get(suspects, name);
	uint64_t waited_us;
	size_t crashes;

	if (task == NULL)
		return SUSP_NONE;
	if (susp_task_guilty(task, false, &crashes))
		return SUSP_GUILTY;
	waited_us = now_us - susp_last_loss_us(task);
	if (susp_task_guilty(task, true, &crashes))
		return waited_us <
			(task->nlosses - 1) * SUSP_WAIT_MS * SUSP_US_PER_MS
		    ? SUSP_UNPROVEN
		    : SUSP_ISOLATE;
	if (task->nlosses >= SUSP_WAIT_LOSSES && crashes < task->nlosses &&
	    waited_us < SUSP_WAIT_MS * SUSP_US_PER_MS)
		return SUSP_WAIT;
	return crashes == 0 && task->nlosses < SUSP_WAIT_LOSSES ? SUSP_NONE
								: SUSP_ISOLATE;
}
