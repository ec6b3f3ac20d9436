/*
 * A server is cut off from the store, and not from the hosts. The tasks of a
 * lasting job work on it; at most one of them may be away.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_ID "cba0000000000001"
#define CASE_TASKS 4
#define CASE_JOB                                                      \
	"{\"spec\":\"ms=1000000000 cpu=8000\",\"long_running\":true," \
	"\"steps\":[{\"count\":4,\"cpu\":8000,\"mem_mb\":64,"         \
	"\"estimated_ms\":1000,\"may_miss\":1}]}"
#define CASE_CUT_MS 5000

static uint32_t case_stops;

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
case_reported(void *arg)
{
	struct rig_minion *minion = arg;

	return rig_now_ms() - minion->beat_ms + 100 >= RIG_HEARTBEAT_MS;
}

static void
case_on_end(struct rig_minion *minion, const struct rig_run *run,
    const char *how)
{
	(void)minion;
	if (strcmp(how, "stopped") == 0 && strncmp(run->task, CASE_ID, 16) == 0)
		case_stops++;
}

int
main(int argc, char **argv)
{
	struct rig_minion *minion = NULL;
	char task[RIG_NAME_SIZE];
	uint32_t on_minion = 0, i;

	rig_start(argc, argv, false);
	rig.on_end = case_on_end;
	rig_submit(&rig.hosts[0], CASE_ID, CASE_JOB);
	if (!rig_wait_for(case_all_run, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the tasks are not started");
	rig_wait(3000);
	if (!case_all_run(NULL))
		rig_end(RIG_NOT_RUN, "a task has ended");
	for (i = 0; i < CASE_TASKS; i++) {
		struct rig_minion *other;

		snprintf(task, sizeof(task), CASE_ID ".0.0.%u", i);
		(void)rig_find_run(task, &other);
		if (i == 0)
			minion = other;
		on_minion += other == minion;
	}
	rig_record("%u tasks work on %s", on_minion, minion->id);
	(void)rig_wait_for(case_reported, minion, RIG_HEARTBEAT_MS);
	if (rig.trouble) {
		rig_record("%s is cut off from the store", minion->id);
		minion->cut_off_store = true;
	}
	rig_wait(CASE_CUT_MS);
	minion->cut_off_store = false;
	rig_record("%s reaches the store", minion->id);
	rig_wait(12000);
	if (case_stops > 1)
		rig_end(RIG_BROKEN,
		    "%u of %d tasks at work were stopped by an order",
		    case_stops, CASE_TASKS);
	if (on_minion < 2)
		rig_end(RIG_NOT_RUN, "one task on the server");
	rig_end(RIG_HELD, "%u tasks were stopped", case_stops);
}
