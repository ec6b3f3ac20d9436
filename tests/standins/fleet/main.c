/*
 * Stand-in for the platform: its store (rows, transactions, change feed) and
 * its backend servers, which run tasks in the model of worker_model.c; one that
 * a task has crashed is silent until it is back as another incarnation. Their
 * ports are written to the port file as "store PORT" and "sN PORT".
 *
 * Control requests of tests, at the store's port:
 *	POST /register {"servers": [{"id": "s0", "port": P, "az": "a"}, ..]}
 *	POST /config (the value for the row "config")
 *	POST /fault {"store": "ok"|"down"|"silent"|"lost"|"expired",
 *	     "server": N, "how": "hang"|"fail"|"crash"|"slow"|"ok"}
 *	     (expired: down; the servers' rows expire meanwhile)
 *	POST /fault {"late_orders": MASK, "ms": N}
 *	     (starts and stops at these servers, bit N for server N, get no
 *	     reply and are carried out after this time; 0 ms: never)
 *	GET /task?name=T -> {"starts": N, "done": N} of one task
 *	GET /report -> {"violations": N, "starts": N, "kinds": {"two-runs":
 *	     {"n": N, "first": ".."}, ..}} with all kinds of violations
 *
 * The changes of all runs are written to the standard error.
 */

#include <argtable2.h>
#include <err.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "store.h"
#include "support/standin.h"
#include "support/worker_model.h"

#define FLT_TICK_MS 2
#define FLT_SERVERS_MAX 64
#define FLT_CPU_MILLICORES 64000
#define FLT_ROWS_RESTORED_MS 2000 /* expired rows are back by then */
#define FLT_STORED_ID_PREFIX 'f'  /* ids of stored jobs begin with it */

/* A hold whose reply waits for the end of a run. */
struct flt_pending_hold {
	struct evhttp_request *req;
	struct wm_server *server;
	uint64_t timeout_at_ms;
	TAILQ_ENTRY(flt_pending_hold) entry;
};

static TAILQ_HEAD(, flt_pending_hold)
    flt_pending_holds = TAILQ_HEAD_INITIALIZER(flt_pending_holds);

/* An order that is carried out late. */
struct flt_late_order {
	struct wm_server *server;
	json_t *body;
	bool is_start;
	uint64_t due_ms;
	TAILQ_ENTRY(flt_late_order) entry;
};

static TAILQ_HEAD(, flt_late_order) flt_late_orders = TAILQ_HEAD_INITIALIZER(
    flt_late_orders);
static uint64_t flt_late_servers; /* bit N: orders to server N are late */
static uint32_t flt_late_ms;	  /* 0: they are lost */
static struct wm_cluster flt_cluster;
static const char *const flt_end_names[] = {
	[WORKER_END_DONE] = "done",
	[WORKER_END_FAILED] = "failed",
	[WORKER_END_STOPPED] = "stopped",
	[WORKER_END_LEASE_EXPIRED] = "lapsed",
	[WORKER_END_OTHER] = "broken",
};

static json_t *
flt_run_lists(const struct wm_server *server)
{
	struct worker_run *running;
	struct worker_ended *ended;
	size_t i, nrunning, nended;
	json_t *body = json_object(), *entries;

	json_object_set_new(body, "born",
	    json_integer((json_int_t)server->started_ms));

	wm_list_runs(server, &running, &nrunning, &ended, &nended);
	entries = json_array();
	for (i = 0; i < nrunning; i++)
		json_array_append_new(entries,
		    json_pack("[s,I,s,i]", running[i].task,
			(json_int_t)running[i].run_id, "", 100));
	json_object_set_new(body, "running", entries);
	entries = json_array();
	for (i = 0; i < nended; i++)
		json_array_append_new(entries,
		    json_pack("[I,s,I,s,s]", (json_int_t)ended[i].number,
			ended[i].task, (json_int_t)ended[i].run_id,
			flt_end_names[ended[i].end_state], ""));
	json_object_set_new(body, "ended_runs", entries);
	free(running);
	free(ended);
	return body;
}

static void
flt_reply(struct evhttp_request *req, const struct wm_server *server,
    enum worker_verdict verdict, json_t *body)
{
	static const char *const reasons[] = {
		[WORKER_FENCED] = "fence",
		[WORKER_STALE_RUN_ID] = "old",
		[WORKER_DEADLINE_PASSED] = "late",
		[WORKER_NO_CAPACITY] = "room",
	};

