#ifndef ADAPTERS_LOG_WRITER_H
#define ADAPTERS_LOG_WRITER_H

#include <stddef.h>

/*
 * Log lines on their way to a descriptor that may not take them at once:
 * kept in a bounded buffer and written without blocking. What finds no room
 * is dropped and counted, and the count is written when there is room again.
 */

struct event_base;

/** lgw_open() - write to @fd from now on, which becomes non-blocking. */
void lgw_open(int fd);

/** lgw_attach() - write from the event loop, some lines at once. */
int lgw_attach(struct event_base *base);

/** lgw_detach() - before the base is freed; lines are written at once again. */
void lgw_detach(void);

/** lgw_add() - a line, without its end. */
void lgw_add(const char *line, size_t len);

/** lgw_flush() - write what the descriptor takes now. */
void lgw_flush(void);

#endif /* ADAPTERS_LOG_WRITER_H */
