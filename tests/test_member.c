#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/member.h"

#define INTERVAL_US 1000000

static struct member_id
make_id(const char *name, const char *az, uint64_t incarnation)
{
	return (struct member_id){ .name = name,
		.az = az,
		.address = "127.0.0.1",
		.port = 7000,
		.incarnation = incarnation };
}

static const struct member_load heartbeat_load = { .interval_ms = 1000 };

Test(member, member_without_heartbeats_is_suspect_then_dead_then_removed)
{
	struct member_table table;
	struct member_id id = make_id("b", "z1", 7);
	struct member *member;

	mbr_init(&table, "a", "z1");
	member = mbr_hello(&table, 0, &id, true);
	cr_assert(mbr_heartbeat(&table, 0, "b", 7, &heartbeat_load));
	mbr_tick(&table, 3 * INTERVAL_US - 1);
	cr_assert_eq(member->state, MEMBER_LIVE);
	cr_assert(mbr_tick(&table, 3 * INTERVAL_US));
	cr_assert_eq(member->state, MEMBER_SUSPECT);
	cr_assert(mbr_shares_servers(&table, member));
	cr_assert(mbr_tick(&table, 5 * INTERVAL_US));
	cr_assert_eq(member->state, MEMBER_DEAD);
	cr_assert_not(mbr_shares_servers(&table, member));
	cr_assert(mbr_tick(&table, (uint64_t)MEMBER_RETENTION_MS * 1000));
	cr_assert_null(mbr_find(&table, "b"));
	mbr_release(&table);
}

Test(member, host_that_never_sent_a_heartbeat_becomes_dead)
{
	struct member_table table;
	struct member_id id = make_id("b", "z1", 7);

	mbr_init(&table, "a", "z1");
	mbr_hello(&table, 0, &id, true);
	mbr_tick(&table, 5 * (uint64_t)MEMBER_DEFAULT_INTERVAL_MS * 1000);
	cr_assert_eq(mbr_find(&table, "b")->state, MEMBER_DEAD);
	mbr_release(&table);
}

Test(member, heartbeat_makes_dead_member_live)
{
	struct member_table table;
	struct member_id id = make_id("b", "z1", 7);
	struct member *member;

	mbr_init(&table, "a", "z1");
	member = mbr_hello(&table, 0, &id, true);
	cr_assert(mbr_heartbeat(&table, 0, "b", 7, &heartbeat_load));
	mbr_tick(&table, 9 * INTERVAL_US);
	cr_assert(
	    mbr_heartbeat(&table, 9 * INTERVAL_US, "b", 7, &heartbeat_load));
	cr_assert_eq(member->state, MEMBER_LIVE);
	mbr_release(&table);
}

Test(member, only_verified_hello_replaces_live_incarnation)
{
	struct member_table table;
	struct member_id old = make_id("b", "z1", 7),
			 new = make_id("b", "z1", 8);

	mbr_init(&table, "a", "z1");
	cr_assert_not_null(mbr_hello(&table, 0, &old, false));
	cr_assert_null(mbr_hello(&table, 0, &new, false));
	cr_assert_eq(mbr_find(&table, "b")->incarnation, 7);
	cr_assert_not_null(mbr_hello(&table, 0, &new, true));
	cr_assert_eq(mbr_find(&table, "b")->incarnation, 8);
	cr_assert_not(mbr_heartbeat(&table, 0, "b", 7, &heartbeat_load));
	mbr_release(&table);
}

Test(member, own_name_is_never_added)
{
	struct member_table table;
	struct member_id id = make_id("a", "z1", 7);

	mbr_init(&table, "a", "z1");
	cr_assert_null(mbr_hello(&table, 0, &id, true));
	cr_assert_null(mbr_list_add(&table, &id, false));
	cr_assert_eq(table.n, 0);
	mbr_release(&table);
}

