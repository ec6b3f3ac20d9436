/*
 * The registry of an entry host. The encoded rows are retained, so that they
 * can be sent to a peer that is not connected to the store.
 */

#include <inttypes.h>
#include <jansson.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "core/name_index.h"
#include "entry/jobs/registry.h"

/* Rows of live servers may expire during an outage of the store. They are
 * written again within two seconds after it ends. */
#define REG_REMOVAL_DELAY_US 2500000ULL
#define REG_CONFIG_KEY "config"
#define REG_US_PER_MS UINT64_C(1000)

struct reg_row {
	enum rows_table table;
	char *key;
	char *value; /* NULL: removed */
	size_t value_len;
	uint64_t version;
	/* Version with which the decoded row changed last. Rows of servers are
	 * written at every heartbeat, mostly without such a change. */
	uint64_t changed_version;
	struct reg_server *server; /* as last reported; owned, or NULL */
	uint64_t removal_due_us;   /* time to report the removal; 0: none */
	bool in_current_read;	   /* since the last reg_read_begin() */
	struct nidx_entry by_key;
	TAILQ_ENTRY(reg_row) entry;
	TAILQ_ENTRY(reg_row) removal; /* while removal_due_us is not 0 */
};

TAILQ_HEAD(reg_rows, reg_row);

/* The rows of one table. */
struct reg_table {
	uint64_t version;      /* all changes up to it are known; 0: none */
	bool reading;	       /* a full read has begun and has not ended */
	uint64_t confirmed_us; /* the rows were current then; 0: never */
	struct reg_rows rows;
	struct name_index by_key;
};

struct registry {
	struct reg_decoder decoder;
	struct reg_listener listener;
	struct reg_config config;
	struct reg_table tables[ROWS_NTABLES];
	struct reg_rows removals;   /* ordered by removal_due_us */
	uint64_t server_removed_us; /* the last report of one; 0: none */
	uint64_t dropped_version;   /* see reg_dropped_version() */
	/* Removals of servers up to it may not have been shown. */
	uint64_t unshown_version;
};

struct registry *
reg_create(const struct reg_decoder *decoder,
    const struct reg_listener *listener)
{
	struct registry *reg = mem_zalloc(1, sizeof(*reg));
	int i;

	reg->decoder = *decoder;
	reg->listener = *listener;
	TAILQ_INIT(&reg->removals);
	for (i = 0; i < ROWS_NTABLES; i++) {
		TAILQ_INIT(&reg->tables[i].rows);
		nidx_init(&reg->tables[i].by_key);
	}
	return reg;
}

static void
reg_config_release(struct reg_config *config)
{
	free(config->queues);
	free(config->services);
}

static void
reg_table_release(struct reg_table *table)
{
	struct reg_row *row;

	while ((row = TAILQ_FIRST(&table->rows)) != NULL) {
		TAILQ_REMOVE(&table->rows, row, entry);
		free(row->key);
		free(row->value);
		free(row->server);
		free(row);
	}
	nidx_release(&table->by_key);
}

void
reg_destroy(struct registry *reg)
{
	int i;

	for (i = 0; i < ROWS_NTABLES; i++)
		reg_table_release(&reg->tables[i]);
	reg_config_release(&reg->config);
	free(reg);
}

const struct reg_config *
reg_config(const struct registry *reg)
{
	return &reg->config;
}

uint64_t
reg_version(const struct registry *reg, enum rows_table table)
{
	return reg->tables[table].version;
}

static void
reg_confirm(struct reg_table *table, uint64_t confirmed_us)
{
	if (confirmed_us > table->confirmed_us)
		table->confirmed_us = confirmed_us;
}

static void
reg_set_version(struct reg_table *table, uint64_t version)
{
	if (version > table->version)
		table->version = version;
}

void
reg_current(struct registry *reg, enum rows_table table, uint64_t version,
    uint64_t now_us)
{
	reg_set_version(&reg->tables[table], version);
	reg_confirm(&reg->tables[table], now_us);
}

