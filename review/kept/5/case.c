/*
 * A minion is unhealthy: it refuses all starts. The other minions of its zone
 * are busy, so that ten jobs wait. A client asks how many haven't begun.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_BUSY_ID "c5b0000000000000"
/* Three tasks, each of which leaves no room for the other jobs. */
#define CASE_BUSY_JOB                                               \
	"{\"spec\":\"ms=12000 cpu=31000\",\"steps\":[{\"count\":3," \
	"\"cpu\":31000,\"mem_mb\":64,\"estimated_ms\":12000}]}"
#define CASE_JOBS 10
#define CASE_JOB                                                 \
	"{\"spec\":\"ms=500 cpu=3000\",\"steps\":[{\"count\":1," \
	"\"cpu\":3000,\"mem_mb\":64,\"estimated_ms\":500}]}"
/* srv_grey of the site okapi-renew: for_s. */
#define CASE_UNHEALTHY_MS 6500
/* "pending" counts jobs that were accepted this long before, and more. */
#define CASE_PENDING_AGE_MS (RIG_VISIBLE_MS + 2000)
#define CASE_ASK_INTERVAL_MS 300

static bool
case_busy(void *arg)
{
	(void)arg;
	return rig_find_run(CASE_BUSY_ID ".0.0.0", NULL) != NULL &&
	    rig_find_run(CASE_BUSY_ID ".0.0.1", NULL) != NULL &&
	    rig_find_run(CASE_BUSY_ID ".0.0.2", NULL) != NULL;
}

static void
case_job_id(char id[RIG_NAME_SIZE], unsigned number)
{
	snprintf(id, RIG_NAME_SIZE, "c5a%013x", number + 1);
}

/* Jobs of which no minion has started a task. */
static int
case_not_begun(void)
{
	char id[RIG_NAME_SIZE], task[RIG_NAME_SIZE + 8];
	unsigned i;
	int n = 0;

	for (i = 0; i < CASE_JOBS; i++) {
		case_job_id(id, i);
		snprintf(task, sizeof(task), "%s.0.0.0", id);
		n += rig_task(task)->starts == 0;
	}
	return n;
}

/* The minion of the zone that runs nothing. */
static struct rig_minion *
case_idle_minion(void)
{
	size_t i;

	for (i = 0; i < RIG_MINIONS_PER_ZONE; i++) {
		if (TAILQ_EMPTY(&rig.minions[i].running))
			return &rig.minions[i];
	}
	rig_end(RIG_NOT_RUN, "all minions of the zone are busy");
}

int
main(int argc, char **argv)
{
	struct rig_minion *minion;
	char id[RIG_NAME_SIZE];
	uint64_t since_ms, unhealthy_ms;
	int wrong = 0, asked = 0, pending, waiting;
	unsigned i;

	rig_start(argc, argv, false);
	rig_submit(&rig.hosts[0], CASE_BUSY_ID, CASE_BUSY_JOB);
	if (!rig_wait_for(case_busy, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the first job does not run");
	minion = case_idle_minion();
	unhealthy_ms = rig_now_ms();
	minion->unhealthy = rig.trouble;
	rig_record("%s is %s", minion->id, rig.trouble ? "unhealthy" : "sound");
	for (i = 0; i < CASE_JOBS; i++) {
		case_job_id(id, i);
		rig_submit(&rig.hosts[0], id, CASE_JOB);
	}
	since_ms = rig_now_ms();
	while (rig_now_ms() < unhealthy_ms + CASE_UNHEALTHY_MS) {
		rig_wait(CASE_ASK_INTERVAL_MS);
		if (rig_now_ms() < since_ms + CASE_PENDING_AGE_MS)
			continue;
		pending = rig_pending(&rig.hosts[RIG_HOSTS - 1]);
		/* Jobs that begin while the client asks are not counted. */
		waiting = case_not_begun();
		if (pending < 0)
			continue;
		asked++;
		if (2 * pending < waiting) {
			wrong++;
			rig_record("pending is %d, %d jobs have not begun",
			    pending, waiting);
		}
	}
	minion->unhealthy = false;
	rig_record("%s is sound again", minion->id);
	if (asked == 0)
		rig_end(RIG_NOT_RUN, "no answer to the client");
	if (wrong > 0)
		rig_end(RIG_BROKEN,
		    "%d of %d answers gave under half of the jobs that had not "
		    "begun",
		    wrong, asked);
	rig_end(RIG_HELD, "%d answers were right", asked);
}
