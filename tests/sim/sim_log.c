/*
 * Replaces adapters/log.c: with --trace, the hosts' log lines are written among
 * the others, with the simulated time and the name of the host that runs.
 */

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "adapters/log.h"
#include "sim.h"

/* A holder takes a run for ended, and may start its task again. */
static void
sim_log_run_discarded(const char *text)
{
	char job[JOB_ID_LEN + 1], task[WORKER_TASK_NAME_SIZE];
	unsigned int step, index;
	unsigned long long run;

	if (strstr(text, "outcome=\"scheduler deactivated\"") != NULL ||
	    strstr(text, "job_ended=1") != NULL ||
	    sscanf(text, "id=%16s task=%u.%u run=%llu", job, &step, &index,
		&run) != 4)
		return;
	(void)snprintf(task, sizeof(task), "%s.0.%u.%u", job, step, index);
	sim_day_run_discarded(task, run);
}

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
	if (!day->options->trace && strcmp(event, "run-discarded") != 0)
		return;
	va_start(ap, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (strcmp(event, "run-discarded") == 0)
		sim_log_run_discarded(text);
	sim_trace(day, "%s %s %s", day->running, event, text);
}

void
log_error(enum log_level level, const char *event, const struct err *err)
{
	log_event(level, event, "code=%s reason=\"%s\"",
	    err_code_name(err->code), err->message);
}
