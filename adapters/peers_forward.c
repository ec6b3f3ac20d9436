/*
 * Forwarding of requests between hosts. A forward waits for a connection to
 * the issuer, is sent at most once, and ends when its reply is received, its
 * connection is closed or it times out. Correlation ids are never reused, so
 * that a late or duplicate reply matches no forward and is dropped.
 */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/peers_internal.h"

#define PEERS_WASTED(kind)                                               \
	{                                                                \
		.name = "berylrail_wasted_messages_total",               \
		.labels = "hop=\"peer\",kind=\"" kind "\"",              \
		.help = "Messages that did not contribute to an answer." \
	}
static struct counter peers_ctr_unknown_reply = PEERS_WASTED("unknown_reply");
static struct counter peers_ctr_lost = PEERS_WASTED("forward_lost");
static struct counter peers_ctr_wrong_incarnation =
    PEERS_WASTED("forward_gone");
static struct counter peers_ctr_overloaded = PEERS_WASTED("forward_refused");

static struct counter peers_ctr_pending = {
	.name = "berylrail_peer_forwards",
	.help = "Pending requests that were forwarded to other hosts.",
	.gauge = 1,
};

/* Ends a forward with an error; its callback is called by the event loop. */
static void
peers_forward_end(struct peers_tcp *peers, struct peers_forward *forward,
    enum err_code code, const char *reason)
{
	log_event(LOG_LEVEL_INFO, "forward-failed",
	    "peer=%s incarnation=%" PRIu64 " correlation=%" PRIu64
	    " sent=%d code=%s reason=\"%s\"",
	    forward->host, forward->incarnation, forward->correlation,
	    forward->conn != NULL ? 1 : 0, err_code_name(code), reason);
	TAILQ_REMOVE(&peers->forwards, forward, entry);
	err_set(&forward->err, ERR_STEP_FORWARD, code, forward->host, "%s",
	    reason);
	if (forward->conn != NULL)
		forward->conn->nforwards--;
	forward->conn = NULL;
	TAILQ_INSERT_TAIL(&peers->failed, forward, entry);
	event_active(peers->failed_event, 0, 0);
}

/* Ends a forward that was not sent, or that its receiver refused. @code: see
 * peers_not_executed(). */
static void
peers_forward_not_executed(struct peers_tcp *peers,
    struct peers_forward *forward, enum err_code code, const char *reason)
{
	peers_forward_end(peers, forward, code, reason);
}

/* Ends a forward that was sent and has no reply. Whether the peer has executed
 * it is unknown, whatever ended the connection. */
static void
peers_forward_lost(struct peers_tcp *peers, struct peers_forward *forward,
    const char *reason)
{
	ctr_inc(&peers_ctr_lost);
	peers_forward_end(peers, forward, ERR_LOST, reason);
}

static void
peers_forward_free(struct peers_tcp *peers, struct peers_forward *forward)
{
	ctr_set(&peers_ctr_pending, --peers->nforwards);
	free(forward->frame);
	free(forward);
}

void
peers_forward_run_callbacks(evutil_socket_t fd, short what, void *arg)
{
	struct peers_tcp *peers = arg;
	struct peers_forward *forward;

	(void)fd;
	(void)what;
	while ((forward = TAILQ_FIRST(&peers->failed)) != NULL) {
		TAILQ_REMOVE(&peers->failed, forward, entry);
		forward->done(forward->arg, NULL, &forward->err);
		peers_forward_free(peers, forward);
	}
}

/* A limit on requests in progress, for one with this method. */
static size_t
peers_forward_limit(size_t limit, uint32_t method)
{
	return method == API_DELETE ? limit * PEERS_CANCEL_MAX_FACTOR : limit;
}

static void
peers_forward_send(struct peers_conn *conn, struct peers_forward *forward)
{
	struct peers_tcp *peers = conn->peers;

	if (peers_conn_send_packed(conn, forward->frame, forward->frame_len,
		BERYLRAIL__FRAME__KIND_FORWARD_REQUEST) < 0) {
		peers_forward_not_executed(peers, forward, ERR_UNAVAILABLE,
		    "connection has too much unsent data");
		return;
	}
	free(forward->frame);
	forward->frame = NULL;
	forward->conn = conn;
	conn->nforwards++;
	forward->deadline_us = peers_now_us(peers) +
	    (uint64_t)PEERS_FORWARD_REPLY_TIMEOUT_MS * 1000;
	conn->last_used_us = peers_now_us(peers);
}

