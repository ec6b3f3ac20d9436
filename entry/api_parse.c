/*
 * Reading submissions and queries, within bounds.
 */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/api_internal.h"

#define API_TIMEOUT_MS_MAX (24 * 3600 * 1000)
#define API_RUN_MS_MAX (3600 * 1000)

/* Deepest nesting of a text, counted before it is parsed. */
static int
api_json_depth(const char *text, size_t len)
{
	int depth = 0, deepest = 0;
	bool quoted = false;
	size_t i;

	for (i = 0; i < len; i++) {
		if (quoted) {
			if (text[i] == '\\')
				i++;
			else if (text[i] == '"')
				quoted = false;
		} else if (text[i] == '"') {
			quoted = true;
		} else if (text[i] == '{' || text[i] == '[') {
			if (++depth > deepest)
				deepest = depth;
		} else if (text[i] == '}' || text[i] == ']') {
			depth--;
		}
	}
	return deepest;
}

static void
api_parse_fail(enum refusal *refusal, enum refusal row, struct err *err,
    const char *what)
{
	const struct refusal_row *spec = refusal_get(row);

	*refusal = row;
	(void)err_set(err, spec->step, spec->code, NULL, "%s: %s", spec->title,
	    what);
}

json_t *
api_parse_json(const void *body, size_t len, enum refusal *refusal,
    struct err *err)
{
	json_error_t error;
	json_t *doc;

	if (api_json_depth(body, len) > JSON_DEPTH_MAX) {
		api_parse_fail(refusal, REF_NESTING, err, "too many levels");
		return NULL;
	}
	doc = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
	if (doc == NULL) {
		api_parse_fail(refusal, REF_JSON, err, error.text);
		return NULL;
	}
	if (!json_is_object(doc)) {
		api_parse_fail(refusal, REF_JSON, err, "not an object");
		json_decref(doc);
		return NULL;
	}
	return doc;
}

/* A whole number of at most @max; false for anything else. */
static bool
api_json_number(const json_t *value, json_int_t max, json_int_t *number)
{
	if (!json_is_integer(value))
		return false;
	*number = json_integer_value(value);
	return *number >= 0 && *number <= max;
}

/* A text that fits into @size bytes with its NUL. */
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

/* Name of the member that is wrong, or NULL. */
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
	const char *wrong;
	size_t i;

	for (i = 0; i < subm->ntasks; i++) {
		wrong =
		    api_parse_task(&subm->tasks[i], json_array_get(tasks, i));
		if (wrong != NULL)
			return wrong;
	}
	return NULL;
}

static const char *
api_parse_members(struct api_form *form, json_t *doc)
{
	struct submission *subm = form->subm;
	json_int_t number;
	const char *key;
	json_t *value;

	json_object_foreach (doc, key, value) {
		if (strcmp(key, "ticket") == 0) {
			if (!api_json_text(value, form->ticket,
				sizeof(form->ticket)) ||
			    form->ticket[0] == '\0')
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
api_parse_submission(const void *body, size_t len, struct api_form *form,
    enum refusal *refusal, struct err *err)
{
	const char *wrong;
	json_t *doc, *tasks;

	memset(form, 0, sizeof(*form));
	doc = api_parse_json(body, len, refusal, err);
	if (doc == NULL)
		return -1;
	tasks = json_object_get(doc, "tasks");
	if (!json_is_array(tasks) || json_array_size(tasks) == 0) {
		api_parse_fail(refusal, REF_MEMBER, err, "tasks");
		goto error;
	}
	if (json_array_size(tasks) > JOB_TASKS_MAX) {
		api_parse_fail(refusal, REF_TASKS, err, "more than 170");
		goto error;
	}
	form->subm = subm_create(json_array_size(tasks));
	if (form->subm == NULL) {
		api_parse_fail(refusal, REF_NO_MEMORY, err, "submission");
		goto error;
	}
	wrong = api_parse_members(form, doc);
	if (wrong != NULL) {
		api_parse_fail(refusal, REF_MEMBER, err, wrong);
		goto error;
	}
	json_decref(doc);
	return 0;
error:
	subm_free(form->subm);
	form->subm = NULL;
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
