/*
 * Group commit of jobs' rows: lost answers, conflicts and refusals.
 */

#include <criterion/criterion.h>
#include <event2/event.h>
#include <string.h>

#include "entry/jobs/ledger.h"

#define ID "5c0e7a21d94b36f8"

/* One row, and what becomes of the next transactions. */
struct rig {
	struct rows rows; /* first */
	struct event_base *base;
	struct ledger *ledger;
	char value[64];
	uint64_t version;
	int lose_answers;  /* done, and reported as unknown */
	int lose_requests; /* not done, and reported as unknown */
	int refuse;
	int transactions;
	int stored, exists, refused, lost;
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

	(void)part;
	cr_assert_eq(n, 1);
	rig->transactions++;
	if (rig->refuse > 0) {
		rig->refuse--;
		done(arg, ROWS_REFUSED, 0, NULL, 0);
	} else if (rig->lose_requests > 0) {
		rig->lose_requests--;
		done(arg, ROWS_UNKNOWN, 0, NULL, 0);
	} else if (writes[0].version != rig->version) {
		done(arg, ROWS_CONFLICT, 0, &row, 1);
	} else {
		memcpy(rig->value, writes[0].value, writes[0].value_len);
		rig->value[writes[0].value_len] = '\0';
		rig->version += 10;
		if (rig->lose_answers > 0) {
			rig->lose_answers--;
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

static const struct rows_ops rig_ops = { .transact = rig_transact };

static void
rig_init(struct rig *rig)
{
	const struct ledger_listener listener = { .stored = rig_stored,
		.exists = rig_exists,
		.refused = rig_refused,
		.lost = rig_lost,
		.arg = rig };

	memset(rig, 0, sizeof(*rig));
	rig->rows.ops = &rig_ops;
	rig->base = event_base_new();
	rig->ledger = ledger_create(rig->base, &rig->rows, &listener);
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
	ledger_destroy(rig->ledger);
	event_base_free(rig->base);
}

Test(ledger, newest_value_is_stored_and_older_ones_share_its_write)
{
	struct rig rig;

	rig_init(&rig);
	(void)ledger_put(rig.ledger, ID, "one", 3);
	(void)ledger_put(rig.ledger, ID, "two", 3);
	rig_run(&rig, 30);
	cr_expect_str_eq(rig.value, "two");
	cr_expect_eq(rig.transactions, 1);
	cr_expect_eq(rig.stored_seq, 2);
	rig_release(&rig);
}

Test(ledger, lost_answer_is_settled_by_the_own_value)
{
	struct rig rig;

	rig_init(&rig);
	rig.lose_answers = 1;
	(void)ledger_put(rig.ledger, ID, "one", 3);
	(void)ledger_put(rig.ledger, ID, "one", 3);
	rig_run(&rig, 10);
	(void)ledger_put(rig.ledger, ID, "two", 3);
	rig_run(&rig, 300);
	cr_expect_str_eq(rig.value, "two");
	cr_expect_eq(rig.exists + rig.lost + rig.refused, 0);
	cr_expect_eq(rig.stored_seq, 3);
	rig_release(&rig);
}

Test(ledger, new_job_that_is_there_already_is_told)
{
	struct rig rig;

	rig_init(&rig);
	strcpy(rig.value, "of another host");
	rig.version = 5;
	(void)ledger_put(rig.ledger, ID, "one", 3);
	rig_run(&rig, 30);
	cr_expect_eq(rig.exists, 1);
	cr_expect_eq(rig.stored, 0);
	cr_expect_not(ledger_known(rig.ledger, ID));
	rig_release(&rig);
}

/* "Not stored" must be certain: not while an earlier write may still come. */
Test(ledger, refusal_counts_only_if_no_write_is_open)
{
	struct rig rig;

	rig_init(&rig);
	rig.refuse = 1;
	(void)ledger_put(rig.ledger, ID, "one", 3);
	rig_run(&rig, 30);
	cr_expect_eq(rig.refused, 1);
	rig.lose_requests = 1;
	(void)ledger_put(rig.ledger, ID, "two", 3);
	rig_run(&rig, 120);
	cr_assert_eq(rig.lose_requests, 0, "the write was not tried yet");
	rig.refuse = 1;
	rig_run(&rig, 400);
	cr_expect_eq(rig.refused, 1);
	cr_expect_eq(rig.stored, 1);
	rig_release(&rig);
}

Test(ledger, changed_row_means_that_the_job_is_lost)
{
	struct rig rig;

	rig_init(&rig);
	strcpy(rig.value, "of the successor");
	rig.version = 9;
	ledger_adopt(rig.ledger, ID, 5);
	(void)ledger_put(rig.ledger, ID, "mine", 4);
	rig_run(&rig, 30);
	cr_expect_eq(rig.lost, 1);
	cr_expect_str_eq(rig.value, "of the successor");
	rig_release(&rig);
}
