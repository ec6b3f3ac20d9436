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
struct row_writer;

/** struct rowwr_listener - every callback gets @arg, from the event loop. */
struct rowwr_listener {
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

/** rowwr_create() - all borrowed; NULL when out of memory. */
struct row_writer *rowwr_create(struct event_base *base, struct clock *clock,
    struct rows *rows, const struct rowwr_listener *listener);

void rowwr_destroy(struct row_writer *writer);

/**
 * rowwr_set_owner() - from now on, write to a partition only while the row @key
 * there, which names its owner, is at @version. Before, nothing is written.
 */
void rowwr_set_owner(struct row_writer *writer, uint32_t part, const char *key,
    uint64_t version);

/**
 * rowwr_expected_delay_ms() - when a new job is likely to be stored, from now;
 * UINT32_MAX while the store does not take writes. 0 if nothing else is being
 * written to its partition: then this job is the one that finds out.
 */
uint32_t rowwr_expected_delay_ms(const struct row_writer *writer,
    const char *id);

/** rowwr_partition() - the partition of a job. */
uint32_t rowwr_partition(const char *id);

/**
 * rowwr_put() - store a job's newest value; copied.
 * Return: its number, which rises with each value of the job.
 */
uint64_t rowwr_put(struct row_writer *writer, const char *id, const char *value,
    size_t len);

/** rowwr_remove() - remove a job's row; nobody is told. */
void rowwr_remove(struct row_writer *writer, const char *id);

/** rowwr_set_version() - a row was read at @version: it is written from there.
 */
void rowwr_set_version(struct row_writer *writer, const char *id,
    uint64_t version);

/** rowwr_contains() - is this job in the writer? */
bool rowwr_contains(const struct row_writer *writer, const char *id);

/** rowwr_drop() - the job is not written any more. */
void rowwr_drop(struct row_writer *writer, const char *id);

/** rowwr_reset() - this host has no jobs any more. */
void rowwr_reset(struct row_writer *writer);

#endif /* ENTRY_JOBS_ROW_WRITER_H */
