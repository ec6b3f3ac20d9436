/*
 * Who owns the stored jobs of a cell: a holder takes each partition from the
 * former one before it reads the jobs, and that one writes nothing afterwards.
 */

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdio.h>

#include "adapters/clock_real.h"
#include "core/mem.h"
#include "entry/jobs/job_json.h"
#include "entry/jobs/keeper.h"
#include "entry/jobs/ledger.h"
#include "tests/support/fake_worker.h"
#include "tests/support/memory_rows.h"

#define ID "5c0e7a21d94b36f8"
#define SERVER_CPU 64000
#define END_WAIT_MAX_MS 80 /* a state is told by then, a few ms included */
#define BODY                                                                 \
	"{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64," \
	"\"estimated_ms\":100}]}"

/* An entry host with a keeper, and a holder without servers. */
struct host {
	struct scheduler *holder;
	struct keeper *keeper;
	int fenced;
	int accepted;
	enum keeper_result result;
	int states;
	enum record_state state;
	bool begun;
};

struct rig {
	struct event_base *base;
	struct wm_cluster
	    world; /* two servers, for a host that is told of them */
	struct worker *worker;
	struct store store;
	struct host hosts[2];
};

static void
host_fenced(void *arg)
{
	((struct host *)arg)->fenced++;
}

static void
host_accepted(void *arg, enum keeper_result result)
{
	struct host *host = arg;

	host->accepted++;
	host->result = result;
}

static void
host_state(void *arg, enum keeper_result result, enum record_state state,
    bool begun)
{
	struct host *host = arg;

	host->begun = begun;
	host->states++;
	host->result = result;
	host->state = state;
}

static uint64_t
host_progress(void *arg, const char *id, uint32_t task, uint64_t run_id,
    bool done)
{
	return keeper_progress(((struct host *)arg)->keeper, id, task, run_id,
	    done);
}

static struct rig *
rig_create(void)
{
	struct rig *rig = mem_zalloc(1, sizeof(*rig));
	struct sched_params params = { .clock = clock_real(),
		.lease_ms = 1000,
		.far_permille = 1000,
		.progress = host_progress,
		.fenced = host_fenced };
	struct host *host;
	size_t i;

	rig->base = event_base_new();
	store_init(&rig->store, ledger_part(ID));
	params.base = rig->base;
	wm_init(&rig->world, 2, SERVER_CPU);
	rig->worker =
	    fake_worker_create(rig->base, clock_real(), &rig->world, 1);
	params.worker = rig->worker;
	for (i = 0; i < 2; i++) {
		host = &rig->hosts[i];
		params.arg = host;
		host->holder = sched_create(&params);
		host->keeper = keeper_create(rig->base, clock_real(),
		    &rig->store.rows, host->holder, "a", host_fenced, host);
		cr_assert_not_null(host->keeper);
	}
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	size_t i;

	for (i = 0; i < 2; i++) {
		keeper_destroy(rig->hosts[i].keeper);
		sched_destroy(rig->hosts[i].holder);
	}
	cr_expect_eq(rig->world.violations, 0, "%s",
	    rig->world.first_violation);
	fake_worker_destroy(rig->worker);
	wm_release(&rig->world);
	event_base_free(rig->base);
	free(rig);
}

static void
rig_run(struct rig *rig, int ms)
{
	const struct timeval tv = { .tv_usec = ms * 1000 };

	(void)event_base_loopexit(rig->base, &tv);
	(void)event_base_dispatch(rig->base);
}

static void
host_begin(struct host *host, uint64_t token)
{
	sched_activate(host->holder, token);
	keeper_begin(host->keeper, token);
}

/* Tells a host of the server, so that jobs run. */
static void
host_serve(struct host *host)
{
	struct dir_server server = { .id = "s0",
		.service = "booth",
		.az = "a",
		.cpu = SERVER_CPU,
		.mem_mb = 1024 };

	sched_server_update(host->holder, &server);
	server.id[1] = '1';
	sched_server_update(host->holder, &server);
	sched_servers_refreshed(host->holder);
	sched_set_servers_complete(host->holder, true);
}

static void
host_accept_sent(struct host *host, const char *id, const char *body,
    bool again)
{
	struct sched_request request = { .queue = { .name = "q",
					     .service = "booth",
					     .max_attempts = 3,
					     .slack_permille = 1600,
					     .target_ms = 60 },
		.timeout_ms = 300,
		.resubmitted = again };
	struct err err;

	cr_assert_eq(job_parse(&request.spec, id, body, strlen(body), &err), 0);
	keeper_accept(host->keeper, &request, body, strlen(body), host_accepted,
	    host);
}

