#ifndef CORE_COUNTERS_H
#define CORE_COUNTERS_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Counters of our own, shown on /metrics in Prometheus' text form. Counters
 * are static objects of the module that counts; they register on first use.
 * All counting is done on the thread of the event base.
 */

/** struct counter - one time series. */
struct counter {
	const char *name;   /* "berylrail_tasks_started_total" */
	const char *labels; /* "hop=\"backend\"", or NULL */
	const char *help;
	uint64_t value;
	TAILQ_ENTRY(counter) entry;
	int gauge; /* non-zero: may go down */
	int registered;
};

/** ctr_add() - add to a counter, registering it if need be. */
void ctr_add(struct counter *counter, uint64_t n);

/** ctr_inc() - add one. */
void ctr_inc(struct counter *counter);

/** ctr_set() - set a gauge. */
void ctr_set(struct counter *counter, uint64_t value);

/** ctr_register() - make a counter visible before it is first counted. */
void ctr_register(struct counter *counter);

/**
 * ctr_render() - write all registered counters in Prometheus' text form.
 * @emit: called for each piece of text.
 * @arg: passed to @emit.
 */
void ctr_render(void (*emit)(void *arg, const char *text, size_t len),
    void *arg);

#endif /* CORE_COUNTERS_H */
