/*
 * A server refuses a share of all calls, with good health, while a job is
 * cancelled that has lasting tasks on it. Later it refuses none.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_ID "c4a0000000000001"
#define CASE_TASKS 8
#define CASE_JOB                                                      \
	"{\"spec\":\"ms=1000000000 cpu=4000\",\"long_running\":true," \
	"\"steps\":[{\"count\":8,\"cpu\":4000,\"mem_mb\":64,"         \
	"\"estimated_ms\":1000}]}"
#define CASE_GREY_MS 6500
#define CASE_SHED_PERCENT 45
/* The bound of the rule, after the time in which the system is in touch again.
 */
#define CASE_GONE_MS (RIG_CONTACT_MS + RIG_CANCEL_MS + RIG_STOP_GRACE_MS)
#define CASE_LOOK_MS 10000

static uint32_t
case_running(void)
{
	char task[RIG_NAME_SIZE];
	uint32_t i, n = 0;

	for (i = 0; i < CASE_TASKS; i++) {
		snprintf(task, sizeof(task), CASE_ID ".0.0.%u", i);
		n += rig_find_run(task, NULL) != NULL;
	}
	return n;
}

static bool
case_all_run(void *arg)
{
	(void)arg;
	return case_running() == CASE_TASKS;
}

static bool
case_none_runs(void *arg)
{
	(void)arg;
	return case_running() == 0;
}

int
main(int argc, char **argv)
{
	struct rig_minion *minion;
	uint32_t n;
	int status;

	rig_start(argc, argv, false);
	rig_submit(&rig.hosts[0], CASE_ID, CASE_JOB);
	if (!rig_wait_for(case_all_run, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the tasks are not started");
	rig_wait(1000);
	if (rig_find_run(CASE_ID ".0.0.0", &minion) == NULL)
		rig_end(RIG_NOT_RUN, "a task has ended");
	if (rig.trouble) {
		rig_record("%s refuses %d%% of all calls", minion->id,
		    CASE_SHED_PERCENT);
		minion->shed_percent = CASE_SHED_PERCENT;
	}
	status = rig_call(&rig.hosts[0], "DELETE", CASE_ID, NULL, 1500, NULL);
	if (status < 200 || status >= 300)
		rig_end(RIG_NOT_RUN, "the cancel is not acknowledged");
	rig_wait(CASE_GREY_MS);
	rig_record("%s refuses nothing", minion->id);
	minion->shed_percent = 0;
	(void)rig_wait_for(case_none_runs, NULL, CASE_GONE_MS);
	n = case_running();
	if (n == 0)
		rig_end(RIG_HELD, "all tasks of the cancelled job have ended");
	rig_wait(CASE_LOOK_MS);
	rig_end(RIG_BROKEN,
	    "%u tasks of the cancelled job work on %d ms after the server "
	    "refuses nothing any more, %u still %d ms later",
	    n, CASE_GONE_MS, case_running(), CASE_LOOK_MS);
}
