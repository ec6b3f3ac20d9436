/*
 * Stored jobs of a cell: state queries, jobs with several occurrences, and
 * changes of the lease holder. A new lease holder claims each partition before
 * it reads the jobs, and the former one writes nothing afterwards.
 */

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdio.h>

#include "adapters/clock_real.h"
#include "core/mem.h"
#include "entry/jobs/job_json.h"
#include "entry/jobs/job_store.h"
#include "entry/jobs/row_writer.h"
#include "tests/support/fake_worker.h"
#include "tests/support/memory_rows.h"
#include "tests/support/sim_time.h"

#define ID "5c0e7a21d94b36f8"
#define SERVER_CPU 64000
#define END_WAIT_MAX_MS 80 /* longest delay of a state query, with a margin */
#define ROWS_RESTORED_MS 2600 /* expired rows are back, after a take-over */
#define BODY                                                                 \
	"{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64," \
	"\"estimated_ms\":100}]}"

/* An entry host with a job store, and a scheduler without servers. */
struct host {
	struct clock clock; /* first: the functions cast to it */
	uint64_t wall_ahead_ms;
	struct scheduler *sched;
	struct job_store *job_store;
	int fenced;
	int owner_confirmed, owner_denied; /* replies to reads of the owner */
	int done_calls;
	enum jstore_result result;
	int state_calls;
	enum jrec_state state;
	bool has_started;
};

struct rig {
	struct event_base *base;
	struct wm_cluster cluster; /* the servers of host_add_servers() */
	struct worker *worker;
	struct memory_rows store;
	struct host hosts[2];
};

static uint64_t
host_now_us(struct clock *clock)
{
	(void)clock;
	return clock_now_us(clock_real());
}

static uint64_t
host_wall_ms(struct clock *clock)
{
	return clock_wall_ms(clock_real()) +
	    ((struct host *)clock)->wall_ahead_ms;
}

static const struct clock_ops host_clock_ops = {
	.now_us = host_now_us,
	.wall_ms = host_wall_ms,
};

static void
host_fenced(void *arg)
{
	((struct host *)arg)->fenced++;
}

static void
host_call_done(void *arg, enum jstore_result result)
{
	struct host *host = arg;

	host->done_calls++;
	host->result = result;
}

static void
host_state_reported(void *arg, enum jstore_result result, enum jrec_state state,
    bool has_started)
{
	struct host *host = arg;

	host->has_started = has_started;
	host->state_calls++;
	host->result = result;
	host->state = state;
}

static void
host_owner_read(void *arg, uint64_t sent_us, bool confirmed)
{
	struct host *host = arg;

	cr_expect_eq(sent_us, 7);
	if (confirmed)
		host->owner_confirmed++;
	else
		host->owner_denied++;
}

static uint64_t
host_record_run_end(void *arg, const char *id, uint32_t task, uint64_t run_id,
    bool done)
{
	return jstore_record_run_end(((struct host *)arg)->job_store, id, task,
	    run_id, done);
}

static void
host_submit_occurrence(void *arg, const char *id, uint32_t occurrence)
{
	jstore_submit_occurrence(((struct host *)arg)->job_store, id,
	    occurrence);
}

static struct rig *
rig_create(void)
{
	struct rig *rig = mem_zalloc(1, sizeof(*rig));
	struct sched_params params = { .lease_ms = 1000,
		.far_permille = 1000,
		.record_run_end = host_record_run_end,
		.submit_occurrence = host_submit_occurrence,
		.fenced = host_fenced };
	struct host *host;
	size_t i;

	sim_time_start();
	rig->base = event_base_new();
	mrows_init(&rig->store, rowwr_partition(ID));
	params.base = rig->base;
	wm_init(&rig->cluster, 2, SERVER_CPU);
	rig->worker =
	    fake_worker_create(rig->base, clock_real(), &rig->cluster, 1);
	params.worker = rig->worker;
	for (i = 0; i < 2; i++) {
		host = &rig->hosts[i];
		host->clock.ops = &host_clock_ops;
		params.clock = &host->clock;
		params.arg = host;
		host->sched = sched_create(&params);
		host->job_store = jstore_create(rig->base, &host->clock,
		    &rig->store.rows, host->sched, "a", host_fenced, host);
		cr_assert_not_null(host->job_store);
	}
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	size_t i;

	for (i = 0; i < 2; i++) {
		jstore_destroy(rig->hosts[i].job_store);
		sched_destroy(rig->hosts[i].sched);
	}
	cr_expect_eq(rig->cluster.violations, 0, "%s",
	    rig->cluster.first_violation);
	fake_worker_destroy(rig->worker);
	wm_release(&rig->cluster);
	event_base_free(rig->base);
	free(rig);
}

