/*
 * Group commit of the rows of jobs. Each partition has at most one transaction
 * in flight; rows that become dirty in that time are written by the next one.
 */

#include <event2/event.h>
#include <sys/queue.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/histogram.h"
#include "core/job.h"
#include "core/mem.h"
#include "entry/jobs/row_writer.h"

/* Time in which a batch is collected; less than a transaction takes (4 ms). */
#define ROWWR_BATCH_DELAY_MS 2
#define ROWWR_RETRY_MS 80 /* after a refused or unanswered transaction */
#define ROWWR_BUCKETS 1024
/* A fast write lowers the latency estimate by 1/4 of the difference. */
#define ROWWR_LATENCY_DIVISOR 4
#define ROWWR_US_PER_MS UINT64_C(1000)
#define ROWWR_OWNER_KEY_SIZE 80 /* bytes, with the NUL */

static struct counter rowwr_transactions = {
	.name = "berylrail_work_store_writes_total",
	.help = "Transactions that store jobs.",
};

static const uint64_t rowwr_bounds_ms[] = { 5, 10, 20, 50, 100, 200, 500, 1000,
	2000 };
static struct histogram rowwr_transaction_time = {
	.name = "berylrail_work_store_seconds",
	.help = "Time of a transaction that stores jobs.",
	.bounds = rowwr_bounds_ms,
	.nbounds = sizeof(rowwr_bounds_ms) / sizeof(rowwr_bounds_ms[0]),
	.unit = 1e-3,
};

struct rowwr_entry {
	char id[JOB_ID_LEN + 1];
	uint32_t part;
	uint64_t version; /* of the row; 0: it does not exist */
	char *value;	  /* the newest value */
	size_t len;
	uint64_t seq;
	char *sent_value; /* of the last write; NULL: a removal */
	size_t sent_len;
	uint64_t sent_seq;
	bool dirty;
	bool outcome_unknown; /* a write of sent_value may still take effect */
	bool remove;	      /* the row is to be removed */
	bool dropped;	      /* to be freed when its write has ended */
	LIST_ENTRY(rowwr_entry) hash_entry;
	TAILQ_ENTRY(rowwr_entry) dirty_entry; /* while dirty */
};

struct rowwr_part {
	struct row_writer *writer;
	uint32_t index;
	char owner_key[ROWWR_OWNER_KEY_SIZE];
	uint64_t owner_version; /* 0: this host does not own the partition */
	char sent_owner_key[ROWWR_OWNER_KEY_SIZE]; /* of the write in flight */
	uint64_t sent_owner_version;
	struct event *timer;
	bool in_flight;
	uint64_t sent_at_us; /* start of the write in flight */
	uint32_t latency_ms; /* of recent writes with a reply, smoothed */
	bool failing;	     /* the last write was refused or had no reply */
	struct rowwr_entry *batch[ROWS_WRITES_MAX];
	size_t nbatch;
	TAILQ_HEAD(, rowwr_entry) dirty;
};

struct row_writer {
	struct clock *clock;
	struct rows *rows;
	struct rowwr_listener listener;
	struct rowwr_part parts[ROWS_JOB_PARTS];
	LIST_HEAD(, rowwr_entry) buckets[ROWWR_BUCKETS];
};

/* FNV-1a. */
static uint32_t
rowwr_hash(const char *id)
{
	uint32_t hash = 2166136261U;

	for (; *id != '\0'; id++)
		hash = (hash ^ (unsigned char)*id) * 16777619U;
	return hash;
}

uint32_t
rowwr_partition(const char *id)
{
	return rowwr_hash(id) % ROWS_JOB_PARTS;
}

static struct rowwr_entry *
rowwr_find(const struct row_writer *writer, const char *id)
{
	struct rowwr_entry *entry;

	LIST_FOREACH (entry, &writer->buckets[rowwr_hash(id) % ROWWR_BUCKETS],
	    hash_entry) {
		if (!entry->dropped && strcmp(entry->id, id) == 0)
			return entry;
	}
	return NULL;
}

