/*
 * What a host reports to others: replies to state requests (see cells_ping.c
 * for who sends them), and announcements of a holder.
 */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "core/mem.h"
#include "entry/api_internal.h"
#include "entry/jobs/cells_internal.h"

#define CELLS_PERMILLE 1000

/* The members of the state that only a holder has. */
static void
cells_add_load(const struct cells *cells, bool all_cells, json_t *body)
{
	struct sched_load load;

	sched_load(cells->params.sched, &load);
	(void)json_object_set_new(body, "backlog_ms",
	    json_integer((json_int_t)load.backlog_ms));
	(void)json_object_set_new(body, "free_permille",
	    json_integer((json_int_t)(load.cpu_total == 0
		    ? 0
		    : load.cpu_free * CELLS_PERMILLE / load.cpu_total)));
	(void)json_object_set_new(body, "runs_known",
	    json_boolean(!load.runs_unknown));
	(void)json_object_set_new(body, "servers_settled",
	    json_integer(
		(json_int_t)cells->params.servers_settled(cells->params.arg)));
	/* Until then the number that was reported last is nearer. */
	if (sched_jobs_loaded(cells->params.sched))
		(void)json_object_set_new(body, "pending",
		    cells_pending_json(cells, all_cells));
}

/* Adds the jobs of which a start order may still be executed, if requested. */
static void
cells_add_pending_starts(const struct cells *cells,
    const struct api_request *request, bool local, json_t *body)
{
	json_t *pending;
	char text[24];

	if (!api_query_text(request->query, "pending_starts", text,
		sizeof(text)))
		return;
	pending = sched_pending_render(cells->params.sched,
	    strtoull(text, NULL, 10), local);
	if (pending != NULL)
		(void)json_object_set_new(body, "pending_starts", pending);
}

/* Adds the runs at risk of the holder, or those that it has told last. */
static void
cells_add_risk(const struct cells *cells, json_t *body)
{
	json_t *runs = sched_risk_render(cells->params.sched);

	if (runs != NULL)
		(void)json_object_set_new(body, "runs_at_risk", runs);
}

/* Hosts of this zone get the numbers of pending jobs of all cells. */
void
cells_handle_state(struct cells *cells, const struct api_request *request,
    api_reply_fn reply, void *arg)
{
	const struct cells_params *params = &cells->params;
	const struct cells_host *holder;
	char az[NAME_SIZE] = "", sender[NAME_SIZE] = "";
	uint64_t config = cells_query_u64(request, "config"), token;
	struct cells_host *host;
	bool local;
	json_t *body;
	char *text;

	(void)api_query_text(request->query, "host", sender, sizeof(sender));
	local = api_query_text(request->query, "az", az, sizeof(az)) &&
	    strcmp(az, cells->params.self.az) == 0;
	host = cells_host_find(cells, sender);
	if (local)
		cells_ping_received(cells, host, request);
	token = sched_token(params->sched);
	body = json_pack("{s:I,s:b,s:I,s:I,s:I}", "token", (json_int_t)token,
	    "leaving", (int)cells->leaving, "config",
	    (json_int_t)params->config_version(params->arg), "seen",
	    (json_int_t)(local ? cells->highest_token : 0), "replied_at",
	    (json_int_t)cells_now_us(cells));
	holder = cells_zone_holder(cells->local_zone);
	if (cells_query_u64(request, "suspects") != 0)
		(void)json_object_set_new(body, "suspects",
		    sched_suspects_render(cells->params.sched, !local));
	if (local && cells_query_u64(request, "suspects") != 0)
		cells_add_risk(cells, body);
	cells_add_pending_starts(cells, request, local, body);
	if (token != 0 && local && cells_query_u64(request, "suspects") != 0)
		(void)json_object_set_new(body, "remote_pending",
		    cells_remote_pending_json(cells));
	if (token != 0 && local)
		cells_add_holders(cells, request, body);
	if (token != 0)
		cells_add_load(cells, local, body);
	else if (holder != NULL)
		(void)json_object_update_new(body,
		    json_pack("{s:s,s:I}", "holder", holder->info.name,
			"holder_token", (json_int_t)holder->token));
	text = json_dumps(body, JSON_COMPACT);
	if (text == NULL)
		abort();
	cells_send_reply(reply, arg, 200, text);
	free(text);
	json_decref(body);
	if (sender[0] != '\0')
		cells_report_config(cells, sender, config);
}

void
cells_handle_announcement(struct cells *cells,
    const struct api_request *request, api_reply_fn reply, void *arg)
{
	struct cells_host *host;
	uint64_t sent_at = cells_query_u64(request, "replied_at");
	char az[NAME_SIZE], name[NAME_SIZE], body[64];

	if (api_query_text(request->query, "az", az, sizeof(az)) &&
	    strcmp(az, cells->params.self.az) == 0)
		cells_observe_token(cells, cells_query_u64(request, "token"));
	if (api_query_text(request->query, "host", name, sizeof(name))) {
		host = cells_host_find(cells, name);
		if (host != NULL) {
			/* The host is up, even if a ping to it has had no
			 * reply yet. */
			host->unreachable = false;
			if (sent_at > host->replied_at)
				host->replied_at = sent_at;
			host->ping_sent_us = cells_now_us(cells);
			host->ping_sent_tick = cells->nticks;
			host->leaving =
			    cells_query_u64(request, "leaving") != 0;
			cells_host_set_token(cells, host,
			    cells_query_u64(request, "token"));
			cells_choose_holder(cells);
			cells_notify_holder(cells);
		}
	}
	(void)snprintf(body, sizeof(body),
	    "{\"token\":%" PRIu64 ",\"seen\":%" PRIu64 "}",
	    sched_token(cells->params.sched), cells->highest_token);
	cells_send_reply(reply, arg, 200, body);
}