static void
rig_run(struct rig *rig, int ms)
{
	const struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_base_loopexit(rig->base, &tv);
	(void)event_base_dispatch(rig->base);
}

static void
host_become_holder(struct host *host, uint64_t token)
{
	sched_set_former_runs_known(host->sched, true);
	sched_activate(host->sched, token);
	jstore_activate(host->job_store, token);
}

/* Adds a server to a host's scheduler. No other one is missing. */
static void
host_add_server(struct host *host, const char *id)
{
	struct reg_server server = { .service = "booth",
		.az = "a",
		.cpu = SERVER_CPU,
		.mem_mb = 1024 };

	strlcpy(server.id, id, sizeof(server.id));
	sched_server_update(host->sched, &server);
	sched_servers_refreshed(host->sched);
	sched_set_servers_complete(host->sched, true);
}

/* Adds the servers to a host's scheduler, so that jobs run. */
static void
host_add_servers(struct host *host)
{
	host_add_server(host, "s0");
	host_add_server(host, "s1");
}

static void
host_accept_request(struct host *host, const char *id, const char *body,
    bool is_retry)
{
	struct sched_request request = { .queue = { .name = "q",
					     .service = "booth",
					     .max_attempts = 3,
					     .slack_permille = 1600,
					     .target_ms = 60 },
		.timeout_ms = 300,
		.resubmitted = is_retry };
	struct err err;

	cr_assert_eq(job_parse(&request.spec, id, body, strlen(body), &err), 0);
	jstore_accept(host->job_store, &request, body, strlen(body),
	    host_call_done, host);
}

static void
host_accept_body(struct host *host, const char *id, const char *body)
{
	host_accept_request(host, id, body, false);
}

static void
host_accept(struct host *host, const char *id)
{
	host_accept_body(host, id, BODY);
}

Test(job_store, new_holder_reads_stored_jobs)
{
	struct rig *rig = rig_create();

	host_become_holder(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	cr_assert_eq(rig->hosts[0].result, JSTORE_OK);
	host_become_holder(&rig->hosts[1], 20);
	rig_run(rig, 30);
	cr_expect_eq(sched_pending_jobs(rig->hosts[1].sched, "q"), 1);
	cr_expect_eq(rig->hosts[1].fenced, 0);
	rig_destroy(rig);
}

/* A job stored after the new lease holder has read the rows would never run. */
Test(job_store, former_holder_stores_nothing_after_the_rows_are_read)
{
	struct rig *rig = rig_create();

	host_become_holder(&rig->hosts[0], 10);
	rig->store.defer_writes = true;
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	cr_assert_not_null(rig->store.deferred_done, "no write has been sent");
	host_become_holder(&rig->hosts[1], 20);
	rig_run(rig, 30);
	mrows_release_write(&rig->store);
	rig_run(rig, 30);
	cr_expect_null(mrows_find(&rig->store, rowwr_partition(ID), ID));
	cr_expect_eq(rig->hosts[0].fenced, 1);
	cr_expect(rig->hosts[0].done_calls == 0 ||
		rig->hosts[0].result != JSTORE_OK,
	    "the job was reported as accepted");
	rig_destroy(rig);
}

Test(job_store, older_token_does_not_take_over)
{
	struct rig *rig = rig_create();

	host_become_holder(&rig->hosts[1], 20);
	rig_run(rig, 30);
	host_become_holder(&rig->hosts[0], 10);
	rig_run(rig, 30);
	cr_expect_geq(rig->hosts[0].fenced, 1);
	host_accept(&rig->hosts[1], ID);
	rig_run(rig, 30);
	cr_expect_eq(rig->hosts[1].result, JSTORE_OK);
	cr_expect_eq(rig->hosts[1].done_calls, 1);
	rig_destroy(rig);
}

Test(job_store, owner_is_confirmed_until_a_successor_has_claimed_the_cell)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_become_holder(host, 10);
	rig_run(rig, 30);
	jstore_read_owner(host->job_store, 7, host_owner_read, host);
	rig_run(rig, 30);
	cr_expect_eq(host->owner_confirmed, 1);
	host_become_holder(&rig->hosts[1], 20);
	rig_run(rig, 30);
	jstore_read_owner(host->job_store, 7, host_owner_read, host);
	rig_run(rig, 30);
	cr_expect_eq(host->owner_denied, 1);
	cr_expect_eq(host->fenced, 1);
	rig_destroy(rig);
}

