#ifndef ENTRY_CONFIG_OPS_H
#define ENTRY_CONFIG_OPS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config.h"

/*
 * Changes of the configuration. A change is a list of operations; all of them
 * are applied or none. The functions are deterministic: the same operations on
 * the same version have the same result on every host.
 */

#define CFGOP_ID_SIZE 129      /* bytes of a change id, with the NUL */
#define CFGOP_REASON_SIZE 1025 /* bytes of a reason, with the NUL */
#define CFGOP_OPS_MAX 2000     /* operations of one change */

/** struct cfgop_change - a change as an operator requested it. */
struct cfgop_change {
	char id[CFGOP_ID_SIZE];
	bool has_base;
	uint64_t base_version; /* version to apply it to, if has_base */
	char reason[CFGOP_REASON_SIZE];
	json_t *ops; /* owned */
};

/** cfgop_change_parse() - parse a request's body; 0, or -1 with @err. */
int cfgop_change_parse(struct cfgop_change *change, const char *text,
    size_t len, struct err *err);

/** cfgop_change_clear() - release what cfgop_change_parse() allocated. */
void cfgop_change_clear(struct cfgop_change *change);

/** struct cfgop_undo_step - an object as it was before an operation. */
struct cfgop_undo_step {
	enum cfg_kind kind;
	char name[NAME_SIZE];
	struct cfg_object *old; /* owned; NULL if it was absent */
	LIST_ENTRY(cfgop_undo_step) entry;
};

/** struct cfgop_undo - undo steps of a change, newest first. */
struct cfgop_undo {
	LIST_HEAD(, cfgop_undo_step) steps;
};

/**
 * cfgop_apply() - apply all operations, or none.
 * @ops: JSON array of operations.
 * @undo: set on success; the caller passes it to cfgop_commit() or
 *        cfgop_rollback().
 * @before: set to a new reference to an array with the object before each
 *          operation, null if it was absent. May be NULL.
 * @after: as @before, but after each operation.
 *
 * The configuration's version does not change. Return: 0, or -1 with @err.
 */
int cfgop_apply(struct config *config, const json_t *ops,
    struct cfgop_undo *undo, json_t **before, json_t **after, struct err *err);

/** cfgop_commit() - make the applied operations final; frees the steps. */
void cfgop_commit(struct cfgop_undo *undo);

/**
 * cfgop_rollback() - revert the applied operations and free the steps. No other
 * operations may have been applied after them.
 */
void cfgop_rollback(struct config *config, struct cfgop_undo *undo);

#endif /* ENTRY_CONFIG_OPS_H */
