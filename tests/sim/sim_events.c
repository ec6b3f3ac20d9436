/*
 * Troubles, drawn from the letters of a mix. One letter is the theme of a day
 * and comes about in half of all cases.
 */

#include <string.h>

#include "sim.h"
#include "tests/support/sim_time.h"

/* Nothing passes from host @a to host @b. */
static void
sim_cut(struct sim_day *day, size_t a, size_t b, uint64_t until_ms)
{
	if (a == b)
		return;
	day->cut[a][b] = true;
	if (until_ms > day->heal_ms[a][b])
		day->heal_ms[a][b] = until_ms;
}

static void
sim_cut_both(struct sim_day *day, size_t a, size_t b, uint64_t until_ms)
{
	sim_cut(day, a, b, until_ms);
	sim_cut(day, b, a, until_ms);
}

static void
sim_lose_store(struct sim_host *host, uint64_t until_ms)
{
	host->store_lost = true;
	host->store_heal_ms = until_ms;
}

static uint32_t
sim_server_mask(struct sim_day *day)
{
	return sim_random(day, (uint32_t)1 << day->nservers);
}

static struct fake_worker_faults *
sim_faults(struct sim_host *host, uint64_t until_ms)
{
	if (until_ms > host->worker_heal_ms)
		host->worker_heal_ms = until_ms;
	return fake_worker_faults(host->worker);
}

/* Below, @host is drawn, @until_ms the end of the trouble. */

static void
sim_event_link(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	size_t other = sim_random(day, (uint32_t)day->nhosts);

	sim_cut_both(day, host->index, other, until_ms);
}

static void
sim_event_one_way(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	bool all = sim_chance(day, 400), out = sim_chance(day, 500);
	size_t other = sim_random(day, (uint32_t)day->nhosts), i;

	for (i = 0; i < day->nhosts; i++) {
		if (!all && i != other)
			continue;
		if (out)
			sim_cut(day, host->index, i, until_ms);
		else
			sim_cut(day, i, host->index, until_ms);
	}
}

static void
sim_event_isolated(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	size_t i;

	for (i = 0; i < day->nhosts; i++)
		sim_cut_both(day, host->index, i, until_ms);
	if (sim_chance(day, 500))
		sim_lose_store(host, until_ms);
}

static void
sim_event_store(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	size_t i;

	if (sim_chance(day, 600)) {
		sim_lose_store(host, until_ms);
		return;
	}
	for (i = 0; i < day->nhosts; i++)
		sim_lose_store(&day->hosts[i], until_ms);
}

static void
sim_event_replies_lost(struct sim_host *host, uint64_t until_ms)
{
	struct fake_worker_faults *faults = sim_faults(host, until_ms);

	faults->reply_lost_permille = 100 + sim_random(host->day, 600);
	faults->orders_only = sim_chance(host->day, 500);
}

static void
sim_event_late_orders(struct sim_host *host, uint64_t until_ms)
{
	struct fake_worker_faults *faults = sim_faults(host, until_ms);

	faults->delayed_permille = 100 + sim_random(host->day, 900);
	faults->delay_ms = 50 + sim_random(host->day, 3000);
	faults->orders_only = sim_chance(host->day, 600);
}

static void
sim_event_servers_out_of_reach(struct sim_host *host, uint64_t until_ms)
{
	sim_faults(host, until_ms)->unreachable_mask =
	    sim_server_mask(host->day);
}

static void
sim_event_kill(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;

	(void)until_ms;
	if (host->svc == NULL)
		return;
	sim_host_kill(host, sim_chance(day, 300));
	host->start_ms = day->now_ms +
	    (sim_chance(day, 500) ? 50 + sim_random(day, 300)
				  : 200 + sim_random(day, 3000));
	/* The operator replaces it, or a machine was added. */
	if (sim_chance(day, 200))
		host->unlist_ms = day->now_ms + sim_random(day, 3000);
}

