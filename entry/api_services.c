/*
 * Serves POST /v1/services/{name}/requests: single requests.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/api_internal.h"

#define API_SERVICES_SUFFIX "/requests"

static struct submission *
api_services_parse(const struct api_request *request, const char *service,
    size_t len)
{
	struct submission *subm;

	subm = subm_create(1);
	if (subm == NULL)
		return NULL;
	subm->single = true;
	if (request->job != NULL)
		(void)snprintf(subm->job, sizeof(subm->job), "%s",
		    request->job);
	else
		(void)snprintf(subm->job, sizeof(subm->job), "%.*s", (int)len,
		    service);
	subm->tasks[0].body = malloc(request->body_len + 1);
	if (subm->tasks[0].body == NULL) {
		subm_free(subm);
		return NULL;
	}
	if (request->body_len > 0)
		memcpy(subm->tasks[0].body, request->body, request->body_len);
	subm->tasks[0].body_len = request->body_len;
	return subm;
}

void
api_services_post(struct api_call *call, const char *rest)
{
	const struct api_request *request = call->request;
	struct submission *subm;
	char ticket[TICKET_SIZE] = "";
	size_t len;

	len = strcspn(rest, "/");
	if (len == 0 || len > NAME_LEN_MAX ||
	    strcmp(rest + len, API_SERVICES_SUFFIX) != 0) {
		api_call_refuse(call, REF_PATH, NULL);
		return;
	}
	if (request->method != API_POST) {
		api_call_refuse(call, REF_METHOD, NULL);
		return;
	}
	if (request->job != NULL && strlen(request->job) > NAME_LEN_MAX) {
		api_call_refuse(call, REF_MEMBER, NULL);
		return;
	}
	if (request->ticket != NULL && strlen(request->ticket) < TICKET_SIZE)
		(void)snprintf(ticket, sizeof(ticket), "%s", request->ticket);
	else if (request->ticket != NULL)
		/* Refused by api_submit() as an invalid ticket. */
		(void)snprintf(ticket, sizeof(ticket), "too long");
	else
		(void)api_query_text(request->query, "ticket", ticket,
		    sizeof(ticket));
	subm = api_services_parse(request, rest, len);
	if (subm == NULL)
		api_call_refuse(call, REF_NO_MEMORY, NULL);
	else
		api_submit(call, subm, ticket, API_WAIT_UNTIL_END);
}
