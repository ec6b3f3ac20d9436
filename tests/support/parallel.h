#ifndef SUPPORT_PARALLEL_H
#define SUPPORT_PARALLEL_H

#include <pthread.h>

#include "support/cluster.h"

/* Submissions that run at the same time, each on a thread of its own. */

#define PAR_TIMEOUT_MS 20000

/** struct par - one submission. */
struct par {
	uint16_t port;
	const char *headers; /* or NULL */
	const char *body;
	struct clu_reply reply; /* after par_join() */
	pthread_t thread;
};

/** par_start() - send it; everything is borrowed until par_join(). */
void par_start(struct par *par, uint16_t port, const char *headers,
    const char *body);

/** par_join() - wait for its answer, to be freed with clu_reply_free(). */
void par_join(struct par *par);

#endif /* SUPPORT_PARALLEL_H */
