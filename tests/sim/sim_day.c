/*
 * A day: the hosts, the steps of simulated time, and random choices. In each
 * step the world goes on first (messages arrive, the store executes calls),
 * then each host that does not stand still reads what has arrived and runs its
 * event loop once.
 */

#include <event2/event.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "core/mem.h"
#include "sim.h"
#include "tests/support/sim_time.h"

#define SIM_START_MS UINT64_C(1000000000)
#define SIM_WARM_UP_MS 4000
#define SIM_QUIET_MS 4000 /* no further troubles at the end */
#define SIM_EVENTS_MS 10  /* interval of draws */
#define SIM_SERVER_CPU 64000
#define SIM_LEASE_MS 1000
#define SIM_DELAY_US 1000 /* of connections, one way */
#define SIM_STORE_MS 4

/* The day that is played, for callbacks without an argument. */
static struct sim_day *sim_current;

const struct sim_day *
sim_day_current(void)
{
	return sim_current;
}

uint64_t
sim_now_us(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)(ts.tv_nsec / 1000);
}

static const struct sim_host *sim_machine; /* whose clocks are read, or NULL */

/* The clocks are those of the machine of @host; NULL: of none. */
static void
sim_select_machine(const struct sim_host *host)
{
	uint64_t ms = 0;

	sim_machine = host;
	if (host != NULL)
		ms = host->suspended_ms;
	if (host != NULL && host->suspended)
		ms += host->day->now_ms - host->suspended_at_ms;
	sim_time_set_suspended(ms);
}

uint64_t
sim_host_now_us(const struct sim_host *host)
{
	const struct sim_host *selected = sim_machine;
	uint64_t now_us;

	sim_select_machine(host);
	now_us = clock_now_us(clock_real());
	sim_select_machine(selected);
	return now_us;
}

void
sim_day_run_discarded(const char *task, uint64_t run_id)
{
	const struct wm_run *run;
	size_t i;

	for (i = 0; i < sim_current->nservers; i++) {
		TAILQ_FOREACH (run, &sim_current->cluster.servers[i].running,
		    entry) {
			if (run->run_id != run_id ||
			    strcmp(run->task, task) != 0 ||
			    sim_current->discarded[0] != '\0')
				continue;
			strlcpy(sim_current->discarded, task,
			    sizeof(sim_current->discarded));
			sim_current->discarded_ms = sim_current->now_ms;
			sim_trace(sim_current,
			    "%s run=%llu has not ended: it is on s%zu", task,
			    (unsigned long long)run_id, i);
		}
	}
}

static uint64_t
sim_draw(uint64_t *state)
{
	*state ^= *state << 13;
	*state ^= *state >> 7;
	*state ^= *state << 17;
	return *state >> 11;
}

uint32_t
sim_random(struct sim_day *day, uint32_t n)
{
	return n == 0 ? 0 : (uint32_t)(sim_draw(&day->random) % n);
}

bool
sim_chance(struct sim_day *day, uint32_t permille)
{
	return sim_random(day, 1000) < permille;
}

/* Replaces the function of libevent: nonces follow from the seed, too. */
void
evutil_secure_rng_get_bytes(void *buf, size_t n)
{
	unsigned char *bytes = buf;
	size_t i;

	for (i = 0; i < n; i++)
		bytes[i] = (unsigned char)sim_draw(&sim_current->nonces);
}

