#ifndef PORTS_PEER_H
#define PORTS_PEER_H

#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"
#include "entry/api.h"

/*
 * Peers: the other entry hosts. Requests are forwarded whole to the host that
 * issued their ticket; configuration and load travel as notices.
 */

struct peers;

/** struct peers_ops - a way to reach the other entry hosts. */
struct peers_ops {
	/*
	 * Forwards an API request to the host @issuer of availability zone
	 * @az if, and only if, it still is incarnation @incarnation. @done
	 * runs once. On failure the reply is NULL and @err says why:
	 * ERR_NOT_FOUND: that incarnation is gone (the address now belongs
	 * to another one); ERR_UNAVAILABLE: it can't be reached now;
	 * ERR_LOST: the connection broke after sending.
	 */
	void (*forward)(struct peers *peers, const char *az, const char *issuer,
	    uint64_t incarnation, const struct api_request *request,
	    void (*done)(void *arg, const struct api_reply *reply,
		const struct err *err),
	    void *arg);
	/* Tells all peers that configuration @version now exists. */
	void (*notify_config)(struct peers *peers, uint64_t version);
};

struct peers {
	const struct peers_ops *ops;
};

#endif /* PORTS_PEER_H */
