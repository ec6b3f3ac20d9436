/*
 * Loans of task slots between entry hosts. A host with waiting tasks requests
 * slots on servers from the hosts of its availability zone, and from those of
 * other zones if the wait is long; these lend their idle slots. The borrower
 * may start tasks on a loan for PEERS_LOAN_START_WINDOW_MS and returns the
 * slots when these tasks have ended. At most one request per connection waits
 * for a loan, and a loan that was not requested is ignored.
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

static struct counter peers_ctr_wasted_requests = {
	.name = "berylrail_wasted_messages_total",
	.labels = "hop=\"peer\",kind=\"slot_request\"",
	.help = "Messages that did not contribute to an answer.",
};

/* The servers and slots in one message. */
struct peers_slots {
	size_t n;
	Berylrail__ServerSlots items[PEERS_LOAN_SERVERS_MAX];
	Berylrail__ServerSlots *list[PEERS_LOAN_SERVERS_MAX];
};

/* Adds @n slots of @server, which is borrowed. There must be room for it. */
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
peers_slots_clamp(uint32_t n)
{
	return n < PEERS_LOAN_SLOTS_PER_SERVER_MAX
	    ? n
	    : PEERS_LOAN_SLOTS_PER_SERVER_MAX;
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

/* Borrower */

static bool
peers_loan_may_request(const struct peers_tcp *peers,
    const struct peers_conn *conn)
{
	const struct member *member;

	if (!conn->hello_received || conn->closing || conn->redundant ||
	    conn->loan_requested)
		return false;
	member = mbr_find(&peers->members, conn->name);
	return member != NULL && member->state == MEMBER_LIVE;
}

static void
peers_loan_send_request(struct peers_conn *conn,
    const struct engine_loan *requests, size_t nrequests)
{
	Berylrail__SlotRequest request = BERYLRAIL__SLOT_REQUEST__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	struct peers_slots slots = { .n = 0 };
	size_t i;

	for (i = 0; i < nrequests; i++) {
		if (strcmp(requests[i].az, conn->az) == 0)
			peers_slots_add(&slots, requests[i].server,
			    requests[i].slots);
	}
	if (slots.n == 0)
		return;
	request.servers = slots.list;
	request.n_servers = slots.n;
	frame.kind_case = BERYLRAIL__FRAME__KIND_SLOT_REQUEST;
	frame.slot_request = &request;
	if (peers_conn_send(conn, &frame) != 0)
		return;
	conn->loan_requested = true;
	conn->loan_requested_us = peers_now_us(conn->peers);
}

/*
 * Returns slots that are no longer used to their lenders. Those of a lender
 * that is not connected are dropped; it uses them again after
 * PEERS_LOAN_TIMEOUT_MS.
 */
static void
peers_loan_collect_returns(struct peers_tcp *peers)
{
	struct engine_loan returns[PEERS_LOAN_SERVERS_MAX];
	struct peers_slots slots;
	struct peers_conn *conn;
	size_t i, n;

	n = engine_loan_collect_returns(peers->params.engine, returns,
	    PEERS_LOAN_SERVERS_MAX);
	if (n == 0)
		return;
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (!conn->hello_received || conn->redundant)
			continue;
		slots.n = 0;
		for (i = 0; i < n; i++) {
			if (returns[i].lender == conn->incarnation)
				peers_slots_add(&slots, returns[i].server,
				    returns[i].slots);
		}
		peers_loan_send_return(conn, &slots);
	}
}

/* Lender */

/*
 * Lends idle slots of the requested servers and sends the loan.
 * @send_empty: send a loan without servers if no slot is idle.
 *
 * Return: true if the loan was sent, or the connection is closed because it
 * could not be sent.
 */
static bool
peers_loan_grant(struct peers_conn *conn, const Berylrail__SlotRequest *request,
    bool send_empty)
{
	struct engine *engine = conn->peers->params.engine;
	Berylrail__SlotLoan loan = BERYLRAIL__SLOT_LOAN__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	struct peers_slots slots = { .n = 0 };
	const Berylrail__ServerSlots *requested;
	uint32_t lent;
	size_t i;

	for (i = 0; i < request->n_servers && i < PEERS_LOAN_SERVERS_MAX; i++) {
		requested = request->servers[i];
		lent = engine_loan_grant(engine, requested->server,
		    conn->incarnation, peers_slots_clamp(requested->slots),
		    (uint64_t)PEERS_LOAN_TIMEOUT_MS * 1000);
		if (lent == 0)
			continue;
		ctr_add(&peers_ctr_lent, lent);
		peers_slots_add(&slots, requested->server, lent);
	}
	if (slots.n == 0 && !send_empty)
		return false;
	loan.servers = slots.list;
	loan.n_servers = slots.n;
	loan.start_for_ms = PEERS_LOAN_START_WINDOW_MS;
	frame.kind_case = BERYLRAIL__FRAME__KIND_SLOT_LOAN;
	frame.slot_loan = &loan;
	if (peers_conn_send(conn, &frame) < 0)
		conn->closing = true;
	return true;
}

