/*
 * Worker port on top of the worker model. Every call has a time at which it is
 * executed on the model, and a latest time of its reply. A periodic timer
 * processes the calls that are due.
 */

#include <event2/event.h>
#include <stdlib.h>

#include "core/mem.h"
#include "tests/support/fake_worker.h"

#define FKW_TICK_MS 1
#define FKW_TIMEOUT_MS 60 /* of orders; of holds, in addition to their wait */

enum fkw_kind { FKW_START, FKW_STOP, FKW_HOLD };

struct worker_link {
	struct fake_worker *fake;
	struct wm_server *server;
	size_t index;
	bool closed;
	TAILQ_ENTRY(worker_link) entry;
};

struct fkw_call {
	struct worker_link *link;
	enum fkw_kind kind;
	struct worker_start start;
	struct worker_hold hold;
	char task[WORKER_TASK_NAME_SIZE];
	char *spec;
	char *checkpoint;
	char ticket[16];
	uint64_t run_id;
	uint64_t token;
	uint64_t execute_ms; /* due time; 0: executed, or the request is lost */
	uint64_t reply_due_ms; /* latest time of the reply; 0: replied */
	bool lost;
	bool refused; /* the server was down when the call was sent */
	enum worker_verdict verdict;
	worker_done_fn done;
	void *arg;
	TAILQ_ENTRY(fkw_call) entry;
};

struct fake_worker {
	struct worker port;
	struct clock *clock;
	struct wm_cluster *cluster;
	struct fake_worker_faults faults;
	uint64_t random;
	struct event *tick;
	TAILQ_HEAD(, fkw_call) calls;
	TAILQ_HEAD(, worker_link) links;
};

static uint64_t
fkw_now_ms(struct fake_worker *fake)
{
	return clock_now_us(fake->clock) / 1000;
}

static bool
fkw_chance(struct fake_worker *fake, uint32_t permille)
{
	fake->random ^= fake->random << 13;
	fake->random ^= fake->random >> 7;
	fake->random ^= fake->random << 17;
	return fake->random % 1000 < permille;
}

static void
fkw_call_free(struct fkw_call *call)
{
	TAILQ_REMOVE(&call->link->fake->calls, call, entry);
	free(call->spec);
	free(call->checkpoint);
	free(call);
}

static void
fkw_send_reply(struct fkw_call *call, enum worker_verdict verdict,
    uint64_t now_ms)
{
	struct worker_reply reply = { .verdict = verdict,
		.refused = verdict == WORKER_NO_REPLY && call->refused };
	struct wm_server *server = call->link->server;
	struct worker_ended *ended = NULL;
	struct worker_run *running = NULL;
	size_t nrunning = 0, nended = 0;

	call->reply_due_ms = 0;
	if (call->link->closed)
		return;
	if (verdict != WORKER_NO_REPLY) {
		reply.has_clock = true;
		reply.clock_ms = wm_clock_ms(server, now_ms);
		reply.incarnation_start_ms = server->started_ms;
	}
	if (call->kind == FKW_HOLD && verdict == WORKER_OK) {
		wm_list_runs(server, &running, &nrunning, &ended, &nended);
		reply.has_lists = true;
		reply.connection_id = 1;
		reply.running = running;
		reply.nrunning = nrunning;
		reply.ended = ended;
		reply.nended = nended;
	}
	call->done(call->arg, &reply);
	free(running);
	free(ended);
}

static void
fkw_execute(struct fkw_call *call, uint64_t now_ms)
{
	struct wm_server *server = call->link->server;

	call->execute_ms = 0;
	if ((call->link->fake->faults.replaced_mask >> call->link->index & 1) !=
	    0) {
		call->verdict = WORKER_OTHER_INCARNATION;
		return;
	}
	switch (call->kind) {
	case FKW_START:
		call->verdict = wm_start(server, now_ms, &call->start);
		break;
	case FKW_STOP:
		call->verdict = wm_stop(server, now_ms, call->task,
		    call->run_id, call->token);
		break;
	case FKW_HOLD:
		call->verdict = wm_hold(server, now_ms, &call->hold);
		break;
	}
}

