/*
 * Renders the final record of this process, and replies to calls from the final
 * record of another process.
 */

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/api_internal.h"
#include "entry/final_record.h"

#define API_RECORD_BASE64 sodium_base64_VARIANT_ORIGINAL

void
api_record_name(char *name, size_t size, const char *az, const char *host,
    uint64_t incarnation)
{
	(void)snprintf(name, size, "final/%s/%s/%" PRIx64, az, host,
	    incarnation);
}

static json_t *
api_record_render_claimed(const struct api *api, uint64_t first, uint64_t next)
{
	size_t nbytes = (size_t)(next - first) / 8 + 1;
	size_t size = sodium_base64_encoded_len(nbytes, API_RECORD_BASE64);
	json_t *claimed = NULL;
	uint8_t *bits;
	uint64_t seq;
	char *text;

	bits = calloc(1, nbytes);
	text = malloc(size);
	if (bits == NULL || text == NULL)
		goto out;
	for (seq = first; seq < next; seq++) {
		if (clm_was_claimed(api->claims, seq))
			bits[(seq - first) / 8] |=
			    (uint8_t)(1U << ((seq - first) % 8));
	}
	(void)sodium_bin2base64(text, size, bits, nbytes, API_RECORD_BASE64);
	claimed = json_string_nocheck(text);
out:
	free(text);
	free(bits);
	return claimed;
}

static json_t *
api_record_render_answer(const struct api_execution *exec)
{
	json_t *doc;

	doc = json_pack("{s:i, s:s, s:s}", "status", exec->status, "outcome",
	    outcome_name(exec->outcome), "type", exec->content_type);
	if (doc != NULL && api_render_body(doc, exec->body, exec->body_len)) {
		json_decref(doc);
		return NULL;
	}
	return doc;
}

/* The newest answers, up to a total of REC_ANSWERS_BYTES_MAX. */
static json_t *
api_record_render_answers(const struct api *api)
{
	const struct api_execution *exec;
	char seq[REC_SEQ_SIZE];
	struct claim *claim = NULL;
	json_t *answers, *answer;
	size_t bytes = 0;

	answers = json_object();
	while ((claim = clm_prev_ended(api->claims, claim)) != NULL) {
		exec = (const struct api_execution *)claim;
		bytes += exec->body_len;
		if (bytes > REC_ANSWERS_BYTES_MAX)
			break;
		answer = api_record_render_answer(exec);
		(void)snprintf(seq, sizeof(seq), "%" PRIu64, claim->seq);
		if (json_object_set_new(answers, seq, answer) == -1)
			break;
	}
	return answers;
}

char *
api_record_render(const struct api *api, size_t *len)
{
	uint64_t first = clm_oldest_seq(api->claims),
		 next = clm_next_seq(api->claims);
	json_t *doc;
	char *text;

	if (next - first > REC_TICKETS_MAX)
		first = next - REC_TICKETS_MAX;
	doc = json_pack("{s:i, s:I, s:I, s:o, s:o}", "format", REC_FORMAT,
	    "first", (json_int_t)first, "next", (json_int_t)next, "claimed",
	    api_record_render_claimed(api, first, next), "answers",
	    api_record_render_answers(api));
	if (doc == NULL)
		return NULL;
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	if (text != NULL)
		*len = strlen(text);
	return text;
}

static void
api_record_reply_answer(struct rec_answer *answer, struct api_call *call)
{
	struct api_reply reply = {
		.status = answer->status,
		.content_type = answer->type,
		.outcome = answer->outcome,
		.body = answer->body,
		.body_len = answer->body_len,
	};

	api_call_reply(call, &reply);
	free(answer->body);
}

void
api_record_reply(const struct final_record *record, struct api_call *call)
{
	struct rec_answer answer;

	switch (rec_lookup(record, call->ticket.seq, &answer)) {
	case REC_NOT_RUN:
		api_call_refuse(call, REF_ISSUER_STOPPED_NOT_RUN,
		    call->ticket.host);
		break;
	case REC_ANSWER_RETAINED:
		api_record_reply_answer(&answer, call);
		break;
	case REC_ANSWER_NOT_RETAINED:
		api_call_refuse(call, REF_ISSUER_STOPPED_ENDED,
		    call->ticket.host);
		break;
	case REC_UNKNOWN:
	default:
		api_call_refuse(call, REF_ISSUER_GONE, call->ticket.host);
	}
}
