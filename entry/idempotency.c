/*
 * Claims of idempotency keys. A key's entry lives from the first request with
 * it until its work is forgotten, or until the claim is lost or given up.
 *
 * A claim whose reply was lost is settled by reading the row: it is won if the
 * row holds this claim's nonce. An absent row does not settle it, for the
 * write may still arrive; the same row is inserted again instead.
 */

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/api_internal.h"
#include "entry/idempotency.h"
#include "ports/table.h"

#define IDEM_BUCKETS 4096
#define IDEM_TRIES_MAX 4
#define IDEM_RETRY_MS 100
#define IDEM_WRITES_PER_S_MAX 200 /* of all entry hosts together */
#define IDEM_SORT_KEY "claim"
#define IDEM_DOC_BYTES (TICKET_SIZE + 64)
#define IDEM_NONCE_SIZE 17 /* hexadecimal, with the NUL */

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

/** struct idem_batch - the claims of one transaction. */
struct idem_batch {
	size_t nkeys;
	struct idem_key *keys[TABLE_WRITES_MAX];
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

static void idem_flush(evutil_socket_t fd, short what, void *arg);

struct idem *
idem_create(struct api *api)
{
	struct idem *idem;

	idem = calloc(1, sizeof(*idem));
	if (idem == NULL)
		return NULL;
	idem->api = api;
	idem->nhosts = 1;
	TAILQ_INIT(&idem->queue);
	idem->flush = event_new(api->params.base, -1, 0, idem_flush, idem);
	if (idem->flush == NULL) {
		free(idem);
		return NULL;
	}
	return idem;
}

static void
idem_key_release(struct idem_key *key)
{
	if (key->retry != NULL)
		event_free(key->retry);
	free(key);
}

static void
idem_key_free(struct idem_key *key)
{
	LIST_REMOVE(key, bucket);
	idem_key_release(key);
}

void
idem_destroy(struct idem *idem)
{
	struct idem_key *key, *next;
	size_t i;

	if (idem == NULL)
		return;
	for (i = 0; i < IDEM_BUCKETS; i++) {
		for (key = LIST_FIRST(&idem->buckets[i]); key != NULL;
		     key = next) {
			next = LIST_NEXT(key, bucket);
			idem_key_release(key);
		}
	}
	event_free(idem->flush);
	free(idem);
}

void
idem_set_nhosts(struct idem *idem, size_t nhosts)
{
	idem->nhosts = nhosts > 0 ? nhosts : 1;
}

bool
idem_busy(const struct idem *idem)
{
	return idem->nunsettled > 0;
}

static struct idem_bucket *
idem_bucket(struct idem *idem, const char *key)
{
	uint32_t hash = 2166136261U; /* FNV-1a */

	for (; *key != '\0'; key++)
		hash = (hash ^ (unsigned char)*key) * 16777619U;
	return &idem->buckets[hash % IDEM_BUCKETS];
}

static struct idem_key *
idem_find(struct idem *idem, const char *name)
{
	struct idem_key *key;

	LIST_FOREACH (key, idem_bucket(idem, name), bucket) {
		if (strcmp(key->key, name) == 0)
			return key;
	}
	return NULL;
}

void
idem_forget(const struct api_work *work)
{
	if (work->key != NULL)
		idem_key_free(work->key);
}

static void
idem_settled(struct idem_key *key)
{
	key->settled = true;
	key->idem->nunsettled--;
}

/* The key is this host's: start its work. */
static void
idem_won(struct idem_key *key)
{
	struct api_work *work = key->work;
	struct api_call *call, *next;
	struct err err;

	idem_settled(key);
	if (work->cancelled) {
		ref_set(&err, REF_CLAIM_CANCELLED, key->idem->api->params.host);
		api_work_refuse(work, REF_CLAIM_CANCELLED, &err);
		return;
	}
	if (!api_work_start(work))
		return;
	for (call = TAILQ_FIRST(&work->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, of_work);
		api_call_wait(call, call->wait_ms);
	}
}

/* The key belongs to the submission with the ticket @claimant. */
static void
idem_lost(struct idem_key *key, const char *claimant)
{
	struct idem *idem = key->idem;
	struct api_work *work = key->work;
	struct api_call *call;
	struct api_request request = {
		.method = API_GET,
		.client = idem->api->params.host,
	};
	char path[TICKET_SIZE + sizeof("/v1/jobs/")], query[32];
	uint32_t wait_ms;

	(void)snprintf(path, sizeof(path), "/v1/jobs/%s", claimant);
	request.path = path;
	request.query = query;
	idem_settled(key);
	/* Its ticket was told to no one, and is spent. */
	work->key = NULL;
	clm_forget(&work->claim);
	while ((call = TAILQ_FIRST(&work->calls)) != NULL) {
		TAILQ_REMOVE(&work->calls, call, of_work);
		call->work = NULL;
		wait_ms = call->wait_ms < API_WAIT_MS_MAX ? call->wait_ms
							  : API_WAIT_MS_MAX;
		(void)snprintf(query, sizeof(query), "wait=%" PRIu32, wait_ms);
		api_jobs_answer(call, claimant, wait_ms, &request);
	}
	api_work_drop(work);
	idem_key_free(key);
	api_drain_check(idem->api);
}

/* The claim is not settled, and nothing will start here by it. */
static void
idem_give_up(struct idem_key *key, enum refusal refusal)
{
	struct api_work *work = key->work;
	const char *host = key->idem->api->params.host;
	struct api_call *call;
	struct err err;

	idem_settled(key);
	while ((call = TAILQ_FIRST(&work->calls)) != NULL)
		api_call_refuse(call, refusal, host);
	/* A row that arrives late names this ticket: say what is true of it. */
	work->key = NULL;
	idem_key_free(key);
	ref_set(&err, REF_KEY_GIVEN_UP, host);
	api_work_refuse(work, REF_KEY_GIVEN_UP, &err);
}

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

static void
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
		idem_give_up(key, REF_KEY_UNSETTLED);
		return;
	}
	if (key->retry == NULL)
		key->retry = event_new(key->idem->api->params.base, -1, 0,
		    idem_retry, key);
	if (key->retry == NULL || event_add(key->retry, &tv) == -1)
		idem_give_up(key, REF_KEY_UNSETTLED);
}

