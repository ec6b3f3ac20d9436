#include <criterion/criterion.h>
#include <string.h>

#include "core/histogram.h"

static void
emit(void *arg, const char *text, size_t len)
{
	strncat(arg, text, len);
}

Test(histogram, buckets_are_cumulative_and_bounds_inclusive)
{
	static const uint64_t bounds[] = { 10, 100 };
	struct histogram hist = { .name = "h_seconds",
		.help = "help",
		.bounds = bounds,
		.nbounds = 2,
		.unit = 0.001 };
	char text[1024] = "", all[1024] = "";

	hist_add(&hist, 10);
	hist_add(&hist, 11);
	hist_add(&hist, 1000);
	hist_render(&hist, emit, text);
	hist_render_all(emit, all);
	cr_expect_str_eq(all, text);
	cr_assert_str_eq(text,
	    "# HELP h_seconds help\n"
	    "# TYPE h_seconds histogram\n"
	    "h_seconds_bucket{le=\"0.01\"} 1\n"
	    "h_seconds_bucket{le=\"0.1\"} 2\n"
	    "h_seconds_bucket{le=\"+Inf\"} 3\n"
	    "h_seconds_sum 1.021000\n"
	    "h_seconds_count 3\n");
}
