#ifndef CORE_PLACE_H
#define CORE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Placement of tasks on backend servers, for loads near and above capacity
 * whose tasks each take a large part of a server. The capacity left beside a
 * task must fit another one, and long tasks must not run on slow servers.
 */

#define PLACE_SPEED_NOMINAL 1000 /* nominal speed, in permille */

/** struct place_server - a candidate server. */
struct place_server {
	int64_t free_cpu; /* thousandths of a core */
	int64_t free_mem; /* MB */
	int64_t free_gpu;
	uint32_t speed_permille; /* estimated, of the nominal speed */
	bool data_local;	 /* has the task's data nearby */
	bool eligible; /* labels, health and drain state permit a start */
};

/** struct place_task - requirements of a task. */
struct place_task {
	uint32_t cpu; /* thousandths of a core */
	uint32_t mem; /* MB */
	uint32_t gpu;
	uint32_t work_ms; /* expected, at nominal speed and with local data */
	int64_t remaining_ms;  /* until its target end; may be negative */
	uint32_t far_permille; /* factor on @work_ms if the data is not local */
	uint32_t typical_cpu;  /* @cpu of a typical waiting task */
};

/** place_expected_ms() - expected run time of @task on @server. */
uint32_t place_expected_ms(const struct place_task *task,
    const struct place_server *server);

/**
 * place_choose() - the server to start @task on.
 *
 * Only eligible servers with enough free capacity are considered. If the task
 * is expected to end in time on some of them, the slowest of these is chosen,
 * which leaves fast servers to long tasks; among equally fast ones, the one
 * with the least unusable capacity beside the task. Otherwise the server is
 * chosen where the task is expected to end first.
 *
 * Return: index into @servers, or -1 if there is none.
 */
int place_choose(const struct place_server *servers, size_t nservers,
    const struct place_task *task);

#endif /* CORE_PLACE_H */
