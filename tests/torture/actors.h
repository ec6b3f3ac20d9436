#ifndef TORTURE_ACTORS_H
#define TORTURE_ACTORS_H

#include <stdint.h>

#include "support/cluster.h"

/*
 * Clients that run beside the load, each in a thread: operators that submit
 * conflicting configuration changes, callers of non-repeatable requests, and a
 * monitor of the configuration versions. What they observed is compared with
 * the configuration history and the start records once they have stopped.
 */

struct actors;

/** actors_start() - start all threads. */
struct actors *actors_start(struct clu *clu, uint64_t seed);

/** actors_stop() - stop and join all threads. */
void actors_stop(struct actors *actors);

/**
 * actors_check() - compare what the actors observed with the configuration
 * history and the start records, and free @actors.
 * Return: number of violations; each is printed to stderr.
 */
unsigned actors_check(struct actors *actors);

#endif /* TORTURE_ACTORS_H */
