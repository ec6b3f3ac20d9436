/*
 * Kinds of work beside plain tasks, against the model of backend servers:
 * gangs, tasks that last, tasks that go on from a checkpoint.
 */

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdio.h>

#include "adapters/clock_real.h"
#include "core/mem.h"
#include "entry/jobs/holder.h"
#include "entry/jobs/job_json.h"
#include "tests/support/fake_worker.h"

#define RIG_SERVERS 4
#define RIG_CPU 64000
#define ID "5c0e7a21d94b36f8"
#define LASTING_MS 100000

struct rig {
	struct event_base *base;
	struct wm_world world;
	struct worker *worker;
	struct holder *holder;
	uint32_t fenced;
	uint32_t answered;
	enum holder_result result; /* of the last answer */
};

static void
rig_fenced(void *arg)
{
	struct rig *rig = arg;

	rig->fenced++;
	holder_end(rig->holder);
}

static struct holder *
rig_holder(struct rig *rig, uint64_t token)
{
	const struct holder_params params = { .base = rig->base,
		.clock = clock_real(),
		.worker = rig->worker,
		.lease_ms = 1000,
		.far_permille = 1000,
		.fenced = rig_fenced,
		.arg = rig };
	struct dir_server server = { .service = "booth",
		.az = "a",
		.cpu = RIG_CPU,
		.mem_mb = 1024 };
	struct holder *holder = holder_create(&params);
	size_t i;

	for (i = 0; i < rig->world.nservers; i++) {
		(void)snprintf(server.id, sizeof(server.id), "s%zu", i);
		(void)snprintf(server.rack, sizeof(server.rack), "r%zu", i / 2);
		(void)snprintf(server.labels[0], NAME_SIZE, "r%zu", i / 2);
		server.nlabels = 1;
		holder_server(holder, &server);
	}
	holder_begin(holder, token);
	holder_fresh(holder);
	holder_set_complete(holder, true);
	return holder;
}

static struct rig *
rig_create(uint64_t seed)
{
	struct rig *rig = mem_zalloc(1, sizeof(*rig));

	rig->base = event_base_new();
	wm_init(&rig->world, RIG_SERVERS, RIG_CPU);
	rig->worker =
	    fake_worker_create(rig->base, clock_real(), &rig->world, seed);
	rig->holder = rig_holder(rig, 10);
	return rig;
}

static void
rig_destroy(struct rig *rig)
{
	cr_expect_eq(rig->world.violations, 0, "%s", rig->world.violation);
	holder_destroy(rig->holder);
	fake_worker_destroy(rig->worker);
	wm_release(&rig->world);
	event_base_free(rig->base);
	free(rig);
}

static void
rig_run(struct rig *rig, uint32_t ms)
{
	const struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_base_loopexit(rig->base, &tv);
	(void)event_base_dispatch(rig->base);
}

static void
rig_done(void *arg, const struct holder_reply *reply)
{
	struct rig *rig = arg;

	rig->answered++;
	rig->result = reply->result;
}

static void
rig_submit_to(struct rig *rig, struct holder *holder, const char *id,
    const char *body, bool resubmitted)
{
	struct holder_request request = {
		.queue = { .name = "q",
		    .service = "booth",
		    .max_attempts = 3,
		    .slack_permille = 1600,
		    .target_ms = 60 },
		.patience_ms = LASTING_MS,
		.resubmitted = resubmitted,
		.stored = true,
		.done = (const uint8_t[16]){ 0 },
		.fails = (const uint8_t[16]){ 0 },
		.failed_runs = (const uint64_t[16]){ 0 },
	};
	struct err err;

	cr_assert_eq(job_parse(&request.spec, id, body, strlen(body), &err), 0,
	    "%s", err.message);
	holder_submit(holder, &request, rig_done, rig);
}

static void
rig_submit(struct rig *rig, const char *id, const char *body)
{
	rig_submit_to(rig, rig->holder, id, body, false);
}

static uint32_t
rig_running(const struct rig *rig)
{
	const struct wm_run *run;
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < rig->world.nservers; i++) {
		TAILQ_FOREACH (run, &rig->world.servers[i].running, entry)
			n++;
	}
	return n;
}

/* A gang of six, 2 fit on a server; plain tasks fill one server. */
#define GANG(ms, fail)                                                       \
	"{\"spec\":\"cpu=30000 ms=" #ms " fail=" #fail                       \
	" gang=6\",\"steps\":[{\"count\":6,\"cpu\":30000,\"mem_mb\":64,"      \
	"\"estimated_ms\":" #ms ",\"gang_scheduled\":true}]}"
#define PLAIN(count, ms)                                               \
	"{\"spec\":\"cpu=30000 ms=" #ms " fail=0\",\"steps\":[{\"count\":" \
	#count ",\"cpu\":30000,\"mem_mb\":64,\"estimated_ms\":" #ms "}]}"

Test(kinds, gang_starts_when_there_is_room_for_all_of_it)
{
	struct rig *rig = rig_create(1);

	rig_run(rig, 30);
	rig_submit(rig, "0000000000000001", PLAIN(4, 300));
	rig_run(rig, 30);
	rig_submit(rig, ID, GANG(100, 0));
	rig_run(rig, 150);
	cr_expect_eq(rig_running(rig), 4, "a part of the gang runs");
	rig_run(rig, 500);
	cr_expect_eq(rig->answered, 2);
	cr_expect_eq(rig->result, HOLDER_COMPLETED);
	cr_expect_eq(rig->world.alone, 0);
	cr_expect_eq(wm_task(&rig->world, ID ".0.0.5")->starts, 1);
	rig_destroy(rig);
}

