/*
 * Life cycle of the peers adapter, its listening socket and its timers. One
 * timer drives dialing, heartbeats, timeouts and configuration fetches,
 * another one the loans of task slots.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/peers_internal.h"

static const struct peers_ops peers_tcp_ops = {
	.forward = peers_forward,
	.notify_config = peers_config_notify,
};

struct peers_tcp *
peers_from_port(struct peers *port)
{
	return (struct peers_tcp *)port;
}

uint64_t
peers_now_us(const struct peers_tcp *peers)
{
	return clock_now_us(peers->params.clock);
}

uint64_t
peers_jitter_us(struct peers_tcp *peers, uint32_t ms)
{
	uint64_t us = (uint64_t)ms * 1000;

	/* xorshift64 */
	peers->rng_state ^= peers->rng_state << 13;
	peers->rng_state ^= peers->rng_state >> 7;
	peers->rng_state ^= peers->rng_state << 17;
	return us * 3 / 4 + (us < 2 ? 0 : peers->rng_state % (us / 2));
}

static void
peers_tcp_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	(void)listener;
	(void)address;
	(void)len;
	if (peers_conn_open(arg, NULL, fd) == NULL)
		evutil_closesocket(fd);
}

static void
peers_tcp_tick(evutil_socket_t fd, short what, void *arg)
{
	struct peers_tcp *peers = arg;
	uint64_t now_us = peers_now_us(peers);

	(void)fd;
	(void)what;
	unread_tick(&peers->unread, now_us);
	if (mbr_tick(&peers->members, now_us))
		peers_sharing_update(peers);
	peers_conn_tick(peers, now_us);
	peers_forward_tick(peers, now_us);
	peers_dial_tick(peers, now_us);
	peers_state_tick(peers, now_us);
}

static int
peers_tcp_listen(struct peers_tcp *peers, struct err *err)
{
	const struct endpoint *listen = &peers->params.listen;
	struct sockaddr_storage address;
	char text[64];
	int len = sizeof(address);

	snprintf(text, sizeof(text),
	    strchr(listen->address, ':') != NULL ? "[%s]:%u" : "%s:%u",
	    listen->address, listen->port);
	/* libevent's parser rejects port 0, but accepts a missing port. */
	if (listen->port == 0)
		*strrchr(text, ':') = '\0';
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
		&len) < 0)
		return err_set(err, ERR_STEP_PEER, ERR_INVALID, text,
		    "invalid address");
	peers->listener = evconnlistener_new_bind(peers->params.base,
	    peers_tcp_accept, peers, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
	    -1, (struct sockaddr *)&address, len);
	if (peers->listener == NULL)
		return err_set(err, ERR_STEP_PEER, ERR_UNAVAILABLE, text,
		    "cannot listen: %s", strerror(errno));
	return 0;
}

static struct event *
peers_tcp_create_timer(struct peers_tcp *peers, uint32_t ms,
    event_callback_fn tick)
{
	struct event *timer =
	    event_new(peers->params.base, -1, EV_PERSIST, tick, peers);
	struct timeval interval;

	if (ms == 0)
		ms = 1;
	interval.tv_sec = ms / 1000;
	interval.tv_usec = (suseconds_t)(ms % 1000) * 1000;
	if (timer != NULL)
		(void)event_add(timer, &interval);
	return timer;
}

static int
peers_tcp_start_timers(struct peers_tcp *peers, struct err *err)
{
	uint32_t ms = peers->params.heartbeat_ms / PEERS_TICKS_PER_HEARTBEAT;

	unread_start(&peers->unread, peers_now_us(peers), ms * UINT64_C(1000));
	peers->timer = peers_tcp_create_timer(peers, ms, peers_tcp_tick);
	peers->loan_timer =
	    peers_tcp_create_timer(peers, PEERS_LOAN_TICK_MS, peers_loan_tick);
	peers->failed_event = event_new(peers->params.base, -1, 0,
	    peers_forward_run_callbacks, peers);
	if (peers->timer == NULL || peers->loan_timer == NULL ||
	    peers->failed_event == NULL)
		return err_set(err, ERR_STEP_PEER, ERR_NO_MEMORY, NULL,
		    "timers");
	return 0;
}

