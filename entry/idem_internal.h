#ifndef ENTRY_IDEM_INTERNAL_H
#define ENTRY_IDEM_INTERNAL_H

#include <event2/event.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "berylrail/limits.h"
#include "entry/api_internal.h"
#include "entry/idempotency.h"

/* Idempotency keys: what the keys and their claims in the table share. */

#define IDEM_BUCKETS 4096
#define IDEM_NONCE_SIZE 17 /* hexadecimal, with the NUL */

struct idem_key;
TAILQ_HEAD(idem_queue, idem_key);
LIST_HEAD(idem_bucket, idem_key);

/** struct idem_key - one key that this host claims or has claimed. */
struct idem_key {
	struct idem *idem;
	struct api_work *work;
	char key[KEY_SIZE];
	char nonce[IDEM_NONCE_SIZE];
	unsigned int tries;
	bool settled;
	struct event *retry;
	LIST_ENTRY(idem_key) bucket;
	TAILQ_ENTRY(idem_key) queued; /* for the next transaction */
};

struct idem {
	struct api *api;
	size_t nhosts;
	size_t nunsettled;
	uint64_t flushed_us; /* when the last transaction was sent */
	struct event *flush;
	struct idem_queue queue;
	struct idem_bucket buckets[IDEM_BUCKETS];
};

/* idempotency.c: how a claim was settled; each frees or settles the key */

/** idem_won() - the key is this host's: start its work. */
void idem_won(struct idem_key *key);

/** idem_lost() - it belongs to the submission with the ticket @claimant. */
void idem_lost(struct idem_key *key, const char *claimant);

/** idem_give_up() - not settled, and nothing will start here by it. */
void idem_give_up(struct idem_key *key, enum refusal refusal);

/* idem_claim.c */

/** idem_enqueue() - claim a key in the next transaction. */
void idem_enqueue(struct idem_key *key);

/** idem_flush() - write the queued claims; an event_callback_fn. */
void idem_flush(evutil_socket_t fd, short what, void *arg);

#endif /* ENTRY_IDEM_INTERNAL_H */
