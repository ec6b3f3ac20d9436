#ifndef ENTRY_CONFIG_FIELDS_H
#define ENTRY_CONFIG_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/config.h"

/* Members of the spec of each kind of object: type, default and range. */

#define CFGJ_FIELDS_MAX 9 /* members of one spec */

/** enum cfgj_type - type of a member of a spec. */
enum cfgj_type {
	CFGJ_NAME,
	CFGJ_ADDRESS,
	CFGJ_PATH,
	CFGJ_SELECTOR,
	CFGJ_BOOL,
	CFGJ_U16,
	CFGJ_U32,
};

/** struct cfgj_field - one member of a spec. */
struct cfgj_field {
	const char *name;
	size_t offset;	      /* in struct cfg_object */
	size_t source_offset; /* of a selector's text; unused for others */
	json_int_t default_value;
	json_int_t min;
	json_int_t max;
	enum cfgj_type type;
	bool required;
};

/* Members by kind; each array ends with an entry whose name is NULL. */
extern const struct cfgj_field *const cfgj_fields[CFG_NKINDS];

#endif /* ENTRY_CONFIG_FIELDS_H */
