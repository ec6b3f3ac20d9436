/*
 * berylrail-bench: runs the cases, several clusters concurrently, and prints
 * the table. Every run is a separate process, so that runs share no state.
 */

#include <argtable2.h>
#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bench.h"

#define BMN_RUNS_MAX 1024

/* One run of a case with a policy and a seed. */
struct bmn_run {
	const struct bench_case *bcase;
	char policy[NAME_SIZE * 2];
	uint64_t seed;
	pid_t pid; /* 0 if not started */
};

static struct bmn_run bmn_runs[BMN_RUNS_MAX];
static int bmn_nruns;

static void
bmn_record_path(char *path, size_t size, const struct bench_options *options,
    const struct bmn_run *run)
{
	char *p;
	int n = snprintf(path, size, "%s/", options->out);

	(void)snprintf(path + n, size - (size_t)n, "run-%s-%s-%llu.json",
	    run->bcase->name, run->policy, (unsigned long long)run->seed);
	for (p = path + n; *p != '\0'; p++) {
		if (*p == ',' || *p == '=')
			*p = '_';
	}
}

static bool
bmn_list_contains(const char *list, const char *name)
{
	size_t len = strlen(name);
	const char *p;

	if (list == NULL)
		return true;
	for (p = strstr(list, name); p != NULL; p = strstr(p + 1, name)) {
		if ((p == list || p[-1] == ',') &&
		    (p[len] == '\0' || p[len] == ','))
			return true;
	}
	return false;
}

/*
 * Lists all runs. The policies of one case and seed are adjacent, so that they
 * run at about the same time.
 */
static void
bmn_plan_runs(const struct bench_options *options)
{
	char *copy, *policy, *saveptr;
	struct bmn_run *run;
	size_t i;
	int seed;

	for (i = 0; i < bench_ncases; i++) {
		if (!bmn_list_contains(options->cases, bench_cases[i].name))
			continue;
		for (seed = 1; seed <= options->nseeds; seed++) {
			copy = strdup(options->policies);
			for (policy = strtok_r(copy, ";", &saveptr);
			     policy != NULL && bmn_nruns < BMN_RUNS_MAX;
			     policy = strtok_r(NULL, ";", &saveptr)) {
				run = &bmn_runs[bmn_nruns++];
				run->bcase = &bench_cases[i];
				run->seed = (uint64_t)seed;
				strlcpy(run->policy, policy,
				    sizeof(run->policy));
			}
			free(copy);
		}
	}
}

static void
bmn_start_run(struct bmn_run *run, const struct bench_options *options)
{
	char path[600];
	json_t *record;

	(void)fflush(NULL);
	run->pid = fork();
	if (run->pid < 0)
		err(1, "fork");
	if (run->pid > 0)
		return;
	(void)prctl(PR_SET_PDEATHSIG, SIGTERM);
	record = brn_run(run->bcase, run->policy, run->seed, options->scale);
	bmn_record_path(path, sizeof(path), options, run);
	if (record == NULL || json_dump_file(record, path, JSON_INDENT(1)) < 0)
		_exit(1);
	_exit(0);
}

static void
bmn_print_progress(const struct bmn_run *run, const json_t *record, int ndone)
{
	const json_t *ratio = json_object_get(record, "ratio");
	const json_t *wasted = json_object_get(record, "wasted");

	(void)printf("[%d/%d] %-14s %-10s seed %llu: ", ndone, bmn_nruns,
	    run->bcase->name, run->policy, (unsigned long long)run->seed);
	if (record == NULL)
		(void)printf("run failed\n");
	else
		(void)printf(
		    "ratio mean %.2f p99 %.2f, %.3f wasted messages per job\n",
		    json_number_value(json_object_get(ratio, "mean")),
		    json_number_value(json_object_get(ratio, "p99")),
		    json_number_value(json_object_get(wasted, "per_job")));
	(void)fflush(stdout);
}

