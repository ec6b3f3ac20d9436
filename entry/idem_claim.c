/*
 * Claims of keys in the platform's table, many in one transaction.
 *
 * A claim whose reply was lost is settled by reading the row: it is won if the
 * row holds this claim's nonce. An absent row does not settle the claim,
 * because the write may still be executed; the same row is inserted again.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/idem_internal.h"
#include "ports/table.h"

#define IDEM_ATTEMPTS_MAX 4
#define IDEM_RETRY_DELAY_MS 100
#define IDEM_WRITES_PER_S_MAX 200 /* total of all entry hosts */
#define IDEM_SORT_KEY "claim"
#define IDEM_DOC_BYTES (TICKET_SIZE + 64)

static struct counter idem_claim_writes = {
	.name = "berylrail_messages_total",
	.labels = "hop=\"platform\",kind=\"claim\"",
	.help = "Messages sent, by hop and kind.",
};
static struct counter idem_claim_reads = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"platform\",kind=\"claim_retry\"",
	.help = "Messages that did not contribute to an answer.",
};

/** struct idem_batch - the claims of one transaction. */
struct idem_batch {
	size_t nkeys;
	struct idem_key *keys[TABLE_WRITES_MAX];
};

static uint64_t
idem_flush_interval_us(const struct idem *idem)
{
	uint64_t min_us = idem->api->params.claim_flush_ms * 1000ULL;
	uint64_t share_us = idem->nhosts * 1000000ULL / IDEM_WRITES_PER_S_MAX;

	return min_us > share_us ? min_us : share_us;
}

static void
idem_schedule_flush(struct idem *idem)
{
	uint64_t now_us = api_now(idem->api), due_us;
	struct timeval tv = { 0 };

	if (event_pending(idem->flush_timer, EV_TIMEOUT, NULL))
		return;
	due_us = idem->last_flush_us + idem_flush_interval_us(idem);
	if (idem->last_flush_us != 0 && due_us > now_us) {
		tv.tv_sec = (time_t)((due_us - now_us) / 1000000);
		tv.tv_usec = (suseconds_t)((due_us - now_us) % 1000000);
	}
	(void)event_add(idem->flush_timer, &tv);
}

void
idem_enqueue(struct idem_key *key)
{
	TAILQ_INSERT_TAIL(&key->idem->queue, key, queue_entry);
	idem_schedule_flush(key->idem);
}

static void idem_read_row(struct idem_key *key);

static void
idem_retry_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	idem_read_row(arg);
}

static void
idem_read_after_delay(struct idem_key *key)
{
	struct timeval tv = { .tv_usec = IDEM_RETRY_DELAY_MS * 1000 };

	if (++key->attempts >= IDEM_ATTEMPTS_MAX) {
		idem_claim_abort(key, REF_KEY_CLAIM_UNKNOWN);
		return;
	}
	if (key->retry_timer == NULL)
		key->retry_timer = event_new(key->idem->api->params.base, -1, 0,
		    idem_retry_timeout, key);
	if (key->retry_timer == NULL || event_add(key->retry_timer, &tv) == -1)
		idem_claim_abort(key, REF_KEY_CLAIM_UNKNOWN);
}

static void
idem_settle_by_row(struct idem_key *key, const struct table_row *row)
{
	const char *ticket, *nonce;
	json_t *doc;

	doc = json_loadb(row->doc, row->doc_len, 0, NULL);
	if (json_unpack(doc, "{s:s, s:s}", "ticket", &ticket, "nonce",
		&nonce) == -1)
		idem_claim_abort(key, REF_KEY_CLAIM_UNKNOWN);
	else if (strcmp(nonce, key->nonce) == 0 &&
	    strcmp(ticket, key->exec->id) == 0)
		idem_claim_won(key);
	else
		idem_claim_lost(key, ticket);
	json_decref(doc);
}

static void
idem_read_done(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err)
{
	struct idem_key *key = arg;

	(void)err;
	if (status == TABLE_OK && nrows == 1)
		idem_settle_by_row(key, &rows[0]);
	else if (status != TABLE_NOT_FOUND && status != TABLE_OK)
		idem_read_after_delay(key);
	else if (++key->attempts >= IDEM_ATTEMPTS_MAX)
		idem_claim_abort(key, REF_KEY_CLAIM_UNKNOWN);
	else
		idem_enqueue(key);
}

