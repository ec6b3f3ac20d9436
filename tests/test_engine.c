/*
 * The engine over a fake backend: starts, ends, refusals, leaving servers,
 * cancellation; and random sequences that check what must always hold.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "entry/engine.h"
#include "support/fake_backend.h"
#include "support/fake_clock.h"

struct bench {
	struct event_base *base;
	struct fake_clock clock;
	struct fake_backend fake;
	struct engine *engine;
	uint64_t version;
	int ndone;
	enum outcome outcome; /* of the last answer */
	struct answer *last;  /* owned */
};

struct world {
	int nservers;
	const char *remote;  /* name of a server in another zone */
	const char *label;   /* of server s0 */
	const char *missing; /* server that is not configured */
	struct cfg_job job;
	uint32_t team_max;
	uint32_t slots;
};

static struct cfg_object *
object_create(enum cfg_kind kind, const char *name)
{
	struct cfg_object *object = calloc(1, sizeof(*object));

	object->kind = kind;
	snprintf(object->name, sizeof(object->name), "%s", name);
	return object;
}

static void
put_server(struct config *config, const struct world *world, int i)
{
	struct cfg_object *object;
	char name[NAME_SIZE];

	snprintf(name, sizeof(name), "s%d", i);
	if (world->missing != NULL && strcmp(world->missing, name) == 0)
		return;
	object = object_create(CFG_SERVER, name);
	strcpy(object->u.server.address, "127.0.0.1");
	object->u.server.port = (uint16_t)(1000 + i);
	strcpy(object->u.server.az, "ikeja");
	if (world->remote != NULL && strcmp(world->remote, name) == 0)
		strcpy(object->u.server.az, "lekki");
	object->u.server.slots = world->slots ? world->slots : 2;
	object->u.server.connections = 64;
	lbl_set(&object->labels, "service", "gate", NULL);
	if (i == 0 && world->label != NULL)
		lbl_set(&object->labels, world->label, "", NULL);
	cfg_put(config, object);
}

static void
configure(struct bench *b, const struct world *world)
{
	struct config *config = cfg_create();
	struct cfg_object *object;
	int i;

	config->version = ++b->version;
	object = object_create(CFG_SERVICE, "gate");
	strcpy(object->u.service.path, "/run");
	object->u.service.selector = sel_parse("service=gate", NULL);
	cfg_put(config, object);
	object = object_create(CFG_JOB, "renew");
	object->u.job = world->job;
	strcpy(object->u.job.service, "gate");
	strcpy(object->u.job.team, "kiosks");
	cfg_put(config, object);
	object = object_create(CFG_JOB, "nowhere");
	strcpy(object->u.job.service, "gate");
	object->u.job.selector = sel_parse("moon=full", NULL);
	cfg_put(config, object);
	object = object_create(CFG_TEAM, "kiosks");
	object->u.team.running_max = world->team_max;
	cfg_put(config, object);
	for (i = 0; i < world->nservers; i++)
		put_server(config, world, i);
	engine_configure(b->engine, config);
	cfg_free(config);
}

static void
bench_init(struct bench *b, const char *policy, const struct world *world)
{
	struct engine_params params = {
		.policy = policy,
		.az = "ikeja",
		.host = "e1",
		.seed = 11,
		.queue_tasks_max = 1000,
		.queue_bytes_max = 1 << 20,
	};

	memset(b, 0, sizeof(*b));
	b->base = event_base_new();
	fake_clock_init(&b->clock, 1000000);
	fake_backend_init(&b->fake);
	params.base = b->base;
	params.clock = &b->clock.clock;
	params.backend = &b->fake.backend;
	b->engine = engine_create(&params);
	cr_assert_not_null(b->engine);
	configure(b, world);
}

static void
bench_clear(struct bench *b)
{
	subm_answer_free(b->last);
	engine_destroy(b->engine);
	fake_backend_clear(&b->fake);
	event_base_free(b->base);
}

static void
on_answer(void *arg, struct answer *answer)
{
	struct bench *b = arg;

	b->ndone++;
	b->outcome = answer->outcome;
	subm_answer_free(b->last);
	b->last = answer;
}

static int
submit_as(struct bench *b, const char *id, const char *job, size_t ntasks,
    bool single, struct err *err)
{
	struct submission *subm = subm_create(ntasks);

	snprintf(subm->id, sizeof(subm->id), "%s", id);
	snprintf(subm->job, sizeof(subm->job), "%s", job);
	subm->single = single;
	if (engine_submit(b->engine, subm, on_answer, b, err) == 0)
		return 0;
	subm_free(subm);
	return -1;
}