Test(job_store, owner_is_not_confirmed_by_a_lost_reply)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_become_holder(host, 10);
	rig_run(rig, 30);
	rig->store.lose_reads = 1;
	jstore_read_owner(host->job_store, 7, host_owner_read, host);
	rig_run(rig, 30);
	cr_expect_eq(host->owner_confirmed, 0);
	cr_expect_eq(host->owner_denied, 1);
	cr_expect_eq(host->fenced, 0);
	rig_destroy(rig);
}

/* The outcome of a claim without a reply is read from the owner row. */
Test(job_store, lost_replies_do_not_prevent_a_claim)
{
	struct rig *rig = rig_create();

	rig->store.lose_replies = 3;
	rig->store.lose_requests = 3;
	host_become_holder(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 600);
	cr_expect_eq(rig->store.lose_replies + rig->store.lose_requests, 0);
	cr_expect_eq(rig->hosts[0].done_calls, 1);
	cr_expect_eq(rig->hosts[0].result, JSTORE_OK);
	cr_expect_eq(rig->hosts[0].fenced, 0);
	rig_destroy(rig);
}

/* The results of reads that were sent in an earlier activation are discarded.
 */
Test(job_store, returning_lease_holder_reads_the_rows_again)
{
	struct rig *rig = rig_create();

	host_become_holder(&rig->hosts[0], 10);
	rig_run(rig, 10);
	host_become_holder(&rig->hosts[1], 20);
	host_accept(&rig->hosts[1], ID);
	rig_run(rig, 30);
	sched_deactivate(rig->hosts[0].sched);
	jstore_deactivate(rig->hosts[0].job_store);
	host_become_holder(&rig->hosts[0], 30);
	rig_run(rig, 30);
	cr_expect_eq(sched_pending_jobs(rig->hosts[0].sched, "q"), 1);
	rig_destroy(rig);
}

