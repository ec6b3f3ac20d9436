/*
 * Parses the JSON form of a job, which consists of steps. Unknown members are
 * ignored.
 */

#include <jansson.h>

#include "core/mem.h"
#include "entry/jobs/job_json.h"

#define JOB_TASKS_TOTAL_MAX 4096  /* of all steps of a job */
#define JOB_NUMBER_MAX 1000000000 /* of any number in a job */

static int
job_parse_error(struct err *err, const char *what)
{
	return err_set(err, ERR_STEP_PARSE, ERR_INVALID, NULL, "%s", what);
}

/* Parses a number from 0 to JOB_NUMBER_MAX; 0 if it is absent. */
static int
job_parse_number(const json_t *object, const char *name, uint32_t *value)
{
	const json_t *field = json_object_get(object, name);

	*value = 0;
	if (field == NULL)
		return 0;
	if (!json_is_number(field) || json_number_value(field) < 0 ||
	    json_number_value(field) > JOB_NUMBER_MAX)
		return -1;
	*value = (uint32_t)json_number_value(field);
	return 0;
}

static int
job_parse_name(const json_t *object, const char *name, char value[NAME_SIZE])
{
	const json_t *field = json_object_get(object, name);

	value[0] = '\0';
	if (field == NULL)
		return 0;
	if (!json_is_string(field) || json_string_length(field) >= NAME_SIZE)
		return -1;
	memcpy(value, json_string_value(field), json_string_length(field) + 1);
	return 0;
}

/* Parses the steps that must be done before @step, which must precede it in the
 * array of steps, and sets a bit of @mask for each of them. */
static int
job_parse_prerequisites(const json_t *object, size_t step, uint64_t *mask)
{
	const json_t *field = json_object_get(object, "after");
	const json_t *item;
	size_t i;

	*mask = 0;
	if (field == NULL)
		return 0;
	if (!json_is_array(field))
		return -1;
	json_array_foreach (field, i, item) {
		if (!json_is_integer(item) || json_integer_value(item) < 0 ||
		    (size_t)json_integer_value(item) >= step)
			return -1;
		*mask |= UINT64_C(1) << json_integer_value(item);
	}
	return 0;
}

static int
job_parse_step(struct job_spec *spec, const json_t *object, struct err *err)
{
	struct job_step *step = &spec->steps[spec->nsteps];
	if (!json_is_object(object) ||
	    job_parse_number(object, "count", &step->count) == -1 ||
	    job_parse_number(object, "cpu", &step->cpu) == -1 ||
	    job_parse_number(object, "mem_mb", &step->mem_mb) == -1 ||
	    job_parse_number(object, "gpus", &step->gpus) == -1 ||
	    job_parse_number(object, "estimated_ms", &step->estimated_ms) ==
		-1 ||
	    job_parse_number(object, "anti_affinity", &step->per_server_max) ==
		-1 ||
	    job_parse_name(object, "requirements", step->required_label) ==
		-1 ||
	    job_parse_name(object, "affinity", step->preferred_rack) == -1 ||
	    job_parse_prerequisites(object, spec->nsteps,
		&step->prerequisites) == -1)
		return job_parse_error(err,
		    "a step or one of its fields is invalid");
	step->allow_duplicates =
	    json_is_true(json_object_get(object, "allow_duplicates"));
	step->gang = json_is_true(json_object_get(object, "gang_scheduled"));
	step->same_rack = json_is_true(json_object_get(object, "same_rack"));
	if (json_is_true(json_object_get(object, "long_running")))
		spec->long_running = true;
	step->fills = json_is_true(json_object_get(object, "fills"));
	step->latency_sensitive =
	    json_is_number(json_object_get(object, "target_ms"));
	spec->nsteps++;
	spec->ntasks += step->count;
	if (step->count > JOB_TASKS_TOTAL_MAX ||
	    spec->ntasks > JOB_TASKS_TOTAL_MAX)
		return err_set(err, ERR_STEP_PARSE, ERR_TOO_LARGE, NULL,
		    "the job has more than %d tasks", JOB_TASKS_TOTAL_MAX);
	return 0;
}

