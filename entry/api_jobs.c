/*
 * Serves POST /v1/jobs, GET and DELETE /v1/jobs/{id}.
 */

#include <stdio.h>
#include <string.h>

#include "core/counters.h"
#include "entry/api_internal.h"

void
api_jobs_post(struct api_call *call)
{
	const struct api_request *request = call->request;
	struct api_parsed_body parsed;
	enum refusal refusal;
	uint32_t wait_ms = 0;
	struct err err;

	if (api_query_number(request->query, "wait", API_WAIT_MS_MAX,
		&wait_ms) == -1) {
		api_call_refuse(call, REF_QUERY, NULL);
		return;
	}
	if (api_parse_submission(request->body, request->body_len, &parsed,
		&refusal, &err) == -1) {
		(void)snprintf(err.peer, sizeof(err.peer), "%s",
		    request->client == NULL ? "" : request->client);
		api_call_reply_problem(call, refusal, &err);
		return;
	}
	api_submit(call, parsed.subm, parsed.ticket, wait_ms);
}

/*
 * Looks up the ticket @id. If it is invalid, expired or issued by another
 * process, the call is refused or forwarded, and the function returns false.
 */
static bool
api_jobs_lookup(struct api_call *call, const char *id, struct ticket *ticket,
    const struct api_request *request, struct claim **existing)
{
	struct api *api = call->api;
	enum clm_verdict verdict;
	struct err err;

	if (tkt_parse(ticket, id, strlen(id), &err) == -1) {
		api_call_refuse(call, REF_TICKET, NULL);
		return false;
	}
	if (!tkt_issued_by(&api->issuer, ticket)) {
		api_forward(call, ticket, id, request);
		return false;
	}
	if (!tkt_verify(&api->issuer, ticket)) {
		api_call_refuse(call, REF_NEVER_ISSUED, NULL);
		return false;
	}
	verdict = clm_lookup(api->claims, ticket->seq, existing);
	if (verdict == CLM_NEVER_ISSUED) {
		api_call_refuse(call, REF_NEVER_ISSUED, NULL);
		return false;
	}
	if (verdict == CLM_EXPIRED) {
		api_call_refuse(call, REF_ANSWER_EXPIRED, NULL);
		return false;
	}
	return true;
}

void
api_jobs_reply_answer(struct api_call *call, const char *id, uint32_t wait_ms,
    const struct api_request *request)
{
	struct claim *existing = NULL;
	struct ticket ticket;

	if (!api_jobs_lookup(call, id, &ticket, request, &existing))
		return;
	if (existing == NULL)
		api_call_refuse(call, REF_TICKET_UNUSED, NULL);
	else
		api_exec_wait((struct api_execution *)existing, call, wait_ms);
}

void
api_jobs_get(struct api_call *call, const char *id)
{
	uint32_t wait_ms = 0;

	if (api_query_number(call->request->query, "wait", API_WAIT_MS_MAX,
		&wait_ms) == -1)
		api_call_refuse(call, REF_QUERY, NULL);
	else
		api_jobs_reply_answer(call, id, wait_ms, call->request);
}

/* Claims an unused ticket as cancelled, so that it can never be started. */
static void
api_jobs_cancel_unclaimed(struct api_call *call, const char *id, uint64_t seq)
{
	struct api *api = call->api;
	struct submission *subm;
	struct answer *answer;
	struct claim *existing;
	struct api_execution *exec;

	subm = subm_create(0);
	answer = subm_answer_create(0);
	exec = subm == NULL ? NULL : api_exec_create(api, id, subm);
	if (answer == NULL || exec == NULL) {
		if (exec != NULL)
			api_exec_discard(exec);
		subm_answer_free(answer);
		api_call_refuse(call, REF_NO_MEMORY, NULL);
		return;
	}
	(void)clm_claim(api->claims, seq, &exec->claim, &existing);
	exec->claimed = true;
	answer->outcome = OUTCOME_NOT_RUN;
	refusal_set_err(&answer->err, REF_CLAIM_CANCELLED,
	    call->request->client);
	api_exec_end(exec, answer);
	api_exec_reply(exec, call);
}

void
api_jobs_delete(struct api_call *call, const char *id)
{
	struct claim *existing = NULL;
	struct ticket ticket;
	struct api_execution *exec;
	json_t *doc;

	if (!api_jobs_lookup(call, id, &ticket, call->request, &existing))
		return;
	if (existing == NULL) {
		api_jobs_cancel_unclaimed(call, id, ticket.seq);
		return;
	}
	exec = (struct api_execution *)existing;
	if (exec->ended) {
		api_exec_reply(exec, call);
		return;
	}
	doc = api_render_progress(id, 0, exec->ntasks);
	api_exec_cancel(exec);
	api_call_reply_json(call, 202, doc);
}
