/*
 * Reading final records.
 */

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/final_record.h"

#define FREC_BASE64 sodium_base64_VARIANT_ORIGINAL

/** struct record - a parsed final record. */
struct final_record {
	uint64_t first;
	uint64_t next;
	uint8_t *claimed; /* bits */
	json_t *doc;	  /* for its answers */
};

static int
frec_parse_doc(struct final_record *record)
{
	json_int_t first, next;
	const char *claimed;
	int format;
	size_t nbytes, got;

	if (json_unpack(record->doc, "{s:i, s:I, s:I, s:s}", "format", &format,
		"first", &first, "next", &next, "claimed", &claimed) == -1)
		return -1;
	if (format != FREC_FORMAT || first < 1 || next < first ||
	    next - first > FREC_TICKETS_MAX)
		return -1;
	record->first = (uint64_t)first;
	record->next = (uint64_t)next;
	nbytes = (size_t)(next - first) / 8 + 1;
	record->claimed = malloc(nbytes);
	if (record->claimed == NULL ||
	    sodium_base642bin(record->claimed, nbytes, claimed, strlen(claimed),
		NULL, &got, NULL, FREC_BASE64) == -1 ||
	    got != nbytes)
		return -1;
	return 0;
}

struct final_record *
frec_parse(const void *data, size_t len)
{
	struct final_record *record;

	record = calloc(1, sizeof(*record));
	if (record == NULL)
		return NULL;
	record->doc = json_loadb(data, len, 0, NULL);
	if (record->doc == NULL || frec_parse_doc(record) == -1) {
		frec_free(record);
		return NULL;
	}
	return record;
}

void
frec_free(struct final_record *record)
{
	if (record == NULL)
		return;
	json_decref(record->doc);
	free(record->claimed);
	free(record);
}

/* The body of a kept answer, for free(3); NULL if there is none. */
static char *
frec_answer_body(const json_t *answer, size_t *len)
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
		FREC_BASE64) == -1) {
		free(body);
		return NULL;
	}
	return body;
}

static enum frec_verdict
frec_lookup_answer(const struct final_record *record, uint64_t seq,
    struct frec_answer *answer)
{
	char text[FREC_SEQ_SIZE];
	json_t *doc;

	(void)snprintf(text, sizeof(text), "%" PRIu64, seq);
	doc = json_object_get(json_object_get(record->doc, "answers"), text);
	if (json_unpack(doc, "{s:i, s:s, s:s}", "status", &answer->status,
		"outcome", &answer->outcome, "type", &answer->type) == -1)
		return FREC_ANSWER_NOT_RETAINED;
	answer->body = frec_answer_body(doc, &answer->body_len);
	return answer->body == NULL ? FREC_ANSWER_NOT_RETAINED
				    : FREC_ANSWER_RETAINED;
}

enum frec_verdict
frec_lookup(const struct final_record *record, uint64_t seq,
    struct frec_answer *answer)
{
	uint64_t index = seq - record->first;

	if (seq < record->first || seq >= record->next)
		return FREC_UNKNOWN;
	if ((record->claimed[index / 8] >> (index % 8) & 1) == 0)
		return FREC_NOT_RUN;
	return frec_lookup_answer(record, seq, answer);
}
