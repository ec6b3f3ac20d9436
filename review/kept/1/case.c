/*
 * The holder of a zone is cut off from the store and from all other hosts, and
 * still reaches the minions. One of them does not hear the other host of the
 * zone. A task of a stored job works on that minion.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_ID "c1a0000000000001"
#define CASE_TASK CASE_ID ".0.0.0"
#define CASE_JOB                                                  \
	"{\"spec\":\"ms=7000 cpu=8000\",\"steps\":[{\"count\":1," \
	"\"cpu\":8000,\"mem_mb\":64,\"estimated_ms\":7000}]}"
#define CASE_HOST_CUT_MS 5500
#define CASE_MINION_CUT_MS 5000

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
	struct rig_host *holder;
	char state[RIG_NAME_SIZE];

	rig_start(argc, argv, true);
	rig_submit(&rig.hosts[0], CASE_ID, CASE_JOB);
	if (!rig_wait_for(case_task_runs, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the task is not started");
	rig_wait(500);
	holder = rig_holder(rig.hosts[0].zone);
	if (holder == NULL || rig_find_run(CASE_TASK, &minion) == NULL)
		rig_end(RIG_NOT_RUN, "no holder, or the task has ended");
	rig_record("%s holds the zone, %s runs the task", holder->name,
	    minion->id);
	if (rig.trouble) {
		rig_record("the partition begins");
		proxy_cut(holder);
		holder->store_mode = RIG_STORE_SILENT;
		minion->cut_above_token = minion->token;
	}
	rig_wait(CASE_MINION_CUT_MS);
	minion->cut_above_token = 0;
	rig_wait(CASE_HOST_CUT_MS - CASE_MINION_CUT_MS);
	if (rig.trouble) {
		rig_record("the partition ends");
		proxy_heal(holder);
		holder->store_mode = RIG_STORE_OK;
	}
	(void)rig_wait_for(case_task_is_done, NULL, 20000);
	rig_wait(1000);
	rig_call(rig_other_host(holder), "GET", CASE_ID, NULL, 1500, state);
	if (rig.twice > 0)
		rig_end(RIG_BROKEN, "a task had two runs at the same time");
	if (!rig.trouble && strcmp(state, "completed") != 0)
		rig_end(RIG_NOT_RUN, "without the disruption the job is %s",
		    state);
	rig_end(RIG_HELD, "one run at a time; the job is %s", state);
}