/* The client resubmits a job because the reply that accepted it was lost. */
Test(job_store, job_accepted_while_it_is_read_back_is_not_lost)
{
	struct rig *rig = rig_create();

	host_become_holder(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	rig->store.defer_reads = true;
	rig->store.defer_writes = true;
	host_become_holder(&rig->hosts[1], 20);
	host_accept(&rig->hosts[1], ID);
	rig_run(rig, 30);
	mrows_release_read(&rig->store);
	rig_run(rig, 30);
	if (rig->store.deferred_done != NULL)
		mrows_release_write(&rig->store);
	rig_run(rig, 30);
	cr_expect_eq(rig->hosts[1].done_calls, 1);
	cr_expect_eq(rig->hosts[1].result, JSTORE_OK);
	cr_expect_eq(sched_pending_jobs(rig->hosts[1].sched, "q"), 1);
	rig_destroy(rig);
}

Test(job_store, new_job_is_stored_once_the_partition_is_read)
{
	struct rig *rig = rig_create();

	rig->store.defer_reads = true;
	host_become_holder(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	cr_expect_eq(rig->hosts[0].done_calls, 0);
	mrows_release_read(&rig->store);
	rig_run(rig, 30);
	cr_expect_eq(rig->hosts[0].done_calls, 1);
	cr_expect_eq(rig->hosts[0].result, JSTORE_OK);
	cr_expect_eq(sched_pending_jobs(rig->hosts[0].sched, "q"), 1);
	rig_destroy(rig);
}

Test(job_store, state_is_unknown_until_the_partition_is_read)
{
	struct rig *rig = rig_create();

	host_become_holder(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	rig->store.defer_reads = true;
	host_become_holder(&rig->hosts[1], 20);
	jstore_get_state(rig->hosts[1].job_store, ID, host_state_reported,
	    &rig->hosts[1]);
	cr_expect_eq(rig->hosts[1].result, JSTORE_UNKNOWN);
	host_accept(&rig->hosts[1], ID);
	jstore_cancel(rig->hosts[1].job_store, ID, host_call_done,
	    &rig->hosts[1]);
	cr_expect_eq(rig->hosts[1].result, JSTORE_UNKNOWN);
	mrows_release_read(&rig->store);
	rig_run(rig, 30);
	jstore_get_state(rig->hosts[1].job_store, ID, host_state_reported,
	    &rig->hosts[1]);
	cr_expect_eq(rig->hosts[1].result, JSTORE_OK);
	cr_expect_eq(rig->hosts[1].state, JREC_ACCEPTED);
	rig_destroy(rig);
}

/* A new lease holder can still report the state of an ended job. */
Test(job_store, row_of_an_ended_job_has_only_its_state)
{
	struct rig *rig = rig_create();
	const struct mrows_row *row;

	host_become_holder(&rig->hosts[0], 10);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	jstore_cancel(rig->hosts[0].job_store, ID, host_call_done,
	    &rig->hosts[0]);
	rig_run(rig, 30);
	row = mrows_find(&rig->store, rowwr_partition(ID), ID);
	cr_assert_not_null(row);
	cr_expect_lt(row->len, 120);
	host_become_holder(&rig->hosts[1], 20);
	rig_run(rig, 30);
	jstore_get_state(rig->hosts[1].job_store, ID, host_state_reported,
	    &rig->hosts[1]);
	cr_expect_eq(rig->hosts[1].result, JSTORE_OK);
	cr_expect_eq(rig->hosts[1].state, JREC_CANCELLED);
	cr_expect_eq(sched_pending_jobs(rig->hosts[1].sched, "q"), 0);
	rig_destroy(rig);
}

/* Callers query the state when they expect the end, often a little early. */
Test(job_store, state_query_waits_for_an_imminent_end)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_become_holder(host, 10);
	host_add_servers(host);
	host_accept_body(host, ID,
	    "{\"spec\":\"cpu=500 ms=60 fail=0\",\"steps\":[{\"count\":2,"
	    "\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":60}]}");
	rig_run(rig, 45);
	cr_assert_eq(host->result, JSTORE_OK);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	cr_expect_eq(host->state_calls, 0,
	    "the state was reported before the job ended");
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state_calls, 1);
	cr_expect_eq(host->result, JSTORE_OK);
	cr_expect_eq(host->state, JREC_COMPLETED);
	rig_destroy(rig);
}

Test(job_store, state_query_of_a_long_running_job_times_out)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_become_holder(host, 10);
	host_accept_body(host, ID,
	    "{\"spec\":\"cpu=500 ms=900 fail=0\",\"steps\":[{\"count\":2,"
	    "\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":900}]}");
	rig_run(rig, 30);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	cr_expect_eq(host->state_calls, 1,
	    "the state of a queued job is reported at once");
	cr_expect_not(host->has_started);
	host_add_servers(host);
	rig_run(rig, 50);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state_calls, 2);
	cr_expect_eq(host->state, JREC_ACCEPTED);
	cr_expect(host->has_started);
	/* A dropped callback is not called. */
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	jstore_drop_callbacks(host->job_store, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state_calls, 2);
	rig_destroy(rig);
}

