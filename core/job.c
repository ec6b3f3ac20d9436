/*
 * Jobs of steps.
 */

#include <ctype.h>
#include <stdlib.h>

#include "core/job.h"

void
job_spec_release(struct job_spec *spec)
{
	free(spec->text);
	free(spec->steps);
	spec->text = NULL;
	spec->steps = NULL;
	spec->nsteps = 0;
}

bool
job_id_valid(const char *text)
{
	size_t i;

	for (i = 0; i < JOB_ID_LEN; i++) {
		if (!isxdigit((unsigned char)text[i]))
			return false;
	}
	return text[JOB_ID_LEN] == '\0';
}

uint32_t
job_critical_path_ms(const struct job_spec *spec)
{
	uint32_t ends[JOB_STEPS_MAX], longest = 0;
	size_t i, before;

	for (i = 0; i < spec->nsteps; i++) {
		ends[i] = 0;
		for (before = 0; before < i; before++) {
			if ((spec->steps[i].after >> before & 1) != 0 &&
			    ends[before] > ends[i])
				ends[i] = ends[before];
		}
		ends[i] += spec->steps[i].est_ms;
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

uint32_t
job_objective_ms(const struct job_spec *spec, const struct job_queue *queue)
{
	uint64_t chain_ms = job_critical_path_ms(spec);

	return (uint32_t)(chain_ms * queue->slack_permille / 1000) +
	    queue->target_ms;
}
