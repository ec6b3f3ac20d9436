/*
 * JSON form of the records of stored jobs. "progress" has one character for
 * each task: '+' if it has succeeded, else the number of its failed runs.
 */

#include <jansson.h>

#include "core/mem.h"
#include "entry/jobs/job_record.h"

#define JREC_FAILURES_MAX 9 /* one digit; a higher number is stored as 9 */
#define JREC_TASKS_MAX 4096

static json_t *
jrec_render_ended(const struct job_record *record)
{
	return json_pack("{s:i,s:s,s:I,s:I}", "state", (int)record->state, "az",
	    record->az, "nonce", (json_int_t)record->nonce, "ended_ms",
	    (json_int_t)record->ended_ms);
}

/* Tasks with failed runs are few, so they are listed as [task, run] pairs. */
static json_t *
jrec_render_failed_runs(const struct job_record *record)
{
	json_t *rows = json_array();
	uint32_t i;

	for (i = 0; i < record->ntasks; i++) {
		if (record->last_failed_runs[i] != 0)
			(void)json_array_append_new(rows,
			    json_pack("[I,I]", (json_int_t)i,
				(json_int_t)record->last_failed_runs[i]));
	}
	return rows;
}

static json_t *
jrec_render_accepted(const struct job_record *record)
{
	const struct job_queue *queue = &record->queue;
	char *progress = mem_zalloc(record->ntasks + 1, 1);
	json_t *root;
	uint32_t i;

	for (i = 0; i < record->ntasks; i++)
		progress[i] = record->done[i] != 0
		    ? '+'
		    : (char)('0' +
			  (record->nfailures[i] > JREC_FAILURES_MAX
				  ? JREC_FAILURES_MAX
				  : record->nfailures[i]));
	root = json_pack("{s:i,s:s,s:I,s:s,s:s,s:i,s:i,s:i,s:i,s:b,s:s,s:s%}",
	    "state", (int)record->state, "az", record->az, "nonce",
	    (json_int_t)record->nonce, "queue", queue->name, "service",
	    queue->service, "priority", (int)queue->priority, "attempts",
	    (int)queue->max_attempts, "slack", (int)queue->slack_permille,
	    "target_ms", (int)queue->target_ms, "advised", (int)queue->advised,
	    "progress", progress, "body", record->body, record->body_len);
	free(progress);
	(void)json_object_set_new(root, "config",
	    json_integer((json_int_t)queue->config_version));
	(void)json_object_set_new(root, "failed",
	    jrec_render_failed_runs(record));
	return root;
}

char *
jrec_render(const struct job_record *record, size_t *len)
{
	json_t *root = record->state == JREC_ACCEPTED
	    ? jrec_render_accepted(record)
	    : jrec_render_ended(record);
	char *text = json_dumps(root, JSON_COMPACT);

	if (text == NULL)
		abort();
	*len = strlen(text);
	json_decref(root);
	return text;
}

static void
jrec_parse_progress(struct job_record *record, const char *progress)
{
	uint32_t i;

	record->ntasks = (uint32_t)strlen(progress);
	record->done = mem_zalloc(record->ntasks, 1);
	record->nfailures = mem_zalloc(record->ntasks, 1);
	record->last_failed_runs =
	    mem_zalloc(record->ntasks, sizeof(*record->last_failed_runs));
	for (i = 0; i < record->ntasks; i++) {
		record->done[i] = progress[i] == '+';
		if (progress[i] >= '0' && progress[i] <= '9')
			record->nfailures[i] = (uint8_t)(progress[i] - '0');
	}
}

static void
jrec_parse_failed_runs(struct job_record *record, const json_t *rows)
{
	const json_t *row;
	json_int_t task;
	size_t i;

	json_array_foreach (rows, i, row) {
		task = json_integer_value(json_array_get(row, 0));
		if (task >= 0 && task < record->ntasks)
			record->last_failed_runs[task] =
			    (uint64_t)json_integer_value(
				json_array_get(row, 1));
	}
}

static uint32_t
jrec_number(const json_t *root, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(root, name));

	return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

static int
jrec_parse_accepted(struct job_record *record, const json_t *root)
{
	const json_t *body = json_object_get(root, "body");
	const char *queue = json_string_value(json_object_get(root, "queue"));
	const char *service =
	    json_string_value(json_object_get(root, "service"));
	const char *progress =
	    json_string_value(json_object_get(root, "progress"));

	if (queue == NULL || service == NULL || progress == NULL ||
	    strlen(progress) > JREC_TASKS_MAX || !json_is_string(body))
		return -1;
	strlcpy(record->queue.name, queue, NAME_SIZE);
	strlcpy(record->queue.service, service, NAME_SIZE);
	record->queue.priority = jrec_number(root, "priority");
	record->queue.max_attempts = jrec_number(root, "attempts");
	record->queue.slack_permille = jrec_number(root, "slack");
	record->queue.target_ms = jrec_number(root, "target_ms");
	record->queue.advised = json_is_true(json_object_get(root, "advised"));
	record->queue.config_version =
	    (uint64_t)json_integer_value(json_object_get(root, "config"));
	record->body_len = json_string_length(body);
	record->body = mem_strndup(json_string_value(body), record->body_len);
	jrec_parse_progress(record, progress);
	jrec_parse_failed_runs(record, json_object_get(root, "failed"));
	return 0;
}

int
jrec_parse(struct job_record *record, const char *value, size_t len)
{
	json_t *root = json_loadb(value, len, 0, NULL);
	const char *az = json_string_value(json_object_get(root, "az"));
	uint32_t state = jrec_number(root, "state");
	int rc = -1;

	memset(record, 0, sizeof(*record));
	if (az == NULL || state > JREC_CANCELLED)
		goto out;
	record->state = (enum jrec_state)state;
	strlcpy(record->az, az, NAME_SIZE);
	record->nonce =
	    (uint64_t)json_integer_value(json_object_get(root, "nonce"));
	record->ended_ms =
	    (uint64_t)json_integer_value(json_object_get(root, "ended_ms"));
	rc = state == JREC_ACCEPTED ? jrec_parse_accepted(record, root) : 0;
out:
	json_decref(root);
	return rc;
}

void
jrec_release(struct job_record *record)
{
	free(record->body);
	free(record->done);
	free(record->nfailures);
	free(record->last_failed_runs);
}
