/*
 * Fuzz target: bodies of POST /v1/jobs. An accepted body must be within the
 * limits, and a rejected one must return a valid refusal code.
 */

#include <stdlib.h>

#include "entry/api_internal.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	enum refusal refusal = REF_COUNT;
	struct api_parsed_body parsed;
	struct err err;

	if (api_parse_submission(data, size, &parsed, &refusal, &err) == -1) {
		if (refusal >= REF_COUNT || parsed.subm != NULL)
			abort();
		return 0;
	}
	if (parsed.subm->ntasks == 0 || parsed.subm->ntasks > JOB_TASKS_MAX ||
	    parsed.subm->job[0] == '\0')
		abort();
	subm_free(parsed.subm);
	return 0;
}
