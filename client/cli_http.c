/*
 * Sends requests to the entry hosts in turn until one returns a final response,
 * and maps responses to exit codes.
 */

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "berylrail/outcome.h"
#include "client/cli_internal.h"

#define CLI_ROUNDS_MAX 4 /* attempts at each host per request */
#define CLI_ROUND_PAUSE_MS 300

/* Request that is in progress. */
struct cli_pending_call {
	struct cli_reply *reply;
	bool ended;
};

static void
cli_call_done(void *arg, const struct hcl_reply *http)
{
	struct cli_pending_call *call = arg;
	struct cli_reply *reply = call->reply;

	call->ended = true;
	reply->status = http->status;
	reply->sent = reply->sent || http->sent;
	if (http->status != 0)
		reply->body = json_loadb(http->body, http->body_len,
		    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
	else
		snprintf(reply->text, sizeof(reply->text), "%s%s", http->reason,
		    http->sent ? " after the request was sent" : "");
}

void
cli_call_host(struct cli *cli, size_t host, const struct cli_request *request,
    struct cli_reply *reply)
{
	struct hcl_header headers[2] = {
		{ "Content-Type", "application/json" },
		{ "Berylrail-Operator", cli->operator_name },
	};
	struct cli_pending_call call = { .reply = reply };
	struct hcl_request http = {
		.method = request->method,
		.path = request->path,
		.headers = headers,
		.nheaders = cli->operator_name != NULL ? 2 : 1,
		.timeout_ms = request->timeout_ms,
	};
	char *text = NULL;

	cli_reply_clear(reply);
	if (request->body != NULL) {
		text = json_dumps(request->body, JSON_COMPACT);
		http.body = text;
		http.body_len = text != NULL ? strlen(text) : 0;
	}
	hcl_call(cli->hosts[host], &http, cli_call_done, &call);
	while (!call.ended)
		event_base_loop(cli->base, EVLOOP_ONCE);
	free(text);
}

/*
 * Returns false if another entry host should be tried: this one is unreachable
 * or unavailable, or reports an unknown outcome. A known outcome is final,
 * because it is the same at every host to which the ticket is sent.
 */
static bool
cli_is_final(const struct cli_reply *reply)
{
	const char *name;
	enum outcome outcome;

	name = json_string_value(json_object_get(reply->body, "outcome"));
	if (name != NULL && outcome_from_name(name, &outcome) == 0 &&
	    outcome != OUTCOME_UNKNOWN)
		return true;
	return reply->status != 0 && reply->status != 502 &&
	    reply->status != 503 && reply->status != 504;
}

void
cli_call(struct cli *cli, const struct cli_request *request,
    struct cli_reply *reply)
{
	struct timespec pause = { .tv_nsec = CLI_ROUND_PAUSE_MS * 1000000L };
	bool sent = false;
	size_t i;
	int round;

	memset(reply, 0, sizeof(*reply));
	for (round = 0; round < CLI_ROUNDS_MAX; round++) {
		if (round > 0)
			nanosleep(&pause, NULL);
		for (i = 0; i < cli->nhosts; i++) {
			cli_call_host(cli, cli->current_host, request, reply);
			sent = sent || reply->sent;
			if (cli_is_final(reply)) {
				reply->sent = sent;
				return;
			}
			cli->current_host =
			    (cli->current_host + 1) % cli->nhosts;
		}
	}
	reply->sent = sent;
}

void
cli_reply_clear(struct cli_reply *reply)
{
	json_decref(reply->body);
	memset(reply, 0, sizeof(*reply));
}

int
cli_report_failure(struct cli *cli, const struct cli_reply *reply)
{
	const char *detail, *step, *peer, *name;
	enum outcome outcome;

	if (reply->status == 0) {
		fprintf(cli->err,
		    "berylrail: no response from any entry host: %s\n",
		    reply->text);
		return reply->sent ? CLI_EXIT_UNKNOWN : CLI_EXIT_UNAVAILABLE;
	}
	detail = json_string_value(json_object_get(reply->body, "detail"));
	step = json_string_value(json_object_get(reply->body, "step"));
	peer = json_string_value(json_object_get(reply->body, "peer"));
	fprintf(cli->err, "berylrail: %s (HTTP status %d, step %s%s%s)\n",
	    detail != NULL ? detail : "refused", reply->status,
	    step != NULL ? step : "unknown",
	    peer != NULL && peer[0] != '\0' ? ", peer " : "",
	    peer != NULL ? peer : "");
	name = json_string_value(json_object_get(reply->body, "outcome"));
	if (name != NULL && outcome_from_name(name, &outcome) == 0) {
		if (outcome == OUTCOME_UNKNOWN)
			return CLI_EXIT_UNKNOWN;
		return outcome == OUTCOME_NOT_RUN ? CLI_EXIT_NOT_RUN
						  : CLI_EXIT_FAILED;
	}
	if (reply->status == 409)
		return CLI_EXIT_CONFLICT;
	if (reply->status == 504)
		return CLI_EXIT_UNKNOWN;
	return reply->status == 503 ? CLI_EXIT_UNAVAILABLE : CLI_EXIT_FAILED;
}

char *
cli_make_path(const char *prefix, const char *name, const char *suffix)
{
	char *encoded, *path = NULL;

	encoded = evhttp_encode_uri(name);
	if (encoded == NULL ||
	    asprintf(&path, "%s%s%s", prefix, encoded, suffix) < 0)
		abort();
	free(encoded);
	return path;
}
