/*
 * Group commit of jobs' rows. Each partition has one transaction under way at
 * a time; what becomes dirty meanwhile goes with the next one.
 */

#include <event2/event.h>
#include <sys/queue.h>

#include "adapters/log.h"
#include "core/counters.h"
#include "core/histogram.h"
#include "core/job.h"
#include "core/mem.h"
#include "entry/jobs/row_writer.h"

#define LEDGER_GATHER_MS 2 /* under one transaction of the store, 4 ms */
#define LEDGER_RETRY_MS 80 /* after a refusal or without an answer */
#define LEDGER_BUCKETS 1024
#define LEDGER_USUAL_WEIGHT 4 /* a fast write's share is 1/4 */
#define LEDGER_US_PER_MS UINT64_C(1000)
#define LEDGER_OWNER_SIZE 80 /* bytes of the key, with the NUL */

static struct counter ledger_transactions = {
	.name = "berylrail_work_store_writes_total",
	.help = "Transactions that store jobs.",
};

static const uint64_t ledger_bounds[] = { 5, 10, 20, 50, 100, 200, 500, 1000,
	2000 };
static struct histogram ledger_time = {
	.name = "berylrail_work_store_seconds",
	.help = "Time of a transaction that stores jobs.",
	.bounds = ledger_bounds,
	.nbounds = sizeof(ledger_bounds) / sizeof(ledger_bounds[0]),
	.unit = 1e-3,
};

struct led_entry {
	char id[JOB_ID_LEN + 1];
	uint32_t part;
	uint64_t version; /* of the row; 0: it is not there */
	char *value;	  /* newest */
	size_t len;
	uint64_t seq;
	char *sent; /* value of the write under way, kept until settled */
	size_t sent_len;
	uint64_t sent_seq;
	bool dirty;
	bool uncertain; /* a write of @sent may still be carried out */
	bool removing;	/* the row is to go */
	bool forgotten; /* freed once its write has ended */
	LIST_ENTRY(led_entry) hash;
	TAILQ_ENTRY(led_entry) order; /* while dirty */
};

struct led_part {
	struct ledger *ledger;
	uint32_t number;
	char owner_key[LEDGER_OWNER_SIZE];
	uint64_t owner_version; /* 0: this host does not own it */
	char sent_owner_key[LEDGER_OWNER_SIZE]; /* of the write under way */
	uint64_t sent_owner_version;
	struct event *timer;
	bool under_way;
	uint64_t sent_us;  /* the write under way */
	uint32_t usual_ms; /* of writes that were answered, lately */
	bool failing;	   /* the last one was not taken */
	struct led_entry *batch[ROWS_WRITES_MAX];
	size_t nbatch;
	TAILQ_HEAD(, led_entry) dirty;
};

struct ledger {
	struct clock *clock;
	struct rows *rows;
	struct ledger_listener listener;
	struct led_part parts[ROWS_JOB_PARTS];
	LIST_HEAD(, led_entry) buckets[LEDGER_BUCKETS];
};

static uint32_t
led_hash(const char *id)
{
	uint32_t hash = 2166136261U;

	for (; *id != '\0'; id++)
		hash = (hash ^ (unsigned char)*id) * 16777619U;
	return hash;
}

uint32_t
ledger_part(const char *id)
{
	return led_hash(id) % ROWS_JOB_PARTS;
}

static struct led_entry *
led_find(const struct ledger *ledger, const char *id)
{
	struct led_entry *entry;

	LIST_FOREACH (entry, &ledger->buckets[led_hash(id) % LEDGER_BUCKETS],
	    hash) {
		if (!entry->forgotten && strcmp(entry->id, id) == 0)
			return entry;
	}
	return NULL;
}

bool
ledger_known(const struct ledger *ledger, const char *id)
{
	return led_find(ledger, id) != NULL;
}

static struct led_entry *
led_enter(struct ledger *ledger, const char *id)
{
	struct led_entry *entry = led_find(ledger, id);

	if (entry != NULL)
		return entry;
	entry = mem_zalloc(1, sizeof(*entry));
	strlcpy(entry->id, id, sizeof(entry->id));
	entry->part = ledger_part(id);
	LIST_INSERT_HEAD(&ledger->buckets[led_hash(id) % LEDGER_BUCKETS], entry,
	    hash);
	return entry;
}

