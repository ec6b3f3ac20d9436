/*
 * Which ends a server may forget: those that are stored, or need not be. Until
 * then it lists them to every holder.
 */

#include "core/mem.h"
#include "entry/jobs/scheduler_internal.h"

#define SCHED_US_PER_MS UINT64_C(1000)

void
sched_unstored_clear(struct sched_server *server)
{
	struct sched_unstored_end *end, *next;

	TAILQ_FOREACH_SAFE (end, &server->unstored_ends, entry, next) {
		TAILQ_REMOVE(&server->unstored_ends, end, entry);
		free(end);
	}
}

/*
 * Ends may be forgotten up to the first one that is not stored, and none that
 * was passed over while its job may still be read.
 */
static void
sched_set_acknowledged(struct sched_server *server,
    const struct sched_unstored_end *first)
{
	server->acknowledged = server->processed_end;
	if (first != NULL && first->number <= server->processed_end)
		server->acknowledged = first->number - 1;
}

/* Drops the ends that are stored now. Return: the first of the others. */
static const struct sched_unstored_end *
sched_unstored_remove_stored(struct sched_server *server, const char *id,
    uint64_t seq)
{
	struct sched_unstored_end *end, *next, *first = NULL;

	TAILQ_FOREACH_SAFE (end, &server->unstored_ends, entry, next) {
		if (end->seq <= seq && strcmp(end->id, id) == 0) {
			TAILQ_REMOVE(&server->unstored_ends, end, entry);
			free(end);
		} else if (first == NULL) {
			first = end;
		}
	}
	return first;
}

void
sched_progress_stored(struct scheduler *sched, const char *id, uint64_t seq)
{
	struct sched_server *server;

	TAILQ_FOREACH (server, &sched->servers, entry) {
		sched_set_acknowledged(server,
		    sched_unstored_remove_stored(server, id, seq));
		if (server->hold_pending ||
		    server->acknowledged == server->acknowledged_sent)
			continue;
		/* Only a hold that has all ends acknowledged can wait for the
		 * next one. */
		if (server->acknowledged == server->processed_end &&
		    !TAILQ_EMPTY(&server->tasks))
			sched_server_hold(server, sched_now(sched));
		else if (server->hold_due_us == 0)
			server->hold_due_us = sched_now(sched) +
			    SCHED_ACK_DELAY_MS * SCHED_US_PER_MS;
	}
}

/* Ends are listed again in part while jobs are being read. */
void
sched_unstored_add(struct sched_server *server,
    const struct worker_ended *ended, uint64_t seq)
{
	struct sched_unstored_end *end = mem_zalloc(1, sizeof(*end)), *next;

	end->number = ended->number;
	end->seq = seq;
	memcpy(end->id, ended->task, JOB_ID_LEN);
	TAILQ_FOREACH (next, &server->unstored_ends, entry) {
		if (next->number > end->number) {
			TAILQ_INSERT_BEFORE(next, end, entry);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&server->unstored_ends, end, entry);
}

/*
 * A server that was lost for a while lists its ends again: they were counted,
 * but may not be stored yet.
 */
uint64_t
sched_unstored_seq(const struct scheduler *sched,
    const struct worker_ended *ended)
{
	char id[JOB_ID_LEN + 1];

	if (sched->params.unstored == NULL || strlen(ended->task) <= JOB_ID_LEN)
		return 0;
	memcpy(id, ended->task, JOB_ID_LEN);
	id[JOB_ID_LEN] = '\0';
	return sched->params.unstored(sched->params.arg, id);
}

void
sched_update_acknowledged(struct sched_server *server)
{
	sched_set_acknowledged(server, TAILQ_FIRST(&server->unstored_ends));
}