static void
submit(struct bench *b, const char *id, size_t ntasks)
{
	struct err err = { 0 };

	cr_assert_eq(submit_as(b, id, "renew", ntasks, false, &err), 0, "%s",
	    err.message);
}

static void
settle(struct bench *b)
{
	event_base_loop(b->base, EVLOOP_NONBLOCK);
}

/* Ends the oldest open call. */
static void
end_first(struct bench *b, enum backend_status status)
{
	cr_assert(!TAILQ_EMPTY(&b->fake.calls), "no call is open");
	b->clock.us += 10000;
	fake_backend_end(&b->fake, TAILQ_FIRST(&b->fake.calls), status, false);
	settle(b);
}

static void
end_all(struct bench *b)
{
	while (!TAILQ_EMPTY(&b->fake.calls))
		end_first(b, BACKEND_OK);
}

/* Time passes, for the engine's tick as well. */
static void
pass(struct bench *b, uint64_t us)
{
	b->clock.us += us;
	if (event_base_get_num_events(b->base, EVENT_BASE_COUNT_ADDED) != 0)
		event_base_loop(b->base, EVLOOP_ONCE);
}

Test(engine, answers_whole_and_keeps_to_the_slots)
{
	struct world world = { .nservers = 3 };
	struct bench b;
	size_t ended, ntasks;

	bench_init(&b, "default", &world);
	submit(&b, "j", 20);
	cr_assert_eq(b.fake.ncalls, 6);
	cr_assert_eq(engine_active_tasks(b.engine), 20);
	end_first(&b, BACKEND_OK);
	cr_assert(engine_progress(b.engine, "j", &ended, &ntasks));
	cr_assert_eq(ended, 1);
	cr_assert_eq(ntasks, 20);
	end_all(&b);
	cr_assert_eq(b.ndone, 1);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	cr_assert_eq(memcmp(b.last->results[19].body, "ok", 2), 0);
	cr_assert_eq(b.fake.nstarts, 20);
	cr_assert_not(engine_progress(b.engine, "j", &ended, &ntasks));
	bench_clear(&b);
}

