/* Model of backend servers that tests use: processes, clocks and faults. */

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdio.h>

#include "adapters/clock_real.h"
#include "tests/support/fake_worker.h"
#include "tests/support/sim_time.h"

#define LEASE_MS 1000
#define SPEC "cpu=100 ms=60000 fail=0"

struct rig {
	struct event_base *host;
	struct wm_cluster cluster;
	struct worker *worker;
	struct fake_worker_faults *faults;
	struct worker_link *link; /* to server 0 */
	size_t nreplies;
	struct worker_reply replies[8]; /* their lists are not valid */
	bool timer_ran, timer_was_first;
};

/* The world goes on for @ms; the host stands still. */
static void
rig_pause(struct rig *rig, uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i++) {
		sim_time_advance(1);
		fake_worker_advance(rig->worker,
		    clock_now_us(clock_real()) / 1000);
	}
}

static void
rig_run_host(struct rig *rig)
{
	(void)event_base_loop(rig->host, EVLOOP_NONBLOCK);
}

static void
rig_run(struct rig *rig, uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i++) {
		rig_pause(rig, 1);
		rig_run_host(rig);
	}
}

static uint64_t
rig_now_ms(void)
{
	return clock_now_us(clock_real()) / 1000;
}

static struct worker_link *
rig_open(struct rig *rig, const char *id)
{
	struct worker_address address = { .port = 1 };

	strlcpy(address.id, id, sizeof(address.id));
	return rig->worker->ops->open(rig->worker, &address);
}

static struct rig *
rig_create(void)
{
	struct rig *rig = calloc(1, sizeof(*rig));

	sim_time_start();
	rig->host = event_base_new();
	wm_init(&rig->cluster, 2, 1000);
	rig->worker = fake_worker_create_split(NULL, rig->host, clock_real(),
	    &rig->cluster, 1);
	rig->faults = fake_worker_faults(rig->worker);
	rig->link = rig_open(rig, "s0");
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	fake_worker_destroy(rig->worker);
	wm_release(&rig->cluster);
	event_base_free(rig->host);
	free(rig);
}

static void
rig_replied(void *arg, const struct worker_reply *reply)
{
	struct rig *rig = arg;

	rig->timer_was_first = rig->timer_ran;
	rig->replies[rig->nreplies++] = *reply;
}

static void
rig_timer(evutil_socket_t fd, short what, void *arg)
{
	struct rig *rig = arg;

	(void)fd;
	(void)what;
	rig->timer_ran = true;
}

static void
rig_start(struct rig *rig, struct worker_link *link, const char *task,
    uint64_t run_id, uint64_t deadline_ms)
{
	const struct worker_start order = { .task = task,
		.run_id = run_id,
		.spec = SPEC,
		.deadline_ms = deadline_ms,
		.token = 1 };

	rig->worker->ops->start(link, &order, rig_replied, rig);
}

/* Starts task "a" on server 0, under the longest lease. */
static void
rig_start_run(struct rig *rig)
{
	rig_start(rig, rig->link, "a", 1,
	    wm_clock_ms(&rig->cluster.servers[0], rig_now_ms()) + LEASE_MS);
	rig_run(rig, 2);
	cr_assert_eq(rig->replies[0].verdict, WORKER_OK);
	rig->nreplies = 0;
}

static uint32_t
rig_running(const struct rig *rig, const char *task)
{
	const struct wm_task *stats = wm_task(&rig->cluster, task);

	return stats == NULL ? 0 : stats->running_now;
}

Test(worker_model, replies_wait_for_a_host_that_stands_still)
{
	const struct timeval due = { .tv_usec = 1000 };
	struct rig *rig = rig_create();
	struct event *timer = event_new(rig->host, -1, 0, rig_timer, rig);

	rig_start(rig, rig->link, "a", 1, UINT64_MAX);
	(void)event_add(timer, &due);
	rig_pause(rig, 500);
	cr_expect_eq(rig_running(rig, "a"), 1);
	cr_expect_eq(rig->nreplies, 0);
	rig_run_host(rig);
	cr_assert_eq(rig->nreplies, 1);
	cr_expect_eq(rig->replies[0].verdict, WORKER_OK);
	cr_expect(rig->timer_ran);
	cr_expect_not(rig->timer_was_first);
	event_free(timer);
	rig_destroy(rig);
}

