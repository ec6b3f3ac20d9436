/* Fixture for scheduler tests. */

#include <event2/event.h>
#include <stdio.h>

#include "adapters/clock_real.h"
#include "tests/support/scheduler_rig.h"
#include "tests/support/sim_time.h"

static void
srig_fenced(void *arg)
{
	struct scheduler_rig *rig = arg;

	rig->fenced++;
	sched_deactivate(rig->sched);
}

struct scheduler *
srig_scheduler(struct scheduler_rig *rig, uint64_t token)
{
	const struct sched_params params = { .base = rig->base,
		.clock = clock_real(),
		.worker = rig->worker,
		.advisor = rig->advisor,
		.lease_ms = 1000,
		.far_permille = 1000,
		.fenced = srig_fenced,
		.arg = rig };
	struct reg_server server = { .service = "booth",
		.az = "a",
		.cpu = SRIG_CPU,
		.mem_mb = 1024,
		.nlabels = 1 };
	struct scheduler *sched = sched_create(&params);
	size_t i;

	for (i = 0; i < rig->cluster.nservers; i++) {
		(void)snprintf(server.id, sizeof(server.id), "s%zu", i);
		(void)snprintf(server.rack, sizeof(server.rack), "r%zu", i / 2);
		(void)snprintf(server.labels[0], NAME_SIZE, "r%zu", i / 2);
		sched_server_update(sched, &server);
	}
	sched_activate(sched, token);
	sched_servers_refreshed(sched);
	sched_set_servers_complete(sched, true);
	return sched;
}

void
srig_init(struct scheduler_rig *rig, uint64_t seed, struct advisor *advisor)
{
	sim_time_start();
	rig->base = event_base_new();
	wm_init(&rig->cluster, SRIG_SERVERS, SRIG_CPU);
	rig->worker =
	    fake_worker_create(rig->base, clock_real(), &rig->cluster, seed);
	rig->advisor = advisor;
	rig->sched = srig_scheduler(rig, 10);
}

void
srig_release(struct scheduler_rig *rig)
{
	sched_destroy(rig->sched);
	fake_worker_destroy(rig->worker);
	wm_release(&rig->cluster);
	event_base_free(rig->base);
}

void
srig_run(struct scheduler_rig *rig, uint32_t ms)
{
	const struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_base_loopexit(rig->base, &tv);
	(void)event_base_dispatch(rig->base);
}