bool
rowwr_contains(const struct row_writer *writer, const char *id)
{
	return rowwr_find(writer, id) != NULL;
}

static struct rowwr_entry *
rowwr_find_or_add(struct row_writer *writer, const char *id)
{
	struct rowwr_entry *entry = rowwr_find(writer, id);

	if (entry != NULL)
		return entry;
	entry = mem_zalloc(1, sizeof(*entry));
	strlcpy(entry->id, id, sizeof(entry->id));
	entry->part = rowwr_partition(id);
	LIST_INSERT_HEAD(&writer->buckets[rowwr_hash(id) % ROWWR_BUCKETS],
	    entry, hash_entry);
	return entry;
}

static void
rowwr_free_entry(struct row_writer *writer, struct rowwr_entry *entry)
{
	if (entry->dirty)
		TAILQ_REMOVE(&writer->parts[entry->part].dirty, entry,
		    dirty_entry);
	LIST_REMOVE(entry, hash_entry);
	free(entry->value);
	free(entry->sent_value);
	free(entry);
}

static bool
rowwr_in_batch(const struct row_writer *writer, const struct rowwr_entry *entry)
{
	const struct rowwr_part *part = &writer->parts[entry->part];
	size_t i;

	for (i = 0; i < part->nbatch; i++) {
		if (part->batch[i] == entry)
			return true;
	}
	return false;
}

static void
rowwr_drop_entry(struct row_writer *writer, struct rowwr_entry *entry)
{
	if (rowwr_in_batch(writer, entry))
		entry->dropped = true;
	else
		rowwr_free_entry(writer, entry);
}

void
rowwr_drop(struct row_writer *writer, const char *id)
{
	struct rowwr_entry *entry = rowwr_find(writer, id);

	if (entry != NULL)
		rowwr_drop_entry(writer, entry);
}

void
rowwr_reset(struct row_writer *writer)
{
	struct rowwr_entry *entry, *next;
	size_t i;

	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		writer->parts[i].owner_version = 0;
		writer->parts[i].failing = false;
	}
	for (i = 0; i < ROWWR_BUCKETS; i++) {
		for (entry = LIST_FIRST(&writer->buckets[i]); entry != NULL;
		     entry = next) {
			next = LIST_NEXT(entry, hash_entry);
			if (!entry->dropped)
				rowwr_drop_entry(writer, entry);
		}
	}
}

static void
rowwr_schedule_flush(struct rowwr_part *part, uint32_t ms)
{
	const struct timeval tv = { .tv_usec = (suseconds_t)ms * 1000 };

	if (part->owner_version != 0 && !part->in_flight &&
	    !event_pending(part->timer, EV_TIMEOUT, NULL))
		(void)event_add(part->timer, &tv);
}

void
rowwr_set_owner(struct row_writer *writer, uint32_t index, const char *key,
    uint64_t version)
{
	struct rowwr_part *part = &writer->parts[index];

	strlcpy(part->owner_key, key, sizeof(part->owner_key));
	part->owner_version = version;
	if (!TAILQ_EMPTY(&part->dirty))
		rowwr_schedule_flush(part, ROWWR_BATCH_DELAY_MS);
}

bool
rowwr_is_owner(const struct row_writer *writer, const char *id)
{
	return writer->parts[rowwr_partition(id)].owner_version != 0;
}

static void
rowwr_mark_dirty(struct row_writer *writer, struct rowwr_entry *entry)
{
	struct rowwr_part *part = &writer->parts[entry->part];

	if (!entry->dirty) {
		entry->dirty = true;
		TAILQ_INSERT_TAIL(&part->dirty, entry, dirty_entry);
	}
	rowwr_schedule_flush(part, ROWWR_BATCH_DELAY_MS);
}

