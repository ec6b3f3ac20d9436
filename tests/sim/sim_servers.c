/*
 * The rows that backend servers write to the store, and the form of the rows.
 * A server reports while it runs and reaches the store; its row expires without
 * reports.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define SIM_SERVER_CPU 64000
#define SIM_SERVER_MEM_MB 65536
#define SIM_REPORT_MS 1500
#define SIM_ROW_EXPIRY_MS 4500

int
sim_decode_server(const char *key, const char *value, size_t len,
    struct reg_server *server)
{
	int draining;

	(void)len;
	*server = (struct reg_server){ .service = "booth",
		.cpu = SIM_SERVER_CPU,
		.mem_mb = SIM_SERVER_MEM_MB,
		.port = 1 };
	strlcpy(server->id, key, sizeof(server->id));
	if (sscanf(value, "%63s %45s %" SCNu64 " %d", server->az,
		server->address, &server->incarnation_start_ms, &draining) != 4)
		return -1;
	server->draining = draining != 0;
	server->drain_remaining_ms = draining != 0 ? 3000 : 0;
	return 0;
}

int
sim_decode_host(const char *key, const char *value, size_t len,
    struct reg_host *host)
{
	(void)len;
	*host = (struct reg_host){ .port = 1 };
	strlcpy(host->name, key, sizeof(host->name));
	return sscanf(value, "%63s %" SCNu32 " %" SCNu64, host->az,
		   &host->weight, &host->incarnation) == 3
	    ? 0
	    : -1;
}

char *
sim_encode_host(const struct reg_host *host)
{
	char *text = NULL;

	if (asprintf(&text, "%s %" PRIu32 " %" PRIu64, host->az, host->weight,
		host->incarnation) == -1)
		abort();
	return text;
}

int
sim_decode_config(const char *value, size_t len, struct reg_config *config)
{
	(void)value;
	(void)len;
	(void)config;
	return -1;
}

static void
sim_server_put(struct sim_day *day, size_t index)
{
	const struct wm_server *server = &day->cluster.servers[index];
	struct sim_server *state = &day->servers[index];
	struct sim_server_row *row = state->rows, *oldest = state->rows;
	char id[NAME_SIZE], value[160];

	wm_id(server, id);
	for (; row < state->rows + SIM_SERVER_IDS; row++) {
		if (strcmp(row->id, id) == 0)
			break;
		if (row->reported_ms < oldest->reported_ms)
			oldest = row;
	}
	if (row == state->rows + SIM_SERVER_IDS) {
		row = oldest;
		if (row->reported_ms != 0)
			(void)sim_store_put(&day->store, ROWS_SERVERS, row->id,
			    NULL);
		strlcpy(row->id, id, sizeof(row->id));
	}
	row->reported_ms = day->now_ms;
	(void)snprintf(value, sizeof(value), "%c s%zu %" PRIu64 " %d",
	    (int)('a' + index % day->options->zones), index, server->started_ms,
	    state->leaves_ms != 0 ? 1 : 0);
	(void)sim_store_put(&day->store, ROWS_SERVERS, id, value);
}

static void
sim_server_report(struct sim_day *day, size_t index)
{
	struct sim_server *state = &day->servers[index];

	state->report_ms = day->now_ms + SIM_REPORT_MS;
	if (!wm_is_down(&day->cluster.servers[index],
		sim_now_us() / SIM_US_PER_MS) &&
	    day->now_ms >= state->silent_ms)
		sim_server_put(day, index);
}

/* Removes the rows of processes that no longer report. */
static void
sim_server_expire(struct sim_day *day, struct sim_server *state,
    uint64_t expiry_ms)
{
	struct sim_server_row *row;

	for (row = state->rows; row < state->rows + SIM_SERVER_IDS; row++) {
		if (row->reported_ms == 0 ||
		    day->now_ms - row->reported_ms < expiry_ms)
			continue;
		row->reported_ms = 0;
		(void)sim_store_put(&day->store, ROWS_SERVERS, row->id, NULL);
	}
}

void
sim_server_restart(struct sim_day *day, size_t index, enum wm_restart_kind kind)
{
	uint32_t down_ms =
	    50 + sim_random(day, sim_chance(day, 500) ? 200 : 4000);

	sim_trace(day, "s%zu restarts, kind %d, down for %u ms", index,
	    (int)kind, down_ms);
	wm_restart(&day->cluster.servers[index], sim_now_us() / SIM_US_PER_MS,
	    down_ms, kind);
	day->servers[index].leaves_ms = 0;
	day->servers[index].report_ms = day->now_ms + down_ms +
	    sim_random(day, sim_chance(day, 500) ? 20 : SIM_REPORT_MS);
}

void
sim_servers_start(struct sim_day *day)
{
	size_t i;

	for (i = 0; i < day->nservers; i++) {
		day->servers[i].report_ms = sim_random(day, SIM_REPORT_MS);
		if (sim_chance(day, 150))
			wm_set_clock_speed(&day->cluster.servers[i],
			    sim_now_us() / SIM_US_PER_MS, 980);
	}
}

void
sim_servers_step(struct sim_day *day)
{
	struct sim_server *server;
	size_t i;

	for (i = 0; i < day->nservers; i++) {
		server = &day->servers[i];
		if (server->heal_ms != 0 && day->now_ms >= server->heal_ms) {
			server->heal_ms = 0;
			day->cluster.servers[i].speed = 1000;
		}
		if (server->leaves_ms != 0 &&
		    day->now_ms >= server->leaves_ms) {
			sim_server_expire(day, server, 0);
			sim_server_restart(day, i, WM_RESTART_NEW_ID);
		}
		if (day->now_ms >= server->report_ms)
			sim_server_report(day, i);
		sim_server_expire(day, server, SIM_ROW_EXPIRY_MS);
	}
}
