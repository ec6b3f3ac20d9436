/*
 * Group commit of the rows of jobs: lost replies, conflicts, refusals and
 * changes of the partition's owner.
 */

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/clock_real.h"
#include "core/job.h"
#include "entry/jobs/row_writer.h"

#define ID "5c0e7a21d94b36f8"

#define OWNER_KEY "owner-a"
#define OWNER_VERSION 3

/* A store with one row, and the results of the next transactions. */
struct rig {
	struct rows rows; /* first: rig_transact() casts to it */
	struct event_base *base;
	struct row_writer *writer;
	char value[64];
	uint64_t version;
	int lose_replies;  /* transactions to apply and report as unknown */
	int lose_requests; /* transactions to drop and report as unknown */
	int refuse;	   /* transactions to refuse */
	int transactions;
	int stored, exists, refused, lost, fenced;
	uint64_t owner_version;
	bool defer; /* the test completes the next transaction */
	rows_done_fn deferred_done;
	void *deferred_arg;
	bool accept_all; /* accept any number of new rows */
	size_t rows_max;
	uint64_t stored_seq;
};

static void
rig_transact(struct rows *rows, uint32_t part, const struct rows_row *writes,
    size_t n, rows_done_fn done, void *arg)
{
	struct rig *rig = (struct rig *)rows;
	struct rows_row row = { .key = ID,
		.value = rig->value,
		.value_len = strlen(rig->value),
		.version = rig->version };

	const struct rows_row found[] = {
		{ .key = OWNER_KEY, .version = rig->owner_version },
		row,
	};

	cr_assert_eq(part, rowwr_partition(ID));
	cr_assert_str_eq(writes[0].key, OWNER_KEY);
	cr_assert(writes[0].check_only);
	rig->transactions++;
	if (rig->defer) {
		rig->deferred_done = done;
		rig->deferred_arg = arg;
		return;
	}
	if (rig->accept_all) {
		rig->rows_max = n > rig->rows_max ? n : rig->rows_max;
		rig->version += 10;
		done(arg, ROWS_OK, rig->version, NULL, 0);
		return;
	}
	cr_assert_eq(n, 2);
	writes++;
	if (rig->refuse > 0) {
		rig->refuse--;
		done(arg, ROWS_REFUSED, 0, NULL, 0);
	} else if (rig->lose_requests > 0) {
		rig->lose_requests--;
		done(arg, ROWS_UNKNOWN, 0, NULL, 0);
	} else if (writes[0].version != rig->version ||
	    writes[-1].version != rig->owner_version) {
		done(arg, ROWS_CONFLICT, 0, found, 2);
	} else {
		memcpy(rig->value, writes[0].value, writes[0].value_len);
		rig->value[writes[0].value_len] = '\0';
		rig->version += 10;
		if (rig->lose_replies > 0) {
			rig->lose_replies--;
			done(arg, ROWS_UNKNOWN, 0, NULL, 0);
			return;
		}
		done(arg, ROWS_OK, rig->version, NULL, 0);
	}
}

static void
rig_stored(void *arg, const char *id, uint64_t seq)
{
	struct rig *rig = arg;

	(void)id;
	rig->stored++;
	rig->stored_seq = seq;
}

static void
rig_exists(void *arg, const char *id, const char *value, size_t len)
{
	(void)id;
	(void)value;
	(void)len;
	((struct rig *)arg)->exists++;
}

static void
rig_refused(void *arg, const char *id)
{
	(void)id;
	((struct rig *)arg)->refused++;
}

static void
rig_lost(void *arg, const char *id)
{
	(void)id;
	((struct rig *)arg)->lost++;
}

static void
rig_fenced(void *arg)
{
	((struct rig *)arg)->fenced++;
}

static const struct rows_ops rig_ops = { .transact = rig_transact };

static void
rig_init(struct rig *rig)
{
	const struct rowwr_listener listener = { .stored = rig_stored,
		.exists = rig_exists,
		.refused = rig_refused,
		.lost = rig_lost,
		.fenced = rig_fenced,
		.arg = rig };

	memset(rig, 0, sizeof(*rig));
	rig->rows.ops = &rig_ops;
	rig->base = event_base_new();
	rig->writer =
	    rowwr_create(rig->base, clock_real(), &rig->rows, &listener);
	rig->owner_version = OWNER_VERSION;
	rowwr_set_owner(rig->writer, rowwr_partition(ID), OWNER_KEY,
	    OWNER_VERSION);
}

