#ifndef CORE_DIGEST_H
#define CORE_DIGEST_H

#include <stddef.h>

#include "core/submission.h"
#include "ports/crypto.h"

/*
 * Digest of all results of an answer, with which callers verify that they have
 * received it completely. Its input is, for each result in order, the line
 * "INDEX STATE STATUS LENGTH\n" followed by the body of LENGTH bytes. Callers
 * compute the same digest, so this format must not change.
 */

#define DIGEST_HEX_SIZE (2 * CRYPTO_DIGEST_BYTES + 1) /* with the NUL */

/** dig_state_name() - name of a task's state, as used in answers. */
const char *dig_state_name(enum task_state state);

/**
 * dig_results() - compute the digest, in hexadecimal.
 * Return: 0, or -1 if memory is exhausted.
 */
int dig_results(struct crypto *crypto, const struct task_result *results,
    size_t ntasks, char hex[DIGEST_HEX_SIZE]);

#endif /* CORE_DIGEST_H */
