/*
 * The registry of an entry host. The encoded rows are retained, so that they
 * can be sent to a peer that is not connected to the store.
 */

#include <inttypes.h>
#include <jansson.h>

#include "adapters/log.h"
#include "core/mem.h"
#include "entry/jobs/registry.h"

/* Rows of live servers may expire during an outage of the store. They are
 * written again within two seconds after it ends. */
#define REG_REMOVAL_DELAY_US 2500000ULL
#define REG_CONFIG_KEY "config"

struct reg_row {
	enum rows_table table;
	char *key;
	char *value; /* NULL: removed */
	size_t value_len;
	uint64_t version;
	uint64_t removal_due_us; /* time to report the removal; 0: none */
	bool in_current_read;	 /* since the last reg_read_begin() */
	TAILQ_ENTRY(reg_row) entry;
};

struct registry {
	struct reg_decoder decoder;
	struct reg_listener listener;
	struct reg_config config;
	uint64_t version;
	TAILQ_HEAD(, reg_row) rows;
};

struct registry *
reg_create(const struct reg_decoder *decoder,
    const struct reg_listener *listener)
{
	struct registry *reg = mem_zalloc(1, sizeof(*reg));

	reg->decoder = *decoder;
	reg->listener = *listener;
	TAILQ_INIT(&reg->rows);
	return reg;
}

static void
reg_config_release(struct reg_config *config)
{
	free(config->queues);
	free(config->services);
}

void
reg_destroy(struct registry *reg)
{
	struct reg_row *row;

	while ((row = TAILQ_FIRST(&reg->rows)) != NULL) {
		TAILQ_REMOVE(&reg->rows, row, entry);
		free(row->key);
		free(row->value);
		free(row);
	}
	reg_config_release(&reg->config);
	free(reg);
}

const struct reg_config *
reg_config(const struct registry *reg)
{
	return &reg->config;
}

uint64_t
reg_version(const struct registry *reg)
{
	return reg->version;
}

static struct reg_row *
reg_row_find(struct registry *reg, enum rows_table table, const char *key)
{
	struct reg_row *row;

	TAILQ_FOREACH (row, &reg->rows, entry) {
		if (row->table == table && strcmp(row->key, key) == 0)
			return row;
	}
	return NULL;
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

static void
reg_apply_server(struct registry *reg, struct reg_row *row, uint64_t now_us)
{
	struct reg_server server;

	if (row->value == NULL) {
		row->removal_due_us = now_us + REG_REMOVAL_DELAY_US;
		return;
	}
	row->removal_due_us = 0;
	if (reg->decoder.server(row->key, row->value, row->value_len,
		&server) == -1) {
		reg_log_malformed_row(row);
		reg->listener.server_removed(reg->listener.arg, row->key);
		return;
	}
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
	else
		reg->listener.host(reg->listener.arg, &host);
}

static void
reg_apply(struct registry *reg, struct reg_row *row, uint64_t now_us)
{
	switch (row->table) {
	case ROWS_OPERATOR:
		reg_apply_config(reg, row);
		break;
	case ROWS_SERVERS:
		reg_apply_server(reg, row, now_us);
		break;
	case ROWS_HOSTS:
		reg_apply_host(reg, row);
		break;
	case ROWS_NTABLES:
		break;
	}
}

void
reg_row_changed(struct registry *reg, const struct rows_change *change,
    uint64_t now_us)
{
	struct reg_row *row = reg_row_find(reg, change->table, change->key);

	if (row == NULL) {
		row = mem_zalloc(1, sizeof(*row));
		row->table = change->table;
		row->key = mem_strndup(change->key, strlen(change->key));
		TAILQ_INSERT_TAIL(&reg->rows, row, entry);
	}
	row->in_current_read = true;
	if (change->version <= row->version)
		return;
	row->version = change->version;
	if (change->version > reg->version)
		reg->version = change->version;
	free(row->value);
	row->value = change->value == NULL
	    ? NULL
	    : mem_strndup(change->value, change->value_len);
	row->value_len = change->value_len;
	reg_apply(reg, row, now_us);
}

void
reg_read_begin(struct registry *reg, enum rows_table table)
{
	struct reg_row *row;

	TAILQ_FOREACH (row, &reg->rows, entry) {
		if (row->table == table)
			row->in_current_read = false;
	}
}

void
reg_read_end(struct registry *reg, enum rows_table table, uint64_t now_us)
{
	struct reg_row *row;

	TAILQ_FOREACH (row, &reg->rows, entry) {
		if (row->table != table || row->in_current_read ||
		    row->value == NULL)
			continue;
		free(row->value);
		row->value = NULL;
		reg_apply(reg, row, now_us);
	}
}

void
reg_tick(struct registry *reg, uint64_t now_us)
{
	struct reg_row *row;

	TAILQ_FOREACH (row, &reg->rows, entry) {
		if (row->removal_due_us == 0 || row->removal_due_us > now_us)
			continue;
		row->removal_due_us = 0;
		log_event(LOG_LEVEL_INFO, "server-removed",
		    "server=%s row_version=%" PRIu64, row->key, row->version);
		reg->listener.server_removed(reg->listener.arg, row->key);
	}
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

char *
reg_render(const struct registry *reg, uint64_t since)
{
	json_t *rows = json_array();
	const struct reg_row *row;
	json_t *item;
	char *text;

	TAILQ_FOREACH (row, &reg->rows, entry) {
		if (row->version <= since)
			continue;
		item = json_pack("{s:i,s:s,s:I}", "table", (int)row->table,
		    "key", row->key, "version", (json_int_t)row->version);
		if (row->value != NULL)
			(void)json_object_set_new(item, "value",
			    json_stringn(row->value, row->value_len));
		(void)json_array_append_new(rows, item);
	}
	text = json_dumps(rows, JSON_COMPACT);
	json_decref(rows);
	if (text == NULL)
		abort();
	return text;
}

int
reg_merge(struct registry *reg, const char *text, size_t len, uint64_t now_us)
{
	json_t *rows = json_loadb(text, len, 0, NULL);
	struct rows_change change;
	const json_t *row, *value;
	json_int_t table;
	size_t i;

	if (!json_is_array(rows)) {
		json_decref(rows);
		return -1;
	}
	json_array_foreach (rows, i, row) {
		table = json_integer_value(json_object_get(row, "table"));
		value = json_object_get(row, "value");
		change = (struct rows_change){
			.table = (enum rows_table)table,
			.key = json_string_value(json_object_get(row, "key")),
			.value = json_string_value(value),
			.value_len = json_string_length(value),
			.version = (uint64_t)json_integer_value(
			    json_object_get(row, "version")),
		};
		if (table >= 0 && table < ROWS_NTABLES && change.key != NULL)
			reg_row_changed(reg, &change, now_us);
	}
	json_decref(rows);
	return 0;
}
