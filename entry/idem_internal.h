#ifndef ENTRY_IDEM_INTERNAL_H
#define ENTRY_IDEM_INTERNAL_H

#include <event2/event.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "berylrail/limits.h"
#include "entry/api_internal.h"
#include "entry/idempotency.h"

/*
 * Declarations shared by idempotency.c (the keys) and idem_claim.c (their
 * claims in the platform's table).
 */

#define IDEM_BUCKETS 4096
#define IDEM_NONCE_SIZE 17 /* hexadecimal, with the NUL */

struct idem_key;
TAILQ_HEAD(idem_queue, idem_key);
LIST_HEAD(idem_bucket, idem_key);

/** struct idem_key - one key that this host is claiming or has claimed. */
struct idem_key {
	struct idem *idem;
	struct api_execution *exec;
	char key[KEY_SIZE];
	char nonce[IDEM_NONCE_SIZE];
	unsigned int attempts;
	bool settled; /* the claim was won, lost or aborted */
	struct event *retry_timer;
	LIST_ENTRY(idem_key) bucket_entry;
	TAILQ_ENTRY(idem_key) queue_entry; /* for the next transaction */
};

struct idem {
	struct api *api;
	size_t nhosts;
	size_t nunsettled;
	uint64_t last_flush_us; /* when the last transaction was sent */
	struct event *flush_timer;
	struct idem_queue queue;
	struct idem_bucket buckets[IDEM_BUCKETS];
};

/* idempotency.c: results of a claim */

/** idem_claim_won() - this host holds the key: start its execution. */
void idem_claim_won(struct idem_key *key);

/**
 * idem_claim_lost() - another claim holds the key: forward the calls, and free
 * the key.
 * @claimant: ticket in the key's row.
 */
void idem_claim_lost(struct idem_key *key, const char *claimant);

/**
 * idem_claim_abort() - stop claiming a key, although its claim is not known to
 * be won or lost: refuse its calls, and free the key. The execution of this
 * claim is never started.
 */
void idem_claim_abort(struct idem_key *key, enum refusal refusal);

/* idem_claim.c */

/** idem_enqueue() - claim a key in the next transaction. */
void idem_enqueue(struct idem_key *key);

/** idem_flush() - write the queued claims; an event_callback_fn. */
void idem_flush(evutil_socket_t fd, short what, void *arg);

#endif /* ENTRY_IDEM_INTERNAL_H */
