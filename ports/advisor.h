#ifndef PORTS_ADVISOR_H
#define PORTS_ADVISOR_H

#include <stddef.h>
#include <stdint.h>

/*
 * An outside policy that says on which backend servers a step may run. It
 * hands out a ticket for each of them, which a start there must carry.
 */

#define ADVISOR_TICKET_SIZE 64 /* bytes, with the NUL */

/** struct advisor_permit - a server on which the step may run; borrowed. */
struct advisor_permit {
	const char *server;
	const char *ticket;
};

/**
 * typedef advisor_done_fn - end of a call.
 * @permits: of the servers asked about; the others are not allowed, and never
 *           will be in this incarnation. NULL if there was no answer.
 * @valid_ms: for how long the tickets hold.
 */
typedef void (*advisor_done_fn)(void *arg, const struct advisor_permit *permits,
    size_t npermits, uint32_t valid_ms);

struct advisor;

/** struct advisor_ops - a policy. */
struct advisor_ops {
	/* Asks about @step (a task's name without its last part) on @nservers
	 * servers, by id. @done runs once, later. */
	void (*request_permits)(struct advisor *advisor, const char *step,
	    const char *const *servers, size_t nservers, advisor_done_fn done,
	    void *arg);
};

struct advisor {
	const struct advisor_ops *ops;
};

#endif /* PORTS_ADVISOR_H */
