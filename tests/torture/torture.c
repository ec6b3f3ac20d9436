/*
 * Torture test: a randomised run of a cluster under faults. The seed determines
 * the schedule, which is printed. After the run, all guarantees are checked
 * against the records of the stand-ins. Exit status: 0, or 1 if a guarantee was
 * violated.
 */
#include <argtable2.h>
#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "actors.h"
#include "support/load.h"
#include "support/standin.h"

#define TOR_HOSTS 6
#define TOR_SERVERS 6
#define TOR_FAULTS_MAX 3 /* active at the same time */
/* Resets the connection at 60 of 1000 chunks, and delays the others randomly.
 */
#define TOR_RANDOM_CUTS "\"chaos\": 60, \"jitter_ms\": 15"
/* A server that is labelled as leaving must get no more tasks after this. */
#define TOR_LEAVING_DELAY_MAX_MS 3000
/* Time for which that is checked. */
#define TOR_LEAVING_CHECK_MS 800
#define TOR_STOP_TIMEOUT_MS 60000

enum fault {
	FAULT_KILL,
	FAULT_PAUSE,
	FAULT_RESTART,
	FAULT_RANDOM_CUTS,
	FAULT_PARTITION,
	FAULT_DUPLICATE,
	FAULT_PLATFORM,
	FAULT_SERVER,
	FAULT_NKINDS,
};

static const char *const fault_names[FAULT_NKINDS] = { "kill", "pause",
	"restart", "random-cuts", "partition", "duplicate", "platform",
	"server" };

/* A fault, if one is active. */
struct active_fault {
	enum fault kind;
	int target;	    /* host or server */
	uint64_t expiry_ms; /* 0: no fault is active */
};

/* A period in which no task may start on a server. */
struct leaving_window {
	char server[16];
	uint64_t from_ms, to_ms;
};

static struct {
	struct clu clu;
	uint64_t random;
	uint64_t begin_ms;
	struct active_fault active_faults[TOR_FAULTS_MAX];
	struct leaving_window windows[64];
	size_t nwindows;
	unsigned violations;
	unsigned leaving_tests;
} tor;

static uint32_t
tor_random(uint32_t n)
{
	return load_random(&tor.random, n);
}

static void
tor_log(const char *event, int target, uint32_t ms, const char *detail)
{
	printf("%6llu ms: %s %d for %u ms %s\n",
	    (unsigned long long)(sti_now_ms() - tor.begin_ms), event,
	    target + 1, ms, detail);
	fflush(stdout);
}

static void
tor_link_fault(const char *kind, int target, const char *rule)
{
	char link[32];

	snprintf(link, sizeof(link), "%s%d", kind, target + 1);
	clu_set_link_rule(&tor.clu, link, rule);
}

static bool
tor_host_is_paused(int host)
{
	int i;

	for (i = 0; i < TOR_FAULTS_MAX; i++)
		if (tor.active_faults[i].expiry_ms != 0 &&
		    tor.active_faults[i].kind == FAULT_PAUSE &&
		    tor.active_faults[i].target == host)
			return true;
	return false;
}

static void
tor_start_host(int host)
{
	if (clu_host_start(&tor.clu, host) == -1) {
		fprintf(stderr, "violation: h%d did not start\n", host + 1);
		tor.violations++;
	}
}

static void
tor_end_fault(struct active_fault *fault)
{
	switch (fault->kind) {
	case FAULT_PAUSE:
		clu_host_signal(&tor.clu, fault->target, SIGCONT);
		break;
	case FAULT_PLATFORM:
		clu_set_platform_mode(&tor.clu, "\"mode\": \"ok\"");
		break;
	case FAULT_SERVER:
		clu_set_server_mode(&tor.clu, fault->target,
		    "\"mode\": \"ok\"");
		break;
	default:
		tor_link_fault("*-[hs]", fault->target, "");
		break;
	}
	fault->expiry_ms = 0;
}

/* Ends the faults that have expired. */
static void
tor_end_expired(void)
{
	int i;

	for (i = 0; i < TOR_FAULTS_MAX; i++)
		if (tor.active_faults[i].expiry_ms != 0 &&
		    tor.active_faults[i].expiry_ms <= sti_now_ms())
			tor_end_fault(&tor.active_faults[i]);
}

/*
 * Stops a host by SIGTERM: it must exit with status 0 within
 * TOR_STOP_TIMEOUT_MS, whatever other faults are active.
 */
