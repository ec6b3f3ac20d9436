/* Load clients, and the check of their answers against the start records. */
#include <err.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "berylrail/outcome.h"
#include "support/load.h"
#include "support/standin.h"

#define LOAD_ATTEMPTS_MAX 6
#define LOAD_ANSWER_TIMEOUT_MS 15000

/* A job and its last answer. */
struct load_job {
	char uid[48];
	int ntasks;
	bool answered;
	bool answer_valid;
	enum outcome outcome;
	json_t *results; /* of the answer, or NULL */
	STAILQ_ENTRY(load_job) entry;
};

struct client {
	struct load *load;
	pthread_t thread;
	int index;
	uint64_t random;
	char ticket[256]; /* for the next job; "": none */
	unsigned resubmitted;
	unsigned changed_answers; /* final answers that changed later */
	STAILQ_HEAD(, load_job) jobs;
};

struct load {
	struct load_options options;
	atomic_bool stop;
	struct client *clients;
};

uint32_t
load_random(uint64_t *state, uint32_t n)
{
	*state ^= *state << 13;
	*state ^= *state >> 7;
	*state ^= *state << 17;
	return n == 0 ? 0 : (uint32_t)(*state >> 11) % n;
}

static uint16_t
load_pick_port(struct client *client)
{
	struct clu *clu;
	struct clu_host *host;

	clu = client->load->options.clu;
	host = &clu->hosts[load_random(&client->random,
	    (uint32_t)clu->options.nhosts)];
	if (client->load->options.use_proxy && load_random(&client->random, 2))
		return host->client_link;
	return host->http_port;
}

static const char *
load_pick_action(struct client *client)
{
	static const char *const actions[] = { "fail", "cut", "half", "twice",
		"nolength" };

	if (!client->load->options.task_faults ||
	    load_random(&client->random, 100) >= 10)
		return "";
	return actions[load_random(&client->random, 5)];
}

/* Stores an answer. Return: true if it is final, so that it must not change. */
static bool
load_store_answer(const struct client *client, struct load_job *job,
    const struct clu_reply *reply)
{
	const char *error;
	enum outcome outcome;

	if (!reply->body_complete ||
	    outcome_from_name(reply->outcome, &outcome) == -1 ||
	    strcmp(clu_reply_str(reply, "state"), "running") == 0)
		return false;
	job->answered = true;
	job->outcome = outcome;
	job->answer_valid = clu_answer_complete(reply, job->uid, job->ntasks);
	error = memmem(reply->body, reply->len, "\"error\":", 8);
	if (outcome == OUTCOME_TASK_FAILED &&
	    !client->load->options.task_faults)
		warnx("%s: %s: %.300s", job->uid, reply->outcome,
		    error != NULL ? error : reply->body);
	json_decref(job->results);
	job->results = json_incref(json_object_get(reply->json, "results"));
	return outcome != OUTCOME_UNKNOWN;
}

/* Resubmits a completed job: its answer must not change. */
static void
load_check_unchanged(struct client *client, struct load_job *job,
    const char *headers, const char *body)
{
	struct clu_reply reply;
	enum outcome outcome;

	if (job->outcome != OUTCOME_COMPLETE)
		return;
	clu_submit(load_pick_port(client), headers, body,
	    LOAD_ANSWER_TIMEOUT_MS, &reply);
	if (reply.body_complete &&
	    outcome_from_name(reply.outcome, &outcome) == 0 &&
	    outcome != OUTCOME_UNKNOWN &&
	    !clu_answer_complete(&reply, job->uid, job->ntasks)) {
		warnx("violation: %s: complete answer changed to %s: %.200s",
		    job->uid, reply.outcome, reply.body);
		client->changed_answers++;
	}
	clu_reply_free(&reply);
}

static void
load_submit_job(struct client *client, struct load_job *job)
{
	struct clu_reply reply;
	char headers[128], *body;
	int attempt, host;
	bool use_key, final;

	headers[0] = '\0';
	use_key = !client->load->options.tickets_only &&
	    load_random(&client->random, 5) == 0;
	if (use_key)
		snprintf(headers, sizeof(headers), "Idempotency-Key: k-%s\r\n",
		    job->uid);
	else if (client->ticket[0] == '\0') {
		host = (int)load_random(&client->random,
		    (uint32_t)client->load->options.clu->options.nhosts);
		clu_get_ticket(client->load->options.clu, host, client->ticket);
		if (client->ticket[0] == '\0')
			return;
	}
	body = clu_job_body(use_key ? NULL : client->ticket,
	    load_random(&client->random, 2) ? "booth" : "wax", job->uid,
	    job->ntasks,
	    (int)load_random(&client->random,
		(uint32_t)client->load->options.task_ms_max + 1),
	    load_pick_action(client));
	if (!use_key)
		client->ticket[0] = '\0';
	final = false;
	for (attempt = 0; attempt < LOAD_ATTEMPTS_MAX && !final; attempt++) {
		if (attempt > 0) {
			client->resubmitted++;
			clu_sleep((int)load_random(&client->random, 150));
		}
		clu_submit(load_pick_port(client), headers, body,
		    LOAD_ANSWER_TIMEOUT_MS, &reply);
		final = load_store_answer(client, job, &reply);
		if (reply.body_complete && reply.ticket[0] != '\0')
			memcpy(client->ticket, reply.ticket,
			    sizeof(client->ticket));
		clu_reply_free(&reply);
	}
	if (final && load_random(&client->random, 10) == 0)
		load_check_unchanged(client, job, headers, body);
	free(body);
}

