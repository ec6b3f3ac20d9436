/*
 * Idempotency keys of this host. A key exists from the first request with it
 * until its execution is released, or until the claim is lost or aborted.
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
	idem->flush_timer =
	    event_new(api->params.base, -1, 0, idem_flush, idem);
	if (idem->flush_timer == NULL) {
		free(idem);
		return NULL;
	}
	return idem;
}

static void
idem_key_release(struct idem_key *key)
{
	if (key->retry_timer != NULL)
		event_free(key->retry_timer);
	free(key);
}

static void
idem_key_free(struct idem_key *key)
{
	LIST_REMOVE(key, bucket_entry);
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
			next = LIST_NEXT(key, bucket_entry);
			idem_key_release(key);
		}
	}
	event_free(idem->flush_timer);
	free(idem);
}

void
idem_set_nhosts(struct idem *idem, size_t nhosts)
{
	idem->nhosts = nhosts > 0 ? nhosts : 1;
}

bool
idem_has_unsettled(const struct idem *idem)
{
	return idem->nunsettled > 0;
}

static struct idem_bucket *
idem_bucket_for(struct idem *idem, const char *key)
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

	LIST_FOREACH (key, idem_bucket_for(idem, name), bucket_entry) {
		if (strcmp(key->key, name) == 0)
			return key;
	}
	return NULL;
}

void
idem_release_key(const struct api_execution *exec)
{
	if (exec->key != NULL)
		idem_key_free(exec->key);
}

static void
idem_mark_settled(struct idem_key *key)
{
	key->settled = true;
	key->idem->nunsettled--;
}

void
idem_claim_won(struct idem_key *key)
{
	struct api_execution *exec = key->exec;
	struct api_call *call, *next;
	struct err err;

	idem_mark_settled(key);
	if (exec->cancelled) {
		refusal_set_err(&err, REF_CLAIM_CANCELLED,
		    key->idem->api->params.host);
		api_exec_refuse(exec, REF_CLAIM_CANCELLED, &err);
		return;
	}
	if (!api_exec_start(exec))
		return;
	for (call = TAILQ_FIRST(&exec->waiters); call != NULL; call = next) {
		next = TAILQ_NEXT(call, waiter_entry);
		api_call_wait(call, call->wait_ms);
	}
}

void
idem_claim_lost(struct idem_key *key, const char *claimant)
{
	struct idem *idem = key->idem;
	struct api_execution *exec = key->exec;
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
	idem_mark_settled(key);
	/*
	 * The ticket of this execution was sent to no caller, so no answer is
	 * retained; the ticket stays claimed.
	 */
	exec->key = NULL;
	clm_abandon(&exec->claim);
	while ((call = TAILQ_FIRST(&exec->waiters)) != NULL) {
		TAILQ_REMOVE(&exec->waiters, call, waiter_entry);
		call->exec = NULL;
		wait_ms = call->wait_ms < API_WAIT_MS_MAX ? call->wait_ms
							  : API_WAIT_MS_MAX;
		(void)snprintf(query, sizeof(query), "wait=%" PRIu32, wait_ms);
		api_jobs_reply_answer(call, claimant, wait_ms, &request);
	}
	api_exec_discard(exec);
	idem_key_free(key);
	api_drain_check(idem->api);
}

void
idem_claim_abort(struct idem_key *key, enum refusal refusal)
{
	struct api_execution *exec = key->exec;
	const char *host = key->idem->api->params.host;
	struct api_call *call;
	struct err err;

	idem_mark_settled(key);
	while ((call = TAILQ_FIRST(&exec->waiters)) != NULL)
		api_call_refuse(call, refusal, host);
	/*
	 * The row, which contains this ticket, may still be written. Requests
	 * for the ticket must then get the outcome "not-run".
	 */
	exec->key = NULL;
	idem_key_free(key);
	refusal_set_err(&err, REF_KEY_CLAIM_FAILED, host);
	api_exec_refuse(exec, REF_KEY_CLAIM_FAILED, &err);
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

/* Creates a key with a new ticket, which is claimed in memory at once. */
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
	key->exec = api_exec_create(api, id, subm);
	if (key->exec == NULL) {
		free(key);
		return NULL;
	}
	(void)clm_claim(api->claims, seq, &key->exec->claim, &existing);
	key->exec->claimed = true;
	key->exec->key = key;
	key->idem = idem;
	(void)snprintf(key->key, sizeof(key->key), "%s", name);
	api->params.crypto->ops->random(api->params.crypto, &nonce,
	    sizeof(nonce));
	(void)snprintf(key->nonce, sizeof(key->nonce), "%016" PRIx64, nonce);
	LIST_INSERT_HEAD(idem_bucket_for(idem, name), key, bucket_entry);
	idem->nunsettled++;
	return key;
}

static void
idem_join(struct idem_key *key, struct api_call *call, uint32_t wait_ms)
{
	if (key->settled) {
		api_exec_wait(key->exec, call, wait_ms);
		return;
	}
	call = api_call_defer(call);
	if (call == NULL)
		return;
	call->wait_ms = wait_ms;
	api_exec_attach(key->exec, call);
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
	} else if (idem->api->phase >= API_DRAINING) {
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