static uint32_t
rig_starts(const struct rig *rig, const char *task)
{
	const struct wm_task *found = wm_task(&rig->cluster, task);

	return found == NULL ? 0 : found->starts;
}

static void
rig_run_until_started(struct rig *rig, const char *task)
{
	uint32_t i;

	for (i = 0; i < 600 && rig_starts(rig, task) == 0; i++)
		rig_run(rig, 5);
	cr_assert_eq(rig_starts(rig, task), 1);
}

/* Three occurrences of 300 ms each. */
static void
host_accept_recurring(struct host *host, uint32_t start_in_ms,
    uint32_t interval_ms)
{
	char body[256];

	(void)snprintf(body, sizeof(body),
	    "{\"spec\":\"cpu=500 ms=300 fail=0\",\"max_runs\":3,"
	    "\"start_at_ms\":%llu,\"interval_ms\":%u,\"steps\":[{"
	    "\"count\":1,\"cpu\":500,\"mem_mb\":64,"
	    "\"estimated_ms\":300}]}",
	    (unsigned long long)(clock_wall_ms(clock_real()) + start_in_ms),
	    interval_ms);
	host_accept_body(host, ID, body);
}

/* The job was due before this machine was booted. */
Test(job_store, overdue_job_runs_at_once)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_become_holder(host, 10);
	host_add_servers(host);
	host_accept_body(host, ID,
	    "{\"spec\":\"cpu=500 ms=20 fail=0\",\"max_runs\":2,"
	    "\"start_at_ms\":1000,\"interval_ms\":10,\"steps\":[{"
	    "\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":20}]}");
	rig_run(rig, 200);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 1);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, JREC_COMPLETED);
	rig_destroy(rig);
}

Test(job_store, each_occurrence_runs_when_it_is_due)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];

	host_become_holder(host, 10);
	host_add_servers(host);
	host_accept_recurring(host, 150, 200);
	rig_run(rig, 100);
	cr_expect_eq(host->result, JSTORE_OK);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 0,
	    "started before it was due");
	rig_run(rig, 150);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 0,
	    "started before it was due");
	rig_run(rig, 200);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 1);
	rig_run(rig, 600);
	cr_expect_eq(rig_starts(rig, ID ".2.0.0"), 1);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, JREC_COMPLETED);
	rig_destroy(rig);
}

/*
 * When the lease holder changes, the first occurrence has ended, the second is
 * running, and the third is not due.
 */
Test(job_store, new_lease_holder_runs_the_remaining_occurrences)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];

	host_become_holder(&rig->hosts[0], 10);
	host_add_servers(&rig->hosts[0]);
	host_accept_recurring(&rig->hosts[0], 0, 200);
	rig_run(rig, 330);
	sched_deactivate(rig->hosts[0].sched);
	jstore_deactivate(rig->hosts[0].job_store);
	host_become_holder(host, 20);
	host_add_servers(host);
	rig_run(rig, 900);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".2.0.0"), 1);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, JREC_COMPLETED);
	rig_destroy(rig);
}

/* review/5: the second cancellation was acknowledged before the first one was
 * stored; a successor ran the job. */
