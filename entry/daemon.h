#ifndef ENTRY_DAEMON_H
#define ENTRY_DAEMON_H

#include "entry/settings.h"

/**
 * daemon_run() - serve as an entry host until a planned stop.
 * @settings: checked settings, borrowed.
 *
 * SIGTERM and SIGINT begin a graceful shutdown; further ones do not shorten
 * it. Return: the process's exit code.
 */
int daemon_run(const struct settings *settings);

#endif /* ENTRY_DAEMON_H */
