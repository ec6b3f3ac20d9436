#ifndef TESTS_SUPPORT_FAKE_BACKEND_H
#define TESTS_SUPPORT_FAKE_BACKEND_H

#include <sys/queue.h>

#include "ports/backend.h"

/* A backend whose calls end when a test says so, and that keeps a record of
 * all starts. */

/** struct backend_call - an open call. */
struct backend_call {
	char server[NAME_SIZE];
	char task_id[512];
	backend_done_fn done;
	void *arg;
	TAILQ_ENTRY(backend_call) entry;
};

TAILQ_HEAD(fake_calls, backend_call);

/** struct fake_start - what is known of one task. */
struct fake_start {
	char task_id[512];
	char server[NAME_SIZE]; /* of its last start */
	int nstarts;
	int nran; /* starts that were not refused, nor not sent */
};

#define FAKE_STARTS_MAX 65536

/** struct fake_backend - the backend. */
struct fake_backend {
	struct backend backend;
	struct fake_calls calls; /* open, in order of start */
	size_t ncalls;
	size_t ncancelled;
	struct fake_start *starts;
	size_t nstarts; /* entries; one for each task */
};

void fake_backend_init(struct fake_backend *fake);
void fake_backend_clear(struct fake_backend *fake);

/** fake_backend_end() - end an open call. */
void fake_backend_end(struct fake_backend *fake, struct backend_call *call,
    enum backend_status status, bool leaving);

/** fake_backend_open() - open calls on a server, or of all if NULL. */
size_t fake_backend_open(const struct fake_backend *fake, const char *server);

/** fake_backend_task() - the record of a task, or NULL if never started. */
const struct fake_start *fake_backend_task(const struct fake_backend *fake,
    const char *task_id);

#endif /* TESTS_SUPPORT_FAKE_BACKEND_H */
