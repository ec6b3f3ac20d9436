/*
 * Operators, callers of non-repeatable requests, and the version monitor of the
 * torture test.
 */
#include <err.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "actors.h"
#include "support/load.h"
#include "support/standin.h"

#define NOPERATORS 3
#define NCALLERS 3
#define OPERATOR_PAUSE_MAX_MS 60
/* Time in which all hosts must have the newest configuration. */
#define CONFIG_DELAY_MAX_MS 6000

/* A configuration change or a request of one task, and its response. */
struct attempt {
	char id[48];
	int status; /* HTTP status; 0: unknown */
	char outcome[32];
	bool body_matches;
	json_int_t version;
	STAILQ_ENTRY(attempt) entry;
};

STAILQ_HEAD(attempt_list, attempt);

struct actor {
	struct actors *actors;
	pthread_t thread;
	int index;
	uint64_t random;
	struct attempt_list attempts;
};

struct actors {
	struct clu *clu;
	atomic_bool stop;
	struct actor operators[NOPERATORS];
	struct actor callers[NCALLERS];
	struct actor monitor;
	unsigned violations; /* found by the monitor */
};

static struct attempt *
actor_add_attempt(struct actor *actor, const char *kind, unsigned n)
{
	struct attempt *attempt;

	attempt = calloc(1, sizeof(*attempt));
	if (attempt == NULL)
		err(1, "calloc");
	snprintf(attempt->id, sizeof(attempt->id), "%s%d-%u", kind,
	    actor->index, n);
	STAILQ_INSERT_TAIL(&actor->attempts, attempt, entry);
	return attempt;
}

static int
actor_pick_host(struct actor *actor)
{
	return (int)load_random(&actor->random,
	    (uint32_t)actor->actors->clu->options.nhosts);
}

/*
 * Submits changes based on the version of a random host, so that operators
 * compete for the next version.
 */
static void *
operator_run(void *arg)
{
	struct actor *actor;
	struct attempt *attempt;
	struct clu *clu;
	json_int_t base;
	char ops[200];
	unsigned n;

	actor = arg;
	clu = actor->actors->clu;
	for (n = 0; !atomic_load(&actor->actors->stop); n++) {
		clu_sleep(
		    (int)load_random(&actor->random, OPERATOR_PAUSE_MAX_MS));
		base = clu_config_version(clu, actor_pick_host(actor));
		if (base <= 0)
			continue;
		attempt = actor_add_attempt(actor, "o", n);
		snprintf(ops, sizeof(ops),
		    "{\"op\": \"label\", \"kind\": \"server\", "
		    "\"name\": \"s%u\", \"set\": {\"mark\": \"%s\"}}",
		    1 + load_random(&actor->random, 3), attempt->id);
		attempt->status = clu_change_config(clu, actor_pick_host(actor),
		    attempt->id, ops, base, &attempt->version);
	}
	return NULL;
}

/*
 * Sends a request through the proxy. Only a request with a ticket uses a link
 * that may duplicate it: without one, a duplicate would start the task again.
 */
static void
caller_send(struct actor *actor, struct attempt *attempt)
{
	struct clu_host *host;
	struct clu_reply reply;
	char body[100], ticket[256], headers[400];
	bool with_ticket;

	host = &actor->actors->clu->hosts[actor_pick_host(actor)];
	with_ticket = load_random(&actor->random, 2) == 0;
	ticket[0] = '\0';
	if (with_ticket)
		clu_get_ticket(actor->actors->clu, actor_pick_host(actor),
		    ticket);
	if (with_ticket && ticket[0] == '\0')
		return;
	snprintf(headers, sizeof(headers), "Berylrail-Job: wax\r\n%s%s%s",
	    with_ticket ? "Berylrail-Ticket: " : "", ticket,
	    with_ticket ? "\r\n" : "");
	snprintf(body, sizeof(body), "{\"uid\":\"%s\",\"ms\":%u}", attempt->id,
	    load_random(&actor->random, 40));
	clu_http(with_ticket ? host->client_link : host->unduplicated_link,
	    "POST", "/v1/services/booth/requests", headers, body, 10000,
	    &reply);
	if (reply.body_complete) {
		attempt->status = reply.status;
		memcpy(attempt->outcome, reply.outcome,
		    sizeof(attempt->outcome));
		attempt->body_matches = strcmp(reply.body, body) == 0;
	}
	clu_reply_free(&reply);
}

