/*
 * Reading final records.
 */

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/final_record.h"

#define REC_B64 sodium_base64_VARIANT_ORIGINAL

/** struct record - a parsed final record. */
struct record {
	uint64_t first;
	uint64_t next;
	uint8_t *claimed; /* bits */
	json_t *doc;	  /* for its answers */
};

static int
rec_parse_doc(struct record *record)
{
	json_int_t first, next;
	const char *claimed;
	int format;
	size_t nbytes, got;

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
		NULL, &got, NULL, REC_B64) == -1 ||
	    got != nbytes)
		return -1;
	return 0;
}

struct record *
rec_parse(const void *data, size_t len)
{
	struct record *record;

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
rec_free(struct record *record)
{
	if (record == NULL)
		return;
	json_decref(record->doc);
	free(record->claimed);
	free(record);
}

/* The body of a kept answer, for free(3); NULL if there is none. */
static char *
rec_body(const json_t *answer, size_t *len)
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
		REC_B64) == -1) {
		free(body);
		return NULL;
	}
	return body;
}

static enum rec_verdict
rec_look_answer(const struct record *record, uint64_t seq,
    struct rec_answer *answer)
{
	char text[REC_SEQ_SIZE];
	json_t *doc;

	(void)snprintf(text, sizeof(text), "%" PRIu64, seq);
	doc = json_object_get(json_object_get(record->doc, "answers"), text);
	if (json_unpack(doc, "{s:i, s:s, s:s}", "status", &answer->status,
		"outcome", &answer->outcome, "type", &answer->type) == -1)
		return REC_ENDED;
	answer->body = rec_body(doc, &answer->body_len);
	return answer->body == NULL ? REC_ENDED : REC_ANSWER;
}

enum rec_verdict
rec_look(const struct record *record, uint64_t seq, struct rec_answer *answer)
{
	uint64_t index = seq - record->first;

	if (seq < record->first || seq >= record->next)
		return REC_UNKNOWN;
	if ((record->claimed[index / 8] >> (index % 8) & 1) == 0)
		return REC_NOT_RUN;
	return rec_look_answer(record, seq, answer);
}
