/*
 * Counters and gauges in the Prometheus text format.
 */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/counters.h"

static TAILQ_HEAD(, counter) ctr_list = TAILQ_HEAD_INITIALIZER(ctr_list);

/*
 * Inserts the counter after those of the same name: the text format requires
 * that the series of one name are adjacent.
 */
void
ctr_register(struct counter *counter)
{
	struct counter *other, *last = NULL;

	if (counter->registered)
		return;
	counter->registered = 1;
	TAILQ_FOREACH (other, &ctr_list, entry) {
		if (strcmp(other->name, counter->name) == 0)
			last = other;
	}
	if (last != NULL)
		TAILQ_INSERT_AFTER(&ctr_list, last, counter, entry);
	else
		TAILQ_INSERT_TAIL(&ctr_list, counter, entry);
}

void
ctr_add(struct counter *counter, uint64_t n)
{
	counter->value += n;
	if (!counter->registered)
		ctr_register(counter);
}

void
ctr_inc(struct counter *counter)
{
	ctr_add(counter, 1);
}

void
ctr_set(struct counter *counter, uint64_t value)
{
	counter->value = value;
	if (!counter->registered)
		ctr_register(counter);
}

void
ctr_render(void (*emit)(void *arg, const char *text, size_t len), void *arg)
{
	const struct counter *counter;
	const char *previous = "";
	char line[512];
	int n;

	TAILQ_FOREACH (counter, &ctr_list, entry) {
		if (strcmp(previous, counter->name) != 0) {
			n = snprintf(line, sizeof(line),
			    "# HELP %s %s\n# TYPE %s %s\n", counter->name,
			    counter->help, counter->name,
			    counter->gauge ? "gauge" : "counter");
			emit(arg, line, (size_t)n);
			previous = counter->name;
		}
		n = snprintf(line, sizeof(line), "%s%s%s%s %" PRIu64 "\n",
		    counter->name, counter->labels ? "{" : "",
		    counter->labels ? counter->labels : "",
		    counter->labels ? "}" : "", counter->value);
		emit(arg, line, (size_t)n);
	}
}
