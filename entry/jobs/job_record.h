#ifndef ENTRY_JOBS_JOB_RECORD_H
#define ENTRY_JOBS_JOB_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/job.h"

/* A stored job as its row holds it. */

/** enum jrec_state - how far a stored job is. */
enum jrec_state {
	JREC_ACCEPTED, /* waiting or running */
	JREC_COMPLETED,
	JREC_FAILED,
	JREC_CANCELLED,
};

/** struct job_record - a stored job. */
struct job_record {
	enum jrec_state state;
	char az[NAME_SIZE]; /* whose holder runs it */
	uint64_t nonce;	    /* of its acceptance */
	uint64_t ended_ms;  /* wall clock, 0 while it is accepted */
	struct job_queue queue;
	/* Of an ended job nothing below is stored. */
	char *body; /* the job's JSON form; owned */
	size_t body_len;
	uint32_t ntasks;	    /* of the arrays: those of all its times */
	uint8_t *done;		    /* by task: it has ended well; owned */
	uint8_t *nfailures;	    /* by task: runs that failed; owned */
	uint64_t *last_failed_runs; /* by task: the last of them, or 0; owned */
};

/** jrec_render() - the row's value; freed by the caller. */
char *jrec_render(const struct job_record *record, size_t *len);

/** jrec_parse() - 0, or -1 if it is malformed; released by the caller. */
int jrec_parse(struct job_record *record, const char *value, size_t len);

void jrec_release(struct job_record *record);

#endif /* ENTRY_JOBS_JOB_RECORD_H */
