#ifndef PORTS_WORKER_H
#define PORTS_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/limits.h"

/*
 * Interface to backend servers that run tasks under a lease and a fencing
 * token. A call is an order to start or stop a run, or a hold (see struct
 * worker_hold). A server stores the highest token that it has received and
 * rejects calls with a lower one. It kills its runs when its lease expires, and
 * lists an ended run until the end is acknowledged. An incarnation of a server
 * is one process of it, identified by its start time.
 */

#define WORKER_TASK_NAME_SIZE 64

/** enum worker_verdict - result of a call. */
enum worker_verdict {
	WORKER_OK,
	WORKER_FENCED,		/* the server has received a higher token */
	WORKER_STALE_RUN_ID,	/* it has received this run or a later one */
	WORKER_DEADLINE_PASSED, /* the order arrived after its deadline */
	WORKER_NO_CAPACITY,	/* not enough free resources for the task */
	WORKER_NO_TICKET,	/* the advisor's ticket is missing or expired */
	WORKER_UNAVAILABLE,	/* overloaded or unhealthy; nothing was done */
	WORKER_OTHER_INCARNATION, /* another incarnation uses the address */
	WORKER_REFUSED,	 /* rejected for another reason; nothing was done */
	WORKER_NOT_SENT, /* the requested connection no longer exists */
	WORKER_NO_REPLY, /* no reply; may take effect now or later */
};

/** enum worker_end_state - how a run ended. */
enum worker_end_state {
	WORKER_END_DONE,
	WORKER_END_FAILED,
	WORKER_END_STOPPED,
	WORKER_END_LEASE_EXPIRED,
	/* Any other reason, such as the end of its gang; see job_step.gang. */
	WORKER_END_OTHER,
};

/** struct worker_run - a run in progress. */
struct worker_run {
	const char *task;
	uint64_t run_id;
	const char *newest_checkpoint; /* "" if none */
};

/** struct worker_ended - a run that has ended. */
struct worker_ended {
	uint64_t number; /* counts the ends of an incarnation, from 1 */
	const char *task;
	uint64_t run_id;
	enum worker_end_state end_state;
	const char *newest_checkpoint; /* "" if none */
};

/** struct worker_reply - reply to a call; valid during the callback. */
struct worker_reply {
	enum worker_verdict verdict;
	/* With WORKER_NO_REPLY: the connection was refused. No process listens
	 * at the address, or a firewall refuses for one that runs on. */
	bool refused;
	bool has_clock;
	uint64_t clock_ms; /* clock of the server, at the time of the reply */
	uint64_t incarnation_start_ms; /* of the replying server; 0: unknown */
	uint64_t connection_id;	       /* of the reply; see worker_hold */
	bool has_lists;		       /* true only for a hold */
	const struct worker_run *running;
	size_t nrunning;
	const struct worker_ended *ended;
	size_t nended;
	bool ended_cut; /* there may be further ends, after the listed ones */
};

typedef void (*worker_done_fn)(void *arg, const struct worker_reply *reply);

/** struct worker_start - an order to start a run. */
struct worker_start {
	const char *task; /* name */
	uint64_t run_id;
	const char *spec;
	const char *checkpoint; /* to resume from; NULL: from the beginning */
	const char *ticket;	/* of the advisor; NULL if not required */
	uint64_t deadline_ms;	/* of the lease of the server, on its clock */
	uint64_t token;
	bool retry; /* an earlier attempt had no reply */
};

/**
 * struct worker_hold - a call that renews the lease, acknowledges ended runs
 * and lists runs.
 */
struct worker_hold {
	uint64_t token;
	uint64_t acknowledged; /* ended runs up to this number are deleted */
	/*
	 * The only connection on which the call may be sent; 0: any. An
	 * acknowledgement must not reach an incarnation other than the one
	 * that listed the runs.
	 */
	uint64_t connection_id;
	uint64_t deadline_ms; /* 0: the lease is not changed */
	uint32_t wait_ms;     /* the reply is delayed until a run ends, at most
			       * by this time */
};

/** struct worker_address - address of an incarnation of a backend server. */
struct worker_address {
	char id[NAME_SIZE];
	char address[46];
	uint16_t port;
};

struct worker_link;
struct worker;

/**
 * struct worker_ops - operations of a transport to backend servers. Each @done
 * is called once, after the function has returned.
 */
struct worker_ops {
	/* Opens a link to an incarnation; NULL if memory is exhausted. */
	struct worker_link *(
	    *open)(struct worker *worker, const struct worker_address *address);
	/* Drops all calls of the link and frees it; no @done is called. */
	void (*close)(struct worker_link *link);
	void (*start)(struct worker_link *link,
	    const struct worker_start *order, worker_done_fn done, void *arg);
	void (*stop)(struct worker_link *link, const char *task,
	    uint64_t run_id, uint64_t token, worker_done_fn done, void *arg);
	void (*hold)(struct worker_link *link, const struct worker_hold *hold,
	    worker_done_fn done, void *arg);
};

struct worker {
	const struct worker_ops *ops;
};

#endif /* PORTS_WORKER_H */
