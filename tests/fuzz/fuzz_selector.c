/*
 * Fuzz target: the selector parser.
 */

#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "core/selector.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct labels labels = { 0 };
	struct selector *sel;
	char text[SEL_TEXT_BYTES_MAX + 2];

	if (size > SEL_TEXT_BYTES_MAX + 1)
		size = SEL_TEXT_BYTES_MAX + 1;
	memcpy(text, data, size);
	text[size] = '\0';
	lbl_set(&labels, "az", "vadodara", NULL);
	lbl_set(&labels, "tier", "gold", NULL);
	sel = sel_parse(text, NULL);
	if (sel != NULL)
		(void)sel_match(sel, &labels);
	sel_free(sel);
	lbl_clear(&labels);
	return 0;
}
