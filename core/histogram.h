#ifndef CORE_HISTOGRAM_H
#define CORE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Histograms in the Prometheus text format, with cumulative buckets. They are
 * registered on first use.
 */

#define HIST_BUCKETS_MAX 32

/** struct histogram - one histogram; @bounds must outlive it. */
struct histogram {
	const char *name;
	const char *help;
	const uint64_t *bounds; /* inclusive upper bounds, ascending */
	size_t nbounds;		/* at most HIST_BUCKETS_MAX - 1 */
	double unit; /* output per recorded unit: 1e-6 to export us as s */
	uint64_t counts[HIST_BUCKETS_MAX]; /* last: above all bounds */
	uint64_t sum;			   /* of all values */
	int registered;			   /* set by hist_register() */
	TAILQ_ENTRY(histogram) entry;
};

/** hist_add() - count one value, and register @hist if necessary. */
void hist_add(struct histogram *hist, uint64_t value);

/** hist_register() - include @hist in the output before its first value. */
void hist_register(struct histogram *hist);

/** hist_render() - write @hist; @emit is called for each part of the text. */
void hist_render(const struct histogram *hist,
    void (*emit)(void *arg, const char *text, size_t len), void *arg);

/** hist_render_all() - write all histograms in order of registration. */
void hist_render_all(void (*emit)(void *arg, const char *text, size_t len),
    void *arg);

#endif /* CORE_HISTOGRAM_H */
