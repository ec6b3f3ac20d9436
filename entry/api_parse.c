/*
 * Parsing of submissions and queries. Nesting, sizes and values are limited;
 * unknown members are errors.
 */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/api_internal.h"

#define API_TIMEOUT_MS_MAX (24 * 3600 * 1000)
#define API_RUN_MS_MAX (3600 * 1000)

/* Maximum nesting depth of a JSON text, counted before it is parsed. */
static int
api_json_depth(const char *text, size_t len)
{
	int depth = 0, max_depth = 0;
	bool in_string = false;
	size_t i;

	for (i = 0; i < len; i++) {
		if (in_string) {
			if (text[i] == '\\')
				i++;
			else if (text[i] == '"')
				in_string = false;
		} else if (text[i] == '"') {
			in_string = true;
		} else if (text[i] == '{' || text[i] == '[') {
			if (++depth > max_depth)
				max_depth = depth;
		} else if (text[i] == '}' || text[i] == ']') {
			depth--;
		}
	}
	return max_depth;
}

static void
api_parse_set_error(enum refusal *refusal, enum refusal row, struct err *err,
    const char *detail)
{
	const struct refusal_row *spec = refusal_get(row);

	*refusal = row;
	(void)err_set(err, spec->step, spec->code, NULL, "%s: %s", spec->title,
	    detail);
}

json_t *
api_parse_json(const void *body, size_t len, enum refusal *refusal,
    struct err *err)
{
	json_error_t error;
	json_t *doc;

	if (api_json_depth(body, len) > JSON_DEPTH_MAX) {
		api_parse_set_error(refusal, REF_NESTING, err,
		    "more than 16 levels");
		return NULL;
	}
	doc = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
	if (doc == NULL) {
		api_parse_set_error(refusal, REF_JSON, err, error.text);
		return NULL;
	}
	if (!json_is_object(doc)) {
		api_parse_set_error(refusal, REF_JSON, err,
		    "the body is not an object");
		json_decref(doc);
		return NULL;
	}
	return doc;
}

/* Gets an integer from 0 to @max; false for anything else. */
static bool
api_json_number(const json_t *value, json_int_t max, json_int_t *number)
{
	if (!json_is_integer(value))
		return false;
	*number = json_integer_value(value);
	return *number >= 0 && *number <= max;
}

/* Gets a string that fits into @size bytes with its NUL. */
static bool
api_json_text(const json_t *value, char *text, size_t size)
{
	size_t len = json_string_length(value);

	if (!json_is_string(value) || len >= size ||
	    memchr(json_string_value(value), '\0', len) != NULL)
		return false;
	memcpy(text, json_string_value(value), len + 1);
	return true;
}

static bool
api_parse_body(struct task_spec *task, const json_t *value)
{
	if (!json_is_string(value))
		return false;
	task->body_len = json_string_length(value);
	task->body = malloc(task->body_len + 1);
	if (task->body == NULL)
		return false;
	memcpy(task->body, json_string_value(value), task->body_len + 1);
	return true;
}

/* Returns the name of the first invalid member, or NULL if all are valid. */
static const char *
api_parse_task(struct task_spec *task, json_t *doc)
{
	const char *key;
	json_int_t number;
	json_t *value;

	if (!json_is_object(doc))
		return "tasks";
	json_object_foreach (doc, key, value) {
		if (strcmp(key, "body") == 0) {
			if (!api_parse_body(task, value))
				return "body";
		} else if (strcmp(key, "run_ms") == 0) {
			if (!api_json_number(value, API_RUN_MS_MAX, &number))
				return "run_ms";
			task->run_ms = (uint32_t)number;
		} else {
			return "unknown member of a task";
		}
	}
	return NULL;
}

static const char *
api_parse_tasks(struct submission *subm, json_t *tasks)
{
	const char *bad_member;
	size_t i;

	for (i = 0; i < subm->ntasks; i++) {
		bad_member =
		    api_parse_task(&subm->tasks[i], json_array_get(tasks, i));
		if (bad_member != NULL)
			return bad_member;
	}
	return NULL;
}

static const char *
api_parse_members(struct api_parsed_body *parsed, json_t *doc)
{
	struct submission *subm = parsed->subm;
	json_int_t number;
	const char *key;
	json_t *value;

	json_object_foreach (doc, key, value) {
		if (strcmp(key, "ticket") == 0) {
			if (!api_json_text(value, parsed->ticket,
				sizeof(parsed->ticket)) ||
			    parsed->ticket[0] == '\0')
				return "ticket";
		} else if (strcmp(key, "job") == 0) {
			if (!api_json_text(value, subm->job, sizeof(subm->job)))
				return "job";
		} else if (strcmp(key, "timeout_ms") == 0) {
			if (!api_json_number(value, API_TIMEOUT_MS_MAX,
				&number))
				return "timeout_ms";
			subm->timeout_us = (uint64_t)number * 1000;
		} else if (strcmp(key, "tasks") != 0) {
			return "unknown member";
		}
	}
	if (subm->job[0] == '\0')
		return "job";
	return api_parse_tasks(subm, json_object_get(doc, "tasks"));
}

int
api_parse_submission(const void *body, size_t len,
    struct api_parsed_body *parsed, enum refusal *refusal, struct err *err)
{
	const char *bad_member;
	json_t *doc, *tasks;

	memset(parsed, 0, sizeof(*parsed));
	doc = api_parse_json(body, len, refusal, err);
	if (doc == NULL)
		return -1;
	tasks = json_object_get(doc, "tasks");
	if (!json_is_array(tasks) || json_array_size(tasks) == 0) {
		api_parse_set_error(refusal, REF_MEMBER, err, "tasks");
		goto error;
	}
	if (json_array_size(tasks) > JOB_TASKS_MAX) {
		api_parse_set_error(refusal, REF_TASKS, err,
		    "more than 170 tasks");
		goto error;
	}
	parsed->subm = subm_create(json_array_size(tasks));
	if (parsed->subm == NULL) {
		api_parse_set_error(refusal, REF_NO_MEMORY, err, "submission");
		goto error;
	}
	bad_member = api_parse_members(parsed, doc);
	if (bad_member != NULL) {
		api_parse_set_error(refusal, REF_MEMBER, err, bad_member);
		goto error;
	}
	json_decref(doc);
	return 0;
error:
	subm_free(parsed->subm);
	parsed->subm = NULL;
	json_decref(doc);
	return -1;
}

bool
api_query_text(const char *query, const char *name, char *text, size_t size)
{
	size_t name_len = strlen(name), len;
	const char *p = query;

	while (p != NULL && *p != '\0') {
		len = strcspn(p, "&");
		if (len > name_len && p[name_len] == '=' &&
		    strncmp(p, name, name_len) == 0) {
			len -= name_len + 1;
			if (len >= size)
				len = size - 1;
			memcpy(text, p + name_len + 1, len);
			text[len] = '\0';
			return true;
		}
		p += len;
		if (*p == '&')
			p++;
	}
	return false;
}

int
api_query_number(const char *query, const char *name, uint32_t max,
    uint32_t *value)
{
	unsigned long number;
	char text[16];
	char *end;

	if (!api_query_text(query, name, text, sizeof(text)))
		return 0;
	if (text[0] < '0' || text[0] > '9')
		return -1;
	number = strtoul(text, &end, 10);
	if (*end != '\0' || number > max)
		return -1;
	*value = (uint32_t)number;
	return 0;
}
