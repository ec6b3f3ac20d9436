/*
 * An HTTP/1.1 server on bufferevents instead of evhttp, so that it can send
 * malformed replies.
 *
 * The body of a task may contain "ms":N (run time), "uid":"..." and
 * "do":"ACTION"; a body that is no JSON object has an action if it contains the
 * word. The actions are fail, hang, cut (close the connection without a reply),
 * half (send half of the body), twice (send two replies) and nolength (send no
 * Content-Length). The reply to a task that completes has the same body. A task
 * occupies its slot until it has run, even if its connection has been closed; a
 * task that hangs occupies it until the connection is closed.
 */
#include <err.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "record.h"
#include "server.h"
#include "support/standin.h"

#define SRV_HEADER_BYTES_MAX 16384

struct task {
	struct server *server;
	struct conn *conn; /* NULL once the connection is closed */
	struct event *timer;
	struct start_record *record;
	char id[300];
	char *body;
	size_t len;
	bool hangs;
	bool fails;
};

struct conn {
	struct server *server;
	struct bufferevent *bev;
	struct task *task; /* the running task of this connection, or NULL */
	bool closing;	   /* to be freed once its output has been written */
	LIST_ENTRY(conn) entry;
};

static const char *const srv_mode_names[SRV_NMODES] = { "ok", "fail_all",
	"hang_all", "leaving", "down" };

static void srv_read(struct bufferevent *bev, void *arg);

static void
srv_task_free(struct task *task)
{
	task->server->running--;
	if (task->conn != NULL)
		task->conn->task = NULL;
	if (task->timer != NULL)
		event_free(task->timer);
	free(task->body);
	free(task);
}

static void
srv_conn_free(struct conn *conn)
{
	struct task *task;

	task = conn->task;
	if (task != NULL) {
		task->conn = NULL;
		if (task->hangs)
			srv_task_free(task);
	}
	conn->server->nconns--;
	LIST_REMOVE(conn, entry);
	bufferevent_free(conn->bev);
	free(conn);
}

static void
srv_written(struct bufferevent *bev, void *arg)
{
	struct conn *conn;

	(void)bev;
	conn = arg;
	if (conn->closing)
		srv_conn_free(conn);
}

static void
srv_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		srv_conn_free(arg);
}

/*
 * Copies the value of "name":"value" or "name":number in a task's body to @buf,
 * "" if absent. @name includes its quotes.
 */
static void
srv_body_member(const struct task *task, const char *name, char *buf,
    size_t size)
{
	const char *p, *end;
	size_t n;

	n = 0;
	end = task->body + task->len;
	p = memmem(task->body, task->len, name, strlen(name));
	if (p != NULL) {
		p += strlen(name);
		while (p < end && (*p == ' ' || *p == ':' || *p == '"'))
			p++;
		while (p < end && n + 1 < size && *p != '"' && *p != ',' &&
		    *p != '}')
			buf[n++] = *p++;
	}
	buf[n] = '\0';
}

/* Return: true if the body requests this action. */
static bool
srv_has_action(const struct task *task, const char *action_name)
{
	char action[16];

	if (task->len == 0 || task->body[0] != '{')
		return memmem(task->body, task->len, action_name,
			   strlen(action_name)) != NULL;
	srv_body_member(task, "\"do\"", action, sizeof(action));
	return strcmp(action, action_name) == 0;
}

static void
srv_refuse(struct conn *conn, const char *reason)
{
	evbuffer_add_printf(bufferevent_get_output(conn->bev),
	    "HTTP/1.1 503 Service Unavailable\r\nBerylrail-Refused: %s\r\n"
	    "%sContent-Length: 0\r\n\r\n",
	    reason,
	    conn->server->mode == SRV_LEAVING ? "Connection: close\r\n" : "");
	conn->closing = conn->server->mode == SRV_LEAVING;
}

