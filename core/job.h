#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/limits.h"

/*
 * A job of steps, as its submitter described it. Each step has tasks that
 * may start once all tasks of the steps it comes after are done.
 */

#define JOB_ID_LEN 16	  /* hexadecimal digits */
#define JOB_STEPS_MAX 64  /* steps of one job */
#define JOB_SPEC_MAX 4000 /* bytes */

/** struct job_step - one step. */
struct job_step {
	uint32_t count;		/* tasks */
	uint32_t cpu;		/* thousandths of a core, for each task */
	uint32_t mem_mb;	/* for each task */
	uint32_t gpus;		/* for each task */
	uint32_t estimated_ms;	/* declared run time of a task; often far off */
	uint64_t prerequisites; /* bit n: step n must be done first */
	uint32_t per_server_max; /* tasks on one server; 0: any number */
	bool allow_duplicates;	 /* may run more than once at a time */
	bool gang;		 /* its tasks work only all together */
	bool same_rack;		 /* a gang that is slower on two racks */
	bool fills;		 /* disturbs tasks that serve */
	bool latency_sensitive; /* its tasks answer users of their own, within a
				   target */
	char required_label[NAME_SIZE]; /* label that the server must have, or
					   "" */
	char preferred_rack[NAME_SIZE]; /* rack that holds the data, or "" */
};

/** struct job_spec - a whole job. */
struct job_spec {
	char id[JOB_ID_LEN + 1];
	char *spec_text;	/* handed to each task; owned */
	bool best_effort;	/* answered when it has ended; not stored */
	bool long_running;	/* runs until it is cancelled */
	struct job_step *steps; /* owned */
	size_t nsteps;
	uint32_t ntasks; /* of all steps, each time that they run */
	/* How often the steps run; time K, from 0, is due at start_at_ms
	 * (since 1970) and K intervals. Times may overlap. */
	uint32_t max_runs;
	uint64_t start_at_ms;
	uint32_t interval_ms;
	/* A kind of work that this version does not run, or NULL. */
	const char *unsupported;
};

/** struct job_queue - what the configuration says of a job's queue. */
struct job_queue {
	char name[NAME_SIZE];
	char service[NAME_SIZE]; /* whose servers run it */
	uint32_t priority;	 /* 0 comes first */
	uint32_t max_attempts;	 /* failed runs of one task */
	uint32_t slack_permille; /* of the longest chain, for the objective */
	uint32_t target_ms;	 /* added to that */
	bool advised;		 /* an outside policy chooses its servers */
};

/** job_spec_release() - free what the spec owns. */
void job_spec_release(struct job_spec *spec);

/** job_id_valid() - is @text 16 hexadecimal digits and no more? */
bool job_id_valid(const char *text);

/**
 * job_critical_path_ms() - longest chain of declared work.
 */
uint32_t job_critical_path_ms(const struct job_spec *spec);

/** job_objective_ms() - time from arrival within which it is on time. */
uint32_t job_objective_ms(const struct job_spec *spec,
    const struct job_queue *queue);

#endif /* CORE_JOB_H */
