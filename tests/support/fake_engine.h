#ifndef TESTS_SUPPORT_FAKE_ENGINE_H
#define TESTS_SUPPORT_FAKE_ENGINE_H

#include "core/submission.h"
#include "entry/engine.h"

/*
 * An engine that runs nothing, in the place of entry/engine.c: a test that
 * names fake_engine_reset() is linked with it. It keeps what was submitted
 * until the test ends it. The configuration's part of the API comes with it.
 */

#define FAKE_ENGINE_MAX 256

/** struct fake_engine - what was submitted, in order. */
struct fake_engine {
	size_t n;
	struct submission *subms[FAKE_ENGINE_MAX];
	engine_done_fn done[FAKE_ENGINE_MAX]; /* NULL once it has ended */
	void *args[FAKE_ENGINE_MAX];
	enum err_code refuse; /* of the next submissions, or ERR_OK */
	size_t ncancelled;
	bool host_leaving;
	bool config_ready;
};

extern struct fake_engine fake_engine;

/** fake_engine_reset() - forget and free everything. */
void fake_engine_reset(void);

/** fake_engine_end() - end a submission, all tasks in @state. */
void fake_engine_end(size_t i, enum task_state state);

#endif /* TESTS_SUPPORT_FAKE_ENGINE_H */
