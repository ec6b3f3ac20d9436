#ifndef PORTS_PEER_H
#define PORTS_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"
#include "entry/api.h"

/*
 * Interface to the peers, which are the other entry hosts. A request is
 * forwarded unchanged to the host that issued its ticket. New configuration
 * versions and the load are sent as notifications.
 */

struct peers;

/** struct peers_ops - operations of a transport to the other entry hosts. */
struct peers_ops {
	/*
	 * Forwards an API request to incarnation @incarnation of host @issuer
	 * in availability zone @az, but to no other incarnation. @done is
	 * called once. On failure the reply is NULL and @err has one of these
	 * codes. peers_not_executed() is true for all but the first.
	 * - ERR_LOST: the request was sent and has no reply, for whatever
	 *   reason; whether it was executed is unknown;
	 * - ERR_NOT_FOUND: the incarnation no longer exists; the request was
	 *   not sent, or refused by another incarnation;
	 * - ERR_UNAVAILABLE: the host is unreachable, or it is overloaded and
	 *   refused the request;
	 * - ERR_TOO_LARGE, ERR_NO_MEMORY: the request was not sent.
	 */
	void (*forward)(struct peers *peers, const char *az, const char *issuer,
	    uint64_t incarnation, const struct api_request *request,
	    void (*done)(void *arg, const struct api_reply *reply,
		const struct err *err),
	    void *arg);
	/* Notifies all peers of a new configuration version. */
	void (*notify_config)(struct peers *peers, uint64_t version);
};

struct peers {
	const struct peers_ops *ops;
};

/** peers_not_executed() - whether a failed request was certainly not executed:
 * it was not sent, or its receiver refused it. */
static inline bool
peers_not_executed(const struct err *err)
{
	return err->code == ERR_NOT_FOUND || err->code == ERR_UNAVAILABLE ||
	    err->code == ERR_TOO_LARGE || err->code == ERR_NO_MEMORY;
}

#endif /* PORTS_PEER_H */
