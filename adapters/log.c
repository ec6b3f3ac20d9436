/*
 * Logging by log4c. The category and its appender are set up in code, so that
 * no configuration file is required. Each event name has its own rate limit.
 */

#include <log4c.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "adapters/log.h"
#include "adapters/log_writer.h"
#include "berylrail/limits.h"

#define LOG_LINE_BYTES 1024 /* of the pairs; more is truncated */
#define LOG_RATES_MAX 64    /* rate-limited events; others are not limited */
#define LOG_EVENT_LINES_PER_S_MAX 1000 /* of one event */

static log4c_category_t *log_category;
static char log_host[NAME_SIZE];

/* Lines of one event in the current second. */
struct log_rate {
	const char *event; /* a string literal; NULL: unused entry */
	time_t second;
	unsigned long lines;
};

static struct log_rate log_rates[LOG_RATES_MAX];

static const int log_priorities[] = {
	[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
	[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const char *const log_level_names[] = {
	[LOG_LEVEL_DEBUG] = "debug",
	[LOG_LEVEL_INFO] = "info",
	[LOG_LEVEL_WARN] = "warn",
	[LOG_LEVEL_ERROR] = "error",
};

static int
log_level_from_name(const char *name)
{
	int i;

	for (i = LOG_LEVEL_DEBUG; i <= LOG_LEVEL_ERROR; i++) {
		if (strcmp(name, log_level_names[i]) == 0)
			return i;
	}
	return -1;
}

/* Appender of log4c; passes the rendered line to the writer. */
static int
log_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	size_t len = strlen(event->evt_rendered_msg);

	(void)appender;
	if (len > 0 && event->evt_rendered_msg[len - 1] == '\n')
		len--;
	lgw_add(event->evt_rendered_msg, len);
	return 0;
}

static const log4c_appender_type_t log_appender_type = {
	.name = "berylrail",
	.append = log_append,
};

int
log_open(const char *host, const char *level)
{
	log4c_appender_t *appender;
	int n;

	n = log_level_from_name(level);
	if (n < 0)
		return -1;
	(void)snprintf(log_host, sizeof(log_host), "%s", host);
	(void)log4c_init();
	(void)log4c_appender_type_set(&log_appender_type);
	lgw_open(STDOUT_FILENO);
	log_category = log4c_category_get("berylrail");
	appender = log4c_appender_get("lines");
	log4c_appender_set_type(appender, log4c_appender_type_get("berylrail"));
	log4c_appender_set_layout(appender, log4c_layout_get("dated"));
	log4c_layout_set_type(log4c_layout_get("dated"),
	    log4c_layout_type_get("dated"));
	log4c_category_set_appender(log_category, appender);
	log4c_category_set_priority(log_category, log_priorities[n]);
	return 0;
}

void
log_close(void)
{
	if (log_category == NULL)
		return;
	lgw_flush();
	log_category = NULL;
	(void)log4c_fini();
}

/* Returns the entry of @event in the hash table, or NULL if it is full. */
static struct log_rate *
log_rate_find(const char *event)
{
	size_t i, hash = 5381;
	const char *p;

	for (p = event; *p != '\0'; p++)
		hash = hash * 33 + (unsigned char)*p;
	for (i = 0; i < LOG_RATES_MAX; i++) {
		struct log_rate *rate = &log_rates[(hash + i) % LOG_RATES_MAX];

		if (rate->event == NULL)
			rate->event = event;
		if (strcmp(rate->event, event) == 0)
			return rate;
	}
	return NULL;
}

static void
log_write(enum log_level level, const char *event, const char *line)
{
	log4c_category_log(log_category, log_priorities[level],
	    "event=%s host=%s %s", event, log_host, line);
}

/*
 * Counts a line of @event and returns whether it is within the rate limit. The
 * number of lines suppressed is logged with the next line of the same event in
 * a later second.
 */
static bool
log_rate_admit(const char *event)
{
	struct log_rate *rate = log_rate_find(event);
	struct timespec now;
	char line[96];

	if (rate == NULL)
		return true;
	(void)clock_gettime(CLOCK_MONOTONIC_COARSE, &now);
	if (now.tv_sec != rate->second) {
		if (rate->lines > LOG_EVENT_LINES_PER_S_MAX) {
			(void)snprintf(line, sizeof(line),
			    "kind=%s lines=%lu reason=\"rate limit\"", event,
			    rate->lines - LOG_EVENT_LINES_PER_S_MAX);
			log_write(LOG_LEVEL_WARN, "log-lines-skipped", line);
		}
		rate->second = now.tv_sec;
		rate->lines = 0;
	}
	return ++rate->lines <= LOG_EVENT_LINES_PER_S_MAX;
}

void
log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	char line[LOG_LINE_BYTES];
	va_list ap;

	if (log_category == NULL ||
	    !log4c_category_is_priority_enabled(log_category,
		log_priorities[level]))
		return;
	if (!log_rate_admit(event))
		return;
	va_start(ap, fmt);
	(void)vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	log_write(level, event, line);
}

void
log_error(enum log_level level, const char *event, const struct err *err)
{
	log_event(level, event, "step=%s peer=%s code=%s message=\"%s\"",
	    err_step_name(err->step), err->peer, err_code_name(err->code),
	    err->message);
}
