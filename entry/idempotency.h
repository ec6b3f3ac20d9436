#ifndef ENTRY_IDEMPOTENCY_H
#define ENTRY_IDEMPOTENCY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Idempotency keys chosen by clients. Before a submission with a key is
 * started, this host claims the key: it inserts a row into the platform's
 * table, on the condition that there is none. The row holds the ticket of the
 * claimant and a nonce. Claims of one interval are written in one transaction.
 *
 * See docs/design/tickets.md for the reasons.
 */

struct api;
struct api_call;
struct api_execution;
struct idem;
struct submission;

/** idem_create() - allocate an empty set of keys; NULL if out of memory. */
struct idem *idem_create(struct api *api);

/** idem_destroy() - free the keys; NULL is allowed. */
void idem_destroy(struct idem *idem);

/** idem_set_nhosts() - set the number of hosts that share the write limit. */
void idem_set_nhosts(struct idem *idem, size_t nhosts);

/**
 * idem_submit() - claim the key of a request, and start the submission if the
 * claim is won. Otherwise the request waits for the execution of the key on
 * this host, or is forwarded to the host that holds the key.
 * @subm: consumed.
 * @wait_ms: how long the reply waits for the answer once the claim is settled.
 */
void idem_submit(struct idem *idem, struct api_call *call,
    struct submission *subm, uint32_t wait_ms);

/** idem_release_key() - free the key of an execution that is released. */
void idem_release_key(const struct api_execution *exec);

/** idem_has_unsettled() - whether a claim is neither won, lost nor aborted. */
bool idem_has_unsettled(const struct idem *idem);

#endif /* ENTRY_IDEMPOTENCY_H */
