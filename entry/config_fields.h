#ifndef ENTRY_CONFIG_FIELDS_H
#define ENTRY_CONFIG_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/config.h"

/* The members of each kind's spec, with type, default and range. */

#define CFGJ_FIELDS_MAX 9 /* of one spec */

/* enum cfgj_type - how a member of a spec is read. */
enum cfgj_type {
	CFGJ_NAME,
	CFGJ_ADDRESS,
	CFGJ_PATH,
	CFGJ_SELECTOR,
	CFGJ_BOOL,
	CFGJ_U16,
	CFGJ_U32,
};

/* struct cfgj_field - one member of a spec. */
struct cfgj_field {
	const char *name;
	size_t offset;	      /* in struct cfg_object */
	size_t source_offset; /* of a selector: offset of its text */
	json_int_t default_value;
	json_int_t min;
	json_int_t max;
	enum cfgj_type type;
	bool required;
};

/* Tables by kind, each ended by an entry without name. */
extern const struct cfgj_field *const cfgj_fields[CFG_NKINDS];

#endif /* ENTRY_CONFIG_FIELDS_H */