	json_object_set_new(body, "clock_ms",
	    json_integer((json_int_t)wm_clock_ms(server, sti_now_ms())));
	if (verdict == WORKER_OK) {
		sti_reply(req, 200, body);
		return;
	}
	json_object_set_new(body, "reason",
	    json_string(
		verdict <= WORKER_NO_CAPACITY ? reasons[verdict] : "?"));
	sti_reply(req, 409, body);
}

static bool
flt_has_unacknowledged(const struct wm_server *server)
{
	const struct wm_run *run;

	TAILQ_FOREACH (run, &server->ended, entry) {
		if (run->number > 0)
			return true;
	}
	return false;
}

static void
flt_hold(struct evhttp_request *req, struct wm_server *server,
    const json_t *body)
{
	const struct worker_hold hold = {
		.token = (uint64_t)sti_int(body, "fencing_token", 0),
		.acknowledged = (uint64_t)sti_int(body, "last_seen", 0),
		.deadline_ms = (uint64_t)sti_int(body, "deadline_ms", 0),
		.wait_ms = (uint32_t)sti_int(body, "wait_ms", 0),
	};
	uint64_t now_ms = sti_now_ms();
	enum worker_verdict verdict = wm_hold(server, now_ms, &hold);
	struct flt_pending_hold *pending;

	if (verdict != WORKER_OK) {
		flt_reply(req, server, verdict, json_object());
		return;
	}
	if (hold.wait_ms == 0 || flt_has_unacknowledged(server)) {
		flt_reply(req, server, WORKER_OK, flt_run_lists(server));
		return;
	}
	pending = calloc(1, sizeof(*pending));
	pending->req = req;
	pending->server = server;
	pending->timeout_at_ms = now_ms + hold.wait_ms;
	evhttp_request_own(req);
	TAILQ_INSERT_TAIL(&flt_pending_holds, pending, entry);
}

static enum worker_verdict
flt_carry_out(struct wm_server *server, const json_t *body, bool is_start)
{
	const struct worker_start order = {
		.task = sti_str(body, "task", ""),
		.run_id = (uint64_t)sti_int(body, "run_id", 0),
		.spec = sti_str(body, "spec", ""),
		.deadline_ms = (uint64_t)sti_int(body, "deadline_ms", 0),
		.token = (uint64_t)sti_int(body, "fencing_token", 0),
	};

	return is_start ? wm_start(server, sti_now_ms(), &order)
			: wm_stop(server, sti_now_ms(), order.task,
			      order.run_id, order.token);
}

static void
flt_delay_order(struct wm_server *server, json_t *body, bool is_start)
{
	struct flt_late_order *late;

	if (flt_late_ms == 0)
		return;
	late = calloc(1, sizeof(*late));
	late->server = server;
	late->body = json_incref(body);
	late->is_start = is_start;
	late->due_ms = sti_now_ms() + flt_late_ms;
	TAILQ_INSERT_TAIL(&flt_late_orders, late, entry);
}

static void
flt_carry_out_late_orders(uint64_t now_ms)
{
	struct flt_late_order *late, *next;

	for (late = TAILQ_FIRST(&flt_late_orders); late != NULL; late = next) {
		next = TAILQ_NEXT(late, entry);
		if (now_ms < late->due_ms)
			continue;
		TAILQ_REMOVE(&flt_late_orders, late, entry);
		if (!wm_is_down(late->server, now_ms))
			(void)flt_carry_out(late->server, late->body,
			    late->is_start);
		json_decref(late->body);
		free(late);
	}
}

static void
flt_server_request(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_request_get_uri(req);
	bool is_start = strcmp(path, "/v1/run-start") == 0;
	struct wm_server *server = arg;
	size_t index = (size_t)(server - flt_cluster.servers);
	json_t *body = sti_json_body(req);

	(void)wm_advance(server, sti_now_ms());
	if (wm_is_down(server, sti_now_ms())) {
		evhttp_request_own(req); /* no reply is sent */
	} else if (strcmp(path, "/v1/hold") == 0) {
		flt_hold(req, server, body);
	} else if ((flt_late_servers >> index & 1) != 0) {
		evhttp_request_own(req);
		flt_delay_order(server, body, is_start);
	} else {
		flt_reply(req, server, flt_carry_out(server, body, is_start),
		    json_object());
	}
	json_decref(body);
}

