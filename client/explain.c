/*
 * Trace of one request in the logs. Each line is read once. Lines with the id
 * of the request and lines of context events are stored. A context event is
 * printed if it is about a host or server involved, and was logged while the
 * request was processed or shortly before or after.
 */

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "berylrail/limits.h"
#include "client/explain.h"
#include "core/mem.h"

#define EXP_CONTEXT_BEFORE_MS 1000 /* a cause may precede the request */
#define EXP_CONTEXT_AFTER_MS 200
#define EXP_MS_PER_DAY 86400000ULL
#define EXP_TIMESTAMP_LEN 21 /* "YYYYMMDD HH:MM:SS.mmm" */

struct exp_line {
	char *text; /* from the timestamp on */
	uint64_t ms;
	size_t seq;  /* order of reading, for equal times */
	bool has_id; /* contains the id of the request */
};

struct exp_names {
	char (*names)[NAME_SIZE];
	size_t n;
};

struct explain {
	char *id;
	struct exp_line *lines;
	size_t nlines;
	struct exp_names hosts;
	struct exp_names servers;
};

/* Events that report a change of state; others are about single requests. */
static const char *const exp_context_events[] = { "cell-acquired",
	"cell-released", "fenced", "holder-chosen", "host-unreachable",
	"host-reachable", "server-unreachable", "server-reachable",
	"server-lost", "server-refusing", "lost-server-back",
	"lost-server-replaced", "server-replaced", "server-restarted",
	"server-removed", "lease-not-extended", "lease-extended",
	"server-ejected", "server-readmitted", "store-unreachable",
	"store-reachable", "store-history-unavailable", "configuration-applied",
	"partition-lost", "partition-claim-rejected", "stored-jobs-read",
	"process-resumed", "started", "draining", "stopped" };

struct explain *
explain_create(const char *id)
{
	struct explain *explain = mem_zalloc(1, sizeof(*explain));

	explain->id = mem_strndup(id, strlen(id));
	return explain;
}

void
explain_destroy(struct explain *explain)
{
	size_t i;

	for (i = 0; i < explain->nlines; i++)
		free(explain->lines[i].text);
	free(explain->lines);
	free(explain->hosts.names);
	free(explain->servers.names);
	free(explain->id);
	free(explain);
}

/* Copies the value of @key. Return: false if it is absent or too long. */
static bool
exp_get_value(const char *line, const char *key, char value[NAME_SIZE])
{
	const char *found = line;
	size_t len = strlen(key);

	while ((found = strstr(found, key)) != NULL) {
		if (found > line && found[-1] == ' ' && found[len] == '=')
			break;
		found += len;
	}
	if (found == NULL)
		return false;
	found += len + 1;
	len = strcspn(found, " \n");
	if (len >= NAME_SIZE)
		return false;
	memcpy(value, found, len);
	value[len] = '\0';
	return true;
}

static bool
exp_names_contain(const struct exp_names *names, const char *name)
{
	size_t i;

	for (i = 0; i < names->n; i++) {
		if (strcmp(names->names[i], name) == 0)
			return true;
	}
	return false;
}

static void
exp_add_name(struct exp_names *names, const char *line, const char *key)
{
	char name[NAME_SIZE];

	if (!exp_get_value(line, key, name) || exp_names_contain(names, name))
		return;
	names->names = reallocarray(names->names, names->n + 1, NAME_SIZE);
	if (names->names == NULL)
		abort();
	strlcpy(names->names[names->n++], name, NAME_SIZE);
}

/*
 * Parses the timestamp before the level; @ms counts from the start of the
 * month. Return: 0, or -1 if the line has none or has no event.
 */
static int
exp_parse_time(const char *line, const char **start, uint64_t *ms)
{
	unsigned int date, hour, minute, second, millisecond;
	const char *found = strstr(line, " event=");
	const char *pos;

	if (found == NULL)
		return -1;
	for (pos = line; pos + EXP_TIMESTAMP_LEN <= found; pos++) {
		if (pos[8] == ' ' && pos[11] == ':' && pos[14] == ':' &&
		    sscanf(pos, "%8u %2u:%2u:%2u.%3u", &date, &hour, &minute,
			&second, &millisecond) == 5) {
			*start = pos;
			*ms = date % 100 * EXP_MS_PER_DAY +
			    ((hour * 60ULL + minute) * 60 + second) * 1000 +
			    millisecond;
			return 0;
		}
	}
	return -1;
}

static bool
exp_has_id(const struct explain *explain, const char *line)
{
	const char *found = strstr(line, explain->id);
	size_t len = strlen(explain->id);

	return found != NULL && found > line && found[-1] == '=' &&
	    (found[len] == ' ' || found[len] == '.' || found[len] == '\n' ||
		found[len] == '\0');
}