static void
tor_stop_host(int host)
{
	uint64_t deadline;
	int status;

	deadline = sti_now_ms() + TOR_STOP_TIMEOUT_MS;
	clu_host_signal(&tor.clu, host, SIGTERM);
	do {
		tor_end_expired();
		status = clu_host_wait(&tor.clu, host, 50);
	} while (status == -1 && sti_now_ms() < deadline);
	if (status != 0) {
		fprintf(stderr,
		    "violation: h%d: exit status %d after SIGTERM\n", host + 1,
		    status);
		tor.violations++;
		clu_host_signal(&tor.clu, host, SIGKILL);
	}
}

static void
tor_platform_fault(void)
{
	static const char *const modes[] = { "down", "refuse", "slow",
		"lose_reply" };
	char members[64];

	snprintf(members, sizeof(members), "\"mode\": \"%s\", \"ms\": %u",
	    modes[tor_random(4)], tor_random(400));
	clu_set_platform_mode(&tor.clu, members);
}

static void
tor_server_fault(int server)
{
	static const char *const modes[] = { "fail_all", "hang_all", "down" };
	char members[64];

	snprintf(members, sizeof(members), "\"mode\": \"%s\"",
	    modes[tor_random(3)]);
	clu_set_server_mode(&tor.clu, server, members);
}

/* Begins a fault. Return: true if it lasts until tor_end_fault(). */
static bool
tor_begin_fault(struct active_fault *fault)
{
	static const char *const links[] = { "client-h", "peer-h", "server-s" };
	const char *link;

	switch (fault->kind) {
	case FAULT_KILL:
		clu_host_signal(&tor.clu, fault->target, SIGKILL);
		tor_start_host(fault->target);
		return false;
	case FAULT_RESTART:
		tor_stop_host(fault->target);
		tor_start_host(fault->target);
		return false;
	case FAULT_PAUSE:
		clu_host_signal(&tor.clu, fault->target, SIGSTOP);
		break;
	case FAULT_RANDOM_CUTS:
		link = links[tor_random(3)];
		tor_link_fault(link, fault->target, TOR_RANDOM_CUTS);
		if (link == links[0])
			tor_link_fault("unduplicated-h", fault->target,
			    TOR_RANDOM_CUTS);
		break;
	case FAULT_PARTITION:
		tor_link_fault("peer-h", fault->target, "\"mode\": \"refuse\"");
		tor_link_fault("platform-h", fault->target,
		    "\"mode\": \"drop\"");
		break;
	case FAULT_DUPLICATE:
		tor_link_fault("client-h", fault->target,
		    "\"mode\": \"duplicate\"");
		tor_link_fault("peer-h", fault->target,
		    "\"mode\": \"duplicate\"");
		break;
	case FAULT_PLATFORM:
		tor_platform_fault();
		break;
	default:
		tor_server_fault(fault->target);
		break;
	}
	return true;
}

static void
tor_end_all_faults(void)
{
	int i;

	for (i = 0; i < TOR_FAULTS_MAX; i++)
		if (tor.active_faults[i].expiry_ms != 0)
			tor_end_fault(&tor.active_faults[i]);
}

static void
tor_inject_fault(void)
{
	struct active_fault *fault;
	uint32_t ms;

	tor_end_expired();
	fault = &tor.active_faults[tor_random(TOR_FAULTS_MAX)];
	if (fault->expiry_ms != 0)
		return;
	fault->kind = (enum fault)tor_random(FAULT_NKINDS);
	fault->target = (int)tor_random(TOR_HOSTS);
	ms = 200 + tor_random(1500);
	/* A paused host does not react to SIGTERM. */
	if (tor_host_is_paused(fault->target) &&
	    (fault->kind == FAULT_RESTART || fault->kind == FAULT_PAUSE))
		return;
	tor_log(fault_names[fault->kind], fault->target, ms, "");
	if (tor_begin_fault(fault))
		fault->expiry_ms = sti_now_ms() + ms;
}

/* Labels a server as leaving without other faults, then removes the label. */
static void
tor_test_leaving(void)
{
	struct leaving_window *window;
	char ops[200], id[32];
	int server, host;

	tor_end_all_faults();
	server = (int)tor_random(TOR_SERVERS);
	host = (int)tor_random(TOR_HOSTS);
	if (clu_host_ready(&tor.clu, host, CLU_WAIT_MS) == -1)
		return;
	tor_log("leaving", server, TOR_LEAVING_DELAY_MAX_MS, "");
	snprintf(id, sizeof(id), "leave-%u", tor.leaving_tests);
	snprintf(ops, sizeof(ops),
	    "{\"op\": \"label\", \"kind\": \"server\", \"name\": \"s%d\", "
	    "\"set\": {\"leaving\": \"\"}}",
	    server + 1);
	if (clu_change_config(&tor.clu, host, id, ops, -1, NULL) == 200 &&
	    tor.nwindows < 64) {
		window = &tor.windows[tor.nwindows++];
		snprintf(window->server, sizeof(window->server), "s%d",
		    server + 1);
		window->from_ms = sti_now_ms() + TOR_LEAVING_DELAY_MAX_MS;
		window->to_ms = window->from_ms + TOR_LEAVING_CHECK_MS;
		/* The label must stay until the end of the window. */
		clu_sleep(TOR_LEAVING_DELAY_MAX_MS + TOR_LEAVING_CHECK_MS + 50);
	}
	snprintf(id, sizeof(id), "stay-%u", tor.leaving_tests++);
	snprintf(ops, sizeof(ops),
	    "{\"op\": \"label\", \"kind\": \"server\", \"name\": \"s%d\", "
	    "\"unset\": [\"leaving\"]}",
	    server + 1);
	clu_change_config(&tor.clu, host, id, ops, -1, NULL);
}

