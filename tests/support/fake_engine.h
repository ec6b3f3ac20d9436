#ifndef TESTS_SUPPORT_FAKE_ENGINE_H
#define TESTS_SUPPORT_FAKE_ENGINE_H

#include "core/submission.h"
#include "entry/engine.h"

/*
 * An engine that runs no tasks, in place of entry/engine.c: a submission waits
 * until the test ends it. The functions of entry/config_sync.h that the API
 * calls are replaced too. Both are linked into tests that include this file or
 * api_rig.h.
 */

#define FAKE_ENGINE_MAX 256

/** struct fake_engine - submissions, in order of arrival. */
struct fake_engine {
	size_t n;
	struct submission *subms[FAKE_ENGINE_MAX];
	engine_done_fn done[FAKE_ENGINE_MAX]; /* NULL after the end */
	void *args[FAKE_ENGINE_MAX];
	enum err_code refuse_code; /* ERR_OK: accept submissions */
	size_t ncancelled;
	bool host_leaving;
	bool config_ready;
};

extern struct fake_engine fake_engine;

/** fake_engine_reset() - free all submissions and restore the defaults. */
void fake_engine_reset(void);

/** fake_engine_end() - end submission @i with all its tasks in @state. */
void fake_engine_end(size_t i, enum task_state state);

#endif /* TESTS_SUPPORT_FAKE_ENGINE_H */