static void
led_free(struct ledger *ledger, struct led_entry *entry)
{
	if (entry->dirty)
		TAILQ_REMOVE(&ledger->parts[entry->part].dirty, entry, order);
	LIST_REMOVE(entry, hash);
	free(entry->value);
	free(entry->sent);
	free(entry);
}

static bool
led_in_batch(const struct ledger *ledger, const struct led_entry *entry)
{
	const struct led_part *part = &ledger->parts[entry->part];
	size_t i;

	for (i = 0; i < part->nbatch; i++) {
		if (part->batch[i] == entry)
			return true;
	}
	return false;
}

static void
led_drop(struct ledger *ledger, struct led_entry *entry)
{
	if (led_in_batch(ledger, entry))
		entry->forgotten = true;
	else
		led_free(ledger, entry);
}

void
ledger_forget(struct ledger *ledger, const char *id)
{
	struct led_entry *entry = led_find(ledger, id);

	if (entry != NULL)
		led_drop(ledger, entry);
}

void
ledger_forget_all(struct ledger *ledger)
{
	struct led_entry *entry, *next;
	size_t i;

	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		ledger->parts[i].owner_version = 0;
		ledger->parts[i].failing = false;
	}
	for (i = 0; i < LEDGER_BUCKETS; i++) {
		for (entry = LIST_FIRST(&ledger->buckets[i]); entry != NULL;
		     entry = next) {
			next = LIST_NEXT(entry, hash);
			if (!entry->forgotten)
				led_drop(ledger, entry);
		}
	}
}

static void
led_arm(struct led_part *part, uint32_t ms)
{
	const struct timeval tv = { .tv_usec = (suseconds_t)ms * 1000 };

	if (part->owner_version != 0 && !part->under_way &&
	    !event_pending(part->timer, EV_TIMEOUT, NULL))
		(void)event_add(part->timer, &tv);
}

void
ledger_own(struct ledger *ledger, uint32_t number, const char *key,
    uint64_t version)
{
	struct led_part *part = &ledger->parts[number];

	strlcpy(part->owner_key, key, sizeof(part->owner_key));
	part->owner_version = version;
	if (!TAILQ_EMPTY(&part->dirty))
		led_arm(part, LEDGER_GATHER_MS);
}

static void
led_mark(struct ledger *ledger, struct led_entry *entry)
{
	struct led_part *part = &ledger->parts[entry->part];

	if (!entry->dirty) {
		entry->dirty = true;
		TAILQ_INSERT_TAIL(&part->dirty, entry, order);
	}
	led_arm(part, LEDGER_GATHER_MS);
}

uint64_t
ledger_put(struct ledger *ledger, const char *id, const char *value, size_t len)
{
	struct led_entry *entry = led_enter(ledger, id);

	free(entry->value);
	entry->value = mem_strndup(value, len);
	entry->len = len;
	entry->seq++;
	led_mark(ledger, entry);
	return entry->seq;
}

void
ledger_remove(struct ledger *ledger, const char *id)
{
	struct led_entry *entry = led_find(ledger, id);

	if (entry == NULL)
		return;
	entry->removing = true;
	led_mark(ledger, entry);
}

void
ledger_adopt(struct ledger *ledger, const char *id, uint64_t version)
{
	led_enter(ledger, id)->version = version;
}

/* The write that was under way has taken effect, at @version. */
static void
led_settled(struct ledger *ledger, struct led_entry *entry, uint64_t version)
{
	entry->version = version;
	entry->uncertain = false;
	if (entry->sent == NULL) {
		led_free(ledger, entry);
		return;
	}
	if (entry->removing)
		led_mark(ledger, entry);
	if (entry->sent_seq < entry->seq)
		led_mark(ledger, entry);
	ledger->listener.stored(ledger->listener.arg, entry->id,
	    entry->sent_seq);
}

