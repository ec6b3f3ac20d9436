/*
 * Task slots lent between the entry hosts of one availability zone. A host
 * with waiting tasks asks one host at a time; that one lends what it leaves
 * idle, for PEERS_LOAN_MS. Nothing is given back early.
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
	.help = "Messages that added nothing to an answer.",
};

static bool
peers_loan_may_ask(const struct peers_tcp *peers, const struct peers_conn *conn,
    uint64_t now_us)
{
	const struct member *member;

	if (!conn->hello || conn->closing || conn->redundant ||
	    conn->loan_asked || now_us < conn->loan_retry_us ||
	    strcmp(conn->az, peers->params.az) != 0)
		return false;
	member = mbr_find(&peers->members, conn->name);
	return member != NULL && member->state == MEMBER_LIVE;
}

static void
peers_loan_ask(struct peers_conn *conn, const struct engine_loan *wants,
    size_t nwants)
{
	Berylrail__ServerSlots items[PEERS_LOAN_SERVERS_MAX];
	Berylrail__ServerSlots *list[PEERS_LOAN_SERVERS_MAX];
	Berylrail__SlotRequest request = BERYLRAIL__SLOT_REQUEST__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	size_t i;

	for (i = 0; i < nwants; i++) {
		berylrail__server_slots__init(&items[i]);
		items[i].server = (char *)wants[i].server;
		items[i].slots = wants[i].slots;
		list[i] = &items[i];
	}
	request.servers = list;
	request.n_servers = nwants;
	frame.kind_case = BERYLRAIL__FRAME__KIND_SLOT_REQUEST;
	frame.slot_request = &request;
	if (peers_conn_send(conn, &frame) == 0)
		conn->loan_asked = true;
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
	TAILQ_FOREACH (conn, &peers->conns, entry) {
		if (peers_loan_may_ask(peers, conn, now_us))
			break;
	}
	if (conn == NULL)
		return;
	nwants = engine_loan_wants(peers->params.engine, wants,
	    PEERS_LOAN_SERVERS_MAX);
	if (nwants == 0)
		return;
	peers_loan_ask(conn, wants, nwants);
	/* The next request goes to another host. */
	TAILQ_REMOVE(&peers->conns, conn, entry);
	TAILQ_INSERT_TAIL(&peers->conns, conn, entry);
}

/* Lends what this host leaves idle; an empty answer says "nothing". */
void
peers_loan_request(struct peers_conn *conn,
    const Berylrail__SlotRequest *request)
{
	struct engine *engine = conn->peers->params.engine;
	Berylrail__ServerSlots items[PEERS_LOAN_SERVERS_MAX];
	Berylrail__ServerSlots *list[PEERS_LOAN_SERVERS_MAX];
	Berylrail__SlotLoan loan = BERYLRAIL__SLOT_LOAN__INIT;
	Berylrail__Frame frame = BERYLRAIL__FRAME__INIT;
	uint32_t slots;
	size_t i, n = 0;

	for (i = 0; i < request->n_servers && n < PEERS_LOAN_SERVERS_MAX; i++) {
		slots = request->servers[i]->slots;
		if (slots > PEERS_LOAN_SLOTS_MAX)
			slots = PEERS_LOAN_SLOTS_MAX;
		slots = engine_loan_give(engine, request->servers[i]->server,
		    slots, PEERS_LOAN_MS * 1000);
		if (slots == 0)
			continue;
		ctr_add(&peers_ctr_lent, slots);
		berylrail__server_slots__init(&items[n]);
		items[n].server = request->servers[i]->server;
		items[n].slots = slots;
		list[n] = &items[n];
		n++;
	}
	loan.servers = list;
	loan.n_servers = n;
	loan.lent_for_ms = PEERS_LOAN_MS;
	frame.kind_case = BERYLRAIL__FRAME__KIND_SLOT_LOAN;
	frame.slot_loan = &loan;
	if (peers_conn_send(conn, &frame) < 0)
		conn->closing = true;
}

/* Only what was asked for is taken, and never for longer than usual. */
void
peers_loan_granted(struct peers_conn *conn, const Berylrail__SlotLoan *loan)
{
	struct peers_tcp *peers = conn->peers;
	uint32_t ms = loan->lent_for_ms, slots;
	size_t i;

	if (!conn->loan_asked)
		return;
	conn->loan_asked = false;
	if (loan->n_servers == 0) {
		ctr_inc(&peers_ctr_loan_refused);
		conn->loan_retry_us =
		    peers_now_us(peers) + (uint64_t)PEERS_LOAN_RETRY_MS * 1000;
		return;
	}
	if (ms > PEERS_LOAN_MS)
		ms = PEERS_LOAN_MS;
	for (i = 0; i < loan->n_servers && i < PEERS_LOAN_SERVERS_MAX; i++) {
		slots = loan->servers[i]->slots;
		if (slots > PEERS_LOAN_SLOTS_MAX)
			slots = PEERS_LOAN_SLOTS_MAX;
		ctr_add(&peers_ctr_borrowed, slots);
		engine_loan_take(peers->params.engine, loan->servers[i]->server,
		    slots, (uint64_t)ms * 1000);
	}
}
