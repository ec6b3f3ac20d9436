/*
 * Renders answers and progress as JSON.
 */

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "core/digest.h"
#include "entry/api_internal.h"

int
api_render_body(json_t *doc, const char *body, size_t len)
{
	size_t size =
	    sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
	json_t *text = NULL;
	char *encoded;
	int rc;

	if (len == 0)
		return json_object_set_new_nocheck(doc, "body",
		    json_string_nocheck(""));
	if (memchr(body, '\0', len) == NULL)
		text = json_stringn(body, len);
	if (text != NULL)
		return json_object_set_new_nocheck(doc, "body", text);
	encoded = malloc(size);
	if (encoded == NULL)
		return -1;
	(void)sodium_bin2base64(encoded, size, (const unsigned char *)body, len,
	    sodium_base64_VARIANT_ORIGINAL);
	rc = json_object_set_new_nocheck(doc, "body_base64",
	    json_string_nocheck(encoded));
	free(encoded);
	return rc;
}

static json_t *
api_render_result(const struct task_result *result, size_t index)
{
	json_t *doc;
	int rc = 0;

	doc = json_object();
	if (doc == NULL)
		return NULL;
	rc |= json_object_set_new_nocheck(doc, "index",
	    json_integer((json_int_t)index));
	rc |= json_object_set_new_nocheck(doc, "state",
	    json_string_nocheck(dig_state_name(result->state)));
	rc |= json_object_set_new_nocheck(doc, "status",
	    json_integer(result->http_status));
	rc |= api_render_body(doc, result->body, result->body_len);
	rc |= json_object_set_new_nocheck(doc, "server",
	    json_string(result->server));
	if (rc != 0) {
		json_decref(doc);
		return NULL;
	}
	return doc;
}

static json_t *
api_render_error(const struct err *err)
{
	return json_pack("{s:s, s:s, s:s, s:s}", "step",
	    err_step_name(err->step), "peer", err->peer, "code",
	    err_code_name(err->code), "message", err->message);
}

static json_t *
api_render_results(const struct answer *answer)
{
	json_t *results;
	size_t i;

	results = json_array();
	for (i = 0; answer->results != NULL && i < answer->ntasks; i++) {
		if (json_array_append_new(results,
			api_render_result(&answer->results[i], i)) == -1) {
			json_decref(results);
			return NULL;
		}
	}
	return results;
}

char *
api_render_answer(struct crypto *crypto, const char *id,
    const struct answer *answer, size_t *len)
{
	size_t nresults = answer->results == NULL ? 0 : answer->ntasks;
	char digest[DIGEST_HEX_SIZE];
	char *text;
	json_t *doc;

	if (dig_results(crypto, answer->results, nresults, digest) == -1)
		return NULL;
	doc = json_pack("{s:s, s:s, s:s, s:I, s:s, s:o}", "id", id, "state",
	    "ended", "outcome", outcome_name(answer->outcome), "tasks",
	    (json_int_t)answer->ntasks, "digest", digest, "results",
	    api_render_results(answer));
	if (doc == NULL)
		return NULL;
	if (answer->outcome != OUTCOME_COMPLETE &&
	    json_object_set_new(doc, "error", api_render_error(&answer->err)) ==
		-1) {
		json_decref(doc);
		return NULL;
	}
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	if (text != NULL)
		*len = strlen(text);
	return text;
}

json_t *
api_render_progress(const char *id, size_t ended, size_t ntasks)
{
	return json_pack("{s:s, s:s, s:I, s:I}", "id", id, "state", "running",
	    "tasks", (json_int_t)ntasks, "ended", (json_int_t)ended);
}