static int
job_parse_steps(struct job_spec *spec, const json_t *steps, struct err *err)
{
	const json_t *step;
	size_t i;

	if (!json_is_array(steps) || json_array_size(steps) == 0)
		return job_parse_error(err,
		    "steps: expected a non-empty array");
	if (json_array_size(steps) > JOB_STEPS_MAX)
		return err_set(err, ERR_STEP_PARSE, ERR_TOO_LARGE, NULL,
		    "the job has more than %d steps", JOB_STEPS_MAX);
	spec->steps = mem_zalloc(json_array_size(steps), sizeof(*spec->steps));
	json_array_foreach (steps, i, step) {
		if (job_parse_step(spec, step, err) == -1)
			return -1;
	}
	if (spec->ntasks == 0)
		return job_parse_error(err, "the job has no tasks");
	return 0;
}

/* Applies the flags that are set for the job to each of its steps. */
static void
job_apply_to_steps(struct job_spec *spec, const json_t *root)
{
	bool sensitive = json_is_number(json_object_get(root, "target_ms"));
	bool fills = json_is_true(json_object_get(root, "fills"));
	size_t i;

	for (i = 0; i < spec->nsteps; i++) {
		spec->steps[i].latency_sensitive |= sensitive;
		spec->steps[i].fills |= fills;
	}
}

static int
job_parse_root(struct job_spec *spec, const json_t *root, struct err *err)
{
	const json_t *text = json_object_get(root, "spec");
	const json_t *start = json_object_get(root, "start_at_ms");

	if (!json_is_object(root))
		return job_parse_error(err, "expected a JSON object");
	if (text != NULL && !json_is_string(text))
		return job_parse_error(err, "spec: expected a string");
	if (text != NULL && json_string_length(text) > JOB_SPEC_BYTES_MAX)
		return err_set(err, ERR_STEP_PARSE, ERR_TOO_LARGE, NULL,
		    "spec: more than %d bytes", JOB_SPEC_BYTES_MAX);
	spec->spec_text =
	    mem_strndup(text == NULL ? "" : json_string_value(text),
		text == NULL ? 0 : json_string_length(text));
	spec->best_effort = json_is_true(json_object_get(root, "best_effort"));
	if (job_parse_number(root, "max_runs", &spec->max_runs) == -1 ||
	    job_parse_number(root, "interval_ms", &spec->interval_ms) == -1 ||
	    (start != NULL && !json_is_integer(start)))
		return job_parse_error(err,
		    "max_runs, interval_ms or start_at_ms is not a valid "
		    "number");
	spec->start_at_ms = (uint64_t)json_integer_value(start);
	if (json_is_true(json_object_get(root, "long_running")))
		spec->long_running = true;
	if (job_parse_steps(spec, json_object_get(root, "steps"), err) == -1)
		return -1;
	job_apply_to_steps(spec, root);
	if (spec->max_runs == 0)
		spec->max_runs = 1;
	else if (spec->best_effort || spec->long_running ||
	    (uint64_t)spec->max_runs * spec->ntasks > JOB_TASKS_TOTAL_MAX)
		spec->unsupported = "max_runs";
	return 0;
}

int
job_parse(struct job_spec *spec, const char *id, const char *body, size_t len,
    struct err *err)
{
	json_error_t error;
	json_t *root;
	int rc;

	memset(spec, 0, sizeof(*spec));
	if (!job_id_valid(id))
		return job_parse_error(err,
		    "the id is not 16 hexadecimal digits");
	memcpy(spec->id, id, sizeof(spec->id));
	root = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
	if (root == NULL)
		return job_parse_error(err, error.text);
	rc = job_parse_root(spec, root, err);
	json_decref(root);
	if (rc == -1)
		job_spec_release(spec);
	return rc;
}
