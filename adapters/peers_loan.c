/*
 * Task slots lent between entry hosts. A host with waiting tasks asks the
 * hosts of its availability zone, and those of other zones if the wait is
 * long, for slots on their servers; they lend what they leave idle. The
 * borrower starts tasks on a loan for PEERS_LOAN_START_MS and gives it back
 * when these have ended.
 */

#include <string.h>

#include "adapters/peers_internal.h"
#include "entry/engine.h"

static struct counter peers_ctr_lent = {
	.name = "berylrail_slots_lent_total",
	.help = "Task slots lent to other entry hosts.",
};

static struct counter peers_ctr_borrowed = {
	.name = "berylrail_slots_borrowed_total",
	.help = "Task slots borrowed from other entry hosts.",
};

static struct counter peers_ctr_loan_refused = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"peer\",kind=\"slot_request\"",
	.help = "Messages that did not contribute to an answer.",
};

/* Servers and slots of one message. */
struct peers_slots {
	size_t n;
	Berylrail__ServerSlots items[PEERS_LOAN_SERVERS_MAX];
	Berylrail__ServerSlots *list[PEERS_LOAN_SERVERS_MAX];
};

/* The list must have room; @server is borrowed. */
static void
peers_slots_add(struct peers_slots *slots, const char *server, uint32_t n)
{
	Berylrail__ServerSlots *item = &slots->items[slots->n];

	berylrail__server_slots__init(item);
	item->server = (char *)server;
	item->slots = n;
	slots->list[slots->n++] = item;
}

static uint32_t
peers_slots_bounded(uint32_t n)
{
	return n < PEERS_LOAN_SLOTS_MAX ? n : PEERS_LOAN_SLOTS_MAX;
}

static void
peers_loan_send_return(struct peers_conn *conn, struct peers_slots *slots)
{
	Berylrail__SlotReturn message = BERYLRAIL__SLOT_RETURN__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;

	if (slots->n == 0)
		return;
	message.servers = slots->list;
	message.n_servers = slots->n;
	frame.kind_case = BERYLRAIL__FRAME__KIND_SLOT_RETURN;
	frame.slot_return = &message;
	(void)peers_conn_send(conn, &frame);
}

/* Asking */

static bool
peers_loan_may_ask(const struct peers_tcp *peers, const struct peers_conn *conn)
{
	const struct member *member;

	if (!conn->hello || conn->closing || conn->redundant ||
	    conn->loan_asked)
		return false;
	member = mbr_find(&peers->members, conn->name);
	return member != NULL && member->state == MEMBER_LIVE;
}

static void
peers_loan_ask(struct peers_conn *conn, const struct engine_loan *wants,
    size_t nwants)
{
	Berylrail__SlotRequest request = BERYLRAIL__SLOT_REQUEST__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	struct peers_slots slots = { .n = 0 };
	size_t i;

	for (i = 0; i < nwants; i++) {
		if (strcmp(wants[i].az, conn->az) == 0)
			peers_slots_add(&slots, wants[i].server,
			    wants[i].slots);
	}
	if (slots.n == 0)
		return;
	request.servers = slots.list;
	request.n_servers = slots.n;
	frame.kind_case = BERYLRAIL__FRAME__KIND_SLOT_REQUEST;
	frame.slot_request = &request;
	if (peers_conn_send(conn, &frame) == 0)
		conn->loan_asked = true;
}

/* What hosts have lent goes back to them, unless they are gone. */
static void
peers_loan_give_back(struct peers_tcp *peers)
{
	struct engine_loan owed[PEERS_LOAN_SERVERS_MAX];
	struct peers_slots slots;
	struct peers_conn *conn;
	size_t i, n;

	n = engine_loan_collect_returns(peers->params.engine, owed,
	    PEERS_LOAN_SERVERS_MAX);
	if (n == 0)
		return;
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (!conn->hello || conn->redundant)
			continue;
		slots.n = 0;
		for (i = 0; i < n; i++) {
			if (owed[i].lender == conn->incarnation)
				peers_slots_add(&slots, owed[i].server,
				    owed[i].slots);
		}
		peers_loan_send_return(conn, &slots);
	}
}

/* Lending */

