#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/limits.h"

/*
 * A job that consists of steps, as submitted. The tasks of a step may start
 * once all tasks of its prerequisite steps are done.
 */

#define JOB_ID_LEN 16	 /* hexadecimal digits */
#define JOB_STEPS_MAX 64 /* steps of one job */
#define JOB_SPEC_BYTES_MAX 4000

/** struct job_step - a step of a job. */
struct job_step {
	uint32_t count;		 /* number of tasks */
	uint32_t cpu;		 /* thousandths of a core, for each task */
	uint32_t mem_mb;	 /* for each task */
	uint32_t gpus;		 /* for each task */
	uint32_t estimated_ms;	 /* declared run time; often inaccurate */
	uint64_t prerequisites;	 /* bit n: step n is a prerequisite */
	uint32_t per_server_max; /* tasks on one server; 0: any number */
	bool allow_duplicates;	 /* a task may run more than once at a time */
	bool gang;		/* all of its tasks must run at the same time */
	bool same_rack;		/* a gang that is slower if spread over racks */
	bool fills;		/* its tasks slow down latency-sensitive ones */
	bool latency_sensitive; /* answers users within a target time */
	char required_label[NAME_SIZE]; /* of the server, or "" */
	char preferred_rack[NAME_SIZE]; /* rack that has the data, or "" */
};

/** struct job_spec - a job. */
struct job_spec {
	char id[JOB_ID_LEN + 1];
	char *spec_text;   /* passed to each task; owned */
	bool best_effort;  /* not stored; answered when the job has ended */
	bool long_running; /* runs until it is cancelled */
	struct job_step *steps; /* owned */
	size_t nsteps;
	uint32_t ntasks; /* of all steps, in each occurrence */
	/* Number of occurrences, each of which runs all steps. Occurrence K,
	 * from 0, is due K intervals after start_at_ms (milliseconds since
	 * 1970). Occurrences may overlap. */
	uint32_t max_runs;
	uint64_t start_at_ms;
	uint32_t interval_ms;
	/* A requested feature that this version does not support, or NULL. */
	const char *unsupported;
};

/** struct job_queue - configuration of a queue of jobs. */
struct job_queue {
	char name[NAME_SIZE];
	char service[NAME_SIZE]; /* the servers of this service run its jobs */
	uint32_t priority;	 /* 0 is the highest */
	uint32_t max_attempts;	 /* limit of failed runs of one task */
	uint32_t slack_permille; /* factor on the critical path; see
				  * job_objective_ms() */
	uint32_t target_ms;	 /* added to that product */
	bool advised; /* starts require a permit; see ports/advisor.h */
	/* Version of the configuration; a job keeps the one that it was
	 * accepted under. 0: unknown. */
	uint64_t config_version;
};

/** job_spec_release() - free the memory that a spec owns. */
void job_spec_release(struct job_spec *spec);

/** job_id_valid() - is @text exactly JOB_ID_LEN hexadecimal digits? */
bool job_id_valid(const char *text);

/**
 * job_critical_path_ms() - largest sum of declared run times along a chain of
 * prerequisite steps.
 */
uint32_t job_critical_path_ms(const struct job_spec *spec);

/**
 * job_objective_ms() - time from arrival within which a job should end: the
 * critical path times slack_permille, plus target_ms.
 */
uint32_t job_objective_ms(const struct job_spec *spec,
    const struct job_queue *queue);

#endif /* CORE_JOB_H */
