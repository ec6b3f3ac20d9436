/*
 * Choice of the entry host that holds a cell.
 */

#include <string.h>

#include "core/cell.h"

bool
cell_is_preferred(const struct cell_host *a, const struct cell_host *b)
{
	if (a->leaving != b->leaving)
		return b->leaving;
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return strcmp(a->name, b->name) < 0;
}

int
cell_choose_holder(const struct cell_host *hosts, size_t nhosts)
{
	int best = -1, holder = -1;
	size_t i;

	for (i = 0; i < nhosts; i++) {
		if (!hosts[i].reachable)
			continue;
		if (hosts[i].token != 0 && !hosts[i].leaving &&
		    (holder < 0 || hosts[i].token > hosts[holder].token))
			holder = (int)i;
		if (best < 0 || cell_is_preferred(&hosts[i], &hosts[best]))
			best = (int)i;
	}
	return holder >= 0 ? holder : best;
}
