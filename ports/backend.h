#ifndef PORTS_BACKEND_H
#define PORTS_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"

/*
 * Interface to run a task on a backend server.
 *
 * Protocol of backend servers (docs/BACKENDS.md): the request of a task is
 * `POST <path>` with the headers `Berylrail-Task: <job id>/<index>` and
 * Content-Length. A response with status
 * - 2xx and Content-Length: the task ran, and the body is its result;
 * - 503 and `Berylrail-Refused: busy` or `leaving`: the task was not started;
 * - anything else: the task ran and failed.
 * `Connection: close` in any response means that the server is leaving.
 */

/** enum backend_status - what is known about a task after a call. */
enum backend_status {
	BACKEND_OK,	     /* it ran; the result is complete */
	BACKEND_TASK_FAILED, /* it ran and failed */
	BACKEND_REFUSED,     /* refused by the server: it was not started */
	BACKEND_NOT_SENT,    /* nothing was sent: it was not started */
	BACKEND_UNKNOWN,     /* part of the request was sent: it may have run */
};

/** struct backend_server - address of a backend server. */
struct backend_server {
	char name[NAME_SIZE];
	char address[46]; /* IPv4 or IPv6, as text */
	uint16_t port;
};

/** struct backend_request - a task; borrowed until the call has ended. */
struct backend_request {
	const struct backend_server *server;
	const char *path;    /* begins with '/' */
	const char *task_id; /* "<job id>/<index>" */
	const void *body;
	size_t body_len;	  /* bytes */
	uint64_t timeout_us;	  /* until the last byte of the response */
	uint32_t connections_max; /* from this host to the server */
};

/** struct backend_reply - result of a call; borrowed by the callback. */
struct backend_reply {
	enum backend_status status;
	int http_status; /* 0 if no response was received */
	bool leaving;	 /* the server announced that it is leaving */
	const void *body;
	size_t body_len; /* bytes */
	struct err err;	 /* set unless status is BACKEND_OK */
};

typedef void (*backend_done_fn)(void *arg, const struct backend_reply *reply);

struct backend;
struct backend_call;

/** struct backend_ops - operations of a transport to backend servers. */
struct backend_ops {
	/*
	 * Starts a call. @done is called exactly once, after this function
	 * has returned, unless the call is cancelled. Returns NULL only if
	 * memory is exhausted; nothing was sent then.
	 */
	struct backend_call *(*start)(struct backend *backend,
	    const struct backend_request *request, backend_done_fn done,
	    void *arg);
	/* Cancels a call: @done is not called. Returns true if nothing was
	 * sent. */
	bool (*cancel)(struct backend *backend, struct backend_call *call);
};

struct backend {
	const struct backend_ops *ops;
};

#endif /* PORTS_BACKEND_H */
