#ifndef CORE_SUSPECT_H
#define CORE_SUSPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "berylrail/limits.h"
#include "core/name_index.h"

/*
 * Tasks under which backend servers were lost. A server that crashes ends all
 * runs on it; one of them may have caused the crash. It can't be told at once
 * which one, nor whether the server has crashed or is only unreachable. So each
 * of its tasks is a suspect: it is started again on a server of its own, which
 * then either crashes, too, or completes the task. See docs/design/suspects.md.
 */

#define SUSP_TASK_NAME_SIZE 64
#define SUSP_LOSSES_MAX 4 /* of one task; the oldest one is dropped */
#define SUSP_TASKS_MAX 512

/** struct susp_loss - the loss of a server under a task. */
struct susp_loss {
	char server[NAME_SIZE];
	uint64_t incarnation_start_ms; /* of the lost one; 0: unknown */
	uint64_t lost_us;
	bool crashed; /* else it is perhaps only unreachable */
	bool refused; /* it refused connections, as if it had crashed */
	bool alone;   /* no other task was on the server */
	bool started; /* the task is known to have been started there */
	/* Of one that did not refuse connections: its end became known so much
	 * later that it may have crashed after the task's lease had expired. */
	bool late;
};

/** struct susp_task - a suspect. */
struct susp_task {
	char name[SUSP_TASK_NAME_SIZE];
	struct susp_loss losses[SUSP_LOSSES_MAX]; /* oldest first */
	size_t nlosses;
	struct nidx_entry by_name;
	TAILQ_ENTRY(susp_task) entry;
};

TAILQ_HEAD(susp_tasks, susp_task);

/** struct suspects - all suspects, by the time of their last loss. */
struct suspects {
	struct susp_tasks tasks;
	struct name_index by_name;
	size_t n;
};

/** enum susp_verdict - what is known of a task. */
enum susp_verdict {
	SUSP_NONE,    /* no server is known to have crashed under it */
	SUSP_ISOLATE, /* start it on a server without other tasks */
	SUSP_WAIT,    /* do not start it until a lost server is back */
	/* It is guilty if the servers that refuse connections have crashed: do
	 * not start it until they are back. */
	SUSP_UNPROVEN,
	SUSP_GUILTY, /* it crashes servers: do not start it again */
};

void susp_init(struct suspects *suspects);

void susp_release(struct suspects *suspects);

/**
 * susp_add_loss() - record the loss of a server under a task. A second record
 * of the same loss adds what is known of it.
 * Return: whether it adds anything.
 */
bool susp_add_loss(struct suspects *suspects, const char *task,
    const struct susp_loss *loss);

/**
 * susp_server_seen() - a server replies. If it is the lost incarnation, it was
 * only unreachable and the loss is forgotten; if it is a later one, the lost
 * incarnation has crashed.
 * Return: whether a suspect is concerned.
 */
bool susp_server_seen(struct suspects *suspects, const char *server,
    uint64_t incarnation_start_ms, uint64_t now_us);

/**
 * susp_server_ended() - another server replies at the address of a lost one,
 * which has crashed.
 * Return: whether this adds anything.
 */
bool susp_server_ended(struct suspects *suspects, const char *server,
    uint64_t now_us);

/** susp_loss_is_late() - whether what is seen of the server now tells nothing
 * of the time of the loss any more. */
bool susp_loss_is_late(const struct susp_loss *loss, uint64_t now_us);

/** susp_loss_ended() - the lost incarnation is known to have ended. */
void susp_loss_ended(struct susp_loss *loss, uint64_t now_us);

/** susp_acquit() - the task has ended without a crash. */
void susp_acquit(struct suspects *suspects, const char *task);

/** susp_expire() - forget tasks whose last loss is too old to matter. */
void susp_expire(struct suspects *suspects, uint64_t now_us);

/** susp_find() - Return: the suspect, or NULL. */
const struct susp_task *susp_find(const struct suspects *suspects,
    const char *task);

/** susp_judge() - whether and how the task may be started. */
enum susp_verdict susp_judge(const struct suspects *suspects, const char *task,
    uint64_t now_us);

#endif /* CORE_SUSPECT_H */