static void
rig_run(struct rig *rig, int ms)
{
	const struct timeval tv = { .tv_usec = ms * 1000 };

	(void)event_base_loopexit(rig->base, &tv);
	(void)event_base_dispatch(rig->base);
}

static void
rig_release(struct rig *rig)
{
	rowwr_destroy(rig->writer);
	event_base_free(rig->base);
}

Test(row_writer, values_of_a_batch_are_stored_by_one_write)
{
	struct rig rig;

	rig_init(&rig);
	(void)rowwr_put(rig.writer, ID, "one", 3);
	(void)rowwr_put(rig.writer, ID, "two", 3);
	rig_run(&rig, 30);
	cr_expect_str_eq(rig.value, "two");
	cr_expect_eq(rig.transactions, 1);
	cr_expect_eq(rig.stored_seq, 2);
	rig_release(&rig);
}

Test(row_writer, lost_reply_is_resolved_by_finding_the_own_value)
{
	struct rig rig;

	rig_init(&rig);
	rig.lose_replies = 1;
	(void)rowwr_put(rig.writer, ID, "one", 3);
	(void)rowwr_put(rig.writer, ID, "one", 3);
	rig_run(&rig, 10);
	(void)rowwr_put(rig.writer, ID, "two", 3);
	rig_run(&rig, 300);
	cr_expect_str_eq(rig.value, "two");
	cr_expect_eq(rig.exists + rig.lost + rig.refused, 0);
	cr_expect_eq(rig.stored_seq, 3);
	rig_release(&rig);
}

Test(row_writer, existing_row_of_a_new_job_is_reported)
{
	struct rig rig;

	rig_init(&rig);
	strcpy(rig.value, "of another host");
	rig.version = 5;
	(void)rowwr_put(rig.writer, ID, "one", 3);
	rig_run(&rig, 30);
	cr_expect_eq(rig.exists, 1);
	cr_expect_eq(rig.stored, 0);
	cr_expect_not(rowwr_contains(rig.writer, ID));
	rig_release(&rig);
}

/* A job is not reported as refused while an earlier write may take effect. */
Test(row_writer, refusal_is_reported_only_if_no_outcome_is_unknown)
{
	struct rig rig;

	rig_init(&rig);
	rig.refuse = 1;
	(void)rowwr_put(rig.writer, ID, "one", 3);
	rig_run(&rig, 30);
	cr_expect_eq(rig.refused, 1);
	rig.lose_requests = 1;
	(void)rowwr_put(rig.writer, ID, "two", 3);
	rig_run(&rig, 120);
	cr_assert_eq(rig.lose_requests, 0, "the write has not been attempted");
	rig.refuse = 1;
	rig_run(&rig, 400);
	cr_expect_eq(rig.refused, 1);
	cr_expect_eq(rig.stored, 1);
	rig_release(&rig);
}

Test(row_writer, job_is_lost_when_its_row_has_changed)
{
	struct rig rig;

	rig_init(&rig);
	strcpy(rig.value, "of the successor");
	rig.version = 9;
	rowwr_set_version(rig.writer, ID, 5);
	(void)rowwr_put(rig.writer, ID, "mine", 4);
	rig_run(&rig, 30);
	cr_expect_eq(rig.lost, 1);
	cr_expect_str_eq(rig.value, "of the successor");
	rig_release(&rig);
}

Test(row_writer, nothing_is_written_before_the_owner_is_set)
{
	struct rig rig;

	rig_init(&rig);
	rowwr_reset(rig.writer);
	(void)rowwr_put(rig.writer, ID, "one", 3);
	rig_run(&rig, 50);
	cr_expect_eq(rig.transactions, 0);
	rowwr_set_owner(rig.writer, rowwr_partition(ID), OWNER_KEY,
	    OWNER_VERSION);
	rig_run(&rig, 50);
	cr_expect_eq(rig.stored, 1);
	rig_release(&rig);
}