static void
srv_write_reply_head(struct evbuffer *out, const struct task *task)
{
	if (srv_has_action(task, "nolength")) {
		evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n\r\n");
		return;
	}
	evbuffer_add_printf(out,
	    "HTTP/1.1 %s\r\nContent-Length: %zu\r\nBerylrail-Task: %s\r\n%s"
	    "\r\n",
	    task->fails ? "500 Failed" : "200 OK", task->len, task->id,
	    task->server->mode == SRV_LEAVING ? "Connection: close\r\n" : "");
}

static void
srv_send_reply(struct conn *conn, const struct task *task)
{
	struct evbuffer *out;
	size_t len;
	int copies;

	out = bufferevent_get_output(conn->bev);
	len = task->len;
	copies = 1;
	if (srv_has_action(task, "twice"))
		copies = 2;
	conn->closing = conn->server->mode == SRV_LEAVING ||
	    srv_has_action(task, "nolength");
	if (srv_has_action(task, "half")) {
		conn->closing = true;
		len /= 2;
	}
	while (copies-- > 0) {
		srv_write_reply_head(out, task);
		evbuffer_add(out, task->body, len);
	}
}

static void
srv_task_end(struct task *task)
{
	struct conn *conn;

	task->server->finishes++;
	if (task->record != NULL)
		rec_finish(task->record);
	conn = task->conn;
	if (conn != NULL && srv_has_action(task, "cut")) {
		srv_conn_free(conn);
		conn = NULL;
	}
	if (conn != NULL)
		srv_send_reply(conn, task);
	srv_task_free(task);
	/* The input may already contain the next request. */
	if (conn != NULL && !conn->closing)
		bufferevent_trigger(conn->bev, EV_READ,
		    BEV_OPT_DEFER_CALLBACKS);
}

static void
srv_task_timed_end(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	srv_task_end(arg);
}

static void
srv_task_start(struct conn *conn, struct task *task)
{
	struct server *server;
	struct timeval tv;
	char uid[128], ms[16];
	unsigned long run_ms;

	server = conn->server;
	server->running++;
	server->starts++;
	task->server = server;
	task->conn = conn;
	conn->task = task;
	srv_body_member(task, "\"uid\"", uid, sizeof(uid));
	srv_body_member(task, "\"ms\"", ms, sizeof(ms));
	if (server->record_starts)
		task->record = rec_start(uid[0] != '\0' ? uid : task->id,
		    task->id, server->name);
	task->hangs =
	    server->mode == SRV_HANG_ALL || srv_has_action(task, "hang");
	task->fails =
	    server->mode == SRV_FAIL_ALL || srv_has_action(task, "fail");
	if (task->hangs)
		return;
	run_ms = ms[0] != '\0' ? strtoul(ms, NULL, 10) : server->default_ms;
	run_ms = run_ms * 100 / server->speed;
	if (run_ms == 0 || server->mode == SRV_FAIL_ALL) {
		srv_task_end(task);
		return;
	}
	tv.tv_sec = (time_t)(run_ms / 1000);
	tv.tv_usec = (suseconds_t)(run_ms % 1000 * 1000);
	task->timer = evtimer_new(server->base, srv_task_timed_end, task);
	evtimer_add(task->timer, &tv);
}

/* Returns the value of a header in the NUL-terminated @head, or NULL. */
static const char *
srv_find_header(const char *head, const char *name)
{
	const char *p;

	p = strcasestr(head, name);
	if (p == NULL)
		return NULL;
	p += strlen(name);
	return p + strspn(p, " ");
}

/*
 * Removes one complete request from the input. Return: its task, or NULL if the
 * request is incomplete; then @malformed is set if its header is too long.
 */
