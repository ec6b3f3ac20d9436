#ifndef ENTRY_JOBS_REGISTRY_H
#define ENTRY_JOBS_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/job.h"
#include "ports/rows.h"

/*
 * What an entry host knows from the store: queues, backend servers, entry
 * hosts. Rows never go back to an older version, whichever way they came.
 */

#define REG_LABELS_MAX 8 /* labels of one server that are kept */

/** struct reg_queue - a queue and the requests that go to it. */
struct reg_queue {
	struct job_queue queue;
	char host[NAME_SIZE];	/* Host header of its requests */
	char prefix[NAME_SIZE]; /* beginning of their path */
};

/** struct reg_service - a pool of backend servers. */
struct reg_service {
	char name[NAME_SIZE];
	bool admission_check; /* its servers refuse what does not fit */
};

/** struct reg_config - one version of the configuration. */
struct reg_config {
	uint64_t version; /* the operator's; 0: none yet */
	uint64_t body_bytes_max;
	struct reg_queue *queues; /* owned */
	size_t nqueues;
	struct reg_service *services; /* owned */
	size_t nservices;
};

/** struct reg_server - a backend server, by its own report. */
struct reg_server {
	char id[NAME_SIZE];
	char service[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46];
	uint16_t port;
	uint64_t born_ms; /* start of its incarnation, wall clock */
	int64_t cpu;	  /* thousandths of a core */
	int64_t mem_mb;
	int64_t gpus;
	bool draining;
	uint64_t drain_remaining_ms; /* at the least, while it drains */
	char labels[REG_LABELS_MAX][NAME_SIZE];
	size_t nlabels;
	char rack[NAME_SIZE]; /* one of the labels, or "" */
};

/** struct reg_host - an entry host, by its own row. */
struct reg_host {
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46]; /* for peers */
	uint16_t port;
	uint32_t weight; /* processor share in thousandths */
};

/** struct reg_decoder - reads the rows of the platform; 0, or -1 if bad. */
struct reg_decoder {
	int (*config)(const char *value, size_t len, struct reg_config *config);
	int (*server)(const char *key, const char *value, size_t len,
	    struct reg_server *server);
	int (*host)(const char *key, const char *value, size_t len,
	    struct reg_host *host);
};

struct registry;

/** struct reg_listener - who is told of changes; every callback gets @arg. */
struct reg_listener {
	void (*config)(void *arg, const struct reg_config *config);
	void (*server)(void *arg, const struct reg_server *server);
	void (*server_removed)(void *arg, const char *id);
	void (*host)(void *arg, const struct reg_host *host);
	void (*host_removed)(void *arg, const char *name);
	void *arg;
};

/** reg_create() - an empty directory; both arguments are copied. */
struct registry *reg_create(const struct reg_decoder *decoder,
    const struct reg_listener *listener);

void reg_destroy(struct registry *reg);

/**
 * reg_row_changed() - a row as the store or a peer tells it. Older versions
 * than the known one are ignored; rows that can't be read name nothing to use.
 */
void reg_row_changed(struct registry *reg, const struct rows_change *change,
    uint64_t now_us);

/** reg_read_begin(), reg_read_end() - around a full read of a table. */
void reg_read_begin(struct registry *reg, enum rows_table table);
void reg_read_end(struct registry *reg, enum rows_table table, uint64_t now_us);

/** reg_tick() - report servers whose rows have been gone for long enough. */
void reg_tick(struct registry *reg, uint64_t now_us);

/** reg_config() - the newest configuration; its version is 0 if none. */
const struct reg_config *reg_config(const struct registry *reg);

/**
 * reg_route() - the queue for a request.
 * @rest: set to what follows the queue's prefix in @path.
 * Return: the queue with the longest prefix, or NULL.
 */
const struct reg_queue *reg_route(const struct registry *reg, const char *host,
    const char *path, const char **rest);

/** reg_version() - the newest row version that was seen. */
uint64_t reg_version(const struct registry *reg);

/** reg_render() - rows newer than @since, for a peer; freed by the caller. */
char *reg_render(const struct registry *reg, uint64_t since);

/** reg_merge() - take the rows that a peer rendered; -1 if malformed. */
int reg_merge(struct registry *reg, const char *text, size_t len,
    uint64_t now_us);

#endif /* ENTRY_JOBS_REGISTRY_H */