/* Sends non-repeatable requests. */
static void *
caller_run(void *arg)
{
	struct actor *actor;
	unsigned n;

	actor = arg;
	for (n = 0; !atomic_load(&actor->actors->stop); n++) {
		clu_sleep((int)load_random(&actor->random, 30));
		caller_send(actor, actor_add_attempt(actor, "w", n));
	}
	return NULL;
}

/*
 * The version in effect on a host must never decrease, not even when its
 * process is replaced.
 */
static void *
monitor_run(void *arg)
{
	json_int_t highest_versions[CLU_HOSTS_MAX], version;
	struct actor *actor;
	struct clu *clu;
	int i;

	actor = arg;
	clu = actor->actors->clu;
	memset(highest_versions, 0, sizeof(highest_versions));
	while (!atomic_load(&actor->actors->stop)) {
		for (i = 0; i < clu->options.nhosts; i++) {
			version = clu_config_version(clu, i);
			if (version > 0 && version < highest_versions[i]) {
				fprintf(stderr,
				    "violation: %s: version decreased to %lld "
				    "from %lld\n",
				    clu->hosts[i].name, (long long)version,
				    (long long)highest_versions[i]);
				actor->actors->violations++;
			}
			if (version > highest_versions[i])
				highest_versions[i] = version;
		}
		clu_sleep(50);
	}
	return NULL;
}

static void
actor_start(struct actors *actors, struct actor *actor, int index,
    uint64_t seed, void *(*run)(void *))
{
	actor->actors = actors;
	actor->index = index;
	actor->random = (seed + 7) * 2654435769U + (unsigned)index * 9973U;
	STAILQ_INIT(&actor->attempts);
	if (pthread_create(&actor->thread, NULL, run, actor) != 0)
		errx(1, "pthread_create");
}

struct actors *
actors_start(struct clu *clu, uint64_t seed)
{
	struct actors *actors;
	int i;

	actors = calloc(1, sizeof(*actors));
	if (actors == NULL)
		err(1, "calloc");
	actors->clu = clu;
	for (i = 0; i < NOPERATORS; i++)
		actor_start(actors, &actors->operators[i], i, seed,
		    operator_run);
	for (i = 0; i < NCALLERS; i++)
		actor_start(actors, &actors->callers[i], i, seed + 1,
		    caller_run);
	actor_start(actors, &actors->monitor, 0, seed, monitor_run);
	return actors;
}

void
actors_stop(struct actors *actors)
{
	int i;

	atomic_store(&actors->stop, true);
	for (i = 0; i < NOPERATORS; i++)
		pthread_join(actors->operators[i].thread, NULL);
	for (i = 0; i < NCALLERS; i++)
		pthread_join(actors->callers[i].thread, NULL);
	pthread_join(actors->monitor.thread, NULL);
}

/*
 * Reads the configuration history. Return: an object that maps the id of each
 * change to its version, and "" to the newest version. Adds the number of
 * repeated ids and of gaps between versions to @violations.
 */
static json_t *
actors_read_history(struct clu *clu, unsigned *violations)
{
	struct clu_reply reply;
	const json_t *changes, *change;
	json_int_t version;
	json_t *versions;
	const char *id;
	char path[100];
	size_t i;

	version = 0;
	versions = json_object();
	do {
		snprintf(path, sizeof(path),
		    "/v1/config/history?after=%lld&limit=50",
		    (long long)version);
		clu_http(clu->hosts[0].http_port, "GET", path, NULL, NULL,
		    CLU_WAIT_MS, &reply);
		changes = json_object_get(reply.json, "changes");
		json_array_foreach (changes, i, change) {
			id = sti_str(change, "id", "");
			if (sti_int(change, "version", 0) != version + 1 ||
			    json_object_get(versions, id) != NULL) {
				fprintf(stderr,
				    "violation: history after version %lld: "
				    "change %s is repeated or follows a gap\n",
				    (long long)version, id);
				++*violations;
			}
			version = sti_int(change, "version", version + 1);
			json_object_set_new(versions, id,
			    json_integer(version));
		}
		i = json_array_size(changes);
		clu_reply_free(&reply);
	} while (i > 0);
	json_object_set_new(versions, "", json_integer(version));
	return versions;
}