Test(job_store, repeated_cancellation_is_acknowledged_once_it_is_stored)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];
	uint32_t i;

	host_become_holder(host, 10);
	host_accept(host, ID);
	rig_run(rig, 50);
	cr_assert_eq(host->result, JSTORE_OK);
	host->done_calls = 0;
	rig->store.defer_writes = true;
	for (i = 0; i < 3; i++) {
		jstore_cancel(host->job_store, ID, host_call_done, host);
		rig_run(rig, 50);
		cr_expect_eq(host->done_calls, 0,
		    "call %u was acknowledged before the row was written", i);
	}
	mrows_release_write(&rig->store);
	rig_run(rig, 50);
	cr_expect_eq(host->done_calls, 3);
	cr_expect_eq(host->result, JSTORE_OK);
	jstore_cancel(host->job_store, ID, host_call_done, host);
	cr_expect_eq(host->done_calls, 4,
	    "a stored cancellation is acknowledged at once");
	rig_destroy(rig);
}

/* A client does not wait until its time-out when the store is too slow. */
Test(job_store, job_that_cannot_be_stored_in_time_is_refused)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[0];
	char id[JOB_ID_LEN + 1];
	unsigned int i = 0;

	do
		(void)snprintf(id, sizeof(id), "%016x", ++i);
	while (rowwr_partition(id) != rowwr_partition(ID));
	host_become_holder(host, 10);
	rig->store.defer_writes = true;
	host_accept(host, ID);
	rig_run(rig, 200);
	cr_assert_eq(host->done_calls, 0);
	host_accept(host, id);
	cr_expect_eq(host->done_calls, 1);
	cr_expect_eq(host->result, JSTORE_REFUSED);
	/* A resubmitted job may have been stored by another host. */
	host_accept_request(host, id, BODY, true);
	cr_expect_eq(host->done_calls, 1);
	mrows_release_write(&rig->store);
	rig_run(rig, 50);
	cr_expect_eq(host->done_calls, 3);
	cr_expect_eq(host->result, JSTORE_OK);
	rig_destroy(rig);
}

/* A former holder may have stored it. */
Test(job_store, job_is_not_refused_before_the_partition_is_read)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];
	char id[JOB_ID_LEN + 1];
	unsigned int i = 0;

	do
		(void)snprintf(id, sizeof(id), "%016x", ++i);
	while (rowwr_partition(id) != rowwr_partition(ID));
	host_become_holder(host, 10);
	rig->store.defer_writes = true;
	host_accept(host, id);
	rig_run(rig, 400);
	mrows_release_write(&rig->store);
	host_become_holder(&rig->hosts[0], 20);
	host_accept(&rig->hosts[0], ID);
	rig_run(rig, 30);
	cr_assert_eq(rig->hosts[0].result, JSTORE_OK);
	rig->store.defer_reads = true;
	sched_deactivate(host->sched);
	host_become_holder(host, 30);
	host_accept(host, id);
	host->done_calls = 0;
	host_accept(host, ID);
	cr_expect(host->done_calls == 0 || host->result == JSTORE_UNKNOWN, "%d",
	    (int)host->result);
	mrows_release_read(&rig->store);
	rig_run(rig, 30);
	rig_destroy(rig);
}

/*
 * Soak seed 101, with --restarts: the row of a server had expired in an outage
 * of the store and was back 1.8 s after it. The server listed the end of a task
 * that the new holder had started again when the former leases had ended.
 */
Test(job_store, no_task_starts_before_expired_rows_are_back)
{
	struct reg_server server = { .id = "s0",
		.service = "booth",
		.az = "a",
		.cpu = SERVER_CPU,
		.mem_mb = 1024 };
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];

	host_become_holder(&rig->hosts[0], 10);
	sched_server_update(rig->hosts[0].sched, &server);
	sched_servers_refreshed(rig->hosts[0].sched);
	sched_set_servers_complete(rig->hosts[0].sched, true);
	host_accept_body(&rig->hosts[0], ID,
	    "{\"spec\":\"cpu=40000 ms=60 fail=0\",\"steps\":[{\"count\":1,"
	    "\"cpu\":40000,\"mem_mb\":64,\"estimated_ms\":60}]}");
	rig_run(rig, 40);
	cr_assert_eq(rig_starts(rig, ID ".0.0.0"), 1);
	sched_deactivate(rig->hosts[0].sched);
	jstore_deactivate(rig->hosts[0].job_store);
	/* The new holder knows the other server only. */
	host_become_holder(host, 20);
	server.id[1] = '1';
	sched_server_update(host->sched, &server);
	sched_servers_refreshed(host->sched);
	rig_run(rig, 1800);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	server.id[1] = '0';
	sched_server_update(host->sched, &server);
	rig_run(rig, 200);
	sched_set_servers_complete(host->sched, true);
	rig_run(rig, 200);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, JREC_COMPLETED);
	rig_destroy(rig);
}

