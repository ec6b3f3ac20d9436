#ifndef CORE_CELL_H
#define CORE_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which entry host holds a cell: the backend servers of one availability
 * zone. Exactly one host starts work on a server; the fencing token at the
 * servers enforces that, this module only keeps hosts from contending.
 */

/** struct cell_host - a host of the zone as this host sees it. */
struct cell_host {
	const char *name;
	uint64_t token;	 /* its token if it says that it holds, else 0 */
	uint32_t weight; /* processor share in thousandths; more is better */
	bool reachable;	 /* answers this host, or is this host */
	bool leaving;
};

/**
 * cell_choose_holder() - the host that should hold.
 *
 * The present holder (highest token) keeps the cell while it is reachable and
 * stays. Otherwise the heaviest reachable host that stays is chosen, by name
 * among equals; a host that leaves only if there is no other.
 *
 * Return: index into @hosts, or -1 if none is reachable.
 */
int cell_choose_holder(const struct cell_host *hosts, size_t nhosts);

#endif /* CORE_CELL_H */
