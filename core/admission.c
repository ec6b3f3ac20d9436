/*
 * Admission control. Permanent reasons (an invalid request, no matching server)
 * are checked first, then queue limits, then expected times.
 */

#include "core/admission.h"
#include "berylrail/limits.h"

static int
adm_check_request(const struct adm_input *input, struct err *err)
{
	if (input->ntasks == 0)
		return err_set(err, ERR_STEP_ADMIT, ERR_INVALID, input->job,
		    "the submission has no tasks");
	if (input->ntasks > JOB_TASKS_MAX)
		return err_set(err, ERR_STEP_ADMIT, ERR_TOO_LARGE, input->job,
		    "the submission has %zu tasks, the limit is %d",
		    input->ntasks, JOB_TASKS_MAX);
	if (input->nservers == 0)
		return err_set(err, ERR_STEP_ADMIT, ERR_NO_SERVER, input->job,
		    "no backend server matches the selector");
	return 0;
}

static int
adm_check_bounds(const struct adm_input *input, struct err *err)
{
	if (input->queue_tasks + input->ntasks > input->queue_tasks_max)
		return err_set(err, ERR_STEP_ADMIT, ERR_OVERLOAD, input->job,
		    "queue full: %zu tasks are waiting, the limit is %zu",
		    input->queue_tasks, input->queue_tasks_max);
	if (input->queue_bytes + input->body_bytes > input->queue_bytes_max)
		return err_set(err, ERR_STEP_ADMIT, ERR_OVERLOAD, input->job,
		    "queue full: limit on the bytes of waiting task bodies "
		    "exceeded");
	if (input->job_tasks_max != 0 &&
	    input->job_tasks + input->ntasks > input->job_tasks_max)
		return err_set(err, ERR_STEP_ADMIT, ERR_OVERLOAD, input->job,
		    "queue of the job full: %zu tasks are waiting, "
		    "the limit is %zu",
		    input->job_tasks, input->job_tasks_max);
	return 0;
}

static int
adm_check_time(const struct adm_input *input, struct err *err)
{
	if (input->timeout_us != 0 &&
	    input->longest_task_us > (double)input->timeout_us)
		return err_set(err, ERR_STEP_ADMIT, ERR_NO_SERVER, input->job,
		    "a task needs %.0f ms on the fastest server, "
		    "its timeout is %.0f ms",
		    input->longest_task_us / 1e3,
		    (double)input->timeout_us / 1e3);
	if (input->deadline_us != 0 &&
	    input->wait_us + input->run_us > (double)input->deadline_us)
		return err_set(err, ERR_STEP_ADMIT, ERR_DEADLINE, input->job,
		    "expected to wait %.0f ms and run %.0f ms, "
		    "the deadline is %.0f ms",
		    input->wait_us / 1e3, input->run_us / 1e3,
		    (double)input->deadline_us / 1e3);
	return 0;
}

int
adm_check(const struct adm_input *input, struct err *err)
{
	if (adm_check_request(input, err) == -1)
		return -1;
	if (adm_check_bounds(input, err) == -1)
		return -1;
	return input->check_time ? adm_check_time(input, err) : 0;
}