static uint8_t *
peers_forward_pack(const struct api_request *request, uint64_t correlation,
    uint64_t incarnation, size_t *len)
{
	Berylrail__ForwardRequest message = BERYLRAIL__FORWARD_REQUEST__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;

	message.correlation = correlation;
	message.incarnation = incarnation;
	message.method = request->method;
	message.path = (char *)request->path;
	if (request->query != NULL)
		message.query = (char *)request->query;
	if (request->idempotency_key != NULL)
		message.idempotency_key = (char *)request->idempotency_key;
	if (request->job != NULL)
		message.job = (char *)request->job;
	if (request->operator_name != NULL)
		message.who = (char *)request->operator_name;
	if (request->client != NULL)
		message.client = (char *)request->client;
	message.body.data = (uint8_t *)request->body;
	message.body.len = request->body_len;
	frame.kind_case = BERYLRAIL__FRAME__KIND_FORWARD_REQUEST;
	frame.forward_request = &message;
	return peers_pack(&frame, len);
}

/*
 * Sends a new forward if its host is connected; otherwise dials the host. Fails
 * the forward if the host is unreachable or the incarnation no longer exists.
 */
static void
peers_forward_route(struct peers_tcp *peers, struct peers_forward *forward)
{
	const char *host = forward->host;
	struct peers_conn *conn;
	const struct member *member;

	conn = peers_conn_find(peers, host, forward->incarnation);
	if (conn != NULL) {
		peers_forward_send(conn, forward);
		return;
	}
	member = mbr_find(&peers->members, host);
	if (strcmp(host, peers->params.host) == 0 ||
	    (member != NULL && member->state != MEMBER_NEVER_CONNECTED &&
		member->incarnation != forward->incarnation &&
		peers_conn_find(peers, host, member->incarnation) != NULL))
		peers_forward_not_executed(peers, forward, ERR_NOT_FOUND,
		    "another incarnation uses the address of the host");
	else if (peers_dial_on_demand(peers, host) < 0)
		peers_forward_not_executed(peers, forward, ERR_UNAVAILABLE,
		    member == NULL ? "host is unknown" : "host is unreachable");
}

void
peers_forward(struct peers *port, const char *az, const char *issuer,
    uint64_t incarnation, const struct api_request *request,
    void (
	*done)(void *arg, const struct api_reply *reply, const struct err *err),
    void *arg)
{
	static const struct err no_memory = {
		.step = ERR_STEP_FORWARD,
		.code = ERR_NO_MEMORY,
		.message = "forward",
	};
	struct peers_tcp *peers = peers_from_port(port);
	struct peers_forward *forward = calloc(1, sizeof(*forward));

	(void)az;
	if (forward == NULL) {
		done(arg, NULL, &no_memory);
		return;
	}
	strlcpy(forward->host, issuer, sizeof(forward->host));
	forward->incarnation = incarnation;
	forward->done = done;
	forward->arg = arg;
	forward->correlation = peers->next_correlation++;
	forward->deadline_us = peers_now_us(peers) +
	    (uint64_t)PEERS_FORWARD_CONNECT_TIMEOUT_MS * 1000;
	forward->frame = peers_forward_pack(request, forward->correlation,
	    incarnation, &forward->frame_len);
	TAILQ_INSERT_TAIL(&peers->forwards, forward, entry);
	ctr_set(&peers_ctr_pending, ++peers->nforwards);
	if (peers->nforwards >
	    peers_forward_limit(PEERS_FORWARDS_MAX, request->method))
		peers_forward_not_executed(peers, forward, ERR_UNAVAILABLE,
		    "too many forwards are pending");
	else if (forward->frame == NULL)
		peers_forward_not_executed(peers, forward, ERR_NO_MEMORY,
		    "forward");
	else if (forward->frame_len > FRAME_BYTES_MAX)
		peers_forward_not_executed(peers, forward, ERR_TOO_LARGE,
		    "request exceeds the size of a frame");
	else
		peers_forward_route(peers, forward);
}

/*
 * Sends the forwards that wait for the host of @conn, after its hello. If the
 * host was dialed, forwards to its other incarnations fail, as those ended.
 */
