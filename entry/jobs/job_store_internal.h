#ifndef ENTRY_JOBS_JOB_STORE_INTERNAL_H
#define ENTRY_JOBS_JOB_STORE_INTERNAL_H

#include <event2/event.h>
#include <sys/queue.h>

#include "entry/jobs/job_record.h"
#include "entry/jobs/job_store.h"
#include "entry/jobs/row_writer.h"

/*
 * Shared by the files of the job store: job_store.c (acceptance, ends of runs
 * and of jobs), job_store_schedule.c (submission to the scheduler) and
 * job_store_load.c (reading back from the store).
 */

#define JSTORE_BUCKETS 1024
/* Reads of the owner row in flight. */
#define JSTORE_OWNER_READS_MAX 16

/*
 * Prefix of the key of the owner row, which each partition has for a cell: it
 * holds the fencing token of the lease holder that owns the cell's jobs. No
 * job id has this prefix.
 */
#define JSTORE_OWNER_KEY_PREFIX "owner-"

/*
 * Sequence number of a waiter for the end of a job that has not ended; greater
 * than that of any value.
 */
#define JSTORE_SEQ_JOB_END (UINT64_MAX - 1)

/* A pending callback: called when a value of a job's row is stored. */
struct jstore_waiter {
	struct jstore_job *job;
	struct event *timer; /* limits the wait for a job's end, or NULL */
	uint64_t seq;	     /* of the value, or JSTORE_SEQ_JOB_END */
	jstore_done_fn done; /* used if state_done is NULL */
	jstore_state_fn state_done; /* receives the state of the job */
	void *arg;
	TAILQ_ENTRY(jstore_waiter) entry;
};

/* One execution of all steps of a job; a job may have several, at intervals. */
struct jstore_occurrence {
	struct jstore_job *job;
	bool submitted; /* to the scheduler, and not ended */
	bool ended;	/* all its tasks have succeeded */
};

struct jstore_job {
	struct job_store *store;
	char id[JOB_ID_LEN + 1];
	struct job_record record;
	bool stored;	/* the job's row is known to exist */
	bool read_back; /* a former lease holder may have started it */
	/* Sequence numbers of values of the row. */
	uint64_t ended_seq;  /* value that has the end; 0: not ended here */
	uint64_t stored_seq; /* newest value that is stored */
	uint64_t newest_seq; /* newest value passed to the row writer */
	struct jstore_occurrence *occurrences; /* NULL until it is started */
	uint32_t noccurrences;
	uint32_t occurrence_ntasks; /* tasks of each occurrence */
	uint32_t nsubmitted;	    /* occurrences submitted, in order */
	uint32_t nended;	    /* occurrences completed */
	bool scheduled;		    /* occurrences are left to submit */
	uint64_t start_at_ms;	    /* first occurrence, wall clock */
	uint32_t interval_ms;
	TAILQ_HEAD(, jstore_waiter) waiters;
	TAILQ_ENTRY(jstore_job) entry;
	TAILQ_ENTRY(jstore_job) due_entry; /* while scheduled */
	LIST_ENTRY(jstore_job) hash_entry;
};

/* Reading of one partition by a new lease holder. */
struct jstore_load {
	struct job_store *store;
	uint64_t generation;
	uint32_t part;
	uint64_t owner_version; /* of the owner row with this host's token */
	uint64_t claimed_us;	/* when the claim was sent */
	char start_key[JOB_ID_LEN + 2];
	bool in_flight; /* a call to the store has not ended */
	struct event *timer;
};

/* A read of the owner row. */
struct jstore_owner_read {
	struct job_store *store;
	bool in_flight;
	uint64_t sent_us;
	jstore_owner_fn done;
	void *arg;
};

struct job_store {
	struct event_base *base;
	struct clock *clock;
	struct rows *rows;
	struct scheduler *sched;
	struct row_writer *writer;
	char az[NAME_SIZE];
	char owner_key[NAME_SIZE + sizeof(JSTORE_OWNER_KEY_PREFIX)];
	bool active;
	uint64_t token;
	jstore_fenced_fn fenced;
	void *fenced_arg;
	struct jstore_owner_read owner_reads[JSTORE_OWNER_READS_MAX];
	uint64_t generation;	 /* counts the calls of jstore_activate() */
	uint32_t parts_unloaded; /* partitions that are not read back */
	struct jstore_load loads[ROWS_JOB_PARTS];
	struct event *sweep_timer;
	struct event *schedule_timer;
	TAILQ_HEAD(, jstore_job) due; /* scheduled jobs */
	size_t njobs;
	TAILQ_HEAD(, jstore_job) jobs;
	LIST_HEAD(, jstore_job) buckets[JSTORE_BUCKETS];
};

/* job_store.c */
struct jstore_job *jstore_find_job(const struct job_store *store,
    const char *id);
struct jstore_job *jstore_add_job(struct job_store *store, const char *id);
/* The job's row existed already: completes the waiters and frees the job. */
void jstore_finish_existing(struct jstore_job *job);
/*
 * Ends a job, unless it has ended already. Return: the sequence number of the
 * value that has the end.
 */
uint64_t jstore_end_job(struct jstore_job *job, enum jrec_state state);

/* job_store_schedule.c */
/* Starts a job from its record: submits each occurrence when it is due. */
void jstore_start_job(struct jstore_job *job);
/* Cancels a job's occurrences in the scheduler. */
void jstore_stop_job(struct jstore_job *job);
/* Timer callback: submits the occurrences that are due; @arg: job store. */
void jstore_submit_due(evutil_socket_t fd, short what, void *arg);

/* job_store_load.c */
/* The partition whose owner row decides who owns the cell. */
#define JSTORE_OWNER_PART 0
/* Makes this host the owner of the cell's jobs in a partition and reads them
 * back. */
void jstore_load_part(struct jstore_load *load);

#endif /* ENTRY_JOBS_JOB_STORE_INTERNAL_H */
