#ifndef ENTRY_IDEMPOTENCY_H
#define ENTRY_IDEMPOTENCY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Idempotency keys that clients bring. A key is claimed by a row in the
 * platform's table, inserted if absent before anything starts; the row names
 * the claimant's ticket and a nonce. Claims of the same interval are written
 * in one transaction. docs/design/tickets.md gives the reasons.
 */

struct api;
struct api_call;
struct api_execution;
struct idem;
struct submission;

/** idem_create() - no keys yet; @api is borrowed. NULL if out of memory. */
struct idem *idem_create(struct api *api);

/** idem_destroy() - free it; NULL is allowed. */
void idem_destroy(struct idem *idem);

/** idem_set_nhosts() - entry hosts that share the platform's writes. */
void idem_set_nhosts(struct idem *idem, size_t nhosts);

/**
 * idem_submit() - claim the request's key, then start, join or forward.
 * @subm: taken.
 */
void idem_submit(struct idem *idem, struct api_call *call,
    struct submission *subm, uint32_t wait_ms);

/** idem_release_key() - an ended work is no longer kept. */
void idem_release_key(const struct api_execution *exec);

/** idem_has_unsettled() - is any claim unsettled? */
bool idem_has_unsettled(const struct idem *idem);

#endif /* ENTRY_IDEMPOTENCY_H */
