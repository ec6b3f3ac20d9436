#ifndef ENTRY_JOBS_KEEPER_INTERNAL_H
#define ENTRY_JOBS_KEEPER_INTERNAL_H

#include <sys/queue.h>

#include "entry/jobs/keeper.h"
#include "entry/jobs/ledger.h"
#include "entry/jobs/record.h"

/*
 * Shared by the files of the keeper: keeper.c (accepting, progress, ends),
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

struct kpr_job {
	struct keeper *keeper;
	char id[JOB_ID_LEN + 1];
	struct record record;
	bool stored;	    /* its row is known to be there */
	uint64_t ended_seq; /* the value that says so; 0: not ended here */
	uint64_t stored_seq;
	bool running; /* the holder has it */
	TAILQ_HEAD(, kpr_waiter) waiters;
	TAILQ_ENTRY(kpr_job) entry;
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
	struct holder *holder;
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
	size_t njobs;
	TAILQ_HEAD(, kpr_job) jobs;
	LIST_HEAD(, kpr_job) buckets[KPR_BUCKETS];
};

/* keeper.c */
struct kpr_job *kpr_find(const struct keeper *keeper, const char *id);
struct kpr_job *kpr_enter(struct keeper *keeper, const char *id);
/* Its row was there already: its callers are told, and it is forgotten. */
void kpr_accepted_before(struct kpr_job *job);
/* Runs a job from its stored form. */
void kpr_start(struct kpr_job *job, bool resubmitted);

/* keeper_load.c */
/* Makes this host the owner of a partition's jobs, then reads them. */
void kpr_load_begin(struct kpr_load *load);

#endif /* ENTRY_JOBS_KEEPER_INTERNAL_H */