void
peers_forward_connected(struct peers_tcp *peers, struct peers_conn *conn)
{
	struct peers_forward *forward, *next;

	TAILQ_FOREACH_SAFE (forward, &peers->forwards, entry, next) {
		if (forward->conn != NULL ||
		    strcmp(forward->host, conn->name) != 0)
			continue;
		if (forward->incarnation == conn->incarnation)
			peers_forward_send(conn, forward);
		else if (conn->dialed)
			peers_forward_not_executed(peers, forward,
			    ERR_NOT_FOUND,
			    "another incarnation uses the address of the host");
	}
}

/* Fails the forwards that wait for a connection to @host. */
void
peers_forward_unreachable(struct peers_tcp *peers, const char *host)
{
	struct peers_forward *forward, *next;

	TAILQ_FOREACH_SAFE (forward, &peers->forwards, entry, next) {
		if (forward->conn == NULL && strcmp(forward->host, host) == 0)
			peers_forward_not_executed(peers, forward,
			    ERR_UNAVAILABLE, "host is unreachable");
	}
}

static void
peers_served_free(struct peers_tcp *peers, struct peers_served *served)
{
	TAILQ_REMOVE(&peers->served, served, entry);
	if (served->conn != NULL)
		served->conn->nserved--;
	berylrail__frame__free_unpacked(served->frame, NULL);
	free(served);
}

/*
 * Fails the forwards and abandons the served requests of a connection that is
 * about to be freed.
 */
void
peers_forward_conn_closed(struct peers_conn *conn, const char *reason)
{
	struct peers_tcp *peers = conn->peers;
	struct peers_forward *forward, *next;
	struct peers_served *served, *next_served;

	TAILQ_FOREACH_SAFE (forward, &peers->forwards, entry, next) {
		if (forward->conn == conn)
			peers_forward_lost(peers, forward, reason);
	}
	TAILQ_FOREACH_SAFE (served, &peers->served, entry, next_served) {
		if (served->conn != conn)
			continue;
		api_abandon(peers->params.api, served);
		peers_served_free(peers, served);
	}
}

static void
peers_forward_send_reply(struct peers_conn *conn,
    const Berylrail__ForwardReply *reply)
{
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;

	frame.kind_case = BERYLRAIL__FRAME__KIND_FORWARD_REPLY;
	frame.forward_reply = (Berylrail__ForwardReply *)reply;
	/*
	 * If the reply can't be sent, the connection is closed, so that the
	 * peer does not wait for the reply until the forward times out.
	 */
	if (peers_conn_send(conn, &frame) < 0)
		conn->closing = true;
}

static void
peers_served_reply(void *arg, const struct api_reply *reply)
{
	static char too_large[] =
	    "{\"title\":\"too-large\",\"status\":502,"
	    "\"detail\":\"reply exceeds the size of a frame\","
	    "\"step\":\"forward\","
	    "\"code\":\"too-large\"}";
	static char problem_type[] = "application/problem+json";
	static char unknown[] = "outcome-unknown";
	Berylrail__ForwardReply message = BERYLRAIL__FORWARD_REPLY__INIT;
	struct peers_served *served = arg;
	struct peers_conn *conn = served->conn;

	message.correlation = served->correlation;
	message.status = (uint32_t)reply->status;
	if (reply->content_type != NULL)
		message.content_type = (char *)reply->content_type;
	if (reply->outcome != NULL)
		message.outcome = (char *)reply->outcome;
	if (reply->next_ticket != NULL)
		message.next_ticket = (char *)reply->next_ticket;
	message.body.data = (uint8_t *)reply->body;
	message.body.len = reply->body_len;
	/* The Frame that contains the message adds fewer than 16 bytes. */
	if (berylrail__forward_reply__get_packed_size(&message) + 16 >
	    FRAME_BYTES_MAX) {
		message.status = 502;
		message.content_type = problem_type;
		message.outcome = unknown;
		message.body.data = (uint8_t *)too_large;
		message.body.len = sizeof(too_large) - 1;
	}
	peers_forward_send_reply(conn, &message);
	conn->last_used_us = peers_now_us(conn->peers);
	peers_served_free(conn->peers, served);
}

static const char *
peers_forward_null_if_empty(const char *text)
{
	return text[0] != '\0' ? text : NULL;
}

static void
peers_served_set_request(struct peers_served *served,
    const Berylrail__ForwardRequest *message)
{
	served->request = (struct api_request){
		.method = message->method < API_OTHER
		    ? (enum api_method)message->method
		    : API_OTHER,
		.path = message->path,
		.query = message->query,
		.idempotency_key =
		    peers_forward_null_if_empty(message->idempotency_key),
		.job = peers_forward_null_if_empty(message->job),
		.operator_name = peers_forward_null_if_empty(message->who),
		.client = message->client,
		.body = message->body.data,
		.body_len = message->body.len,
		.forwarded = true,
		.connection = served->conn->id,
	};
}

