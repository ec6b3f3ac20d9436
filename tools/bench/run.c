/*
 * One run of a case with one policy and one seed. Its record contains the
 * outcomes of the jobs, the ratios of response times to the ideal ones, and the
 * wasted messages.
 */

#include <err.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

#define BRN_CONNECTIONS_PER_HOST 24 /* opened before the load */
#define BRN_DRAIN_LIMIT_S 20	    /* for answers, after the last arrival */
/* Answers in the first seconds of the load are not counted. */
#define BRN_GOODPUT_START_S 2
#define BRN_STARTUP_DELAY_MS 1500 /* for first heartbeats and polls */

static const struct bench_cluster_params brn_params = {
	.nzones = 3,
	.nhosts = 6,
	.nservers = 48,
	.slots = 8,
	.speeds = "50,100,150,200",
	.host_args = "--drain-delay-ms=600 --hostlist-poll-ms=500",
};

static const char *const brn_outcome_names[BENCH_NOUTCOMES] = {
	[BENCH_COMPLETE] = "complete",
	[BENCH_NOT_RUN] = "not_run",
	[BENCH_FAILED] = "task_failed",
	[BENCH_UNKNOWN] = "unknown",
	[BENCH_LOST] = "lost",
	[BENCH_CANCELLED] = "cancelled",
	[BENCH_PENDING] = "pending",
};

/* A scheduled action of the case and its arguments. */
struct brn_action {
	const struct bench_action *action;
	struct bench_cluster *cluster;
	struct bench_client *client;
	struct event *timer;
};

static void
brn_run_action(evutil_socket_t fd, short what, void *arg)
{
	struct brn_action *action = arg;

	(void)fd;
	(void)what;
	action->action->apply(action->cluster, action->client,
	    action->action->arg);
}

static void
brn_add_timer(struct event_base *base, struct event **timer, double at_s,
    event_callback_fn callback, void *arg)
{
	struct timeval tv = { .tv_sec = (time_t)at_s };

	tv.tv_usec = (suseconds_t)((at_s - (double)tv.tv_sec) * 1e6);
	*timer = evtimer_new(base, callback, arg);
	if (*timer == NULL)
		err(1, "evtimer_new");
	(void)event_add(*timer, &tv);
}

static void
brn_break_loop(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)event_base_loopbreak(arg);
}

/* Runs the event loop for @s seconds. */
static void
brn_run_loop_for(struct event_base *base, double s)
{
	struct event *timer;

	brn_add_timer(base, &timer, s, brn_break_loop, base);
	(void)event_base_dispatch(base);
	event_free(timer);
}

static double
brn_duration_s(const struct bench_case *bcase)
{
	const struct bench_phase *phase = bcase->phases;

	while (phase[1].end_s != 0)
		phase++;
	return phase->end_s;
}

static void
brn_run_load(struct event_base *base, struct bench_cluster *cluster,
    struct bench_client *client, const struct bench_case *bcase, double scale)
{
	struct brn_action actions[BENCH_ACTIONS_MAX];
	double limit_s = brn_duration_s(bcase) * scale + BRN_DRAIN_LIMIT_S;
	uint64_t deadline_us = bpr_now_us() + (uint64_t)(limit_s * 1e6);
	size_t i, n = 0;

	bct_start(client);
	while (n < BENCH_ACTIONS_MAX && bcase->actions[n].apply != NULL) {
		actions[n].action = &bcase->actions[n];
		actions[n].cluster = cluster;
		actions[n].client = client;
		brn_add_timer(base, &actions[n].timer,
		    bcase->actions[n].at_s * scale, brn_run_action,
		    &actions[n]);
		n++;
	}
	while (!bct_is_done(client) && bpr_now_us() < deadline_us)
		(void)event_base_loop(base, EVLOOP_ONCE);
	bct_abort_pending(client);
	for (i = 0; i < n; i++)
		event_free(actions[i].timer);
}

/* Record of the run */

static int
brn_compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static json_t *
brn_ratio_summary(const struct bench_workload *workload,
    const struct bench_result *results)
{
	double *ratios = calloc((size_t)workload->njobs + 1, sizeof(*ratios));
	json_t *ratio_stats;
	double sum = 0;
	size_t n = 0, i;

	if (ratios == NULL)
		err(1, "calloc");
	for (i = 0; i < (size_t)workload->njobs; i++) {
		if (results[i].outcome == BENCH_COMPLETE)
			ratios[n++] = results[i].ratio;
	}
	qsort(ratios, n, sizeof(*ratios), brn_compare);
	for (i = 0; i < n; i++)
		sum += ratios[i];
	ratio_stats = json_pack("{s:f, s:f, s:f, s:f}", "mean",
	    n > 0 ? sum / (double)n : 0, "p50", n > 0 ? ratios[n / 2] : 0,
	    "p90", n > 0 ? ratios[n * 9 / 10] : 0, "p99",
	    n > 0 ? ratios[n * 99 / 100] : 0);
	free(ratios);
	return ratio_stats;
}