uint64_t
reg_age_ms(const struct registry *reg, enum rows_table table, uint64_t now_us)
{
	uint64_t confirmed_us = reg->tables[table].confirmed_us;

	return confirmed_us == 0 ? UINT64_MAX
				 : (now_us - confirmed_us) / REG_US_PER_MS;
}

static struct reg_row *
reg_row_find(struct registry *reg, enum rows_table table, const char *key)
{
	struct nidx_entry *entry = nidx_find(&reg->tables[table].by_key, key);

	return entry == NULL ? NULL
			     : NIDX_OBJECT(entry, struct reg_row, by_key);
}

static struct reg_row *
reg_row_add(struct registry *reg, enum rows_table table, const char *key)
{
	struct reg_row *row = mem_zalloc(1, sizeof(*row));

	row->table = table;
	row->key = mem_strndup(key, strlen(key));
	TAILQ_INSERT_TAIL(&reg->tables[table].rows, row, entry);
	nidx_insert(&reg->tables[table].by_key, &row->by_key, row->key);
	return row;
}

/* Schedules the report of a removal; @due_us 0 cancels it. The delay is always
 * the same, so that the list stays in order. */
static void
reg_set_removal(struct registry *reg, struct reg_row *row, uint64_t due_us)
{
	if (row->removal_due_us != 0)
		TAILQ_REMOVE(&reg->removals, row, removal);
	row->removal_due_us = due_us;
	if (due_us != 0)
		TAILQ_INSERT_TAIL(&reg->removals, row, removal);
}

static void
reg_log_malformed_row(const struct reg_row *row)
{
	log_event(LOG_LEVEL_WARN, "row-malformed",
	    "table=%d key=%s version=%" PRIu64, (int)row->table, row->key,
	    row->version);
}

static void
reg_apply_config(struct registry *reg, const struct reg_row *row)
{
	struct reg_config config;

	if (strcmp(row->key, REG_CONFIG_KEY) != 0 || row->value == NULL)
		return;
	if (reg->decoder.config(row->value, row->value_len, &config) == -1) {
		reg_log_malformed_row(row);
		return;
	}
	if (config.version <= reg->config.version) {
		reg_config_release(&config);
		return;
	}
	reg_config_release(&reg->config);
	reg->config = config;
	log_event(LOG_LEVEL_INFO, "configuration-applied",
	    "version=%" PRIu64 " queues=%zu row_version=%" PRIu64,
	    config.version, config.nqueues, row->version);
	reg->listener.config(reg->listener.arg, &reg->config);
}

static bool
reg_server_equal(const struct reg_server *a, const struct reg_server *b)
{
	size_t i;

	if (strcmp(a->service, b->service) != 0 || strcmp(a->az, b->az) != 0 ||
	    strcmp(a->address, b->address) != 0 || a->port != b->port ||
	    a->incarnation_start_ms != b->incarnation_start_ms ||
	    a->cpu != b->cpu || a->mem_mb != b->mem_mb || a->gpus != b->gpus ||
	    a->draining != b->draining ||
	    a->drain_remaining_ms != b->drain_remaining_ms ||
	    strcmp(a->rack, b->rack) != 0 || a->nlabels != b->nlabels)
		return false;
	for (i = 0; i < a->nlabels; i++) {
		if (strcmp(a->labels[i], b->labels[i]) != 0)
			return false;
	}
	return true;
}

static void
reg_set_dropped(struct registry *reg, uint64_t version)
{
	if (version > reg->dropped_version)
		reg->dropped_version = version;
}

static void
reg_set_unshown(struct registry *reg, uint64_t version)
{
	if (version > reg->unshown_version)
		reg->unshown_version = version;
	reg_set_dropped(reg, version);
}