static struct task *
srv_parse(struct conn *conn, struct evbuffer *in, bool *malformed)
{
	struct evbuffer_ptr found;
	struct task *task;
	const char *value;
	char *head;
	size_t head_len, body_len;

	found = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	if (found.pos == -1) {
		*malformed = evbuffer_get_length(in) > SRV_HEADER_BYTES_MAX;
		return NULL;
	}
	head_len = (size_t)found.pos + 4;
	head = (char *)evbuffer_pullup(in, (ev_ssize_t)head_len);
	head[head_len - 1] = '\0';
	value = srv_find_header(head, "\ncontent-length:");
	body_len = value != NULL ? strtoul(value, NULL, 10) : 0;
	if (evbuffer_get_length(in) < head_len + body_len) {
		head[head_len - 1] = '\n';
		return NULL;
	}
	task = calloc(1, sizeof(*task));
	if (task == NULL || (task->body = malloc(body_len + 1)) == NULL)
		err(1, "malloc");
	task->len = body_len;
	value = srv_find_header(head, "\nberylrail-task:");
	if (value != NULL)
		snprintf(task->id, sizeof(task->id), "%.*s",
		    (int)strcspn(value, "\r\n"), value);
	evbuffer_drain(in, head_len);
	evbuffer_remove(in, task->body, body_len);
	task->body[body_len] = '\0';
	(void)conn;
	return task;
}

static void
srv_read(struct bufferevent *bev, void *arg)
{
	struct server *server;
	struct conn *conn;
	struct task *task;
	const char *refusal;
	bool malformed;

	conn = arg;
	server = conn->server;
	malformed = false;
	if (conn->task != NULL || conn->closing)
		return;
	task = srv_parse(conn, bufferevent_get_input(bev), &malformed);
	if (malformed)
		srv_conn_free(conn);
	if (task == NULL)
		return;
	refusal = NULL;
	if (server->mode == SRV_LEAVING) {
		refusal = "leaving";
		server->refused_leaving++;
	} else if (server->running >= server->slots) {
		refusal = "busy";
		server->refused_busy++;
	}
	if (refusal == NULL) {
		srv_task_start(conn, task);
		return;
	}
	srv_refuse(conn, refusal);
	free(task->body);
	free(task);
}

static void
srv_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	struct server *server;
	struct conn *conn;
	int one;

	(void)listener;
	(void)addr;
	(void)len;
	server = arg;
	if (server->nconns >= server->connections) {
		server->refused_conns++;
		evutil_closesocket(fd);
		return;
	}
	one = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		err(1, "calloc");
	conn->server = server;
	conn->bev =
	    bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	server->nconns++;
	LIST_INSERT_HEAD(&server->conns, conn, entry);
	bufferevent_setcb(conn->bev, srv_read, srv_written, srv_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

int
srv_listen(struct server *server)
{
	struct sockaddr_in sin;

	sin = sti_loopback(server->port);
	server->listener = evconnlistener_new_bind(server->base, srv_accept,
	    server, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (server->listener == NULL)
		return -1;
	server->port = sti_bound_port(evconnlistener_get_fd(server->listener));
	return 0;
}

int
srv_set_mode(struct server *server, const char *mode)
{
	struct conn *conn;
	int i;

	for (i = 0; i < SRV_NMODES; i++)
		if (strcmp(mode, srv_mode_names[i]) == 0)
			break;
	if (i == SRV_NMODES)
		return -1;
	server->mode = (enum srv_mode)i;
	if (server->mode == SRV_DOWN && server->listener != NULL) {
		evconnlistener_free(server->listener);
		server->listener = NULL;
		while ((conn = LIST_FIRST(&server->conns)) != NULL)
			srv_conn_free(conn);
	}
	if (server->mode != SRV_DOWN && server->listener == NULL)
		return srv_listen(server);
	return 0;
}

json_t *
srv_stats(const struct server *server)
{
	return json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
	    "mode", srv_mode_names[server->mode], "port",
	    (json_int_t)server->port, "running", (json_int_t)server->running,
	    "connections", (json_int_t)server->nconns, "starts",
	    (json_int_t)server->starts, "finishes",
	    (json_int_t)server->finishes, "busy",
	    (json_int_t)server->refused_busy, "leaving",
	    (json_int_t)server->refused_leaving, "refused_conns",
	    (json_int_t)server->refused_conns);
}
