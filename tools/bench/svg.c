/*
 * Curves of a case as SVG: mean ratio of the response time to the ideal one for
 * each second of arrivals, one line for each policy.
 */

#include <stdio.h>
#include <string.h>

#include "bench.h"

#define BSV_WIDTH_PX 640
#define BSV_HEIGHT_PX 240
#define BSV_MARGIN_PX 40
#define BSV_POLICIES_MAX 6

/* The curve of one policy over all seeds. */
struct bsv_line {
	const char *policy;
	double sum[BENCH_CURVE_SECONDS_MAX]; /* of ratios */
	int n[BENCH_CURVE_SECONDS_MAX];	     /* complete answers */
};

static const char *const bsv_colours[BSV_POLICIES_MAX] = { "#1565c0", "#c62828",
	"#2e7d32", "#6a1b9a", "#ef6c00", "#455a64" };

static struct bsv_line *
bsv_find_line(struct bsv_line *lines, size_t *nlines, const char *policy)
{
	size_t i;

	for (i = 0; i < *nlines; i++) {
		if (strcmp(lines[i].policy, policy) == 0)
			return &lines[i];
	}
	if (i == BSV_POLICIES_MAX)
		return NULL;
	lines[i].policy = policy;
	(*nlines)++;
	return &lines[i];
}

static void
bsv_add_curve(struct bsv_line *line, json_t *curve)
{
	json_t *point;
	size_t i;
	int n;

	json_array_foreach (curve, i, point) {
		n = (int)json_integer_value(json_object_get(point, "complete"));
		if (i >= BENCH_CURVE_SECONDS_MAX || n == 0)
			continue;
		line->sum[i] +=
		    n * json_number_value(json_object_get(point, "mean"));
		line->n[i] += n;
	}
}

static double
bsv_mean(const struct bsv_line *line, int s)
{
	return line->n[s] > 0 ? line->sum[s] / line->n[s] : 0;
}

static void
bsv_draw_line(FILE *out, const struct bsv_line *line, size_t index, int seconds,
    double y_max)
{
	double x, y;
	int s;

	(void)fprintf(out,
	    "<text x=\"%zu\" y=\"34\" fill=\"%s\">%s</text>\n<polyline "
	    "fill=\"none\" stroke-width=\"2\" stroke=\"%s\" points=\"",
	    BSV_MARGIN_PX + index * 150, bsv_colours[index], line->policy,
	    bsv_colours[index]);
	for (s = 0; s < seconds; s++) {
		if (line->n[s] == 0)
			continue;
		x = BSV_MARGIN_PX +
		    (BSV_WIDTH_PX - 2.0 * BSV_MARGIN_PX) * (s + 0.5) / seconds;
		y = BSV_HEIGHT_PX - BSV_MARGIN_PX -
		    (BSV_HEIGHT_PX - 2.0 * BSV_MARGIN_PX) * bsv_mean(line, s) /
			y_max;
		(void)fprintf(out, "%.1f,%.1f ", x, y);
	}
	(void)fprintf(out, "\"/>\n");
}

static void
bsv_draw_axes(FILE *out, const char *title, int seconds, double y_max)
{
	int x_axis_y = BSV_HEIGHT_PX - BSV_MARGIN_PX;

	(void)fprintf(out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	    "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
	    "<text x=\"%d\" y=\"18\">%s: ratio of response time to the ideal, "
	    "by second of arrival</text>\n"
	    "<path d=\"M%d %dV%dH%d\" fill=\"none\" stroke=\"black\"/>\n"
	    "<text x=\"4\" y=\"%d\">%.1f</text>\n<text x=\"4\" y=\"%d\">0"
	    "</text>\n<text x=\"%d\" y=\"%d\">%d s</text>\n",
	    BSV_WIDTH_PX, BSV_HEIGHT_PX, BSV_MARGIN_PX, title, BSV_MARGIN_PX,
	    BSV_MARGIN_PX, x_axis_y, BSV_WIDTH_PX - BSV_MARGIN_PX,
	    BSV_MARGIN_PX + 4, y_max, x_axis_y, BSV_WIDTH_PX - BSV_MARGIN_PX,
	    x_axis_y + 16, seconds);
}

int
bsv_write(const char *path, const char *title, json_t *runs)
{
	struct bsv_line lines[BSV_POLICIES_MAX], *line;
	size_t nlines = 0, i;
	double y_max = 1;
	int s, seconds = 1;
	json_t *run;
	FILE *out;

	memset(lines, 0, sizeof(lines));
	json_array_foreach (runs, i, run) {
		if (strcmp(json_string_value(json_object_get(run, "case")),
			title) != 0)
			continue;
		line = bsv_find_line(lines, &nlines,
		    json_string_value(json_object_get(run, "policy")));
		if (line != NULL)
			bsv_add_curve(line, json_object_get(run, "curve"));
	}
	for (i = 0; i < nlines; i++) {
		for (s = 0; s < BENCH_CURVE_SECONDS_MAX; s++) {
			if (lines[i].n[s] > 0 && s >= seconds)
				seconds = s + 1;
			if (bsv_mean(&lines[i], s) > y_max)
				y_max = bsv_mean(&lines[i], s);
		}
	}
	out = nlines > 0 ? fopen(path, "w") : NULL;
	if (out == NULL)
		return -1;
	bsv_draw_axes(out, title, seconds, y_max);
	for (i = 0; i < nlines; i++)
		bsv_draw_line(out, &lines[i], i, seconds, y_max);
	(void)fprintf(out, "</svg>\n");
	return fclose(out);
}