static void
peers_loan_drop_request(struct peers_conn *conn)
{
	berylrail__frame__free_unpacked(conn->loan_request, NULL);
	conn->loan_request = NULL;
}

/*
 * Sends a loan for a slot request if slots are idle. Otherwise the request is
 * retained until slots are idle or it times out. A newer request of the same
 * connection replaces a retained one.
 */
void
peers_loan_request_received(struct peers_conn *conn, Berylrail__Frame *frame)
{
	if (conn->loan_request != NULL)
		peers_loan_drop_request(conn);
	conn->loan_request = frame;
	conn->loan_request_deadline_us = peers_now_us(conn->peers) +
	    (uint64_t)PEERS_LOAN_REQUEST_TIMEOUT_MS * 1000;
	if (peers_loan_grant(conn, frame->slot_request, false))
		peers_loan_drop_request(conn);
}

static void
peers_loan_grant_pending(struct peers_tcp *peers, uint64_t now_us)
{
	struct peers_conn *conn;

	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (conn->loan_request != NULL &&
		    peers_loan_grant(conn, conn->loan_request->slot_request,
			now_us >= conn->loan_request_deadline_us))
			peers_loan_drop_request(conn);
	}
}

void
peers_loan_tick(evutil_socket_t fd, short what, void *arg)
{
	struct engine_loan requests[PEERS_LOAN_SERVERS_MAX];
	struct peers_tcp *peers = arg;
	uint64_t now_us = peers_now_us(peers);
	struct peers_conn *conn;
	size_t nrequests;

	(void)fd;
	(void)what;
	peers_loan_collect_returns(peers);
	peers_loan_grant_pending(peers, now_us);
	nrequests = engine_loan_requests(peers->params.engine, requests,
	    PEERS_LOAN_SERVERS_MAX);
	if (nrequests == 0)
		return;
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (peers_loan_may_request(peers, conn))
			peers_loan_send_request(conn, requests, nrequests);
	}
}

/*
 * Accepts a loan that was requested, for at most PEERS_LOAN_START_WINDOW_MS.
 * Slots that the engine can't use are returned immediately, as are those of a
 * loan that has waited, in the network or in this process: the lender counts
 * its time from the grant.
 */
void
peers_loan_received(struct peers_conn *conn, const Berylrail__SlotLoan *loan)
{
	struct peers_tcp *peers = conn->peers;
	struct peers_slots unused = { .n = 0 };
	struct engine_loan accepted = { .az = conn->az,
		.lender = conn->incarnation };
	uint32_t start_ms = loan->start_for_ms;
	bool late = peers_now_us(peers) - conn->loan_requested_us >
	    PEERS_LOAN_AGE_MAX_MS * UINT64_C(1000);
	size_t i;

	if (!conn->loan_requested)
		return;
	conn->loan_requested = false;
	if (loan->n_servers == 0)
		ctr_inc(&peers_ctr_wasted_requests);
	if (start_ms > PEERS_LOAN_START_WINDOW_MS)
		start_ms = PEERS_LOAN_START_WINDOW_MS;
	for (i = 0; i < loan->n_servers && i < PEERS_LOAN_SERVERS_MAX; i++) {
		accepted.server = loan->servers[i]->server;
		accepted.slots = peers_slots_clamp(loan->servers[i]->slots);
		if (!late && engine_waiting_tasks(peers->params.engine) > 0 &&
		    engine_loan_accept(peers->params.engine, &accepted,
			(uint64_t)start_ms * 1000))
			ctr_add(&peers_ctr_borrowed, accepted.slots);
		else
			peers_slots_add(&unused, accepted.server,
			    accepted.slots);
	}
	if (unused.n != 0 && unused.n == loan->n_servers)
		ctr_inc(&peers_ctr_wasted_requests);
	peers_loan_send_return(conn, &unused);
}

void
peers_loan_return_received(struct peers_conn *conn,
    const Berylrail__SlotReturn *returned)
{
	struct engine *engine = conn->peers->params.engine;
	size_t i;

	for (i = 0; i < returned->n_servers; i++)
		engine_loan_returned(engine, returned->servers[i]->server,
		    conn->incarnation, returned->servers[i]->slots);
}
