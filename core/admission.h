#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"

/*
 * Admission control: accepts or refuses a submission. No task of a refused
 * submission has been started.
 */

/** struct adm_input - a submission, and the state of its queue and servers. */
struct adm_input {
	const char *job;
	size_t ntasks;
	uint64_t body_bytes; /* sum over its tasks */
	/* Tasks that wait now, the bytes of their bodies, and the limits. */
	size_t queue_tasks;
	size_t queue_tasks_max;
	uint64_t queue_bytes;
	uint64_t queue_bytes_max;
	size_t job_tasks;
	size_t job_tasks_max; /* 0: no limit for the job */
	size_t nservers;      /* matching the selector, usable or not */
	/* Times in microseconds. */
	bool check_time;	/* evaluate the times below */
	double wait_us;		/* lower bound until its first task starts */
	double run_us;		/* lower bound from that start to its end */
	double longest_task_us; /* run time of its longest task on the
				 * fastest server */
	uint64_t timeout_us;	/* of one task on a server, 0: none */
	uint64_t deadline_us;	/* from now, 0: none */
};

/**
 * adm_check() - decide whether to accept a submission.
 *
 * Return: 0, or -1 with the reason of the refusal in @err (step ADMIT).
 */
int adm_check(const struct adm_input *input, struct err *err);

#endif /* CORE_ADMISSION_H */
