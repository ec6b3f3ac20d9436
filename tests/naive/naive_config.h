#ifndef TESTS_NAIVE_CONFIG_H
#define TESTS_NAIVE_CONFIG_H

#include <jansson.h>

/**
 * naive_config_apply() - apply operations to a snapshot, without any
 * optimisation.
 *
 * The snapshot is copied, edited as plain JSON, and then parsed and validated
 * as a whole. Return: the new snapshot, or NULL if it is invalid.
 */
json_t *naive_config_apply(const json_t *snapshot, const json_t *ops);

#endif /* TESTS_NAIVE_CONFIG_H */