static void
reg_report_server_removed(struct registry *reg, struct reg_row *row,
    uint64_t now_us)
{
	if (row->server != NULL)
		reg->server_removed_us = now_us;
	reg_set_dropped(reg, row->version);
	free(row->server);
	row->server = NULL;
	reg->listener.server_removed(reg->listener.arg, row->key);
}

static void
reg_apply_server(struct registry *reg, struct reg_row *row, uint64_t now_us)
{
	struct reg_server server;

	if (row->value == NULL) {
		row->changed_version = row->version;
		if (row->server == NULL)
			reg_set_dropped(reg, row->version);
		reg_set_removal(reg, row, now_us + REG_REMOVAL_DELAY_US);
		return;
	}
	if (reg->decoder.server(row->key, row->value, row->value_len,
		&server) == -1) {
		row->changed_version = row->version;
		reg_set_removal(reg, row, 0);
		reg_log_malformed_row(row);
		reg_report_server_removed(reg, row, now_us);
		return;
	}
	if (row->server != NULL && row->removal_due_us == 0 &&
	    reg_server_equal(row->server, &server))
		return;
	reg_set_removal(reg, row, 0);
	if (row->server == NULL)
		row->server = mem_zalloc(1, sizeof(*row->server));
	*row->server = server;
	row->changed_version = row->version;
	reg->listener.server(reg->listener.arg, &server);
}

static void
reg_apply_host(struct registry *reg, const struct reg_row *row)
{
	struct reg_host host;

	if (row->value == NULL)
		reg->listener.host_removed(reg->listener.arg, row->key);
	else if (reg->decoder.host(row->key, row->value, row->value_len,
		     &host) == -1)
		reg_log_malformed_row(row);
	else {
		host.row_version = row->version;
		reg->listener.host(reg->listener.arg, &host);
	}
}

static void
reg_apply(struct registry *reg, struct reg_row *row, uint64_t now_us)
{
	switch (row->table) {
	case ROWS_OPERATOR:
		row->changed_version = row->version;
		reg_apply_config(reg, row);
		break;
	case ROWS_SERVERS:
		reg_apply_server(reg, row, now_us);
		break;
	case ROWS_HOSTS:
		row->changed_version = row->version;
		reg_apply_host(reg, row);
		break;
	case ROWS_NTABLES:
		break;
	}
}

static void
reg_row_update(struct registry *reg, struct reg_row *row,
    const struct rows_change *change, uint64_t now_us)
{
	if (change->version <= row->version)
		return;
	row->version = change->version;
	free(row->value);
	row->value = change->value == NULL
	    ? NULL
	    : mem_strndup(change->value, change->value_len);
	row->value_len = change->value_len;
	reg_apply(reg, row, now_us);
}

void
reg_row_changed(struct registry *reg, const struct rows_change *change,
    uint64_t now_us)
{
	struct reg_table *table = &reg->tables[change->table];
	struct reg_row *row = reg_row_find(reg, change->table, change->key);

	if (row == NULL)
		row = reg_row_add(reg, change->table, change->key);
	row->in_current_read = true;
	reg_row_update(reg, row, change, now_us);
	if (!table->reading)
		reg_set_version(table, change->version);
}

/* Only rows of the store count as rows of its full read. */
static void
reg_peer_row_changed(struct registry *reg, const struct rows_change *change,
    uint64_t now_us)
{
	struct reg_row *row = reg_row_find(reg, change->table, change->key);

	if (row == NULL) {
		if (change->version <= reg->tables[change->table].version)
			return;
		row = reg_row_add(reg, change->table, change->key);
	}
	reg_row_update(reg, row, change, now_us);
}

void
reg_read_begin(struct registry *reg, enum rows_table table)
{
	struct reg_row *row;

	reg->tables[table].reading = true;
	TAILQ_FOREACH (row, &reg->tables[table].rows, entry)
		row->in_current_read = false;
}

