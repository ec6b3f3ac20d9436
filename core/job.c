/*
 * Jobs that consist of steps: memory, ids and completion objectives.
 */

#include <ctype.h>
#include <stdlib.h>

#include "core/job.h"

void
job_spec_release(struct job_spec *spec)
{
	free(spec->spec_text);
	free(spec->steps);
	spec->spec_text = NULL;
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
	uint32_t end_ms[JOB_STEPS_MAX], longest_ms = 0;
	size_t i, j;

	for (i = 0; i < spec->nsteps; i++) {
		end_ms[i] = 0;
		for (j = 0; j < i; j++) {
			if ((spec->steps[i].prerequisites >> j & 1) != 0 &&
			    end_ms[j] > end_ms[i])
				end_ms[i] = end_ms[j];
		}
		end_ms[i] += spec->steps[i].estimated_ms;
		if (end_ms[i] > longest_ms)
			longest_ms = end_ms[i];
	}
	return longest_ms;
}

uint32_t
job_objective_ms(const struct job_spec *spec, const struct job_queue *queue)
{
	uint64_t path_ms = job_critical_path_ms(spec);

	return (uint32_t)(path_ms * queue->slack_permille / 1000) +
	    queue->target_ms;
}
