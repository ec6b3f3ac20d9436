/*
 * Requests to other hosts, as adapters/peers_forward.c has them: one that was
 * sent and has no reply is lost with its connection; its receiver then abandons
 * it.
 */

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "sim.h"

#define SIM_CONNECT_TIMEOUT_MS 1000

/* A request that waits for a connection or for its reply. */
struct sim_forward {
	struct sim_host *host;
	size_t to;
	uint64_t incarnation, correlation, deadline_us;
	struct sim_end *end; /* NULL: not sent */
	struct sim_msg *msg; /* NULL: sent */
	struct err err;
	void (*done)(void *arg, const struct api_reply *reply,
	    const struct err *err);
	void *arg;
	TAILQ_ENTRY(sim_forward) entry;
};

/* A request that is being served. */
struct sim_served {
	struct sim_end *end;
	struct sim_msg *msg;
	struct api_request request;
	TAILQ_ENTRY(sim_served) entry;
};

/* What the processes that have ended had in flight; their callbacks don't run,
 * and what these would free stays reachable. */
static struct sim_forwards sim_abandoned =
    TAILQ_HEAD_INITIALIZER(sim_abandoned);

static void
sim_forward_fail(struct sim_forward *forward, enum err_code code)
{
	struct sim_host *host = forward->host;

	TAILQ_REMOVE(&host->forwards, forward, entry);
	if (forward->end != NULL)
		forward->end->nforwards--;
	forward->end = NULL;
	forward->err = (struct err){ .step = ERR_STEP_FORWARD, .code = code };
	TAILQ_INSERT_TAIL(&host->failed, forward, entry);
	event_active(host->failed_event, 0, 0);
}

static void
sim_forward_free(struct sim_forward *forward)
{
	if (forward->msg != NULL)
		sim_msg_free(forward->msg);
	free(forward);
}

static void
sim_forward_run_failed(evutil_socket_t fd, short what, void *arg)
{
	struct sim_host *host = arg;
	struct sim_forward *forward;

	(void)fd;
	(void)what;
	while ((forward = TAILQ_FIRST(&host->failed)) != NULL) {
		TAILQ_REMOVE(&host->failed, forward, entry);
		forward->done(forward->arg, NULL, &forward->err);
		sim_forward_free(forward);
	}
}

static void
sim_forward_send(struct sim_forward *forward, struct sim_end *end)
{
	forward->end = end;
	end->nforwards++;
	sim_end_send(end, forward->msg);
	forward->msg = NULL;
}

static struct sim_msg *
sim_request_msg(const struct api_request *request, uint64_t correlation)
{
	struct sim_msg *msg = sim_msg_create(SIM_REQUEST, correlation);

	msg->method = request->method;
	msg->path = mem_strndup(request->path, strlen(request->path));
	if (request->query != NULL)
		msg->query =
		    mem_strndup(request->query, strlen(request->query));
	if (request->body_len > 0)
		msg->body = mem_strndup(request->body, request->body_len);
	msg->body_len = request->body_len;
	return msg;
}

/* Only a take-over, or a host that leaves, is announced so. */
static void
sim_note_announcement(struct sim_host *host, const struct api_request *request)
{
	const char *token = strstr(request->query, "&token=");
	uint64_t value;

	if (strcmp(request->path, "/v1/work/held") != 0 || token == NULL)
		return;
	value = strtoull(token + strlen("&token="), NULL, 10);
	if (value == 0 || value == host->token)
		return;
	host->token = value;
	host->day->totals->takeovers++;
	sim_trace(host->day, "%s takes over with token %llu", host->name,
	    (unsigned long long)value);
}

void
sim_forward(struct peers *peers, const char *az, const char *issuer,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg)
{
	struct sim_host *host = (struct sim_host *)peers;
	struct sim_forward *forward = mem_zalloc(1, sizeof(*forward));
	struct sim_end *end, *other;

	(void)az;
	if (!host->ending)
		sim_note_announcement(host, request);
	forward->host = host;
	forward->to = sim_peer(host, issuer)->index;
	forward->incarnation = incarnation;
	forward->correlation = host->day->next_correlation++;
	forward->deadline_us =
	    sim_host_now_us(host) + SIM_CONNECT_TIMEOUT_MS * SIM_US_PER_MS;
	forward->done = done;
	forward->arg = arg;
	forward->msg = sim_request_msg(request, forward->correlation);
	TAILQ_INSERT_TAIL(&host->forwards, forward, entry);
	if (host->ending)
		return;
	end = sim_end_find(host, forward->to, incarnation);
	other = sim_end_find_host(host, forward->to);
	if (end != NULL)
		sim_forward_send(forward, end);
	else if (other != NULL)
		sim_forward_fail(forward, ERR_NOT_FOUND);
	else if (sim_end_dialing(host, forward->to) == NULL) {
		if (sim_host_now_us(host) < host->next_dial_us[forward->to])
			sim_forward_fail(forward, ERR_UNAVAILABLE);
		else
			sim_peers_dial(host, forward->to);
	}
}

