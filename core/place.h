#ifndef CORE_PLACE_H
#define CORE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Placing tasks on backend servers, for loads near and above capacity whose
 * tasks take a large part of a server each: what is left beside a task must
 * fit another one, and long tasks must not end up on slow servers.
 */

#define PLACE_SPEED_NOMINAL 1000 /* a server of nominal speed */

/** struct place_server - a server that may take work. */
struct place_server {
	int64_t free_cpu; /* thousandths of a core */
	int64_t free_mem; /* MB */
	int64_t free_gpu;
	uint32_t speed_permille; /* learned, thousandths of the nominal one */
	bool data_local;	 /* holds the task's data */
	bool eligible;		 /* labels, health and drain permit a start */
};

/** struct place_task - what a task needs. */
struct place_task {
	uint32_t cpu; /* thousandths of a core */
	uint32_t mem; /* MB */
	uint32_t gpu;
	uint32_t work_ms;      /* expected, at nominal speed */
	int64_t remaining_ms;  /* until it should have ended */
	uint32_t far_permille; /* work grows by this without near data */
	uint32_t typical_cpu;  /* of the tasks that wait beside it */
};

/**
 * place_expected_ms() - expected time of @task on @server.
 */
uint32_t place_expected_ms(const struct place_task *task,
    const struct place_server *server);

/**
 * place_choose() - the server to start @task on.
 *
 * Among servers with room, those on which it ends in time come first; of
 * these the one whose remaining room is used best, then the slowest, which
 * keeps fast servers for long tasks. If it can't end in time anywhere, the
 * server where it ends soonest.
 *
 * Return: index into @servers, or -1 if none has room.
 */
int place_choose(const struct place_server *servers, size_t nservers,
    const struct place_task *task);

#endif /* CORE_PLACE_H */