static void flt_restore_rows(uint64_t now_ms);

static void
flt_tick(evutil_socket_t fd, short what, void *arg)
{
	uint64_t now_ms = sti_now_ms();
	struct flt_pending_hold *pending, *next;
	size_t i;

	(void)fd;
	(void)what;
	(void)arg;
	for (i = 0; i < flt_cluster.nservers; i++)
		(void)wm_advance(&flt_cluster.servers[i], now_ms);
	flt_restore_rows(now_ms);
	flt_carry_out_late_orders(now_ms);
	for (pending = TAILQ_FIRST(&flt_pending_holds); pending != NULL;
	     pending = next) {
		next = TAILQ_NEXT(pending, entry);
		if ((!flt_has_unacknowledged(pending->server) &&
			now_ms < pending->timeout_at_ms) ||
		    wm_is_down(pending->server, now_ms))
			continue;
		TAILQ_REMOVE(&flt_pending_holds, pending, entry);
		flt_reply(pending->req, pending->server, WORKER_OK,
		    flt_run_lists(pending->server));
		free(pending);
	}
}

/* Writes the row of a server. Its "born" changes with each incarnation. */
static void
flt_write_server_row(size_t server, const char *az, int port)
{
	char address[64], id[24];
	json_t *row;
	char *text;

	snprintf(id, sizeof(id), "s%zu", server);
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	row = json_pack("{s:s,s:s,s:s,s:s,s:I,s:{s:i,s:i,s:i}}", "service",
	    "booth", "address", address, "zone", az, "state", "ready", "born",
	    (json_int_t)flt_cluster.servers[server].started_ms, "capacity",
	    "cpu", FLT_CPU_MILLICORES, "mem_mb", 1024, "gpus", 0);
	text = json_dumps(row, JSON_COMPACT);
	store_set("servers", "", id, text);
	free(text);
	json_decref(row);
}

static struct {
	char az[32];
	int port;
	uint64_t row_due_ms; /* of a row that has expired; 0: it has not */
} flt_registered[FLT_SERVERS_MAX];

/* Removes all rows of servers. Each is written again within two seconds. */
static void
flt_expire_rows(void)
{
	char id[24];
	size_t i;

	for (i = 0; i < flt_cluster.nservers; i++) {
		snprintf(id, sizeof(id), "s%zu", i);
		store_remove("servers", "", id);
		flt_registered[i].row_due_ms =
		    sti_now_ms() + 1 + arc4random_uniform(FLT_ROWS_RESTORED_MS);
	}
}

static void
flt_restore_rows(uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < flt_cluster.nservers; i++) {
		if (flt_registered[i].row_due_ms == 0 ||
		    now_ms < flt_registered[i].row_due_ms)
			continue;
		flt_registered[i].row_due_ms = 0;
		flt_write_server_row(i, flt_registered[i].az,
		    flt_registered[i].port);
	}
}

static void
flt_register(const json_t *body)
{
	const json_t *servers = json_object_get(body, "servers"), *item;
	size_t i;

	json_array_foreach (servers, i, item) {
		flt_registered[i].port = (int)sti_int(item, "port", 0);
		snprintf(flt_registered[i].az, sizeof(flt_registered[i].az),
		    "%s", sti_str(item, "az", ""));
		flt_write_server_row(i, flt_registered[i].az,
		    flt_registered[i].port);
	}
}

static bool flt_rows_expire; /* when the store's outage ends */

static void
flt_fault(const json_t *body)
{
	int64_t n = sti_int(body, "server", -1);
	const char *store = sti_str(body, "store", NULL);
	const char *how = sti_str(body, "how", "ok");
	struct wm_server *server;

	if (store != NULL) {
		if (flt_rows_expire && strcmp(store, "ok") == 0)
			flt_expire_rows();
		flt_rows_expire = strcmp(store, "expired") == 0;
	}
	store_set_mode(store);
	if (json_object_get(body, "late_orders") != NULL) {
		flt_late_servers = (uint64_t)sti_int(body, "late_orders", 0);
		flt_late_ms = (uint32_t)sti_int(body, "ms", 0);
	}
	if (n < 0 || (size_t)n >= flt_cluster.nservers)
		return;
	server = &flt_cluster.servers[n];
	server->hangs = strcmp(how, "hang") == 0;
	server->failing = strcmp(how, "fail") == 0;
	server->speed = strcmp(how, "slow") == 0 ? 200 : 1000;
	if (strcmp(how, "crash") == 0) {
		wm_crash(server);
		flt_write_server_row((size_t)n, flt_registered[n].az,
		    flt_registered[n].port);
	}
}

