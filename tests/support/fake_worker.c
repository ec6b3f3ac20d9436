/*
 * Worker port on top of the worker model. Every call has a time at which it is
 * executed on the model, and a latest time of its reply. A periodic timer
 * processes the calls that are due.
 */

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "tests/support/fake_worker.h"

#define FKW_TICK_MS 1
#define FKW_TIMEOUT_MS 60 /* of orders; of holds, in addition to their wait */

enum fkw_kind { FKW_START, FKW_STOP, FKW_HOLD };

struct worker_link {
	struct fake_worker *fake;
	struct wm_server *server;
	size_t index;
	char id[NAME_SIZE]; /* of the process that it was opened to */
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
	bool late;	       /* no connection carries it any more */
	bool lost;
	bool refused; /* the server was down when the call was sent */
	bool replied; /* the reply has arrived, and is not yet delivered */
	uint64_t reply_order;
	uint32_t process; /* that has executed it */
	enum worker_verdict verdict;
	struct worker_reply reply;
	struct worker_run *running;
	struct worker_ended *ended;
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
	/* Of a host with an event base of its own; NULL: none. */
	struct event *deliver;
	struct event *host_tick;
	uint64_t replies;
	TAILQ_HEAD(, fkw_call) calls;
	TAILQ_HEAD(, worker_link) links;
};

static uint64_t
fkw_now_ms(struct fake_worker *fake)
{
	/* It goes on while the hosts are suspended. */
	return clock_now_us(fake->clock) / 1000;
}

static uint64_t
fkw_random(struct fake_worker *fake)
{
	fake->random ^= fake->random << 13;
	fake->random ^= fake->random >> 7;
	fake->random ^= fake->random << 17;
	return fake->random;
}

static bool
fkw_chance(struct fake_worker *fake, uint32_t permille)
{
	return fkw_random(fake) % 1000 < permille;
}

static void
fkw_lists_free(struct fkw_call *call)
{
	size_t i;

	for (i = 0; i < call->reply.nrunning; i++) {
		free((char *)call->running[i].task);
		free((char *)call->running[i].newest_checkpoint);
	}
	for (i = 0; i < call->reply.nended; i++) {
		free((char *)call->ended[i].task);
		free((char *)call->ended[i].newest_checkpoint);
	}
	free(call->running);
	free(call->ended);
}

static void
fkw_call_free(struct fkw_call *call)
{
	TAILQ_REMOVE(&call->link->fake->calls, call, entry);
	fkw_lists_free(call);
	free(call->spec);
	free(call->checkpoint);
	free(call);
}

/* The model may change the runs before the reply is delivered. */
static void
fkw_list_runs(struct fkw_call *call)
{
	struct worker_reply *reply = &call->reply;
	struct worker_ended *ended;
	struct worker_run *run;
	size_t i;

	wm_list_runs(call->link->server, &call->running, &reply->nrunning,
	    &call->ended, &reply->nended);
	for (i = 0; i < reply->nrunning; i++) {
		run = &call->running[i];
		run->task = mem_strndup(run->task, strlen(run->task));
		run->newest_checkpoint = mem_strndup(run->newest_checkpoint,
		    strlen(run->newest_checkpoint));
	}
	for (i = 0; i < reply->nended; i++) {
		ended = &call->ended[i];
		ended->task = mem_strndup(ended->task, strlen(ended->task));
		ended->newest_checkpoint = mem_strndup(ended->newest_checkpoint,
		    strlen(ended->newest_checkpoint));
	}
	reply->has_lists = true;
	reply->connection_id = call->process;
	reply->running = call->running;
	reply->ended = call->ended;
}

static void
fkw_deliver(struct fkw_call *call)
{
	call->replied = false;
	call->reply_due_ms = 0;
	if (!call->link->closed)
		call->done(call->arg, &call->reply);
}

static void
fkw_send_reply(struct fkw_call *call, enum worker_verdict verdict,
    uint64_t now_ms)
{
	struct worker_reply *reply = &call->reply;
	struct wm_server *server = call->link->server;
	struct fake_worker *fake = call->link->fake;

	reply->verdict = verdict;
	reply->refused = verdict == WORKER_NO_REPLY && call->refused;
	if (verdict != WORKER_NO_REPLY && verdict != WORKER_NOT_SENT) {
		reply->has_clock = true;
		reply->clock_ms = wm_clock_ms(server, now_ms);
		if (!fake->faults.starts_in_lists)
			reply->incarnation_start_ms = server->started_ms;
	}
	if (call->kind == FKW_HOLD && verdict == WORKER_OK) {
		reply->incarnation_start_ms = server->started_ms;
		fkw_list_runs(call);
	}
	call->replied = true;
	call->reply_order =
	    fake->faults.replies_overtake ? fkw_random(fake) : ++fake->replies;
	if (fake->deliver != NULL)
		event_active(fake->deliver, EV_READ, 0);
	else
		fkw_deliver(call);
}

