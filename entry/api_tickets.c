/*
 * Serves POST /v1/tickets: issues tickets in advance.
 */

#include "core/counters.h"
#include "entry/api_internal.h"

static struct counter api_ticket_fetches = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"client\",kind=\"ticket_fetch\"",
	.help = "Messages that did not contribute to an answer.",
};

/* Number of requested tickets, or -1 with @refusal and @err. */
static int
api_tickets_count(const struct api_request *request, enum refusal *refusal,
    struct err *err)
{
	json_int_t count = 1;
	json_t *doc, *value;

	if (request->body_len == 0)
		return 1;
	doc = api_parse_json(request->body, request->body_len, refusal, err);
	if (doc == NULL)
		return -1;
	value = json_object_get(doc, "count");
	if (value != NULL)
		count = json_is_integer(value) ? json_integer_value(value) : -1;
	if (json_object_size(doc) != (value != NULL ? 1 : 0))
		count = -1;
	json_decref(doc);
	if (count >= 1 && count <= API_TICKETS_MAX)
		return (int)count;
	*refusal = REF_MEMBER;
	return err_set(err, ERR_STEP_PARSE, ERR_INVALID, request->client,
	    "count must be an integer from 1 to %d", API_TICKETS_MAX);
}

void
api_tickets_post(struct api_call *call)
{
	struct api *api = call->api;
	char ticket[TICKET_SIZE];
	enum refusal refusal;
	struct err err;
	json_t *list;
	int count;

	if (api->phase != API_SERVING) {
		api_call_refuse(call, REF_LEAVING_TICKETS, api->params.host);
		return;
	}
	count = api_tickets_count(call->request, &refusal, &err);
	if (count == -1) {
		api_call_reply_problem(call, refusal, &err);
		return;
	}
	ctr_inc(&api_ticket_fetches);
	list = json_array();
	while (count-- > 0) {
		(void)api_ticket_issue(api, ticket);
		(void)json_array_append_new(list, json_string(ticket));
	}
	api_call_reply_json(call, 200, json_pack("{s:o}", "tickets", list));
}
