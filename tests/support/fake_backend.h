#ifndef TESTS_SUPPORT_FAKE_BACKEND_H
#define TESTS_SUPPORT_FAKE_BACKEND_H

#include <sys/queue.h>

#include "ports/backend.h"

/* A backend whose calls are ended by the test, and which counts the starts of
 * each task. */

/** struct backend_call - an open call. */
struct backend_call {
	char server[NAME_SIZE];
	char task_id[512];
	backend_done_fn done;
	void *arg;
	TAILQ_ENTRY(backend_call) entry;
};

TAILQ_HEAD(fake_call_list, backend_call);

/** struct fake_task - record of one task. */
struct fake_task {
	char task_id[512];
	char server[NAME_SIZE]; /* of the last start */
	int nstarts;
	int nruns; /* starts that did not end REFUSED or NOT_SENT */
};

#define FAKE_TASKS_MAX 65536

/** struct fake_backend - the backend. */
struct fake_backend {
	struct backend backend;
	struct fake_call_list calls; /* open, in order of start */
	size_t ncalls;
	size_t ncancelled;
	struct fake_task *tasks;
	size_t ntasks_started; /* elements of @tasks in use */
};

void fake_backend_init(struct fake_backend *fake);
void fake_backend_clear(struct fake_backend *fake);

/**
 * fake_backend_end() - end an open call.
 * @leaving: whether the reply reports that the server is leaving.
 */
void fake_backend_end(struct fake_backend *fake, struct backend_call *call,
    enum backend_status status, bool leaving);

/** fake_backend_open_calls() - number of open calls; NULL: of all servers. */
size_t fake_backend_open_calls(const struct fake_backend *fake,
    const char *server);

/** fake_backend_task() - record of a task, or NULL if it was never started. */
const struct fake_task *fake_backend_task(const struct fake_backend *fake,
    const char *task_id);

#endif /* TESTS_SUPPORT_FAKE_BACKEND_H */
