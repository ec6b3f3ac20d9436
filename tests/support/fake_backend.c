/*
 * A backend whose calls are ended by the test.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/fake_backend.h"

static struct fake_task *
fake_backend_find(const struct fake_backend *fake, const char *task_id)
{
	size_t i;

	for (i = fake->ntasks_started; i > 0; i--) {
		if (strcmp(fake->tasks[i - 1].task_id, task_id) == 0)
			return &fake->tasks[i - 1];
	}
	return NULL;
}

static struct backend_call *
fake_backend_start(struct backend *backend,
    const struct backend_request *request, backend_done_fn done, void *arg)
{
	struct fake_backend *fake = (struct fake_backend *)backend;
	struct backend_call *call = calloc(1, sizeof(*call));
	struct fake_task *task = fake_backend_find(fake, request->task_id);

	if (task == NULL) {
		if (fake->ntasks_started == FAKE_TASKS_MAX)
			abort();
		task = &fake->tasks[fake->ntasks_started++];
		snprintf(task->task_id, sizeof(task->task_id), "%s",
		    request->task_id);
	}
	task->nstarts++;
	task->nruns++;
	snprintf(task->server, sizeof(task->server), "%s",
	    request->server->name);
	snprintf(call->server, sizeof(call->server), "%s",
	    request->server->name);
	snprintf(call->task_id, sizeof(call->task_id), "%s", request->task_id);
	call->done = done;
	call->arg = arg;
	TAILQ_INSERT_TAIL(&fake->calls, call, entry);
	fake->ncalls++;
	return call;
}

static bool
fake_backend_cancel(struct backend *backend, struct backend_call *call)
{
	struct fake_backend *fake = (struct fake_backend *)backend;

	TAILQ_REMOVE(&fake->calls, call, entry);
	fake->ncalls--;
	fake->ncancelled++;
	free(call);
	return false;
}

static const struct backend_ops fake_backend_ops = {
	.start = fake_backend_start,
	.cancel = fake_backend_cancel,
};

void
fake_backend_init(struct fake_backend *fake)
{
	*fake = (struct fake_backend){ .backend.ops = &fake_backend_ops };
	TAILQ_INIT(&fake->calls);
	fake->tasks = calloc(FAKE_TASKS_MAX, sizeof(*fake->tasks));
}

void
fake_backend_clear(struct fake_backend *fake)
{
	struct backend_call *call;

	while ((call = TAILQ_FIRST(&fake->calls)) != NULL) {
		TAILQ_REMOVE(&fake->calls, call, entry);
		free(call);
	}
	free(fake->tasks);
}

void
fake_backend_end(struct fake_backend *fake, struct backend_call *call,
    enum backend_status status, bool leaving)
{
	struct backend_reply reply = { .status = status, .leaving = leaving };

	if (status == BACKEND_OK) {
		reply.http_status = 200;
		reply.body = "ok";
		reply.body_len = 2;
	} else {
		err_set(&reply.err, ERR_STEP_RECEIVE, ERR_FAILED, call->server,
		    "set by the test");
	}
	if (status == BACKEND_REFUSED || status == BACKEND_NOT_SENT)
		fake_backend_find(fake, call->task_id)->nruns--;
	TAILQ_REMOVE(&fake->calls, call, entry);
	fake->ncalls--;
	call->done(call->arg, &reply);
	free(call);
}

size_t
fake_backend_open_calls(const struct fake_backend *fake, const char *server)
{
	const struct backend_call *call;
	size_t n = 0;

	TAILQ_FOREACH (call, &fake->calls, entry)
		n += server == NULL || strcmp(call->server, server) == 0;
	return n;
}

const struct fake_task *
fake_backend_task(const struct fake_backend *fake, const char *task_id)
{
	return fake_backend_find(fake, task_id);
}
