/*
 * Reads the metrics of entry hosts.
 */

#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "support/cluster.h"

void
bsc_add_metrics(json_t *sums, uint16_t http_port, int sign)
{
	struct clu_reply reply;
	char *line, *saveptr, *space;
	double value;

	clu_http(http_port, "GET", "/metrics", NULL, NULL, 2000, &reply);
	for (line = strtok_r(reply.body, "\n", &saveptr); line != NULL;
	     line = strtok_r(NULL, "\n", &saveptr)) {
		space = strrchr(line, ' ');
		if (line[0] == '#' || space == NULL)
			continue;
		*space = '\0';
		value = sign * strtod(space + 1, NULL) +
		    json_number_value(json_object_get(sums, line));
		json_object_set_new(sums, line, json_real(value));
	}
	clu_reply_free(&reply);
}

double
bsc_sum_series(const json_t *sums, const char *prefix)
{
	const char *name;
	json_t *value;
	double sum = 0;

	json_object_foreach ((json_t *)sums, name, value) {
		if (strncmp(name, prefix, strlen(prefix)) == 0)
			sum += json_number_value(value);
	}
	return sum;
}
