/*
 * Idempotency keys of this host. A key's entry lives from the first request
 * with it until its work is forgotten, or until the claim is lost or given up.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/idem_internal.h"

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

void
idem_won(struct idem_key *key)
{
	struct api_work *work = key->work;
	struct api_call *call, *next;
	struct err err;

	idem_settled(key);
	if (work->cancelled) {
		refusal_set_err(&err, REF_CLAIM_CANCELLED,
		    key->idem->api->params.host);
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

void
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
	clm_abandon(&work->claim);
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

void
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
	refusal_set_err(&err, REF_KEY_CLAIM_FAILED, host);
	api_work_refuse(work, REF_KEY_CLAIM_FAILED, &err);
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
		refusal = REF_KEY_TABLE_UNAVAILABLE;
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