static void
host_accept_body(struct host *host, const char *id, const char *body)
{
	host_accept_sent(host, id, body, false);
}

static void
host_accept(struct host *host, const char *id)
{
	host_accept_body(host, id, BODY);
}

Test(keeper, successor_reads_what_its_predecessor_stored)
{
	struct rig *rig = rig_create();

	host_begin(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	cr_assert_eq(rig->hosts[0].result, KEEPER_OK);
	host_begin(&rig->hosts[1], 20);
	rig_run(rig, 30);
	cr_expect_eq(sched_pending_jobs(rig->hosts[1].holder, "q"), 1);
	cr_expect_eq(rig->hosts[1].fenced, 0);
	rig_destroy(rig);
}

/* Stored after the successor has read the rows, nobody would run it. */
Test(keeper, nothing_is_stored_after_the_successor_has_read)
{
	struct rig *rig = rig_create();

	host_begin(&rig->hosts[0], 10);
	rig->store.hold_writes = true;
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	cr_assert_not_null(rig->store.kept_done, "no write was sent");
	host_begin(&rig->hosts[1], 20);
	rig_run(rig, 30);
	store_release(&rig->store);
	rig_run(rig, 30);
	cr_expect_null(store_find(&rig->store, ledger_part(ID), ID));
	cr_expect_eq(rig->hosts[0].fenced, 1);
	cr_expect(rig->hosts[0].accepted == 0 ||
		rig->hosts[0].result != KEEPER_OK,
	    "the job was said to be accepted");
	rig_destroy(rig);
}

Test(keeper, older_token_does_not_take_over)
{
	struct rig *rig = rig_create();

	host_begin(&rig->hosts[1], 20);
	rig_run(rig, 30);
	host_begin(&rig->hosts[0], 10);
	rig_run(rig, 30);
	cr_expect_geq(rig->hosts[0].fenced, 1);
	host_accept(&rig->hosts[1], ID);
	rig_run(rig, 30);
	cr_expect_eq(rig->hosts[1].result, KEEPER_OK);
	cr_expect_eq(rig->hosts[1].accepted, 1);
	rig_destroy(rig);
}

/* Claims without an answer are settled by what the row says. */
Test(keeper, lost_answers_do_not_keep_it_from_owning)
{
	struct rig *rig = rig_create();

	rig->store.lose_answers = 3;
	rig->store.lose_requests = 3;
	host_begin(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 600);
	cr_expect_eq(rig->store.lose_answers + rig->store.lose_requests, 0);
	cr_expect_eq(rig->hosts[0].accepted, 1);
	cr_expect_eq(rig->hosts[0].result, KEEPER_OK);
	cr_expect_eq(rig->hosts[0].fenced, 0);
	rig_destroy(rig);
}

/* Reads begun before a host lost the cell do not count after it is back. */
Test(keeper, host_that_holds_again_reads_again)
{
	struct rig *rig = rig_create();

	host_begin(&rig->hosts[0], 10);
	rig_run(rig, 10);
	host_begin(&rig->hosts[1], 20);
	host_accept(&rig->hosts[1], ID);
	rig_run(rig, 30);
	sched_deactivate(rig->hosts[0].holder);
	keeper_end(rig->hosts[0].keeper);
	host_begin(&rig->hosts[0], 30);
	rig_run(rig, 30);
	cr_expect_eq(sched_pending_jobs(rig->hosts[0].holder, "q"), 1);
	rig_destroy(rig);
}

/* Sent again by its caller, who did not hear that it was accepted. */
Test(keeper, job_accepted_while_it_is_read_back_is_not_lost)
{
	struct rig *rig = rig_create();

	host_begin(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	rig->store.hold_reads = true;
	rig->store.hold_writes = true;
	host_begin(&rig->hosts[1], 20);
	host_accept(&rig->hosts[1], ID);
	rig_run(rig, 30);
	store_release_read(&rig->store);
	rig_run(rig, 30);
	if (rig->store.kept_done != NULL)
		store_release(&rig->store);
	rig_run(rig, 30);
	cr_expect_eq(rig->hosts[1].accepted, 1);
	cr_expect_eq(rig->hosts[1].result, KEEPER_OK);
	cr_expect_eq(sched_pending_jobs(rig->hosts[1].holder, "q"), 1);
	rig_destroy(rig);
}

Test(keeper, new_job_is_stored_once_the_partition_is_read)
{
	struct rig *rig = rig_create();

	rig->store.hold_reads = true;
	host_begin(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	cr_expect_eq(rig->hosts[0].accepted, 0);
	store_release_read(&rig->store);
	rig_run(rig, 30);
	cr_expect_eq(rig->hosts[0].accepted, 1);
	cr_expect_eq(rig->hosts[0].result, KEEPER_OK);
	cr_expect_eq(sched_pending_jobs(rig->hosts[0].holder, "q"), 1);
	rig_destroy(rig);
}

Test(keeper, nothing_is_said_of_a_job_that_may_not_be_read_yet)
{
	struct rig *rig = rig_create();

	host_begin(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	rig->store.hold_reads = true;
	host_begin(&rig->hosts[1], 20);
	keeper_state(rig->hosts[1].keeper, ID, host_state, &rig->hosts[1]);
	cr_expect_eq(rig->hosts[1].result, KEEPER_UNKNOWN);
	host_accept(&rig->hosts[1], ID);
	keeper_cancel(rig->hosts[1].keeper, ID, host_accepted, &rig->hosts[1]);
	cr_expect_eq(rig->hosts[1].result, KEEPER_UNKNOWN);
	store_release_read(&rig->store);
	rig_run(rig, 30);
	keeper_state(rig->hosts[1].keeper, ID, host_state, &rig->hosts[1]);
	cr_expect_eq(rig->hosts[1].result, KEEPER_OK);
	cr_expect_eq(rig->hosts[1].state, RECORD_ACCEPTED);
	rig_destroy(rig);
}

/* What is left of an ended job is its state; a successor still tells it. */
Test(keeper, ended_job_keeps_its_state_and_little_else)
{
	struct rig *rig = rig_create();
	const struct store_row *row;

	host_begin(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	keeper_cancel(rig->hosts[0].keeper, ID, host_accepted, &rig->hosts[0]);
	rig_run(rig, 30);
	row = store_find(&rig->store, ledger_part(ID), ID);
	cr_assert_not_null(row);
	cr_expect_lt(row->len, 120);
	host_begin(&rig->hosts[1], 20);
	rig_run(rig, 30);
	keeper_state(rig->hosts[1].keeper, ID, host_state, &rig->hosts[1]);
	cr_expect_eq(rig->hosts[1].result, KEEPER_OK);
	cr_expect_eq(rig->hosts[1].state, RECORD_CANCELLED);
	cr_expect_eq(sched_pending_jobs(rig->hosts[1].holder, "q"), 0);
	rig_destroy(rig);
}

/* Callers ask for the state when they expect the end, often a little early. */
Test(keeper, state_of_a_job_that_is_about_to_end_is_its_end)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_begin(host, 10);
	host_serve(host);
	host_accept_body(host, ID,
	    "{\"spec\":\"cpu=500 ms=60 fail=0\",\"steps\":[{\"count\":2,"
	    "\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":60}]}");
	rig_run(rig, 45);
	cr_assert_eq(host->result, KEEPER_OK);
	keeper_state(host->keeper, ID, host_state, host);
	cr_expect_eq(host->states, 0, "told before it has ended");
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->states, 1);
	cr_expect_eq(host->result, KEEPER_OK);
	cr_expect_eq(host->state, RECORD_COMPLETED);
	rig_destroy(rig);
}

Test(keeper, state_of_a_job_that_runs_on_is_told_soon)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_begin(host, 10);
	host_accept_body(host, ID,
	    "{\"spec\":\"cpu=500 ms=900 fail=0\",\"steps\":[{\"count\":2,"
	    "\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":900}]}");
	rig_run(rig, 30);
	keeper_state(host->keeper, ID, host_state, host);
	cr_expect_eq(host->states, 1, "a queued job's state is told at once");
	cr_expect_not(host->begun);
	host_serve(host);
	rig_run(rig, 50);
	keeper_state(host->keeper, ID, host_state, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->states, 2);
	cr_expect_eq(host->state, RECORD_ACCEPTED);
	cr_expect(host->begun);
	/* Nothing is told to somebody who has left. */
	keeper_state(host->keeper, ID, host_state, host);
	keeper_drop(host->keeper, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->states, 2);
	rig_destroy(rig);
}

