/*
 * The workload: open-loop arrivals, job sizes and run times from a seed, and
 * the ideal response time of each job on idle, optimally selected backend
 * servers. The same parameters and seed give the same workload.
 */

#include <err.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

#define BWL_TYPICAL_MIN_MS 50	/* most run times are log-uniform */
#define BWL_TYPICAL_MAX_MS 1000 /* between these limits */
#define BWL_TAIL_SHARE 0.02	/* share of tasks with a longer run time */
#define BWL_TAIL_MAX_MS 4000	/* longer run times are uniform up to this */
#define BWL_SMALL_TASKS_MAX 12
#define BWL_LARGE_TASKS_MIN 50
#define BWL_SLOTS_MAX 64

uint64_t
bwl_random(uint64_t *state)
{
	/* splitmix64 */
	uint64_t z = (*state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ z >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ z >> 27) * UINT64_C(0x94d049bb133111eb);
	return z ^ z >> 31;
}

double
bwl_uniform(uint64_t *state)
{
	return (double)(bwl_random(state) >> 11) /
	    9007199254740992.0; /* 2^53 */
}

static uint16_t
bwl_task_ms(uint64_t *state)
{
	double u = bwl_uniform(state);

	if (u < BWL_TAIL_SHARE)
		return (uint16_t)(BWL_TYPICAL_MAX_MS +
		    bwl_uniform(state) *
			(BWL_TAIL_MAX_MS - BWL_TYPICAL_MAX_MS));
	return (uint16_t)(BWL_TYPICAL_MIN_MS *
	    pow((double)BWL_TYPICAL_MAX_MS / BWL_TYPICAL_MIN_MS,
		bwl_uniform(state)));
}

static double
bwl_mean_task_ms(void)
{
	double typical_mean_ms = (BWL_TYPICAL_MAX_MS - BWL_TYPICAL_MIN_MS) /
	    log((double)BWL_TYPICAL_MAX_MS / BWL_TYPICAL_MIN_MS);

	return (1 - BWL_TAIL_SHARE) * typical_mean_ms +
	    BWL_TAIL_SHARE * (BWL_TYPICAL_MAX_MS + BWL_TAIL_MAX_MS) / 2;
}

static int
bwl_ntasks(const struct bench_mix *mix, struct bench_job *job, uint64_t *state)
{
	double u = bwl_uniform(state);

	job->single = u < mix->single_share;
	job->large = u >= 1 - mix->large_share;
	if (job->single)
		return 1;
	if (job->large)
		return BWL_LARGE_TASKS_MIN +
		    (int)(bwl_random(state) %
			(JOB_TASKS_MAX - BWL_LARGE_TASKS_MIN + 1));
	return 2 + (int)(bwl_random(state) % (BWL_SMALL_TASKS_MAX - 1));
}

static double
bwl_mean_ntasks(const struct bench_mix *mix)
{
	return mix->single_share +
	    mix->large_share * (BWL_LARGE_TASKS_MIN + JOB_TASKS_MAX) / 2.0 +
	    (1 - mix->single_share - mix->large_share) *
	    (2 + BWL_SMALL_TASKS_MAX) / 2.0;
}

double
bwl_capacity_ms(const struct bench_cluster *cluster)
{
	double sum = 0;
	int i;

	for (i = 0; i < cluster->params.nservers; i++)
		sum += cluster->speeds[i] * cluster->params.slots * 10.0;
	return sum;
}

static int
bwl_compare_descending(const void *a, const void *b)
{
	return *(const uint16_t *)b - *(const uint16_t *)a;
}

/*
 * Ideal response time: places the longest task first, each on the slot that
 * completes it earliest, with all slots free at the start. Only the slots of
 * the first availability zone are used, because all zones are alike.
 */