Test(engine, refuses_what_can_never_run)
{
	struct world world = { .nservers = 1 };
	struct err err = { 0 };
	struct bench b;

	bench_init(&b, "default", &world);
	cr_assert_eq(submit_as(&b, "a", "absent", 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_NOT_FOUND);
	cr_assert_eq(submit_as(&b, "a", "nowhere", 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_NO_SERVER);
	cr_assert_eq(
	    submit_as(&b, "a", "renew", JOB_TASKS_MAX + 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_TOO_LARGE);
	submit(&b, "a", 1);
	cr_assert_eq(submit_as(&b, "a", "renew", 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_CONFLICT);
	cr_assert_eq(b.fake.nstarts, 1);
	bench_clear(&b);
}

Test(engine, refuses_more_than_the_queue_holds_or_the_deadline_allows)
{
	struct world world = { .nservers = 1 };
	struct err err = { 0 };
	struct bench b;
	char id[16];
	int i;

	bench_init(&b, "default", &world);
	for (i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		submit(&b, id, 100);
	}
	cr_assert_eq(submit_as(&b, "k", "renew", 100, false, &err), -1);
	cr_assert_eq(err.code, ERR_OVERLOAD);
	world.job.deadline_ms = 1;
	configure(&b, &world);
	cr_assert_eq(submit_as(&b, "k", "renew", 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_DEADLINE);
	bench_clear(&b);
}

Test(engine, starts_again_only_what_certainly_did_not_start)
{
	struct world world = { .nservers = 2, .slots = 1 };
	struct bench b;

	bench_init(&b, "default", &world);
	submit(&b, "j", 1);
	end_first(&b, BACKEND_NOT_SENT);
	cr_assert_eq(b.ndone, 0);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	submit(&b, "k", 1);
	end_first(&b, BACKEND_UNKNOWN);
	cr_assert_eq(b.outcome, OUTCOME_UNKNOWN);
	cr_assert_eq(fake_backend_task(&b.fake, "k/0")->nstarts, 1);
	submit(&b, "l", 1);
	end_first(&b, BACKEND_TASK_FAILED);
	cr_assert_eq(b.outcome, OUTCOME_TASK_FAILED);
	cr_assert_eq(fake_backend_task(&b.fake, "l/0")->nstarts, 1);
	bench_clear(&b);
}

Test(engine, server_that_refused_is_left_alone_for_a_moment)
{
	struct world world = { .nservers = 1, .slots = 4 };
	struct bench b;

	bench_init(&b, "default", &world);
	submit(&b, "j", 2);
	end_first(&b, BACKEND_REFUSED);
	cr_assert_eq(b.fake.ncalls, 1, "sent again at once");
	pass(&b, 30000);
	cr_assert_eq(b.fake.ncalls, 2);
	end_all(&b);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	bench_clear(&b);
}

/* A refused task did not start: it waits on, however often it is refused, and
 * the server is asked at growing intervals. */
Test(engine, refusals_never_fail_a_job)
{
	struct world world = { .nservers = 1, .slots = 1 };
	uint64_t waited_us[7];
	struct bench b;
	size_t i;

	bench_init(&b, "default", &world);
	submit(&b, "j", 1);
	for (i = 0; i < 7; i++) {
		end_first(&b, BACKEND_REFUSED);
		for (waited_us[i] = 0; b.fake.ncalls == 0;
		     waited_us[i] += 10000)
			pass(&b, 10000);
	}
	cr_assert_geq(waited_us[0], 20000);
	cr_assert_geq(waited_us[3], 4 * waited_us[1] - 10000);
	cr_assert_leq(waited_us[6], 700000);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	bench_clear(&b);
}

Test(engine, failed_job_starts_no_more_tasks)
{
	struct world world = { .nservers = 1 };
	struct bench b;

	bench_init(&b, "default", &world);
	submit(&b, "j", 10);
	end_first(&b, BACKEND_TASK_FAILED);
	cr_assert_eq(b.ndone, 0);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(b.ndone, 1);
	cr_assert_eq(b.outcome, OUTCOME_TASK_FAILED);
	cr_assert_eq(b.fake.nstarts, 2);
	cr_assert_eq(b.last->results[9].state, TASK_NOT_RUN);
	bench_clear(&b);
}

Test(engine, cancel_frees_the_places_of_waiting_tasks)
{
	struct world world = { .nservers = 1 };
	struct bench b;

	bench_init(&b, "default", &world);
	submit(&b, "j", 10);
	submit(&b, "k", 5);
	cr_assert(engine_cancel(b.engine, "k"));
	settle(&b);
	cr_assert_eq(b.outcome, OUTCOME_NOT_RUN);
	cr_assert_eq(b.last->err.code, ERR_CANCELLED);
	cr_assert(engine_cancel(b.engine, "j"));
	cr_assert_eq(engine_active_tasks(b.engine), 2);
	end_all(&b);
	cr_assert_eq(b.ndone, 2);
	cr_assert_eq(b.outcome, OUTCOME_TASK_FAILED);
	cr_assert_not(engine_cancel(b.engine, "j"));
	cr_assert_null(fake_backend_task(&b.fake, "k/0"));
	bench_clear(&b);
}

Test(engine, leaving_server_gets_nothing_new_from_any_source)
{
	struct world world = { .nservers = 2 };
	struct bench b;

	bench_init(&b, "default", &world);
	engine_set_server_leaving(b.engine, "s0", "list", true);
	submit(&b, "j", 40);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 0);
	engine_set_server_leaving(b.engine, "s0", "list", false);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 2);
	/* Its own word. */
	fake_backend_end(&b.fake, TAILQ_LAST(&b.fake.calls, fake_calls),
	    BACKEND_OK, true);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 1, "running goes on");
	engine_set_server_leaving(b.engine, "s0", "list", false);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 1, "list never said so");
	/* The label, and a higher version without it. */
	world.label = "leaving";
	configure(&b, &world);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 1);
	world.label = NULL;
	configure(&b, &world);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 2);
	/* Removed from the configuration, with work running. */
	world.missing = "s0";
	configure(&b, &world);
	while (fake_backend_open(&b.fake, "s0") != 0)
		end_first(&b, BACKEND_OK);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 0);
	world.missing = NULL;
	configure(&b, &world);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 2);
	end_all(&b);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	bench_clear(&b);
}

