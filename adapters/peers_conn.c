/*
 * Connections to peers: opening, hello, sending and receiving frames, closing.
 * The contents of frames are processed by peers_forward.c, peers_state.c and
 * peers_loan.c. No other frame is processed before the peer's hello, and until
 * then the payload is limited to PEERS_HELLO_BYTES_MAX.
 */

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "adapters/peers_internal.h"

#define PEERS_READ_BYTES_MAX (256U << 10) /* per read event */

struct counter peers_ctr_bad_frames = {
	.name = "berylrail_peer_bad_frames_total",
	.help = "Connections closed because a peer sent a malformed frame.",
};

static struct counter peers_ctr_closed = {
	.name = "berylrail_peer_connections_ended_total",
	.help = "Connections to peers that were closed.",
};

static struct counter peers_ctr_open = {
	.name = "berylrail_peer_connections",
	.help = "Connections to peers, before and after the hello.",
	.gauge = 1,
};

static struct counter peers_ctr_received_bytes = {
	.name = "berylrail_peer_received_bytes_total",
	.help = "Bytes of frames received from peers.",
};

static struct counter peers_ctr_sent_bytes = {
	.name = "berylrail_peer_sent_bytes_total",
	.help = "Bytes of frames sent to peers.",
};

/* Counters of frames sent, indexed by Berylrail__Frame__KindCase. */
#define PEERS_SENT(kind)                                    \
	{                                                   \
		.name = "berylrail_messages_total",         \
		.labels = "hop=\"peer\",kind=\"" kind "\"", \
		.help = "Messages sent, by hop and kind."   \
	}
static struct counter peers_ctr_sent[] = {
	[BERYLRAIL__FRAME__KIND_HELLO] = PEERS_SENT("hello"),
	[BERYLRAIL__FRAME__KIND_HEARTBEAT] = PEERS_SENT("heartbeat"),
	[BERYLRAIL__FRAME__KIND_FORWARD_REQUEST] = PEERS_SENT("forward"),
	[BERYLRAIL__FRAME__KIND_FORWARD_REPLY] = PEERS_SENT("forward_reply"),
	[BERYLRAIL__FRAME__KIND_CONFIG_NOTICE] = PEERS_SENT("config_notice"),
	[BERYLRAIL__FRAME__KIND_CONFIG_FETCH] = PEERS_SENT("config_fetch"),
	[BERYLRAIL__FRAME__KIND_CONFIG_SNAPSHOT] =
	    PEERS_SENT("config_snapshot"),
	[BERYLRAIL__FRAME__KIND_SLOT_LOAN] = PEERS_SENT("slot_loan"),
	[BERYLRAIL__FRAME__KIND_SLOT_REQUEST] = PEERS_SENT("slot_request"),
	[BERYLRAIL__FRAME__KIND_SLOT_RETURN] = PEERS_SENT("slot_return"),
};

uint8_t *
peers_pack(const Berylrail__Frame *frame, size_t *len)
{
	size_t size = berylrail__frame__get_packed_size(frame);
	uint8_t *buf = malloc(FRAME_HEADER_BYTES + size);

	if (buf == NULL)
		return NULL;
	frm_header(buf, size);
	berylrail__frame__pack(frame, buf + FRAME_HEADER_BYTES);
	*len = FRAME_HEADER_BYTES + size;
	return buf;
}

int
peers_conn_send_packed(struct peers_conn *conn, const uint8_t *frame,
    size_t len, int kind)
{
	struct evbuffer *output = bufferevent_get_output(conn->bev);

	if (evbuffer_get_length(output) + len > PEERS_OUTPUT_BYTES_MAX ||
	    evbuffer_add(output, frame, len) < 0)
		return -1;
	conn->last_sent_us = peers_now_us(conn->peers);
	ctr_inc(&peers_ctr_sent[kind]);
	ctr_add(&peers_ctr_sent_bytes, len);
	return 0;
}

int
peers_conn_send(struct peers_conn *conn, const Berylrail__Frame *frame)
{
	size_t len;
	uint8_t *buf = peers_pack(frame, &len);
	int rc;

	if (buf == NULL)
		return -1;
	rc = peers_conn_send_packed(conn, buf, len, (int)frame->kind_case);
	free(buf);
	return rc;
}

/* Returns a redundant connection only if there is no other one. */
struct peers_conn *
peers_conn_find(struct peers_tcp *peers, const char *host, uint64_t incarnation)
{
	struct peers_conn *conn, *found = NULL;
	const struct nidx_entry *entry;

	for (entry = nidx_find(&peers->conns_by_name, host); entry != NULL;
	     entry = nidx_next(entry)) {
		conn = NIDX_OBJECT(entry, struct peers_conn, by_name);
		if (conn->closing || conn->incarnation != incarnation)
			continue;
		if (!conn->redundant)
			return conn;
		found = conn;
	}
	return found;
}