/* Waits until one run has ended; returns false if it failed. */
static bool
bmn_wait_run(const struct bench_options *options, json_t *records, int ndone)
{
	struct bmn_run *run = NULL;
	json_t *record = NULL;
	char path[600];
	int i, status;
	pid_t pid = waitpid(-1, &status, 0);

	for (i = 0; i < bmn_nruns; i++) {
		if (bmn_runs[i].pid == pid)
			run = &bmn_runs[i];
	}
	if (run == NULL)
		errx(1, "waitpid returned an unknown child process %d",
		    (int)pid);
	bmn_record_path(path, sizeof(path), options, run);
	if (WIFEXITED(status) && WEXITSTATUS(status) == 0)
		record = json_load_file(path, 0, NULL);
	bmn_print_progress(run, record, ndone);
	if (record == NULL)
		return false;
	json_array_append_new(records, record);
	return true;
}

static int
bmn_run_cases(const struct bench_options *options)
{
	json_t *records = json_array();
	int next = 0, running = 0, ndone = 0, failed = 0;
	char path[600];
	size_t i;

	bmn_plan_runs(options);
	if (bmn_nruns == 0)
		errx(78,
		    "no runs: unknown case name (see --list) or no policy");
	while (ndone < bmn_nruns) {
		while (running < options->parallel && next < bmn_nruns) {
			bmn_start_run(&bmn_runs[next++], options);
			running++;
		}
		failed += !bmn_wait_run(options, records, ++ndone);
		running--;
	}
	(void)snprintf(path, sizeof(path), "%s/runs.json", options->out);
	(void)json_dump_file(records, path, JSON_INDENT(1));
	for (i = 0; i < bench_ncases; i++) {
		(void)snprintf(path, sizeof(path), "%s/%s.svg", options->out,
		    bench_cases[i].name);
		(void)bsv_write(path, bench_cases[i].name, records);
	}
	brp_write_table(records, options);
	json_decref(records);
	if (failed > 0)
		warnx("%d runs failed", failed);
	return failed > 0;
}

static int
bmn_list_cases(void)
{
	size_t i;

	for (i = 0; i < bench_ncases; i++)
		(void)printf("%-14s %s\n", bench_cases[i].name,
		    bench_cases[i].description);
	return 0;
}

int
main(int argc, char **argv)
{
	struct arg_lit *list, *throughput, *capacity, *help;
	struct arg_str *cases, *policies;
	struct arg_int *seeds, *parallel;
	struct arg_dbl *scale;
	struct arg_file *out;
	struct arg_end *end;
	struct bench_options options;
	int status;
	void *argtable[] = {
		list = arg_lit0(NULL, "list", "list the cases and exit"),
		throughput = arg_lit0(NULL, "throughput",
		    "measure the throughput of one entry host"),
		capacity = arg_lit0(NULL, "capacity",
		    "measure the control cost of an entry host"),
		cases = arg_str0(NULL, "cases", "A,B", "default: all"),
		policies = arg_str0(NULL, "policies", "P;Q",
		    "default: \"default;naive\""),
		seeds = arg_int0(NULL, "seeds", "N", "default: 2"),
		parallel = arg_int0(NULL, "parallel", "N",
		    "number of concurrent clusters, default: 6"),
		scale = arg_dbl0(NULL, "scale", "F",
		    "factor on the duration of every case, default: 1"),
		out = arg_file0(NULL, "out", "DIR",
		    "output directory, default: bench-out"),
		help = arg_lit0(NULL, "help", "print this help and exit"),
		end = arg_end(10),
	};

	if (arg_parse(argc, argv, argtable) != 0 || help->count > 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, argtable, "  %-20s %s\n");
		return help->count > 0 ? 0 : 78;
	}
	options = (struct bench_options){
		.nseeds = seeds->count > 0 ? seeds->ival[0] : 2,
		.parallel = parallel->count > 0 ? parallel->ival[0] : 6,
		.scale = scale->count > 0 ? scale->dval[0] : 1,
		.cases = cases->count > 0 ? cases->sval[0] : NULL,
		.policies =
		    policies->count > 0 ? policies->sval[0] : "default;naive",
		.out = out->count > 0 ? out->filename[0] : "bench-out",
	};
	(void)mkdir(options.out, 0755);
	if (list->count > 0)
		status = bmn_list_cases();
	else if (throughput->count > 0)
		status = bth_run(&options);
	else if (capacity->count > 0)
		status = bcp_run(&options);
	else
		status = bmn_run_cases(&options);
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	return status;
}
