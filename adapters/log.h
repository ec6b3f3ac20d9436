#ifndef ADAPTERS_LOG_H
#define ADAPTERS_LOG_H

#include "berylrail/error.h"

/*
 * Log lines by log4c on standard output: one line of key=value pairs for each
 * decision that touches a request or changes what the process believes. They
 * never block, and a kind that comes too often is limited and counted.
 */

/** enum log_level - how much a line matters. */
enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
};

/**
 * log_open() - start logging.
 * @host: name that stands in every line.
 * @level: "debug", "info", "warn" or "error".
 *
 * Return: 0, or -1 for an unknown level.
 */
int log_open(const char *host, const char *level);

/** log_close() - flush and free. */
void log_close(void);

/**
 * log_event() - one line: the event's name, then key=value pairs.
 * @event: name of the change of state, such as "server-ejected".
 * @fmt: the pairs, in the manner of printf(3); "" for none.
 *
 * Nothing is written before log_open().
 */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** log_error() - a line with the step, peer, code and message of @err. */
void log_error(enum log_level level, const char *event, const struct err *err);

#endif /* ADAPTERS_LOG_H */