Test(worker_model, calls_without_a_reply_time_out_as_the_host_runs_again)
{
	struct rig *rig = rig_create();

	rig->faults->reply_lost_permille = 1000;
	rig_start(rig, rig->link, "a", 1, UINT64_MAX);
	rig_pause(rig, 500);
	cr_expect_eq(rig_running(rig, "a"), 1);
	cr_expect_eq(rig->nreplies, 0);
	rig_run_host(rig);
	cr_assert_eq(rig->nreplies, 1);
	cr_expect_eq(rig->replies[0].verdict, WORKER_NO_REPLY);
	rig_destroy(rig);
}

Test(worker_model, orders_to_another_id_do_nothing)
{
	struct rig *rig = rig_create();
	struct wm_server *server = &rig->cluster.servers[0];
	char id[NAME_SIZE];

	rig_start_run(rig);
	wm_restart(server, rig_now_ms(), 200, WM_RESTART_NEW_ID);
	cr_expect_eq(rig_running(rig, "a"), 0);
	wm_id(server, id);
	cr_expect_str_eq(id, "s0-2");
	rig_start(rig, rig->link, "a", 2, UINT64_MAX);
	rig_run(rig, 100);
	cr_assert_eq(rig->nreplies, 1);
	cr_expect_eq(rig->replies[0].verdict, WORKER_NO_REPLY);
	cr_expect(rig->replies[0].refused);
	rig_run(rig, 150);
	rig_start(rig, rig->link, "a", 3, UINT64_MAX);
	rig_start(rig, rig_open(rig, "s0-2"), "b", 1, UINT64_MAX);
	rig_run(rig, 10);
	cr_assert_eq(rig->nreplies, 3);
	cr_expect_eq(rig->replies[1].verdict, WORKER_OTHER_INCARNATION);
	cr_expect_eq(rig->replies[2].verdict, WORKER_OK);
	cr_expect_eq(rig_running(rig, "a"), 0);
	cr_expect_eq(rig_running(rig, "b"), 1);
	rig_destroy(rig);
}

Test(worker_model, late_start_runs_on_the_next_process_of_the_same_id)
{
	struct rig *rig = rig_create();
	struct wm_server *server = &rig->cluster.servers[0];
	uint64_t started_ms = server->started_ms;

	rig_start_run(rig);
	rig->faults->late_permille = 1000;
	rig->faults->late_min_ms = rig->faults->late_max_ms = 2000;
	rig_start(rig, rig->link, "b", 1,
	    wm_clock_ms(server, rig_now_ms()) + LEASE_MS);
	rig_run(rig, 100);
	cr_expect_eq(rig->replies[0].verdict, WORKER_NO_REPLY);
	server->token = 5;
	wm_restart(server, rig_now_ms(), 300, WM_RESTART_SAME_ID);
	rig_run(rig, 1850);
	cr_expect_eq(rig_running(rig, "b"), 0);
	rig_run(rig, 60);
	cr_expect_eq(rig_running(rig, "a"), 0);
	cr_expect_eq(rig_running(rig, "b"), 1);
	cr_expect_neq(server->started_ms, started_ms);
	cr_expect_lt(wm_clock_ms(server, rig_now_ms()), 2000);
	/* The deadline was on the clock of the former process. */
	cr_expect_leq(server->lease_end_ms,
	    wm_clock_ms(server, rig_now_ms()) + LEASE_MS);
	rig_run(rig, LEASE_MS + 10);
	cr_expect_eq(rig_running(rig, "b"), 0);
	cr_expect_eq(rig->cluster.violations, 0);
	rig_destroy(rig);
}

Test(worker_model, late_start_after_its_deadline_does_nothing)
{
	struct rig *rig = rig_create();

	rig->faults->late_permille = 1000;
	rig->faults->late_min_ms = rig->faults->late_max_ms = 2000;
	rig_start(rig, rig->link, "a", 1,
	    wm_clock_ms(&rig->cluster.servers[0], rig_now_ms()) + LEASE_MS);
	rig_run(rig, 2100);
	cr_expect_eq(wm_task(&rig->cluster, "a"), NULL);
	rig_destroy(rig);
}

