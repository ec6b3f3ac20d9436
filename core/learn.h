#ifndef CORE_LEARN_H
#define CORE_LEARN_H

#include <stdint.h>

/*
 * Estimation of server speeds and of the ratio of a job's actual to declared
 * run times (its factor):
 *
 *	run time = declared run time * job's factor / server's speed
 *
 * Both are estimated in logarithms, each with its variance, so that an
 * observation changes the less certain estimate more. See
 * docs/design/dispatch.md.
 */

/** struct lrn_estimate - the estimate of a positive quantity. */
struct lrn_estimate {
	double value; /* exp(log_value), cached */
	double log_value;
	double variance; /* of log_value */
};

/**
 * lrn_init_speed() - initialize the speed of an unknown server.
 * @log_mean: mean of the logarithms of the other servers' speeds.
 */
void lrn_init_speed(struct lrn_estimate *speed, double log_mean);

/** lrn_init_factor() - initialize the factor of an unknown job to 1. */
void lrn_init_factor(struct lrn_estimate *factor);

/** lrn_expected_us() - expected run time of a task on a server. */
double lrn_expected_us(const struct lrn_estimate *speed,
    const struct lrn_estimate *factor, double declared_us);

/**
 * lrn_observe() - update both estimates from a completed task.
 * @declared_us: declared run time, more than 0.
 * @observed_us: time from its start to its response; 0 counts as 1.
 */
void lrn_observe(struct lrn_estimate *speed, struct lrn_estimate *factor,
    double declared_us, double observed_us);

#endif /* CORE_LEARN_H */
