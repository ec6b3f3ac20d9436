#ifndef TORTURE_ACTORS_H
#define TORTURE_ACTORS_H

#include <stdint.h>

#include "support/cluster.h"

/*
 * What goes on beside the load: operators that race each other, callers of
 * requests that must not be repeated, and a watcher of versions. Each is a
 * thread; all are compared with the records after they have stopped.
 */

struct actors;

/** actors_start() - start them. */
struct actors *actors_start(struct clu *clu, uint64_t seed);

/** actors_stop() - wait for their end. */
void actors_stop(struct actors *actors);

/**
 * actors_check() - compare with history and record, and free @actors.
 * Return: number of violations; each is printed to stderr.
 */
unsigned actors_check(struct actors *actors);

#endif /* TORTURE_ACTORS_H */