/* A server whose row does not return is gone. */
Test(job_store, task_starts_although_rows_may_be_missing)
{
	struct reg_server server = { .id = "s1",
		.service = "booth",
		.az = "a",
		.cpu = SERVER_CPU,
		.mem_mb = 1024 };
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];

	host_become_holder(&rig->hosts[0], 10);
	host_accept_body(&rig->hosts[0], ID,
	    "{\"spec\":\"cpu=40000 ms=60 fail=0\",\"steps\":[{\"count\":1,"
	    "\"cpu\":40000,\"mem_mb\":64,\"estimated_ms\":60}]}");
	rig_run(rig, 40);
	cr_assert_eq(rig->hosts[0].done_calls, 1);
	cr_assert_eq(rig->hosts[0].result, JSTORE_OK);
	sched_deactivate(rig->hosts[0].sched);
	jstore_deactivate(rig->hosts[0].job_store);
	host_become_holder(host, 20);
	sched_server_update(host->sched, &server);
	sched_servers_refreshed(host->sched);
	rig_run(rig, ROWS_RESTORED_MS - 10);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 0,
	    "started before the rows could be back");
	rig_run(rig, 410);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	rig_destroy(rig);
}

/*
 * No task is started before all servers have reported their ended runs. Soak
 * seed 37: the store was slow, so that the leases had expired when the jobs
 * were read, and one server reported its ended runs later than the other; its
 * task would be run a second time.
 */
Test(job_store, no_task_starts_before_all_ends_are_reported)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];
	uint32_t server_mask;

	host_become_holder(&rig->hosts[0], 10);
	host_add_servers(&rig->hosts[0]);
	host_accept_body(&rig->hosts[0], ID,
	    "{\"spec\":\"cpu=40000 ms=60 fail=0\",\"steps\":[{\"count\":1,"
	    "\"cpu\":40000,\"mem_mb\":64,\"estimated_ms\":60}]}");
	rig_run(rig, 40);
	cr_assert_eq(rig_starts(rig, ID ".0.0.0"), 1);
	server_mask = rig->cluster.servers[0].starts == 1 ? 1 : 2;
	sched_deactivate(rig->hosts[0].sched);
	jstore_deactivate(rig->hosts[0].job_store);
	rig->store.defer_reads = true;
	host_become_holder(host, 20);
	host_add_servers(host);
	rig_run(rig, 1300);
	fake_worker_faults(rig->worker)->unreachable_mask = server_mask;
	mrows_release_read(&rig->store);
	rig_run(rig, 150);
	fake_worker_faults(rig->worker)->unreachable_mask = 0;
	rig_run(rig, 1500);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, JREC_COMPLETED);
	rig_destroy(rig);
}

/*
 * The first holder's wall clock is ahead, so that it starts the only occurrence
 * of a job on s0; it goes out of service then. By the second one's clock the
 * occurrence is due @due_ms after it was accepted.
 */
static void
rig_start_occurrence_early(struct rig *rig, uint32_t due_ms, uint32_t task_ms)
{
	struct host *host = &rig->hosts[0];
	char body[256];

	(void)snprintf(body, sizeof(body),
	    "{\"spec\":\"cpu=40000 ms=%u fail=0\",\"max_runs\":1,"
	    "\"start_at_ms\":%llu,\"steps\":[{\"count\":1,\"cpu\":40000,"
	    "\"mem_mb\":64,\"estimated_ms\":%u}]}",
	    task_ms, (unsigned long long)(clock_wall_ms(clock_real()) + due_ms),
	    task_ms);
	rig->cluster.strict_prefix = ID[0];
	host->wall_ahead_ms = due_ms;
	host_become_holder(host, 10);
	host_add_server(host, "s0");
	host_accept_body(host, ID, body);
	rig_run_until_started(rig, ID ".0.0.0");
	sched_deactivate(host->sched);
	jstore_deactivate(host->job_store);
}