static void
fkw_execute(struct fkw_call *call, uint64_t now_ms)
{
	struct wm_server *server = call->link->server;
	char id[NAME_SIZE];

	call->execute_ms = 0;
	call->process = server->process;
	wm_id(server, id);
	if (strcmp(id, call->link->id) != 0) {
		call->verdict = WORKER_OTHER_INCARNATION;
		return;
	}
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
fkw_lose(struct fkw_call *call, uint64_t now_ms, bool at_once)
{
	call->lost = true;
	if (at_once && call->reply_due_ms != 0 && !call->replied)
		call->reply_due_ms = now_ms;
}

/* Loses the calls whose connection is reset. */
static void
fkw_check_connection(struct fkw_call *call, uint64_t now_ms)
{
	const struct wm_server *server = call->link->server;
	bool reset = !call->link->fake->faults.crashed_are_silent;

	if (call->late) {
		if (call->execute_ms != 0 && now_ms >= call->execute_ms &&
		    wm_is_down(server, now_ms))
			call->execute_ms = 0;
		return;
	}
	if (fkw_refusing(call->link) && call->reply_due_ms != 0) {
		call->execute_ms = 0;
		fkw_lose(call, now_ms, true);
	}
	if (wm_is_down(server, now_ms)) {
		call->execute_ms = 0;
		fkw_lose(call, now_ms, reset);
	}
	if (call->process != 0 && call->process != server->process)
		fkw_lose(call, now_ms, reset);
}

/* Executes a call, and sends its reply. */
static void
fkw_call_advance(struct fkw_call *call, uint64_t now_ms)
{
	struct fake_worker *fake = call->link->fake;

	fkw_check_connection(call, now_ms);
	if (call->execute_ms != 0 && now_ms >= call->execute_ms)
		fkw_execute(call, now_ms);
	if (call->reply_due_ms == 0 || call->replied || call->lost ||
	    call->execute_ms != 0 || !fkw_reply_due(call, now_ms))
		return;
	if ((fake->faults.replies_lost_mask >> call->link->index & 1) != 0)
		call->lost = true;
	else
		fkw_send_reply(call, call->verdict, now_ms);
}

static void
fkw_call_time_out(struct fkw_call *call, uint64_t now_ms)
{
	struct worker_reply *reply = &call->reply;

	if (call->reply_due_ms == 0 || call->replied ||
	    now_ms < call->reply_due_ms)
		return;
	reply->verdict = WORKER_NO_REPLY;
	reply->refused = call->refused;
	fkw_deliver(call);
}

static void
fkw_free_calls(struct fake_worker *fake)
{
	struct fkw_call *call, *next;

	TAILQ_FOREACH_SAFE (call, &fake->calls, entry, next) {
		if (call->execute_ms == 0 && call->reply_due_ms == 0)
			fkw_call_free(call);
	}
}

void
fake_worker_silence(struct worker *worker)
{
	struct fake_worker *fake = (struct fake_worker *)worker;
	struct fkw_call *call;

	TAILQ_FOREACH (call, &fake->calls, entry) {
		if (call->reply_due_ms == 0 || call->replied || call->late)
			continue;
		call->lost = true;
		if (fkw_chance(fake, 500))
			call->execute_ms = 0;
	}
}

void
fake_worker_advance(struct worker *worker, uint64_t now_ms)
{
	struct fake_worker *fake = (struct fake_worker *)worker;
	struct fkw_call *call, *next;
	size_t i;

	for (i = 0; i < fake->cluster->nservers; i++)
		(void)wm_advance(&fake->cluster->servers[i], now_ms);
	TAILQ_FOREACH_SAFE (call, &fake->calls, entry, next) {
		fkw_call_advance(call, now_ms);
		if (fake->deliver == NULL)
			fkw_call_time_out(call, now_ms);
	}
	fkw_free_calls(fake);
}

static void
fkw_tick(evutil_socket_t fd, short what, void *arg)
{
	struct fake_worker *fake = arg;

	(void)fd;
	(void)what;
	fake_worker_advance(&fake->port, fkw_now_ms(fake));
}

/* Runs on the host's event base, as a timer. */
static void
fkw_host_tick(evutil_socket_t fd, short what, void *arg)
{
	struct fake_worker *fake = arg;
	uint64_t now_ms = fkw_now_ms(fake);
	struct fkw_call *call, *next;

	(void)fd;
	(void)what;
	TAILQ_FOREACH_SAFE (call, &fake->calls, entry, next)
		fkw_call_time_out(call, now_ms);
	fkw_free_calls(fake);
}

static struct fkw_call *
fkw_first_reply(struct fake_worker *fake)
{
	struct fkw_call *call, *first = NULL;

	TAILQ_FOREACH (call, &fake->calls, entry) {
		if (call->replied &&
		    (first == NULL || call->reply_order < first->reply_order))
			first = call;
	}
	return first;
}

/* Runs on the host's event base, before timers that are due. */
static void
fkw_host_read(evutil_socket_t fd, short what, void *arg)
{
	struct fake_worker *fake = arg;
	struct fkw_call *call;

	(void)fd;
	(void)what;
	while ((call = fkw_first_reply(fake)) != NULL)
		fkw_deliver(call);
	fkw_free_calls(fake);
}

static void
fkw_call_make_late(struct fkw_call *call, uint64_t now_ms)
{
	struct fake_worker *fake = call->link->fake;
	const struct fake_worker_faults *faults = &fake->faults;
	uint32_t permille = call->kind == FKW_HOLD ? faults->late_hold_permille
						   : faults->late_permille;

	if (permille == 0 || !fkw_chance(fake, permille))
		return;
	call->late = true;
	call->lost = true;
	call->execute_ms = now_ms + faults->late_min_ms +
	    fkw_random(fake) % (faults->late_max_ms - faults->late_min_ms + 1);
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
	} else if (((fake->faults.unreachable_mask |
			fake->faults.requests_lost_mask) >>
			   link->index &
		       1) != 0) {
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
	if (call->execute_ms != 0)
		fkw_call_make_late(call, now_ms);
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
	if (hold->connection_id == 0 || call->execute_ms == 0 ||
	    hold->connection_id == link->server->process)
		return;
	/* The connection to the former process is closed. */
	call->execute_ms = 0;
	call->lost = false;
	call->late = false;
	call->verdict = WORKER_NOT_SENT;
}

static struct worker_link *
fkw_open(struct worker *worker, const struct worker_address *address)
{
	struct fake_worker *fake = (struct fake_worker *)worker;
	struct worker_link *link = mem_zalloc(1, sizeof(*link));

	link->fake = fake;
	link->index = (size_t)atoi(address->id + 1);
	link->server = &fake->cluster->servers[link->index];
	strlcpy(link->id, address->id, sizeof(link->id));
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

static struct event *
fkw_timer_new(struct event_base *base, event_callback_fn fn,
    struct fake_worker *fake)
{
	const struct timeval interval = { .tv_usec = FKW_TICK_MS * 1000 };
	struct event *timer = event_new(base, -1, EV_PERSIST, fn, fake);

	(void)event_add(timer, &interval);
	return timer;
}

static struct fake_worker *
fkw_create(struct clock *clock, struct wm_cluster *cluster, uint64_t seed)
{
	struct fake_worker *fake = mem_zalloc(1, sizeof(*fake));

	fake->port.ops = &fkw_ops;
	fake->clock = clock;
	fake->cluster = cluster;
	fake->random = seed * 2654435761U + 1;
	TAILQ_INIT(&fake->calls);
	TAILQ_INIT(&fake->links);
	return fake;
}

struct worker *
fake_worker_create(struct event_base *base, struct clock *clock,
    struct wm_cluster *cluster, uint64_t seed)
{
	struct fake_worker *fake = fkw_create(clock, cluster, seed);

	fake->tick = fkw_timer_new(base, fkw_tick, fake);
	return &fake->port;
}

struct worker *
fake_worker_create_split(struct event_base *world, struct event_base *host,
    struct clock *clock, struct wm_cluster *cluster, uint64_t seed)
{
	struct fake_worker *fake = fkw_create(clock, cluster, seed);

	if (world != NULL)
		fake->tick = fkw_timer_new(world, fkw_tick, fake);
	fake->host_tick = fkw_timer_new(host, fkw_host_tick, fake);
	fake->deliver = event_new(host, -1, 0, fkw_host_read, fake);
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
	if (fake->tick != NULL)
		event_free(fake->tick);
	if (fake->deliver != NULL) {
		event_free(fake->host_tick);
		event_free(fake->deliver);
	}
	free(fake);
}
