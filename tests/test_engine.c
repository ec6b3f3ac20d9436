/*
 * Tests of the engine with a fake backend: starts and ends of tasks, refusals,
 * leaving servers, cancellation, hedges and loans; and random sequences that
 * check the engine's invariants.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "entry/engine.h"
#include "support/fake_backend.h"
#include "support/fake_clock.h"

struct fixture {
	struct event_base *base;
	struct fake_clock clock;
	struct fake_backend fake;
	struct engine *engine;
	uint64_t version;
	int ndone;
	enum outcome outcome;	    /* of the last answer */
	struct answer *last_answer; /* owned */
};

struct setup {
	int nservers;
	const char *remote_server;	 /* name of a server in another zone */
	const char *s0_label;		 /* label of server s0 */
	const char *unconfigured_server; /* server that is not configured */
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
add_server(struct config *config, const struct setup *setup, int i)
{
	struct cfg_object *object;
	char name[NAME_SIZE];

	snprintf(name, sizeof(name), "s%d", i);
	if (setup->unconfigured_server != NULL &&
	    strcmp(setup->unconfigured_server, name) == 0)
		return;
	object = object_create(CFG_SERVER, name);
	strcpy(object->u.server.address, "127.0.0.1");
	object->u.server.port = (uint16_t)(1000 + i);
	strcpy(object->u.server.az, "ikeja");
	if (setup->remote_server != NULL &&
	    strcmp(setup->remote_server, name) == 0)
		strcpy(object->u.server.az, "lekki");
	object->u.server.slots = setup->slots ? setup->slots : 2;
	object->u.server.connections = 64;
	lbl_set(&object->labels, "service", "gate", NULL);
	if (i == 0 && setup->s0_label != NULL)
		lbl_set(&object->labels, setup->s0_label, "", NULL);
	cfg_put(config, object);
}

static void
configure(struct fixture *fx, const struct setup *setup)
{
	struct config *config = cfg_create();
	struct cfg_object *object;
	int i;

	config->version = ++fx->version;
	object = object_create(CFG_SERVICE, "gate");
	strcpy(object->u.service.path, "/run");
	object->u.service.selector = sel_parse("service=gate", NULL);
	cfg_put(config, object);
	object = object_create(CFG_JOB, "renew");
	object->u.job = setup->job;
	strcpy(object->u.job.service, "gate");
	strcpy(object->u.job.team, "kiosks");
	cfg_put(config, object);
	object = object_create(CFG_JOB, "unservable");
	strcpy(object->u.job.service, "gate");
	object->u.job.selector = sel_parse("service=absent", NULL);
	cfg_put(config, object);
	object = object_create(CFG_TEAM, "kiosks");
	object->u.team.running_max = setup->team_max;
	cfg_put(config, object);
	for (i = 0; i < setup->nservers; i++)
		add_server(config, setup, i);
	engine_configure(fx->engine, config);
	cfg_free(config);
}

static void
fixture_init(struct fixture *fx, const char *policy, const struct setup *setup)
{
	struct engine_params params = {
		.policy = policy,
		.az = "ikeja",
		.host = "e1",
		.seed = 11,
		.queue_tasks_max = 1000,
		.queue_bytes_max = 1 << 20,
	};

	memset(fx, 0, sizeof(*fx));
	fx->base = event_base_new();
	fake_clock_init(&fx->clock, 1000000);
	fake_backend_init(&fx->fake);
	params.base = fx->base;
	params.clock = &fx->clock.clock;
	params.backend = &fx->fake.backend;
	fx->engine = engine_create(&params);
	cr_assert_not_null(fx->engine);
	configure(fx, setup);
}

static void
fixture_clear(struct fixture *fx)
{
	subm_answer_free(fx->last_answer);
	engine_destroy(fx->engine);
	fake_backend_clear(&fx->fake);
	event_base_free(fx->base);
}

static void
on_answer(void *arg, struct answer *answer)
{
	struct fixture *fx = arg;

	fx->ndone++;
	fx->outcome = answer->outcome;
	subm_answer_free(fx->last_answer);
	fx->last_answer = answer;
}

static int
submit_as(struct fixture *fx, const char *id, const char *job, size_t ntasks,
    bool single, struct err *err)
{
	struct submission *subm = subm_create(ntasks);

	snprintf(subm->id, sizeof(subm->id), "%s", id);
	snprintf(subm->job, sizeof(subm->job), "%s", job);
	subm->single = single;
	if (engine_submit(fx->engine, subm, on_answer, fx, err) == 0)
		return 0;
	subm_free(subm);
	return -1;
}

static void
submit(struct fixture *fx, const char *id, size_t ntasks)
{
	struct err err = { 0 };

	cr_assert_eq(submit_as(fx, id, "renew", ntasks, false, &err), 0, "%s",
	    err.message);
}

static void
run_pending_events(struct fixture *fx)
{
	event_base_loop(fx->base, EVLOOP_NONBLOCK);
}

/* Ends the oldest open call. */
static void
end_oldest_call(struct fixture *fx, enum backend_status status)
{
	cr_assert(!TAILQ_EMPTY(&fx->fake.calls), "no open call");
	fx->clock.us += 10000;
	fake_backend_end(&fx->fake, TAILQ_FIRST(&fx->fake.calls), status,
	    false);
	run_pending_events(fx);
}

static void
end_all_calls(struct fixture *fx)
{
	while (!TAILQ_EMPTY(&fx->fake.calls))
		end_oldest_call(fx, BACKEND_OK);
}

/* Advances the clock, and runs the engine's tick if one is pending. */
static void
advance_time(struct fixture *fx, uint64_t us)
{
	fx->clock.us += us;
	if (event_base_get_num_events(fx->base, EVENT_BASE_COUNT_ADDED) != 0)
		event_base_loop(fx->base, EVLOOP_ONCE);
}

Test(engine, completes_submission_within_slot_limits)
{
	struct setup setup = { .nservers = 3 };
	struct fixture fx;
	size_t ended, ntasks;

	fixture_init(&fx, "default", &setup);
	submit(&fx, "j", 20);
	cr_assert_eq(fx.fake.ncalls, 6);
	cr_assert_eq(engine_active_tasks(fx.engine), 20);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert(engine_progress(fx.engine, "j", &ended, &ntasks));
	cr_assert_eq(ended, 1);
	cr_assert_eq(ntasks, 20);
	end_all_calls(&fx);
	cr_assert_eq(fx.ndone, 1);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	cr_assert_eq(memcmp(fx.last_answer->results[19].body, "ok", 2), 0);
	cr_assert_eq(fx.fake.ntasks_started, 20);
	cr_assert_not(engine_progress(fx.engine, "j", &ended, &ntasks));
	fixture_clear(&fx);
}

Test(engine, refuses_submissions_that_can_not_run)
{
	struct setup setup = { .nservers = 1 };
	struct err err = { 0 };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	cr_assert_eq(submit_as(&fx, "a", "absent", 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_NOT_FOUND);
	cr_assert_eq(submit_as(&fx, "a", "unservable", 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_NO_SERVER);
	cr_assert_eq(
	    submit_as(&fx, "a", "renew", JOB_TASKS_MAX + 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_TOO_LARGE);
	submit(&fx, "a", 1);
	cr_assert_eq(submit_as(&fx, "a", "renew", 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_CONFLICT);
	cr_assert_eq(fx.fake.ntasks_started, 1);
	fixture_clear(&fx);
}

Test(engine, refuses_on_full_queue_or_unreachable_deadline)
{
	struct setup setup = { .nservers = 1 };
	struct err err = { 0 };
	struct fixture fx;
	char id[16];
	int i;

	fixture_init(&fx, "default", &setup);
	for (i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		submit(&fx, id, 100);
	}
	cr_assert_eq(submit_as(&fx, "k", "renew", 100, false, &err), -1);
	cr_assert_eq(err.code, ERR_OVERLOAD);
	setup.job.deadline_ms = 1;
	configure(&fx, &setup);
	cr_assert_eq(submit_as(&fx, "k", "renew", 1, false, &err), -1);
	cr_assert_eq(err.code, ERR_DEADLINE);
	fixture_clear(&fx);
}

Test(engine, retries_only_tasks_that_did_not_start)
{
	struct setup setup = { .nservers = 2, .slots = 1 };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	submit(&fx, "j", 1);
	end_oldest_call(&fx, BACKEND_NOT_SENT);
	cr_assert_eq(fx.ndone, 0);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	submit(&fx, "k", 1);
	end_oldest_call(&fx, BACKEND_UNKNOWN);
	cr_assert_eq(fx.outcome, OUTCOME_UNKNOWN);
	cr_assert_eq(fake_backend_task(&fx.fake, "k/0")->nstarts, 1);
	submit(&fx, "l", 1);
	end_oldest_call(&fx, BACKEND_TASK_FAILED);
	cr_assert_eq(fx.outcome, OUTCOME_TASK_FAILED);
	cr_assert_eq(fake_backend_task(&fx.fake, "l/0")->nstarts, 1);
	fixture_clear(&fx);
}

Test(engine, server_is_paused_after_a_refusal)
{
	struct setup setup = { .nservers = 1, .slots = 4 };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	submit(&fx, "j", 2);
	end_oldest_call(&fx, BACKEND_REFUSED);
	cr_assert_eq(fx.fake.ncalls, 1, "a task was sent to a paused server");
	advance_time(&fx, 30000);
	cr_assert_eq(fx.fake.ncalls, 2);
	end_all_calls(&fx);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	fixture_clear(&fx);
}

/* A refused task did not start. It waits until it is accepted, however often it
 * is refused, and is sent again at growing intervals. */
Test(engine, refusals_do_not_fail_a_submission)
{
	struct setup setup = { .nservers = 1, .slots = 1 };
	uint64_t pause_us[7];
	struct fixture fx;
	size_t i;

	fixture_init(&fx, "default", &setup);
	submit(&fx, "j", 1);
	for (i = 0; i < 7; i++) {
		end_oldest_call(&fx, BACKEND_REFUSED);
		for (pause_us[i] = 0; fx.fake.ncalls == 0; pause_us[i] += 10000)
			advance_time(&fx, 10000);
	}
	cr_assert_geq(pause_us[0], 20000);
	cr_assert_geq(pause_us[3], 4 * pause_us[1] - 10000);
	cr_assert_leq(pause_us[6], 700000);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	fixture_clear(&fx);
}

Test(engine, failed_submission_starts_no_more_tasks)
{
	struct setup setup = { .nservers = 1 };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	submit(&fx, "j", 10);
	end_oldest_call(&fx, BACKEND_TASK_FAILED);
	cr_assert_eq(fx.ndone, 0);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fx.ndone, 1);
	cr_assert_eq(fx.outcome, OUTCOME_TASK_FAILED);
	cr_assert_eq(fx.fake.ntasks_started, 2);
	cr_assert_eq(fx.last_answer->results[9].state, TASK_NOT_RUN);
	fixture_clear(&fx);
}

Test(engine, cancel_removes_waiting_tasks)
{
	struct setup setup = { .nservers = 1 };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	submit(&fx, "j", 10);
	submit(&fx, "k", 5);
	cr_assert(engine_cancel(fx.engine, "k"));
	run_pending_events(&fx);
	cr_assert_eq(fx.outcome, OUTCOME_NOT_RUN);
	cr_assert_eq(fx.last_answer->err.code, ERR_CANCELLED);
	cr_assert(engine_cancel(fx.engine, "j"));
	cr_assert_eq(engine_active_tasks(fx.engine), 2);
	end_all_calls(&fx);
	cr_assert_eq(fx.ndone, 2);
	cr_assert_eq(fx.outcome, OUTCOME_TASK_FAILED);
	cr_assert_not(engine_cancel(fx.engine, "j"));
	cr_assert_null(fake_backend_task(&fx.fake, "k/0"));
	fixture_clear(&fx);
}

Test(engine, leaving_server_receives_no_tasks)
{
	struct setup setup = { .nservers = 2 };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	engine_set_server_leaving(fx.engine, "s0", "list", true);
	submit(&fx, "j", 40);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 0);
	engine_set_server_leaving(fx.engine, "s0", "list", false);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 2);
	/* A reply of the server reports that it is leaving. */
	fake_backend_end(&fx.fake, TAILQ_LAST(&fx.fake.calls, fake_call_list),
	    BACKEND_OK, true);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 1,
	    "running tasks are not interrupted");
	engine_set_server_leaving(fx.engine, "s0", "list", false);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 1,
	    "the list had not reported it as leaving");
	/* The label, and a newer version of the configuration without it. */
	setup.s0_label = "leaving";
	configure(&fx, &setup);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 1);
	setup.s0_label = NULL;
	configure(&fx, &setup);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 2);
	/* The server is removed from the configuration while tasks run. */
	setup.unconfigured_server = "s0";
	configure(&fx, &setup);
	while (fake_backend_open_calls(&fx.fake, "s0") != 0)
		end_oldest_call(&fx, BACKEND_OK);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 0);
	setup.unconfigured_server = NULL;
	configure(&fx, &setup);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 2);
	end_all_calls(&fx);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	fixture_clear(&fx);
}

