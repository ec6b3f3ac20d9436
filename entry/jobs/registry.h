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

#define DIR_LABELS_MAX 8 /* labels of one server that are kept */

/** struct dir_queue - a queue and the requests that go to it. */
struct dir_queue {
	struct job_queue queue;
	char host[NAME_SIZE];	/* Host header of its requests */
	char prefix[NAME_SIZE]; /* beginning of their path */
};

/** struct dir_service - a pool of backend servers. */
struct dir_service {
	char name[NAME_SIZE];
	bool guards; /* its servers refuse what does not fit */
};

/** struct dir_config - one version of the configuration. */
struct dir_config {
	uint64_t version; /* the operator's; 0: none yet */
	uint64_t body_bytes_max;
	struct dir_queue *queues; /* owned */
	size_t nqueues;
	struct dir_service *services; /* owned */
	size_t nservices;
};

/** struct dir_server - a backend server, by its own report. */
struct dir_server {
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
	uint64_t leaves_in_ms; /* at the least, while it drains */
	char labels[DIR_LABELS_MAX][NAME_SIZE];
	size_t nlabels;
	char rack[NAME_SIZE]; /* one of the labels, or "" */
};

/** struct dir_host - an entry host, by its own row. */
struct dir_host {
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46]; /* for peers */
	uint16_t port;
	uint32_t weight; /* processor share in thousandths */
};

/** struct dir_decode - reads the rows of the platform; 0, or -1 if bad. */
struct dir_decode {
	int (*config)(const char *value, size_t len, struct dir_config *config);
	int (*server)(const char *key, const char *value, size_t len,
	    struct dir_server *server);
	int (*host)(const char *key, const char *value, size_t len,
	    struct dir_host *host);
};

struct directory;

/** struct dir_listener - who is told of changes; every callback gets @arg. */
struct dir_listener {
	void (*config)(void *arg, const struct dir_config *config);
	void (*server)(void *arg, const struct dir_server *server);
	void (*server_gone)(void *arg, const char *id);
	void (*host)(void *arg, const struct dir_host *host);
	void (*host_gone)(void *arg, const char *name);
	void *arg;
};

/** dir_create() - an empty directory; both arguments are copied. */
struct directory *dir_create(const struct dir_decode *decode,
    const struct dir_listener *listener);

void dir_destroy(struct directory *dir);

/**
 * dir_change() - a row as the store or a peer tells it. Older versions than
 * the known one are ignored; rows that can't be read name nothing to use.
 */
void dir_change(struct directory *dir, const struct rows_change *change,
    uint64_t now_us);

/** dir_reading(), dir_loaded() - around a full read of a table. */
void dir_reading(struct directory *dir, enum rows_table table);
void dir_loaded(struct directory *dir, enum rows_table table, uint64_t now_us);

/** dir_tick() - report servers whose rows have been gone for long enough. */
void dir_tick(struct directory *dir, uint64_t now_us);

/** dir_config() - the newest configuration; its version is 0 if none. */
const struct dir_config *dir_config(const struct directory *dir);

/**
 * dir_route() - the queue for a request.
 * @rest: set to what follows the queue's prefix in @path.
 * Return: the queue with the longest prefix, or NULL.
 */
const struct dir_queue *dir_route(const struct directory *dir, const char *host,
    const char *path, const char **rest);

/** dir_version() - the newest row version that was seen. */
uint64_t dir_version(const struct directory *dir);

/** dir_render() - rows newer than @since, for a peer; freed by the caller. */
char *dir_render(const struct directory *dir, uint64_t since);

/** dir_absorb() - take the rows that a peer rendered; -1 if malformed. */
int dir_absorb(struct directory *dir, const char *text, size_t len,
    uint64_t now_us);

#endif /* ENTRY_JOBS_REGISTRY_H */
