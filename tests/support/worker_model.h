#ifndef TESTS_SUPPORT_WORKER_MODEL_H
#define TESTS_SUPPORT_WORKER_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "ports/worker.h"

/*
 * Model of backend servers that run tasks under leases and fencing tokens. The
 * caller passes the time. The model checks these invariants across all servers:
 * a task never has two runs at the same time, no task is started after the
 * acknowledged end of a completed run (see strict_prefix), a task that has
 * crashed three servers is not started three times more, and every spec is
 * valid. A start that would overcommit the CPU of a server is refused, unless
 * the server does not guard it.
 *
 * A spec has the form "cpu=N ms=N fail=N gang=N crash=NAME": thousandths of a
 * core; run time at the nominal speed; number of runs that fail before one
 * completes; number of members of the gang, 0 if the task is in none. A gang
 * makes progress while all its members run with the same run id. They complete
 * together; any other end of a member also ends the runs of the others. The
 * task whose name ends with NAME crashes each server that starts it.
 *
 * A server is an address, at which one process after the other runs (see
 * wm_restart()). The id of the first process of server N is "sN".
 */

/** enum wm_restart_kind - what a process keeps of the one before it. */
enum wm_restart_kind {
	WM_RESTART_CLOCK_KEPT, /* its id and its clock */
	WM_RESTART_SAME_ID,    /* its id; the clock starts at 0 */
	WM_RESTART_NEW_ID,     /* nothing; its id is "sN-2", "sN-3" ... */
};

/** enum wm_violation_kind - the invariant that was violated. */
enum wm_violation_kind {
	WM_KIND_TWO_RUNS, /* a start beside a run of the same task */
	WM_KIND_STARTS_AFTER_CRASHES,
	WM_KIND_START_AFTER_END,
	WM_KIND_INVALID_SPEC,
};
#define WM_KINDS 4

/** struct wm_violations - those of one kind. */
struct wm_violations {
	uint32_t n;
	char first[256];
};

/** struct wm_run - a run, or the record of an ended one. */
struct wm_run {
	char task[WORKER_TASK_NAME_SIZE];
	uint64_t run_id;
	uint64_t number; /* sequence number of the end; 0: not ended, or
			    acknowledged */
	enum worker_end_state end_state;
	bool lease_lapsed; /* since its end */
	uint64_t ends_ms;  /* when its work completes */
	bool will_fail;
	bool stopping; /* ends at stop_ms */
	uint64_t stop_ms;
	uint32_t cpu;
	uint32_t gang; /* members; 0: none */
	uint32_t work_ms;
	uint64_t started_ms;
	uint64_t gang_wait_since_ms; /* start of the wait for other members;
					0: it makes progress */
	uint64_t crash_ms;	     /* the server crashes then; 0: never */
	char last_checkpoint[24];    /* the work done, in ms */
	uint64_t skipped_ms; /* work before the checkpoint it resumed from */
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
	uint64_t lease_end_ms;	 /* expiry on the server's clock; 0: no lease */
	int64_t skew_ms;	 /* of the server's clock */
	uint64_t clock_zero_ms;	 /* when the clock without skew was at 0 */
	uint32_t clock_permille; /* speed of the clock */
	uint32_t cpu;		 /* thousandths of a core */
	uint32_t used_cpu;	 /* thousandths of a core */
	uint32_t speed;		 /* thousandths of the nominal speed */
	bool hangs;		 /* runs make no progress */
	bool failing;		 /* all runs fail immediately */
	bool guards_cpu;	 /* starts that overcommit it are refused */
	uint64_t started_ms;	 /* start time that the process reports */
	uint32_t process;	 /* number of the process, from 1 */
	uint32_t id_suffix;	 /* of the process; 0: none */
	uint64_t down_until_ms;	 /* crashed; 0: up */
	uint32_t overcommits;	 /* starts that have overcommitted the CPU */
	uint64_t starts;
	uint64_t holds;
};

/** struct wm_task - statistics of a task across all servers. */
struct wm_task {
	char task[WORKER_TASK_NAME_SIZE];
	uint32_t running_now;
	uint32_t failures;
	uint32_t starts;
	uint32_t completions;
	uint32_t crashes;	       /* of servers, by this task */
	uint32_t starts_after_crashes; /* after three of them */
	bool done_acknowledged;
	LIST_ENTRY(wm_task) entry;
};

/** struct wm_cluster - all servers, and violations of the invariants. */
struct wm_cluster {
	struct wm_server *servers;
	size_t nservers;
	uint32_t max_lease_ms;
	/* Of servers that a task crashes. */
	uint32_t down_ms;
	enum wm_restart_kind restart_kind;
	bool checkpoints; /* runs report checkpoints */
	/* Starts on server N need the ticket "tN", and are refused if bit N of
	 * denied_servers_mask is set. */
	bool tickets;
	uint32_t denied_servers_mask;
	uint32_t violations;
	struct wm_violations by_kind[WM_KINDS];
	/* Called with each change of a run and each violation; may be NULL. */
	void (*trace)(const char *event);
	uint32_t gang_timeouts; /* runs of incomplete gangs that timed out */
	uint32_t resumed;	/* runs started from a checkpoint */
	/* Tasks whose name begins with this character may not start after the
	 * end of a completed run was acknowledged; NUL: no check. */
	char strict_prefix;
	/* An end counts only if it was acknowledged under the same lease. */
	bool strict_in_lease;
	char first_violation[256];
	LIST_HEAD(, wm_task) tasks;
};

/** wm_violation_name() - "two-runs" etc. */
const char *wm_violation_name(enum wm_violation_kind kind);

void wm_init(struct wm_cluster *cluster, size_t nservers, uint32_t cpu);
void wm_release(struct wm_cluster *cluster);

/** wm_advance() - advance a server to @now_ms; true if runs have ended. */
bool wm_advance(struct wm_server *server, uint64_t now_ms);

/** wm_crash() - end all runs of the server and clear its state. */
void wm_crash(struct wm_server *server);

/**
 * wm_restart() - crash the server; the next process at its address runs after
 * @down_ms.
 */
void wm_restart(struct wm_server *server, uint64_t now_ms, uint32_t down_ms,
    enum wm_restart_kind kind);

/** wm_id() - write the id of the process to @id, of NAME_SIZE. */
void wm_id(const struct wm_server *server, char *id);

/** wm_set_clock_speed() - the clock goes on at @permille of the usual speed. */
void wm_set_clock_speed(struct wm_server *server, uint64_t now_ms,
    uint32_t permille);

/** wm_is_down() - whether the server has crashed and is not back yet. */
bool wm_is_down(const struct wm_server *server, uint64_t now_ms);

uint64_t wm_clock_ms(const struct wm_server *server, uint64_t now_ms);

enum worker_verdict wm_start(struct wm_server *server, uint64_t now_ms,
    const struct worker_start *order);
enum worker_verdict wm_stop(struct wm_server *server, uint64_t now_ms,
    const char *task, uint64_t run_id, uint64_t token);
enum worker_verdict wm_hold(struct wm_server *server, uint64_t now_ms,
    const struct worker_hold *hold);

/** wm_list_runs() - fill both lists; the caller frees them with free(). */
void wm_list_runs(const struct wm_server *server, struct worker_run **running,
    size_t *nrunning, struct worker_ended **ended, size_t *nended);

/** wm_task() - statistics of a task, NULL if it was never started. */
const struct wm_task *wm_task(const struct wm_cluster *cluster,
    const char *task);

#endif /* TESTS_SUPPORT_WORKER_MODEL_H */
