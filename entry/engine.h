#ifndef ENTRY_ENGINE_H
#define ENTRY_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/config.h"
#include "core/submission.h"
#include "ports/backend.h"
#include "ports/clock.h"

/*
 * The engine owns the queue of tasks, the state of the backend servers and the
 * calls in progress. It starts tasks through the backend port, as the dispatch
 * policy decides (core/dispatch.h). Each task is started at most once, except
 * single requests whose job is configured as repeatable.
 */

struct engine;
struct event_base;

/** struct engine_params - parameters of an engine; pointers are borrowed. */
struct engine_params {
	struct event_base *base;
	struct clock *clock;
	struct backend *backend;
	const char *az;		  /* availability zone of this host */
	const char *host;	  /* name of this host */
	const char *policy;	  /* "default" or "naive", see dispatch.h */
	uint64_t seed;		  /* of the random number generator */
	uint32_t queue_tasks_max; /* limit of waiting tasks, all jobs */
	uint64_t queue_bytes_max; /* limit of the size of their bodies */
};

/**
 * engine_create() - create an engine without configuration.
 *
 * Return: NULL if the policy is invalid or memory is exhausted.
 */
struct engine *engine_create(const struct engine_params *params);

/**
 * engine_destroy() - cancel all calls and free the engine; callbacks are not
 * called.
 */
void engine_destroy(struct engine *engine);

/** engine_configure() - apply a configuration; no reference is retained. */
void engine_configure(struct engine *engine, const struct config *config);

/**
 * typedef engine_done_fn - called when a submission has ended.
 * @answer: owned by the callee, which frees it with subm_answer_free().
 */
typedef void (*engine_done_fn)(void *arg, struct answer *answer);

/**
 * engine_submit() - admit a submission and queue its tasks.
 * @subm: the engine becomes its owner, on success only.
 * @done: called once, after this function has returned; on success only.
 *
 * Return: 0, or -1 with @err if the submission is refused: no task of it has
 * been or will be started (OUTCOME_NOT_RUN).
 */
int engine_submit(struct engine *engine, struct submission *subm,
    engine_done_fn done, void *arg, struct err *err);

/**
 * engine_cancel() - cancel a submission by its id.
 *
 * Waiting tasks end with TASK_NOT_RUN. Running tasks are not interrupted, but
 * their results are discarded; the submission ends when the last of them ends.
 *
 * Return: false if there is no such submission.
 */
bool engine_cancel(struct engine *engine, const char *id);

/**
 * engine_progress() - get the numbers of ended and of all tasks of a
 * submission.
 *
 * Return: false if there is no such submission.
 */
bool engine_progress(struct engine *engine, const char *id, size_t *ended,
    size_t *ntasks);

/** engine_active_tasks() - number of tasks that wait or run. */
size_t engine_active_tasks(const struct engine *engine);

/** engine_waiting_tasks() - number of tasks that wait. */
size_t engine_waiting_tasks(const struct engine *engine);

/**
 * engine_set_server_leaving() - record whether a source reports a server as
 * leaving.
 * @source: "list" (the platform's host list) or "peer" (another entry host).
 *          The label "leaving" is read from the configuration instead.
 */
void engine_set_server_leaving(struct engine *engine, const char *server,
    const char *source, bool leaving);

/**
 * struct engine_az_hosts - the live entry hosts of an availability zone, among
 * which the slots of its servers are divided.
 */
struct engine_az_hosts {
	const char *az;
	size_t nhosts;		  /* including this host in its own zone */
	const char *const *hosts; /* names */
};

/**
 * engine_set_az_hosts() - set the live entry hosts of a zone. Zones other than
 * the local one, that of this host, are ignored.
 */
void engine_set_az_hosts(struct engine *engine,
    const struct engine_az_hosts *az_hosts);

/**
 * typedef engine_leaving_fn - called when a server has started or stopped
 * leaving, according to the host list or to the server itself.
 */
typedef void (*engine_leaving_fn)(void *arg, const char *server, bool leaving);

/**
 * engine_set_leaving_callback() - set the function that is called at each of
 * these changes; NULL for none.
 */
void engine_set_leaving_callback(struct engine *engine, engine_leaving_fn fn,
    void *arg);

/**
 * engine_leaving_servers() - servers that are leaving according to the host
 * list or to the servers themselves.
 * @names: array of @size elements; receives borrowed names.
 *
 * Return: number of names stored.
 */
size_t engine_leaving_servers(struct engine *engine, const char **names,
    size_t size);

/**
 * struct engine_loan - task slots on a server that one entry host of the
 * server's availability zone lends to another host while they are idle.
 */
struct engine_loan {
	const char *server; /* borrowed */
	const char *az;	    /* of the server; borrowed */
	uint32_t slots;
	uint64_t lender; /* id chosen by the caller of engine_loan_accept() */
};

/**
 * engine_loan_requests() - servers on which this host needs more slots, because
 * tasks wait and all its slots on them are in use. They are sorted by
 * decreasing speed within each set of servers that match the same selectors.
 * Servers of other zones are included if the expected wait in the local zone is
 * long.
 * @requests: array of @size elements.
 *
 * Return: number of elements stored.
 */
size_t engine_loan_requests(struct engine *engine, struct engine_loan *requests,
    size_t size);

/**
 * engine_loan_grant() - lend idle slots to another host.
 * @borrower: id of that host, for engine_loan_returned().
 * @slots: maximum number of slots.
 * @duration_us: after this time the slots are reclaimed, returned or not.
 *
 * Return: number of slots lent; 0 if this host needs them itself.
 */
uint32_t engine_loan_grant(struct engine *engine, const char *server,
    uint64_t borrower, uint32_t slots, uint64_t duration_us);

/**
 * engine_loan_returned() - take back slots that a borrower returned. Slots of
 * an expired loan have been reclaimed before.
 */
void engine_loan_returned(struct engine *engine, const char *server,
    uint64_t borrower, uint32_t slots);

/**
 * engine_loan_accept() - borrow slots that another host has lent.
 * @granted: server, slots and lender.
 * @duration_us: how long tasks may be started on the slots.
 *
 * Return: false if the slots can't be used; the caller must return them.
 */
bool engine_loan_accept(struct engine *engine,
    const struct engine_loan *granted, uint64_t duration_us);

/**
 * engine_loan_collect_returns() - remove the borrowed slots whose loan has
 * expired and that no task uses. The caller must return them to their lenders.
 * @returns: array of @size elements.
 *
 * Return: number of elements stored.
 */
size_t engine_loan_collect_returns(struct engine *engine,
    struct engine_loan *returns, size_t size);

/**
 * engine_server_loads() - number of tasks that this host runs on each server of
 * the local zone, without idle servers; stored in the member slots of @loads.
 *
 * Return: number of elements stored, at most @size.
 */
size_t engine_server_loads(struct engine *engine, struct engine_loan *loads,
    size_t size);

/**
 * engine_set_others_running() - set the number of tasks that all other hosts
 * run on a server, as last reported.
 */
void engine_set_others_running(struct engine *engine, const char *server,
    uint32_t running);

#endif /* ENTRY_ENGINE_H */
