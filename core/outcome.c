/*
 * Names of outcomes.
 */

#include <stddef.h>
#include <string.h>

#include "berylrail/outcome.h"

static const char *const outcome_names[] = {
	[OUTCOME_COMPLETE] = "complete",
	[OUTCOME_NOT_RUN] = "not-run",
	[OUTCOME_TASK_FAILED] = "task-failed",
	[OUTCOME_UNKNOWN] = "outcome-unknown",
};

const char *
outcome_name(enum outcome outcome)
{
	return outcome_names[outcome];
}

int
outcome_from_name(const char *name, enum outcome *outcome)
{
	size_t i;

	for (i = 0; i < sizeof(outcome_names) / sizeof(outcome_names[0]); i++) {
		if (strcmp(name, outcome_names[i]) == 0) {
			*outcome = (enum outcome)i;
			return 0;
		}
	}
	return -1;
}
