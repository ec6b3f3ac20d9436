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
 * The engine owns the queue of tasks, the backend servers' state and the
 * running calls. It asks core/dispatch what to start next, and starts it
 * through the backend port. It starts every task at most once, except single
 * requests whose job says that they may be repeated.
 */

struct engine;
struct event_base;

/** struct engine_params - what an engine is made of; all borrowed. */
struct engine_params {
	struct event_base *base;
	struct clock *clock;
	struct backend *backend;
	const char *az;		  /* own availability zone */
	const char *host;	  /* own name */
	const char *policy;	  /* "default" or "naive", see dispatch.h */
	uint64_t seed;		  /* of random choices */
	uint32_t queue_tasks_max; /* tasks waiting, all jobs */
	uint64_t queue_bytes_max; /* bodies waiting, all jobs */
};

/** engine_create() - an engine without configuration, or NULL. */
struct engine *engine_create(const struct engine_params *params);

/** engine_destroy() - cancel everything and free; callbacks do not run. */
void engine_destroy(struct engine *engine);

/** engine_configure() - apply a configuration; it is borrowed for the call. */
void engine_configure(struct engine *engine, const struct config *config);

/**
 * typedef engine_done_fn - a submission has ended.
 * @answer: owned by the callee, to be freed with subm_answer_free().
 */
typedef void (*engine_done_fn)(void *arg, struct answer *answer);

/**
 * engine_submit() - admit a submission and queue its tasks.
 * @subm: ownership passes to the engine on success only.
 * @done: runs once, never from within this call, unless it fails.
 *
 * Return: 0, or -1 with @err: the submission was refused, no task was or will
 * be started (NOT_RUN is true).
 */
int engine_submit(struct engine *engine, struct submission *subm,
    engine_done_fn done, void *arg, struct err *err);

/**
 * engine_cancel() - cancel a submission by its id.
 *
 * Waiting tasks end as NOT_RUN; results of running ones are dropped when they
 * come, and the submission ends then at the latest. Return: false if unknown.
 */
bool engine_cancel(struct engine *engine, const char *id);

/** engine_progress() - tasks ended of a submission; false if unknown. */
bool engine_progress(struct engine *engine, const char *id, size_t *ended,
    size_t *ntasks);

/** engine_active_tasks() - number of tasks waiting or running. */
size_t engine_active_tasks(const struct engine *engine);

/** engine_waiting_tasks() - number of tasks waiting. */
size_t engine_waiting_tasks(const struct engine *engine);

/**
 * engine_set_server_leaving() - a source has told that a server is leaving, or
 * no longer is. @source: "list", "peer"; the label comes by configuration.
 */
void engine_set_server_leaving(struct engine *engine, const char *server,
    const char *source, bool leaving);

/**
 * struct engine_az_hosts - how many entry hosts share the servers of one
 * availability zone, and the rank of this host among them.
 */
struct engine_az_hosts {
	const char *az;
	size_t nhosts;		  /* live entry hosts, this one included */
	const char *const *hosts; /* their names */
};

/** engine_set_az_hosts() - the set of live entry hosts has changed. */
void engine_set_az_hosts(struct engine *engine,
    const struct engine_az_hosts *az_hosts);

/** typedef engine_leaving_fn - a server began or ceased to leave, as this host
 * knows first hand (from the list or the server itself). */
typedef void (*engine_leaving_fn)(void *arg, const char *server, bool leaving);

/** engine_set_leaving_callback() - who is told of it, at once; NULL for nobody.
 */
void engine_set_leaving_callback(struct engine *engine, engine_leaving_fn fn,
    void *arg);

/**
 * engine_leaving_servers() - servers that this host knows first hand (from the
 * list or the servers themselves) to be leaving; names are borrowed.
 */
size_t engine_leaving_servers(struct engine *engine, const char **names,
    size_t size);

/**
 * struct engine_loan - task slots on a server that entry hosts lend each
 * other. Hosts of the server's availability zone lend what they leave idle.
 */
struct engine_loan {
	const char *server; /* borrowed */
	const char *az;	    /* the server's; borrowed */
	uint32_t slots;
	uint64_t lender; /* names the lender for the caller, see _take() */
};

/**
 * engine_loan_requests() - servers that this host could use more slots of, as
 * tasks wait and its own are granted, fastest first. Servers of other zones are
 * among them if the wait here would be long. Return: number of entries, at
 * most @size.
 */
size_t engine_loan_requests(struct engine *engine, struct engine_loan *requests,
    size_t size);

/**
 * engine_loan_grant() - lend idle slots to another host.
 * @slots: at most so many.
 * @duration_us: they are this host's again after that, if they are not
 * returned.
 *
 * Return: number lent, 0 if this host needs them itself.
 */
uint32_t engine_loan_grant(struct engine *engine, const char *server,
    uint32_t slots, uint64_t duration_us);

/** engine_loan_returned() - the borrower has given slots back. */
void engine_loan_returned(struct engine *engine, const char *server,
    uint32_t slots);

/**
 * engine_loan_accept() - another host has lent slots.
 * @granted: server, slots and lender.
 * @duration_us: tasks may be started on them for so long.
 *
 * Return: false if this host can't use them; they are to be given back.
 */
bool engine_loan_accept(struct engine *engine,
    const struct engine_loan *granted, uint64_t duration_us);

/**
 * engine_loan_collect_returns() - slots that no task uses any more and whose
 * time is over: the caller gives them back to their lenders. Return: number of
 * entries.
 */
size_t engine_loan_collect_returns(struct engine *engine,
    struct engine_loan *returns, size_t size);

/** engine_server_loads() - tasks running on each server of the own zone. */
size_t engine_server_loads(struct engine *engine, struct engine_loan *loads,
    size_t size);

/** engine_set_others_running() - tasks of all other hosts, as last heard. */
void engine_set_others_running(struct engine *engine, const char *server,
    uint32_t running);

#endif /* ENTRY_ENGINE_H */
