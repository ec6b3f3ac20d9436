#ifndef ADAPTERS_LOG_WRITER_H
#define ADAPTERS_LOG_WRITER_H

#include <stddef.h>

/*
 * Buffered, non-blocking writer of log lines. Lines that exceed the bounded
 * buffer are dropped and counted, and their number is logged once there is
 * space in the buffer.
 */

struct event_base;

/** lgw_open() - set the descriptor to write to, and make it non-blocking. */
void lgw_open(int fd);

/**
 * lgw_attach() - write batches of lines from the event loop.
 * Return: 0, or -1 if memory is exhausted; each line is then written on its
 * own.
 */
int lgw_attach(struct event_base *base);

/**
 * lgw_detach() - flush, and write each line on its own from now on. To be
 * called before the event base is freed.
 */
void lgw_detach(void);

/** lgw_add() - append a line of @len bytes, which has no newline. */
void lgw_add(const char *line, size_t len);

/** lgw_flush() - write as much as the descriptor accepts without blocking. */
void lgw_flush(void);

#endif /* ADAPTERS_LOG_WRITER_H */
