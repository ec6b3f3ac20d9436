/*
 * One server goes down and up by turns. A stored job has its only task on it,
 * as the other servers of the zone are full. No run of the task fails.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_FULL_ID "c5a0000000000001"
#define CASE_FULL_JOB                                                  \
	"{\"spec\":\"ms=1000000000 cpu=32000\",\"long_running\":true," \
	"\"steps\":[{\"count\":3,\"cpu\":32000,\"mem_mb\":64,"         \
	"\"estimated_ms\":1000,\"checkpointing\":true}]}"
#define CASE_ID "c5a0000000000002"
#define CASE_TASK CASE_ID ".0.0.0"
#define CASE_JOB                                                   \
	"{\"spec\":\"ms=12000 cpu=8000\",\"steps\":[{\"count\":1," \
	"\"cpu\":8000,\"mem_mb\":64,\"estimated_ms\":12000,"       \
	"\"checkpointing\":true}]}"
#define CASE_FLAP_MS 5000
#define CASE_GAP_MS 1400

static bool
case_full(void *arg)
{
	(void)arg;
	return rig_find_run(CASE_FULL_ID ".0.0.0", NULL) != NULL &&
	    rig_find_run(CASE_FULL_ID ".0.0.1", NULL) != NULL &&
	    rig_find_run(CASE_FULL_ID ".0.0.2", NULL) != NULL;
}

static bool
case_task_runs(void *arg)
{
	(void)arg;
	return rig_find_run(CASE_TASK, NULL) != NULL;
}

static bool
case_task_is_done(void *arg)
{
	(void)arg;
	return rig_task(CASE_TASK)->done > 0;
}

int
main(int argc, char **argv)
{
	struct rig_minion *minion;
	char state[RIG_NAME_SIZE];
	uint64_t end_ms;

	rig.checkpoint_ms = 1000;
	rig_start(argc, argv, false);
	rig_submit(&rig.hosts[0], CASE_FULL_ID, CASE_FULL_JOB);
	if (!rig_wait_for(case_full, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the servers are not full");
	rig_submit(&rig.hosts[0], CASE_ID, CASE_JOB);
	if (!rig_wait_for(case_task_runs, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the task is not started");
	rig_wait(500);
	if (rig_find_run(CASE_TASK, &minion) == NULL)
		rig_end(RIG_NOT_RUN, "the task does not run");
	end_ms = rig_now_ms() + CASE_FLAP_MS;
	while (rig.trouble && rig_now_ms() < end_ms) {
		minion_crash(minion);
		rig_wait(CASE_GAP_MS);
		minion_start(minion);
		rig_wait(CASE_GAP_MS);
	}
	(void)rig_wait_for(case_task_is_done, NULL, 30000);
	rig_wait(1500);
	rig_call(&rig.hosts[0], "GET", CASE_ID, NULL, 1500, state);
	if (strcmp(state, "failed") == 0 && rig_task(CASE_TASK)->failed == 0)
		rig_end(RIG_BROKEN,
		    "the job is shown as failed; none of its %u runs has ended "
		    "so",
		    rig_task(CASE_TASK)->starts);
	if (strcmp(state, "completed") != 0)
		rig_end(RIG_NOT_RUN, "the job is %s", state);
	rig_end(RIG_HELD, "the job is completed");
}