static uint32_t
rig_starts(const struct rig *rig, const char *task)
{
	const struct wm_task *found = wm_task(&rig->world, task);

	return found == NULL ? 0 : found->starts;
}

/* Three times, 200 ms apart, each of 300 ms: they overlap. */
static void
host_accept_times(struct host *host, uint32_t first_ms)
{
	char body[256];

	(void)snprintf(body, sizeof(body),
	    "{\"spec\":\"cpu=500 ms=300 fail=0\",\"max_runs\":3,"
	    "\"start_at_ms\":%llu,\"interval_ms\":200,\"steps\":[{"
	    "\"count\":1,\"cpu\":500,\"mem_mb\":64,"
	    "\"estimated_ms\":300}]}",
	    (unsigned long long)(clock_wall_ms(clock_real()) + first_ms));
	host_accept_body(host, ID, body);
}

/* Due since before this machine was started. */
Test(keeper, job_that_was_due_long_ago_runs_at_once)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_begin(host, 10);
	host_serve(host);
	host_accept_body(host, ID,
	    "{\"spec\":\"cpu=500 ms=20 fail=0\",\"max_runs\":2,"
	    "\"start_at_ms\":1000,\"interval_ms\":10,\"steps\":[{"
	    "\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":20}]}");
	rig_run(rig, 200);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 1);
	keeper_state(host->keeper, ID, host_state, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, RECORD_COMPLETED);
	rig_destroy(rig);
}

