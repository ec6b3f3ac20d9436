#ifndef ENTRY_JOBS_REGISTRY_H
#define ENTRY_JOBS_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/job.h"
#include "ports/rows.h"

/*
 * The registry of an entry host: queues, backend servers and entry hosts, as
 * read from the store or from a peer. A row is never replaced by an older
 * version of it, from either source.
 */

#define REG_LABELS_MAX 8 /* of one server; further ones are ignored */

/** struct reg_queue - a queue and the HTTP requests that are routed to it. */
struct reg_queue {
	struct job_queue queue;
	char host[NAME_SIZE];	/* Host header of the requests */
	char prefix[NAME_SIZE]; /* of the requests' paths */
};

/** struct reg_service - a pool of backend servers. */
struct reg_service {
	char name[NAME_SIZE];
	/* Its servers refuse tasks for which their free resources do not
	 * suffice. */
	bool admission_check;
};

/** struct reg_config - one version of the configuration. */
struct reg_config {
	uint64_t version; /* set by the operator; 0: none loaded */
	uint64_t body_bytes_max;
	struct reg_queue *queues; /* owned */
	size_t nqueues;
	struct reg_service *services; /* owned */
	size_t nservices;
};

/** struct reg_server - a backend server, from the row that it writes. */
struct reg_server {
	char id[NAME_SIZE];
	char service[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46];
	uint16_t port;
	uint64_t incarnation_start_ms; /* wall clock */
	int64_t cpu;		       /* thousandths of a core */
	int64_t mem_mb;
	int64_t gpus;
	bool draining;
	uint64_t drain_remaining_ms; /* minimum time until it stops */
	char labels[REG_LABELS_MAX][NAME_SIZE];
	size_t nlabels;
	char rack[NAME_SIZE]; /* one of the labels, or "" */
};

/** struct reg_host - an entry host, from the row that it writes. */
struct reg_host {
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46]; /* for connections of peers */
	uint16_t port;
	uint32_t weight;      /* processor share in thousandths */
	uint64_t incarnation; /* of the process that wrote it; 0: unknown */
	uint64_t row_version; /* set by the registry */
};

/**
 * struct reg_decoder - decoders of the platform's rows.
 * Return: 0, or -1 if the row is malformed.
 */
struct reg_decoder {
	int (*config)(const char *value, size_t len, struct reg_config *config);
	int (*server)(const char *key, const char *value, size_t len,
	    struct reg_server *server);
	int (*host)(const char *key, const char *value, size_t len,
	    struct reg_host *host);
};

struct registry;

/** struct reg_listener - callbacks for changes; all receive @arg. */
struct reg_listener {
	/* An object was added or changed. A change that does not alter the
	 * decoded server is not reported. */
	void (*config)(void *arg, const struct reg_config *config);
	void (*server)(void *arg, const struct reg_server *server);
	void (*server_removed)(void *arg, const char *id);
	void (*host)(void *arg, const struct reg_host *host);
	void (*host_removed)(void *arg, const char *name);
	void *arg;
};

/** reg_create() - create an empty registry; both arguments are copied. */
struct registry *reg_create(const struct reg_decoder *decoder,
    const struct reg_listener *listener);

void reg_destroy(struct registry *reg);

/**
 * reg_row_changed() - apply a row that was received from the store. Outside of
 * a full read, the rows of a table are in the order of their versions.
 * A row that is no newer than the known version is ignored. A malformed row of
 * a server removes the server; a malformed configuration or row of a host is
 * not applied.
 */
void reg_row_changed(struct registry *reg, const struct rows_change *change,
    uint64_t now_us);

/** reg_read_begin() - a full read of @table begins. */
void reg_read_begin(struct registry *reg, enum rows_table table);

/**
 * reg_read_end() - the read has ended; rows missing in it are removed.
 * @version: all changes up to this version of the store have been reported.
 */
void reg_read_end(struct registry *reg, enum rows_table table, uint64_t version,
    uint64_t now_us);

/**
 * reg_current() - the store has no changes of @table but those that were
 * reported.
 * @version: all changes up to this version of the store have been reported.
 */
void reg_current(struct registry *reg, enum rows_table table, uint64_t version,
    uint64_t now_us);

/**
 * reg_age_ms() - Return: time since the rows of @table were known to be
 * current; UINT64_MAX if they never were.
 */
uint64_t reg_age_ms(const struct registry *reg, enum rows_table table,
    uint64_t now_us);

/** reg_tick() - report removed servers whose removal delay has passed. */
void reg_tick(struct registry *reg, uint64_t now_us);

/** reg_server_missing() - whether a server that other hosts may still use is
 * not known: within the removal delay, the row of one that this host has never
 * known was removed, or one was reported as removed. */
bool reg_server_missing(const struct registry *reg, uint64_t now_us);

/** reg_dropped_version() - Return: the newest version with which a server that
 * is not known may have been removed; 0: none. */
uint64_t reg_dropped_version(const struct registry *reg);

/** reg_settled_version() - Return: the version up to which all removals of
 * servers were reported. */
uint64_t reg_settled_version(const struct registry *reg);

/** reg_config() - Return: the newest configuration; its version is 0 if none
 * was loaded. */
const struct reg_config *reg_config(const struct registry *reg);

/**
 * reg_route() - find the queue for a request.
 * @rest: set to what follows the queue's prefix in @path.
 * Return: the queue with the longest prefix, or NULL.
 */
const struct reg_queue *reg_route(const struct registry *reg, const char *host,
    const char *path, const char **rest);

/** reg_version() - Return: the version of the store up to which all changes of
 * @table are known; 0: none. Single rows may be newer. */
uint64_t reg_version(const struct registry *reg, enum rows_table table);

/* Instead of a version: the table is not encoded. */
#define REG_NO_ROWS UINT64_MAX

/**
 * reg_render() - encode rows for a peer. The row of a server is written at
 * every heartbeat; it is encoded only if its decoded contents have changed.
 * @since: for each table, the version after which rows are encoded, or
 *         REG_NO_ROWS. Rows of different tables may be received out of the
 *         order of their versions, so one version for all is not sufficient.
 * Return: JSON text, freed by the caller.
 */
char *reg_render(const struct registry *reg, const uint64_t since[ROWS_NTABLES],
    uint64_t now_us);

/**
 * reg_merge() - apply the rows that a peer encoded with reg_render(), which may
 * be older than those of this registry. A row that is not known, with a version
 * up to which all changes are known, was removed: it is ignored.
 * @sent_us: when they were requested.
 * @merged: set to whether the peer has encoded the table.
 * Return: 0, or -1 if @text is malformed.
 */
int reg_merge(struct registry *reg, const char *text, size_t len,
    uint64_t sent_us, uint64_t now_us, bool merged[ROWS_NTABLES]);

#endif /* ENTRY_JOBS_REGISTRY_H */
