/*
 * From a parsed submission to the one work that its ticket allows: started,
 * joined, answered from memory, or left to the issuing host.
 */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/counters.h"
#include "entry/api_internal.h"
#include "entry/idempotency.h"

static struct counter api_duplicates = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"client\",kind=\"duplicate_submit\"",
	.help = "messages that added nothing to an answer",
};

uint64_t
api_ticket_issue(struct api *api, char text[TICKET_SIZE])
{
	uint64_t seq;

	seq = clm_issue(api->claims);
	tkt_issue(&api->issuer, seq, text);
	return seq;
}

static void
api_submit_start(struct api_call *call, struct api_work *work, uint32_t wait_ms)
{
	struct err err;

	api_work_attach(work, call);
	if (call->api->phase >= API_CLOSED) {
		refusal_set_err(&err, REF_LEAVING, call->api->params.host);
		api_work_refuse(work, REF_LEAVING, &err);
		return;
	}
	if (api_work_start(work))
		api_call_wait(call, wait_ms);
}

/* A single request without ticket or key: nothing is kept of it. */
static void
api_submit_unclaimed(struct api_call *call, struct submission *subm)
{
	struct api *api = call->api;
	struct api_work *work;
	char id[TICKET_SIZE];
	uint64_t number;

	api->params.crypto->ops->random(api->params.crypto, &number,
	    sizeof(number));
	(void)snprintf(id, sizeof(id), "r-%016" PRIx64, number);
	work = api_work_create(api, id, subm);
	if (work == NULL) {
		api_call_refuse(call, REF_NO_MEMORY, NULL);
		return;
	}
	api_submit_start(call, work, API_WAIT_END);
}

static void
api_submit_existing(struct api_call *call, enum clm_verdict verdict,
    struct claim *existing, uint32_t wait_ms)
{
	ctr_inc(&api_duplicates);
	if (verdict == CLM_NEVER_ISSUED)
		api_call_refuse(call, REF_NEVER_ISSUED, NULL);
	else if (existing == NULL)
		api_call_refuse(call, REF_ANSWER_EXPIRED, NULL);
	else
		api_work_wait((struct api_work *)existing, call, wait_ms);
}

static void
api_submit_own(struct api_call *call, struct submission *subm, const char *id,
    uint64_t seq, uint32_t wait_ms)
{
	struct api *api = call->api;
	struct claim *existing;
	struct api_work *work;
	enum clm_verdict verdict;

	call = api_call_keep(call);
	if (call == NULL) {
		subm_free(subm);
		return;
	}
	work = api_work_create(api, id, subm);
	if (work == NULL) {
		/* The ticket may have been started earlier. */
		api_call_refuse(call, REF_ANSWER_EXPIRED, NULL);
		return;
	}
	verdict = clm_claim(api->claims, seq, &work->claim, &existing);
	if (verdict != CLM_START) {
		api_work_drop(work);
		api_submit_existing(call, verdict, existing, wait_ms);
		return;
	}
	work->claimed = true;
	api_submit_start(call, work, wait_ms);
}

static void
api_submit_ticket(struct api_call *call, struct submission *subm,
    const char *text, uint32_t wait_ms)
{
	struct ticket ticket;
	struct err err;

	if (tkt_parse(&ticket, text, strlen(text), &err) == -1) {
		subm_free(subm);
		api_call_refuse(call, REF_TICKET, NULL);
	} else if (!tkt_issued_by(&call->api->issuer, &ticket)) {
		subm_free(subm);
		api_forward(call, &ticket, text, call->request);
	} else if (!tkt_verify(&call->api->issuer, &ticket)) {
		subm_free(subm);
		api_call_refuse(call, REF_NEVER_ISSUED, NULL);
	} else {
		api_submit_own(call, subm, text, ticket.seq, wait_ms);
	}
}

void
api_submit(struct api_call *call, struct submission *subm, const char *ticket,
    uint32_t wait_ms)
{
	const struct api_request *request = call->request;
	char fresh[TICKET_SIZE];
	uint64_t seq;

	call->gives_ticket = true;
	if (*ticket != '\0' && request->idempotency_key != NULL) {
		subm_free(subm);
		api_call_refuse(call, REF_KEY, NULL);
	} else if (*ticket != '\0') {
		api_submit_ticket(call, subm, ticket, wait_ms);
	} else if (request->idempotency_key != NULL) {
		idem_submit(call->api->idem, call, subm, wait_ms);
	} else if (call->api->phase >= API_CLOSED) {
		subm_free(subm);
		api_call_refuse(call, REF_LEAVING, call->api->params.host);
	} else if (subm->single) {
		call = api_call_keep(call);
		if (call == NULL)
			subm_free(subm);
		else
			api_submit_unclaimed(call, subm);
	} else {
		seq = api_ticket_issue(call->api, fresh);
		api_submit_own(call, subm, fresh, seq, wait_ms);
	}
}