/* The row is not as this host left it. */
static void
led_conflict(struct ledger *ledger, struct led_entry *entry,
    const struct rows_row *row)
{
	const struct ledger_listener *listener = &ledger->listener;
	char id[JOB_ID_LEN + 1];

	if (entry->sent == NULL) {
		/* To be removed, and somebody did, or has it now. */
		led_free(ledger, entry);
		return;
	}
	if (row->value != NULL && row->value_len == entry->sent_len &&
	    memcmp(row->value, entry->sent, row->value_len) == 0) {
		led_settled(ledger, entry, row->version);
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
	ledger_forget(ledger, id);
}

static const struct rows_row *
led_row(const struct rows_row *rows, size_t nrows, const char *id)
{
	size_t i;

	for (i = 0; i < nrows; i++) {
		if (strcmp(rows[i].key, id) == 0)
			return &rows[i];
	}
	return NULL;
}

static void
led_entry_done(struct ledger *ledger, struct led_entry *entry,
    enum rows_status status, uint64_t version, const struct rows_row *row)
{
	static const struct rows_row absent = { .version = 0 };
	char id[JOB_ID_LEN + 1];

	if (entry->forgotten) {
		led_free(ledger, entry);
		return;
	}
	if (status == ROWS_OK) {
		led_settled(ledger, entry, version);
		return;
	}
	if (status == ROWS_CONFLICT) {
		if (row == NULL)
			row = &absent;
		if (row->version != entry->version) {
			led_conflict(ledger, entry, row);
			return;
		}
	}
	if (status == ROWS_UNKNOWN)
		entry->uncertain = true;
	if (status == ROWS_REFUSED && entry->version == 0 &&
	    !entry->uncertain) {
		memcpy(id, entry->id, sizeof(id));
		ledger_forget(ledger, id);
		ledger->listener.refused(ledger->listener.arg, id);
		return;
	}
	led_mark(ledger, entry);
}

/* Has another host taken the partition since the write under way was made? */
static bool
led_owner_changed(const struct led_part *part, const struct rows_row *rows,
    size_t nrows)
{
	const struct rows_row *owner =
	    led_row(rows, nrows, part->sent_owner_key);

	return owner == NULL || owner->version != part->sent_owner_version;
}

/* Nothing was written. The listener is told unless this host owns anew. */
static void
led_fenced(struct led_part *part, struct led_entry **batch, size_t n)
{
	struct ledger *ledger = part->ledger;
	size_t i;

	for (i = 0; i < n; i++) {
		if (batch[i]->forgotten)
			led_free(ledger, batch[i]);
		else
			led_mark(ledger, batch[i]);
	}
	if (part->owner_version != part->sent_owner_version)
		return;
	log_event(LOG_LEVEL_WARN, "partition-lost",
	    "part=%u owner=%s version=%llu", part->number, part->owner_key,
	    (unsigned long long)part->owner_version);
	part->owner_version = 0;
	ledger->listener.fenced(ledger->listener.arg);
}

static uint32_t
led_elapsed_ms(const struct led_part *part)
{
	return (uint32_t)((clock_now_us(part->ledger->clock) - part->sent_us) /
	    LEDGER_US_PER_MS);
}

static void
led_learn(struct led_part *part, enum rows_status status)
{
	uint32_t took_ms = led_elapsed_ms(part);

	hist_add(&ledger_time, took_ms);
	part->failing = status == ROWS_REFUSED || status == ROWS_UNKNOWN;
	if (part->failing)
		return;
	/* A store that turns slow is believed at once, one that recovers by
	 * and by. */
	if (took_ms > part->usual_ms)
		part->usual_ms = took_ms;
	else
		part->usual_ms -=
		    (part->usual_ms - took_ms) / LEDGER_USUAL_WEIGHT;
}

uint32_t
ledger_delay_ms(const struct ledger *ledger, const char *id)
{
	const struct led_part *part = &ledger->parts[ledger_part(id)];
	uint32_t elapsed_ms, usual_ms = part->usual_ms;

	if (!part->under_way && TAILQ_EMPTY(&part->dirty))
		return 0;
	if (part->failing)
		return UINT32_MAX;
	if (!part->under_way)
		return usual_ms;
	/* What takes longer than usual is taken to be half done. */
	elapsed_ms = led_elapsed_ms(part);
	if (elapsed_ms < usual_ms)
		return usual_ms - elapsed_ms + usual_ms;
	return elapsed_ms * 2;
}

static void
led_done(void *arg, enum rows_status status, uint64_t version,
    const struct rows_row *rows, size_t nrows)
{
	struct led_part *part = arg;
	struct led_entry *batch[ROWS_WRITES_MAX];
	size_t i, n = part->nbatch;

	memcpy(batch, part->batch, sizeof(batch));
	part->nbatch = 0;
	part->under_way = false;
	led_learn(part, status);
	if (status == ROWS_REFUSED || status == ROWS_UNKNOWN)
		led_arm(part, LEDGER_RETRY_MS);
	if (status == ROWS_CONFLICT && led_owner_changed(part, rows, nrows)) {
		led_fenced(part, batch, n);
	} else {
		for (i = 0; i < n; i++)
			led_entry_done(part->ledger, batch[i], status, version,
			    led_row(rows, nrows, batch[i]->id));
	}
	/* What came meanwhile, perhaps for a later time as owner. */
	if (!TAILQ_EMPTY(&part->dirty))
		led_arm(part, LEDGER_GATHER_MS);
}

/* An uncertain write is repeated as it was, so that it can be recognised. */
static void
led_take(struct led_entry *entry)
{
	if (entry->uncertain)
		return;
	free(entry->sent);
	entry->sent = NULL;
	if (entry->removing)
		return;
	entry->sent = mem_strndup(entry->value, entry->len);
	entry->sent_len = entry->len;
	entry->sent_seq = entry->seq;
}

/* Return: bytes of the value that is to be written. */
static size_t
led_size(const struct led_entry *entry)
{
	return entry->uncertain ? entry->sent_len : entry->len;
}

/* Takes what is dirty, within the bounds of a transaction. */
static size_t
led_gather(struct led_part *part, struct rows_row *writes)
{
	struct led_entry *entry;
	size_t bytes = 0, n = 0;

	while ((entry = TAILQ_FIRST(&part->dirty)) != NULL &&
	    n < ROWS_WRITES_MAX) {
		bytes += led_size(entry);
		if (n > 0 && bytes > ROWS_BYTES_MAX)
			break;
		TAILQ_REMOVE(&part->dirty, entry, order);
		entry->dirty = false;
		led_take(entry);
		writes[n] = (struct rows_row){
			.key = entry->id,
			.value = entry->sent,
			.value_len = entry->sent_len,
			.version = entry->version,
		};
		part->batch[n++] = entry;
	}
	return n;
}

static void
led_flush(evutil_socket_t fd, short what, void *arg)
{
	struct led_part *part = arg;
	struct rows_row writes[ROWS_WRITES_MAX + 1];
	struct rows *rows = part->ledger->rows;

	(void)fd;
	(void)what;
	if (part->owner_version == 0 || part->under_way)
		return;
	part->nbatch = led_gather(part, writes + 1);
	if (part->nbatch == 0)
		return;
	strlcpy(part->sent_owner_key, part->owner_key,
	    sizeof(part->sent_owner_key));
	part->sent_owner_version = part->owner_version;
	writes[0] = (struct rows_row){
		.key = part->sent_owner_key,
		.version = part->sent_owner_version,
		.only_checked = true,
	};
	part->under_way = true;
	part->sent_us = clock_now_us(part->ledger->clock);
	ctr_inc(&ledger_transactions);
	rows->ops->transact(rows, part->number, writes, part->nbatch + 1,
	    led_done, part);
}

struct ledger *
ledger_create(struct event_base *base, struct clock *clock, struct rows *rows,
    const struct ledger_listener *listener)
{
	struct ledger *ledger = mem_zalloc(1, sizeof(*ledger));
	struct led_part *part;
	uint32_t i;

	ledger->clock = clock;
	ledger->rows = rows;
	ledger->listener = *listener;
	for (i = 0; i < LEDGER_BUCKETS; i++)
		LIST_INIT(&ledger->buckets[i]);
	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		part = &ledger->parts[i];
		part->ledger = ledger;
		part->number = i;
		TAILQ_INIT(&part->dirty);
		part->timer = evtimer_new(base, led_flush, part);
		if (part->timer == NULL) {
			ledger_destroy(ledger);
			return NULL;
		}
	}
	return ledger;
}

void
ledger_destroy(struct ledger *ledger)
{
	struct led_entry *entry, *next;
	size_t i;

	for (i = 0; i < LEDGER_BUCKETS; i++) {
		for (entry = LIST_FIRST(&ledger->buckets[i]); entry != NULL;
		     entry = next) {
			next = LIST_NEXT(entry, hash);
			led_free(ledger, entry);
		}
	}
	for (i = 0; i < ROWS_JOB_PARTS; i++) {
		if (ledger->parts[i].timer != NULL)
			event_free(ledger->parts[i].timer);
	}
	free(ledger);
}