static uint64_t
bwl_ideal_us(const struct bench_cluster *cluster, const struct bench_job *job)
{
	const struct bench_cluster_params *params = &cluster->params;
	static double slot_free_ms[BENCH_SERVERS_MAX][BWL_SLOTS_MAX];
	double best_end_ms, end_ms, last_end_ms = 0;
	uint16_t ms[JOB_TASKS_MAX];
	int i, s, k, best_server, best_slot;

	memcpy(ms, job->task_ms, (size_t)job->ntasks * sizeof(*ms));
	qsort(ms, (size_t)job->ntasks, sizeof(*ms), bwl_compare_descending);
	memset(slot_free_ms, 0, sizeof(slot_free_ms));
	for (i = 0; i < job->ntasks; i++) {
		best_end_ms = INFINITY;
		best_server = best_slot = 0;
		for (s = 0; s < params->nservers; s += params->nzones) {
			for (k = 0; k < params->slots && k < BWL_SLOTS_MAX;
			     k++) {
				end_ms = slot_free_ms[s][k] +
				    floor(ms[i] * 100.0 / cluster->speeds[s]);
				if (end_ms < best_end_ms) {
					best_end_ms = end_ms;
					best_server = s;
					best_slot = k;
				}
			}
		}
		slot_free_ms[best_server][best_slot] = best_end_ms;
		if (best_end_ms > last_end_ms)
			last_end_ms = best_end_ms;
	}
	return (uint64_t)(last_end_ms * 1000);
}

static void
bwl_generate_job(struct bench_job *job, const struct bench_cluster *cluster,
    const struct bench_mix *mix, uint64_t *state)
{
	double sum = 0, error_factor;
	int i;

	job->ntasks = bwl_ntasks(mix, job, state);
	job->task_ms = calloc((size_t)job->ntasks, sizeof(*job->task_ms));
	if (job->task_ms == NULL)
		err(1, "calloc");
	for (i = 0; i < job->ntasks; i++) {
		job->task_ms[i] = bwl_task_ms(state);
		sum += job->task_ms[i];
	}
	job->work_ms = (uint32_t)sum;
	error_factor = 1;
	if (mix->declared_error_factor > 1)
		error_factor = bwl_uniform(state) < 0.5
		    ? mix->declared_error_factor
		    : 1.0 / mix->declared_error_factor;
	job->declared_ms = (uint32_t)(sum / job->ntasks * error_factor) + 1;
	job->impossible = bwl_uniform(state) < mix->impossible_share;
	if (job->impossible)
		job->single = false;
	job->ideal_us = bwl_ideal_us(cluster, job);
}

void
bwl_generate(struct bench_workload *workload,
    const struct bench_cluster *cluster, const struct bench_mix *mix,
    const struct bench_phase *phases, uint64_t seed)
{
	double capacity_jobs_per_s = bwl_capacity_ms(cluster) /
	    (bwl_mean_ntasks(mix) * bwl_mean_task_ms());
	uint64_t state = seed;
	double arrival_s = 0;
	int allocated = 0;
	struct bench_job *job;

	memset(workload, 0, sizeof(*workload));
	for (;;) {
		while (phases->end_s != 0 && arrival_s >= phases->end_s)
			phases++;
		if (phases->end_s == 0)
			break;
		arrival_s -= log(1 - bwl_uniform(&state)) /
		    (capacity_jobs_per_s * phases->offered_load);
		if (workload->njobs == allocated) {
			allocated = allocated != 0 ? 2 * allocated : 256;
			workload->jobs = reallocarray(workload->jobs,
			    (size_t)allocated, sizeof(*workload->jobs));
			if (workload->jobs == NULL)
				err(1, "reallocarray");
		}
		job = &workload->jobs[workload->njobs];
		memset(job, 0, sizeof(*job));
		job->index = workload->njobs++;
		job->arrival_us = (uint64_t)(arrival_s * 1e6);
		bwl_generate_job(job, cluster, mix, &state);
	}
}

void
bwl_release(struct bench_workload *workload)
{
	int i;

	for (i = 0; i < workload->njobs; i++)
		free(workload->jobs[i].task_ms);
	free(workload->jobs);
	workload->jobs = NULL;
	workload->njobs = 0;
}