static void *
load_client_run(void *arg)
{
	struct load_job *job;
	struct client *client;
	unsigned n;

	client = arg;
	for (n = 0; !atomic_load(&client->load->stop); n++) {
		job = calloc(1, sizeof(*job));
		if (job == NULL)
			err(1, "calloc");
		snprintf(job->uid, sizeof(job->uid), "c%d-%u", client->index,
		    n);
		job->ntasks = 1 +
		    (int)load_random(&client->random,
			(uint32_t)client->load->options.tasks_max);
		STAILQ_INSERT_TAIL(&client->jobs, job, entry);
		load_submit_job(client, job);
		if (!job->answered)
			clu_sleep(20);
	}
	return NULL;
}

struct load *
load_start(const struct load_options *options)
{
	struct client *client;
	struct load *load;
	int i;

	load = calloc(1, sizeof(*load));
	if (load == NULL)
		err(1, "calloc");
	load->options = *options;
	load->clients =
	    calloc((size_t)options->nclients, sizeof(*load->clients));
	for (i = 0; i < options->nclients; i++) {
		client = &load->clients[i];
		client->load = load;
		client->index = i;
		client->random =
		    (options->seed + 1) * 2654435769U + (unsigned)i * 40503U;
		STAILQ_INIT(&client->jobs);
		if (pthread_create(&client->thread, NULL, load_client_run,
			client))
			errx(1, "pthread_create");
	}
	return load;
}

void
load_stop(struct load *load)
{
	int i;

	atomic_store(&load->stop, true);
	for (i = 0; i < load->options.nclients; i++)
		pthread_join(load->clients[i].thread, NULL);
}

static unsigned
load_violation(const struct load_job *job, int task, const char *description)
{
	fprintf(stderr, "violation: %s-%d: %s (answer: %s)\n", job->uid, task,
	    description, job->answered ? outcome_name(job->outcome) : "none");
	return 1;
}

/* Compares the number of starts of task @i with the answer. */
static unsigned
load_check_task(const struct load_job *job, int i, json_int_t starts)
{
	const json_t *result;
	const char *state, *body;
	char prefix[96];

	if (starts > 1)
		return load_violation(job, i, "started more than once");
	if (!job->answered)
		return 0;
	if (job->outcome == OUTCOME_COMPLETE && starts != 1)
		return load_violation(job, i,
		    "outcome complete, but never started");
	if (job->outcome == OUTCOME_NOT_RUN && starts != 0)
		return load_violation(job, i, "outcome not-run, but started");
	result = json_array_get(job->results, (size_t)i);
	state = sti_str(result, "state", "");
	if (strcmp(state, "not-run") == 0 && starts != 0)
		return load_violation(job, i, "state not-run, but started");
	if (strcmp(state, "done") == 0) {
		snprintf(prefix, sizeof(prefix), "{\"uid\":\"%s-%03d\",",
		    job->uid, i);
		body = sti_str(result, "body", "");
		if (starts != 1 || strncmp(body, prefix, strlen(prefix)) != 0)
			return load_violation(job, i,
			    "state done, but not started once with this "
			    "result");
	}
	return 0;
}

static void
load_check_job(const struct load_job *job, const json_t *starts,
    struct load_report *report)
{
	char uid[64];
	int i;

	for (i = 0; i < job->ntasks; i++) {
		snprintf(uid, sizeof(uid), "%s-%03d", job->uid, i);
		report->violations +=
		    load_check_task(job, i, sti_int(starts, uid, 0));
	}
	if (!job->answered) {
		report->unanswered++;
	} else if (job->outcome == OUTCOME_COMPLETE) {
		report->complete++;
		if (!job->answer_valid)
			report->violations += load_violation(job, 0,
			    "outcome complete, but results missing or wrong");
	} else if (job->outcome == OUTCOME_NOT_RUN) {
		report->not_run++;
	} else if (job->outcome == OUTCOME_TASK_FAILED) {
		report->task_failed++;
	} else {
		report->unknown++;
	}
}

void
load_check(struct load *load, struct load_report *report)
{
	json_t *record, *starts, *start;
	struct load_job *job;
	struct client *client;
	const char *uid;
	size_t j;
	int i;

	memset(report, 0, sizeof(*report));
	starts = json_object();
	record = clu_start_records(load->options.clu, "c");
	json_array_foreach (record, j, start) {
		uid = sti_str(start, "uid", "");
		json_object_set_new(starts, uid,
		    json_integer(sti_int(starts, uid, 0) + 1));
	}
	json_decref(record);
	for (i = 0; i < load->options.nclients; i++) {
		client = &load->clients[i];
		report->resubmitted += client->resubmitted;
		report->violations += client->changed_answers;
		while ((job = STAILQ_FIRST(&client->jobs)) != NULL) {
			load_check_job(job, starts, report);
			STAILQ_REMOVE_HEAD(&client->jobs, entry);
			json_decref(job->results);
			free(job);
		}
	}
	json_decref(starts);
	free(load->clients);
	free(load);
}
