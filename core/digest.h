#ifndef CORE_DIGEST_H
#define CORE_DIGEST_H

#include <stddef.h>

#include "core/submission.h"
#include "ports/crypto.h"

/*
 * The digest over all results of an answer, by which a caller knows that the
 * answer is whole. Digested is, for each result in order, the line
 * "INDEX STATE STATUS LENGTH\n" and then its body, LENGTH bytes.
 */

#define DIGEST_HEX_SIZE (2 * CRYPTO_DIGEST_BYTES + 1) /* with the NUL */

/** dig_state_name() - a task's state as answers spell it. */
const char *dig_state_name(enum task_state state);

/** dig_results() - digest in hexadecimal; -1 when out of memory. */
int dig_results(struct crypto *crypto, const struct task_result *results,
    size_t ntasks, char hex[DIGEST_HEX_SIZE]);

#endif /* CORE_DIGEST_H */
