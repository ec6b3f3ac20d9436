/*
 * Parsing of jobs from JSON.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "entry/jobs/job_json.h"

#define ID "5c0e7a21d94b36f8"

static int
parse(struct job_spec *spec, const char *body)
{
	struct err err;

	return job_parse(spec, ID, body, strlen(body), &err);
}

Test(job_json, steps_and_dependencies_are_parsed)
{
	struct job_spec spec;
	const struct job_queue queue = { .slack_permille = 1600,
		.target_ms = 60 };

	cr_assert_eq(parse(&spec,
			 "{\"spec\":\"x\",\"best_effort\":true,\"steps\":["
			 "{\"count\":4,\"cpu\":500,\"estimated_ms\":900,"
			 "\"affinity\":\"r1\"},{\"count\":2,\"cpu\":2000,"
			 "\"estimated_ms\":100,\"after\":[0],"
			 "\"requirements\":\"b\",\"anti_affinity\":1}]}"),
	    0);
	cr_expect_eq(spec.ntasks, 6);
	cr_expect(spec.best_effort);
	cr_expect_eq(spec.steps[1].prerequisites, 1);
	cr_expect_str_eq(spec.steps[1].required_label, "b");
	cr_expect_eq(spec.steps[1].per_server_max, 1);
	cr_expect_eq(job_critical_path_ms(&spec), 1000);
	cr_expect_eq(job_objective_ms(&spec, &queue), 1660);
	job_spec_release(&spec);
}

Test(job_json, malformed_jobs_are_refused)
{
	static const char *const malformed[] = { "", "[]", "{}",
		"{\"steps\":[]}", "{\"steps\":[{\"count\":0}]}",
		"{\"steps\":[{\"count\":\"1\"}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":5000}]}",
		"{\"steps\":[{\"count\":-1}]}",
		"{\"spec\":1,\"steps\":[{\"count\":1}]}" };
	struct job_spec spec;
	struct err err;
	size_t i;

	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		cr_expect_eq(parse(&spec, malformed[i]), -1, "%s",
		    malformed[i]);
	cr_expect_eq(
	    job_parse(&spec, "xyz", "{\"steps\":[{\"count\":1}]}", 23, &err),
	    -1);
}

Test(job_json, scheduling_flags_are_parsed)
{
	struct job_spec spec;

	cr_assert_eq(parse(&spec,
			 "{\"long_running\":true,\"steps\":[{\"count\":2,"
			 "\"gang_scheduled\":true,\"same_rack\":true},"
			 "{\"count\":1,\"fills\":true},"
			 "{\"count\":1,\"target_ms\":40}]}"),
	    0);
	cr_expect_null(spec.unsupported);
	cr_expect(spec.long_running);
	cr_expect(spec.steps[0].gang);
	cr_expect(spec.steps[0].same_rack);
	cr_expect_not(spec.steps[1].gang);
	cr_expect(spec.steps[1].fills);
	cr_expect(spec.steps[2].latency_sensitive);
	cr_expect_not(spec.steps[2].fills);
	cr_expect_eq(spec.max_runs, 1);
	job_spec_release(&spec);
	cr_assert_eq(parse(&spec,
			 "{\"max_runs\":3,\"start_at_ms\":1784057000123,"
			 "\"interval_ms\":250,\"steps\":[{\"count\":2}]}"),
	    0);
	cr_expect_null(spec.unsupported);
	cr_expect_eq(spec.max_runs, 3);
	cr_expect_eq(spec.start_at_ms, UINT64_C(1784057000123));
	cr_expect_eq(spec.interval_ms, 250);
	job_spec_release(&spec);
}

Test(job_json, unsupported_field_is_named)
{
	static const char *const bodies[][2] = {
		{ "{\"max_runs\":3,\"best_effort\":true,"
		  "\"steps\":[{\"count\":2}]}",
		    "max_runs" },
		{ "{\"max_runs\":4000,\"steps\":[{\"count\":2}]}", "max_runs" },
	};
	struct job_spec spec;
	size_t i;

	for (i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		cr_assert_eq(parse(&spec, bodies[i][0]), 0);
		cr_expect_str_eq(spec.unsupported, bodies[i][1]);
		job_spec_release(&spec);
	}
}