Test(engine, label_removal_overrides_outdated_list)
{
	struct setup setup = { .nservers = 1, .s0_label = "leaving" };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	engine_set_server_leaving(fx.engine, "s0", "list", true);
	setup.s0_label = NULL;
	configure(&fx, &setup);
	engine_set_server_leaving(fx.engine, "s0", "list", true);
	submit(&fx, "j", 1);
	cr_assert_eq(fx.fake.ncalls, 1);
	engine_set_server_leaving(fx.engine, "s0", "list", false);
	engine_set_server_leaving(fx.engine, "s0", "list", true);
	submit(&fx, "k", 1);
	cr_assert_eq(fx.fake.ncalls, 1, "a new report of the list was ignored");
	fixture_clear(&fx);
}

Test(engine, failing_server_is_ejected_and_readmitted)
{
	struct setup setup = { .nservers = 6, .slots = 1 };
	struct backend_call *call, *next;
	struct fixture fx;
	char id[16];
	int i, nfailed = 0;

	fixture_init(&fx, "default", &setup);
	for (i = 0; i < 200; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		submit(&fx, id, 1);
		for (call = TAILQ_FIRST(&fx.fake.calls); call != NULL;
		     call = next) {
			next = TAILQ_NEXT(call, entry);
			fx.clock.us += 1000;
			nfailed += strcmp(call->server, "s3") == 0;
			fake_backend_end(&fx.fake, call,
			    strcmp(call->server, "s3") == 0
				? BACKEND_TASK_FAILED
				: BACKEND_OK,
			    false);
		}
		run_pending_events(&fx);
	}
	cr_assert_leq(nfailed, 4, "%d tasks failed on s3", nfailed);
	/* After the back-off, the success of one probe readmits the server. */
	advance_time(&fx, 100000000);
	submit(&fx, "late", 30);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s3"), 1);
	end_all_calls(&fx);
	submit(&fx, "later", 30);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s3"), 1);
	fixture_clear(&fx);
}

