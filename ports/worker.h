#ifndef PORTS_WORKER_H
#define PORTS_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/limits.h"

/*
 * Backend servers that run tasks under a lease and a fencing token. A server
 * keeps the highest token it has seen and does nothing for a lower one; what
 * runs on it is killed when its lease ends; ended runs stay listed until they
 * are acknowledged.
 */

#define WORKER_TASK_NAME_SIZE 64

/** enum worker_verdict - what became of a call. */
enum worker_verdict {
	WORKER_OK,
	WORKER_FENCED,	  /* a higher token was seen: this holder is out */
	WORKER_OLD,	  /* the run's number is not high enough */
	WORKER_LATE,	  /* the order's deadline had passed */
	WORKER_NO_ROOM,	  /* the task does not fit */
	WORKER_NO_TICKET, /* of the policy, or one that has run out */
	WORKER_BUSY,	  /* unhealthy; it has done nothing */
	WORKER_GONE,	  /* another incarnation answers there */
	WORKER_REFUSED,	  /* any other refusal; it has done nothing */
	WORKER_NOT_SENT,  /* the way that was asked for is gone */
	WORKER_NO_ANSWER, /* may have been done, or may be done later */
};

/** enum worker_end - how a run ended. */
enum worker_end {
	WORKER_END_DONE,
	WORKER_END_FAILED,
	WORKER_END_STOPPED,
	WORKER_END_LAPSED, /* its lease ended */
	WORKER_END_OTHER,  /* as a member of a gang */
};

/** struct worker_run - a run that is under way. */
struct worker_run {
	const char *task;
	uint64_t run_id;
	const char *saved; /* newest checkpoint, "" if none */
};

/** struct worker_ended - a run that has ended. */
struct worker_ended {
	uint64_t number; /* rises within an incarnation, from 1 */
	const char *task;
	uint64_t run_id;
	enum worker_end how;
	const char *saved; /* newest checkpoint, "" if none */
};

/** struct worker_reply - end of a call; borrowed by the callback. */
struct worker_reply {
	enum worker_verdict verdict;
	bool has_clock;
	uint64_t clock_ms; /* of the server, when it answered */
	uint64_t born_ms; /* start of the incarnation that lists; 0: not said */
	uint64_t
	    connection_id; /* that brought this answer; surely leads to it */
	bool has_lists;	   /* the answer to a hold */
	const struct worker_run *running;
	size_t nrunning;
	const struct worker_ended *ended;
	size_t nended;
};

typedef void (*worker_done_fn)(void *arg, const struct worker_reply *reply);

/** struct worker_start - an order to start a run. */
struct worker_start {
	const char *task; /* its name */
	uint64_t run_id;
	const char *spec;
	const char *checkpoint; /* to go on from; NULL: from the start */
	const char *ticket;	/* of the policy; NULL: none is needed */
	uint64_t deadline_ms;	/* lease for the whole server, its clock */
	uint64_t token;
};

/** struct worker_hold - renew the lease, acknowledge ends, ask for news. */
struct worker_hold {
	uint64_t token;
	uint64_t acknowledged; /* ends up to this number are forgotten */
	/* The way that it must go, or not at all: an acknowledgement may be
	 * heard by no other incarnation than the one that listed. 0: any. */
	uint64_t connection_id;
	uint64_t deadline_ms; /* 0: leaves the lease alone */
	uint32_t wait_ms;     /* the answer waits so long for an end */
};

/** struct worker_address - a backend server's incarnation. */
struct worker_address {
	char id[NAME_SIZE];
	char address[46];
	uint16_t port;
};

struct worker_link;
struct worker;

/** struct worker_ops - a way to reach such servers. @done runs once, later. */
struct worker_ops {
	/* A link to one incarnation, or NULL when out of memory. */
	struct worker_link *(
	    *open)(struct worker *worker, const struct worker_address *address);
	/* Drops all calls of the link: their callbacks do not run. */
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
