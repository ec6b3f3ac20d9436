/*
 * Jobs of which a start order may still be executed, or that go on elsewhere.
 */

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/pending.h"

#define PEND_EXPIRE_INTERVAL_US UINT64_C(1000000)

/* An extension by less is neither sent to other hosts nor taken from them. */
static const uint64_t pend_slack_us[] = {
	[PEND_RUN_LISTED] = 100000,
	[PEND_START] = 1000000,
};

void
pend_init(struct pending *pending)
{
	memset(pending, 0, sizeof(*pending));
	TAILQ_INIT(&pending->jobs);
	nidx_init(&pending->by_id);
}

static void
pend_free(struct pending *pending, struct pend_job *job)
{
	TAILQ_REMOVE(&pending->jobs, job, entry);
	nidx_remove(&pending->by_id, &job->by_id);
	pending->n--;
	free(job);
}

void
pend_release(struct pending *pending)
{
	struct pend_job *job, *next;

	TAILQ_FOREACH_SAFE (job, &pending->jobs, entry, next)
		pend_free(pending, job);
	nidx_release(&pending->by_id);
}

static struct pend_job *
pend_get(const struct pending *pending, const char *id)
{
	struct nidx_entry *entry = nidx_find(&pending->by_id, id);

	return entry == NULL ? NULL
			     : NIDX_OBJECT(entry, struct pend_job, by_id);
}

/* The oldest listed run, of which others know, too; else the oldest entry. */
static struct pend_job *
pend_least_needed(const struct pending *pending)
{
	struct pend_job *job;

	TAILQ_FOREACH (job, &pending->jobs, entry) {
		if (job->kind == PEND_RUN_LISTED)
			return job;
	}
	return TAILQ_FIRST(&pending->jobs);
}

static void
pend_create(struct pending *pending, const char *id, enum pend_kind kind,
    enum pend_origin origin, uint64_t nonce, uint64_t expires_us)
{
	struct pend_job *job;

	if (pending->n == PEND_JOBS_MAX) {
		pend_free(pending, pend_least_needed(pending));
		pending->dropped++;
	}
	job = mem_zalloc(1, sizeof(*job));
	strlcpy(job->id, id, sizeof(job->id));
	job->kind = kind;
	job->origin = origin;
	job->nonce = nonce;
	job->expires_us = job->told_us = expires_us;
	job->seq = ++pending->seq;
	nidx_insert(&pending->by_id, &job->by_id, job->id);
	TAILQ_INSERT_TAIL(&pending->jobs, job, entry);
	pending->n++;
}

/* Adds what is known to an entry of the same kind. Return: whether other hosts
 * need to know. */
static bool
pend_update(struct pend_job *job, enum pend_origin origin, uint64_t nonce,
    uint64_t expires_us)
{
	uint64_t slack_us = origin == PEND_OWN ? 0 : pend_slack_us[job->kind];
	bool nearer = origin < job->origin;

	if (nearer)
		job->origin = origin;
	if (nonce != job->nonce)
		job->nonce = 0;
	if (expires_us > job->expires_us + slack_us)
		job->expires_us = expires_us;
	return nearer ||
	    job->expires_us > job->told_us + pend_slack_us[job->kind];
}

void
pend_add(struct pending *pending, const char *id, enum pend_kind kind,
    enum pend_origin origin, uint64_t expires_us, uint64_t now_us)
{
	pend_add_submission(pending, id, kind, origin, 0, expires_us, now_us);
}

void
pend_add_submission(struct pending *pending, const char *id,
    enum pend_kind kind, enum pend_origin origin, uint64_t nonce,
    uint64_t expires_us, uint64_t now_us)
{
	char name[JOB_ID_LEN + 1];
	struct pend_job *job;

	strlcpy(name, id, sizeof(name));
	job = pend_get(pending, name);
	if (job != NULL && (job->expires_us <= now_us || job->kind < kind)) {
		pend_free(pending, job);
		job = NULL;
	}
	if (job == NULL) {
		pend_create(pending, name, kind, origin, nonce, expires_us);
	} else if (job->kind == kind &&
	    pend_update(job, origin, nonce, expires_us)) {
		job->told_us = job->expires_us;
		job->seq = ++pending->seq;
		TAILQ_REMOVE(&pending->jobs, job, entry);
		TAILQ_INSERT_TAIL(&pending->jobs, job, entry);
	}
}

bool
pend_remove_submission(struct pending *pending, const char *id, uint64_t nonce)
{
	struct pend_job *job = pend_get(pending, id);

	if (job == NULL || nonce == 0 || job->nonce != nonce)
		return false;
	pend_free(pending, job);
	return true;
}

const struct pend_job *
pend_find(const struct pending *pending, const char *id, uint64_t now_us)
{
	const struct pend_job *job = pend_get(pending, id);

	return job != NULL && job->expires_us > now_us ? job : NULL;
}

void
pend_disown(struct pending *pending)
{
	struct pend_job *job;

	TAILQ_FOREACH (job, &pending->jobs, entry) {
		if (job->kind == PEND_RUN_LISTED && job->origin == PEND_OWN)
			job->origin = PEND_ZONE;
	}
}

void
pend_expire(struct pending *pending, uint64_t now_us)
{
	struct pend_job *job, *next;

	if (now_us - pending->checked_us < PEND_EXPIRE_INTERVAL_US)
		return;
	pending->checked_us = now_us;
	TAILQ_FOREACH_SAFE (job, &pending->jobs, entry, next) {
		if (job->expires_us <= now_us)
			pend_free(pending, job);
	}
}

const struct pend_job *
pend_first_after(const struct pending *pending, uint64_t seq)
{
	const struct pend_job *job, *found = NULL;

	TAILQ_FOREACH_REVERSE (job, &pending->jobs, pend_jobs, entry) {
		if (job->seq <= seq)
			break;
		found = job;
	}
	return found;
}