Test(engine, team_quota_limits_running_tasks)
{
	struct setup setup = { .nservers = 4, .team_max = 3 };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	submit(&fx, "j", 10);
	cr_assert_eq(fx.fake.ncalls, 3);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fx.fake.ncalls, 3);
	setup.team_max = 5;
	configure(&fx, &setup);
	cr_assert_eq(fx.fake.ncalls, 5);
	end_all_calls(&fx);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	fixture_clear(&fx);
}

Test(engine, remote_server_is_used_without_usable_local_one)
{
	struct setup setup = { .nservers = 2, .remote_server = "s1" };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	submit(&fx, "j", 3);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s1"), 0);
	engine_set_server_leaving(fx.engine, "s0", "list", true);
	submit(&fx, "k", 2);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s1"), 1);
	end_all_calls(&fx);
	cr_assert_eq(fx.ndone, 2);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	fixture_clear(&fx);
}

Test(engine, only_repeatable_single_requests_are_hedged_or_retried)
{
	struct setup setup = { .nservers = 2,
		.job = { .repeatable = true, .hedge = true, .run_ms = 10 } };
	struct err err;
	struct fixture fx;
	char id[16];
	int i;

	fixture_init(&fx, "default", &setup);
	for (i = 0; i < 50; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		submit(&fx, id, 1);
		end_all_calls(&fx);
	}
	submit(&fx, "job", 1);
	advance_time(&fx, 10000000);
	cr_assert_eq(fx.fake.ncalls, 1,
	    "a submission that is not a single request was hedged");
	end_all_calls(&fx);
	submit_as(&fx, "r1", "renew", 1, true, &err);
	advance_time(&fx, 10000000);
	cr_assert_eq(fx.fake.ncalls, 2);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	cr_assert_eq(fx.fake.ncalls, 1, "the other call was ended");
	cr_assert_eq(engine_active_tasks(fx.engine), 0);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fx.ndone, 52, "more than one answer for a request");
	submit_as(&fx, "r2", "renew", 1, true, &err);
	end_oldest_call(&fx, BACKEND_UNKNOWN);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fx.outcome, OUTCOME_COMPLETE);
	/* A request of a non-repeatable job is neither hedged nor retried. */
	setup.job.repeatable = false;
	configure(&fx, &setup);
	submit_as(&fx, "r3", "renew", 1, true, &err);
	advance_time(&fx, 10000000);
	cr_assert_eq(fx.fake.ncalls, 1);
	end_oldest_call(&fx, BACKEND_UNKNOWN);
	cr_assert_eq(fx.outcome, OUTCOME_UNKNOWN);
	fixture_clear(&fx);
}

