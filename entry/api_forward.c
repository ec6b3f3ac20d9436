/*
 * Forwarding of requests to the process that issued their ticket. A request is
 * forwarded at most once; if the issuer does not reply, its final record is
 * used.
 */

#include <stdio.h>
#include <string.h>

#include "core/counters.h"
#include "entry/api_internal.h"

static struct counter api_forwards = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"peer\",kind=\"forward\"",
	.help = "Messages that did not contribute to an answer.",
};
static struct counter api_forward_failures = {
	.name = "berylrail_forward_failures_total",
	.help = "Forwarded requests without a reply from the issuer.",
};

static void
api_forward_done(void *arg, const struct api_reply *reply,
    const struct err *err)
{
	struct api_call *call = arg;

	if (reply != NULL) {
		api_call_reply(call, reply);
		return;
	}
	ctr_inc(&api_forward_failures);
	call->refusal_without_record = err != NULL && err->code == ERR_NOT_FOUND
	    ? REF_ISSUER_GONE
	    : REF_ISSUER_UNREACHABLE;
	api_issuers_reply(call);
}

void
api_forward(struct api_call *call, const struct ticket *ticket, const char *id,
    const struct api_request *request)
{
	struct peers *peers = call->api->peers;
	struct api_request copy = *request;
	char query[TICKET_SIZE + sizeof("ticket=")];

	if (call->forwarded) {
		api_call_refuse(call, REF_FORWARD_TWICE, ticket->host);
		return;
	}
	call = api_call_defer(call);
	if (call == NULL)
		return;
	call->request = NULL;
	call->ticket = *ticket;
	call->refusal_without_record = REF_ISSUER_UNREACHABLE;
	if (peers == NULL) {
		api_issuers_reply(call);
		return;
	}
	/*
	 * The messages between peers have no field for the Berylrail-Ticket
	 * header; the ticket is sent in the query.
	 */
	if (request->ticket != NULL) {
		(void)snprintf(query, sizeof(query), "ticket=%s", id);
		copy.query = query;
	}
	ctr_inc(&api_forwards);
	peers->ops->forward(peers, ticket->az, ticket->host,
	    ticket->incarnation, &copy, api_forward_done, call);
}
