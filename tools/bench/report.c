/*
 * The table: one row for each case and policy, aggregated over all seeds.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

/* Statistics of one figure over all seeds. */
struct brp_stats {
	double sum, min, max;
	int n;
};

/* One case with one policy, over all seeds. */
struct brp_row {
	struct brp_stats ratio_mean, ratio_p50, ratio_p90, ratio_p99, goodput,
	    throughput, wasted, client_wasted;
	int outcomes[BENCH_NOUTCOMES]; /* by index in brp_outcome_keys */
	int jobs, settled_jobs, settled_failures, duplicate_starts,
	    incomplete_answers;
};

static const char *const brp_outcome_keys[] = { "complete", "not_run",
	"task_failed", "unknown", "lost", "cancelled" };

static void
brp_add(struct brp_stats *stats, double value)
{
	if (stats->n == 0 || value < stats->min)
		stats->min = value;
	if (stats->n == 0 || value > stats->max)
		stats->max = value;
	stats->sum += value;
	stats->n++;
}

static double
brp_mean(const struct brp_stats *stats)
{
	return stats->n > 0 ? stats->sum / stats->n : 0;
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
	static const char *const failure_keys[] = { "task_failed", "unknown",
		"lost" };
	size_t i;

	brp_add(&row->ratio_mean, brp_number(run, "ratio", "mean"));
	brp_add(&row->ratio_p50, brp_number(run, "ratio", "p50"));
	brp_add(&row->ratio_p90, brp_number(run, "ratio", "p90"));
	brp_add(&row->ratio_p99, brp_number(run, "ratio", "p99"));
	brp_add(&row->wasted, brp_number(run, "wasted", "per_job"));
	brp_add(&row->client_wasted,
	    brp_number(run, "wasted", "client_per_job"));
	brp_add(&row->goodput,
	    json_number_value(json_object_get(run, "goodput")));
	brp_add(&row->throughput,
	    json_number_value(json_object_get(run, "throughput")));
	for (i = 0; i < sizeof(brp_outcome_keys) / sizeof(brp_outcome_keys[0]);
	     i++) {
		row->outcomes[i] +=
		    (int)brp_number(run, "ends", brp_outcome_keys[i]);
		row->settled_jobs +=
		    (int)brp_number(run, "settled_ends", brp_outcome_keys[i]);
	}
	for (i = 0; i < sizeof(failure_keys) / sizeof(failure_keys[0]); i++)
		row->settled_failures +=
		    (int)brp_number(run, "settled_ends", failure_keys[i]);
	row->jobs += (int)json_integer_value(json_object_get(run, "jobs"));
	row->duplicate_starts +=
	    (int)json_integer_value(json_object_get(run, "duplicates"));
	row->incomplete_answers +=
	    (int)json_integer_value(json_object_get(run, "broken"));
}

/*
 * Prints one row. A further column contains its mean ratio, less 1, relative to
 * that of the policy "naive".
 */
static void
brp_row_print(FILE *out, const char *description, const char *policy,
    const struct brp_row *row, const struct brp_row *naive)
{
	double naive_excess = brp_mean(&naive->ratio_mean) - 1;

	(void)fprintf(out,
	    "| %s | %s | %.2f (%.2f–%.2f) | %.2f | %.2f | %.2f | ", description,
	    policy, brp_mean(&row->ratio_mean), row->ratio_mean.min,
	    row->ratio_mean.max, brp_mean(&row->ratio_p50),
	    brp_mean(&row->ratio_p90), brp_mean(&row->ratio_p99));
	if (row != naive && naive->ratio_mean.n > 0 && naive_excess > 0)
		(void)fprintf(out, "%.2f",
		    (brp_mean(&row->ratio_mean) - 1) / naive_excess);
	(void)fprintf(out,
	    " | %.3f (%.3f–%.3f) | %.3f | %.2f | %.2f | %d | %d | %d | %d | %d "
	    "| %d "
	    "| %.2f %% |",
	    brp_mean(&row->wasted), row->wasted.min, row->wasted.max,
	    brp_mean(&row->client_wasted), brp_mean(&row->goodput),
	    brp_mean(&row->throughput), row->jobs, row->outcomes[1],
	    row->outcomes[2], row->outcomes[3], row->outcomes[4],
	    row->outcomes[5],
	    row->settled_jobs > 0
		? 100.0 * row->settled_failures / row->settled_jobs
		: 0);
	if (row->duplicate_starts > 0 || row->incomplete_answers > 0)
		(void)fprintf(out,
		    " **%d duplicate starts, %d incomplete answers**",
		    row->duplicate_starts, row->incomplete_answers);
	(void)fprintf(out, "\n");
}

static void
brp_aggregate(struct brp_row *row, json_t *runs, const char *name,
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
	char *copy, *policy, *saveptr;
	size_t i;

	(void)fprintf(out,
	    "| case | policy | ratio: mean (spread) | p50 | p90 | p99 | excess "
	    "relative to naive | wasted messages per job (spread) | of these "
	    "on the client hop | goodput | throughput | jobs | not run | task "
	    "failed | unknown | lost | cancelled | failed after settling |\n"
	    "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
	    "---|---|\n");
	for (i = 0; i < bench_ncases; i++) {
		brp_aggregate(&naive, runs, bench_cases[i].name, "naive");
		copy = strdup(options->policies);
		for (policy = strtok_r(copy, ";", &saveptr); policy != NULL;
		     policy = strtok_r(NULL, ";", &saveptr)) {
			brp_aggregate(&row, runs, bench_cases[i].name, policy);
			if (row.ratio_mean.n > 0)
				brp_row_print(out, bench_cases[i].description,
				    policy,
				    strcmp(policy, "naive") == 0 ? &naive
								 : &row,
				    &naive);
		}
		free(copy);
	}
}

void
brp_write_table(json_t *runs, const struct bench_options *options)
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
