/*
 * Claims of keys in the platform's table, many in one transaction.
 *
 * A claim whose reply was lost is settled by reading the row: it is won if the
 * row holds this claim's nonce. An absent row does not settle it, for the
 * write may still arrive; the same row is inserted again instead.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/idem_internal.h"
#include "ports/table.h"

#define IDEM_TRIES_MAX 4
#define IDEM_RETRY_MS 100
#define IDEM_WRITES_PER_S_MAX 200 /* of all entry hosts together */
#define IDEM_SORT_KEY "claim"
#define IDEM_DOC_BYTES (TICKET_SIZE + 64)

static struct counter idem_claims = {
	.name = "berylrail_messages_total",
	.labels = "hop=\"platform\",kind=\"claim\"",
	.help = "messages, by hop and kind",
};
static struct counter idem_retries = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"platform\",kind=\"claim_retry\"",
	.help = "messages that added nothing to an answer",
};

/** struct idem_batch - the claims of one transaction. */
struct idem_batch {
	size_t nkeys;
	struct idem_key *keys[TABLE_WRITES_MAX];
};

static uint64_t
idem_interval_us(const struct idem *idem)
{
	uint64_t least = idem->api->params.claim_flush_ms * 1000ULL;
	uint64_t share = idem->nhosts * 1000000ULL / IDEM_WRITES_PER_S_MAX;

	return least > share ? least : share;
}

static void
idem_schedule(struct idem *idem)
{
	uint64_t now = api_now(idem->api), due;
	struct timeval tv = { 0 };

	if (event_pending(idem->flush, EV_TIMEOUT, NULL))
		return;
	due = idem->flushed_us + idem_interval_us(idem);
	if (idem->flushed_us != 0 && due > now) {
		tv.tv_sec = (time_t)((due - now) / 1000000);
		tv.tv_usec = (suseconds_t)((due - now) % 1000000);
	}
	(void)event_add(idem->flush, &tv);
}

void
idem_enqueue(struct idem_key *key)
{
	TAILQ_INSERT_TAIL(&key->idem->queue, key, queued);
	idem_schedule(key->idem);
}

static void idem_read(struct idem_key *key);

static void
idem_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	idem_read(arg);
}

static void
idem_read_later(struct idem_key *key)
{
	struct timeval tv = { .tv_usec = IDEM_RETRY_MS * 1000 };

	if (++key->tries >= IDEM_TRIES_MAX) {
		idem_give_up(key, REF_KEY_CLAIM_UNKNOWN);
		return;
	}
	if (key->retry == NULL)
		key->retry = event_new(key->idem->api->params.base, -1, 0,
		    idem_retry, key);
	if (key->retry == NULL || event_add(key->retry, &tv) == -1)
		idem_give_up(key, REF_KEY_CLAIM_UNKNOWN);
}

static void
idem_read_row(struct idem_key *key, const struct table_row *row)
{
	const char *ticket, *nonce;
	json_t *doc;

	doc = json_loadb(row->doc, row->doc_len, 0, NULL);
	if (json_unpack(doc, "{s:s, s:s}", "ticket", &ticket, "nonce",
		&nonce) == -1)
		idem_give_up(key, REF_KEY_CLAIM_UNKNOWN);
	else if (strcmp(nonce, key->nonce) == 0 &&
	    strcmp(ticket, key->work->id) == 0)
		idem_won(key);
	else
		idem_lost(key, ticket);
	json_decref(doc);
}

static void
idem_read_done(void *arg, enum table_status status,
    const struct table_row *rows, size_t nrows, const struct err *err)
{
	struct idem_key *key = arg;

	(void)err;
	if (status == TABLE_OK && nrows == 1)
		idem_read_row(key, &rows[0]);
	else if (status != TABLE_NOT_FOUND && status != TABLE_OK)
		idem_read_later(key);
	else if (++key->tries >= IDEM_TRIES_MAX)
		idem_give_up(key, REF_KEY_CLAIM_UNKNOWN);
	else
		idem_enqueue(key);
}

static void
idem_row_key(char pk[TABLE_KEY_SIZE], const struct idem_key *key)
{
	(void)snprintf(pk, TABLE_KEY_SIZE, "claim#%s", key->key);
}

static void
idem_read(struct idem_key *key)
{
	struct table *table = key->idem->api->params.table;
	char pk[TABLE_KEY_SIZE];

	ctr_inc(&idem_retries);
	idem_row_key(pk, key);
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

/* A conflict for which no row of the batch is to blame. */
static void
idem_write_again(struct idem_key *key)
{
	if (++key->tries >= IDEM_TRIES_MAX)
		idem_give_up(key, REF_KEY_CLAIM_UNKNOWN);
	else
		idem_enqueue(key);
}

static void
idem_written(void *arg, enum table_status status, const unsigned char *failed,
    const struct err *err)
{
	struct idem_batch *batch = arg;
	bool any_failed = idem_any_failed(batch, failed);
	struct idem_key *key;
	size_t i;

	(void)err;
	for (i = 0; i < batch->nkeys; i++) {
		key = batch->keys[i];
		if (status == TABLE_OK)
			idem_won(key);
		else if (status == TABLE_UNAVAILABLE && key->tries == 0)
			idem_give_up(key, REF_KEY_TABLE_UNAVAILABLE);
		else if (status == TABLE_CONFLICT && !any_failed)
			idem_write_again(key);
		else if (status == TABLE_CONFLICT && !failed[i])
			idem_enqueue(key);
		else
			idem_read(key);
	}
	free(batch);
}

/* Takes keys from the queue and writes their rows. */
static void
idem_write(struct idem *idem, struct idem_batch *batch)
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
		TAILQ_REMOVE(&idem->queue, key, queued);
		batch->keys[n] = key;
		idem_row_key(pks[n], key);
		len = snprintf(docs[n], IDEM_DOC_BYTES,
		    "{\"ticket\":\"%s\",\"nonce\":\"%s\"}", key->work->id,
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
	ctr_inc(&idem_claims);
	table->ops->transact(table, writes, n, idem_written, batch);
}

void
idem_flush(evutil_socket_t fd, short what, void *arg)
{
	struct idem *idem = arg;
	struct idem_batch *batch;

	(void)fd;
	(void)what;
	idem->flushed_us = api_now(idem->api);
	batch = malloc(sizeof(*batch));
	if (batch != NULL && !TAILQ_EMPTY(&idem->queue)) {
		idem_write(idem, batch);
	} else {
		free(batch);
	}
	if (!TAILQ_EMPTY(&idem->queue))
		idem_schedule(idem);
}