/*
 * Passes a forwarded request to the API. A request for another incarnation or
 * above the limit of the connection is refused without calling the API.
 */
void
peers_forward_request_received(struct peers_conn *conn, Berylrail__Frame *frame)
{
	const Berylrail__ForwardRequest *message = frame->forward_request;
	Berylrail__ForwardReply reply = BERYLRAIL__FORWARD_REPLY__INIT;
	struct peers_tcp *peers = conn->peers;
	struct peers_served *served;

	reply.correlation = message->correlation;
	if (message->incarnation != peers->params.incarnation) {
		reply.wrong_incarnation = true;
		peers_forward_send_reply(conn, &reply);
		berylrail__frame__free_unpacked(frame, NULL);
		return;
	}
	served = conn->nserved <
		peers_forward_limit(PEERS_SERVED_PER_CONN_MAX, message->method)
	    ? calloc(1, sizeof(*served))
	    : NULL;
	if (served == NULL) {
		reply.overloaded = true;
		peers_forward_send_reply(conn, &reply);
		berylrail__frame__free_unpacked(frame, NULL);
		return;
	}
	served->conn = conn;
	served->correlation = message->correlation;
	served->frame = frame;
	peers_served_set_request(served, message);
	conn->nserved++;
	conn->last_used_us = peers_now_us(peers);
	TAILQ_INSERT_TAIL(&peers->served, served, entry);
	api_handle(peers->params.api, &served->request, peers_served_reply,
	    served);
}

void
peers_forward_reply_received(struct peers_conn *conn,
    const Berylrail__Frame *frame)
{
	const Berylrail__ForwardReply *message = frame->forward_reply;
	struct peers_tcp *peers = conn->peers;
	struct peers_forward *forward;
	struct api_reply reply;

	TAILQ_FOREACH (forward, &peers->forwards, entry) {
		if (forward->correlation == message->correlation)
			break;
	}
	if (forward == NULL || forward->conn != conn) {
		ctr_inc(&peers_ctr_unknown_reply);
		return;
	}
	conn->last_used_us = peers_now_us(peers);
	if (message->wrong_incarnation) {
		ctr_inc(&peers_ctr_wrong_incarnation);
		peers_forward_not_executed(peers, forward, ERR_NOT_FOUND,
		    "the incarnation no longer exists");
		return;
	}
	if (message->overloaded) {
		ctr_inc(&peers_ctr_overloaded);
		peers_forward_not_executed(peers, forward, ERR_UNAVAILABLE,
		    "host has too many forwarded requests in progress");
		return;
	}
	reply = (struct api_reply){
		.status = (int)message->status,
		.content_type = message->content_type,
		.outcome = peers_forward_null_if_empty(message->outcome),
		.next_ticket =
		    peers_forward_null_if_empty(message->next_ticket),
		.body = message->body.data,
		.body_len = message->body.len,
	};
	TAILQ_REMOVE(&peers->forwards, forward, entry);
	conn->nforwards--;
	forward->done(forward->arg, &reply, NULL);
	peers_forward_free(peers, forward);
}

void
peers_forward_tick(struct peers_tcp *peers, uint64_t now_us)
{
	struct peers_forward *forward, *next;

	TAILQ_FOREACH_SAFE (forward, &peers->forwards, entry, next) {
		if (now_us < forward->deadline_us)
			continue;
		if (forward->conn == NULL)
			peers_forward_not_executed(peers, forward,
			    ERR_UNAVAILABLE,
			    "connecting to the host timed out");
		else
			peers_forward_lost(peers, forward,
			    "reply of the host timed out");
	}
}

/*
 * Frees the remaining forwards without calling back. All connections must be
 * closed, so that no forward and no served request refers to one.
 */
void
peers_forward_release(struct peers_tcp *peers)
{
	struct peers_forward *forward;

	TAILQ_CONCAT(&peers->failed, &peers->forwards, entry);
	while ((forward = TAILQ_FIRST(&peers->failed)) != NULL) {
		TAILQ_REMOVE(&peers->failed, forward, entry);
		peers_forward_free(peers, forward);
	}
}
