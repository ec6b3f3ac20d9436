#ifndef ENTRY_JOBS_JOB_RECORD_H
#define ENTRY_JOBS_JOB_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/job.h"

/* The record of a stored job: the content of its row in the store. */

/** enum jrec_state - the state of a stored job. */
enum jrec_state {
	JREC_ACCEPTED, /* queued or running */
	JREC_COMPLETED,
	JREC_FAILED,
	JREC_CANCELLED,
};

/** struct job_record - the record of a stored job; arrays are owned. */
struct job_record {
	enum jrec_state state;
	char az[NAME_SIZE]; /* availability zone of the cell that runs it */
	uint64_t nonce;	    /* identifies the acceptance */
	uint64_t ended_ms;  /* wall clock; 0 until the job has ended */
	struct job_queue queue;
	/* The queue and the fields below are not stored for an ended job. */
	char *body; /* JSON form of the job's spec */
	size_t body_len;
	uint32_t ntasks; /* over all occurrences; length of the arrays below */
	uint8_t *done;	 /* by task: it has succeeded */
	uint8_t *nfailures;	    /* by task: number of failed runs */
	uint64_t *last_failed_runs; /* by task: id of the last one, or 0 */
};

/**
 * jrec_render() - render a record as the value of a row.
 * @len: set to its length in bytes.
 *
 * Return: the value, to be freed by the caller.
 */
char *jrec_render(const struct job_record *record, size_t *len);

/**
 * jrec_parse() - parse the value of a row.
 * @record: to be released by the caller.
 * @len: bytes of @value.
 *
 * Return: 0, or -1 if the value is malformed.
 */
int jrec_parse(struct job_record *record, const char *value, size_t len);

void jrec_release(struct job_record *record);

#endif /* ENTRY_JOBS_JOB_RECORD_H */
