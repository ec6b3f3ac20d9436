#ifndef PORTS_BACKEND_H
#define PORTS_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"

/*
 * Starting one task on one backend server.
 *
 * Contract with backend servers (docs/BACKENDS.md): a task is
 * `POST <path>` with the headers `Berylrail-Task: <job id>/<index>` and a
 * Content-Length. 2xx with Content-Length: it ran, the body is its result.
 * 503 with `Berylrail-Refused: busy` or `leaving`: it certainly did not start.
 * Any other status: it ran and failed. `Connection: close` on any answer says
 * that the server is leaving.
 */

/** enum backend_status - what is known of a task after a call. */
enum backend_status {
	BACKEND_OK,	     /* it ran; the whole result is here */
	BACKEND_TASK_FAILED, /* it ran and failed */
	BACKEND_REFUSED,     /* refused by contract: it did not start */
	BACKEND_NOT_SENT,    /* no byte left this host: it did not start */
	BACKEND_UNKNOWN,     /* a byte may have been taken */
};

/** struct backend_server - address of a backend server. */
struct backend_server {
	char name[NAME_SIZE];
	char address[46]; /* IPv4 or IPv6 in text */
	uint16_t port;
};

/** struct backend_request - one task; pointers are borrowed until done. */
struct backend_request {
	const struct backend_server *server;
	const char *path;    /* begins with '/' */
	const char *task_id; /* "<job id>/<index>" */
	const void *body;
	size_t body_len;     /* bytes */
	uint64_t timeout_us; /* from start to the last byte of the answer */
	uint32_t connections_max; /* of this host to this server */
};

/** struct backend_reply - result of a call; borrowed by the callback. */
struct backend_reply {
	enum backend_status status;
	int http_status; /* 0 if none was read */
	bool leaving;	 /* the server said that it is leaving */
	const void *body;
	size_t body_len; /* bytes */
	struct err err;	 /* set unless status is BACKEND_OK */
};

typedef void (*backend_done_fn)(void *arg, const struct backend_reply *reply);

struct backend;
struct backend_call;

/** struct backend_ops - a way to reach backend servers. */
struct backend_ops {
	/*
	 * Starts a call. @done runs exactly once, later, unless the call is
	 * cancelled. Returns NULL only when out of memory; nothing was sent.
	 */
	struct backend_call *(*start)(struct backend *backend,
	    const struct backend_request *request, backend_done_fn done,
	    void *arg);
	/* Gives up: @done will not run. True if no byte had left yet. */
	bool (*cancel)(struct backend *backend, struct backend_call *call);
};

struct backend {
	const struct backend_ops *ops;
};

#endif /* PORTS_BACKEND_H */
