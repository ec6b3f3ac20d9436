/*
 * Decides what happens to a parsed submission: it is started, joined to the
 * execution of the same ticket, answered from a retained answer, or forwarded
 * to the host that issued the ticket. A ticket has at most one execution.
 */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/counters.h"
#include "entry/api_internal.h"
#include "entry/idempotency.h"

static struct counter api_duplicate_submits = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"client\",kind=\"duplicate_submit\"",
	.help = "Messages that did not contribute to an answer.",
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
api_submit_start(struct api_call *call, struct api_execution *exec,
    uint32_t wait_ms)
{
	struct err err;

	api_exec_attach(exec, call);
	if (call->api->phase >= API_DRAINING) {
		refusal_set_err(&err, REF_LEAVING, call->api->params.host);
		api_exec_refuse(exec, REF_LEAVING, &err);
		return;
	}
	if (api_exec_start(exec))
		api_call_wait(call, wait_ms);
}

/* A single request without ticket or key: its answer is not retained. */
static void
api_submit_unclaimed(struct api_call *call, struct submission *subm)
{
	struct api *api = call->api;
	struct api_execution *exec;
	char id[TICKET_SIZE];
	uint64_t number;

	api->params.crypto->ops->random(api->params.crypto, &number,
	    sizeof(number));
	(void)snprintf(id, sizeof(id), "r-%016" PRIx64, number);
	exec = api_exec_create(api, id, subm);
	if (exec == NULL) {
		api_call_refuse(call, REF_NO_MEMORY, NULL);
		return;
	}
	api_submit_start(call, exec, API_WAIT_UNTIL_END);
}

static void
api_submit_existing(struct api_call *call, enum clm_verdict verdict,
    struct claim *existing, uint32_t wait_ms)
{
	ctr_inc(&api_duplicate_submits);
	if (verdict == CLM_NEVER_ISSUED)
		api_call_refuse(call, REF_NEVER_ISSUED, NULL);
	else if (existing == NULL)
		api_call_refuse(call, REF_ANSWER_EXPIRED, NULL);
	else
		api_exec_wait((struct api_execution *)existing, call, wait_ms);
}

static void
api_submit_local(struct api_call *call, struct submission *subm, const char *id,
    uint64_t seq, uint32_t wait_ms)
{
	struct api *api = call->api;
	struct claim *existing;
	struct api_execution *exec;
	enum clm_verdict verdict;

	call = api_call_defer(call);
	if (call == NULL) {
		subm_free(subm);
		return;
	}
	exec = api_exec_create(api, id, subm);
	if (exec == NULL) {
		/*
		 * Outcome unknown: an earlier request with this ticket may have
		 * been started.
		 */
		api_call_refuse(call, REF_ANSWER_EXPIRED, NULL);
		return;
	}
	verdict = clm_claim(api->claims, seq, &exec->claim, &existing);
	if (verdict != CLM_START) {
		api_exec_discard(exec);
		api_submit_existing(call, verdict, existing, wait_ms);
		return;
	}
	exec->claimed = true;
	api_submit_start(call, exec, wait_ms);
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
		api_submit_local(call, subm, text, ticket.seq, wait_ms);
	}
}

void
api_submit(struct api_call *call, struct submission *subm, const char *ticket,
    uint32_t wait_ms)
{
	const struct api_request *request = call->request;
	char new_ticket[TICKET_SIZE];
	uint64_t seq;

	call->add_next_ticket = true;
	if (*ticket != '\0' && request->idempotency_key != NULL) {
		subm_free(subm);
		api_call_refuse(call, REF_KEY, NULL);
	} else if (*ticket != '\0') {
		api_submit_ticket(call, subm, ticket, wait_ms);
	} else if (request->idempotency_key != NULL) {
		idem_submit(call->api->idem, call, subm, wait_ms);
	} else if (call->api->phase >= API_DRAINING) {
		subm_free(subm);
		api_call_refuse(call, REF_LEAVING, call->api->params.host);
	} else if (subm->single) {
		call = api_call_defer(call);
		if (call == NULL)
			subm_free(subm);
		else
			api_submit_unclaimed(call, subm);
	} else {
		seq = api_ticket_issue(call->api, new_ticket);
		api_submit_local(call, subm, new_ticket, seq, wait_ms);
	}
}
