/*
 * A server fails all that it starts, for some seconds; a lasting task works on
 * it all the while. Later a job is accepted that only this server may run.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_LASTING_ID "c8a0000000000001"
#define CASE_LASTING_TASK CASE_LASTING_ID ".0.0.0"
#define CASE_LASTING_JOB                                              \
	"{\"spec\":\"ms=1000000000 cpu=2000\",\"long_running\":true," \
	"\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":64,"         \
	"\"estimated_ms\":1000,\"requirements\":\"b\"}]}"
#define CASE_SPREAD_JOBS 8
#define CASE_SPREAD_JOB                                          \
	"{\"spec\":\"ms=100 cpu=2000\",\"steps\":[{\"count\":4," \
	"\"cpu\":2000,\"mem_mb\":64,\"estimated_ms\":100,"       \
	"\"anti_affinity\":1}]}"
#define CASE_ID "c8a0000000000002"
#define CASE_TASK CASE_ID ".0.0.0"
#define CASE_JOB                                                 \
	"{\"spec\":\"ms=500 cpu=4000\",\"steps\":[{\"count\":1," \
	"\"cpu\":4000,\"mem_mb\":64,\"estimated_ms\":500,"       \
	"\"requirements\":\"b\"}]}"
#define CASE_GREY_MS 6500
#define CASE_SETTLE_MS 12000
#define CASE_LOOK_MS 3000

static bool
case_lasting_runs(void *arg)
{
	(void)arg;
	return rig_find_run(CASE_LASTING_TASK, NULL) != NULL;
}

static bool
case_task_starts(void *arg)
{
	(void)arg;
	return rig_task(CASE_TASK)->starts > 0;
}

int
main(int argc, char **argv)
{
	char id[RIG_NAME_SIZE], state[RIG_NAME_SIZE];
	struct rig_minion *minion;
	uint64_t end_ms;
	uint32_t i;

	/* One rack of three has machines of kind "b". */
	rig.minions[3].kind = "b";
	rig_start(argc, argv, false);
	rig_submit(&rig.hosts[0], CASE_LASTING_ID, CASE_LASTING_JOB);
	if (!rig_wait_for(case_lasting_runs, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the lasting task is not started");
	rig_wait(1000);
	if (rig_find_run(CASE_LASTING_TASK, &minion) == NULL)
		rig_end(RIG_NOT_RUN, "the lasting task does not run");
	end_ms = rig_now_ms() + CASE_GREY_MS;
	if (rig.trouble) {
		rig_record("%s fails all that it starts", minion->id);
		minion->fails_runs = true;
	}
	for (i = 0; i < CASE_SPREAD_JOBS; i++) {
		snprintf(id, sizeof(id), "c8b00000000000%02x", i);
		rig_submit(&rig.hosts[0], id, CASE_SPREAD_JOB);
		rig_wait(500);
	}
	if (rig_now_ms() < end_ms)
		rig_wait(end_ms - rig_now_ms());
	minion->fails_runs = false;
	rig_record("%s fails nothing", minion->id);
	rig_wait(CASE_SETTLE_MS);
	rig_submit(&rig.hosts[0], CASE_ID, CASE_JOB);
	/* What is asked finish_s after the end of the traffic. */
	(void)rig_wait_for(case_task_starts, NULL, RIG_FINISH_MS);
	rig_call(&rig.hosts[0], "GET", CASE_ID, NULL, 1500, state);
	if (!case_task_starts(NULL) &&
	    !rig_wait_for(case_task_starts, NULL, CASE_LOOK_MS)) {
		rig_call(&rig.hosts[1], "GET", CASE_ID, NULL, 1500, state);
		rig_end(RIG_BROKEN,
		    "nothing of the job has run %d ms after it was accepted, "
		    "with 30 of the 32 cores of its server free; it is %s",
		    RIG_FINISH_MS + CASE_LOOK_MS, state);
	}
	rig_end(RIG_HELD, "the job has run; it was %s", state);
}
