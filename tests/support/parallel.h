#ifndef SUPPORT_PARALLEL_H
#define SUPPORT_PARALLEL_H

#include <pthread.h>

#include "support/cluster.h"

/* Concurrent submissions, each on its own thread. */

#define PAR_TIMEOUT_MS 20000

/** struct par - one submission. */
struct par {
	uint16_t port;
	const char *headers; /* NULL if none */
	const char *body;
	struct clu_reply reply; /* valid after par_join() */
	pthread_t thread;
};

/** par_start() - submit; all arguments are borrowed until par_join(). */
void par_start(struct par *par, uint16_t port, const char *headers,
    const char *body);

/** par_join() - wait for the answer; to be freed with clu_reply_free(). */
void par_join(struct par *par);

#endif /* SUPPORT_PARALLEL_H */