void
reg_read_end(struct registry *reg, enum rows_table table, uint64_t version,
    uint64_t now_us)
{
	struct reg_row *row;

	reg->tables[table].reading = false;
	reg_set_version(&reg->tables[table], version);
	/* Rows that were removed before the read are not shown. */
	if (table == ROWS_SERVERS)
		reg_set_unshown(reg, version);
	TAILQ_FOREACH (row, &reg->tables[table].rows, entry) {
		if (row->in_current_read || row->value == NULL ||
		    row->version > version)
			continue;
		free(row->value);
		row->value = NULL;
		/* A peer that has an earlier version of the row must replace
		 * it. */
		row->version = version;
		reg_apply(reg, row, now_us);
	}
}

void
reg_tick(struct registry *reg, uint64_t now_us)
{
	struct reg_row *row;

	while ((row = TAILQ_FIRST(&reg->removals)) != NULL &&
	    row->removal_due_us <= now_us) {
		reg_set_removal(reg, row, 0);
		log_event(LOG_LEVEL_INFO, "server-removed",
		    "server=%s row_version=%" PRIu64, row->key, row->version);
		reg_report_server_removed(reg, row, now_us);
	}
}

bool
reg_server_missing(const struct registry *reg, uint64_t now_us)
{
	const struct reg_row *row;

	if (reg->server_removed_us != 0 &&
	    now_us - reg->server_removed_us < REG_REMOVAL_DELAY_US)
		return true;
	TAILQ_FOREACH (row, &reg->removals, removal) {
		if (row->server == NULL)
			return true;
	}
	return false;
}

uint64_t
reg_dropped_version(const struct registry *reg)
{
	return reg->dropped_version;
}

uint64_t
reg_settled_version(const struct registry *reg)
{
	uint64_t version = reg->tables[ROWS_SERVERS].version;
	const struct reg_row *row;

	TAILQ_FOREACH (row, &reg->removals, removal) {
		if (row->version <= version)
			version = row->version - 1;
	}
	return version;
}

const struct reg_queue *
reg_route(const struct registry *reg, const char *host, const char *path,
    const char **rest)
{
	const struct reg_queue *queue, *best = NULL;
	size_t i, len, best_len = 0;

	for (i = 0; i < reg->config.nqueues; i++) {
		queue = &reg->config.queues[i];
		len = strlen(queue->prefix);
		if (strcasecmp(queue->host, host) != 0 ||
		    strncmp(path, queue->prefix, len) != 0 ||
		    (best != NULL && len <= best_len))
			continue;
		best = queue;
		best_len = len;
	}
	if (best != NULL)
		*rest = path + best_len;
	return best;
}

/* A row without a key shows that the table is encoded, the versions between
 * which all changes are encoded, the version up to which removals may not be,
 * and how old the table is. */
static void
reg_render_table(const struct registry *reg, enum rows_table table,
    uint64_t since, uint64_t now_us, json_t *rows)
{
	const struct reg_row *row;
	json_t *item = json_pack("{s:i,s:I,s:I}", "table", (int)table, "since",
	    (json_int_t)since, "version",
	    (json_int_t)reg->tables[table].version);

	if (table == ROWS_SERVERS)
		(void)json_object_set_new(item, "unshown",
		    json_integer((json_int_t)reg->unshown_version));
	if (reg->tables[table].confirmed_us != 0)
		(void)json_object_set_new(item, "age_ms",
		    json_integer((json_int_t)reg_age_ms(reg, table, now_us)));
	(void)json_array_append_new(rows, item);
	TAILQ_FOREACH (row, &reg->tables[table].rows, entry) {
		if (row->changed_version <= since)
			continue;
		item = json_pack("{s:i,s:s,s:I}", "table", (int)row->table,
		    "key", row->key, "version", (json_int_t)row->version);
		if (row->value != NULL)
			(void)json_object_set_new(item, "value",
			    json_stringn(row->value, row->value_len));
		(void)json_array_append_new(rows, item);
	}
}