static void
rig_expect_completed(struct rig *rig, struct host *host)
{
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, JREC_COMPLETED);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
}

/* Its end is listed before it is due by the clock of the new holder. */
Test(job_store, occurrence_that_a_former_holder_completed_is_not_started)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];

	rig_start_occurrence_early(rig, 500, 60);
	rig_run(rig, 40);
	host_become_holder(host, 20);
	host_add_servers(host);
	rig_run(rig, 900);
	rig_expect_completed(rig, host);
	rig_destroy(rig);
}

/* Its run is listed before it is due by the clock of the new holder. */
Test(job_store, run_of_an_occurrence_that_is_not_due_is_adopted)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];

	rig_start_occurrence_early(rig, 500, 600);
	host_become_holder(host, 20);
	host_add_servers(host);
	rig_run(rig, 900);
	rig_expect_completed(rig, host);
	rig_destroy(rig);
}

/* By the clock of the new holder, none of the occurrences is due. */
Test(job_store, occurrence_that_no_former_holder_started_runs_when_it_is_due)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];
	uint64_t third_due_ms = clock_wall_ms(clock_real()) + 500 + 2 * 800;

	rig->hosts[0].wall_ahead_ms = 500 + 800;
	host_become_holder(&rig->hosts[0], 10);
	host_add_servers(&rig->hosts[0]);
	host_accept_recurring(&rig->hosts[0], 500, 800);
	rig_run_until_started(rig, ID ".1.0.0");
	sched_deactivate(rig->hosts[0].sched);
	jstore_deactivate(rig->hosts[0].job_store);
	host_become_holder(host, 20);
	host_add_servers(host);
	rig_run_until_started(rig, ID ".2.0.0");
	cr_expect_geq(clock_wall_ms(clock_real()), third_due_ms,
	    "started before it was due");
	rig_run(rig, 400);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".1.0.0"), 1);
	cr_expect_eq(rig_starts(rig, ID ".2.0.0"), 1);
	jstore_get_state(host->job_store, ID, host_state_reported, host);
	rig_run(rig, END_WAIT_MAX_MS);
	cr_expect_eq(host->state, JREC_COMPLETED);
	rig_destroy(rig);
}

/* A former holder started it on a server that has not listed its runs. */
Test(job_store, occurrence_has_no_second_run_beside_that_of_a_former_holder)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];

	rig_start_occurrence_early(rig, 300, 3000);
	fake_worker_faults(rig->worker)->unreachable_mask = 1;
	host_become_holder(host, 20);
	host_add_servers(host);
	rig_run(rig, 900);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 1);
	rig_run(rig, 1900);
	cr_expect_eq(rig_starts(rig, ID ".0.0.0"), 2,
	    "not started when the former leases had ended");
	rig_destroy(rig);
}

/* The occurrence becomes due when the job has been read. */
Test(job_store, no_occurrence_starts_before_all_ends_are_reported)
{
	struct rig *rig = rig_create();
	struct host *host = &rig->hosts[1];

	rig_start_occurrence_early(rig, 1350, 60);
	rig->store.defer_reads = true;
	host_become_holder(host, 20);
	host_add_servers(host);
	rig_run(rig, 1300);
	fake_worker_faults(rig->worker)->unreachable_mask = 1;
	mrows_release_read(&rig->store);
	rig_run(rig, 250);
	fake_worker_faults(rig->worker)->unreachable_mask = 0;
	rig_run(rig, 1500);
	rig_expect_completed(rig, host);
	rig_destroy(rig);
}
