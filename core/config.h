#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <sys/tree.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"
#include "core/labels.h"
#include "core/selector.h"

/*
 * The configuration as one host holds it: a set of objects at one version of
 * the chain. Versions only rise.
 */

/** enum cfg_kind - kinds of objects. */
enum cfg_kind {
	CFG_SERVICE, /* what backend servers serve */
	CFG_JOB,     /* what callers submit to */
	CFG_SERVER,  /* a backend server */
	CFG_HOST,    /* an entry host */
	CFG_TEAM,    /* owner of jobs, with a quota */
	CFG_NKINDS,
};

/** struct cfg_service - a service and the servers that serve it. */
struct cfg_service {
	char path[256];		   /* of the POST to a backend server */
	struct selector *selector; /* over labels of servers */
	char *selector_text;	   /* its source; owned, like the selector */
};

/** struct cfg_job - a job's configuration. */
struct cfg_job {
	char service[NAME_SIZE];
	char team[NAME_SIZE];	   /* "" for none */
	bool repeatable;	   /* single requests may be repeated */
	bool hedge;		   /* repeatable ones may be hedged */
	uint32_t run_ms;	   /* declared run time of a task */
	uint32_t timeout_ms;	   /* of a task on a backend server */
	uint32_t deadline_ms;	   /* of a whole submission */
	uint32_t queue_tasks_max;  /* tasks waiting, on one entry host */
	struct selector *selector; /* further limits servers; NULL for all */
	char *selector_text;	   /* its source, or NULL; owned */
};

/** struct cfg_server - a backend server. */
struct cfg_server {
	char address[46];
	uint16_t port;
	char az[NAME_SIZE];
	uint32_t slots;	      /* tasks at once, all entry hosts together */
	uint32_t connections; /* all entry hosts together */
};

/** struct cfg_host - an entry host. */
struct cfg_host {
	char az[NAME_SIZE];
	char address[46];
	uint16_t peer_port;
};

/** struct cfg_team - a team's quota. */
struct cfg_team {
	uint32_t running_max; /* tasks at once on one entry host, 0: no limit */
};

/**
 * struct cfg_object - one object. Labels "az" and "name" of servers and hosts
 * are set from the object itself; the label "leaving" makes one leave.
 */
struct cfg_object {
	enum cfg_kind kind;
	char name[NAME_SIZE];
	struct labels labels;
	union {
		struct cfg_service service;
		struct cfg_job job;
		struct cfg_server server;
		struct cfg_host host;
		struct cfg_team team;
	} u;
	TAILQ_ENTRY(cfg_object) entry; /* of its kind, sorted by name */
	RB_ENTRY(cfg_object) node;     /* of its kind, by name */
};

TAILQ_HEAD(cfg_list, cfg_object);
RB_HEAD(cfg_tree, cfg_object);

/** struct config - the whole configuration at one version. */
struct config {
	uint64_t version; /* 0: nothing was ever configured */
	struct cfg_list objects[CFG_NKINDS];
	struct cfg_tree index[CFG_NKINDS]; /* the same objects, by name */
	size_t nobjects[CFG_NKINDS];
};

/** cfg_create() - an empty configuration of version 0, or NULL. */
struct config *cfg_create(void);

/** cfg_free() - free a configuration with its objects; NULL is allowed. */
void cfg_free(struct config *config);

/** cfg_find() - find an object, borrowed, or NULL. */
const struct cfg_object *cfg_find(const struct config *config,
    enum cfg_kind kind, const char *name);

/** cfg_put() - add or replace an object; takes ownership of @object. */
void cfg_put(struct config *config, struct cfg_object *object);

/** cfg_remove() - remove an object if it is there; true if it was. */
bool cfg_remove(struct config *config, enum cfg_kind kind, const char *name);

/** cfg_detach() - remove an object; the caller owns it then. NULL if absent. */
struct cfg_object *cfg_detach(struct config *config, enum cfg_kind kind,
    const char *name);

/** cfg_object_free() - free an object that is in no configuration. */
void cfg_object_free(struct cfg_object *object);

/** cfg_kind_name() - "service", "job", "server", "host", "team". */
const char *cfg_kind_name(enum cfg_kind kind);

/** cfg_kind_from_name() - 0 and *kind, or -1; the plural is accepted. */
int cfg_kind_from_name(const char *name, enum cfg_kind *kind);

#endif /* CORE_CONFIG_H */