Test(member, connects_to_own_az_and_limited_number_of_others)
{
	struct member_table table;
	struct member *member;
	size_t i, own = 0, other = 0;
	char name[16];

	mbr_init(&table, "a", "z1");
	mbr_list_begin(&table);
	for (i = 0; i < 60; i++) {
		struct member_id id = make_id(name, i < 20 ? "z1" : "z2", 0);

		snprintf(name, sizeof(name), "h%zu", i);
		mbr_list_add(&table, &id, false);
	}
	mbr_list_end(&table);
	TAILQ_FOREACH (member, &table.members, entry) {
		if (strcmp(member->az, "z1") == 0)
			own += member->should_connect;
		else
			other += member->should_connect;
	}
	cr_assert_eq(own, 20);
	cr_assert_eq(other, MEMBER_CONNECTIONS_PER_AZ);
	mbr_release(&table);
}

Test(member, leaving_host_shares_until_its_tasks_ended)
{
	struct member_table table;
	struct member_id id = make_id("b", "z1", 7);
	struct member_load load = { .interval_ms = 1000,
		.leaving = true,
		.tasks_running = 1 };
	struct member *member;

	mbr_init(&table, "a", "z1");
	member = mbr_hello(&table, 0, &id, true);
	mbr_heartbeat(&table, 0, "b", 7, &load);
	cr_assert(mbr_shares_servers(&table, member));
	load.tasks_running = 0;
	mbr_heartbeat(&table, 0, "b", 7, &load);
	cr_assert_not(mbr_shares_servers(&table, member));
	mbr_release(&table);
}

Test(member, heartbeats_stay_within_byte_rate_limit)
{
	size_t npeers;
	uint64_t ms;

	cr_assert_eq(mbr_heartbeat_interval_ms(500, 0), 500);
	cr_assert_eq(mbr_heartbeat_interval_ms(500, 5), 500);
	for (npeers = 1; npeers < 1000; npeers++) {
		ms = mbr_heartbeat_interval_ms(500, npeers);
		/* The limit allows 1 byte/s for the rounding to whole ms. */
		cr_assert_leq(npeers * MEMBER_HEARTBEAT_BYTES * 1000 / ms,
		    npeers > 6 ? MEMBER_HEARTBEAT_MAX_BYTES_PER_S + 1 : 2000);
	}
}

/*
 * Differential test against a naive implementation that stores every event and
 * computes the state from the complete history on each call.
 */

enum event_kind { EVENT_HELLO, EVENT_HEARTBEAT };

struct event {
	enum event_kind kind;
	uint64_t us;
	uint64_t incarnation;
	bool address_verified;
};

static enum member_state
naive_state_after(uint64_t last_contact_us, uint64_t now_us)
{
	if (now_us - last_contact_us < 3 * INTERVAL_US)
		return MEMBER_LIVE;
	return now_us - last_contact_us < 5 * INTERVAL_US ? MEMBER_SUSPECT
							  : MEMBER_DEAD;
}

static enum member_state
naive_state(const struct event *events, size_t n, uint64_t now_us,
    uint64_t *incarnation)
{
	uint64_t last_contact_us = 0;
	bool known = false;
	size_t i;

	*incarnation = 0;
	for (i = 0; i < n; i++) {
		const struct event *e = &events[i];
		bool dead = known &&
		    naive_state_after(last_contact_us, e->us) == MEMBER_DEAD;

		if (e->kind == EVENT_HELLO && known && !dead &&
		    !e->address_verified && e->incarnation != *incarnation)
			continue;
		if (e->kind == EVENT_HEARTBEAT &&
		    (!known || e->incarnation != *incarnation))
			continue;
		known = true;
		*incarnation = e->incarnation;
		last_contact_us = e->us;
	}
	return known ? naive_state_after(last_contact_us, now_us)
		     : MEMBER_NEVER_CONNECTED;
}