Test(engine, label_removed_outweighs_a_list_that_lags)
{
	struct world world = { .nservers = 1, .label = "leaving" };
	struct bench b;

	bench_init(&b, "default", &world);
	engine_set_server_leaving(b.engine, "s0", "list", true);
	world.label = NULL;
	configure(&b, &world);
	engine_set_server_leaving(b.engine, "s0", "list", true);
	submit(&b, "j", 1);
	cr_assert_eq(b.fake.ncalls, 1);
	engine_set_server_leaving(b.engine, "s0", "list", false);
	engine_set_server_leaving(b.engine, "s0", "list", true);
	submit(&b, "k", 1);
	cr_assert_eq(b.fake.ncalls, 1, "a new word counts");
	bench_clear(&b);
}

Test(engine, server_that_fails_all_is_ejected_and_tried_again)
{
	struct world world = { .nservers = 6, .slots = 1 };
	struct backend_call *call, *next;
	struct bench b;
	char id[16];
	int i, bad = 0;

	bench_init(&b, "default", &world);
	for (i = 0; i < 200; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		submit(&b, id, 1);
		for (call = TAILQ_FIRST(&b.fake.calls); call != NULL;
		     call = next) {
			next = TAILQ_NEXT(call, entry);
			b.clock.us += 1000;
			bad += strcmp(call->server, "s3") == 0;
			fake_backend_end(&b.fake, call,
			    strcmp(call->server, "s3") == 0
				? BACKEND_TASK_FAILED
				: BACKEND_OK,
			    false);
		}
		settle(&b);
	}
	cr_assert_leq(bad, 4, "%d tasks were wasted on it", bad);
	/* Much later one task tries it, and readmits it. */
	pass(&b, 100000000);
	submit(&b, "late", 30);
	cr_assert_eq(fake_backend_open(&b.fake, "s3"), 1);
	end_all(&b);
	submit(&b, "later", 30);
	cr_assert_eq(fake_backend_open(&b.fake, "s3"), 1);
	bench_clear(&b);
}

Test(engine, team_keeps_to_its_quota)
{
	struct world world = { .nservers = 4, .team_max = 3 };
	struct bench b;

	bench_init(&b, "default", &world);
	submit(&b, "j", 10);
	cr_assert_eq(b.fake.ncalls, 3);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(b.fake.ncalls, 3);
	world.team_max = 5;
	configure(&b, &world);
	cr_assert_eq(b.fake.ncalls, 5);
	end_all(&b);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	bench_clear(&b);
}

Test(engine, other_zone_serves_when_the_own_one_can_not)
{
	struct world world = { .nservers = 2, .remote = "s1" };
	struct bench b;

	bench_init(&b, "default", &world);
	submit(&b, "j", 3);
	cr_assert_eq(fake_backend_open(&b.fake, "s1"), 0);
	engine_set_server_leaving(b.engine, "s0", "list", true);
	submit(&b, "k", 2);
	cr_assert_eq(fake_backend_open(&b.fake, "s1"), 1);
	end_all(&b);
	cr_assert_eq(b.ndone, 2);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	bench_clear(&b);
}

Test(engine, only_repeatable_single_requests_are_hedged_or_repeated)
{
	struct world world = { .nservers = 2,
		.job = { .repeatable = true, .hedge = true, .run_ms = 10 } };
	struct err err;
	struct bench b;
	char id[16];
	int i;

	bench_init(&b, "default", &world);
	for (i = 0; i < 50; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		submit(&b, id, 1);
		end_all(&b);
	}
	submit(&b, "job", 1);
	pass(&b, 10000000);
	cr_assert_eq(b.fake.ncalls, 1, "a submission was hedged");
	end_all(&b);
	submit_as(&b, "r1", "renew", 1, true, &err);
	pass(&b, 10000000);
	cr_assert_eq(b.fake.ncalls, 2);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	cr_assert_eq(b.fake.ncalls, 1, "the other one still has its slot");
	cr_assert_eq(engine_active_tasks(b.engine), 0);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(b.ndone, 52, "answered twice");
	submit_as(&b, "r2", "renew", 1, true, &err);
	end_first(&b, BACKEND_UNKNOWN);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(b.outcome, OUTCOME_COMPLETE);
	/* Not repeatable. */
	world.job.repeatable = false;
	configure(&b, &world);
	submit_as(&b, "r3", "renew", 1, true, &err);
	pass(&b, 10000000);
	cr_assert_eq(b.fake.ncalls, 1);
	end_first(&b, BACKEND_UNKNOWN);
	cr_assert_eq(b.outcome, OUTCOME_UNKNOWN);
	bench_clear(&b);
}

