/*
 * Tables of the members of each kind's spec. A new member needs an entry here
 * and a field in core/config.h.
 */

#include <stdint.h>

#include "entry/config_fields.h"

#define CFGJ_DURATION_MAX_MS (24U * 60 * 60 * 1000)
#define CFGJ_COUNT_MAX 1000000
#define CFGJ_OFFSET(field) offsetof(struct cfg_object, u.field)

static const struct cfgj_field cfgj_service_fields[] = {
	{ .name = "path",
	    .type = CFGJ_PATH,
	    .offset = CFGJ_OFFSET(service.path) },
	{ .name = "selector",
	    .type = CFGJ_SELECTOR,
	    .offset = CFGJ_OFFSET(service.selector),
	    .source_offset = CFGJ_OFFSET(service.selector_text),
	    .required = true },
	{ .name = NULL },
};

static const struct cfgj_field cfgj_job_fields[] = {
	{ .name = "service",
	    .type = CFGJ_NAME,
	    .offset = CFGJ_OFFSET(job.service),
	    .required = true },
	{ .name = "team", .type = CFGJ_NAME, .offset = CFGJ_OFFSET(job.team) },
	{ .name = "repeatable",
	    .type = CFGJ_BOOL,
	    .offset = CFGJ_OFFSET(job.repeatable) },
	{ .name = "hedge",
	    .type = CFGJ_BOOL,
	    .offset = CFGJ_OFFSET(job.hedge) },
	{ .name = "run_ms",
	    .type = CFGJ_U32,
	    .offset = CFGJ_OFFSET(job.run_ms),
	    .default_value = 200,
	    .min = 1,
	    .max = CFGJ_DURATION_MAX_MS },
	{ .name = "timeout_ms",
	    .type = CFGJ_U32,
	    .offset = CFGJ_OFFSET(job.timeout_ms),
	    .default_value = 10000,
	    .min = 1,
	    .max = CFGJ_DURATION_MAX_MS },
	{ .name = "deadline_ms",
	    .type = CFGJ_U32,
	    .offset = CFGJ_OFFSET(job.deadline_ms),
	    .default_value = 60000,
	    .min = 1,
	    .max = CFGJ_DURATION_MAX_MS },
	{ .name = "queue_tasks_max",
	    .type = CFGJ_U32,
	    .offset = CFGJ_OFFSET(job.queue_tasks_max),
	    .default_value = 10000,
	    .min = 1,
	    .max = CFGJ_COUNT_MAX },
	{ .name = "selector",
	    .type = CFGJ_SELECTOR,
	    .offset = CFGJ_OFFSET(job.selector),
	    .source_offset = CFGJ_OFFSET(job.selector_text) },
	{ .name = NULL },
};

static const struct cfgj_field cfgj_server_fields[] = {
	{ .name = "address",
	    .type = CFGJ_ADDRESS,
	    .offset = CFGJ_OFFSET(server.address),
	    .required = true },
	{ .name = "port",
	    .type = CFGJ_U16,
	    .offset = CFGJ_OFFSET(server.port),
	    .required = true,
	    .min = 1,
	    .max = UINT16_MAX },
	{ .name = "az",
	    .type = CFGJ_NAME,
	    .offset = CFGJ_OFFSET(server.az),
	    .required = true },
	{ .name = "slots",
	    .type = CFGJ_U32,
	    .offset = CFGJ_OFFSET(server.slots),
	    .default_value = 8,
	    .min = 1,
	    .max = CFGJ_COUNT_MAX },
	{ .name = "connections",
	    .type = CFGJ_U32,
	    .offset = CFGJ_OFFSET(server.connections),
	    .default_value = 64,
	    .min = 1,
	    .max = CFGJ_COUNT_MAX },
	{ .name = NULL },
};

static const struct cfgj_field cfgj_host_fields[] = {
	{ .name = "az",
	    .type = CFGJ_NAME,
	    .offset = CFGJ_OFFSET(host.az),
	    .required = true },
	{ .name = "address",
	    .type = CFGJ_ADDRESS,
	    .offset = CFGJ_OFFSET(host.address),
	    .required = true },
	{ .name = "peer_port",
	    .type = CFGJ_U16,
	    .offset = CFGJ_OFFSET(host.peer_port),
	    .required = true,
	    .min = 1,
	    .max = UINT16_MAX },
	{ .name = NULL },
};

static const struct cfgj_field cfgj_team_fields[] = {
	{ .name = "running_max",
	    .type = CFGJ_U32,
	    .offset = CFGJ_OFFSET(team.running_max),
	    .min = 0,
	    .max = CFGJ_COUNT_MAX },
	{ .name = NULL },
};

const struct cfgj_field *const cfgj_fields[CFG_NKINDS] = {
	[CFG_SERVICE] = cfgj_service_fields,
	[CFG_JOB] = cfgj_job_fields,
	[CFG_SERVER] = cfgj_server_fields,
	[CFG_HOST] = cfgj_host_fields,
	[CFG_TEAM] = cfgj_team_fields,
};
