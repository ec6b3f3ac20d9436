#ifndef TESTS_SUPPORT_WORKER_MODEL_H
#define TESTS_SUPPORT_WORKER_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "ports/worker.h"

/*
 * Backend servers that run tasks under leases and fencing tokens, as a model
 * that time is passed to. It checks what must hold for all servers together:
 * no two runs of a task at once, no start after a done run was acknowledged,
 * room never exceeded, starts only of tasks whose spec is known to the model
 * ("cpu=N ms=N fail=N gang=N": thousandths of a core, work, failed runs first,
 * members of its gang, 0 if it is none). A gang works once all its members run
 * under one number; they end well together, and are broken by any other end.
 */

/** struct wm_run - a run that is under way, or has ended unacknowledged. */
struct wm_run {
	char task[WORKER_TASK_NAME_SIZE];
	uint64_t run_id;
	uint64_t number; /* among the ends; 0 while it runs */
	enum worker_end how;
	uint64_t ends_ms; /* its work is done then */
	bool fails;
	bool stopping; /* gone at stop_ms */
	uint64_t stop_ms;
	uint32_t cpu;
	uint32_t gang; /* members; 0: none */
	uint32_t work_ms;
	uint64_t started_ms;
	uint64_t gang_wait_since_ms; /* since then it waits for the others; 0:
					works */
	char last_checkpoint[24];    /* checkpoint: the work done, in ms */
	uint64_t skipped_ms;	     /* work that the checkpoint spared */
	TAILQ_ENTRY(wm_run) entry;
};

TAILQ_HEAD(wm_runs, wm_run);

/** struct wm_server - one server. */
struct wm_server {
	struct wm_cluster *cluster;
	struct wm_runs running;
	struct wm_runs ended;
	uint64_t token;
	uint64_t next_number;
	uint64_t lease_ms; /* until then, own clock; 0: none */
	int64_t skew_ms;   /* of its clock */
	uint32_t cpu;
	uint32_t used_cpu;
	uint32_t speed; /* thousandths */
	bool hangs;	/* runs make no progress */
	bool failing;	/* all runs fail at once */
	uint64_t starts;
};

/** struct wm_task - what is known of a task in the whole world. */
struct wm_task {
	char task[WORKER_TASK_NAME_SIZE];
	uint32_t running_now;
	uint32_t fails;
	uint32_t starts;
	uint32_t completions;
	bool done_acknowledged; /* a done run was acknowledged */
	LIST_ENTRY(wm_task) entry;
};

/** struct wm_cluster - all servers, and what went wrong. */
struct wm_cluster {
	struct wm_server *servers;
	size_t nservers;
	uint32_t max_lease_ms;
	bool checkpoints; /* runs tell how far they are */
	/* Starts need the ticket "tN" of server N, where @barred lacks bit N.
	 */
	bool tickets;
	uint32_t denied_servers_mask;
	uint32_t violations;
	uint32_t
	    gang_timeouts; /* runs of gangs that ended without the others */
	uint32_t resumed;  /* runs that went on from a checkpoint */
	/* Tasks that begin so may not start after an acknowledged good end. */
	char strict_prefix;
	char first_violation[256]; /* the first one */
	LIST_HEAD(, wm_task) tasks;
};

void wm_init(struct wm_cluster *cluster, size_t nservers, uint32_t cpu);
void wm_release(struct wm_cluster *cluster);

/** wm_advance() - let time pass on a server; true if runs have ended. */
bool wm_advance(struct wm_server *server, uint64_t now_ms);

/** wm_crash() - the server forgets everything; its runs are over. */
void wm_crash(struct wm_server *server);

uint64_t wm_clock_ms(const struct wm_server *server, uint64_t now_ms);

enum worker_verdict wm_start(struct wm_server *server, uint64_t now_ms,
    const struct worker_start *order);
enum worker_verdict wm_stop(struct wm_server *server, uint64_t now_ms,
    const char *task, uint64_t run_id, uint64_t token);
enum worker_verdict wm_hold(struct wm_server *server, uint64_t now_ms,
    const struct worker_hold *hold);

/** wm_list_runs() - fills both lists; freed by the caller with free(). */
void wm_list_runs(const struct wm_server *server, struct worker_run **running,
    size_t *nrunning, struct worker_ended **ended, size_t *nended);

/** wm_task() - what is known of a task, NULL if it was never started. */
const struct wm_task *wm_task(const struct wm_cluster *cluster,
    const char *task);

#endif /* TESTS_SUPPORT_WORKER_MODEL_H */