Test(engine, deadline_ends_what_waits)
{
	struct world world = { .nservers = 1, .job = { .deadline_ms = 2000 } };
	struct submission *subm = subm_create(6);
	struct bench b;

	bench_init(&b, "default,admit=off", &world);
	strcpy(subm->id, "j");
	strcpy(subm->job, "renew");
	subm->timeout_us = 1000;
	cr_assert_eq(engine_submit(b.engine, subm, on_answer, &b, NULL), 0);
	while (engine_active_tasks(b.engine) != 2)
		pass(&b, 1000);
	end_all(&b);
	cr_assert_eq(b.outcome, OUTCOME_TASK_FAILED);
	cr_assert_eq(b.last->err.code, ERR_DEADLINE);
	cr_assert_eq(b.fake.nstarts, 2);
	bench_clear(&b);
}

/* Slots are split between hosts; what one lends, the other may use. */
Test(engine, slots_are_split_and_lent)
{
	const char *hosts[] = { "e1", "e2" };
	struct engine_az_hosts share = { .az = "ikeja",
		.nhosts = 2,
		.hosts = hosts };
	struct world world = { .nservers = 2, .slots = 8 };
	struct engine_loan taken = { .server = "s1", .slots = 2, .lender = 7 };
	struct engine_loan wants[4];
	struct bench b;

	bench_init(&b, "default", &world);
	engine_set_az_hosts(b.engine, &share);
	cr_assert_eq(engine_loan_grant(b.engine, "s0", 3, 1000000), 3);
	cr_assert_eq(engine_loan_grant(b.engine, "s0", 3, 1000000), 0,
	    "one stays");
	submit(&b, "j", 100);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 1);
	cr_assert_eq(fake_backend_open(&b.fake, "s1"), 4);
	cr_assert_eq(engine_loan_grant(b.engine, "s1", 1, 1000000), 0);
	cr_assert_eq(engine_loan_requests(b.engine, wants, 4), 2);
	cr_assert(engine_loan_accept(b.engine, &taken, 1000000));
	cr_assert_eq(fake_backend_open(&b.fake, "s1"), 6);
	engine_loan_returned(b.engine, "s0", 1);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 2, "given back early");
	pass(&b, 2000000);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 4, "loans run out");
	end_first(&b, BACKEND_OK);
	cr_assert_eq(fake_backend_open(&b.fake, "s1"), 5);
	bench_clear(&b);
}

/* A slot is owed to its lender when its time is over and no task uses it. */
Test(engine, borrowed_slots_are_given_back_when_their_tasks_end)
{
	const char *hosts[] = { "e1", "e2" };
	struct engine_az_hosts share = { .az = "ikeja",
		.nhosts = 2,
		.hosts = hosts };
	struct world world = { .nservers = 1, .slots = 8 };
	struct engine_loan taken = { .server = "s0", .slots = 3, .lender = 7 };
	struct engine_loan owed[4];
	struct bench b;

	bench_init(&b, "default", &world);
	engine_set_az_hosts(b.engine, &share);
	submit(&b, "j", 6);
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 4);
	cr_assert(engine_loan_accept(b.engine, &taken, 100000));
	cr_assert_eq(fake_backend_open(&b.fake, "s0"), 6);
	cr_assert_eq(engine_loan_collect_returns(b.engine, owed, 4), 0);
	pass(&b, 200000);
	/* Two of three are in use. */
	cr_assert_eq(engine_loan_collect_returns(b.engine, owed, 4), 1);
	cr_assert_eq(owed[0].slots, 1);
	cr_assert_eq(owed[0].lender, 7);
	end_first(&b, BACKEND_OK);
	end_first(&b, BACKEND_OK);
	end_first(&b, BACKEND_OK);
	cr_assert_eq(engine_loan_collect_returns(b.engine, owed, 4), 1);
	cr_assert_eq(owed[0].slots, 2, "the own slots stay");
	cr_assert_eq(engine_loan_collect_returns(b.engine, owed, 4), 0);
	bench_clear(&b);
}

/* A repeatable request ("r...") is tried twice at most, and hedged once. */
#define REPEATABLE_STARTS_MAX 3

