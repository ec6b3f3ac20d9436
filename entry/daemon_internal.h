#ifndef ENTRY_DAEMON_INTERNAL_H
#define ENTRY_DAEMON_INTERNAL_H

#include "adapters/http_server.h"
#include "adapters/platform.h"
#include "entry/daemon.h"
#include "entry/engine.h"
#include "entry/jobs/job_service.h"
#include "platform/http_api.h"
#include "platform/platform.h"

/*
 * Shared by daemon.c, which sets up the entry host, and daemon_jobs.c, which
 * sets up the service of jobs of steps on the users' platform.
 */

/* Components of one entry host. */
struct daemon {
	const struct settings *settings;
	struct event_base *base;
	struct clock *clock;
	struct crypto *crypto;
	uint64_t incarnation;
	struct platform *platform;
	struct backend *backend;
	struct engine *engine;
	struct config_sync *config_sync;
	struct api *api;
	struct peers *peers;
	struct http_server *http;
	/* Jobs of steps; all NULL without --store. */
	struct worker *worker;
	struct advisor *advisor; /* also NULL without --advice */
	struct rows *rows;
	struct job_service *jobs;
	struct platform_http_api *job_api;
	struct http_server *job_http;
	struct http_server *ready_http;
	struct event *sighup;
	struct event *sigterm;
	struct event *sigint;
	struct event *hostlist_timer;
	struct event *flush_timer;
	uint64_t flush_deadline_us;
	uint64_t stop_signal_us; /* when the shutdown began */
	bool draining;
	bool jobs_aborted; /* pending jobs of steps were aborted */
};

/* daemon_jobs.c */
/* Have no effect without --store. Return: 0, or -1 with @err. */
int dmn_create_jobs(struct daemon *dmn, struct err *err);
void dmn_destroy_jobs(struct daemon *dmn);

#endif /* ENTRY_DAEMON_INTERNAL_H */
