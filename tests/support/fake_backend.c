/*
 * A backend whose calls end when a test says so.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/fake_backend.h"

static struct fake_start *
fake_find(const struct fake_backend *fake, const char *task_id)
{
	size_t i;

	for (i = fake->nstarts; i > 0; i--) {
		if (strcmp(fake->starts[i - 1].task_id, task_id) == 0)
			return &fake->starts[i - 1];
	}
	return NULL;
}

static struct backend_call *
fake_start_call(struct backend *backend, const struct backend_request *request,
    backend_done_fn done, void *arg)
{
	struct fake_backend *fake = (struct fake_backend *)backend;
	struct backend_call *call = calloc(1, sizeof(*call));
	struct fake_start *start = fake_find(fake, request->task_id);

	if (start == NULL) {
		if (fake->nstarts == FAKE_STARTS_MAX)
			abort();
		start = &fake->starts[fake->nstarts++];
		snprintf(start->task_id, sizeof(start->task_id), "%s",
		    request->task_id);
	}
	start->nstarts++;
	start->nran++;
	snprintf(start->server, sizeof(start->server), "%s",
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
fake_cancel(struct backend *backend, struct backend_call *call)
{
	struct fake_backend *fake = (struct fake_backend *)backend;

	TAILQ_REMOVE(&fake->calls, call, entry);
	fake->ncalls--;
	fake->ncancelled++;
	free(call);
	return false;
}

static const struct backend_ops fake_ops = {
	.start = fake_start_call,
	.cancel = fake_cancel,
};

void
fake_backend_init(struct fake_backend *fake)
{
	*fake = (struct fake_backend){ .backend.ops = &fake_ops };
	TAILQ_INIT(&fake->calls);
	fake->starts = calloc(FAKE_STARTS_MAX, sizeof(*fake->starts));
}

void
fake_backend_clear(struct fake_backend *fake)
{
	struct backend_call *call;

	while ((call = TAILQ_FIRST(&fake->calls)) != NULL) {
		TAILQ_REMOVE(&fake->calls, call, entry);
		free(call);
	}
	free(fake->starts);
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
		    "as the test says");
	}
	if (status == BACKEND_REFUSED || status == BACKEND_NOT_SENT)
		fake_find(fake, call->task_id)->nran--;
	TAILQ_REMOVE(&fake->calls, call, entry);
	fake->ncalls--;
	call->done(call->arg, &reply);
	free(call);
}

size_t
fake_backend_open(const struct fake_backend *fake, const char *server)
{
	const struct backend_call *call;
	size_t n = 0;

	TAILQ_FOREACH (call, &fake->calls, entry)
		n += server == NULL || strcmp(call->server, server) == 0;
	return n;
}

const struct fake_start *
fake_backend_task(const struct fake_backend *fake, const char *task_id)
{
	return fake_find(fake, task_id);
}