/* Checks the record of all tasks against the answers' meaning. */
static void
check_starts(const struct bench *b, bool repeatable)
{
	const struct fake_start *start;
	unsigned most;
	size_t i;

	for (i = 0; i < b->fake.nstarts; i++) {
		start = &b->fake.starts[i];
		most = 1;
		if (repeatable && start->task_id[0] == 'r')
			most = REPEATABLE_STARTS_MAX;
		cr_assert_leq(start->nran, most, "%s started %u times",
		    start->task_id, (unsigned)start->nran);
	}
}

static enum backend_status
random_status(void)
{
	switch (rand() % 20) {
	case 0:
		return BACKEND_REFUSED;
	case 1:
		return BACKEND_NOT_SENT;
	case 2:
		return rand() % 4 ? BACKEND_OK : BACKEND_UNKNOWN;
	case 3:
		return rand() % 4 ? BACKEND_OK : BACKEND_TASK_FAILED;
	default:
		return BACKEND_OK;
	}
}

static void
random_step(struct bench *b, struct world *world, int round, int *nsubmitted)
{
	struct backend_call *call;
	char id[16], name[16];
	int n;

	snprintf(name, sizeof(name), "s%d", rand() % 4);
	switch (rand() % 24) {
	case 0:
		snprintf(id, sizeof(id), "j%d", round);
		*nsubmitted +=
		    submit_as(b, id, "renew", 1 + rand() % 30,
			!world->job.repeatable && rand() % 4 == 0, NULL) == 0;
		break;
	case 4:
		snprintf(id, sizeof(id), "r%d", round);
		*nsubmitted += submit_as(b, id, "renew", 1, true, NULL) == 0;
		break;
	case 5:
		if (round % 24 == 0)
			pass(b, 100000);
		break;
	case 1:
		snprintf(id, sizeof(id), "j%d", round - rand() % 50);
		engine_cancel(b->engine, id);
		break;
	case 2:
		engine_set_server_leaving(b->engine, name,
		    rand() % 2 ? "list" : "peer", rand() % 2);
		break;
	case 3:
		world->label = rand() % 2 ? "leaving" : NULL;
		world->missing = rand() % 2 ? "s2" : NULL;
		world->team_max = (uint32_t)(rand() % 8);
		configure(b, world);
		break;
	default:
		if (b->fake.ncalls == 0)
			break;
		n = rand() % (int)b->fake.ncalls;
		TAILQ_FOREACH (call, &b->fake.calls, entry) {
			if (n-- == 0)
				break;
		}
		b->clock.us += (uint64_t)(rand() % 20000);
		fake_backend_end(&b->fake, call, random_status(),
		    rand() % 50 == 0);
	}
	settle(b);
}

static void
random_run(const char *policy, unsigned seed, bool repeatable)
{
	struct world world = { .nservers = 4,
		.remote = "s3",
		.job = { .repeatable = repeatable,
		    .hedge = repeatable,
		    .run_ms = 10 } };
	struct bench b;
	int round, nsubmitted = 0, i;
	char name[8];

	srand(seed);
	bench_init(&b, policy, &world);
	for (round = 0; round < 8000; round++) {
		random_step(&b, &world, round, &nsubmitted);
		for (i = 0; i < 4; i++) {
			snprintf(name, sizeof(name), "s%d", i);
			cr_assert_leq(fake_backend_open(&b.fake, name), 2,
			    "seed %u: over the slots", seed);
		}
	}
	world = (struct world){ .nservers = 5 };
	configure(&b, &world);
	world.label = "leaving";
	configure(&b, &world);
	world.label = NULL;
	configure(&b, &world);
	for (i = 0; i < 2000 && engine_active_tasks(b.engine) != 0; i++) {
		end_all(&b);
		pass(&b, 1000000);
	}
	settle(&b);
	check_starts(&b, repeatable);
	cr_assert_eq(engine_active_tasks(b.engine), 0, "seed %u: starved",
	    seed);
	cr_assert_eq(b.ndone, nsubmitted, "seed %u", seed);
	bench_clear(&b);
}

Test(engine, random_sequences_never_start_a_task_twice)
{
	unsigned seed;

	for (seed = 1; seed <= 8; seed++) {
		random_run("default", seed, false);
		random_run("default", seed, true);
		random_run("naive", seed, false);
		random_run("naive", seed, true);
		random_run("default,order=fifo,pick=random-two", seed, true);
	}
}
