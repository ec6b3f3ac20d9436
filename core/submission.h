#ifndef CORE_SUBMISSION_H
#define CORE_SUBMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"
#include "berylrail/outcome.h"

/*
 * A submission, which is up to JOB_TASKS_MAX tasks of one job or one single
 * request to a service, and its answer.
 */

/** struct task_spec - one task as submitted by the caller. */
struct task_spec {
	char *body;	 /* owned by the submission; may be NULL if empty */
	size_t body_len; /* bytes */
	uint32_t run_ms; /* declared run time, 0 if not declared */
};

/** struct submission - the request of a caller. */
struct submission {
	char id[TICKET_SIZE]; /* ticket, or "r-<random>" of a single request */
	char job[NAME_SIZE];  /* name of the job's configuration */
	bool single;	      /* a single request; see cfg_job.repeatable */
	uint64_t timeout_us;  /* of the submission; 0: cfg_job.deadline_ms */
	size_t ntasks;
	struct task_spec *tasks;
};

/** enum task_state - state of one task. */
enum task_state {
	TASK_QUEUED,
	TASK_STARTED,
	TASK_DONE,    /* ran; its result was received completely */
	TASK_NOT_RUN, /* known not to have started; will not start */
	TASK_FAILED,  /* ran and failed */
	TASK_LOST,    /* may have run */
};

/** struct task_result - the result of one task. */
struct task_result {
	enum task_state state;
	int http_status; /* from the backend server, 0 if none */
	char *body;	 /* owned by the answer */
	size_t body_len; /* bytes */
	char server[NAME_SIZE];
	uint64_t run_us; /* from its start to its response */
};

/** struct answer - results of a submission, in the order of its tasks. */
struct answer {
	enum outcome outcome;
	struct err err; /* first error, unless outcome is COMPLETE */
	size_t ntasks;
	struct task_result *results; /* NULL if no task was ever queued */
	uint64_t elapsed_us;
};

/**
 * subm_create() - create a submission of @ntasks empty tasks; NULL if memory is
 * exhausted.
 */
struct submission *subm_create(size_t ntasks);

/** subm_free() - free a submission and its tasks; NULL is allowed. */
void subm_free(struct submission *subm);

/**
 * subm_answer_create() - create an answer of @ntasks results in state QUEUED;
 * NULL if memory is exhausted.
 */
struct answer *subm_answer_create(size_t ntasks);

/** subm_answer_free() - free an answer and its results; NULL is allowed. */
void subm_answer_free(struct answer *answer);

/**
 * subm_outcome() - the outcome that follows from the states of all tasks.
 *
 * COMPLETE if all are DONE; NOT_RUN if all are NOT_RUN; UNKNOWN if any is
 * LOST, STARTED or QUEUED; TASK_FAILED otherwise.
 */
enum outcome subm_outcome(const struct task_result *results, size_t ntasks);

#endif /* CORE_SUBMISSION_H */
