/*
 * Rendering of refusals as problem documents (RFC 9457).
 */

#include <jansson.h>
#include <string.h>

#include "entry/problem.h"

char *
problem_render(const struct refusal_row *row, const struct err *err,
    size_t *len)
{
	json_t *doc;
	char *text;

	*len = 0;
	doc = json_pack("{s:s, s:s, s:i, s:s, s:s, s:s, s:s}", "type",
	    "about:blank", "title", row->title, "status", row->status, "detail",
	    err->message, "step", err_step_name(err->step), "peer", err->peer,
	    "code", err_code_name(err->code));
	if (doc == NULL)
		return NULL;
	if (row->has_outcome)
		(void)json_object_set_new(doc, "outcome",
		    json_string(outcome_name(row->outcome)));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	if (text != NULL)
		*len = strlen(text);
	return text;
}
