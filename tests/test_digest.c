#include <criterion/criterion.h>
#include <string.h>

#include "adapters/crypto_sodium.h"
#include "core/digest.h"

static const char *
digest(const struct task_result *results, size_t n)
{
	static char hex[2][DIGEST_HEX_SIZE];
	static int slot;

	slot = !slot;
	cr_assert_eq(dig_results(crypto_sodium(), results, n, hex[slot]), 0);
	return hex[slot];
}

Test(digest, every_result_field_changes_digest)
{
	static char ab[] = "ab", bc[] = "bc", c[] = "c";
	struct task_result r[2] = {
		{ .state = TASK_DONE,
		    .http_status = 200,
		    .body = ab,
		    .body_len = 2 },
		{ .state = TASK_DONE,
		    .http_status = 200,
		    .body = c,
		    .body_len = 1 },
	};
	struct task_result other[2];
	char expected[DIGEST_HEX_SIZE];

	strcpy(expected, digest(r, 2));
	cr_assert_str_eq(digest(r, 2), expected);
	cr_assert_str_neq(digest(r, 1), expected, "result missing");
	memcpy(other, r, sizeof(r));
	other[0] = r[1];
	other[1] = r[0];
	cr_assert_str_neq(digest(other, 2), expected, "results swapped");
	memcpy(other, r, sizeof(r));
	other[1].http_status = 201;
	cr_assert_str_neq(digest(other, 2), expected, "HTTP status changed");
	memcpy(other, r, sizeof(r));
	other[1].state = TASK_FAILED;
	cr_assert_str_neq(digest(other, 2), expected, "task state changed");
	/* The concatenated bodies are the same, only their lengths differ. */
	other[0].body_len = 1;
	other[1] = r[1];
	other[1].body = bc;
	other[1].body_len = 2;
	cr_assert_str_neq(digest(other, 2), expected, "body lengths changed");
}
