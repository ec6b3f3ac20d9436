#ifndef ENTRY_JOBS_JOB_STORE_INTERNAL_H
#define ENTRY_JOBS_JOB_STORE_INTERNAL_H

#include <event2/event.h>
#include <sys/queue.h>

#include "entry/jobs/job_record.h"
#include "entry/jobs/job_store.h"
#include "entry/jobs/row_writer.h"

/*
 * Shared by the files of the store: store.c (accepting, progress, ends),
 * keeper_times.c (running),
 * keeper_load.c (reading back).
 */

#define JSTORE_BUCKETS 1024

/* Of the key of the row that names the owner of a cell's jobs, one in each
 * partition. No job's id begins so. */
#define JSTORE_OWNER_KEY_PREFIX "owner-"

#define JSTORE_SEQ_JOB_END (UINT64_MAX - 1)

/* Somebody who waits for a value of a job to be stored. */
struct jstore_waiter {
	struct jstore_job *job;
	struct event *timer; /* of one who waits only so long, or NULL */
	uint64_t seq; /* JSTORE_SEQ_JOB_END: of the value with the job's end */
	jstore_done_fn done;	    /* or */
	jstore_state_fn state_done; /* with the job's state */
	void *arg;
	TAILQ_ENTRY(jstore_waiter) entry;
};

/* One of the times that a job's steps run. */
struct jstore_occurrence {
	struct jstore_job *job;
	bool submitted; /* the holder has it */
	bool ended;
};

struct jstore_job {
	struct job_store *store;
	char id[JOB_ID_LEN + 1];
	struct job_record record;
	bool stored;	    /* its row is known to be there */
	uint64_t ended_seq; /* the value that says so; 0: not ended here */
	uint64_t stored_seq;
	uint64_t newest_seq; /* given to the writer last */
	struct jstore_occurrence
	    *occurrences; /* of noccurrences; NULL until it is started */
	uint32_t noccurrences;
	uint32_t occurrence_ntasks; /* tasks of each */
	uint32_t nsubmitted;	    /* of them, in order */
	uint32_t nended;
	bool scheduled;	      /* times are to be submitted yet */
	uint64_t start_at_ms; /* wall clock */
	uint32_t interval_ms;
	TAILQ_HEAD(, jstore_waiter) waiters;
	TAILQ_ENTRY(jstore_job) entry;
	TAILQ_ENTRY(jstore_job) due_entry; /* while times are to be submitted */
	LIST_ENTRY(jstore_job) hash_entry;
};

struct jstore_load {
	struct job_store *store;
	uint64_t generation;
	uint32_t part;
	uint64_t owner_version; /* of the row that names this host */
	char start_key[JOB_ID_LEN + 2];
	bool in_flight;
	struct event *timer;
};

struct job_store {
	struct event_base *base;
	struct clock *clock;
	struct rows *rows;
	struct holder *holder;
	struct row_writer *writer;
	char az[NAME_SIZE];
	char owner_key[NAME_SIZE + sizeof(JSTORE_OWNER_KEY_PREFIX)];
	bool active;
	uint64_t token;
	jstore_fenced_fn fenced;
	void *fenced_arg;
	uint64_t generation;	 /* of loads */
	uint32_t parts_unloaded; /* to be loaded */
	struct jstore_load loads[ROWS_JOB_PARTS];
	struct event *sweep_timer;
	struct event *schedule_timer;
	TAILQ_HEAD(, jstore_job) due;
	size_t njobs;
	TAILQ_HEAD(, jstore_job) jobs;
	LIST_HEAD(, jstore_job) buckets[JSTORE_BUCKETS];
};

/* store.c */
struct jstore_job *jstore_find_job(const struct job_store *store,
    const char *id);
struct jstore_job *jstore_add_job(struct job_store *store, const char *id);
/* Its row was there already: its callers are told, and it is forgotten. */
void jstore_already_accepted(struct jstore_job *job);
/* Ends a job. Return: the number of the value that says so. */
uint64_t jstore_end_job(struct jstore_job *job, enum jrec_state state);

/* keeper_times.c */
/* Runs a job from its stored form, each time of it when it is due. */
void jstore_start_job(struct jstore_job *job, bool resubmitted);
/* Takes a job from the holder. */
void jstore_stop_job(struct jstore_job *job);
/* Submits what is due; an event's callback with the store. */
void jstore_submit_due(evutil_socket_t fd, short what, void *arg);

/* keeper_load.c */
/* Makes this host the owner of a partition's jobs, then reads them. */
void jstore_load_part(struct jstore_load *load);

#endif /* ENTRY_JOBS_JOB_STORE_INTERNAL_H */
