/*
 * Fixture with the APIs of two entry hosts, whose dependencies are fakes.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/crypto_sodium.h"
#include "tests/support/api_rig.h"
#include "tests/support/sim_time.h"

#define RIG_START_US 1000000

struct rig rig;

void
rig_setup(void)
{
	struct api_params params = {
		.az = "surat",
		.ticket_retention_ms = 60000,
		.ticket_bytes_max = 1 << 20,
		.claim_flush_ms = 1,
	};
	int i;

	fake_engine_reset();
	rig.base = event_base_new();
	fake_clock_init(&rig.clock, RIG_START_US);
	rig_table_init(&rig.table, rig.base);
	rig_blobs_init(&rig.blobs, rig.base);
	params.base = rig.base;
	params.clock = &rig.clock.clock;
	params.crypto = crypto_sodium();
	params.table = &rig.table.table;
	params.blobs = &rig.blobs.blobs;
	for (i = 0; i < 2; i++) {
		params.host = i == 0 ? "e1" : "e2";
		params.incarnation = 0x100 + (uint64_t)i;
		rig.api[i] = api_create(&params);
		rig_peers_init(&rig.peers[i]);
		api_set_peers(rig.api[i], &rig.peers[i].peers);
	}
	rig.peers[0].target = rig.api[1];
	rig.peers[1].target = rig.api[0];
}

void
rig_setup_simulated(void)
{
	sim_time_start();
	rig_setup();
}

void
rig_teardown(void)
{
	api_destroy(rig.api[0]);
	api_destroy(rig.api[1]);
	free(rig.blobs.data);
	event_base_free(rig.base);
	fake_engine_reset();
}

void
rig_run_loop(long ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = ms % 1000 * 1000 };

	event_base_loopexit(rig.base, &tv);
	event_base_dispatch(rig.base);
}

static void
rig_on_reply(void *arg, const struct api_reply *reply)
{
	struct rig_reply *out = arg;

	out->n++;
	out->status = reply->status;
	snprintf(out->outcome, sizeof(out->outcome), "%s",
	    reply->outcome == NULL ? "" : reply->outcome);
	snprintf(out->ticket, sizeof(out->ticket), "%s",
	    reply->next_ticket == NULL ? "" : reply->next_ticket);
	free(out->body);
	out->body = calloc(1, reply->body_len + 1);
	if (reply->body_len > 0)
		memcpy(out->body, reply->body, reply->body_len);
}

void
rig_send(int host, enum api_method method, const char *path, const char *query,
    const char *key, const char *body, struct rig_reply *reply)
{
	struct api_request request = {
		.method = method,
		.path = path,
		.query = query == NULL ? "" : query,
		.idempotency_key = key,
		.client = "127.0.0.1:9",
		.body = body,
		.body_len = body == NULL ? 0 : strlen(body),
	};

	api_handle(rig.api[host], &request, rig_on_reply, reply);
}

void
rig_ticket(int host, char ticket[TICKET_SIZE])
{
	struct rig_reply reply = { 0 };
	char *end;

	rig_send(host, API_POST, "/v1/tickets", NULL, NULL, NULL, &reply);
	snprintf(ticket, TICKET_SIZE, "%s",
	    reply.body + strlen("{\"tickets\":[\""));
	end = strchr(ticket, '"');
	*end = '\0';
	rig_reply_free(&reply);
}

const char *
rig_job(const char *ticket, size_t ntasks)
{
	static char text[8192];
	size_t i, n;

	n = (size_t)snprintf(text, sizeof(text), "{\"job\":\"j\",");
	if (ticket != NULL)
		n += (size_t)snprintf(text + n, sizeof(text) - n,
		    "\"ticket\":\"%s\",", ticket);
	n += (size_t)snprintf(text + n, sizeof(text) - n, "\"tasks\":[");
	for (i = 0; i < ntasks; i++)
		n += (size_t)snprintf(text + n, sizeof(text) - n,
		    "%s{\"body\":\"t%zu\"}", i == 0 ? "" : ",", i);
	snprintf(text + n, sizeof(text) - n, "]}");
	return text;
}

void
rig_reply_free(struct rig_reply *reply)
{
	free(reply->body);
	memset(reply, 0, sizeof(*reply));
}