struct peers_conn *
peers_conn_find_host(struct peers_tcp *peers, const char *host)
{
	const struct nidx_entry *entry;
	struct peers_conn *conn;

	for (entry = nidx_find(&peers->conns_by_name, host); entry != NULL;
	     entry = nidx_next(entry)) {
		conn = NIDX_OBJECT(entry, struct peers_conn, by_name);
		if (!conn->closing)
			return conn;
	}
	return NULL;
}

void
peers_conn_close(struct peers_conn *conn, const char *reason)
{
	struct peers_tcp *peers = conn->peers;
	struct peers_target *target = conn->target;

	TAILQ_REMOVE(&peers->conns, conn, entry);
	if (conn->hello_received) {
		nidx_remove(&peers->conns_by_name, &conn->by_name);
		peers->conns_version++;
	}
	ctr_set(&peers_ctr_open, --peers->nconns);
	ctr_inc(&peers_ctr_closed);
	peers_forward_conn_closed(conn, reason);
	if (target != NULL) {
		peers_dial_conn_ended(peers, target, conn->hello_received);
		if (!conn->hello_received && target->name[0] != '\0')
			peers_forward_unreachable(peers, target->name);
	}
	if (conn->loan_request != NULL)
		berylrail__frame__free_unpacked(conn->loan_request, NULL);
	bufferevent_free(conn->bev);
	frm_release(&conn->parser);
	free(conn);
}

/*
 * Marks one of two connections to the same process as redundant. So that both
 * sides select the same one, the connection dialed by the host whose name sorts
 * first is retained; of two that the same host dialed, the one whose hello was
 * received first.
 */
static void
peers_conn_mark_redundant(struct peers_conn *conn)
{
	struct peers_tcp *peers = conn->peers;
	const struct nidx_entry *entry;
	struct peers_conn *other;
	const char *dialer, *other_dialer;

	for (entry = nidx_find(&peers->conns_by_name, conn->name);
	     entry != NULL; entry = nidx_next(entry)) {
		other = NIDX_OBJECT(entry, struct peers_conn, by_name);
		if (other == conn || other->redundant ||
		    other->incarnation != conn->incarnation)
			continue;
		dialer = conn->dialed ? peers->params.host : conn->name;
		other_dialer = other->dialed ? peers->params.host : conn->name;
		if (strcmp(dialer, other_dialer) < 0)
			other->redundant = true;
		else
			conn->redundant = true;
	}
}

/*
 * Closes connections to other incarnations with the address of @conn's host.
 * @conn was dialed to that address, and only one process can listen there, so
 * the other incarnations have ended.
 */
static void
peers_conn_close_old_incarnations(struct peers_conn *conn)
{
	struct peers_conn *other, *next;

	TAILQ_FOREACH_SAFE (other, &conn->peers->conns, entry, next) {
		if (other->hello_received &&
		    other->incarnation != conn->incarnation &&
		    other->advertise.port == conn->advertise.port &&
		    strcmp(other->advertise.address, conn->advertise.address) ==
			0)
			peers_conn_close(other,
			    "another incarnation uses the address of the host");
	}
}

static bool
peers_conn_name_is_valid(const char *name)
{
	size_t len = strlen(name);

	return len > 0 && len <= NAME_LEN_MAX;
}

/* Returns -1 if the hello is invalid; the connection must be closed then. */
static int
peers_conn_process_hello(struct peers_conn *conn, const Berylrail__Hello *hello)
{
	struct peers_tcp *peers = conn->peers;
	const struct member_id id = {
		.name = hello->host,
		.az = hello->az,
		.address = hello->peer_address,
		.port = (uint16_t)hello->peer_port,
		.incarnation = hello->incarnation,
	};

	if (conn->hello_received || !peers_conn_name_is_valid(hello->host) ||
	    !peers_conn_name_is_valid(hello->az) || hello->peer_port == 0 ||
	    hello->peer_port > UINT16_MAX ||
	    strlen(hello->peer_address) >= sizeof(conn->advertise.address))
		return -1;
	if (hello->incarnation == peers->params.incarnation) {
		if (conn->target != NULL)
			conn->target->is_self = true;
		conn->closing = true;
		return 0;
	}
	if (strcmp(hello->host, peers->params.host) == 0)
		return -1;
	strlcpy(conn->name, hello->host, sizeof(conn->name));
	strlcpy(conn->az, hello->az, sizeof(conn->az));
	strlcpy(conn->advertise.address, hello->peer_address,
	    sizeof(conn->advertise.address));
	conn->advertise.port = (uint16_t)hello->peer_port;
	conn->incarnation = hello->incarnation;
	conn->hello_received = true;
	nidx_insert(&peers->conns_by_name, &conn->by_name, conn->name);
	peers->conns_version++;
	conn->parser.payload_max = FRAME_BYTES_MAX;
	if (conn->target != NULL) {
		strlcpy(conn->target->name, conn->name,
		    sizeof(conn->target->name));
		conn->target->backoff_ms = 0;
		peers_conn_close_old_incarnations(conn);
	}
	peers_conn_mark_redundant(conn);
	if (mbr_hello(&peers->members, peers_now_us(peers), &id,
		conn->dialed) == NULL)
		peers_dial_on_demand(peers, conn->name);
	peers_state_connected(conn);
	peers_forward_connected(peers, conn);
	return 0;
}