/* A host is added that no other one knows. It may be cut off from the zone's
 * others at first. */
static void
sim_event_added(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	size_t zones = day->options->zones, i, j;
	bool apart = sim_chance(day, 500);

	for (i = host->index % zones; i < day->nhosts; i += zones) {
		if (!day->hosts[i].spare)
			continue;
		day->hosts[i].spare = false;
		day->hosts[i].start_ms = day->now_ms;
		for (j = i % zones; apart && j < day->nhosts; j += zones)
			sim_cut_both(day, i, j, until_ms);
	}
}

static void
sim_event_leaves(struct sim_host *host, uint64_t until_ms)
{
	sim_host_leave(host, until_ms);
}

static void
sim_event_pause_all(struct sim_host *host, uint64_t until_ms)
{
	(void)until_ms;
	sim_time_advance(100 + sim_random(host->day, 1500));
}

static void
sim_event_slow_server(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	size_t server = sim_random(day, (uint32_t)day->nservers);

	day->cluster.servers[server].speed = 100 + sim_random(day, 900);
	day->servers[server].heal_ms = until_ms;
}

/* The first host of its zone that holds the cell, or the drawn one. */
static struct sim_host *
sim_zone_holder(struct sim_host *host)
{
	struct sim_day *day = host->day;
	size_t zones = day->options->zones, i;
	struct sim_host *other, *holder = host;

	for (i = host->index % zones; i < day->nhosts; i += zones) {
		other = &day->hosts[i];
		if (other->svc != NULL && other->token > holder->token)
			holder = other;
	}
	return holder;
}

/* A host stands still, half of the time a holder; perhaps others with it, and
 * for some it ends with the loss of power. */
static void
sim_stand_still(struct sim_host *host, uint64_t until_ms, bool suspended)
{
	struct sim_day *day = host->day;
	struct sim_host *other;
	size_t i;

	if (sim_chance(day, 500))
		host = sim_zone_holder(host);
	for (i = 0; i < day->nhosts; i++) {
		other = &day->hosts[i];
		if (other->svc == NULL ||
		    (other != host && !sim_chance(day, 80)))
			continue;
		if (other->stands_until_ms == 0) {
			other->suspended = suspended;
			other->suspended_at_ms = day->now_ms;
		}
		other->stands_until_ms = until_ms;
		other->dies = sim_chance(day, 150);
	}
}

static void
sim_event_stand_still(struct sim_host *host, uint64_t until_ms)
{
	sim_stand_still(host, until_ms, false);
}

/* CLOCK_MONOTONIC of the machine does not proceed meanwhile. */
static void
sim_event_suspended(struct sim_host *host, uint64_t until_ms)
{
	sim_stand_still(host, until_ms, true);
}

/* A holder is cut off; the servers are split between it and the others. */
static void
sim_event_holder_apart(struct sim_host *host, uint64_t until_ms)
{
	struct sim_host *holder = sim_zone_holder(host);
	struct sim_day *day = host->day;
	size_t zones = day->options->zones, zone = holder->index % zones, i;
	uint32_t mask = sim_server_mask(day);

	for (i = 0; i < day->nhosts; i++) {
		if (i % zones == zone || sim_chance(day, 500))
			sim_cut_both(day, holder->index, i, until_ms);
	}
	if (sim_chance(day, 600))
		sim_lose_store(holder, until_ms);
	if (!sim_chance(day, 700))
		return;
	for (i = zone; i < day->nhosts; i += zones)
		sim_faults(&day->hosts[i], until_ms)->unreachable_mask =
		    &day->hosts[i] == holder ? mask : ~mask;
}

/* The hosts of a zone reach some servers, some other hosts and the store, or
 * not. */