/* Lends what this host leaves idle of the request. Return: was it anything? */
static bool
peers_loan_grant(struct peers_conn *conn, const Berylrail__SlotRequest *request,
    bool even_nothing)
{
	struct engine *engine = conn->peers->params.engine;
	Berylrail__SlotLoan loan = BERYLRAIL__SLOT_LOAN__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	struct peers_slots slots = { .n = 0 };
	const Berylrail__ServerSlots *wanted;
	uint32_t lent;
	size_t i;

	for (i = 0; i < request->n_servers && i < PEERS_LOAN_SERVERS_MAX; i++) {
		wanted = request->servers[i];
		lent = engine_loan_grant(engine, wanted->server,
		    peers_slots_bounded(wanted->slots),
		    (uint64_t)PEERS_LOAN_HELD_MS * 1000);
		if (lent == 0)
			continue;
		ctr_add(&peers_ctr_lent, lent);
		peers_slots_add(&slots, wanted->server, lent);
	}
	if (slots.n == 0 && !even_nothing)
		return false;
	loan.servers = slots.list;
	loan.n_servers = slots.n;
	loan.start_for_ms = PEERS_LOAN_START_MS;
	frame.kind_case = BERYLRAIL__FRAME__KIND_SLOT_LOAN;
	frame.slot_loan = &loan;
	if (peers_conn_send(conn, &frame) < 0)
		conn->closing = true;
	return true;
}

static void
peers_loan_end_request(struct peers_conn *conn)
{
	berylrail__frame__free_unpacked(conn->loan_request, NULL);
	conn->loan_request = NULL;
}

/* A request that can't be met now waits until it can, or for its time. */
void
peers_loan_request(struct peers_conn *conn, Berylrail__Frame *frame)
{
	if (conn->loan_request != NULL)
		peers_loan_end_request(conn);
	conn->loan_request = frame;
	conn->loan_request_until_us =
	    peers_now_us(conn->peers) + (uint64_t)PEERS_LOAN_PENDING_MS * 1000;
	if (peers_loan_grant(conn, frame->slot_request, false))
		peers_loan_end_request(conn);
}

static void
peers_loan_grant_pending(struct peers_tcp *peers, uint64_t now_us)
{
	struct peers_conn *conn;

	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (conn->loan_request != NULL &&
		    peers_loan_grant(conn, conn->loan_request->slot_request,
			now_us >= conn->loan_request_until_us))
			peers_loan_end_request(conn);
	}
}

void
peers_loan_tick(evutil_socket_t fd, short what, void *arg)
{
	struct engine_loan wants[PEERS_LOAN_SERVERS_MAX];
	struct peers_tcp *peers = arg;
	uint64_t now_us = peers_now_us(peers);
	struct peers_conn *conn;
	size_t nwants;

	(void)fd;
	(void)what;
	peers_loan_give_back(peers);
	peers_loan_grant_pending(peers, now_us);
	nwants = engine_loan_requests(peers->params.engine, wants,
	    PEERS_LOAN_SERVERS_MAX);
	if (nwants == 0)
		return;
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (peers_loan_may_ask(peers, conn))
			peers_loan_ask(conn, wants, nwants);
	}
}

/* Only what was asked for is taken, and never for longer than usual. */
void
peers_loan_granted(struct peers_conn *conn, const Berylrail__SlotLoan *loan)
{
	struct peers_tcp *peers = conn->peers;
	struct peers_slots unused = { .n = 0 };
	struct engine_loan taken = { .az = conn->az,
		.lender = conn->incarnation };
	uint32_t ms = loan->start_for_ms;
	size_t i;

	if (!conn->loan_asked)
		return;
	conn->loan_asked = false;
	if (loan->n_servers == 0)
		ctr_inc(&peers_ctr_loan_refused);
	if (ms > PEERS_LOAN_START_MS)
		ms = PEERS_LOAN_START_MS;
	for (i = 0; i < loan->n_servers && i < PEERS_LOAN_SERVERS_MAX; i++) {
		taken.server = loan->servers[i]->server;
		taken.slots = peers_slots_bounded(loan->servers[i]->slots);
		if (engine_waiting_tasks(peers->params.engine) > 0 &&
		    engine_loan_accept(peers->params.engine, &taken,
			(uint64_t)ms * 1000))
			ctr_add(&peers_ctr_borrowed, taken.slots);
		else
			peers_slots_add(&unused, taken.server, taken.slots);
	}
	if (unused.n != 0 && unused.n == loan->n_servers)
		ctr_inc(&peers_ctr_loan_refused);
	peers_loan_send_return(conn, &unused);
}

void
peers_loan_returned(struct peers_conn *conn,
    const Berylrail__SlotReturn *returned)
{
	struct engine *engine = conn->peers->params.engine;
	size_t i;

	for (i = 0; i < returned->n_servers; i++)
		engine_loan_returned(engine, returned->servers[i]->server,
		    returned->servers[i]->slots);
}