static void
flt_task(struct evhttp_request *req)
{
	char name[WORKER_TASK_NAME_SIZE];
	const struct wm_task *task;

	sti_query(req, "name", name, sizeof(name));
	task = wm_task(&flt_cluster, name);
	sti_reply(req, 200,
	    json_pack("{s:i,s:i}", "starts",
		task == NULL ? 0 : (int)task->starts, "done",
		task == NULL ? 0 : (int)task->completions));
}

static json_t *
flt_kinds(void)
{
	json_t *kinds = json_object();
	int i;

	for (i = 0; i < WM_KINDS; i++)
		(void)json_object_set_new(kinds, wm_violation_name(i),
		    json_pack("{s:I,s:s}", "n",
			(json_int_t)flt_cluster.by_kind[i].n, "first",
			flt_cluster.by_kind[i].first));
	return kinds;
}

static void
flt_store_request(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_request_get_uri(req);
	uint64_t starts = 0;
	json_t *body;
	char *text;
	size_t i;

	(void)arg;
	if (strncmp(path, "/v1/", 4) == 0) {
		store_serve(req);
		return;
	}
	if (strncmp(path, "/task?", 6) == 0) {
		flt_task(req);
		return;
	}
	body = sti_json_body(req);
	if (strcmp(path, "/register") == 0) {
		flt_register(body);
	} else if (strcmp(path, "/config") == 0) {
		text = json_dumps(body, JSON_COMPACT);
		store_set("op", "", "config", text);
		free(text);
	} else if (strcmp(path, "/fault") == 0) {
		flt_fault(body);
	}
	json_decref(body);
	for (i = 0; i < flt_cluster.nservers; i++)
		starts += flt_cluster.servers[i].starts;
	sti_reply(req, 200,
	    json_pack("{s:I,s:I,s:o}", "violations",
		(json_int_t)flt_cluster.violations, "starts",
		(json_int_t)starts, "kinds", flt_kinds()));
}

/* Both times, as soak tests log the one and hosts the other. */
static void
flt_trace(const char *event)
{
	struct timespec ts;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	fprintf(stderr, "%8.3f %02d:%02d:%02d.%03ld %s\n",
	    (double)sti_now_ms() / 1000, tm.tm_hour, tm.tm_min, tm.tm_sec,
	    ts.tv_nsec / 1000000, event);
}

int
main(int argc, char **argv)
{
	struct arg_int *servers =
	    arg_int0(NULL, "servers", "N", "backend servers");
	struct arg_file *file =
	    arg_file1(NULL, "port-file", "FILE", "the ports are written here");
	struct arg_end *end = arg_end(8);
	void *table[] = { servers, file, end };
	const struct timeval interval = { .tv_usec = FLT_TICK_MS * 1000 };
	char text[FLT_SERVERS_MAX * 16 + 32];
	struct event_base *base;
	size_t i, n, len;
	uint16_t port;

	servers->ival[0] = 4;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "standin_fleet");
		return 1;
	}
	n = (size_t)servers->ival[0];
	if (n > FLT_SERVERS_MAX)
		errx(1, "too many servers");
	base = sti_event_base();
	wm_init(&flt_cluster, n, FLT_CPU_MILLICORES);
	flt_cluster.strict_prefix = FLT_STORED_ID_PREFIX;
	flt_cluster.trace = flt_trace;
	store_init(base);
	sti_http_server(base, &port, flt_store_request, NULL);
	len = (size_t)snprintf(text, sizeof(text), "store %u\n", port);
	for (i = 0; i < n; i++) {
		sti_http_server(base, &port, flt_server_request,
		    &flt_cluster.servers[i]);
		len += (size_t)snprintf(text + len, sizeof(text) - len,
		    "s%zu %u\n", i, port);
	}
	event_add(event_new(base, -1, EV_PERSIST, flt_tick, NULL), &interval);
	if (sti_write_file(file->filename[0], text) != 0)
		err(1, "%s", file->filename[0]);
	event_base_dispatch(base);
	return 0;
}
