/*
 * Jobs are accepted in a zone, which is then lost for good: both of its entry
 * hosts, and its minions. The other two zones are untouched and nearly idle.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_JOBS 4
#define CASE_TASKS 2 /* of each job */
#define CASE_JOB                                                  \
	"{\"spec\":\"ms=1500 cpu=8000\",\"steps\":[{\"count\":2," \
	"\"cpu\":8000,\"mem_mb\":64,\"estimated_ms\":1500}]}"
#define CASE_ASKED_INTERVAL_MS 5000
#define CASE_NOTHING_RUNS_MS 3000
#define CASE_SAMPLE_MS 20

/* Number of tasks that are at work. */
static uint32_t
case_running(void)
{
	char task[2 * RIG_NAME_SIZE];
	uint32_t n, running = 0;
	int i;

	for (n = 0; n < CASE_JOBS; n++) {
		for (i = 0; i < CASE_TASKS; i++) {
			snprintf(task, sizeof(task), "c3a000000000000%u.0.0.%d",
			    n, i);
			running += rig_find_run(task, NULL) != NULL;
		}
	}
	return running;
}

int
main(int argc, char **argv)
{
	char id[RIG_NAME_SIZE], state[RIG_NAME_SIZE];
	uint32_t completed = 0, running = 0, n;
	uint64_t until_ms;
	size_t i;

	rig_start(argc, argv, false);
	for (n = 0; n < CASE_JOBS; n++) {
		snprintf(id, sizeof(id), "c3a000000000000%u", n);
		rig_submit(&rig.hosts[n % RIG_HOSTS_PER_ZONE], id, CASE_JOB);
	}
	if (rig.trouble) {
		rig_record("%s is lost", rig.hosts[0].zone);
		for (i = 0; i < RIG_HOSTS_PER_ZONE; i++)
			rig_host_kill(&rig.hosts[i]);
		for (i = 0; i < RIG_MINIONS_PER_ZONE; i++)
			minion_crash(&rig.minions[i]);
	}
	/* finish_s, and as long again for the loss to be noticed. */
	for (i = 0; i < 2 * RIG_FINISH_MS / CASE_ASKED_INTERVAL_MS; i++) {
		rig_wait(CASE_ASKED_INTERVAL_MS);
		rig_call(&rig.hosts[RIG_HOSTS_PER_ZONE], "GET",
		    "c3a0000000000000", NULL, 1500, NULL);
	}
	until_ms = rig_now_ms() + CASE_NOTHING_RUNS_MS;
	while (rig_now_ms() < until_ms) {
		rig_wait(CASE_SAMPLE_MS);
		running += case_running();
	}
	for (n = 0; n < CASE_JOBS; n++) {
		snprintf(id, sizeof(id), "c3a000000000000%u", n);
		rig_call(&rig.hosts[RIG_HOSTS - 1], "GET", id, NULL, 1500,
		    state);
		completed += strcmp(state, "completed") == 0;
	}
	if (completed < CASE_JOBS && running == 0)
		rig_end(RIG_BROKEN,
		    "%u of %d accepted jobs are completed, the others have "
		    "had nothing running for 3 s",
		    completed, CASE_JOBS);
	if (completed < CASE_JOBS)
		rig_end(rig.trouble ? RIG_HELD : RIG_NOT_RUN,
		    "%u jobs are completed, others run", completed);
	rig_end(RIG_HELD, "all accepted jobs are completed");
}
