/*
 * Replaces adapters/log.c: with --trace, the hosts' log lines are written among
 * the others, with the simulated time and the name of the host that runs.
 */

#include <stdarg.h>
#include <stdio.h>

#include "adapters/log.h"
#include "sim.h"

int
log_open(const char *host, const char *level)
{
	(void)host;
	(void)level;
	return 0;
}

void
log_close(void)
{
}

void
log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	const struct sim_day *day = sim_day_current();
	char text[1024];
	va_list ap;

	(void)level;
	if (!day->options->trace)
		return;
	va_start(ap, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	sim_trace(day, "%s %s %s", day->running, event, text);
}

void
log_error(enum log_level level, const char *event, const struct err *err)
{
	log_event(level, event, "code=%s reason=\"%s\"",
	    err_code_name(err->code), err->message);
}