Test(engine, deadline_ends_waiting_tasks)
{
	struct setup setup = { .nservers = 1, .job = { .deadline_ms = 2000 } };
	struct submission *subm = subm_create(6);
	struct fixture fx;

	fixture_init(&fx, "default,admit=off", &setup);
	strcpy(subm->id, "j");
	strcpy(subm->job, "renew");
	subm->timeout_us = 1000;
	cr_assert_eq(engine_submit(fx.engine, subm, on_answer, &fx, NULL), 0);
	while (engine_active_tasks(fx.engine) != 2)
		advance_time(&fx, 1000);
	end_all_calls(&fx);
	cr_assert_eq(fx.outcome, OUTCOME_TASK_FAILED);
	cr_assert_eq(fx.last_answer->err.code, ERR_DEADLINE);
	cr_assert_eq(fx.fake.ntasks_started, 2);
	fixture_clear(&fx);
}

/* Slots are divided between hosts; a host uses the slots that another one lends
 * to it. */
Test(engine, slots_are_divided_and_lent)
{
	const char *hosts[] = { "e1", "e2" };
	struct engine_az_hosts az_hosts = { .az = "ikeja",
		.nhosts = 2,
		.hosts = hosts };
	struct setup setup = { .nservers = 2, .slots = 8 };
	struct engine_loan granted = { .server = "s1",
		.slots = 2,
		.lender = 7 };
	struct engine_loan requests[4];
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	engine_set_az_hosts(fx.engine, &az_hosts);
	cr_assert_eq(engine_loan_grant(fx.engine, "s0", 7, 3, 1000000), 3);
	cr_assert_eq(engine_loan_grant(fx.engine, "s0", 7, 3, 1000000), 0,
	    "the reserved slot was lent");
	submit(&fx, "j", 100);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 1);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s1"), 4);
	cr_assert_eq(engine_loan_grant(fx.engine, "s1", 7, 1, 1000000), 0);
	cr_assert_eq(engine_loan_requests(fx.engine, requests, 4), 2);
	cr_assert(engine_loan_accept(fx.engine, &granted, 1000000));
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s1"), 6);
	engine_loan_returned(fx.engine, "s0", 7, 1);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 2,
	    "a returned slot is not used");
	advance_time(&fx, 2000000);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 4,
	    "slots of an expired loan are not used");
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s1"), 5);
	fixture_clear(&fx);
}

