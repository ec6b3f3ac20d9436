/*
 * The pool of keep-alive connections of an HTTP client, with one request at a
 * time on each.
 */

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "adapters/http_client_internal.h"

#define HCL_EVHTTP_TIMEOUT_S 86400 /* each call has its own, shorter timer */
#define HCL_HEADERS_BYTES_MAX 16384

void
hcl_conn_free(struct hcl_conn *conn)
{
	evhttp_connection_free(conn->evcon);
	free(conn);
}

void
hcl_conn_release(struct hcl_conn *conn, bool keep_alive)
{
	struct hcl *hcl = conn->hcl;

	conn->call->conn = NULL;
	conn->call = NULL;
	TAILQ_REMOVE(&hcl->busy, conn, entry);
	if (keep_alive) {
		TAILQ_INSERT_HEAD(&hcl->idle, conn, entry);
	} else {
		hcl->nconns--;
		TAILQ_INSERT_TAIL(&hcl->discarded, conn, entry);
	}
	hcl_schedule_deferred(hcl);
}

/*
 * Records that bytes of a request were sent. evhttp also drains the buffer when
 * it resets a connection, but with writing disabled; those bytes were not
 * sent.
 */
static void
hcl_output_changed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
    void *arg)
{
	struct hcl_conn *conn = arg;
	struct bufferevent *bev;

	(void)buffer;
	if (info->n_deleted == 0 || conn->call == NULL)
		return;
	bev = evhttp_connection_get_bufferevent(conn->evcon);
	if ((bufferevent_get_enabled(bev) & EV_WRITE) != 0)
		conn->call->sent = true;
}

/* evhttp closes the socket, and so loses the cause, before it reports that a
 * connect has failed. */
static void
hcl_connect_done(struct bufferevent *bev, short what, void *arg)
{
	struct hcl_conn *conn = arg;

	if ((what & BEV_EVENT_ERROR) != 0 && conn->call != NULL)
		conn->call->refused =
		    !conn->call->sent && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
	conn->connect_done(bev, what, conn->connect_done_arg);
}

void
hcl_conn_watch_connect(struct hcl_conn *conn)
{
	struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(conn->evcon);
	bufferevent_data_cb read_done, write_done;
	bufferevent_event_cb event_done;
	void *arg;

	bufferevent_getcb(bev, &read_done, &write_done, &event_done, &arg);
	/* A connection that is established has callbacks for its data. */
	if (event_done == NULL || read_done != NULL || write_done != NULL)
		return;
	conn->connect_done = event_done;
	conn->connect_done_arg = arg;
	bufferevent_setcb(bev, NULL, NULL, hcl_connect_done, conn);
}

static struct hcl_conn *
hcl_conn_create(struct hcl *hcl)
{
	struct timeval timeout = { .tv_sec = HCL_EVHTTP_TIMEOUT_S };
	struct bufferevent *bev;
	struct hcl_conn *conn;

	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return NULL;
	conn->hcl = hcl;
	conn->evcon =
	    evhttp_connection_base_bufferevent_new(hcl->params.base, NULL, NULL,
		hcl->params.endpoint.address, hcl->params.endpoint.port);
	if (conn->evcon == NULL)
		goto error;
	evhttp_connection_set_retries(conn->evcon, 0);
	evhttp_connection_set_timeout_tv(conn->evcon, &timeout);
	evhttp_connection_set_max_body_size(conn->evcon,
	    (ev_ssize_t)hcl->params.response_bytes_max);
	evhttp_connection_set_max_headers_size(conn->evcon,
	    HCL_HEADERS_BYTES_MAX);
	bev = evhttp_connection_get_bufferevent(conn->evcon);
	if (evbuffer_add_cb(bufferevent_get_output(bev), hcl_output_changed,
		conn) == NULL)
		goto error;
	hcl->nconns++;
	conn->id = ++hcl->last_conn_id;
	return conn;
error:
	if (conn->evcon != NULL)
		evhttp_connection_free(conn->evcon);
	free(conn);
	return NULL;
}

/* Returns true if an idle connection is open and has received nothing since
 * its last response. */
static bool
hcl_conn_reusable(const struct hcl_conn *conn)
{
	struct bufferevent *bev;
	evutil_socket_t fd;
	char byte;

	bev = evhttp_connection_get_bufferevent(conn->evcon);
	fd = bufferevent_getfd(bev);
	if (fd == -1 || evbuffer_get_length(bufferevent_get_input(bev)) != 0)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == -1 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK);
}

static struct hcl_conn *
hcl_conn_find_idle(const struct hcl *hcl, uint64_t id)
{
	struct hcl_conn *conn;

	TAILQ_FOREACH (conn, &hcl->idle, entry) {
		if (conn->id == id && hcl_conn_reusable(conn))
			return conn;
	}
	return NULL;
}

struct hcl_conn *
hcl_conn_acquire_by_id(struct hcl *hcl, uint64_t id)
{
	struct hcl_conn *conn = hcl_conn_find_idle(hcl, id);

	if (conn != NULL)
		TAILQ_REMOVE(&hcl->idle, conn, entry);
	return conn;
}

/* Closes the connection that has waited longest for a late response. Return:
 * true if there was one. */
static bool
hcl_close_abandoned(struct hcl *hcl)
{
	struct hcl_conn *conn;
	struct hcl_call *call;

	TAILQ_FOREACH (conn, &hcl->busy, entry) {
		if (conn->call->abandoned)
			break;
	}
	if (conn == NULL)
		return false;
	call = conn->call;
	TAILQ_REMOVE(&hcl->busy, conn, entry);
	hcl->nconns--;
	hcl_conn_free(conn);
	hcl_call_free(call);
	return true;
}

struct hcl_conn *
hcl_conn_acquire(struct hcl *hcl, bool new_connection)
{
	struct hcl_conn *conn;

	if (new_connection && hcl->nconns < hcl->params.connections_max)
		return hcl_conn_create(hcl);
	while ((conn = TAILQ_FIRST(&hcl->idle)) != NULL) {
		TAILQ_REMOVE(&hcl->idle, conn, entry);
		if (hcl_conn_reusable(conn))
			return conn;
		hcl->nconns--;
		hcl_conn_free(conn);
	}
	if (hcl->nconns >= hcl->params.connections_max &&
	    !hcl_close_abandoned(hcl))
		return NULL;
	return hcl_conn_create(hcl);
}
