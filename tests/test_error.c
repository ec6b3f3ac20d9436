#include <criterion/criterion.h>

#include "berylrail/error.h"
#include "core/submission.h"

Test(error, err_set_stores_all_fields)
{
	struct err err;

	cr_assert_eq(err_set(&err, ERR_STEP_CONNECT, ERR_LOST, "s1", "n=%d", 3),
	    -1);
	cr_assert_eq(err.step, ERR_STEP_CONNECT);
	cr_assert_str_eq(err.peer, "s1");
	cr_assert_str_eq(err.message, "n=3");
}

Test(error, names_round_trip)
{
	int i;

	for (i = ERR_STEP_NONE; i <= ERR_STEP_DRAIN; i++)
		cr_assert_eq((int)err_step_from_name(err_step_name(i)), i);
	for (i = ERR_OK; i <= ERR_NO_MEMORY; i++)
		cr_assert_eq((int)err_code_from_name(err_code_name(i)), i);
}

Test(submission, outcome_is_never_partial)
{
	struct task_result r[2] = { { .state = TASK_DONE },
		{ .state = TASK_DONE } };

	cr_assert_eq(subm_outcome(r, 2), OUTCOME_COMPLETE);
	r[1].state = TASK_NOT_RUN;
	cr_assert_eq(subm_outcome(r, 2), OUTCOME_TASK_FAILED);
	r[0].state = TASK_NOT_RUN;
	cr_assert_eq(subm_outcome(r, 2), OUTCOME_NOT_RUN);
	r[0].state = TASK_LOST;
	cr_assert_eq(subm_outcome(r, 2), OUTCOME_UNKNOWN);
}
