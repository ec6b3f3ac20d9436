#ifndef CORE_HISTOGRAM_H
#define CORE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/* Histograms with cumulative buckets in Prometheus' text form. */

#define HIST_BUCKETS_MAX 32

/** struct histogram - one distribution; bounds are static. */
struct histogram {
	const char *name;
	const char *help;
	const uint64_t *bounds; /* upper bounds in units, ascending */
	size_t nbounds;		/* at most HIST_BUCKETS_MAX - 1 */
	double unit;		/* what is shown for one unit, e.g. 1e-6 s */
	uint64_t counts[HIST_BUCKETS_MAX]; /* the last: above all bounds */
	uint64_t sum;			   /* units */
	int registered;			   /* set by the first value */
	TAILQ_ENTRY(histogram) entry;
};

/** hist_add() - count one value, in units. */
void hist_add(struct histogram *hist, uint64_t value);

/** hist_register() - show it from now on, also without a value. */
void hist_register(struct histogram *hist);

/** hist_render() - write it in Prometheus' text form. */
void hist_render(const struct histogram *hist,
    void (*emit)(void *arg, const char *text, size_t len), void *arg);

/** hist_render_all() - all that have a value, in order of their first one. */
void hist_render_all(void (*emit)(void *arg, const char *text, size_t len),
    void *arg);

#endif /* CORE_HISTOGRAM_H */
