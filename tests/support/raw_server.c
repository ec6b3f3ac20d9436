/*
 * A loopback server that sends given bytes as the response to each request.
 */

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "support/raw_server.h"

static void
raw_write_done(struct bufferevent *bev, void *arg)
{
	(void)arg;
	bufferevent_free(bev);
}

/* Length in bytes of the first request in @text; 0 if it is incomplete. */
static size_t
raw_request_length(const char *text, size_t len)
{
	const char *end, *header;
	size_t body = 0, head;

	end = memmem(text, len, "\r\n\r\n", 4);
	if (end == NULL)
		return 0;
	header = memmem(text, (size_t)(end - text), "Content-Length: ", 16);
	if (header != NULL)
		body = strtoul(header + 16, NULL, 10);
	head = (size_t)(end - text) + 4;
	return len >= head + body ? head + body : 0;
}

static void
raw_read(struct bufferevent *bev, void *arg)
{
	struct raw_server *server = arg;
	struct evbuffer *input = bufferevent_get_input(bev);
	size_t len;

	len = raw_request_length((char *)evbuffer_pullup(input, -1),
	    evbuffer_get_length(input));
	if (len == 0)
		return;
	server->nrequests++;
	memset(server->last_request, 0, sizeof(server->last_request));
	evbuffer_copyout(input, server->last_request,
	    len < sizeof(server->last_request)
		? len
		: sizeof(server->last_request) - 1);
	evbuffer_drain(input, len);
	if (server->response != NULL)
		bufferevent_write(bev, server->response,
		    strlen(server->response));
	if (!server->close_after_response)
		return;
	if (server->response == NULL)
		bufferevent_free(bev);
	else
		bufferevent_setcb(bev, NULL, raw_write_done, NULL, NULL);
}

static void
raw_event(struct bufferevent *bev, short what, void *arg)
{
	(void)arg;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		bufferevent_free(bev);
}

static void
raw_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	struct raw_server *server = arg;
	struct bufferevent *bev;

	(void)listener;
	(void)address;
	(void)len;
	server->nconnections++;
	bev = bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(bev, raw_read, NULL, raw_event, server);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

void
raw_server_start(struct raw_server *server, struct event_base *base)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	memset(server, 0, sizeof(*server));
	server->base = base;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->listener = evconnlistener_new_bind(base, raw_accept, server,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
	    (struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(server->listener),
	    (struct sockaddr *)&address, &len);
	server->port = ntohs(address.sin_port);
}

void
raw_server_stop(struct raw_server *server)
{
	if (server->listener != NULL)
		evconnlistener_free(server->listener);
	server->listener = NULL;
}