/* Returns whether the reply to a call is due. The reply to a hold is delayed
 * until a run has ended, at most for the requested wait. */
static bool
fkw_reply_due(const struct fkw_call *call, uint64_t now_ms)
{
	const struct wm_run *run;

	if (call->kind != FKW_HOLD || call->verdict != WORKER_OK)
		return true;
	TAILQ_FOREACH (run, &call->link->server->ended, entry) {
		if (run->number > 0)
			return true;
	}
	return now_ms + FKW_TIMEOUT_MS >= call->reply_due_ms;
}

static bool
fkw_refusing(const struct worker_link *link)
{
	return (link->fake->faults.refusing_mask >> link->index & 1) != 0;
}

static void
fkw_call_advance(struct fkw_call *call, uint64_t now_ms)
{
	if (fkw_refusing(call->link) && call->reply_due_ms != 0) {
		call->execute_ms = 0;
		call->lost = true;
		call->reply_due_ms = now_ms;
	}
	if (wm_is_down(call->link->server, now_ms)) {
		call->execute_ms = 0;
		call->lost = true;
		if (!call->link->fake->faults.crashed_are_silent &&
		    call->reply_due_ms != 0)
			call->reply_due_ms = now_ms;
	}
	if (call->execute_ms != 0 && now_ms >= call->execute_ms)
		fkw_execute(call, now_ms);
	if (call->reply_due_ms == 0)
		return;
	if (call->execute_ms == 0 && !call->lost && fkw_reply_due(call, now_ms))
		fkw_send_reply(call, call->verdict, now_ms);
	else if (now_ms >= call->reply_due_ms)
		fkw_send_reply(call, WORKER_NO_REPLY, now_ms);
}

static void
fkw_tick(evutil_socket_t fd, short what, void *arg)
{
	struct fake_worker *fake = arg;
	uint64_t now_ms = fkw_now_ms(fake);
	struct fkw_call *call, *next;
	size_t i;

	(void)fd;
	(void)what;
	for (i = 0; i < fake->cluster->nservers; i++)
		(void)wm_advance(&fake->cluster->servers[i], now_ms);
	TAILQ_FOREACH_SAFE (call, &fake->calls, entry, next) {
		fkw_call_advance(call, now_ms);
		if (call->execute_ms == 0 && call->reply_due_ms == 0)
			fkw_call_free(call);
	}
}

static struct fkw_call *
fkw_call(struct worker_link *link, enum fkw_kind kind, uint32_t wait_ms,
    worker_done_fn done, void *arg)
{
	struct fake_worker *fake = link->fake;
	struct fkw_call *call = mem_zalloc(1, sizeof(*call));
	uint64_t now_ms = fkw_now_ms(fake);

	call->link = link;
	call->kind = kind;
	call->done = done;
	call->arg = arg;
	call->execute_ms = now_ms;
	call->reply_due_ms = now_ms + wait_ms + FKW_TIMEOUT_MS;
	if (kind != FKW_HOLD) {
		call->execute_ms += fake->faults.order_transit_ms;
		call->reply_due_ms += fake->faults.order_transit_ms;
	}
	if (wm_is_down(link->server, now_ms)) {
		call->execute_ms = 0;
		call->lost = true;
		call->refused = !fake->faults.crashed_are_silent;
	} else if (fkw_refusing(link)) {
		call->execute_ms = 0;
		call->lost = true;
		call->refused = true;
	} else if ((fake->faults.unreachable_mask >> link->index & 1) != 0) {
		call->execute_ms = 0;
		call->lost = true;
	} else if (kind == FKW_HOLD &&
	    fkw_chance(fake, fake->faults.hold_reply_lost_permille)) {
		call->lost = true;
	} else if (kind == FKW_HOLD && fake->faults.orders_only) {
		call->lost = false;
	} else if (fkw_chance(fake, fake->faults.delayed_permille)) {
		call->execute_ms = now_ms + fake->faults.delay_ms;
		call->lost = true;
	} else {
		call->lost = fkw_chance(fake, fake->faults.reply_lost_permille);
	}
	TAILQ_INSERT_TAIL(&fake->calls, call, entry);
	return call;
}

