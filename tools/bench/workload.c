/*
 * The workload: seeded open-loop arrivals, sizes and run times, and the time
 * that each job would need on idle, ideally chosen backend servers.
 */

#include <err.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

#define BWL_SHORT_MS 50	 /* most tasks last from this */
#define BWL_LONG_MS 1000 /* to this, spread evenly over the logarithm */
#define BWL_TAIL_SHARE 0.02
#define BWL_TAIL_MS 4000 /* a few last up to that */
#define BWL_SMALL_TASKS 12
#define BWL_LARGE_TASKS 50
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
	return (double)(bwl_random(state) >> 11) / 9007199254740992.0;
}

static uint16_t
bwl_task_ms(uint64_t *state)
{
	double u = bwl_uniform(state);

	if (u < BWL_TAIL_SHARE)
		return (uint16_t)(BWL_LONG_MS +
		    bwl_uniform(state) * (BWL_TAIL_MS - BWL_LONG_MS));
	return (uint16_t)(BWL_SHORT_MS *
	    pow((double)BWL_LONG_MS / BWL_SHORT_MS, bwl_uniform(state)));
}

static double
bwl_mean_task_ms(void)
{
	double body = (BWL_LONG_MS - BWL_SHORT_MS) /
	    log((double)BWL_LONG_MS / BWL_SHORT_MS);

	return (1 - BWL_TAIL_SHARE) * body +
	    BWL_TAIL_SHARE * (BWL_LONG_MS + BWL_TAIL_MS) / 2;
}

static int
bwl_ntasks(const struct bench_mix *mix, struct bench_job *job, uint64_t *state)
{
	double u = bwl_uniform(state);

	job->single = u < mix->singles;
	job->large = u >= 1 - mix->larges;
	if (job->single)
		return 1;
	if (job->large)
		return BWL_LARGE_TASKS +
		    (int)(bwl_random(state) %
			(JOB_TASKS_MAX - BWL_LARGE_TASKS + 1));
	return 2 + (int)(bwl_random(state) % (BWL_SMALL_TASKS - 1));
}

static double
bwl_mean_ntasks(const struct bench_mix *mix)
{
	return mix->singles +
	    mix->larges * (BWL_LARGE_TASKS + JOB_TASKS_MAX) / 2.0 +
	    (1 - mix->singles - mix->larges) * (2 + BWL_SMALL_TASKS) / 2.0;
}

double
bwl_capacity_ms(const struct bench_cluster *cluster)
{
	double sum = 0;
	int i;

	for (i = 0; i < cluster->shape.nservers; i++)
		sum += cluster->speeds[i] * cluster->shape.slots * 10.0;
	return sum;
}

static int
bwl_descending(const void *a, const void *b)
{
	return *(const uint16_t *)b - *(const uint16_t *)a;
}

/*
 * Longest task first, each onto the slot of one availability zone that ends it
 * soonest, all slots being free. Zones are alike, so the first one stands for
 * all.
 */
static uint64_t
bwl_ideal_us(const struct bench_cluster *cluster, const struct bench_job *job)
{
	const struct bench_shape *shape = &cluster->shape;
	/* When each slot is free again, in ms. */
	static double slot[BENCH_SERVERS_MAX][BWL_SLOTS_MAX];
	double best, end, last = 0;
	uint16_t ms[JOB_TASKS_MAX];
	int i, s, k, best_server, best_slot;

	memcpy(ms, job->ms, (size_t)job->ntasks * sizeof(*ms));
	qsort(ms, (size_t)job->ntasks, sizeof(*ms), bwl_descending);
	memset(slot, 0, sizeof(slot));
	for (i = 0; i < job->ntasks; i++) {
		best = INFINITY;
		best_server = best_slot = 0;
		for (s = 0; s < shape->nservers; s += shape->nzones) {
			for (k = 0; k < shape->slots && k < BWL_SLOTS_MAX;
			     k++) {
				end = slot[s][k] +
				    floor(ms[i] * 100.0 / cluster->speeds[s]);
				if (end < best) {
					best = end;
					best_server = s;
					best_slot = k;
				}
			}
		}
		slot[best_server][best_slot] = best;
		if (best > last)
			last = best;
	}
	return (uint64_t)(last * 1000);
}

static void
bwl_job(struct bench_job *job, const struct bench_cluster *cluster,
    const struct bench_mix *mix, uint64_t *state)
{
	double sum = 0, factor;
	int i;

	job->ntasks = bwl_ntasks(mix, job, state);
	job->ms = calloc((size_t)job->ntasks, sizeof(*job->ms));
	if (job->ms == NULL)
		err(1, "calloc");
	for (i = 0; i < job->ntasks; i++) {
		job->ms[i] = bwl_task_ms(state);
		sum += job->ms[i];
	}
	job->work_ms = (uint32_t)sum;
	factor = 1;
	if (mix->declared_error > 1)
		factor = bwl_uniform(state) < 0.5 ? mix->declared_error
						  : 1.0 / mix->declared_error;
	job->declared_ms = (uint32_t)(sum / job->ntasks * factor) + 1;
	job->impossible = bwl_uniform(state) < mix->impossible;
	if (job->impossible)
		job->single = false;
	job->ideal_us = bwl_ideal_us(cluster, job);
}

void
bwl_generate(struct bench_load *load, const struct bench_cluster *cluster,
    const struct bench_mix *mix, const struct bench_phase *phases,
    uint64_t seed)
{
	double per_s = bwl_capacity_ms(cluster) /
	    (bwl_mean_ntasks(mix) * bwl_mean_task_ms());
	uint64_t state = seed;
	double at_s = 0;
	int allocated = 0;
	struct bench_job *job;

	memset(load, 0, sizeof(*load));
	for (;;) {
		while (phases->until_s != 0 && at_s >= phases->until_s)
			phases++;
		if (phases->until_s == 0)
			break;
		at_s -= log(1 - bwl_uniform(&state)) / (per_s * phases->load);
		if (load->njobs == allocated) {
			allocated = allocated != 0 ? 2 * allocated : 256;
			load->jobs = reallocarray(load->jobs, (size_t)allocated,
			    sizeof(*load->jobs));
			if (load->jobs == NULL)
				err(1, "reallocarray");
		}
		job = &load->jobs[load->njobs];
		memset(job, 0, sizeof(*job));
		job->number = load->njobs++;
		job->due_us = (uint64_t)(at_s * 1e6);
		bwl_job(job, cluster, mix, &state);
	}
}

void
bwl_release(struct bench_load *load)
{
	int i;

	for (i = 0; i < load->njobs; i++)
		free(load->jobs[i].ms);
	free(load->jobs);
	load->jobs = NULL;
	load->njobs = 0;
}
