/* Starts and finishes, kept in order of arrival and found by uid. */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/tree.h>

#include "record.h"
#include "support/standin.h"

#define REC_DUPLICATES_MAX 200 /* listed by the summary */

struct work {
	char *uid;
	unsigned starts;
	RB_ENTRY(work) entry;
};

struct record {
	struct work *work;
	char *task;
	const char *server;
	uint64_t start_ms;
	uint64_t end_ms; /* 0 while it runs */
	STAILQ_ENTRY(record) entry;
};

static int
work_cmp(struct work *a, struct work *b)
{
	return strcmp(a->uid, b->uid);
}

RB_HEAD(work_tree, work);
RB_GENERATE_STATIC(work_tree, work, entry, work_cmp)

static struct work_tree works = RB_INITIALIZER(&works);
static STAILQ_HEAD(, record) records = STAILQ_HEAD_INITIALIZER(records);

static struct work *
rec_work(const char *uid)
{
	struct work key, *work;

	key.uid = (char *)uid;
	work = RB_FIND(work_tree, &works, &key);
	if (work == NULL) {
		work = calloc(1, sizeof(*work));
		if (work == NULL || (work->uid = strdup(uid)) == NULL)
			err(1, "calloc");
		RB_INSERT(work_tree, &works, work);
	}
	return work;
}

struct record *
rec_start(const char *uid, const char *task, const char *server)
{
	struct record *record;

	record = calloc(1, sizeof(*record));
	if (record == NULL)
		err(1, "calloc");
	record->work = rec_work(uid);
	record->work->starts++;
	record->task = strdup(task);
	record->server = server;
	record->start_ms = sti_now_ms();
	STAILQ_INSERT_TAIL(&records, record, entry);
	return record;
}

void
rec_finish(struct record *record)
{
	record->end_ms = sti_now_ms();
}

json_t *
rec_list(const char *prefix)
{
	struct record *record;
	json_t *list;

	list = json_array();
	STAILQ_FOREACH (record, &records, entry) {
		if (record->work->starts == 0 ||
		    strncmp(record->work->uid, prefix, strlen(prefix)) != 0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:I, s:I}", "uid",
			record->work->uid, "task", record->task, "server",
			record->server, "start_ms",
			(json_int_t)record->start_ms, "end_ms",
			(json_int_t)record->end_ms));
	}
	return json_pack("{s:o}", "starts", list);
}

json_t *
rec_summary(void)
{
	json_int_t starts, finishes, unique;
	struct record *record;
	struct work *work;
	json_t *duplicates;

	starts = finishes = unique = 0;
	STAILQ_FOREACH (record, &records, entry)
		finishes += record->end_ms != 0 && record->work->starts > 0;
	duplicates = json_array();
	RB_FOREACH (work, work_tree, &works) {
		starts += work->starts;
		unique += work->starts > 0;
		if (work->starts > 1 &&
		    json_array_size(duplicates) < REC_DUPLICATES_MAX)
			json_array_append_new(duplicates,
			    json_string(work->uid));
	}
	return json_pack("{s:I, s:I, s:I, s:o}", "starts", starts, "finishes",
	    finishes, "unique", unique, "duplicates", duplicates);
}

void
rec_clear(void)
{
	struct work *work;

	RB_FOREACH (work, work_tree, &works)
		work->starts = 0;
}