Test(kinds, gang_that_loses_a_server_starts_anew_as_a_whole)
{
	struct rig *rig = rig_create(2);
	uint32_t i;
	char task[WORKER_TASK_NAME_SIZE];

	rig_run(rig, 30);
	rig_submit(rig, ID, GANG(300, 0));
	rig_run(rig, 100);
	wm_crash(&rig->world.servers[0]);
	rig_run(rig, 2500);
	cr_expect_eq(rig->result, HOLDER_COMPLETED);
	cr_expect_eq(rig->answered, 1);
	for (i = 0; i < 6; i++) {
		(void)snprintf(task, sizeof(task), ID ".0.0.%u", i);
		cr_expect_eq(wm_task(&rig->world, task)->starts, 2, "%s", task);
	}
	cr_expect_eq(rig->world.alone, 0);
	rig_destroy(rig);
}

/* The first run of one member fails, which ends those of the others. */
Test(kinds, failed_gang_runs_again_up_to_its_limit)
{
	struct rig *rig = rig_create(3);

	rig_run(rig, 30);
	rig_submit(rig, ID, GANG(50, 2));
	rig_run(rig, 1500);
	cr_expect_eq(rig->answered, 1);
	rig_submit(rig, "0000000000000002", GANG(50, 9));
	rig_run(rig, 1500);
	cr_expect_eq(rig->answered, 2);
	cr_expect_eq(rig->result, HOLDER_FAILED);
	cr_expect_leq(wm_task(&rig->world, "0000000000000002.0.0.0")->fails, 3);
	rig_destroy(rig);
}

Test(kinds, gang_under_lost_and_late_orders_is_whole_or_over)
{
	struct fake_worker_faults *faults;
	struct rig *rig = rig_create(4);
	char id[JOB_ID_LEN + 1];
	uint32_t i;

	faults = fake_worker_faults(rig->worker);
	faults->lost_permille = 100;
	faults->late_permille = 100;
	faults->late_ms = 200;
	rig_run(rig, 30);
	for (i = 1; i <= 8; i++) {
		(void)snprintf(id, sizeof(id), "%016x", i);
		rig_submit(rig, id, GANG(40, 0));
	}
	rig_run(rig, 4000);
	faults->lost_permille = faults->late_permille = 0;
	rig_run(rig, 4000);
	cr_expect_eq(rig->answered, 8);
	cr_expect_eq(rig->result, HOLDER_COMPLETED);
	rig_destroy(rig);
}

Test(kinds, gang_on_one_rack_where_that_has_room)
{
	struct rig *rig = rig_create(5);

	rig_run(rig, 30);
	rig_submit(rig, ID,
	    "{\"spec\":\"cpu=30000 ms=100 fail=0 gang=3\",\"steps\":[{"
	    "\"count\":3,\"cpu\":30000,\"mem_mb\":64,\"estimated_ms\":100,"
	    "\"gang_scheduled\":true,\"same_rack\":true}]}");
	rig_run(rig, 50);
	cr_expect_eq(rig->world.servers[0].starts + rig->world.servers[1].starts,
	    rig->world.servers[2].starts == 0 ? 3 : 0);
	rig_run(rig, 300);
	cr_expect_eq(rig->result, HOLDER_COMPLETED);
	rig_destroy(rig);
}

/* It finds all members, and does not start any of them again. */
Test(kinds, successor_adopts_a_whole_gang)
{
	struct rig *rig = rig_create(6);
	struct holder *successor, *former = rig->holder;

	rig_run(rig, 30);
	rig_submit(rig, ID, GANG(600, 0));
	rig_run(rig, 100);
	holder_destroy(former);
	successor = rig_holder(rig, 20);
	rig->holder = successor;
	rig_submit_to(rig, successor, ID, GANG(600, 0), true);
	rig_run(rig, 1500);
	cr_expect_eq(rig->result, HOLDER_COMPLETED);
	cr_expect_eq(wm_task(&rig->world, ID ".0.0.3")->starts, 1);
	rig_destroy(rig);
}

Test(kinds, lasting_tasks_run_until_they_are_cancelled)
{
	struct rig *rig = rig_create(7);

	rig_run(rig, 30);
	rig_submit(rig, ID,
	    "{\"spec\":\"cpu=1000 ms=150 fail=0\",\"long_running\":true,"
	    "\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":64}]}");
	rig_run(rig, 100);
	cr_expect_eq(rig_running(rig), 3);
	rig_run(rig, 500);
	cr_expect_eq(rig->answered, 0, "it ended");
	cr_expect_geq(wm_task(&rig->world, ID ".0.0.1")->starts, 3);
	holder_cancel(rig->holder, ID, rig);
	rig_run(rig, 300);
	cr_expect_eq(rig_running(rig), 0);
	rig_destroy(rig);
}

Test(kinds, task_goes_on_from_its_checkpoint)
{
	struct rig *rig = rig_create(8);

	rig->world.checkpoints = true;
	rig_run(rig, 30);
	rig_submit(rig, ID, PLAIN(1, 800));
	rig_run(rig, 500);
	cr_assert_eq(rig_running(rig), 1);
	wm_crash(&rig->world.servers[0]);
	wm_crash(&rig->world.servers[1]);
	wm_crash(&rig->world.servers[2]);
	wm_crash(&rig->world.servers[3]);
	/* Its last 500 ms, after up to 300 in which the loss is found. */
	rig_run(rig, 1000);
	cr_expect_eq(rig->world.resumed, 1);
	cr_expect_eq(rig->answered, 1, "it began from the start");
	rig_destroy(rig);
}
