#ifndef CORE_COUNTERS_H
#define CORE_COUNTERS_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Counters and gauges of this process, exported on /metrics in the Prometheus
 * text format. They are static objects of the modules that use them and are
 * registered on first use. There are no locks: all functions must be called on
 * the thread of the event base.
 */

/** struct counter - one time series. */
struct counter {
	const char *name;   /* "berylrail_tasks_started_total" */
	const char *labels; /* "hop=\"backend\"", or NULL */
	const char *help;
	uint64_t value;
	TAILQ_ENTRY(counter) entry;
	int gauge; /* non-zero: a gauge, may decrease */
	int registered;
};

/** ctr_add() - add to a counter, and register it if necessary. */
void ctr_add(struct counter *counter, uint64_t n);

/** ctr_inc() - add one to a counter. */
void ctr_inc(struct counter *counter);

/** ctr_set() - set a gauge, and register it if necessary. */
void ctr_set(struct counter *counter, uint64_t value);

/** ctr_register() - include a counter in the output before its first use. */
void ctr_register(struct counter *counter);

/**
 * ctr_render() - write all registered counters in the Prometheus text format.
 * @emit: called for each part of the text; @text is valid during the call.
 * @arg: passed to @emit.
 */
void ctr_render(void (*emit)(void *arg, const char *text, size_t len),
    void *arg);

#endif /* CORE_COUNTERS_H */