Test(row_writer, nothing_is_written_after_another_host_claims)
{
	struct rig rig;

	rig_init(&rig);
	rig.owner_version = OWNER_VERSION + 1;
	(void)rowwr_put(rig.writer, ID, "one", 3);
	rig_run(&rig, 200);
	cr_expect_eq(rig.fenced, 1);
	cr_expect_eq(rig.transactions, 1);
	cr_expect_eq(rig.stored + rig.exists + rig.lost + rig.refused, 0);
	rig_release(&rig);
}

/* Limits of the store: 100 entries and 1 MB. A write of a row has two entries.
 */
Test(row_writer, transactions_stay_within_the_limits_of_the_store)
{
	char id[JOB_ID_LEN + 1];
	char *large = calloc(1, 100001);
	struct rig rig;
	int i, n = 0;

	rig_init(&rig);
	rig.accept_all = true;
	for (i = 0; n < 120; i++) {
		(void)snprintf(id, sizeof(id), "%016x", i);
		if (rowwr_partition(id) != rowwr_partition(ID))
			continue;
		(void)rowwr_put(rig.writer, id, "one", 3);
		n++;
	}
	rig_run(&rig, 100);
	cr_expect_eq(rig.stored, 120);
	cr_expect_leq(rig.rows_max * 2 - 1, 100);
	rig.rows_max = 0;
	memset(large, 'x', 100000);
	for (n = 0; n < 20; i++) {
		(void)snprintf(id, sizeof(id), "%016x", i);
		if (rowwr_partition(id) != rowwr_partition(ID))
			continue;
		(void)rowwr_put(rig.writer, id, large, 100000);
		n++;
	}
	rig_run(&rig, 100);
	cr_expect_eq(rig.stored, 140);
	/* Base64 encodes three bytes as four. */
	cr_expect_leq((rig.rows_max - 1) * 100000 * 4 / 3, 1000000);
	free(large);
	rig_release(&rig);
}

/* The store is overloaded: a write takes 50 times as long as usual. */
Test(row_writer, expected_delay_follows_the_store)
{
	struct rig rig;

	rig_init(&rig);
	cr_expect_eq(rowwr_expected_delay_ms(rig.writer, ID), 0);
	rig.defer = true;
	(void)rowwr_put(rig.writer, ID, "one", 3);
	rig_run(&rig, 200);
	cr_assert_not_null(rig.deferred_done);
	cr_expect_geq(rowwr_expected_delay_ms(rig.writer, ID), 380);
	cr_expect_lt(rowwr_expected_delay_ms(rig.writer, ID), 1000);
	rig.defer = false;
	rig.refuse = 1;
	rig.deferred_done(rig.deferred_arg, ROWS_UNKNOWN, 0, NULL, 0);
	cr_expect_eq(rowwr_expected_delay_ms(rig.writer, ID), UINT32_MAX);
	rig_run(&rig, 500);
	cr_expect_eq(rig.stored, 1);
	cr_expect_eq(rowwr_expected_delay_ms(rig.writer, ID), 0,
	    "no write is pending");
	rig_release(&rig);
}

/* The write was sent under an earlier ownership and ends under the next one. */
Test(row_writer, write_of_an_earlier_ownership_does_not_fence)
{
	struct rows_row owner = { .key = OWNER_KEY,
		.version = OWNER_VERSION + 1 };
	struct rig rig;

	rig_init(&rig);
	rig.defer = true;
	(void)rowwr_put(rig.writer, ID, "one", 3);
	rig_run(&rig, 20);
	cr_assert_not_null(rig.deferred_done);
	rig.defer = false;
	rowwr_reset(rig.writer);
	rig.owner_version = OWNER_VERSION + 1;
	rowwr_set_owner(rig.writer, rowwr_partition(ID), OWNER_KEY,
	    OWNER_VERSION + 1);
	(void)rowwr_put(rig.writer, ID, "two", 3);
	rig_run(&rig, 20);
	rig.deferred_done(rig.deferred_arg, ROWS_CONFLICT, 0, &owner, 1);
	rig_run(&rig, 50);
	cr_expect_eq(rig.fenced, 0);
	cr_expect_eq(rig.stored, 1);
	cr_expect_str_eq(rig.value, "two");
	rig_release(&rig);
}