static void
sim_served_free(struct sim_served *served)
{
	TAILQ_REMOVE(&served->end->host->served, served, entry);
	served->end->nserved--;
	sim_msg_free(served->msg);
	free(served);
}

static void
sim_served_reply(void *arg, const struct api_reply *reply)
{
	struct sim_served *served = arg;
	struct sim_msg *msg =
	    sim_msg_create(SIM_REPLY, served->msg->correlation);

	msg->status = reply->status;
	msg->body = mem_strndup(reply->body, reply->body_len);
	msg->body_len = reply->body_len;
	if (served->end->host->ending)
		sim_msg_free(msg);
	else
		sim_end_send(served->end, msg);
	sim_served_free(served);
}

void
sim_request_received(struct sim_end *end, struct sim_msg *msg)
{
	const struct api_handler *handler = jsvc_peer_handler(end->host->svc);
	struct sim_served *served = mem_zalloc(1, sizeof(*served));

	served->end = end;
	served->msg = msg;
	served->request = (struct api_request){ .method = msg->method,
		.path = msg->path,
		.query = msg->query == NULL ? "" : msg->query,
		.body = msg->body,
		.body_len = msg->body_len,
		.forwarded = true,
		.connection = end->conn->id };
	end->nserved++;
	TAILQ_INSERT_TAIL(&end->host->served, served, entry);
	handler->handle(handler->arg, &served->request, sim_served_reply,
	    served);
}

void
sim_reply_received(struct sim_end *end, const struct sim_msg *msg)
{
	const struct api_reply reply = { .status = msg->status,
		.body = msg->body,
		.body_len = msg->body_len };
	struct sim_host *host = end->host;
	struct sim_forward *forward;

	TAILQ_FOREACH (forward, &host->forwards, entry) {
		if (forward->correlation == msg->correlation)
			break;
	}
	if (forward == NULL || forward->end != end)
		return;
	TAILQ_REMOVE(&host->forwards, forward, entry);
	end->nforwards--;
	forward->done(forward->arg, &reply, NULL);
	sim_forward_free(forward);
}

void
sim_forwards_closed(struct sim_end *end)
{
	struct sim_host *host = end->host;
	const struct api_handler *handler;
	struct sim_forward *forward, *next;
	struct sim_served *served, *next_served;
	size_t to = sim_end_peer(end)->host->index;

	host->conns_version++;
	if (host->svc == NULL)
		return;
	TAILQ_FOREACH_SAFE (forward, &host->forwards, entry, next) {
		if (forward->end == end)
			sim_forward_fail(forward, ERR_LOST);
		else if (!end->hello && end->dialed && forward->end == NULL &&
		    forward->to == to)
			sim_forward_fail(forward, ERR_UNAVAILABLE);
	}
	handler = jsvc_peer_handler(host->svc);
	TAILQ_FOREACH_SAFE (served, &host->served, entry, next_served) {
		if (served->end != end)
			continue;
		handler->abandon(handler->arg, served);
		sim_served_free(served);
	}
}

void
sim_forwards_connected(struct sim_end *end)
{
	const struct sim_end *peer = sim_end_peer(end);
	struct sim_forward *forward, *next;

	TAILQ_FOREACH_SAFE (forward, &end->host->forwards, entry, next) {
		if (forward->end != NULL || forward->to != peer->host->index)
			continue;
		if (forward->incarnation == peer->incarnation)
			sim_forward_send(forward, end);
		else if (end->dialed)
			sim_forward_fail(forward, ERR_NOT_FOUND);
	}
}

void
sim_forwards_tick(struct sim_host *host, uint64_t now_us)
{
	struct sim_forward *forward, *next;

	TAILQ_FOREACH_SAFE (forward, &host->forwards, entry, next) {
		if (forward->end == NULL && now_us >= forward->deadline_us)
			sim_forward_fail(forward, ERR_UNAVAILABLE);
	}
}

void
sim_forwards_start(struct sim_host *host)
{
	TAILQ_INIT(&host->forwards);
	TAILQ_INIT(&host->failed);
	TAILQ_INIT(&host->served);
	host->failed_event =
	    event_new(host->base, -1, 0, sim_forward_run_failed, host);
}

void
sim_forwards_stop(struct sim_host *host)
{
	struct sim_served *served;

	event_free(host->failed_event);
	while ((served = TAILQ_FIRST(&host->served)) != NULL)
		sim_served_free(served);
	TAILQ_CONCAT(&sim_abandoned, &host->forwards, entry);
	TAILQ_CONCAT(&sim_abandoned, &host->failed, entry);
}
