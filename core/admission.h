#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"

/* Whether a submission is taken. What is refused here never ran. */

/** struct adm_input - a submission and the state that it meets. */
struct adm_input {
	const char *job;
	size_t ntasks;
	uint64_t body_bytes; /* of bodies */
	/* Bounds and what is used of them. */
	size_t queue_tasks;
	size_t queue_tasks_max;
	uint64_t queue_bytes;
	uint64_t queue_bytes_max;
	size_t job_tasks;
	size_t job_tasks_max; /* 0: no limit of the job's own */
	/* Servers. */
	size_t nservers; /* that match, usable or not */
	/* Times in microseconds. */
	bool check_time; /* also judge by these */
	double wait_us;	 /* until its first task starts, at the least */
	double run_us;	 /* of the whole job from then on, at the least */
	double longest_task_us; /* of its longest task on the fastest server */
	uint64_t timeout_us;	/* of a task on a server, 0: none */
	uint64_t deadline_us;	/* from now, 0: none */
};

/** adm_check() - 0, or -1 with @err saying why it is refused. */
int adm_check(const struct adm_input *input, struct err *err);

#endif /* CORE_ADMISSION_H */
