/*
 * Pools of keep-alive connections to backend servers, one for each address. A
 * connection is reused only if nothing was received since its last response.
 */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "adapters/backend_http_internal.h"
#include "core/counters.h"

#define BKH_IDLE_TIMEOUT_MS 30000  /* of a connection */
#define BKH_EVHTTP_TIMEOUT_S 86400 /* each call has its own, shorter timer */
#define BKH_HEADERS_BYTES_MAX 16384

static struct counter bkh_connects = {
	.name = "berylrail_backend_connects_total",
	.help = "Connections opened to backend servers.",
};
static struct counter bkh_stale = {
	.name = "berylrail_backend_stale_connections_total",
	.help = "Idle connections found closed or with unexpected input.",
};

static struct bkh_pools *
bkh_bucket(struct backend_http *http, const char *address, uint16_t port)
{
	uint32_t hash = 2166136261U ^ port;

	for (; *address != '\0'; address++)
		hash = (hash ^ (unsigned char)*address) * 16777619U;
	return &http->pools[hash % BKH_POOL_BUCKETS];
}

struct bkh_pool *
bkh_pool_get(struct backend_http *http, const struct backend_server *server)
{
	struct bkh_pools *bucket;
	struct bkh_pool *pool;

	bucket = bkh_bucket(http, server->address, server->port);
	LIST_FOREACH (pool, bucket, entry) {
		if (pool->port == server->port &&
		    strcmp(pool->address, server->address) == 0)
			return pool;
	}
	pool = calloc(1, sizeof(*pool));
	if (pool == NULL)
		return NULL;
	pool->owner = http;
	pool->port = server->port;
	memcpy(pool->address, server->address, sizeof(pool->address));
	snprintf(pool->host_header, sizeof(pool->host_header),
	    strchr(pool->address, ':') ? "[%s]:%u" : "%s:%u", pool->address,
	    pool->port);
	TAILQ_INIT(&pool->idle);
	TAILQ_INIT(&pool->busy);
	LIST_INSERT_HEAD(bucket, pool, entry);
	return pool;
}

void
bkh_conn_free(struct bkh_conn *conn)
{
	evhttp_connection_free(conn->evcon);
	free(conn);
}

void
bkh_conn_discard(struct bkh_conn *conn)
{
	struct backend_http *http = conn->pool->owner;

	conn->pool->nconns--;
	TAILQ_INSERT_TAIL(&http->discarded, conn, entry);
	event_active(http->deferred, EV_TIMEOUT, 0);
}

/* Counts the bytes written to the socket. evhttp also drains the buffer when it
 * resets a connection, but with writing disabled; those bytes were not sent. */
static void
bkh_output_changed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
    void *arg)
{
	struct bkh_conn *conn = arg;
	struct backend_call *call = conn->call;
	struct bufferevent *bev;

	(void)buffer;
	if (info->n_deleted == 0 || call == NULL)
		return;
	bev = evhttp_connection_get_bufferevent(conn->evcon);
	if ((bufferevent_get_enabled(bev) & EV_WRITE) == 0)
		return;
	if (call->bytes_sent == 0 && timerisset(&call->call_timeout))
		event_add(&call->timer, &call->call_timeout);
	call->bytes_sent += info->n_deleted;
}

struct bkh_conn *
bkh_conn_create(struct bkh_pool *pool)
{
	struct timeval timeout = { .tv_sec = BKH_EVHTTP_TIMEOUT_S };
	struct bkh_conn *conn;
	struct bufferevent *bev;

	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return NULL;
	conn->pool = pool;
	conn->evcon = evhttp_connection_base_bufferevent_new(pool->owner->base,
	    NULL, NULL, pool->address, pool->port);
	if (conn->evcon == NULL)
		goto error;
	evhttp_connection_set_retries(conn->evcon, 0);
	evhttp_connection_set_timeout_tv(conn->evcon, &timeout);
	evhttp_connection_set_max_body_size(conn->evcon, BODY_BYTES_MAX);
	evhttp_connection_set_max_headers_size(conn->evcon,
	    BKH_HEADERS_BYTES_MAX);
	bev = evhttp_connection_get_bufferevent(conn->evcon);
	if (evbuffer_add_cb(bufferevent_get_output(bev), bkh_output_changed,
		conn) == NULL)
		goto error;
	pool->nconns++;
	ctr_inc(&bkh_connects);
	return conn;
error:
	if (conn->evcon != NULL)
		evhttp_connection_free(conn->evcon);
	free(conn);
	return NULL;
}

/* Returns true if an idle connection is open and has received nothing since
 * its last response, such as bytes that belong to no request. */
static bool
bkh_conn_reusable(const struct bkh_conn *conn)
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

struct bkh_conn *
bkh_conn_reuse(struct bkh_pool *pool)
{
	struct bkh_conn *conn;

	while ((conn = TAILQ_FIRST(&pool->idle)) != NULL) {
		TAILQ_REMOVE(&pool->idle, conn, entry);
		if (bkh_conn_reusable(conn))
			return conn;
		ctr_inc(&bkh_stale);
		bkh_conn_discard(conn);
	}
	return NULL;
}

static void
bkh_pool_sweep(struct bkh_pool *pool, const struct timeval *now)
{
	struct bkh_conn *conn, *newer;
	struct timeval age;

	for (conn = TAILQ_LAST(&pool->idle, bkh_conns); conn != NULL;
	     conn = newer) {
		newer = TAILQ_PREV(conn, bkh_conns, entry);
		timersub(now, &conn->idle_since, &age);
		if (age.tv_sec * 1000 < BKH_IDLE_TIMEOUT_MS)
			break;
		TAILQ_REMOVE(&pool->idle, conn, entry);
		pool->nconns--;
		bkh_conn_free(conn);
	}
	if (pool->nconns == 0) {
		LIST_REMOVE(pool, entry);
		free(pool);
	}
}

void
bkh_pool_free(struct bkh_pool *pool)
{
	struct bkh_conn *conn;

	while ((conn = TAILQ_FIRST(&pool->busy)) != NULL) {
		TAILQ_REMOVE(&pool->busy, conn, entry);
		bkh_call_free(conn->call);
		conn->call = NULL;
		bkh_conn_free(conn);
	}
	while ((conn = TAILQ_FIRST(&pool->idle)) != NULL) {
		TAILQ_REMOVE(&pool->idle, conn, entry);
		bkh_conn_free(conn);
	}
	LIST_REMOVE(pool, entry);
	free(pool);
}

void
bkh_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct backend_http *http = arg;
	struct bkh_pool *pool, *next;
	struct timeval now;
	size_t i;

	(void)fd;
	(void)what;
	event_base_gettimeofday_cached(http->base, &now);
	for (i = 0; i < BKH_POOL_BUCKETS; i++) {
		for (pool = LIST_FIRST(&http->pools[i]); pool != NULL;
		     pool = next) {
			next = LIST_NEXT(pool, entry);
			bkh_pool_sweep(pool, &now);
		}
	}
}