/* Takes ownership of @frame. Returns -1 if the peer violated the protocol. */
static int
peers_conn_process_frame(struct peers_conn *conn, Berylrail__Frame *frame)
{
	int rc = 0;

	if (!conn->hello_received &&
	    frame->kind_case != BERYLRAIL__FRAME__KIND_HELLO) {
		berylrail__frame__free_unpacked(frame, NULL);
		return -1;
	}
	switch (frame->kind_case) {
	case BERYLRAIL__FRAME__KIND_FORWARD_REQUEST:
		peers_forward_request_received(conn, frame);
		return 0;
	case BERYLRAIL__FRAME__KIND_FORWARD_REPLY:
		peers_forward_reply_received(conn, frame);
		break;
	case BERYLRAIL__FRAME__KIND_HELLO:
		rc = peers_conn_process_hello(conn, frame->hello);
		break;
	case BERYLRAIL__FRAME__KIND_HEARTBEAT:
		peers_heartbeat_received(conn, frame->heartbeat);
		break;
	case BERYLRAIL__FRAME__KIND_CONFIG_NOTICE:
		peers_config_notice_received(conn,
		    frame->config_notice->version);
		break;
	case BERYLRAIL__FRAME__KIND_CONFIG_FETCH:
		peers_config_fetch_received(conn,
		    frame->config_fetch->have_version);
		break;
	case BERYLRAIL__FRAME__KIND_CONFIG_SNAPSHOT:
		peers_config_snapshot_received(conn, frame->config_snapshot);
		break;
	case BERYLRAIL__FRAME__KIND_SLOT_LOAN:
		peers_loan_received(conn, frame->slot_loan);
		break;
	case BERYLRAIL__FRAME__KIND_SLOT_REQUEST:
		peers_loan_request_received(conn, frame);
		return 0;
	case BERYLRAIL__FRAME__KIND_SLOT_RETURN:
		peers_loan_return_received(conn, frame->slot_return);
		break;
	default:
		rc = -1;
	}
	berylrail__frame__free_unpacked(frame, NULL);
	return rc;
}

/* Returns -1 if the payload is empty, malformed or violates the protocol. */
static int
peers_conn_process_payload(struct peers_conn *conn)
{
	Berylrail__Frame *frame;

	if (conn->parser.payload_len == 0)
		return -1;
	frame = berylrail__frame__unpack(NULL, conn->parser.payload_len,
	    conn->parser.payload);
	if (frame == NULL)
		return -1;
	conn->last_received_us = peers_now_us(conn->peers);
	conn->alive_us =
	    unread_since_us(&conn->peers->unread, conn->last_received_us);
	ctr_add(&peers_ctr_received_bytes,
	    FRAME_HEADER_BYTES + conn->parser.payload_len);
	return peers_conn_process_frame(conn, frame);
}

static void
peers_conn_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *input = bufferevent_get_input(bev);
	struct peers_conn *conn = arg;
	struct err err = { .code = ERR_INVALID };
	size_t len, used;
	uint8_t *data;
	int rc;

	while (!conn->closing &&
	    (len = evbuffer_get_contiguous_space(input)) > 0) {
		data = evbuffer_pullup(input, (ev_ssize_t)len);
		rc = frm_feed(&conn->parser, data, len, &used, &err);
		evbuffer_drain(input, used);
		if (rc > 0)
			rc = peers_conn_process_payload(conn);
		if (rc < 0) {
			ctr_inc(&peers_ctr_bad_frames);
			peers_conn_close(conn, "peer violated the protocol");
			return;
		}
	}
	if (conn->closing)
		peers_conn_close(conn, "connection closed by this host");
}

static void
peers_conn_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	peers_conn_close(arg,
	    what & BEV_EVENT_EOF ? "connection closed by the peer"
				 : "connection failed");
}