/* The borrower was paused; its return ended the loan to another host. */
Test(engine, late_return_of_an_expired_loan_ends_no_other_loan)
{
	const char *hosts[] = { "e1", "e2" };
	struct engine_az_hosts az_hosts = { .az = "ikeja",
		.nhosts = 2,
		.hosts = hosts };
	struct setup setup = { .nservers = 1, .slots = 8 };
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	engine_set_az_hosts(fx.engine, &az_hosts);
	cr_assert_eq(engine_loan_grant(fx.engine, "s0", 1, 3, 100000), 3);
	advance_time(&fx, 200000);
	cr_assert_eq(engine_loan_grant(fx.engine, "s0", 2, 3, 1000000), 3);
	engine_loan_returned(fx.engine, "s0", 1, 3);
	submit(&fx, "j", 4);
	cr_expect_eq(fake_backend_open_calls(&fx.fake, "s0"), 1,
	    "lent slots are used");
	fixture_clear(&fx);
}

/* A borrowed slot is returned when its loan has expired and no task uses it. */
Test(engine, unused_borrowed_slots_are_returned)
{
	const char *hosts[] = { "e1", "e2" };
	struct engine_az_hosts az_hosts = { .az = "ikeja",
		.nhosts = 2,
		.hosts = hosts };
	struct setup setup = { .nservers = 1, .slots = 8 };
	struct engine_loan granted = { .server = "s0",
		.slots = 3,
		.lender = 7 };
	struct engine_loan returns[4];
	struct fixture fx;

	fixture_init(&fx, "default", &setup);
	engine_set_az_hosts(fx.engine, &az_hosts);
	submit(&fx, "j", 6);
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 4);
	cr_assert(engine_loan_accept(fx.engine, &granted, 100000));
	cr_assert_eq(fake_backend_open_calls(&fx.fake, "s0"), 6);
	cr_assert_eq(engine_loan_collect_returns(fx.engine, returns, 4), 0);
	advance_time(&fx, 200000);
	/* Two of the three borrowed slots are in use. */
	cr_assert_eq(engine_loan_collect_returns(fx.engine, returns, 4), 1);
	cr_assert_eq(returns[0].slots, 1);
	cr_assert_eq(returns[0].lender, 7);
	end_oldest_call(&fx, BACKEND_OK);
	end_oldest_call(&fx, BACKEND_OK);
	end_oldest_call(&fx, BACKEND_OK);
	cr_assert_eq(engine_loan_collect_returns(fx.engine, returns, 4), 1);
	cr_assert_eq(returns[0].slots, 2, "slots of this host were returned");
	cr_assert_eq(engine_loan_collect_returns(fx.engine, returns, 4), 0);
	fixture_clear(&fx);
}

