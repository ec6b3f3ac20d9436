#ifndef ENTRY_JOBS_ROW_WRITER_H
#define ENTRY_JOBS_ROW_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ports/clock.h"
#include "ports/rows.h"

/*
 * The row writer: group commit of the rows of jobs. A row is written only if it
 * still has the last version known to this host. A write whose outcome is
 * unknown is repeated with the same value. If the first write has taken effect,
 * the repetition fails with a conflict, and the row that is reported with the
 * conflict has this value.
 */

struct event_base;
struct row_writer;

/** struct rowwr_listener - callbacks, run from the event loop with @arg. */
struct rowwr_listener {
	/* The values up to sequence number @seq are stored. */
	void (*stored)(void *arg, const char *id, uint64_t seq);
	/* A new job is not written, as its row exists; @value is the row's
	 * value. */
	void (
	    *exists)(void *arg, const char *id, const char *value, size_t len);
	/* A new job has not been stored and will not be. */
	void (*refused)(void *arg, const char *id);
	/* Another host has changed the row; this host stops writing it. */
	void (*lost)(void *arg, const char *id);
	/* Another host owns the partition; writing to it has stopped. */
	void (*fenced)(void *arg);
	void *arg;
};

/**
 * rowwr_create() - create a row writer that owns no partition. Pointers are
 * borrowed, @listener is copied. Return: NULL when out of memory.
 */
struct row_writer *rowwr_create(struct event_base *base, struct clock *clock,
    struct rows *rows, const struct rowwr_listener *listener);

void rowwr_destroy(struct row_writer *writer);

/**
 * rowwr_set_owner() - enable writing to a partition.
 * @index: number of the partition.
 * @key: key of its owner row.
 * @version: rows are written only while the owner row has this version.
 */
void rowwr_set_owner(struct row_writer *writer, uint32_t index, const char *key,
    uint64_t version);

/** rowwr_is_owner() - whether this host owns the partition of job @id. */
bool rowwr_is_owner(const struct row_writer *writer, const char *id);

/**
 * rowwr_expected_delay_ms() - estimate the time until a new job is stored.
 * Return: milliseconds from now; UINT32_MAX while writes to the partition
 * fail; 0 if no other write to it is pending, even after a failure, so that
 * this job's write probes the store.
 */
uint32_t rowwr_expected_delay_ms(const struct row_writer *writer,
    const char *id);

/** rowwr_partition() - the number of a job's partition. */
uint32_t rowwr_partition(const char *id);

/**
 * rowwr_put() - schedule the write of a job's newest value; copied.
 * @len: bytes of @value.
 *
 * Return: its sequence number, which counts the values of the job from 1.
 */
uint64_t rowwr_put(struct row_writer *writer, const char *id, const char *value,
    size_t len);

/** rowwr_remove() - schedule the removal of a job's row; without a callback. */
void rowwr_remove(struct row_writer *writer, const char *id);

/** rowwr_set_version() - add a job whose row was read at @version. */
void rowwr_set_version(struct row_writer *writer, const char *id,
    uint64_t version);

/** rowwr_contains() - whether a job has been added and not dropped. */
bool rowwr_contains(const struct row_writer *writer, const char *id);

/** rowwr_drop() - stop writing a job; its row stays as it is. */
void rowwr_drop(struct row_writer *writer, const char *id);

/** rowwr_reset() - drop all jobs and stop writing to all partitions. */
void rowwr_reset(struct row_writer *writer);

#endif /* ENTRY_JOBS_ROW_WRITER_H */
