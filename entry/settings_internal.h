#ifndef ENTRY_SETTINGS_INTERNAL_H
#define ENTRY_SETTINGS_INTERNAL_H

#include <argtable2.h>
#include <stddef.h>

#include "entry/settings.h"

/* Shared by settings.c (the table, the order) and settings_parse.c (values). */

#define SET_DEFS_MAX 40

/* enum set_kind - how a setting's text is read. */
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
	SET_PERMILLE, /* a decimal fraction, stored in thousandths */
};

/* struct set_def - one setting. */
struct set_def {
	const char *name; /* of the flag, without dashes */
	enum set_kind kind;
	size_t offset;		  /* in struct settings */
	const char *default_text; /* default, NULL for none */
	uint64_t min;		  /* of numbers and of an endpoint's port */
	uint64_t max;		  /* of numbers; bytes of a text with its NUL */
	const char *choices;	  /* separated by '|' */
	const char *help;
};

/* struct set_loader - state of one settings_load(). */
struct set_loader {
	struct settings *settings;
	FILE *errors;
	size_t nerrors;
	bool is_given[SET_DEFS_MAX]; /* by a flag or by the environment */
	struct arg_str *strs[SET_DEFS_MAX];
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
	void *table[SET_DEFS_MAX + 4];
};

/* set_error() - count and print one bad setting. */
void set_error(struct set_loader *loader, const char *name, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

/* set_assign() - check one setting's text and store its value. */
void set_assign(struct set_loader *loader, const struct set_def *def,
    const char *text);

/* set_datatype() - what stands after "--name=" in the help. */
const char *set_datatype(const struct set_def *def);

#endif /* ENTRY_SETTINGS_INTERNAL_H */