/* A repeatable request ("r...") has at most two attempts and one hedge. */
#define REPEATABLE_STARTS_MAX 3

/* Checks the number of starts of each task. */
static void
check_starts(const struct fixture *fx, bool repeatable)
{
	const struct fake_task *task;
	unsigned starts_max;
	size_t i;

	for (i = 0; i < fx->fake.ntasks_started; i++) {
		task = &fx->fake.tasks[i];
		starts_max = 1;
		if (repeatable && task->task_id[0] == 'r')
			starts_max = REPEATABLE_STARTS_MAX;
		cr_assert_leq(task->nruns, starts_max, "%s started %u times",
		    task->task_id, (unsigned)task->nruns);
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
random_step(struct fixture *fx, struct setup *setup, int round, int *nsubmitted)
{
	struct backend_call *call;
	char id[16], name[16];
	int n;

	snprintf(name, sizeof(name), "s%d", rand() % 4);
	switch (rand() % 24) {
	case 0:
		snprintf(id, sizeof(id), "j%d", round);
		*nsubmitted +=
		    submit_as(fx, id, "renew", 1 + rand() % 30,
			!setup->job.repeatable && rand() % 4 == 0, NULL) == 0;
		break;
	case 4:
		snprintf(id, sizeof(id), "r%d", round);
		*nsubmitted += submit_as(fx, id, "renew", 1, true, NULL) == 0;
		break;
	case 5:
		if (round % 24 == 0)
			advance_time(fx, 100000);
		break;
	case 1:
		snprintf(id, sizeof(id), "j%d", round - rand() % 50);
		engine_cancel(fx->engine, id);
		break;
	case 2:
		engine_set_server_leaving(fx->engine, name,
		    rand() % 2 ? "list" : "peer", rand() % 2);
		break;
	case 3:
		setup->s0_label = rand() % 2 ? "leaving" : NULL;
		setup->unconfigured_server = rand() % 2 ? "s2" : NULL;
		setup->team_max = (uint32_t)(rand() % 8);
		configure(fx, setup);
		break;
	default:
		if (fx->fake.ncalls == 0)
			break;
		n = rand() % (int)fx->fake.ncalls;
		TAILQ_FOREACH (call, &fx->fake.calls, entry) {
			if (n-- == 0)
				break;
		}
		fx->clock.us += (uint64_t)(rand() % 20000);
		fake_backend_end(&fx->fake, call, random_status(),
		    rand() % 50 == 0);
	}
	run_pending_events(fx);
}

static void
random_run(const char *policy, unsigned seed, bool repeatable)
{
	struct setup setup = { .nservers = 4,
		.remote_server = "s3",
		.job = { .repeatable = repeatable,
		    .hedge = repeatable,
		    .run_ms = 10 } };
	struct fixture fx;
	int round, nsubmitted = 0, i;
	char name[8];

	srand(seed);
	fixture_init(&fx, policy, &setup);
	for (round = 0; round < 8000; round++) {
		random_step(&fx, &setup, round, &nsubmitted);
		for (i = 0; i < 4; i++) {
			snprintf(name, sizeof(name), "s%d", i);
			cr_assert_leq(fake_backend_open_calls(&fx.fake, name),
			    2, "seed %u: slot limit exceeded", seed);
		}
	}
	setup = (struct setup){ .nservers = 5 };
	configure(&fx, &setup);
	setup.s0_label = "leaving";
	configure(&fx, &setup);
	setup.s0_label = NULL;
	configure(&fx, &setup);
	for (i = 0; i < 2000 && engine_active_tasks(fx.engine) != 0; i++) {
		end_all_calls(&fx);
		advance_time(&fx, 1000000);
	}
	run_pending_events(&fx);
	check_starts(&fx, repeatable);
	cr_assert_eq(engine_active_tasks(fx.engine), 0,
	    "seed %u: tasks did not end", seed);
	cr_assert_eq(fx.ndone, nsubmitted, "seed %u", seed);
	fixture_clear(&fx);
}

Test(engine, random_sequences_start_each_task_at_most_once)
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
