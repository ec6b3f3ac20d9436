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
 * The configuration known to one host: a set of objects at one version in the
 * sequence of changes. The version never decreases.
 */

/** enum cfg_kind - kinds of objects. */
enum cfg_kind {
	CFG_SERVICE, /* offered by backend servers */
	CFG_JOB,     /* named by each submission; configures its tasks */
	CFG_SERVER,  /* a backend server */
	CFG_HOST,    /* an entry host */
	CFG_TEAM,    /* owner of jobs, with a quota */
	CFG_NKINDS,
};

/** struct cfg_service - a service and the servers that offer it. */
struct cfg_service {
	char path[256];		   /* of the POST to a backend server */
	struct selector *selector; /* matched with servers' labels */
	char *selector_text;	   /* text of the selector; both are owned */
};

/** struct cfg_job - configuration of a job. */
struct cfg_job {
	char service[NAME_SIZE];
	char team[NAME_SIZE];	  /* "" if none */
	bool repeatable;	  /* a single request may be sent again */
	bool hedge;		  /* repeatable requests may be hedged */
	uint32_t run_ms;	  /* declared run time of a task */
	uint32_t timeout_ms;	  /* of a task on a backend server */
	uint32_t deadline_ms;	  /* of a whole submission */
	uint32_t queue_tasks_max; /* limit of waiting tasks on one entry host */
	struct selector *selector; /* restricts servers; NULL: all */
	char *selector_text;	   /* its text; both are owned, may be NULL */
};

/** struct cfg_server - a backend server. */
struct cfg_server {
	char address[46];
	uint16_t port;
	char az[NAME_SIZE];
	uint32_t slots;	      /* concurrent tasks, of all entry hosts */
	uint32_t connections; /* limit, for all entry hosts together */
};

/** struct cfg_host - an entry host. */
struct cfg_host {
	char az[NAME_SIZE];
	char address[46];
	uint16_t peer_port;
};

/** struct cfg_team - a team's quota of concurrent tasks. */
struct cfg_team {
	uint32_t running_max; /* on one entry host; 0: no limit */
};

/**
 * struct cfg_object - one object. The labels "az" and "name" of servers and
 * hosts are set from the object itself; the label "leaving" marks it as
 * leaving.
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
	TAILQ_ENTRY(cfg_object) entry; /* in the list of its kind */
	RB_ENTRY(cfg_object) node;     /* in the index of its kind */
};

TAILQ_HEAD(cfg_list, cfg_object);
RB_HEAD(cfg_tree, cfg_object);

/** struct config - the complete configuration at one version. */
struct config {
	uint64_t version;		     /* 0: never configured */
	struct cfg_list objects[CFG_NKINDS]; /* sorted by name */
	struct cfg_tree index[CFG_NKINDS];   /* the same objects, by name */
	size_t nobjects[CFG_NKINDS];
};

/**
 * cfg_create() - create an empty configuration at version 0; NULL if memory is
 * exhausted.
 */
struct config *cfg_create(void);

/** cfg_free() - free a configuration and its objects; NULL is allowed. */
void cfg_free(struct config *config);

/** cfg_find() - find an object by kind and name; borrowed, or NULL. */
const struct cfg_object *cfg_find(const struct config *config,
    enum cfg_kind kind, const char *name);

/** cfg_put() - add or replace an object; takes ownership of @object. */
void cfg_put(struct config *config, struct cfg_object *object);

/** cfg_remove() - remove and free an object; false if there is none. */
bool cfg_remove(struct config *config, enum cfg_kind kind, const char *name);

/**
 * cfg_detach() - remove an object without freeing it. Return: the object, owned
 * by the caller; NULL if there is none.
 */
struct cfg_object *cfg_detach(struct config *config, enum cfg_kind kind,
    const char *name);

/** cfg_object_free() - free an object that is in no configuration. */
void cfg_object_free(struct cfg_object *object);

/** cfg_kind_name() - "service", "job", "server", "host" or "team". */
const char *cfg_kind_name(enum cfg_kind kind);

/**
 * cfg_kind_from_name() - parse the name of a kind, in singular or plural.
 * Return: 0, or -1 if the name is unknown.
 */
int cfg_kind_from_name(const char *name, enum cfg_kind *kind);

#endif /* CORE_CONFIG_H */
