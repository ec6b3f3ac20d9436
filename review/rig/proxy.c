/*
 * Proxy of the links between entry hosts. A host that is cut off neither sends
 * nor receives: the bytes of its connections are kept back until it is healed.
 * The host that opened a connection is known by its name in the first frame.
 */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "review/rig/rig.h"
#include "tests/support/standin.h"

#define PROXY_PEER_PORT 8166

struct proxy_link {
	struct rig_host *target;
	struct rig_host *origin; /* NULL: not known yet */
	struct bufferevent *from, *to;
	bool closed;
	LIST_ENTRY(proxy_link) entry;
};

static LIST_HEAD(, proxy_link) proxy_links = LIST_HEAD_INITIALIZER(proxy_links);

static bool
proxy_is_cut(const struct proxy_link *link)
{
	return link->target->cut_off ||
	    (link->origin != NULL && link->origin->cut_off);
}

static void
proxy_update(struct proxy_link *link)
{
	if (proxy_is_cut(link)) {
		bufferevent_disable(link->from, EV_READ | EV_WRITE);
		bufferevent_disable(link->to, EV_READ | EV_WRITE);
	} else {
		bufferevent_enable(link->from, EV_READ | EV_WRITE);
		bufferevent_enable(link->to, EV_READ | EV_WRITE);
	}
}

static void
proxy_close(struct proxy_link *link)
{
	LIST_REMOVE(link, entry);
	bufferevent_free(link->from);
	bufferevent_free(link->to);
	free(link);
}

static void
proxy_find_origin(struct proxy_link *link, struct evbuffer *input)
{
	size_t i;

	for (i = 0; i < RIG_HOSTS; i++) {
		if (evbuffer_search(input, rig.hosts[i].name,
			strlen(rig.hosts[i].name), NULL)
			.pos != -1)
			link->origin = &rig.hosts[i];
	}
	if (link->origin != NULL)
		proxy_update(link);
}

static void
proxy_readable(struct bufferevent *bev, void *arg)
{
	struct proxy_link *link = arg;
	struct evbuffer *input = bufferevent_get_input(bev);

	if (bev == link->from && link->origin == NULL) {
		proxy_find_origin(link, input);
		if (link->origin == NULL)
			return;
	}
	if (proxy_is_cut(link))
		return;
	bufferevent_write_buffer(bev == link->from ? link->to : link->from,
	    input);
}

static void
proxy_event(struct bufferevent *bev, short events, void *arg)
{
	(void)bev;
	if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		proxy_close(arg);
}

static void
proxy_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	struct proxy_link *link = calloc(1, sizeof(*link));
	struct sockaddr_in sin = sti_loopback(PROXY_PEER_PORT);

	(void)listener;
	(void)addr;
	(void)len;
	link->target = arg;
	evutil_inet_pton(AF_INET, link->target->ip, &sin.sin_addr);
	link->from =
	    bufferevent_socket_new(rig.base, fd, BEV_OPT_CLOSE_ON_FREE);
	link->to = bufferevent_socket_new(rig.base, -1, BEV_OPT_CLOSE_ON_FREE);
	LIST_INSERT_HEAD(&proxy_links, link, entry);
	bufferevent_setcb(link->from, proxy_readable, NULL, proxy_event, link);
	bufferevent_setcb(link->to, proxy_readable, NULL, proxy_event, link);
	if (bufferevent_socket_connect(link->to, (struct sockaddr *)&sin,
		sizeof(sin)) == -1) {
		proxy_close(link);
		return;
	}
	proxy_update(link);
}

void
proxy_start(struct rig_host *host)
{
	struct sockaddr_in sin = sti_loopback(0);
	struct evconnlistener *listener = evconnlistener_new_bind(rig.base,
	    proxy_accept, host, LEV_OPT_CLOSE_ON_FREE, -1,
	    (struct sockaddr *)&sin, sizeof(sin));

	if (listener == NULL)
		rig_end(RIG_NOT_RUN, "the proxy can't listen");
	host->proxy_port = sti_bound_port(evconnlistener_get_fd(listener));
}

static void
proxy_set_cut(struct rig_host *host, bool cut_off)
{
	struct proxy_link *link, *next;

	host->cut_off = cut_off;
	for (link = LIST_FIRST(&proxy_links); link != NULL; link = next) {
		next = LIST_NEXT(link, entry);
		if (link->target != host && link->origin != host)
			continue;
		proxy_update(link);
		if (!cut_off) {
			proxy_readable(link->from, link);
			proxy_readable(link->to, link);
		}
	}
}

void
proxy_cut(struct rig_host *host)
{
	rig_record("%s is cut off from the other hosts", host->name);
	proxy_set_cut(host, true);
}

void
proxy_heal(struct rig_host *host)
{
	rig_record("%s reaches the other hosts again", host->name);
	proxy_set_cut(host, false);
}