static void
sim_event_zone_apart(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	size_t zones = day->options->zones, zone = host->index % zones, i, j;
	struct fake_worker_faults *faults;

	for (i = zone; i < day->nhosts; i += zones) {
		faults = sim_faults(&day->hosts[i],
		    until_ms + sim_random(day, 1000));
		faults->unreachable_mask = sim_server_mask(day);
		if (sim_chance(day, 300))
			sim_lose_store(&day->hosts[i], until_ms);
		if (sim_chance(day, 500)) {
			faults->delayed_permille = 500;
			faults->delay_ms = 200 + sim_random(day, 2000);
			faults->orders_only = true;
		}
		for (j = zone; j < i; j += zones) {
			if (sim_chance(day, 400))
				sim_cut_both(day, i, j, until_ms);
		}
	}
}

static void
sim_event_slow_links(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	struct sim_conn *conn;
	uint32_t max_us = (sim_chance(day, 500) ? 100 : 450) * 1000;

	day->delay_us = 1000;
	day->delay_spread_us = max_us;
	day->slow_until_ms = until_ms;
	TAILQ_FOREACH (conn, &day->conns, entry) {
		if (sim_chance(day, 500))
			conn->delay_us = 1000 + sim_random(day, max_us);
	}
}

static void
sim_event_slow_store(struct sim_host *host, uint64_t until_ms)
{
	host->day->store_ms = sim_random(host->day, 1500);
	host->day->store_slow_until_ms = until_ms;
}

/* Connections break; what is in flight may be lost. */
static void
sim_event_reset(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	bool all = sim_chance(day, 300);
	struct sim_end *end;

	(void)until_ms;
	TAILQ_FOREACH (end, &host->ends, entry) {
		if (all || sim_chance(day, 300))
			sim_end_close(end, SIM_CLOSE_DRAWN);
	}
}

/* Open connections go silent, new ones work: those of a host, or all. */
static void
sim_event_silent(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	bool all = sim_chance(day, 500);
	struct sim_conn *conn;
	size_t i;

	(void)until_ms;
	TAILQ_FOREACH (conn, &day->conns, entry) {
		if (all || conn->ends[0].host == host ||
		    conn->ends[1].host == host)
			sim_conn_silence(conn);
	}
	for (i = 0; i < day->nhosts; i++) {
		if (!all && &day->hosts[i] != host)
			continue;
		fake_worker_silence(day->hosts[i].worker);
		sim_rows_silence(day->hosts[i].rows);
	}
}

/* A server ends, perhaps others of its zone with it. */
static void
sim_servers_restart(struct sim_day *day, enum wm_restart_kind kind)
{
	size_t server = sim_random(day, (uint32_t)day->nservers);
	size_t zones = day->options->zones, i;

	for (i = server % zones; i < day->nservers; i += zones) {
		if (i == server || sim_chance(day, 150))
			sim_server_restart(day, i, kind);
	}
}

static void
sim_event_servers_replaced(struct sim_host *host, uint64_t until_ms)
{
	(void)until_ms;
	sim_servers_restart(host->day, WM_RESTART_NEW_ID);
}

static void
sim_event_servers_restart(struct sim_host *host, uint64_t until_ms)
{
	(void)until_ms;
	sim_servers_restart(host->day, WM_RESTART_SAME_ID);
}

static void
sim_event_server_drains(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	size_t server = sim_random(day, (uint32_t)day->nservers);

	day->servers[server].leaves_ms = until_ms + 500;
	day->servers[server].report_ms = day->now_ms;
}

/* Calls to servers, or their replies, are lost one way. */
static void
sim_event_servers_one_way(struct sim_host *host, uint64_t until_ms)
{
	struct fake_worker_faults *faults = sim_faults(host, until_ms);

	if (sim_chance(host->day, 500))
		faults->requests_lost_mask = sim_server_mask(host->day);
	else
		faults->replies_lost_mask = sim_server_mask(host->day);
}

