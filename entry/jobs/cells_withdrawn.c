/*
 * Submissions that their hosts have withdrawn, kept for as long as a forward of
 * them counts: it may arrive after its cancellation, by another connection.
 */

#include "core/mem.h"
#include "entry/jobs/cells_internal.h"

/* The oldest one is dropped then. */
#define CELLS_WITHDRAWN_MAX 8192

static void
cells_withdrawn_free(struct cells *cells, struct cells_withdrawn *withdrawn)
{
	TAILQ_REMOVE(&cells->withdrawn, withdrawn, entry);
	nidx_remove(&cells->withdrawn_by_id, &withdrawn->by_id);
	cells->nwithdrawn--;
	free(withdrawn);
}

void
cells_withdrawn_add(struct cells *cells, const char *id, uint64_t nonce)
{
	struct cells_withdrawn *withdrawn;
	uint64_t now_us = cells_now_us(cells);

	while ((withdrawn = TAILQ_FIRST(&cells->withdrawn)) != NULL &&
	    ((now_us - withdrawn->arrived_us) / 1000 > CELLS_FORWARD_VALID_MS ||
		cells->nwithdrawn == CELLS_WITHDRAWN_MAX))
		cells_withdrawn_free(cells, withdrawn);
	withdrawn = mem_zalloc(1, sizeof(*withdrawn));
	strlcpy(withdrawn->id, id, sizeof(withdrawn->id));
	withdrawn->nonce = nonce;
	withdrawn->arrived_us = now_us;
	TAILQ_INSERT_TAIL(&cells->withdrawn, withdrawn, entry);
	nidx_insert(&cells->withdrawn_by_id, &withdrawn->by_id, withdrawn->id);
	cells->nwithdrawn++;
}

bool
cells_withdrawn_find(const struct cells *cells, const char *id, uint64_t nonce)
{
	const struct nidx_entry *entry;

	for (entry = nidx_find(&cells->withdrawn_by_id, id); entry != NULL;
	     entry = nidx_next(entry)) {
		if (NIDX_OBJECT(entry, const struct cells_withdrawn, by_id)
			->nonce == nonce)
			return true;
	}
	return false;
}

void
cells_withdrawn_init(struct cells *cells)
{
	TAILQ_INIT(&cells->withdrawn);
	nidx_init(&cells->withdrawn_by_id);
}

void
cells_withdrawn_release(struct cells *cells)
{
	struct cells_withdrawn *withdrawn;

	while ((withdrawn = TAILQ_FIRST(&cells->withdrawn)) != NULL)
		cells_withdrawn_free(cells, withdrawn);
	nidx_release(&cells->withdrawn_by_id);
}
