/*
 * Placement of tasks on backend servers.
 */

#include "core/place.h"

/* Lower bound of a server's speed; limits the expected times. */
#define PLACE_SPEED_PERMILLE_MIN 50
/* Margin on expected run times: declared ones differ from actual ones by 40%.
 */
#define PLACE_RUN_TIME_MARGIN_PERCENT 120

static bool
place_fits(const struct place_task *task, const struct place_server *server)
{
	return server->eligible && server->free_cpu >= (int64_t)task->cpu &&
	    server->free_mem >= (int64_t)task->mem &&
	    server->free_gpu >= (int64_t)task->gpu;
}

uint32_t
place_expected_ms(const struct place_task *task,
    const struct place_server *server)
{
	uint32_t speed = server->speed_permille < PLACE_SPEED_PERMILLE_MIN
	    ? PLACE_SPEED_PERMILLE_MIN
	    : server->speed_permille;
	uint64_t work_ms = task->work_ms;

	if (!server->data_local)
		work_ms = work_ms * task->far_permille / PLACE_SPEED_NOMINAL;
	return (uint32_t)(work_ms * PLACE_SPEED_NOMINAL / speed);
}

/* Free CPU beside the task that no typical task could use, in thousandths of a
 * core. */
static int64_t
place_unusable_cpu(const struct place_task *task,
    const struct place_server *server)
{
	int64_t remaining_cpu = server->free_cpu - (int64_t)task->cpu;

	if (task->typical_cpu == 0)
		return remaining_cpu;
	return remaining_cpu % (int64_t)task->typical_cpu;
}

struct place_score {
	bool in_time;
	uint32_t expected_ms;
	int64_t unusable_cpu;
};

static bool
place_score_better(const struct place_score *a, const struct place_score *b)
{
	if (a->in_time != b->in_time)
		return a->in_time;
	if (!a->in_time)
		return a->expected_ms < b->expected_ms;
	if (a->expected_ms != b->expected_ms)
		return a->expected_ms > b->expected_ms;
	return a->unusable_cpu < b->unusable_cpu;
}

int
place_choose(const struct place_server *servers, size_t nservers,
    const struct place_task *task)
{
	struct place_score score, best_score = { 0 };
	int best = -1;
	size_t i;

	for (i = 0; i < nservers; i++) {
		if (!place_fits(task, &servers[i]))
			continue;
		score.expected_ms = place_expected_ms(task, &servers[i]);
		score.in_time = (int64_t)score.expected_ms *
			PLACE_RUN_TIME_MARGIN_PERCENT / 100 <=
		    task->remaining_ms;
		score.unusable_cpu = place_unusable_cpu(task, &servers[i]);
		if (best >= 0 && !place_score_better(&score, &best_score))
			continue;
		best = (int)i;
		best_score = score;
	}
	return best;
}