/* Orders are executed after newer ones, also by later processes. */
static void
sim_event_orders_out_of_order(struct sim_host *host, uint64_t until_ms)
{
	struct fake_worker_faults *faults = sim_faults(host, until_ms);

	faults->late_permille = 100 + sim_random(host->day, 700);
	faults->late_hold_permille =
	    sim_chance(host->day, 500) ? sim_random(host->day, 300) : 0;
	faults->late_max_ms = 100 + sim_random(host->day, 3000);
}

/* The rows of some servers come late, or expire and return. */
static void
sim_event_rows_late(struct sim_host *host, uint64_t until_ms)
{
	struct sim_day *day = host->day;
	size_t i;

	for (i = 0; i < day->nservers; i++) {
		if (sim_chance(day, 300))
			day->servers[i].silent_ms =
			    until_ms + (sim_chance(day, 500) ? 5000 : 0);
	}
}

static void
sim_event_callers_leave(struct sim_host *host, uint64_t until_ms)
{
	(void)until_ms;
	sim_callers_leave(host->day->callers, host);
}

/* The host learns late that connections of its callers have broken. */
static void
sim_event_callers_break(struct sim_host *host, uint64_t until_ms)
{
	if (until_ms > host->callers_heal_ms)
		host->callers_heal_ms = until_ms;
}

static const struct sim_event {
	char letter;
	void (*play)(struct sim_host *host, uint64_t until_ms);
} sim_events[] = {
	{ 'c', sim_event_link },
	{ 'o', sim_event_one_way },
	{ 'i', sim_event_isolated },
	{ 's', sim_event_store },
	{ 'l', sim_event_replies_lost },
	{ 'd', sim_event_late_orders },
	{ 'r', sim_event_servers_out_of_reach },
	{ 'k', sim_event_kill },
	{ 'a', sim_event_added },
	{ 'n', sim_event_leaves },
	{ 'f', sim_event_stand_still },
	{ 'z', sim_event_suspended },
	{ 'p', sim_event_pause_all },
	{ 'h', sim_event_slow_server },
	{ 'A', sim_event_holder_apart },
	{ 'B', sim_event_zone_apart },
	{ 'm', sim_event_slow_links },
	{ 'w', sim_event_slow_store },
	{ 'b', sim_event_reset },
	{ 'g', sim_event_silent },
	{ 'x', sim_event_servers_replaced },
	{ 'X', sim_event_servers_restart },
	{ 'y', sim_event_server_drains },
	{ 'u', sim_event_servers_one_way },
	{ 'v', sim_event_orders_out_of_order },
	{ 'q', sim_event_callers_leave },
	{ 't', sim_event_callers_break },
	{ 'e', sim_event_rows_late },
};

static const struct sim_event *
sim_event_find(char letter)
{
	size_t i;

	for (i = 0; i < sizeof(sim_events) / sizeof(sim_events[0]); i++) {
		if (sim_events[i].letter == letter)
			return &sim_events[i];
	}
	return NULL;
}

bool
sim_events_valid(const char *mix)
{
	for (; *mix != '\0'; mix++) {
		if (sim_event_find(*mix) == NULL)
			return false;
	}
	return true;
}

void
sim_events_step(struct sim_day *day)
{
	const char *mix = day->options->mix;
	struct sim_host *host;
	uint64_t until_ms;
	char letter;

	if (!sim_chance(day, day->event_permille))
		return;
	letter = sim_chance(day, 500)
	    ? day->theme
	    : mix[sim_random(day, (uint32_t)strlen(mix))];
	host = &day->hosts[sim_random(day, (uint32_t)day->nhosts)];
	until_ms = day->now_ms + 100 +
	    sim_random(day, sim_chance(day, 300) ? 5000 : 1500);
	day->totals->events[(unsigned char)letter]++;
	sim_trace(day, "trouble %c at %s until %llu", letter, host->name,
	    (unsigned long long)until_ms);
	sim_event_find(letter)->play(host, until_ms);
}
