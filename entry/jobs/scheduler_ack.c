/*
 * Acknowledgement of ended runs. A server may discard an end only when the end
 * is stored or need not be; until then it lists the end to every holder.
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
 * All ends before the first unstored one may be acknowledged. Ends of jobs that
 * may not be loaded were skipped: processed_end does not include them.
 */
static void
sched_set_acknowledged(struct sched_server *server,
    const struct sched_unstored_end *first)
{
	server->acknowledged = server->processed_end;
	if (first != NULL && first->number <= server->processed_end)
		server->acknowledged = first->number - 1;
}

/* Removes the ends of job @id that are stored up to @seq. Return: the first
 * remaining end, or NULL. */
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
		/* A hold can only wait for the next end if it acknowledges
		 * all earlier ones, so a busy server is sent a hold at once. */
		if (server->acknowledged == server->processed_end &&
		    !TAILQ_EMPTY(&server->tasks))
			sched_server_hold(server, sched_now(sched));
		else if (server->hold_due_us == 0)
			server->hold_due_us = sched_now(sched) +
			    SCHED_ACK_DELAY_MS * SCHED_US_PER_MS;
	}
}

/* Adds an end in the order of numbers. While jobs are being loaded, the server
 * lists its ends repeatedly, and the job of an earlier end may be loaded after
 * that of a later one. */
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
 * A server that was lost for some time lists its ends again. They have been
 * processed, but the row value that includes them may not be stored.
 */
uint64_t
sched_unstored_seq(const struct scheduler *sched,
    const struct worker_ended *ended)
{
	char id[JOB_ID_LEN + 1];

	if (sched->params.unstored_seq == NULL ||
	    strlen(ended->task) <= JOB_ID_LEN)
		return 0;
	memcpy(id, ended->task, JOB_ID_LEN);
	id[JOB_ID_LEN] = '\0';
	return sched->params.unstored_seq(sched->params.arg, id);
}

void
sched_update_acknowledged(struct sched_server *server)
{
	sched_set_acknowledged(server, TAILQ_FIRST(&server->unstored_ends));
}
