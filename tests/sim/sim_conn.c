/*
 * Connections between hosts. Messages of one connection keep their order; those
 * of two connections need not. While a path is cut, they wait, as does what a
 * host that stands still has not read. The other end of a connection that is
 * closed learns of it after all data, or instead of the data, or not at all.
 */

#include <string.h>

#include "core/mem.h"
#include "sim.h"

struct sim_msg *
sim_msg_create(enum sim_msg_kind kind, uint64_t correlation)
{
	struct sim_msg *msg = mem_zalloc(1, sizeof(*msg));

	msg->kind = kind;
	msg->correlation = correlation;
	return msg;
}

void
sim_msg_free(struct sim_msg *msg)
{
	free(msg->path);
	free(msg->query);
	free(msg->body);
	free(msg);
}

static void
sim_msgs_clear(struct sim_msgs *msgs)
{
	struct sim_msg *msg;

	while ((msg = TAILQ_FIRST(msgs)) != NULL) {
		TAILQ_REMOVE(msgs, msg, entry);
		sim_msg_free(msg);
	}
}

struct sim_end *
sim_end_peer(struct sim_end *end)
{
	return &end->conn->ends[end == end->conn->ends ? 1 : 0];
}

static bool
sim_path_cut(const struct sim_end *from, const struct sim_end *to)
{
	return from->host->day->cut[from->host->index][to->host->index];
}

/* Puts a message on its way to @to. */
static void
sim_end_receive(struct sim_end *to, struct sim_msg *msg, uint64_t delay_us)
{
	const struct sim_msg *last = TAILQ_LAST(&to->wire, sim_msgs);

	msg->due_us = sim_now_us() + delay_us;
	if (last != NULL && msg->due_us < last->due_us)
		msg->due_us = last->due_us;
	TAILQ_INSERT_TAIL(&to->wire, msg, entry);
}

void
sim_end_send(struct sim_end *end, struct sim_msg *msg)
{
	struct sim_end *to = sim_end_peer(end);

	end->last_sent_us = sim_host_now_us(end->host);
	if (end->conn->silent) {
		sim_msg_free(msg);
		return;
	}
	if (!to->closed) {
		sim_end_receive(to, msg, end->conn->delay_us);
		return;
	}
	sim_msg_free(msg);
	/* The peer's machine resets the connection, once the packet arrives. */
	if (!to->host->power_lost && !sim_path_cut(end, to) &&
	    TAILQ_EMPTY(&end->wire))
		sim_end_receive(end, sim_msg_create(SIM_END, 0),
		    UINT64_C(2) * end->conn->delay_us);
}

static void
sim_end_init(struct sim_end *end, struct sim_conn *conn, struct sim_host *host,
    bool dialed)
{
	end->conn = conn;
	end->host = host;
	end->incarnation = host->info.incarnation;
	end->dialed = dialed;
	end->opened_us = end->last_received_us = sim_host_now_us(host);
	TAILQ_INIT(&end->wire);
	TAILQ_INIT(&end->inbox);
	TAILQ_INSERT_TAIL(&host->ends, end, entry);
}

void
sim_conn_dial(struct sim_host *host, struct sim_host *to)
{
	struct sim_conn *conn = mem_zalloc(1, sizeof(*conn));
	struct sim_day *day = host->day;

	conn->day = day;
	conn->id = ++day->nconns;
	conn->delay_us = day->delay_us + sim_random(day, day->delay_spread_us);
	sim_end_init(&conn->ends[0], conn, host, true);
	sim_end_init(&conn->ends[1], conn, to, false);
	TAILQ_INSERT_TAIL(&day->conns, conn, entry);
	if (to->svc == NULL)
		conn->ends[1].closed = true;
	/* The first packet of the connection. */
	sim_end_send(&conn->ends[0], sim_msg_create(SIM_HELLO, 0));
}