void
sim_trace(const struct sim_day *day, const char *fmt, ...)
{
	va_list ap;

	if (!day->options->trace)
		return;
	printf("%llu ", (unsigned long long)day->now_ms);
	va_start(ap, fmt);
	(void)vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

static void
sim_trace_model(const char *event)
{
	sim_trace(sim_current, "%s", event);
}

bool
sim_host_runs(const struct sim_host *host)
{
	return host->svc != NULL && host->stands_until_ms == 0;
}

void
sim_host_start(struct sim_host *host)
{
	struct jsvc_params params = { .base = host->base,
		.clock = clock_real(),
		.worker = host->worker,
		.row_decoder = { .config = sim_decode_config,
		    .server = sim_decode_server,
		    .host = sim_decode_host },
		.encode_host_row = sim_encode_host,
		.lease_ms = SIM_LEASE_MS,
		.far_permille = 1000 };

	host->start_ms = 0;
	host->power_lost = false;
	host->info.incarnation++;
	host->token = 0;
	params.self = host->info;
	sim_peers_params(host, &params);
	sim_peers_start(host);
	host->svc = jsvc_create(&params);
	sim_rows_start(host->rows);
	sim_trace(host->day, "%s starts", host->name);
}

void
sim_host_kill(struct sim_host *host, bool silent)
{
	const struct fake_worker_faults faults =
	    *fake_worker_faults(host->worker);
	const struct sim_host *selected = sim_machine;

	sim_trace(host->day, "%s is killed%s", host->name,
	    silent ? ", power lost" : "");
	sim_select_machine(host);
	/* The modules let go of each other's calls only in an orderly end. */
	host->ending = true;
	*fake_worker_faults(host->worker) =
	    (struct fake_worker_faults){ .unreachable_mask = UINT32_MAX };
	gw_abort_pending(jsvc_gateway(host->svc));
	jsvc_destroy(host->svc);
	*fake_worker_faults(host->worker) = faults;
	host->ending = false;
	host->svc = NULL;
	host->power_lost = silent;
	host->stands_until_ms = 0;
	host->token = 0;
	host->leaves_ms = 0;
	host->dies = host->stood = false;
	host->suspended = false;
	sim_peers_stop(host, silent);
	sim_callers_lose(host->day->callers, host);
	sim_select_machine(selected);
}

/* As a daemon does on SIGTERM: its row is removed, jobs go on until @end_ms. */
void
sim_host_leave(struct sim_host *host, uint64_t end_ms)
{
	if (host->leaves_ms != 0 || !sim_host_runs(host))
		return;
	sim_trace(host->day, "%s leaves", host->name);
	host->leaves_ms = end_ms;
	sim_select_machine(host);
	gw_refuse_new(jsvc_gateway(host->svc));
	jsvc_leave(host->svc);
	sim_select_machine(NULL);
}

struct job_gateway *
sim_host_gateway(struct sim_host *host)
{
	return jsvc_gateway(host->svc);
}

/* What has arrived is read before the timers that are due, unless the host
 * stood still: then any part of it. */
static void
sim_host_step(struct sim_host *host)
{
	struct sim_day *day = host->day;
	uint32_t max = UINT32_MAX;

	if (host->stands_until_ms != 0) {
		if (day->now_ms < host->stands_until_ms)
			return;
		host->stands_until_ms = 0;
		if (host->suspended)
			host->suspended_ms +=
			    day->now_ms - host->suspended_at_ms;
		host->suspended = false;
		sim_select_machine(host);
		if (host->dies) {
			sim_host_kill(host, true);
			host->start_ms = day->now_ms + sim_random(day, 3000);
			return;
		}
		host->stood = true;
		sim_trace(day, "%s goes on", host->name);
	}
	if (host->start_ms != 0 && day->now_ms >= host->start_ms)
		sim_host_start(host);
	if (host->unlist_ms != 0 && day->now_ms >= host->unlist_ms) {
		host->unlist_ms = 0;
		if (host->svc == NULL)
			(void)sim_store_put(&day->store, ROWS_HOSTS, host->name,
			    NULL);
	}
	if (host->leaves_ms != 0 && day->now_ms >= host->leaves_ms &&
	    host->svc != NULL) {
		gw_abort_pending(jsvc_gateway(host->svc));
		sim_host_kill(host, false);
		host->unlist_ms = day->now_ms + 1;
		host->start_ms = day->now_ms + 100 + sim_random(day, 4000);
	}
	if (host->stood && host->svc != NULL) {
		max = sim_chance(day, 400) ? 0 : sim_random(day, 12);
		if (sim_chance(day, 500))
			sim_callers_read(day->callers, host);
	}
	if (host->svc != NULL)
		(void)sim_conn_read(host, max);
	if (host->svc != NULL && max != 0)
		sim_rows_read(host->rows);
	(void)event_base_loop(host->base, EVLOOP_NONBLOCK);
	if (host->svc == NULL)
		return;
	if (host->stood) {
		host->stood = false;
		(void)sim_conn_read(host, UINT32_MAX);
	}
	sim_callers_read(day->callers, host);
}

static void
sim_heal_links(struct sim_day *day)
{
	size_t i, j;

	for (i = 0; i < day->nhosts; i++) {
		for (j = 0; j < day->nhosts; j++) {
			if (!day->cut[i][j] || day->now_ms < day->heal_ms[i][j])
				continue;
			day->cut[i][j] = false;
			/* Until the next retransmission. */
			day->resume_us[i][j] =
			    sim_now_us() + sim_random(day, 400) * SIM_US_PER_MS;
		}
	}
}

static void
sim_heal(struct sim_day *day)
{
	struct sim_host *host;
	size_t i;

	sim_heal_links(day);
	for (i = 0; i < day->nhosts; i++) {
		host = &day->hosts[i];
		if (day->now_ms >= host->store_heal_ms)
			host->store_lost = false;
		if (host->worker_heal_ms != 0 &&
		    day->now_ms >= host->worker_heal_ms) {
			host->worker_heal_ms = 0;
			*fake_worker_faults(host->worker) =
			    (struct fake_worker_faults){ .replies_overtake =
							     true };
		}
	}
	if (day->now_ms >= day->slow_until_ms) {
		day->delay_us = SIM_DELAY_US;
		day->delay_spread_us = SIM_DELAY_US;
	}
	if (day->now_ms >= day->store_slow_until_ms)
		day->store_ms = SIM_STORE_MS;
}

static void
sim_day_step(struct sim_day *day)
{
	size_t i;

	sim_time_advance(SIM_STEP_MS);
	day->now_ms += SIM_STEP_MS;
	sim_heal(day);
	sim_servers_step(day);
	sim_conn_advance(day);
	for (i = 0; i < day->nhosts; i++) {
		sim_rows_execute(day->hosts[i].rows);
		fake_worker_advance(day->hosts[i].worker,
		    sim_now_us() / SIM_US_PER_MS);
	}
	for (i = 0; i < day->nhosts; i++) {
		day->running = day->hosts[i].name;
		sim_select_machine(&day->hosts[i]);
		sim_host_step(&day->hosts[i]);
	}
	sim_select_machine(NULL);
	day->running = "-";
	sim_conn_sweep(day);
}

static struct sim_day *
sim_day_create(const struct sim_options *options, uint64_t seed,
    struct sim_totals *totals)
{
	struct sim_day *day = mem_zalloc(1, sizeof(*day));
	struct sim_host *host;
	size_t i;

	sim_current = day;
	sim_time_start_at(SIM_START_MS);
	day->options = options;
	day->running = "-";
	day->totals = totals;
	day->seed = seed;
	day->random = seed * UINT64_C(0x9E3779B97F4A7C15) + 12345;
	day->nonces = ~day->random;
	for (i = 0; i < 20; i++)
		(void)sim_draw(&day->random);
	day->nhosts = (size_t)options->zones * options->hosts;
	day->nservers = (size_t)options->zones * options->servers;
	day->next_correlation = 1;
	TAILQ_INIT(&day->conns);
	mrows_init(&day->store.jobs, 0);
	wm_init(&day->cluster, day->nservers, SIM_SERVER_CPU);
	day->cluster.strict_prefix = SIM_STORED_PREFIX;
	day->cluster.strict_in_lease = true;
	if (options->trace)
		day->cluster.trace = sim_trace_model;
	sim_heal(day);
	day->callers = sim_callers_create(day);
	sim_servers_start(day);
	for (i = 0; i < day->nhosts; i++) {
		host = &day->hosts[i];
		host->day = day;
		host->index = i;
		TAILQ_INIT(&host->ends);
		(void)snprintf(host->name, sizeof(host->name), "h%zu", i);
		strlcpy(host->info.name, host->name, sizeof(host->info.name));
		host->info.az[0] = (char)('a' + i % options->zones);
		host->info.weight = (uint32_t)(1000 - i);
		host->info.port = 1;
		/* Never that of a process of another host. */
		host->info.incarnation = (i + 1) * 1000;
		host->base = event_base_new();
		host->worker = fake_worker_create_split(NULL, host->base,
		    clock_real(), &day->cluster, seed * 64 + i + 2);
		host->rows = sim_rows_create(host);
		day->running = host->name;
		/* The last host of a zone may be added later. */
		host->spare = strchr(options->mix, 'a') != NULL &&
		    i >= day->nhosts - options->zones && sim_chance(day, 700);
		if (!host->spare)
			sim_host_start(host);
	}
	return day;
}

static void
sim_day_destroy(struct sim_day *day)
{
	struct sim_host *host;
	size_t i;

	for (i = 0; i < day->nhosts; i++) {
		if (day->hosts[i].svc != NULL)
			sim_host_kill(&day->hosts[i], true);
	}
	sim_conn_sweep(day);
	for (i = 0; i < day->nhosts; i++) {
		host = &day->hosts[i];
		sim_rows_destroy(host->rows);
		fake_worker_destroy(host->worker);
		event_base_free(host->base);
	}
	sim_callers_destroy(day->callers);
	wm_release(&day->cluster);
	free(day);
}

bool
sim_day_play(const struct sim_options *options, uint64_t seed,
    struct sim_totals *totals)
{
	struct sim_day *day = sim_day_create(options, seed, totals);
	uint64_t end_ms = SIM_WARM_UP_MS + options->seconds * UINT64_C(1000);
	const struct wm_task *task;
	const char *refused;
	bool passed;

	while (day->now_ms < SIM_WARM_UP_MS)
		sim_day_step(day);
	day->event_permille =
	    2 + sim_random(day, sim_chance(day, 500) ? 8 : 28);
	day->job_permille = 20 + sim_random(day, 100);
	day->theme =
	    options->mix[sim_random(day, (uint32_t)strlen(options->mix))];
	while (day->now_ms < end_ms && day->cluster.violations == 0) {
		sim_day_step(day);
		if (day->now_ms % SIM_EVENTS_MS != 0)
			continue;
		if (day->now_ms < end_ms - SIM_QUIET_MS)
			sim_events_step(day);
		sim_callers_step(day->callers,
		    day->now_ms >= end_ms - SIM_QUIET_MS / 2);
	}
	refused = sim_callers_refused_run(day->callers);
	passed = day->cluster.violations == 0 && refused == NULL;
	if (!passed)
		printf("seed %llu at %llu: %s%s (theme %c)\n",
		    (unsigned long long)seed, (unsigned long long)day->now_ms,
		    day->cluster.violations != 0 ? day->cluster.first_violation
						 : refused,
		    day->cluster.violations != 0 ? ""
						 : " was refused and has run",
		    day->theme);
	if (day->discarded[0] != '\0') {
		printf("seed %llu at %llu: %s was taken for ended while it ran "
		       "(theme %c)\n",
		    (unsigned long long)seed,
		    (unsigned long long)day->discarded_ms, day->discarded,
		    day->theme);
		totals->discarded++;
	}
	totals->days++;
	if (!passed)
		totals->failed++;
	LIST_FOREACH (task, &day->cluster.tasks, entry)
		totals->starts += task->starts;
	sim_day_destroy(day);
	return passed;
}
