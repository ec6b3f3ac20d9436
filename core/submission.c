/*
 * Submissions and answers: allocation, and the outcome of a set of results.
 */

#include <stdlib.h>
#include <string.h>

#include "core/submission.h"

struct submission *
subm_create(size_t ntasks)
{
	struct submission *subm;

	subm = calloc(1, sizeof(*subm));
	if (subm == NULL)
		return NULL;
	subm->ntasks = ntasks;
	subm->tasks = calloc(ntasks == 0 ? 1 : ntasks, sizeof(*subm->tasks));
	if (subm->tasks == NULL) {
		free(subm);
		return NULL;
	}
	return subm;
}

void
subm_free(struct submission *subm)
{
	size_t i;

	if (subm == NULL)
		return;
	for (i = 0; i < subm->ntasks; i++)
		free(subm->tasks[i].body);
	free(subm->tasks);
	free(subm);
}

struct answer *
subm_answer_create(size_t ntasks)
{
	struct answer *answer;

	answer = calloc(1, sizeof(*answer));
	if (answer == NULL)
		return NULL;
	answer->ntasks = ntasks;
	answer->results =
	    calloc(ntasks == 0 ? 1 : ntasks, sizeof(*answer->results));
	if (answer->results == NULL) {
		free(answer);
		return NULL;
	}
	return answer;
}

void
subm_answer_free(struct answer *answer)
{
	size_t i;

	if (answer == NULL)
		return;
	for (i = 0; answer->results != NULL && i < answer->ntasks; i++)
		free(answer->results[i].body);
	free(answer->results);
	free(answer);
}

enum outcome
subm_outcome(const struct task_result *results, size_t ntasks)
{
	size_t ndone = 0, nnot_run = 0, i;

	for (i = 0; i < ntasks; i++) {
		switch (results[i].state) {
		case TASK_DONE:
			ndone++;
			break;
		case TASK_NOT_RUN:
			nnot_run++;
			break;
		case TASK_FAILED:
			break;
		case TASK_QUEUED:
		case TASK_STARTED:
		case TASK_LOST:
		default:
			return OUTCOME_UNKNOWN;
		}
	}
	if (ndone == ntasks)
		return OUTCOME_COMPLETE;
	if (nnot_run == ntasks)
		return OUTCOME_NOT_RUN;
	return OUTCOME_TASK_FAILED;
}
