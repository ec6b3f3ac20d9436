#ifndef ENTRY_DAEMON_H
#define ENTRY_DAEMON_H

#include "entry/settings.h"

/**
 * daemon_run() - run an entry host until it is stopped by a signal.
 * @settings: validated settings, borrowed.
 *
 * SIGTERM or SIGINT starts a graceful shutdown, which further signals don't
 * shorten. Return: the exit code of the process.
 */
int daemon_run(const struct settings *settings);

#endif /* ENTRY_DAEMON_H */