/* Mean ratio of complete answers: single requests, small and large jobs. */
static json_t *
brn_ratio_by_class(const struct bench_workload *workload,
    const struct bench_result *results)
{
	static const char *const names[] = { "single", "small", "large" };
	json_t *classes = json_object();
	double sum[3] = { 0 };
	int n[3] = { 0 }, i, c;

	for (i = 0; i < workload->njobs; i++) {
		if (results[i].outcome != BENCH_COMPLETE)
			continue;
		c = workload->jobs[i].single  ? 0
		    : workload->jobs[i].large ? 2
					      : 1;
		sum[c] += results[i].ratio;
		n[c]++;
	}
	for (c = 0; c < 3; c++)
		json_object_set_new(classes, names[c],
		    json_real(n[c] > 0 ? sum[c] / n[c] : 0));
	return classes;
}

/*
 * Counts the outcomes of the jobs that arrived at or after @start_s, except for
 * impossible jobs.
 */
static json_t *
brn_count_outcomes(const struct bench_workload *workload,
    const struct bench_result *results, double start_s)
{
	int counts[BENCH_NOUTCOMES] = { 0 };
	json_t *outcomes = json_object();
	int i;

	for (i = 0; i < workload->njobs; i++) {
		if ((double)results[i].arrival_us >= start_s * 1e6 &&
		    !workload->jobs[i].impossible)
			counts[results[i].outcome]++;
	}
	for (i = 0; i < BENCH_NOUTCOMES; i++)
		json_object_set_new(outcomes, brn_outcome_names[i],
		    json_integer(counts[i]));
	return outcomes;
}

/*
 * Work of the answers completed between BRN_GOODPUT_START_S and the end of the
 * load, as a share of all servers' capacity in that time.
 */
static double
brn_goodput(const struct bench_cluster *cluster,
    const struct bench_workload *workload, const struct bench_result *results,
    double duration_s)
{
	double work_ms = 0;
	int i;

	for (i = 0; i < workload->njobs; i++) {
		if (results[i].outcome == BENCH_COMPLETE &&
		    (double)results[i].end_us >= BRN_GOODPUT_START_S * 1e6 &&
		    (double)results[i].end_us < duration_s * 1e6)
			work_ms += workload->jobs[i].work_ms;
	}
	return work_ms / bwl_capacity_ms(cluster) /
	    (duration_s - BRN_GOODPUT_START_S);
}

/*
 * Work of all complete answers, as a share of all servers' capacity from the
 * start of the load to the last complete answer.
 */
static double
brn_throughput(const struct bench_cluster *cluster,
    const struct bench_workload *workload, const struct bench_result *results)
{
	double work_ms = 0, last_us = 1;
	int i;

	for (i = 0; i < workload->njobs; i++) {
		if (results[i].outcome != BENCH_COMPLETE)
			continue;
		work_ms += workload->jobs[i].work_ms;
		if ((double)results[i].end_us > last_us)
			last_us = (double)results[i].end_us;
	}
	return work_ms / bwl_capacity_ms(cluster) / (last_us / 1e6);
}

/*
 * For each second of arrivals: mean ratio and number of complete answers, and
 * the number of other outcomes.
 */
static json_t *
brn_curve(const struct bench_workload *workload,
    const struct bench_result *results)
{
	double sum[BENCH_CURVE_SECONDS_MAX] = { 0 };
	int n[BENCH_CURVE_SECONDS_MAX] = { 0 },
	    not_complete[BENCH_CURVE_SECONDS_MAX] = { 0 };
	json_t *curve = json_array();
	int i, s, last = 0;

	for (i = 0; i < workload->njobs; i++) {
		s = (int)(results[i].arrival_us / 1000000);
		if (s >= BENCH_CURVE_SECONDS_MAX)
			continue;
		last = s > last ? s : last;
		if (results[i].outcome == BENCH_COMPLETE) {
			sum[s] += results[i].ratio;
			n[s]++;
		} else {
			not_complete[s]++;
		}
	}
	for (s = 0; s <= last; s++)
		json_array_append_new(curve,
		    json_pack("{s:i, s:f, s:i, s:i}", "s", s, "mean",
			n[s] > 0 ? sum[s] / n[s] : 0, "complete", n[s], "other",
			not_complete[s]));
	return curve;
}

