/*
 * Parsing and looking up final records. Their content is not trusted: a
 * malformed record is rejected as a whole, a malformed answer is treated as
 * absent.
 */

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/final_record.h"

#define REC_BASE64 sodium_base64_VARIANT_ORIGINAL

/** struct final_record - a parsed record. */
struct final_record {
	uint64_t first;
	uint64_t next;
	uint8_t *claimed; /* bitmap */
	json_t *doc;	  /* holds the answers */
};

static int
rec_parse_doc(struct final_record *record)
{
	json_int_t first, next;
	const char *claimed;
	int format;
	size_t nbytes, decoded_len;

	if (json_unpack(record->doc, "{s:i, s:I, s:I, s:s}", "format", &format,
		"first", &first, "next", &next, "claimed", &claimed) == -1)
		return -1;
	if (format != REC_FORMAT || first < 1 || next < first ||
	    next - first > REC_TICKETS_MAX)
		return -1;
	record->first = (uint64_t)first;
	record->next = (uint64_t)next;
	nbytes = (size_t)(next - first) / 8 + 1;
	record->claimed = malloc(nbytes);
	if (record->claimed == NULL ||
	    sodium_base642bin(record->claimed, nbytes, claimed, strlen(claimed),
		NULL, &decoded_len, NULL, REC_BASE64) == -1 ||
	    decoded_len != nbytes)
		return -1;
	return 0;
}

struct final_record *
rec_parse(const void *data, size_t len)
{
	struct final_record *record;

	record = calloc(1, sizeof(*record));
	if (record == NULL)
		return NULL;
	record->doc = json_loadb(data, len, 0, NULL);
	if (record->doc == NULL || rec_parse_doc(record) == -1) {
		rec_free(record);
		return NULL;
	}
	return record;
}

void
rec_free(struct final_record *record)
{
	if (record == NULL)
		return;
	json_decref(record->doc);
	free(record->claimed);
	free(record);
}

/* The decoded body of an answer, for free(3); NULL if there is none. */
static char *
rec_answer_body(const json_t *answer, size_t *len)
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
		REC_BASE64) == -1) {
		free(body);
		return NULL;
	}
	return body;
}

static enum rec_verdict
rec_lookup_answer(const struct final_record *record, uint64_t seq,
    struct rec_answer *answer)
{
	char text[REC_SEQ_SIZE];
	json_t *doc;

	(void)snprintf(text, sizeof(text), "%" PRIu64, seq);
	doc = json_object_get(json_object_get(record->doc, "answers"), text);
	if (json_unpack(doc, "{s:i, s:s, s:s}", "status", &answer->status,
		"outcome", &answer->outcome, "type", &answer->type) == -1)
		return REC_ANSWER_NOT_RETAINED;
	answer->body = rec_answer_body(doc, &answer->body_len);
	return answer->body == NULL ? REC_ANSWER_NOT_RETAINED
				    : REC_ANSWER_RETAINED;
}

enum rec_verdict
rec_lookup(const struct final_record *record, uint64_t seq,
    struct rec_answer *answer)
{
	uint64_t index = seq - record->first;

	if (seq < record->first || seq >= record->next)
		return REC_UNKNOWN;
	if ((record->claimed[index / 8] >> (index % 8) & 1) == 0)
		return REC_NOT_RUN;
	return rec_lookup_answer(record, seq, answer);
}