static void
idem_read_row(struct idem_key *key, const struct table_row *row)
{
	const char *ticket, *nonce;
	json_t *doc;

	doc = json_loadb(row->doc, row->doc_len, 0, NULL);
	if (json_unpack(doc, "{s:s, s:s}", "ticket", &ticket, "nonce",
		&nonce) == -1)
		idem_give_up(key, REF_KEY_UNSETTLED);
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
		idem_give_up(key, REF_KEY_UNSETTLED);
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

static void
idem_written(void *arg, enum table_status status, const unsigned char *failed,
    const struct err *err)
{
	struct idem_batch *batch = arg;
	struct idem_key *key;
	size_t i;

	(void)err;
	for (i = 0; i < batch->nkeys; i++) {
		key = batch->keys[i];
		if (status == TABLE_OK)
			idem_won(key);
		else if (status == TABLE_UNAVAILABLE && key->tries == 0)
			idem_give_up(key, REF_KEY_TABLE_DOWN);
		else if (status == TABLE_CONFLICT && failed != NULL &&
		    !failed[i])
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

static void
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

static bool
idem_key_valid(const char *key)
{
	size_t len;

	for (len = 0; key[len] != '\0'; len++) {
		if (key[len] <= ' ' || key[len] > '~')
			return false;
	}
	return len > 0 && len < KEY_SIZE;
}

/* A claim by a ticket of this host, its work already claimed in memory. */
static struct idem_key *
idem_key_create(struct idem *idem, const char *name, struct submission *subm)
{
	struct api *api = idem->api;
	struct claim *existing;
	struct idem_key *key;
	char id[TICKET_SIZE];
	uint64_t seq, nonce;

	seq = api_ticket_issue(api, id);
	key = calloc(1, sizeof(*key));
	if (key == NULL) {
		subm_free(subm);
		return NULL;
	}
	key->work = api_work_create(api, id, subm);
	if (key->work == NULL) {
		free(key);
		return NULL;
	}
	(void)clm_claim(api->claims, seq, &key->work->claim, &existing);
	key->work->claimed = true;
	key->work->key = key;
	key->idem = idem;
	(void)snprintf(key->key, sizeof(key->key), "%s", name);
	api->params.crypto->ops->random(api->params.crypto, &nonce,
	    sizeof(nonce));
	(void)snprintf(key->nonce, sizeof(key->nonce), "%016" PRIx64, nonce);
	LIST_INSERT_HEAD(idem_bucket(idem, name), key, bucket);
	idem->nunsettled++;
	return key;
}

static void
idem_join(struct idem_key *key, struct api_call *call, uint32_t wait_ms)
{
	if (key->settled) {
		api_work_wait(key->work, call, wait_ms);
		return;
	}
	call = api_call_keep(call);
	if (call == NULL)
		return;
	call->wait_ms = wait_ms;
	api_work_attach(key->work, call);
}

void
idem_submit(struct idem *idem, struct api_call *call, struct submission *subm,
    uint32_t wait_ms)
{
	const char *name = call->request->idempotency_key;
	struct idem_key *key = NULL;
	enum refusal refusal;

	if (!idem_key_valid(name)) {
		refusal = REF_KEY;
	} else if ((key = idem_find(idem, name)) != NULL) {
		subm_free(subm);
		idem_join(key, call, wait_ms);
		return;
	} else if (idem->api->phase >= API_CLOSED) {
		refusal = REF_KEY_LEAVING;
	} else if (idem->api->params.table == NULL) {
		refusal = REF_KEY_TABLE_DOWN;
	} else {
		key = idem_key_create(idem, name, subm);
		if (key == NULL) {
			api_call_refuse(call, REF_NO_MEMORY, NULL);
			return;
		}
		idem_join(key, call, wait_ms);
		idem_enqueue(key);
		return;
	}
	subm_free(subm);
	api_call_refuse(call, refusal, NULL);
}
