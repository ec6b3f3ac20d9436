#ifndef PORTS_ADVISOR_H
#define PORTS_ADVISOR_H

#include <stddef.h>
#include <stdint.h>

/*
 * External placement policy, which decides on which backend servers a step may
 * run. It issues a ticket for each permitted server, and an order to start a
 * run on that server must include the ticket.
 */

#define ADVISOR_TICKET_SIZE 64 /* bytes, with the NUL */

/** struct advisor_permit - permission to run the step on a server; borrowed. */
struct advisor_permit {
	const char *server;
	const char *ticket;
};

/**
 * typedef advisor_done_fn - completion of a call.
 * @permits: the permitted ones of the requested servers; NULL if there was no
 *           reply. If there was one, the other servers are denied for the
 *           lifetime of their incarnation.
 * @valid_ms: validity of the tickets.
 */
typedef void (*advisor_done_fn)(void *arg, const struct advisor_permit *permits,
    size_t npermits, uint32_t valid_ms);

struct advisor;

/** struct advisor_ops - operations of a placement policy. */
struct advisor_ops {
	/*
	 * Requests permits for @step (a task's name without its last part) on
	 * @nservers servers, by id. @done is called once, not before this
	 * function returns.
	 */
	void (*request_permits)(struct advisor *advisor, const char *step,
	    const char *const *servers, size_t nservers, advisor_done_fn done,
	    void *arg);
};

struct advisor {
	const struct advisor_ops *ops;
};

#endif /* PORTS_ADVISOR_H */
