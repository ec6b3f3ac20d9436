/*
 * Label selectors: a top-down parser, which needs no recursion because terms do
 * not nest, and the evaluation.
 */

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "core/selector.h"

/** enum sel_op - condition of a term on its label. */
enum sel_op {
	SEL_EXISTS,
	SEL_ABSENT,
	SEL_IN,	    /* "=" is "in" with one value */
	SEL_NOT_IN, /* "!=" is "notin" with one value */
};

struct sel_term {
	enum sel_op op;
	char name[NAME_SIZE];
	size_t nvalues;
	char values[SEL_VALUES_MAX][NAME_SIZE];
};

struct selector {
	size_t nterms;
	struct sel_term terms[];
};

/* Parser state; @pos never goes beyond the terminating NUL. */
struct sel_parser {
	const char *text;
	const char *pos;
	struct err *err;
};

static int
sel_error(const struct sel_parser *p, enum err_code code, const char *message)
{
	return err_set(p->err, ERR_STEP_PARSE, code, NULL,
	    "selector: %s at column %d", message, (int)(p->pos - p->text) + 1);
}

static void
sel_skip_blanks(struct sel_parser *p)
{
	while (*p->pos == ' ' || *p->pos == '\t')
		p->pos++;
}

static bool
sel_is_word_char(char c)
{
	return isalnum((unsigned char)c) ||
	    (c != '\0' && strchr("-_./", c) != NULL);
}

/* Skips blanks and, if the next character is @c, consumes it. */
static bool
sel_accept(struct sel_parser *p, char c)
{
	sel_skip_blanks(p);
	if (*p->pos != c)
		return false;
	p->pos++;
	return true;
}

/* Parses a word of 0 to NAME_LEN_MAX bytes. */
static int
sel_parse_word(struct sel_parser *p, char word[NAME_SIZE])
{
	size_t len = 0;

	sel_skip_blanks(p);
	while (sel_is_word_char(p->pos[len]))
		len++;
	if (len > NAME_LEN_MAX)
		return sel_error(p, ERR_TOO_LARGE, "word too long");
	memcpy(word, p->pos, len);
	word[len] = '\0';
	p->pos += len;
	return 0;
}

static int
sel_parse_values(struct sel_parser *p, struct sel_term *term)
{
	if (!sel_accept(p, '('))
		return sel_error(p, ERR_INVALID, "'(' expected");
	do {
		if (term->nvalues == SEL_VALUES_MAX)
			return sel_error(p, ERR_TOO_LARGE, "too many values");
		if (sel_parse_word(p, term->values[term->nvalues]) == -1)
			return -1;
		term->nvalues++;
	} while (sel_accept(p, ','));
	if (!sel_accept(p, ')'))
		return sel_error(p, ERR_INVALID, "',' or ')' expected");
	return 0;
}

/* Parses what follows the name: nothing, a comparison, or a list of values. */
static int
sel_parse_operator(struct sel_parser *p, struct sel_term *term)
{
	char word[NAME_SIZE];

	sel_skip_blanks(p);
	if (*p->pos == '\0' || *p->pos == ',') {
		term->op = SEL_EXISTS;
		return 0;
	}
	if (*p->pos == '=' || (*p->pos == '!' && p->pos[1] == '=')) {
		term->op = *p->pos == '=' ? SEL_IN : SEL_NOT_IN;
		p->pos += *p->pos == '=' ? 1 : 2;
		term->nvalues = 1;
		return sel_parse_word(p, term->values[0]);
	}
	if (sel_parse_word(p, word) == -1)
		return -1;
	if (strcmp(word, "in") == 0)
		term->op = SEL_IN;
	else if (strcmp(word, "notin") == 0)
		term->op = SEL_NOT_IN;
	else
		return sel_error(p, ERR_INVALID, "operator expected");
	return sel_parse_values(p, term);
}

static int
sel_parse_term(struct sel_parser *p, struct sel_term *term)
{
	bool negated = sel_accept(p, '!');

	if (sel_parse_word(p, term->name) == -1)
		return -1;
	if (term->name[0] == '\0')
		return sel_error(p, ERR_INVALID, "label name expected");
	if (!negated)
		return sel_parse_operator(p, term);
	term->op = SEL_ABSENT;
	return 0;
}

static int
sel_parse_terms(struct sel_parser *p, struct selector *sel)
{
	sel_skip_blanks(p);
	if (*p->pos == '\0')
		return 0;
	do {
		if (sel->nterms == SEL_TERMS_MAX)
			return sel_error(p, ERR_TOO_LARGE, "too many terms");
		if (sel_parse_term(p, &sel->terms[sel->nterms]) == -1)
			return -1;
		sel->nterms++;
	} while (sel_accept(p, ','));
	sel_skip_blanks(p);
	if (*p->pos != '\0')
		return sel_error(p, ERR_INVALID, "',' or end expected");
	return 0;
}

struct selector *
sel_parse(const char *text, struct err *err)
{
	struct sel_parser p = { .text = text, .pos = text, .err = err };
	struct selector *sel = NULL, *shrunk;

	if (strnlen(text, SEL_TEXT_BYTES_MAX + 1) > SEL_TEXT_BYTES_MAX) {
		err_set(err, ERR_STEP_PARSE, ERR_TOO_LARGE, NULL,
		    "selector: longer than %d bytes", SEL_TEXT_BYTES_MAX);
		return NULL;
	}
	sel = calloc(1, sizeof(*sel) + SEL_TERMS_MAX * sizeof(struct sel_term));
	if (sel == NULL) {
		err_set(err, ERR_STEP_PARSE, ERR_NO_MEMORY, NULL,
		    "selector: out of memory");
		return NULL;
	}
	if (sel_parse_terms(&p, sel) == -1) {
		sel_free(sel);
		return NULL;
	}
	shrunk =
	    realloc(sel, sizeof(*sel) + sel->nterms * sizeof(struct sel_term));
	return shrunk != NULL ? shrunk : sel;
}

static bool
sel_has_value(const struct sel_term *term, const char *value)
{
	size_t i;

	for (i = 0; i < term->nvalues; i++) {
		if (strcmp(term->values[i], value) == 0)
			return true;
	}
	return false;
}

static bool
sel_match_term(const struct sel_term *term, const struct labels *labels)
{
	const char *value = lbl_get(labels, term->name);

	switch (term->op) {
	case SEL_EXISTS:
		return value != NULL;
	case SEL_ABSENT:
		return value == NULL;
	case SEL_IN:
		return value != NULL && sel_has_value(term, value);
	case SEL_NOT_IN:
		return value == NULL || !sel_has_value(term, value);
	}
	return false;
}

bool
sel_match(const struct selector *sel, const struct labels *labels)
{
	size_t i;

	for (i = 0; i < sel->nterms; i++) {
		if (!sel_match_term(&sel->terms[i], labels))
			return false;
	}
	return true;
}

static size_t
sel_size(const struct selector *sel)
{
	return sizeof(*sel) + sel->nterms * sizeof(sel->terms[0]);
}

struct selector *
sel_copy(const struct selector *sel)
{
	struct selector *copy = malloc(sel_size(sel));

	if (copy != NULL)
		memcpy(copy, sel, sel_size(sel));
	return copy;
}

/* Unused bytes of terms are zero, so that memcmp() is exact. */
bool
sel_equal(const struct selector *a, const struct selector *b)
{
	return a->nterms == b->nterms && memcmp(a, b, sel_size(a)) == 0;
}

void
sel_free(struct selector *sel)
{
	free(sel);
}
