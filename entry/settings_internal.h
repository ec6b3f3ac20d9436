#ifndef ENTRY_SETTINGS_INTERNAL_H
#define ENTRY_SETTINGS_INTERNAL_H

#include <argtable2.h>
#include <stddef.h>

#include "entry/settings.h"

/*
 * Shared by settings.c, which has the table of settings and their order of
 * precedence, and settings_parse.c, which parses their values.
 */

#define SET_DEFS_MAX 40

/* enum set_kind - type of a setting, which selects its parser. */
enum set_kind {
	SET_NAME,
	SET_ENDPOINT,
	SET_PLATFORM,
	SET_PEERS,
	SET_CHOICE,
	SET_POLICY,
	SET_PATH,
	SET_U32,
	SET_U64,
	SET_PERMILLE, /* decimal fraction, stored in thousandths */
};

/* struct set_def - definition of one setting. */
struct set_def {
	const char *name; /* of the flag, without the leading dashes */
	enum set_kind kind;
	size_t offset;		  /* in struct settings */
	const char *default_text; /* NULL: no default */
	uint64_t min;		  /* of a number or of an endpoint's port */
	uint64_t max;	     /* of a number; bytes of a text with its NUL */
	const char *choices; /* of SET_CHOICE, separated by '|' */
	const char *help;
};

/* struct set_loader - state of one call of settings_load(). */
struct set_loader {
	struct settings *settings;
	FILE *errors;
	size_t nerrors;
	bool is_given[SET_DEFS_MAX]; /* set by flag or environment */
	struct arg_str *strs[SET_DEFS_MAX];
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
	void *table[SET_DEFS_MAX + 4];
};

/* set_error() - count and print one invalid setting. */
void set_error(struct set_loader *loader, const char *name, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

/* set_assign() - parse, validate and assign the value of one setting. */
void set_assign(struct set_loader *loader, const struct set_def *def,
    const char *text);

/* set_datatype() - placeholder of the value in the help, as in "--name=N". */
const char *set_datatype(const struct set_def *def);

#endif /* ENTRY_SETTINGS_INTERNAL_H */
