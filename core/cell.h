#ifndef CORE_CELL_H
#define CORE_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Choice of the entry host that holds a cell, which is the backend servers of
 * one availability zone. At most one host starts tasks on a server. The servers
 * enforce that with fencing tokens; the choice only avoids contention.
 */

/** struct cell_host - state of a host of the zone, as observed by this host. */
struct cell_host {
	const char *name;
	/* Its fencing token if it reports that it is the holder, else 0. */
	uint64_t token;
	uint32_t weight; /* share of a processor in thousandths */
	bool reachable;	 /* connected and replying, or this host itself */
	bool leaving;
};

/** cell_is_preferred() - is @a preferred to @b as a new holder? */
bool cell_is_preferred(const struct cell_host *a, const struct cell_host *b);

/**
 * cell_choose_holder() - choose the host that should hold the cell.
 *
 * The current holder (the one with the highest token) is chosen while it is
 * reachable and not leaving. Otherwise the reachable host with the largest
 * weight that is not leaving is chosen, and the first by name among equals. A
 * leaving host is chosen only if no other is reachable.
 *
 * Return: index into @hosts, or -1 if none is reachable.
 */
int cell_choose_holder(const struct cell_host *hosts, size_t nhosts);

#endif /* CORE_CELL_H */
