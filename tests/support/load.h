#ifndef SUPPORT_LOAD_H
#define SUPPORT_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "support/cluster.h"

/*
 * Clients that submit jobs until they are told to stop, resubmit what they
 * believe lost, to whatever host, and remember every answer, so that answers
 * and the backend servers' record can be compared in the end.
 */

/** struct load_options - what the clients do. */
struct load_options {
	struct clu *clu;
	int nclients;
	uint64_t seed;
	int tasks_max;	   /* of a job */
	int task_ms_max;   /* run time of a task */
	bool task_faults;  /* some tasks fail, hang or break off */
	bool use_proxy;	   /* half of the requests go through the proxy */
	bool tickets_only; /* tickets only, no Idempotency-Key */
};

/** struct load_report - how the answers came out. */
struct load_report {
	unsigned complete, not_run, task_failed, unknown, unanswered;
	unsigned resubmitted;
	unsigned violations; /* each is printed to stderr */
};

struct load;

/** load_start() - start the clients, one thread each. */
struct load *load_start(const struct load_options *options);

/** load_stop() - wait until every client has finished its last job. */
void load_stop(struct load *load);

/** load_check() - compare answers with the record; frees @load. */
void load_check(struct load *load, struct load_report *report);

/** load_random() - xorshift; the state must not be 0. */
uint32_t load_random(uint64_t *state, uint32_t n);

#endif /* SUPPORT_LOAD_H */
