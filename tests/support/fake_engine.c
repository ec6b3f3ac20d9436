/*
 * A fake engine and a fake configuration, controlled by the test.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/config_sync.h"
#include "tests/support/fake_engine.h"

struct fake_engine fake_engine;

void
fake_engine_reset(void)
{
	size_t i;

	for (i = 0; i < fake_engine.n; i++)
		subm_free(fake_engine.subms[i]);
	memset(&fake_engine, 0, sizeof(fake_engine));
	fake_engine.config_ready = true;
}

int
engine_submit(struct engine *engine, struct submission *subm,
    engine_done_fn done, void *arg, struct err *err)
{
	(void)engine;
	if (fake_engine.refuse_code != ERR_OK ||
	    fake_engine.n == FAKE_ENGINE_MAX)
		return err_set(err, ERR_STEP_ADMIT, fake_engine.refuse_code,
		    "e", "refused by the test");
	fake_engine.subms[fake_engine.n] = subm;
	fake_engine.done[fake_engine.n] = done;
	fake_engine.args[fake_engine.n++] = arg;
	return 0;
}

void
fake_engine_end(size_t i, enum task_state state)
{
	struct submission *subm = fake_engine.subms[i];
	struct answer *answer = subm_answer_create(subm->ntasks);
	engine_done_fn done = fake_engine.done[i];
	size_t t;

	for (t = 0; t < subm->ntasks; t++) {
		answer->results[t].state = state;
		answer->results[t].http_status = state == TASK_DONE ? 200 : 0;
		if (state != TASK_DONE || subm->tasks[t].body == NULL)
			continue;
		answer->results[t].body = malloc(subm->tasks[t].body_len + 1);
		memcpy(answer->results[t].body, subm->tasks[t].body,
		    subm->tasks[t].body_len);
		answer->results[t].body_len = subm->tasks[t].body_len;
	}
	answer->outcome = subm_outcome(answer->results, subm->ntasks);
	if (answer->outcome != OUTCOME_COMPLETE)
		err_set(&answer->err, ERR_STEP_RECEIVE, ERR_LOST, "s1", "test");
	fake_engine.done[i] = NULL;
	done(fake_engine.args[i], answer);
}

bool
engine_cancel(struct engine *engine, const char *id)
{
	size_t i;

	(void)engine;
	for (i = 0; i < fake_engine.n; i++) {
		if (fake_engine.done[i] != NULL &&
		    strcmp(fake_engine.subms[i]->id, id) == 0) {
			fake_engine.ncancelled++;
			fake_engine_end(i, TASK_NOT_RUN);
			return true;
		}
	}
	return false;
}

bool
engine_progress(struct engine *engine, const char *id, size_t *ended,
    size_t *ntasks)
{
	(void)engine;
	(void)id;
	(void)ended;
	(void)ntasks;
	return false;
}

bool
config_sync_ready(const struct config_sync *sync)
{
	(void)sync;
	return fake_engine.config_ready;
}

bool
config_sync_host_leaving(const struct config_sync *sync)
{
	(void)sync;
	return fake_engine.host_leaving;
}

void
config_sync_handle(struct config_sync *sync, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	struct api_reply answer = { .status = 200,
		.content_type = "application/json",
		.body = "{}",
		.body_len = 2 };

	(void)sync;
	(void)request;
	reply(arg, &answer);
}