Test(keeper, each_time_of_a_job_runs_when_it_is_due)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_begin(host, 10);
	host_serve(host);
	host_accept_times(host, 150);
	rig_run(rig, 100);
	cr_expect_eq(host->result, KEEPER_OK);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 0, "too early");
	rig_run(rig, 150);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 0, "too early");
	rig_run(rig, 200);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 1);
	rig_run(rig, 600);
	cr_expect_eq(rig_starts(rig, ID ".2.0.0"), 1);
	keeper_state(host->keeper, ID, host_state, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, RECORD_COMPLETED);
	rig_destroy(rig);
}

/* The second time runs, the first is over, the third is to come. */
Test(keeper, successor_goes_on_with_the_times_that_are_left)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];

	host_begin(&rig->hosts[0], 10);
	host_serve(&rig->hosts[0]);
	host_accept_times(&rig->hosts[0], 0);
	rig_run(rig, 330);
	sched_deactivate(rig->hosts[0].holder);
	keeper_end(rig->hosts[0].keeper);
	host_begin(host, 20);
	host_serve(host);
	rig_run(rig, 900);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".2.0.0"), 1);
	keeper_state(host->keeper, ID, host_state, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, RECORD_COMPLETED);
	rig_destroy(rig);
}

/* Nobody waits in vain for a store that is too slow. */
Test(keeper, job_that_cannot_be_stored_in_time_is_refused_at_once)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];
	char id[JOB_ID_LEN + 1];
	unsigned int i = 0;

	do
		(void)snprintf(id, sizeof(id), "%016x", ++i);
	while (ledger_part(id) != ledger_part(ID));
	host_begin(host, 10);
	rig->store.hold_writes = true;
	host_accept(host, ID);
	rig_run(rig, 200);
	cr_assert_eq(host->accepted, 0);
	host_accept(host, id);
	cr_expect_eq(host->accepted, 1);
	cr_expect_eq(host->result, KEEPER_REFUSED);
	/* Sent before, perhaps to another host that stored it. */
	host_accept_sent(host, id, BODY, true);
	cr_expect_eq(host->accepted, 1);
	store_release(&rig->store);
	rig_run(rig, 50);
	cr_expect_eq(host->accepted, 3);
	cr_expect_eq(host->result, KEEPER_OK);
	rig_destroy(rig);
}

/* As soak seed 37 showed: the store was slow, so that leases had ended when the
 * jobs were read, and one server told its ends later than the other. */
Test(keeper, nothing_starts_before_all_ends_are_heard_of)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];
	uint32_t silent;

	host_begin(&rig->hosts[0], 10);
	host_serve(&rig->hosts[0]);
	host_accept_body(&rig->hosts[0], ID,
	    "{\"spec\":\"cpu=40000 ms=60 fail=0\",\"steps\":[{\"count\":1,"
	    "\"cpu\":40000,\"mem_mb\":64,\"estimated_ms\":60}]}");
	rig_run(rig, 40);
	cr_assert_eq(rig_starts(rig, ID ".0.0.0"), 1);
	silent = rig->world.servers[0].starts == 1 ? 1 : 2;
	sched_deactivate(rig->hosts[0].holder);
	keeper_end(rig->hosts[0].keeper);
	rig->store.hold_reads = true;
	host_begin(host, 20);
	host_serve(host);
	rig_run(rig, 1300);
	fake_worker_faults(rig->worker)->unreachable_mask = silent;
	store_release_read(&rig->store);
	rig_run(rig, 150);
	fake_worker_faults(rig->worker)->unreachable_mask = 0;
	rig_run(rig, 1500);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	keeper_state(host->keeper, ID, host_state, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, RECORD_COMPLETED);
	rig_destroy(rig);
}