struct peers *
peers_tcp_create(const struct peers_tcp_params *params, struct err *err)
{
	struct peers_tcp *peers = calloc(1, sizeof(*peers));
	struct peers_target *target;
	size_t i;

	if (peers == NULL) {
		err_set(err, ERR_STEP_PEER, ERR_NO_MEMORY, NULL, "peers");
		return NULL;
	}
	peers->port.ops = &peers_tcp_ops;
	peers->params = *params;
	peers->rng_state = params->incarnation | 1;
	peers->next_correlation = 1;
	peers->leaving_version = 1;
	TAILQ_INIT(&peers->targets);
	nidx_init(&peers->targets_by_endpoint);
	TAILQ_INIT(&peers->conns);
	nidx_init(&peers->conns_by_name);
	TAILQ_INIT(&peers->forwards);
	TAILQ_INIT(&peers->failed);
	TAILQ_INIT(&peers->served);
	TAILQ_INIT(&peers->leaving_reports);
	mbr_init(&peers->members, params->host, params->az);
	if (peers_tcp_listen(peers, err) < 0)
		goto error;
	peers->advertise = params->advertise;
	if (peers->advertise.address[0] == '\0')
		strlcpy(peers->advertise.address, params->listen.address,
		    sizeof(peers->advertise.address));
	if (peers->advertise.port == 0)
		peers->advertise.port = peers_tcp_port(&peers->port);
	if (peers_tcp_start_timers(peers, err) < 0)
		goto error;
	for (i = 0; i < params->nseeds; i++) {
		target = peers_target_find_or_add(peers, &params->seeds[i]);
		if (target == NULL) {
			err_set(err, ERR_STEP_PEER, ERR_NO_MEMORY, NULL,
			    "seeds");
			goto error;
		}
		target->is_seed = true;
	}
	peers_sharing_update(peers);
	peers_dial_tick(peers, peers_now_us(peers));
	return &peers->port;
error:
	peers_tcp_destroy(&peers->port);
	return NULL;
}

uint16_t
peers_tcp_port(const struct peers *port)
{
	const struct peers_tcp *peers = (const struct peers_tcp *)port;
	struct sockaddr_storage address;
	socklen_t len = sizeof(address);

	memset(&address, 0, sizeof(address));
	if (getsockname(evconnlistener_get_fd(peers->listener),
		(struct sockaddr *)&address, &len) < 0)
		return 0;
	if (address.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
	return ntohs(((struct sockaddr_in *)&address)->sin_port);
}

void
peers_tcp_update_hosts(struct peers *port, const struct hostlist_entry *entries,
    size_t nentries)
{
	struct peers_tcp *peers = peers_from_port(port);
	size_t i;

	mbr_list_begin(&peers->members);
	for (i = 0; i < nentries; i++) {
		const struct member_id id = {
			.name = entries[i].name,
			.az = entries[i].az,
			.address = entries[i].address,
			.port = entries[i].port,
		};

		if (entries[i].role == HOSTLIST_ENTRY)
			mbr_list_add(&peers->members, &id, entries[i].leaving);
	}
	mbr_list_end(&peers->members);
	peers_sharing_update(peers);
	peers_dial_tick(peers, peers_now_us(peers));
}

bool
peers_tcp_is_connected(struct peers *port, const char *host,
    uint64_t *incarnation)
{
	const struct peers_conn *conn =
	    peers_conn_find_host(peers_from_port(port), host);

	if (conn == NULL)
		return false;
	*incarnation = conn->incarnation;
	return true;
}

uint64_t
peers_tcp_alive_us(struct peers *port, const char *host, uint64_t connection)
{
	const struct peers_tcp *peers = peers_from_port(port);
	const struct nidx_entry *entry;
	const struct peers_conn *conn;

	for (entry = nidx_find(&peers->conns_by_name, host); entry != NULL;
	     entry = nidx_next(entry)) {
		conn = NIDX_OBJECT(entry, struct peers_conn, by_name);
		if (conn->id == connection)
			return conn->alive_us;
	}
	return 0;
}

uint64_t
peers_tcp_connections_version(struct peers *port)
{
	return peers_from_port(port)->conns_version;
}

void
peers_tcp_request_connection(struct peers *port, const char *host)
{
	(void)peers_dial_on_demand(peers_from_port(port), host);
}

void
peers_tcp_announce_leaving(struct peers *port)
{
	struct peers_tcp *peers = peers_from_port(port);

	peers->is_leaving = true;
	peers_heartbeat_send_all(peers);
}

void
peers_tcp_destroy(struct peers *port)
{
	struct peers_tcp *peers = peers_from_port(port);
	struct peers_conn *conn;
	struct peers_target *target;

	while ((conn = TAILQ_FIRST(&peers->conns)) != NULL)
		peers_conn_close(conn, "this host is shutting down");
	while ((target = TAILQ_FIRST(&peers->targets)) != NULL)
		peers_target_free(peers, target);
	peers_forward_release(peers);
	peers_state_release(peers);
	mbr_release(&peers->members);
	nidx_release(&peers->targets_by_endpoint);
	nidx_release(&peers->conns_by_name);
	if (peers->failed_event != NULL)
		event_free(peers->failed_event);
	if (peers->loan_timer != NULL)
		event_free(peers->loan_timer);
	if (peers->timer != NULL)
		event_free(peers->timer);
	if (peers->listener != NULL)
		evconnlistener_free(peers->listener);
	free(peers);
}
