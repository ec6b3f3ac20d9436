/*
 * Logging by log4c. The category and its appender are set up in code, so that
 * no configuration file is looked for.
 */

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "adapters/log.h"
#include "berylrail/limits.h"

#define LOG_LINE_MAX 1024 /* bytes */

static log4c_category_t *log_category;
static char log_host[NAME_SIZE];

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
	log_category = log4c_category_get("berylrail");
	appender = log4c_appender_get("stderr");
	log4c_appender_set_type(appender, log4c_appender_type_get("stream"));
	log4c_appender_set_udata(appender, stderr);
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
	log_category = NULL;
	(void)log4c_fini();
}

void
log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	char line[LOG_LINE_MAX];
	va_list ap;

	if (log_category == NULL)
		return;
	va_start(ap, fmt);
	(void)vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	log4c_category_log(log_category, log_priorities[level],
	    "event=%s host=%s %s", event, log_host, line);
}

void
log_error(enum log_level level, const char *event, const struct err *err)
{
	log_event(level, event, "step=%s peer=%s code=%s message=\"%s\"",
	    err_step_name(err->step), err->peer, err_code_name(err->code),
	    err->message);
}
