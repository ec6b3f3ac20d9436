/*
 * Fuzz target: bodies of POST /v1/jobs. An accepted body must be within the
 * limits, and a rejected one must give a valid refusal code.
 */

#include <stdlib.h>

#include "entry/api_internal.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	enum refusal refusal = REF_COUNT;
	struct api_form form;
	struct err err;

	if (api_parse_submission(data, size, &form, &refusal, &err) == -1) {
		if (refusal >= REF_COUNT || form.subm != NULL)
			abort();
		return 0;
	}
	if (form.subm->ntasks == 0 || form.subm->ntasks > JOB_TASKS_MAX ||
	    form.subm->job[0] == '\0')
		abort();
	subm_free(form.subm);
	return 0;
}