Test(worker_model, late_orders_overtake_each_other)
{
	struct rig *rig = rig_create();
	uint32_t i, ms, overtaken = 0;
	char task[8];

	rig->faults->late_permille = 1000;
	rig->faults->late_min_ms = 2000;
	rig->faults->late_max_ms = 12000;
	for (i = 0; i < 8; i++) {
		(void)snprintf(task, sizeof(task), "t%u", i);
		rig_start(rig, rig->link, task, 1, UINT64_MAX);
	}
	rig_run(rig, 1990);
	for (i = 0; i < 8; i++) {
		(void)snprintf(task, sizeof(task), "t%u", i);
		cr_expect_eq(wm_task(&rig->cluster, task), NULL);
	}
	for (ms = 0; ms < 10100; ms++) {
		rig_run(rig, 1);
		for (i = 1; i < 8; i++) {
			(void)snprintf(task, sizeof(task), "t%u", i - 1);
			if (wm_task(&rig->cluster, task) != NULL)
				continue;
			(void)snprintf(task, sizeof(task), "t%u", i);
			overtaken += wm_task(&rig->cluster, task) != NULL;
		}
	}
	cr_expect_gt(overtaken, 0);
	for (i = 0; i < 8; i++) {
		(void)snprintf(task, sizeof(task), "t%u", i);
		cr_expect_neq(wm_task(&rig->cluster, task), NULL);
	}
	rig_destroy(rig);
}

Test(worker_model, hold_on_the_connection_of_a_former_process_is_not_sent)
{
	const struct worker_hold hold = { .token = 1,
		.connection_id = 1,
		.acknowledged = 9 };
	struct rig *rig = rig_create();
	struct wm_server *server = &rig->cluster.servers[0];

	wm_restart(server, rig_now_ms(), 0, WM_RESTART_SAME_ID);
	rig->worker->ops->hold(rig->link, &hold, rig_replied, rig);
	rig_run(rig, 10);
	cr_assert_eq(rig->nreplies, 1);
	cr_expect_eq(rig->replies[0].verdict, WORKER_NOT_SENT);
	cr_expect_eq(server->holds, 0);
	rig_destroy(rig);
}

Test(worker_model, late_hold_extends_the_lease_of_the_next_process)
{
	struct rig *rig = rig_create();
	struct wm_server *server = &rig->cluster.servers[0];
	const struct worker_hold hold = { .token = 1,
		.connection_id = 1,
		.deadline_ms = wm_clock_ms(server, rig_now_ms()) + LEASE_MS };

	rig->faults->late_hold_permille = 1000;
	rig->faults->late_min_ms = rig->faults->late_max_ms = 2000;
	rig->worker->ops->hold(rig->link, &hold, rig_replied, rig);
	wm_restart(server, rig_now_ms(), 300, WM_RESTART_SAME_ID);
	rig_run(rig, 2010);
	cr_expect_eq(server->holds, 1);
	cr_expect_gt(server->lease_end_ms, 1700 + LEASE_MS - 20);
	cr_expect_leq(server->lease_end_ms, 1710 + LEASE_MS);
	rig_destroy(rig);
}

Test(worker_model, hold_that_waits_is_lost_with_its_process)
{
	const struct worker_hold hold = { .token = 1, .wait_ms = 500 };
	struct rig *rig = rig_create();

	rig->worker->ops->hold(rig->link, &hold, rig_replied, rig);
	rig_run(rig, 10);
	wm_restart(&rig->cluster.servers[0], rig_now_ms(), 0,
	    WM_RESTART_SAME_ID);
	rig_run(rig, 10);
	cr_assert_eq(rig->nreplies, 1);
	cr_expect_eq(rig->replies[0].verdict, WORKER_NO_REPLY);
	rig_destroy(rig);
}

Test(worker_model, lost_requests_do_nothing_and_lost_replies_were_executed)
{
	const struct worker_hold hold = { .token = 1 };
	struct rig *rig = rig_create();
	struct worker_link *other = rig_open(rig, "s1");
	size_t i;

	rig->faults->requests_lost_mask = 1;
	rig->faults->replies_lost_mask = 2;
	rig_start(rig, rig->link, "a", 1, UINT64_MAX);
	rig->worker->ops->hold(rig->link, &hold, rig_replied, rig);
	rig_start(rig, other, "b", 1, UINT64_MAX);
	rig->worker->ops->hold(other, &hold, rig_replied, rig);
	rig_run(rig, 100);
	cr_expect_eq(rig_running(rig, "a"), 0);
	cr_expect_eq(rig->cluster.servers[0].holds, 0);
	cr_expect_eq(rig_running(rig, "b"), 1);
	cr_expect_eq(rig->cluster.servers[1].holds, 1);
	cr_assert_eq(rig->nreplies, 4);
	for (i = 0; i < 4; i++)
		cr_expect_eq(rig->replies[i].verdict, WORKER_NO_REPLY);
	rig_destroy(rig);
}

