/*
 * Histograms in the Prometheus text format, with cumulative buckets.
 */

#include <inttypes.h>
#include <stdio.h>

#include "core/histogram.h"

static TAILQ_HEAD(, histogram) hist_list = TAILQ_HEAD_INITIALIZER(hist_list);

void
hist_register(struct histogram *hist)
{
	if (hist->registered)
		return;
	hist->registered = 1;
	TAILQ_INSERT_TAIL(&hist_list, hist, entry);
}

void
hist_add(struct histogram *hist, uint64_t value)
{
	size_t i;

	for (i = 0; i < hist->nbounds; i++) {
		if (value <= hist->bounds[i])
			break;
	}
	hist->counts[i]++;
	hist->sum += value;
	hist_register(hist);
}

void
hist_render(const struct histogram *hist,
    void (*emit)(void *arg, const char *text, size_t len), void *arg)
{
	uint64_t total = 0;
	char line[512];
	size_t i;
	int n;

	n = snprintf(line, sizeof(line), "# HELP %s %s\n# TYPE %s histogram\n",
	    hist->name, hist->help, hist->name);
	emit(arg, line, (size_t)n);
	for (i = 0; i < hist->nbounds; i++) {
		total += hist->counts[i];
		n = snprintf(line, sizeof(line),
		    "%s_bucket{le=\"%g\"} %" PRIu64 "\n", hist->name,
		    (double)hist->bounds[i] * hist->unit, total);
		emit(arg, line, (size_t)n);
	}
	total += hist->counts[hist->nbounds];
	n = snprintf(line, sizeof(line),
	    "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %.6f\n%s_count %" PRIu64
	    "\n",
	    hist->name, total, hist->name, (double)hist->sum * hist->unit,
	    hist->name, total);
	emit(arg, line, (size_t)n);
}

void
hist_render_all(void (*emit)(void *arg, const char *text, size_t len),
    void *arg)
{
	const struct histogram *hist;

	TAILQ_FOREACH (hist, &hist_list, entry)
		hist_render(hist, emit, arg);
}