static bool
exp_is_context(const char *line)
{
	char event[NAME_SIZE];
	size_t i;

	if (!exp_get_value(line, "event", event))
		return false;
	for (i = 0;
	     i < sizeof(exp_context_events) / sizeof(exp_context_events[0]);
	     i++) {
		if (strcmp(event, exp_context_events[i]) == 0)
			return true;
	}
	return false;
}

static void
exp_add_line(struct explain *explain, const char *line)
{
	bool has_id = exp_has_id(explain, line);
	struct exp_line *added;
	const char *start;
	uint64_t ms;

	if ((!has_id && !exp_is_context(line)) ||
	    exp_parse_time(line, &start, &ms) == -1)
		return;
	if ((explain->nlines & (explain->nlines - 1)) == 0) {
		explain->lines = reallocarray(explain->lines,
		    explain->nlines == 0 ? 1 : explain->nlines * 2,
		    sizeof(*explain->lines));
		if (explain->lines == NULL)
			abort();
	}
	added = &explain->lines[explain->nlines++];
	added->text = mem_strndup(start, strcspn(start, "\n"));
	added->ms = ms;
	added->seq = explain->nlines;
	added->has_id = has_id;
	if (!has_id)
		return;
	exp_add_name(&explain->hosts, line, "host");
	exp_add_name(&explain->hosts, line, "holder");
	exp_add_name(&explain->hosts, line, "from");
	exp_add_name(&explain->hosts, line, "to");
	exp_add_name(&explain->hosts, line, "next");
	exp_add_name(&explain->servers, line, "server");
}

int
explain_read(struct explain *explain, FILE *log)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, log) != -1)
		exp_add_line(explain, line);
	free(line);
	return ferror(log) ? -1 : 0;
}

static int
exp_compare_lines(const void *a, const void *b)
{
	const struct exp_line *first = a, *second = b;

	if (first->ms != second->ms)
		return first->ms < second->ms ? -1 : 1;
	return first->seq < second->seq ? -1 : 1;
}

/*
 * Returns whether a line is about a server involved or, if it names no server,
 * about a host involved.
 */
static bool
exp_is_relevant(const struct explain *explain, const struct exp_line *line)
{
	char name[NAME_SIZE];

	if (line->has_id)
		return true;
	if (exp_get_value(line->text, "server", name))
		return exp_names_contain(&explain->servers, name);
	return exp_get_value(line->text, "host", name) &&
	    exp_names_contain(&explain->hosts, name);
}

/*
 * Returns whether this is the last event holder-chosen of a host up to
 * @until_ms, which is printed regardless of its age.
 */
static bool
exp_is_last_holder_choice(const struct explain *explain, size_t index,
    uint64_t until_ms)
{
	const struct exp_line *line = &explain->lines[index];
	char host[NAME_SIZE], other[NAME_SIZE];
	size_t i;

	if (strstr(line->text, "event=holder-chosen ") == NULL ||
	    !exp_get_value(line->text, "host", host))
		return false;
	for (i = index + 1; i < explain->nlines; i++) {
		line = &explain->lines[i];
		if (line->ms > until_ms)
			break;
		if (strstr(line->text, "event=holder-chosen ") != NULL &&
		    exp_get_value(line->text, "host", other) &&
		    strcmp(host, other) == 0)
			return false;
	}
	return true;
}

static void
exp_print_outcome(const struct exp_line *last, FILE *out)
{
	char outcome[NAME_SIZE] = "none";
	const char *reason = strstr(last->text, "reason=");

	(void)exp_get_value(last->text, "outcome", outcome);
	fprintf(out, "ended: %s%s%s\n", outcome, reason == NULL ? "" : ", ",
	    reason == NULL ? "" : reason);
}

size_t
explain_print(struct explain *explain, FILE *out)
{
	const struct exp_line *line, *first = NULL, *last = NULL,
				     *answer = NULL;
	size_t i, n = 0;

	if (explain->nlines > 0)
		qsort(explain->lines, explain->nlines, sizeof(*explain->lines),
		    exp_compare_lines);
	for (i = 0; i < explain->nlines; i++) {
		line = &explain->lines[i];
		if (!line->has_id)
			continue;
		n++;
		first = first == NULL ? line : first;
		last = line;
		if (strstr(line->text, " event=answer ") != NULL)
			answer = line;
	}
	for (i = 0; i < explain->nlines && n > 0; i++) {
		line = &explain->lines[i];
		if (line->ms > last->ms + EXP_CONTEXT_AFTER_MS ||
		    !exp_is_relevant(explain, line) ||
		    (line->ms + EXP_CONTEXT_BEFORE_MS < first->ms &&
			!exp_is_last_holder_choice(explain, i, first->ms)))
			continue;
		fprintf(out, "%+6lld ms %s %s\n",
		    (long long)line->ms - (long long)first->ms,
		    line->has_id ? " " : "|", strstr(line->text, "event="));
	}
	if (n > 0)
		exp_print_outcome(answer == NULL ? last : answer, out);
	return n;
}