uint64_t
rowwr_put(struct row_writer *writer, const char *id, const char *value,
    size_t len)
{
	struct rowwr_entry *entry = rowwr_find_or_add(writer, id);

	free(entry->value);
	entry->value = mem_strndup(value, len);
	entry->len = len;
	entry->seq++;
	rowwr_mark_dirty(writer, entry);
	return entry->seq;
}

void
rowwr_remove(struct row_writer *writer, const char *id)
{
	struct rowwr_entry *entry = rowwr_find(writer, id);

	if (entry == NULL)
		return;
	entry->remove = true;
	rowwr_mark_dirty(writer, entry);
}

void
rowwr_set_version(struct row_writer *writer, const char *id, uint64_t version)
{
	rowwr_find_or_add(writer, id)->version = version;
}

/* The write of an entry has taken effect; its row has now @version. */
static void
rowwr_write_done(struct row_writer *writer, struct rowwr_entry *entry,
    uint64_t version)
{
	entry->version = version;
	entry->outcome_unknown = false;
	if (entry->sent_value == NULL) {
		rowwr_free_entry(writer, entry);
		return;
	}
	if (entry->remove)
		rowwr_mark_dirty(writer, entry);
	if (entry->sent_seq < entry->seq)
		rowwr_mark_dirty(writer, entry);
	writer->listener.stored(writer->listener.arg, entry->id,
	    entry->sent_seq);
}

/* The row has another version than the last one known to this host. */
static void
rowwr_handle_conflict(struct row_writer *writer, struct rowwr_entry *entry,
    const struct rows_row *row)
{
	const struct rowwr_listener *listener = &writer->listener;
	char id[JOB_ID_LEN + 1];

	if (entry->sent_value == NULL) {
		/* The row was to be removed, but another host has removed or
		 * changed it. */
		rowwr_free_entry(writer, entry);
		return;
	}
	if (row->value != NULL && row->value_len == entry->sent_len &&
	    memcmp(row->value, entry->sent_value, row->value_len) == 0) {
		rowwr_write_done(writer, entry, row->version);
		return;
	}
	memcpy(id, entry->id, sizeof(id));
	log_event(LOG_LEVEL_INFO, "job-row-conflict",
	    "id=%s version=%llu found=%llu", id,
	    (unsigned long long)entry->version,
	    (unsigned long long)row->version);
	if (entry->version == 0)
		listener->exists(listener->arg, id, row->value, row->value_len);
	else
		listener->lost(listener->arg, id);
	rowwr_drop(writer, id);
}

static const struct rows_row *
rowwr_find_row(const struct rows_row *rows, size_t nrows, const char *id)
{
	size_t i;

	for (i = 0; i < nrows; i++) {
		if (strcmp(rows[i].key, id) == 0)
			return &rows[i];
	}
	return NULL;
}

static void
rowwr_entry_done(struct row_writer *writer, struct rowwr_entry *entry,
    enum rows_status status, uint64_t version, const struct rows_row *row)
{
	static const struct rows_row absent = { .version = 0 };
	char id[JOB_ID_LEN + 1];

	if (entry->dropped) {
		rowwr_free_entry(writer, entry);
		return;
	}
	if (status == ROWS_OK) {
		rowwr_write_done(writer, entry, version);
		return;
	}
	if (status == ROWS_CONFLICT) {
		if (row == NULL)
			row = &absent;
		if (row->version != entry->version) {
			rowwr_handle_conflict(writer, entry, row);
			return;
		}
	}
	if (status == ROWS_UNKNOWN)
		entry->outcome_unknown = true;
	if (status == ROWS_REFUSED && entry->version == 0 &&
	    !entry->outcome_unknown) {
		memcpy(id, entry->id, sizeof(id));
		rowwr_drop(writer, id);
		writer->listener.refused(writer->listener.arg, id);
		return;
	}
	rowwr_mark_dirty(writer, entry);
}

