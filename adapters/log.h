#ifndef ADAPTERS_LOG_H
#define ADAPTERS_LOG_H

#include "berylrail/error.h"

/*
 * Structured logging to standard output, by log4c. One line of key=value pairs
 * is written for each decision about a request and for each change of the
 * host's state. Logging never blocks. The rate of each event is limited; lines
 * above the limit are counted.
 */

/** enum log_level - severity of a line. */
enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
};

/**
 * log_open() - start logging; until then, nothing is written.
 * @host: name of this host, written in every line.
 * @level: lowest level written: "debug", "info", "warn" or "error".
 *
 * Return: 0, or -1 for an unknown level.
 */
int log_open(const char *host, const char *level);

/** log_close() - flush the buffer and stop logging. */
void log_close(void);

/**
 * log_event() - write one line with the name of an event and key=value pairs.
 * @event: a string literal, such as "server-ejected"; the pointer is retained.
 * @fmt: format of the pairs as for printf(3); "" for none.
 */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** log_error() - write a line with the step, peer, code and message of @err. */
void log_error(enum log_level level, const char *event, const struct err *err);

#endif /* ADAPTERS_LOG_H */