static void
peers_conn_send_hello(struct peers_conn *conn)
{
	const struct peers_tcp *peers = conn->peers;
	Berylrail__Hello hello = BERYLRAIL__HELLO__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;

	hello.host = (char *)peers->params.host;
	hello.az = (char *)peers->params.az;
	hello.incarnation = peers->params.incarnation;
	hello.peer_address = (char *)peers->advertise.address;
	hello.peer_port = peers->advertise.port;
	frame.kind_case = BERYLRAIL__FRAME__KIND_HELLO;
	frame.hello = &hello;
	peers_conn_send(conn, &frame);
}

static int
peers_conn_connect(struct peers_conn *conn, const struct endpoint *endpoint)
{
	struct sockaddr_storage address;
	int len = sizeof(address);
	char text[64];

	snprintf(text, sizeof(text),
	    strchr(endpoint->address, ':') != NULL ? "[%s]:%u" : "%s:%u",
	    endpoint->address, endpoint->port);
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
		&len) < 0)
		return -1;
	return bufferevent_socket_connect(conn->bev,
	    (struct sockaddr *)&address, len);
}

/*
 * Opens a connection for the accepted socket @fd, or dials @target if @fd is
 * -1. Returns NULL on failure; @fd is then still owned by the caller.
 */
struct peers_conn *
peers_conn_open(struct peers_tcp *peers, struct peers_target *target,
    evutil_socket_t fd)
{
	struct peers_conn *conn;
	int on = 1;

	if (peers->nconns >= PEERS_CONNECTIONS_MAX)
		return NULL;
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return NULL;
	conn->peers = peers;
	conn->id = ++peers->last_conn_id;
	conn->target = target;
	conn->dialed = target != NULL;
	conn->opened_us = conn->last_received_us = conn->last_used_us =
	    peers_now_us(peers);
	frm_init(&conn->parser, PEERS_HELLO_BYTES_MAX);
	conn->bev = bufferevent_socket_new(peers->params.base, fd,
	    BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	if (conn->bev == NULL) {
		free(conn);
		return NULL;
	}
	bufferevent_set_max_single_read(conn->bev, PEERS_READ_BYTES_MAX);
	bufferevent_setcb(conn->bev, peers_conn_read, NULL, peers_conn_event,
	    conn);
	TAILQ_INSERT_TAIL(&peers->conns, conn, entry);
	ctr_set(&peers_ctr_open, ++peers->nconns);
	if (target != NULL && peers_conn_connect(conn, &target->endpoint) < 0) {
		conn->target = NULL;
		peers_conn_close(conn, "connect");
		return NULL;
	}
	setsockopt(bufferevent_getfd(conn->bev), IPPROTO_TCP, TCP_NODELAY, &on,
	    sizeof(on));
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	peers_conn_send_hello(conn);
	return conn;
}

/* Returns the time without a complete frame after which the peer is considered
 * dead and the connection is closed. */
static uint64_t
peers_conn_receive_timeout_us(const struct peers_conn *conn)
{
	uint32_t interval_ms = conn->interval_ms;

	if (!conn->hello_received || interval_ms == 0)
		return (uint64_t)PEERS_HELLO_TIMEOUT_MS * 1000;
	return (uint64_t)interval_ms * MEMBER_DEAD_INTERVALS * 1000;
}

/*
 * Returns true if the connection was dialed by this host, is no longer needed
 * and has no request in progress. The peer closes those that it dialed. A
 * redundant connection is retained for PEERS_HELLO_TIMEOUT_MS.
 */
static bool
peers_conn_is_idle(struct peers_conn *conn, uint64_t now_us)
{
	const struct peers_tcp *peers = conn->peers;
	const struct member *member;

	if (!conn->dialed || !conn->hello_received || conn->nserved > 0 ||
	    conn->nforwards > 0)
		return false;
	if (conn->redundant)
		return now_us - conn->opened_us >
		    (uint64_t)PEERS_HELLO_TIMEOUT_MS * 1000;
	if (now_us - conn->last_used_us <=
	    (uint64_t)PEERS_ON_DEMAND_IDLE_MS * 1000)
		return false;
	member = mbr_find(&peers->members, conn->name);
	return !conn->target->is_seed &&
	    (member == NULL || !member->should_connect);
}

void
peers_conn_tick(struct peers_tcp *peers, uint64_t now_us)
{
	struct peers_conn *conn, *next;

	TAILQ_FOREACH_SAFE (conn, &peers->conns, entry, next) {
		if (conn->closing)
			peers_conn_close(conn,
			    "connection closed by this host");
		else if (now_us - conn->last_received_us >
		    peers_conn_receive_timeout_us(conn))
			peers_conn_close(conn, "silent");
		else if (peers_conn_is_idle(conn, now_us))
			peers_conn_close(conn, "idle");
	}
}