/* Whether another host has claimed the partition since the write was sent. */
static bool
rowwr_owner_changed(const struct rowwr_part *part, const struct rows_row *rows,
    size_t nrows)
{
	const struct rows_row *owner =
	    rowwr_find_row(rows, nrows, part->sent_owner_key);

	return owner == NULL || owner->version != part->sent_owner_version;
}

/*
 * The transaction was rejected because the owner row has changed. The listener
 * is notified, unless this host has become the owner again since then.
 */
static void
rowwr_handle_fenced(struct rowwr_part *part, struct rowwr_entry **batch,
    size_t n)
{
	struct row_writer *writer = part->writer;
	size_t i;

	for (i = 0; i < n; i++) {
		if (batch[i]->dropped)
			rowwr_free_entry(writer, batch[i]);
		else
			rowwr_mark_dirty(writer, batch[i]);
	}
	if (part->owner_version != part->sent_owner_version)
		return;
	log_event(LOG_LEVEL_WARN, "partition-lost",
	    "part=%u owner=%s version=%llu", part->index, part->owner_key,
	    (unsigned long long)part->owner_version);
	part->owner_version = 0;
	writer->listener.fenced(writer->listener.arg);
}

static uint32_t
rowwr_elapsed_ms(const struct rowwr_part *part)
{
	return (
	    uint32_t)((clock_now_us(part->writer->clock) - part->sent_at_us) /
	    ROWWR_US_PER_MS);
}

static void
rowwr_update_latency(struct rowwr_part *part, enum rows_status status)
{
	uint32_t duration_ms = rowwr_elapsed_ms(part);

	hist_add(&rowwr_transaction_time, duration_ms);
	part->failing = status == ROWS_REFUSED || status == ROWS_UNKNOWN;
	if (part->failing)
		return;
	/* The estimate rises at once with a slow write and decreases
	 * gradually. */
	if (duration_ms > part->latency_ms)
		part->latency_ms = duration_ms;
	else
		part->latency_ms -=
		    (part->latency_ms - duration_ms) / ROWWR_LATENCY_DIVISOR;
}

uint32_t
rowwr_expected_delay_ms(const struct row_writer *writer, const char *id)
{
	const struct rowwr_part *part = &writer->parts[rowwr_partition(id)];
	uint32_t elapsed_ms, latency_ms = part->latency_ms;

	if (!part->in_flight && TAILQ_EMPTY(&part->dirty))
		return 0;
	if (part->failing)
		return UINT32_MAX;
	if (!part->in_flight)
		return latency_ms;
	/* A write that takes longer than the estimate is assumed to be half
	 * done. */
	elapsed_ms = rowwr_elapsed_ms(part);
	if (elapsed_ms < latency_ms)
		return latency_ms - elapsed_ms + latency_ms;
	return elapsed_ms * 2;
}

static void
rowwr_transaction_done(void *arg, enum rows_status status, uint64_t version,
    const struct rows_row *rows, size_t nrows)
{
	struct rowwr_part *part = arg;
	struct rowwr_entry *batch[ROWS_WRITES_MAX];
	size_t i, n = part->nbatch;

	memcpy(batch, part->batch, sizeof(batch));
	part->nbatch = 0;
	part->in_flight = false;
	rowwr_update_latency(part, status);
	if (status == ROWS_REFUSED || status == ROWS_UNKNOWN)
		rowwr_schedule_flush(part, ROWWR_RETRY_MS);
	if (status == ROWS_CONFLICT && rowwr_owner_changed(part, rows, nrows)) {
		rowwr_handle_fenced(part, batch, n);
	} else {
		for (i = 0; i < n; i++)
			rowwr_entry_done(part->writer, batch[i], status,
			    version, rowwr_find_row(rows, nrows, batch[i]->id));
	}
	/* Writes the rows that became dirty during the transaction, even if
	 * this host lost the partition and became its owner again. */
	if (!TAILQ_EMPTY(&part->dirty))
		rowwr_schedule_flush(part, ROWWR_BATCH_DELAY_MS);
}