static json_t *
brn_wasted(const json_t *sums, const struct bench_client_counts *counts,
    int complete)
{
	static const char prefix[] = "berylrail_wasted_messages_total{";
	json_t *series = json_object(), *value;
	double all_hops, client_hop, jobs = complete > 0 ? complete : 1;
	const char *name;

	all_hops = bsc_sum_series(sums, prefix);
	client_hop = bsc_sum_series(sums,
	    "berylrail_wasted_messages_total{hop=\"client\"");
	json_object_foreach ((json_t *)sums, name, value) {
		if (strncmp(name, prefix, sizeof(prefix) - 1) == 0 &&
		    json_number_value(value) != 0)
			json_object_set(series, name + sizeof(prefix) - 1,
			    value);
	}
	/*
	 * The client's counts are included because no host counts the
	 * resubmissions that were sent to a dead host.
	 */
	return json_pack("{s:f, s:f, s:f, s:I, s:I, s:o}", "per_job",
	    all_hops / jobs, "client_per_job", client_hop / jobs,
	    "messages_per_job",
	    bsc_sum_series(sums, "berylrail_messages_total{") / jobs,
	    "client_side", (json_int_t)counts->wasted, "client_requests",
	    (json_int_t)counts->requests, "kinds", series);
}

/*
 * Counts the tasks of jobs that were started more than once. Single requests
 * (uid r...) are excluded, because repeatable requests may be hedged.
 */
static json_int_t
brn_count_duplicates(const json_t *summary)
{
	const json_t *uid;
	json_int_t n = 0;
	size_t i;

	json_array_foreach (json_object_get(summary, "duplicates"), i, uid)
		n += json_string_value(uid)[0] == 'j';
	return n;
}

static json_t *
brn_record(struct bench_cluster *cluster, const struct bench_case *bcase,
    const struct bench_workload *workload, struct bench_client *client,
    double scale)
{
	const struct bench_result *results = bct_results(client);
	json_t *outcomes = brn_count_outcomes(workload, results, 0), *summary;
	json_t *record = json_object();
	int complete =
	    (int)json_integer_value(json_object_get(outcomes, "complete"));

	json_object_set_new(record, "case", json_string(bcase->name));
	json_object_set_new(record, "policy", json_string(cluster->policy));
	json_object_set_new(record, "seed",
	    json_integer((json_int_t)cluster->seed));
	json_object_set_new(record, "jobs", json_integer(workload->njobs));
	json_object_set_new(record, "ends", outcomes);
	json_object_set_new(record, "settled_ends",
	    brn_count_outcomes(workload, results, bcase->settle_s * scale));
	json_object_set_new(record, "ratio",
	    brn_ratio_summary(workload, results));
	json_object_set_new(record, "classes",
	    brn_ratio_by_class(workload, results));
	json_object_set_new(record, "goodput",
	    json_real(brn_goodput(cluster, workload, results,
		brn_duration_s(bcase) * scale)));
	json_object_set_new(record, "throughput",
	    json_real(brn_throughput(cluster, workload, results)));
	json_object_set_new(record, "wasted",
	    brn_wasted(cluster->counters, bct_counts(client), complete));
	json_object_set(record, "errors", bct_errors(client));
	json_object_set_new(record, "broken",
	    json_integer((json_int_t)bct_counts(client)->incomplete_answers));
	json_object_set_new(record, "curve", brn_curve(workload, results));
	summary = bcl_backend_summary(cluster);
	json_object_set_new(record, "duplicates",
	    json_integer(brn_count_duplicates(summary)));
	json_object_set(record, "servers", json_object_get(summary, "servers"));
	json_decref(summary);
	return record;
}

static void
brn_add_metrics(struct bench_cluster *cluster, int sign)
{
	int i;

	for (i = 0; i < cluster->params.nhosts; i++) {
		if (cluster->hosts[i].pid > 0)
			bsc_add_metrics(cluster->counters,
			    cluster->hosts[i].http_port, sign);
	}
}

json_t *
brn_run(const struct bench_case *bcase, const char *policy, uint64_t seed,
    double scale)
{
	struct bench_phase phases[BENCH_PHASES_MAX];
	struct bench_cluster cluster = {
		.params = brn_params,
		.policy = policy,
		.seed = seed,
	};
	struct event_base *base = event_base_new();
	json_t *record = NULL;
	struct bench_client *client;
	struct bench_workload workload;
	size_t i;

	cluster.counters = json_object();
	memcpy(phases, bcase->phases, sizeof(phases));
	for (i = 0; i < BENCH_PHASES_MAX; i++)
		phases[i].end_s *= scale;
	if (bcl_start(&cluster) == 0) {
		bwl_generate(&workload, &cluster, &bcase->mix, phases, seed);
		client = bct_create(base, &cluster, &workload, seed);
		brn_run_loop_for(base, BRN_STARTUP_DELAY_MS / 1e3);
		bct_warm_up(client, BRN_CONNECTIONS_PER_HOST);
		brn_add_metrics(&cluster, -1);
		brn_run_load(base, &cluster, client, bcase, scale);
		brn_add_metrics(&cluster, 1);
		record = brn_record(&cluster, bcase, &workload, client, scale);
		bct_destroy(client);
		bwl_release(&workload);
	}
	bcl_stop(&cluster);
	json_decref(cluster.counters);
	event_base_free(base);
	return record;
}
