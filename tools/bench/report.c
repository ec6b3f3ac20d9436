/*
 * The table: every case, each policy beside the other, over all seeds.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

/* Of one figure over the seeds. */
struct brp_spread {
	double sum, min, max;
	int n;
};

/* One case under one policy. */
struct brp_row {
	struct brp_spread mean, p50, p90, p99, goodput, throughput, wasted,
	    client;
	int ends[BENCH_NENDS];
	int jobs, settled_jobs, settled_failed, duplicates, broken;
};

static const char *const brp_ends[] = { "complete", "not_run", "task_failed",
	"unknown", "lost", "cancelled" };

static void
brp_add(struct brp_spread *spread, double value)
{
	if (spread->n == 0 || value < spread->min)
		spread->min = value;
	if (spread->n == 0 || value > spread->max)
		spread->max = value;
	spread->sum += value;
	spread->n++;
}

static double
brp_mean(const struct brp_spread *spread)
{
	return spread->n > 0 ? spread->sum / spread->n : 0;
}

static double
brp_number(const json_t *json, const char *outer, const char *inner)
{
	return json_number_value(
	    json_object_get(json_object_get(json, outer), inner));
}

static void
brp_row_add(struct brp_row *row, const json_t *run)
{
	static const char *const bad[] = { "task_failed", "unknown", "lost" };
	size_t i;

	brp_add(&row->mean, brp_number(run, "ratio", "mean"));
	brp_add(&row->p50, brp_number(run, "ratio", "p50"));
	brp_add(&row->p90, brp_number(run, "ratio", "p90"));
	brp_add(&row->p99, brp_number(run, "ratio", "p99"));
	brp_add(&row->wasted, brp_number(run, "wasted", "per_job"));
	brp_add(&row->client, brp_number(run, "wasted", "client_per_job"));
	brp_add(&row->goodput,
	    json_number_value(json_object_get(run, "goodput")));
	brp_add(&row->throughput,
	    json_number_value(json_object_get(run, "throughput")));
	for (i = 0; i < sizeof(brp_ends) / sizeof(brp_ends[0]); i++) {
		row->ends[i] += (int)brp_number(run, "ends", brp_ends[i]);
		row->settled_jobs +=
		    (int)brp_number(run, "settled_ends", brp_ends[i]);
	}
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		row->settled_failed +=
		    (int)brp_number(run, "settled_ends", bad[i]);
	row->jobs += (int)json_integer_value(json_object_get(run, "jobs"));
	row->duplicates +=
	    (int)json_integer_value(json_object_get(run, "duplicates"));
	row->broken += (int)json_integer_value(json_object_get(run, "broken"));
}

static void
brp_row_print(FILE *out, const char *what, const char *policy,
    const struct brp_row *row, const struct brp_row *naive)
{
	double excess = brp_mean(&naive->mean) - 1;

	(void)fprintf(out,
	    "| %s | %s | %.2f (%.2f–%.2f) | %.2f | %.2f | %.2f | ", what,
	    policy, brp_mean(&row->mean), row->mean.min, row->mean.max,
	    brp_mean(&row->p50), brp_mean(&row->p90), brp_mean(&row->p99));
	if (row != naive && naive->mean.n > 0 && excess > 0)
		(void)fprintf(out, "%.2f", (brp_mean(&row->mean) - 1) / excess);
	(void)fprintf(out,
	    " | %.3f (%.3f–%.3f) | %.3f | %.2f | %.2f | %d | %d | %d | %d | %d "
	    "| %d "
	    "| %.2f %% |",
	    brp_mean(&row->wasted), row->wasted.min, row->wasted.max,
	    brp_mean(&row->client), brp_mean(&row->goodput),
	    brp_mean(&row->throughput), row->jobs, row->ends[1], row->ends[2],
	    row->ends[3], row->ends[4], row->ends[5],
	    row->settled_jobs > 0
		? 100.0 * row->settled_failed / row->settled_jobs
		: 0);
	if (row->duplicates > 0 || row->broken > 0)
		(void)fprintf(out, " **%d double starts, %d broken answers**",
		    row->duplicates, row->broken);
	(void)fprintf(out, "\n");
}

static void
brp_collect(struct brp_row *row, json_t *runs, const char *name,
    const char *policy)
{
	json_t *run;
	size_t i;

	memset(row, 0, sizeof(*row));
	json_array_foreach (runs, i, run) {
		if (strcmp(json_string_value(json_object_get(run, "case")),
			name) == 0 &&
		    strcmp(json_string_value(json_object_get(run, "policy")),
			policy) == 0)
			brp_row_add(row, run);
	}
}

static void
brp_print(FILE *out, json_t *runs, const struct bench_options *options)
{
	struct brp_row row, naive;
	char *copy, *policy, *rest;
	size_t i;

	(void)fprintf(out,
	    "| case | policy | ratio: mean (spread) | p50 | p90 | p99 | excess "
	    "to naive | wasted a job (spread) | of these client's link | "
	    "goodput | throughput | jobs | not run | task failed | unknown | "
	    "lost | "
	    "cancelled | failed after settling |\n"
	    "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
	    "---|---|\n");
	for (i = 0; i < bench_ncases; i++) {
		brp_collect(&naive, runs, bench_cases[i].name, "naive");
		copy = strdup(options->policies);
		for (policy = strtok_r(copy, ";", &rest); policy != NULL;
		     policy = strtok_r(NULL, ";", &rest)) {
			brp_collect(&row, runs, bench_cases[i].name, policy);
			if (row.mean.n > 0)
				brp_row_print(out, bench_cases[i].what, policy,
				    strcmp(policy, "naive") == 0 ? &naive
								 : &row,
				    &naive);
		}
		free(copy);
	}
}

void
brp_table(json_t *runs, const struct bench_options *options)
{
	char path[512];
	FILE *out;

	brp_print(stdout, runs, options);
	(void)snprintf(path, sizeof(path), "%s/table.md", options->out);
	out = fopen(path, "w");
	if (out == NULL)
		return;
	brp_print(out, runs, options);
	(void)fclose(out);
}