static void
tor_check_leaving(void)
{
	struct leaving_window *window;
	json_t *record, *start;
	uint64_t at;
	size_t i;

	record = clu_start_records(&tor.clu, "");
	json_array_foreach (record, i, start) {
		at = (uint64_t)sti_int(start, "start_ms", 0);
		for (window = tor.windows; window < tor.windows + tor.nwindows;
		     window++) {
			if (strcmp(window->server,
				sti_str(start, "server", "")) != 0 ||
			    at <= window->from_ms || at > window->to_ms)
				continue;
			fprintf(stderr,
			    "violation: %s (%s) started on %s, which was "
			    "leaving, %llu ms after the limit\n",
			    sti_str(start, "uid", ""),
			    sti_str(start, "task", ""), window->server,
			    (unsigned long long)(at - window->from_ms));
			tor.violations++;
		}
	}
	json_decref(record);
}

static void
tor_run(uint64_t seed, int seconds)
{
	struct load_options load_options = { .clu = &tor.clu,
		.nclients = 16,
		.seed = seed,
		.tasks_max = 12,
		.task_ms_max = 60,
		.task_faults = true,
		.use_proxy = true };
	struct load_report report;
	struct actors *actors;
	struct load *load;
	uint64_t end_ms, leaving_ms;
	int i;

	load = load_start(&load_options);
	actors = actors_start(&tor.clu, seed);
	tor.begin_ms = sti_now_ms();
	end_ms = tor.begin_ms + (uint64_t)seconds * 1000;
	leaving_ms = tor.begin_ms + (uint64_t)seconds * 500;
	while (sti_now_ms() < end_ms) {
		tor_inject_fault();
		if (sti_now_ms() > leaving_ms) {
			leaving_ms += 15000;
			tor_test_leaving();
		}
		clu_sleep((int)tor_random(250));
	}
	tor_end_all_faults();
	load_stop(load);
	actors_stop(actors);
	for (i = 0; i < TOR_HOSTS; i++)
		if (clu_host_ready(&tor.clu, i, CLU_WAIT_MS) == -1)
			tor.violations++;
	tor.violations += actors_check(actors);
	for (i = 0; i < TOR_HOSTS; i++)
		tor_stop_host(i);
	load_check(load, &report);
	tor_check_leaving();
	tor.violations += report.violations;
	printf("jobs: %u complete, %u task-failed, %u not-run, %u unknown, "
	       "%u unanswered; %u resubmissions; %u leaving tests\n",
	    report.complete, report.task_failed, report.not_run, report.unknown,
	    report.unanswered, report.resubmitted, tor.leaving_tests);
}

int
main(int argc, char **argv)
{
	struct clu_options options = { .nhosts = TOR_HOSTS,
		.nservers = TOR_SERVERS,
		.host_args = "--drain-delay-ms=100" };
	struct arg_int *seed, *seconds;
	struct arg_end *end;
	unsigned long long s;

	void *argtable[] = { seed = arg_int0(NULL, "seed", "N", "1 by default"),
		seconds = arg_int0(NULL, "seconds", "N", "60 by default"),
		end = arg_end(4) };

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, argtable) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 78;
	}
	s = seed->count ? (unsigned long long)seed->ival[0] : 1;
	options.seed = s;
	tor.random = (s + 1) * 2654435769U;
	if (clu_start(&tor.clu, &options) == -1) {
		clu_stop(&tor.clu);
		errx(1, "seed %llu: the cluster did not start", s);
	}
	tor_run(s, seconds->count ? seconds->ival[0] : 60);
	if (tor.violations > 0) {
		setenv("CLU_KEEP", "1", 1);
		printf("logs in %s\n", tor.clu.dir);
	}
	clu_stop(&tor.clu);
	printf("seed %llu: %u violations\n", s, tor.violations);
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	return tor.violations > 0;
}
