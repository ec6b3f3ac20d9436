/*
 * Random days of simulated hosts. A day fails when a task has two runs at the
 * same time; the judge is tests/support/worker_model.h. Each day depends on its
 * seed and the options alone. Exit status: 1 if a day failed.
 */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

static int
sim_run(const struct sim_options *options)
{
	struct sim_totals totals = { 0 };
	const char *letter;
	uint32_t i;

	for (i = 0; i < options->days; i++) {
		(void)sim_day_play(options, options->seed + i, &totals);
		(void)fflush(stdout);
	}
	printf("days %u failed %u discarded %u jobs %u resent %u starts %u "
	       "takeovers %u "
	       "answers: completed %u accepted %u failed %u not-run %u "
	       "unknown %u invalid %u\nevents:",
	    totals.days, totals.failed, totals.discarded, totals.jobs,
	    totals.resent, totals.starts, totals.takeovers,
	    totals.answers[GW_COMPLETED], totals.answers[GW_ACCEPTED],
	    totals.answers[GW_FAILED], totals.answers[GW_NOT_RUN],
	    totals.answers[GW_UNKNOWN], totals.answers[GW_INVALID]);
	for (i = 0; i < sizeof(totals.events) / sizeof(totals.events[0]); i++) {
		letter = strchr(options->mix, (int)i);
		if (i != 0 && letter != NULL)
			printf(" %c %u", (int)i, totals.events[i]);
	}
	printf("\n");
	if (options->resends_by_cause)
		printf("resent after: answer %u loss %u refusal %u\n",
		    totals.resent_after[SIM_AFTER_ANSWER],
		    totals.resent_after[SIM_AFTER_LOSS],
		    totals.resent_after[SIM_AFTER_REFUSAL]);
	return totals.failed == 0 ? 0 : 1;
}

static uint32_t
sim_number(const struct arg_int *arg)
{
	return arg->ival[0] < 0 ? 0 : (uint32_t)arg->ival[0];
}

static bool
sim_options_valid(const struct sim_options *options)
{
	return options->mix[0] != '\0' && sim_events_valid(options->mix) &&
	    options->zones > 0 && options->zones <= SIM_ZONES_MAX &&
	    options->hosts > 0 && options->servers > 0 &&
	    (uint64_t)options->zones * options->hosts <= SIM_HOSTS_MAX &&
	    (uint64_t)options->zones * options->servers < SIM_SERVERS_MAX &&
	    options->seconds >= 5 && options->task_ms > 0 &&
	    options->deadline_ms > 0 &&
	    (!options->resend_moves || options->zones > 1);
}

int
main(int argc, char *argv[])
{
	struct arg_int *seed =
	    arg_int0(NULL, "seed", "N", "seed of the first day (1)");
	struct arg_int *days = arg_int0(NULL, "days", "N", "days to play (1)");
	struct arg_str *mix = arg_str0(NULL, "mix", "LETTERS",
	    "troubles to draw, see tests/sim/sim_events.c");
	struct arg_lit *trace = arg_lit0(NULL, "trace",
	    "print runs, troubles and the hosts' log lines");
	struct arg_int *zones = arg_int0(NULL, "zones", "N", "zones (3)");
	struct arg_int *hosts =
	    arg_int0(NULL, "hosts", "N", "hosts of each zone (2)");
	struct arg_int *servers =
	    arg_int0(NULL, "servers", "N", "servers of each zone (3)");
	struct arg_int *resend = arg_int0(NULL, "resend", "PERMILLE",
	    "callers that send again after an unknown outcome (0)");
	struct arg_int *answered = arg_int0(NULL, "resend-answered", "PERMILLE",
	    "the same after an answer of unknown outcome (as --resend)");
	struct arg_lit *moves = arg_lit0(NULL, "resend-moves",
	    "callers send again to another zone than before");
	struct arg_int *stored =
	    arg_int0(NULL, "stored", "PERMILLE", "jobs that are stored (0)");
	struct arg_int *task =
	    arg_int0(NULL, "task-ms", "MS", "longest task (3000)");
	struct arg_int *deadline =
	    arg_int0(NULL, "deadline-ms", "MS", "of callers (2500)");
	struct arg_int *seconds =
	    arg_int0(NULL, "seconds", "N", "duration of a day (25)");
	struct arg_end *end = arg_end(8);
	void *table[] = { seed, days, mix, trace, zones, hosts, servers, resend,
		answered, moves, stored, task, deadline, seconds, end };
	struct sim_options options = { 0 };
	int status = 2;

	seed->ival[0] = days->ival[0] = 1;
	mix->sval[0] = SIM_MIX;
	zones->ival[0] = 3;
	hosts->ival[0] = 2;
	servers->ival[0] = 3;
	resend->ival[0] = stored->ival[0] = 0;
	task->ival[0] = 3000;
	deadline->ival[0] = 2500;
	seconds->ival[0] = 25;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "berylrail-sim");
		arg_print_glossary(stderr, table, "  %-22s %s\n");
		goto out;
	}
	options = (struct sim_options){ .seed = sim_number(seed),
		.days = sim_number(days),
		.mix = mix->sval[0],
		.trace = trace->count > 0,
		.zones = sim_number(zones),
		.hosts = sim_number(hosts),
		.servers = sim_number(servers),
		.resend = sim_number(resend),
		.resend_answered =
		    sim_number(answered->count > 0 ? answered : resend),
		.resends_by_cause = answered->count > 0,
		.resend_moves = moves->count > 0,
		.stored = sim_number(stored),
		.task_ms = sim_number(task),
		.deadline_ms = sim_number(deadline),
		.seconds = sim_number(seconds) };
	if (!sim_options_valid(&options)) {
		fprintf(stderr, "berylrail-sim: invalid option\n");
		goto out;
	}
	status = sim_run(&options);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