static void
sim_end_tell(struct sim_end *end, enum sim_close how)
{
	struct sim_end *to = sim_end_peer(end);
	struct sim_day *day = end->conn->day;
	struct sim_msg *msg;

	if (to->closed || end->conn->silent || how != SIM_CLOSE_DRAWN ||
	    sim_chance(day, 150))
		return;
	msg = sim_msg_create(SIM_END, 0);
	if (sim_chance(day, 800)) {
		sim_end_receive(to, msg, end->conn->delay_us);
		return;
	}
	/* A reset: what was not read is lost. */
	msg->due_us = sim_now_us() + end->conn->delay_us;
	sim_msgs_clear(&to->wire);
	if (sim_chance(day, 500))
		sim_msgs_clear(&to->inbox);
	TAILQ_INSERT_TAIL(&to->wire, msg, entry);
}

void
sim_end_close(struct sim_end *end, enum sim_close how)
{
	struct sim_msg *msg, *next;

	if (end->closed)
		return;
	end->closed = true;
	sim_msgs_clear(&end->wire);
	sim_msgs_clear(&end->inbox);
	if (how == SIM_CLOSE_SILENT) {
		TAILQ_FOREACH_SAFE (msg, &sim_end_peer(end)->wire, entry,
		    next) {
			if (msg->due_us > sim_now_us() ||
			    sim_path_cut(end, sim_end_peer(end))) {
				TAILQ_REMOVE(&sim_end_peer(end)->wire, msg,
				    entry);
				sim_msg_free(msg);
			}
		}
	}
	sim_end_tell(end, how);
	sim_forwards_closed(end);
}

void
sim_conn_silence(struct sim_conn *conn)
{
	conn->silent = true;
	sim_msgs_clear(&conn->ends[0].wire);
	sim_msgs_clear(&conn->ends[1].wire);
}

static void
sim_end_advance(struct sim_end *end, uint64_t now_us)
{
	const struct sim_host *from = sim_end_peer(end)->host, *to = end->host;
	const struct sim_day *day = to->day;
	struct sim_msg *msg = TAILQ_FIRST(&end->wire);

	if (msg == NULL || day->cut[from->index][to->index] ||
	    now_us < day->resume_us[from->index][to->index])
		return;
	for (; msg != NULL && msg->due_us <= now_us;
	     msg = TAILQ_FIRST(&end->wire)) {
		TAILQ_REMOVE(&end->wire, msg, entry);
		TAILQ_INSERT_TAIL(&end->inbox, msg, entry);
	}
}

void
sim_conn_advance(struct sim_day *day)
{
	uint64_t now_us = sim_now_us();
	struct sim_conn *conn;

	TAILQ_FOREACH (conn, &day->conns, entry) {
		sim_end_advance(&conn->ends[0], now_us);
		sim_end_advance(&conn->ends[1], now_us);
	}
}

bool
sim_conn_read(struct sim_host *host, uint32_t max)
{
	struct sim_end *end, *next;
	struct sim_msg *msg;

	/* A connection that opens meanwhile is inserted at the tail. */
	for (end = TAILQ_FIRST(&host->ends); end != NULL; end = next) {
		while (
		    !end->closed && (msg = TAILQ_FIRST(&end->inbox)) != NULL) {
			if (max-- == 0)
				return true;
			TAILQ_REMOVE(&end->inbox, msg, entry);
			if (msg->kind == SIM_END) {
				sim_msg_free(msg);
				sim_end_close(end, SIM_CLOSE_TOLD);
			} else {
				sim_peers_msg(end, msg);
			}
		}
		next = TAILQ_NEXT(end, entry);
	}
	return false;
}

void
sim_conn_sweep(struct sim_day *day)
{
	struct sim_conn *conn, *next;
	int i;

	TAILQ_FOREACH_SAFE (conn, &day->conns, entry, next) {
		if (!conn->ends[0].closed || !conn->ends[1].closed)
			continue;
		TAILQ_REMOVE(&day->conns, conn, entry);
		for (i = 0; i < 2; i++) {
			sim_msgs_clear(&conn->ends[i].wire);
			sim_msgs_clear(&conn->ends[i].inbox);
			TAILQ_REMOVE(&conn->ends[i].host->ends, &conn->ends[i],
			    entry);
		}
		free(conn);
	}
}
