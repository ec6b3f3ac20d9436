#ifndef ENTRY_JOBS_JOB_JSON_H
#define ENTRY_JOBS_JOB_JSON_H

#include <stddef.h>

#include "berylrail/error.h"
#include "core/job.h"

/**
 * job_parse() - parse the JSON form of a job (docs/API.md, "Jobs of steps").
 * @spec: set on success; released by the caller with job_spec_release().
 * @id: the job's id, 16 hexadecimal digits.
 *
 * Return: 0, or -1 with @err set to ERR_INVALID or ERR_TOO_LARGE.
 */
int job_parse(struct job_spec *spec, const char *id, const char *body,
    size_t len, struct err *err);

#endif /* ENTRY_JOBS_JOB_JSON_H */
