#ifndef ENTRY_JOBS_JOB_RECORD_H
#define ENTRY_JOBS_JOB_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/job.h"

/* A stored job as its row holds it. */

/** enum record_state - how far a stored job is. */
enum record_state {
	RECORD_ACCEPTED, /* waiting or running */
	RECORD_COMPLETED,
	RECORD_FAILED,
	RECORD_CANCELLED,
};

/** struct record - a stored job. */
struct record {
	enum record_state state;
	char az[NAME_SIZE]; /* whose holder runs it */
	uint64_t nonce;	    /* of its acceptance */
	uint64_t ended_ms;  /* wall clock, 0 while it is accepted */
	struct job_queue queue;
	/* Of an ended job nothing below is stored. */
	char *body; /* the job's JSON form; owned */
	size_t body_len;
	uint32_t ntasks;       /* of the arrays: those of all its times */
	uint8_t *done;	       /* by task: it has ended well; owned */
	uint8_t *fails;	       /* by task: runs that failed; owned */
	uint64_t *failed_runs; /* by task: the last of them, or 0; owned */
};

/** record_render() - the row's value; freed by the caller. */
char *record_render(const struct record *record, size_t *len);

/** record_parse() - 0, or -1 if it is malformed; released by the caller. */
int record_parse(struct record *record, const char *value, size_t len);

void record_release(struct record *record);

#endif /* ENTRY_JOBS_JOB_RECORD_H */
