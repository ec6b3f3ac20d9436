/*
 * Digest of all results of an answer. The format of its input is in digest.h.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/digest.h"

#define DIGEST_LINE_BYTES 96 /* with the NUL, more than the longest line */

static const char *const dig_state_names[] = {
	[TASK_QUEUED] = "queued",
	[TASK_STARTED] = "started",
	[TASK_DONE] = "done",
	[TASK_NOT_RUN] = "not-run",
	[TASK_FAILED] = "failed",
	[TASK_LOST] = "lost",
};

const char *
dig_state_name(enum task_state state)
{
	return dig_state_names[state];
}

int
dig_results(struct crypto *crypto, const struct task_result *results,
    size_t ntasks, char hex[DIGEST_HEX_SIZE])
{
	uint8_t digest[CRYPTO_DIGEST_BYTES];
	size_t size = 1, len = 0, i;
	char *text;

	for (i = 0; i < ntasks; i++)
		size += DIGEST_LINE_BYTES + results[i].body_len;
	text = malloc(size);
	if (text == NULL)
		return -1;
	for (i = 0; i < ntasks; i++) {
		len += (size_t)snprintf(text + len, DIGEST_LINE_BYTES,
		    "%zu %s %d %zu\n", i, dig_state_name(results[i].state),
		    results[i].http_status, results[i].body_len);
		if (results[i].body_len > 0)
			memcpy(text + len, results[i].body,
			    results[i].body_len);
		len += results[i].body_len;
	}
	crypto->ops->digest(crypto, text, len, digest);
	free(text);
	for (i = 0; i < sizeof(digest); i++)
		(void)snprintf(hex + 2 * i, 3, "%02x", digest[i]);
	return 0;
}