static void
fkw_start(struct worker_link *link, const struct worker_start *order,
    worker_done_fn done, void *arg)
{
	struct fkw_call *call = fkw_call(link, FKW_START, 0, done, arg);

	call->start = *order;
	strlcpy(call->task, order->task, sizeof(call->task));
	call->spec = mem_strndup(order->spec, strlen(order->spec));
	call->start.task = call->task;
	call->start.spec = call->spec;
	if (order->checkpoint != NULL)
		call->checkpoint =
		    mem_strndup(order->checkpoint, strlen(order->checkpoint));
	call->start.checkpoint = call->checkpoint;
	if (order->ticket != NULL) {
		strlcpy(call->ticket, order->ticket, sizeof(call->ticket));
		call->start.ticket = call->ticket;
	}
}

static void
fkw_stop(struct worker_link *link, const char *task, uint64_t run_id,
    uint64_t token, worker_done_fn done, void *arg)
{
	struct fkw_call *call = fkw_call(link, FKW_STOP, 0, done, arg);

	strlcpy(call->task, task, sizeof(call->task));
	call->run_id = run_id;
	call->token = token;
}

static void
fkw_hold(struct worker_link *link, const struct worker_hold *hold,
    worker_done_fn done, void *arg)
{
	struct fkw_call *call =
	    fkw_call(link, FKW_HOLD, hold->wait_ms, done, arg);

	call->hold = *hold;
}

static struct worker_link *
fkw_open(struct worker *worker, const struct worker_address *address)
{
	struct fake_worker *fake = (struct fake_worker *)worker;
	struct worker_link *link = mem_zalloc(1, sizeof(*link));

	link->fake = fake;
	link->index = (size_t)atoi(address->id + 1);
	link->server = &fake->cluster->servers[link->index];
	TAILQ_INSERT_TAIL(&fake->links, link, entry);
	return link;
}

static void
fkw_close(struct worker_link *link)
{
	link->closed = true;
}

static const struct worker_ops fkw_ops = {
	.open = fkw_open,
	.close = fkw_close,
	.start = fkw_start,
	.stop = fkw_stop,
	.hold = fkw_hold,
};

struct worker *
fake_worker_create(struct event_base *base, struct clock *clock,
    struct wm_cluster *cluster, uint64_t seed)
{
	const struct timeval interval = { .tv_usec = FKW_TICK_MS * 1000 };
	struct fake_worker *fake = mem_zalloc(1, sizeof(*fake));

	fake->port.ops = &fkw_ops;
	fake->clock = clock;
	fake->cluster = cluster;
	fake->random = seed * 2654435761U + 1;
	TAILQ_INIT(&fake->calls);
	TAILQ_INIT(&fake->links);
	fake->tick = event_new(base, -1, EV_PERSIST, fkw_tick, fake);
	(void)event_add(fake->tick, &interval);
	return &fake->port;
}

struct fake_worker_faults *
fake_worker_faults(struct worker *worker)
{
	return &((struct fake_worker *)worker)->faults;
}

void
fake_worker_destroy(struct worker *worker)
{
	struct fake_worker *fake = (struct fake_worker *)worker;
	struct worker_link *link, *next_link;
	struct fkw_call *call, *next;

	TAILQ_FOREACH_SAFE (call, &fake->calls, entry, next)
		fkw_call_free(call);
	TAILQ_FOREACH_SAFE (link, &fake->links, entry, next_link) {
		TAILQ_REMOVE(&fake->links, link, entry);
		free(link);
	}
	event_free(fake->tick);
	free(fake);
}
