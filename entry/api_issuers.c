/*
 * Final records of issuers that do not reply. A record is read from the object
 * store once for all calls that need it and then cached; a cached record can't
 * be outdated, because a final record never changes. A failed read is not
 * cached.
 */

#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/api_internal.h"
#include "entry/final_record.h"

#define API_ISSUERS_MAX 32
#define API_RECORD_NAME_BYTES 192

static struct counter api_record_reads = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"platform\",kind=\"final_record\"",
	.help = "Messages that did not contribute to an answer.",
};

/** struct api_issuer - a process that does not reply, and its record. */
struct api_issuer {
	struct api *api;
	char record_name[API_RECORD_NAME_BYTES];
	struct final_record *record; /* NULL while being read */
	struct api_call_list waiters;
	TAILQ_ENTRY(api_issuer) entry;
};

static void
api_issuer_release(struct api_issuer *issuer)
{
	rec_free(issuer->record);
	free(issuer);
}

static void
api_issuer_free(struct api_issuer *issuer)
{
	TAILQ_REMOVE(&issuer->api->issuers, issuer, entry);
	api_issuer_release(issuer);
}

void
api_issuers_destroy(struct api *api)
{
	struct api_issuer *issuer, *next;

	for (issuer = TAILQ_FIRST(&api->issuers); issuer != NULL;
	     issuer = next) {
		next = TAILQ_NEXT(issuer, entry);
		api_issuer_release(issuer);
	}
}

/* The issuer that was added first among those with a record, or NULL. */
static struct api_issuer *
api_issuers_oldest(struct api *api)
{
	struct api_issuer *issuer;

	TAILQ_FOREACH_REVERSE (issuer, &api->issuers, api_issuer_list, entry) {
		if (issuer->record != NULL)
			return issuer;
	}
	return NULL;
}

/* Evicts the oldest records; those being read are not evicted. */
static void
api_issuers_evict(struct api *api)
{
	struct api_issuer *issuer;
	size_t n = 0;

	TAILQ_FOREACH (issuer, &api->issuers, entry)
		n++;
	for (; n > API_ISSUERS_MAX; n--) {
		issuer = api_issuers_oldest(api);
		if (issuer == NULL)
			return;
		api_issuer_free(issuer);
	}
}

static void
api_issuer_read_done(void *arg, enum table_status status, const void *data,
    size_t len, const struct err *err)
{
	struct api_issuer *issuer = arg;
	struct api *api = issuer->api;
	struct api_call *call;

	(void)err;
	if (status == TABLE_OK)
		issuer->record = rec_parse(data, len);
	while ((call = TAILQ_FIRST(&issuer->waiters)) != NULL) {
		TAILQ_REMOVE(&issuer->waiters, call, waiter_entry);
		if (issuer->record != NULL)
			api_record_reply(issuer->record, call);
		else
			api_call_refuse(call, call->refusal_without_record,
			    call->ticket.host);
	}
	if (issuer->record == NULL)
		api_issuer_free(issuer);
	api_issuers_evict(api);
}

static struct api_issuer *
api_issuers_find(struct api *api, const char *name)
{
	struct api_issuer *issuer;

	TAILQ_FOREACH (issuer, &api->issuers, entry) {
		if (strcmp(issuer->record_name, name) == 0)
			return issuer;
	}
	return NULL;
}

void
api_issuers_reply(struct api_call *call)
{
	struct api *api = call->api;
	struct blobs *blobs = api->params.blobs;
	struct api_issuer *issuer;
	char name[API_RECORD_NAME_BYTES];

	api_record_name(name, sizeof(name), call->ticket.az, call->ticket.host,
	    call->ticket.incarnation);
	issuer = api_issuers_find(api, name);
	if (issuer != NULL && issuer->record != NULL) {
		api_record_reply(issuer->record, call);
		return;
	}
	if (issuer != NULL) {
		TAILQ_INSERT_TAIL(&issuer->waiters, call, waiter_entry);
		return;
	}
	issuer = blobs == NULL ? NULL : calloc(1, sizeof(*issuer));
	if (issuer == NULL) {
		api_call_refuse(call, call->refusal_without_record,
		    call->ticket.host);
		return;
	}
	issuer->api = api;
	memcpy(issuer->record_name, name, sizeof(name));
	TAILQ_INIT(&issuer->waiters);
	TAILQ_INSERT_TAIL(&issuer->waiters, call, waiter_entry);
	TAILQ_INSERT_HEAD(&api->issuers, issuer, entry);
	ctr_inc(&api_record_reads);
	blobs->ops->get(blobs, issuer->record_name, api_issuer_read_done,
	    issuer);
}
