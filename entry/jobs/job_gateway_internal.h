#ifndef ENTRY_JOBS_JOB_GATEWAY_INTERNAL_H
#define ENTRY_JOBS_JOB_GATEWAY_INTERNAL_H

#include <sys/queue.h>

#include "entry/jobs/cells.h"
#include "entry/jobs/job_gateway.h"

/*
 * Shared by job_gateway.c (submissions and answers) and job_gateway_waiting.c
 * (which jobs are reported to other availability zones).
 */

#define GW_US_PER_MS UINT64_C(1000)
#define GW_ENDED_MAX 64

struct event;
struct gw_attempt;

/** struct gw_job - a caller's job, until it is answered and all its attempts
 * have ended. */
struct gw_job {
	struct job_gateway *gateway;
	char id[JOB_ID_LEN + 1];
	struct job_queue queue;
	char *body;
	size_t body_len;
	uint64_t arrived_us; /* it may have waited unread since then */
	uint64_t deadline_us;
	uint64_t unassigned_us; /* start of the wait for a holder; 0: none */
	uint64_t nonce;
	char holder[NAME_SIZE];		   /* of the last attempt */
	bool overflowed;		   /* submitted to a remote cell */
	struct cells_overflow overflow;	   /* of that cell; "": not reached */
	TAILQ_HEAD(, gw_attempt) attempts; /* that have not ended */
	struct gw_attempt *current;	   /* NULL: no holder has the job */
	bool may_have_started;		   /* a task may have been started */
	bool answered;
	enum gw_result result; /* if answered */
	uint64_t lost_us;      /* its caller may be lost since; if answered */
	enum {
		GW_KIND_UNKNOWN,
		GW_KIND_STORED,
		GW_KIND_BEST_EFFORT,
	} kind;
	bool holder_lost; /* by an attempt */
	bool reported;	  /* by gw_list_waiting() */
	struct event *timer;
	gw_done_fn done;
	void *arg;
	TAILQ_ENTRY(gw_job) entry;
};

/** struct gw_attempt - a submission of a job to a holder. It ends with
 * gw_attempt_done(), even if it is no longer the job's current attempt. */
struct gw_attempt {
	struct gw_job *job;
	char holder[NAME_SIZE];
	uint64_t sent_us;
	TAILQ_ENTRY(gw_attempt) entry;
};

struct job_gateway {
	struct event_base *base;
	struct clock *clock;
	struct cells *cells;
	uint64_t next_nonce;
	bool refuse_new;
	size_t npending;
	TAILQ_HEAD(, gw_job) jobs;
	/* Jobs that were reported to other zones, and that have not run. */
	struct cells_waiting ended[GW_ENDED_MAX];
	size_t nended;
};

/* job_gateway.c */

/* Frees a job that has no attempts. */
void gw_job_free(struct gw_job *job);
bool gw_job_is_best_effort(struct gw_job *job);

/* job_gateway_waiting.c */

/* Whether a run of the answered job may last, though all its attempts have
 * ended. */
bool gw_job_may_run(struct gw_job *job);
/* The job has not run, so that its caller may send it again at once. */
void gw_waiting_ended(const struct gw_job *job);

#endif /* ENTRY_JOBS_JOB_GATEWAY_INTERNAL_H */
