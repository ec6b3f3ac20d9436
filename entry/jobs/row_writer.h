#ifndef ENTRY_JOBS_ROW_WRITER_H
#define ENTRY_JOBS_ROW_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ports/clock.h"
#include "ports/rows.h"

/*
 * Jobs in the store: group commit of their rows, each under the version that
 * this host has seen. A write without an answer is settled by writing the
 * same value again: its own value is recognised in the conflict.
 */

struct event_base;
struct ledger;

/** struct ledger_listener - every callback gets @arg, from the event loop. */
struct ledger_listener {
	/* The value of @seq, and all before it, are stored. */
	void (*stored)(void *arg, const char *id, uint64_t seq);
	/* A new job's row was there already, with this value. */
	void (
	    *exists)(void *arg, const char *id, const char *value, size_t len);
	/* A new job certainly is not stored and will not be. */
	void (*refused)(void *arg, const char *id);
	/* Somebody else has changed the row: this host has it no more. */
	void (*lost)(void *arg, const char *id);
	/* Somebody else owns the partition now: nothing is written any more. */
	void (*fenced)(void *arg);
	void *arg;
};

/** ledger_create() - all borrowed; NULL when out of memory. */
struct ledger *ledger_create(struct event_base *base, struct clock *clock,
    struct rows *rows, const struct ledger_listener *listener);

void ledger_destroy(struct ledger *ledger);

/**
 * ledger_own() - from now on, write to a partition only while the row @key
 * there, which names its owner, is at @version. Before, nothing is written.
 */
void ledger_own(struct ledger *ledger, uint32_t part, const char *key,
    uint64_t version);

/**
 * ledger_delay_ms() - when a new job is likely to be stored, from now;
 * UINT32_MAX while the store does not take writes. 0 if nothing else is being
 * written to its partition: then this job is the one that finds out.
 */
uint32_t ledger_delay_ms(const struct ledger *ledger, const char *id);

/** ledger_part() - the partition of a job. */
uint32_t ledger_part(const char *id);

/**
 * ledger_put() - store a job's newest value; copied.
 * Return: its number, which rises with each value of the job.
 */
uint64_t ledger_put(struct ledger *ledger, const char *id, const char *value,
    size_t len);

/** ledger_remove() - remove a job's row; nobody is told. */
void ledger_remove(struct ledger *ledger, const char *id);

/** ledger_adopt() - a row was read at @version: it is written from there. */
void ledger_adopt(struct ledger *ledger, const char *id, uint64_t version);

/** ledger_known() - is this job in the ledger? */
bool ledger_known(const struct ledger *ledger, const char *id);

/** ledger_forget() - the job is not written any more. */
void ledger_forget(struct ledger *ledger, const char *id);

/** ledger_forget_all() - this host has no jobs any more. */
void ledger_forget_all(struct ledger *ledger);

#endif /* ENTRY_JOBS_ROW_WRITER_H */
