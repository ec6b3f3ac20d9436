/*
 * The members of each kind's spec. A new member is one more entry here and one
 * more field in core/config.h.
 */

#include <stdint.h>

#include "entry/config_fields.h"

#define CFGJ_TIME_MAX_MS (24U * 60 * 60 * 1000)
#define CFGJ_COUNT_MAX 1000000
#define CFGJ_AT(field) offsetof(struct cfg_object, u.field)

static const struct cfgj_field cfgj_service_fields[] = {
	{ .name = "path", .type = CFGJ_PATH, .offset = CFGJ_AT(service.path) },
	{ .name = "selector",
	    .type = CFGJ_SELECTOR,
	    .offset = CFGJ_AT(service.selector),
	    .source = CFGJ_AT(service.selector_text),
	    .required = true },
	{ .name = NULL },
};

static const struct cfgj_field cfgj_job_fields[] = {
	{ .name = "service",
	    .type = CFGJ_NAME,
	    .offset = CFGJ_AT(job.service),
	    .required = true },
	{ .name = "team", .type = CFGJ_NAME, .offset = CFGJ_AT(job.team) },
	{ .name = "repeatable",
	    .type = CFGJ_BOOL,
	    .offset = CFGJ_AT(job.repeatable) },
	{ .name = "hedge", .type = CFGJ_BOOL, .offset = CFGJ_AT(job.hedge) },
	{ .name = "run_ms",
	    .type = CFGJ_U32,
	    .offset = CFGJ_AT(job.run_ms),
	    .initial = 200,
	    .min = 1,
	    .max = CFGJ_TIME_MAX_MS },
	{ .name = "timeout_ms",
	    .type = CFGJ_U32,
	    .offset = CFGJ_AT(job.timeout_ms),
	    .initial = 10000,
	    .min = 1,
	    .max = CFGJ_TIME_MAX_MS },
	{ .name = "deadline_ms",
	    .type = CFGJ_U32,
	    .offset = CFGJ_AT(job.deadline_ms),
	    .initial = 60000,
	    .min = 1,
	    .max = CFGJ_TIME_MAX_MS },
	{ .name = "queue_tasks_max",
	    .type = CFGJ_U32,
	    .offset = CFGJ_AT(job.queue_tasks_max),
	    .initial = 10000,
	    .min = 1,
	    .max = CFGJ_COUNT_MAX },
	{ .name = "selector",
	    .type = CFGJ_SELECTOR,
	    .offset = CFGJ_AT(job.selector),
	    .source = CFGJ_AT(job.selector_text) },
	{ .name = NULL },
};

static const struct cfgj_field cfgj_server_fields[] = {
	{ .name = "address",
	    .type = CFGJ_ADDRESS,
	    .offset = CFGJ_AT(server.address),
	    .required = true },
	{ .name = "port",
	    .type = CFGJ_U16,
	    .offset = CFGJ_AT(server.port),
	    .required = true,
	    .min = 1,
	    .max = UINT16_MAX },
	{ .name = "az",
	    .type = CFGJ_NAME,
	    .offset = CFGJ_AT(server.az),
	    .required = true },
	{ .name = "slots",
	    .type = CFGJ_U32,
	    .offset = CFGJ_AT(server.slots),
	    .initial = 8,
	    .min = 1,
	    .max = CFGJ_COUNT_MAX },
	{ .name = "connections",
	    .type = CFGJ_U32,
	    .offset = CFGJ_AT(server.connections),
	    .initial = 64,
	    .min = 1,
	    .max = CFGJ_COUNT_MAX },
	{ .name = NULL },
};

static const struct cfgj_field cfgj_host_fields[] = {
	{ .name = "az",
	    .type = CFGJ_NAME,
	    .offset = CFGJ_AT(host.az),
	    .required = true },
	{ .name = "address",
	    .type = CFGJ_ADDRESS,
	    .offset = CFGJ_AT(host.address),
	    .required = true },
	{ .name = "peer_port",
	    .type = CFGJ_U16,
	    .offset = CFGJ_AT(host.peer_port),
	    .required = true,
	    .min = 1,
	    .max = UINT16_MAX },
	{ .name = NULL },
};

static const struct cfgj_field cfgj_team_fields[] = {
	{ .name = "running_max",
	    .type = CFGJ_U32,
	    .offset = CFGJ_AT(team.running_max),
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
