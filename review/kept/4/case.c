/*
 * A minion crashes and starts again under its id and at its address, as one of
 * another kind. A client submits small jobs that require the former kind.
 */

#include <stdio.h>
#include <string.h>

#include "review/rig/rig.h"

#define CASE_ID_PREFIX "c4a0"
#define CASE_JOB                                               \
	"{\"spec\":\"ms=400 cpu=4000\",\"best_effort\":true,"  \
	"\"steps\":[{\"count\":28,\"cpu\":4000,\"mem_mb\":64," \
	"\"estimated_ms\":400,\"requirements\":\"a\"}]}"
#define CASE_ROUNDS 3
#define CASE_JOBS 3 /* after each start */
#define CASE_DOWN_MS 2000

static uint32_t case_wrong_kind;
static uint32_t case_next;

static void
case_started(struct rig_minion *minion, const struct rig_run *run,
    const char *checkpoint)
{
	(void)checkpoint;
	if (strncmp(run->task, CASE_ID_PREFIX, strlen(CASE_ID_PREFIX)) != 0 ||
	    strcmp(minion->kind, "a") == 0)
		return;
	case_wrong_kind++;
	rig_record("%s, of kind %s, starts %s, which requires a", minion->id,
	    minion->kind, run->task);
}

static void
case_submit(void)
{
	char id[RIG_NAME_SIZE];

	snprintf(id, sizeof(id), CASE_ID_PREFIX "%012x", case_next++);
	rig_call(&rig.hosts[0], "POST", id, CASE_JOB, 1500, NULL);
}

/* The minion crashes and starts again. */
static void
case_restart(struct rig_minion *minion, const char *kind)
{
	if (!rig.trouble)
		return;
	minion_crash(minion);
	rig_wait(CASE_DOWN_MS);
	minion->kind = kind;
	minion_start(minion);
}

static void
case_submit_jobs(void)
{
	int i;

	for (i = 0; i < CASE_JOBS; i++)
		case_submit();
}

int
main(int argc, char **argv)
{
	struct rig_minion *minion = &rig.minions[0];
	uint32_t before, rounds = 0;
	int i;

	rig.on_start = case_started;
	rig_start(argc, argv, false);
	case_submit_jobs();
	for (i = 0; i < CASE_ROUNDS; i++) {
		before = case_wrong_kind;
		case_restart(minion, "b");
		case_submit_jobs();
		rounds += case_wrong_kind > before;
		case_restart(minion, "a");
		case_submit_jobs();
	}
	if (case_wrong_kind > 0)
		rig_end(RIG_BROKEN,
		    "%u tasks started on a minion without the label that they "
		    "require, after %u of %d restarts",
		    case_wrong_kind, rounds, CASE_ROUNDS);
	rig_end(RIG_HELD, "all tasks started on minions with the label");
}
