/*
 * A holder of four model servers.
 */

#include <event2/event.h>
#include <stdio.h>

#include "adapters/clock_real.h"
#include "tests/support/scheduler_rig.h"

static void
hrig_fenced(void *arg)
{
	struct holder_rig *rig = arg;

	rig->fenced++;
	holder_end(rig->holder);
}

struct holder *
hrig_holder(struct holder_rig *rig, uint64_t token)
{
	const struct holder_params params = { .base = rig->base,
		.clock = clock_real(),
		.worker = rig->worker,
		.advisor = rig->advisor,
		.lease_ms = 1000,
		.far_permille = 1000,
		.fenced = hrig_fenced,
		.arg = rig };
	struct reg_server server = { .service = "booth",
		.az = "a",
		.cpu = HRIG_CPU,
		.mem_mb = 1024,
		.nlabels = 1 };
	struct holder *holder = holder_create(&params);
	size_t i;

	for (i = 0; i < rig->world.nservers; i++) {
		(void)snprintf(server.id, sizeof(server.id), "s%zu", i);
		(void)snprintf(server.rack, sizeof(server.rack), "r%zu", i / 2);
		(void)snprintf(server.labels[0], NAME_SIZE, "r%zu", i / 2);
		holder_server(holder, &server);
	}
	holder_begin(holder, token);
	holder_fresh(holder);
	holder_set_complete(holder, true);
	return holder;
}

void
hrig_init(struct holder_rig *rig, uint64_t seed, struct advisor *advisor)
{
	rig->base = event_base_new();
	wm_init(&rig->world, HRIG_SERVERS, HRIG_CPU);
	rig->worker =
	    fake_worker_create(rig->base, clock_real(), &rig->world, seed);
	rig->advisor = advisor;
	rig->holder = hrig_holder(rig, 10);
}

void
hrig_release(struct holder_rig *rig)
{
	holder_destroy(rig->holder);
	fake_worker_destroy(rig->worker);
	wm_release(&rig->world);
	event_base_free(rig->base);
}

void
hrig_run(struct holder_rig *rig, uint32_t ms)
{
	const struct timeval tv = { .tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000 };

	(void)event_base_loopexit(rig->base, &tv);
	(void)event_base_dispatch(rig->base);
}
