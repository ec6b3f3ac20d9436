#ifndef ADAPTERS_HTTP_INTERNAL_H
#define ADAPTERS_HTTP_INTERNAL_H

#include <evhtp.h>
#include <sys/queue.h>

#include "adapters/http_server.h"
#include "entry/refusals.h"

/* Declarations shared by the modules of the HTTP server. */

#define HTTP_CLIENT_NAME_SIZE 64 /* bytes, with the NUL */

/** enum http_state - state of a connection; selects its timeout. */
enum http_state {
	HTTP_IDLE,     /* between two requests */
	HTTP_READING,  /* a request is being received */
	HTTP_HANDLING, /* the API has not replied */
	HTTP_WRITING,  /* a response is being written */
};

/** struct http_conn - connection of a client. */
struct http_conn {
	struct http_server *server;
	evhtp_connection_t *evconn;
	bufferevent_data_cb parse; /* libevhtp's; parses the input */
	/* Received bytes of headers that are not complete; owned. */
	struct evbuffer *partial_headers;
	bool awaiting_headers;	  /* the next byte belongs to headers */
	evhtp_request_t *pending; /* request in the API, or NULL */
	struct event *resume;	  /* resumes the parser after a reply from it */
	bool in_parser;
	size_t nheaders;
	size_t header_bytes;
	bool refused;		   /* @refusal is sent at the end */
	enum refusal refusal;	   /* valid if @refused */
	enum http_state state;	   /* at the last sweep */
	uint64_t last_progress_ms; /* last change of @state or @progress */
	uint64_t progress;	   /* unsent bytes if writing, else @nreplies */
	uint64_t nreplies;
	char client[HTTP_CLIENT_NAME_SIZE];
	LIST_ENTRY(http_conn) entry;
};

struct http_server {
	struct http_server_params params;
	evhtp_t *htp;
	struct event *sweep;
	bool keep_alive_disabled;
	size_t nconns;
	LIST_HEAD(, http_conn) conns;
};

/** http_now_ms() - monotonic time in ms. */
uint64_t http_now_ms(void);

/**
 * http_refuse() - set the refusal that is sent when the connection ends.
 * Return: always EVHTP_RES_ERROR, with which a hook ends the connection.
 */
evhtp_res http_refuse(struct http_conn *conn, enum refusal refusal);

/** http_on_accept() - set up a new connection; an evhtp_post_accept_cb. */
evhtp_res http_on_accept(evhtp_connection_t *evconn, void *arg);

/** http_on_request() - handle a complete request; an evhtp_callback_cb. */
void http_on_request(evhtp_request_t *req, void *arg);

#endif /* ADAPTERS_HTTP_INTERNAL_H */