Test(worker_model, lease_lasts_longer_on_a_slow_clock)
{
	struct rig *rig = rig_create();
	struct wm_server *server = &rig->cluster.servers[0];
	uint64_t clock_ms = wm_clock_ms(server, rig_now_ms());

	wm_set_clock_speed(server, rig_now_ms(), 980);
	cr_expect_eq(wm_clock_ms(server, rig_now_ms()), clock_ms);
	rig_start_run(rig);
	rig_run(rig, 1015);
	cr_expect_eq(rig_running(rig, "a"), 1);
	rig_run(rig, 10);
	cr_expect_eq(rig_running(rig, "a"), 0);
	cr_expect_lt(wm_clock_ms(server, rig_now_ms()), clock_ms + 1010);
	rig_destroy(rig);
}

Test(worker_model, two_runs_count_only_on_servers_that_are_up)
{
	struct rig *rig = rig_create();
	struct worker_link *other = rig_open(rig, "s1");

	rig_start_run(rig);
	wm_restart(&rig->cluster.servers[0], rig_now_ms(), 300,
	    WM_RESTART_SAME_ID);
	rig_start(rig, other, "a", 2, UINT64_MAX);
	rig_run(rig, 10);
	cr_expect_eq(rig->cluster.by_kind[WM_KIND_TWO_RUNS].n, 0);
	rig_run(rig, 300);
	rig_start(rig, rig->link, "a", 3, UINT64_MAX);
	rig_run(rig, 10);
	cr_expect_eq(rig->cluster.by_kind[WM_KIND_TWO_RUNS].n, 1);
	rig_destroy(rig);
}

/* Starts a task that ends at once, on server 0, and starts it again on server
 * 1; its end was acknowledged before, or lost with the process. */
static uint32_t
rig_violations_of_second_start(bool acknowledged)
{
	struct worker_start order = { .task = "fa",
		.run_id = 1,
		.spec = "cpu=100 ms=5 fail=0",
		.deadline_ms = UINT64_MAX,
		.token = 1 };
	struct worker_hold hold = { .token = 1, .acknowledged = 0 };
	struct rig *rig = rig_create();
	uint32_t violations;

	rig->cluster.strict_prefix = 'f';
	rig->worker->ops->start(rig->link, &order, rig_replied, rig);
	rig_run(rig, 20);
	rig->worker->ops->hold(rig->link, &hold, rig_replied, rig);
	rig_run(rig, 5);
	cr_expect_eq(rig->replies[1].nended, 1);
	hold.acknowledged = 1;
	if (acknowledged)
		rig->worker->ops->hold(rig->link, &hold, rig_replied, rig);
	else
		wm_restart(&rig->cluster.servers[0], rig_now_ms(), 0,
		    WM_RESTART_SAME_ID);
	rig_run(rig, 5);
	order.run_id = 2;
	rig->worker->ops->start(rig_open(rig, "s1"), &order, rig_replied, rig);
	rig_run(rig, 20);
	violations = rig->cluster.violations;
	rig_destroy(rig);
	return violations;
}

Test(worker_model, start_after_an_acknowledged_end_is_a_violation)
{
	cr_expect_eq(rig_violations_of_second_start(true), 1);
}

Test(worker_model, start_after_an_end_that_was_lost_is_none)
{
	cr_expect_eq(rig_violations_of_second_start(false), 0);
}

Test(worker_model, two_runs_behind_another_violation_are_counted)
{
	struct worker_start invalid = { .task = "b",
		.run_id = 1,
		.spec = "none",
		.deadline_ms = UINT64_MAX,
		.token = 1 };
	struct rig *rig = rig_create();
	const struct wm_violations *kinds = rig->cluster.by_kind;

	rig->worker->ops->start(rig->link, &invalid, rig_replied, rig);
	rig_run(rig, 10);
	rig_start(rig, rig->link, "a", 1, UINT64_MAX);
	rig_start(rig, rig_open(rig, "s1"), "a", 2, UINT64_MAX);
	rig_run(rig, 10);
	cr_expect_eq(rig->cluster.violations, 2);
	cr_expect_eq(kinds[WM_KIND_INVALID_SPEC].n, 1);
	cr_expect_eq(kinds[WM_KIND_TWO_RUNS].n, 1);
	cr_expect_str_eq(kinds[WM_KIND_TWO_RUNS].first,
	    "a has two runs at the same time");
	rig_destroy(rig);
}
