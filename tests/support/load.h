#ifndef SUPPORT_LOAD_H
#define SUPPORT_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "support/cluster.h"

/*
 * Clients that submit jobs to random hosts until load_stop(). A job without a
 * final answer is resubmitted. All answers are recorded, so that load_check()
 * can compare them with the backend servers' records of starts.
 */

/** struct load_options - behaviour of the clients. */
struct load_options {
	struct clu *clu;
	int nclients;
	uint64_t seed;
	int tasks_max;	   /* maximum number of tasks of a job */
	int task_ms_max;   /* maximum run time of a task */
	bool task_faults;  /* some tasks fail or get a malformed reply */
	bool use_proxy;	   /* half of the requests go through the proxy */
	bool tickets_only; /* no Idempotency-Key is used */
};

/** struct load_report - number of jobs by outcome, and of violations. */
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

/** load_check() - compare answers with the start records; frees @load. */
void load_check(struct load *load, struct load_report *report);

/**
 * load_random() - random number below @n by xorshift, 0 if @n is 0.
 * @state: state of the generator; must not be 0.
 */
uint32_t load_random(uint64_t *state, uint32_t n);

#endif /* SUPPORT_LOAD_H */
