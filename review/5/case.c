/*
 * The store turns away the holder of a zone and serves all other hosts. A
 * client cancels a job of two steps; it gets no answer in time, asks again and
 * is told that the job is cancelled. Then the holder loses power.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_ID "c2a0000000000001"
#define CASE_JOB                                                         \
	"{\"spec\":\"ms=4000 cpu=8000\",\"steps\":[{\"count\":2,"        \
	"\"cpu\":8000,\"mem_mb\":64,\"estimated_ms\":4000},"             \
	"{\"count\":2,\"cpu\":8000,\"mem_mb\":64,\"estimated_ms\":4000," \
	"\"after\":[0]}]}"
#define CASE_CANCEL_DEADLINE_MS 1500
#define CASE_CANCELS_MAX 4

static uint64_t case_cancelled_ms; /* acknowledged; 0: not yet */
static uint64_t case_calm_ms;	   /* end of the last impairment; 0: none */
static uint32_t case_late_starts;

static bool
case_task_runs(void *arg)
{
	(void)arg;
	return rig_find_run(CASE_ID ".0.0.0", NULL) != NULL;
}

static void
case_started(struct rig_minion *minion, const struct rig_run *run,
    const char *checkpoint)
{
	uint64_t since_ms = rig_now_ms() - case_cancelled_ms;

	(void)checkpoint;
	if (strncmp(run->task, CASE_ID, strlen(CASE_ID)) != 0 ||
	    case_cancelled_ms == 0)
		return;
	rig_record("%s starts %s %llu ms after the cancelling was acknowledged",
	    minion->id, run->task, (unsigned long long)since_ms);
	/* The host that starts it is in touch after contact_ms of calm. */
	if (since_ms > RIG_CANCEL_MS &&
	    rig_now_ms() - case_calm_ms > RIG_CONTACT_MS)
		case_late_starts++;
}

static void
case_cancel(struct rig_host *client_host)
{
	int i, status;

	for (i = 0; i < CASE_CANCELS_MAX; i++) {
		status = rig_call(client_host, "DELETE", CASE_ID, NULL,
		    CASE_CANCEL_DEADLINE_MS, NULL);
		if (status == 410 || (status >= 200 && status < 300)) {
			case_cancelled_ms = rig_now_ms();
			return;
		}
	}
	rig_end(rig.trouble ? RIG_HELD : RIG_NOT_RUN,
	    "the cancelling was never acknowledged");
}

int
main(int argc, char **argv)
{
	char state[RIG_NAME_SIZE];
	struct rig_host *holder, *other;

	rig.on_start = case_started;
	rig_start(argc, argv, false);
	rig_submit(&rig.hosts[0], CASE_ID, CASE_JOB);
	if (!rig_wait_for(case_task_runs, NULL, 5000))
		rig_end(RIG_NOT_RUN, "the task is not started");
	rig_wait(300);
	holder = rig_holder(rig.hosts[0].zone);
	if (holder == NULL)
		rig_end(RIG_NOT_RUN, "the zone has no holder");
	other = rig_other_host(holder);
	if (rig.trouble) {
		rig_record("the store turns away %s", holder->name);
		holder->store_mode = RIG_STORE_BUSY;
	}
	case_cancel(other);
	if (rig.trouble) {
		/* The store serves all hosts that are left. */
		rig_host_kill(holder);
		case_calm_ms = rig_now_ms();
	}
	rig_wait(RIG_CONTACT_MS + RIG_CANCEL_MS + 8000);
	rig_call(other, "GET", CASE_ID, NULL, 1500, state);
	if (case_late_starts > 0)
		rig_end(RIG_BROKEN,
		    "%u tasks started more than cancel_ms after the "
		    "acknowledgement; the job is %s",
		    case_late_starts, state);
	rig_end(RIG_HELD, "no task started; the job is %s", state);
}
