#ifndef ENTRY_JOBS_JOB_STORE_INTERNAL_H
#define ENTRY_JOBS_JOB_STORE_INTERNAL_H

#include <event2/event.h>
#include <sys/queue.h>

#include "entry/jobs/job_record.h"
#include "entry/jobs/job_store.h"
#include "entry/jobs/row_writer.h"

/*
 * Shared by the files of the keeper: keeper.c (accepting, progress, ends),
 * keeper_times.c (running),
 * keeper_load.c (reading back).
 */

#define KPR_BUCKETS 1024

/* Of the key of the row that names the owner of a cell's jobs, one in each
 * partition. No job's id begins so. */
#define KPR_OWNER_PREFIX "owner-"

#define KPR_SEQ_END (UINT64_MAX - 1)

/* Somebody who waits for a value of a job to be stored. */
struct kpr_waiter {
	struct kpr_job *job;
	struct event *timer; /* of one who waits only so long, or NULL */
	uint64_t seq;	     /* KPR_SEQ_END: of the value with the job's end */
	keeper_done_fn done; /* or */
	keeper_state_fn state; /* with the job's state */
	void *arg;
	TAILQ_ENTRY(kpr_waiter) entry;
};

/* One of the times that a job's steps run. */
struct kpr_time {
	struct kpr_job *job;
	bool running; /* the scheduler has it */
	bool ended;
};

struct kpr_job {
	struct keeper *keeper;
	char id[JOB_ID_LEN + 1];
	struct record record;
	bool stored;	    /* its row is known to be there */
	uint64_t ended_seq; /* the value that says so; 0: not ended here */
	uint64_t stored_seq;
	uint64_t newest_seq;	/* given to the ledger last */
	struct kpr_time *times; /* of ntimes; NULL until it is started */
	uint32_t ntimes;
	uint32_t time_ntasks; /* tasks of each */
	uint32_t nsubmitted;  /* of them, in order */
	uint32_t nended;
	bool scheduled;	      /* times are to be submitted yet */
	uint64_t start_at_ms; /* wall clock */
	uint32_t interval_ms;
	TAILQ_HEAD(, kpr_waiter) waiters;
	TAILQ_ENTRY(kpr_job) entry;
	TAILQ_ENTRY(kpr_job) due; /* while times are to be submitted */
	LIST_ENTRY(kpr_job) hash;
};

struct kpr_load {
	struct keeper *keeper;
	uint64_t generation;
	uint32_t part;
	uint64_t owner_version; /* of the row that names this host */
	char from[JOB_ID_LEN + 2];
	bool under_way;
	struct event *timer;
};

struct keeper {
	struct event_base *base;
	struct clock *clock;
	struct rows *rows;
	struct scheduler *holder;
	struct ledger *ledger;
	char az[NAME_SIZE];
	char owner_key[NAME_SIZE + sizeof(KPR_OWNER_PREFIX)];
	bool held;
	uint64_t token;
	keeper_fenced_fn fenced;
	void *fenced_arg;
	uint64_t generation; /* of loads */
	uint32_t parts_left; /* to be loaded */
	struct kpr_load loads[ROWS_JOB_PARTS];
	struct event *sweep;
	struct event *schedule;
	TAILQ_HEAD(, kpr_job) due;
	size_t njobs;
	TAILQ_HEAD(, kpr_job) jobs;
	LIST_HEAD(, kpr_job) buckets[KPR_BUCKETS];
};

/* keeper.c */
struct kpr_job *kpr_find(const struct keeper *keeper, const char *id);
struct kpr_job *kpr_enter(struct keeper *keeper, const char *id);
/* Its row was there already: its callers are told, and it is forgotten. */
void kpr_accepted_before(struct kpr_job *job);
/* Ends a job. Return: the number of the value that says so. */
uint64_t kpr_end(struct kpr_job *job, enum record_state state);

/* keeper_times.c */
/* Runs a job from its stored form, each time of it when it is due. */
void kpr_start(struct kpr_job *job, bool resubmitted);
/* Takes a job from the scheduler. */
void kpr_stop(struct kpr_job *job);
/* Submits what is due; an event's callback with the keeper. */
void kpr_submit_due(evutil_socket_t fd, short what, void *arg);

/* keeper_load.c */
/* Makes this host the owner of a partition's jobs, then reads them. */
void kpr_load_begin(struct kpr_load *load);

#endif /* ENTRY_JOBS_JOB_STORE_INTERNAL_H */
