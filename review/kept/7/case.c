/*
 * The store is slow while the holder of a zone is stopped as planned. The tasks
 * of a lasting job work on; at most one of them may be away.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_ID "caa0000000000001"
#define CASE_TASKS 4
#define CASE_JOB                                                      \
	"{\"spec\":\"ms=1000000000 cpu=8000\",\"long_running\":true," \
	"\"steps\":[{\"count\":4,\"cpu\":8000,\"mem_mb\":64,"         \
	"\"estimated_ms\":1000,\"may_miss\":1}]}"
#define CASE_SLOW_MS 4500

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

static void
case_set_store(enum rig_store_mode mode)
{
	size_t i;

	for (i = 0; i < RIG_HOSTS; i++)
		rig.hosts[i].store_mode = mode;
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
	struct rig_host *holder;
	uint32_t starts = 0, i;
	char task[RIG_NAME_SIZE];

	rig_start(argc, argv, false);
	rig.on_end = case_on_end;
	rig_submit(&rig.hosts[0], CASE_ID, CASE_JOB);
	if (!rig_wait_for(case_all_run, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the tasks are not started");
	rig_wait(3000);
	holder = rig_holder(rig.hosts[0].zone);
	if (holder == NULL || !case_all_run(NULL))
		rig_end(RIG_NOT_RUN, "no holder, or a task has ended");
	if (rig.trouble) {
		rig_record("the store is slow");
		case_set_store(RIG_STORE_SLOW);
	}
	rig_wait(500);
	rig_host_term(holder);
	rig_wait(CASE_SLOW_MS - 500);
	case_set_store(RIG_STORE_OK);
	rig_record("the store is as usual");
	if (!rig_wait_for(case_all_run, NULL, 10000))
		rig_end(RIG_BROKEN, "the tasks are not started again");
	rig_wait(2000);
	for (i = 0; i < CASE_TASKS; i++) {
		snprintf(task, sizeof(task), CASE_ID ".0.0.%u", i);
		starts += rig_task(task)->starts;
	}
	if (case_stops > 1)
		rig_end(RIG_BROKEN,
		    "%u of %d tasks at work were stopped by an order",
		    case_stops, CASE_TASKS);
	rig_end(RIG_HELD, "%u tasks were stopped, %u starts", case_stops,
	    starts);
}
