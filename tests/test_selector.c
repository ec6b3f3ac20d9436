/*
 * Labels and selectors: syntax, limits, and random selectors compared with an
 * independently computed result.
 */

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/labels.h"
#include "core/selector.h"

static bool
match(const char *text, const struct labels *labels)
{
	struct err err = { 0 };
	struct selector *sel = sel_parse(text, &err);
	bool result;

	cr_assert_not_null(sel, "%s: %s", text, err.message);
	result = sel_match(sel, labels);
	sel_free(sel);
	return result;
}

static enum err_code
parse_error_code(const char *text)
{
	struct err err = { 0 };

	cr_assert_null(sel_parse(text, &err), "%.80s", text);
	cr_expect_not_null(strstr(err.message, "selector"));
	return err.code;
}

Test(labels, set_sorts_and_replaces)
{
	struct labels labels = { 0 };

	cr_assert_eq(lbl_set(&labels, "tier", "gold", NULL), 0);
	cr_assert_eq(lbl_set(&labels, "az", "ikeja", NULL), 0);
	cr_assert_eq(lbl_set(&labels, "tier", "silver", NULL), 0);
	cr_assert_eq(labels.n, 2);
	cr_assert_str_eq(labels.items[0].name, "az");
	cr_assert_str_eq(lbl_get(&labels, "tier"), "silver");
	lbl_remove(&labels, "az");
	lbl_remove(&labels, "absent");
	cr_assert_eq(labels.n, 1);
	cr_assert_null(lbl_get(&labels, "az"));
	lbl_clear(&labels);
}

Test(labels, copy_is_equal_and_independent)
{
	struct labels labels = { 0 }, copy = { 0 };

	lbl_set(&labels, "az", "ikeja", NULL);
	lbl_set(&copy, "old", "", NULL);
	cr_assert_eq(lbl_copy(&copy, &labels), 0);
	cr_assert(lbl_equal(&copy, &labels));
	lbl_set(&copy, "az", "yaba", NULL);
	cr_assert_not(lbl_equal(&copy, &labels));
	cr_assert_str_eq(lbl_get(&labels, "az"), "ikeja");
	lbl_clear(&copy);
	cr_assert_eq(lbl_copy(&labels, &copy), 0);
	cr_assert_eq(labels.n, 0);
}

Test(labels, invalid_names_and_too_many_labels_are_rejected)
{
	struct labels labels = { 0 };
	struct err err = { 0 };
	char name[NAME_SIZE + 1];
	int i;

	cr_assert_eq(lbl_set(&labels, "", "x", &err), -1);
	cr_assert_eq(lbl_set(&labels, "a b", "x", &err), -1);
	cr_assert_eq(lbl_set(&labels, "a", "x,y", &err), -1);
	memset(name, 'a', NAME_SIZE);
	name[NAME_SIZE] = '\0';
	cr_assert_eq(lbl_set(&labels, name, "x", &err), -1);
	cr_assert_eq(err.code, ERR_INVALID);
	for (i = 0; i < LABELS_MAX; i++) {
		snprintf(name, sizeof(name), "l%d", i);
		cr_assert_eq(lbl_set(&labels, name, "", &err), 0);
	}
	cr_assert_eq(lbl_set(&labels, "one-more", "", &err), -1);
	cr_assert_eq(err.code, ERR_TOO_LARGE);
	cr_assert_eq(lbl_set(&labels, "l0", "new", &err), 0);
	lbl_clear(&labels);
}

Test(selector, each_operator_matches)
{
	struct labels labels = { 0 };

	lbl_set(&labels, "az", "vadodara", NULL);
	lbl_set(&labels, "rack", "r1", NULL);
	lbl_set(&labels, "tier", "gold", NULL);
	lbl_set(&labels, "fast", "", NULL);
	cr_assert(match("", &labels));
	cr_assert(match("  az = vadodara , rack != r3 ", &labels));
	cr_assert(match("tier in (gold, silver),gen notin (1,2),fast,!leaving",
	    &labels));
	cr_assert(match("gen!=7", &labels));
	cr_assert(match("fast=", &labels));
	cr_assert_not(match("az=surat", &labels));
	cr_assert_not(match("!fast", &labels));
	cr_assert_not(match("slow", &labels));
	cr_assert_not(match("gen=7", &labels));
	cr_assert_not(match("tier notin (gold)", &labels));
	lbl_clear(&labels);
}

Test(selector, syntax_errors_are_rejected)
{
	static const char *const bad[] = { ",", "a,", "=b", "a b", "a in",
		"a in (", "a in (b", "a in b", "a notin (b))", "!", "!!a",
		"a=b c", "a=b;c", "a<3", "in (b)", "!a=b" };
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		cr_expect_eq(parse_error_code(bad[i]), ERR_INVALID, "%s",
		    bad[i]);
}

Test(selector, exceeded_limits_are_rejected)
{
	char text[SEL_TEXT_BYTES_MAX + 2];
	char *p;
	int i;

	memset(text, 'a', sizeof(text));
	text[SEL_TEXT_BYTES_MAX + 1] = '\0';
	cr_expect_eq(parse_error_code(text), ERR_TOO_LARGE);
	text[NAME_SIZE] = '\0';
	cr_expect_eq(parse_error_code(text), ERR_TOO_LARGE);
	for (i = 0, p = text; i <= SEL_TERMS_MAX; i++)
		p += sprintf(p, "%sl%d", i ? "," : "", i);
	cr_expect_eq(parse_error_code(text), ERR_TOO_LARGE);
	for (i = 0, p = text + sprintf(text, "a in ("); i <= SEL_VALUES_MAX;
	     i++)
		p += sprintf(p, "%sv%d", i ? "," : "", i);
	sprintf(p, ")");
	cr_expect_eq(parse_error_code(text), ERR_TOO_LARGE);
}

/* Writes a random term to @text; returns whether it matches @labels. */
static bool
random_term(char *text, size_t size, const struct labels *labels)
{
	const char *name = (const char *[]){ "a", "b", "c" }[rand() % 3];
	int v = rand() % 3, w = rand() % 3;
	const char *value = lbl_get(labels, name);
	int current = value == NULL ? -1 : atoi(value);

	switch (rand() % 6) {
	case 0:
		snprintf(text, size, "%s", name);
		return current != -1;
	case 1:
		snprintf(text, size, "!%s", name);
		return current == -1;
	case 2:
		snprintf(text, size, "%s=%d", name, v);
		return current == v;
	case 3:
		snprintf(text, size, "%s!=%d", name, v);
		return current != v;
	case 4:
		snprintf(text, size, "%s in (%d,%d)", name, v, w);
		return current == v || current == w;
	default:
		snprintf(text, size, "%s notin (%d,%d)", name, v, w);
		return current != v && current != w;
	}
}

Test(selector, random_selectors_match_expected_result)
{
	int round, i;

	srand(7);
	for (round = 0; round < 20000; round++) {
		struct labels labels = { 0 };
		char text[256] = "", term[64], value[8];
		bool expected = true;

		for (i = 0; i < 3; i++) {
			snprintf(value, sizeof(value), "%d", rand() % 3);
			if (rand() % 3 != 0)
				lbl_set(&labels,
				    (const char *[]){ "a", "b", "c" }[i], value,
				    NULL);
		}
		for (i = rand() % 4; i > 0; i--) {
			expected &= random_term(term, sizeof(term), &labels);
			if (text[0] != '\0')
				strcat(text, ",");
			strcat(text, term);
		}
		cr_assert_eq(match(text, &labels), expected, "%s", text);
		lbl_clear(&labels);
	}
}
