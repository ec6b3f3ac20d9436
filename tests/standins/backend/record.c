/* Records of starts, in order of arrival, and counts of starts by uid. */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/tree.h>

#include "record.h"
#include "support/standin.h"

#define REC_DUPLICATES_MAX 200 /* number of uids listed by the summary */

struct uid_count {
	char *uid;
	unsigned starts;
	RB_ENTRY(uid_count) entry;
};

struct start_record {
	struct uid_count *uid_count;
	char *task;
	const char *server;
	uint64_t start_ms;
	uint64_t end_ms; /* 0: running */
	STAILQ_ENTRY(start_record) entry;
};

static int
uid_count_cmp(struct uid_count *a, struct uid_count *b)
{
	return strcmp(a->uid, b->uid);
}

RB_HEAD(uid_tree, uid_count);
RB_GENERATE_STATIC(uid_tree, uid_count, entry, uid_count_cmp)

static struct uid_tree uid_counts = RB_INITIALIZER(&uid_counts);
static STAILQ_HEAD(, start_record) records = STAILQ_HEAD_INITIALIZER(records);

static struct uid_count *
rec_get_uid_count(const char *uid)
{
	struct uid_count key, *uid_count;

	key.uid = (char *)uid;
	uid_count = RB_FIND(uid_tree, &uid_counts, &key);
	if (uid_count == NULL) {
		uid_count = calloc(1, sizeof(*uid_count));
		if (uid_count == NULL || (uid_count->uid = strdup(uid)) == NULL)
			err(1, "calloc");
		RB_INSERT(uid_tree, &uid_counts, uid_count);
	}
	return uid_count;
}

struct start_record *
rec_start(const char *uid, const char *task, const char *server)
{
	struct start_record *record;

	record = calloc(1, sizeof(*record));
	if (record == NULL)
		err(1, "calloc");
	record->uid_count = rec_get_uid_count(uid);
	record->uid_count->starts++;
	record->task = strdup(task);
	record->server = server;
	record->start_ms = sti_now_ms();
	STAILQ_INSERT_TAIL(&records, record, entry);
	return record;
}

void
rec_finish(struct start_record *record)
{
	record->end_ms = sti_now_ms();
}

json_t *
rec_list(const char *prefix)
{
	struct start_record *record;
	json_t *list;

	list = json_array();
	STAILQ_FOREACH (record, &records, entry) {
		if (record->uid_count->starts == 0 ||
		    strncmp(record->uid_count->uid, prefix, strlen(prefix)) !=
			0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:I, s:I}", "uid",
			record->uid_count->uid, "task", record->task, "server",
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
	struct start_record *record;
	struct uid_count *uid_count;
	json_t *duplicates;

	starts = finishes = unique = 0;
	STAILQ_FOREACH (record, &records, entry)
		finishes +=
		    record->end_ms != 0 && record->uid_count->starts > 0;
	duplicates = json_array();
	RB_FOREACH (uid_count, uid_tree, &uid_counts) {
		starts += uid_count->starts;
		unique += uid_count->starts > 0;
		if (uid_count->starts > 1 &&
		    json_array_size(duplicates) < REC_DUPLICATES_MAX)
			json_array_append_new(duplicates,
			    json_string(uid_count->uid));
	}
	return json_pack("{s:I, s:I, s:I, s:o}", "starts", starts, "finishes",
	    finishes, "unique", unique, "duplicates", duplicates);
}

void
rec_clear(void)
{
	struct uid_count *uid_count;

	RB_FOREACH (uid_count, uid_tree, &uid_counts)
		uid_count->starts = 0;
}
