/*
 * Tests the trace of a request in the logs of several hosts.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client/explain.h"

#define ID "00000000000000aa"
#define LINE(time, rest) \
	"20261204 10:13:" time " INFO     berylrail- " rest "\n"

static char *
explain(const char *const *logs, size_t nlogs, size_t *found)
{
	struct explain *explain = explain_create(ID);
	char *text = NULL;
	size_t i, size;
	FILE *file;

	for (i = 0; i < nlogs; i++) {
		file = fmemopen((void *)logs[i], strlen(logs[i]), "r");
		cr_assert_eq(explain_read(explain, file), 0);
		fclose(file);
	}
	file = open_memstream(&text, &size);
	*found = explain_print(explain, file);
	fclose(file);
	explain_destroy(explain);
	return text;
}

Test(explain, lines_of_all_hosts_are_sorted_by_time)
{
	static const char *const logs[] = {
		LINE("44.000", "event=accept host=h2 id=" ID " queue=q")
		    LINE("44.900",
			"event=answer host=h2 id=" ID
			" outcome=not-run reason=\"no server can complete the "
			"job in time\""),
		LINE("44.010",
		    "event=task-start host=h1 id=" ID " task=0.0 server=s3")
		    LINE("44.500", "event=server-unreachable host=h1 server=s3")
			LINE("44.600",
			    "event=server-unreachable host=h1 server=s4")
			    LINE("44.100",
				"event=task-start host=h1 id=00000000000000ab"),
	};
	static const char expected[] =
	    "    +0 ms   event=accept host=h2 id=" ID " queue=q\n"
	    "   +10 ms   event=task-start host=h1 id=" ID
	    " task=0.0 server=s3\n"
	    "  +500 ms | event=server-unreachable host=h1 server=s3\n"
	    "  +900 ms   event=answer host=h2 id=" ID
	    " outcome=not-run reason=\"no server can complete the job in "
	    "time\"\n"
	    "ended: not-run, reason=\"no server can complete the job in "
	    "time\"\n";
	size_t found;
	char *text = explain(logs, 2, &found);

	cr_expect_eq(found, 3);
	cr_expect_str_eq(text, expected, "%s", text);
	free(text);
}

Test(explain, old_context_events_are_omitted)
{
	static const char *const logs[] = {
		LINE("39.000", "event=holder-chosen host=h1 holder=h2 token=5")
		    LINE("39.500",
			"event=holder-chosen host=h1 holder=h1 token=0")
			LINE("40.000", "event=cell-acquired host=h1 token=7")
			    LINE("43.500",
				"event=cell-released host=h1 token=7")
				LINE("44.000", "event=accept host=h1 id=" ID)
				    LINE("44.000",
					"event=orphan-found host=h1 task=" ID
					".0.0.1 server=s1"),
	};
	size_t found;
	char *text = explain(logs, 1, &found);

	cr_expect_eq(found, 2);
	cr_expect_null(strstr(text, "cell-acquired"));
	/* The last choice of a holder is printed regardless of its age. */
	cr_expect_null(strstr(text, "holder=h2"));
	cr_expect_not_null(strstr(text, " -4500 ms | event=holder-chosen"));
	cr_expect_not_null(strstr(text, "  -500 ms | event=cell-released"));
	cr_expect_not_null(strstr(text, "orphan"));
	free(text);
}

Test(explain, unknown_request_prints_nothing)
{
	static const char *const logs[] = { "no log line at all " ID "\n" LINE(
	    "40.000", "event=accept host=h1 id=b") };
	size_t found;
	char *text = explain(logs, 1, &found);

	cr_expect_eq(found, 0);
	cr_expect_str_eq(text, "");
	free(text);
}