static void
idem_row_pk(char pk[TABLE_KEY_SIZE], const struct idem_key *key)
{
	(void)snprintf(pk, TABLE_KEY_SIZE, "claim#%s", key->key);
}

static void
idem_read_row(struct idem_key *key)
{
	struct table *table = key->idem->api->params.table;
	char pk[TABLE_KEY_SIZE];

	ctr_inc(&idem_claim_reads);
	idem_row_pk(pk, key);
	table->ops->get(table, pk, IDEM_SORT_KEY, idem_read_done, key);
}

static bool
idem_any_failed(const struct idem_batch *batch, const unsigned char *failed)
{
	size_t i;

	for (i = 0; failed != NULL && i < batch->nkeys; i++) {
		if (failed[i])
			return true;
	}
	return false;
}

/* Retries after a conflict that was reported for no row of the batch. */
static void
idem_retry_write(struct idem_key *key)
{
	if (++key->attempts >= IDEM_ATTEMPTS_MAX)
		idem_claim_abort(key, REF_KEY_CLAIM_UNKNOWN);
	else
		idem_enqueue(key);
}

static void
idem_write_done(void *arg, enum table_status status,
    const unsigned char *failed, const struct err *err)
{
	struct idem_batch *batch = arg;
	bool any_failed = idem_any_failed(batch, failed);
	struct idem_key *key;
	size_t i;

	(void)err;
	for (i = 0; i < batch->nkeys; i++) {
		key = batch->keys[i];
		if (status == TABLE_OK)
			idem_claim_won(key);
		else if (status == TABLE_UNAVAILABLE && key->attempts == 0)
			idem_claim_abort(key, REF_KEY_TABLE_UNAVAILABLE);
		else if (status == TABLE_CONFLICT && !any_failed)
			idem_retry_write(key);
		else if (status == TABLE_CONFLICT && !failed[i])
			idem_enqueue(key);
		else
			idem_read_row(key);
	}
	free(batch);
}

/* Removes keys from the queue and inserts their rows in one transaction. */
static void
idem_write_batch(struct idem *idem, struct idem_batch *batch)
{
	struct table *table = idem->api->params.table;
	struct table_write writes[TABLE_WRITES_MAX];
	char pks[TABLE_WRITES_MAX][TABLE_KEY_SIZE];
	char docs[TABLE_WRITES_MAX][IDEM_DOC_BYTES];
	struct idem_key *key;
	size_t n = 0;
	int len;

	memset(writes, 0, sizeof(writes));
	while (
	    n < TABLE_WRITES_MAX && (key = TAILQ_FIRST(&idem->queue)) != NULL) {
		TAILQ_REMOVE(&idem->queue, key, queue_entry);
		batch->keys[n] = key;
		idem_row_pk(pks[n], key);
		len = snprintf(docs[n], IDEM_DOC_BYTES,
		    "{\"ticket\":\"%s\",\"nonce\":\"%s\"}", key->exec->id,
		    key->nonce);
		writes[n].condition = TABLE_IF_ABSENT;
		writes[n].row = (struct table_row){
			.pk = pks[n],
			.sk = IDEM_SORT_KEY,
			.version = 1,
			.doc = docs[n],
			.doc_len = (size_t)len,
		};
		n++;
	}
	batch->nkeys = n;
	ctr_inc(&idem_claim_writes);
	table->ops->transact(table, writes, n, idem_write_done, batch);
}

void
idem_flush(evutil_socket_t fd, short what, void *arg)
{
	struct idem *idem = arg;
	struct idem_batch *batch;

	(void)fd;
	(void)what;
	idem->last_flush_us = api_now(idem->api);
	batch = malloc(sizeof(*batch));
	if (batch != NULL && !TAILQ_EMPTY(&idem->queue)) {
		idem_write_batch(idem, batch);
	} else {
		free(batch);
	}
	if (!TAILQ_EMPTY(&idem->queue))
		idem_schedule_flush(idem);
}
