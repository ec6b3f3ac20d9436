#ifndef BERYLRAIL_OUTCOME_H
#define BERYLRAIL_OUTCOME_H

/*
 * Every answer to a submission or a single request is one of four, in the
 * body ("outcome") and in the header Berylrail-Outcome.
 */

/** enum outcome - what a caller may rely on. */
enum outcome {
	OUTCOME_COMPLETE,    /* every task ran; every result is in the answer */
	OUTCOME_NOT_RUN,     /* no task was started, nor will be */
	OUTCOME_TASK_FAILED, /* it is known which tasks ran and which failed */
	OUTCOME_UNKNOWN,     /* a task may have run, or may still */
};

/** outcome_name() - "complete", "not-run", "task-failed", "outcome-unknown" */
const char *outcome_name(enum outcome outcome);

/** outcome_from_name() - 0 and *outcome, or -1 for an unknown name. */
int outcome_from_name(const char *name, enum outcome *outcome);

#endif /* BERYLRAIL_OUTCOME_H */