static unsigned
attempt_violation(const struct attempt *attempt, const char *description,
    json_int_t n)
{
	fprintf(stderr, "violation: %s: %s: %lld (status %d %s)\n", attempt->id,
	    description, (long long)n, attempt->status, attempt->outcome);
	return 1;
}

static unsigned
attempt_check_change(const struct attempt *attempt, const json_t *versions)
{
	json_int_t version;

	version = sti_int(versions, attempt->id, 0);
	if (attempt->status == 200 && version == 0)
		return attempt_violation(attempt,
		    "accepted, but not in history; version", attempt->version);
	if (attempt->status == 200 && version != attempt->version)
		return attempt_violation(attempt,
		    "accepted, but history has another version", version);
	if (attempt->status == 409 && version != 0)
		return attempt_violation(attempt,
		    "conflict, but in history; version", version);
	return 0;
}

static unsigned
attempt_check_request(struct clu *clu, const struct attempt *attempt)
{
	json_t *record, *start;
	json_int_t starts;
	size_t i;

	starts = 0;
	record = clu_start_records(clu, attempt->id);
	json_array_foreach (record, i, start)
		starts += strcmp(sti_str(start, "uid", ""), attempt->id) == 0;
	json_decref(record);
	if (starts > 1)
		return attempt_violation(attempt,
		    "non-repeatable, but started repeatedly; starts", starts);
	if (strcmp(attempt->outcome, "not-run") == 0 && starts != 0)
		return attempt_violation(attempt,
		    "outcome not-run, but started; starts", starts);
	if (strcmp(attempt->outcome, "complete") == 0 &&
	    (starts != 1 || !attempt->body_matches))
		return attempt_violation(attempt,
		    "outcome complete, but not started once or wrong result; "
		    "starts",
		    starts);
	return 0;
}

/* All hosts must have the newest version within CONFIG_DELAY_MAX_MS. */
static unsigned
actors_check_version(struct clu *clu, json_int_t version)
{
	uint64_t deadline;
	int i;

	deadline = sti_now_ms() + CONFIG_DELAY_MAX_MS;
	for (i = 0; i < clu->options.nhosts; i++) {
		while (clu_config_version(clu, i) < version) {
			if (sti_now_ms() > deadline) {
				fprintf(stderr,
				    "violation: %s: version %lld not in "
				    "effect in time\n",
				    clu->hosts[i].name, (long long)version);
				return 1;
			}
			clu_sleep(20);
		}
	}
	return 0;
}

static void
attempts_free(struct attempt_list *attempts)
{
	struct attempt *attempt;

	while ((attempt = STAILQ_FIRST(attempts)) != NULL) {
		STAILQ_REMOVE_HEAD(attempts, entry);
		free(attempt);
	}
}

static void
actors_free(struct actors *actors)
{
	int i;

	for (i = 0; i < NOPERATORS; i++)
		attempts_free(&actors->operators[i].attempts);
	for (i = 0; i < NCALLERS; i++)
		attempts_free(&actors->callers[i].attempts);
	free(actors);
}

unsigned
actors_check(struct actors *actors)
{
	unsigned violations, accepted, conflicts, requests;
	struct attempt *attempt;
	json_t *versions;
	int i;

	accepted = conflicts = requests = 0;
	violations = actors->violations;
	versions = actors_read_history(actors->clu, &violations);
	violations +=
	    actors_check_version(actors->clu, sti_int(versions, "", 0));
	for (i = 0; i < NOPERATORS; i++) {
		STAILQ_FOREACH (attempt, &actors->operators[i].attempts,
		    entry) {
			violations += attempt_check_change(attempt, versions);
			accepted += attempt->status == 200;
			conflicts += attempt->status == 409;
		}
	}
	for (i = 0; i < NCALLERS; i++) {
		STAILQ_FOREACH (attempt, &actors->callers[i].attempts, entry) {
			violations +=
			    attempt_check_request(actors->clu, attempt);
			requests++;
		}
	}
	printf("changes: %u accepted, %u conflicts; version %lld; "
	       "non-repeatable requests: %u\n",
	    accepted, conflicts, (long long)sti_int(versions, "", 0), requests);
	json_decref(versions);
	actors_free(actors);
	return violations;
}
