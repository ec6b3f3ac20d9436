#ifndef ADAPTERS_HTTP_INTERNAL_H
#define ADAPTERS_HTTP_INTERNAL_H

#include <evhtp.h>
#include <sys/queue.h>

#include "adapters/http_server.h"
#include "entry/refusals.h"

/* What the HTTP server's modules share: the server and its connections. */

#define HTTP_CLIENT_NAME_SIZE 64

/** enum http_state - what a connection is waiting for. */
enum http_state {
	HTTP_IDLE,
	HTTP_READING,
	HTTP_HANDLING,
	HTTP_WRITING,
};

/** struct http_conn - one client's connection. */
struct http_conn {
	struct http_server *server;
	evhtp_connection_t *evconn;
	evhtp_request_t *pending; /* given to the API and not answered */
	struct event *resume;	  /* after an answer from within the parser */
	bool in_parser;
	size_t nheaders;
	size_t header_bytes;
	bool refused;
	enum refusal refusal;	   /* why the connection ends, if refused */
	enum http_state state;	   /* as the last sweep saw it */
	uint64_t last_progress_ms; /* in that state, or of the last progress */
	uint64_t progress;	   /* of that state */
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

/** http_now_ms() - monotonic time. */
uint64_t http_now_ms(void);

/** http_refuse() - the connection is to end, and why. */
evhtp_res http_refuse(struct http_conn *conn, enum refusal refusal);

/** http_on_accept() - a new connection; an evhtp_post_accept_cb. */
evhtp_res http_on_accept(evhtp_connection_t *evconn, void *arg);

/** http_on_request() - a whole request; an evhtp_callback_cb. */
void http_on_request(evhtp_request_t *req, void *arg);

#endif /* ADAPTERS_HTTP_INTERNAL_H */
