#ifndef ENTRY_CONFIG_OPS_H
#define ENTRY_CONFIG_OPS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config.h"

/*
 * Changes of the configuration: a list of operations that are applied all or
 * none. Pure: the same operations on the same version give the same result on
 * every host.
 */

#define CFGOP_ID_SIZE 129      /* bytes of a change id, with the NUL */
#define CFGOP_REASON_SIZE 1025 /* bytes of a reason, with the NUL */
#define CFGOP_OPS_MAX 2000     /* operations of one change */

/** struct cfgop_change - a change as an operator asks for it. */
struct cfgop_change {
	char id[CFGOP_ID_SIZE];
	bool has_base;
	uint64_t base_version; /* version that it is meant for */
	char reason[CFGOP_REASON_SIZE];
	json_t *ops; /* owned */
};

/** cfgop_change_parse() - read the body of a request; 0, or -1 with @err. */
int cfgop_change_parse(struct cfgop_change *change, const char *text,
    size_t len, struct err *err);

/** cfgop_change_clear() - free what cfgop_change_parse() took. */
void cfgop_change_clear(struct cfgop_change *change);

/** struct cfgop_undo_step - one object as it was before an operation. */
struct cfgop_undo_step {
	enum cfg_kind kind;
	char name[NAME_SIZE];
	struct cfg_object *old; /* owned; NULL if it was absent */
	LIST_ENTRY(cfgop_undo_step) entry;
};

/** struct cfgop_undo - what cfgop_rollback() needs, newest step first. */
struct cfgop_undo {
	LIST_HEAD(, cfgop_undo_step) steps;
};

/**
 * cfgop_apply() - apply all operations, or none.
 * @ops: JSON array of operations.
 * @undo: filled on success; to be ended by cfgop_commit() or
 *        cfgop_rollback().
 * @before: new reference to the array of objects before each operation, with
 *          null for absent ones. May be NULL.
 * @after: likewise after each operation.
 *
 * The version is left as it is. Return: 0, or -1 with @err.
 */
int cfgop_apply(struct config *config, const json_t *ops,
    struct cfgop_undo *undo, json_t **before, json_t **after, struct err *err);

/** cfgop_commit() - keep what was applied. */
void cfgop_commit(struct cfgop_undo *undo);

/** cfgop_rollback() - undo what was applied, if nothing else was since. */
void cfgop_rollback(struct config *config, struct cfgop_undo *undo);

#endif /* ENTRY_CONFIG_OPS_H */