char *
reg_render(const struct registry *reg, const uint64_t since[ROWS_NTABLES],
    uint64_t now_us)
{
	json_t *rows = json_array();
	char *text;
	int i;

	for (i = 0; i < ROWS_NTABLES; i++) {
		if (since[i] != REG_NO_ROWS)
			reg_render_table(reg, (enum rows_table)i, since[i],
			    now_us, rows);
	}
	text = json_dumps(rows, JSON_COMPACT);
	json_decref(rows);
	if (text == NULL)
		abort();
	return text;
}

/* The peer has encoded its rows after they were requested. */
static void
reg_merge_age(struct registry *reg, const json_t *row, enum rows_table table,
    uint64_t sent_us)
{
	const json_t *age = json_object_get(row, "age_ms");
	uint64_t age_us;

	if (!json_is_integer(age) || json_integer_value(age) < 0)
		return;
	age_us = (uint64_t)json_integer_value(age) * REG_US_PER_MS;
	if (age_us < sent_us)
		reg_confirm(&reg->tables[table], sent_us - age_us);
}

/* Removals that the peer cannot show, and that this registry does not know. */
static void
reg_merge_unshown(struct registry *reg, const json_t *row)
{
	json_int_t unshown =
	    json_integer_value(json_object_get(row, "unshown"));

	if (unshown > 0 &&
	    (uint64_t)unshown > reg->tables[ROWS_SERVERS].version)
		reg_set_unshown(reg, (uint64_t)unshown);
}

/* Return: the version up to which all changes of @table are known once the
 * peer's rows are merged. */
static uint64_t
reg_merged_version(const struct registry *reg, const json_t *row,
    enum rows_table table)
{
	json_int_t since = json_integer_value(json_object_get(row, "since"));
	json_int_t version =
	    json_integer_value(json_object_get(row, "version"));

	if (since < 0 || version < 0 ||
	    (uint64_t)since > reg->tables[table].version)
		return 0;
	return (uint64_t)version;
}

static void
reg_merge_row(struct registry *reg, const json_t *row, uint64_t sent_us,
    uint64_t now_us, bool merged[ROWS_NTABLES], uint64_t versions[ROWS_NTABLES])
{
	const json_t *value = json_object_get(row, "value");
	json_int_t table = json_integer_value(json_object_get(row, "table"));
	const struct rows_change change = {
		.table = (enum rows_table)table,
		.key = json_string_value(json_object_get(row, "key")),
		.value = json_string_value(value),
		.value_len = json_string_length(value),
		.version = (uint64_t)json_integer_value(
		    json_object_get(row, "version")),
	};

	if (table < 0 || table >= ROWS_NTABLES)
		return;
	if (change.key != NULL) {
		reg_peer_row_changed(reg, &change, now_us);
		return;
	}
	merged[table] = true;
	versions[table] = reg_merged_version(reg, row, change.table);
	reg_merge_age(reg, row, change.table, sent_us);
	if (change.table == ROWS_SERVERS)
		reg_merge_unshown(reg, row);
}

int
reg_merge(struct registry *reg, const char *text, size_t len, uint64_t sent_us,
    uint64_t now_us, bool merged[ROWS_NTABLES])
{
	json_t *rows = json_loadb(text, len, 0, NULL);
	uint64_t versions[ROWS_NTABLES] = { 0 };
	const json_t *row;
	size_t i;

	memset(merged, 0, ROWS_NTABLES * sizeof(*merged));
	if (!json_is_array(rows)) {
		json_decref(rows);
		return -1;
	}
	json_array_foreach (rows, i, row)
		reg_merge_row(reg, row, sent_us, now_us, merged, versions);
	for (i = 0; i < ROWS_NTABLES; i++)
		reg_set_version(&reg->tables[i], versions[i]);
	json_decref(rows);
	return 0;
}