static void
differential_run(unsigned seed)
{
	struct event events[200];
	struct member_table table;
	struct member *member;
	enum member_state state;
	uint64_t now_us = 0, incarnation;
	size_t n;

	srand(seed);
	mbr_init(&table, "a", "z1");
	mbr_list_begin(&table);
	mbr_list_add(&table, &(struct member_id){ .name = "b", .az = "z1" },
	    false);
	mbr_list_end(&table);
	for (n = 0; n < 200; n++) {
		struct event *e = &events[n];
		struct member_id id;

		now_us += (uint64_t)(rand() % 4) * 700000;
		*e = (struct event){ .kind = rand() % 3 ? EVENT_HEARTBEAT
							: EVENT_HELLO,
			.us = now_us,
			.incarnation = (uint64_t)(rand() % 3) + 1,
			.address_verified = rand() % 4 == 0 };
		id = make_id("b", "z1", e->incarnation);
		mbr_tick(&table, now_us);
		if (e->kind == EVENT_HELLO)
			mbr_hello(&table, now_us, &id, e->address_verified);
		else
			mbr_heartbeat(&table, now_us, "b", e->incarnation,
			    &heartbeat_load);
		member = mbr_find(&table, "b");
		state = naive_state(events, n + 1, now_us, &incarnation);
		cr_assert_eq(member->state, state, "seed %u event %zu", seed,
		    n);
		if (state != MEMBER_NEVER_CONNECTED)
			cr_assert_eq(member->incarnation, incarnation,
			    "seed %u event %zu", seed, n);
	}
	mbr_release(&table);
}

Test(member, matches_naive_implementation)
{
	unsigned seed;

	for (seed = 1; seed <= 500; seed++)
		differential_run(seed);
}

#define MANY_MEMBERS 60
#define MANY_ZONES 4

/* Adds the members of four zones in the order of @step, with every fifth one
 * leaving. */
static void
add_many(struct member_table *table, unsigned step)
{
	char name[16], az[8];
	unsigned i, n;

	mbr_list_begin(table);
	for (i = 0; i < MANY_MEMBERS; i++) {
		n = i * step % MANY_MEMBERS;
		(void)snprintf(name, sizeof(name), "m%u", n);
		(void)snprintf(az, sizeof(az), "z%u", n % MANY_ZONES);
		mbr_list_add(table,
		    &(struct member_id){ .name = name,
			.az = az,
			.address = "127.0.0.1",
			.port = (uint16_t)(7000 + n) },
		    n % 5 == 0);
	}
	mbr_list_end(table);
}

/* In a table of several zones, the chosen connections are two members of each
 * other zone that are not leaving, and do not depend on the order in which
 * the members became known. */
Test(member, connections_of_many_members)
{
	struct member_table a, b;
	struct member *member;
	unsigned chosen[MANY_ZONES] = { 0 };

	mbr_init(&a, "host", "z0");
	mbr_init(&b, "host", "z0");
	add_many(&a, 1);
	add_many(&b, 7);
	TAILQ_FOREACH (member, &a.members, entry) {
		cr_expect_eq(member->should_connect,
		    mbr_find(&b, member->name)->should_connect);
		if (!member->leaving)
			chosen[member->az[1] - '0'] += member->should_connect;
		else if (strcmp(member->az, "z0") == 0)
			cr_expect(member->should_connect);
	}
	cr_expect_eq(chosen[0], MANY_MEMBERS / MANY_ZONES * 4 / 5);
	cr_expect_eq(chosen[1], MEMBER_CONNECTIONS_PER_AZ);
	cr_expect_eq(chosen[2], MEMBER_CONNECTIONS_PER_AZ);
	cr_expect_eq(chosen[3], MEMBER_CONNECTIONS_PER_AZ);
	mbr_release(&a);
	mbr_release(&b);
}

/* The version tells whether anything that the users of the table derive from it
 * may have changed. */
Test(member, version_changes_only_with_the_members)
{
	struct member_table table;
	struct member_id id = make_id("b", "z1", 7);
	struct member_load load = heartbeat_load;
	uint64_t version;

	mbr_init(&table, "a", "z1");
	mbr_hello(&table, 0, &id, true);
	cr_assert(mbr_heartbeat(&table, 0, "b", 7, &load));
	version = table.version;
	load.tasks_running = 3;
	cr_assert(mbr_heartbeat(&table, 1, "b", 7, &load));
	mbr_tick(&table, 2);
	cr_expect_eq(table.version, version);
	mbr_list_begin(&table);
	mbr_list_add(&table, &id, false);
	mbr_list_end(&table);
	cr_expect_gt(table.version, version);
	version = table.version;
	mbr_list_begin(&table);
	mbr_list_add(&table, &id, false);
	mbr_list_end(&table);
	cr_expect_eq(table.version, version);
	mbr_tick(&table, 10 * INTERVAL_US);
	cr_expect_gt(table.version, version);
	mbr_release(&table);
}
