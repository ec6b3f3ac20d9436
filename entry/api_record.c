/*
 * Final records: what a process that has shut down knew of its tickets, as one
 * JSON object:
 *
 *	{"format": 1, "first": N, "next": N, "claimed": "<bits, base64>",
 *	 "answers": {"<number>": {"status", "outcome", "type", "body"}}}
 *
 * Bit i of "claimed" stands for the ticket numbered first + i. A ticket from
 * first to next whose bit is clear was never started, nor will be: the process
 * takes no new work once it writes the record.
 */

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/api_internal.h"

#define API_RECORD_FORMAT 1
#define API_RECORD_TICKETS_MAX (1U << 20)
#define API_RECORD_ANSWERS_BYTES_MAX (1U << 20)
#define API_RECORD_B64 sodium_base64_VARIANT_ORIGINAL
#define API_RECORD_SEQ_SIZE 24

/** struct api_record - a parsed final record. */
struct api_record {
	uint64_t first;
	uint64_t next;
	uint8_t *claimed; /* bits */
	json_t *doc;	  /* for its answers */
};

void
api_record_name(char *name, size_t size, const char *az, const char *host,
    uint64_t incarnation)
{
	(void)snprintf(name, size, "final/%s/%s/%" PRIx64, az, host,
	    incarnation);
}

static json_t *
api_record_write_claimed(const struct api *api, uint64_t first, uint64_t next)
{
	size_t nbytes = (size_t)(next - first) / 8 + 1;
	size_t size = sodium_base64_encoded_len(nbytes, API_RECORD_B64);
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
	(void)sodium_bin2base64(text, size, bits, nbytes, API_RECORD_B64);
	claimed = json_string_nocheck(text);
out:
	free(text);
	free(bits);
	return claimed;
}

static json_t *
api_record_write_answer(const struct api_work *work)
{
	json_t *doc;

	doc = json_pack("{s:i, s:s, s:s}", "status", work->status, "outcome",
	    outcome_name(work->outcome), "type", work->content_type);
	if (doc != NULL && api_render_body(doc, work->body, work->body_len)) {
		json_decref(doc);
		return NULL;
	}
	return doc;
}

/* The newest answers, as many as fit. */
static json_t *
api_record_write_answers(const struct api *api)
{
	const struct api_work *work;
	char seq[API_RECORD_SEQ_SIZE];
	struct claim *claim = NULL;
	json_t *answers, *answer;
	size_t bytes = 0;

	answers = json_object();
	while ((claim = clm_kept(api->claims, claim)) != NULL) {
		work = (const struct api_work *)claim;
		bytes += work->body_len;
		if (bytes > API_RECORD_ANSWERS_BYTES_MAX)
			break;
		answer = api_record_write_answer(work);
		(void)snprintf(seq, sizeof(seq), "%" PRIu64, claim->seq);
		if (json_object_set_new(answers, seq, answer) == -1)
			break;
	}
	return answers;
}

char *
api_record_write(const struct api *api, size_t *len)
{
	uint64_t first = clm_floor(api->claims), next = clm_next(api->claims);
	json_t *doc;
	char *text;

	if (next - first > API_RECORD_TICKETS_MAX)
		first = next - API_RECORD_TICKETS_MAX;
	doc =
	    json_pack("{s:i, s:I, s:I, s:o, s:o}", "format", API_RECORD_FORMAT,
		"first", (json_int_t)first, "next", (json_int_t)next, "claimed",
		api_record_write_claimed(api, first, next), "answers",
		api_record_write_answers(api));
	if (doc == NULL)
		return NULL;
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	if (text != NULL)
		*len = strlen(text);
	return text;
}

static int
api_record_parse_doc(struct api_record *record)
{
	json_int_t first, next;
	const char *claimed;
	int format;
	size_t nbytes, got;

	if (json_unpack(record->doc, "{s:i, s:I, s:I, s:s}", "format", &format,
		"first", &first, "next", &next, "claimed", &claimed) == -1)
		return -1;
	if (format != API_RECORD_FORMAT || first < 1 || next < first ||
	    next - first > API_RECORD_TICKETS_MAX)
		return -1;
	record->first = (uint64_t)first;
	record->next = (uint64_t)next;
	nbytes = (size_t)(next - first) / 8 + 1;
	record->claimed = malloc(nbytes);
	if (record->claimed == NULL ||
	    sodium_base642bin(record->claimed, nbytes, claimed, strlen(claimed),
		NULL, &got, NULL, API_RECORD_B64) == -1 ||
	    got != nbytes)
		return -1;
	return 0;
}

struct api_record *
api_record_parse(const void *data, size_t len)
{
	struct api_record *record;

	record = calloc(1, sizeof(*record));
	if (record == NULL)
		return NULL;
	record->doc = json_loadb(data, len, 0, NULL);
	if (record->doc == NULL || api_record_parse_doc(record) == -1) {
		api_record_free(record);
		return NULL;
	}
	return record;
}

void
api_record_free(struct api_record *record)
{
	if (record == NULL)
		return;
	json_decref(record->doc);
	free(record->claimed);
	free(record);
}

/* The body of a kept answer, for free(3); NULL if there is none. */
static char *
api_record_body(const json_t *answer, size_t *len)
{
	const json_t *text = json_object_get(answer, "body");
	const json_t *encoded = json_object_get(answer, "body_base64");
	char *body;

	if (text == NULL)
		text = encoded;
	if (!json_is_string(text))
		return NULL;
	*len = json_string_length(text);
	body = malloc(*len + 1);
	if (body == NULL)
		return NULL;
	memcpy(body, json_string_value(text), *len + 1);
	if (text == encoded &&
	    sodium_base642bin((unsigned char *)body, *len + 1,
		json_string_value(text), *len, NULL, len, NULL,
		API_RECORD_B64) == -1) {
		free(body);
		return NULL;
	}
	return body;
}

/* Replies with a kept answer; false if there is none. */
static bool
api_record_reply_kept(const struct api_record *record, struct api_call *call)
{
	struct api_reply reply = { 0 };
	char seq[API_RECORD_SEQ_SIZE];
	json_t *answer;
	char *body;

	(void)snprintf(seq, sizeof(seq), "%" PRIu64, call->ticket.seq);
	answer = json_object_get(json_object_get(record->doc, "answers"), seq);
	if (json_unpack(answer, "{s:i, s:s, s:s}", "status", &reply.status,
		"outcome", &reply.outcome, "type", &reply.content_type) == -1)
		return false;
	body = api_record_body(answer, &reply.body_len);
	if (body == NULL)
		return false;
	reply.body = body;
	api_call_reply(call, &reply);
	free(body);
	return true;
}

void
api_record_reply(const struct api_record *record, struct api_call *call)
{
	uint64_t seq = call->ticket.seq, index = seq - record->first;

	if (seq < record->first || seq >= record->next) {
		api_call_refuse(call, REF_ISSUER_GONE, call->ticket.host);
		return;
	}
	if ((record->claimed[index / 8] >> (index % 8) & 1) == 0) {
		api_call_refuse(call, REF_ISSUER_STOPPED_NOT_RUN,
		    call->ticket.host);
		return;
	}
	if (!api_record_reply_kept(record, call))
		api_call_refuse(call, REF_ISSUER_STOPPED_ENDED,
		    call->ticket.host);
}