/*
 * Sets the value to send. A write whose outcome is unknown is repeated
 * unchanged, so that its value can be recognised.
 */
static void
rowwr_prepare_value(struct rowwr_entry *entry)
{
	if (entry->outcome_unknown)
		return;
	free(entry->sent_value);
	entry->sent_value = NULL;
	if (entry->remove)
		return;
	entry->sent_value = mem_strndup(entry->value, entry->len);
	entry->sent_len = entry->len;
	entry->sent_seq = entry->seq;
}

/* Return: bytes of the value to send. */
static size_t
rowwr_value_size(const struct rowwr_entry *entry)
{
	return entry->outcome_unknown ? entry->sent_len : entry->len;
}

/*
 * Moves dirty entries to the batch, within the limits of a transaction.
 * Return: their number.
 */
static size_t
rowwr_fill_batch(struct rowwr_part *part, struct rows_row *writes)
{
	struct rowwr_entry *entry;
	size_t bytes = 0, n = 0;

	while ((entry = TAILQ_FIRST(&part->dirty)) != NULL &&
	    n < ROWS_WRITES_MAX) {
		bytes += rowwr_value_size(entry);
		if (n > 0 && bytes > ROWS_BYTES_MAX)
			break;
		TAILQ_REMOVE(&part->dirty, entry, dirty_entry);
		entry->dirty = false;
		rowwr_prepare_value(entry);
		writes[n] = (struct rows_row){
			.key = entry->id,
			.value = entry->sent_value,
			.value_len = entry->sent_len,
			.version = entry->version,
		};
		part->batch[n++] = entry;
	}
	return n;
}

static void
rowwr_flush(evutil_socket_t fd, short what, void *arg)
{
	struct rowwr_part *part = arg;
	struct rows_row writes[ROWS_WRITES_MAX + 1];
	struct rows *rows = part->writer->rows;

	(void)fd;
	(void)what;
	if (part->owner_version == 0 || part->in_flight)
		return;
	part->nbatch = rowwr_fill_batch(part, writes + 1);
	if (part->nbatch == 0)
		return;
	strlcpy(part->sent_owner_key, part->owner_key,
	    sizeof(part->sent_owner_key));
	part->sent_owner_version = part->owner_version;
	writes[0] = (struct rows_row){
		.key = part->sent_owner_key,
		.version = part->sent_owner_version,
		.check_only = true,
	};
	part->in_flight = true;
	part->sent_at_us = clock_now_us(part->writer->clock);
	ctr_inc(&rowwr_transactions);
	rows->ops->transact(rows, part->index, writes, part->nbatch + 1,
	    rowwr_transaction_done, part);
}

struct row_writer *
rowwr_create(struct event_base *base, struct clock *clock, struct rows *rows,
    const struct rowwr_listener *listener)
{
	struct row_writer *writer = mem_zalloc(1, sizeof(*writer));
	struct rowwr_part *part;
	uint32_t i;

	writer->clock = clock;
	writer->rows = rows;
	writer->listener = *listener;
	for (i = 0; i < ROWWR_BUCKETS; i++)
		LIST_INIT(&writer->buckets[i]);
	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		part = &writer->parts[i];
		part->writer = writer;
		part->index = i;
		TAILQ_INIT(&part->dirty);
		part->timer = evtimer_new(base, rowwr_flush, part);
		if (part->timer == NULL) {
			rowwr_destroy(writer);
			return NULL;
		}
	}
	return writer;
}

void
rowwr_destroy(struct row_writer *writer)
{
	struct rowwr_entry *entry, *next;
	size_t i;

	for (i = 0; i < ROWWR_BUCKETS; i++) {
		for (entry = LIST_FIRST(&writer->buckets[i]); entry != NULL;
		     entry = next) {
			next = LIST_NEXT(entry, hash_entry);
			rowwr_free_entry(writer, entry);
		}
	}
	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		if (writer->parts[i].timer != NULL)
			event_free(writer->parts[i].timer);
	}
	free(writer);
}
